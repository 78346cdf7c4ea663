/*
 * member.h - the newest instance list, and rendezvous hashing over it.
 *
 * Rules: revisions never go down; the ranking is a pure function of the list,
 * so instances with the same list agree without exchanging messages.
 */
#ifndef BS_MEMBER_H
#define BS_MEMBER_H

#include "boragespur.h"

typedef struct BsMembers BsMembers;

/* Creates a member table without a list. */
BsMembers *BsMembers_Create(void);

/* Frees MEMBERS; NULL is allowed. */
void BsMembers_Destroy(BsMembers *members);

/* Adopts a copy of LIST if it is valid and newer; returns whether it was. */
bool BsMembers_Accept(BsMembers *members, const BsList *list);

/* Returns the list in force, or NULL before the first. */
const BsList *BsMembers_List(const BsMembers *members);

/* Returns the revision in force, 0 before the first. */
uint64_t BsMembers_Revision(const BsMembers *members);

/* Returns the entry NAME of any kind, or NULL. */
const BsListEntry *BsMembers_Find(const BsMembers *members, const char *name);

/* Returns the live instance that owns upstream NAME, or NULL. */
const char *BsMembers_OwnerOf(const BsMembers *members, const char *name);

/* Returns the live instance that is the keeper of KEY of ACCOUNT, or NULL. */
const char *BsMembers_KeeperOf(const BsMembers *members, const char *account,
                               const char *key);

/* Returns the upstreams (BsListEntry) that serve the model or service SERVES,
   or NULL.  Owned by MEMBERS, valid until the next accepted list. */
const GPtrArray *BsMembers_Serving(const BsMembers *members,
                                   const char *serves);

/* Returns the rendezvous hash of NODE for the key RESOURCE. */
uint64_t BsMembers_Weight(const char *node, const char *resource);

/* Returns the live instance of LIST with the highest rendezvous hash for
   RESOURCE, or NULL.  Instances in DATA_CENTRE are preferred, then those in
   REGION; each may be NULL. */
const char *BsList_Rank(const BsList *list, const char *resource,
                        const char *data_centre, const char *region);

#endif /* BS_MEMBER_H */
