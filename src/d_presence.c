/* d_presence.c - detects that a caller closed its connection. */
#include "d_presence.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#define RECHECK_INTERVAL_S 0.5

/* Returns whether the caller closed its half of the connection, or the
   connection failed. */
static bool
S_is_closed(const BsPresence *presence)
{
    struct pollfd state = {.fd = presence->fd, .events = POLLRDHUP};
    return poll(&state, 1, 0) != 0;
}

/* Shuts down a connection whose caller's half was closed at two checks in a
   row. */
static void
S_check_reading(BsPresence *presence)
{
    bool closed = S_is_closed(presence);
    if (closed && presence->closed) {
        shutdown(presence->fd, SHUT_RDWR);
    }
    presence->closed = closed;
}

static void
S_check(BsPresence *presence)
{
    if (presence->reading) {
        S_check_reading(presence);
    }
    else if (S_is_closed(presence)) {
        BsPresence_Stop(presence);
        presence->on_closed(presence->context);
    }
    else {
        /* Unread data keeps the descriptor readable, so check again by timer
           instead of spinning. */
        ev_io_stop(presence->ev, &presence->input);
        ev_timer_start(presence->ev, &presence->recheck);
    }
}

static void
S_on_input(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    S_check(watcher->data);
}

static void
S_on_recheck(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    S_check(watcher->data);
}

void
BsPresence_Start(BsPresence *presence, struct ev_loop *ev, int fd,
                 BsLoopFunc on_closed, void *context)
{
    memset(presence, 0, sizeof(*presence));
    presence->ev = ev;
    presence->fd = fd;
    presence->on_closed = on_closed;
    presence->context = context;
    presence->reading = true;
    presence->started = true;
    ev_io_init(&presence->input, S_on_input, fd, EV_READ);
    presence->input.data = presence;
    ev_timer_init(&presence->recheck, S_on_recheck, RECHECK_INTERVAL_S,
                  RECHECK_INTERVAL_S);
    presence->recheck.data = presence;
    ev_timer_start(ev, &presence->recheck);
}

void
BsPresence_Await(BsPresence *presence)
{
    ev_timer_stop(presence->ev, &presence->recheck);
    presence->reading = false;
    ev_io_start(presence->ev, &presence->input);
}

void
BsPresence_Stop(BsPresence *presence)
{
    if (presence->started) {
        ev_io_stop(presence->ev, &presence->input);
        ev_timer_stop(presence->ev, &presence->recheck);
    }
}
