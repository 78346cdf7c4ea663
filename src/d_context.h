/*
 * d_context.h - W3C trace contexts.
 */
#ifndef BS_D_CONTEXT_H
#define BS_D_CONTEXT_H

#include "d_loop.h"

/* One hop of a trace, from its start to its publication. */
typedef struct {
    char *traceparent; /* of this span */
    char *parent;      /* span id of the parent, or NULL */
    int64_t start_ms;
} BsHop;

/* Starts a hop under the context PARENT; NULL starts a trace, sampled by the
   settings. */
void BsHop_Start(BsHop *hop, BsLoop *loop, const char *parent);

/* Publishes a sampled hop as BS_SPAN, and clears it.  Ending a hop that was
   not started does nothing. */
void BsHop_End(BsHop *hop, BsLoop *loop, const char *name,
               const char *request_id);

/* Returns whether TRACEPARENT asks for its spans to be recorded. */
bool BsContext_IsSampled(const char *traceparent);

#endif /* BS_D_CONTEXT_H */
