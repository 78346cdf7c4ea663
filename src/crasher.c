/* crasher.c - requests that crash the upstreams which run them. */
#include "crasher.h"

#include <string.h>
#include <xxhash.h>

/* Time after the last break in which a content is stopped. */
#define STOP_MS (10 * 60 * 1000)

/* Time after the last break at which one request is let through. */
#define TRIAL_MS (30 * 1000)

/* Time after the last break in which it is remembered: at its next break it is
   stopped at once. */
#define FORGET_MS (2 * STOP_MS)

/* A stop is not told any more this long before its end, so that instances do
   not learn it from each other without end. */
#define TELL_UNTIL_MS (STOP_MS - 30 * 1000)

/* Time in which a change is told, and how many are at once at most: the rest
   of a report is for what is stopped. */
#define NEWS_MS 2000
#define NEWS_TOLD_MAX (BS_CRASHERS_TOLD_MAX - 2)

/* Time in which the list tells that a silent upstream has ended. */
#define SILENCE_MS 10000

/* Silent ends remembered at most. */
#define SILENCES_MAX 256

/* Time in which a content that ran to its end is not to blame for breaks, and
   how many such contents are remembered. */
#define GOOD_MS 10000
#define GOODS_MAX 1024

/* Contents known at most. */
#define ENTRIES_MAX 4096

typedef struct {
    BsCrasher crasher; /* without its age */
    int64_t last_ms;   /* of the last break */
    int64_t changed_ms;
    bool has_trial; /* this instance may let one request through */
    GQueue *queue;  /* that holds LINK */
    GList link;
} BsCrasherEntry;

/* A request given up while its upstream ran it. */
typedef struct {
    uint64_t content;
    uint32_t upstream;
    int64_t sent_ms;
    int64_t given_up_ms;
    bool pending; /* may still count */
} BsCrasherSilence;

/* A content that ran to its end. */
typedef struct {
    uint64_t content;
    int64_t ended_ms; /* 0: none */
} BsCrasherGood;

struct BsCrashers {
    GHashTable *entries; /* content to BsCrasherEntry */
    GQueue news;         /* changed lately, told in turns */
    GQueue stopped;      /* told in turns, too */
    GQueue rest;         /* in the order in which they came here */
    BsCrasherSilence silences[SILENCES_MAX]; /* a ring */
    uint32_t next_silence;
    BsCrasherGood goods[GOODS_MAX]; /* by the content's lowest bits */
    uint64_t stops;                 /* by breaks seen here */
};

/* ----------------------------------------------------------- entries -- */

BsCrashers *
BsCrashers_Create(void)
{
    BsCrashers *crashers = g_new0(BsCrashers, 1);
    crashers->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&crashers->news);
    g_queue_init(&crashers->stopped);
    g_queue_init(&crashers->rest);
    return crashers;
}

void
BsCrashers_Destroy(BsCrashers *crashers)
{
    if (crashers == NULL) {
        return;
    }
    g_hash_table_destroy(crashers->entries);
    g_free(crashers);
}

uint64_t
BsCrashers_Content(const char *account, const char *target, const char *body,
                   size_t size_bytes)
{
    XXH64_hash_t seed =
        account == NULL ? 0 : XXH3_64bits(account, strlen(account));
    seed = XXH3_64bits_withSeed(target, strlen(target), seed);
    return XXH3_64bits_withSeed(body, size_bytes, seed);
}

uint32_t
BsCrashers_Upstream(const char *id, int64_t born_ms)
{
    return (uint32_t)XXH3_64bits_withSeed(id, strlen(id),
                                          (XXH64_hash_t)born_ms);
}

static BsCrasherEntry *
S_find(const BsCrashers *crashers, uint64_t content)
{
    return g_hash_table_lookup(crashers->entries, &content);
}

static void
S_move(BsCrasherEntry *entry, GQueue *queue)
{
    g_queue_unlink(entry->queue, &entry->link);
    g_queue_push_tail_link(queue, &entry->link);
    entry->queue = queue;
}

static void
S_drop(BsCrashers *crashers, BsCrasherEntry *entry)
{
    g_queue_unlink(entry->queue, &entry->link);
    g_hash_table_remove(crashers->entries, &entry->crasher.content);
}

/* Drops the oldest of the rest while they are to be forgotten. */
static void
S_drop_old(BsCrashers *crashers, int64_t now_ms)
{
    BsCrasherEntry *oldest;
    while ((oldest = g_queue_peek_head(&crashers->rest)) != NULL &&
           now_ms - oldest->last_ms > FORGET_MS) {
        S_drop(crashers, oldest);
    }
}

/* Makes room for one entry more. */
static void
S_make_room(BsCrashers *crashers, int64_t now_ms)
{
    S_drop_old(crashers, now_ms);
    if (g_hash_table_size(crashers->entries) < ENTRIES_MAX) {
        return;
    }
    GQueue *queue = crashers->rest.length > 0   ? &crashers->rest
                    : crashers->news.length > 0 ? &crashers->news
                                                : &crashers->stopped;
    S_drop(crashers, g_queue_peek_head(queue));
}

/* Has ENTRY told to the others. */
static void
S_note_change(BsCrashers *crashers, BsCrasherEntry *entry, int64_t now_ms)
{
    entry->changed_ms = now_ms;
    S_move(entry, &crashers->news);
}

static BsCrasherEntry *
S_add(BsCrashers *crashers, uint64_t content, int64_t now_ms)
{
    S_make_room(crashers, now_ms);
    BsCrasherEntry *entry = g_new0(BsCrasherEntry, 1);
    entry->crasher.content = content;
    entry->changed_ms = now_ms;
    entry->last_ms = now_ms;
    entry->link.data = entry;
    entry->queue = &crashers->news;
    g_queue_push_tail_link(entry->queue, &entry->link);
    g_hash_table_insert(crashers->entries, &entry->crasher.content, entry);
    return entry;
}

static bool
S_is_stopped(const BsCrasherEntry *entry, int64_t now_ms)
{
    return entry->crasher.breaks == BS_CRASHER_BREAKS_MAX &&
           now_ms - entry->last_ms <= STOP_MS;
}

static bool
S_is_trial_due(const BsCrasherEntry *entry, int64_t now_ms)
{
    return entry->has_trial && now_ms - entry->last_ms >= TRIAL_MS;
}

/* -------------------------------------------------------------- sets -- */

static bool
S_holds(const BsCrasher *crasher, uint32_t upstream)
{
    for (uint32_t i = 0; i < crasher->breaks; i++) {
        if (crasher->upstreams[i] == upstream) {
            return true;
        }
    }
    return false;
}

/* Adds UPSTREAM to the set; a full set keeps the lowest, so that all instances
   come to the same one. */
static void
S_insert(BsCrasher *crasher, uint32_t upstream)
{
    if (S_holds(crasher, upstream)) {
        return;
    }
    uint32_t at = MIN(crasher->breaks, BS_CRASHER_BREAKS_MAX - 1);
    if (crasher->breaks == BS_CRASHER_BREAKS_MAX &&
        crasher->upstreams[at] < upstream) {
        return;
    }
    for (; at > 0 && crasher->upstreams[at - 1] > upstream; at--) {
        crasher->upstreams[at] = crasher->upstreams[at - 1];
    }
    crasher->upstreams[at] = upstream;
    crasher->breaks = MIN(crasher->breaks + 1, BS_CRASHER_BREAKS_MAX);
}

static bool
S_equals(const BsCrasher *a, const BsCrasher *b)
{
    return a->generation == b->generation && a->breaks == b->breaks &&
           memcmp(a->upstreams, b->upstreams,
                  a->breaks * sizeof(a->upstreams[0])) == 0;
}

/* Returns the set of both; the one of a later generation counts alone. */
static BsCrasher
S_union(const BsCrasher *a, const BsCrasher *b)
{
    BsCrasher both = a->generation >= b->generation ? *a : *b;
    if (a->generation == b->generation) {
        for (uint32_t i = 0; i < b->breaks; i++) {
            S_insert(&both, b->upstreams[i]);
        }
    }
    return both;
}

/* ------------------------------------------------------------- notes -- */

/* Begins a generation that keeps the first BREAKS of the set. */
static void
S_begin_generation(BsCrasherEntry *entry, uint32_t breaks)
{
    entry->crasher.generation++;
    entry->crasher.breaks = breaks;
    entry->has_trial = false;
}

static bool
S_ran_lately(const BsCrashers *crashers, uint64_t content, int64_t now_ms)
{
    const BsCrasherGood *good = &crashers->goods[content % GOODS_MAX];
    return good->ended_ms > 0 && good->content == content &&
           now_ms - good->ended_ms <= GOOD_MS;
}

/* Takes back all breaks under the content of ENTRY, everywhere. */
static void
S_clear(BsCrashers *crashers, BsCrasherEntry *entry, int64_t now_ms)
{
    if (entry->crasher.breaks > 0) {
        S_begin_generation(entry, 0);
        S_note_change(crashers, entry, now_ms);
    }
}

void
BsCrashers_NoteBreak(BsCrashers *crashers, uint64_t content, uint32_t upstream,
                     int64_t sent_ms, int64_t now_ms)
{
    if (S_ran_lately(crashers, content, now_ms)) {
        return;
    }
    BsCrasherEntry *entry = S_find(crashers, content);
    if (entry == NULL) {
        entry = S_add(crashers, content, now_ms);
    }
    BsCrasher *crasher = &entry->crasher;
    bool was_stopped = S_is_stopped(entry, now_ms);
    if (crasher->breaks == BS_CRASHER_BREAKS_MAX && !was_stopped) {
        S_begin_generation(entry, BS_CRASHER_BREAKS_MAX - 1);
    }
    /* It took a request after it had broken off, so it has started again. */
    while (sent_ms > entry->last_ms && S_holds(crasher, upstream)) {
        upstream++;
    }
    S_insert(crasher, upstream);
    entry->last_ms = now_ms;
    S_note_change(crashers, entry, now_ms);
    if (!was_stopped && S_is_stopped(entry, now_ms)) {
        entry->has_trial = true;
        crashers->stops++;
    }
}

void
BsCrashers_NoteSilence(BsCrashers *crashers, uint64_t content,
                       uint32_t upstream, int64_t sent_ms, int64_t now_ms)
{
    BsCrasherSilence *silence = &crashers->silences[crashers->next_silence];
    crashers->next_silence = (crashers->next_silence + 1) % SILENCES_MAX;
    silence->content = content;
    silence->upstream = upstream;
    silence->sent_ms = sent_ms;
    silence->given_up_ms = now_ms;
    silence->pending = true;
}

void
BsCrashers_NoteEnded(BsCrashers *crashers, uint32_t upstream, int64_t now_ms)
{
    for (uint32_t i = 0; i < SILENCES_MAX; i++) {
        BsCrasherSilence *silence = &crashers->silences[i];
        if (!silence->pending || silence->upstream != upstream) {
            continue;
        }
        silence->pending = false;
        if (now_ms - silence->given_up_ms <= SILENCE_MS) {
            BsCrashers_NoteBreak(crashers, silence->content, upstream,
                                 silence->sent_ms, now_ms);
        }
    }
}

void
BsCrashers_NoteSent(BsCrashers *crashers, uint64_t content, int64_t now_ms)
{
    BsCrasherEntry *entry = S_find(crashers, content);
    if (entry != NULL && S_is_trial_due(entry, now_ms)) {
        entry->has_trial = false;
    }
}

void
BsCrashers_NoteGood(BsCrashers *crashers, uint64_t content, int64_t now_ms)
{
    BsCrasherGood *good = &crashers->goods[content % GOODS_MAX];
    BsCrasherEntry *entry = S_find(crashers, content);
    good->content = content;
    good->ended_ms = now_ms;
    if (entry != NULL) {
        S_clear(crashers, entry, now_ms);
    }
}

static void
S_merge(BsCrashers *crashers, const BsCrasher *told, int64_t now_ms)
{
    int64_t told_ms = now_ms - told->age_ms;
    BsCrasherEntry *entry = S_find(crashers, told->content);
    if (entry == NULL && told->breaks == 0) {
        return; /* nothing to take back here */
    }
    if (entry == NULL) {
        entry = S_add(crashers, told->content, now_ms);
        entry->last_ms = told_ms;
    }
    BsCrasher both = S_union(&entry->crasher, told);
    if (!S_equals(&both, &entry->crasher)) {
        entry->has_trial &= both.generation == entry->crasher.generation;
        entry->crasher = both;
        entry->last_ms = MAX(entry->last_ms, told_ms);
        S_note_change(crashers, entry, now_ms);
    }
    else if (!S_equals(&both, told)) {
        S_note_change(crashers, entry, now_ms); /* the other one is behind */
    }
    if (S_ran_lately(crashers, told->content, now_ms)) {
        S_clear(crashers, entry, now_ms);
    }
}

void
BsCrashers_Merge(BsCrashers *crashers, const GArray *told, int64_t now_ms)
{
    for (guint i = 0; i < told->len; i++) {
        S_merge(crashers, &g_array_index(told, BsCrasher, i), now_ms);
    }
}

/* ----------------------------------------------------------- telling -- */

static void
S_append(const BsCrasherEntry *entry, int64_t now_ms, GArray *told)
{
    BsCrasher crasher = entry->crasher;
    crasher.age_ms = (uint32_t)CLAMP(now_ms - entry->last_ms, 0, UINT32_MAX);
    g_array_append_val(told, crasher);
}

/* Returns the queue in which ENTRY belongs now. */
static GQueue *
S_home(BsCrashers *crashers, const BsCrasherEntry *entry, int64_t now_ms)
{
    if (now_ms - entry->changed_ms <= NEWS_MS) {
        return &crashers->news;
    }
    bool is_told = entry->crasher.breaks == BS_CRASHER_BREAKS_MAX &&
                   now_ms - entry->last_ms <= TELL_UNTIL_MS;
    return is_told ? &crashers->stopped : &crashers->rest;
}

/* Appends the next of QUEUE until TOLD has LENGTH_MAX, and moves those that
   belong elsewhere. */
static void
S_append_turn(BsCrashers *crashers, GQueue *queue, guint length_max,
              int64_t now_ms, GArray *told)
{
    for (guint left = queue->length; left > 0 && told->len < length_max;
         left--) {
        BsCrasherEntry *entry = g_queue_peek_head(queue);
        GQueue *home = S_home(crashers, entry, now_ms);
        if (home == queue) {
            S_append(entry, now_ms, told);
        }
        S_move(entry, home);
    }
}

void
BsCrashers_Append(BsCrashers *crashers, int64_t now_ms, GArray *told)
{
    S_append_turn(crashers, &crashers->news, NEWS_TOLD_MAX, now_ms, told);
    S_append_turn(crashers, &crashers->stopped, BS_CRASHERS_TOLD_MAX, now_ms,
                  told);
    S_drop_old(crashers, now_ms);
}

/* ----------------------------------------------------------- answers -- */

uint32_t
BsCrashers_Breaks(const BsCrashers *crashers, uint64_t content)
{
    const BsCrasherEntry *entry = S_find(crashers, content);
    return entry == NULL ? 0 : entry->crasher.breaks;
}

bool
BsCrashers_IsStopped(const BsCrashers *crashers, uint64_t content,
                     int64_t now_ms)
{
    const BsCrasherEntry *entry = S_find(crashers, content);
    return entry != NULL && S_is_stopped(entry, now_ms) &&
           !S_is_trial_due(entry, now_ms);
}

BsCrasherCounts
BsCrashers_Count(const BsCrashers *crashers, int64_t now_ms)
{
    BsCrasherCounts counts = {.stops = crashers->stops};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, crashers->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsCrasherEntry *entry = value;
        counts.contents++;
        counts.breaks += entry->crasher.breaks;
        counts.stopped += S_is_stopped(entry, now_ms);
    }
    return counts;
}
