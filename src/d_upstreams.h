/*
 * d_upstreams.h - transfers to engines and services.
 *
 * Rules: a dispatch starts one transfer, or none when the upstream's address
 * is unknown, and gives the core one final answer unless it is cancelled.  The
 * outcome is "not run" only when no byte of the request was sent or the
 * upstream itself reported so; it is "ran" for a complete answer and "unknown"
 * in all other cases.
 */
#ifndef BS_D_UPSTREAMS_H
#define BS_D_UPSTREAMS_H

#include "d_loop.h"

typedef struct BsUpstreams BsUpstreams;

/* Creates an empty set of transfers and handles LOOP's messages to dispatch,
   cancel and pause transfers, and its instance lists. */
BsUpstreams *BsUpstreams_Create(BsLoop *loop);

/* Aborts every transfer and frees UPSTREAMS; NULL is allowed. */
void BsUpstreams_Destroy(BsUpstreams *upstreams);

#endif /* BS_D_UPSTREAMS_H */
