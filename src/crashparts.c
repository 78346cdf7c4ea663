/* crashparts.c - parts of prompts that crash upstreams. */
#include "crashparts.h"

#include <string.h>

/* Crashes within this time of the first one of a period count once. */
#define PERIOD_MS 1000

/* Periods with crashes under a part from which on it blocks requests; fewer
   may have other causes. */
#define PERIODS_TO_BLOCK 3

/* Time after the last crash at which a trial request passes; doubled with
   each period above PERIODS_TO_BLOCK, up to TRIAL_DOUBLINGS_MAX times. */
#define TRIAL_MS (30 * 1000)
#define TRIAL_DOUBLINGS_MAX 4

/* Time after which a crash is forgotten. */
#define EXPIRY_MS (10 * 60 * 1000)

/* Most crashes that are remembered. */
#define CRASHES_MAX 256

/* Time after a request was given up within which the platform's list shows
   that its upstream has ended, and the most of them that are remembered. */
#define GIVEN_UP_MS 10000
#define GIVEN_UP_MAX 64

/* Time for which a change is reported. */
#define CHANGE_REPORT_MS 2000

/* A time that was never reached; crashes before the start of the machine have
   times below 0. */
#define NEVER_MS INT64_MIN

/* A crash; LINK is in the table's queue. */
typedef struct {
    BsPartRecord record; /* age_ms is not used */
    int64_t crashed_ms;
    int64_t changed_ms; /* when it became known here */
    bool own;           /* seen by this instance */
    GList link;
} BsPartCrash;

/* A request that was given up when its answer had begun. */
typedef struct {
    BsPartRecord record; /* id 0: the element is not used */
    uint32_t upstream;
    int64_t given_up_ms;
} BsGivenUpParts;

/* A part of a remembered crash. */
typedef struct {
    uint64_t part;
    uint32_t crashes;
    int64_t last_crash_ms;
    int64_t progress_ms; /* latest progress known */
    int64_t rebutted_ms; /* when its progress was last found to follow a
                            crash */
    int64_t trial_ms;    /* last trial */
} BsSuspectPart;

struct BsCrashParts {
    GHashTable *crash_ids; /* id to BsPartCrash, which it owns */
    GHashTable *suspects;  /* part to BsSuspectPart */
    GQueue crashes;        /* BsPartCrash, by crashed_ms */
    uint32_t reported;     /* position of the crash reported last in turn */
    int64_t changed_ms;    /* of the latest change */
    BsGivenUpParts given_up[GIVEN_UP_MAX]; /* a ring buffer */
    uint32_t next_given_up;
};

BsCrashParts *
BsCrashParts_Create(void)
{
    BsCrashParts *table = g_new0(BsCrashParts, 1);
    table->crash_ids =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    table->suspects =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&table->crashes);
    return table;
}

void
BsCrashParts_Destroy(BsCrashParts *table)
{
    if (table == NULL) {
        return;
    }
    g_hash_table_destroy(table->crash_ids);
    g_hash_table_destroy(table->suspects);
    g_free(table);
}

/* ----------------------------------------------------------- crashes -- */

static BsSuspectPart *
S_find(const BsCrashParts *table, uint64_t part)
{
    return g_hash_table_lookup(table->suspects, &part);
}

static bool
S_contains(const uint64_t *parts, uint32_t count, uint64_t part)
{
    for (uint32_t i = 0; i < count; i++) {
        if (parts[i] == part) {
            return true;
        }
    }
    return false;
}

static void
S_accuse(BsCrashParts *table, uint64_t part, int64_t crashed_ms,
         int64_t now_ms)
{
    BsSuspectPart *suspect = S_find(table, part);
    if (suspect == NULL) {
        suspect = g_new0(BsSuspectPart, 1);
        suspect->part = part;
        suspect->last_crash_ms = NEVER_MS;
        suspect->progress_ms = NEVER_MS;
        suspect->rebutted_ms = NEVER_MS;
        suspect->trial_ms = NEVER_MS;
        g_hash_table_insert(table->suspects, &suspect->part, suspect);
    }
    suspect->crashes++;
    suspect->last_crash_ms = MAX(suspect->last_crash_ms, crashed_ms);
    if (suspect->progress_ms >= crashed_ms) {
        suspect->rebutted_ms = now_ms; /* the sender does not know it */
    }
}

static void
S_drop(BsCrashParts *table, BsPartCrash *crash)
{
    for (uint32_t i = 0; i < crash->record.count; i++) {
        BsSuspectPart *suspect = S_find(table, crash->record.parts[i]);
        if (--suspect->crashes == 0) {
            g_hash_table_remove(table->suspects, &suspect->part);
        }
    }
    g_queue_unlink(&table->crashes, &crash->link);
    g_hash_table_remove(table->crash_ids, &crash->record.id);
}

static void
S_drop_old(BsCrashParts *table, int64_t now_ms)
{
    BsPartCrash *oldest;
    while ((oldest = g_queue_peek_head(&table->crashes)) != NULL &&
           now_ms - oldest->crashed_ms > EXPIRY_MS) {
        S_drop(table, oldest);
    }
}

/* Inserts CRASH into the queue, which is ordered by time. */
static void
S_insert(BsCrashParts *table, BsPartCrash *crash)
{
    GList *before = table->crashes.tail;
    while (before != NULL &&
           ((BsPartCrash *)before->data)->crashed_ms > crash->crashed_ms) {
        before = before->prev;
    }
    if (before == NULL) {
        g_queue_push_head_link(&table->crashes, &crash->link);
    }
    else {
        g_queue_insert_after_link(&table->crashes, before, &crash->link);
    }
}

/* Adds the crash of RECORD, whose parts are made unique. */
static void
S_add(BsCrashParts *table, const BsPartRecord *record, int64_t crashed_ms,
      bool own, int64_t now_ms)
{
    if (record->count == 0 ||
        g_hash_table_contains(table->crash_ids, &record->id)) {
        return;
    }
    S_drop_old(table, now_ms);
    if (table->crashes.length >= CRASHES_MAX) {
        S_drop(table, g_queue_peek_head(&table->crashes));
    }
    BsPartCrash *crash = g_new0(BsPartCrash, 1);
    crash->record.id = record->id;
    crash->crashed_ms = crashed_ms;
    crash->changed_ms = now_ms;
    crash->own = own;
    crash->link.data = crash;
    for (uint32_t i = 0; i < record->count; i++) {
        uint32_t count = crash->record.count;
        if (!S_contains(crash->record.parts, count, record->parts[i])) {
            crash->record.parts[crash->record.count++] = record->parts[i];
            S_accuse(table, record->parts[i], crashed_ms, now_ms);
        }
    }
    g_hash_table_insert(table->crash_ids, &crash->record.id, crash);
    S_insert(table, crash);
    table->changed_ms = now_ms;
}

static BsPartRecord
S_record(uint64_t id, const BsSharedParts *shared)
{
    BsPartRecord record = {
        .id = id,
        .count = MIN(shared->count, BS_CRASH_PARTS_MAX),
    };
    memcpy(record.parts, shared->parts,
           record.count * sizeof(record.parts[0]));
    return record;
}

void
BsCrashParts_NoteCrash(BsCrashParts *table, uint64_t id,
                       const BsSharedParts *shared, int64_t now_ms)
{
    BsPartRecord record = S_record(id, shared);
    S_add(table, &record, now_ms, true, now_ms);
}

void
BsCrashParts_NoteGivenUp(BsCrashParts *table, uint64_t id, uint32_t upstream,
                         const BsSharedParts *shared, int64_t now_ms)
{
    BsGivenUpParts *given_up = &table->given_up[table->next_given_up];
    table->next_given_up = (table->next_given_up + 1) % GIVEN_UP_MAX;
    given_up->record = S_record(id, shared);
    given_up->upstream = upstream;
    given_up->given_up_ms = now_ms;
}

void
BsCrashParts_NoteUpstreamEnded(BsCrashParts *table, uint32_t upstream,
                               int64_t now_ms)
{
    for (uint32_t i = 0; i < GIVEN_UP_MAX; i++) {
        BsGivenUpParts *given_up = &table->given_up[i];
        if (given_up->record.id == 0 || given_up->upstream != upstream) {
            continue;
        }
        if (now_ms - given_up->given_up_ms <= GIVEN_UP_MS) {
            S_add(table, &given_up->record, now_ms, true, now_ms);
        }
        given_up->record.id = 0;
    }
}

/* ---------------------------------------------------------- progress -- */

/* Records that SUSPECT made progress at PROGRESS_MS, which is reported when it
   is the first one after a crash. */
static void
S_note_progress(BsCrashParts *table, BsSuspectPart *suspect,
                int64_t progress_ms, int64_t now_ms)
{
    if (progress_ms <= suspect->progress_ms) {
        return;
    }
    if (suspect->last_crash_ms > suspect->progress_ms &&
        suspect->last_crash_ms <= progress_ms) {
        suspect->rebutted_ms = now_ms;
        table->changed_ms = now_ms;
    }
    suspect->progress_ms = progress_ms;
}

void
BsCrashParts_NoteProgress(BsCrashParts *table, const BsSharedParts *shared,
                          int64_t now_ms)
{
    if (table->crashes.length == 0) {
        return;
    }
    for (uint32_t i = 0; i < shared->count; i++) {
        BsSuspectPart *suspect = S_find(table, shared->parts[i]);
        if (suspect != NULL) {
            S_note_progress(table, suspect, now_ms, now_ms);
        }
    }
}

/* ---------------------------------------------------------- evidence -- */

/* The crashes of a part since its last progress. */
typedef struct {
    uint32_t periods;
    int64_t first_ms;
    int64_t last_ms;
    bool last_is_own;
    uint64_t common[BS_CRASH_PARTS_MAX]; /* parts of all of them */
    uint32_t common_count;
} BsPartEvidence;

/* Keeps those of the common parts that RECORD has, too. */
static void
S_intersect(BsPartEvidence *evidence, const BsPartRecord *record)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < evidence->common_count; i++) {
        if (S_contains(record->parts, record->count, evidence->common[i])) {
            evidence->common[kept++] = evidence->common[i];
        }
    }
    evidence->common_count = kept;
}

static void
S_add_evidence(BsPartEvidence *evidence, const BsPartCrash *crash,
               int64_t *period_ms)
{
    if (evidence->periods == 0) {
        evidence->first_ms = crash->crashed_ms;
        evidence->common_count = crash->record.count;
        memcpy(evidence->common, crash->record.parts,
               crash->record.count * sizeof(evidence->common[0]));
    }
    if (evidence->periods == 0 || crash->crashed_ms - *period_ms > PERIOD_MS) {
        evidence->periods++;
        *period_ms = crash->crashed_ms;
    }
    evidence->last_ms = crash->crashed_ms;
    evidence->last_is_own = crash->own;
    S_intersect(evidence, &crash->record);
}

static BsPartEvidence
S_collect(const BsCrashParts *table, const BsSuspectPart *suspect,
          int64_t now_ms)
{
    BsPartEvidence evidence = {0};
    int64_t period_ms = 0;
    for (GList *node = table->crashes.head; node != NULL; node = node->next) {
        const BsPartCrash *crash = node->data;
        if (crash->crashed_ms > suspect->progress_ms &&
            now_ms - crash->crashed_ms <= EXPIRY_MS &&
            S_contains(crash->record.parts, crash->record.count,
                       suspect->part)) {
            S_add_evidence(&evidence, crash, &period_ms);
        }
    }
    return evidence;
}

/* Returns whether SHARED has all parts that the crashes have in common, but
   those that made progress since the first one. */
static bool
S_covers(const BsCrashParts *table, const BsSharedParts *shared,
         const BsPartEvidence *evidence)
{
    for (uint32_t i = 0; i < evidence->common_count; i++) {
        const BsSuspectPart *suspect = S_find(table, evidence->common[i]);
        if (suspect->progress_ms <= evidence->first_ms &&
            !S_contains(shared->parts, shared->count, suspect->part)) {
            return false;
        }
    }
    return true;
}

/* Returns whether SUSPECT blocks SHARED, and its EVIDENCE. */
static bool
S_blocks(const BsCrashParts *table, const BsSuspectPart *suspect,
         const BsSharedParts *shared, BsPartEvidence *evidence, int64_t now_ms)
{
    if (suspect == NULL || suspect->crashes < PERIODS_TO_BLOCK ||
        suspect->last_crash_ms <= suspect->progress_ms) {
        return false;
    }
    *evidence = S_collect(table, suspect, now_ms);
    return evidence->periods >= PERIODS_TO_BLOCK &&
           S_covers(table, shared, evidence);
}

static bool
S_is_trial_due(const BsSuspectPart *suspect, const BsPartEvidence *evidence,
               int64_t now_ms)
{
    uint32_t doublings =
        MIN(evidence->periods - PERIODS_TO_BLOCK, TRIAL_DOUBLINGS_MAX);
    int64_t pause_ms = (int64_t)TRIAL_MS << doublings;
    return evidence->last_is_own &&
           now_ms - MAX(evidence->last_ms, suspect->trial_ms) >= pause_ms;
}

bool
BsCrashParts_IsBlocked(const BsCrashParts *table, const BsSharedParts *shared,
                       int64_t now_ms)
{
    BsPartEvidence evidence;
    if (table->crashes.length < PERIODS_TO_BLOCK) {
        return false;
    }
    for (uint32_t i = 0; i < shared->count; i++) {
        const BsSuspectPart *suspect = S_find(table, shared->parts[i]);
        if (S_blocks(table, suspect, shared, &evidence, now_ms) &&
            !S_is_trial_due(suspect, &evidence, now_ms)) {
            return true;
        }
    }
    return false;
}

bool
BsCrashParts_IsSuspect(const BsCrashParts *table, const BsSharedParts *shared,
                       int64_t now_ms)
{
    if (table->crashes.length == 0) {
        return false;
    }
    for (uint32_t i = 0; i < shared->count; i++) {
        const BsSuspectPart *suspect = S_find(table, shared->parts[i]);
        if (suspect != NULL && suspect->last_crash_ms > suspect->progress_ms &&
            now_ms - suspect->last_crash_ms <= EXPIRY_MS) {
            return true;
        }
    }
    return false;
}

void
BsCrashParts_NoteSent(BsCrashParts *table, const BsSharedParts *shared,
                      int64_t now_ms)
{
    BsPartEvidence evidence;
    if (table->crashes.length < PERIODS_TO_BLOCK) {
        return;
    }
    for (uint32_t i = 0; i < shared->count; i++) {
        BsSuspectPart *suspect = S_find(table, shared->parts[i]);
        if (S_blocks(table, suspect, shared, &evidence, now_ms)) {
            suspect->trial_ms = now_ms;
        }
    }
}

/* --------------------------------------------------------- reporting -- */

static void
S_merge_progress(BsCrashParts *table, const BsPartRecord *record,
                 int64_t now_ms)
{
    for (uint32_t i = 0; i < record->count; i++) {
        BsSuspectPart *suspect = S_find(table, record->parts[i]);
        if (suspect != NULL) {
            S_note_progress(table, suspect, now_ms - record->age_ms, now_ms);
        }
    }
}

void
BsCrashParts_Merge(BsCrashParts *table, const GArray *received, int64_t now_ms)
{
    for (guint i = 0; i < received->len; i++) {
        const BsPartRecord *record = &g_array_index(received, BsPartRecord, i);
        if (record->id == 0) {
            S_merge_progress(table, record, now_ms);
        }
        else if (record->age_ms <= EXPIRY_MS) {
            S_add(table, record, now_ms - record->age_ms, false, now_ms);
        }
    }
}

static void
S_append_crash(const BsPartCrash *crash, int64_t now_ms, GArray *report)
{
    BsPartRecord record = crash->record;
    record.age_ms = (uint32_t)CLAMP(now_ms - crash->crashed_ms, 0, EXPIRY_MS);
    g_array_append_val(report, record);
}

/* Returns whether a part of CRASH may block requests. */
static bool
S_may_block(const BsCrashParts *table, const BsPartCrash *crash)
{
    for (uint32_t i = 0; i < crash->record.count; i++) {
        const BsSuspectPart *suspect = S_find(table, crash->record.parts[i]);
        if (suspect->crashes >= PERIODS_TO_BLOCK &&
            suspect->last_crash_ms > suspect->progress_ms) {
            return true;
        }
    }
    return false;
}

/* Appends the crash that follows the one reported in turn before, for
   instances that start later, if one of its parts may block requests. */
static void
S_append_in_turn(BsCrashParts *table, int64_t now_ms, GArray *report)
{
    if (table->crashes.length == 0) {
        return;
    }
    table->reported = (table->reported + 1) % table->crashes.length;
    const BsPartCrash *crash =
        g_queue_peek_nth(&table->crashes, table->reported);
    if (S_may_block(table, crash)) {
        S_append_crash(crash, now_ms, report);
    }
}

static void
S_append_crashes(const BsCrashParts *table, guint length_max, int64_t now_ms,
                 GArray *report)
{
    for (GList *node = table->crashes.tail;
         node != NULL && report->len < length_max; node = node->prev) {
        const BsPartCrash *crash = node->data;
        if (now_ms - crash->changed_ms <= CHANGE_REPORT_MS) {
            S_append_crash(crash, now_ms, report);
        }
    }
}

static void
S_append_progress(const BsCrashParts *table, int64_t now_ms, GArray *report)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->suspects);
    while (report->len < BS_PART_RECORDS_REPORTED_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsSuspectPart *suspect = value;
        if (suspect->rebutted_ms != NEVER_MS &&
            now_ms - suspect->rebutted_ms <= CHANGE_REPORT_MS) {
            BsPartRecord record = {
                .age_ms =
                    (uint32_t)CLAMP(now_ms - suspect->progress_ms, 0, INT_MAX),
                .count = 1,
                .parts = {suspect->part},
            };
            g_array_append_val(report, record);
        }
    }
}

void
BsCrashParts_Append(BsCrashParts *table, int64_t now_ms, GArray *report)
{
    S_drop_old(table, now_ms);
    S_append_in_turn(table, now_ms, report);
    if (now_ms - table->changed_ms <= CHANGE_REPORT_MS) {
        S_append_crashes(table, BS_PART_RECORDS_REPORTED_MAX / 2, now_ms,
                         report);
        S_append_progress(table, now_ms, report);
    }
}

uint32_t
BsCrashParts_CountCrashes(const BsCrashParts *table)
{
    return table->crashes.length;
}

uint32_t
BsCrashParts_CountSuspects(const BsCrashParts *table, int64_t now_ms)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsSuspectPart *suspect = value;
        count += suspect->crashes >= PERIODS_TO_BLOCK &&
                 S_collect(table, suspect, now_ms).periods >= PERIODS_TO_BLOCK;
    }
    return count;
}
