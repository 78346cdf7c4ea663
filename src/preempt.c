/*
 * preempt.c - makes room for urgent work by stopping work that yields to it.
 *
 * Rules: only restartable work of a tier that yields is stopped, the least
 * urgent first, then the one that loses the least prefill; nothing is stopped
 * unless the urgent work then fits; the sheet's guaranteed share of a tier is
 * not preempted until the urgent work would otherwise miss its deadline.
 */
#include "ownerstate.h"

#include "sheet.h"

/* Longest time that urgent work waits for capacity before it preempts. */
#define PREEMPT_DELAY_MAX_MS 400

/* That wait is also at most the slack before the deadline divided by this. */
#define PREEMPT_DELAY_SLACK_DIVISOR 8

/* Slack below which guaranteed shares may be preempted too. */
#define AT_RISK_SLACK_MS 1000

#define PERCENT 100

/* The work to stop at one upstream. */
typedef struct {
    BsUpstream *upstream;
    GPtrArray *victims; /* of BsWork */
    uint64_t waste_tokens;
} BsPlan;

/* Returns the time that WORK can still wait without missing its deadline. */
static int64_t
S_slack_ms(const BsOwner *owner, const BsPool *pool, const BsWork *work)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    return work->deadline_ms - now_ms - BsPool_ExpectMs(pool, work, now_ms);
}

/* Returns whether WORK has waited long enough to preempt other work. */
static bool
S_is_due(const BsOwner *owner, const BsPool *pool, const BsWork *work)
{
    int64_t slack_ms = S_slack_ms(owner, pool, work);
    int64_t waited_ms = BsCore_NowMs(owner->core) - work->queued_ms;
    int64_t delay_ms =
        MIN(PREEMPT_DELAY_MAX_MS, slack_ms / PREEMPT_DELAY_SLACK_DIVISOR);
    return waited_ms >= delay_ms;
}

/* Returns how many requests of RANK may be stopped in POOL; AT_RISK allows the
   guaranteed share too. */
static uint32_t
S_stoppable(const BsOwner *owner, const BsPool *pool, uint32_t rank,
            bool at_risk)
{
    const BsSheetData *sheet = BsSheet_Data(BsCore_Sheet(owner->core));
    uint32_t guaranteed = 0;
    for (unsigned i = 0; i < sheet->tiers_count; i++) {
        if (sheet->tiers[i].rank == rank) {
            guaranteed = sheet->tiers[i].guaranteed_percent;
        }
    }
    if (guaranteed == 0 || at_risk) {
        return pool->running[rank];
    }
    uint32_t limit = BsPool_Limit(pool, BsOwner_ColdStart(owner),
                                  BsCore_NowMs(owner->core));
    uint32_t kept = (limit * guaranteed + PERCENT - 1) / PERCENT;
    return pool->running[rank] - MIN(kept, pool->running[rank]);
}

/* Orders victims: least urgent, then least prefill lost, then newest first. */
static int
S_compare_victims(gconstpointer a, gconstpointer b)
{
    const BsWork *left = *(BsWork *const *)a;
    const BsWork *right = *(BsWork *const *)b;
    if (left->rank != right->rank) {
        return left->rank > right->rank ? -1 : 1;
    }
    uint32_t left_tokens = BsWork_WasteTokens(left);
    uint32_t right_tokens = BsWork_WasteTokens(right);
    if (left_tokens != right_tokens) {
        return left_tokens < right_tokens ? -1 : 1;
    }
    return left->dispatch > right->dispatch ? -1 : 1;
}

/* Returns the restartable work at UPSTREAM that yields to WORK, best victim
   first; the caller unrefs the array. */
static GPtrArray *
S_list_victims(const BsOwner *owner, const BsUpstream *upstream,
               const BsWork *work)
{
    GPtrArray *victims = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, upstream->running);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        BsWork *other = key;
        if (BsOwner_Yields(owner, other->rank, work->rank) &&
            BsWork_IsRestartable(other)) {
            g_ptr_array_add(victims, other);
        }
    }
    g_ptr_array_sort(victims, S_compare_victims);
    return victims;
}

/* Returns whether work may be preempted at UPSTREAM in favour of WORK, which
   is of POOL. */
static bool
S_is_usable(const BsOwner *owner, const BsPool *pool,
            const BsUpstream *upstream, const BsWork *work)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    return upstream->reserved == NULL &&
           BsUpstream_IsAvailable(upstream, now_ms) &&
           BsPool_Serves(pool, upstream, work);
}

/* Reduces the victims of PLAN to those that must stop for WORK to fit; returns
   whether it then fits. */
static bool
S_select_victims(const BsOwner *owner, const BsPool *pool, BsPlan *plan,
                 const BsWork *work)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    bool at_risk = S_slack_ms(owner, pool, work) < AT_RISK_SLACK_MS;
    uint32_t stoppable[BS_RANK_MAX + 1];
    uint32_t requests_limit;
    uint32_t tokens_limit;
    uint32_t requests;
    uint32_t tokens;
    BsUpstream_Limit(plan->upstream, BsOwner_ColdStart(owner), now_ms,
                     &requests_limit, &tokens_limit);
    BsUpstream_InFlight(plan->upstream, now_ms, &requests, &tokens);
    uint32_t cost = BsUpstream_Cost(plan->upstream, work);
    for (uint32_t rank = 1; rank <= BS_RANK_MAX; rank++) {
        stoppable[rank] = S_stoppable(owner, pool, rank, at_risk);
    }
    guint used = 0;
    for (guint i = 0;
         i < plan->victims->len && (requests >= requests_limit ||
                                    (uint64_t)tokens + cost > tokens_limit);
         i++) {
        BsWork *victim = plan->victims->pdata[i];
        if (stoppable[victim->rank] == 0) {
            continue;
        }
        stoppable[victim->rank]--;
        requests--;
        tokens -= victim->charged_tokens;
        plan->waste_tokens += BsWork_WasteTokens(victim);
        plan->victims->pdata[used++] = victim;
    }
    g_ptr_array_set_size(plan->victims, (gint)used);
    return used > 0 && requests < requests_limit &&
           (uint64_t)tokens + cost <= tokens_limit;
}

static void
S_stop_victims(BsOwner *owner, const BsPlan *plan)
{
    for (guint i = 0; i < plan->victims->len; i++) {
        BsWork *victim = plan->victims->pdata[i];
        BsCore_Count(owner->core, "preemptions", 1);
        BsOwner_Stop(owner, victim, BS_ERR_OVERLOADED, "preempted");
        victim->preempted = true;
        BsOwner_Enqueue(owner, victim);
    }
}

BsUpstream *
BsOwner_Preempt(BsOwner *owner, BsPool *pool, const BsWork *work)
{
    BsPlan best = {NULL, NULL, 0};
    if (work->alone || !BsOwner_IsPrivileged(owner, work->rank) ||
        !S_is_due(owner, pool, work)) {
        return NULL;
    }
    for (guint i = 0; i < pool->upstreams->len; i++) {
        BsPlan plan = {pool->upstreams->pdata[i], NULL, 0};
        if (!S_is_usable(owner, pool, plan.upstream, work)) {
            continue;
        }
        plan.victims = S_list_victims(owner, plan.upstream, work);
        if (S_select_victims(owner, pool, &plan, work) &&
            (best.victims == NULL || plan.waste_tokens < best.waste_tokens)) {
            g_clear_pointer(&best.victims, g_ptr_array_unref);
            best = plan;
        }
        else {
            g_ptr_array_unref(plan.victims);
        }
    }
    if (best.victims != NULL) {
        S_stop_victims(owner, &best);
        g_ptr_array_unref(best.victims);
    }
    return best.upstream;
}

bool
BsOwner_CouldPreempt(const BsOwner *owner, const BsPool *pool,
                     const BsWork *work)
{
    for (uint32_t rank = work->rank + 1; rank <= BS_RANK_MAX; rank++) {
        if ((pool->running[rank] > 0 ||
             BsQueue_Count(pool->queue, rank) > 0) &&
            BsOwner_Yields(owner, rank, work->rank)) {
            return true;
        }
    }
    return false;
}
