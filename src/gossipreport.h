/*
 * gossipreport.h - what an instance tells the others, and its encoding.
 *
 * Rules: a report holds the instance's whole state and fits into a datagram.
 */
#ifndef BS_GOSSIPREPORT_H
#define BS_GOSSIPREPORT_H

#include "crasher.h"
#include "quota.h"
#include "targets.h"

/* Largest report; stays below a datagram that links carry whole. */
#define BS_GOSSIP_MAX_BYTES 1400

/* Longest time since an instance's start that is told. */
#define BS_GOSSIP_AGE_MAX_MS 60000

/* Whether an instance reads the platform's store itself. */
typedef enum {
    BS_GOSSIP_IDLE = 0, /* it hears of changes from others */
    BS_GOSSIP_READS,
    BS_GOSSIP_FAILS /* it reads, and the store does not answer it */
} BsGossipReading;

/* A member, as one instance names it to another. */
typedef struct {
    uint32_t address;
    uint32_t data_centre; /* hash of the name */
    uint32_t weight;      /* see BsGossipReport */
    bool heard;           /* the one that names it hears it */
    uint32_t age_ms;      /* since its start, BS_GOSSIP_AGE_MAX_MS at most */
    bool stopping;
    BsGossipReading reading;
    uint64_t revision;
    uint64_t newest;
} BsGossipNamed;

/* State of an instance, as it tells it. */
typedef struct {
    uint64_t incarnation; /* grows with each start of the instance */
    uint64_t sequence;    /* of the report, within the incarnation */
    uint64_t revision;    /* all published items up to here are known to it */
    uint64_t newest;      /* of the items that it knows */
    uint64_t catalog;     /* version in force; 0: none */
    BsGossipReading reading;
    uint32_t data_centre; /* hash of the name */
    uint32_t weight; /* what it can carry beside its callers: memory, MB */
    uint32_t age_ms; /* since its start, BS_GOSSIP_AGE_MAX_MS at most */
    uint32_t fleet;  /* instances of the fleet that it knows of */
    bool stopping;
    GArray *loads;    /* BsTargetLoad */
    GArray *uses;     /* BsQuotaUse */
    GArray *members;  /* BsGossipNamed; some that it heard lately */
    GArray *crashers; /* BsCrasher */
} BsGossipReport;

/* Fills REPORT with empty lists, or frees them. */
void BsGossipReport_Init(BsGossipReport *report);
void BsGossipReport_Clear(BsGossipReport *report);

/* Appends the encoded REPORT to OUT, leaving out members and loads that do
   not fit. */
void BsGossipReport_Encode(const BsGossipReport *report, GString *out);

/* Decodes into the initialized REPORT; returns whether it is valid. */
bool BsGossipReport_Decode(const char *data, size_t size_bytes,
                           BsGossipReport *report);

#endif /* BS_GOSSIPREPORT_H */
