/* crashlist.c - requests that crash the upstreams which run them. */
#include "crashlist.h"

#include <string.h>
#include <xxhash.h>

/* Time after the last crash for which a content is blocked. */
#define BLOCK_MS (10 * 60 * 1000)

/* Time after the last crash at which one trial request is sent. */
#define TRIAL_MS (30 * 1000)

/* Time after the last crash at which a content expires; until then one more
   crash blocks it again. */
#define EXPIRY_MS (2 * BLOCK_MS)

/* Time after the last crash for which a block is reported.  It ends before the
   block does, so that instances do not learn an ended block from each other
   again without end. */
#define REPORT_UNTIL_MS (BLOCK_MS - 30 * 1000)

/* Time for which a change is reported, and the most changes in one report; the
   rest of a report is for blocked contents. */
#define CHANGE_REPORT_MS 2000
#define CHANGES_REPORTED_MAX (BS_CRASH_RECORDS_REPORTED_MAX - 2)

/* Time after a request was given up within which the platform's list shows
   that its upstream has ended. */
#define ABANDONED_MS 10000

/* Most given up requests that are remembered. */
#define ABANDONED_MAX 256

/* Time after a content completed in which crashes do not count against it, and
   the number of completed contents that are remembered. */
#define COMPLETED_MS 10000
#define COMPLETED_MAX 1024

/* Most contents with recorded crashes. */
#define ENTRIES_MAX 4096

typedef struct {
    BsCrashRecord record; /* age_ms is not used */
    int64_t last_ms;      /* time of the last crash */
    int64_t changed_ms;
    bool has_trial; /* this instance may send one trial request */
    GQueue *queue;  /* that holds LINK */
    GList link;
} BsCrashEntry;

/* A request that was given up while its upstream ran it. */
typedef struct {
    uint64_t content;
    uint32_t upstream;
    int64_t sent_ms;
    int64_t given_up_ms;
    bool pending; /* may still count as a crash */
} BsAbandonedRequest;

/* A content that completed. */
typedef struct {
    uint64_t content;
    int64_t ended_ms; /* 0: the element is not used */
} BsCompletedContent;

struct BsCrashList {
    GHashTable *entries; /* content to BsCrashEntry */
    GQueue changed;      /* recently changed; reported in rotation */
    GQueue blocked;      /* reported in rotation */
    GQueue rest;         /* in the order in which they were moved here */
    BsAbandonedRequest abandoned[ABANDONED_MAX]; /* a ring buffer */
    uint32_t next_abandoned;
    /* Indexed by the content's lowest bits. */
    BsCompletedContent completed[COMPLETED_MAX];
    uint64_t blocks; /* blocks after crashes seen by this instance */
};

/* ----------------------------------------------------------- entries -- */

BsCrashList *
BsCrashList_Create(void)
{
    BsCrashList *list = g_new0(BsCrashList, 1);
    list->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&list->changed);
    g_queue_init(&list->blocked);
    g_queue_init(&list->rest);
    return list;
}

void
BsCrashList_Destroy(BsCrashList *list)
{
    if (list == NULL) {
        return;
    }
    g_hash_table_destroy(list->entries);
    g_free(list);
}

uint64_t
BsCrashList_HashContent(const char *account, const char *target,
                        const char *body, size_t size_bytes)
{
    XXH64_hash_t seed =
        account == NULL ? 0 : XXH3_64bits(account, strlen(account));
    seed = XXH3_64bits_withSeed(target, strlen(target), seed);
    return XXH3_64bits_withSeed(body, size_bytes, seed);
}

uint32_t
BsCrashList_HashUpstream(const char *id, int64_t born_ms)
{
    return (uint32_t)XXH3_64bits_withSeed(id, strlen(id),
                                          (XXH64_hash_t)born_ms);
}

static BsCrashEntry *
S_find(const BsCrashList *list, uint64_t content)
{
    return g_hash_table_lookup(list->entries, &content);
}

static void
S_move(BsCrashEntry *entry, GQueue *queue)
{
    g_queue_unlink(entry->queue, &entry->link);
    g_queue_push_tail_link(queue, &entry->link);
    entry->queue = queue;
}

static void
S_evict(BsCrashList *list, BsCrashEntry *entry)
{
    g_queue_unlink(entry->queue, &entry->link);
    g_hash_table_remove(list->entries, &entry->record.content);
}

/* Evicts the oldest entries of REST that have expired. */
static void
S_evict_old(BsCrashList *list, int64_t now_ms)
{
    BsCrashEntry *oldest;
    while ((oldest = g_queue_peek_head(&list->rest)) != NULL &&
           now_ms - oldest->last_ms > EXPIRY_MS) {
        S_evict(list, oldest);
    }
}

/* Makes room for one more entry; blocked contents are evicted last. */
static void
S_make_room(BsCrashList *list, int64_t now_ms)
{
    S_evict_old(list, now_ms);
    if (g_hash_table_size(list->entries) < ENTRIES_MAX) {
        return;
    }
    GQueue *queue = list->rest.length > 0      ? &list->rest
                    : list->changed.length > 0 ? &list->changed
                                               : &list->blocked;
    S_evict(list, g_queue_peek_head(queue));
}

/* Queues ENTRY to be reported as a change. */
static void
S_queue_change(BsCrashList *list, BsCrashEntry *entry, int64_t now_ms)
{
    entry->changed_ms = now_ms;
    S_move(entry, &list->changed);
}

static BsCrashEntry *
S_add(BsCrashList *list, uint64_t content, int64_t now_ms)
{
    S_make_room(list, now_ms);
    BsCrashEntry *entry = g_new0(BsCrashEntry, 1);
    entry->record.content = content;
    entry->changed_ms = now_ms;
    entry->last_ms = now_ms;
    entry->link.data = entry;
    entry->queue = &list->changed;
    g_queue_push_tail_link(entry->queue, &entry->link);
    g_hash_table_insert(list->entries, &entry->record.content, entry);
    return entry;
}

static bool
S_is_blocked(const BsCrashEntry *entry, int64_t now_ms)
{
    return entry->record.crashes == BS_CRASHES_TO_BLOCK &&
           now_ms - entry->last_ms <= BLOCK_MS;
}

static bool
S_is_trial_due(const BsCrashEntry *entry, int64_t now_ms)
{
    return entry->has_trial && now_ms - entry->last_ms >= TRIAL_MS;
}

/* -------------------------------------------------------------- sets -- */

static bool
S_contains(const BsCrashRecord *record, uint32_t upstream)
{
    for (uint32_t i = 0; i < record->crashes; i++) {
        if (record->upstreams[i] == upstream) {
            return true;
        }
    }
    return false;
}

/* Adds UPSTREAM to the set; a full set keeps the lowest hashes, so that all
   instances arrive at the same set. */
static void
S_insert(BsCrashRecord *record, uint32_t upstream)
{
    if (S_contains(record, upstream)) {
        return;
    }
    uint32_t at = MIN(record->crashes, BS_CRASHES_TO_BLOCK - 1);
    if (record->crashes == BS_CRASHES_TO_BLOCK &&
        record->upstreams[at] < upstream) {
        return;
    }
    for (; at > 0 && record->upstreams[at - 1] > upstream; at--) {
        record->upstreams[at] = record->upstreams[at - 1];
    }
    record->upstreams[at] = upstream;
    record->crashes = MIN(record->crashes + 1, BS_CRASHES_TO_BLOCK);
}

static bool
S_equals(const BsCrashRecord *a, const BsCrashRecord *b)
{
    return a->generation == b->generation && a->crashes == b->crashes &&
           memcmp(a->upstreams, b->upstreams,
                  a->crashes * sizeof(a->upstreams[0])) == 0;
}

/* Returns the union of both sets, or the set of the later generation if these
   differ. */
static BsCrashRecord
S_union(const BsCrashRecord *a, const BsCrashRecord *b)
{
    BsCrashRecord merged = a->generation >= b->generation ? *a : *b;
    if (a->generation == b->generation) {
        for (uint32_t i = 0; i < b->crashes; i++) {
            S_insert(&merged, b->upstreams[i]);
        }
    }
    return merged;
}

/* ------------------------------------------------------------ events -- */

/* Starts a new generation that keeps the first CRASHES upstreams of the
   set. */
static void
S_begin_generation(BsCrashEntry *entry, uint32_t crashes)
{
    entry->record.generation++;
    entry->record.crashes = crashes;
    entry->has_trial = false;
}

static bool
S_completed_recently(const BsCrashList *list, uint64_t content, int64_t now_ms)
{
    const BsCompletedContent *completed =
        &list->completed[content % COMPLETED_MAX];
    return completed->ended_ms > 0 && completed->content == content &&
           now_ms - completed->ended_ms <= COMPLETED_MS;
}

/* Discards all crashes of ENTRY at all instances. */
static void
S_clear(BsCrashList *list, BsCrashEntry *entry, int64_t now_ms)
{
    if (entry->record.crashes > 0) {
        S_begin_generation(entry, 0);
        S_queue_change(list, entry, now_ms);
    }
}

void
BsCrashList_NoteCrash(BsCrashList *list, uint64_t content, uint32_t upstream,
                      int64_t sent_ms, int64_t now_ms)
{
    if (S_completed_recently(list, content, now_ms)) {
        return;
    }
    BsCrashEntry *entry = S_find(list, content);
    if (entry == NULL) {
        entry = S_add(list, content, now_ms);
    }
    BsCrashRecord *record = &entry->record;
    bool was_blocked = S_is_blocked(entry, now_ms);
    if (record->crashes == BS_CRASHES_TO_BLOCK && !was_blocked) {
        S_begin_generation(entry, BS_CRASHES_TO_BLOCK - 1);
    }
    /* UPSTREAM accepted a request after its recorded crash, so it has
       restarted and counts as another upstream. */
    while (sent_ms > entry->last_ms && S_contains(record, upstream)) {
        upstream++;
    }
    S_insert(record, upstream);
    entry->last_ms = now_ms;
    S_queue_change(list, entry, now_ms);
    if (!was_blocked && S_is_blocked(entry, now_ms)) {
        entry->has_trial = true;
        list->blocks++;
    }
}

void
BsCrashList_NoteGivenUp(BsCrashList *list, uint64_t content, uint32_t upstream,
                        int64_t sent_ms, int64_t now_ms)
{
    BsAbandonedRequest *request = &list->abandoned[list->next_abandoned];
    list->next_abandoned = (list->next_abandoned + 1) % ABANDONED_MAX;
    request->content = content;
    request->upstream = upstream;
    request->sent_ms = sent_ms;
    request->given_up_ms = now_ms;
    request->pending = true;
}

void
BsCrashList_NoteUpstreamEnded(BsCrashList *list, uint32_t upstream,
                              int64_t now_ms)
{
    for (uint32_t i = 0; i < ABANDONED_MAX; i++) {
        BsAbandonedRequest *request = &list->abandoned[i];
        if (!request->pending || request->upstream != upstream) {
            continue;
        }
        request->pending = false;
        if (now_ms - request->given_up_ms <= ABANDONED_MS) {
            BsCrashList_NoteCrash(list, request->content, upstream,
                                  request->sent_ms, now_ms);
        }
    }
}

void
BsCrashList_NoteSent(BsCrashList *list, uint64_t content, int64_t now_ms)
{
    BsCrashEntry *entry = S_find(list, content);
    if (entry != NULL && S_is_trial_due(entry, now_ms)) {
        entry->has_trial = false;
    }
}

void
BsCrashList_NoteCompleted(BsCrashList *list, uint64_t content, int64_t now_ms)
{
    BsCompletedContent *completed = &list->completed[content % COMPLETED_MAX];
    BsCrashEntry *entry = S_find(list, content);
    completed->content = content;
    completed->ended_ms = now_ms;
    if (entry != NULL) {
        S_clear(list, entry, now_ms);
    }
}

static void
S_merge(BsCrashList *list, const BsCrashRecord *received, int64_t now_ms)
{
    int64_t crashed_ms = now_ms - received->age_ms;
    BsCrashEntry *entry = S_find(list, received->content);
    if (entry == NULL && received->crashes == 0) {
        return; /* no crashes to discard */
    }
    if (entry == NULL) {
        entry = S_add(list, received->content, now_ms);
        entry->last_ms = crashed_ms;
    }
    BsCrashRecord merged = S_union(&entry->record, received);
    if (!S_equals(&merged, &entry->record)) {
        entry->has_trial &= merged.generation == entry->record.generation;
        entry->record = merged;
        entry->last_ms = MAX(entry->last_ms, crashed_ms);
        S_queue_change(list, entry, now_ms);
    }
    else if (!S_equals(&merged, received)) {
        S_queue_change(list, entry, now_ms); /* the sender is behind */
    }
    if (S_completed_recently(list, received->content, now_ms)) {
        S_clear(list, entry, now_ms);
    }
}

void
BsCrashList_Merge(BsCrashList *list, const GArray *received, int64_t now_ms)
{
    for (guint i = 0; i < received->len; i++) {
        S_merge(list, &g_array_index(received, BsCrashRecord, i), now_ms);
    }
}

/* --------------------------------------------------------- reporting -- */

static void
S_append(const BsCrashEntry *entry, int64_t now_ms, GArray *report)
{
    BsCrashRecord record = entry->record;
    record.age_ms = (uint32_t)CLAMP(now_ms - entry->last_ms, 0, UINT32_MAX);
    g_array_append_val(report, record);
}

/* Returns the queue to which ENTRY belongs at NOW_MS. */
static GQueue *
S_current_queue(BsCrashList *list, const BsCrashEntry *entry, int64_t now_ms)
{
    if (now_ms - entry->changed_ms <= CHANGE_REPORT_MS) {
        return &list->changed;
    }
    bool is_reported = entry->record.crashes == BS_CRASHES_TO_BLOCK &&
                       now_ms - entry->last_ms <= REPORT_UNTIL_MS;
    return is_reported ? &list->blocked : &list->rest;
}

/* Appends entries of QUEUE until REPORT has LENGTH_MAX records; moves entries
   that no longer belong to QUEUE. */
static void
S_append_from_queue(BsCrashList *list, GQueue *queue, guint length_max,
                    int64_t now_ms, GArray *report)
{
    for (guint left = queue->length; left > 0 && report->len < length_max;
         left--) {
        BsCrashEntry *entry = g_queue_peek_head(queue);
        GQueue *current = S_current_queue(list, entry, now_ms);
        if (current == queue) {
            S_append(entry, now_ms, report);
        }
        S_move(entry, current);
    }
}

void
BsCrashList_Append(BsCrashList *list, int64_t now_ms, GArray *report)
{
    S_append_from_queue(list, &list->changed, CHANGES_REPORTED_MAX, now_ms,
                        report);
    S_append_from_queue(list, &list->blocked, BS_CRASH_RECORDS_REPORTED_MAX,
                        now_ms, report);
    S_evict_old(list, now_ms);
}

/* ----------------------------------------------------------- queries -- */

uint32_t
BsCrashList_CountCrashes(const BsCrashList *list, uint64_t content)
{
    const BsCrashEntry *entry = S_find(list, content);
    return entry == NULL ? 0 : entry->record.crashes;
}

bool
BsCrashList_IsBlocked(const BsCrashList *list, uint64_t content,
                      int64_t now_ms)
{
    const BsCrashEntry *entry = S_find(list, content);
    return entry != NULL && S_is_blocked(entry, now_ms) &&
           !S_is_trial_due(entry, now_ms);
}

BsCrashListCounts
BsCrashList_Count(const BsCrashList *list, int64_t now_ms)
{
    BsCrashListCounts counts = {.blocks = list->blocks};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, list->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsCrashEntry *entry = value;
        counts.contents++;
        counts.crashes += entry->record.crashes;
        counts.blocked += S_is_blocked(entry, now_ms);
    }
    return counts;
}
