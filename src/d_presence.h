/*
 * d_presence.h - detects that a caller closed its connection.
 *
 * Rules: the HTTP server does not poll a suspended connection, and can miss a
 * close that arrives together with data.  This module therefore polls the same
 * descriptor separately, and never reads from it.
 */
#ifndef BS_D_PRESENCE_H
#define BS_D_PRESENCE_H

#include "d_loop.h"

/* The watch of one connection. */
typedef struct {
    struct ev_loop *ev;
    ev_io input;
    ev_timer recheck;
    BsLoopFunc on_closed;
    void *context;
    int fd;
    bool reading; /* the request's body is still being read */
    bool closed;  /* the result of the last check while reading */
    bool started;
} BsPresence;

/* Starts to watch FD while the request's body is read.  If the caller closes
   its side meanwhile, the connection is shut down.  ON_CLOSED is called at
   most once, and only after BsPresence_Await(). */
void BsPresence_Start(BsPresence *presence, struct ev_loop *ev, int fd,
                      BsLoopFunc on_closed, void *context);

/* Continues the watch after the body is complete: from now on, ON_CLOSED is
   called when the caller closes its side. */
void BsPresence_Await(BsPresence *presence);

/* Ends the watch; allowed at any time, also repeatedly. */
void BsPresence_Stop(BsPresence *presence);

#endif /* BS_D_PRESENCE_H */
