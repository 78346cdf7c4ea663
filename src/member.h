/*
 * member.h - the newest instance list and who ranks first for a thing.
 *
 * Rules: revisions never go down; the ranking is a pure function of the list,
 * so instances with the same list agree without messages.
 */
#ifndef BS_MEMBER_H
#define BS_MEMBER_H

#include "boragespur.h"

typedef struct BsMembers BsMembers;

/* Creates a table without a list. */
BsMembers *BsMembers_Create(void);

/* Frees MEMBERS; NULL is allowed. */
void BsMembers_Destroy(BsMembers *members);

/* Takes a copy of LIST if it is newer; returns whether it was. */
bool BsMembers_Accept(BsMembers *members, const BsList *list);

/* Returns the list in force, or NULL before the first. */
const BsList *BsMembers_List(const BsMembers *members);

/* Returns the revision in force, 0 before the first. */
uint64_t BsMembers_Revision(const BsMembers *members);

/* Returns the entry NAME of any kind, or NULL. */
const BsListEntry *BsMembers_Find(const BsMembers *members, const char *name);

/* Returns the live instance that owns upstream NAME, or NULL. */
const char *BsMembers_OwnerOf(const BsMembers *members, const char *name);

/* Returns the live instance that keeps KEY of ACCOUNT, or NULL. */
const char *BsMembers_KeeperOf(const BsMembers *members, const char *account,
                               const char *key);

/* Returns upstreams (BsListEntry) that serve a model or service; may be NULL.
   Owned by MEMBERS, valid until the next accepted list. */
const GPtrArray *BsMembers_Serving(const BsMembers *members,
                                   const char *serves);

/* Returns the rendezvous weight of NODE for THING. */
uint64_t BsMembers_Weight(const char *node, const char *thing);

/* Returns the live instance of LIST with the highest weight for THING; with
   a data centre given, instances there go first, then its region. */
const char *BsList_Rank(const BsList *list, const char *thing,
                        const char *data_centre, const char *region);

#endif /* BS_MEMBER_H */
