/*
 * d_trace.h - export of trace spans as OTLP/HTTP JSON.
 *
 * Rules: spans are held in a bounded queue and sent in batches, one at a time.
 * A batch that the collector does not accept is dropped and counted, never
 * retried.
 */
#ifndef BS_D_TRACE_H
#define BS_D_TRACE_H

#include "d_loop.h"

typedef struct BsTrace BsTrace;

/* Exports published spans to the collector named in the settings; returns NULL
   when none is. */
BsTrace *BsTrace_Create(BsLoop *loop);

/* Drops spans that were not sent; NULL is allowed. */
void BsTrace_Destroy(BsTrace *trace);

#endif /* BS_D_TRACE_H */
