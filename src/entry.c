/* entry.c - requests of callers connected to this instance. */
#include "entry.h"

#include "account.h"
#include "entrystate.h"
#include "explain.h"
#include "link.h"
#include "once.h"
#include "poison.h"
#include "retry.h"
#include "stop.h"
#include "tally.h"
#include "ticket.h"
#include "work.h"

/* Wait after the deadline for the owner's own final answer. */
#define DEADLINE_GRACE_MS 250

/* A longer time between two ticks means that this process was paused. */
#define PAUSE_MS 1000

/* Share of the memory limits open to the least urgent tier, in percent. */
#define LEAST_URGENT_PERCENT 80

#define PERCENT 100

static void
S_destroy_request(void *data)
{
    BsEntryRequest *request = data;
    BsMessage_Destroy(request->request);
    BsReorder_Destroy(request->current.reorder);
    g_free(request->current.owner);
    g_ptr_array_unref(request->held);
    g_hash_table_destroy(request->tried);
    g_clear_pointer(&request->gone, g_hash_table_destroy);
    g_free(request);
}

BsEntry *
BsEntry_Create(BsCore *core)
{
    BsEntry *entry = g_new0(BsEntry, 1);
    entry->core = core;
    entry->requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                            S_destroy_request);
    entry->checks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return entry;
}

void
BsEntry_Destroy(BsEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    g_hash_table_destroy(entry->requests);
    g_hash_table_destroy(entry->checks);
    g_free(entry);
}

uint32_t
BsEntry_Count(const BsEntry *entry)
{
    return g_hash_table_size(entry->requests);
}

static const char *
S_request_id(const BsEntryRequest *request)
{
    return request->request->u.request.request_id;
}

static BsEntryRequest *
S_find(BsEntry *entry, const char *request_id)
{
    return request_id == NULL
               ? NULL
               : g_hash_table_lookup(entry->requests, request_id);
}

/* Counts the final answer to REQUEST. */
static void
S_count_answer(BsEntry *entry, const BsEntryRequest *request,
               BsOutcome outcome)
{
    BsTally_Answer(entry->core, &request->request->u.request, outcome,
                   BsCore_NowMs(entry->core) <= request->deadline_ms);
}

/* Removes REQUEST from the table and frees it. */
static void
S_remove(BsEntry *entry, BsEntryRequest *request)
{
    entry->body_bytes -= request->body_bytes;
    g_hash_table_remove(entry->requests, S_request_id(request));
}

void
BsEntry_Fail(BsEntry *entry, BsEntryRequest *request, BsErrorKind error,
             BsOutcome outcome)
{
    BsMessage *answer =
        BsCore_CreateError(BS_CALLER_ANSWER, S_request_id(request),
                           request->current.number, error, outcome);
    answer->u.answer.seq = request->next_seq;
    answer->u.answer.retry_after_s =
        MAX(answer->u.answer.retry_after_s, request->retry_after_s);
    BsExplain_OnEnd(entry->core->explain, S_request_id(request),
                    &answer->u.answer, NULL);
    BsCore_Count(entry->core, "answers_error", 1);
    S_count_answer(entry, request, outcome);
    BsCore_Emit(entry->core, answer);
    S_remove(entry, request);
}

/* Returns whether REQUEST may repeat one that ran: it has a ticket or the
   caller's own key, and is not known to be idempotent. */
static bool
S_may_be_resend(const BsRequest *request)
{
    bool named = request->ticket != NULL ||
                 (request->key != NULL &&
                  g_strcmp0(request->key, request->request_id) != 0);
    return named && request->service != NULL && !request->idempotent;
}

/* Refuses a request before admission.  The outcome is unknown if the request
   may repeat one that ran; no instance ever accepted it if its ticket does not
   authenticate. */
static void
S_refuse(BsEntry *entry, const BsRequest *request, BsErrorKind error)
{
    bool may_have_run = error != BS_ERR_TICKET && S_may_be_resend(request);
    BsOutcome outcome = may_have_run ? BS_OUTCOME_UNKNOWN : BS_OUTCOME_NOT_RUN;
    BsCore_Count(entry->core, "requests_refused", 1);
    if (error == BS_ERR_MEMORY_FULL) {
        BsTally_Answer(entry->core, request, outcome, false);
    }
    BsCore_Emit(entry->core,
                BsCore_CreateError(BS_CALLER_ANSWER, request->request_id, 0,
                                   error, outcome));
}

static uint64_t
S_body_bytes(const BsRequest *request)
{
    return request->body == NULL ? 0 : g_bytes_get_size(request->body);
}

/* Returns the share of the memory limits open to RANK, in percent. */
static uint64_t
S_memory_percent(const BsSheetData *sheet, uint32_t rank)
{
    uint32_t more_urgent = 0;
    for (unsigned i = 0; i < sheet->tiers_count; i++) {
        more_urgent += sheet->tiers[i].rank < rank;
    }
    uint32_t steps = MAX(sheet->tiers_count, 2) - 1;
    return PERCENT - (PERCENT - LEAST_URGENT_PERCENT) * more_urgent / steps;
}

/* Returns why a resolved request is refused, or BS_ERR_NONE; charges the
   account limits if it is admitted. */
static BsErrorKind
S_check_limits(BsEntry *entry, const BsRequest *request)
{
    const BsCoreConfig *config = &entry->core->config;
    const BsSheet *sheet = BsCore_Sheet(entry->core);
    const BsTier *tier = BsSheet_FindTier(sheet, request->tier);
    const BsAccount *account = BsSheet_FindAccount(sheet, request->account);
    uint64_t percent = S_memory_percent(BsSheet_Data(sheet), tier->rank);
    uint64_t bytes = entry->body_bytes + S_body_bytes(request);
    uint64_t held = BsEntry_Count(entry) + BsOnce_Count(entry->core->once);
    if (PERCENT * held >= percent * config->request_limit ||
        PERCENT * bytes > percent * config->queue_bytes) {
        return BS_ERR_MEMORY_FULL;
    }
    if (BsPoison_Judge(entry->core->poison, request) ==
        BS_POISON_QUARANTINED) {
        return BS_ERR_QUARANTINED;
    }
    return BsAccounts_Admit(entry->core->accounts, account, request)
               ? BS_ERR_NONE
               : BS_ERR_ACCOUNT_LIMIT;
}

static BsEntryRequest *
S_admit(BsEntry *entry, BsMessage *forward)
{
    BsEntryRequest *request = g_new0(BsEntryRequest, 1);
    request->request = forward;
    request->tried =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    request->held = BsEntry_CreateHeld();
    request->deadline_ms =
        BsCore_NowMs(entry->core) + forward->u.request.deadline_ms;
    request->body_bytes = S_body_bytes(&forward->u.request);
    entry->body_bytes += request->body_bytes;
    g_hash_table_insert(entry->requests, forward->u.request.request_id,
                        request);
    return request;
}

void
BsEntry_OnRequest(BsEntry *entry, const BsMessage *message)
{
    BsMessage *forward = BsMessage_Copy(message);
    BsRequest *request = &forward->u.request;
    forward->kind = BS_FORWARD;
    BsCore_Count(entry->core, "requests", 1);
    BsErrorKind error = BsEntry_Resolve(entry, request);
    if (BsStop_IsActive(entry->core->stop)) {
        error = BS_ERR_DRAINING;
    }
    if (error == BS_ERR_NONE) {
        error = S_check_limits(entry, request);
    }
    if (error != BS_ERR_NONE) {
        S_refuse(entry, request, error);
        BsMessage_Destroy(forward);
        return;
    }
    g_clear_pointer(&request->token, g_free);
    if (!request->idempotent) {
        BsOnce_Submit(entry->core->once, forward);
        return;
    }
    BsExplain_OnStart(entry->core->explain, request);
    BsRetries_OnRequest(entry->core->retries);
    BsEntry_Forward(entry, S_admit(entry, forward));
}

void
BsEntry_OnCancel(BsEntry *entry, const BsMessage *message)
{
    BsEntryRequest *request = S_find(entry, message->u.cancel.request_id);
    if (request == NULL) {
        return;
    }
    BsCore_Count(entry->core, "callers_gone", 1);
    BsEntry_CancelAttempts(entry, request, BS_ERR_CANCELLED);
    S_remove(entry, request);
}

static void
S_send_flow(BsEntry *entry, const BsEntryRequest *request,
            const BsEntryAttempt *attempt, const BsMessage *message)
{
    BsMessage *flow = BsMessage_Copy(message);
    flow->kind = BS_FLOW;
    flow->u.flow.attempt = attempt->number;
    flow->u.flow.to_stage = request->request->u.request.stage;
    BsCore_Send(entry->core, attempt->owner, attempt->owner_incarnation, flow);
}

void
BsEntry_OnFlow(BsEntry *entry, const BsMessage *message)
{
    BsEntryRequest *request = S_find(entry, message->u.flow.request_id);
    if (request == NULL) {
        return;
    }
    if (request->current.owner != NULL) {
        S_send_flow(entry, request, &request->current, message);
    }
    for (guint i = 0; i < request->held->len; i++) {
        S_send_flow(entry, request, request->held->pdata[i], message);
    }
}

/* Returns whether a message from FROM about attempt NUMBER is about the
   current one. */
static bool
S_is_current(const BsEntryRequest *request, uint32_t number, const char *from)
{
    return request->current.number == number &&
           g_strcmp0(request->current.owner, from) == 0;
}

void
BsEntry_OnAccept(BsEntry *entry, const BsMessage *message)
{
    BsEntryRequest *request = S_find(entry, message->u.accept.request_id);
    if (request == NULL) {
        return;
    }
    if (!S_is_current(request, message->u.accept.attempt, message->from)) {
        BsEntry_OnHeldAccept(entry, request, message);
        return;
    }
    if (message->u.accept.gone) {
        BsEntry_OnAttemptLost(entry, request);
        return;
    }
    request->current.accepted = true;
    request->current.last_received_ms = BsCore_NowMs(entry->core);
    request->current.owner_incarnation = message->from_incarnation;
}

/* Turns PIECE into the next piece for the caller.  Status and content type
   are sent with the first piece only, also when a stream resumes. */
static void
S_prepare_piece(BsEntryRequest *request, BsMessage *piece)
{
    BsAnswer *answer = &piece->u.answer;
    piece->kind = BS_CALLER_ANSWER;
    if (request->next_seq > 0 && answer->error == BS_ERR_NONE) {
        g_clear_pointer(&answer->content_type, g_free);
        answer->status = 0;
    }
    if (answer->outcome == BS_OUTCOME_NOT_RUN && request->maybe_ran) {
        answer->outcome = BS_OUTCOME_UNKNOWN;
    }
    answer->seq = request->next_seq++;
}

/* Keeps the model version that ANSWER names for later forwards.  Until the
   caller has an event, another attempt may begin the stream anew. */
static void
S_keep_version(BsEntryRequest *request, const BsAnswer *answer)
{
    BsRequest *forward = &request->request->u.request;
    if (answer->version != NULL &&
        (forward->version == NULL || request->events == 0)) {
        BsMessage_SetString(&forward->version, answer->version);
    }
}

/* Sends PIECE of the current attempt to the caller, which ends the held ones,
   or starts or resumes another attempt after an error. */
static void
S_relay(BsEntry *entry, BsEntryRequest *request, BsMessage *piece)
{
    const BsAnswer *answer = &piece->u.answer;
    S_keep_version(request, answer);
    if (answer->final && answer->error != BS_ERR_NONE &&
        BsEntry_TryAgain(entry, request, answer)) {
        BsMessage_Destroy(piece);
        return;
    }
    BsEntry_DropHeld(entry, request, BS_ERR_PEER_LOST);
    const BsRequest *wanted = &request->request->u.request;
    bool final = answer->final;
    if (wanted->stream) {
        request->events += BsEvents_Count(answer->data);
    }
    if (request->current.remote && answer->data != NULL) {
        BsLink_Charge(entry->core->link, wanted->tier,
                      g_bytes_get_size(answer->data));
    }
    if (request->next_seq == 0) {
        g_free(piece->u.answer.ticket);
        piece->u.answer.ticket = BsTicket_Issue(entry->core, wanted->account);
    }
    S_prepare_piece(request, piece);
    if (final) {
        BsExplain_OnEnd(entry->core->explain, S_request_id(request), answer,
                        NULL);
        S_count_answer(entry, request, (BsOutcome)answer->outcome);
    }
    BsCore_Emit(entry->core, piece);
    if (final) {
        BsCore_Count(entry->core, "answers_final", 1);
        S_remove(entry, request);
    }
}

/* Stores the piece in MESSAGE; returns whether it is one of the attempt that
   is then the current one. */
static bool
S_take_piece(BsEntry *entry, BsEntryRequest *request, const BsMessage *message)
{
    return S_is_current(request, message->u.answer.attempt, message->from)
               ? BsReorder_Push(request->current.reorder, message)
               : BsEntry_TakeHeldPiece(entry, request, message);
}

void
BsEntry_OnAnswer(BsEntry *entry, const BsMessage *message)
{
    char *id = g_strdup(message->u.answer.request_id);
    BsEntryRequest *request = S_find(entry, id);
    uint32_t attempt = message->u.answer.attempt;
    if (request == NULL || !S_take_piece(entry, request, message)) {
        BsCore_Count(entry->core, "answers_dropped", 1);
        g_free(id);
        return;
    }
    request->current.owner_incarnation = message->from_incarnation;
    request->current.accepted = true;
    request->current.last_received_ms = BsCore_NowMs(entry->core);
    while ((request = S_find(entry, id)) != NULL &&
           request->current.number == attempt) {
        BsMessage *piece = BsReorder_Pop(request->current.reorder);
        if (piece == NULL) {
            break;
        }
        S_relay(entry, request, piece);
    }
    if (request != NULL) {
        bool gap = BsReorder_HasHeld(request->current.reorder);
        int64_t since_ms = request->current.gap_since_ms != 0
                               ? request->current.gap_since_ms
                               : request->current.last_received_ms;
        request->current.gap_since_ms = gap ? since_ms : 0;
    }
    g_free(id);
}

/* Fails a request whose deadline has passed. */
static void
S_expire(BsEntry *entry, BsEntryRequest *request)
{
    BsOutcome outcome = request->attempts == 0 || request->retry_ms != 0
                            ? BS_OUTCOME_NOT_RUN
                            : BS_OUTCOME_UNKNOWN;
    BsEntry_CancelAttempts(entry, request, BS_ERR_DEADLINE);
    BsEntry_Fail(entry, request, BS_ERR_DEADLINE,
                 request->maybe_ran ? BS_OUTCOME_UNKNOWN : outcome);
}

void
BsEntry_GiveUp(BsEntry *entry)
{
    GList *requests = g_hash_table_get_values(entry->requests);
    for (GList *node = requests; node != NULL; node = node->next) {
        BsEntryRequest *request = node->data;
        BsEntry_CancelAttempts(entry, request, BS_ERR_DRAINING);
        BsEntry_Fail(entry, request, BS_ERR_DRAINING, BS_OUTCOME_UNKNOWN);
    }
    g_list_free(requests);
}

void
BsEntry_OnTick(BsEntry *entry)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    if (now_ms - entry->last_tick_ms > PAUSE_MS) {
        entry->running_since_ms = now_ms;
    }
    entry->last_tick_ms = now_ms;
    GList *requests = g_hash_table_get_values(entry->requests);
    for (GList *node = requests; node != NULL; node = node->next) {
        BsEntryRequest *request = node->data;
        if (now_ms > request->deadline_ms + DEADLINE_GRACE_MS) {
            S_expire(entry, request);
        }
        else {
            BsEntry_MonitorAttempt(entry, request);
        }
    }
    g_list_free(requests);
}
