/*
 * tally.h - what callers were told, counted by tier and outcome.
 *
 * Rules: each final answer to a request whose account and tier are valid is
 * counted once, by the entry that gives it; what the caller did wrong or used
 * beyond its own limit is not counted.  An answer is in time when it says
 * "ran" before the deadline.
 */
#ifndef BS_TALLY_H
#define BS_TALLY_H

#include "core.h"

/* Counts a final answer to REQUEST, whose tier is set; IN_TIME says that its
   deadline has not passed. */
void BsTally_Answer(BsCore *core, const BsRequest *request, BsOutcome outcome,
                    bool in_time);

/* Brings the gauges up to date before the metrics are read. */
void BsTally_Refresh(BsCore *core);

#endif /* BS_TALLY_H */
