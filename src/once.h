/*
 * once.h - non-idempotent requests of callers connected to this instance.
 *
 * Rules: a note is written before the request goes to a keeper; a request is
 * sent to a second keeper only when the first one certainly did not run it;
 * each caller gets one final answer as soon as it is known, and not-run only
 * if no sending of its request can run any more.
 */
#ifndef BS_ONCE_H
#define BS_ONCE_H

#include "core.h"

/* Creates the role. */
BsOnce *BsOnce_Create(BsCore *core);

/* Frees ONCE; NULL is allowed. */
void BsOnce_Destroy(BsOnce *once);

/* Checks the ticket and key of REQUEST and sets its body hash. */
BsErrorKind BsOnce_Prepare(const BsCore *core, BsRequest *request);

/* Takes FORWARD, a BS_FORWARD with a resolved request. */
void BsOnce_Submit(BsOnce *once, BsMessage *forward);

/* Handles a piece of an answer; returns whether the request is known here. */
bool BsOnce_OnAnswer(BsOnce *once, const BsMessage *message);

/* Handles the receipt of a forward by a keeper. */
void BsOnce_OnAccept(BsOnce *once, const BsMessage *message);

/* Handles a caller that went away: its request goes on. */
void BsOnce_OnCancel(BsOnce *once, const BsMessage *message);

/* Ends all requests with true outcomes, for a stop that cannot wait. */
void BsOnce_GiveUp(BsOnce *once);

/* Drives timers. */
void BsOnce_OnTick(BsOnce *once);

/* Returns the number of requests without a final answer. */
uint32_t BsOnce_Count(const BsOnce *once);

#endif /* BS_ONCE_H */
