/*
 * stop.h - planned stop of this instance.
 *
 * Rules: from the start of the stop the ready check fails and no new work is
 * accepted; work that has not started is returned to its senders, running and
 * preempted work may finish; then the records are sent to their next keepers,
 * which acknowledge them; at the time limit the remaining requests end with
 * the outcome known for each.
 */
#ifndef BS_STOP_H
#define BS_STOP_H

#include "core.h"

/* Creates the planned stop of CORE, which is not started. */
BsStop *BsStop_Create(BsCore *core);

/* Frees STOP; NULL is allowed. */
void BsStop_Destroy(BsStop *stop);

/* Returns whether this instance is stopping. */
bool BsStop_IsActive(const BsStop *stop);

/* Handles BS_DRAIN, which starts the stop; a further one can only shorten the
   time limit. */
void BsStop_OnDrain(BsStop *stop, const BsMessage *message);

/* Handles BS_HANDOVER, the notes of a stopping peer. */
void BsStop_OnHandover(BsStop *stop, const BsMessage *message);

/* Handles BS_HANDOVER_ACK. */
void BsStop_OnAck(BsStop *stop, const BsMessage *message);

/* Goes on to the next phase when due; resends unacknowledged handovers. */
void BsStop_OnTick(BsStop *stop);

#endif /* BS_STOP_H */
