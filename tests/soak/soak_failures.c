/* soak_failures.c - upstreams that fail in series, beside restarts of all
 * gateways at once. */
#include "soak.h"

#include <signal.h>

#define CRASH_MIN_MS 200
#define CRASH_MAX_MS 2500

/* How much longer than callers wait an upstream may read nothing. */
#define PAUSE_OVER_MIN_MS 200
#define PAUSE_OVER_MAX_MS 2000

/* Pauses of all upstreams at once: long against the window of retries. */
#define LONG_MIN_MS (SOAK_RETRY_WINDOW_MS / 2)
#define LONG_MAX_MS (SOAK_RETRY_WINDOW_MS * 9 / 10)

#define DOWN_MIN_MS 50
#define DOWN_MAX_MS 300

/* Of the restarts, one in this many is planned. */
#define PLANNED_ONE_IN 6

static ev_timer S_failures;
static ev_timer S_restarts;
static ev_timer S_pauses;

static int
S_draw(Soak *soak, int low, int high)
{
    return g_rand_int_range(soak->failure_random, low, high + 1);
}

static void
S_pause(Soak *soak, unsigned number, int pause_ms)
{
    if (SoakProxy_FallSilent(SoakUpstream_Proxy(soak->upstreams[number]),
                             pause_ms, true)) {
        Soak_Log(soak, "upstream %u: reads nothing for %d ms", number,
                 pause_ms);
    }
}

static void
S_crash(Soak *soak, unsigned number)
{
    int down_ms = S_draw(soak, CRASH_MIN_MS, CRASH_MAX_MS);
    Soak_Log(soak, "upstream %u crashes for %d ms", number, down_ms);
    SoakUpstream_Crash(soak->upstreams[number], down_ms);
}

/* Lets an upstream fail in another way, or well again. */
static void
S_change(Soak *soak, unsigned number)
{
    static const SoakFailure failures[] = {SOAK_SOUND,    SOAK_SOUND,
                                           SOAK_REFUSING, SOAK_REFUSING,
                                           SOAK_CLOSING,  SOAK_LATE};
    int draw = S_draw(soak, 0, 2 + G_N_ELEMENTS(failures) - 1);
    if (draw == 0) {
        S_pause(soak, number,
                soak->deadline_ms +
                    S_draw(soak, PAUSE_OVER_MIN_MS, PAUSE_OVER_MAX_MS));
    }
    else if (draw == 1) {
        S_crash(soak, number);
    }
    else {
        SoakFailure failure = failures[draw - 2];
        Soak_Log(soak, "upstream %u: failure %d", number, failure);
        SoakUpstream_SetFailure(soak->upstreams[number], failure);
    }
}

static void
S_on_failures(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Soak *soak = watcher->data;
    int all = (int)soak->upstream_count;
    int count = S_draw(soak, 1, all);
    int first = S_draw(soak, 0, all - 1);
    for (int i = 0; i < count; i++) {
        S_change(soak, (unsigned)((first + i) % all));
    }
}

static void
S_on_pauses(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Soak *soak = watcher->data;
    int pause_ms = S_draw(soak, LONG_MIN_MS, LONG_MAX_MS);
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        S_pause(soak, i, pause_ms);
    }
}

static void
S_on_restarts(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Soak *soak = watcher->data;
    bool planned = S_draw(soak, 1, PLANNED_ONE_IN) == 1;
    Soak_Log(soak, "all gateways: %s", planned ? "SIGTERM" : "SIGKILL");
    for (unsigned i = 0; i < soak->gateway_count; i++) {
        SoakFleet_Signal(soak, i, planned ? SIGTERM : SIGKILL,
                         S_draw(soak, DOWN_MIN_MS, DOWN_MAX_MS));
    }
}

static void
S_start(Soak *soak, ev_timer *timer, int64_t pause_ms,
        void (*func)(struct ev_loop *, ev_timer *, int))
{
    double pause_s = (double)pause_ms / 1000.0;
    ev_timer_init(timer, func, pause_s, pause_s);
    timer->data = soak;
    if (pause_ms > 0) {
        soak->trouble_ms = INT64_MAX;
        ev_timer_start(soak->loop, timer);
    }
}

void
SoakFailures_Start(Soak *soak)
{
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        SoakProxy_SetCopies(SoakUpstream_Proxy(soak->upstreams[i]),
                            soak->copies);
    }
    S_start(soak, &S_failures, soak->failure_pause_ms, S_on_failures);
    S_start(soak, &S_restarts, soak->restart_pause_ms, S_on_restarts);
    S_start(soak, &S_pauses, soak->long_pause_ms, S_on_pauses);
}

void
SoakFailures_Stop(Soak *soak)
{
    ev_timer_stop(soak->loop, &S_failures);
    ev_timer_stop(soak->loop, &S_restarts);
    ev_timer_stop(soak->loop, &S_pauses);
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        SoakUpstream_SetFailure(soak->upstreams[i], SOAK_SOUND);
        SoakProxy_SetCopies(SoakUpstream_Proxy(soak->upstreams[i]), false);
    }
}
