/*
 * hub.h - totals that a hub keeps over the reports of many instances.
 *
 * In a large fleet the instances of a data centre report to a hub instead of
 * to each other.  The hub adds up their reports, sends the totals of its own
 * data centre to the hubs of the others in remote summaries, and sends the
 * totals of the whole fleet to its own instances in local summaries.
 *
 * The last report of an instance counts until the instance times out, and so
 * does the last summary of another data centre.  Of each other data centre,
 * the totals of only one hub count at a time; those of two hubs are never
 * added.  Account use is counted from the hub's start, so receivers must use
 * its increase only.
 */
#ifndef BS_HUB_H
#define BS_HUB_H

#include "summary.h"

typedef struct BsHub BsHub;

BsHub *BsHub_Create(void);

/* Frees HUB; NULL is allowed. */
void BsHub_Destroy(BsHub *hub);

/* Applies the report of the instance at ADDRESS in the hub's own data centre,
   which may be the hub's own report. */
void BsHub_ApplyReport(BsHub *hub, uint32_t address,
                       const BsGossipReport *report, int64_t now_ms);

/* Applies the remote summary that the hub of another data centre at ADDRESS
   sent.  Returns false if it is ignored: it is not newer than the last one, or
   another hub of that data centre counts. */
bool BsHub_ApplyRemoteSummary(BsHub *hub, uint32_t address,
                              const BsSummary *summary, int64_t now_ms);

/* Removes the counts of instances and data centres that timed out. */
void BsHub_Expire(BsHub *hub, int64_t now_ms);

/* Returns whether there are loads whose change no local summary contained
   yet. */
bool BsHub_HasChanges(const BsHub *hub);

/* Returns whether the use of an account changed since BsHub_FillUses() was
   last called. */
bool BsHub_HasUsageChanges(const BsHub *hub);

/* Returns whether there are loads of the hub's own data centre whose change
   no remote summary contained yet. */
bool BsHub_HasLocalChanges(const BsHub *hub);

/* Appends loads to a local summary with number SEQUENCE, after removing the
   counts of what timed out. */
void BsHub_FillLocal(BsHub *hub, uint64_t sequence, BsSummary *summary,
                     int64_t now_ms);

/* Appends loads to a remote summary. */
void BsHub_FillRemote(BsHub *hub, BsSummary *summary);

/* Appends account use to a remote summary if REMOTE is set, otherwise to a
   local one. */
void BsHub_FillUses(BsHub *hub, bool remote, BsSummary *summary);

/* Return how many instances of other data centres are reachable, and how many
   are known, as their hubs reported. */
uint32_t BsHub_RemoteReachable(const BsHub *hub);
uint32_t BsHub_RemoteKnown(const BsHub *hub);

#endif /* BS_HUB_H */
