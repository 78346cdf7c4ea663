/* fleetview.c - the load and account use of the other instances, from the
   totals of a hub. */
#include "fleetview.h"

/* Number of own reports kept: those of at least half a second. */
#define OWN_REPORTS 64

/* Added to the use of the others, which would otherwise be negative when the
   hub's total since its start is less than this instance's use since its
   own. */
#define USE_BASE (UINT64_C(1) << 40)

/* A count that no summary names for this long is removed.  Hubs name each one
   again within a second or two. */
#define COUNT_TIMEOUT_MS 8000

/* The counts of this instance in one of its reports. */
typedef struct {
    uint64_t sequence;
    GArray *loads; /* BsTargetLoad */
    GArray *uses;  /* BsQuotaUse */
} BsFleetOwnReport;

/* Requests of all instances at an upstream, as last reported by the hub. */
typedef struct {
    BsTargetLoad total;
    int64_t named_ms;
} BsFleetTotal;

struct BsFleetView {
    BsFleetOwnReport own[OWN_REPORTS]; /* ring buffer by sequence */
    const BsFleetOwnReport *acked;     /* included in TOTALS, or NULL */
    GHashTable *totals;                /* hash to BsFleetTotal */
};

static void
S_clear_own(BsFleetOwnReport *own)
{
    if (own->loads != NULL) {
        g_array_unref(own->loads);
        g_array_unref(own->uses);
    }
}

BsFleetView *
BsFleetView_Create(void)
{
    BsFleetView *view = g_new0(BsFleetView, 1);
    view->totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return view;
}

void
BsFleetView_Destroy(BsFleetView *view)
{
    if (view == NULL) {
        return;
    }
    for (size_t i = 0; i < OWN_REPORTS; i++) {
        S_clear_own(&view->own[i]);
    }
    g_hash_table_destroy(view->totals);
    g_free(view);
}

void
BsFleetView_NoteOwn(BsFleetView *view, const BsGossipReport *report)
{
    BsFleetOwnReport *own = &view->own[report->sequence % OWN_REPORTS];
    if (own == view->acked) {
        view->acked = NULL; /* unresponsive hub acknowledged no newer one */
    }
    S_clear_own(own);
    own->sequence = report->sequence;
    own->loads = g_array_copy(report->loads);
    own->uses = g_array_copy(report->uses);
}

/* Returns own report number ACK, or NULL if it is not kept. */
static const BsFleetOwnReport *
S_find_own(const BsFleetView *view, uint64_t ack)
{
    const BsFleetOwnReport *own = &view->own[ack % OWN_REPORTS];
    return ack > 0 && own->sequence == ack && own->loads != NULL ? own : NULL;
}

static BsTargetLoad
S_own_load(const BsFleetOwnReport *own, uint32_t hash)
{
    for (guint i = 0; own != NULL && i < own->loads->len; i++) {
        BsTargetLoad load = g_array_index(own->loads, BsTargetLoad, i);
        if ((uint32_t)load.hash == hash) {
            return load;
        }
    }
    return (BsTargetLoad){hash, 0, 0};
}

static uint64_t
S_own_use(const BsFleetOwnReport *own, uint64_t hash)
{
    for (guint i = 0; own != NULL && i < own->uses->len; i++) {
        const BsQuotaUse *use = &g_array_index(own->uses, BsQuotaUse, i);
        if (use->hash == hash) {
            return use->used;
        }
    }
    return 0;
}

/* Appends the load of the other instances at the upstream HASH: the total less
   this instance's own load, at least 0. */
static void
S_append_others(const BsFleetView *view, uint32_t hash, GArray *loads)
{
    const BsFleetTotal *total =
        g_hash_table_lookup(view->totals, GUINT_TO_POINTER(hash));
    if (total == NULL) {
        return;
    }
    BsTargetLoad own = S_own_load(view->acked, hash);
    BsTargetLoad others = {
        hash,
        total->total.in_flight - MIN(total->total.in_flight, own.in_flight),
        total->total.cold_sent - MIN(total->total.cold_sent, own.cold_sent)};
    g_array_append_val(loads, others);
}

/* Appends the load of the other instances at each upstream that OWN names. */
static void
S_append_reported(const BsFleetView *view, const BsFleetOwnReport *own,
                  GArray *loads)
{
    for (guint i = 0; own != NULL && i < own->loads->len; i++) {
        const BsTargetLoad *load = &g_array_index(own->loads, BsTargetLoad, i);
        S_append_others(view, (uint32_t)load->hash, loads);
    }
}

static void
S_set_totals(BsFleetView *view, const GArray *loads, int64_t now_ms)
{
    for (guint i = 0; i < loads->len; i++) {
        const BsTargetLoad *load = &g_array_index(loads, BsTargetLoad, i);
        gpointer key = GUINT_TO_POINTER((uint32_t)load->hash);
        BsFleetTotal *total = g_hash_table_lookup(view->totals, key);
        if (total == NULL) {
            total = g_new0(BsFleetTotal, 1);
            g_hash_table_insert(view->totals, key, total);
        }
        total->total = *load;
        total->named_ms = now_ms;
    }
}

void
BsFleetView_ApplySummary(BsFleetView *view, const BsSummary *summary,
                         uint64_t ack, int64_t now_ms, GArray *loads,
                         GArray *uses)
{
    const BsFleetOwnReport *before = view->acked;
    const BsFleetOwnReport *own = S_find_own(view, ack);
    S_set_totals(view, summary->loads, now_ms);
    /* A summary without loads leaves the totals as of the previous report. */
    if (summary->loads->len > 0) {
        view->acked = own;
    }
    if (view->acked != before) {
        S_append_reported(view, before, loads);
        S_append_reported(view, view->acked, loads);
    }
    for (guint i = 0; i < summary->loads->len; i++) {
        const BsTargetLoad *load =
            &g_array_index(summary->loads, BsTargetLoad, i);
        S_append_others(view, (uint32_t)load->hash, loads);
    }
    for (guint i = 0; own != NULL && i < summary->uses->len; i++) {
        BsQuotaUse use = g_array_index(summary->uses, BsQuotaUse, i);
        use.used += USE_BASE - S_own_use(own, use.hash);
        g_array_append_val(uses, use);
    }
}

/* Removes counts that were last named before BEFORE_MS; appends them to LOADS
   as zero. */
static void
S_remove_counts(BsFleetView *view, int64_t before_ms, GArray *loads)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, view->totals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsFleetTotal *total = value;
        if (total->named_ms < before_ms) {
            BsTargetLoad none = {total->total.hash, 0, 0};
            g_array_append_val(loads, none);
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
BsFleetView_Expire(BsFleetView *view, int64_t now_ms, GArray *loads)
{
    S_remove_counts(view, now_ms - COUNT_TIMEOUT_MS, loads);
}

void
BsFleetView_Reset(BsFleetView *view, GArray *loads)
{
    S_remove_counts(view, INT64_MAX, loads);
    view->acked = NULL;
}
