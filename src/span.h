/*
 * span.h - trace spans of the hops inside the fleet.
 *
 * Rules: a request without a sampled W3C trace context gets no span; the span
 * of a hop is the parent of those of later hops.
 */
#ifndef BS_SPAN_H
#define BS_SPAN_H

#include "core.h"

/* A span that has begun; all zero when there is none. */
typedef struct {
    char *traceparent; /* context of this span */
    char *parent;      /* span id of the parent */
    int64_t start_ms;
} BsSpanScope;

/* Begins a span for REQUEST and puts its context into REQUEST. */
void BsSpanScope_Begin(BsSpanScope *scope, BsCore *core, BsRequest *request);

/* Emits the span under NAME and clears SCOPE. */
void BsSpanScope_End(BsSpanScope *scope, BsCore *core, const char *name,
                     const char *request_id);

/* Clears SCOPE without emitting it. */
void BsSpanScope_Clear(BsSpanScope *scope);

#endif /* BS_SPAN_H */
