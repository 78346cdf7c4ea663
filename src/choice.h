/*
 * choice.h - which owner a request is forwarded to.
 *
 * Rules: the same prompt prefix goes to the same upstream's owner, within a
 * bounded load; past that to the better of the next two by digest; owners of
 * the own region first, then across the link within its byte budget; when all
 * are full, urgent work goes where work that yields to it runs.
 */
#ifndef BS_CHOICE_H
#define BS_CHOICE_H

#include "core.h"

/* Returns the owner to forward REQUEST to, or NULL when no open upstream
   serves it; owners in AVOID (names, may be NULL) are passed over. */
const char *BsChoice_PickOwner(BsCore *core, const BsRequest *request,
                               GHashTable *avoid);

/* Returns whether UPSTREAM may be given new work by the list and sheet. */
bool BsChoice_IsOpen(const BsCore *core, const BsListEntry *upstream);

/* Returns whether INSTANCE is in another region than this one. */
bool BsChoice_IsRemote(const BsCore *core, const char *instance);

/* Returns the number of live instances in the list. */
uint32_t BsChoice_CountInstances(const BsCore *core);

#endif /* BS_CHOICE_H */
