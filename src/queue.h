/*
 * queue.h - work that waits for one model or service.
 *
 * Rules: tiers are kept apart by rank; inside a tier accounts share by
 * deficit round robin on tokens, in proportion to their weights; inside an
 * account the earliest deadline goes first.  The queue does not own the work.
 */
#ifndef BS_QUEUE_H
#define BS_QUEUE_H

#include "work.h"

/* Ranks run from 1 to this. */
#define BS_RANK_MAX 16

typedef struct BsQueue BsQueue;

/* Creates an empty queue. */
BsQueue *BsQueue_Create(void);

/* Frees QUEUE; work in it must have been removed. */
void BsQueue_Destroy(BsQueue *queue);

/* Adds WORK; WEIGHT is the share of its account, at least 1. */
void BsQueue_Push(BsQueue *queue, BsWork *work, uint32_t weight);

/* Returns the next work of RANK and leaves it queued; NULL when none. */
BsWork *BsQueue_Peek(BsQueue *queue, uint32_t rank);

/* Returns the first of the few works next in turn at RANK that MATCH
   accepts, or NULL; an account that goes early pays with its next turns. */
BsWork *BsQueue_PeekAhead(const BsQueue *queue, uint32_t rank,
                          bool (*match)(const BsWork *, const void *),
                          const void *context);

/* Takes WORK out; DISPATCHED charges its tokens to its account. */
void BsQueue_Remove(BsQueue *queue, BsWork *work, bool dispatched);

/* Returns the least urgent work, the latest deadline of one account. */
BsWork *BsQueue_Last(const BsQueue *queue);

/* Returns the requests waiting at RANK. */
uint32_t BsQueue_Count(const BsQueue *queue, uint32_t rank);

/* Returns the tokens waiting at RANK or a more urgent one. */
uint64_t BsQueue_TokensUpTo(const BsQueue *queue, uint32_t rank);

/* Calls VISIT for each work; VISIT must not change the queue. */
void BsQueue_ForEach(const BsQueue *queue, void (*visit)(BsWork *, void *),
                     void *context);

#endif /* BS_QUEUE_H */
