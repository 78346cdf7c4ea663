/*
 * tally.h - counts final answers to callers by tier and outcome.
 *
 * Rules: each final answer to a request whose account and tier are valid is
 * counted once, by the entry that sends it; caller errors and requests beyond
 * the caller's own limit are not counted.  An answer is in time when it has
 * the outcome ran and comes before the deadline.
 */
#ifndef BS_TALLY_H
#define BS_TALLY_H

#include "core.h"

/* Counts a final answer to REQUEST, whose tier is set; IN_TIME is true before
   its deadline. */
void BsTally_Answer(BsCore *core, const BsRequest *request, BsOutcome outcome,
                    bool in_time);

/* Updates the gauges before the metrics are read. */
void BsTally_Refresh(BsCore *core);

#endif /* BS_TALLY_H */
