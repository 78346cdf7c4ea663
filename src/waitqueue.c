/* waitqueue.c - the queue of requests that wait for a free slot. */
#include "waitqueue.h"

struct BsWaitQueueEntry {
    BsWaitQueueKey key;
    void *request;
    guint index; /* in ENTRIES of the queue */
};

struct BsWaitQueue {
    GPtrArray *entries; /* BsWaitQueueEntry, unordered */
};

BsWaitQueue *
BsWaitQueue_Create(void)
{
    BsWaitQueue *queue = g_new0(BsWaitQueue, 1);
    queue->entries = g_ptr_array_new();
    return queue;
}

void
BsWaitQueue_Destroy(BsWaitQueue *queue)
{
    if (queue == NULL) {
        return;
    }
    g_ptr_array_free(queue->entries, TRUE);
    g_free(queue);
}

BsWaitQueueEntry *
BsWaitQueue_Add(BsWaitQueue *queue, const BsWaitQueueKey *key, void *request)
{
    BsWaitQueueEntry *entry = g_new0(BsWaitQueueEntry, 1);
    entry->key = *key;
    entry->request = request;
    entry->index = queue->entries->len;
    g_ptr_array_add(queue->entries, entry);
    return entry;
}

void
BsWaitQueue_Remove(BsWaitQueue *queue, BsWaitQueueEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    g_ptr_array_remove_index_fast(queue->entries, entry->index);
    if (entry->index < queue->entries->len) {
        ((BsWaitQueueEntry *)queue->entries->pdata[entry->index])->index =
            entry->index;
    }
    g_free(entry);
}

unsigned
BsWaitQueue_Length(const BsWaitQueue *queue)
{
    return queue->entries->len;
}

static int
S_compare(int64_t a, int64_t b)
{
    return (a > b) - (a < b);
}

static gint
S_compare_entries(gconstpointer a, gconstpointer b, gpointer data)
{
    const BsWaitQueueKey *left = &(*(BsWaitQueueEntry *const *)a)->key;
    const BsWaitQueueKey *right = &(*(BsWaitQueueEntry *const *)b)->key;
    int64_t now_ms = *(const int64_t *)data;
    int order = S_compare(left->account_rank, right->account_rank);
    if (order == 0) {
        order = S_compare(left->route_rank, right->route_rank);
    }
    if (order == 0) {
        order = right->started - left->started;
    }
    if (order == 0) {
        order = (left->in_time_ms < now_ms) - (right->in_time_ms < now_ms);
    }
    if (order == 0) {
        order = S_compare(left->since_ms, right->since_ms);
    }
    return order;
}

GPtrArray *
BsWaitQueue_Order(const BsWaitQueue *queue, int64_t now_ms)
{
    GPtrArray *order = g_ptr_array_sized_new(queue->entries->len);
    for (guint i = 0; i < queue->entries->len; i++) {
        g_ptr_array_add(order, queue->entries->pdata[i]);
    }
    g_ptr_array_sort_with_data(order, S_compare_entries, &now_ms);
    for (guint i = 0; i < order->len; i++) {
        order->pdata[i] = ((BsWaitQueueEntry *)order->pdata[i])->request;
    }
    return order;
}
