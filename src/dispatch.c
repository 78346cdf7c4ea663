/*
 * dispatch.c - which queued work is dispatched to which upstream next.
 *
 * Rules: tiers below their guaranteed share go first, then tiers by rank; a
 * less urgent tier never overtakes one that waits for capacity; work that can
 * no longer meet its deadline is given back instead of dispatched; a request
 * suspected of crashing upstreams reserves an upstream and runs there alone.
 */
#include "ownerstate.h"

#include "run.h"
#include "sheet.h"
#include "tenure.h"

#define PERCENT 100

/* Most times that work may be overtaken by work whose prefix is cached. */
#define OVERTAKEN_MAX 8

/* Urgent work that cannot start here is handed back when its slack falls below
   this, so that another owner can still meet its deadline. */
#define HAND_BACK_SLACK_MS 1000

/* Result of trying to dispatch the next work of a tier. */
typedef enum {
    STEP_NONE = 0, /* nothing is queued */
    STEP_BLOCKED,  /* no upstream has the capacity for it */
    STEP_DONE      /* it was dispatched, set aside or given back */
} BsStep;

/* Sets for each upstream whether this instance may dispatch to it now: a cold
   upstream requires that this instance holds its tenure, any other only that
   the instance list is current. */
static void
S_refresh_permits(BsOwner *owner)
{
    BsTenure *tenure = owner->core->tenure;
    bool current = BsTenure_IsCurrent(tenure);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, owner->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsUpstream *upstream = value;
        bool cold = upstream->warmth == BS_WARMTH_COLD;
        upstream->permitted =
            cold
                ? BsTenure_OfUpstream(tenure, upstream->name) == BS_TENURE_HELD
                : current;
    }
}

void
BsOwner_Dispatch(BsOwner *owner, BsPool *pool, BsWork *work,
                 BsUpstream *upstream)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    BsOwner_Dequeue(owner, work, true);
    BsMessage *dispatch = BsMessage_Copy(work->request);
    BsRequest *request = &dispatch->u.request;
    const BsModel *model =
        BsSheet_FindModel(BsCore_Sheet(owner->core), request->model);
    dispatch->kind = BS_UPSTREAM_DISPATCH;
    BsMessage_SetString(&request->upstream, upstream->name);
    BsOwner_SetVersion(pool, work, upstream);
    if (model != NULL && work->version == NULL) {
        BsMessage_SetString(&request->version, model->version);
    }
    work->dispatch = ++owner->last_dispatch;
    request->attempt = work->dispatch;
    request->deadline_ms = work->deadline_ms - now_ms;
    request->skip_events = work->events;
    if (upstream->reserved == work) {
        upstream->reserved = NULL;
    }
    BsUpstream_Start(upstream, work, now_ms);
    if (work->alone) {
        upstream->reserved = work;
    }
    pool->running[work->rank]++;
    g_hash_table_insert(owner->dispatched, GUINT_TO_POINTER(work->dispatch),
                        work);
    if (!request->idempotent) {
        BsRuns_OnDispatch(owner->core->runs, work->request);
    }
    BsCore_Count(owner->core, "dispatches", 1);
    BsCore_Count(owner->core, "prefill_tokens",
                 request->prompt_tokens - work->cached_tokens);
    BsCore_Emit(owner->core, dispatch);
}

/* Reserves the upstream with the fewest tokens in flight for WORK, which is to
   run alone, unless WORK has a reservation already. */
static void
S_reserve(BsPool *pool, BsWork *work)
{
    BsUpstream *best = NULL;
    for (guint i = 0; i < pool->upstreams->len; i++) {
        BsUpstream *upstream = pool->upstreams->pdata[i];
        if (upstream->reserved == work) {
            return;
        }
        if (upstream->reserved == NULL &&
            (work->version == NULL || BsPool_Serves(pool, upstream, work)) &&
            (best == NULL ||
             upstream->tokens_in_flight < best->tokens_in_flight)) {
            best = upstream;
        }
    }
    if (best != NULL) {
        best->reserved = work;
    }
}

/* Moves WORK out of the queue until the next tick, so that it doesn't block
   other work. */
static void
S_set_aside(BsOwner *owner, BsPool *pool, BsWork *work)
{
    if (work->alone) {
        S_reserve(pool, work);
    }
    BsOwner_Dequeue(owner, work, false);
    work->waiting = true;
    owner->queued++;
    owner->queued_bytes += work->body_bytes;
    g_ptr_array_add(pool->aside, work);
}

/* Returns whether WORK would miss its deadline even if it started now. */
static bool
S_will_miss_deadline(const BsOwner *owner, const BsPool *pool,
                     const BsWork *work)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    return now_ms + BsPool_ExpectMs(pool, work, now_ms) >= work->deadline_ms;
}

/* Returns whether WORK is urgent, can preempt nothing here and has little
   slack left, so that another owner should get it. */
static bool
S_should_hand_back(const BsOwner *owner, const BsPool *pool,
                   const BsWork *work)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    int64_t slack_ms =
        work->deadline_ms - now_ms - BsPool_ExpectMs(pool, work, now_ms);
    return BsOwner_IsPrivileged(owner, work->rank) &&
           slack_ms < HAND_BACK_SLACK_MS &&
           !BsOwner_CouldPreempt(owner, pool, work);
}

/* The parameters of a search for work whose prefix is cached. */
typedef struct {
    const BsPool *pool;
    const BsColdStart *cold;
    int64_t now_ms;
} BsSearch;

/* Matches work whose prefix is cached at an upstream with room for it. */
static bool
S_is_cached(const BsWork *work, const void *context)
{
    const BsSearch *search = context;
    return !work->alone && search->now_ms < work->deadline_ms &&
           BsPool_HasCached(search->pool, work, search->cold, search->now_ms);
}

/* Returns work queued shortly after NEXT whose prefix is cached at an upstream
   with room for it, or NEXT itself. */
static BsWork *
S_prefer_cached(const BsOwner *owner, const BsPool *pool, BsWork *next)
{
    BsSearch search = {pool, BsOwner_ColdStart(owner),
                       BsCore_NowMs(owner->core)};
    if (next->passed >= OVERTAKEN_MAX) {
        return next;
    }
    BsWork *preferred =
        BsQueue_PeekAhead(pool->queue, next->rank, S_is_cached, &search);
    if (preferred == NULL || preferred == next ||
        S_will_miss_deadline(owner, pool, preferred)) {
        return next;
    }
    next->passed++;
    return preferred;
}

/* Tries to dispatch the next work of the tier of RANK. */
static BsStep
S_dispatch_next(BsOwner *owner, BsPool *pool, uint32_t rank)
{
    const BsColdStart *cold = BsOwner_ColdStart(owner);
    int64_t now_ms = BsCore_NowMs(owner->core);
    BsWork *work = BsQueue_Peek(pool->queue, rank);
    if (work == NULL) {
        return STEP_NONE;
    }
    if (S_will_miss_deadline(owner, pool, work)) {
        BsCore_Count(owner->core, "refused_deadline", 1);
        BsOwner_GiveBack(owner, work, BS_ERR_DEADLINE);
        return STEP_DONE;
    }
    BsUpstream *upstream = BsPool_Pick(pool, work, cold, now_ms);
    if (upstream != NULL && !work->alone) {
        work = S_prefer_cached(owner, pool, work);
        upstream = BsPool_Pick(pool, work, cold, now_ms);
    }
    if (upstream == NULL) {
        upstream = BsOwner_Preempt(owner, pool, work);
    }
    if (upstream != NULL) {
        BsOwner_Dispatch(owner, pool, work, upstream);
        return STEP_DONE;
    }
    if (S_should_hand_back(owner, pool, work)) {
        BsCore_Count(owner->core, "handed_back", 1);
        BsOwner_GiveBack(owner, work, BS_ERR_OVERLOADED);
        return STEP_DONE;
    }
    BsErrorKind obstacle = BsOwner_FindObstacle(pool, work);
    if (obstacle != BS_ERR_NONE) {
        BsOwner_GiveBack(owner, work, obstacle);
        return STEP_DONE;
    }
    if (work->alone || !BsPool_FitsEmpty(pool, work, cold, now_ms)) {
        BsOwner_PollVersions(owner, pool, work);
        S_set_aside(owner, pool, work);
        return STEP_DONE;
    }
    return STEP_BLOCKED;
}

/* Dispatches work to an upstream reserved for it as soon as it fits there,
   because nothing else can start there before; returns whether any work was
   dispatched. */
static bool
S_dispatch_reserved(BsOwner *owner, BsPool *pool)
{
    const BsColdStart *cold = BsOwner_ColdStart(owner);
    int64_t now_ms = BsCore_NowMs(owner->core);
    for (guint i = 0; i < pool->upstreams->len; i++) {
        BsUpstream *upstream = pool->upstreams->pdata[i];
        BsWork *work = upstream->reserved;
        if (work != NULL && work->upstream == NULL &&
            (work->version == NULL || BsPool_Serves(pool, upstream, work)) &&
            BsUpstream_Fits(upstream, work, cold, now_ms)) {
            BsOwner_Dispatch(owner, pool, work, upstream);
            return true;
        }
    }
    return false;
}

/* Returns whether TIER runs less than its guaranteed share. */
static bool
S_is_below_share(const BsPool *pool, const BsTier *tier, uint32_t limit)
{
    return tier->guaranteed_percent > 0 &&
           pool->running[tier->rank] * PERCENT <
               limit * tier->guaranteed_percent;
}

/* Dispatches from a tier that runs less than its guaranteed share; returns
   whether work left a queue. */
static bool
S_dispatch_guaranteed(BsOwner *owner, BsPool *pool)
{
    const BsSheetData *sheet = BsSheet_Data(BsCore_Sheet(owner->core));
    uint32_t limit = BsPool_Limit(pool, BsOwner_ColdStart(owner),
                                  BsCore_NowMs(owner->core));
    for (unsigned i = 0; i < sheet->tiers_count; i++) {
        const BsTier *tier = &sheet->tiers[i];
        if (S_is_below_share(pool, tier, limit) &&
            S_dispatch_next(owner, pool, tier->rank) == STEP_DONE) {
            return true;
        }
    }
    return false;
}

/* Dispatches from the most urgent tier with queued work; returns whether work
   left a queue. */
static bool
S_dispatch_by_rank(BsOwner *owner, BsPool *pool)
{
    for (uint32_t rank = 1; rank <= BS_RANK_MAX; rank++) {
        BsStep step = S_dispatch_next(owner, pool, rank);
        if (step != STEP_NONE) {
            return step == STEP_DONE;
        }
    }
    return false;
}

void
BsOwner_DispatchAll(BsOwner *owner)
{
    if (BsCore_Sheet(owner->core) == NULL) {
        return;
    }
    BsOwner_RefreshPools(owner);
    S_refresh_permits(owner);
    GList *pools = g_hash_table_get_values(owner->pools);
    for (GList *node = pools; node != NULL; node = node->next) {
        while (S_dispatch_reserved(owner, node->data) ||
               S_dispatch_guaranteed(owner, node->data) ||
               S_dispatch_by_rank(owner, node->data)) {
        }
    }
    g_list_free(pools);
}
