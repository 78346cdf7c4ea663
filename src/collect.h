/*
 * collect.h - settling a list: what those in charge before knew.
 *
 * Rules: a list is settled when every instance on it has answered a collect
 * of this round while holding the same instances at that revision or a newer
 * one, and when each instance that left since the last settled list is denied
 * by so many of its lessors that it can get no lease, plus one lease time.
 * Until then things are held only by whoever ranked first in every list since
 * the last settled one.  Being denied ends what was settled before.
 */
#ifndef BS_COLLECT_H
#define BS_COLLECT_H

#include "contact.h"
#include "core.h"
#include "loss.h"

typedef struct BsCollects BsCollects;

/* Creates the collection of CORE. */
BsCollects *BsCollects_Create(BsCore *core, BsContact *contact,
                              BsLosses *losses);

/* Frees COLLECTS; NULL is allowed. */
void BsCollects_Destroy(BsCollects *collects);

/* Returns the views (BsView) since the last settled one, newest last. */
const GPtrArray *BsCollects_Chain(const BsCollects *collects);

/* Returns whether the oldest view of the chain is settled. */
bool BsCollects_HasBase(const BsCollects *collects);

/* Returns the revision last settled, 0 for none. */
uint64_t BsCollects_SettledRevision(const BsCollects *collects);

/* Returns when this instance first settled a list, 0 for never. */
int64_t BsCollects_FirstSettledMs(const BsCollects *collects);

/* Returns since when the knowledge of keys is complete but for losses. */
int64_t BsCollects_KnownSinceMs(const BsCollects *collects);

/* Handles a new list. */
void BsCollects_OnList(BsCollects *collects, const BsList *list);

/* Handles the instances of a list older than the newest. */
void BsCollects_OnOldList(BsCollects *collects, const BsList *list);

/* Starts anew because INCARNATION of NAME was replaced. */
void BsCollects_OnReplaced(BsCollects *collects, const char *name,
                           uint64_t incarnation);

/* Gives up what was settled, after a denial. */
void BsCollects_OnDenied(BsCollects *collects);

/* Handles a collect and the reply to one. */
void BsCollects_OnCollect(BsCollects *collects, const BsMessage *message);
void BsCollects_OnReply(BsCollects *collects, const BsMessage *message);

/* Sends what is due and settles when it can. */
void BsCollects_OnTick(BsCollects *collects);

#endif /* BS_COLLECT_H */
