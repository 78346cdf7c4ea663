/*
 * summary.h - a hub's summary of many instances, and its encoding.
 *
 * Rules: sums of two summaries are never added up.  A local summary goes to
 * the instances of the hub's data centre and covers the whole fleet; a remote
 * one goes to the hubs of other data centres and covers the sender's data
 * centre only.  Both hold what has changed, as far as it fits, and some of the
 * rest in rotation; receivers keep the last value of what a summary leaves
 * out.
 */
#ifndef BS_SUMMARY_H
#define BS_SUMMARY_H

#include "gossipreport.h"

typedef struct {
    uint64_t incarnation;    /* of the hub */
    uint64_t sequence;       /* of the summary, within the incarnation */
    uint32_t data_centre;    /* of the hub, hashed */
    uint32_t weight;         /* of the hub */
    uint32_t age_ms;         /* of the hub, as in its reports */
    bool remote;             /* a remote summary, see above */
    bool stopping;           /* the hub is stopping */
    BsGossipReading reading; /* of the hub */
    uint64_t revision;       /* the hub holds all items up to here */
    uint64_t newest;         /* highest revision of an item it holds */
    int64_t store_age_ms;    /* since the store last answered the hub or an
                                instance that reports to it, of the same data
                                centre; -1: unknown */
    int64_t store_failed_ms; /* time since an instance last reported that its
                                reads of the store fail; -1: not recently */
    uint32_t reachable;      /* reachable instances that it covers */
    uint32_t known;          /* the same, with unresponsive ones */
    GArray *loads;           /* BsTargetLoad, hashes truncated to 32 bits */
    GArray *uses;            /* BsQuotaUse */
    GArray *members;         /* BsGossipMemberInfo */
    GArray *crash_records;   /* BsCrashRecord */
    GArray *part_records;    /* BsPartRecord */
    GArray *limit_records;   /* BsLimitRecord */
    GArray *silent_centres;  /* BsSilentCentre; BS_CENTREWATCH_TOLD_MAX at
                                most */
} BsSummary;

/* Fills SUMMARY with empty lists, or frees its lists. */
void BsSummary_Init(BsSummary *summary);
void BsSummary_Clear(BsSummary *summary);

/* Appends the encoded SUMMARY to OUT, in at most BS_GOSSIP_MAX_BYTES; elements
   that do not fit are left out. */
void BsSummary_Encode(const BsSummary *summary, GString *out);

/* Decodes DATA into the initialized SUMMARY; returns whether it is valid. */
bool BsSummary_Decode(const char *data, size_t size_bytes, BsSummary *summary);

#endif /* BS_SUMMARY_H */
