/* prefix.c - which prompt prefixes an upstream probably has in its cache. */
#include "prefix.h"

/* Prefixes kept for one upstream. */
#define PREFIXES_MAX 512

typedef struct {
    uint64_t hash;
    uint32_t tokens;
    GList link; /* in BsPrefixes.used */
} BsPrefix;

struct BsPrefixes {
    GHashTable *table; /* hash to BsPrefix */
    GQueue used;       /* least recently used first */
};

BsPrefixes *
BsPrefixes_Create(void)
{
    BsPrefixes *prefixes = g_new0(BsPrefixes, 1);
    prefixes->table =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&prefixes->used);
    return prefixes;
}

void
BsPrefixes_Destroy(BsPrefixes *prefixes)
{
    if (prefixes == NULL) {
        return;
    }
    g_hash_table_destroy(prefixes->table);
    g_free(prefixes);
}

static void
S_evict_oldest(BsPrefixes *prefixes)
{
    GList *link = g_queue_pop_head_link(&prefixes->used);
    const BsPrefix *prefix = link->data;
    g_hash_table_remove(prefixes->table, &prefix->hash);
}

void
BsPrefixes_Note(BsPrefixes *prefixes, uint64_t hash, uint32_t tokens)
{
    BsPrefix *prefix = g_hash_table_lookup(prefixes->table, &hash);
    if (hash == 0) {
        return;
    }
    if (prefix == NULL) {
        if (prefixes->used.length >= PREFIXES_MAX) {
            S_evict_oldest(prefixes);
        }
        prefix = g_new0(BsPrefix, 1);
        prefix->hash = hash;
        prefix->link.data = prefix;
        g_hash_table_insert(prefixes->table, &prefix->hash, prefix);
    }
    else {
        g_queue_unlink(&prefixes->used, &prefix->link);
    }
    prefix->tokens = tokens;
    g_queue_push_tail_link(&prefixes->used, &prefix->link);
}

uint32_t
BsPrefixes_Find(const BsPrefixes *prefixes, uint64_t hash)
{
    const BsPrefix *prefix = g_hash_table_lookup(prefixes->table, &hash);
    return prefix == NULL ? 0 : prefix->tokens;
}

void
BsPrefixes_Clear(BsPrefixes *prefixes)
{
    g_queue_init(&prefixes->used);
    g_hash_table_remove_all(prefixes->table);
}
