/*
 * run.h - the owner's table of runs of non-idempotent requests.
 *
 * Rules: a keeper's run is dispatched to an upstream at most once, even when
 * the network repeats or delays messages; a run that was refused or cancelled
 * before dispatch is never dispatched afterwards; outcomes are kept for the
 * resend window and answers for a few leases, so that a keeper can ask again.
 * Work that was dispatched for two keepers is always counted and logged.
 */
#ifndef BS_RUN_H
#define BS_RUN_H

#include "core.h"

/* Creates an empty table. */
BsRuns *BsRuns_Create(BsCore *core);

/* Frees RUNS; NULL is allowed. */
void BsRuns_Destroy(BsRuns *runs);

/* Handles a keeper's forward; returns whether to queue the run. */
bool BsRuns_Admit(BsRuns *runs, const BsMessage *forward);

/* Handles a duplicate of a forward: resends the answer pieces. */
void BsRuns_OnRepeat(BsRuns *runs, const BsMessage *forward);

/* Records that the run of FORWARD was dispatched to an upstream. */
void BsRuns_OnDispatch(BsRuns *runs, const BsMessage *forward);

/* Stores a copy of PIECE, which belongs to the answer of FORWARD. */
void BsRuns_Keep(BsRuns *runs, const BsMessage *forward,
                 const BsMessage *piece);

/* Handles a keeper's cancel; returns whether the run is queued here, so that
   the caller must remove it from the queue and refuse it. */
bool BsRuns_OnCancel(BsRuns *runs, const BsMessage *message);

/* Returns whether a run of KEY with the given body ended here with the outcome
   ran. */
bool BsRuns_HasRun(const BsRuns *runs, const char *account, const char *key,
                   const char *body_hash);

/* Appends a note of each run whose key INSTANCE now keeps, except refused
   runs. */
void BsRuns_AppendNotes(const BsRuns *runs, const char *instance,
                        GPtrArray *notes);

/* Returns the number of runs in the table. */
uint32_t BsRuns_Count(const BsRuns *runs);

/* Removes expired runs and answers. */
void BsRuns_OnTick(BsRuns *runs);

#endif /* BS_RUN_H */
