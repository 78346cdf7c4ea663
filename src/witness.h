/*
 * witness.h - notes of requests that have another instance as keeper.
 *
 * Rules: a note is stored before the request is forwarded, or before the
 * keeper receives the acknowledgement; the number of notes is bounded, and a
 * note is kept for the resend window; an outcome of ran or unknown is never
 * replaced by not run.
 */
#ifndef BS_WITNESS_H
#define BS_WITNESS_H

#include "core.h"

/* Creates an empty table. */
BsWitness *BsWitness_Create(BsCore *core);

/* Frees WITNESS; NULL is allowed. */
void BsWitness_Destroy(BsWitness *witness);

/* Records that the request of NOTE was sent to its keeper; returns false when
   the table is full. */
bool BsWitness_Add(BsWitness *witness, const BsNote *note);

/* Records that one attempt of the request of NOTE ended with OUTCOME. */
void BsWitness_Finish(BsWitness *witness, const BsNote *note,
                      BsOutcome outcome);

/* Returns a note of KEY according to which it may have run for a keeper other
   than INCARNATION of KEEPER, or NULL. */
const BsNote *BsWitness_FindOther(BsWitness *witness, const char *account,
                                  const char *key, const char *keeper,
                                  uint64_t incarnation);

/* Returns whether a request of KEY with the given body is known to have
   run. */
bool BsWitness_HasRun(BsWitness *witness, const char *account, const char *key,
                      const char *body_hash);

/* Appends copies of the notes of requests that may have run and whose key
   INSTANCE now keeps. */
void BsWitness_AppendNotes(BsWitness *witness, const char *instance,
                           GPtrArray *notes);

/* Handles BS_WITNESS; acknowledges a new note with BS_WITNESS_ACK. */
void BsWitness_OnMessage(BsWitness *witness, const BsMessage *message);

/* Removes notes older than the resend window. */
void BsWitness_OnTick(BsWitness *witness);

#endif /* BS_WITNESS_H */
