/*
 * span.h - trace spans of the hops of a request between instances.
 *
 * Rules: a request without a sampled W3C trace context gets no span; the span
 * of each hop is the parent of the span of the next hop.
 */
#ifndef BS_SPAN_H
#define BS_SPAN_H

#include "core.h"

/* A span that was started and has not ended.  To be zeroed before its first
   use. */
typedef struct {
    char *traceparent; /* context of this span, NULL if there is none */
    char *parent;      /* span id of the parent */
    int64_t start_ms;
} BsSpanScope;

/* Starts a span and sets the trace context of REQUEST to it, if REQUEST is
   sampled. */
void BsSpanScope_Begin(BsSpanScope *scope, BsCore *core, BsRequest *request);

/* Ends the span, emits it under NAME and clears SCOPE.  Does nothing if there
   is no span. */
void BsSpanScope_End(BsSpanScope *scope, BsCore *core, const char *name,
                     const char *request_id);

/* Clears SCOPE without emitting it. */
void BsSpanScope_Clear(BsSpanScope *scope);

#endif /* BS_SPAN_H */
