/*
 * stop.h - planned stop of this instance.
 *
 * Rules: the ready check fails and no new work is accepted from the first
 * moment; queued work goes back to its senders; running work finishes; then
 * records go to their next keepers, which acknowledge them; the limit ends
 * what is left with true outcomes.
 */
#ifndef BS_STOP_H
#define BS_STOP_H

#include "core.h"

/* Creates the planned stop of CORE, not yet begun. */
BsStop *BsStop_Create(BsCore *core);

/* Frees STOP; NULL is allowed. */
void BsStop_Destroy(BsStop *stop);

/* Returns whether this instance is stopping. */
bool BsStop_IsActive(const BsStop *stop);

/* Handles BS_STOP; a second one shortens the limit. */
void BsStop_OnDrain(BsStop *stop, const BsMessage *message);

/* Handles BS_HANDOVER of a stopping peer. */
void BsStop_OnHandover(BsStop *stop, const BsMessage *message);

/* Handles BS_HANDOVER_ACK. */
void BsStop_OnAck(BsStop *stop, const BsMessage *message);

/* Drives timers. */
void BsStop_OnTick(BsStop *stop);

#endif /* BS_STOP_H */
