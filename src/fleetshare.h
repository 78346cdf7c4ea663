/*
 * fleetshare.h - the share of a limit on the whole fleet that an instance may
 * use.
 *
 * Rules: instances that are in touch use their part of a limit together: their
 * number divided by the largest size of the fleet that may be true.  Sums over
 * parts that cannot reach each other then stay within the limit.
 *
 * That size is the largest one counted within an hour, here or by another
 * instance that told of it.  A process that starts has counted nothing.  Until
 * an instance that knows the fleet tells it, it multiplies what it counts by
 * the proportion of all seeds to those it has seen: a part of the fleet with
 * some of the seeds then uses at most that part of a limit.  One that has seen
 * nobody assumes a larger fleet than any.
 *
 * A process that starts, or resumes after a pause, does not know what was used
 * just before.  It begins with empty buckets, apart from a credit that it
 * takes from what the operators tolerate above a limit
 * (docs/design/fleet-sums.md).
 */
#ifndef BS_FLEETSHARE_H
#define BS_FLEETSHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Size of the fleet that an instance assumes which has seen no other one since
   its start although it has seeds: three times the largest fleet tested. */
#define BS_FLEETSHARE_UNKNOWN_INSTANCES 1024

/* The largest size of the fleet is held for this long. */
#define BS_FLEETSHARE_HOLD_MS 3600000

/* An instance whose clock advances by more than this between two ticks was
   paused. */
#define BS_FLEETSHARE_PAUSE_MS 1000

/* What an instance counts now; all counts include itself. */
typedef struct {
    unsigned reachable;  /* instances that it is in touch with */
    unsigned counted;    /* instances that it or its hub saw within a minute */
    unsigned known;      /* the same, or more that others reported */
    unsigned seeds;      /* 0: it has none and is none */
    unsigned seeds_seen; /* since its start */
    bool is_seed;        /* it is a seed itself */
    bool is_single;      /* it has no seeds and was never contacted */
} BsFleetCounts;

typedef struct BsFleetShare BsFleetShare;

BsFleetShare *BsFleetShare_Create(void);

/* Frees SHARE; NULL is allowed. */
void BsFleetShare_Destroy(BsFleetShare *share);

/* Records what is counted now. */
void BsFleetShare_Note(BsFleetShare *share, const BsFleetCounts *counts,
                       int64_t now_ms);

/* Records the largest size that another instance told of; it was counted
   AGE_MS ago. */
void BsFleetShare_Learn(BsFleetShare *share, unsigned largest, int64_t age_ms,
                        int64_t now_ms);

/* Returns the largest size of the fleet that this instance may tell others,
   and sets AGE_MS to the time since it was counted; 0 until it has seen all
   seeds or was told by an instance that had. */
unsigned BsFleetShare_Tell(const BsFleetShare *share,
                           const BsFleetCounts *counts, int64_t now_ms,
                           int64_t *age_ms);

/* Returns the largest size of the fleet that may be true. */
unsigned BsFleetShare_AtMost(const BsFleetShare *share,
                             const BsFleetCounts *counts, int64_t now_ms);

/* Returns the fraction of a limit that the reachable instances may use
   together: 1 while all are reachable. */
double BsFleetShare_Fraction(const BsFleetShare *share,
                             const BsFleetCounts *counts, int64_t now_ms);

/* Returns the credit of one process at its start, in a fleet of INSTANCES,
   where operators tolerate TOLERANCE above a limit in a window. */
double BsFleetShare_StartCredit(double tolerance, unsigned instances);

/* Returns whether an instance was paused that last ticked at LAST_MS;
   INT64_MIN: it has not ticked. */
bool BsFleetShare_WasPaused(int64_t last_ms, int64_t now_ms);

#endif /* BS_FLEETSHARE_H */
