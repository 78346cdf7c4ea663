/* soak_limit.c - upstreams that name how many requests a second they take. */
#include "soak.h"

#include <string.h>

/* A limit binds BOUND_MS after it was first named, for gateways that passed on
   an answer with it TOLD_MS ago; it lasts for a time between the other two. */
#define BOUND_MS 4000
#define TOLD_MS 500
#define WINDOW_MS 4000
#define LASTS_MIN_MS 6000
#define LASTS_MAX_MS 10000

/* What a window may hold: this factor on the limit, and this many more. */
#define ALLOWED_FACTOR 1.5
#define ALLOWED_MORE 5

typedef struct {
    int64_t ms;
    unsigned gateway;
} Arrival;

struct SoakLimit {
    Soak *soak;
    double per_s;     /* 0: none */
    int64_t since_ms; /* when it was first named; 0: not yet */
    int64_t until_ms;
    int64_t told_ms[SOAK_GATEWAYS_MAX]; /* when a gateway was first told of
                                           it; 0: not */
    GArray *arrivals;                   /* Arrival, of the last window */
};

SoakLimit *
SoakLimit_Create(Soak *soak)
{
    SoakLimit *limit = g_new0(SoakLimit, 1);
    limit->soak = soak;
    limit->arrivals = g_array_new(FALSE, FALSE, sizeof(Arrival));
    return limit;
}

void
SoakLimit_Destroy(SoakLimit *limit)
{
    g_array_unref(limit->arrivals);
    g_free(limit);
}

static bool
S_lasts(const SoakLimit *limit)
{
    return limit->per_s > 0 && Soak_NowMs(limit->soak) < limit->until_ms;
}

double
SoakLimit_Start(SoakLimit *limit)
{
    static const double rates[] = {0.25, 2, 5, 12};
    GRand *random = limit->soak->limit_random;
    double per_s =
        rates[g_rand_int_range(random, 0, (gint32)G_N_ELEMENTS(rates))];
    int lasts_ms = g_rand_int_range(random, LASTS_MIN_MS, LASTS_MAX_MS + 1);
    if (S_lasts(limit)) {
        return 0;
    }
    SoakLimit_End(limit);
    limit->per_s = per_s;
    limit->until_ms = Soak_NowMs(limit->soak) + lasts_ms;
    return per_s;
}

void
SoakLimit_End(SoakLimit *limit)
{
    limit->per_s = 0;
    limit->since_ms = 0;
    memset(limit->told_ms, 0, sizeof(limit->told_ms));
}

void
SoakLimit_AppendHead(SoakLimit *limit, unsigned gateway, GString *head)
{
    int64_t now_ms = Soak_NowMs(limit->soak);
    if (!S_lasts(limit)) {
        return;
    }
    g_string_append_printf(head, "Server-Limit: %g\r\n", limit->per_s);
    if (limit->since_ms == 0) {
        limit->since_ms = now_ms;
    }
    if (limit->told_ms[gateway] == 0) {
        limit->told_ms[gateway] = now_ms;
    }
}

/* Returns whether requests of the gateway count: it has been told, and had no
   fault since the window began. */
static bool
S_counts(const SoakLimit *limit, const Arrival *arrival, int64_t now_ms)
{
    int64_t told_ms = limit->told_ms[arrival->gateway];
    return told_ms > 0 && arrival->ms - told_ms >= TOLD_MS &&
           now_ms - SoakFleet_FaultMs(arrival->gateway) > WINDOW_MS;
}

static unsigned
S_count(const SoakLimit *limit, int64_t now_ms)
{
    unsigned count = 0;
    for (guint i = 0; i < limit->arrivals->len; i++) {
        const Arrival *arrival = &g_array_index(limit->arrivals, Arrival, i);
        count += arrival->ms >= limit->since_ms + BOUND_MS &&
                 S_counts(limit, arrival, now_ms);
    }
    return count;
}

void
SoakLimit_Check(SoakLimit *limit, const char *upstream, unsigned gateway)
{
    int64_t now_ms = Soak_NowMs(limit->soak);
    Arrival arrival = {now_ms, gateway};
    g_array_append_val(limit->arrivals, arrival);
    while (g_array_index(limit->arrivals, Arrival, 0).ms <=
           now_ms - WINDOW_MS) {
        g_array_remove_index(limit->arrivals, 0);
    }
    if (!S_lasts(limit) || limit->since_ms == 0) {
        return;
    }
    unsigned count = S_count(limit, now_ms);
    if (count >
        ALLOWED_FACTOR * limit->per_s * WINDOW_MS / 1000 + ALLOWED_MORE) {
        Soak_Violation(limit->soak, "limit",
                       "%s got %u in %d ms at a limit of %g a second",
                       upstream, count, WINDOW_MS, limit->per_s);
    }
}
