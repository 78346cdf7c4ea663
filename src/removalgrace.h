/*
 * removalgrace.h - how long an upstream is used after its store entry was
 * removed.
 *
 * An entry that expired while the platform's store was unavailable is written
 * again soon after the store is back, if its upstream still runs.  Dropping
 * the upstream at once would lose a healthy one.  The removal by a planned
 * stop looks the same, and such an upstream must not get requests for long.
 *
 * Rules: the upstream is kept only around outages of the store: calls failed,
 * and meanwhile no instance got an answer for a while.  A store that turns
 * away some instances and answers others is available, also to upstreams.  The
 * time counts from when this instance first learned that the store's revision
 * had reached that of the removal, not from when it read the removal, which
 * may be later.
 */
#ifndef BS_REMOVALGRACE_H
#define BS_REMOVALGRACE_H

#include "boragespur.h"

typedef struct BsRemovalGrace BsRemovalGrace;

/* Creates an empty record of revisions; free it with BsRemovalGrace_Destroy().
 */
BsRemovalGrace *BsRemovalGrace_Create(void);

/* Frees GRACE; NULL is allowed. */
void BsRemovalGrace_Destroy(BsRemovalGrace *grace);

/* Records that the store is known to have reached REVISION. */
void BsRemovalGrace_NoteRevision(BsRemovalGrace *grace, uint64_t revision,
                                 int64_t now_ms);

/* Records that the store answered an instance of the fleet at ANSWERED_MS.
   Call it at least every OUTAGE_MS / 2 (removalgrace.c) while answers come. */
void BsRemovalGrace_NoteAnswer(BsRemovalGrace *grace, int64_t answered_ms);

/* Returns for how many ms an upstream is still used after its entry was
   removed at REVISION, given that a call to the store last failed at
   FAILED_MS; 0: not at all. */
int64_t BsRemovalGrace_KeptMs(BsRemovalGrace *grace, uint64_t revision,
                              int64_t failed_ms, int64_t now_ms);

#endif /* BS_REMOVALGRACE_H */
