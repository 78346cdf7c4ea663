/*
 * d_stop.h - planned stops.
 *
 * Rules: the first signal or POST /drain asks the core to drain, and the
 * process ends once the core has drained and every answer is out; the second
 * signal shortens the limit to nothing, so that the core ends what is left.
 */
#ifndef BS_D_STOP_H
#define BS_D_STOP_H

#include "d_callers.h"
#include "d_upstreams.h"

typedef struct BsStopSignals BsStopSignals;

/* Watches for signals and for the core's BS_DRAINED. */
BsStopSignals *BsStopSignals_Create(BsLoop *loop, BsCallers *callers);

/* Frees STOP; NULL is allowed. */
void BsStopSignals_Destroy(BsStopSignals *stop);

#endif /* BS_D_STOP_H */
