/*
 * deliver.h - hands each message to the role that handles it.
 */
#ifndef BS_DELIVER_H
#define BS_DELIVER_H

#include "core.h"

/* Hands MESSAGE to its role; one that no role handles is counted. */
void BsDeliver_Message(BsCore *core, const BsMessage *message);

#endif /* BS_DELIVER_H */
