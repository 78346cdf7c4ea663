/*
 * witness.h - what this instance knows of requests kept by others.
 *
 * Rules: a note is written before the request is forwarded or the keeper is
 * told that it was; notes are bounded and live for the resend window; a note
 * never forgets that the request may have run.
 */
#ifndef BS_WITNESS_H
#define BS_WITNESS_H

#include "core.h"

/* Creates an empty table. */
BsWitness *BsWitness_Create(BsCore *core);

/* Frees WITNESS; NULL is allowed. */
void BsWitness_Destroy(BsWitness *witness);

/* Records that the request of NOTE was sent to its keeper; false when the
   table is full. */
bool BsWitness_Add(BsWitness *witness, const BsNote *note);

/* Records that one sending of the request of NOTE ended with OUTCOME. */
void BsWitness_Finish(BsWitness *witness, const BsNote *note,
                      BsOutcome outcome);

/* Returns a note of KEY that says it may have run at a keeper other than
   KEEPER with INCARNATION, or NULL. */
const BsNote *BsWitness_FindOther(BsWitness *witness, const char *account,
                                  const char *key, const char *keeper,
                                  uint64_t incarnation);

/* Returns whether a request of KEY with the given body is known to have
   run. */
bool BsWitness_HasRun(BsWitness *witness, const char *account, const char *key,
                      const char *body_hash);

/* Appends copies of the notes whose keeper is now INSTANCE. */
void BsWitness_AppendNotes(BsWitness *witness, const char *instance,
                           GPtrArray *notes);

/* Handles BS_WITNESS. */
void BsWitness_OnMessage(BsWitness *witness, const BsMessage *message);

/* Drops notes older than the resend window. */
void BsWitness_OnTick(BsWitness *witness);

#endif /* BS_WITNESS_H */
