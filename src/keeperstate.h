/*
 * keeperstate.h - state and functions shared by the files of the keeper.
 *
 * Rules: keeper.c decides whether a key may run; keeperwitness.c has a second
 * instance record it first; keeperrun.c runs it at an owner; keeperserve.c
 * answers the instances that wait for it; keepernote.c exchanges notes.
 */
#ifndef BS_KEEPERSTATE_H
#define BS_KEEPERSTATE_H

#include "keeper.h"
#include "record.h"
#include "tenure.h"

struct BsKeeper {
    BsCore *core;
    BsRecords *records;
    int64_t uncertain_until_ms; /* set when a full table dropped a note */
};

/* Sends the pieces of RECORD that WAITER has not been sent yet. */
void BsKeeper_Serve(BsKeeper *keeper, const BsRecord *record,
                    BsWaiter *waiter);

/* Sends new pieces to all waiters of RECORD. */
void BsKeeper_ServeAll(BsKeeper *keeper, const BsRecord *record);

/* Answers the forward MESSAGE with an error. */
void BsKeeper_Reject(BsKeeper *keeper, const BsMessage *message,
                     BsErrorKind error, BsOutcome outcome);

/* Answers all waiters of RECORD with an error and removes them. */
void BsKeeper_FailWaiters(BsKeeper *keeper, BsRecord *record,
                          BsErrorKind error, BsOutcome outcome);

/* Sends the final outcome of RECORD to the waiters that were sent unknown. */
void BsKeeper_SendLateOutcome(BsKeeper *keeper, BsRecord *record);

/* Ends RECORD as not run and reports this with ERROR to all waiters and the
   witness; the request may be sent again. */
void BsKeeper_Refuse(BsKeeper *keeper, BsRecord *record, BsErrorKind error);

/* Marks RECORD so that it never runs here, as it may have run elsewhere. */
void BsKeeper_Fence(BsKeeper *keeper, BsRecord *record);

/* Handles FORWARD again, once for each of WAITERS; takes ownership of both. */
void BsKeeper_Redeliver(BsKeeper *keeper, BsMessage *forward,
                        GPtrArray *waiters);

/* Returns the tenure of this keeper for the key of REQUEST; a held key counts
   as uncertain for the resend window after a note was dropped. */
BsTenureState BsKeeper_Tenure(BsKeeper *keeper, const BsRequest *request);

/* Asks the next instance to witness RECORD; dispatches it at once when there
   is no other instance, and refuses it when too many have been asked. */
void BsKeeper_AskWitness(BsKeeper *keeper, BsRecord *record);

/* Asks another instance when the witness of RECORD does not answer. */
void BsKeeper_CheckWitness(BsKeeper *keeper, BsRecord *record);

/* Forwards RECORD to an owner, or refuses it when there is none. */
void BsKeeper_Dispatch(BsKeeper *keeper, BsRecord *record);

/* Ends RECORD as unknown, with ERROR, and no longer waits for its owner; a
   late answer is still recorded. */
void BsKeeper_AbandonRun(BsKeeper *keeper, BsRecord *record,
                         BsErrorKind error);

/* Ends RECORD with OUTCOME and keeps it until EXPIRES_MS. */
void BsKeeper_Finish(BsKeeper *keeper, BsRecord *record, BsOutcome outcome,
                     int64_t expires_ms);

/* Asks the owner of RECORD for the pieces that are missing. */
void BsKeeper_Poll(BsKeeper *keeper, BsRecord *record);

/* Polls the owner of RECORD; gives up when it is unresponsive or after the
   deadline. */
void BsKeeper_CheckRun(BsKeeper *keeper, BsRecord *record);

#endif /* BS_KEEPERSTATE_H */
