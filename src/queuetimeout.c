/* queuetimeout.c - how long a request is queued before it is given up. */
#include "queuetimeout.h"

/* Fraction of the objective that a request may be queued; the rest is needed
   to run it. */
#define WAIT_FRACTION 0.75

/* Least fraction in an overload: about the time until some slot is free. */
#define OVERLOAD_WAIT_FRACTION 0.125

/* Longest wait for upstreams that are all silent. */
#define SILENCE_WAIT_MS 2000

static int64_t
S_fraction_ms(const BsQueueTimeout *wait, double fraction)
{
    return (int64_t)(fraction * (double)wait->objective_ms);
}

/* Returns when a request whose answer has not started is given up.  In an
   overload it makes room when it can no longer meet its objective. */
static int64_t
S_unstarted_until_ms(const BsQueueTimeout *wait, int64_t now_ms)
{
    int64_t since_ms = wait->sent ? now_ms : wait->arrived_ms;
    int64_t until_ms = since_ms + S_fraction_ms(wait, WAIT_FRACTION);
    if (wait->overload) {
        int64_t least_ms =
            now_ms + S_fraction_ms(wait, OVERLOAD_WAIT_FRACTION);
        until_ms = MIN(until_ms, MAX(wait->in_time_ms, least_ms));
    }
    return until_ms;
}

int64_t
BsQueueTimeout_SilentUntilMs(const BsQueueTimeout *wait)
{
    int64_t half_ms = (wait->expires_ms - wait->arrived_ms) / 2;
    return wait->arrived_ms + MIN(SILENCE_WAIT_MS, half_ms);
}

int64_t
BsQueueTimeout_UntilMs(const BsQueueTimeout *wait, int64_t now_ms)
{
    int64_t until_ms =
        wait->started ? wait->leaves_ms : S_unstarted_until_ms(wait, now_ms);
    return MAX(now_ms, MIN(until_ms, wait->expires_ms));
}
