/*
 * owner.h - queues and dispatches work to the upstreams this instance owns.
 *
 * Rules: only the owner dispatches to an upstream; more urgent tiers go
 * first; an upstream never has more in flight than its limit; a closed or
 * leaving upstream gets nothing new.
 */
#ifndef BS_OWNER_H
#define BS_OWNER_H

#include "core.h"

/* Creates the owner role of CORE. */
BsOwner *BsOwner_Create(BsCore *core);

/* Frees OWNER; NULL is allowed. */
void BsOwner_Destroy(BsOwner *owner);

/* Handles a request forwarded to this owner. */
void BsOwner_OnForward(BsOwner *owner, const BsMessage *message);

/* Handles a piece of an answer from an upstream. */
void BsOwner_OnUpstreamAnswer(BsOwner *owner, const BsMessage *message);

/* Handles the load report of an upstream. */
void BsOwner_OnReport(BsOwner *owner, const BsMessage *message);

/* Handles a cancelled request. */
void BsOwner_OnCancel(BsOwner *owner, const BsMessage *message);

/* Handles a receiver that reads slowly, or again. */
void BsOwner_OnFlow(BsOwner *owner, const BsMessage *message);

/* Handles a new instance list. */
void BsOwner_OnList(BsOwner *owner);

/* Gives queued work back to its senders, for a planned stop. */
void BsOwner_Release(BsOwner *owner);

/* Returns the number of requests queued and running. */
uint32_t BsOwner_Count(const BsOwner *owner);

/* Drives timers. */
void BsOwner_OnTick(BsOwner *owner);

#endif /* BS_OWNER_H */
