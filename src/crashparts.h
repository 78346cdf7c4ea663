/*
 * crashparts.h - parts of prompts that crash the upstreams which begin to
 * write an answer on them.
 *
 * The requests that carry such a part have nothing else in common, and share
 * all other parts with sound ones.  When an upstream crashes, the parts of the
 * request that had begun its answer without an event are under suspicion.  A
 * part that makes progress later, in a first event or a complete answer, did
 * not cause the crashes before.  A request is blocked when the crashes of one
 * of its parts fall into enough periods and it carries all parts that these
 * crashes have in common: one that carries only some of them is sound, or
 * shows which part is not.
 *
 * Rules: crashes and progress are reported to all instances; crashes are
 * merged as a set, of progress the latest counts, so that order, duplicates
 * and routes do not matter.  Crashes of several upstreams at one moment, as
 * when a rack fails, count as one.  So that a part is not blocked for long by
 * crashes that it did not cause, the instance that saw the last one lets one
 * trial request pass after a while; the more crashes, the later.  Memory is
 * bounded; the oldest crashes are dropped first.
 */
#ifndef BS_CRASHPARTS_H
#define BS_CRASHPARTS_H

#include "boragespur.h"

/* Parts of one request that are looked at, the first ones. */
#define BS_CRASH_PARTS_MAX 16

/* What instances report to each other: a crash, or the progress of a part. */
typedef struct {
    uint64_t id;     /* of the crash; 0: PARTS made progress */
    uint32_t age_ms; /* since the crash or the progress */
    uint32_t count;  /* elements used in PARTS */
    uint64_t parts[BS_CRASH_PARTS_MAX];
} BsPartRecord;

/* Most records in one report. */
#define BS_PART_RECORDS_REPORTED_MAX 6

/* The parts of a request that others may share; hashes. */
typedef struct {
    const uint64_t *parts;
    uint32_t count; /* BS_CRASH_PARTS_MAX at most */
} BsSharedParts;

typedef struct BsCrashParts BsCrashParts;

/* Creates an empty table; free it with BsCrashParts_Destroy(). */
BsCrashParts *BsCrashParts_Create(void);

/* Frees TABLE; NULL is allowed. */
void BsCrashParts_Destroy(BsCrashParts *table);

/* Records that an upstream crashed when it had begun an answer on SHARED.  ID
   identifies the crash and the request in the fleet; it is not 0. */
void BsCrashParts_NoteCrash(BsCrashParts *table, uint64_t id,
                            const BsSharedParts *shared, int64_t now_ms);

/* Records that this instance gave up a request for which UPSTREAM
   (BsCrashList_HashUpstream()) had begun an answer on SHARED.  It counts as a
   crash with ID when BsCrashParts_NoteUpstreamEnded() follows soon. */
void BsCrashParts_NoteGivenUp(BsCrashParts *table, uint64_t id,
                              uint32_t upstream, const BsSharedParts *shared,
                              int64_t now_ms);

/* Records that UPSTREAM has ended without a planned stop. */
void BsCrashParts_NoteUpstreamEnded(BsCrashParts *table, uint32_t upstream,
                                    int64_t now_ms);

/* Records that an upstream has sent the first event of an answer on SHARED, or
   a complete one. */
void BsCrashParts_NoteProgress(BsCrashParts *table,
                               const BsSharedParts *shared, int64_t now_ms);

/* Returns whether a request with SHARED is blocked; false when a trial of it
   is due at this instance. */
bool BsCrashParts_IsBlocked(const BsCrashParts *table,
                            const BsSharedParts *shared, int64_t now_ms);

/* Returns whether one of SHARED is under suspicion: an upstream has crashed on
   it, and it has made no progress since. */
bool BsCrashParts_IsSuspect(const BsCrashParts *table,
                            const BsSharedParts *shared, int64_t now_ms);

/* Records that a request with SHARED is sent to an upstream, which uses up the
   trial. */
void BsCrashParts_NoteSent(BsCrashParts *table, const BsSharedParts *shared,
                           int64_t now_ms);

/* Merges the records that an instance reported; RECEIVED holds
   BsPartRecord. */
void BsCrashParts_Merge(BsCrashParts *table, const GArray *received,
                        int64_t now_ms);

/* Appends BS_PART_RECORDS_REPORTED_MAX records at most to a report to other
   instances: recent ones and, at most one in each report, all crashes under
   parts that may block requests.  REPORT holds BsPartRecord. */
void BsCrashParts_Append(BsCrashParts *table, int64_t now_ms, GArray *report);

/* Returns how many crashes are known. */
uint32_t BsCrashParts_CountCrashes(const BsCrashParts *table);

/* Returns how many parts have enough crashes to block requests. */
uint32_t BsCrashParts_CountSuspects(const BsCrashParts *table, int64_t now_ms);

#endif /* BS_CRASHPARTS_H */
