/*
 * d_upstreams.h - transfers to engines and services.
 *
 * Rules: a dispatch opens one transfer and gives the core one final answer,
 * unless it is cancelled.  "Not run" is said only when no byte of the request
 * left or the upstream itself said so; a complete answer is "ran"; all else
 * is "unknown".
 */
#ifndef BS_D_UPSTREAMS_H
#define BS_D_UPSTREAMS_H

#include "d_loop.h"

typedef struct BsUpstreams BsUpstreams;

/* Creates the transfers of LOOP. */
BsUpstreams *BsUpstreams_Create(BsLoop *loop);

/* Ends every transfer; NULL is allowed. */
void BsUpstreams_Destroy(BsUpstreams *upstreams);

#endif /* BS_D_UPSTREAMS_H */
