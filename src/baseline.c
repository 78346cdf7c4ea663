/* baseline.c - simple policies as a baseline for measurements of the
 * scheduler.
 */
#include "baseline.h"

/* Returns the number of requests at UPSTREAM: that of its last report,
   corrected by the requests that this instance started and ended since. */
static int64_t
S_outstanding(const BsUpstream *upstream)
{
    int64_t own = g_hash_table_size(upstream->running);
    return (int64_t)upstream->reported + own - upstream->own_when_reported;
}

static BsUpstream *
S_pick_least(const BsPool *pool, uint32_t start)
{
    BsUpstream *best = NULL;
    guint count = pool->upstreams->len;
    for (guint i = 0; i < count; i++) {
        BsUpstream *upstream = pool->upstreams->pdata[(start + i) % count];
        if (best == NULL || S_outstanding(upstream) < S_outstanding(best)) {
            best = upstream;
        }
    }
    return best;
}

BsUpstream *
BsBaseline_Pick(const BsPool *pool, uint32_t policy, GRand *random,
                uint32_t *turn)
{
    guint count = pool->upstreams->len;
    if (count == 0) {
        return NULL;
    }
    guint at = (guint)g_rand_int_range(random, 0, (gint32)count);
    switch (policy) {
    case BS_POLICY_ROUND_ROBIN:
        return pool->upstreams->pdata[(*turn)++ % count];
    case BS_POLICY_LEAST_OUTSTANDING:
        return S_pick_least(pool, at);
    default:
        return pool->upstreams->pdata[at];
    }
}
