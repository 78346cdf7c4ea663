/*
 * loss.h - instances lost within the resend window, and the keys affected.
 *
 * Rules: what one lost instance knew is recovered by collecting from all other
 * instances, after which the loss is clean.  Two instances lost within the
 * window may be the only two that knew of a dispatch.  The keys that a lost
 * instance may have kept are then uncertain until the window has passed,
 * unless its loss is clean.
 */
#ifndef BS_LOSS_H
#define BS_LOSS_H

#include "contact.h"
#include "core.h"

typedef struct BsLosses BsLosses;

/* Creates an empty table; free it with BsLosses_Destroy(). */
BsLosses *BsLosses_Create(BsCore *core);

/* Frees LOSSES; NULL is allowed. */
void BsLosses_Destroy(BsLosses *losses);

/* Records that INCARNATION of NAME was lost AGE_MS ago.  A loss that is
   already recorded keeps its state and the earlier time. */
void BsLosses_Add(BsLosses *losses, const char *name, uint64_t incarnation,
                  int64_t age_ms, bool clean);

/* Removes the loss of an instance that has answered after all. */
void BsLosses_Remove(BsLosses *losses, const char *name, uint64_t incarnation);

/* Returns whether a loss in the window is not clean. */
bool BsLosses_HasUnclean(const BsLosses *losses);

/* Marks the loss as clean if it is the only one; called after all other
   instances have answered. */
void BsLosses_MarkSingleClean(BsLosses *losses);

/* Appends a BsLoss for each loss in the window. */
void BsLosses_Append(const BsLosses *losses, GPtrArray *list);

/* Returns whether an instance whose loss is not clean may have kept KEY, given
   the live instances of VIEW; false while only one loss is recorded.
   SETTLED_MS is when this instance first completed a collection. */
bool BsLosses_Affects(const BsLosses *losses, BsContact *contact,
                      const BsView *view, int64_t settled_ms, const char *key);

/* Returns when the newest loss was seen, G_MININT64 if there is none. */
int64_t BsLosses_NewestMs(const BsLosses *losses);

/* Removes losses older than the window. */
void BsLosses_OnTick(BsLosses *losses);

#endif /* BS_LOSS_H */
