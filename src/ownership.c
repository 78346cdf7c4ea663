/*
 * ownership.c - which upstreams this instance owns, and what it reports of
 * them.
 *
 * Rules: pools follow the newest list and sheet; an upstream that opens, or
 * is owned by this instance again, is cold; the state of an upstream lost to
 * another owner is kept for KEEP_LOST_MS, to be reported to that owner.
 */
#include "ownerstate.h"

#include "choice.h"
#include "digest.h"
#include "order.h"
#include "owner.h"
#include "schema.h"
#include "sheetstore.h"

#include <string.h>

/* Time for which the state of a lost upstream is kept. */
#define KEEP_LOST_MS 60000

#define US_PER_MS 1000.0

/* Returns the concurrency that SHEET allows for ENTRY, 0 for no bound. */
static uint32_t
S_concurrency(const BsSheet *sheet, const BsListEntry *entry)
{
    const BsService *service = entry->kind == BS_NODE_SERVICE
                                   ? BsSheet_FindService(sheet, entry->serves)
                                   : NULL;
    return service == NULL ? 0 : service->concurrency;
}

/* Creates or updates the owned upstream of ENTRY. */
static BsUpstream *
S_update_upstream(BsOwner *owner, const BsListEntry *entry)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    BsUpstream *upstream = g_hash_table_lookup(owner->upstreams, entry->name);
    bool open = BsChoice_IsOpen(owner->core, entry);
    if (upstream == NULL) {
        upstream = BsUpstream_Create(entry, now_ms);
        /* Its first report may have come before the sheet. */
        upstream->loaded = BsOrders_CopyLoaded(
            owner->core->orders, entry->name, &upstream->reported_ms);
        upstream->heard = upstream->loaded != NULL;
        g_hash_table_insert(owner->upstreams, upstream->name, upstream);
    }
    else if ((open && !upstream->open) || upstream->lost_ms != 0) {
        BsUpstream_TurnCold(upstream, now_ms);
    }
    if (upstream->lost_ms != 0) {
        BsUpstream_ForgetVersions(upstream, now_ms);
    }
    upstream->lost_ms = 0;
    upstream->open = open;
    BsUpstream_Update(upstream, entry,
                      S_concurrency(BsCore_Sheet(owner->core), entry));
    return upstream;
}

static BsPool *
S_add_pool(BsOwner *owner, const char *serves)
{
    BsPool *pool = BsOwner_FindPool(owner, serves);
    const BsModel *model =
        BsSheet_FindModel(BsCore_Sheet(owner->core), serves);
    if (pool == NULL) {
        pool = BsPool_Create(serves);
        g_hash_table_insert(owner->pools, pool->serves, pool);
    }
    g_free(pool->version);
    pool->version = model == NULL
                        ? NULL
                        : g_strdup_printf("%s@%s", serves, model->version);
    return pool;
}

static void
S_add_upstream(BsOwner *owner, const BsListEntry *entry)
{
    BsUpstream *upstream = S_update_upstream(owner, entry);
    char **names =
        g_strsplit(entry->serves == NULL ? "" : entry->serves, ",", -1);
    for (char **name = names; *name != NULL; name++) {
        if (**name != '\0') {
            BsPool *pool = S_add_pool(owner, *name);
            if (upstream->open) {
                g_ptr_array_add(pool->upstreams, upstream);
            }
        }
    }
    g_strfreev(names);
}

/* Finds the listed upstream with the most tokens for POOL. */
static void
S_update_largest(const BsOwner *owner, BsPool *pool)
{
    const BsSheet *sheet = BsCore_Sheet(owner->core);
    const GPtrArray *entries =
        BsMembers_Serving(owner->core->members, pool->serves);
    const char *largest = NULL;
    pool->largest_tokens = 0;
    for (guint i = 0; entries != NULL && i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        uint32_t tokens =
            BsUpstream_TokensOf(entry, S_concurrency(sheet, entry));
        if (tokens > pool->largest_tokens) {
            pool->largest_tokens = tokens;
            largest = entry->name;
        }
    }
    BsMessage_SetString(&pool->largest, largest);
}

static bool
S_is_owned(const BsOwner *owner, const char *upstream)
{
    if (owner->core->config.policy != BS_POLICY_AFFINITY) {
        return BsMembers_Find(owner->core->members, upstream) != NULL;
    }
    const char *name = BsMembers_OwnerOf(owner->core->members, upstream);
    return g_strcmp0(name, owner->core->config.name) == 0;
}

static void
S_add_upstreams(BsOwner *owner)
{
    const BsList *list = BsMembers_List(owner->core->members);
    for (guint i = 0; list != NULL && i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        if (entry->kind != BS_NODE_INSTANCE &&
            S_is_owned(owner, entry->name)) {
            S_add_upstream(owner, entry);
        }
    }
}

/* Closes upstreams that this instance no longer owns; removes those lost more
   than KEEP_LOST_MS ago once nothing runs there. */
static void
S_drop_lost(BsOwner *owner)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, owner->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsUpstream *upstream = value;
        if (S_is_owned(owner, upstream->name)) {
            continue;
        }
        upstream->open = false;
        upstream->reserved = NULL;
        if (upstream->lost_ms == 0) {
            upstream->lost_ms = now_ms;
        }
        if (now_ms - upstream->lost_ms > KEEP_LOST_MS &&
            g_hash_table_size(upstream->running) == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
S_collect_work(BsWork *work, void *context)
{
    g_ptr_array_add(context, work);
}

void
BsOwner_GiveBackQueued(BsOwner *owner, const char *serves, BsErrorKind error)
{
    BsPool *pool = BsOwner_FindPool(owner, serves);
    GPtrArray *works = g_ptr_array_new();
    if (pool != NULL) {
        BsQueue_ForEach(pool->queue, S_collect_work, works);
        for (guint i = 0; i < pool->aside->len; i++) {
            g_ptr_array_add(works, pool->aside->pdata[i]);
        }
    }
    for (guint i = 0; i < works->len; i++) {
        BsOwner_GiveBack(owner, works->pdata[i], error);
    }
    g_ptr_array_unref(works);
}

void
BsOwner_RefreshPools(BsOwner *owner)
{
    uint64_t list = BsMembers_Revision(owner->core->members);
    uint64_t sheet = BsSheetStore_Revision(owner->core->sheets);
    if (list == owner->list_revision && sheet == owner->sheet_revision) {
        return;
    }
    owner->list_revision = list;
    owner->sheet_revision = sheet;
    GList *pools = g_hash_table_get_values(owner->pools);
    for (GList *node = pools; node != NULL; node = node->next) {
        BsPool *pool = node->data;
        g_ptr_array_set_size(pool->upstreams, 0);
    }
    g_list_free(pools);
    S_add_upstreams(owner);
    S_drop_lost(owner);
    pools = g_hash_table_get_values(owner->pools);
    for (GList *node = pools; node != NULL; node = node->next) {
        BsPool *pool = node->data;
        S_update_largest(owner, pool);
        if (pool->upstreams->len == 0) {
            BsOwner_GiveBackQueued(owner, pool->serves, BS_ERR_NO_UPSTREAM);
        }
    }
    g_list_free(pools);
}

static bool
S_fill_load(const BsOwner *owner, const BsPool *pool, BsLoad *load)
{
    const BsColdStart *cold = BsOwner_ColdStart(owner);
    int64_t now_ms = BsCore_NowMs(owner->core);
    load->serves = g_strdup(pool->serves);
    load->free_tokens = -(int64_t)BsQueue_TokensUpTo(pool->queue, BS_RANK_MAX);
    for (guint i = 0; i < pool->upstreams->len; i++) {
        const BsUpstream *upstream = pool->upstreams->pdata[i];
        uint32_t requests_limit;
        uint32_t tokens_limit;
        uint32_t requests;
        uint32_t tokens;
        if (!BsUpstream_IsAvailable(upstream, now_ms)) {
            continue;
        }
        BsUpstream_Limit(upstream, cold, now_ms, &requests_limit,
                         &tokens_limit);
        BsUpstream_InFlight(upstream, now_ms, &requests, &tokens);
        load->free_slots += requests_limit - MIN(requests, requests_limit);
        load->free_tokens += (int64_t)tokens_limit - tokens;
    }
    load->waiting = pool->aside->len;
    for (uint32_t rank = 1; rank <= BS_RANK_MAX; rank++) {
        uint32_t count = BsQueue_Count(pool->queue, rank);
        load->waiting += count;
        if (count > 0 || pool->running[rank] > 0) {
            load->lowest_rank = rank;
        }
    }
    load->oldest_wait_ms =
        (uint32_t)CLAMP(BsPool_WaitMs(pool, BS_RANK_MAX), 0, UINT32_MAX);
    return pool->upstreams->len > 0;
}

void
BsOwner_AppendLoads(const BsOwner *owner, GPtrArray *loads)
{
    GHashTableIter iter;
    gpointer value;
    if (BsCore_Sheet(owner->core) == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, owner->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsLoad *load = g_new0(BsLoad, 1);
        if (S_fill_load(owner, value, load)) {
            g_ptr_array_add(loads, load);
        }
        else {
            bs_schema_load.destroy(load);
        }
    }
}

void
BsOwner_AppendPaces(const BsOwner *owner, const BsUpstream *except,
                    GPtrArray *paces)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, owner->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsUpstream *upstream = value;
        if (upstream == except || upstream->generation == NULL ||
            upstream->lost_ms != 0 || upstream->speed.inter_token_ms <= 0.0) {
            continue;
        }
        BsPace *pace = g_new0(BsPace, 1);
        pace->generation = g_strdup(upstream->generation);
        pace->inter_token_us =
            (uint32_t)(upstream->speed.inter_token_ms * US_PER_MS);
        g_ptr_array_add(paces, pace);
    }
}

void
BsOwner_AppendInFlight(const BsOwner *owner, const char *instance,
                       GPtrArray *list)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    GHashTableIter iter;
    gpointer value;
    (void)instance;
    g_hash_table_iter_init(&iter, owner->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsUpstream *upstream = value;
        BsInFlight *in_flight = g_new0(BsInFlight, 1);
        in_flight->upstream = g_strdup(upstream->name);
        in_flight->cold = upstream->warmth == BS_WARMTH_COLD;
        BsUpstream_InFlight(upstream, now_ms, &in_flight->requests,
                            &in_flight->tokens);
        g_ptr_array_add(list, in_flight);
    }
}

void
BsOwner_OnInFlight(BsOwner *owner, const BsMessage *message)
{
    const GPtrArray *list = message->u.collected.in_flight;
    if (BsCore_Sheet(owner->core) == NULL || message->from == NULL) {
        return;
    }
    BsOwner_RefreshPools(owner);
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const BsInFlight *reported = list->pdata[i];
        BsUpstream *upstream =
            reported->upstream == NULL
                ? NULL
                : g_hash_table_lookup(owner->upstreams, reported->upstream);
        if (upstream == NULL || upstream->lost_ms != 0) {
            continue;
        }
        int64_t now_ms = BsCore_NowMs(owner->core);
        BsUpstream_OnForeign(upstream, message->from, reported, now_ms);
        if (!reported->cold && upstream->warmth == BS_WARMTH_COLD) {
            BsUpstream_Resume(upstream, BsOwner_ColdStart(owner), now_ms);
        }
        BsCore_Count(owner->core, "upstreams_inherited", 1);
    }
    BsOwner_DispatchAll(owner);
}
