/*
 * ownerversion.c - the model versions of streams at their owner.
 *
 * Rules: the version of a dispatch is what the engine reports, at the dispatch
 * or, if it had not reported yet, in its next report; the first event
 * forwarded binds the stream to it; a resumed stream is forwarded only if the
 * engine still reports that version when it begins.
 */
#include "ownerstate.h"

#include "owner.h"

#include <string.h>

/* Time between two requests for a report of an upstream. */
#define POLL_INTERVAL_MS 250

void
BsOwner_SetVersion(const BsPool *pool, BsWork *work,
                   const BsUpstream *upstream)
{
    const char *wanted = work->version != NULL ? work->version : pool->version;
    g_clear_pointer(&work->dispatch_version, g_free);
    if (BsWork_Request(work)->model == NULL) {
        return;
    }
    if (BsUpstream_Reports(upstream, wanted)) {
        work->dispatch_version = g_strdup(wanted);
    }
    else if (work->version == NULL) {
        work->dispatch_version =
            BsUpstream_OnlyVersion(upstream, work->serves);
    }
}

void
BsOwner_LearnVersions(const BsOwner *owner, const BsUpstream *upstream)
{
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, upstream->running);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        BsWork *work = key;
        if (work->dispatch_version != NULL ||
            upstream->uncertain_ms > work->started_ms ||
            !BsWork_Request(work)->stream) {
            continue;
        }
        BsOwner_SetVersion(BsOwner_FindPool(owner, work->serves), work,
                           upstream);
        if (work->first_ms != 0) {
            BsWork_BindVersion(work);
        }
    }
}

void
BsOwner_PollVersions(BsOwner *owner, const BsPool *pool, const BsWork *work)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    for (guint i = 0; work->version != NULL && i < pool->upstreams->len; i++) {
        BsUpstream *upstream = pool->upstreams->pdata[i];
        if (!upstream->reachable ||
            upstream->reported_ms > upstream->uncertain_ms ||
            now_ms - upstream->polled_ms < POLL_INTERVAL_MS ||
            !BsUpstream_MayContinue(upstream, work->version, pool->version)) {
            continue;
        }
        upstream->polled_ms = now_ms;
        BsMessage *poll = BsMessage_Create(BS_UPSTREAM_POLL);
        poll->u.report.upstream = g_strdup(upstream->name);
        BsCore_Count(owner->core, "version_polls", 1);
        BsCore_Emit(owner->core, poll);
    }
}

bool
BsOwner_RejectVersion(BsOwner *owner, BsWork *work, const BsAnswer *answer)
{
    const BsPool *pool = BsOwner_FindPool(owner, work->serves);
    if (work->version == NULL || work->first_ms != 0 ||
        answer->error != BS_ERR_NONE ||
        BsPool_Serves(pool, work->upstream, work)) {
        return false;
    }
    BsCore_Count(owner->core, "streams_at_other_version", 1);
    if (answer->final) {
        BsOwner_Release(owner, work);
    }
    else {
        BsOwner_Stop(owner, work, BS_ERR_VERSION_GONE, "version");
    }
    BsOwner_Enqueue(owner, work);
    BsOwner_DispatchAll(owner);
    return true;
}

void
BsOwner_OnOrder(BsOwner *owner, const BsMessage *message)
{
    const BsOrder *order = &message->u.order;
    BsUpstream *upstream =
        g_hash_table_lookup(owner->upstreams, order->upstream);
    if (upstream == NULL) {
        return;
    }
    char *item = g_strdup_printf("%s@%s", order->model, order->version);
    BsUpstream_OnOrder(upstream,
                       strcmp(order->verb, "load") == 0 ? item : NULL,
                       BsCore_NowMs(owner->core));
    g_free(item);
}
