/*
 * d_context.h - W3C trace contexts and the span of one hop.
 */
#ifndef BS_D_CONTEXT_H
#define BS_D_CONTEXT_H

#include "d_loop.h"

/* The open span of one hop: a request in this process on its way from the
   caller to the upstream. */
typedef struct {
    char *traceparent; /* of this span */
    char *parent;      /* span id of the parent, or NULL */
    int64_t start_ms;
} BsHop;

/* Starts the span of a hop as a child of the traceparent PARENT.  When PARENT
   is NULL or has the wrong length, starts a new trace and decides by the
   settings' sample rate whether it is recorded. */
void BsHop_Start(BsHop *hop, BsLoop *loop, const char *parent);

/* Ends the span: publishes it as BS_SPAN if its trace is sampled, and clears
   HOP.  Does nothing if the span was not started. */
void BsHop_End(BsHop *hop, BsLoop *loop, const char *name,
               const char *request_id);

/* Returns whether the sampled flag of TRACEPARENT is set; false if it
   is NULL or has the wrong length. */
bool BsContext_IsSampled(const char *traceparent);

#endif /* BS_D_CONTEXT_H */
