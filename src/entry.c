/* entry.c - requests of callers connected to this instance. */
#include "entry.h"

#include "choice.h"
#include "reorder.h"
#include "schema.h"
#include "token.h"

#include <string.h>

/* Time beyond the deadline in which the owner's own answer may arrive. */
#define DEADLINE_GRACE_MS 250

/* Longest deadline a caller may ask for. */
#define DEADLINE_MAX_MS (24 * 3600 * 1000)

/* Most forwards of one request. */
#define ATTEMPTS_MAX 4

typedef struct {
    BsMessage *request; /* BS_FORWARD; the template of every attempt */
    BsReorder *reorder;
    GHashTable *tried;          /* owners that gave this request back */
    char *child;                /* instance the request was forwarded to */
    uint64_t child_incarnation; /* 0 until the child answered */
    int64_t deadline_ms;        /* on this core's clock */
    uint64_t next_seq;          /* of the next piece to the caller */
    uint32_t attempt;
    bool accepted;
} BsEntryRequest;

struct BsEntry {
    BsCore *core;
    GHashTable *requests; /* request id to BsEntryRequest */
    uint64_t next_id;
};

static void
S_destroy_request(void *data)
{
    BsEntryRequest *request = data;
    BsMessage_Destroy(request->request);
    BsReorder_Destroy(request->reorder);
    g_hash_table_destroy(request->tried);
    g_free(request->child);
    g_free(request);
}

BsEntry *
BsEntry_Create(BsCore *core)
{
    BsEntry *entry = g_new0(BsEntry, 1);
    entry->core = core;
    entry->requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                            S_destroy_request);
    return entry;
}

void
BsEntry_Destroy(BsEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    g_hash_table_destroy(entry->requests);
    g_free(entry);
}

uint32_t
BsEntry_Count(const BsEntry *entry)
{
    return g_hash_table_size(entry->requests);
}

static const char *
S_id(const BsEntryRequest *request)
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

/* Sends a final error to the caller and forgets the request. */
static void
S_fail(BsEntry *entry, BsEntryRequest *request, BsErrorKind error,
       BsOutcome outcome)
{
    BsMessage *answer = BsCore_CreateError(BS_CALLER_ANSWER, S_id(request),
                                           request->attempt, error, outcome);
    answer->u.answer.seq = request->next_seq;
    BsCore_Count(entry->core, "answers_error", 1);
    BsCore_Emit(entry->core, answer);
    g_hash_table_remove(entry->requests, S_id(request));
}

/* Refuses a request that was never admitted. */
static void
S_refuse(BsEntry *entry, const BsRequest *request, BsErrorKind error)
{
    BsCore_Count(entry->core, "requests_refused", 1);
    BsCore_Emit(entry->core,
                BsCore_CreateError(BS_CALLER_ANSWER, request->request_id, 0,
                                   error, BS_OUTCOME_NOT_RUN));
}

static void
S_cancel_child(BsEntry *entry, BsEntryRequest *request, BsErrorKind reason)
{
    if (request->child == NULL) {
        return;
    }
    BsMessage *cancel = BsMessage_Create(BS_CANCEL);
    cancel->u.cancel.request_id = g_strdup(S_id(request));
    cancel->u.cancel.attempt = request->attempt;
    cancel->u.cancel.to_stage = request->request->u.request.stage;
    cancel->u.cancel.reason = reason;
    BsCore_Send(entry->core, request->child, request->child_incarnation,
                cancel);
}

static const char *
S_pick_child(BsEntry *entry, BsEntryRequest *request)
{
    const BsRequest *wanted = &request->request->u.request;
    if (!wanted->idempotent) {
        return BsMembers_KeeperOf(entry->core->members, wanted->account,
                                  wanted->key);
    }
    return BsChoice_PickOwner(entry->core, wanted, request->tried);
}

static void
S_forward(BsEntry *entry, BsEntryRequest *request)
{
    const char *child = S_pick_child(entry, request);
    if (child == NULL) {
        S_fail(entry, request, BS_ERR_NO_UPSTREAM, BS_OUTCOME_NOT_RUN);
        return;
    }
    request->attempt++;
    request->accepted = false;
    request->child_incarnation = 0;
    BsMessage_SetString(&request->child, child);
    BsReorder_Destroy(request->reorder);
    request->reorder = BsReorder_Create();
    BsMessage *forward = BsMessage_Copy(request->request);
    forward->u.request.attempt = request->attempt;
    forward->u.request.deadline_ms =
        request->deadline_ms - BsCore_NowMs(entry->core);
    BsCore_Count(entry->core, "forwards", 1);
    BsCore_Send(entry->core, child, 0, forward);
}

/* Resolves service or model, tier and idempotence from the sheet. */
static BsErrorKind
S_resolve_target(const BsSheet *sheet, BsRequest *request,
                 const BsAccount *account)
{
    const char *tier = account->tier;
    request->idempotent = true;
    if (request->service != NULL) {
        const BsService *service =
            BsSheet_FindService(sheet, request->service);
        if (service == NULL) {
            return BS_ERR_UNKNOWN_SERVICE;
        }
        const BsRoute *route =
            BsSheet_FindRoute(service, request->method, request->path);
        request->idempotent = route != NULL && route->idempotent;
        tier =
            route != NULL && route->tier != NULL ? route->tier : service->tier;
    }
    else {
        const BsModel *model = BsSheet_FindModel(sheet, request->model);
        if (model == NULL) {
            return BS_ERR_UNKNOWN_MODEL;
        }
        if (request->output_tokens == 0) {
            request->output_tokens = model->output_tokens;
        }
    }
    if (request->tier == NULL && tier != NULL) {
        request->tier = g_strdup(tier);
    }
    return BS_ERR_NONE;
}

/* Returns the least urgent tier of SHEET. */
static const BsTier *
S_last_tier(const BsSheet *sheet)
{
    const BsSheetData *data = BsSheet_Data(sheet);
    const BsTier *last = &data->tiers[0];
    for (unsigned i = 1; i < data->tiers_count; i++) {
        if (data->tiers[i].rank > last->rank) {
            last = &data->tiers[i];
        }
    }
    return last;
}

/* Sets the granted tier and the deadline. */
static BsErrorKind
S_resolve_tier(const BsSheet *sheet, BsRequest *request,
               const BsAccount *account)
{
    if (request->tier == NULL) {
        request->tier = g_strdup(S_last_tier(sheet)->name);
    }
    const BsTier *tier = BsSheet_FindTier(sheet, request->tier);
    const BsTier *best = BsSheet_FindTier(sheet, account->tier);
    if (tier == NULL) {
        return BS_ERR_UNKNOWN_TIER;
    }
    if (best != NULL && tier->rank < best->rank) {
        BsMessage_SetString(&request->tier, best->name);
        tier = best;
    }
    if (request->deadline_ms <= 0) {
        request->deadline_ms = tier->deadline_ms;
    }
    request->deadline_ms = MIN(request->deadline_ms, DEADLINE_MAX_MS);
    return BS_ERR_NONE;
}

static BsErrorKind
S_resolve(BsEntry *entry, BsRequest *request)
{
    const BsSheet *sheet = BsCore_Sheet(entry->core);
    if (sheet == NULL || BsMembers_List(entry->core->members) == NULL) {
        return BS_ERR_NOT_READY;
    }
    g_free(request->account);
    request->account =
        BsToken_Resolve(sheet, entry->core->config.secret, request->token);
    const BsAccount *account = BsSheet_FindAccount(sheet, request->account);
    if (account == NULL) {
        return BS_ERR_UNAUTHORIZED;
    }
    BsErrorKind error = S_resolve_target(sheet, request, account);
    if (error != BS_ERR_NONE) {
        return error;
    }
    if (!request->idempotent && request->key == NULL) {
        request->key = g_strdup(request->request_id);
    }
    request->from_stage = BS_STAGE_ENTRY;
    request->stage = request->idempotent ? BS_STAGE_OWNER : BS_STAGE_KEEPER;
    return S_resolve_tier(sheet, request, account);
}

static BsEntryRequest *
S_admit(BsEntry *entry, BsMessage *forward)
{
    BsEntryRequest *request = g_new0(BsEntryRequest, 1);
    request->request = forward;
    request->tried =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    request->deadline_ms =
        BsCore_NowMs(entry->core) + forward->u.request.deadline_ms;
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
    BsErrorKind error = S_resolve(entry, request);
    if (error == BS_ERR_NONE &&
        BsEntry_Count(entry) >= entry->core->config.request_limit) {
        error = BS_ERR_MEMORY_FULL;
    }
    if (error != BS_ERR_NONE) {
        S_refuse(entry, request, error);
        BsMessage_Destroy(forward);
        return;
    }
    g_clear_pointer(&request->token, g_free);
    S_forward(entry, S_admit(entry, forward));
}

void
BsEntry_OnCancel(BsEntry *entry, const BsMessage *message)
{
    BsEntryRequest *request = S_find(entry, message->u.cancel.request_id);
    if (request == NULL) {
        return;
    }
    BsCore_Count(entry->core, "callers_gone", 1);
    if (request->request->u.request.idempotent) {
        S_cancel_child(entry, request, BS_ERR_CANCELLED);
    }
    g_hash_table_remove(entry->requests, message->u.cancel.request_id);
}

void
BsEntry_OnFlow(BsEntry *entry, const BsMessage *message)
{
    BsEntryRequest *request = S_find(entry, message->u.flow.request_id);
    if (request == NULL || request->child == NULL) {
        return;
    }
    BsMessage *flow = BsMessage_Copy(message);
    flow->kind = BS_FLOW;
    flow->u.flow.attempt = request->attempt;
    flow->u.flow.to_stage = request->request->u.request.stage;
    BsCore_Send(entry->core, request->child, request->child_incarnation, flow);
}

void
BsEntry_OnAccept(BsEntry *entry, const BsMessage *message)
{
    BsEntryRequest *request = S_find(entry, message->u.accept.request_id);
    if (request == NULL || request->attempt != message->u.accept.attempt) {
        return;
    }
    request->accepted = true;
    request->child_incarnation = message->from_incarnation;
}

/* Returns whether a failed attempt may be repeated. */
static bool
S_may_retry(BsEntry *entry, const BsEntryRequest *request,
            const BsAnswer *answer)
{
    bool transient = answer->error == BS_ERR_CONNECT ||
                     answer->error == BS_ERR_UPSTREAM_REFUSED ||
                     answer->error == BS_ERR_NO_UPSTREAM ||
                     answer->error == BS_ERR_UPSTREAM_FAILED ||
                     answer->error == BS_ERR_DRAINING;
    return transient && request->request->u.request.idempotent &&
           request->next_seq == 0 && request->attempt < ATTEMPTS_MAX &&
           BsCore_NowMs(entry->core) < request->deadline_ms;
}

/* Passes one piece to the caller, or tries another owner. */
static void
S_relay(BsEntry *entry, BsEntryRequest *request, BsMessage *piece)
{
    BsAnswer *answer = &piece->u.answer;
    if (answer->final && S_may_retry(entry, request, answer)) {
        g_hash_table_add(request->tried, g_strdup(request->child));
        BsCore_Count(entry->core, "retries", 1);
        BsMessage_Destroy(piece);
        S_forward(entry, request);
        return;
    }
    bool final = answer->final;
    piece->kind = BS_CALLER_ANSWER;
    answer->seq = request->next_seq++;
    BsCore_Emit(entry->core, piece);
    if (final) {
        BsCore_Count(entry->core, "answers_final", 1);
        g_hash_table_remove(entry->requests, S_id(request));
    }
}

void
BsEntry_OnAnswer(BsEntry *entry, const BsMessage *message)
{
    char *id = g_strdup(message->u.answer.request_id);
    BsEntryRequest *request = S_find(entry, id);
    uint32_t attempt = message->u.answer.attempt;
    if (request == NULL || request->attempt != attempt ||
        g_strcmp0(request->child, message->from) != 0 ||
        !BsReorder_Push(request->reorder, message)) {
        BsCore_Count(entry->core, "answers_dropped", 1);
        g_free(id);
        return;
    }
    request->child_incarnation = message->from_incarnation;
    while ((request = S_find(entry, id)) != NULL &&
           request->attempt == attempt) {
        BsMessage *piece = BsReorder_Pop(request->reorder);
        if (piece == NULL) {
            break;
        }
        S_relay(entry, request, piece);
    }
    g_free(id);
}

void
BsEntry_OnTick(BsEntry *entry)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    GList *requests = g_hash_table_get_values(entry->requests);
    for (GList *node = requests; node != NULL; node = node->next) {
        BsEntryRequest *request = node->data;
        if (now_ms > request->deadline_ms + DEADLINE_GRACE_MS) {
            S_cancel_child(entry, request, BS_ERR_DEADLINE);
            S_fail(entry, request, BS_ERR_DEADLINE, BS_OUTCOME_UNKNOWN);
        }
    }
    g_list_free(requests);
}
