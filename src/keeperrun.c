/* keeperrun.c - runs a record at an owner, and at another one only if the
   first certainly did not run it. */
#include "choice.h"
#include "keeperstate.h"
#include "peer.h"

#include <string.h>

/* Time since the first attempt after which a record is refused if no owner's
   incarnation is known. */
#define SEARCH_MAX_MS 5000

/* Refusals by owners after which a record is refused. */
#define REFUSALS_MAX 4

/* Time after the deadline for which the owner's own answer is awaited. */
#define DEADLINE_GRACE_MS 100

/* Polls of an unresponsive owner per lease time. */
#define POLLS_PER_LEASE 4

static bool
S_is_self(const BsKeeper *keeper, const char *instance)
{
    return strcmp(instance, keeper->core->config.name) == 0;
}

static uint64_t
S_owner_incarnation(const BsKeeper *keeper, const char *owner)
{
    const BsCore *core = keeper->core;
    if (S_is_self(keeper, owner)) {
        return core->config.incarnation;
    }
    return BsPeers_Incarnation(core->peers, owner, BS_PEER_FRESH_MS,
                               BsCore_NowMs(core));
}

/* Forwards the request of RECORD to its owner with the sequence number SEQ, 0
   for a new one.  The body is left out when the owner's incarnation is not
   known: the owner refuses that forward and thereby reports it. */
static void
S_send_request(BsKeeper *keeper, BsRecord *record, uint64_t seq)
{
    BsMessage *forward = BsMessage_Copy(record->request);
    BsRequest *request = &forward->u.request;
    int64_t now_ms = BsCore_NowMs(keeper->core);
    request->from_stage = BS_STAGE_KEEPER;
    request->stage = BS_STAGE_OWNER;
    request->attempt = record->attempt;
    request->deadline_ms = record->deadline_ms - now_ms;
    request->seq = seq == 0 ? BsCore_NextForward(keeper->core) : seq;
    BsMessage_SetString(&request->request_id, record->run_id);
    if (record->owner_incarnation == 0) {
        g_clear_pointer(&request->body, g_bytes_unref);
    }
    record->forward_seq = request->seq;
    record->polled_ms = now_ms;
    BsCore_Send(keeper->core, record->owner, record->owner_incarnation,
                forward);
}

/* Starts an attempt at INCARNATION of OWNER, 0 when it is not known yet. */
static void
S_start_attempt(BsKeeper *keeper, BsRecord *record, const char *owner,
                uint64_t incarnation)
{
    record->state = BS_RECORD_DISPATCHED;
    if (record->attempt++ == 0) {
        record->first_attempt_ms = BsCore_NowMs(keeper->core);
    }
    record->accepted = false;
    record->owner_incarnation = incarnation;
    record->last_received_ms = BsCore_NowMs(keeper->core);
    BsMessage_SetString(&record->owner, owner);
    BsReorder_Destroy(record->reorder);
    record->reorder = BsReorder_Create();
    S_send_request(keeper, record, 0);
}

void
BsKeeper_Dispatch(BsKeeper *keeper, BsRecord *record)
{
    BsCore *core = keeper->core;
    const char *owner =
        BsChoice_PickOwner(core, &record->request->u.request, record->tried);
    if (owner == NULL) {
        BsKeeper_Refuse(keeper, record,
                        record->error == BS_ERR_NONE ? BS_ERR_NO_UPSTREAM
                                                     : record->error);
        return;
    }
    S_start_attempt(keeper, record, owner, S_owner_incarnation(keeper, owner));
}

/* Dispatches RECORD to another owner, after its owner certainly did not run it
   because of ERROR. */
static void
S_try_another_owner(BsKeeper *keeper, BsRecord *record, BsErrorKind error)
{
    record->error = error;
    g_hash_table_add(record->tried, g_strdup(record->owner));
    if (++record->refusals >= REFUSALS_MAX ||
        BsCore_NowMs(keeper->core) >= record->deadline_ms) {
        BsKeeper_Refuse(keeper, record, error);
        return;
    }
    BsKeeper_Dispatch(keeper, record);
}

void
BsKeeper_AbandonRun(BsKeeper *keeper, BsRecord *record, BsErrorKind error)
{
    BsCore *core = keeper->core;
    BsCore_Count(core, "keys_unknown", 1);
    GPtrArray *waiters = BsRecord_CopyWaiters(record);
    BsKeeper_FailWaiters(keeper, record, error, BS_OUTCOME_UNKNOWN);
    record->unknown_waiters = waiters;
    record->error = error;
    BsKeeper_Finish(keeper, record, BS_OUTCOME_UNKNOWN,
                    BsCore_NowMs(core) + core->config.resend_window_ms);
}

void
BsKeeper_Poll(BsKeeper *keeper, BsRecord *record)
{
    if (record->owner == NULL || S_is_self(keeper, record->owner) ||
        record->owner_incarnation == 0) {
        return;
    }
    BsMessage *poll = BsMessage_Create(BS_FORWARD);
    BsRequest *request = &poll->u.request;
    request->request_id = g_strdup(record->run_id);
    request->attempt = record->attempt;
    request->from_stage = BS_STAGE_KEEPER;
    request->stage = BS_STAGE_OWNER;
    request->from_piece = record->pieces->len;
    request->resume = true;
    request->seq = BsCore_NextForward(keeper->core);
    record->polled_ms = BsCore_NowMs(keeper->core);
    BsCore_Send(keeper->core, record->owner, record->owner_incarnation, poll);
}

static void
S_cancel_run(BsKeeper *keeper, const BsRecord *record)
{
    BsMessage *cancel = BsMessage_Create(BS_CANCEL);
    cancel->u.cancel.request_id = g_strdup(record->run_id);
    cancel->u.cancel.attempt = record->attempt;
    cancel->u.cancel.to_stage = BS_STAGE_OWNER;
    cancel->u.cancel.from_stage = BS_STAGE_KEEPER;
    cancel->u.cancel.reason = BS_ERR_DEADLINE;
    BsCore_Send(keeper->core, record->owner, record->owner_incarnation,
                cancel);
}

/* Asks another owner for its incarnation, starting over when all have been
   asked; refuses RECORD after SEARCH_MAX_MS. */
static void
S_search_owner(BsKeeper *keeper, BsRecord *record, int64_t now_ms)
{
    if (now_ms - record->first_attempt_ms >= SEARCH_MAX_MS) {
        BsKeeper_Refuse(keeper, record, BS_ERR_PEER_LOST);
        return;
    }
    const BsRequest *request = &record->request->u.request;
    g_hash_table_add(record->tried, g_strdup(record->owner));
    if (BsChoice_PickOwner(keeper->core, request, record->tried) == NULL) {
        g_hash_table_remove_all(record->tried);
    }
    BsKeeper_Dispatch(keeper, record);
}

/* Polls the owner of RECORD, and gives up when nothing was received from it
   for a lease time. */
static void
S_check_contact(BsKeeper *keeper, BsRecord *record, int64_t now_ms)
{
    int64_t lease_ms = keeper->core->config.lease_ms;
    int64_t poll_ms = lease_ms / POLLS_PER_LEASE;
    if (S_is_self(keeper, record->owner)) {
        return;
    }
    if (record->owner_incarnation == 0) {
        if (now_ms - record->polled_ms >= poll_ms) {
            S_search_owner(keeper, record, now_ms);
        }
        return;
    }
    if (now_ms - record->last_received_ms >= lease_ms) {
        BsKeeper_AbandonRun(keeper, record, BS_ERR_PEER_LOST);
        return;
    }
    if (now_ms - MAX(record->last_received_ms, record->polled_ms) < poll_ms) {
        return;
    }
    if (record->accepted) {
        BsKeeper_Poll(keeper, record);
    }
    else {
        S_send_request(keeper, record, record->forward_seq);
    }
}

void
BsKeeper_CheckRun(BsKeeper *keeper, BsRecord *record)
{
    int64_t now_ms = BsCore_NowMs(keeper->core);
    if (now_ms < record->deadline_ms + DEADLINE_GRACE_MS) {
        S_check_contact(keeper, record, now_ms);
        return;
    }
    if (record->owner_incarnation == 0) {
        BsKeeper_Refuse(keeper, record, BS_ERR_DEADLINE);
        return;
    }
    S_cancel_run(keeper, record);
    BsKeeper_AbandonRun(keeper, record, BS_ERR_DEADLINE);
}

void
BsKeeper_OnAccept(BsKeeper *keeper, const BsMessage *message)
{
    BsRecord *record =
        BsRecords_FindRun(keeper->records, message->u.accept.request_id);
    if (record != NULL && record->attempt == message->u.accept.attempt &&
        record->owner_incarnation == message->from_incarnation) {
        record->accepted = true;
        record->last_received_ms = BsCore_NowMs(keeper->core);
    }
}

/* Returns whether another owner may be able to run a request that failed with
   ERROR. */
static bool
S_is_transient(uint32_t error)
{
    switch (error) {
    case BS_ERR_CONNECT:
    case BS_ERR_UPSTREAM_REFUSED:
    case BS_ERR_NO_UPSTREAM:
    case BS_ERR_DRAINING:
    case BS_ERR_OVERLOADED:
    case BS_ERR_NOT_READY:
        return true;
    default:
        return false;
    }
}

/* Ends RECORD with LAST, the last piece of its answer. */
static void
S_finish(BsKeeper *keeper, BsRecord *record, const BsAnswer *last)
{
    BsCore *core = keeper->core;
    BsOutcome outcome = last->outcome;
    if (outcome == BS_OUTCOME_NONE) {
        outcome =
            last->error == BS_ERR_NONE ? BS_OUTCOME_RAN : BS_OUTCOME_UNKNOWN;
    }
    record->complete = true;
    if (record->state == BS_RECORD_FINISHED) {
        BsCore_Count(core, "keys_settled_late", 1);
    }
    record->error = last->error;
    BsKeeper_Finish(keeper, record, outcome,
                    BsCore_NowMs(core) + core->config.resend_window_ms);
    BsKeeper_SendLateOutcome(keeper, record);
}

/* Handles an owner's ANSWER that it did not run RECORD and never will. */
static void
S_on_not_run(BsKeeper *keeper, BsRecord *record, const BsAnswer *answer)
{
    bool open = record->state == BS_RECORD_DISPATCHED;
    if (open && S_is_transient(answer->error)) {
        S_try_another_owner(keeper, record, answer->error);
        return;
    }
    BsMessage_SetString(&record->detail, answer->detail);
    BsKeeper_Refuse(keeper, record, answer->error);
}

/* Adds PIECE to RECORD, takes ownership of it, and ends RECORD if PIECE is
   final. */
static void
S_add_piece(BsKeeper *keeper, BsRecord *record, BsMessage *piece)
{
    bool final = piece->u.answer.final;
    BsAnswer last = piece->u.answer;
    if (final && last.outcome == BS_OUTCOME_NOT_RUN &&
        record->pieces->len == 0) {
        S_on_not_run(keeper, record, &last);
        BsMessage_Destroy(piece);
        return;
    }
    BsRecords_AddPiece(keeper->records, record, piece);
    if (final) {
        S_finish(keeper, record, &last);
    }
}

/* Returns whether MESSAGE is an answer to the current attempt of RECORD from
   its owner, and RECORD still needs it. */
static bool
S_is_expected(const BsRecord *record, const BsMessage *message)
{
    return record != NULL && record->owner != NULL && !record->complete &&
           !record->fenced && record->attempt == message->u.answer.attempt &&
           g_strcmp0(record->owner, message->from) == 0;
}

/* Handles an instance that refused a forward meant for another incarnation. */
static void
S_on_incarnation(BsKeeper *keeper, BsRecord *record, const BsMessage *message)
{
    if (record->state != BS_RECORD_DISPATCHED) {
        return;
    }
    if (record->owner_incarnation != 0) {
        BsKeeper_AbandonRun(keeper, record, BS_ERR_PEER_LOST);
    }
    else {
        S_start_attempt(keeper, record, message->from,
                        message->from_incarnation);
    }
}

void
BsKeeper_OnAnswer(BsKeeper *keeper, const BsMessage *message)
{
    BsRecord *record =
        BsRecords_FindRun(keeper->records, message->u.answer.request_id);
    if (S_is_expected(record, message) &&
        message->u.answer.error == BS_ERR_INCARNATION) {
        S_on_incarnation(keeper, record, message);
        return;
    }
    if (!S_is_expected(record, message) ||
        record->owner_incarnation != message->from_incarnation ||
        !BsReorder_Push(record->reorder, message)) {
        BsCore_Count(keeper->core, "answers_dropped", 1);
        return;
    }
    uint32_t attempt = record->attempt;
    record->last_received_ms = BsCore_NowMs(keeper->core);
    record->accepted = true;
    BsMessage *piece;
    while (record->attempt == attempt && !record->complete &&
           (piece = BsReorder_Pop(record->reorder)) != NULL) {
        S_add_piece(keeper, record, piece);
    }
    BsKeeper_ServeAll(keeper, record);
}
