/* order.c - orders that bring engines to the sheet's model versions. */
#include "order.h"

#include "owner.h"
#include "sheetstore.h"
#include "tenure.h"

#include <string.h>
#include <syslog.h>

/* Time between two passes over the owned engines. */
#define RECONCILE_INTERVAL_MS 500

/* For this long after an order, reports may still show the state before it. */
#define REPORT_LAG_MS 3000

/* Load times after which a load order without effect is sent again. */
#define LOAD_TIMES_UNTIL_RETRY 3

/* At most one in this many of a model's engines, but at least one engine,
   loads at once. */
#define LOADING_ENGINES_DIVISOR 4

#define LOAD_PREFIX "load "

/* The fencing number has the sheet's revision in its upper 32 bits and the
   list's revision in its lower 32 bits. */
#define FENCING_SHIFT 32
#define FENCING_REVISION_MAX UINT32_MAX

/* An engine from which this instance has a load report. */
typedef struct {
    char *upstream;
    char **loaded;       /* model@version; NULL when not reported */
    uint64_t fencing;    /* highest fencing number it reports */
    int64_t reported_ms; /* time the report describes */
    bool reachable;
    char *ordered; /* "VERB MODEL@VERSION" of the last order, or NULL */
    int64_t ordered_ms;
} BsEngine;

struct BsOrders {
    BsCore *core;
    GHashTable *engines; /* upstream name to BsEngine */
    uint64_t sheet_revision;
    int64_t sheet_ms; /* when it came into force here */
    int64_t reconciled_ms;
    bool logged_overflow;
};

static void
S_destroy_engine(void *data)
{
    BsEngine *engine = data;
    g_free(engine->upstream);
    g_strfreev(engine->loaded);
    g_free(engine->ordered);
    g_free(engine);
}

BsOrders *
BsOrders_Create(BsCore *core)
{
    BsOrders *orders = g_new0(BsOrders, 1);
    orders->core = core;
    orders->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_engine);
    return orders;
}

void
BsOrders_Destroy(BsOrders *orders)
{
    if (orders == NULL) {
        return;
    }
    g_hash_table_destroy(orders->engines);
    g_free(orders);
}

/* ---------------------------------------------------------------------- */
/* Load reports                                                            */
/* ---------------------------------------------------------------------- */

static bool
S_has_loaded(const BsEngine *engine, const char *model, const char *version)
{
    if (version == NULL) {
        return false;
    }
    char *item = g_strdup_printf("%s@%s", model, version);
    bool loaded = g_strv_contains((const char *const *)engine->loaded, item);
    g_free(item);
    return loaded;
}

/* Returns the version in ITEM, as model@version, if it is of MODEL, else
   NULL. */
static const char *
S_version_of(const char *item, const char *model)
{
    size_t length = strlen(model);
    bool matches = strncmp(item, model, length) == 0 && item[length] == '@';
    return matches ? item + length + 1 : NULL;
}

bool
BsOrder_IsCurrent(const BsOrders *orders, const char *upstream,
                  const char *model)
{
    const BsSheet *sheet = BsCore_Sheet(orders->core);
    const BsModel *wanted =
        sheet == NULL ? NULL : BsSheet_FindModel(sheet, model);
    const BsEngine *engine = g_hash_table_lookup(orders->engines, upstream);
    if (wanted == NULL || engine == NULL || engine->loaded == NULL) {
        return true;
    }
    return S_has_loaded(engine, model, wanted->version);
}

char *
BsOrders_CopyLoaded(const BsOrders *orders, const char *upstream,
                    int64_t *reported_ms)
{
    const BsEngine *engine = g_hash_table_lookup(orders->engines, upstream);
    if (engine == NULL || engine->loaded == NULL) {
        return NULL;
    }
    *reported_ms = engine->reported_ms;
    return g_strjoinv(",", engine->loaded);
}

/* Clears a load order once the engine reports the version as loaded. */
static void
S_check_done(BsEngine *engine)
{
    if (engine->ordered == NULL || engine->loaded == NULL ||
        !g_str_has_prefix(engine->ordered, LOAD_PREFIX)) {
        return;
    }
    const char *item = engine->ordered + strlen(LOAD_PREFIX);
    if (g_strv_contains((const char *const *)engine->loaded, item)) {
        g_clear_pointer(&engine->ordered, g_free);
    }
}

void
BsOrders_OnReport(BsOrders *orders, const BsMessage *message)
{
    const BsReport *report = &message->u.report;
    int64_t now_ms = BsCore_NowMs(orders->core);
    if (report->upstream == NULL) {
        return;
    }
    BsEngine *engine = g_hash_table_lookup(orders->engines, report->upstream);
    if (engine == NULL) {
        engine = g_new0(BsEngine, 1);
        engine->upstream = g_strdup(report->upstream);
        g_hash_table_insert(orders->engines, engine->upstream, engine);
    }
    else if (now_ms - report->age_ms < engine->reported_ms) {
        return; /* older than the report on record */
    }
    g_strfreev(engine->loaded);
    engine->loaded =
        report->loaded == NULL ? NULL : g_strsplit(report->loaded, ",", -1);
    S_check_done(engine);
    engine->fencing = report->fencing;
    engine->reachable = report->reachable;
    engine->reported_ms = now_ms - report->age_ms;
}

/* ---------------------------------------------------------------------- */
/* Staged loading                                                          */
/* ---------------------------------------------------------------------- */

/* Returns the rank of ENTRY among the engines of MODEL, the same on every
   instance with this list, and sets COUNT to their number. */
static guint
S_rank(const BsOrders *orders, const BsListEntry *entry, const char *model,
       guint *count)
{
    const GPtrArray *upstreams =
        BsMembers_Serving(orders->core->members, model);
    uint64_t own = BsMembers_Weight(entry->name, model);
    guint rank = 0;
    *count = 0;
    for (guint i = 0; upstreams != NULL && i < upstreams->len; i++) {
        const BsListEntry *other = upstreams->pdata[i];
        if (other->kind == BS_NODE_ENGINE) {
            (*count)++;
            rank += BsMembers_Weight(other->name, model) > own ? 1 : 0;
        }
    }
    return rank;
}

/* Returns whether it is the turn of ENTRY to load MODEL: engines load in waves
   after a sheet came into force, so that owners need no messages to
   coordinate. */
static bool
S_is_turn(const BsOrders *orders, const BsListEntry *entry, const char *model)
{
    const BsOrderLimits *limits =
        &BsSheet_Data(BsCore_Sheet(orders->core))->orders;
    guint count;
    guint rank = S_rank(orders, entry, model, &count);
    guint share = MAX(count / LOADING_ENGINES_DIVISOR, 1);
    guint wave = rank / MIN(share, limits->loads_at_once);
    return BsCore_NowMs(orders->core) >=
           orders->sheet_ms + (int64_t)wave * limits->load_ms;
}

/* ---------------------------------------------------------------------- */
/* Sending orders                                                          */
/* ---------------------------------------------------------------------- */

/* Returns the fencing number of an order sent now, 0 when a revision is too
   large for it. */
static uint64_t
S_fencing(BsOrders *orders)
{
    uint64_t sheet = BsSheetStore_Revision(orders->core->sheets);
    uint64_t list = BsMembers_Revision(orders->core->members);
    if (sheet > FENCING_REVISION_MAX || list > FENCING_REVISION_MAX) {
        if (!orders->logged_overflow) {
            orders->logged_overflow = true;
            BsCore_Log(orders->core, LOG_ERR,
                       "no orders to engines: a revision exceeds %u; "
                       "publish lower revision numbers",
                       FENCING_REVISION_MAX);
        }
        return 0;
    }
    return sheet << FENCING_SHIFT | list;
}

/* Returns whether this instance may send orders to UPSTREAM now. */
static bool
S_may_order(const BsOrders *orders, const char *upstream)
{
    BsCore *core = orders->core;
    return BsTenure_OfUpstream(core->tenure, upstream) == BS_TENURE_HELD &&
           BsTenure_HasContact(core->tenure) &&
           !BsSheetStore_IsBehind(core->sheets);
}

static void
S_send(BsOrders *orders, BsEngine *engine, const char *verb, const char *model,
       const char *version)
{
    BsCore *core = orders->core;
    uint64_t fencing = S_fencing(orders);
    if (fencing == 0 || !S_may_order(orders, engine->upstream)) {
        BsCore_Count(core, "orders_withheld", 1);
        return;
    }
    char *ordered = g_strdup_printf("%s %s@%s", verb, model, version);
    if (g_strcmp0(ordered, engine->ordered) == 0) {
        BsCore_Count(core, "orders_repeated", 1);
    }
    g_free(engine->ordered);
    engine->ordered = ordered;
    engine->ordered_ms = BsCore_NowMs(core);
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_ORDER);
    message->u.order.upstream = g_strdup(engine->upstream);
    message->u.order.verb = g_strdup(verb);
    message->u.order.model = g_strdup(model);
    message->u.order.version = g_strdup(version);
    message->u.order.fencing = fencing;
    BsCore_Count(core, "orders_sent", 1);
    BsOwner_OnOrder(core->owner, message);
    BsCore_Emit(core, message);
}

/* Returns whether the last order may still take effect. */
static bool
S_is_pending(const BsOrders *orders, const BsEngine *engine)
{
    if (engine->ordered == NULL) {
        return false;
    }
    if (engine->reported_ms < engine->ordered_ms + REPORT_LAG_MS) {
        return true;
    }
    uint32_t load_ms =
        BsSheet_Data(BsCore_Sheet(orders->core))->orders.load_ms;
    return g_str_has_prefix(engine->ordered, LOAD_PREFIX) &&
           BsCore_NowMs(orders->core) <
               engine->ordered_ms + (int64_t)LOAD_TIMES_UNTIL_RETRY * load_ms;
}

/* Returns whether MODEL@VERSION is missing; if so, orders ENGINE to load it
   when it is its turn. */
static bool
S_load(BsOrders *orders, BsEngine *engine, const BsListEntry *entry,
       const BsModel *model, const char *version)
{
    if (version == NULL || S_has_loaded(engine, model->name, version)) {
        return false;
    }
    if (S_is_turn(orders, entry, model->name)) {
        S_send(orders, engine, "load", model->name, version);
    }
    return true;
}

/* Orders ENGINE to unload the first version of MODEL that the sheet does not
   name; returns whether there was one. */
static bool
S_unload(BsOrders *orders, BsEngine *engine, const BsModel *model)
{
    for (char **item = engine->loaded; *item != NULL; item++) {
        const char *version = S_version_of(*item, model->name);
        if (version != NULL && strcmp(version, model->version) != 0 &&
            g_strcmp0(version, model->next_version) != 0) {
            S_send(orders, engine, "unload", model->name, version);
            return true;
        }
    }
    return false;
}

/* Takes the first step that is due for MODEL: load its version, unload others
   or load its next version; returns whether one was due. */
static bool
S_reconcile_model(BsOrders *orders, BsEngine *engine, const BsListEntry *entry,
                  const BsModel *model)
{
    return S_load(orders, engine, entry, model, model->version) ||
           S_unload(orders, engine, model) ||
           S_load(orders, engine, entry, model, model->next_version);
}

static void
S_reconcile_engine(BsOrders *orders, BsEngine *engine,
                   const BsListEntry *entry)
{
    const BsSheet *sheet = BsCore_Sheet(orders->core);
    if (!engine->reachable || engine->loaded == NULL ||
        S_is_pending(orders, engine)) {
        return;
    }
    char **names =
        g_strsplit(entry->serves == NULL ? "" : entry->serves, ",", -1);
    bool step_due = false;
    for (char **name = names; *name != NULL && !step_due; name++) {
        const BsModel *model = BsSheet_FindModel(sheet, *name);
        step_due =
            model != NULL && S_reconcile_model(orders, engine, entry, model);
    }
    g_strfreev(names);
}

/* Returns whether this instance does not own the engine NAME. */
static gboolean
S_is_not_owned(gpointer name, gpointer value, gpointer context)
{
    const BsOrders *orders = context;
    (void)value;
    return BsMembers_Find(orders->core->members, name) == NULL ||
           g_strcmp0(BsMembers_OwnerOf(orders->core->members, name),
                     orders->core->config.name) != 0;
}

static void
S_reconcile_all(BsOrders *orders)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_foreach_remove(orders->engines, S_is_not_owned, orders);
    g_hash_table_iter_init(&iter, orders->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsEngine *engine = value;
        const BsListEntry *entry =
            BsMembers_Find(orders->core->members, engine->upstream);
        if (entry->kind == BS_NODE_ENGINE && entry->state == BS_NODE_LIVE) {
            S_reconcile_engine(orders, engine, entry);
        }
    }
}

void
BsOrders_OnTick(BsOrders *orders)
{
    int64_t now_ms = BsCore_NowMs(orders->core);
    uint64_t revision = BsSheetStore_Revision(orders->core->sheets);
    if (BsCore_Sheet(orders->core) == NULL ||
        now_ms < orders->reconciled_ms + RECONCILE_INTERVAL_MS) {
        return;
    }
    orders->reconciled_ms = now_ms;
    if (revision != orders->sheet_revision) {
        orders->sheet_revision = revision;
        orders->sheet_ms = now_ms;
    }
    S_reconcile_all(orders);
}
