/*
 * choice.h - which owner a request is forwarded to.
 *
 * Rules: requests with the same prompt prefix go to the owner of the same
 * upstream until it is full, then to the better of the next two by their
 * digests.  Owners in this region are preferred; others are used within the
 * byte budget of the link.  When all are full, an urgent request goes to an
 * owner whose running work yields to it.
 */
#ifndef BS_CHOICE_H
#define BS_CHOICE_H

#include "core.h"

/* Returns the owner to forward REQUEST to, or NULL when no open upstream
   serves it.  Owners named in AVOID, a set that may be NULL, are skipped. */
const char *BsChoice_PickOwner(BsCore *core, const BsRequest *request,
                               GHashTable *avoid);

/* Returns whether an open upstream that serves REQUEST has an owner which is
   not in AVOID, whatever its load and distance. */
bool BsChoice_HasOwner(const BsCore *core, const BsRequest *request,
                       GHashTable *avoid);

/* Returns whether the list and the sheet let UPSTREAM get new work. */
bool BsChoice_IsOpen(const BsCore *core, const BsListEntry *upstream);

/* Returns whether INSTANCE is in another region than this one. */
bool BsChoice_IsRemote(const BsCore *core, const char *instance);

/* Returns the number of live instances in the list; 0 without a list. */
uint32_t BsChoice_CountInstances(const BsCore *core);

#endif /* BS_CHOICE_H */
