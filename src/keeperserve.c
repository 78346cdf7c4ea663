/* keeperserve.c - answers to the instances that wait for a record. */
#include "keeperstate.h"

/* Sequence number of an outcome sent after unknown was reported; an entry that
   still waits for pieces cannot take it for one of them. */
#define LATE_OUTCOME_SEQ (UINT64_MAX - 1)

/* Time for which a refused record is kept, so that duplicates of its request
   are refused, too. */
#define REFUSED_KEEP_MS 1000

static void
S_send_to_waiter(BsKeeper *keeper, BsWaiter *waiter, BsMessage *answer)
{
    answer->kind = BS_ANSWER;
    BsMessage_SetString(&answer->u.answer.request_id, waiter->request_id);
    answer->u.answer.seq = waiter->next_seq++;
    answer->u.answer.attempt = waiter->attempt;
    answer->u.answer.to_stage = BS_STAGE_ENTRY;
    BsCore_Send(keeper->core, waiter->instance, waiter->incarnation, answer);
}

void
BsKeeper_Serve(BsKeeper *keeper, const BsRecord *record, BsWaiter *waiter)
{
    while (waiter->next_seq < record->pieces->len) {
        const BsMessage *piece = record->pieces->pdata[waiter->next_seq];
        S_send_to_waiter(keeper, waiter, BsMessage_Copy(piece));
    }
}

void
BsKeeper_ServeAll(BsKeeper *keeper, const BsRecord *record)
{
    for (guint i = 0; i < record->waiters->len; i++) {
        BsKeeper_Serve(keeper, record, record->waiters->pdata[i]);
    }
}

void
BsKeeper_Reject(BsKeeper *keeper, const BsMessage *message, BsErrorKind error,
                BsOutcome outcome)
{
    const BsRequest *request = &message->u.request;
    BsMessage *answer = BsCore_CreateError(BS_ANSWER, request->request_id,
                                           request->attempt, error, outcome);
    answer->u.answer.to_stage = request->from_stage;
    answer->u.answer.seq = request->from_piece;
    BsCore_Send(keeper->core, message->from, message->from_incarnation,
                answer);
}

void
BsKeeper_FailWaiters(BsKeeper *keeper, BsRecord *record, BsErrorKind error,
                     BsOutcome outcome)
{
    for (guint i = 0; i < record->waiters->len; i++) {
        BsWaiter *waiter = record->waiters->pdata[i];
        BsMessage *answer = BsCore_CreateError(BS_ANSWER, waiter->request_id,
                                               0, error, outcome);
        answer->u.answer.detail = g_strdup(record->detail);
        S_send_to_waiter(keeper, waiter, answer);
    }
    g_ptr_array_set_size(record->waiters, 0);
}

void
BsKeeper_SendLateOutcome(BsKeeper *keeper, BsRecord *record)
{
    for (guint i = 0;
         record->unknown_waiters != NULL && i < record->unknown_waiters->len;
         i++) {
        BsWaiter *waiter = record->unknown_waiters->pdata[i];
        waiter->next_seq = LATE_OUTCOME_SEQ;
        S_send_to_waiter(keeper, waiter,
                         BsCore_CreateError(BS_ANSWER, waiter->request_id, 0,
                                            record->error, record->outcome));
    }
    g_clear_pointer(&record->unknown_waiters, g_ptr_array_unref);
}

/* Reports to the witness of RECORD, if any, that it did not run. */
static void
S_notify_witness(BsKeeper *keeper, const BsRecord *record)
{
    if (record->witness == NULL) {
        return;
    }
    BsMessage *report = BsMessage_Create(BS_WITNESS);
    BsNote *note = &report->u.note;
    note->account = g_strdup(record->account);
    note->key = g_strdup(record->key);
    note->body_hash = g_strdup(record->body_hash);
    note->request_id = g_strdup(record->run_id);
    note->keeper = g_strdup(keeper->core->config.name);
    note->keeper_incarnation = keeper->core->config.incarnation;
    note->state = BS_RECORD_FINISHED;
    note->outcome = BS_OUTCOME_NOT_RUN;
    BsCore_Send(keeper->core, record->witness, 0, report);
}

void
BsKeeper_Finish(BsKeeper *keeper, BsRecord *record, BsOutcome outcome,
                int64_t expires_ms)
{
    BsSpanScope_End(&record->span, keeper->core, "keeper", record->run_id);
    BsRecords_Finish(keeper->records, record, outcome, expires_ms);
}

void
BsKeeper_Refuse(BsKeeper *keeper, BsRecord *record, BsErrorKind error)
{
    int64_t now_ms = BsCore_NowMs(keeper->core);
    BsCore_Count(keeper->core, "keys_refused", 1);
    S_notify_witness(keeper, record);
    BsKeeper_FailWaiters(keeper, record, error, BS_OUTCOME_NOT_RUN);
    record->error = error;
    BsKeeper_Finish(keeper, record, BS_OUTCOME_NOT_RUN,
                    now_ms + REFUSED_KEEP_MS);
    BsKeeper_SendLateOutcome(keeper, record);
}

void
BsKeeper_Fence(BsKeeper *keeper, BsRecord *record)
{
    BsCore *core = keeper->core;
    BsOutcome outcome = record->outcome == BS_OUTCOME_NONE ? BS_OUTCOME_UNKNOWN
                                                           : record->outcome;
    BsCore_Count(core, "keys_fenced", 1);
    BsKeeper_Finish(keeper, record, outcome,
                    BsCore_NowMs(core) + core->config.resend_window_ms);
    record->fenced = true;
}
