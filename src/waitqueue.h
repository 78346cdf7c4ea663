/*
 * waitqueue.h - the queue of requests that wait for a free slot.
 *
 * Rules: requests are served in the order of the rank of their account, then
 * of the rank of their route.  Among requests of equal rank, those whose
 * answer has started go first, then those that can still meet their
 * objective, then those whose callers have waited longest.
 */
#ifndef BS_WAITQUEUE_H
#define BS_WAITQUEUE_H

#include "boragespur.h"

/* What a queued request is ordered by. */
typedef struct {
    uint32_t account_rank; /* 0 is the most urgent */
    uint32_t route_rank;   /* 0 is the most urgent */
    int64_t since_ms;      /* when the caller's wait began */
    int64_t in_time_ms;    /* latest start that meets the objective */
    bool started;          /* first part of the answer was forwarded */
} BsWaitQueueKey;

typedef struct BsWaitQueue BsWaitQueue;
typedef struct BsWaitQueueEntry BsWaitQueueEntry;

/* Creates an empty queue; free it with BsWaitQueue_Destroy(). */
BsWaitQueue *BsWaitQueue_Create(void);

/* Frees QUEUE, which must be empty; NULL is allowed. */
void BsWaitQueue_Destroy(BsWaitQueue *queue);

/* Adds REQUEST, which stays the caller's; the entry is valid until
   BsWaitQueue_Remove(). */
BsWaitQueueEntry *BsWaitQueue_Add(BsWaitQueue *queue,
                                  const BsWaitQueueKey *key, void *request);

/* Removes and frees ENTRY; NULL is allowed. */
void BsWaitQueue_Remove(BsWaitQueue *queue, BsWaitQueueEntry *entry);

/* Returns the number of queued requests. */
unsigned BsWaitQueue_Length(const BsWaitQueue *queue);

/* Returns the queued requests in the order to serve them at NOW_MS; free the
   array with g_ptr_array_free(). */
GPtrArray *BsWaitQueue_Order(const BsWaitQueue *queue, int64_t now_ms);

#endif /* BS_WAITQUEUE_H */
