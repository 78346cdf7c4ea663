/* explain.c - status and outcome of each request, for callers and
   operators. */
#include "explain.h"

#include "history.h"
#include "keeper.h"
#include "token.h"

#include <jansson.h>
#include <string.h>

/* How long a query waits for replies of other instances. */
#define QUERY_WAIT_MS 1000

/* Limit of queries that wait at the same time. */
#define QUERIES_MAX 1024

#define STATUS_OK 200
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404
#define STATUS_BUSY 503

/* Values of "what" in queries between instances: the outcome that a keeper has
   recorded for a key, and the status of a request.  The argument of the first
   has KEY_PARTS lines: request id, account and key. */
#define WHAT_KEY "key"
#define KEY_PARTS 3
#define WHAT_REQUEST "request"

/* A query that waits for replies of other instances. */
typedef struct {
    char *query_id;
    char *peer; /* instance that sent the query, or NULL for a local one */
    uint64_t peer_incarnation;
    char *history_id; /* local history to reply with, or NULL */
    int64_t until_ms;
    uint32_t replies_due;
} BsPending;

struct BsExplain {
    BsCore *core;
    GHashTable *histories; /* request id to BsHistory */
    GQueue order;          /* BsHistory, oldest first */
    GHashTable *pending;   /* own query id to BsPending */
    uint64_t next_query;
};

static void
S_destroy_pending(void *data)
{
    BsPending *pending = data;
    g_free(pending->query_id);
    g_free(pending->peer);
    g_free(pending->history_id);
    g_free(pending);
}

BsExplain *
BsExplain_Create(BsCore *core)
{
    BsExplain *explain = g_new0(BsExplain, 1);
    explain->core = core;
    explain->histories = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                               BsHistory_Destroy);
    explain->pending = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             S_destroy_pending);
    g_queue_init(&explain->order);
    return explain;
}

void
BsExplain_Destroy(BsExplain *explain)
{
    if (explain == NULL) {
        return;
    }
    g_queue_clear(&explain->order);
    g_hash_table_destroy(explain->histories);
    g_hash_table_destroy(explain->pending);
    g_free(explain);
}

/* ---------------------------------------------------------------------- */
/* Histories                                                               */
/* ---------------------------------------------------------------------- */

static void
S_drop_oldest(BsExplain *explain)
{
    BsHistory *history = g_queue_pop_head(&explain->order);
    g_hash_table_remove(explain->histories, history->id);
}

void
BsExplain_OnStart(BsExplain *explain, const BsRequest *request)
{
    const char *id = request->request_id;
    if (id == NULL || g_hash_table_contains(explain->histories, id)) {
        return;
    }
    BsHistory *history =
        BsHistory_Create(request, BsCore_NowMs(explain->core));
    g_hash_table_insert(explain->histories, history->id, history);
    g_queue_push_tail(&explain->order, history);
    if (explain->order.length > explain->core->config.request_limit) {
        S_drop_oldest(explain);
    }
}

void
BsExplain_OnEnd(BsExplain *explain, const char *request_id,
                const BsAnswer *answer, const char *keeper)
{
    BsHistory *history = g_hash_table_lookup(explain->histories, request_id);
    if (history == NULL) {
        return;
    }
    history->end_ms = BsCore_NowMs(explain->core);
    history->outcome = answer->outcome;
    history->error = answer->error;
    history->queued_ms = answer->queued_ms;
    BsMessage_SetString(&history->keeper, keeper);
    BsMessage_SetString(&history->upstream, answer->upstream);
}

void
BsExplain_OnLateOutcome(BsExplain *explain, const BsMessage *message)
{
    const BsAnswer *answer = &message->u.answer;
    BsHistory *history =
        answer->request_id == NULL
            ? NULL
            : g_hash_table_lookup(explain->histories, answer->request_id);
    if (history == NULL || !answer->final || history->idempotent ||
        history->outcome != BS_OUTCOME_UNKNOWN ||
        g_strcmp0(history->keeper, message->from) != 0) {
        return;
    }
    if (answer->outcome == BS_OUTCOME_RAN ||
        answer->outcome == BS_OUTCOME_NOT_RUN) {
        BsCore_Count(explain->core, "outcomes_settled_late", 1);
        history->outcome = answer->outcome;
    }
}

static GBytes *
S_error_body(BsErrorKind error)
{
    const BsErrorText *text = BsError_Describe(error);
    return BsHistory_ToBytes(json_pack("{s:s, s:s, s:s}", "error", text->name,
                                       "message", text->message, "remedy",
                                       text->remedy));
}

/* ---------------------------------------------------------------------- */
/* Replies                                                                 */
/* ---------------------------------------------------------------------- */

/* Replies to PEER or, when it is NULL, to the host process; takes
   ownership of BODY. */
static void
S_reply(BsExplain *explain, const char *peer, uint64_t incarnation,
        const char *query_id, uint32_t status, GBytes *body)
{
    BsMessage *reply =
        BsMessage_Create(peer == NULL ? BS_QUERY_REPLY : BS_PEER_REPLY);
    reply->u.reply.query_id = g_strdup(query_id);
    reply->u.reply.status = status;
    reply->u.reply.body = body;
    if (peer == NULL) {
        BsCore_Emit(explain->core, reply);
    }
    else {
        BsCore_Send(explain->core, peer, incarnation, reply);
    }
}

/* Replies to PENDING from the local history, or with "not found". */
static void
S_reply_pending(BsExplain *explain, const BsPending *pending)
{
    const BsHistory *history =
        pending->history_id == NULL
            ? NULL
            : g_hash_table_lookup(explain->histories, pending->history_id);
    S_reply(explain, pending->peer, pending->peer_incarnation,
            pending->query_id, history == NULL ? STATUS_NOT_FOUND : STATUS_OK,
            history == NULL
                ? S_error_body(BS_ERR_NOT_FOUND)
                : BsHistory_Describe(history, explain->core->config.name,
                                     BsCore_NowMs(explain->core)));
}

static void
S_send_query(BsExplain *explain, const char *own_id, const char *instance,
             const char *what, const char *argument, const char *account)
{
    BsMessage *ask = BsMessage_Create(BS_PEER_QUERY);
    ask->u.query.query_id = g_strdup(own_id);
    ask->u.query.what = g_strdup(what);
    ask->u.query.argument = g_strdup(argument);
    ask->u.query.account = g_strdup(account);
    BsCore_Send(explain->core, instance, 0, ask);
}

/* Adds PENDING, taking ownership, and starts its timeout.  Returns its id.
   When too many queries wait, replies with STATUS_BUSY, frees PENDING and
   returns NULL. */
static char *
S_add_pending(BsExplain *explain, BsPending *pending)
{
    if (g_hash_table_size(explain->pending) >= QUERIES_MAX) {
        S_reply(explain, pending->peer, pending->peer_incarnation,
                pending->query_id, STATUS_BUSY,
                S_error_body(BS_ERR_MEMORY_FULL));
        S_destroy_pending(pending);
        return NULL;
    }
    char *own_id =
        g_strdup_printf("%s-%" G_GUINT64_FORMAT, explain->core->config.name,
                        explain->next_query++);
    pending->until_ms = BsCore_NowMs(explain->core) + QUERY_WAIT_MS;
    g_hash_table_insert(explain->pending, own_id, pending);
    return own_id;
}

/* ---------------------------------------------------------------------- */
/* Look-ups                                                                */
/* ---------------------------------------------------------------------- */

/* Queries the outcome of HISTORY from the current keeper of its key and, if it
   is another instance, from the keeper that handled the request. */
static void
S_query_keepers(BsExplain *explain, BsPending *pending,
                const BsHistory *history)
{
    const char *current_keeper = BsMembers_KeeperOf(
        explain->core->members, history->account, history->key);
    char *key = g_strdup_printf("%s\n%s\n%s", history->id, history->account,
                                history->key);
    pending->history_id = g_strdup(history->id);
    char *own_id = S_add_pending(explain, pending);
    if (own_id != NULL && current_keeper != NULL) {
        pending->replies_due++;
        S_send_query(explain, own_id, current_keeper, WHAT_KEY, key, NULL);
    }
    if (own_id != NULL && history->keeper != NULL &&
        g_strcmp0(history->keeper, current_keeper) != 0) {
        pending->replies_due++;
        S_send_query(explain, own_id, history->keeper, WHAT_KEY, key, NULL);
    }
    g_free(key);
}

/* Returns the name of the instance that assigned ID, or NULL if ID does not
   have the form NAME-INCARNATION-NUMBER; g_free() it. */
static char *
S_instance_of(const char *id)
{
    char *name = g_strdup(id);
    for (int i = 0; i < 2; i++) {
        char *dash = strrchr(name, '-');
        if (dash == NULL) {
            g_free(name);
            return NULL;
        }
        *dash = '\0';
    }
    return name;
}

static bool
S_is_peer(const BsExplain *explain, const BsListEntry *entry)
{
    return entry->kind == BS_NODE_INSTANCE &&
           strcmp(entry->name, explain->core->config.name) != 0;
}

/* Queries the instance that admitted ID or, if it is not listed, all. */
static void
S_query_entries(BsExplain *explain, BsPending *pending, const char *id,
                const char *account)
{
    const BsList *list = BsMembers_List(explain->core->members);
    char *own_id = S_add_pending(explain, pending);
    if (own_id == NULL) {
        return;
    }
    char *named = S_instance_of(id);
    bool listed =
        named != NULL && BsMembers_Find(explain->core->members, named) != NULL;
    for (guint i = 0; list != NULL && i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        if (S_is_peer(explain, entry) &&
            (!listed || strcmp(entry->name, named) == 0)) {
            pending->replies_due++;
            S_send_query(explain, own_id, entry->name, WHAT_REQUEST, id,
                         account);
        }
    }
    g_free(named);
    if (pending->replies_due == 0) {
        S_reply_pending(explain, pending);
        g_hash_table_remove(explain->pending, own_id);
    }
}

static BsPending *
S_create_pending(const char *query_id, const BsMessage *from)
{
    BsPending *pending = g_new0(BsPending, 1);
    pending->query_id = g_strdup(query_id);
    if (from != NULL) {
        pending->peer = g_strdup(from->from);
        pending->peer_incarnation = from->from_incarnation;
    }
    return pending;
}

/* Looks up request ID for ACCOUNT, or for an operator when ACCOUNT is NULL;
   takes ownership of PENDING. */
static void
S_look_up(BsExplain *explain, BsPending *pending, const char *id,
          const char *account)
{
    const BsHistory *history = g_hash_table_lookup(explain->histories, id);
    if (history == NULL && pending->peer == NULL) {
        S_query_entries(explain, pending, id, account);
        return;
    }
    if (history != NULL && !history->idempotent &&
        (account == NULL || g_strcmp0(account, history->account) == 0) &&
        history->outcome != BS_OUTCOME_RAN &&
        history->outcome != BS_OUTCOME_NOT_RUN) {
        S_query_keepers(explain, pending, history);
        return;
    }
    if (history != NULL &&
        (account == NULL || g_strcmp0(account, history->account) == 0)) {
        pending->history_id = g_strdup(id);
    }
    S_reply_pending(explain, pending);
    S_destroy_pending(pending);
}

bool
BsExplain_OnQuery(BsExplain *explain, const BsMessage *message)
{
    const BsQuery *query = &message->u.query;
    if (g_strcmp0(query->what, "request") != 0 &&
        g_strcmp0(query->what, "explain") != 0) {
        return false;
    }
    const BsSheet *sheet = BsCore_Sheet(explain->core);
    char *account = query->token == NULL || sheet == NULL
                        ? NULL
                        : BsToken_Resolve(sheet, explain->core->config.secret,
                                          query->token);
    if (query->token != NULL && account == NULL) {
        S_reply(explain, NULL, 0, query->query_id, STATUS_UNAUTHORIZED,
                S_error_body(BS_ERR_UNAUTHORIZED));
        return true;
    }
    S_look_up(explain, S_create_pending(query->query_id, NULL),
              query->argument == NULL ? "" : query->argument, account);
    g_free(account);
    return true;
}

/* Replies to a peer that queries the recorded outcome of a key. */
static void
S_answer_key(BsExplain *explain, const BsMessage *message)
{
    const BsQuery *query = &message->u.query;
    char **parts = g_strsplit(query->argument, "\n", KEY_PARTS);
    BsOutcome outcome = BS_OUTCOME_NONE;
    if (g_strv_length(parts) == KEY_PARTS) {
        outcome = BsKeeper_LookUpOutcome(explain->core->keeper, parts[0],
                                         parts[1], parts[2]);
    }
    g_strfreev(parts);
    S_reply(explain, message->from, message->from_incarnation, query->query_id,
            outcome == BS_OUTCOME_NONE ? STATUS_NOT_FOUND : STATUS_OK,
            BsHistory_ToBytes(json_pack("{s:i}", "outcome", (int)outcome)));
}

static void
S_on_peer_query(BsExplain *explain, const BsMessage *message)
{
    const BsQuery *query = &message->u.query;
    if (query->argument == NULL || query->query_id == NULL) {
        BsCore_Count(explain->core, "peer_messages_dropped", 1);
        return;
    }
    if (g_strcmp0(query->what, WHAT_KEY) == 0) {
        S_answer_key(explain, message);
        return;
    }
    S_look_up(explain, S_create_pending(query->query_id, message),
              query->argument, query->account);
}

/* Sets the outcome of HISTORY, whose request must have ended, from BODY, the
   reply of a keeper, if the keeper knows it. */
static void
S_update_outcome(BsHistory *history, GBytes *body)
{
    gsize size;
    const char *data = g_bytes_get_data(body, &size);
    json_t *json = json_loadb(data, size, 0, NULL);
    json_int_t outcome = json_integer_value(json_object_get(json, "outcome"));
    json_decref(json);
    if (history->end_ms != 0 &&
        (outcome == BS_OUTCOME_RAN || outcome == BS_OUTCOME_NOT_RUN)) {
        history->outcome = (BsOutcome)outcome;
    }
}

static void
S_on_peer_reply(BsExplain *explain, const BsMessage *message)
{
    const BsQueryReply *reply = &message->u.reply;
    BsPending *pending =
        reply->query_id == NULL || reply->body == NULL
            ? NULL
            : g_hash_table_lookup(explain->pending, reply->query_id);
    if (pending == NULL) {
        return;
    }
    pending->replies_due--;
    bool found = reply->status == STATUS_OK;
    BsHistory *history =
        pending->history_id == NULL
            ? NULL
            : g_hash_table_lookup(explain->histories, pending->history_id);
    if (found && history != NULL) {
        S_update_outcome(history, reply->body);
    }
    if (found && pending->history_id == NULL) {
        S_reply(explain, pending->peer, pending->peer_incarnation,
                pending->query_id, STATUS_OK, g_bytes_ref(reply->body));
    }
    else if (pending->replies_due == 0) {
        S_reply_pending(explain, pending);
    }
    else {
        return;
    }
    g_hash_table_remove(explain->pending, reply->query_id);
}

void
BsExplain_OnMessage(BsExplain *explain, const BsMessage *message)
{
    if (message->kind == BS_PEER_QUERY) {
        S_on_peer_query(explain, message);
    }
    else {
        S_on_peer_reply(explain, message);
    }
}

static void
S_expire_histories(BsExplain *explain, int64_t now_ms)
{
    int64_t oldest_ms = now_ms - explain->core->config.resend_window_ms;
    const BsHistory *history;
    while ((history = g_queue_peek_head(&explain->order)) != NULL &&
           history->start_ms < oldest_ms) {
        S_drop_oldest(explain);
    }
}

void
BsExplain_OnTick(BsExplain *explain)
{
    int64_t now_ms = BsCore_NowMs(explain->core);
    GHashTableIter iter;
    gpointer value;
    S_expire_histories(explain, now_ms);
    g_hash_table_iter_init(&iter, explain->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsPending *pending = value;
        if (now_ms >= pending->until_ms) {
            S_reply_pending(explain, pending);
            g_hash_table_iter_remove(&iter);
        }
    }
}
