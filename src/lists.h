/*
 * lists.h - instance lists from the platform and between instances.
 *
 * Rules: the newest list seen is in force and its revision never goes down; a
 * list that came from a peer is told to the host.
 */
#ifndef BS_LISTS_H
#define BS_LISTS_H

#include "core.h"

/* Handles a list from the platform or a peer. */
void BsLists_OnList(BsCore *core, const BsMessage *message);

/* Answers a pull with the list in force when it is newer, else with the
   instances of the old list asked for. */
void BsLists_OnPull(BsCore *core, const BsMessage *message);

#endif /* BS_LISTS_H */
