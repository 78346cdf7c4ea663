/* collect.c - handles list changes and answers collects of others. */
#include "collectstate.h"

#include "keeper.h"
#include "owner.h"
#include "schema.h"

#include <string.h>

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

BsView *
BsCollects_Newest(const BsCollects *collects)
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
BsCollects_HasSettledView(const BsCollects *collects)
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

/* Records the instances of OLDER that are not in NEWER as lost.  One that was
   leaving by a settled list has handed over its records and is not a loss. */
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
            const BsContactPeer *peer =
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
    BsView *newest = BsCollects_Newest(collects);
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

bool
BsCollects_KnowsView(const BsCollects *collects, uint64_t revision)
{
    return S_find_view(collects->chain, revision) != NULL ||
           S_find_view(collects->extra, revision) != NULL;
}

void
BsCollects_OnOldList(BsCollects *collects, const BsList *list)
{
    if (collects->settling && list->entries != NULL &&
        !BsCollects_KnowsView(collects, list->revision)) {
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
/* Replies                                                                 */
/* ---------------------------------------------------------------------- */

void
BsCollects_PullList(BsCollects *collects, const BsMessage *message,
                    uint64_t revision)
{
    BsMessage *pull = BsMessage_Create(BS_LIST_PULL);
    pull->u.sheet.revision = revision;
    pull->u.sheet.base_revision = BsMembers_Revision(collects->core->members);
    BsCore_Send(collects->core, message->from, message->from_incarnation,
                pull);
}

/* Returns the revisions of the chain except the newest, separated by
   commas. */
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

void
BsCollects_MergeLosses(BsCollects *collects, const GPtrArray *losses,
                       bool replaced)
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

/* Replies to the collect MESSAGE.  Only a sender with the same instances in
   its list (AGREES) gets notes, requests in flight and losses. */
static void
S_send_reply(BsCollects *collects, const BsMessage *message, bool agrees)
{
    BsCore *core = collects->core;
    int64_t now_ms = BsCore_NowMs(core);
    BsMessage *reply = BsMessage_Create(BS_COLLECT_REPLY);
    BsCollected *collected = &reply->u.collected;
    collected->list_revision = BsMembers_Revision(core->members);
    collected->view_hash = BsView_Hash(BsCollects_Newest(collects));
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
    if (!BsContact_NoteSender(collects->contact, message, collect->age_ms)) {
        BsCore_Count(collects->core, "collects_refused", 1);
        return;
    }
    BsCollects_MergeLosses(collects, collect->losses, true);
    if (BsCollects_Newest(collects) == NULL ||
        BsMembers_Revision(collects->core->members) < collect->list_revision) {
        BsCollects_PullList(collects, message, 0);
        return;
    }
    S_send_reply(collects, message,
                 BsView_Hash(BsCollects_Newest(collects)) ==
                     collect->view_hash);
}
