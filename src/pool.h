/*
 * pool.h - the waiting work and the upstreams of one model or service.
 *
 * Rules: upstreams belong to the owner and can be in several pools.  Work set
 * aside exceeds the present limits of every upstream; it is checked again on
 * each tick.
 */
#ifndef BS_POOL_H
#define BS_POOL_H

#include "queue.h"
#include "upstream.h"

typedef struct {
    char *serves;
    char *version; /* model@version the sheet asks for, or NULL */
    char *largest; /* the listed upstream with the most tokens, of any owner
                      and state; NULL when none is listed */
    BsQueue *queue;
    GPtrArray *upstreams;              /* of BsUpstream, owned and open */
    GPtrArray *aside;                  /* of BsWork, too large at present */
    uint32_t running[BS_RANK_MAX + 1]; /* dispatched requests by rank */
    uint32_t largest_tokens;           /* of LARGEST */
    uint64_t ended_tokens;             /* of work ended since measured_ms */
    double tokens_per_s;               /* recent rate; 0: unknown */
    int64_t measured_ms;               /* last measurement of the rate */
    bool was_empty; /* the queue was empty at a tick since measured_ms */
} BsPool;

/* Creates an empty pool for the model or service SERVES. */
BsPool *BsPool_Create(const char *serves);

/* Frees POOL; its queue must be empty. */
void BsPool_Destroy(BsPool *pool);

/* Returns the upstream for WORK: the one preferred for its prefix unless that
   one is full or much more loaded than the least loaded one, else the least
   loaded one; NULL when none has room. */
BsUpstream *BsPool_Pick(const BsPool *pool, const BsWork *work,
                        const BsColdStart *cold, int64_t now_ms);

/* Returns whether the models that UPSTREAM has loaded allow WORK: the sheet's
   version, or for a stream that has begun the version which began it. */
bool BsPool_Serves(const BsPool *pool, const BsUpstream *upstream,
                   const BsWork *work);

/* Returns whether WORK is a stream that has begun, and no upstream has or may
   soon report the version which began it. */
bool BsPool_IsVersionGone(const BsPool *pool, const BsWork *work);

/* Returns whether an upstream with room for WORK has its prefix cached. */
bool BsPool_HasCached(const BsPool *pool, const BsWork *work,
                      const BsColdStart *cold, int64_t now_ms);

/* Returns whether an upstream has room for WORK while it runs nothing else. */
bool BsPool_FitsEmpty(const BsPool *pool, const BsWork *work,
                      const BsColdStart *cold, int64_t now_ms);

/* Returns whether WORK is larger than every listed upstream, also when its
   prefix is cached at one of POOL; false when no upstream is listed. */
bool BsPool_IsTooLarge(const BsPool *pool, const BsWork *work);

/* Returns the shortest time in milliseconds that WORK would take if started
   now; 0 when unknown, or when no upstream runs work that can show its
   speed. */
int64_t BsPool_ExpectMs(const BsPool *pool, const BsWork *work,
                        int64_t now_ms);

/* Returns how many milliseconds work of RANK would wait now; 0 when unknown.
 */
int64_t BsPool_WaitMs(const BsPool *pool, uint32_t rank);

/* Returns the requests that may be in flight at all upstreams together. */
uint32_t BsPool_Limit(const BsPool *pool, const BsColdStart *cold,
                      int64_t now_ms);

/* Measures the rate of ended work.  If the queue was empty meanwhile the
   upstreams may have been idle, so only a higher rate is taken over. */
void BsPool_OnTick(BsPool *pool, int64_t now_ms);

#endif /* BS_POOL_H */
