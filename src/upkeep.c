/*
 * upkeep.c - the periodic work of the owner role.
 *
 * Rules: idempotent work is stopped at its deadline, whether queued or
 * running; a running non-idempotent request is never stopped; work set aside
 * while no upstream is available is returned, so that its sender can try other
 * owners.
 */
#include "ownerstate.h"

#include "digest.h"
#include "owner.h"

/* Age at which work set aside is returned if no upstream is available. */
#define SET_ASIDE_MAX_AGE_MS 500

/* Time between two searches for work past its deadline. */
#define OVERDUE_SEARCH_INTERVAL_MS 200

/* Reference inter-token time of an upstream, as a multiple of its own best,
   when none is known for its hardware generation. */
#define LONE_PACE_RATIO 2.0

typedef struct {
    GPtrArray *works;
    int64_t now_ms;
} BsOverdueSearch;

static void
S_collect_overdue(BsWork *work, void *context)
{
    BsOverdueSearch *search = context;
    if (search->now_ms >= work->deadline_ms) {
        g_ptr_array_add(search->works, work);
    }
}

static void
S_return_overdue(BsOwner *owner, const BsPool *pool, int64_t now_ms)
{
    BsOverdueSearch search = {g_ptr_array_new(), now_ms};
    BsQueue_ForEach(pool->queue, S_collect_overdue, &search);
    for (guint i = 0; i < search.works->len; i++) {
        BsCore_Count(owner->core, "refused_deadline", 1);
        BsOwner_GiveBack(owner, search.works->pdata[i], BS_ERR_DEADLINE);
    }
    g_ptr_array_unref(search.works);
}

/* Puts work set aside back into the queue, or returns it to its sender when no
   upstream is available. */
static void
S_requeue_set_aside(BsOwner *owner, BsPool *pool, int64_t now_ms)
{
    bool available = false;
    for (guint i = 0; i < pool->upstreams->len; i++) {
        available = available ||
                    BsUpstream_IsAvailable(pool->upstreams->pdata[i], now_ms);
    }
    GPtrArray *aside = pool->aside;
    pool->aside = g_ptr_array_new();
    for (guint i = 0; i < aside->len; i++) {
        BsWork *work = aside->pdata[i];
        int64_t queued_ms = work->queued_ms;
        g_ptr_array_add(pool->aside, work);
        if (!available && now_ms - work->arrived_ms > SET_ASIDE_MAX_AGE_MS) {
            BsOwner_GiveBack(owner, work, BS_ERR_NO_UPSTREAM);
            continue;
        }
        BsOwner_Dequeue(owner, work, false);
        BsOwner_Enqueue(owner, work);
        work->queued_ms = queued_ms;
    }
    g_ptr_array_unref(aside);
}

/* Stops running idempotent work whose deadline has passed. */
static void
S_stop_overdue(BsOwner *owner, int64_t now_ms)
{
    GList *works = g_hash_table_get_values(owner->dispatched);
    for (GList *node = works; node != NULL; node = node->next) {
        BsWork *work = node->data;
        if (now_ms >= work->deadline_ms && BsWork_Request(work)->idempotent) {
            BsCore_Count(owner->core, "stopped_deadline", 1);
            BsOwner_Stop(owner, work, BS_ERR_DEADLINE, "late");
            BsOwner_GiveBack(owner, work, BS_ERR_DEADLINE);
        }
    }
    g_list_free(works);
}

static double
S_reference_ms(const BsOwner *owner, const BsUpstream *upstream)
{
    GPtrArray *paces = BsDigests_CreatePaces();
    BsOwner_AppendPaces(owner, upstream, paces);
    double reference_ms = BsDigests_GenerationMs(owner->core->digests,
                                                 upstream->generation, paces);
    g_ptr_array_unref(paces);
    return reference_ms > 0.0
               ? reference_ms
               : LONE_PACE_RATIO * upstream->speed.best_inter_token_ms;
}

static void
S_tick_upstreams(BsOwner *owner, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, owner->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsUpstream *upstream = value;
        bool straggled = upstream->straggling;
        double reference_ms = BsUpstream_IsDue(upstream, now_ms)
                                  ? S_reference_ms(owner, upstream)
                                  : 0.0;
        BsUpstream_OnTick(upstream, BsOwner_ColdStart(owner), reference_ms,
                          now_ms);
        if (straggled != upstream->straggling) {
            BsCore_Count(
                owner->core,
                straggled ? "stragglers_recovered" : "stragglers_found", 1);
        }
    }
}

void
BsOwner_OnTick(BsOwner *owner)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    if (BsCore_Sheet(owner->core) == NULL) {
        return;
    }
    BsOwner_RefreshPools(owner);
    S_tick_upstreams(owner, now_ms);
    bool search = now_ms - owner->searched_ms >= OVERDUE_SEARCH_INTERVAL_MS;
    if (search) {
        S_stop_overdue(owner, now_ms);
    }
    GList *pools = g_hash_table_get_values(owner->pools);
    for (GList *node = pools; node != NULL; node = node->next) {
        BsPool_OnTick(node->data, now_ms);
        S_requeue_set_aside(owner, node->data, now_ms);
        if (search) {
            S_return_overdue(owner, node->data, now_ms);
        }
    }
    g_list_free(pools);
    owner->searched_ms = search ? now_ms : owner->searched_ms;
    BsOwner_DispatchAll(owner);
}
