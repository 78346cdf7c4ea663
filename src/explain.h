/*
 * explain.h - what became of each request, for callers and operators.
 *
 * Rules: an account sees its own requests alone; a request without a certain
 * outcome is looked up at its keeper each time; the table is bounded and its
 * entries live for the resend window.
 */
#ifndef BS_EXPLAIN_H
#define BS_EXPLAIN_H

#include "core.h"

/* Creates an empty table. */
BsExplain *BsExplain_Create(BsCore *core);

/* Frees EXPLAIN; NULL is allowed. */
void BsExplain_Destroy(BsExplain *explain);

/* Records that REQUEST of a caller was admitted. */
void BsExplain_OnStart(BsExplain *explain, const BsRequest *request);

/* Records the last piece of its answer; KEEPER may be NULL. */
void BsExplain_OnEnd(BsExplain *explain, const char *request_id,
                     const BsAnswer *answer, const char *keeper);

/* Takes over what a keeper tells of a request that ended in doubt. */
void BsExplain_OnLate(BsExplain *explain, const BsMessage *message);

/* Handles the queries "request" and "explain", whose answer may come later;
   returns false for other queries. */
bool BsExplain_OnQuery(BsExplain *explain, const BsMessage *message);

/* Handles BS_PEER_QUERY and BS_PEER_REPLY. */
void BsExplain_OnMessage(BsExplain *explain, const BsMessage *message);

/* Answers queries that have waited too long and drops old entries. */
void BsExplain_OnTick(BsExplain *explain);

#endif /* BS_EXPLAIN_H */
