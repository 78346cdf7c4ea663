/*
 * owner.h - queues work and dispatches it to the upstreams that this instance
 * owns.
 *
 * Rules: only the owner dispatches to an upstream; more urgent tiers go first
 * and preempt work of tiers that yield to them; an upstream never has more in
 * flight than its limit; a closed or leaving upstream gets no new work; work
 * that cannot start here in time is given back to its sender with an error
 * that says whether it may have run.
 */
#ifndef BS_OWNER_H
#define BS_OWNER_H

#include "core.h"
#include "upstream.h"

/* Creates the owner role of CORE. */
BsOwner *BsOwner_Create(BsCore *core);

/* Frees OWNER; NULL is allowed. */
void BsOwner_Destroy(BsOwner *owner);

/* Handles a request forwarded to this owner; a repeated one is only
   acknowledged. */
void BsOwner_OnForward(BsOwner *owner, const BsMessage *message);

/* Handles a piece of an answer from an upstream. */
void BsOwner_OnUpstreamAnswer(BsOwner *owner, const BsMessage *message);

/* Handles the load report of an upstream. */
void BsOwner_OnReport(BsOwner *owner, const BsMessage *message);

/* Handles an order that is sent to an engine. */
void BsOwner_OnOrder(BsOwner *owner, const BsMessage *message);

/* Handles the cancellation of a request. */
void BsOwner_OnCancel(BsOwner *owner, const BsMessage *message);

/* Replies whether a forwarded request is still queued or running here. */
void BsOwner_OnCheck(BsOwner *owner, const BsMessage *message);

/* Pauses or resumes the answer from an upstream, as its receiver asks. */
void BsOwner_OnFlow(BsOwner *owner, const BsMessage *message);

/* Handles a new instance list. */
void BsOwner_OnList(BsOwner *owner);

/* Gives all queued work for SERVES, a model or service, back to its senders
   with ERROR. */
void BsOwner_GiveBackQueued(BsOwner *owner, const char *serves,
                            BsErrorKind error);

/* Appends the load (BsLoad) of each model and service to LOADS. */
void BsOwner_AppendLoads(const BsOwner *owner, GPtrArray *loads);

/* Appends the pace (BsPace) of each owned engine with a measured one, except
   EXCEPT, to PACES. */
void BsOwner_AppendPaces(const BsOwner *owner, const BsUpstream *except,
                         GPtrArray *paces);

/* Appends the in-flight work (BsInFlight) of each upstream known here to LIST,
   which is sent to INSTANCE; INSTANCE may own some of them now. */
void BsOwner_AppendInFlight(const BsOwner *owner, const char *instance,
                            GPtrArray *list);

/* Handles the in-flight work that a previous owner reports in a collect
   reply. */
void BsOwner_OnInFlight(BsOwner *owner, const BsMessage *message);

/* Gives queued work that never started back to its senders before a planned
   stop; work that was preempted stays and ends here. */
void BsOwner_Drain(BsOwner *owner);

/* Returns the number of requests queued and running. */
uint32_t BsOwner_Count(const BsOwner *owner);

/* Performs periodic work; called on every tick. */
void BsOwner_OnTick(BsOwner *owner);

#endif /* BS_OWNER_H */
