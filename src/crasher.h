/*
 * crasher.h - requests that break the upstreams which run them.
 *
 * A request that crashes its upstream is sent again, by us or by its caller to
 * any instance, and crashes the next one.  Each instance notes the requests
 * that it gave up after upstreams broke off while they ran them; the counts of
 * all instances together decide that such a request is not sent any more.
 *
 * Rules: a single break may be any fault, so only several stop a request; what
 * was counted is forgotten after a while, longer than callers try again.
 */
#ifndef BS_CRASHER_H
#define BS_CRASHER_H

#include "boragespur.h"

/* How often upstreams broke off while they ran a request. */
typedef struct {
    uint64_t hash; /* BsCrashers_Hash() */
    uint32_t breaks;
} BsCrasher;

/* Most crashers that an instance tells others. */
#define BS_CRASHERS_TOLD_MAX 8

typedef struct BsCrashers BsCrashers;

BsCrashers *BsCrashers_Create(void);

/* Frees CRASHERS; NULL is allowed. */
void BsCrashers_Destroy(BsCrashers *crashers);

/* Returns the hash that names the request ID of ACCOUNT between instances;
   ACCOUNT may be NULL. */
uint64_t BsCrashers_Hash(const char *account, const char *id);

/* Returns the hash of what a request asks for, the same for all attempts of
   its caller: ACCOUNT, which may be NULL, the path TARGET and the body. */
uint64_t BsCrashers_Content(const char *account, const char *target,
                            const char *body, size_t size_bytes);

/* Notes that upstreams broke off BREAKS times while they ran the request HASH,
   which this instance has now given up. */
void BsCrashers_Note(BsCrashers *crashers, uint64_t hash, uint32_t breaks,
                     int64_t now_ms);

/* Takes in what the instance at ADDRESS counted; TOLD holds BsCrasher. */
void BsCrashers_SetPeer(BsCrashers *crashers, uint32_t address,
                        const GArray *told, int64_t now_ms);

/* Appends what this instance counted, as BsCrasher; at most
   BS_CRASHERS_TOLD_MAX, the latest. */
void BsCrashers_Append(const BsCrashers *crashers, int64_t now_ms,
                       GArray *told);

/* Returns how often upstreams broke off while they ran the request HASH, as
   far as it is known. */
uint32_t BsCrashers_Breaks(const BsCrashers *crashers, uint64_t hash,
                           int64_t now_ms);

/* Returns how many requests are noted, here or by peers. */
unsigned BsCrashers_Count(const BsCrashers *crashers);

/* Returns whether a request is not to be sent any more after BREAKS. */
bool BsCrashers_IsStopped(uint32_t breaks);

#endif /* BS_CRASHER_H */
