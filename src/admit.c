/*
 * admit.c - admission control of an owner's queues.
 *
 * Rules: work that is larger than every listed upstream is refused; work that
 * would miss its deadline in the queue is refused on arrival, unless it can
 * preempt other work; when the queue limits are reached, the
 * least urgent queued work is returned to its sender in favour of more urgent
 * work.
 */
#include "ownerstate.h"

#include "poison.h"
#include "stop.h"

/* Returns the least urgent queued work of all pools. */
static BsWork *
S_find_least_urgent(const BsOwner *owner)
{
    BsWork *last = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, owner->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsPool *pool = value;
        BsWork *work = BsQueue_Last(pool->queue);
        if (work != NULL && (last == NULL || work->rank > last->rank)) {
            last = work;
        }
    }
    return last;
}

/* Makes room for WORK within the queue limits by returning less urgent work,
   the least urgent first; returns whether it fits. */
static bool
S_reserve_memory(BsOwner *owner, const BsWork *work)
{
    const BsCoreConfig *config = &owner->core->config;
    while (owner->queued >= config->request_limit ||
           owner->queued_bytes + work->body_bytes > config->queue_bytes) {
        BsWork *last = S_find_least_urgent(owner);
        if (last == NULL || last->rank <= work->rank) {
            return false;
        }
        BsCore_Count(owner->core, "queue_evictions", 1);
        BsOwner_GiveBack(owner, last, BS_ERR_MEMORY_FULL);
    }
    return true;
}

/* Returns whether WORK, queued here, would probably not end by its
   deadline. */
static bool
S_misses_deadline(const BsOwner *owner, const BsPool *pool, const BsWork *work)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    if (BsOwner_IsPrivileged(owner, work->rank) &&
        BsOwner_CouldPreempt(owner, pool, work)) {
        return false;
    }
    int64_t wait_ms = BsPool_WaitMs(pool, work->rank);
    return wait_ms > 0 &&
           now_ms + wait_ms + BsPool_ExpectMs(pool, work, now_ms) >
               work->deadline_ms;
}

BsErrorKind
BsOwner_FindObstacle(const BsPool *pool, const BsWork *work)
{
    if (BsPool_IsTooLarge(pool, work)) {
        return BS_ERR_TOO_LARGE;
    }
    if (!BsPool_IsVersionGone(pool, work)) {
        return BS_ERR_NONE;
    }
    return BsWork_Request(work)->version == NULL ? BS_ERR_NO_UPSTREAM
                                                 : BS_ERR_VERSION_GONE;
}

BsErrorKind
BsOwner_Admit(BsOwner *owner, BsWork *work)
{
    const BsPool *pool = BsOwner_FindPool(owner, work->serves);
    BsPoisonVerdict verdict =
        BsPoison_Judge(owner->core->poison, BsWork_Request(work));
    if (verdict == BS_POISON_QUARANTINED) {
        return BS_ERR_QUARANTINED;
    }
    if (BsStop_IsActive(owner->core->stop)) {
        return BS_ERR_DRAINING;
    }
    work->alone = verdict == BS_POISON_SUSPECT;
    if (pool == NULL || pool->upstreams->len == 0) {
        return BS_ERR_NO_UPSTREAM;
    }
    if (BsWork_Request(work)->deadline_ms <= 0) {
        return BS_ERR_DEADLINE;
    }
    BsErrorKind obstacle = BsOwner_FindObstacle(pool, work);
    if (obstacle != BS_ERR_NONE) {
        return obstacle;
    }
    if (S_misses_deadline(owner, pool, work)) {
        return BS_ERR_OVERLOADED;
    }
    return S_reserve_memory(owner, work) ? BS_ERR_NONE : BS_ERR_MEMORY_FULL;
}
