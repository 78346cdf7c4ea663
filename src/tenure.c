/* tenure.c - whether this instance may act as the holder of a resource. */
#include "tenure.h"

#include "collect.h"
#include "contact.h"
#include "loss.h"
#include "schema.h"
#include "sheetstore.h"

#include <string.h>
#include <syslog.h>

/* Probes sent per lease time. */
#define PROBES_PER_LEASE 2

/* Shortest time between two pulls of a list. */
#define PULL_RETRY_MS 300

struct BsTenure {
    BsCore *core;
    BsContact *contact;
    BsLosses *losses;
    BsCollects *collects;
    int64_t probed_ms;  /* last probes, or G_MININT64 to send them now */
    int64_t ticked_ms;  /* last tick */
    int64_t resumed_ms; /* last time that a pause was detected */
    int64_t pulled_ms;  /* last pull of a list */
    bool recovering;    /* the clock jumped; contact is not yet regained */
};

static void
S_on_replaced(const char *name, uint64_t incarnation, void *context)
{
    BsTenure *tenure = context;
    BsCollects_OnReplaced(tenure->collects, name, incarnation);
}

BsTenure *
BsTenure_Create(BsCore *core)
{
    BsTenure *tenure = g_new0(BsTenure, 1);
    tenure->core = core;
    tenure->contact = BsContact_Create(core, S_on_replaced, tenure);
    tenure->losses = BsLosses_Create(core);
    tenure->collects =
        BsCollects_Create(core, tenure->contact, tenure->losses);
    tenure->ticked_ms = BsCore_NowMs(core);
    tenure->probed_ms = G_MININT64;
    return tenure;
}

void
BsTenure_Destroy(BsTenure *tenure)
{
    if (tenure == NULL) {
        return;
    }
    BsCollects_Destroy(tenure->collects);
    BsLosses_Destroy(tenure->losses);
    BsContact_Destroy(tenure->contact);
    g_free(tenure);
}

/* Returns the newest view, or NULL before the first list. */
static const BsView *
S_newest_view(const BsTenure *tenure)
{
    const GPtrArray *chain = BsCollects_Chain(tenure->collects);
    return chain->len == 0 ? NULL : chain->pdata[chain->len - 1];
}

/* Returns whether at least a lease time passed since the last tick, so that
   what was known then may be out of date. */
static bool
S_has_jumped(const BsTenure *tenure)
{
    return BsCore_NowMs(tenure->core) >=
           tenure->ticked_ms + tenure->core->config.lease_ms;
}

bool
BsTenure_IsCurrent(const BsTenure *tenure)
{
    const BsView *newest = S_newest_view(tenure);
    return newest != NULL && !tenure->recovering && !S_has_jumped(tenure) &&
           BsView_Find(newest, tenure->core->config.name) != NULL;
}

bool
BsTenure_HasContact(BsTenure *tenure)
{
    return BsTenure_IsCurrent(tenure) &&
           BsContact_HasQuorum(tenure->contact, S_newest_view(tenure), false);
}

/* Returns whether this instance has the lease under every view since the last
   settled one. */
static bool
S_has_lease(BsTenure *tenure)
{
    const GPtrArray *chain = BsCollects_Chain(tenure->collects);
    for (guint i = 0; i < chain->len; i++) {
        if (!BsContact_HasQuorum(tenure->contact, chain->pdata[i], true)) {
            return false;
        }
    }
    return !tenure->recovering && !S_has_jumped(tenure);
}

/* Returns whether this instance ranked first for RESOURCE in every view since
   the last settled one. */
static bool
S_was_always_first(const BsTenure *tenure, const char *resource,
                   const char *data_centre, const char *region)
{
    const GPtrArray *chain = BsCollects_Chain(tenure->collects);
    if (!BsCollects_HasSettledView(tenure->collects)) {
        return false;
    }
    for (guint i = 0; i < chain->len; i++) {
        const char *first = BsList_Rank(BsView_List(chain->pdata[i]), resource,
                                        data_centre, region);
        if (g_strcmp0(first, tenure->core->config.name) != 0) {
            return false;
        }
    }
    return true;
}

/* Returns whether RESOURCE, a key, may have been used without this instance
   knowing of it. */
static bool
S_is_uncertain(BsTenure *tenure, const char *resource)
{
    int64_t now_ms = BsCore_NowMs(tenure->core);
    if (now_ms < BsCollects_KnownSinceMs(tenure->collects) +
                     tenure->core->config.resend_window_ms) {
        return true;
    }
    return BsLosses_Affects(
        tenure->losses, tenure->contact, S_newest_view(tenure),
        BsCollects_FirstSettledMs(tenure->collects), resource);
}

static BsTenureState
S_state_of_key(BsTenure *tenure, const char *resource)
{
    const BsView *newest = S_newest_view(tenure);
    if (newest == NULL ||
        g_strcmp0(BsList_Rank(BsView_List(newest), resource, NULL, NULL),
                  tenure->core->config.name) != 0) {
        return BS_TENURE_NONE;
    }
    if (!S_was_always_first(tenure, resource, NULL, NULL) ||
        !S_has_lease(tenure)) {
        return BS_TENURE_WAITING;
    }
    return S_is_uncertain(tenure, resource) ? BS_TENURE_UNCERTAIN
                                            : BS_TENURE_HELD;
}

BsTenureState
BsTenure_OfKey(BsTenure *tenure, const char *account, const char *key)
{
    char *resource = g_strdup_printf("%s\n%s", account, key);
    BsTenureState state = S_state_of_key(tenure, resource);
    g_free(resource);
    return state;
}

/* Returns whether an instance was lost so recently that it may still be on a
   lagging list; it could have left work in flight at any upstream. */
static bool
S_is_loss_recent(const BsTenure *tenure)
{
    int64_t newest_ms = BsLosses_NewestMs(tenure->losses);
    return newest_ms != G_MININT64 &&
           BsCore_NowMs(tenure->core) <
               newest_ms + tenure->core->config.list_lag_ms;
}

BsTenureState
BsTenure_OfUpstream(BsTenure *tenure, const char *name)
{
    const BsMembers *members = tenure->core->members;
    const BsListEntry *entry = BsMembers_Find(members, name);
    if (entry == NULL || g_strcmp0(BsMembers_OwnerOf(members, name),
                                   tenure->core->config.name) != 0) {
        return BS_TENURE_NONE;
    }
    if (!S_was_always_first(tenure, name, entry->data_centre, entry->region) ||
        !S_has_lease(tenure)) {
        return BS_TENURE_WAITING;
    }
    return S_is_loss_recent(tenure) ? BS_TENURE_WAITING : BS_TENURE_HELD;
}

void
BsTenure_OnList(BsTenure *tenure)
{
    tenure->pulled_ms = 0;
    BsCollects_OnList(tenure->collects, BsMembers_List(tenure->core->members));
    BsTenure_ProbeSoon(tenure);
}

const BsList *
BsTenure_FindList(const BsTenure *tenure, uint64_t revision)
{
    const GPtrArray *chain = BsCollects_Chain(tenure->collects);
    for (guint i = 0; i < chain->len; i++) {
        const BsView *view = chain->pdata[i];
        if (BsView_Revision(view) == revision) {
            return BsView_List(view);
        }
    }
    return NULL;
}

void
BsTenure_OnOldList(BsTenure *tenure, const BsList *list)
{
    BsCollects_OnOldList(tenure->collects, list);
}

void
BsTenure_OnRevisions(BsTenure *tenure, const BsMessage *message,
                     uint64_t list_revision, uint64_t sheet_revision,
                     uint32_t sheet_hash)
{
    int64_t now_ms = BsCore_NowMs(tenure->core);
    uint64_t held = BsMembers_Revision(tenure->core->members);
    if (message->from == NULL) {
        return;
    }
    if (list_revision > held && now_ms >= tenure->pulled_ms + PULL_RETRY_MS) {
        BsMessage *pull = BsMessage_Create(BS_LIST_PULL);
        tenure->pulled_ms = now_ms;
        pull->u.sheet.base_revision = held;
        BsCore_Send(tenure->core, message->from, message->from_incarnation,
                    pull);
    }
    BsSheetStore_OnRevision(tenure->core->sheets, message, sheet_revision,
                            sheet_hash);
}

/* Pulls a list or sheet that is newer at the sender of MESSAGE, a probe or a
   reply to one. */
static void
S_catch_up(BsTenure *tenure, const BsMessage *message)
{
    const BsProbe *probe = &message->u.probe;
    BsTenure_OnRevisions(tenure, message, probe->list_revision,
                         probe->sheet_revision, probe->sheet_hash);
}

void
BsTenure_ProbeSoon(BsTenure *tenure)
{
    tenure->probed_ms = G_MININT64;
}

void
BsTenure_OnMessage(BsTenure *tenure, const BsMessage *message)
{
    if (message->from == NULL) {
        BsCore_Count(tenure->core, "peer_messages_dropped", 1);
        return;
    }
    switch (message->kind) {
    case BS_PROBE:
        BsContact_OnProbe(tenure->contact, message);
        S_catch_up(tenure, message);
        break;
    case BS_PROBE_REPLY:
        S_catch_up(tenure, message);
        if (BsContact_OnReply(tenure->contact, message)) {
            BsCollects_OnDenied(tenure->collects);
        }
        break;
    case BS_COLLECT:
        BsCollects_OnCollect(tenure->collects, message);
        break;
    default:
        BsCollects_OnReply(tenure->collects, message);
        break;
    }
}

/* Returns the set of names of this instance's lessors, without itself, in all
   views since the last settled one; the caller destroys it, the names stay
   owned by the views. */
static GHashTable *
S_targets(const BsTenure *tenure)
{
    const char *self = tenure->core->config.name;
    const GPtrArray *chain = BsCollects_Chain(tenure->collects);
    GHashTable *targets = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < chain->len; i++) {
        guint needed;
        GPtrArray *lessors = BsView_Lessors(chain->pdata[i], self, &needed);
        for (guint k = 0; k < lessors->len; k++) {
            if (strcmp(lessors->pdata[k], self) != 0) {
                g_hash_table_add(targets, lessors->pdata[k]);
            }
        }
        g_ptr_array_unref(lessors);
    }
    return targets;
}

static void
S_probe(BsTenure *tenure)
{
    GHashTable *targets = S_targets(tenure);
    tenure->probed_ms = BsCore_NowMs(tenure->core);
    BsContact_Probe(tenure->contact, targets,
                    BsCollects_SettledRevision(tenure->collects));
    g_hash_table_destroy(targets);
}

/* Detects a pause of this process by the time since the last tick. */
static void
S_check_clock(BsTenure *tenure)
{
    int64_t now_ms = BsCore_NowMs(tenure->core);
    if (S_has_jumped(tenure)) {
        tenure->recovering = true;
        tenure->resumed_ms = now_ms;
        tenure->probed_ms = G_MININT64;
        BsCore_Count(tenure->core, "pauses_seen", 1);
        BsCore_Log(tenure->core, LOG_WARNING,
                   "paused for %" G_GINT64_FORMAT
                   " ms; reading sheet and list again",
                   now_ms - tenure->ticked_ms);
    }
    tenure->ticked_ms = now_ms;
}

/* Ends the recovery from a pause once probes sent since have regained contact,
   or after a lease time when there is no other instance to probe. */
static void
S_check_recovery(BsTenure *tenure)
{
    const BsView *newest = S_newest_view(tenure);
    if (!tenure->recovering || newest == NULL) {
        return;
    }
    GHashTable *targets = S_targets(tenure);
    bool alone = g_hash_table_size(targets) == 0;
    g_hash_table_destroy(targets);
    int64_t due_ms =
        tenure->resumed_ms + (alone ? tenure->core->config.lease_ms : 0);
    if (BsCore_NowMs(tenure->core) >= due_ms &&
        BsContact_HasQuorum(tenure->contact, newest, false) &&
        !BsSheetStore_IsBehind(tenure->core->sheets)) {
        tenure->recovering = false;
    }
}

bool
BsTenure_IsRecovering(const BsTenure *tenure)
{
    return tenure->recovering;
}

void
BsTenure_OnTick(BsTenure *tenure)
{
    int64_t now_ms = BsCore_NowMs(tenure->core);
    S_check_clock(tenure);
    BsLosses_OnTick(tenure->losses);
    if (S_newest_view(tenure) == NULL) {
        return;
    }
    BsCollects_OnTick(tenure->collects);
    int64_t interval_ms = tenure->core->config.lease_ms / PROBES_PER_LEASE;
    if (tenure->probed_ms == G_MININT64 ||
        now_ms >= tenure->probed_ms + interval_ms) {
        S_probe(tenure);
    }
    S_check_recovery(tenure);
}
