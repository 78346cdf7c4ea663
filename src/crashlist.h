/*
 * crashlist.h - requests that crash the upstreams which run them.
 *
 * When such a request is retried, by an instance or by its caller, it crashes
 * the next upstream.  Requests are identified by a hash of their content, as
 * each attempt of a caller has its own id.  An upstream is taken to have
 * crashed when its connection closes before the answer is complete.  Instances
 * report to each other which upstreams crashed while they ran a content; after
 * crashes of three upstreams the content is blocked: no instance sends it.
 * An upstream that has restarted counts as another one.
 *
 * An upstream may also fail without closing its connections; only its removal
 * from the platform's list shows that.  Requests to it that were given up
 * shortly before then count as crashes.
 *
 * Rules: reports are merged as sets, so that their order, duplicates and
 * routes do not matter.  A content that completes did not cause the crashes
 * before: its set is emptied in a new generation, which replaces older ones at
 * all instances.  Crashes in the seconds after that do not count either.  So
 * that a content is not blocked for long by crashes that it did not cause, the
 * instance that saw the last crash sends one trial request after half a
 * minute.  A block ends after ten minutes; after that a single crash blocks
 * the content again.  Memory is bounded; the oldest contents that are not
 * blocked are evicted first.
 */
#ifndef BS_CRASHLIST_H
#define BS_CRASHLIST_H

#include "boragespur.h"

/* Crashed upstreams at which a content is blocked; fewer may have crashed for
   other causes. */
#define BS_CRASHES_TO_BLOCK 3

/* The crashes known for one content. */
typedef struct {
    uint64_t content;    /* BsCrashList_HashContent() */
    uint32_t generation; /* incremented when the set is emptied or shortened */
    uint32_t age_ms;     /* since the last crash */
    uint32_t crashes;    /* crashes; elements used in UPSTREAMS */
    uint32_t upstreams[BS_CRASHES_TO_BLOCK]; /* BsCrashList_HashUpstream(),
                                                  ascending */
} BsCrashRecord;

/* Most records in one report. */
#define BS_CRASH_RECORDS_REPORTED_MAX 8

typedef struct BsCrashList BsCrashList;

/* Creates an empty table; free it with BsCrashList_Destroy(). */
BsCrashList *BsCrashList_Create(void);

/* Frees LIST; NULL is allowed. */
void BsCrashList_Destroy(BsCrashList *list);

/* Returns the hash of a request's ACCOUNT (may be NULL), path TARGET and BODY,
   which is the same for all attempts of its caller. */
uint64_t BsCrashList_HashContent(const char *account, const char *target,
                                 const char *body, size_t size_bytes);

/* Returns the hash that identifies the upstream ID as started at BORN_MS (Unix
   time; 0 when unknown). */
uint32_t BsCrashList_HashUpstream(const char *id, int64_t born_ms);

/* Records that UPSTREAM crashed while it ran CONTENT, sent to it at SENT_MS.
   Nothing is counted when CONTENT completed at this instance shortly before.
   Copies of a content that ran at the same upstream and were sent before its
   last crash count as one crash. */
void BsCrashList_NoteCrash(BsCrashList *list, uint64_t content,
                           uint32_t upstream, int64_t sent_ms, int64_t now_ms);

/* Records that this instance gave up a request with CONTENT, sent at SENT_MS,
   before UPSTREAM had answered it.  It counts as a crash when
   BsCrashList_NoteUpstreamEnded() follows soon. */
void BsCrashList_NoteGivenUp(BsCrashList *list, uint64_t content,
                             uint32_t upstream, int64_t sent_ms,
                             int64_t now_ms);

/* Records that UPSTREAM has ended without a planned stop. */
void BsCrashList_NoteUpstreamEnded(BsCrashList *list, uint32_t upstream,
                                   int64_t now_ms);

/* Records that a request with CONTENT is sent to an upstream. */
void BsCrashList_NoteSent(BsCrashList *list, uint64_t content, int64_t now_ms);

/* Records that an upstream completed a request with CONTENT. */
void BsCrashList_NoteCompleted(BsCrashList *list, uint64_t content,
                               int64_t now_ms);

/* Merges the records that an instance reported; RECEIVED holds
   BsCrashRecord. */
void BsCrashList_Merge(BsCrashList *list, const GArray *received,
                       int64_t now_ms);

/* Appends BS_CRASH_RECORDS_REPORTED_MAX records at most to a report to other
   instances: recent changes and, a few in each report, all blocked contents.
   REPORT holds BsCrashRecord. */
void BsCrashList_Append(BsCrashList *list, int64_t now_ms, GArray *report);

/* Returns how many upstreams are known to have crashed while they ran CONTENT,
   BS_CRASHES_TO_BLOCK at most. */
uint32_t BsCrashList_CountCrashes(const BsCrashList *list, uint64_t content);

/* Returns whether CONTENT is blocked; false when its trial request is due. */
bool BsCrashList_IsBlocked(const BsCrashList *list, uint64_t content,
                           int64_t now_ms);

/* Totals over all contents. */
typedef struct {
    uint32_t contents;
    uint32_t crashes; /* of all contents */
    uint32_t blocked; /* contents that are blocked */
    uint64_t blocks;  /* blocks after crashes seen by this instance, since its
                        start */
} BsCrashListCounts;

/* Returns the totals; takes time in proportion to the number of contents. */
BsCrashListCounts BsCrashList_Count(const BsCrashList *list, int64_t now_ms);

#endif /* BS_CRASHLIST_H */
