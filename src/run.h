/*
 * run.h - non-idempotent runs that this owner was given.
 *
 * Rules: a run of a keeper is given to an upstream at most once, whatever the
 * network repeats or delays; a run refused or cancelled before dispatch is
 * never dispatched afterwards; outcomes are kept for the resend window and
 * answers for a few leases, so that a keeper can ask again.  The same work
 * dispatched for two keepers is counted and logged, never hidden.
 */
#ifndef BS_RUN_H
#define BS_RUN_H

#include "core.h"

/* Creates an empty table. */
BsRuns *BsRuns_Create(BsCore *core);

/* Frees RUNS; NULL is allowed. */
void BsRuns_Destroy(BsRuns *runs);

/* Handles a forward of a keeper; returns whether it is to be queued. */
bool BsRuns_Admit(BsRuns *runs, const BsMessage *forward);

/* Handles a forward that the network repeated. */
void BsRuns_OnRepeat(BsRuns *runs, const BsMessage *forward);

/* Records that the run of REQUEST was given to an upstream. */
void BsRuns_OnDispatch(BsRuns *runs, const BsMessage *forward);

/* Keeps PIECE, which answers the keeper's FORWARD. */
void BsRuns_Keep(BsRuns *runs, const BsMessage *forward,
                 const BsMessage *piece);

/* Handles a cancel of a keeper; returns whether the run is queued here and
   shall be taken out of the queue and refused. */
bool BsRuns_OnCancel(BsRuns *runs, const BsMessage *message);

/* Returns whether a run of KEY with the given body is known to have ended
   here as ran. */
bool BsRuns_HasRun(const BsRuns *runs, const char *account, const char *key,
                   const char *body_hash);

/* Appends a note of each run whose key INSTANCE now keeps. */
void BsRuns_AppendNotes(const BsRuns *runs, const char *instance,
                        GPtrArray *notes);

/* Returns the number of runs known. */
uint32_t BsRuns_Count(const BsRuns *runs);

/* Drops what has expired. */
void BsRuns_OnTick(BsRuns *runs);

#endif /* BS_RUN_H */
