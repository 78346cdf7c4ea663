/*
 * lists.h - instance lists from the platform and between instances.
 *
 * Rules: the list with the highest revision is used, and the revision never
 * goes down; a list that came from a peer is reported to the host program.
 */
#ifndef BS_LISTS_H
#define BS_LISTS_H

#include "core.h"

/* Handles a list from the platform or a peer. */
void BsLists_OnList(BsCore *core, const BsMessage *message);

/* Answers a pull with the current list if that is newer, else with the old
   list of the requested revision. */
void BsLists_OnPull(BsCore *core, const BsMessage *message);

#endif /* BS_LISTS_H */
