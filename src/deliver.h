/*
 * deliver.h - delivers each message to the role that handles it.
 */
#ifndef BS_DELIVER_H
#define BS_DELIVER_H

#include "core.h"

/* Passes MESSAGE to its role; counts a message that no role handles. */
void BsDeliver_Message(BsCore *core, const BsMessage *message);

#endif /* BS_DELIVER_H */
