/* pool.c - the waiting work and the upstreams of one model or service. */
#include "pool.h"

#include "member.h"

/* Time between two measurements of the rate. */
#define MEASURE_MS 1000

/* Weight of a new measurement in the moving average of the rate. */
#define MEASURE_WEIGHT 0.3

/* Load above that of the least loaded upstream, as a share of the limit, up to
   which the one with the highest affinity for a prefix is used. */
#define AFFINITY_LOAD_SLACK 0.25

#define MS_PER_S 1000.0

BsPool *
BsPool_Create(const char *serves)
{
    BsPool *pool = g_new0(BsPool, 1);
    pool->serves = g_strdup(serves);
    pool->queue = BsQueue_Create();
    pool->upstreams = g_ptr_array_new();
    pool->aside = g_ptr_array_new();
    return pool;
}

void
BsPool_Destroy(BsPool *pool)
{
    BsQueue_Destroy(pool->queue);
    g_ptr_array_unref(pool->upstreams);
    g_ptr_array_unref(pool->aside);
    g_free(pool->serves);
    g_free(pool->version);
    g_free(pool->largest);
    g_free(pool);
}

/* Returns the share of the request or token limit in use, whichever is
   larger. */
static double
S_load(const BsUpstream *upstream, const BsColdStart *cold, int64_t now_ms)
{
    uint32_t requests_limit;
    uint32_t tokens_limit;
    uint32_t requests;
    uint32_t tokens;
    BsUpstream_Limit(upstream, cold, now_ms, &requests_limit, &tokens_limit);
    BsUpstream_InFlight(upstream, now_ms, &requests, &tokens);
    return MAX((double)requests / MAX(requests_limit, 1),
               (double)tokens / MAX(tokens_limit, 1));
}

/* Returns the preference for UPSTREAM for a prefix; one that has the prefix
   cached ranks above all that do not. */
static uint64_t
S_affinity(const BsUpstream *upstream, uint64_t prefix_hash)
{
    char prefix_key[32];
    g_snprintf(prefix_key, sizeof(prefix_key), "%" G_GINT64_MODIFIER "x",
               prefix_hash);
    uint64_t weight = BsMembers_Weight(upstream->name, prefix_key) >> 1;
    bool known = BsPrefixes_Find(upstream->prefixes, prefix_hash) > 0;
    return known ? weight | (UINT64_C(1) << 63) : weight;
}

bool
BsPool_Serves(const BsPool *pool, const BsUpstream *upstream,
              const BsWork *work)
{
    return work->version == NULL
               ? BsUpstream_HasLoaded(upstream, pool->version)
               : BsUpstream_Continues(upstream, work->version, pool->version);
}

bool
BsPool_IsVersionGone(const BsPool *pool, const BsWork *work)
{
    for (guint i = 0; work->version != NULL && i < pool->upstreams->len; i++) {
        if (BsUpstream_MayContinue(pool->upstreams->pdata[i], work->version,
                                   pool->version)) {
            return false;
        }
    }
    return work->version != NULL;
}

BsUpstream *
BsPool_Pick(const BsPool *pool, const BsWork *work, const BsColdStart *cold,
            int64_t now_ms)
{
    uint64_t prefix_hash = BsWork_Request(work)->prefix_hash;
    BsUpstream *least_loaded = NULL;
    BsUpstream *preferred = NULL;
    double least_load = 0.0;
    double preferred_load = 0.0;
    uint64_t preferred_affinity = 0;
    for (guint i = 0; i < pool->upstreams->len; i++) {
        BsUpstream *upstream = pool->upstreams->pdata[i];
        if (!BsPool_Serves(pool, upstream, work) ||
            !BsUpstream_Fits(upstream, work, cold, now_ms)) {
            continue;
        }
        double load = S_load(upstream, cold, now_ms);
        if (least_loaded == NULL || load < least_load) {
            least_loaded = upstream;
            least_load = load;
        }
        uint64_t affinity = S_affinity(upstream, prefix_hash);
        if (preferred == NULL || affinity > preferred_affinity) {
            preferred = upstream;
            preferred_load = load;
            preferred_affinity = affinity;
        }
    }
    bool use_preferred = prefix_hash != 0 && preferred != NULL &&
                         preferred_load <= least_load + AFFINITY_LOAD_SLACK;
    return use_preferred ? preferred : least_loaded;
}

bool
BsPool_HasCached(const BsPool *pool, const BsWork *work,
                 const BsColdStart *cold, int64_t now_ms)
{
    uint64_t prefix_hash = BsWork_Request(work)->prefix_hash;
    for (guint i = 0; i < pool->upstreams->len; i++) {
        const BsUpstream *upstream = pool->upstreams->pdata[i];
        if (BsPrefixes_Find(upstream->prefixes, prefix_hash) > 0 &&
            BsPool_Serves(pool, upstream, work) &&
            BsUpstream_Fits(upstream, work, cold, now_ms)) {
            return true;
        }
    }
    return false;
}

bool
BsPool_FitsEmpty(const BsPool *pool, const BsWork *work,
                 const BsColdStart *cold, int64_t now_ms)
{
    for (guint i = 0; i < pool->upstreams->len; i++) {
        const BsUpstream *upstream = pool->upstreams->pdata[i];
        if (BsPool_Serves(pool, upstream, work) &&
            BsUpstream_FitsEmpty(upstream, work, cold, now_ms)) {
            return true;
        }
    }
    return false;
}

bool
BsPool_IsTooLarge(const BsPool *pool, const BsWork *work)
{
    if (pool->largest == NULL || work->cost_tokens <= pool->largest_tokens) {
        return false;
    }
    for (guint i = 0; i < pool->upstreams->len; i++) {
        const BsUpstream *upstream = pool->upstreams->pdata[i];
        if (BsUpstream_Cost(upstream, work) <= upstream->tokens) {
            return false;
        }
    }
    return true;
}

int64_t
BsPool_ExpectMs(const BsPool *pool, const BsWork *work, int64_t now_ms)
{
    int64_t least_ms = INT64_MAX;
    bool busy = false;
    for (guint i = 0; i < pool->upstreams->len; i++) {
        const BsUpstream *upstream = pool->upstreams->pdata[i];
        if (!BsUpstream_IsAvailable(upstream, now_ms)) {
            continue;
        }
        busy = busy || g_hash_table_size(upstream->running) > 0;
        least_ms = MIN(least_ms, BsUpstream_ExpectMs(upstream, work));
    }
    return busy && least_ms != INT64_MAX ? least_ms : 0;
}

int64_t
BsPool_WaitMs(const BsPool *pool, uint32_t rank)
{
    if (pool->tokens_per_s <= 0.0) {
        return 0;
    }
    double tokens = (double)BsQueue_TokensUpTo(pool->queue, rank);
    return (int64_t)(MS_PER_S * tokens / pool->tokens_per_s);
}

uint32_t
BsPool_Limit(const BsPool *pool, const BsColdStart *cold, int64_t now_ms)
{
    uint32_t limit = 0;
    for (guint i = 0; i < pool->upstreams->len; i++) {
        uint32_t requests;
        uint32_t tokens;
        BsUpstream_Limit(pool->upstreams->pdata[i], cold, now_ms, &requests,
                         &tokens);
        limit += requests;
    }
    return limit;
}

void
BsPool_OnTick(BsPool *pool, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - pool->measured_ms;
    if (BsQueue_TokensUpTo(pool->queue, BS_RANK_MAX) == 0) {
        pool->was_empty = true;
    }
    if (elapsed_ms < MEASURE_MS) {
        return;
    }
    double rate = MS_PER_S * (double)pool->ended_tokens / (double)elapsed_ms;
    bool first = pool->tokens_per_s <= 0.0;
    if (!pool->was_empty || rate > pool->tokens_per_s) {
        pool->tokens_per_s +=
            (first ? 1.0 : MEASURE_WEIGHT) * (rate - pool->tokens_per_s);
    }
    pool->was_empty = false;
    pool->ended_tokens = 0;
    pool->measured_ms = now_ms;
}
