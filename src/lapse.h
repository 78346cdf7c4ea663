/*
 * lapse.h - how long an upstream whose entry was removed is still used.
 *
 * An entry that expired while the platform's store was away comes back soon
 * after the store, when its upstream lives; to drop it at once would take a
 * sound upstream away.  An upstream that leaves in a planned way looks the
 * same, and may not get requests for long.
 *
 * Rules: only around failures of the store is such an upstream kept, and the
 * time counts from the first moment at which this instance heard that the
 * store had come as far as the removal, not from the moment at which it read
 * it: it may read it late.
 */
#ifndef BS_LAPSE_H
#define BS_LAPSE_H

#include "boragespur.h"

typedef struct BsLapses BsLapses;

BsLapses *BsLapses_Create(void);

/* Frees LAPSES; NULL is allowed. */
void BsLapses_Destroy(BsLapses *lapses);

/* Notes that the store is known to have come as far as REVISION. */
void BsLapses_NoteRevision(BsLapses *lapses, uint64_t revision,
                           int64_t now_ms);

/* Returns for how many ms an upstream is still used whose entry was removed
   at REVISION, when the store last failed at FAILED_MS; 0: not at all. */
int64_t BsLapses_KeptMs(const BsLapses *lapses, uint64_t revision,
                        int64_t failed_ms, int64_t now_ms);

#endif /* BS_LAPSE_H */
