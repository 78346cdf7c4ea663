/* settle.c - sends collects to the other instances and settles a list. */
#include "collectstate.h"

#include "keeper.h"
#include "owner.h"
#include "schema.h"

#include <string.h>
#include <syslog.h>

/* Time after which unanswered collects are sent again. */
#define RESEND_INTERVAL_MS 500

/* ---------------------------------------------------------------------- */
/* Collects and their replies                                              */
/* ---------------------------------------------------------------------- */

/* Pulls the views that the sender holds and this instance lacks; returns
   whether there are any. */
static bool
S_pull_views(BsCollects *collects, const BsMessage *message)
{
    const char *text = message->u.collected.views;
    bool missing = false;
    char **views = g_strsplit(text == NULL ? "" : text, ",", -1);
    for (char **view = views; *view != NULL; view++) {
        uint64_t revision = g_ascii_strtoull(*view, NULL, 10);
        if (revision > 0 && !BsCollects_KnowsView(collects, revision)) {
            BsCollects_PullList(collects, message, revision);
            missing = true;
        }
    }
    g_strfreev(views);
    return missing;
}

static void
S_record_reply(BsCollects *collects, const BsMessage *message)
{
    const BsCollected *collected = &message->u.collected;
    int64_t now_ms = BsCore_NowMs(collects->core);
    BsContactPeer *peer = BsContact_Peer(collects->contact, message->from);
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
    BsCollects_MergeLosses(collects, collected->losses, false);
    BsLosses_Remove(collects->losses, message->from,
                    message->from_incarnation);
    BsKeeper_OnNotes(collects->core->keeper, message);
    BsOwner_OnInFlight(collects->core->owner, message);
}

void
BsCollects_OnReply(BsCollects *collects, const BsMessage *message)
{
    const BsCollected *collected = &message->u.collected;
    const BsView *newest = BsCollects_Newest(collects);
    if (newest == NULL || !collects->settling ||
        !BsContact_NoteSender(collects->contact, message, collected->age_ms) ||
        collected->round != collects->round) {
        return;
    }
    if (collected->view_hash != BsView_Hash(newest) ||
        collected->list_revision < BsView_Revision(newest)) {
        if (collected->list_revision > BsView_Revision(newest)) {
            BsCollects_PullList(collects, message, 0);
        }
        return;
    }
    if (!g_hash_table_contains(collects->answers, message->from) &&
        !S_pull_views(collects, message)) {
        S_record_reply(collects, message);
    }
}

static void
S_send_collect(BsCollects *collects, const char *name)
{
    BsMessage *message = BsMessage_Create(BS_COLLECT);
    BsCollect *collect = &message->u.collect;
    collect->list_revision = BsView_Revision(BsCollects_Newest(collects));
    collect->view_hash = BsView_Hash(BsCollects_Newest(collects));
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

/* Sends a collect to every instance in the views since the last settled one
   that has not answered in this round. */
static void
S_send_collects(BsCollects *collects)
{
    GHashTable *asked = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < collects->chain->len; i++) {
        const GPtrArray *entries =
            BsView_List(collects->chain->pdata[i])->entries;
        for (guint k = 0; k < entries->len; k++) {
            const BsListEntry *entry = entries->pdata[k];
            if (!S_has_answered(collects, entry->name) &&
                g_hash_table_add(asked, entry->name)) {
                S_send_collect(collects, entry->name);
            }
        }
    }
    g_hash_table_destroy(asked);
}

/* ---------------------------------------------------------------------- */
/* Settling a list                                                         */
/* ---------------------------------------------------------------------- */

static bool
S_all_answered(const BsCollects *collects)
{
    const GPtrArray *entries =
        BsView_List(BsCollects_Newest(collects))->entries;
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (!S_has_answered(collects, entry->name)) {
            return false;
        }
    }
    return true;
}

/* Returns whether HOLDER, an instance removed since VIEW, can get no lease by
   VIEW: of its lessors there, fewer than a lease needs have not answered this
   round. */
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

/* Returns whether all instances removed since VIEW are fenced; sets REMOVED
   if there are any. */
static bool
S_is_view_fenced(const BsCollects *collects, const BsView *view, bool *removed)
{
    const GPtrArray *entries = BsView_List(view)->entries;
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (entry->state != BS_NODE_LIVE ||
            S_has_answered(collects, entry->name)) {
            continue;
        }
        *removed = true;
        if (!S_is_fenced(collects, view, entry->name)) {
            return false;
        }
    }
    return true;
}

static bool
S_are_views_fenced(const BsCollects *collects, const GPtrArray *views,
                   bool *removed)
{
    for (guint i = 0; i < views->len; i++) {
        if (!S_is_view_fenced(collects, views->pdata[i], removed)) {
            return false;
        }
    }
    return true;
}

/* Marks the newest list as settled and drops the older views. */
static void
S_settle_list(BsCollects *collects)
{
    GHashTableIter iter;
    gpointer name;
    gpointer incarnation;
    g_hash_table_iter_init(&iter, collects->answers);
    while (g_hash_table_iter_next(&iter, &name, &incarnation)) {
        BsContact_Peer(collects->contact, name)->settled_incarnation =
            *(const uint64_t *)incarnation;
    }
    g_ptr_array_remove_range(collects->chain, 0, collects->chain->len - 1);
    g_ptr_array_set_size(collects->extra, 0);
    g_ptr_array_set_size(collects->replaced, 0);
    BsLosses_MarkSingleClean(collects->losses);
    collects->base = true;
    collects->settling = false;
    collects->settled_revision = BsView_Revision(BsCollects_Newest(collects));
    if (collects->first_settled_ms == 0) {
        collects->first_settled_ms = BsCore_NowMs(collects->core);
    }
    BsCore_Count(collects->core, "lists_settled", 1);
    BsCore_Log(collects->core, LOG_INFO,
               "list revision %" G_GUINT64_FORMAT " settled",
               BsView_Revision(BsCollects_Newest(collects)));
}

/* Returns whether the newest list can be settled.  If an instance was removed
   or replaced, or a loss is not clean, this takes until one lease time after
   the last new reply, when every older lease has expired. */
static bool
S_can_settle(const BsCollects *collects)
{
    bool removed =
        collects->replaced->len > 0 || BsLosses_HasUnclean(collects->losses);
    if (!S_all_answered(collects) ||
        !S_are_views_fenced(collects, collects->chain, &removed) ||
        !S_are_views_fenced(collects, collects->extra, &removed)) {
        return false;
    }
    int64_t wait_ms = removed ? collects->core->config.lease_ms : 0;
    return BsCore_NowMs(collects->core) >= collects->answered_ms + wait_ms;
}

void
BsCollects_OnTick(BsCollects *collects)
{
    int64_t now_ms = BsCore_NowMs(collects->core);
    if (!collects->settling || !BsView_IsLive(BsCollects_Newest(collects),
                                              collects->core->config.name)) {
        return;
    }
    if (S_can_settle(collects)) {
        S_settle_list(collects);
        return;
    }
    if (collects->sent_ms == G_MININT64 ||
        now_ms >= collects->sent_ms + RESEND_INTERVAL_MS) {
        collects->sent_ms = now_ms;
        S_send_collects(collects);
    }
}
