/*
 * daycount.h - the counters from which the owner's evening page is written.
 *
 * They bear the names that evening.c reads, so that one page serves daemons
 * and gateways.  A gateway has no tiers of its own: the rank of the route
 * stands for one.
 */
#ifndef BS_DAYCOUNT_H
#define BS_DAYCOUNT_H

#include "counter.h"

/* What is known of a request once its caller has the final answer. */
typedef enum { BS_DAY_RAN, BS_DAY_NOT_RUN, BS_DAY_UNKNOWN } BsDayOutcome;

/* Makes COUNTERS tell that double runs are looked for. */
void BsDayCount_Start(BsCounters *counters);

/* Counts the final answer to a request of RANK.  ONCE is set for one that may
   run once at most; IN_TIME tells whether its objective was met. */
void BsDayCount_Answer(BsCounters *counters, uint32_t rank, bool once,
                       BsDayOutcome outcome, bool in_time);

/* Counts a request that was sent again though it may run once at most and an
   earlier attempt may have run. */
void BsDayCount_DoubleRun(BsCounters *counters);

#endif /* BS_DAYCOUNT_H */
