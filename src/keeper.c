/* keeper.c - runs each non-idempotent request at most once. */
#include "keeper.h"

#include "choice.h"
#include "reorder.h"

#include <string.h>

/* A hop that waits for the answer of a record. */
typedef struct {
    char *instance;
    uint64_t incarnation;
    char *request_id;
    uint32_t attempt;
    uint64_t next_seq;
} BsWaiter;

typedef struct {
    char *scope; /* account and key */
    char *body_hash;
    char *run_id; /* request id the work runs under */
    BsReorder *reorder;
    GPtrArray *pieces;  /* BsMessage, in order */
    GPtrArray *waiters; /* BsWaiter */
    bool finished;
} BsRecord;

struct BsKeeper {
    BsCore *core;
    GHashTable *records; /* scope to BsRecord */
    GHashTable *runs;    /* run id to BsRecord */
};

static void
S_destroy_waiter(void *data)
{
    BsWaiter *waiter = data;
    g_free(waiter->instance);
    g_free(waiter->request_id);
    g_free(waiter);
}

static void
S_destroy_record(void *data)
{
    BsRecord *record = data;
    g_free(record->scope);
    g_free(record->body_hash);
    g_free(record->run_id);
    BsReorder_Destroy(record->reorder);
    g_ptr_array_unref(record->pieces);
    g_ptr_array_unref(record->waiters);
    g_free(record);
}

BsKeeper *
BsKeeper_Create(BsCore *core)
{
    BsKeeper *keeper = g_new0(BsKeeper, 1);
    keeper->core = core;
    keeper->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_record);
    keeper->runs = g_hash_table_new(g_str_hash, g_str_equal);
    return keeper;
}

void
BsKeeper_Destroy(BsKeeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    g_hash_table_destroy(keeper->runs);
    g_hash_table_destroy(keeper->records);
    g_free(keeper);
}

static char *
S_hash_body(const BsRequest *request)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(checksum, (const guchar *)request->method, -1);
    g_checksum_update(checksum, (const guchar *)"\n", 1);
    g_checksum_update(checksum, (const guchar *)request->path, -1);
    g_checksum_update(checksum, (const guchar *)"\n", 1);
    if (request->body != NULL) {
        gsize size;
        const void *data = g_bytes_get_data(request->body, &size);
        g_checksum_update(checksum, data, (gssize)size);
    }
    char *hash = g_strdup(g_checksum_get_string(checksum));
    g_checksum_free(checksum);
    return hash;
}

/* Sends the pieces that WAITER has not got yet. */
static void
S_serve(BsKeeper *keeper, const BsRecord *record, BsWaiter *waiter)
{
    while (waiter->next_seq < record->pieces->len) {
        const BsMessage *piece = record->pieces->pdata[waiter->next_seq];
        BsMessage *copy = BsMessage_Copy(piece);
        copy->kind = BS_ANSWER;
        BsMessage_SetString(&copy->u.answer.request_id, waiter->request_id);
        copy->u.answer.seq = waiter->next_seq++;
        copy->u.answer.attempt = waiter->attempt;
        copy->u.answer.to_stage = BS_STAGE_ENTRY;
        BsCore_Send(keeper->core, waiter->instance, waiter->incarnation, copy);
    }
}

static void
S_add_waiter(BsKeeper *keeper, BsRecord *record, const BsMessage *message)
{
    BsWaiter *waiter = g_new0(BsWaiter, 1);
    waiter->instance = g_strdup(message->from);
    waiter->incarnation = message->from_incarnation;
    waiter->request_id = g_strdup(message->u.request.request_id);
    waiter->attempt = message->u.request.attempt;
    g_ptr_array_add(record->waiters, waiter);
    S_serve(keeper, record, waiter);
}

static void
S_reject(BsKeeper *keeper, const BsMessage *message, BsErrorKind error,
         BsOutcome outcome)
{
    const BsRequest *request = &message->u.request;
    BsMessage *answer = BsCore_CreateError(BS_ANSWER, request->request_id,
                                           request->attempt, error, outcome);
    answer->u.answer.to_stage = request->from_stage;
    BsCore_Send(keeper->core, message->from, message->from_incarnation,
                answer);
}

static void
S_accept(BsKeeper *keeper, const BsMessage *message)
{
    BsMessage *accept = BsMessage_Create(BS_ACCEPT);
    accept->u.accept.request_id = g_strdup(message->u.request.request_id);
    accept->u.accept.attempt = message->u.request.attempt;
    accept->u.accept.to_stage = message->u.request.from_stage;
    BsCore_Send(keeper->core, message->from, message->from_incarnation,
                accept);
}

static BsRecord *
S_create_record(BsKeeper *keeper, const BsRequest *request, char *scope,
                char *body_hash)
{
    BsRecord *record = g_new0(BsRecord, 1);
    record->scope = scope;
    record->body_hash = body_hash;
    record->run_id = g_strdup(request->request_id);
    record->reorder = BsReorder_Create();
    record->pieces =
        g_ptr_array_new_with_free_func((GDestroyNotify)BsMessage_Destroy);
    record->waiters = g_ptr_array_new_with_free_func(S_destroy_waiter);
    g_hash_table_insert(keeper->records, record->scope, record);
    g_hash_table_insert(keeper->runs, record->run_id, record);
    return record;
}

static void
S_dispatch(BsKeeper *keeper, const BsMessage *message, const char *owner)
{
    BsMessage *forward = BsMessage_Copy(message);
    forward->u.request.from_stage = BS_STAGE_KEEPER;
    forward->u.request.stage = BS_STAGE_OWNER;
    forward->u.request.attempt = 1;
    BsCore_Send(keeper->core, owner, 0, forward);
}

static void
S_start(BsKeeper *keeper, const BsMessage *message, char *scope,
        char *body_hash)
{
    const BsRequest *request = &message->u.request;
    const char *owner = BsChoice_PickOwner(keeper->core, request, NULL);
    if (owner == NULL || g_hash_table_size(keeper->records) >=
                             keeper->core->config.record_limit) {
        S_reject(keeper, message,
                 owner == NULL ? BS_ERR_NO_UPSTREAM : BS_ERR_MEMORY_FULL,
                 BS_OUTCOME_NOT_RUN);
        g_free(scope);
        g_free(body_hash);
        return;
    }
    BsRecord *record = S_create_record(keeper, request, scope, body_hash);
    S_add_waiter(keeper, record, message);
    S_dispatch(keeper, message, owner);
}

void
BsKeeper_OnForward(BsKeeper *keeper, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (request->request_id == NULL || request->account == NULL ||
        request->key == NULL || request->method == NULL ||
        request->path == NULL) {
        BsCore_Count(keeper->core, "peer_messages_dropped", 1);
        return;
    }
    char *scope = g_strdup_printf("%s\n%s", request->account, request->key);
    char *body_hash = S_hash_body(request);
    BsRecord *record = g_hash_table_lookup(keeper->records, scope);
    S_accept(keeper, message);
    if (record == NULL) {
        S_start(keeper, message, scope, body_hash);
        return;
    }
    if (strcmp(record->body_hash, body_hash) != 0) {
        S_reject(keeper, message, BS_ERR_KEY_CONFLICT, BS_OUTCOME_NOT_RUN);
    }
    else {
        BsCore_Count(keeper->core, "keys_joined", 1);
        S_add_waiter(keeper, record, message);
    }
    g_free(scope);
    g_free(body_hash);
}

void
BsKeeper_OnAnswer(BsKeeper *keeper, const BsMessage *message)
{
    const char *id = message->u.answer.request_id;
    BsRecord *record =
        id == NULL ? NULL : g_hash_table_lookup(keeper->runs, id);
    if (record == NULL || record->finished ||
        !BsReorder_Push(record->reorder, message)) {
        BsCore_Count(keeper->core, "answers_dropped", 1);
        return;
    }
    BsMessage *piece;
    while ((piece = BsReorder_Pop(record->reorder)) != NULL) {
        record->finished = record->finished || piece->u.answer.final;
        g_ptr_array_add(record->pieces, piece);
    }
    for (guint i = 0; i < record->waiters->len; i++) {
        S_serve(keeper, record, record->waiters->pdata[i]);
    }
}

void
BsKeeper_OnAccept(BsKeeper *keeper, const BsMessage *message)
{
    (void)keeper;
    (void)message;
}

void
BsKeeper_OnCancel(BsKeeper *keeper, const BsMessage *message)
{
    (void)keeper;
    (void)message;
}

void
BsKeeper_OnFlow(BsKeeper *keeper, const BsMessage *message)
{
    (void)keeper;
    (void)message;
}

void
BsKeeper_OnTick(BsKeeper *keeper)
{
    (void)keeper;
}

void
BsKeeper_AppendNotes(BsKeeper *keeper, const char *instance, GPtrArray *list)
{
    (void)keeper;
    (void)instance;
    (void)list;
}

void
BsKeeper_OnNotes(BsKeeper *keeper, const BsMessage *message)
{
    (void)keeper;
    (void)message;
}
