/*
 * explain.h - status and outcome of each request, for callers and operators.
 *
 * Rules: an account sees only its own requests; while the outcome of a
 * non-idempotent request is unknown, each query asks its keeper again; the
 * table is bounded and its rows are kept for the resend window.
 */
#ifndef BS_EXPLAIN_H
#define BS_EXPLAIN_H

#include "core.h"

/* Creates an empty table. */
BsExplain *BsExplain_Create(BsCore *core);

/* Frees EXPLAIN; NULL is allowed. */
void BsExplain_Destroy(BsExplain *explain);

/* Records that REQUEST, sent by a caller, was admitted. */
void BsExplain_OnStart(BsExplain *explain, const BsRequest *request);

/* Records the outcome in ANSWER, the final part of the answer to REQUEST_ID;
   KEEPER may be NULL. */
void BsExplain_OnEnd(BsExplain *explain, const char *request_id,
                     const BsAnswer *answer, const char *keeper);

/* Updates a request that ended with an unknown outcome from a late answer of
   its keeper. */
void BsExplain_OnLateOutcome(BsExplain *explain, const BsMessage *message);

/* Handles the queries "request" and "explain"; the reply may follow later.
   Returns false for other queries. */
bool BsExplain_OnQuery(BsExplain *explain, const BsMessage *message);

/* Handles BS_PEER_QUERY and BS_PEER_REPLY. */
void BsExplain_OnMessage(BsExplain *explain, const BsMessage *message);

/* Replies to queries that have timed out and drops rows older than the resend
   window. */
void BsExplain_OnTick(BsExplain *explain);

#endif /* BS_EXPLAIN_H */
