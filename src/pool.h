/*
 * pool.h - the waiting work and the owned upstreams of one model or service.
 *
 * Rules: upstreams are shared between pools and belong to the owner; work set
 * aside is too large for every upstream as it is now, and is looked at again
 * on each tick.
 */
#ifndef BS_POOL_H
#define BS_POOL_H

#include "queue.h"
#include "upstream.h"

typedef struct {
    char *serves;
    char *version; /* model@version the sheet asks for, or NULL */
    BsQueue *queue;
    GPtrArray *upstreams;              /* of BsUpstream, owned and open */
    GPtrArray *aside;                  /* of BsWork */
    uint32_t running[BS_RANK_MAX + 1]; /* dispatched requests by rank */
    uint64_t ended_tokens;             /* since measured_ms */
    double tokens_per_s;               /* recent rate of ended work */
    int64_t measured_ms;
    bool was_empty; /* nothing waited at some tick since then */
} BsPool;

/* Creates an empty pool. */
BsPool *BsPool_Create(const char *serves);

/* Frees POOL; its queue must be empty. */
void BsPool_Destroy(BsPool *pool);

/* Returns the upstream for WORK, one that has room and best its prefix;
   NULL when none has room. */
BsUpstream *BsPool_Pick(const BsPool *pool, const BsWork *work,
                        const BsColdStart *cold, int64_t now_ms);

/* Returns whether some upstream could take WORK once nothing else runs. */
bool BsPool_FitsEmpty(const BsPool *pool, const BsWork *work,
                      const BsColdStart *cold, int64_t now_ms);

/* Returns the shortest time WORK would take if started now, 0 when unknown
   or when nothing runs that could tell. */
int64_t BsPool_ExpectMs(const BsPool *pool, const BsWork *work,
                        int64_t now_ms);

/* Returns how long work of RANK would wait now, 0 when unknown. */
int64_t BsPool_WaitMs(const BsPool *pool, uint32_t rank);

/* Returns the requests that may be in flight at all upstreams together. */
uint32_t BsPool_Limit(const BsPool *pool, const BsColdStart *cold,
                      int64_t now_ms);

/* Measures the rate of ended work; a pool that ran out of waiting work can
   only show a higher one. */
void BsPool_OnTick(BsPool *pool, int64_t now_ms);

#endif /* BS_POOL_H */
