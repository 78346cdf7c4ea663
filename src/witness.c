/* witness.c - notes of requests that have another instance as keeper. */
#include "witness.h"

#include "schema.h"

/* A note and the number of its attempts without a final answer. */
typedef struct {
    char *scope;
    BsNote *note; /* state SENT or FINISHED */
    int64_t seen_ms;
    uint32_t pending;
    GList *link; /* in the order queue */
} BsWitnessed;

struct BsWitness {
    BsCore *core;
    GHashTable *scopes; /* account and key to GPtrArray of BsWitnessed */
    GQueue order;       /* BsWitnessed, oldest first */
};

static void
S_destroy(void *data)
{
    BsWitnessed *witnessed = data;
    BsSchema_Clear(&bs_schema_note, witnessed->note);
    g_free(witnessed->note);
    g_free(witnessed->scope);
    g_free(witnessed);
}

BsWitness *
BsWitness_Create(BsCore *core)
{
    BsWitness *witness = g_new0(BsWitness, 1);
    witness->core = core;
    witness->scopes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref);
    g_queue_init(&witness->order);
    return witness;
}

void
BsWitness_Destroy(BsWitness *witness)
{
    if (witness == NULL) {
        return;
    }
    g_queue_clear(&witness->order);
    g_hash_table_destroy(witness->scopes);
    g_free(witness);
}

static GPtrArray *
S_lookup(const BsWitness *witness, const char *account, const char *key)
{
    char *scope = g_strdup_printf("%s\n%s", account, key);
    GPtrArray *list = g_hash_table_lookup(witness->scopes, scope);
    g_free(scope);
    return list;
}

static bool
S_is_same(const BsNote *left, const BsNote *right)
{
    return g_strcmp0(left->body_hash, right->body_hash) == 0 &&
           g_strcmp0(left->keeper, right->keeper) == 0 &&
           left->keeper_incarnation == right->keeper_incarnation;
}

static BsWitnessed *
S_find(const BsWitness *witness, const BsNote *note)
{
    GPtrArray *list = S_lookup(witness, note->account, note->key);
    for (guint i = 0; list != NULL && i < list->len; i++) {
        BsWitnessed *witnessed = list->pdata[i];
        if (S_is_same(witnessed->note, note)) {
            return witnessed;
        }
    }
    return NULL;
}

static BsWitnessed *
S_insert(BsWitness *witness, const BsNote *note)
{
    BsWitnessed *witnessed = g_new0(BsWitnessed, 1);
    witnessed->scope = g_strdup_printf("%s\n%s", note->account, note->key);
    witnessed->note = g_new0(BsNote, 1);
    BsSchema_Copy(&bs_schema_note, witnessed->note, note);
    GPtrArray *list = g_hash_table_lookup(witness->scopes, witnessed->scope);
    if (list == NULL) {
        list = g_ptr_array_new_with_free_func(S_destroy);
        g_hash_table_insert(witness->scopes, g_strdup(witnessed->scope), list);
    }
    g_ptr_array_add(list, witnessed);
    g_queue_push_tail(&witness->order, witnessed);
    witnessed->link = witness->order.tail;
    return witnessed;
}

bool
BsWitness_Add(BsWitness *witness, const BsNote *note)
{
    BsWitnessed *witnessed = S_find(witness, note);
    if (witnessed == NULL) {
        if (witness->order.length >= witness->core->config.record_limit) {
            BsCore_Count(witness->core, "witness_table_full", 1);
            return false;
        }
        witnessed = S_insert(witness, note);
    }
    else {
        g_queue_unlink(&witness->order, witnessed->link);
        g_queue_push_tail_link(&witness->order, witnessed->link);
    }
    witnessed->seen_ms = BsCore_NowMs(witness->core);
    if (witnessed->pending > 0 &&
        g_strcmp0(witnessed->note->request_id, note->request_id) == 0) {
        return true;
    }
    BsMessage_SetString(&witnessed->note->request_id, note->request_id);
    witnessed->pending++;
    if (witnessed->note->outcome == BS_OUTCOME_NOT_RUN) {
        witnessed->note->outcome = BS_OUTCOME_NONE;
    }
    witnessed->note->state = BS_RECORD_SENT;
    return true;
}

static void
S_finish(BsWitnessed *witnessed, BsOutcome outcome)
{
    BsNote *note = witnessed->note;
    if (witnessed->pending > 0) {
        witnessed->pending--;
    }
    if (outcome == BS_OUTCOME_RAN || note->outcome == BS_OUTCOME_RAN) {
        note->outcome = BS_OUTCOME_RAN;
    }
    else if (outcome == BS_OUTCOME_UNKNOWN ||
             note->outcome == BS_OUTCOME_UNKNOWN) {
        note->outcome = BS_OUTCOME_UNKNOWN;
    }
    else if (witnessed->pending == 0) {
        note->outcome = BS_OUTCOME_NOT_RUN;
    }
    if (witnessed->pending == 0 || note->outcome == BS_OUTCOME_RAN) {
        note->state = BS_RECORD_FINISHED;
    }
}

void
BsWitness_Finish(BsWitness *witness, const BsNote *note, BsOutcome outcome)
{
    BsWitnessed *witnessed = S_find(witness, note);
    if (witnessed != NULL) {
        S_finish(witnessed, outcome);
    }
}

const BsNote *
BsWitness_FindOther(BsWitness *witness, const char *account, const char *key,
                    const char *keeper, uint64_t incarnation)
{
    GPtrArray *list = S_lookup(witness, account, key);
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const BsNote *note = ((BsWitnessed *)list->pdata[i])->note;
        bool same = g_strcmp0(note->keeper, keeper) == 0 &&
                    note->keeper_incarnation == incarnation;
        if (!same && note->outcome != BS_OUTCOME_NOT_RUN) {
            return note;
        }
    }
    return NULL;
}

bool
BsWitness_HasRun(BsWitness *witness, const char *account, const char *key,
                 const char *body_hash)
{
    GPtrArray *list = S_lookup(witness, account, key);
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const BsNote *note = ((BsWitnessed *)list->pdata[i])->note;
        if (note->outcome == BS_OUTCOME_RAN &&
            g_strcmp0(note->body_hash, body_hash) == 0) {
            return true;
        }
    }
    return false;
}

static void
S_append(const BsWitness *witness, const BsWitnessed *witnessed,
         GPtrArray *notes)
{
    BsNote *copy = g_new0(BsNote, 1);
    BsSchema_Copy(&bs_schema_note, copy, witnessed->note);
    copy->age_ms = BsCore_NowMs(witness->core) - witnessed->seen_ms;
    g_ptr_array_add(notes, copy);
}

void
BsWitness_AppendNotes(BsWitness *witness, const char *instance,
                      GPtrArray *notes)
{
    for (GList *node = witness->order.head; node != NULL; node = node->next) {
        const BsWitnessed *witnessed = node->data;
        const BsNote *note = witnessed->note;
        const char *keeper = BsMembers_KeeperOf(witness->core->members,
                                                note->account, note->key);
        if (note->outcome != BS_OUTCOME_NOT_RUN &&
            g_strcmp0(keeper, instance) == 0) {
            S_append(witness, witnessed, notes);
        }
    }
}

/* Records an outcome reported by the keeper unless a newer attempt is in
   progress. */
static void
S_finish_remote(BsWitness *witness, const BsNote *note)
{
    BsWitnessed *witnessed = S_find(witness, note);
    if (witnessed != NULL &&
        g_strcmp0(witnessed->note->request_id, note->request_id) == 0) {
        S_finish(witnessed, note->outcome);
    }
}

void
BsWitness_OnMessage(BsWitness *witness, const BsMessage *message)
{
    const BsNote *note = &message->u.note;
    if (note->account == NULL || note->key == NULL || note->keeper == NULL) {
        BsCore_Count(witness->core, "peer_messages_dropped", 1);
        return;
    }
    BsMessage *reply = BsMessage_Copy(message);
    if (note->state == BS_RECORD_FINISHED) {
        S_finish_remote(witness, note);
        BsMessage_Destroy(reply);
        return;
    }
    if (!BsWitness_Add(witness, note)) {
        BsMessage_Destroy(reply);
        return;
    }
    reply->kind = BS_WITNESS_ACK;
    BsCore_Send(witness->core, message->from, message->from_incarnation,
                reply);
}

void
BsWitness_OnTick(BsWitness *witness)
{
    int64_t oldest_ms =
        BsCore_NowMs(witness->core) - witness->core->config.resend_window_ms;
    BsWitnessed *witnessed;
    while ((witnessed = g_queue_peek_head(&witness->order)) != NULL &&
           witnessed->seen_ms < oldest_ms) {
        g_queue_pop_head(&witness->order);
        GPtrArray *list =
            g_hash_table_lookup(witness->scopes, witnessed->scope);
        if (list->len == 1) {
            char *scope = g_strdup(witnessed->scope);
            g_hash_table_remove(witness->scopes, scope);
            g_free(scope);
        }
        else {
            g_ptr_array_remove(list, witnessed);
        }
    }
}
