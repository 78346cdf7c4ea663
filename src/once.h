/*
 * once.h - non-idempotent requests of callers connected to this instance.
 *
 * Rules: a note is written before the request is forwarded to a keeper; a
 * request is forwarded to a second keeper to be run only when the first one
 * certainly did not run it; each caller gets one final answer as soon as the
 * outcome is known, and not-run only if no forward of its request can run any
 * more.
 */
#ifndef BS_ONCE_H
#define BS_ONCE_H

#include "core.h"

/* Creates the at-most-once role of CORE as the entry of requests. */
BsOnce *BsOnce_Create(BsCore *core);

/* Frees ONCE; NULL is allowed. */
void BsOnce_Destroy(BsOnce *once);

/* Sets the key and the body hash of REQUEST; returns BS_ERR_TICKET when its
   ticket is not valid, otherwise BS_ERR_NONE. */
BsErrorKind BsOnce_Prepare(const BsCore *core, BsRequest *request);

/* Forwards a request to its keeper.  Takes ownership of FORWARD, a
   BS_FORWARD on which BsOnce_Prepare() succeeded. */
void BsOnce_Submit(BsOnce *once, BsMessage *forward);

/* Handles a piece of a keeper's answer; returns whether the request is known
   here. */
bool BsOnce_OnAnswer(BsOnce *once, const BsMessage *message);

/* Handles a keeper's confirmation that it received a forward. */
void BsOnce_OnAccept(BsOnce *once, const BsMessage *message);

/* Handles a caller that disconnected; its request continues. */
void BsOnce_OnCancel(BsOnce *once, const BsMessage *message);

/* Ends all requests, uncertain ones as unknown, when the time limit of a
   stop is reached. */
void BsOnce_GiveUp(BsOnce *once);

/* Expires requests, starts due retries and polls keepers; called on every
   tick. */
void BsOnce_OnTick(BsOnce *once);

/* Returns the number of requests without a final answer. */
uint32_t BsOnce_Count(const BsOnce *once);

#endif /* BS_ONCE_H */
