/*
 * keeperstate.h - what the parts of the keeper share.
 *
 * Rules: keeper.c decides whether a key may run; keeperwitness.c makes a
 * second instance know of it; keeperrun.c runs it at an owner; keeperserve.c
 * answers the hops that wait for it; keepernote.c exchanges notes.
 */
#ifndef BS_KEEPERSTATE_H
#define BS_KEEPERSTATE_H

#include "keeper.h"
#include "record.h"
#include "tenure.h"

struct BsKeeper {
    BsCore *core;
    BsRecords *records;
    int64_t uncertain_until_ms; /* notes were lost for lack of room */
};

/* Sends the pieces that WAITER has not got yet. */
void BsKeeper_Serve(BsKeeper *keeper, const BsRecord *record,
                    BsWaiter *waiter);

/* Serves all hops that wait for RECORD. */
void BsKeeper_ServeAll(BsKeeper *keeper, const BsRecord *record);

/* Answers the forward MESSAGE with an error. */
void BsKeeper_Reject(BsKeeper *keeper, const BsMessage *message,
                     BsErrorKind error, BsOutcome outcome);

/* Ends the wait of all hops of RECORD with an error. */
void BsKeeper_FailWaiters(BsKeeper *keeper, BsRecord *record,
                          BsErrorKind error, BsOutcome outcome);

/* Tells the hops that were told unknown how RECORD ended. */
void BsKeeper_SettleDoubt(BsKeeper *keeper, BsRecord *record);

/* Tells all hops that RECORD did not run, and that it may be sent again. */
void BsKeeper_Refuse(BsKeeper *keeper, BsRecord *record, BsErrorKind error);

/* Makes RECORD one that never runs here. */
void BsKeeper_Fence(BsKeeper *keeper, BsRecord *record);

/* Handles FORWARD again for each of WAITERS; takes both. */
void BsKeeper_Redeliver(BsKeeper *keeper, BsMessage *forward,
                        GPtrArray *waiters);

/* Returns the state of the key of REQUEST for this keeper. */
BsTenureState BsKeeper_Tenure(BsKeeper *keeper, const BsRequest *request);

/* Asks the next instance to witness RECORD. */
void BsKeeper_AskWitness(BsKeeper *keeper, BsRecord *record);

/* Asks another instance when the witness of RECORD stays silent. */
void BsKeeper_CheckWitness(BsKeeper *keeper, BsRecord *record);

/* Sends RECORD to an owner, or refuses it when there is none. */
void BsKeeper_Dispatch(BsKeeper *keeper, BsRecord *record);

/* Gives up waiting for the owner; a late answer is still recorded. */
void BsKeeper_LoseRun(BsKeeper *keeper, BsRecord *record, BsErrorKind error);

/* Ends RECORD with OUTCOME; it is kept until EXPIRES_MS. */
void BsKeeper_Finish(BsKeeper *keeper, BsRecord *record, BsOutcome outcome,
                     int64_t expires_ms);

/* Asks the owner of RECORD for what is missing. */
void BsKeeper_Poll(BsKeeper *keeper, BsRecord *record);

/* Checks the contact with the owner of RECORD and its deadline. */
void BsKeeper_CheckRun(BsKeeper *keeper, BsRecord *record);

#endif /* BS_KEEPERSTATE_H */
