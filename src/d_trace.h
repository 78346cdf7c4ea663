/*
 * d_trace.h - export of trace spans as OTLP/HTTP JSON.
 *
 * Rules: spans wait in a bounded queue; one batch is on its way at a time; a
 * batch that the collector does not take is dropped and counted, never kept.
 */
#ifndef BS_D_TRACE_H
#define BS_D_TRACE_H

#include "d_loop.h"

typedef struct BsTrace BsTrace;

/* Exports spans to the collector of the settings; NULL without one. */
BsTrace *BsTrace_Create(BsLoop *loop);

/* Drops waiting spans; NULL is allowed. */
void BsTrace_Destroy(BsTrace *trace);

#endif /* BS_D_TRACE_H */
