/*
 * placement.h - the cost of a stream at one of several engines of unlike
 * speed.
 *
 * While an engine reads a prompt, the answers that it writes beside it pause,
 * longer at a slow engine and for more callers at a loaded one.  So long
 * prompts should go to fast engines, and short ones with long answers, which
 * any engine writes fast enough, should leave these free.
 *
 * Rules: the cost depends only on the arguments.  Speeds are relative to the
 * mean of the service, so that no figure of an engine is built in but the
 * ratio of reading to writing.
 */
#ifndef BS_PLACEMENT_H
#define BS_PLACEMENT_H

#include "boragespur.h"

/* A request, and an engine that could run it. */
typedef struct {
    uint32_t prompt_tokens;  /* to be read there */
    uint64_t waiting_tokens; /* of prompts that are read before it */
    double usual_tokens;     /* mean prompt of the service; 0: unknown */
    double slowness; /* time for the same work, relative to the mean of the
                        service's engines */
    uint32_t load;   /* requests in progress there */
    /* The expected answer: */
    double events;   /* of which it consists; 0: unknown */
    double event_ms; /* time for each there; 0: unknown */
    int64_t left_ms; /* until the request's deadline */
} BsPlacement;

/* Returns the cost of the request at that engine, in milliseconds; lower is
   better. */
double BsPlacement_CostMs(const BsPlacement *placement);

/* Returns whether the answer is expected to end in time, or its end is
   unknown. */
bool BsPlacement_Fits(const BsPlacement *placement);

/* Returns the mean prompt after one of PROMPT_TOKENS; MEAN_TOKENS is the mean
   before it, 0 without one. */
double BsPlacement_UpdateMean(double mean_tokens, uint32_t prompt_tokens);

#endif /* BS_PLACEMENT_H */
