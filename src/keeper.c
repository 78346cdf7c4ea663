/* keeper.c - decides whether an idempotency key may run here. */
#include "keeper.h"

#include "choice.h"
#include "keeperstate.h"
#include "peer.h"
#include "run.h"
#include "stop.h"
#include "tenure.h"
#include "ticket.h"
#include "witness.h"

#include <string.h>

/* Longest time for which a request is held until a take-over ends. */
#define PARKED_MAX_MS 5000

/* Stored answers may use queue_bytes, the memory for request bodies, divided
   by this. */
#define ANSWER_MEMORY_DIVISOR 2

BsKeeper *
BsKeeper_Create(BsCore *core)
{
    BsKeeper *keeper = g_new0(BsKeeper, 1);
    keeper->core = core;
    keeper->records =
        BsRecords_Create(core->config.record_limit,
                         core->config.queue_bytes / ANSWER_MEMORY_DIVISOR);
    return keeper;
}

void
BsKeeper_Destroy(BsKeeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    BsRecords_Destroy(keeper->records);
    g_free(keeper);
}

uint32_t
BsKeeper_CountOpen(const BsKeeper *keeper)
{
    GList *open = BsRecords_ListOpen(keeper->records);
    uint32_t count = g_list_length(open);
    g_list_free(open);
    return count;
}

uint32_t
BsKeeper_CountRecords(const BsKeeper *keeper)
{
    return BsRecords_Count(keeper->records);
}

/* Confirms to the sender of MESSAGE that its forward was received. */
static void
S_send_accept(BsKeeper *keeper, const BsMessage *message)
{
    BsMessage *accept = BsMessage_Create(BS_ACCEPT);
    accept->u.accept.request_id = g_strdup(message->u.request.request_id);
    accept->u.accept.attempt = message->u.request.attempt;
    accept->u.accept.to_stage = message->u.request.from_stage;
    BsCore_Send(keeper->core, message->from, message->from_incarnation,
                accept);
}

/* Returns whether the other keeper that may have run RECORD can be asked: it
   is on the list, or a message of the same incarnation arrived within the last
   lease time. */
static bool
S_can_ask_prior_keeper(const BsKeeper *keeper, const BsRecord *record)
{
    const BsCore *core = keeper->core;
    if (record->keeper == NULL || record->keeper_incarnation == 0 ||
        strcmp(record->keeper, core->config.name) == 0) {
        return false;
    }
    return BsMembers_Find(core->members, record->keeper) != NULL ||
           BsPeers_Incarnation(core->peers, record->keeper,
                               core->config.lease_ms, BsCore_NowMs(core)) ==
               record->keeper_incarnation;
}

/* Marks a fenced RECORD as ran if this instance knows that as entry, witness
   or owner. */
static void
S_add_own_knowledge(BsKeeper *keeper, BsRecord *record)
{
    const BsCore *core = keeper->core;
    if (!record->fenced || record->outcome == BS_OUTCOME_RAN) {
        return;
    }
    if (BsWitness_HasRun(core->witness, record->account, record->key,
                         record->body_hash) ||
        BsRuns_HasRun(core->runs, record->account, record->key,
                      record->body_hash)) {
        record->outcome = BS_OUTCOME_RAN;
    }
}

BsOutcome
BsKeeper_LookUpOutcome(BsKeeper *keeper, const char *request_id,
                       const char *account, const char *key)
{
    BsRecord *record = BsRecords_Find(keeper->records, account, key);
    if (record == NULL) {
        return BS_OUTCOME_NONE;
    }
    S_add_own_knowledge(keeper, record);
    if (record->outcome == BS_OUTCOME_NOT_RUN) {
        return g_strcmp0(record->run_id, request_id) == 0 ? BS_OUTCOME_NOT_RUN
                                                          : BS_OUTCOME_NONE;
    }
    if (record->state == BS_RECORD_FINISHED && !record->complete) {
        BsKeeper_Poll(keeper, record);
    }
    return record->outcome == BS_OUTCOME_NONE ? BS_OUTCOME_UNKNOWN
                                              : record->outcome;
}

/* Answers MESSAGE, whose key is fenced: names the keeper that has its record
   if that one can be asked, and otherwise reports the outcome known here. */
static void
S_reject_fenced(BsKeeper *keeper, BsRecord *record, const BsMessage *message)
{
    S_add_own_knowledge(keeper, record);
    if (message->u.request.resume || !S_can_ask_prior_keeper(keeper, record)) {
        BsKeeper_Reject(keeper, message,
                        record->outcome == BS_OUTCOME_RAN
                            ? BS_ERR_ANSWER_LOST
                            : BS_ERR_KEY_UNCERTAIN,
                        record->outcome);
        return;
    }
    const BsRequest *request = &message->u.request;
    BsMessage *answer =
        BsCore_CreateError(BS_ANSWER, request->request_id, request->attempt,
                           BS_ERR_KEY_MOVED, record->outcome);
    answer->u.answer.to_stage = request->from_stage;
    answer->u.answer.keeper = g_strdup(record->keeper);
    answer->u.answer.keeper_incarnation = record->keeper_incarnation;
    BsCore_Send(keeper->core, message->from, message->from_incarnation,
                answer);
}

/* Rejects MESSAGE and returns true if its body differs from that of RECORD.
   The outcome is not-run only if this keeper started RECORD with a known body,
   otherwise unknown. */
static bool
S_conflicts(BsKeeper *keeper, const BsRecord *record, const BsMessage *message)
{
    if (record->body_hash != NULL &&
        g_strcmp0(record->body_hash, message->u.request.body_hash) == 0) {
        return false;
    }
    bool known = record->body_hash != NULL && !record->fenced &&
                 record->state != BS_RECORD_PARKED;
    if (record->body_hash == NULL && record->fenced) {
        return false;
    }
    BsCore_Count(keeper->core, "key_conflicts", 1);
    BsKeeper_Reject(keeper, message, BS_ERR_KEY_CONFLICT,
                    known ? BS_OUTCOME_NOT_RUN : BS_OUTCOME_UNKNOWN);
    return true;
}

/* Answers a forward whose key has a record here. */
static void
S_join(BsKeeper *keeper, BsRecord *record, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (S_conflicts(keeper, record, message)) {
        return;
    }
    BsCore_Count(keeper->core, "keys_joined", 1);
    if (record->fenced) {
        S_reject_fenced(keeper, record, message);
        return;
    }
    if (record->state == BS_RECORD_FINISHED && !record->complete) {
        if (record->outcome == BS_OUTCOME_UNKNOWN) {
            BsKeeper_Poll(keeper, record);
        }
        BsKeeper_Reject(keeper, message, record->error, record->outcome);
        return;
    }
    if (record->answer_lost) {
        BsKeeper_Reject(keeper, message, BS_ERR_ANSWER_LOST, record->outcome);
        return;
    }
    BsWaiter *waiter = BsRecord_AddWaiter(record, message);
    waiter->next_seq = request->resume ? request->from_piece : 0;
    BsKeeper_Serve(keeper, record, waiter);
}

static BsRecord *
S_create_record(BsKeeper *keeper, const BsMessage *message,
                BsRecordState state)
{
    const BsRequest *request = &message->u.request;
    int64_t now_ms = BsCore_NowMs(keeper->core);
    BsRecord *record =
        BsRecords_Add(keeper->records, request->account, request->key);
    record->state = state;
    record->body_hash = g_strdup(request->body_hash);
    record->deadline_ms = now_ms + request->deadline_ms;
    record->last_received_ms = now_ms;
    BsRecords_SetRun(keeper->records, record, request->request_id);
    BsMessage *forward = BsMessage_Copy(message);
    BsSpanScope_Begin(&record->span, keeper->core, &forward->u.request);
    BsRecords_SetRequest(keeper->records, record, forward);
    BsRecord_AddWaiter(record, message);
    return record;
}

/* Adds a fenced record for the key of MESSAGE, which may have run at
   INCARNATION of KEEPER_NAME or, when that is NULL, at any instance. */
static void
S_fence_new(BsKeeper *keeper, const BsMessage *message,
            const char *keeper_name, uint64_t incarnation)
{
    BsRecord *record = S_create_record(keeper, message, BS_RECORD_FENCED);
    record->keeper = g_strdup(keeper_name);
    record->keeper_incarnation = incarnation;
    g_ptr_array_set_size(record->waiters, 0);
    BsKeeper_Fence(keeper, record);
    S_reject_fenced(keeper, record, message);
}

/* Fences the key of MESSAGE and returns true if it may have been sent to
   another keeper before this one. */
static bool
S_fence_if_sent(BsKeeper *keeper, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    const BsCoreConfig *config = &keeper->core->config;
    if (request->prior_keeper != NULL &&
        (strcmp(request->prior_keeper, config->name) != 0 ||
         request->prior_incarnation != config->incarnation)) {
        S_fence_new(keeper, message, request->prior_keeper,
                    request->prior_incarnation);
        return true;
    }
    const BsNote *note =
        BsWitness_FindOther(keeper->core->witness, request->account,
                            request->key, config->name, config->incarnation);
    if (note != NULL) {
        S_fence_new(keeper, message, note->keeper, note->keeper_incarnation);
    }
    return note != NULL;
}

/* Starts the run of MESSAGE, whose key has no record here.  A witness is asked
   only if this instance is also the entry, as another entry has written a
   note.  A ticket needs none: it is valid for this incarnation only. */
static void
S_start(BsKeeper *keeper, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (S_fence_if_sent(keeper, message)) {
        return;
    }
    if (!BsRecords_HasRoom(keeper->records)) {
        BsCore_Count(keeper->core, "record_table_full", 1);
        BsKeeper_Reject(keeper, message, BS_ERR_MEMORY_FULL,
                        BS_OUTCOME_NOT_RUN);
        return;
    }
    BsRecord *record = S_create_record(keeper, message, BS_RECORD_WITNESSING);
    if (request->ticket == NULL &&
        strcmp(message->from, keeper->core->config.name) == 0) {
        BsKeeper_AskWitness(keeper, record);
        return;
    }
    BsKeeper_Dispatch(keeper, record);
}

/* Starts the run of MESSAGE if this incarnation issued its ticket. */
static void
S_start_with_ticket(BsKeeper *keeper, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    switch (BsTicket_Judge(keeper->core, request->ticket, request->account)) {
    case BS_TICKET_OURS:
        S_start(keeper, message);
        break;
    case BS_TICKET_EXPIRED:
        BsKeeper_Reject(keeper, message, BS_ERR_TICKET, BS_OUTCOME_UNKNOWN);
        break;
    default:
        BsKeeper_Reject(keeper, message, BS_ERR_TICKET, BS_OUTCOME_NOT_RUN);
        break;
    }
}

/* Holds MESSAGE until the take-over of its key ends. */
static void
S_park(BsKeeper *keeper, const BsMessage *message)
{
    if (!BsRecords_HasRoom(keeper->records)) {
        BsKeeper_Reject(keeper, message, BS_ERR_MEMORY_FULL,
                        BS_OUTCOME_UNKNOWN);
        return;
    }
    BsCore_Count(keeper->core, "keys_parked", 1);
    BsRecord *record = S_create_record(keeper, message, BS_RECORD_PARKED);
    int64_t parked_ms = BsCore_NowMs(keeper->core) + PARKED_MAX_MS;
    record->parked_until_ms = MIN(parked_ms, record->deadline_ms);
}

BsTenureState
BsKeeper_Tenure(BsKeeper *keeper, const BsRequest *request)
{
    BsTenureState state =
        BsTenure_OfKey(keeper->core->tenure, request->account, request->key);
    bool uncertain = BsCore_NowMs(keeper->core) < keeper->uncertain_until_ms;
    return state == BS_TENURE_HELD && uncertain ? BS_TENURE_UNCERTAIN : state;
}

/* Returns whether the key of REQUEST, which has no record here, has certainly
   never run. */
static bool
S_is_new(BsKeeper *keeper, const BsRequest *request)
{
    const BsCoreConfig *config = &keeper->core->config;
    return request->ticket != NULL ||
           (request->prior_keeper == NULL &&
            BsKeeper_Tenure(keeper, request) == BS_TENURE_HELD &&
            BsWitness_FindOther(keeper->core->witness, request->account,
                                request->key, config->name,
                                config->incarnation) == NULL);
}

/* Handles a forward whose key has no record here. */
static void
S_handle_new_key(BsKeeper *keeper, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (request->resume) {
        bool is_new = request->ticket == NULL && S_is_new(keeper, request);
        BsKeeper_Reject(keeper, message,
                        is_new ? BS_ERR_MEMORY_FULL : BS_ERR_KEY_UNCERTAIN,
                        is_new ? BS_OUTCOME_NOT_RUN : BS_OUTCOME_UNKNOWN);
        return;
    }
    if (BsStop_IsActive(keeper->core->stop)) {
        BsKeeper_Reject(keeper, message, BS_ERR_DRAINING,
                        S_is_new(keeper, request) ? BS_OUTCOME_NOT_RUN
                                                  : BS_OUTCOME_UNKNOWN);
        return;
    }
    if (request->ticket != NULL) {
        S_start_with_ticket(keeper, message);
        return;
    }
    switch (BsKeeper_Tenure(keeper, request)) {
    case BS_TENURE_HELD:
        S_start(keeper, message);
        break;
    case BS_TENURE_WAITING:
        S_park(keeper, message);
        break;
    case BS_TENURE_UNCERTAIN:
        S_fence_new(keeper, message, NULL, 0);
        break;
    case BS_TENURE_NONE:
        BsKeeper_Reject(keeper, message, BS_ERR_NOT_KEEPER,
                        BS_OUTCOME_NOT_RUN);
        break;
    }
}

void
BsKeeper_OnForward(BsKeeper *keeper, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (request->request_id == NULL || request->account == NULL ||
        request->key == NULL || request->body_hash == NULL) {
        BsCore_Count(keeper->core, "peer_messages_dropped", 1);
        return;
    }
    S_send_accept(keeper, message);
    BsRecord *record =
        BsRecords_Find(keeper->records, request->account, request->key);
    if (record != NULL) {
        S_join(keeper, record, message);
        return;
    }
    S_handle_new_key(keeper, message);
}

void
BsKeeper_OnRepeat(BsKeeper *keeper, const BsMessage *message)
{
    S_send_accept(keeper, message);
}

void
BsKeeper_Redeliver(BsKeeper *keeper, BsMessage *forward, GPtrArray *waiters)
{
    for (guint i = 0; i < waiters->len; i++) {
        const BsWaiter *waiter = waiters->pdata[i];
        BsMessage_SetString(&forward->from, waiter->instance);
        forward->from_incarnation = waiter->incarnation;
        BsMessage_SetString(&forward->u.request.request_id,
                            waiter->request_id);
        forward->u.request.attempt = waiter->attempt;
        BsKeeper_OnForward(keeper, forward);
    }
    g_ptr_array_unref(waiters);
    BsMessage_Destroy(forward);
}

/* Handles the requests of the parked RECORD again, now that this instance
   holds the key. */
static void
S_unpark(BsKeeper *keeper, BsRecord *record)
{
    BsMessage *forward = BsMessage_Copy(record->request);
    GPtrArray *waiters = BsRecord_TakeWaiters(record);
    forward->u.request.deadline_ms =
        record->deadline_ms - BsCore_NowMs(keeper->core);
    BsRecords_Remove(keeper->records, record);
    BsKeeper_Redeliver(keeper, forward, waiters);
}

static void
S_drop_parked(BsKeeper *keeper, BsRecord *record, BsErrorKind error,
              BsOutcome outcome)
{
    BsKeeper_FailWaiters(keeper, record, error, outcome);
    BsRecords_Remove(keeper->records, record);
}

static void
S_check_parked(BsKeeper *keeper, BsRecord *record)
{
    switch (BsKeeper_Tenure(keeper, &record->request->u.request)) {
    case BS_TENURE_HELD:
        S_unpark(keeper, record);
        return;
    case BS_TENURE_UNCERTAIN:
        BsKeeper_FailWaiters(keeper, record, BS_ERR_KEY_UNCERTAIN,
                             BS_OUTCOME_UNKNOWN);
        BsKeeper_Fence(keeper, record);
        return;
    case BS_TENURE_NONE:
        S_drop_parked(keeper, record, BS_ERR_NOT_KEEPER, BS_OUTCOME_NOT_RUN);
        return;
    case BS_TENURE_WAITING:
        break;
    }
    if (BsCore_NowMs(keeper->core) >= record->parked_until_ms) {
        BsCore_Count(keeper->core, "keys_parked_too_long", 1);
        S_drop_parked(keeper, record, BS_ERR_KEY_UNCERTAIN,
                      BS_OUTCOME_UNKNOWN);
    }
}

void
BsKeeper_OnTick(BsKeeper *keeper)
{
    BsRecords_Expire(keeper->records, BsCore_NowMs(keeper->core));
    GList *open = BsRecords_ListOpen(keeper->records);
    for (GList *node = open; node != NULL; node = node->next) {
        BsRecord *record = node->data;
        switch (record->state) {
        case BS_RECORD_PARKED:
            S_check_parked(keeper, record);
            break;
        case BS_RECORD_WITNESSING:
            BsKeeper_CheckWitness(keeper, record);
            break;
        case BS_RECORD_DISPATCHED:
            BsKeeper_CheckRun(keeper, record);
            break;
        default:
            break;
        }
    }
    g_list_free(open);
}

void
BsKeeper_GiveUp(BsKeeper *keeper)
{
    GList *open = BsRecords_ListOpen(keeper->records);
    for (GList *node = open; node != NULL; node = node->next) {
        BsRecord *record = node->data;
        if (record->state == BS_RECORD_DISPATCHED) {
            BsKeeper_AbandonRun(keeper, record, BS_ERR_DRAINING);
        }
        else {
            BsKeeper_Refuse(keeper, record, BS_ERR_DRAINING);
        }
    }
    g_list_free(open);
}

void
BsKeeper_OnCancel(BsKeeper *keeper, const BsMessage *message)
{
    (void)message;
    BsCore_Count(keeper->core, "keeper_cancels_ignored", 1);
}

void
BsKeeper_OnFlow(BsKeeper *keeper, const BsMessage *message)
{
    (void)message;
    BsCore_Count(keeper->core, "keeper_flows_ignored", 1);
}
