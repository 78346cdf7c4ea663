/*
 * queue.h - the queue of work for one model or service.
 *
 * Rules: tiers are kept apart by rank; inside a tier accounts share by
 * deficit round robin on tokens, in proportion to their weights; inside an
 * account the earliest deadline goes first.  The queue does not own the work.
 */
#ifndef BS_QUEUE_H
#define BS_QUEUE_H

#include "work.h"

/* Ranks are 1, the most urgent, to this. */
#define BS_RANK_MAX 16

typedef struct BsQueue BsQueue;

/* Creates an empty queue. */
BsQueue *BsQueue_Create(void);

/* Frees QUEUE, which must be empty; NULL is allowed. */
void BsQueue_Destroy(BsQueue *queue);

/* Adds WORK; WEIGHT is the weight of its account, 0 counts as 1. */
void BsQueue_Push(BsQueue *queue, BsWork *work, uint32_t weight);

/* Returns the next work of RANK, which stays queued; NULL when there is
   none. */
BsWork *BsQueue_Peek(BsQueue *queue, uint32_t rank);

/* Returns the first work that MATCH accepts among the few next in turn at
   RANK, or NULL.  Dispatching it out of turn is charged to its account, which
   waits longer for its next turn. */
BsWork *BsQueue_PeekAhead(const BsQueue *queue, uint32_t rank,
                          bool (*match)(const BsWork *, const void *),
                          const void *context);

/* Removes WORK; if DISPATCHED, its tokens are charged to its account. */
void BsQueue_Remove(BsQueue *queue, BsWork *work, bool dispatched);

/* Returns the work that is last in turn: at the least urgent rank, of the last
   account, with the latest deadline; NULL when the queue is empty. */
BsWork *BsQueue_Last(const BsQueue *queue);

/* Returns the number of requests queued at RANK. */
uint32_t BsQueue_Count(const BsQueue *queue, uint32_t rank);

/* Returns the tokens queued at RANK and all more urgent ranks. */
uint64_t BsQueue_TokensUpTo(const BsQueue *queue, uint32_t rank);

/* Calls VISIT for each work; VISIT must not change the queue. */
void BsQueue_ForEach(const BsQueue *queue, void (*visit)(BsWork *, void *),
                     void *context);

#endif /* BS_QUEUE_H */
