/*
 * baseline.h - simple policies as a baseline for measurements of the
 * scheduler.
 *
 * Rules: under a baseline every instance dispatches to every upstream
 * immediately, without owners, tiers, queues or limits.  It knows the load of
 * an upstream from the upstream's last report, however old, and from the
 * requests that it started and ended itself since.
 */
#ifndef BS_BASELINE_H
#define BS_BASELINE_H

#include "pool.h"

/* Returns the upstream that POLICY, a BsPolicy, chooses from POOL, or NULL
   when it has none.  TURN is the round-robin position and is advanced. */
BsUpstream *BsBaseline_Pick(const BsPool *pool, uint32_t policy, GRand *random,
                            uint32_t *turn);

#endif /* BS_BASELINE_H */
