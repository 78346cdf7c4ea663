/*
 * d_presence.h - whether the caller at the other end of a connection left.
 *
 * Rules: the HTTP server does not look at a suspended connection, and can
 * miss an end that comes together with data; this watches the same
 * descriptor beside it and never reads from it.
 */
#ifndef BS_D_PRESENCE_H
#define BS_D_PRESENCE_H

#include "d_loop.h"

typedef struct {
    struct ev_loop *ev;
    ev_io input;
    ev_timer recheck;
    BsLoopFunc on_closed;
    void *context;
    int fd;
    bool reading; /* the request's body is still read */
    bool closed;  /* the far side was closed at the last check */
    bool started;
} BsPresence;

/* Starts while a body is read on FD: a caller that leaves has its connection
   ended.  ON_CLOSED is called at most once, and only after BsPresence_Await().
 */
void BsPresence_Start(BsPresence *presence, struct ev_loop *ev, int fd,
                      BsLoopFunc on_closed, void *context);

/* Turns to waiting for an answer: ON_CLOSED is called when the caller leaves.
 */
void BsPresence_Await(BsPresence *presence);

/* Ends the watch; allowed at any time. */
void BsPresence_Stop(BsPresence *presence);

#endif /* BS_D_PRESENCE_H */
