/*
 * choice.h - which owner a request is forwarded to.
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

#endif /* BS_CHOICE_H */
