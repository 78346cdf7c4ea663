/* quota.c - rate limits of accounts and retry budgets for the whole fleet. */
#include "quota.h"

#include "fleetshare.h"
#include "targets.h"

#include <math.h>
#include <string.h>

/* Longest retry delay that is sent to a caller over its limit. */
#define RETRY_AFTER_MAX_MS 10000

/* Fraction of the tolerance that is used: reports from peers arrive late, and
   the last request admitted may be large. */
#define TOLERANCE_FRACTION 0.5

/* Window in which operators count an account's use against its limit. */
#define QUOTA_WINDOW_S 8.0

/* For this long after a refusal an account counts as over its limit. */
#define OVER_LIMIT_MS 2000

/* Ranks that leave a part of the bucket to more urgent ones; less urgent ones
   than these leave no more. */
#define URGENT_RANKS_MAX 3

/* For this long after a start, the credit grows as the fleet becomes known,
   and callers are told to retry as if the fleet were complete. */
#define START_MS 2000

/* Percentage of its share of the fleet's retry budget that an instance uses.
 */
#define RETRY_PERCENT 70

/* The same in the first window after the start.  The process before may have
   used RETRY_PERCENT just before it ended, and both together must stay
   within the share. */
#define RETRY_START_PERCENT 25

/* Spans that a window is counted in.  Retries are counted in one more, so that
   each counts for a whole window at least; requests are not, so that none
   counts for longer than a window. */
#define REQUEST_SPANS 20
#define RETRY_SPANS (REQUEST_SPANS + 1)

/* Spans that are kept: two windows, for retries that were given up. */
#define KEPT_SPANS (2 * REQUEST_SPANS + 1)

G_STATIC_ASSERT(RETRY_PERCENT + RETRY_START_PERCENT <= 100);

/* Key of the rest of the fleet in the table of peers; not a valid address. */
#define FLEET_PEER 0

#define MS_PER_S 1000.0
#define PERCENT 100.0

typedef struct {
    uint64_t hash;    /* of the account's name */
    double per_s;     /* limit of the account */
    double burst;     /* the same */
    double level;     /* within the limit */
    double tolerated; /* within the tolerance */
    double credit;    /* included in both, of the start */
    int64_t filled_ms;
    int64_t over_until_ms; /* over its limit, by the last refusal */
    bool open;  /* the limit is known, and the values after it are set */
    bool taken; /* this instance's own use was asked for */
    uint64_t own_used;
    int64_t peers_pending; /* used by peers, not yet deducted; below 0 when
                              they refunded more */
} BsQuotaBucket;

typedef struct {
    uint64_t incarnation;
    int64_t reported_ms; /* last report */
    GHashTable *used;    /* account hash to uint64_t */
} BsQuotaPeer;

struct BsQuotas {
    GHashTable *buckets; /* account hash to BsQuotaBucket */
    GHashTable *peers;   /* number to BsQuotaPeer */
    double over;         /* tolerance, as a fraction of the limit */
    double slack;        /* tolerance, in requests or tokens */
    double share;
    double urgent;      /* part of a bucket that each rank leaves to more
                           urgent ones */
    unsigned instances; /* that may each take a credit at their start */
    int64_t started_ms; /* of the process, or the end of its last pause;
                           INT64_MIN: unknown */
    int64_t now_ms;     /* last time passed in */
    int64_t ticked_ms;  /* last tick; INT64_MIN: none */
};

static void
S_destroy_peer(gpointer data)
{
    BsQuotaPeer *peer = data;
    g_hash_table_destroy(peer->used);
    g_free(peer);
}

BsQuotas *
BsQuotas_Create(double over, double slack)
{
    BsQuotas *quotas = g_new0(BsQuotas, 1);
    BsQuotas_SetTolerance(quotas, over, slack);
    quotas->buckets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    quotas->peers = g_hash_table_new_full(NULL, NULL, NULL, S_destroy_peer);
    quotas->share = 1.0;
    quotas->instances = BS_FLEETSHARE_UNKNOWN_INSTANCES;
    quotas->started_ms = INT64_MIN;
    quotas->now_ms = INT64_MIN;
    quotas->ticked_ms = INT64_MIN;
    return quotas;
}

void
BsQuotas_SetTolerance(BsQuotas *quotas, double over, double slack)
{
    quotas->over = over;
    quotas->slack = slack;
}

void
BsQuotas_Destroy(BsQuotas *quotas)
{
    if (quotas == NULL) {
        return;
    }
    g_hash_table_destroy(quotas->buckets);
    g_hash_table_destroy(quotas->peers);
    g_free(quotas);
}

uint64_t
BsQuotas_Cost(const BsCatalogAccount *account, bool has_tokens,
              uint64_t tokens)
{
    if (!account->counts_tokens) {
        return 1;
    }
    return has_tokens ? tokens : account->plain_tokens;
}

static BsQuotaBucket *
S_find_or_add_hash(BsQuotas *quotas, uint64_t hash)
{
    BsQuotaBucket *bucket = g_hash_table_lookup(quotas->buckets, &hash);
    if (bucket == NULL) {
        bucket = g_new0(BsQuotaBucket, 1);
        bucket->hash = hash;
        g_hash_table_insert(quotas->buckets, &bucket->hash, bucket);
    }
    return bucket;
}

static BsQuotaBucket *
S_find_or_add(BsQuotas *quotas, const char *name)
{
    return S_find_or_add_hash(quotas, BsTargets_Hash(name));
}

static double
S_refill_one(double level, double passed_s, double per_s, double burst,
             double used)
{
    level = level + passed_s * per_s - used;
    /* The debt is at most one burst, so that an account waits no longer after
       overuse than one burst takes to refill. */
    return CLAMP(level, -MAX(burst, 1.0), burst);
}

/* Returns the credit of a process that starts, from the bucket's tolerance. */
static double
S_credit(const BsQuotas *quotas, const BsQuotaBucket *bucket)
{
    double limit = bucket->per_s * QUOTA_WINDOW_S + bucket->burst;
    return BsFleetShare_StartCredit(limit * quotas->over + quotas->slack,
                                    quotas->instances);
}

/* Returns the fraction of the tolerance that is used.  While many instances
   are out of reach it is kept for what all parts use until a cut is noticed.
 */
static double
S_tolerance(const BsQuotas *quotas)
{
    return TOLERANCE_FRACTION * MAX(2 * quotas->share - 1, 0);
}

/* Refills BUCKET and deducts what the peers used since the last refill. */
static void
S_refill(const BsQuotas *quotas, BsQuotaBucket *bucket)
{
    if (!bucket->open) {
        return;
    }
    double per_s = bucket->per_s * quotas->share;
    double burst = bucket->burst * quotas->share;
    double tolerance = S_tolerance(quotas);
    double over = 1.0 + quotas->over * tolerance;
    double most = burst * over + quotas->slack * tolerance * quotas->share;
    int64_t passed_ms = MAX(0, quotas->now_ms - bucket->filled_ms);
    double passed_s = (double)passed_ms / MS_PER_S;
    double used = (double)bucket->peers_pending;
    bucket->filled_ms += passed_ms;
    bucket->peers_pending = 0;
    bucket->level = S_refill_one(bucket->level, passed_s, per_s, burst, used);
    bucket->tolerated =
        S_refill_one(bucket->tolerated, passed_s, per_s * over, most, used);
}

static void
S_refill_all(const BsQuotas *quotas)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        S_refill(quotas, value);
    }
}

/* Leaves only the credit of a start in all buckets: what was used meanwhile is
   not known. */
static void
S_resume(BsQuotas *quotas)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsQuotaBucket *bucket = value;
        bucket->credit = S_credit(quotas, bucket);
        bucket->level = MIN(bucket->level, bucket->credit);
        bucket->tolerated = MIN(bucket->tolerated, bucket->credit);
        bucket->filled_ms = quotas->now_ms;
        bucket->peers_pending = 0;
    }
    g_hash_table_remove_all(quotas->peers);
    quotas->started_ms = quotas->now_ms;
}

/* Takes over the time, and notices the end of a pause. */
static void
S_set_now(BsQuotas *quotas, int64_t now_ms)
{
    quotas->now_ms = MAX(quotas->now_ms, now_ms);
    if (quotas->started_ms == INT64_MIN) {
        quotas->started_ms = quotas->now_ms;
    }
    if (BsFleetShare_WasPaused(quotas->ticked_ms, now_ms)) {
        quotas->ticked_ms = now_ms;
        S_resume(quotas);
    }
}

void
BsQuotas_SetStart(BsQuotas *quotas, int64_t started_ms)
{
    quotas->started_ms = started_ms;
}

void
BsQuotas_Tick(BsQuotas *quotas, int64_t now_ms)
{
    S_set_now(quotas, now_ms);
    quotas->ticked_ms = now_ms;
}

void
BsQuotas_SetShare(BsQuotas *quotas, double share)
{
    if (share != quotas->share) {
        S_refill_all(quotas); /* the time until now goes by the old share */
        quotas->share = share;
    }
}

/* Returns whether the process started, or resumed, a short time ago. */
static bool
S_is_starting(const BsQuotas *quotas)
{
    return quotas->now_ms < quotas->started_ms + START_MS;
}

void
BsQuotas_SetInstances(BsQuotas *quotas, unsigned instances)
{
    bool fewer = instances < quotas->instances;
    quotas->instances = instances;
    if (!fewer || !S_is_starting(quotas)) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsQuotaBucket *bucket = value;
        double credit = S_credit(quotas, bucket);
        if (bucket->open && credit > bucket->credit) {
            bucket->level += credit - bucket->credit;
            bucket->tolerated += credit - bucket->credit;
            bucket->credit = credit;
        }
    }
}

/* Fills BUCKET for the first time: since the process started. */
static void
S_open(const BsQuotas *quotas, BsQuotaBucket *bucket)
{
    bucket->open = true;
    bucket->credit = S_credit(quotas, bucket);
    bucket->level = bucket->credit;
    bucket->tolerated = bucket->credit;
    bucket->filled_ms = quotas->started_ms;
}

/* Refills BUCKET of ACCOUNT, which has a limit. */
static void
S_refill_for(const BsQuotas *quotas, BsQuotaBucket *bucket,
             const BsCatalogAccount *account)
{
    bucket->per_s = account->per_s;
    bucket->burst = account->burst;
    if (!bucket->open) {
        S_open(quotas, bucket);
    }
    S_refill(quotas, bucket);
}

void
BsQuotas_Track(BsQuotas *quotas, const BsCatalogAccount *account,
               int64_t now_ms)
{
    S_set_now(quotas, now_ms);
    if (account->per_s > 0) {
        S_refill_for(quotas, S_find_or_add(quotas, account->name), account);
    }
}

void
BsQuotas_SetUrgent(BsQuotas *quotas, uint32_t percent)
{
    quotas->urgent = percent / PERCENT;
}

/* Returns the level of BUCKET above which a request of RANK is admitted. */
static double
S_least_level(const BsQuotas *quotas, const BsQuotaBucket *bucket,
              uint32_t rank)
{
    if (quotas->now_ms >= bucket->over_until_ms) {
        return 0;
    }
    return quotas->urgent * MIN(rank, URGENT_RANKS_MAX) * bucket->burst *
           quotas->share;
}

/* Returns after how many milliseconds a caller may retry whose request needs a
   level above LEAST. */
static int64_t
S_wait_ms(const BsQuotas *quotas, const BsQuotaBucket *bucket, double least)
{
    double share = S_is_starting(quotas) ? 1.0 : quotas->share;
    double wait_s = (least - bucket->level) / (bucket->per_s * share);
    return (int64_t)CLAMP(wait_s * MS_PER_S, 1, RETRY_AFTER_MAX_MS);
}

/* As BsQuotas_TakeRanked(), with the bucket of ACCOUNT. */
static int64_t
S_take(const BsQuotas *quotas, BsQuotaBucket *bucket,
       const BsCatalogAccount *account, const BsQuotaRequest *request)
{
    if (account->per_s > 0) {
        S_refill_for(quotas, bucket, account);
        double least = S_least_level(quotas, bucket, request->rank);
        bool admitted = bucket->tolerated > 0 &&
                        (request->tolerant || bucket->level > least);
        if (!admitted) {
            bucket->over_until_ms = quotas->now_ms + OVER_LIMIT_MS;
            return S_wait_ms(quotas, bucket, least);
        }
        bucket->level -= (double)request->cost;
        bucket->tolerated -= (double)request->cost;
    }
    bucket->taken = true;
    bucket->own_used += request->cost;
    return 0;
}

int64_t
BsQuotas_TakeRanked(BsQuotas *quotas, const BsCatalogAccount *account,
                    const BsQuotaRequest *request, int64_t now_ms)
{
    S_set_now(quotas, now_ms);
    return S_take(quotas, S_find_or_add(quotas, account->name), account,
                  request);
}

int64_t
BsQuotas_Take(BsQuotas *quotas, const BsCatalogAccount *account, uint64_t cost,
              bool tolerant, int64_t now_ms)
{
    BsQuotaRequest request = {.cost = cost, .tolerant = tolerant};
    return BsQuotas_TakeRanked(quotas, account, &request, now_ms);
}

int64_t
BsQuotas_Peek(BsQuotas *quotas, const BsCatalogAccount *account, uint64_t cost,
              bool tolerant, int64_t now_ms)
{
    BsQuotaRequest request = {.cost = cost, .tolerant = tolerant};
    return BsQuotas_PeekRanked(quotas, account, &request, now_ms);
}

int64_t
BsQuotas_PeekRanked(BsQuotas *quotas, const BsCatalogAccount *account,
                    const BsQuotaRequest *request, int64_t now_ms)
{
    uint64_t hash = BsTargets_Hash(account->name);
    const BsQuotaBucket *bucket = g_hash_table_lookup(quotas->buckets, &hash);
    BsQuotas at = *quotas;
    BsQuotaBucket copy = {0};
    at.now_ms = MAX(at.now_ms, now_ms);
    if (at.started_ms == INT64_MIN) {
        at.started_ms = at.now_ms;
    }
    if (bucket != NULL) {
        copy = *bucket;
    }
    return S_take(&at, &copy, account, request);
}

int64_t
BsQuotas_Left(BsQuotas *quotas, const BsCatalogAccount *account)
{
    return (int64_t)S_find_or_add(quotas, account->name)->level;
}

double
BsQuotas_Share(const BsQuotas *quotas)
{
    return quotas->share;
}

void
BsQuotas_GiveBack(BsQuotas *quotas, const BsCatalogAccount *account,
                  uint64_t cost)
{
    BsQuotaBucket *bucket = S_find_or_add(quotas, account->name);
    bucket->level += (double)cost;
    bucket->tolerated += (double)cost;
    bucket->own_used -= MIN(bucket->own_used, cost);
}

/* Returns the totals reported by PEER, empty ones when INCARNATION is new or
   its last report is old: an unreachable peer uses its own share, which must
   not be deducted when it returns.  Sets KNOWN to whether they are not empty.
 */
static BsQuotaPeer *
S_find_or_reset_peer(BsQuotas *quotas, uint32_t peer, uint64_t incarnation,
                     bool *known)
{
    BsQuotaPeer *held =
        g_hash_table_lookup(quotas->peers, GUINT_TO_POINTER(peer));
    *known = held != NULL && held->incarnation == incarnation &&
             !BsFleetShare_WasPaused(held->reported_ms, quotas->now_ms);
    if (!*known) {
        held = g_new0(BsQuotaPeer, 1);
        held->incarnation = incarnation;
        held->used =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
        g_hash_table_insert(quotas->peers, GUINT_TO_POINTER(peer), held);
    }
    held->reported_ms = quotas->now_ms;
    return held;
}

/* Stores the total USE that PEER reported and deducts its growth from
   BEFORE. */
static void
S_add_peer_use(BsQuotas *quotas, BsQuotaPeer *peer, const BsQuotaUse *use,
               uint64_t before)
{
    if (use->used != before) {
        BsQuotaBucket *bucket = S_find_or_add_hash(quotas, use->hash);
        S_refill(quotas, bucket);
        /* A total shrinks when a request that did not run is refunded. */
        bucket->peers_pending += (int64_t)(use->used - before);
    }
    g_hash_table_replace(peer->used, g_memdup2(&use->hash, sizeof(use->hash)),
                         g_memdup2(&use->used, sizeof(use->used)));
}

void
BsQuotas_SetPeer(BsQuotas *quotas, uint32_t peer, uint64_t incarnation,
                 const GArray *uses)
{
    bool known;
    BsQuotaPeer *held =
        S_find_or_reset_peer(quotas, peer, incarnation, &known);
    for (guint i = 0; i < uses->len; i++) {
        const BsQuotaUse *use = &g_array_index(uses, BsQuotaUse, i);
        const uint64_t *before = g_hash_table_lookup(held->used, &use->hash);
        /* Use before the first report of a peer is not deducted. */
        S_add_peer_use(quotas, held, use,
                       !known           ? use->used
                       : before != NULL ? *before
                                        : 0);
    }
}

void
BsQuotas_SetFleet(BsQuotas *quotas, uint64_t incarnation, const GArray *uses)
{
    bool known;
    BsQuotaPeer *held =
        S_find_or_reset_peer(quotas, FLEET_PEER, incarnation, &known);
    for (guint i = 0; i < uses->len; i++) {
        const BsQuotaUse *use = &g_array_index(uses, BsQuotaUse, i);
        const uint64_t *before = g_hash_table_lookup(held->used, &use->hash);
        /* It is not known since when a hub's sums count, so only their growth
           is deducted. */
        S_add_peer_use(quotas, held, use,
                       before != NULL ? *before : use->used);
    }
}

void
BsQuotas_AppendUses(const BsQuotas *quotas, GArray *uses)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsQuotaBucket *bucket = value;
        BsQuotaUse use = {bucket->hash, bucket->own_used};
        if (bucket->taken) {
            g_array_append_val(uses, use);
        }
    }
}

/* ----------------------------------------------------- retry budgets -- */

typedef struct {
    uint64_t requests[KEPT_SPANS];
    uint64_t retries[KEPT_SPANS];   /* that have arrived */
    uint64_t abandoned[KEPT_SPANS]; /* given up without an answer */
    uint64_t open;      /* granted, and neither arrived nor given up */
    size_t newest;      /* index of the newest span */
    int64_t started_ms; /* when the newest span began */
} BsRetryCounts;

struct BsRetryBudget {
    double ratio;
    double slack;
    int64_t started_ms;
    int64_t window_ms;
    int64_t span_ms;
    GHashTable *services; /* name to BsRetryCounts */
};

BsRetryBudget *
BsRetryBudget_Create(double ratio, double slack, int64_t window_ms,
                     int64_t started_ms)
{
    BsRetryBudget *budget = g_new0(BsRetryBudget, 1);
    budget->started_ms = started_ms;
    BsRetryBudget_SetBounds(budget, ratio, slack, window_ms);
    budget->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return budget;
}

void
BsRetryBudget_SetBounds(BsRetryBudget *budget, double ratio, double slack,
                        int64_t window_ms)
{
    budget->ratio = ratio;
    budget->slack = slack;
    budget->window_ms = window_ms;
    /* Rounded up, so that REQUEST_SPANS complete ones cover a window. */
    budget->span_ms = MAX(1, (window_ms + REQUEST_SPANS - 1) / REQUEST_SPANS);
}

void
BsRetryBudget_Destroy(BsRetryBudget *budget)
{
    if (budget == NULL) {
        return;
    }
    g_hash_table_destroy(budget->services);
    g_free(budget);
}

/* Returns the counts of SERVICE, with expired spans cleared. */
static BsRetryCounts *
S_current_counts(BsRetryBudget *budget, const char *service, int64_t now_ms)
{
    BsRetryCounts *counts = g_hash_table_lookup(budget->services, service);
    if (counts == NULL) {
        counts = g_new0(BsRetryCounts, 1);
        counts->started_ms = now_ms;
        g_hash_table_insert(budget->services, g_strdup(service), counts);
    }
    /* Spans are not numbered by the clock, as their length may change. */
    int64_t passed = MAX(0, (now_ms - counts->started_ms) / budget->span_ms);
    for (int64_t i = 0; i < MIN(passed, KEPT_SPANS); i++) {
        counts->newest = (counts->newest + 1) % KEPT_SPANS;
        counts->requests[counts->newest] = 0;
        counts->retries[counts->newest] = 0;
        counts->abandoned[counts->newest] = 0;
    }
    counts->started_ms += passed * budget->span_ms;
    return counts;
}

void
BsRetryBudget_AddRequest(BsRetryBudget *budget, const char *service,
                         int64_t now_ms)
{
    BsRetryCounts *counts = S_current_counts(budget, service, now_ms);
    counts->requests[counts->newest]++;
}

/* Returns what COUNTS, which are current, allow in a fleet of INSTANCES. */
static BsRetryBudgetState
S_read_counts(const BsRetryBudget *budget, const BsRetryCounts *counts,
              unsigned instances, int64_t now_ms)
{
    BsRetryBudgetState state = {.retries = counts->open};
    for (size_t i = 0; i < KEPT_SPANS; i++) {
        size_t age = (counts->newest + KEPT_SPANS - i) % KEPT_SPANS;
        state.requests += age < REQUEST_SPANS ? counts->requests[i] : 0;
        state.retries += age < RETRY_SPANS ? counts->retries[i] : 0;
        state.retries += counts->abandoned[i];
    }
    double by_requests = budget->ratio * (double)state.requests;
    double by_slack = budget->slack / MAX(instances, 1);
    int64_t age_ms = now_ms - budget->started_ms;
    if (age_ms >= budget->window_ms) {
        state.allowed = RETRY_PERCENT / PERCENT * (by_requests + by_slack);
        return state;
    }
    /* The slack grows with the age, as several short-lived processes may have
       used a part of it one after the other. */
    double age = (double)MAX(age_ms, 0) / (double)budget->window_ms;
    state.allowed =
        RETRY_START_PERCENT / PERCENT * (by_requests + by_slack * age);
    return state;
}

bool
BsRetryBudget_Take(BsRetryBudget *budget, const char *service,
                   unsigned instances, int64_t now_ms)
{
    BsRetryCounts *counts = S_current_counts(budget, service, now_ms);
    BsRetryBudgetState state =
        S_read_counts(budget, counts, instances, now_ms);
    if ((double)state.retries + 1 > state.allowed) {
        return false;
    }
    counts->open++;
    return true;
}

void
BsRetryBudget_Settle(BsRetryBudget *budget, const char *service,
                     unsigned count, int64_t now_ms)
{
    BsRetryCounts *counts = S_current_counts(budget, service, now_ms);
    uint64_t settled = MIN(counts->open, count);
    counts->open -= settled;
    counts->retries[counts->newest] += settled;
}

void
BsRetryBudget_Abandon(BsRetryBudget *budget, const char *service,
                      int64_t now_ms)
{
    BsRetryCounts *counts = S_current_counts(budget, service, now_ms);
    if (counts->open > 0) {
        counts->open--;
        counts->abandoned[counts->newest]++;
    }
}

void
BsRetryBudget_GiveBack(BsRetryBudget *budget, const char *service,
                       int64_t now_ms)
{
    BsRetryCounts *counts = S_current_counts(budget, service, now_ms);
    counts->open -= MIN(counts->open, 1);
}

BsRetryBudgetState
BsRetryBudget_Read(BsRetryBudget *budget, const char *service,
                   unsigned instances, int64_t now_ms)
{
    return S_read_counts(budget, S_current_counts(budget, service, now_ms),
                         instances, now_ms);
}
