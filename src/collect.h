/*
 * collect.h - collects what the other instances know after the instance list
 * changed, before this one takes over keys and upstreams.
 *
 * Rules: a list is settled when every instance on it has answered a collect
 * of this round while holding the same instances at that revision or a newer
 * one, and when each instance removed since the last settled list is denied
 * by enough of its lessors that it can get no lease.  If an instance was
 * removed or replaced, or a loss is not clean, one lease time must also have
 * passed since the last answer.  Until then a key or an upstream is held only
 * by an instance that ranked first for it in the last settled list and in
 * every list since.  After a denial no list counts as settled.
 */
#ifndef BS_COLLECT_H
#define BS_COLLECT_H

#include "contact.h"
#include "core.h"
#include "loss.h"

typedef struct BsCollects BsCollects;

/* Creates the collection state of CORE; CONTACT and LOSSES are borrowed. */
BsCollects *BsCollects_Create(BsCore *core, BsContact *contact,
                              BsLosses *losses);

/* Frees COLLECTS; NULL is allowed. */
void BsCollects_Destroy(BsCollects *collects);

/* Returns the views (BsView) from the last settled one on, newest last. */
const GPtrArray *BsCollects_Chain(const BsCollects *collects);

/* Returns whether the oldest view of the chain is settled. */
bool BsCollects_HasSettledView(const BsCollects *collects);

/* Returns the revision of the last settled list, 0 for none. */
uint64_t BsCollects_SettledRevision(const BsCollects *collects);

/* Returns when this instance first settled a list, 0 for never. */
int64_t BsCollects_FirstSettledMs(const BsCollects *collects);

/* Returns the time since which every key used is known here, unless it was
   lost with an instance (see loss.h). */
int64_t BsCollects_KnownSinceMs(const BsCollects *collects);

/* Handles a new instance list; starts a round if its instances differ. */
void BsCollects_OnList(BsCollects *collects, const BsList *list);

/* Handles a list older than the newest one, which was pulled because another
   instance reported its revision. */
void BsCollects_OnOldList(BsCollects *collects, const BsList *list);

/* Handles the replacement of INCARNATION of NAME by another incarnation:
   records a loss and starts a new round. */
void BsCollects_OnReplaced(BsCollects *collects, const char *name,
                           uint64_t incarnation);

/* Handles a probe that was denied: no list counts as settled any more, and a
   new round starts. */
void BsCollects_OnDenied(BsCollects *collects);

/* Handle a collect and the reply to one. */
void BsCollects_OnCollect(BsCollects *collects, const BsMessage *message);
void BsCollects_OnReply(BsCollects *collects, const BsMessage *message);

/* Repeats the collect to instances that have not answered, and settles the
   list when all conditions hold. */
void BsCollects_OnTick(BsCollects *collects);

#endif /* BS_COLLECT_H */
