/*
 * gossipreport.h - the report of an instance's state, and its encoding.
 *
 * Rules: a report holds the instance's whole state and fits into a datagram.
 */
#ifndef BS_GOSSIPREPORT_H
#define BS_GOSSIPREPORT_H

#include "centrewatch.h"
#include "crashlist.h"
#include "crashparts.h"
#include "quota.h"
#include "targets.h"

/* Largest report; a datagram of this size is not fragmented by the links. */
#define BS_GOSSIP_MAX_BYTES 1400

/* Longest time since an instance's start that is reported. */
#define BS_GOSSIP_AGE_MAX_MS 60000

/* Whether an instance reads the platform's store itself. */
typedef enum {
    BS_GOSSIP_IDLE = 0, /* no; it receives changes from other instances */
    BS_GOSSIP_READS,
    BS_GOSSIP_FAILS /* its reads of the store fail */
} BsGossipReading;

/* A member, as one instance describes it to another. */
typedef struct {
    uint32_t address;
    uint32_t data_centre; /* hash of the name */
    uint32_t weight;      /* see BsGossipReport */
    bool reachable;       /* reachable from the sender */
    uint32_t age_ms;      /* since its start, BS_GOSSIP_AGE_MAX_MS at most */
    bool stopping;
    BsGossipReading reading;
    uint64_t revision; /* see BsGossipReport */
    uint64_t newest;   /* see BsGossipReport */
} BsGossipMemberInfo;

/* State of an instance, as it reports it. */
typedef struct {
    uint64_t incarnation; /* grows with each start of the instance */
    uint64_t sequence;    /* of the report, within the incarnation */
    uint64_t revision;    /* it holds all published items up to here */
    uint64_t newest;      /* highest revision of an item that it holds */
    uint64_t catalog;     /* catalog version in force; 0: none */
    BsGossipReading reading;
    int64_t store_age_ms; /* since the store last answered it; -1: unknown */
    uint32_t data_centre; /* hash of the name */
    uint32_t weight;  /* capacity beside its callers' requests: memory, MB */
    uint32_t age_ms;  /* since its start, BS_GOSSIP_AGE_MAX_MS at most */
    uint32_t fleet;   /* size of the fleet that it has counted */
    uint32_t largest; /* largest size of the fleet; 0: it cannot tell */
    int64_t largest_age_ms; /* since LARGEST was counted; -1: unknown */
    bool stopping;
    GArray *loads;          /* BsTargetLoad */
    GArray *uses;           /* BsQuotaUse */
    GArray *members;        /* BsGossipMemberInfo; some reachable members */
    GArray *crash_records;  /* BsCrashRecord */
    GArray *part_records;   /* BsPartRecord */
    GArray *limit_records;  /* BsLimitRecord */
    GArray *silent_centres; /* BsSilentCentre; BS_CENTREWATCH_TOLD_MAX at
                               most */
} BsGossipReport;

/* Fills REPORT with empty lists, or frees its lists. */
void BsGossipReport_Init(BsGossipReport *report);
void BsGossipReport_Clear(BsGossipReport *report);

/* Appends the encoded REPORT to OUT, in at most BS_GOSSIP_MAX_BYTES.  Elements
   that do not fit are left out; members go first, then loads. */
void BsGossipReport_Encode(const BsGossipReport *report, GString *out);

/* Decodes DATA into the initialized REPORT; returns whether it is valid. */
bool BsGossipReport_Decode(const char *data, size_t size_bytes,
                           BsGossipReport *report);

#endif /* BS_GOSSIPREPORT_H */
