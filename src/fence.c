/* fence.c - the ids of attempts that must not start, or start again, here. */
#include "fence.h"

typedef struct {
    char *id;
    int64_t end_ms;
} BsFence;

struct BsFences {
    GHashTable *ids; /* id to BsFence */
    GQueue order;    /* BsFence, oldest first */
};

static void
S_destroy_fence(void *data)
{
    BsFence *fence = data;
    g_free(fence->id);
    g_free(fence);
}

BsFences *
BsFences_Create(void)
{
    BsFences *fences = g_new0(BsFences, 1);
    fences->ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_fence);
    g_queue_init(&fences->order);
    return fences;
}

void
BsFences_Destroy(BsFences *fences)
{
    if (fences == NULL) {
        return;
    }
    g_queue_clear(&fences->order);
    g_hash_table_destroy(fences->ids);
    g_free(fences);
}

static void
S_drop_old(BsFences *fences, int64_t now_ms)
{
    const BsFence *oldest;
    while ((oldest = g_queue_peek_head(&fences->order)) != NULL &&
           oldest->end_ms <= now_ms) {
        g_queue_pop_head(&fences->order);
        g_hash_table_remove(fences->ids, oldest->id);
    }
}

void
BsFences_Add(BsFences *fences, const char *id, int64_t now_ms,
             int64_t duration_ms)
{
    S_drop_old(fences, now_ms);
    if (BsFences_Has(fences, id)) {
        return;
    }
    BsFence *fence = g_new0(BsFence, 1);
    fence->id = g_strdup(id);
    fence->end_ms = now_ms + duration_ms;
    g_hash_table_insert(fences->ids, fence->id, fence);
    g_queue_push_tail(&fences->order, fence);
}

bool
BsFences_Has(const BsFences *fences, const char *id)
{
    return g_hash_table_contains(fences->ids, id);
}
