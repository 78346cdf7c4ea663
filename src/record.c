/* record.c - the keeper's table of records, one per idempotency key. */
#include "record.h"

#include "schema.h"

/* Counted for a record in addition to its body and answer, in bytes. */
#define RECORD_BYTES 512

struct BsRecords {
    GHashTable *scopes; /* scope to BsRecord */
    GHashTable *runs;   /* run id to BsRecord */
    GHashTable *open;   /* scope to BsRecord without an outcome */
    GQueue finished;    /* BsExpiry of requests that may have run */
    GQueue refused;     /* BsExpiry of requests that did not run */
    uint64_t bytes;
    uint64_t max_bytes;
    uint32_t limit;
};

/* When a finished record may be removed. */
typedef struct {
    char *scope;
    int64_t expires_ms;
} BsExpiry;

static void
S_destroy_expiry(void *data)
{
    BsExpiry *expiry = data;
    g_free(expiry->scope);
    g_free(expiry);
}

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
    g_free(record->account);
    g_free(record->key);
    g_free(record->body_hash);
    g_free(record->run_id);
    g_free(record->owner);
    g_free(record->keeper);
    g_free(record->witness);
    g_free(record->detail);
    BsMessage_Destroy(record->request);
    BsSpanScope_Clear(&record->span);
    BsReorder_Destroy(record->reorder);
    g_ptr_array_unref(record->pieces);
    g_ptr_array_unref(record->waiters);
    if (record->unknown_waiters != NULL) {
        g_ptr_array_unref(record->unknown_waiters);
    }
    g_hash_table_destroy(record->tried);
    g_free(record);
}

BsRecords *
BsRecords_Create(uint32_t limit, uint64_t max_bytes)
{
    BsRecords *records = g_new0(BsRecords, 1);
    records->scopes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_record);
    records->runs = g_hash_table_new(g_str_hash, g_str_equal);
    records->open = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&records->finished);
    g_queue_init(&records->refused);
    records->limit = limit;
    records->max_bytes = max_bytes;
    return records;
}

void
BsRecords_Destroy(BsRecords *records)
{
    if (records == NULL) {
        return;
    }
    g_hash_table_destroy(records->open);
    g_hash_table_destroy(records->runs);
    g_hash_table_destroy(records->scopes);
    g_queue_clear_full(&records->finished, S_destroy_expiry);
    g_queue_clear_full(&records->refused, S_destroy_expiry);
    g_free(records);
}

bool
BsRecords_HasRoom(const BsRecords *records)
{
    return g_hash_table_size(records->scopes) < records->limit &&
           records->bytes < records->max_bytes;
}

static void
S_change_bytes(BsRecords *records, BsRecord *record, uint64_t bytes)
{
    records->bytes += bytes - record->bytes;
    record->bytes = bytes;
}

BsRecord *
BsRecords_Add(BsRecords *records, const char *account, const char *key)
{
    BsRecord *record = g_new0(BsRecord, 1);
    record->scope = g_strdup_printf("%s\n%s", account, key);
    record->account = g_strdup(account);
    record->key = g_strdup(key);
    record->reorder = BsReorder_Create();
    record->pieces =
        g_ptr_array_new_with_free_func((GDestroyNotify)BsMessage_Destroy);
    record->waiters = g_ptr_array_new_with_free_func(S_destroy_waiter);
    record->tried =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(records->scopes, record->scope, record);
    g_hash_table_insert(records->open, record->scope, record);
    S_change_bytes(records, record, RECORD_BYTES);
    return record;
}

void
BsRecords_Remove(BsRecords *records, BsRecord *record)
{
    S_change_bytes(records, record, 0);
    g_hash_table_remove(records->open, record->scope);
    if (record->run_id != NULL) {
        g_hash_table_remove(records->runs, record->run_id);
    }
    g_hash_table_remove(records->scopes, record->scope);
}

BsRecord *
BsRecords_Find(const BsRecords *records, const char *account, const char *key)
{
    char *scope = g_strdup_printf("%s\n%s", account, key);
    BsRecord *record = g_hash_table_lookup(records->scopes, scope);
    g_free(scope);
    return record;
}

BsRecord *
BsRecords_FindRun(const BsRecords *records, const char *run_id)
{
    return run_id == NULL ? NULL : g_hash_table_lookup(records->runs, run_id);
}

void
BsRecords_SetRun(BsRecords *records, BsRecord *record, const char *run_id)
{
    if (record->run_id != NULL) {
        g_hash_table_remove(records->runs, record->run_id);
    }
    BsMessage_SetString(&record->run_id, run_id);
    g_hash_table_insert(records->runs, record->run_id, record);
}

static uint64_t
S_piece_bytes(const BsMessage *piece)
{
    GBytes *data = piece->u.answer.data;
    return sizeof(*piece) + (data == NULL ? 0 : g_bytes_get_size(data));
}

void
BsRecords_AddPiece(BsRecords *records, BsRecord *record, BsMessage *piece)
{
    g_ptr_array_add(record->pieces, piece);
    S_change_bytes(records, record, record->bytes + S_piece_bytes(piece));
}

void
BsRecords_SetRequest(BsRecords *records, BsRecord *record, BsMessage *forward)
{
    uint64_t bytes = record->bytes;
    if (record->request != NULL && record->request->u.request.body != NULL) {
        bytes -= g_bytes_get_size(record->request->u.request.body);
    }
    BsMessage_Destroy(record->request);
    record->request = forward;
    if (forward != NULL && forward->u.request.body != NULL) {
        bytes += g_bytes_get_size(forward->u.request.body);
    }
    S_change_bytes(records, record, bytes);
}

void
BsRecords_Finish(BsRecords *records, BsRecord *record, BsOutcome outcome,
                 int64_t expires_ms)
{
    record->state = BS_RECORD_FINISHED;
    record->outcome = outcome;
    record->expires_ms = expires_ms;
    BsRecords_SetRequest(records, record, NULL);
    g_hash_table_remove(records->open, record->scope);
    BsExpiry *expiry = g_new0(BsExpiry, 1);
    expiry->scope = g_strdup(record->scope);
    expiry->expires_ms = expires_ms;
    g_queue_push_tail(outcome == BS_OUTCOME_NOT_RUN ? &records->refused
                                                    : &records->finished,
                      expiry);
}

/* Removes the record of EXPIRY unless the key has a newer record or the time
   was extended. */
static void
S_expire_one(BsRecords *records, const BsExpiry *expiry, int64_t now_ms)
{
    BsRecord *record = g_hash_table_lookup(records->scopes, expiry->scope);
    if (record != NULL && record->state == BS_RECORD_FINISHED &&
        record->expires_ms <= now_ms) {
        BsRecords_Remove(records, record);
    }
}

static void
S_expire_queue(BsRecords *records, GQueue *queue, int64_t now_ms)
{
    BsExpiry *expiry;
    while ((expiry = g_queue_peek_head(queue)) != NULL &&
           expiry->expires_ms <= now_ms) {
        g_queue_pop_head(queue);
        S_expire_one(records, expiry, now_ms);
        S_destroy_expiry(expiry);
    }
}

void
BsRecords_Expire(BsRecords *records, int64_t now_ms)
{
    S_expire_queue(records, &records->finished, now_ms);
    S_expire_queue(records, &records->refused, now_ms);
}

GList *
BsRecords_List(const BsRecords *records)
{
    return g_hash_table_get_values(records->scopes);
}

GList *
BsRecords_ListOpen(const BsRecords *records)
{
    return g_hash_table_get_values(records->open);
}

uint32_t
BsRecords_Count(const BsRecords *records)
{
    return g_hash_table_size(records->scopes);
}

BsWaiter *
BsRecord_AddWaiter(BsRecord *record, const BsMessage *forward)
{
    const BsRequest *request = &forward->u.request;
    for (guint i = 0; i < record->waiters->len; i++) {
        BsWaiter *known = record->waiters->pdata[i];
        if (g_strcmp0(known->request_id, request->request_id) == 0 &&
            known->incarnation == forward->from_incarnation) {
            known->attempt = request->attempt;
            return known;
        }
    }
    BsWaiter *waiter = g_new0(BsWaiter, 1);
    waiter->instance = g_strdup(forward->from);
    waiter->incarnation = forward->from_incarnation;
    waiter->request_id = g_strdup(request->request_id);
    waiter->attempt = request->attempt;
    g_ptr_array_add(record->waiters, waiter);
    return waiter;
}

GPtrArray *
BsRecord_CopyWaiters(const BsRecord *record)
{
    GPtrArray *copies = g_ptr_array_new_with_free_func(S_destroy_waiter);
    for (guint i = 0; i < record->waiters->len; i++) {
        const BsWaiter *waiter = record->waiters->pdata[i];
        BsWaiter *copy = g_memdup2(waiter, sizeof(*waiter));
        copy->instance = g_strdup(waiter->instance);
        copy->request_id = g_strdup(waiter->request_id);
        g_ptr_array_add(copies, copy);
    }
    return copies;
}

GPtrArray *
BsRecord_TakeWaiters(BsRecord *record)
{
    GPtrArray *waiters = record->waiters;
    record->waiters = g_ptr_array_new_with_free_func(S_destroy_waiter);
    return waiters;
}

/* Returns the data of all pieces as one byte string. */
static GBytes *
S_join_pieces(const BsRecord *record)
{
    GByteArray *joined = g_byte_array_new();
    for (guint i = 0; i < record->pieces->len; i++) {
        const BsMessage *piece = record->pieces->pdata[i];
        if (piece->u.answer.data != NULL) {
            gsize size;
            const guint8 *data = g_bytes_get_data(piece->u.answer.data, &size);
            g_byte_array_append(joined, data, (guint)size);
        }
    }
    return g_byte_array_free_to_bytes(joined);
}

BsNote *
BsRecord_CreateNote(const BsRecord *record, const char *keeper,
                    uint64_t incarnation, bool with_answer)
{
    BsNote *note = g_new0(BsNote, 1);
    note->account = g_strdup(record->account);
    note->key = g_strdup(record->key);
    note->body_hash = g_strdup(record->body_hash);
    note->request_id = g_strdup(record->run_id);
    note->keeper = g_strdup(keeper);
    note->keeper_incarnation = incarnation;
    note->state = record->state;
    note->outcome = record->outcome;
    if (with_answer && record->complete && !record->answer_lost) {
        const BsMessage *first = record->pieces->pdata[0];
        note->status = first->u.answer.status;
        note->content_type = g_strdup(first->u.answer.content_type);
        note->answer = S_join_pieces(record);
    }
    return note;
}
