/* hedge.c - when a request is repeated early at a second upstream. */
#include "hedge.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Latest samples of a route that are kept, and their highest age. */
#define SAMPLES 256
#define SAMPLE_AGE_MAX_MS (120 * 1000)

/* Fewer recent samples do not show the tail: at the default percentile two
   values of 40 are above the delay. */
#define SAMPLES_MIN 40

/* The percentile is computed again after so many new samples, or so much time,
   so that sorting costs little per request. */
#define SAMPLES_PER_UPDATE 16
#define UPDATE_INTERVAL_MS 10000

/* Least delay: shorter times vary with the load of this process itself. */
#define DELAY_MIN_MS 10

/* Most early repeats saved up while none was needed. */
#define SAVED_MAX 10.0

/* Part of this instance's share of the retry budget that early repeats may
   use, as a percentage; the rest stays free for failures. */
#define BUDGET_PERCENT 50

/* A decision that comes so long after it was due shows that the process was
   stopped, for longer than the period of 100 ms in which a part of a core is
   granted.  None is sent for STALL_MS after that. */
#define LATE_MS 110
#define STALL_MS 1000

/* Upstreams that are remembered as replaced, and how often each may be in a
   row without a byte from it.  One that is only slow sends something after
   this many requests at the latest, as the next one is not cancelled. */
#define REPLACED_MAX 32
#define REPLACED_IN_A_ROW_MAX 3

#define PERCENT 100.0

typedef struct {
    uint32_t took_ms[SAMPLES];
    int64_t observed_ms[SAMPLES];
    unsigned count;
    unsigned next;
    unsigned unread;    /* samples since the last update */
    bool updated;       /* the members below are set */
    int64_t updated_ms; /* when they were */
    int64_t delay_ms;   /* 0: too few recent samples */
    int64_t usual_ms;   /* median */
} BsHedgeRoute;

typedef struct {
    double level;    /* early repeats that may be sent now */
    uint32_t queued; /* requests that wait for a slot */
} BsHedgeService;

typedef struct {
    uint64_t upstream;
    int64_t replaced_ms; /* the last time */
    unsigned in_a_row;   /* without a byte from it; 0: not used */
} BsHedgeReplaced;

struct BsHedges {
    BsHedgeLimits limits;
    GHashTable *routes;                     /* name to BsHedgeRoute */
    GHashTable *services;                   /* name to BsHedgeService */
    BsHedgeReplaced replaced[REPLACED_MAX]; /* a ring buffer */
    unsigned next_replaced;
    int64_t stalled_until_ms;
};

BsHedges *
BsHedges_Create(void)
{
    BsHedges *hedges = g_new0(BsHedges, 1);
    hedges->limits.occupancy_percent = BS_HEDGE_OCCUPANCY_PERCENT;
    hedges->limits.percentile = BS_HEDGE_PERCENTILE;
    hedges->stalled_until_ms = INT64_MIN;
    hedges->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    hedges->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return hedges;
}

void
BsHedges_Destroy(BsHedges *hedges)
{
    if (hedges != NULL) {
        g_hash_table_destroy(hedges->routes);
        g_hash_table_destroy(hedges->services);
        g_free(hedges);
    }
}

void
BsHedges_SetLimits(BsHedges *hedges, const BsHedgeLimits *limits)
{
    GHashTableIter iter;
    gpointer route;
    hedges->limits = *limits;
    g_hash_table_iter_init(&iter, hedges->routes);
    while (g_hash_table_iter_next(&iter, NULL, &route)) {
        ((BsHedgeRoute *)route)->updated = false;
    }
}

bool
BsHedges_AreOn(const BsHedges *hedges)
{
    return hedges->limits.percent > 0;
}

/* ------------------------------------------------------------- counts -- */

static BsHedgeService *
S_service(BsHedges *hedges, const char *name)
{
    BsHedgeService *service = g_hash_table_lookup(hedges->services, name);
    if (service == NULL) {
        service = g_new0(BsHedgeService, 1);
        g_hash_table_insert(hedges->services, g_strdup(name), service);
    }
    return service;
}

void
BsHedges_AddRequest(BsHedges *hedges, const char *service)
{
    if (BsHedges_AreOn(hedges)) {
        BsHedgeService *held = S_service(hedges, service);
        held->level =
            MIN(held->level + hedges->limits.percent / PERCENT, SAVED_MAX);
    }
}

void
BsHedges_Take(BsHedges *hedges, const char *service)
{
    S_service(hedges, service)->level -= 1;
}

void
BsHedges_EnterQueue(BsHedges *hedges, const char *service)
{
    S_service(hedges, service)->queued++;
}

void
BsHedges_LeaveQueue(BsHedges *hedges, const char *service)
{
    BsHedgeService *held = S_service(hedges, service);
    held->queued -= MIN(held->queued, 1);
}

static BsHedgeReplaced *
S_find_replaced(BsHedges *hedges, uint64_t upstream)
{
    for (unsigned i = 0; i < REPLACED_MAX; i++) {
        BsHedgeReplaced *replaced = &hedges->replaced[i];
        if (replaced->in_a_row > 0 && replaced->upstream == upstream) {
            return replaced;
        }
    }
    return NULL;
}

void
BsHedges_NoteReplaced(BsHedges *hedges, uint64_t upstream, int64_t received_ms,
                      int64_t now_ms)
{
    BsHedgeReplaced *replaced = S_find_replaced(hedges, upstream);
    if (replaced == NULL) {
        replaced = &hedges->replaced[hedges->next_replaced];
        hedges->next_replaced = (hedges->next_replaced + 1) % REPLACED_MAX;
        replaced->upstream = upstream;
        replaced->in_a_row = 0;
    }
    else if (received_ms > replaced->replaced_ms) {
        replaced->in_a_row = 0;
    }
    replaced->in_a_row++;
    replaced->replaced_ms = now_ms;
}

/* Returns whether nothing has arrived from the request's upstream while early
   repeats replaced it several times. */
static bool
S_is_silent(BsHedges *hedges, const BsHedgeRequest *request)
{
    const BsHedgeReplaced *replaced =
        S_find_replaced(hedges, request->upstream);
    return replaced != NULL && replaced->in_a_row >= REPLACED_IN_A_ROW_MAX &&
           request->received_ms <= replaced->replaced_ms;
}

/* -------------------------------------------------------------- delay -- */

void
BsHedges_Observe(BsHedges *hedges, const char *route, int64_t took_ms,
                 int64_t now_ms)
{
    if (!BsHedges_AreOn(hedges)) {
        return;
    }
    BsHedgeRoute *held = g_hash_table_lookup(hedges->routes, route);
    if (held == NULL) {
        held = g_new0(BsHedgeRoute, 1);
        g_hash_table_insert(hedges->routes, g_strdup(route), held);
    }
    held->took_ms[held->next] = (uint32_t)CLAMP(took_ms, 0, INT32_MAX);
    held->observed_ms[held->next] = now_ms;
    held->next = (held->next + 1) % SAMPLES;
    held->count = MIN(held->count + 1, SAMPLES);
    held->unread++;
}

static int
S_compare(const void *a, const void *b)
{
    uint32_t left = *(const uint32_t *)a;
    uint32_t right = *(const uint32_t *)b;
    return (left > right) - (left < right);
}

/* Returns the smallest of COUNT sorted values that PERCENTILE of 100 of them
   do not exceed. */
static uint32_t
S_percentile(const uint32_t *sorted, unsigned count, uint32_t percentile)
{
    unsigned rank = (unsigned)ceil(count * percentile / PERCENT);
    return sorted[CLAMP(rank, 1, count) - 1];
}

static void
S_update(const BsHedges *hedges, BsHedgeRoute *route, int64_t now_ms)
{
    uint32_t sorted[SAMPLES];
    unsigned count = 0;
    for (unsigned i = 0; i < route->count; i++) {
        if (now_ms - route->observed_ms[i] <= SAMPLE_AGE_MAX_MS) {
            sorted[count++] = route->took_ms[i];
        }
    }
    route->updated = true;
    route->updated_ms = now_ms;
    route->unread = 0;
    route->delay_ms = 0;
    route->usual_ms = 0;
    if (count < SAMPLES_MIN) {
        return;
    }
    qsort(sorted, count, sizeof(sorted[0]), S_compare);
    route->usual_ms = S_percentile(sorted, count, BS_HEDGE_PERCENTILE_MIN);
    route->delay_ms = MAX(
        S_percentile(sorted, count, hedges->limits.percentile), DELAY_MIN_MS);
}

/* Returns the times of the route NAME, up to date, or NULL when there are too
   few recent samples. */
static const BsHedgeRoute *
S_route(const BsHedges *hedges, const char *name, int64_t now_ms)
{
    BsHedgeRoute *route = g_hash_table_lookup(hedges->routes, name);
    if (route == NULL) {
        return NULL;
    }
    if (!route->updated || route->unread >= SAMPLES_PER_UPDATE ||
        now_ms - route->updated_ms >= UPDATE_INTERVAL_MS) {
        S_update(hedges, route, now_ms);
    }
    return route->delay_ms == 0 ? NULL : route;
}

int64_t
BsHedges_DelayMs(BsHedges *hedges, const char *route, int64_t now_ms)
{
    const BsHedgeRoute *held = S_route(hedges, route, now_ms);
    return held == NULL ? 0 : held->delay_ms;
}

/* ----------------------------------------------------------- decision -- */

/* Returns whether the decision is late, or one was shortly before. */
static bool
S_is_stalled(BsHedges *hedges, const BsHedgeRequest *request, int64_t now_ms)
{
    if (now_ms - request->due_ms > LATE_MS) {
        hedges->stalled_until_ms = now_ms + STALL_MS;
    }
    return now_ms < hedges->stalled_until_ms;
}

/* Returns why the state of this instance forbids an early repeat. */
static BsHedgeVerdict
S_check_instance(BsHedges *hedges, const BsHedgeRequest *request,
                 int64_t now_ms)
{
    const BsHedgeService *service = S_service(hedges, request->service);
    if (S_is_stalled(hedges, request, now_ms)) {
        return BS_HEDGE_STALLED;
    }
    if (request->stopping) {
        return BS_HEDGE_STOPPING;
    }
    if (request->overload) {
        return BS_HEDGE_OVERLOAD;
    }
    if (service->queued > 0) {
        return BS_HEDGE_QUEUED;
    }
    if (request->occupancy * PERCENT > hedges->limits.occupancy_percent) {
        return BS_HEDGE_OCCUPANCY;
    }
    /* The sum of many fractions may stay just below a whole number. */
    return service->level + 1e-6 < 1 ? BS_HEDGE_LIMIT : BS_HEDGE_SEND;
}

/* Returns why an early repeat would not help the request. */
static BsHedgeVerdict
S_check_times(BsHedges *hedges, const BsHedgeRequest *request, int64_t now_ms)
{
    const BsHedgeRoute *route = S_route(hedges, request->route, now_ms);
    if (route == NULL) {
        return BS_HEDGE_NO_SAMPLES;
    }
    if (now_ms + route->usual_ms >= request->expires_ms) {
        return BS_HEDGE_DEADLINE;
    }
    if (request->hold_ms > 0 && route->usual_ms >= request->hold_ms) {
        return BS_HEDGE_HOLD_TIME;
    }
    return S_is_silent(hedges, request) ? BS_HEDGE_SILENT : BS_HEDGE_SEND;
}

BsHedgeVerdict
BsHedges_Decide(BsHedges *hedges, const BsHedgeRequest *request,
                int64_t now_ms)
{
    if (request->suspect) {
        return BS_HEDGE_SUSPECT;
    }
    BsHedgeVerdict verdict = S_check_instance(hedges, request, now_ms);
    if (verdict == BS_HEDGE_SEND) {
        verdict = S_check_times(hedges, request, now_ms);
    }
    double most = request->budget.allowed * BUDGET_PERCENT / PERCENT;
    if (verdict == BS_HEDGE_SEND &&
        (double)request->budget.retries + 1 > most) {
        verdict = BS_HEDGE_BUDGET;
    }
    return verdict;
}

const char *
BsHedgeVerdict_Name(BsHedgeVerdict verdict)
{
    static const char *const names[BS_HEDGE_VERDICTS] = {
        [BS_HEDGE_SEND] = "none",
        [BS_HEDGE_NO_SAMPLES] = "no_samples",
        [BS_HEDGE_STALLED] = "stalled",
        [BS_HEDGE_STOPPING] = "stopping",
        [BS_HEDGE_OVERLOAD] = "overload",
        [BS_HEDGE_QUEUED] = "queued",
        [BS_HEDGE_SUSPECT] = "suspect",
        [BS_HEDGE_LIMIT] = "limit",
        [BS_HEDGE_DEADLINE] = "deadline",
        [BS_HEDGE_HOLD_TIME] = "hold_time",
        [BS_HEDGE_SILENT] = "silent",
        [BS_HEDGE_BUDGET] = "budget",
        [BS_HEDGE_OCCUPANCY] = "occupancy",
        [BS_HEDGE_NO_SLOT] = "no_slot",
    };
    return names[verdict];
}

bool
BsHedge_KeepsFirst(bool first_reachable, bool second_reachable)
{
    return first_reachable || !second_reachable;
}
