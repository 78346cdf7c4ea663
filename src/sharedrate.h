/*
 * sharedrate.h - a rate of requests to one upstream that all instances share.
 *
 * Rules: only a few of the reachable instances send to the upstream, fewer
 * than the requests that its rate allows in some seconds, as requests that
 * several instances send at the same time cannot be counted in time.  They are
 * in the data centre of the upstream where one is reachable.  Instances that
 * reach the same others find the same senders without a message.  All values
 * are passed in; nothing is kept here.
 */
#ifndef BS_SHAREDRATE_H
#define BS_SHAREDRATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* An instance of the fleet that this one can reach, or this one itself. */
typedef struct {
    uint32_t address;
    uint32_t data_centre; /* lower 32 bits of the hash of its name */
} BsRateSender;

/* The order of the instances that can send to an upstream, for one of them. */
typedef struct {
    bool sends;      /* it is in the order */
    unsigned before; /* instances that rank before it */
    unsigned count;  /* instances in the order */
} BsRateRank;

/* Token bucket of an instance; a request takes one from LEVEL. */
typedef struct {
    double level;
    int64_t filled_ms; /* last refill */
} BsRateBucket;

/* Returns the rank of INSTANCE among SENDERS (BsRateSender, with INSTANCE; may
   be empty when it is alone) for the upstream with the hash UPSTREAM in
   DATA_CENTRE. */
BsRateRank BsSharedRate_Rank(const GArray *senders,
                             const BsRateSender *instance, uint64_t upstream,
                             uint32_t data_centre);

/* Returns how many instances may send to an upstream that takes PER_S requests
   a second from all of them. */
unsigned BsSharedRate_Senders(double per_s);

/* Returns the largest level of a bucket that is filled by PER_S. */
double BsRateBucket_Most(double per_s);

/* Refills BUCKET by PER_S; returns whether one request may be sent. */
bool BsRateBucket_Fill(BsRateBucket *bucket, double per_s, int64_t now_ms);

#endif /* BS_SHAREDRATE_H */
