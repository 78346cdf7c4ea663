/*
 * fleetagent.h - exchange of state between an instance and the rest of the
 * fleet: membership, loads and account use of the other instances.
 *
 * In a small fleet every instance reports to every other one (gossip.h).  In a
 * large one it reports to the hub of its data centre and receives the totals
 * of all others from that hub (hub.h, fleetview.h); it may itself be the hub.
 *
 * Each datagram carries current state, so the next one makes up for a lost
 * one.  Nothing here blocks, reads a clock or uses a socket.
 */
#ifndef BS_FLEETAGENT_H
#define BS_FLEETAGENT_H

#include "gossip.h"
#include "streamversions.h"

/* Maximum size of a datagram. */
#define BS_FLEET_MAX_BYTES (BS_GOSSIP_MAX_BYTES + 8)

/* Load and account use of the other instances, as a hub reported them. */
typedef struct {
    const GArray *loads;  /* BsTargetLoad, changed ones only */
    const GArray *uses;   /* BsQuotaUse, totals that increase */
    uint64_t incarnation; /* of the hub; totals start again with a new one.
                             0 without a hub: USES is empty then */
} BsFleetChanges;

/* Callbacks of the agent to its owner; all are required. */
typedef struct {
    /* Fills in this instance's state (revisions, reading, stopping) and, if
       WORK is set, its loads and account use. */
    void (*fill)(BsGossipReport *report, bool work, int64_t now_ms,
                 void *context);
    /* Appends the crash-inducing requests (BsCrashRecord) to report to others.
     */
    void (*fill_crash_records)(GArray *crash_records, int64_t now_ms,
                               void *context);
    /* A member reported CRASH_RECORDS (BsCrashRecord), which it observed or
       received from others. */
    void (*on_crash_records)(const GArray *crash_records, int64_t now_ms,
                             void *context);
    /* As the two before, for prompt parts that crash upstreams
       (BsPartRecord). */
    void (*fill_part_records)(GArray *part_records, int64_t now_ms,
                              void *context);
    void (*on_part_records)(const GArray *part_records, int64_t now_ms,
                            void *context);
    /* As the two before, for limits that upstreams named (BsLimitRecord). */
    void (*fill_limit_records)(GArray *limit_records, int64_t now_ms,
                               void *context);
    void (*on_limit_records)(const GArray *limit_records, int64_t now_ms,
                             void *context);
    /* Sends a datagram to the instance at ADDRESS; it may be lost. */
    void (*send)(uint32_t address, const char *data, size_t size_bytes,
                 void *context);
    /* A member sent its own report; only while no hubs are used. */
    void (*on_peer_report)(uint32_t address, const BsGossipReport *report,
                           int64_t now_ms, void *context);
    /* No message was received from the member for its timeout. */
    void (*on_unresponsive)(const BsGossipMember *member, void *context);
    /* Hubs are used from now on: counts from peers' own reports no longer
       apply. */
    void (*on_hubs_used)(void *context);
    /* The hub reported counts for the rest of the fleet, or the counts were
       removed because no reachable hub is in use. */
    void (*on_changes)(const BsFleetChanges *changes, int64_t now_ms,
                       void *context);
    /* An instance has received items up to revision NEWEST. */
    void (*on_newest)(uint64_t newest, int64_t now_ms, void *context);
    /* The hub in use changed to the instance at ADDRESS; 0: none. */
    void (*on_hub_changed)(uint32_t address, void *context);
    /* An instance sent RECORDS (BsStreamRecord) of streams. */
    void (*on_stream_records)(const GArray *records, int64_t now_ms,
                              void *context);
    /* An instance asks for streams: moves those of QUESTIONS
       (BsStreamQuestion) that can be answered to RECORDS (BsStreamRecord). */
    void (*answer_questions)(GArray *questions, GArray *records,
                             int64_t now_ms, void *context);
} BsFleetEvents;

typedef struct BsFleetAgent BsFleetAgent;

/* Creates the agent of an instance; ADDRESS to WEIGHT are as for
   BsGossip_Create().  INCARNATION must increase with each start of the
   instance.  EVENTS and CONTEXT must outlive the agent. */
BsFleetAgent *BsFleetAgent_Create(uint32_t address, uint32_t data_centre,
                                  uint32_t weight, uint64_t incarnation,
                                  uint32_t seed, const BsFleetEvents *events,
                                  void *context, int64_t now_ms);

/* Frees AGENT; NULL is allowed. */
void BsFleetAgent_Destroy(BsFleetAgent *agent);

/* Returns the membership table, owned by AGENT. */
BsGossip *BsFleetAgent_Gossip(const BsFleetAgent *agent);

/* Processes a datagram from ADDRESS.  Returns false if it is malformed. */
bool BsFleetAgent_Receive(BsFleetAgent *agent, uint32_t address,
                          const char *data, size_t size_bytes, int64_t now_ms);

/* Sends the reports that are due.  CHANGED says that this instance's state
   changed since the last call. */
void BsFleetAgent_SendReports(BsFleetAgent *agent, bool changed,
                              int64_t now_ms);

/* Tells the others of streams that began at this instance: RECORDS
   (BsStreamRecord). */
void BsFleetAgent_SendStreamRecords(BsFleetAgent *agent, const GArray *records,
                                    int64_t now_ms);

/* Asks the others for streams: QUESTIONS (BsStreamQuestion).  Answers come as
   records; nobody answers what is not known. */
void BsFleetAgent_AskStreams(BsFleetAgent *agent, const GArray *questions,
                             int64_t now_ms);

/* Returns whether records now reach an instance that was not told those before
   the last call. */
bool BsFleetAgent_HasNewListener(BsFleetAgent *agent, int64_t now_ms);

/* Runs the periodic work: timeouts, choice of the hub, reports and summaries.
   Call it after each BsFleetAgent_PauseMs(). */
void BsFleetAgent_Tick(BsFleetAgent *agent, int64_t now_ms);

/* Returns the time from a tick until the next one is due, in milliseconds. */
int64_t BsFleetAgent_PauseMs(const BsFleetAgent *agent, int64_t now_ms);

#endif /* BS_FLEETAGENT_H */
