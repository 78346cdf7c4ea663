/*
 * d_stop.h - graceful shutdown.
 *
 * Rules: the first signal or POST /drain makes the core drain; the process
 * ends once the core has drained and every response is sent, which may take
 * until the drain limit when callers read slowly.  A second signal shortens
 * the drain limit to almost nothing, so that the core ends the remaining
 * requests.
 */
#ifndef BS_D_STOP_H
#define BS_D_STOP_H

#include "d_callers.h"
#include "d_upstreams.h"

typedef struct BsStopSignals BsStopSignals;

/* Starts watching for SIGTERM, SIGINT, BS_DRAIN and BS_DRAINED. */
BsStopSignals *BsStopSignals_Create(BsLoop *loop, BsCallers *callers);

/* Frees STOP; NULL is allowed. */
void BsStopSignals_Destroy(BsStopSignals *stop);

#endif /* BS_D_STOP_H */
