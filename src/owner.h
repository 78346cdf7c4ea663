/*
 * owner.h - queues and dispatches work to the upstreams this instance owns.
 *
 * Rules: only the owner dispatches to an upstream; more urgent tiers go
 * first and stop work that yields to them; an upstream never has more in
 * flight than its limit; a closed or leaving upstream gets nothing new; work
 * that cannot start here in time is given back, and says whether it ran.
 */
#ifndef BS_OWNER_H
#define BS_OWNER_H

#include "core.h"
#include "upstream.h"

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

/* Answers whether a forward is still held here. */
void BsOwner_OnCheck(BsOwner *owner, const BsMessage *message);

/* Handles a receiver that reads slowly, or again. */
void BsOwner_OnFlow(BsOwner *owner, const BsMessage *message);

/* Handles a new instance list. */
void BsOwner_OnList(BsOwner *owner);

/* Gives back all queued work for SERVES, a model or service, with ERROR. */
void BsOwner_GiveBackQueued(BsOwner *owner, const char *serves,
                            BsErrorKind error);

/* Appends the load (BsLoad) of each model and service to LOADS. */
void BsOwner_AppendLoads(const BsOwner *owner, GPtrArray *loads);

/* Appends the pace (BsPace) of each owned upstream but EXCEPT to PACES. */
void BsOwner_AppendPaces(const BsOwner *owner, const BsUpstream *except,
                         GPtrArray *paces);

/* Appends the in-flight work (BsInFlight) that INSTANCE, which is now in
   charge of some upstreams, has to know of to LIST. */
void BsOwner_AppendInFlight(const BsOwner *owner, const char *instance,
                            GPtrArray *list);

/* Takes the in-flight work told by a predecessor in a collect reply. */
void BsOwner_OnInFlight(BsOwner *owner, const BsMessage *message);

/* Gives all queued work back to its senders, for a planned stop. */
void BsOwner_Drain(BsOwner *owner);

/* Returns the number of requests queued and running. */
uint32_t BsOwner_Count(const BsOwner *owner);

/* Drives timers. */
void BsOwner_OnTick(BsOwner *owner);

#endif /* BS_OWNER_H */
