/*
 * baseline.h - simple policies to measure the scheduler against.
 *
 * Rules: under a baseline every instance dispatches to every upstream at
 * once, with no owner, tiers, queue or limits; the load it sees is the
 * upstream's last report, as old as that is.
 */
#ifndef BS_BASELINE_H
#define BS_BASELINE_H

#include "pool.h"

/* Returns the upstream that POLICY (BsPolicy) picks, or NULL. */
BsUpstream *BsBaseline_Pick(const BsPool *pool, uint32_t policy, GRand *random,
                            uint32_t *turn);

#endif /* BS_BASELINE_H */
