/* hub.c - the sums that a hub keeps of what many instances tell it. */
#include "hub.h"

/* A source that was silent this long does not count any more. */
#define SILENT_MS 1000

/* Another hub of a data centre is heard once the one before was silent this
   long. */
#define SUCCEED_MS 300

/* A data centre that was silent this long is gone. */
#define FORGET_MS 60000

/* Loads in a summary at most: as many as fit into a datagram. */
#define LOADS_MAX 170

/* Unchanged sums in a summary: all come in turns, which mends losses. */
#define TURN_SUMS 20

/* Uses of accounts in a summary at most, those that did not change too. */
#define USES_MAX 80

/* Near summaries until the sum of an upstream without requests is dropped. */
#define DROP_AFTER 1000

/* Where the sums of accounts begin, so that they stay above 0 when an instance
   gives back what a request had taken. */
#define USE_BASE (INT64_C(1) << 30)

/* What an instance, or a data centre by its hub, told last. */
typedef struct {
    uint32_t address;
    uint64_t incarnation;
    uint64_t sequence;
    int64_t heard_ms;
    bool silent;
    bool stopping;     /* another one takes over */
    GHashTable *loads; /* lower half of a hash to BsTargetLoad */
    GHashTable *uses;  /* account hash to uint64_t, last told */
    uint32_t heard;    /* of a data centre */
    uint32_t known;
} BsHubSource;

/* Requests at an upstream. */
typedef struct {
    uint32_t hash;
    uint32_t near;
    uint32_t near_cold;
    uint32_t far;
    uint32_t far_cold;
    bool changed;      /* news for the next near summary */
    bool near_changed; /* the same for the next far one */
    uint64_t
        empty_at; /* near summary in which it was empty first; 0: is not */
} BsHubSum;

/* What an account used since the hub's start, above USE_BASE. */
typedef struct {
    uint64_t hash;
    int64_t near;
    int64_t far;
} BsHubUse;

struct BsHub {
    GHashTable *members; /* address to BsHubSource */
    GHashTable *far;     /* data centre to BsHubSource */
    GHashTable *sums;    /* hash to BsHubSum */
    GHashTable *uses;    /* account hash to BsHubUse, not owned */
    GPtrArray *order;    /* BsHubSum, in the order of turns, not owned */
    GPtrArray *accounts; /* BsHubUse */
    guint near_turn;     /* next of ORDER, in near summaries */
    guint far_turn;      /* the same in far ones */
    guint near_use_turn; /* next of ACCOUNTS, in near summaries */
    guint far_use_turn;  /* the same in far ones */
    bool news;           /* for a near summary */
    bool use_news;       /* some account used something */
    bool near_news;      /* for a far one */
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
    hub->far = g_hash_table_new_full(NULL, NULL, NULL, S_destroy_source);
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
    g_hash_table_destroy(hub->far);
    g_ptr_array_unref(hub->order);
    g_hash_table_destroy(hub->sums);
    g_hash_table_destroy(hub->uses);
    g_ptr_array_unref(hub->accounts);
    g_free(hub);
}

/* ------------------------------------------------------------ counts -- */

static BsHubSum *
S_changed_sum(BsHub *hub, uint64_t hash, bool far)
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
    sum->near_changed |= !far;
    hub->news = true;
    hub->near_news |= !far;
    return sum;
}

/* Replaces what a source told of an upstream, BEFORE, by NOW. */
static void
S_move(BsHub *hub, const BsTargetLoad *before, const BsTargetLoad *now,
       bool far)
{
    if (before->in_flight == now->in_flight &&
        before->cold_sent == now->cold_sent) {
        return;
    }
    BsHubSum *sum = S_changed_sum(hub, now->hash, far);
    uint32_t *count = far ? &sum->far : &sum->near;
    uint32_t *cold = far ? &sum->far_cold : &sum->near_cold;
    *count += now->in_flight - before->in_flight;
    *cold += now->cold_sent - before->cold_sent;
}

/* Takes in what SOURCE has at one upstream. */
static void
S_set_load(BsHub *hub, BsHubSource *source, const BsTargetLoad *told, bool far)
{
    static const BsTargetLoad none = {0, 0, 0};
    gpointer key = GUINT_TO_POINTER((uint32_t)told->hash);
    BsTargetLoad *held = g_hash_table_lookup(source->loads, key);
    S_move(hub, held == NULL ? &none : held, told, far);
    if (told->in_flight + told->cold_sent == 0) {
        g_hash_table_remove(source->loads, key);
    }
    else {
        g_hash_table_replace(source->loads, key,
                             g_memdup2(told, sizeof(*told)));
    }
}

/* Takes off what SOURCE has anywhere but at the upstreams in KEPT, which may
   be NULL. */
static void
S_clear_loads(BsHub *hub, BsHubSource *source, GHashTable *kept, bool far)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, source->loads);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        BsTargetLoad *held = value;
        BsTargetLoad none = {held->hash, 0, 0};
        if (kept == NULL || !g_hash_table_contains(kept, key)) {
            S_move(hub, held, &none, far);
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Takes in the loads that SOURCE told; those of an instance are all it has. */
static void
S_set_loads(BsHub *hub, BsHubSource *source, const GArray *loads, bool far)
{
    if (!far) {
        GHashTable *kept = g_hash_table_new(NULL, NULL);
        for (guint i = 0; i < loads->len; i++) {
            uint64_t hash = g_array_index(loads, BsTargetLoad, i).hash;
            g_hash_table_add(kept, GUINT_TO_POINTER((uint32_t)hash));
        }
        S_clear_loads(hub, source, kept, far);
        g_hash_table_destroy(kept);
    }
    for (guint i = 0; i < loads->len; i++) {
        S_set_load(hub, source, &g_array_index(loads, BsTargetLoad, i), far);
    }
}

static BsHubUse *
S_use(BsHub *hub, uint64_t hash)
{
    BsHubUse *use = g_hash_table_lookup(hub->uses, &hash);
    if (use == NULL) {
        use = g_new0(BsHubUse, 1);
        use->hash = hash;
        use->near = USE_BASE;
        g_hash_table_insert(hub->uses, &use->hash, use);
        g_ptr_array_add(hub->accounts, use);
    }
    return use;
}

/* Adds what accounts used since SOURCE told last.  What it used before it was
   first heard lies in the past. */
static void
S_take_uses(BsHub *hub, BsHubSource *source, const GArray *uses, bool far,
            bool known)
{
    for (guint i = 0; i < uses->len; i++) {
        const BsQuotaUse *told = &g_array_index(uses, BsQuotaUse, i);
        const uint64_t *before =
            g_hash_table_lookup(source->uses, &told->hash);
        uint64_t from = before != NULL ? *before : known ? 0 : told->used;
        if (told->used != from) {
            BsHubUse *use = S_use(hub, told->hash);
            *(far ? &use->far : &use->near) += (int64_t)(told->used - from);
            hub->use_news = true;
        }
        g_hash_table_replace(source->uses,
                             g_memdup2(&told->hash, sizeof(told->hash)),
                             g_memdup2(&told->used, sizeof(told->used)));
    }
}

/* ----------------------------------------------------------- sources -- */

static BsHubSource *
S_source(GHashTable *sources, uint32_t key)
{
    BsHubSource *source = g_hash_table_lookup(sources, GUINT_TO_POINTER(key));
    if (source == NULL) {
        source = g_new0(BsHubSource, 1);
        source->loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        source->uses =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
        source->silent = true;
        g_hash_table_insert(sources, GUINT_TO_POINTER(key), source);
    }
    return source;
}

/* Replaces what SOURCE told by LOADS and USES, told by ADDRESS. */
static void
S_replace(BsHub *hub, BsHubSource *source, uint32_t address,
          uint64_t incarnation, const GArray *loads, const GArray *uses,
          bool far, int64_t now_ms)
{
    bool known =
        source->address == address && source->incarnation == incarnation;
    if (!known) {
        g_hash_table_remove_all(source->uses);
        S_clear_loads(hub, source, NULL, far);
    }
    source->address = address;
    source->incarnation = incarnation;
    source->heard_ms = now_ms;
    source->silent = false;
    S_set_loads(hub, source, loads, far);
    S_take_uses(hub, source, uses, far, known);
}

void
BsHub_TakeMember(BsHub *hub, uint32_t address, const BsGossipReport *report,
                 int64_t now_ms)
{
    BsHubSource *source = S_source(hub->members, address);
    S_replace(hub, source, address, report->incarnation, report->loads,
              report->uses, false, now_ms);
}

bool
BsHub_TakeFar(BsHub *hub, uint32_t address, const BsSummary *summary,
              int64_t now_ms)
{
    BsHubSource *source = S_source(hub->far, summary->data_centre);
    bool same = source->address == address;
    if ((same && source->incarnation == summary->incarnation &&
         summary->sequence <= source->sequence) ||
        (!same && !source->silent && !source->stopping &&
         now_ms - source->heard_ms < SUCCEED_MS) ||
        (!same && summary->stopping && !source->silent)) {
        return false;
    }
    S_replace(hub, source, address, summary->incarnation, summary->loads,
              summary->uses, true, now_ms);
    source->sequence = summary->sequence;
    source->stopping = summary->stopping;
    source->heard = summary->heard;
    source->known = summary->known;
    return true;
}

static void
S_expire(BsHub *hub, GHashTable *sources, bool far, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sources);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsHubSource *source = value;
        int64_t silent_ms = now_ms - source->heard_ms;
        if (silent_ms > FORGET_MS) {
            g_hash_table_iter_remove(&iter);
        }
        else if (!source->silent && silent_ms > SILENT_MS) {
            source->silent = true;
            S_clear_loads(hub, source, NULL, far);
        }
    }
}

void
BsHub_Expire(BsHub *hub, int64_t now_ms)
{
    S_expire(hub, hub->members, false, now_ms);
    S_expire(hub, hub->far, true, now_ms);
}

/* --------------------------------------------------------- summaries -- */

bool
BsHub_HasNews(const BsHub *hub)
{
    return hub->news;
}

bool
BsHub_HasNewUses(const BsHub *hub)
{
    return hub->use_news;
}

bool
BsHub_HasNearNews(const BsHub *hub)
{
    return hub->near_news;
}

/* Appends SUM for a near or far summary, and notes that it was told. */
static void
S_append_sum(BsHubSum *sum, bool far, GArray *loads)
{
    BsTargetLoad load = {sum->hash, sum->near + (far ? 0 : sum->far),
                         sum->near_cold + (far ? 0 : sum->far_cold)};
    g_array_append_val(loads, load);
    *(far ? &sum->near_changed : &sum->changed) = false;
}

static bool
S_is_empty(const BsHubSum *sum)
{
    return sum->near + sum->far + sum->near_cold + sum->far_cold == 0;
}

/* Drops sums that have been empty for long; receivers have dropped them. */
static void
S_drop_empty(BsHub *hub, uint64_t sequence)
{
    for (guint i = hub->order->len; i > 0; i--) {
        BsHubSum *sum = hub->order->pdata[i - 1];
        bool empty = S_is_empty(sum);
        if (empty && sum->empty_at > 0 &&
            sum->empty_at + DROP_AFTER <= sequence) {
            g_ptr_array_remove_index_fast(hub->order, i - 1);
            g_hash_table_remove(hub->sums, GUINT_TO_POINTER(sum->hash));
        }
        else if (!empty) {
            sum->empty_at = 0;
        }
        else if (sum->empty_at == 0) {
            sum->empty_at = sequence;
        }
    }
}

/* Appends the sums that changed, as many as fit, and some others in turns.
   Returns whether some that changed are left. */
static bool
S_fill_loads(BsHub *hub, bool far, GArray *loads)
{
    guint *turn = far ? &hub->far_turn : &hub->near_turn;
    bool left = false;
    for (guint i = 0; i < hub->order->len; i++) {
        BsHubSum *sum = hub->order->pdata[i];
        bool changed = far ? sum->near_changed : sum->changed;
        if (changed && loads->len < LOADS_MAX) {
            S_append_sum(sum, far, loads);
        }
        else {
            left |= changed;
        }
    }
    guint turns = MIN(TURN_SUMS, hub->order->len);
    for (guint i = 0; i < turns && loads->len < LOADS_MAX; i++) {
        *turn = (*turn + 1) % hub->order->len;
        S_append_sum(hub->order->pdata[*turn], far, loads);
    }
    return left;
}

void
BsHub_FillUses(BsHub *hub, bool far, BsSummary *summary)
{
    guint *turn = far ? &hub->far_use_turn : &hub->near_use_turn;
    for (guint i = 0; i < MIN(USES_MAX, hub->accounts->len); i++) {
        *turn = (*turn + 1) % hub->accounts->len;
        const BsHubUse *use = hub->accounts->pdata[*turn];
        BsQuotaUse told = {use->hash,
                           (uint64_t)(use->near + (far ? 0 : use->far))};
        g_array_append_val(summary->uses, told);
    }
    hub->use_news = false;
}

void
BsHub_FillNear(BsHub *hub, uint64_t sequence, BsSummary *summary,
               int64_t now_ms)
{
    BsHub_Expire(hub, now_ms);
    if (sequence % DROP_AFTER == 0) {
        S_drop_empty(hub, sequence);
    }
    hub->news = S_fill_loads(hub, false, summary->loads);
}

void
BsHub_FillFar(BsHub *hub, BsSummary *summary)
{
    hub->near_news = S_fill_loads(hub, true, summary->loads);
}

static uint32_t
S_far_count(const BsHub *hub, bool heard)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, hub->far);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsHubSource *source = value;
        count += !heard ? source->known : source->silent ? 0 : source->heard;
    }
    return count;
}

uint32_t
BsHub_FarHeard(const BsHub *hub)
{
    return S_far_count(hub, true);
}

uint32_t
BsHub_FarKnown(const BsHub *hub)
{
    return S_far_count(hub, false);
}
