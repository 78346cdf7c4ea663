/*
 * daycount.h - a gateway's counters for the operator's daily report.
 *
 * They have the names that dailyreport.c reads, so that one report covers
 * daemons and gateways.  A gateway has no tiers: the rank of the route is used
 * as the tier.
 */
#ifndef BS_DAYCOUNT_H
#define BS_DAYCOUNT_H

#include "counter.h"

/* Outcome of a request, as known when the caller gets the final answer. */
typedef enum { BS_DAY_RAN, BS_DAY_NOT_RUN, BS_DAY_UNKNOWN } BsDayOutcome;

/* Adds the counter of double runs at 0, which shows that they are counted. */
void BsDayCount_Start(BsCounters *counters);

/* Counts the final answer to a request of RANK.  AT_MOST_ONCE is true for a
   request that must not run twice, IN_TIME if its objective was met. */
void BsDayCount_Answer(BsCounters *counters, uint32_t rank, bool at_most_once,
                       BsDayOutcome outcome, bool in_time);

/* Counts an at-most-once request that was sent again although an earlier
   attempt may have run. */
void BsDayCount_DoubleRun(BsCounters *counters);

#endif /* BS_DAYCOUNT_H */
