/* sheetstore.c - the sheet in force and its distribution to all instances. */
#include "sheetstore.h"

#include "delta.h"
#include "tenure.h"

#include <syslog.h>

/* Texts kept as bases of deltas, including the one in force. */
#define TEXTS_MAX 4

/* Shortest interval between pulls. */
#define PULL_RETRY_MS 300

/* Longest time that the first sheet from the platform is held while peers may
   report a newer one, in lease times. */
#define FIRST_WAIT_LEASES 2

#define MS_PER_S 1000

/* Most pulls sent to one peer after its last report of a newer text. */
#define PULLS_MAX 5

/* A revision that no peer has reported for this long is not waited for. */
#define REPORT_VALID_MS 5000

/* A sheet text with its revision. */
typedef struct {
    uint64_t revision;
    uint32_t hash;
    GBytes *text;
} BsVersion;

struct BsSheetStore {
    BsCore *core;
    BsSheet *sheet;
    GPtrArray *versions;  /* BsVersion, newest last */
    BsVersion *candidate; /* first one from the platform, held, not in force */
    int64_t candidate_ms; /* when the hold began */
    int64_t accepted_ms;  /* when the sheet in force was accepted */
    int64_t pulled_ms;    /* when the last pull was sent */
    uint64_t reported_revision; /* highest reported by peers */
    int64_t reported_ms;        /* when it was last reported */
    char *newer_peer;           /* last peer that reported a newer text */
    uint64_t newer_peer_incarnation;
    uint32_t retries_left;     /* pulls that may still be sent to NEWER_PEER */
    uint64_t refused_revision; /* last refused, to log it once */
    uint32_t refused_hash;
    uint64_t conflict_revision; /* highest with two texts, to log it once */
    bool pull_whole; /* the last delta could not be applied: pull the whole
                        text */
};

static BsVersion *
S_create_version(uint64_t revision, GBytes *text)
{
    BsVersion *version = g_new0(BsVersion, 1);
    version->revision = revision;
    version->hash = BsDelta_Hash(text);
    version->text = g_bytes_ref(text);
    return version;
}

static void
S_destroy_version(void *data)
{
    BsVersion *version = data;
    if (version != NULL) {
        g_bytes_unref(version->text);
        g_free(version);
    }
}

BsSheetStore *
BsSheetStore_Create(BsCore *core)
{
    BsSheetStore *store = g_new0(BsSheetStore, 1);
    store->core = core;
    store->versions = g_ptr_array_new_with_free_func(S_destroy_version);
    store->pulled_ms = G_MININT64;
    return store;
}

void
BsSheetStore_Destroy(BsSheetStore *store)
{
    if (store == NULL) {
        return;
    }
    BsSheet_Destroy(store->sheet);
    g_ptr_array_unref(store->versions);
    S_destroy_version(store->candidate);
    g_free(store->newer_peer);
    g_free(store);
}

const BsSheet *
BsSheetStore_Current(const BsSheetStore *store)
{
    return store->sheet;
}

static const BsVersion *
S_newest(const BsSheetStore *store)
{
    guint count = store->versions->len;
    return count == 0 ? NULL : store->versions->pdata[count - 1];
}

uint64_t
BsSheetStore_Revision(const BsSheetStore *store)
{
    const BsVersion *newest = S_newest(store);
    return newest == NULL ? 0 : newest->revision;
}

uint32_t
BsSheetStore_Hash(const BsSheetStore *store)
{
    const BsVersion *newest = S_newest(store);
    return newest == NULL ? 0 : newest->hash;
}

/* Returns whether a text supersedes the one in force: by revision, and by
   hash when the revisions are equal, so that all instances choose alike. */
static bool
S_is_newer(const BsSheetStore *store, uint64_t revision, uint32_t hash)
{
    uint64_t held = BsSheetStore_Revision(store);
    return revision > held ||
           (revision == held && hash > BsSheetStore_Hash(store));
}

/* ---------------------------------------------------------------------- */
/* Accepting                                                               */
/* ---------------------------------------------------------------------- */

static void
S_refuse(BsSheetStore *store, const BsVersion *version, const GError *error)
{
    BsCore_Count(store->core, "sheets_refused", 1);
    if (version->revision != store->refused_revision ||
        version->hash != store->refused_hash) {
        store->refused_revision = version->revision;
        store->refused_hash = version->hash;
        BsCore_Log(store->core, LOG_ERR,
                   "sheet revision %" G_GUINT64_FORMAT " refused: %s",
                   version->revision, error->message);
    }
}

static void
S_note_conflict(BsSheetStore *store, uint64_t revision, uint32_t hash)
{
    const BsVersion *newest = S_newest(store);
    if (newest == NULL || newest->revision != revision ||
        newest->hash == hash) {
        return;
    }
    BsCore_Count(store->core, "sheet_conflicts", 1);
    if (store->conflict_revision < revision) {
        store->conflict_revision = revision;
        BsCore_Log(store->core, LOG_ERR,
                   "two texts under sheet revision %" G_GUINT64_FORMAT
                   "; publish the right one under a new revision",
                   revision);
    }
}

/* Puts VERSION in force when it is valid, and takes ownership of it. */
static void
S_put_in_force(BsSheetStore *store, BsVersion *version)
{
    GError *error = NULL;
    gsize size;
    const char *data = g_bytes_get_data(version->text, &size);
    BsSheet *sheet = BsSheet_Parse(data, size, &error);
    if (sheet == NULL) {
        S_refuse(store, version, error);
        g_error_free(error);
        S_destroy_version(version);
        return;
    }
    BsSheet_Destroy(store->sheet);
    store->sheet = sheet;
    store->accepted_ms = BsCore_NowMs(store->core);
    g_ptr_array_add(store->versions, version);
    if (store->versions->len > TEXTS_MAX) {
        g_ptr_array_remove_index(store->versions, 0);
    }
    BsCore_Count(store->core, "sheets_accepted", 1);
    BsCore_Log(store->core, LOG_NOTICE,
               "sheet revision %" G_GUINT64_FORMAT " in force",
               version->revision);
    BsTenure_ProbeSoon(store->core->tenure);
}

/* Holds the first sheet from the platform until peers have had time to report
   a newer one.  Takes ownership of VERSION. */
static void
S_hold_candidate(BsSheetStore *store, BsVersion *version)
{
    if (store->candidate == NULL) {
        store->candidate_ms = BsCore_NowMs(store->core);
    }
    else if (store->candidate->revision >= version->revision) {
        S_destroy_version(version);
        return;
    }
    S_destroy_version(store->candidate);
    store->candidate = version;
}

/* Ignores, holds or puts in force VERSION, and takes ownership of it. */
static void
S_receive_version(BsSheetStore *store, BsVersion *version, bool from_peer)
{
    S_note_conflict(store, version->revision, version->hash);
    if (!S_is_newer(store, version->revision, version->hash)) {
        BsCore_Count(store->core, "sheets_ignored", 1);
        S_destroy_version(version);
    }
    else if (!from_peer && store->sheet == NULL) {
        S_hold_candidate(store, version);
    }
    else {
        S_put_in_force(store, version);
    }
}

static void
S_check_candidate(BsSheetStore *store)
{
    if (store->candidate == NULL) {
        return;
    }
    int64_t limit_ms =
        store->candidate_ms + FIRST_WAIT_LEASES * store->core->config.lease_ms;
    bool newest = !BsSheetStore_IsBehind(store) ||
                  store->reported_revision <= store->candidate->revision;
    bool peers_checked = newest && BsTenure_HasContact(store->core->tenure);
    if (peers_checked || BsCore_NowMs(store->core) >= limit_ms) {
        BsVersion *version = store->candidate;
        store->candidate = NULL;
        S_receive_version(store, version, true);
    }
}

/* ---------------------------------------------------------------------- */
/* Between peers                                                           */
/* ---------------------------------------------------------------------- */

/* Pulls from the last peer that reported a newer text, unless all retries are
   used up or a pull was sent less than PULL_RETRY_MS ago. */
static void
S_pull(BsSheetStore *store)
{
    int64_t now_ms = BsCore_NowMs(store->core);
    if (store->retries_left == 0 ||
        (store->pulled_ms != G_MININT64 &&
         now_ms < store->pulled_ms + PULL_RETRY_MS)) {
        return;
    }
    store->retries_left--;
    store->pulled_ms = now_ms;
    BsMessage *pull = BsMessage_Create(BS_SHEET_PULL);
    pull->u.sheet.hash = BsSheetStore_Hash(store);
    pull->u.sheet.revision = BsSheetStore_Revision(store);
    if (!store->pull_whole) {
        pull->u.sheet.base_revision = pull->u.sheet.revision;
    }
    BsCore_Count(store->core, "sheet_pulls", 1);
    BsCore_Send(store->core, store->newer_peer, store->newer_peer_incarnation,
                pull);
}

void
BsSheetStore_OnRevision(BsSheetStore *store, const BsMessage *message,
                        uint64_t revision, uint32_t hash)
{
    if (revision >= store->reported_revision) {
        store->reported_revision = revision;
        store->reported_ms = BsCore_NowMs(store->core);
    }
    if (S_is_newer(store, revision, hash)) {
        BsMessage_SetString(&store->newer_peer, message->from);
        store->newer_peer_incarnation = message->from_incarnation;
        store->retries_left = PULLS_MAX;
        S_pull(store);
    }
}

bool
BsSheetStore_IsBehind(const BsSheetStore *store)
{
    return store->reported_revision > BsSheetStore_Revision(store) &&
           BsCore_NowMs(store->core) < store->reported_ms + REPORT_VALID_MS;
}

static const BsVersion *
S_find_version(const BsSheetStore *store, uint64_t revision, uint32_t hash)
{
    for (guint i = 0; i < store->versions->len; i++) {
        const BsVersion *version = store->versions->pdata[i];
        if (version->revision == revision && version->hash == hash) {
            return version;
        }
    }
    return NULL;
}

/* Answers a pull with a delta to the puller's text, or with the whole text
   when no delta was asked for or that text is no longer kept. */
static void
S_push(BsSheetStore *store, const BsMessage *message)
{
    const BsSheetText *pull = &message->u.sheet;
    const BsVersion *newest = S_newest(store);
    if (message->from == NULL || newest == NULL ||
        newest->revision < pull->revision ||
        (newest->revision == pull->revision && newest->hash <= pull->hash)) {
        return;
    }
    const BsVersion *base =
        pull->base_revision == 0
            ? NULL
            : S_find_version(store, pull->base_revision, pull->hash);
    BsMessage *push = BsMessage_Create(BS_SHEET_PUSH);
    push->u.sheet.revision = newest->revision;
    push->u.sheet.hash = newest->hash;
    if (base == NULL) {
        push->u.sheet.text = g_bytes_ref(newest->text);
        BsCore_Count(store->core, "sheet_pushes_whole", 1);
    }
    else {
        push->u.sheet.base_revision = base->revision;
        push->u.sheet.text = BsDelta_Create(base->text, newest->text);
        BsCore_Count(store->core, "sheet_pushes_delta", 1);
    }
    BsCore_Send(store->core, message->from, message->from_incarnation, push);
}

/* Returns the whole text of a push, or NULL when its delta cannot be applied;
   the caller unrefs it. */
static GBytes *
S_restore_text(BsSheetStore *store, const BsSheetText *push)
{
    if (push->base_revision == 0) {
        return g_bytes_ref(push->text);
    }
    const BsVersion *newest = S_newest(store);
    if (newest == NULL || newest->revision != push->base_revision) {
        return NULL;
    }
    GBytes *text =
        BsDelta_Apply(newest->text, push->text, BS_SHEET_MAX_BYTES, NULL);
    if (text == NULL) {
        store->pull_whole = true;
        BsCore_Count(store->core, "sheet_deltas_refused", 1);
    }
    return text;
}

static void
S_handle_push(BsSheetStore *store, const BsMessage *message)
{
    const BsSheetText *push = &message->u.sheet;
    if (push->text == NULL || !S_is_newer(store, push->revision, push->hash)) {
        BsCore_Count(store->core, "sheets_ignored", 1);
        return;
    }
    GBytes *text = S_restore_text(store, push);
    if (text == NULL) {
        return;
    }
    store->pull_whole = false;
    S_receive_version(store, S_create_version(push->revision, text), true);
    g_bytes_unref(text);
}

void
BsSheetStore_OnMessage(BsSheetStore *store, const BsMessage *message)
{
    const BsSheetText *sheet = &message->u.sheet;
    switch (message->kind) {
    case BS_PLATFORM_SHEET:
        if (sheet->text != NULL) {
            S_receive_version(
                store, S_create_version(sheet->revision, sheet->text), false);
        }
        break;
    case BS_SHEET_PULL:
        S_push(store, message);
        break;
    default:
        S_handle_push(store, message);
        break;
    }
}

void
BsSheetStore_OnTick(BsSheetStore *store)
{
    S_check_candidate(store);
    if (BsSheetStore_IsBehind(store)) {
        S_pull(store);
    }
    if (store->sheet != NULL) {
        int64_t age_ms = BsCore_NowMs(store->core) - store->accepted_ms;
        BsCounters_Set(store->core->counters, "sheet_age_seconds",
                       (uint64_t)(age_ms / MS_PER_S));
    }
}
