/*
 * keeper.h - runs each non-idempotent request at most once.
 *
 * Rules: a key of an account is dispatched at most once; a repeat joins the
 * running request or gets the recorded answer; when it is not certain whether
 * the request ran, the outcome is reported as unknown.
 */
#ifndef BS_KEEPER_H
#define BS_KEEPER_H

#include "core.h"

/* Creates the keeper role of CORE. */
BsKeeper *BsKeeper_Create(BsCore *core);

/* Frees KEEPER; NULL is allowed. */
void BsKeeper_Destroy(BsKeeper *keeper);

/* Handles a request forwarded to this keeper. */
void BsKeeper_OnForward(BsKeeper *keeper, const BsMessage *message);

/* Handles a forward that the network duplicated. */
void BsKeeper_OnRepeat(BsKeeper *keeper, const BsMessage *message);

/* Handles BS_WITNESS_ACK. */
void BsKeeper_OnWitnessAck(BsKeeper *keeper, const BsMessage *message);

/* Appends a BsNote for each key within the resend window that this instance
   knows as keeper, owner, entry or witness, and that INSTANCE now keeps. */
void BsKeeper_AppendNotes(BsKeeper *keeper, const char *instance,
                          GPtrArray *notes);

/* Returns notes (BsNote), with answers, of the keys kept here that INSTANCE
   would keep by LIST; unref the result. */
GPtrArray *BsKeeper_CreateNotesFor(BsKeeper *keeper, const BsList *list,
                                   const char *instance);

/* Adds the notes of a collect reply or a handover to the records. */
void BsKeeper_OnNotes(BsKeeper *keeper, const BsMessage *message);

/* Returns the number of keys without an outcome. */
uint32_t BsKeeper_CountOpen(const BsKeeper *keeper);

/* Returns the number of records. */
uint32_t BsKeeper_CountRecords(const BsKeeper *keeper);

/* Returns the outcome of the request REQUEST_ID sent with KEY as far as it is
   known here, BS_OUTCOME_NONE if it is not; asks the owner when an answer is
   incomplete. */
BsOutcome BsKeeper_LookUpOutcome(BsKeeper *keeper, const char *request_id,
                                 const char *account, const char *key);

/* Ends all open records with the outcomes known so far: those dispatched as
   unknown, the others as not-run. */
void BsKeeper_GiveUp(BsKeeper *keeper);

/* Handles a piece of an answer from an owner. */
void BsKeeper_OnAnswer(BsKeeper *keeper, const BsMessage *message);

/* Handles an owner's confirmation that it received a forward. */
void BsKeeper_OnAccept(BsKeeper *keeper, const BsMessage *message);

/* Handles a caller that disconnected; the request continues. */
void BsKeeper_OnCancel(BsKeeper *keeper, const BsMessage *message);

/* Handles a caller that reads slowly or has caught up; nothing changes. */
void BsKeeper_OnFlow(BsKeeper *keeper, const BsMessage *message);

/* Removes expired records and advances the open ones; called on every
   tick. */
void BsKeeper_OnTick(BsKeeper *keeper);

#endif /* BS_KEEPER_H */
