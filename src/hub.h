/*
 * hub.h - the sums that a hub keeps of what many instances tell it.
 *
 * In a large fleet the instances of a data centre report to a hub instead of
 * to each other.  The hub adds up what they told, passes the sums of its data
 * centre on to the hubs of the others, and tells its own instances the sums of
 * the whole fleet.
 *
 * Rules: an instance or a data centre counts with what it told last, until it
 * has been silent for a while; of a data centre one hub's sums count at a
 * time, never two together.  What accounts used is summed up since the hub's
 * start, so that receivers go by its growth.
 */
#ifndef BS_HUB_H
#define BS_HUB_H

#include "summary.h"

typedef struct BsHub BsHub;

BsHub *BsHub_Create(void);

/* Frees HUB; NULL is allowed. */
void BsHub_Destroy(BsHub *hub);

/* Takes in the report of the instance at ADDRESS, of the hub's own data
   centre; the hub's own report, too. */
void BsHub_ApplyReport(BsHub *hub, uint32_t address,
                       const BsGossipReport *report, int64_t now_ms);

/* Takes in the far summary of another data centre's hub at ADDRESS.  Returns
   whether it counts: another hub of that data centre may be the one heard. */
bool BsHub_ApplyRemoteSummary(BsHub *hub, uint32_t address,
                              const BsSummary *summary, int64_t now_ms);

/* Drops what silent instances and data centres told. */
void BsHub_Expire(BsHub *hub, int64_t now_ms);

/* Returns whether something changed since the last near summary. */
bool BsHub_HasChanges(const BsHub *hub);

/* Returns whether accounts used something since it was last told. */
bool BsHub_HasUsageChanges(const BsHub *hub);

/* Returns whether something changed in the own data centre since the last far
   summary. */
bool BsHub_HasLocalChanges(const BsHub *hub);

/* Fills in the loads of a near summary, number SEQUENCE. */
void BsHub_FillLocal(BsHub *hub, uint64_t sequence, BsSummary *summary,
                     int64_t now_ms);

/* The same for a far summary. */
void BsHub_FillRemote(BsHub *hub, BsSummary *summary);

/* Fills in uses of accounts of a near or far summary. */
void BsHub_FillUses(BsHub *hub, bool remote, BsSummary *summary);

/* Returns how many instances of other data centres are heard and known. */
uint32_t BsHub_RemoteReachable(const BsHub *hub);
uint32_t BsHub_RemoteKnown(const BsHub *hub);

#endif /* BS_HUB_H */
