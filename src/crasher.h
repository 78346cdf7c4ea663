/*
 * crasher.h - requests that crash the upstreams which run them.
 *
 * Such a request is sent again, by us or by its caller to any instance, and
 * crashes the next upstream.  It is known by its content, as each attempt of a
 * caller has an id of its own.  Instances tell each other which starts of
 * upstreams broke off under a content; from three of them on it is not sent
 * any more.
 *
 * An upstream may also end without a word, and only the platform's list tells:
 * what was given up there shortly before counts as broken.
 *
 * Rules: what instances tell is merged as sets, so that order, repeats and
 * detours do not matter.  A content that ran to its end has no part in the
 * breaks before: its set becomes empty, in a new generation that replaces the
 * older ones everywhere.  Breaks in the seconds after it do not count either.
 * So that one which upstreams broke under for another cause is not refused for
 * long, the instance that saw the last break lets one request through after
 * half a minute.  A stop ends after ten minutes; then one break stops the
 * content again.  Memory is bounded; the oldest contents that are not stopped
 * are forgotten first.
 */
#ifndef BS_CRASHER_H
#define BS_CRASHER_H

#include "boragespur.h"

/* Starts of upstreams that broke off at which a content is stopped: fewer may
   be faults of other causes. */
#define BS_CRASHER_BREAKS_MAX 3

/* What is known of a content. */
typedef struct {
    uint64_t content;    /* BsCrashers_Content() */
    uint32_t generation; /* grows when the counting begins anew */
    uint32_t age_ms;     /* since the last break */
    uint32_t breaks;     /* used of UPSTREAMS */
    uint32_t upstreams[BS_CRASHER_BREAKS_MAX]; /* BsCrashers_Upstream(),
                                                  ascending */
} BsCrasher;

/* Most crashers that are told at once. */
#define BS_CRASHERS_TOLD_MAX 8

typedef struct BsCrashers BsCrashers;

/* Creates an empty table; free it with BsCrashers_Destroy(). */
BsCrashers *BsCrashers_Create(void);

/* Frees CRASHERS; NULL is allowed. */
void BsCrashers_Destroy(BsCrashers *crashers);

/* Returns the hash of what a request asks for, the same for all attempts of
   its caller: ACCOUNT, which may be NULL, the path TARGET and the body. */
uint64_t BsCrashers_Content(const char *account, const char *target,
                            const char *body, size_t size_bytes);

/* Returns the hash that names the start of the upstream ID at BORN_MS (Unix
   time; 0 when not told). */
uint32_t BsCrashers_Upstream(const char *id, int64_t born_ms);

/* Notes that UPSTREAM broke off while it ran CONTENT, sent to it at SENT_MS.
   Nothing is counted when the content ran to its end here a short time ago.
   Copies that were sent before the last break count as broken by that one if
   they ran at the same upstream. */
void BsCrashers_NoteBreak(BsCrashers *crashers, uint64_t content,
                          uint32_t upstream, int64_t sent_ms, int64_t now_ms);

/* Notes that UPSTREAM had not ended a request with CONTENT, sent to it at
   SENT_MS, when this instance gave that up.  It counts as a break when
   BsCrashers_NoteEnded() follows soon. */
void BsCrashers_NoteSilence(BsCrashers *crashers, uint64_t content,
                            uint32_t upstream, int64_t sent_ms,
                            int64_t now_ms);

/* Notes that UPSTREAM has ended, unplanned. */
void BsCrashers_NoteEnded(BsCrashers *crashers, uint32_t upstream,
                          int64_t now_ms);

/* Notes that a request with CONTENT is sent to an upstream. */
void BsCrashers_NoteSent(BsCrashers *crashers, uint64_t content,
                         int64_t now_ms);

/* Notes that an upstream ran CONTENT to its end. */
void BsCrashers_NoteGood(BsCrashers *crashers, uint64_t content,
                         int64_t now_ms);

/* Takes in what an instance told; RECEIVED holds BsCrasher. */
void BsCrashers_Merge(BsCrashers *crashers, const GArray *received,
                      int64_t now_ms);

/* Appends what others are to know as BsCrasher, BS_CRASHERS_TOLD_MAX at most:
   what changed lately and, in turns, all that is stopped. */
void BsCrashers_Append(BsCrashers *crashers, int64_t now_ms, GArray *report);

/* Returns how many upstreams broke off under CONTENT, as far as it is known;
   BS_CRASHER_BREAKS_MAX at most. */
uint32_t BsCrashers_Breaks(const BsCrashers *crashers, uint64_t content);

/* Returns whether CONTENT is not to be sent now. */
bool BsCrashers_IsStopped(const BsCrashers *crashers, uint64_t content,
                          int64_t now_ms);

/* How much is known here. */
typedef struct {
    uint32_t contents;
    uint32_t breaks; /* starts of upstreams that broke off under them */
    uint32_t stopped;
    uint64_t stops; /* by breaks seen here, since the start */
} BsCrasherCounts;

/* Returns how much is known; goes through all of it. */
BsCrasherCounts BsCrashers_Count(const BsCrashers *crashers, int64_t now_ms);

#endif /* BS_CRASHER_H */
