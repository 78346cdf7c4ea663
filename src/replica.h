/*
 * replica.h - an instance's copy of the items that the platform publishes.
 *
 * Rules: all revisions here are positions (position.h), which only increase,
 * also when the platform's store is restored from an older copy; the highest
 * revision of an item wins, whichever source it came from, so a stale read
 * never undoes a change.  Removals are kept as items without a value, but
 * not all of them are known: a full read shows the existing items, not the
 * earlier removals.  BsReplica_RemovalsSince() returns the revision after
 * which the removals are complete.
 */
#ifndef BS_REPLICA_H
#define BS_REPLICA_H

#include "boragespur.h"
#include "position.h"

/* An item; VALUE is NULL when it was removed. */
typedef struct {
    char *key;
    GBytes *value;
    uint64_t revision;
    GBytes *packed; /* compressed VALUE; NULL until first needed */
} BsItem;

typedef struct BsReplica BsReplica;

/* Called with an item whose value is new, changed or removed. */
typedef void (*BsReplicaFunc)(const BsItem *item, void *context);

/* Creates an empty replica that reports changes to ON_CHANGE. */
BsReplica *BsReplica_Create(BsReplicaFunc on_change, void *context);

/* Frees REPLICA; NULL is allowed. */
void BsReplica_Destroy(BsReplica *replica);

/* Applies an item from a source that was complete up to revision AS_OF.
   Returns whether the item was applied: not when the replica holds the same or
   a newer revision, nor when the item was removed since and the removal itself
   is not known here. */
bool BsReplica_Apply(BsReplica *replica, const char *key, GBytes *value,
                     uint64_t revision, uint64_t as_of);

/* Removes the items below PREFIX that are not among KEYS (a set of char *)
   and are older than REVISION, the revision of the full read that returned
   KEYS. */
void BsReplica_Retain(BsReplica *replica, const char *prefix, GHashTable *keys,
                      uint64_t revision);

/* Marks the changes below PREFIX as complete up to REVISION. */
void BsReplica_SetComplete(BsReplica *replica, const char *prefix,
                           uint64_t revision);

/* Adds a prefix that is complete up to revision 0 (nothing read yet). */
void BsReplica_AddPrefix(BsReplica *replica, const char *prefix);

/* Marks the changes below every prefix as complete up to REVISION. */
void BsReplica_SetAllComplete(BsReplica *replica, uint64_t revision);

/* Returns the revision up to which every prefix is complete; 0 before the
   first full read. */
uint64_t BsReplica_CompleteRevision(const BsReplica *replica);

/* Returns the revision after which every removal is known.  A receiver that is
   behind this revision needs all items, not only the changed ones. */
uint64_t BsReplica_RemovalsSince(const BsReplica *replica);

/* Returns how many items were not applied as the replica held a newer
   revision. */
uint64_t BsReplica_Outdated(const BsReplica *replica);

/* Returns the highest revision of any item. */
uint64_t BsReplica_Newest(const BsReplica *replica);

/* Calls FUNC for each item newer than REVISION, oldest first. */
void BsReplica_EachSince(const BsReplica *replica, uint64_t revision,
                         BsReplicaFunc func, void *context);

/* Returns the item of KEY, or NULL. */
const BsItem *BsReplica_Find(const BsReplica *replica, const char *key);

#endif /* BS_REPLICA_H */
