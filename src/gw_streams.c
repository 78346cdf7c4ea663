/* gw_streams.c - the software versions in service. */
#include "gw_streams.h"

/* Interval between two passes over the list of upstreams. */
#define SERVING_INTERVAL_MS 200

/* How long after its time-out a stream may still be taken up: a caller may
   pause first. */
#define TAKE_UP_MARGIN_MS 10000

/* Minimum interval between two lines about dropped records. */
#define DROPPED_INTERVAL_MS 10000

struct BsStreamWatch {
    BsGate *gate;
    const BsReplica *replica;
    uint64_t catalog;   /* version whose longest time-out is set; 0: none */
    uint64_t era;       /* of the store; 0: not read yet */
    int64_t served_ms;  /* last pass */
    uint64_t dropped;   /* records, at the last line */
    int64_t dropped_ms; /* time of the last line */
};

BsStreamWatch *
BsStreamWatch_Create(BsGate *gate, const BsReplica *replica)
{
    BsStreamWatch *watch = g_new0(BsStreamWatch, 1);
    watch->gate = gate;
    watch->replica = replica;
    watch->served_ms = INT64_MIN / 2;
    watch->dropped_ms = INT64_MIN / 2;
    return watch;
}

void
BsStreamWatch_Destroy(BsStreamWatch *watch)
{
    g_free(watch);
}

static void
S_set_life(BsStreamWatch *watch, int64_t now_ms)
{
    const BsCatalog *catalog = watch->gate->catalog;
    if (catalog == NULL || BsCatalog_Version(catalog) == watch->catalog) {
        return;
    }
    watch->catalog = BsCatalog_Version(catalog);
    BsStreamVersions_SetLife(
        watch->gate->stream_versions,
        BsCatalog_LongestStreamMs(catalog) + TAKE_UP_MARGIN_MS, now_ms);
}

typedef struct {
    BsStreamVersions *versions;
    int64_t now_ms;
} BsServingPass;

static void
S_note_target(const BsTarget *target, void *context)
{
    const BsServingPass *pass = context;
    if (target->usable_until_ms > pass->now_ms) {
        uint64_t version =
            BsStreamVersions_Hash(target->service, target->version);
        BsStreamVersions_NoteServing(pass->versions, version, pass->now_ms);
    }
}

/* ----------------------------------------------------------- logging -- */

typedef struct {
    uint32_t service;
    const char *name; /* NULL while not found */
} BsServiceSearch;

static void
S_compare_service(const BsTarget *target, void *context)
{
    BsServiceSearch *search = context;
    if (search->name == NULL &&
        BsStreamVersions_HashService(target->service) == search->service) {
        search->name = target->service;
    }
}

static void
S_log_service(uint32_t service, bool mixed, uint32_t versions_count,
              void *context)
{
    const BsGate *gate = context;
    BsServiceSearch search = {.service = service};
    BsTargets_Each(gate->targets, S_compare_service, &search);
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE,
                         mixed ? "versions_mixed" : "versions_single")) {
        BsEventLog_Text(gate->log, "service", search.name);
        BsEventLog_Number(gate->log, "count", versions_count);
        BsEventLog_End(gate->log);
    }
}

static void
S_log_dropped(BsStreamWatch *watch, int64_t now_ms)
{
    BsEventLog *log = watch->gate->log;
    uint64_t dropped = BsStreamVersions_Dropped(watch->gate->stream_versions);
    if (dropped == watch->dropped ||
        now_ms - watch->dropped_ms < DROPPED_INTERVAL_MS) {
        return;
    }
    if (BsEventLog_Begin(log, BS_EVENT_STATE, "stream_records_dropped")) {
        BsEventLog_Number(log, "count", (int64_t)(dropped - watch->dropped));
        BsEventLog_End(log);
    }
    watch->dropped = dropped;
    watch->dropped_ms = now_ms;
}

/* ------------------------------------------------------------ update -- */

/* Returns the time of the list.  Where the store was restored from an older
   copy, it is not known until a full read has settled. */
static int64_t
S_current_ms(BsStreamWatch *watch, const BsStreamListState *state,
             int64_t now_ms)
{
    uint64_t position = BsReplica_CompleteRevision(watch->replica);
    uint64_t era = position == 0 ? 0 : BsPosition_Era(position);
    if (era != watch->era) {
        watch->era = era;
        BsStreamVersions_NoteGap(watch->gate->stream_versions, now_ms);
    }
    if (era == 0 || (era > 1 && !BsPosition_IsSettled(position))) {
        return INT64_MIN / 2;
    }
    return state->behind_ms == 0 ? state->answered_ms
                                 : MIN(state->answered_ms, state->behind_ms);
}

int64_t
BsStreamWatch_Update(BsStreamWatch *watch, const BsStreamListState *state,
                     int64_t now_ms)
{
    BsStreamVersions *versions = watch->gate->stream_versions;
    int64_t current_ms = S_current_ms(watch, state, now_ms);
    S_set_life(watch, now_ms);
    if (now_ms - watch->served_ms >= SERVING_INTERVAL_MS) {
        BsServingPass pass = {.versions = versions, .now_ms = now_ms};
        watch->served_ms = now_ms;
        BsTargets_Each(watch->gate->targets, S_note_target, &pass);
        BsStreamVersions_EachChange(versions, now_ms, S_log_service,
                                    watch->gate);
    }
    S_log_dropped(watch, now_ms);
    return current_ms;
}
