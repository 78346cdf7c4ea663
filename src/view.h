/*
 * view.h - immutable view of the instances of one list, without upstreams.
 *
 * Rules: views of lists with the same instances in the same states have the
 * same hash.  The lessors of a holder (the instances that grant its lease) are
 * a pure function of the view: all live instances, of which more than half
 * must agree, if there are at most BS_VIEW_MAJORITY_MAX; otherwise a few
 * of the others, chosen by rendezvous hashing.
 */
#ifndef BS_VIEW_H
#define BS_VIEW_H

#include "boragespur.h"

/* Largest number of live instances for which a lease needs a majority of all
   of them. */
#define BS_VIEW_MAJORITY_MAX 16

/* Number of lessors of a holder in a larger view, and how many of them must
   agree. */
#define BS_VIEW_LESSORS 5
#define BS_VIEW_LESSORS_NEEDED 3

typedef struct BsView BsView;

/* Creates the view of LIST. */
BsView *BsView_Create(const BsList *list);

/* Frees VIEW; NULL is allowed. */
void BsView_Destroy(BsView *view);

/* Returns the instances as a list; owned by VIEW. */
const BsList *BsView_List(const BsView *view);

/* Returns the revision of the list that the view was created from. */
uint64_t BsView_Revision(const BsView *view);

/* Returns the hash of the names, locations and states of the instances. */
uint64_t BsView_Hash(const BsView *view);

/* Returns the instance NAME, live or leaving, or NULL. */
const BsListEntry *BsView_Find(const BsView *view, const char *name);

/* Returns whether NAME is a live instance. */
bool BsView_IsLive(const BsView *view, const char *name);

/* Returns the names of the lessors of HOLDER and sets NEEDED to how many must
   agree; the caller unrefs the array, VIEW owns the names. */
GPtrArray *BsView_Lessors(const BsView *view, const char *holder,
                          guint *needed);

#endif /* BS_VIEW_H */
