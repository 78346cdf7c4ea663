/*
 * linewait.h - until when a request waits in line for a place.
 *
 * Rules: a request waits for a part of its objective; one that an upstream may
 * have run, so that its caller cannot be told otherwise, gets the same time
 * once more.  In an overload, whatever could only be late makes
 * room.  A caller that has a part of its answer gains nothing by an early end:
 * its request waits until the caller would leave.
 */
#ifndef BS_LINEWAIT_H
#define BS_LINEWAIT_H

#include "boragespur.h"

/* A request that finds no place; times in ms on the clock of NOW_MS. */
typedef struct {
    int64_t arrived_ms;
    int64_t expires_ms;
    int64_t objective_ms; /* in which its answer is to begin */
    int64_t in_time_ms;   /* sent by then, it meets its objective */
    int64_t leaves_ms;    /* when the caller of a begun answer leaves */
    bool overload;        /* others were refused lately */
    bool sent;            /* an upstream may have run it */
    bool begun;           /* its caller has a part of the answer */
} BsLineWait;

/* Returns when the request WAIT gives up, at or after NOW_MS. */
int64_t BsLineWait_UntilMs(const BsLineWait *wait, int64_t now_ms);

#endif /* BS_LINEWAIT_H */
