/* replica.c - an instance's copy of the items that the platform publishes. */
#include "replica.h"

#include <string.h>

/* Limit of the removed items kept, so that a delayed change cannot restore
   one. Far more than are removed during the lifetime of any message. */
#define REMOVED_MAX 4096

struct BsReplica {
    GHashTable *items;    /* key to BsItem */
    GHashTable *complete; /* prefix to uint64_t */
    BsReplicaFunc on_change;
    void *context;
    uint64_t newest;
    uint64_t removals_since; /* all removals after this revision are known */
    uint64_t outdated;       /* see BsReplica_Outdated() */
    unsigned removed;
};

static void
S_destroy_item(gpointer data)
{
    BsItem *item = data;
    g_free(item->key);
    if (item->value != NULL) {
        g_bytes_unref(item->value);
    }
    if (item->packed != NULL) {
        g_bytes_unref(item->packed);
    }
    g_free(item);
}

BsReplica *
BsReplica_Create(BsReplicaFunc on_change, void *context)
{
    BsReplica *replica = g_new0(BsReplica, 1);
    replica->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_item);
    replica->complete =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    replica->on_change = on_change;
    replica->context = context;
    return replica;
}

void
BsReplica_Destroy(BsReplica *replica)
{
    if (replica == NULL) {
        return;
    }
    g_hash_table_destroy(replica->items);
    g_hash_table_destroy(replica->complete);
    g_free(replica);
}

/* Forgets removals more than REMOVED_MAX / 2 revisions old. */
static void
S_prune(BsReplica *replica)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t below = replica->newest > REMOVED_MAX / 2
                         ? replica->newest - REMOVED_MAX / 2
                         : 0;
    replica->removals_since = MAX(replica->removals_since, below);
    g_hash_table_iter_init(&iter, replica->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsItem *item = value;
        if (item->value == NULL && item->revision < below) {
            g_hash_table_iter_remove(&iter);
            replica->removed--;
        }
    }
}

/* Returns whether an unknown item of REVISION has been removed since then:
   the replica is complete up to a later revision than the source's AS_OF and
   does not have it. */
static bool
S_is_removed(const BsReplica *replica, uint64_t revision, uint64_t as_of)
{
    uint64_t complete = BsReplica_CompleteRevision(replica);
    return revision <= complete && as_of < complete;
}

/* Returns whether two values are equal; NULL is that of a removed item. */
static bool
S_is_same(GBytes *first, GBytes *second)
{
    if (first == NULL || second == NULL) {
        return first == second;
    }
    return g_bytes_equal(first, second);
}

bool
BsReplica_Apply(BsReplica *replica, const char *key, GBytes *value,
                uint64_t revision, uint64_t as_of)
{
    BsItem *held = g_hash_table_lookup(replica->items, key);
    if (held == NULL ? S_is_removed(replica, revision, as_of)
                     : held->revision >= revision) {
        replica->outdated += held != NULL && held->revision > revision;
        return false;
    }
    bool was_removed = held != NULL && held->value == NULL;
    bool is_same = held != NULL && S_is_same(held->value, value);
    BsItem *item = g_new0(BsItem, 1);
    item->key = g_strdup(key);
    item->value = value == NULL ? NULL : g_bytes_ref(value);
    item->revision = revision;
    g_hash_table_replace(replica->items, item->key, item);
    replica->newest = MAX(replica->newest, revision);
    replica->removed += value == NULL;
    replica->removed -= was_removed;
    if (!is_same) {
        replica->on_change(item, replica->context);
    }
    if (replica->removed > REMOVED_MAX) {
        S_prune(replica);
    }
    return true;
}

void
BsReplica_Retain(BsReplica *replica, const char *prefix, GHashTable *keys,
                 uint64_t revision)
{
    GPtrArray *removed_keys = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, replica->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsItem *item = value;
        if (item->value != NULL && item->revision < revision &&
            g_str_has_prefix(item->key, prefix) &&
            !g_hash_table_contains(keys, item->key)) {
            g_ptr_array_add(removed_keys, g_strdup(item->key));
        }
    }
    for (guint i = 0; i < removed_keys->len; i++) {
        BsReplica_Apply(replica, removed_keys->pdata[i], NULL, revision,
                        revision);
    }
    g_ptr_array_free(removed_keys, TRUE);
    replica->removals_since = MAX(replica->removals_since, revision);
}

void
BsReplica_AddPrefix(BsReplica *replica, const char *prefix)
{
    if (!g_hash_table_contains(replica->complete, prefix)) {
        g_hash_table_insert(replica->complete, g_strdup(prefix),
                            g_new0(uint64_t, 1));
    }
}

void
BsReplica_SetComplete(BsReplica *replica, const char *prefix,
                      uint64_t revision)
{
    BsReplica_AddPrefix(replica, prefix);
    uint64_t *held = g_hash_table_lookup(replica->complete, prefix);
    *held = MAX(*held, revision);
}

void
BsReplica_SetAllComplete(BsReplica *replica, uint64_t revision)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, replica->complete);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        uint64_t *held = value;
        *held = MAX(*held, revision);
    }
}

uint64_t
BsReplica_CompleteRevision(const BsReplica *replica)
{
    uint64_t least = UINT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, replica->complete);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        least = MIN(least, *(uint64_t *)value);
    }
    return least == UINT64_MAX ? 0 : least;
}

uint64_t
BsReplica_RemovalsSince(const BsReplica *replica)
{
    return replica->removals_since;
}

uint64_t
BsReplica_Outdated(const BsReplica *replica)
{
    return replica->outdated;
}

uint64_t
BsReplica_Newest(const BsReplica *replica)
{
    return replica->newest;
}

static gint
S_compare_revisions(gconstpointer a, gconstpointer b)
{
    const BsItem *left = *(BsItem *const *)a;
    const BsItem *right = *(BsItem *const *)b;
    return (left->revision > right->revision) -
           (left->revision < right->revision);
}

void
BsReplica_EachSince(const BsReplica *replica, uint64_t revision,
                    BsReplicaFunc func, void *context)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, replica->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((BsItem *)value)->revision > revision) {
            g_ptr_array_add(found, value);
        }
    }
    g_ptr_array_sort(found, S_compare_revisions);
    for (guint i = 0; i < found->len; i++) {
        func(found->pdata[i], context);
    }
    g_ptr_array_free(found, TRUE);
}

const BsItem *
BsReplica_Find(const BsReplica *replica, const char *key)
{
    return g_hash_table_lookup(replica->items, key);
}
