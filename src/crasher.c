/* crasher.c - requests that break the upstreams which run them. */
#include "crasher.h"

#include <string.h>
#include <xxhash.h>

/* Breaks at which a request is not sent any more: two may be faults of other
   causes that hit it twice. */
#define STOP_BREAKS 3

/* What was counted is forgotten after this time without another break.  The
   longest deadlines of callers are 15 seconds. */
#define FORGET_MS 20000

/* The counter of this instance itself among those of its peers. */
#define OWN 0

typedef struct {
    uint32_t counter; /* address of the instance that counted, or OWN */
    uint32_t breaks;
} BsCrasherCount;

/* A request that was given up after breaks. */
typedef struct {
    uint64_t hash;
    GArray *counts; /* of BsCrasherCount */
    int64_t last_ms;
} BsCrasherEntry;

struct BsCrashers {
    GHashTable *entries; /* hash to BsCrasherEntry */
};

static void
S_destroy_entry(gpointer data)
{
    BsCrasherEntry *entry = data;
    g_array_unref(entry->counts);
    g_free(entry);
}

BsCrashers *
BsCrashers_Create(void)
{
    BsCrashers *crashers = g_new0(BsCrashers, 1);
    crashers->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                              NULL, S_destroy_entry);
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
BsCrashers_Hash(const char *account, const char *id)
{
    XXH64_hash_t seed =
        account == NULL ? 0 : XXH3_64bits(account, strlen(account));
    return XXH3_64bits_withSeed(id, strlen(id), seed);
}

uint64_t
BsCrashers_Content(const char *account, const char *target, const char *body,
                   size_t size_bytes)
{
    return XXH3_64bits_withSeed(body, size_bytes,
                                BsCrashers_Hash(account, target));
}

static bool
S_is_old(const BsCrasherEntry *entry, int64_t now_ms)
{
    return now_ms - entry->last_ms > FORGET_MS;
}

static gboolean
S_is_old_entry(gpointer key, gpointer value, gpointer now_ms)
{
    (void)key;
    return S_is_old(value, *(const int64_t *)now_ms);
}

/* Returns the entry of HASH, a new one when there is none. */
static BsCrasherEntry *
S_entry(BsCrashers *crashers, uint64_t hash, int64_t now_ms)
{
    BsCrasherEntry *entry = g_hash_table_lookup(crashers->entries, &hash);
    if (entry == NULL) {
        g_hash_table_foreach_remove(crashers->entries, S_is_old_entry,
                                    &now_ms);
        entry = g_new0(BsCrasherEntry, 1);
        entry->hash = hash;
        entry->counts = g_array_new(FALSE, FALSE, sizeof(BsCrasherCount));
        entry->last_ms = now_ms;
        g_hash_table_insert(crashers->entries, &entry->hash, entry);
    }
    return entry;
}

/* Returns the count of COUNTER, or NULL. */
static BsCrasherCount *
S_find_count(const BsCrasherEntry *entry, uint32_t counter)
{
    for (guint i = 0; i < entry->counts->len; i++) {
        BsCrasherCount *count =
            &g_array_index(entry->counts, BsCrasherCount, i);
        if (count->counter == counter) {
            return count;
        }
    }
    return NULL;
}

/* Returns the count of COUNTER, a new one of 0 when there is none. */
static BsCrasherCount *
S_count(BsCrasherEntry *entry, uint32_t counter)
{
    BsCrasherCount *count = S_find_count(entry, counter);
    if (count != NULL) {
        return count;
    }
    BsCrasherCount fresh = {counter, 0};
    g_array_append_val(entry->counts, fresh);
    return &g_array_index(entry->counts, BsCrasherCount,
                          entry->counts->len - 1);
}

void
BsCrashers_Note(BsCrashers *crashers, uint64_t hash, uint32_t breaks,
                int64_t now_ms)
{
    BsCrasherEntry *entry = S_entry(crashers, hash, now_ms);
    S_count(entry, OWN)->breaks += breaks;
    entry->last_ms = now_ms;
}

void
BsCrashers_SetPeer(BsCrashers *crashers, uint32_t address, const GArray *told,
                   int64_t now_ms)
{
    guint length = MIN(told->len, BS_CRASHERS_TOLD_MAX);
    for (guint i = 0; i < length; i++) {
        const BsCrasher *crasher = &g_array_index(told, BsCrasher, i);
        BsCrasherEntry *entry = S_entry(crashers, crasher->hash, now_ms);
        BsCrasherCount *count = S_count(entry, address);
        if (crasher->breaks > count->breaks) {
            count->breaks = crasher->breaks;
            entry->last_ms = now_ms;
        }
    }
}

static gint
S_compare_last(gconstpointer a, gconstpointer b)
{
    const BsCrasherEntry *first = *(const BsCrasherEntry *const *)a;
    const BsCrasherEntry *second = *(const BsCrasherEntry *const *)b;
    return (first->last_ms < second->last_ms) -
           (first->last_ms > second->last_ms);
}

/* Returns the entries with a count of ours, the latest first. */
static GPtrArray *
S_own_entries(const BsCrashers *crashers, int64_t now_ms)
{
    GPtrArray *own = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, crashers->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!S_is_old(value, now_ms) && S_find_count(value, OWN) != NULL) {
            g_ptr_array_add(own, value);
        }
    }
    g_ptr_array_sort(own, S_compare_last);
    return own;
}

void
BsCrashers_Append(const BsCrashers *crashers, int64_t now_ms, GArray *told)
{
    if (g_hash_table_size(crashers->entries) == 0) {
        return;
    }
    GPtrArray *own = S_own_entries(crashers, now_ms);
    guint length = MIN(own->len, BS_CRASHERS_TOLD_MAX);
    for (guint i = 0; i < length; i++) {
        const BsCrasherEntry *entry = own->pdata[i];
        BsCrasher crasher = {entry->hash, S_find_count(entry, OWN)->breaks};
        g_array_append_val(told, crasher);
    }
    g_ptr_array_free(own, TRUE);
}

uint32_t
BsCrashers_Breaks(const BsCrashers *crashers, uint64_t hash, int64_t now_ms)
{
    const BsCrasherEntry *entry =
        g_hash_table_lookup(crashers->entries, &hash);
    uint32_t breaks = 0;
    if (entry == NULL || S_is_old(entry, now_ms)) {
        return 0;
    }
    for (guint i = 0; i < entry->counts->len; i++) {
        breaks += g_array_index(entry->counts, BsCrasherCount, i).breaks;
    }
    return breaks;
}

unsigned
BsCrashers_Count(const BsCrashers *crashers)
{
    return g_hash_table_size(crashers->entries);
}

bool
BsCrashers_IsStopped(uint32_t breaks)
{
    return breaks >= STOP_BREAKS;
}
