/*
 * view.h - the instances of one list, without its upstreams.
 *
 * Rules: a view never changes; lists with the same instances in the same
 * states have the same hash.  The lessors of a holder are a pure function of
 * the view: up to BS_VIEW_MAJORITY_MAX live instances all of them, of which
 * more than half must agree; beyond that a few by rendezvous.
 */
#ifndef BS_VIEW_H
#define BS_VIEW_H

#include "boragespur.h"

/* Most live instances for which a lease needs a majority of all. */
#define BS_VIEW_MAJORITY_MAX 16

/* Lessors of a holder in a larger view, and how many must agree. */
#define BS_VIEW_LESSORS 5
#define BS_VIEW_LESSORS_NEEDED 3

typedef struct BsView BsView;

/* Creates the view of LIST. */
BsView *BsView_Create(const BsList *list);

/* Frees VIEW; NULL is allowed. */
void BsView_Destroy(BsView *view);

/* Returns the instances as a list; owned by VIEW. */
const BsList *BsView_List(const BsView *view);

/* Returns the revision of the list it was made from. */
uint64_t BsView_Revision(const BsView *view);

/* Returns the hash of the instances. */
uint64_t BsView_Hash(const BsView *view);

/* Returns the instance NAME, live or leaving, or NULL. */
const BsListEntry *BsView_Find(const BsView *view, const char *name);

/* Returns whether NAME is a live instance. */
bool BsView_IsLive(const BsView *view, const char *name);

/* Returns the names of the lessors of HOLDER, borrowed from VIEW, and sets
   NEEDED; the caller unrefs the array. */
GPtrArray *BsView_Lessors(const BsView *view, const char *holder,
                          guint *needed);

#endif /* BS_VIEW_H */
