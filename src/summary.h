/*
 * summary.h - what a hub tells of many instances together, and its encoding.
 *
 * Rules: sums of two summaries are never added up.  A near summary goes to
 * the instances of the hub's own data centre and speaks of the whole fleet; a
 * far one goes to the hubs of other data centres and speaks of the sender's
 * data centre only.  Both hold what changed and, in turns, the rest: what a
 * summary does not name stays as it was.
 */
#ifndef BS_SUMMARY_H
#define BS_SUMMARY_H

#include "gossipreport.h"

typedef struct {
    uint64_t incarnation; /* of the hub */
    uint64_t sequence;    /* of the summary, within the incarnation */
    uint32_t data_centre; /* of the hub, hashed */
    uint32_t weight;      /* of the hub */
    uint32_t age_ms;      /* of the hub, as in its reports */
    bool far;
    bool stopping;           /* the hub stops */
    BsGossipReading reading; /* of the hub */
    uint64_t revision;       /* all items up to here are known to the hub */
    uint64_t newest;         /* of the items that it knows */
    int64_t store_failed_ms; /* how long ago an instance said that the store
                                does not answer it; -1: not lately */
    uint32_t heard;          /* instances heard that it speaks of */
    uint32_t known;          /* the same, with those silent for a while */
    GArray *loads;           /* BsTargetLoad, hashes cut to 32 bits */
    GArray *uses;            /* BsQuotaUse */
    GArray *members;         /* BsGossipNamed */
    GArray *crashers;        /* BsCrasher */
} BsSummary;

/* Fills SUMMARY with empty lists, or frees them. */
void BsSummary_Init(BsSummary *summary);
void BsSummary_Clear(BsSummary *summary);

/* Appends the encoded SUMMARY to OUT, leaving out what does not fit. */
void BsSummary_Encode(const BsSummary *summary, GString *out);

/* Decodes into the initialized SUMMARY; returns whether it is valid. */
bool BsSummary_Decode(const char *data, size_t size_bytes, BsSummary *summary);

#endif /* BS_SUMMARY_H */
