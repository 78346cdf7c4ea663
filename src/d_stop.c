/* d_stop.c - graceful shutdown. */
#include "d_stop.h"

#include <signal.h>
#include <syslog.h>

#define CHECK_S 0.05

/* Time after the drain limit for the last responses to be sent. */
#define FLUSH_MS 2000

/* Time after the core has drained in which a request on an open connection is
   still refused with the news that the connection closes. */
#define ANNOUNCE_MS 500

/* Drain limit after a second signal. */
#define SECOND_SIGNAL_LIMIT_MS 1

/* Time after the drain limit in which the core may still report BS_DRAINED. */
#define LIMIT_GRACE_MS 6000

struct BsStopSignals {
    BsLoop *loop;
    BsCallers *callers;
    ev_signal term;
    ev_signal interrupt;
    ev_timer check;
    int64_t limit_ms;       /* when waiting requests are failed */
    int64_t flush_until_ms; /* end of sending the last responses, or 0 */
    int64_t drained_ms;     /* when the core had drained, or 0 */
    bool draining;
};

/* Ends waiting requests with an unknown outcome and starts the time limit for
   the last responses, unless that was done. */
static void
S_fail_waiting(BsStopSignals *stop)
{
    if (stop->flush_until_ms != 0) {
        return;
    }
    BsLoop_Log(stop->loop, LOG_WARNING,
               "the drain limit has passed: waiting requests end with an "
               "unknown outcome, unsent responses are cut off");
    BsCallers_FailAll(stop->callers, BS_ERR_DRAINING);
    stop->flush_until_ms = BsLoop_NowMs(stop->loop) + FLUSH_MS;
}

/* Returns whether the core has drained, every response is sent, and callers
   that use their connections again know that these close. */
static bool
S_is_finished(const BsStopSignals *stop, int64_t now_ms)
{
    return stop->drained_ms != 0 && BsCallers_IsDone(stop->callers) &&
           (now_ms >= stop->drained_ms + ANNOUNCE_MS ||
            BsCallers_CountConnections(stop->callers) == 0);
}

static void
S_on_check(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    BsStopSignals *stop = watcher->data;
    int64_t now_ms = BsLoop_NowMs(stop->loop);
    if (now_ms >= stop->limit_ms) {
        S_fail_waiting(stop);
    }
    bool failed = stop->flush_until_ms != 0;
    bool overdue = failed && (now_ms >= stop->flush_until_ms ||
                              BsCallers_IsDone(stop->callers));
    if (overdue || S_is_finished(stop, now_ms)) {
        BsLoop_Log(stop->loop, LOG_NOTICE, "stopped");
        BsLoop_Stop(stop->loop);
    }
}

static void
S_on_drain(const BsMessage *message, void *context)
{
    BsStopSignals *stop = context;
    int64_t limit_ms =
        BsLoop_NowMs(stop->loop) + message->u.drain.limit_ms + LIMIT_GRACE_MS;
    if (!stop->draining) {
        stop->draining = true;
        stop->limit_ms = limit_ms;
        BsCallers_StartDrain(stop->callers);
        ev_timer_start(BsLoop_Ev(stop->loop), &stop->check);
    }
    stop->limit_ms = MIN(stop->limit_ms, limit_ms);
}

static void
S_on_drained(const BsMessage *message, void *context)
{
    BsStopSignals *stop = context;
    (void)message;
    if (stop->drained_ms == 0) {
        stop->drained_ms = BsLoop_NowMs(stop->loop);
    }
}

static void
S_on_signal(struct ev_loop *ev, ev_signal *watcher, int events)
{
    (void)ev;
    (void)events;
    BsStopSignals *stop = watcher->data;
    BsMessage *message = BsMessage_Create(BS_DRAIN);
    message->u.drain.limit_ms =
        stop->draining ? SECOND_SIGNAL_LIMIT_MS
                       : BsLoop_Settings(stop->loop)->drain_limit_ms;
    BsLoop_Post(stop->loop, message);
}

static void
S_watch_signal(BsStopSignals *stop, ev_signal *watcher, int number)
{
    ev_signal_init(watcher, S_on_signal, number);
    watcher->data = stop;
    ev_signal_start(BsLoop_Ev(stop->loop), watcher);
}

BsStopSignals *
BsStopSignals_Create(BsLoop *loop, BsCallers *callers)
{
    BsStopSignals *stop = g_new0(BsStopSignals, 1);
    stop->loop = loop;
    stop->callers = callers;
    S_watch_signal(stop, &stop->term, SIGTERM);
    S_watch_signal(stop, &stop->interrupt, SIGINT);
    ev_timer_init(&stop->check, S_on_check, CHECK_S, CHECK_S);
    stop->check.data = stop;
    BsLoop_Handle(loop, BS_DRAIN, S_on_drain, stop);
    BsLoop_Handle(loop, BS_DRAINED, S_on_drained, stop);
    return stop;
}

void
BsStopSignals_Destroy(BsStopSignals *stop)
{
    if (stop == NULL) {
        return;
    }
    ev_signal_stop(BsLoop_Ev(stop->loop), &stop->term);
    ev_signal_stop(BsLoop_Ev(stop->loop), &stop->interrupt);
    ev_timer_stop(BsLoop_Ev(stop->loop), &stop->check);
    g_free(stop);
}
