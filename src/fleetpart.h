/*
 * fleetpart.h - an instance's part in the fleet: who is there, what the others
 * do, and what they are told, as datagrams.
 *
 * In a small fleet every instance tells every other one (gossip.h).  In a
 * large one it tells the hub of its data centre, and hears the sums of all
 * others from it (hub.h, fleetview.h); it may be that hub itself.
 *
 * Rules: state only, so that a lost datagram is mended by the next; nothing
 * here waits, reads a clock or touches a socket.
 */
#ifndef BS_FLEETPART_H
#define BS_FLEETPART_H

#include "gossip.h"

/* Largest datagram. */
#define BS_FLEET_MAX_BYTES (BS_GOSSIP_MAX_BYTES + 8)

/* What the others do, where a hub tells it. */
typedef struct {
    const GArray *loads;  /* BsTargetLoad: what changed */
    const GArray *uses;   /* BsQuotaUse: totals that grow */
    uint64_t incarnation; /* the totals begin anew with another one */
} BsFleetChanges;

/* What the fleet asks of its owner and tells it; every member is set. */
typedef struct {
    /* Fills in what this instance knows (revisions, reading, stopping) and,
       when WORK, what it does: loads, uses. */
    void (*fill)(BsGossipReport *report, bool work, int64_t now_ms,
                 void *context);
    /* Appends the BsCrasher that others are to know. */
    void (*fill_crashers)(GArray *crashers, int64_t now_ms, void *context);
    /* A member told CRASHERS (BsCrasher), its own or others'. */
    void (*on_crashers)(const GArray *crashers, int64_t now_ms, void *context);
    void (*send)(uint32_t address, const char *data, size_t size_bytes,
                 void *context);
    /* A member told its state itself. */
    void (*on_peer_report)(uint32_t address, const BsGossipReport *report,
                           int64_t now_ms, void *context);
    void (*on_unresponsive)(const BsGossipMember *member, void *context);
    /* What peers told themselves does not count any more: a hub tells. */
    void (*on_hubs_used)(void *context);
    void (*on_changes)(const BsFleetChanges *changes, int64_t now_ms,
                       void *context);
    /* Items up to NEWEST are known to some instance. */
    void (*on_newest)(uint64_t newest, int64_t now_ms, void *context);
    /* Another instance is the hub; 0: none. */
    void (*on_hub_changed)(uint32_t address, void *context);
} BsFleetEvents;

typedef struct BsFleetAgent BsFleetAgent;

/* Creates the part of an instance as BsGossip_Create().  INCARNATION grows
   with each start of it. */
BsFleetAgent *BsFleetAgent_Create(uint32_t address, uint32_t data_centre,
                                  uint32_t weight, uint64_t incarnation,
                                  uint32_t seed, const BsFleetEvents *events,
                                  void *context, int64_t now_ms);

/* Frees FLEET; NULL is allowed. */
void BsFleetAgent_Destroy(BsFleetAgent *agent);

/* Returns the table of members. */
BsGossip *BsFleetAgent_Gossip(const BsFleetAgent *agent);

/* Takes in a datagram; returns whether it can be read. */
bool BsFleetAgent_Receive(BsFleetAgent *agent, uint32_t address,
                          const char *data, size_t size_bytes, int64_t now_ms);

/* Sends what is due; CHANGED says that there is news. */
void BsFleetAgent_SendReports(BsFleetAgent *agent, bool changed,
                              int64_t now_ms);

/* Does what time brings: call it after each BsFleetPart_PauseMs(). */
void BsFleetAgent_Tick(BsFleetAgent *agent, int64_t now_ms);

/* Returns how long after a tick the next one is due. */
int64_t BsFleetAgent_PauseMs(const BsFleetAgent *agent, int64_t now_ms);

#endif /* BS_FLEETPART_H */
