/* hub.c - totals that a hub keeps over the reports of many instances. */
#include "hub.h"

/* A source counts until no message was received from it for this long. */
#define SOURCE_TIMEOUT_MS 1000

/* Another hub of a data centre replaces the current one once no summary was
   received from that one for this long; a hub that is stopping replaces it
   only after SOURCE_TIMEOUT_MS. */
#define FAILOVER_MS 300

/* A source is removed after this time without a message. */
#define REMOVE_AFTER_MS 60000

/* Maximum number of loads in a summary: as many as fit into a datagram. */
#define LOADS_MAX 170

/* Number of sums repeated in each summary, in rotation, even if unchanged;
   this corrects receivers that lost a datagram. */
#define UNCHANGED_SUMS 20

/* Maximum number of account uses in a summary, unchanged ones included. */
#define USES_MAX 80

/* The sum of an upstream without requests is removed after at least this many
   local summaries; this is also the number of summaries between two checks. */
#define EMPTY_SUMMARIES 1000

/* Initial value of an account's sum: it must stay positive when an instance
   returns what a request had reserved. */
#define USE_BASE (INT64_C(1) << 30)

/* The last report of an instance, or the last summary of a data centre. */
typedef struct {
    uint32_t address;
    uint64_t incarnation;
    uint64_t sequence;
    int64_t received_ms;
    bool timed_out;
    bool stopping;      /* data centres only: another hub may replace it */
    GHashTable *loads;  /* lower 32 bits of the hash to BsTargetLoad */
    GHashTable *uses;   /* account hash to uint64_t, last reported */
    uint32_t reachable; /* reachable instances; data centres only */
    uint32_t known;     /* known instances; data centres only */
} BsHubSource;

/* Requests at an upstream, in this data centre (local) and the others. */
typedef struct {
    uint32_t hash;
    uint32_t local;
    uint32_t local_cold;
    uint32_t remote;
    uint32_t remote_cold;
    bool changed;         /* since the last local summary with it */
    bool local_changed;   /* since the last remote summary with it */
    uint64_t empty_since; /* number of a local summary; 0: not empty */
} BsHubSum;

/* What an account used since the hub's start, plus USE_BASE. */
typedef struct {
    uint64_t hash;
    int64_t local;
    int64_t remote;
} BsHubUse;

struct BsHub {
    GHashTable *members;      /* address to BsHubSource */
    GHashTable *data_centres; /* data centre to BsHubSource */
    GHashTable *sums;         /* hash to BsHubSum */
    GHashTable *uses;         /* account hash to BsHubUse, not owned */
    GPtrArray *order;       /* BsHubSum, in the order of rotation, not owned */
    GPtrArray *accounts;    /* BsHubUse */
    guint local_cursor;     /* last index in ORDER sent in local summaries */
    guint remote_cursor;    /* the same for remote summaries */
    guint local_use_cursor; /* last index in ACCOUNTS, local summaries */
    guint remote_use_cursor; /* the same for remote summaries */
    bool has_changes;        /* for the next local summary */
    bool has_use_changes;    /* for the next summary with account use */
    bool has_local_changes;  /* for the next remote summary */
};

static void
S_destroy_source(gpointer data)
{
    BsHubSource *source = data;
    g_hash_table_destroy(source->loads);
    g_hash_table_destroy(source->uses);
    g_free(source);
}

BsHub *
BsHub_Create(void)
{
    BsHub *hub = g_new0(BsHub, 1);
    hub->members = g_hash_table_new_full(NULL, NULL, NULL, S_destroy_source);
    hub->data_centres =
        g_hash_table_new_full(NULL, NULL, NULL, S_destroy_source);
    hub->sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    hub->uses = g_hash_table_new(g_int64_hash, g_int64_equal);
    hub->order = g_ptr_array_new();
    hub->accounts = g_ptr_array_new_with_free_func(g_free);
    return hub;
}

void
BsHub_Destroy(BsHub *hub)
{
    if (hub == NULL) {
        return;
    }
    g_hash_table_destroy(hub->members);
    g_hash_table_destroy(hub->data_centres);
    g_ptr_array_unref(hub->order);
    g_hash_table_destroy(hub->sums);
    g_hash_table_destroy(hub->uses);
    g_ptr_array_unref(hub->accounts);
    g_free(hub);
}

/* ------------------------------------------------------------ counts -- */

static BsHubSum *
S_mark_sum_changed(BsHub *hub, uint64_t hash, bool remote)
{
    uint32_t key = (uint32_t)hash;
    BsHubSum *sum = g_hash_table_lookup(hub->sums, GUINT_TO_POINTER(key));
    if (sum == NULL) {
        sum = g_new0(BsHubSum, 1);
        sum->hash = key;
        g_hash_table_insert(hub->sums, GUINT_TO_POINTER(key), sum);
        g_ptr_array_add(hub->order, sum);
    }
    sum->changed = true;
    sum->local_changed |= !remote;
    hub->has_changes = true;
    hub->has_local_changes |= !remote;
    return sum;
}

/* Replaces a source's load of an upstream in the sums. */
static void
S_replace_load(BsHub *hub, const BsTargetLoad *old_load,
               const BsTargetLoad *new_load, bool remote)
{
    if (old_load->in_flight == new_load->in_flight &&
        old_load->cold_sent == new_load->cold_sent) {
        return;
    }
    BsHubSum *sum = S_mark_sum_changed(hub, new_load->hash, remote);
    uint32_t *count = remote ? &sum->remote : &sum->local;
    uint32_t *cold = remote ? &sum->remote_cold : &sum->local_cold;
    *count += new_load->in_flight - old_load->in_flight;
    *cold += new_load->cold_sent - old_load->cold_sent;
}

/* Sets the load that SOURCE reported for one upstream. */
static void
S_set_load(BsHub *hub, BsHubSource *source, const BsTargetLoad *reported,
           bool remote)
{
    static const BsTargetLoad none = {0, 0, 0};
    gpointer key = GUINT_TO_POINTER((uint32_t)reported->hash);
    BsTargetLoad *stored = g_hash_table_lookup(source->loads, key);
    S_replace_load(hub, stored == NULL ? &none : stored, reported, remote);
    if (reported->in_flight + reported->cold_sent == 0) {
        g_hash_table_remove(source->loads, key);
    }
    else {
        g_hash_table_replace(source->loads, key,
                             g_memdup2(reported, sizeof(*reported)));
    }
}

/* Removes the loads of SOURCE except those at the upstreams in KEPT, which may
   be NULL. */
static void
S_clear_loads(BsHub *hub, BsHubSource *source, GHashTable *kept, bool remote)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, source->loads);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        BsTargetLoad *stored = value;
        BsTargetLoad none = {stored->hash, 0, 0};
        if (kept == NULL || !g_hash_table_contains(kept, key)) {
            S_replace_load(hub, stored, &none, remote);
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Sets the loads that SOURCE reported.  An instance reports all its loads, so
   others that it had are removed; a remote summary names only some. */
static void
S_set_loads(BsHub *hub, BsHubSource *source, const GArray *loads, bool remote)
{
    if (!remote) {
        GHashTable *kept = g_hash_table_new(NULL, NULL);
        for (guint i = 0; i < loads->len; i++) {
            uint64_t hash = g_array_index(loads, BsTargetLoad, i).hash;
            g_hash_table_add(kept, GUINT_TO_POINTER((uint32_t)hash));
        }
        S_clear_loads(hub, source, kept, remote);
        g_hash_table_destroy(kept);
    }
    for (guint i = 0; i < loads->len; i++) {
        S_set_load(hub, source, &g_array_index(loads, BsTargetLoad, i),
                   remote);
    }
}

static BsHubUse *
S_find_or_add_use(BsHub *hub, uint64_t hash)
{
    BsHubUse *use = g_hash_table_lookup(hub->uses, &hash);
    if (use == NULL) {
        use = g_new0(BsHubUse, 1);
        use->hash = hash;
        use->local = USE_BASE;
        g_hash_table_insert(hub->uses, &use->hash, use);
        g_ptr_array_add(hub->accounts, use);
    }
    return use;
}

/* Returns the total from which the use of an account counts that SOURCE names
   for the first time.  An instance counts from 0, the hub of another data
   centre from USE_BASE.  Use before the first message of a source does not
   count, nor does that of an account that had no room in earlier summaries. */
static uint64_t
S_first_baseline(const BsQuotaUse *reported, const GArray *uses, bool remote,
                 bool known)
{
    if (!known || (remote && uses->len >= USES_MAX)) {
        return reported->used;
    }
    return remote ? USE_BASE : 0;
}

/* Adds what accounts used since the previous message of SOURCE.  KNOWN tells
   whether an earlier message came from the same incarnation. */
static void
S_add_uses(BsHub *hub, BsHubSource *source, const GArray *uses, bool remote,
           bool known)
{
    for (guint i = 0; i < uses->len; i++) {
        const BsQuotaUse *reported = &g_array_index(uses, BsQuotaUse, i);
        const uint64_t *previous =
            g_hash_table_lookup(source->uses, &reported->hash);
        uint64_t baseline =
            previous != NULL ? *previous
                             : S_first_baseline(reported, uses, remote, known);
        if (reported->used != baseline) {
            BsHubUse *use = S_find_or_add_use(hub, reported->hash);
            *(remote ? &use->remote : &use->local) +=
                (int64_t)(reported->used - baseline);
            hub->has_use_changes = true;
        }
        g_hash_table_replace(
            source->uses, g_memdup2(&reported->hash, sizeof(reported->hash)),
            g_memdup2(&reported->used, sizeof(reported->used)));
    }
}

/* ----------------------------------------------------------- sources -- */

static BsHubSource *
S_find_or_add_source(GHashTable *sources, uint32_t key)
{
    BsHubSource *source = g_hash_table_lookup(sources, GUINT_TO_POINTER(key));
    if (source == NULL) {
        source = g_new0(BsHubSource, 1);
        source->loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        source->uses =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
        source->timed_out = true;
        g_hash_table_insert(sources, GUINT_TO_POINTER(key), source);
    }
    return source;
}

/* Replaces the state of SOURCE by LOADS and USES, received from ADDRESS. */
static void
S_update_source(BsHub *hub, BsHubSource *source, uint32_t address,
                uint64_t incarnation, const GArray *loads, const GArray *uses,
                bool remote, int64_t now_ms)
{
    /* A source that was away used its own share of limits meanwhile. */
    bool known = source->address == address &&
                 source->incarnation == incarnation &&
                 now_ms - source->received_ms <= SOURCE_TIMEOUT_MS;
    if (!known) {
        g_hash_table_remove_all(source->uses);
        S_clear_loads(hub, source, NULL, remote);
    }
    source->address = address;
    source->incarnation = incarnation;
    source->received_ms = now_ms;
    source->timed_out = false;
    S_set_loads(hub, source, loads, remote);
    /* A hub sends loads before uses, so only its first uses are the totals
       from which to count. */
    bool counted = !remote || g_hash_table_size(source->uses) > 0;
    S_add_uses(hub, source, uses, remote, known && counted);
}

void
BsHub_ApplyReport(BsHub *hub, uint32_t address, const BsGossipReport *report,
                  int64_t now_ms)
{
    BsHubSource *source = S_find_or_add_source(hub->members, address);
    S_update_source(hub, source, address, report->incarnation, report->loads,
                    report->uses, false, now_ms);
}

bool
BsHub_ApplyRemoteSummary(BsHub *hub, uint32_t address,
                         const BsSummary *summary, int64_t now_ms)
{
    BsHubSource *source =
        S_find_or_add_source(hub->data_centres, summary->data_centre);
    bool same = source->address == address;
    if ((same && source->incarnation == summary->incarnation &&
         summary->sequence <= source->sequence) ||
        (!same && !source->timed_out && !source->stopping &&
         now_ms - source->received_ms < FAILOVER_MS) ||
        (!same && summary->stopping && !source->timed_out)) {
        return false;
    }
    S_update_source(hub, source, address, summary->incarnation, summary->loads,
                    summary->uses, true, now_ms);
    source->sequence = summary->sequence;
    source->stopping = summary->stopping;
    source->reachable = summary->reachable;
    source->known = summary->known;
    return true;
}

static void
S_expire(BsHub *hub, GHashTable *sources, bool remote, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sources);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsHubSource *source = value;
        int64_t idle_ms = now_ms - source->received_ms;
        if (idle_ms > REMOVE_AFTER_MS) {
            g_hash_table_iter_remove(&iter);
        }
        else if (!source->timed_out && idle_ms > SOURCE_TIMEOUT_MS) {
            source->timed_out = true;
            S_clear_loads(hub, source, NULL, remote);
        }
    }
}

void
BsHub_Expire(BsHub *hub, int64_t now_ms)
{
    S_expire(hub, hub->members, false, now_ms);
    S_expire(hub, hub->data_centres, true, now_ms);
}

/* --------------------------------------------------------- summaries -- */

bool
BsHub_HasChanges(const BsHub *hub)
{
    return hub->has_changes;
}

bool
BsHub_HasUsageChanges(const BsHub *hub)
{
    return hub->has_use_changes;
}

bool
BsHub_HasLocalChanges(const BsHub *hub)
{
    return hub->has_local_changes;
}

/* Appends SUM to a local or remote summary and clears its mark of change. */
static void
S_append_sum(BsHubSum *sum, bool remote, GArray *loads)
{
    BsTargetLoad load = {sum->hash, sum->local + (remote ? 0 : sum->remote),
                         sum->local_cold + (remote ? 0 : sum->remote_cold)};
    g_array_append_val(loads, load);
    *(remote ? &sum->local_changed : &sum->changed) = false;
}

static bool
S_is_empty(const BsHubSum *sum)
{
    return sum->local + sum->remote + sum->local_cold + sum->remote_cold == 0;
}

/* Removes sums that were empty for EMPTY_SUMMARIES local summaries; by then
   the receivers have received them as zero.  Receivers remove what summaries
   no longer name (COUNT_TIMEOUT_MS in fleetview.c). */
static void
S_drop_empty(BsHub *hub, uint64_t sequence)
{
    for (guint i = hub->order->len; i > 0; i--) {
        BsHubSum *sum = hub->order->pdata[i - 1];
        bool empty = S_is_empty(sum);
        if (empty && sum->empty_since > 0 &&
            sum->empty_since + EMPTY_SUMMARIES <= sequence) {
            g_ptr_array_remove_index_fast(hub->order, i - 1);
            g_hash_table_remove(hub->sums, GUINT_TO_POINTER(sum->hash));
        }
        else if (!empty) {
            sum->empty_since = 0;
        }
        else if (sum->empty_since == 0) {
            sum->empty_since = sequence;
        }
    }
}

/* Appends changed sums, as many as fit, and then some others in rotation.
   Returns whether changed sums are left for the next summary. */
static bool
S_fill_loads(BsHub *hub, bool remote, GArray *loads)
{
    guint *cursor = remote ? &hub->remote_cursor : &hub->local_cursor;
    bool changes_left = false;
    for (guint i = 0; i < hub->order->len; i++) {
        BsHubSum *sum = hub->order->pdata[i];
        bool changed = remote ? sum->local_changed : sum->changed;
        if (changed && loads->len < LOADS_MAX) {
            S_append_sum(sum, remote, loads);
        }
        else {
            changes_left |= changed;
        }
    }
    guint rotated = MIN(UNCHANGED_SUMS, hub->order->len);
    for (guint i = 0; i < rotated && loads->len < LOADS_MAX; i++) {
        *cursor = (*cursor + 1) % hub->order->len;
        S_append_sum(hub->order->pdata[*cursor], remote, loads);
    }
    return changes_left;
}

void
BsHub_FillUses(BsHub *hub, bool remote, BsSummary *summary)
{
    guint *cursor = remote ? &hub->remote_use_cursor : &hub->local_use_cursor;
    for (guint i = 0; i < MIN(USES_MAX, hub->accounts->len); i++) {
        *cursor = (*cursor + 1) % hub->accounts->len;
        const BsHubUse *use = hub->accounts->pdata[*cursor];
        BsQuotaUse reported = {
            use->hash, (uint64_t)(use->local + (remote ? 0 : use->remote))};
        g_array_append_val(summary->uses, reported);
    }
    hub->has_use_changes = false;
}

void
BsHub_FillLocal(BsHub *hub, uint64_t sequence, BsSummary *summary,
                int64_t now_ms)
{
    BsHub_Expire(hub, now_ms);
    if (sequence % EMPTY_SUMMARIES == 0) {
        S_drop_empty(hub, sequence);
    }
    hub->has_changes = S_fill_loads(hub, false, summary->loads);
}

void
BsHub_FillRemote(BsHub *hub, BsSummary *summary)
{
    hub->has_local_changes = S_fill_loads(hub, true, summary->loads);
}

static uint32_t
S_remote_count(const BsHub *hub, bool reachable)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, hub->data_centres);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsHubSource *source = value;
        count += !reachable          ? source->known
                 : source->timed_out ? 0
                                     : source->reachable;
    }
    return count;
}

uint32_t
BsHub_RemoteReachable(const BsHub *hub)
{
    return S_remote_count(hub, true);
}

uint32_t
BsHub_RemoteKnown(const BsHub *hub)
{
    return S_remote_count(hub, false);
}
