/*
 * replica.h - an instance's copy of the items that the platform publishes.
 *
 * Rules: the platform numbers every change with one growing revision; of an
 * item the highest revision wins, wherever it was heard of, so a stale read
 * never takes a change back.  Removals are kept as items without a value, but
 * not all: a full read shows what is there, not what was removed before it.
 * BsReplica_RemovalsSince() tells from where on they are complete.
 */
#ifndef BS_REPLICA_H
#define BS_REPLICA_H

#include "boragespur.h"

/* An item; VALUE is NULL when it was removed. */
typedef struct {
    char *key;
    GBytes *value;
    uint64_t revision;
    GBytes *packed; /* compressed VALUE; NULL until it is asked for */
} BsItem;

typedef struct BsReplica BsReplica;

/* Receives an item that replaced what was held before. */
typedef void (*BsReplicaFunc)(const BsItem *item, void *context);

/* Creates an empty replica that reports changes to ON_CHANGE. */
BsReplica *BsReplica_Create(BsReplicaFunc on_change, void *context);

/* Frees REPLICA; NULL is allowed. */
void BsReplica_Destroy(BsReplica *replica);

/* Takes in an item as a source shows it that had come as far as AS_OF. Returns
   whether it was news: newer than what is held, and not one that was removed
   since, of which no removal is held. */
bool BsReplica_Apply(BsReplica *replica, const char *key, GBytes *value,
                     uint64_t revision, uint64_t as_of);

/* Removes the items below PREFIX that are not among KEYS (a set of char *)
   and not newer than REVISION, as a full read at that revision shows. */
void BsReplica_Retain(BsReplica *replica, const char *prefix, GHashTable *keys,
                      uint64_t revision);

/* Notes that all changes below PREFIX up to REVISION are held. */
void BsReplica_SetComplete(BsReplica *replica, const char *prefix,
                           uint64_t revision);

/* Names a prefix of which nothing is held yet. */
void BsReplica_AddPrefix(BsReplica *replica, const char *prefix);

/* Notes that all changes below every prefix up to REVISION are held. */
void BsReplica_SetAllComplete(BsReplica *replica, uint64_t revision);

/* Returns the revision up to which all below every prefix is held; 0: not
   even a first full read. */
uint64_t BsReplica_Complete(const BsReplica *replica);

/* Returns the revision after which every removal is held.  Whoever knows less
   must be given all that is there, not only what changed. */
uint64_t BsReplica_RemovalsSince(const BsReplica *replica);

/* Returns the newest revision of any item held. */
uint64_t BsReplica_Newest(const BsReplica *replica);

/* Calls FUNC for each item newer than REVISION, oldest first. */
void BsReplica_EachSince(const BsReplica *replica, uint64_t revision,
                         BsReplicaFunc func, void *context);

/* Returns the item of KEY, or NULL. */
const BsItem *BsReplica_Find(const BsReplica *replica, const char *key);

#endif /* BS_REPLICA_H */
