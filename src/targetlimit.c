/* targetlimit.c - limits that upstreams name, or get because they fail:
   requests a second that one takes from all instances together. */
#include "targets_private.h"

#include <math.h>

/* An answer that repeats a known limit is noted at most this often. */
#define REPEAT_MS 500

/* Share of a limit that is used: the instances may disagree for a while about
   who sends. */
#define LIMIT_USED_SHARE 0.8

/* After each such time without an answer that names the limit, one more
   instance may send: those before it may have no requests, or not reach the
   upstream. */
#define SUCCESSION_MS 5000

/* A changed limit goes first in reports for CHANGE_REPORT_MS, and one that has
   ended is reported for ENDED_REPORT_MS. */
#define CHANGE_REPORT_MS 2000
#define ENDED_REPORT_MS 60000

#define MS_PER_S 1000.0
#define MILLI 1000.0

/* ------------------------------------------------------------ knowledge -- */

static void
S_set(BsTargetLimit *limit, double per_s, uint32_t version, int64_t now_ms)
{
    if (limit->per_s != per_s) {
        limit->since_ms = now_ms;
        limit->reported_until_ms = now_ms + ENDED_REPORT_MS;
    }
    if (limit->per_s <= 0) {
        limit->bucket.level = 0;
        limit->bucket.filled_ms = now_ms;
    }
    limit->per_s = per_s;
    limit->version = version;
    limit->told_ms = now_ms;
}

bool
BsTargets_NoteLimit(BsTarget *target, double per_s, int64_t sent_ms,
                    int64_t now_ms)
{
    BsTargetLimit *limit = &target->limit;
    double rounded = round(per_s * MILLI) / MILLI; /* as in reports */
    bool changed = limit->per_s != rounded;
    if (rounded <= 0 && (!changed || sent_ms < limit->told_ms)) {
        return false;
    }
    if (changed || now_ms - limit->told_ms >= REPEAT_MS) {
        S_set(limit, rounded, limit->version + 1, now_ms);
    }
    return changed;
}

unsigned
BsTargets_CountLimits(const BsTargets *targets)
{
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((BsTarget *)value)->limit.per_s > 0;
    }
    return count;
}

/* ------------------------------------------------------------- ejection -- */

void
BsTargets_SetProbeRate(BsTargets *targets, double per_s)
{
    targets->probe_per_s = per_s;
}

static BsEjectionUsual *
S_usual_failures(BsTargets *targets, const char *service)
{
    BsEjectionUsual *usual =
        g_hash_table_lookup(targets->usual_failures, service);
    if (usual == NULL) {
        usual = g_new0(BsEjectionUsual, 1);
        g_hash_table_insert(targets->usual_failures, g_strdup(service), usual);
    }
    return usual;
}

/* Returns whether one more upstream of SERVICE may be ejected. */
static bool
S_may_eject(const BsTargets *targets, const char *service)
{
    const GPtrArray *list = g_hash_table_lookup(targets->services, service);
    unsigned limited = 0;
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const BsTarget *target = list->pdata[i];
        limited += target->limit.per_s > 0;
    }
    return list != NULL && BsEjection_MayEject(limited, list->len);
}

bool
BsTargets_NoteAnswer(BsTargets *targets, BsTarget *target, bool failed,
                     int64_t now_ms)
{
    BsEjectionUsual *usual = S_usual_failures(targets, target->service);
    return BsEjection_Note(&target->ejection, usual, failed) &&
           targets->probe_per_s > 0 && target->limit.per_s <= 0 &&
           S_may_eject(targets, target->service) &&
           BsTargets_NoteLimit(target, targets->probe_per_s, now_ms, now_ms);
}

/* -------------------------------------------------------------- reports -- */

static void
S_append(const BsTarget *target, GArray *records)
{
    BsLimitRecord record = {
        .hash = target->hash,
        .born_ms = (uint64_t)target->born_ms,
        .version = target->limit.version,
        .per_s_milli = (uint32_t)lround(target->limit.per_s * MILLI),
    };
    g_array_append_val(records, record);
}

/* Appends COUNT of TARGETS at most, in turn from place NEXT on. */
static void
S_append_in_turn(const GPtrArray *targets, guint count, guint *next,
                 GArray *records)
{
    guint length = targets->len;
    for (guint i = 0; i < count && i < length; i++) {
        if (*next >= length) {
            *next = 0;
        }
        S_append(targets->pdata[*next], records);
        (*next)++;
    }
}

/* Sorts the targets whose limits are reported into those that CHANGED lately
   and the REST. */
static void
S_sort_reported(const BsTargets *targets, int64_t now_ms, GPtrArray *changed,
                GPtrArray *rest)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsTargetLimit *limit = &((BsTarget *)value)->limit;
        if (limit->version > 0 &&
            now_ms - limit->since_ms <= CHANGE_REPORT_MS) {
            g_ptr_array_add(changed, value);
        }
        else if (limit->per_s > 0 || now_ms < limit->reported_until_ms) {
            g_ptr_array_add(rest, value);
        }
    }
}

void
BsTargets_AppendLimits(BsTargets *targets, int64_t now_ms, GArray *records)
{
    GPtrArray *changed = g_ptr_array_new();
    GPtrArray *rest = g_ptr_array_new();
    guint half = BS_LIMIT_RECORDS_MAX / 2;
    S_sort_reported(targets, now_ms, changed, rest);
    guint changed_count =
        BS_LIMIT_RECORDS_MAX - MIN(rest->len, half); /* at least half */
    S_append_in_turn(changed, changed_count, &targets->next_changed_limit,
                     records);
    S_append_in_turn(rest, BS_LIMIT_RECORDS_MAX - records->len,
                     &targets->next_limit, records);
    g_ptr_array_free(changed, TRUE);
    g_ptr_array_free(rest, TRUE);
}

/* Returns whether RECORD is newer than LIMIT. */
static bool
S_is_newer(const BsLimitRecord *record, const BsTargetLimit *limit)
{
    if (record->version != limit->version) {
        return record->version > limit->version;
    }
    double per_s = record->per_s_milli / MILLI;
    return per_s > 0 && (limit->per_s <= 0 || per_s < limit->per_s);
}

static void
S_merge(BsTarget *target, const BsLimitRecord *record, int64_t now_ms,
        BsLimitChangeFunc on_change, void *context)
{
    BsTargetLimit before = target->limit;
    if (!S_is_newer(record, &before)) {
        if (record->version < before.version) {
            /* Its reporter does not know what has changed since. */
            target->limit.reported_until_ms = now_ms + ENDED_REPORT_MS;
        }
        return;
    }
    S_set(&target->limit, record->per_s_milli / MILLI, record->version,
          now_ms);
    if (target->limit.per_s != before.per_s) {
        on_change(target, &before, context);
    }
}

void
BsTargets_MergeLimits(BsTargets *targets, const GArray *records,
                      int64_t now_ms, BsLimitChangeFunc on_change,
                      void *context)
{
    for (guint i = 0; i < records->len; i++) {
        const BsLimitRecord *record =
            &g_array_index(records, BsLimitRecord, i);
        BsTarget *target = BsTargets_FindHash(targets, record->hash);
        if (target != NULL && target->hash == record->hash &&
            (uint64_t)target->born_ms == record->born_ms) {
            S_merge(target, record, now_ms, on_change, context);
        }
    }
}

/* ------------------------------------------------------------- decision -- */

/* Returns the requests a second that this instance may send by the limit of
   TARGET; 0: it has no part of it. */
static double
S_own_per_s(const BsTargets *targets, BsTarget *target, int64_t now_ms)
{
    const BsTargetLimit *limit = &target->limit;
    BsRateRank rank = BsTargets_SenderRank(targets, target);
    unsigned senders = BsSharedRate_Senders(limit->per_s);
    unsigned parts = MIN(senders, MAX(rank.count, 1));
    uint64_t successors = (uint64_t)(now_ms - limit->told_ms) / SUCCESSION_MS;
    if (!rank.sends || rank.before >= senders + successors) {
        return 0;
    }
    return limit->per_s * LIMIT_USED_SHARE * targets->share / parts;
}

bool
BsTargets_AllowsLimit(const BsTargets *targets, BsTarget *target,
                      int64_t now_ms)
{
    if (target->limit.per_s <= 0) {
        return true;
    }
    double per_s = S_own_per_s(targets, target, now_ms);
    return per_s > 0 &&
           BsRateBucket_Fill(&target->limit.bucket, per_s, now_ms);
}

/* Returns after how many milliseconds the limit of TARGET lets this instance
   send one request; INT64_MAX: it has no part of it. */
static int64_t
S_wait_ms(const BsTargets *targets, BsTarget *target, int64_t now_ms)
{
    double per_s = S_own_per_s(targets, target, now_ms);
    if (per_s <= 0) {
        return INT64_MAX;
    }
    BsRateBucket_Fill(&target->limit.bucket, per_s, now_ms);
    double missing = MAX(1 - target->limit.bucket.level, 0);
    return (int64_t)ceil(missing / per_s * MS_PER_S);
}

int64_t
BsTargets_LimitWaitMs(BsTargets *targets, const BsTargetQuery *query,
                      int64_t now_ms)
{
    const GPtrArray *list =
        g_hash_table_lookup(targets->services, query->service->name);
    int64_t wait_ms = INT64_MAX;
    bool any = false;
    for (guint i = 0; list != NULL && i < list->len; i++) {
        BsTarget *target = list->pdata[i];
        if (!BsTarget_IsOpen(target, query, now_ms)) {
            continue;
        }
        if (target->limit.per_s <= 0) {
            return 0;
        }
        any = true;
        wait_ms = MIN(wait_ms, S_wait_ms(targets, target, now_ms));
    }
    return any ? wait_ms : 0;
}
