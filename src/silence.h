/*
 * silence.h - what to do about an upstream that has sent nothing for a while.
 *
 * Rules: silence alone never ends an attempt, as a sound upstream may pause
 * and go on; the caller, the deadline or the upstream does.  From a limit on,
 * a request that may run again is also sent to another upstream, as long as
 * one can take it, and the first of them to go on gives the answer.
 */
#ifndef BS_SILENCE_H
#define BS_SILENCE_H

#include "targets.h"

/* An attempt that waits for its upstream; times in ms on one clock. */
typedef struct {
    bool stream;           /* its route's answers are event streams */
    bool in_events;        /* a whole event has arrived */
    bool reachable;        /* something has arrived from the upstream since the
                              request was sent, for this or another request */
    int64_t progressed_ms; /* last whole event of a stream that has one, last
                              byte of another answer, or the send */
    int64_t objective_ms;  /* latency objective of the route */
} BsSilence;

/* What another attempt needs beside the present ones. */
typedef struct {
    bool may_repeat;    /* the request may run again, and what the caller has
                           can be continued */
    bool blocked;       /* the request must not be sent any more */
    uint32_t runs_left; /* attempts that the route still allows */
    uint32_t sends_left;
    bool can_exclude;            /* one more upstream can be excluded */
    BsTargetVerdict alternative; /* whether another upstream can take it */
} BsSilenceOptions;

typedef enum {
    BS_SILENCE_WAIT,    /* go on waiting; ask again a little later */
    BS_SILENCE_ENDURE,  /* go on waiting; nothing will change that */
    BS_SILENCE_ADD_SEND /* also send the request to another upstream */
} BsSilenceStep;

/* Returns until when an attempt at a silent engine may be held beside one that
   was sent at SENT_MS: two engines may work on a request for a moment only. */
int64_t BsSilence_HoldUntilMs(int64_t sent_ms);

/* Returns from when on the attempt's upstream counts as silent. */
int64_t BsSilence_LimitMs(const BsSilence *silence);

/* Returns the step for an attempt whose upstream is silent. */
BsSilenceStep BsSilence_Decide(const BsSilenceOptions *options);

#endif /* BS_SILENCE_H */
