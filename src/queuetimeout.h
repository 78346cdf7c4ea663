/*
 * queuetimeout.h - how long a request is queued before it is given up.
 *
 * Rules: a request is queued for a fraction of its objective.  If an upstream
 * may have run it, so that its caller cannot be told that it did not run, it
 * gets that time again.  In an overload a request that can no longer meet its
 * objective is given up to make room.  A caller that has received the first
 * part of its answer gains nothing by an early end: its request is queued
 * until the caller would disconnect.  While all upstreams are silent, a
 * request is queued for as long as a sound upstream may pause, but at most for
 * half of its time, so that its caller can still retry.
 */
#ifndef BS_QUEUETIMEOUT_H
#define BS_QUEUETIMEOUT_H

#include "boragespur.h"

/* A request that finds no free slot; times in ms on the clock of NOW_MS. */
typedef struct {
    int64_t arrived_ms;
    int64_t expires_ms;
    int64_t objective_ms; /* duration within which the answer is to start */
    int64_t in_time_ms;   /* latest dispatch that meets the objective */
    int64_t leaves_ms;    /* when the caller of a started answer disconnects */
    bool overload;        /* other requests were refused recently */
    bool sent;            /* an upstream may have run it */
    bool started;         /* first part of the answer was forwarded */
} BsQueueTimeout;

/* Returns until when the request WAIT, which was not sent, is queued while all
   upstreams are silent: they may go on together. */
int64_t BsQueueTimeout_SilentUntilMs(const BsQueueTimeout *wait);

/* Returns when the request WAIT is given up, NOW_MS or later. */
int64_t BsQueueTimeout_UntilMs(const BsQueueTimeout *wait, int64_t now_ms);

#endif /* BS_QUEUETIMEOUT_H */
