/*
 * loss.h - instances lost within the resend window, and the keys concerned.
 *
 * Rules: one loss is made good by collecting from everybody else, after which
 * it is clean; two losses within the window may have taken the only two
 * instances that knew of a dispatch, so the keys that a loss which is not
 * clean could have kept stay in doubt until the window has passed.
 */
#ifndef BS_LOSS_H
#define BS_LOSS_H

#include "contact.h"
#include "core.h"

typedef struct BsLosses BsLosses;

/* Creates an empty table. */
BsLosses *BsLosses_Create(BsCore *core);

/* Frees LOSSES; NULL is allowed. */
void BsLosses_Destroy(BsLosses *losses);

/* Notes that INCARNATION of NAME was lost AGE_MS ago. */
void BsLosses_Add(BsLosses *losses, const char *name, uint64_t incarnation,
                  int64_t age_ms, bool clean);

/* Notes that an instance believed lost has answered. */
void BsLosses_Remove(BsLosses *losses, const char *name, uint64_t incarnation);

/* Returns whether a loss in the window is not clean. */
bool BsLosses_HasUnclean(const BsLosses *losses);

/* Makes a single loss clean, after everybody else has answered. */
void BsLosses_Settle(BsLosses *losses);

/* Appends a BsLoss for each loss in the window. */
void BsLosses_Append(const BsLosses *losses, GPtrArray *list);

/* Returns whether a loss in doubt could have kept KEY, given the live
   instances of VIEW and SETTLED_MS, when this instance first settled. */
bool BsLosses_Concern(const BsLosses *losses, BsContact *contact,
                      const BsView *view, int64_t settled_ms, const char *key);

/* Returns when the newest loss was seen, or G_MININT64. */
int64_t BsLosses_NewestMs(const BsLosses *losses);

/* Forgets losses older than the window. */
void BsLosses_OnTick(BsLosses *losses);

#endif /* BS_LOSS_H */
