/* collect.c - settling a list: what those in charge before knew. */
#include "collect.h"

#include "keeper.h"
#include "owner.h"
#include "schema.h"

#include <string.h>
#include <syslog.h>

/* Between two sendings of a collect that was not answered. */
#define RETRY_MS 500

struct BsCollects {
    BsCore *core;
    BsContact *contact;
    BsLosses *losses;
    GPtrArray *chain;    /* BsView */
    GPtrArray *extra;    /* BsView, told by others */
    GHashTable *answers; /* name to uint64_t incarnation */
    GPtrArray *replaced; /* BsLoss, of this round */
    uint64_t round;
    uint64_t settled_revision; /* of the list when it was settled */
    int64_t started_ms;
    int64_t sent_ms;
    int64_t answered_ms;
    int64_t first_settled_ms;
    int64_t known_since_ms;
    bool base;
    bool settling;
};

static void
S_destroy_view(void *data)
{
    BsView_Destroy(data);
}

BsCollects *
BsCollects_Create(BsCore *core, BsContact *contact, BsLosses *losses)
{
    BsCollects *collects = g_new0(BsCollects, 1);
    collects->core = core;
    collects->contact = contact;
    collects->losses = losses;
    collects->chain = g_ptr_array_new_with_free_func(S_destroy_view);
    collects->extra = g_ptr_array_new_with_free_func(S_destroy_view);
    collects->answers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    collects->replaced = BsSchema_NewList(&bs_schema_loss);
    collects->started_ms = BsCore_NowMs(core);
    collects->known_since_ms = collects->started_ms;
    if (core->config.fresh_fleet) {
        collects->known_since_ms -= core->config.resend_window_ms;
    }
    return collects;
}

void
BsCollects_Destroy(BsCollects *collects)
{
    if (collects == NULL) {
        return;
    }
    g_ptr_array_unref(collects->chain);
    g_ptr_array_unref(collects->extra);
    g_hash_table_destroy(collects->answers);
    g_ptr_array_unref(collects->replaced);
    g_free(collects);
}

static BsView *
S_newest(const BsCollects *collects)
{
    guint count = collects->chain->len;
    return count == 0 ? NULL : collects->chain->pdata[count - 1];
}

const GPtrArray *
BsCollects_Chain(const BsCollects *collects)
{
    return collects->chain;
}

bool
BsCollects_HasBase(const BsCollects *collects)
{
    return collects->base;
}

uint64_t
BsCollects_SettledRevision(const BsCollects *collects)
{
    return collects->base ? collects->settled_revision : 0;
}

int64_t
BsCollects_FirstSettledMs(const BsCollects *collects)
{
    return collects->first_settled_ms;
}

int64_t
BsCollects_KnownSinceMs(const BsCollects *collects)
{
    return collects->known_since_ms;
}

static void
S_start_round(BsCollects *collects)
{
    collects->round++;
    collects->settling = true;
    collects->sent_ms = G_MININT64;
    collects->answered_ms = BsCore_NowMs(collects->core);
    g_hash_table_remove_all(collects->answers);
    g_ptr_array_set_size(collects->extra, 0);
}

/* ---------------------------------------------------------------------- */
/* Lists                                                                   */
/* ---------------------------------------------------------------------- */

/* Notes the instances of OLDER that are not in NEWER. */
static void
S_note_removed(BsCollects *collects, const BsView *older, const BsView *newer)
{
    const GPtrArray *entries = BsView_List(older)->entries;
    bool settled = collects->base && !collects->settling;
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        bool handed_over = settled && entry->state == BS_NODE_LEAVING;
        if (BsView_Find(newer, entry->name) == NULL && !handed_over &&
            strcmp(entry->name, collects->core->config.name) != 0) {
            const BsPeer *peer =
                BsContact_Peer(collects->contact, entry->name);
            BsLosses_Add(collects->losses, entry->name, peer->incarnation, 0,
                         false);
        }
    }
}

void
BsCollects_OnList(BsCollects *collects, const BsList *list)
{
    BsView *view = BsView_Create(list);
    BsView *newest = S_newest(collects);
    if (newest != NULL && BsView_Hash(newest) == BsView_Hash(view)) {
        g_ptr_array_remove_index(collects->chain, collects->chain->len - 1);
        g_ptr_array_add(collects->chain, view);
        return;
    }
    if (newest != NULL) {
        BsContact_OnView(collects->contact, newest, view);
        S_note_removed(collects, newest, view);
    }
    g_ptr_array_add(collects->chain, view);
    S_start_round(collects);
}

static const BsView *
S_find_view(const GPtrArray *views, uint64_t revision)
{
    for (guint i = 0; i < views->len; i++) {
        const BsView *view = views->pdata[i];
        if (BsView_Revision(view) == revision) {
            return view;
        }
    }
    return NULL;
}

static bool
S_knows_view(const BsCollects *collects, uint64_t revision)
{
    return S_find_view(collects->chain, revision) != NULL ||
           S_find_view(collects->extra, revision) != NULL;
}

void
BsCollects_OnOldList(BsCollects *collects, const BsList *list)
{
    if (collects->settling && list->entries != NULL &&
        !S_knows_view(collects, list->revision)) {
        g_ptr_array_add(collects->extra, BsView_Create(list));
    }
}

void
BsCollects_OnReplaced(BsCollects *collects, const char *name,
                      uint64_t incarnation)
{
    BsLoss *loss = g_new0(BsLoss, 1);
    loss->name = g_strdup(name);
    loss->incarnation = incarnation;
    g_ptr_array_add(collects->replaced, loss);
    BsLosses_Add(collects->losses, name, incarnation, 0, false);
    S_start_round(collects);
}

void
BsCollects_OnDenied(BsCollects *collects)
{
    if (collects->base) {
        collects->base = false;
        BsCore_Count(collects->core, "tenures_denied", 1);
        S_start_round(collects);
    }
}

/* ---------------------------------------------------------------------- */
/* Answering                                                               */
/* ---------------------------------------------------------------------- */

static void
S_pull_list(BsCollects *collects, const BsMessage *message, uint64_t revision)
{
    BsMessage *pull = BsMessage_Create(BS_LIST_PULL);
    pull->u.sheet.revision = revision;
    pull->u.sheet.base_revision = BsMembers_Revision(collects->core->members);
    BsCore_Send(collects->core, message->from, message->from_incarnation,
                pull);
}

/* Returns the revisions of the chain but the newest, as text. */
static char *
S_format_views(const BsCollects *collects)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i + 1 < collects->chain->len; i++) {
        g_string_append_printf(text, "%s%" G_GUINT64_FORMAT,
                               text->len > 0 ? "," : "",
                               BsView_Revision(collects->chain->pdata[i]));
    }
    return g_string_free(text, FALSE);
}

static void
S_take_losses(BsCollects *collects, const GPtrArray *losses, bool replaced)
{
    for (guint i = 0; losses != NULL && i < losses->len; i++) {
        const BsLoss *loss = losses->pdata[i];
        if (loss->incarnation == collects->core->config.incarnation) {
            continue;
        }
        if (replaced) {
            BsContact_Deny(collects->contact, loss->incarnation);
        }
        BsLosses_Add(collects->losses, loss->name, loss->incarnation,
                     loss->age_ms, loss->clean);
    }
}

static void
S_answer(BsCollects *collects, const BsMessage *message, bool agrees)
{
    BsCore *core = collects->core;
    int64_t now_ms = BsCore_NowMs(core);
    BsMessage *reply = BsMessage_Create(BS_COLLECT_REPLY);
    BsCollected *collected = &reply->u.collected;
    collected->list_revision = BsMembers_Revision(core->members);
    collected->view_hash = BsView_Hash(S_newest(collects));
    collected->round = message->u.collect.round;
    collected->age_ms = now_ms - collects->started_ms;
    collected->known_ms = now_ms - collects->known_since_ms;
    if (agrees) {
        if (collects->first_settled_ms > 0) {
            collected->settled_ms = now_ms - collects->first_settled_ms;
        }
        collected->views = S_format_views(collects);
        collected->notes = BsSchema_NewList(&bs_schema_note);
        collected->in_flight = BsSchema_NewList(&bs_schema_in_flight);
        collected->losses = BsSchema_NewList(&bs_schema_loss);
        BsKeeper_AppendNotes(core->keeper, message->from, collected->notes);
        BsOwner_AppendInFlight(core->owner, message->from,
                               collected->in_flight);
        BsLosses_Append(collects->losses, collected->losses);
    }
    BsCore_Send(core, message->from, message->from_incarnation, reply);
}

void
BsCollects_OnCollect(BsCollects *collects, const BsMessage *message)
{
    const BsCollect *collect = &message->u.collect;
    if (!BsContact_See(collects->contact, message, collect->age_ms)) {
        BsCore_Count(collects->core, "collects_refused", 1);
        return;
    }
    S_take_losses(collects, collect->losses, true);
    if (S_newest(collects) == NULL ||
        BsMembers_Revision(collects->core->members) < collect->list_revision) {
        S_pull_list(collects, message, 0);
        return;
    }
    S_answer(collects, message,
             BsView_Hash(S_newest(collects)) == collect->view_hash);
}

/* ---------------------------------------------------------------------- */
/* Asking                                                                  */
/* ---------------------------------------------------------------------- */

/* Pulls the views another holds and this one lacks; returns whether any. */
static bool
S_pull_views(BsCollects *collects, const BsMessage *message)
{
    const char *text = message->u.collected.views;
    bool missing = false;
    char **views = g_strsplit(text == NULL ? "" : text, ",", -1);
    for (char **view = views; *view != NULL; view++) {
        uint64_t revision = g_ascii_strtoull(*view, NULL, 10);
        if (revision > 0 && !S_knows_view(collects, revision)) {
            S_pull_list(collects, message, revision);
            missing = true;
        }
    }
    g_strfreev(views);
    return missing;
}

static void
S_take_answer(BsCollects *collects, const BsMessage *message)
{
    const BsCollected *collected = &message->u.collected;
    int64_t now_ms = BsCore_NowMs(collects->core);
    BsPeer *peer = BsContact_Peer(collects->contact, message->from);
    uint64_t *incarnation = g_new(uint64_t, 1);
    *incarnation = message->from_incarnation;
    g_hash_table_insert(collects->answers, g_strdup(message->from),
                        incarnation);
    collects->answered_ms = now_ms;
    if (collected->settled_ms > 0) {
        peer->settled_ms = now_ms - collected->settled_ms;
    }
    collects->known_since_ms =
        MIN(collects->known_since_ms, now_ms - collected->known_ms);
    S_take_losses(collects, collected->losses, false);
    BsLosses_Remove(collects->losses, message->from,
                    message->from_incarnation);
    BsKeeper_OnNotes(collects->core->keeper, message);
    BsOwner_OnInFlight(collects->core->owner, message);
}

void
BsCollects_OnReply(BsCollects *collects, const BsMessage *message)
{
    const BsCollected *collected = &message->u.collected;
    const BsView *newest = S_newest(collects);
    if (newest == NULL || !collects->settling ||
        !BsContact_See(collects->contact, message, collected->age_ms) ||
        collected->round != collects->round) {
        return;
    }
    if (collected->view_hash != BsView_Hash(newest) ||
        collected->list_revision < BsView_Revision(newest)) {
        if (collected->list_revision > BsView_Revision(newest)) {
            S_pull_list(collects, message, 0);
        }
        return;
    }
    if (!g_hash_table_contains(collects->answers, message->from) &&
        !S_pull_views(collects, message)) {
        S_take_answer(collects, message);
    }
}

static void
S_ask(BsCollects *collects, const char *name)
{
    BsMessage *message = BsMessage_Create(BS_COLLECT);
    BsCollect *collect = &message->u.collect;
    collect->list_revision = BsView_Revision(S_newest(collects));
    collect->view_hash = BsView_Hash(S_newest(collects));
    collect->round = collects->round;
    collect->age_ms = BsCore_NowMs(collects->core) - collects->started_ms;
    if (collects->replaced->len > 0) {
        collect->losses = BsSchema_NewList(&bs_schema_loss);
        for (guint i = 0; i < collects->replaced->len; i++) {
            BsLoss *loss = g_new0(BsLoss, 1);
            BsSchema_Copy(&bs_schema_loss, loss, collects->replaced->pdata[i]);
            g_ptr_array_add(collect->losses, loss);
        }
    }
    BsCore_Send(collects->core, name, 0, message);
}

static bool
S_has_answered(const BsCollects *collects, const char *name)
{
    return strcmp(name, collects->core->config.name) == 0 ||
           g_hash_table_contains(collects->answers, name);
}

/* Asks everybody in the views since the last settled one. */
static void
S_ask_all(BsCollects *collects)
{
    GHashTable *asked = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < collects->chain->len; i++) {
        const GPtrArray *entries =
            BsView_List(collects->chain->pdata[i])->entries;
        for (guint k = 0; k < entries->len; k++) {
            const BsListEntry *entry = entries->pdata[k];
            if (!S_has_answered(collects, entry->name) &&
                g_hash_table_add(asked, entry->name)) {
                S_ask(collects, entry->name);
            }
        }
    }
    g_hash_table_destroy(asked);
}

/* ---------------------------------------------------------------------- */
/* Settling                                                                */
/* ---------------------------------------------------------------------- */

static bool
S_all_answered(const BsCollects *collects)
{
    const GPtrArray *entries = BsView_List(S_newest(collects))->entries;
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (!S_has_answered(collects, entry->name)) {
            return false;
        }
    }
    return true;
}

/* Returns whether HOLDER, gone since VIEW, can get no lease by VIEW. */
static bool
S_is_fenced(const BsCollects *collects, const BsView *view, const char *holder)
{
    guint needed;
    guint open = 0;
    GPtrArray *lessors = BsView_Lessors(view, holder, &needed);
    for (guint i = 0; i < lessors->len; i++) {
        open += S_has_answered(collects, lessors->pdata[i]) ? 0 : 1;
    }
    g_ptr_array_unref(lessors);
    return open < needed;
}

/* Returns whether all gone since VIEW are fenced; sets GONE when any are. */
static bool
S_is_view_fenced(const BsCollects *collects, const BsView *view, bool *gone)
{
    const GPtrArray *entries = BsView_List(view)->entries;
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (entry->state != BS_NODE_LIVE ||
            S_has_answered(collects, entry->name)) {
            continue;
        }
        *gone = true;
        if (!S_is_fenced(collects, view, entry->name)) {
            return false;
        }
    }
    return true;
}

static bool
S_are_views_fenced(const BsCollects *collects, const GPtrArray *views,
                   bool *gone)
{
    for (guint i = 0; i < views->len; i++) {
        if (!S_is_view_fenced(collects, views->pdata[i], gone)) {
            return false;
        }
    }
    return true;
}

static void
S_settle(BsCollects *collects)
{
    GHashTableIter iter;
    gpointer name;
    gpointer incarnation;
    g_hash_table_iter_init(&iter, collects->answers);
    while (g_hash_table_iter_next(&iter, &name, &incarnation)) {
        BsContact_Peer(collects->contact, name)->counted_incarnation =
            *(const uint64_t *)incarnation;
    }
    g_ptr_array_remove_range(collects->chain, 0, collects->chain->len - 1);
    g_ptr_array_set_size(collects->extra, 0);
    g_ptr_array_set_size(collects->replaced, 0);
    BsLosses_Settle(collects->losses);
    collects->base = true;
    collects->settling = false;
    collects->settled_revision = BsView_Revision(S_newest(collects));
    if (collects->first_settled_ms == 0) {
        collects->first_settled_ms = BsCore_NowMs(collects->core);
    }
    BsCore_Count(collects->core, "lists_settled", 1);
    BsCore_Log(collects->core, LOG_INFO,
               "list revision %" G_GUINT64_FORMAT " settled",
               BsView_Revision(S_newest(collects)));
}

static bool
S_can_settle(const BsCollects *collects)
{
    bool gone =
        collects->replaced->len > 0 || BsLosses_HasUnclean(collects->losses);
    if (!S_all_answered(collects) ||
        !S_are_views_fenced(collects, collects->chain, &gone) ||
        !S_are_views_fenced(collects, collects->extra, &gone)) {
        return false;
    }
    int64_t wait_ms = gone ? collects->core->config.lease_ms : 0;
    return BsCore_NowMs(collects->core) >= collects->answered_ms + wait_ms;
}

void
BsCollects_OnTick(BsCollects *collects)
{
    int64_t now_ms = BsCore_NowMs(collects->core);
    if (!collects->settling ||
        !BsView_IsLive(S_newest(collects), collects->core->config.name)) {
        return;
    }
    if (S_can_settle(collects)) {
        S_settle(collects);
        return;
    }
    if (collects->sent_ms == G_MININT64 ||
        now_ms >= collects->sent_ms + RETRY_MS) {
        collects->sent_ms = now_ms;
        S_ask_all(collects);
    }
}
