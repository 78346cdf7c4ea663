/* d_callers.c - the HTTP server for callers. */
#include "d_callers.h"

#include "d_call.h"
#include "d_connguard.h"
#include "d_headcheck.h"
#include "d_httpd.h"
#include "d_reply.h"
#include "d_request.h"
#include "d_screen.h"
#include "d_tls.h"

#include <string.h>
#include <syslog.h>

/* Connections accepted beyond limits.connections, so that they can be refused
   with an HTTP response. */
#define CONNECTIONS_SPARE 64

struct BsCallers {
    BsLoop *loop;
    BsHttpd *httpd;
    BsTls *tls;              /* NULL for plain HTTP */
    GHashTable *calls;       /* request or query id to BsCall */
    BsConnBudget *bodies;    /* that are being read */
    uint64_t bodies_refused; /* as last counted */
    uint64_t next_id;
    uint32_t connections;
    uint32_t connections_max; /* beyond it requests are refused */
    bool few_descriptors;     /* fewer than limits.connections needs */
};

/* A connection of a caller. */
typedef struct {
    bool beyond; /* it came beyond the limit, and is not served yet */
} BsCallerConnection;

static const char *
S_get_header(void *context, const char *name)
{
    return MHD_lookup_connection_value(context, MHD_HEADER_KIND, name);
}

static char *
S_make_id(BsCallers *callers)
{
    return g_strdup_printf("%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
                           BsLoop_Settings(callers->loop)->name,
                           (guint64)BsLoop_Incarnation(callers->loop),
                           (guint64)++callers->next_id);
}

/* Enters the body of CALL in the budget. */
static void
S_account_body(BsCallers *callers, BsCall *call)
{
    size_t size = 0;
    BsCall_Body(call, &size);
    BsConnBudget_Update(callers->bodies, BsCall_BodyEntry(call),
                        BS_CONN_READING, size, BsLoop_NowMs(callers->loop));
    BsLoop_SetGauge(callers->loop, "caller_body_bytes",
                    BsConnBudget_Bytes(callers->bodies));
}

/* Refuses the call OWNER, whose body is being read, in favour of others.  The
   rest of the body is discarded. */
static void
S_refuse_for_others(void *owner, BsConnLimit limit)
{
    BsCall *call = owner;
    (void)limit;
    BsCall_Refuse(call, BS_ERR_MEMORY_FULL,
                  "limits.queue_bytes is reached by the bodies that are being "
                  "read on this instance");
    BsCall_DropBody(call);
    BsConnEntry *entry = BsCall_BodyEntry(call);
    BsConnBudget_Update(entry->budget, entry, BS_CONN_READING, 0,
                        entry->changed_ms);
}

/* Counts the bodies refused since the last call, and logs when the limit is
   reached and when it is over. */
static void
S_report_refused(BsCallers *callers)
{
    uint64_t refused =
        BsConnBudget_Closed(callers->bodies, BS_CONN_LIMIT_MEMORY);
    bool reached;
    if (refused > callers->bodies_refused) {
        BsLoop_Count(callers->loop, "caller_bodies_refused",
                     refused - callers->bodies_refused);
        callers->bodies_refused = refused;
    }
    if (BsConnBudget_TakeChange(callers->bodies, BS_CONN_LIMIT_MEMORY,
                                BsLoop_NowMs(callers->loop), &reached)) {
        BsLoop_Log(callers->loop, LOG_WARNING,
                   "limits.queue_bytes is %s by the bodies that "
                   "callers send; %" G_GUINT64_FORMAT " refused so far",
                   reached ? "reached" : "no longer reached",
                   (guint64)refused);
    }
}

/* Adds a part of the body of CALL.  Returns false when the connection should
   be closed. */
static bool
S_add_body(BsCallers *callers, BsCall *call, const char *data,
           size_t size_bytes)
{
    bool accepted =
        BsCall_AddBody(call, data, size_bytes,
                       BsLoop_Settings(callers->loop)->limits.body_bytes);
    S_account_body(callers, call);
    BsConnBudget_EnforceMemory(callers->bodies, BsCall_BodyEntry(call),
                               BsLoop_NowMs(callers->loop));
    S_report_refused(callers);
    return accepted;
}

/* Registers CALL under a new id; returns the id. */
static const char *
S_register(BsCallers *callers, BsCall *call)
{
    char *id = S_make_id(callers);
    BsCall_SetId(call, id);
    g_hash_table_insert(callers->calls, id, call);
    return id;
}

static void
S_start_request(BsCallers *callers, BsCall *call, const BsHttpRequest *http,
                BsRouteKind route)
{
    GError *error = NULL;
    BsMessage *message = BsHttpRequest_Translate(http, route, &error);
    if (message == NULL) {
        BsCall_Refuse(call, (BsErrorKind)error->code, error->message);
        g_error_free(error);
        return;
    }
    message->u.request.request_id = g_strdup(S_register(callers, call));
    BsMessage_SetString(&message->u.request.traceparent,
                        BsCall_StartHop(call, message->u.request.traceparent));
    BsCall_Wait(call, message->u.request.service == NULL,
                message->u.request.stream);
    BsLoop_Post(callers->loop, message);
}

static void
S_start_query(BsCallers *callers, BsCall *call, const BsHttpRequest *http,
              BsRouteKind route)
{
    BsMessage *message = BsHttpRequest_Query(http, route);
    message->u.query.query_id = g_strdup(S_register(callers, call));
    BsCall_Wait(call, false, false);
    BsLoop_Post(callers->loop, message);
}

/* Handles a request whose body has been received. */
static void
S_start(BsCallers *callers, BsCall *call, const char *method)
{
    size_t size;
    const void *body = BsCall_Body(call, &size);
    BsHttpRequest http = {.method = method,
                          .target = BsCall_Target(call),
                          .header = S_get_header,
                          .context = BsCall_Connection(call),
                          .body = body,
                          .body_bytes = size};
    BsRouteKind route = BsHttpRequest_Route(method, http.target);
    switch (route) {
    case BS_ROUTE_MODEL:
    case BS_ROUTE_SERVICE:
        S_start_request(callers, call, &http, route);
        break;
    case BS_ROUTE_NONE:
        BsCall_RefuseStatus(call, MHD_HTTP_NOT_FOUND,
                            "no such path; see the list of paths in the "
                            "manual");
        break;
    case BS_ROUTE_METHOD:
        BsCall_RefuseStatus(call, MHD_HTTP_METHOD_NOT_ALLOWED,
                            "this path does not take this method");
        break;
    default:
        S_start_query(callers, call, &http, route);
        break;
    }
}

static bool
S_is_declared_too_large(BsCallers *callers, struct MHD_Connection *connection)
{
    const char *text = S_get_header(connection, "Content-Length");
    guint64 length;
    return text != NULL &&
           g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &length,
                                      NULL) &&
           length > BsLoop_Settings(callers->loop)->limits.body_bytes;
}

/* Refuses an ambiguous request head.  The refusal is sent at once, because the
   end of the body, and so the start of the next request, is not known. */
static bool
S_refuse_malformed(BsCallers *callers, BsCall *call)
{
    const char *problem =
        BsHeadCheck_Find(BsCall_Connection(call), BsCall_Target(call));
    if (problem == NULL) {
        return false;
    }
    BsLoop_Count(callers->loop, "malformed_heads", 1);
    BsCall_RefuseStatus(call, MHD_HTTP_BAD_REQUEST, problem);
    return true;
}

static BsCallerConnection *
S_get_connection(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_SOCKET_CONTEXT)
        ->socket_context;
}

/* Returns whether the connection of CALL is one too many.  One that is not
   stays served while others come. */
static bool
S_is_beyond_limit(BsCallers *callers, BsCall *call)
{
    BsCallerConnection *connection = S_get_connection(BsCall_Connection(call));
    connection->beyond =
        connection->beyond &&
        callers->connections > callers->connections_max &&
        !BsHttpd_Displace(callers->httpd, BsCall_Connection(call));
    return connection->beyond;
}

/* Refuses, before the body is read, a request that the connection limit or the
   declared body length rules out. */
static bool
S_refuse_early(BsCallers *callers, BsCall *call)
{
    const BsSettings *settings = BsLoop_Settings(callers->loop);
    if (S_is_beyond_limit(callers, call)) {
        BsLoop_Count(callers->loop, "connections_refused", 1);
        BsCall_Refuse(call, BS_ERR_MEMORY_FULL,
                      callers->few_descriptors
                          ? "the limit of open files is reached by "
                            "connections on this instance"
                          : "limits.connections is reached on this instance");
        return true;
    }
    if (S_is_declared_too_large(callers, BsCall_Connection(call))) {
        BsCall_RefuseTooLarge(call, settings->limits.body_bytes);
        return true;
    }
    return false;
}

/* Returns whether a refusal is sent before the body is read: when the caller
   waits for "100 Continue", or the body is too long to be discarded. */
static bool
S_answers_early(const BsCall *call)
{
    const char *text = S_get_header(BsCall_Connection(call), "Content-Length");
    guint64 length = 0;
    bool declared =
        text != NULL &&
        g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &length, NULL);
    return S_get_header(BsCall_Connection(call), "Expect") != NULL ||
           (declared && length > BS_CALL_DISCARD_MAX_BYTES);
}

static enum MHD_Result
S_on_access(void *context, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_bytes, void **request_context)
{
    BsCallers *callers = context;
    BsCall *call = *request_context;
    (void)url;
    (void)version;
    if (call == NULL) {
        return MHD_NO;
    }
    if (!BsCall_IsBegun(call)) {
        BsCall_Begin(call, callers->httpd, connection);
        if (S_refuse_malformed(callers, call)) {
            return BsCall_SendHead(call);
        }
        bool refused = S_refuse_early(callers, call);
        return refused && S_answers_early(call) ? BsCall_SendHead(call)
                                                : MHD_YES;
    }
    if (*data_bytes > 0) {
        bool accepted = S_add_body(callers, call, data, *data_bytes);
        *data_bytes = 0;
        return accepted ? MHD_YES : MHD_NO;
    }
    if (BsCall_IsReading(call)) {
        BsHttpd_SetState(callers->httpd, connection, BS_CONN_ANSWERING, 0);
        S_start(callers, call, method);
        BsCall_DropBody(call); /* the core has its own copy */
        S_account_body(callers, call);
    }
    return BsCall_SendHead(call);
}

static void *
S_on_uri(void *context, const char *uri, struct MHD_Connection *connection)
{
    BsCallers *callers = context;
    BsLoop_Count(callers->loop, "caller_requests", 1);
    BsHttpd_SetState(callers->httpd, connection, BS_CONN_READING, 0);
    BsCall *call = BsCall_Create(callers->loop, callers->httpd,
                                 BsHeadCheck_OriginForm(uri));
    BsConnEntry *entry = BsCall_BodyEntry(call);
    entry->close = S_refuse_for_others;
    entry->owner = call;
    BsConnBudget_Add(callers->bodies, entry, BS_CONN_READING,
                     BsLoop_NowMs(callers->loop));
    return call;
}

static void
S_on_completed(void *context, struct MHD_Connection *connection,
               void **request_context, enum MHD_RequestTerminationCode code)
{
    BsCallers *callers = context;
    BsCall *call = *request_context;
    if (call == NULL) {
        return;
    }
    /* One that has only been refused is not among those that were served. */
    BsHttpd_SetState(callers->httpd, connection,
                     S_get_connection(connection)->beyond ? BS_CONN_READING
                                                          : BS_CONN_IDLE,
                     0);
    BsCall_Close(call, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    if (BsCall_Id(call) != NULL) {
        g_hash_table_remove(callers->calls, BsCall_Id(call));
    }
    BsConnBudget_Remove(callers->bodies, BsCall_BodyEntry(call));
    BsCall_Destroy(call);
    *request_context = NULL;
}

static void
S_on_connection(void *context, struct MHD_Connection *connection, void **slot,
                enum MHD_ConnectionNotificationCode code)
{
    BsCallers *callers = context;
    (void)connection;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        BsCallerConnection *entry = g_new0(BsCallerConnection, 1);
        callers->connections++;
        entry->beyond = callers->connections > callers->connections_max;
        *slot = entry;
    }
    else {
        callers->connections--;
        g_free(*slot);
        *slot = NULL;
    }
    BsLoop_SetGauge(callers->loop, "caller_connections", callers->connections);
}

static void
S_on_answer(const BsMessage *message, void *context)
{
    BsCallers *callers = context;
    const char *id = message->u.answer.request_id;
    BsCall *call = id == NULL ? NULL : g_hash_table_lookup(callers->calls, id);
    if (call != NULL) {
        BsCall_OnAnswer(call, &message->u.answer);
    }
}

static void
S_on_reply(const BsMessage *message, void *context)
{
    BsCallers *callers = context;
    const char *id = message->u.reply.query_id;
    BsCall *call = id == NULL ? NULL : g_hash_table_lookup(callers->calls, id);
    if (call != NULL) {
        BsCall_OnReply(call, &message->u.reply);
    }
}

/* Sets how many connections are served; returns how many are accepted, as far
   as the limit of open files goes. */
static uint32_t
S_set_connections(BsCallers *callers)
{
    uint32_t wanted = BsLoop_Settings(callers->loop)->limits.connections;
    uint32_t affordable = BsConnGuard_Affordable(BS_SCREEN_DESCRIPTORS);
    uint32_t accepted = MIN(wanted + CONNECTIONS_SPARE, affordable);
    callers->few_descriptors = accepted < wanted + CONNECTIONS_SPARE;
    callers->connections_max =
        callers->few_descriptors
            ? accepted - MIN(CONNECTIONS_SPARE, accepted / 4)
            : wanted;
    if (callers->few_descriptors) {
        BsLoop_Log(callers->loop, LOG_WARNING,
                   "the limit of open files permits %u connections of "
                   "callers instead of limits.connections %u; raise it",
                   callers->connections_max, wanted);
    }
    return accepted;
}

BsCallers *
BsCallers_Create(BsLoop *loop, GError **error)
{
    const BsSettings *settings = BsLoop_Settings(loop);
    BsCallers *callers = g_new0(BsCallers, 1);
    callers->loop = loop;
    callers->bodies =
        BsConnBudget_Create(settings->limits.queue_bytes, UINT32_MAX);
    callers->calls =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (settings->tls != NULL) {
        callers->tls = BsTls_Create(loop, error);
        if (callers->tls == NULL) {
            BsCallers_Destroy(callers);
            return NULL;
        }
    }
    BsHttpdConfig config = {
        .address = settings->callers,
        .key = "callers",
        .handle = S_on_access,
        .uri = S_on_uri,
        .completed = S_on_completed,
        .connected = S_on_connection,
        .context = callers,
        .header_bytes = settings->limits.header_bytes,
        .connections = S_set_connections(callers),
        .screened = true,
        .unsent_bytes = settings->limits.queue_bytes,
        .certificate_callback = callers->tls != NULL ? BsTls_Callback() : NULL,
    };
    callers->httpd = BsHttpd_Create(loop, &config, error);
    if (callers->httpd == NULL) {
        BsCallers_Destroy(callers);
        return NULL;
    }
    BsLoop_Handle(loop, BS_CALLER_ANSWER, S_on_answer, callers);
    BsLoop_Handle(loop, BS_QUERY_REPLY, S_on_reply, callers);
    return callers;
}

void
BsCallers_Destroy(BsCallers *callers)
{
    if (callers == NULL) {
        return;
    }
    GHashTableIter iter;
    gpointer call;
    g_hash_table_iter_init(&iter, callers->calls);
    while (g_hash_table_iter_next(&iter, NULL, &call)) {
        BsCall_Abandon(call);
    }
    BsHttpd_Destroy(callers->httpd);
    BsTls_Destroy(callers->tls);
    g_hash_table_destroy(callers->calls);
    BsConnBudget_Destroy(callers->bodies);
    g_free(callers);
}

void
BsCallers_StartDrain(BsCallers *callers)
{
    BsHttpd_StartClosing(callers->httpd);
}

uint32_t
BsCallers_CountConnections(const BsCallers *callers)
{
    return callers->connections;
}

bool
BsCallers_IsDone(const BsCallers *callers)
{
    return g_hash_table_size(callers->calls) == 0 &&
           !BsHttpd_HasUnsent(callers->httpd);
}

void
BsCallers_FailAll(BsCallers *callers, BsErrorKind error)
{
    GHashTableIter iter;
    gpointer call;
    g_hash_table_iter_init(&iter, callers->calls);
    while (g_hash_table_iter_next(&iter, NULL, &call)) {
        BsCall_Fail(call, error, BS_OUTCOME_UNKNOWN);
    }
}
