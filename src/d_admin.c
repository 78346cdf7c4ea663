/* d_admin.c - the HTTP server on the admin address. */
#include "d_admin.h"

#include "d_connguard.h"
#include "d_httpd.h"
#include "d_reply.h"

#include <string.h>
#include <sys/socket.h>

#define CONNECTIONS_MAX 64

/* Connections that the library may have beyond CONNECTIONS_MAX: it notices the
   end of a displaced one in a later loop iteration. */
#define CONNECTIONS_SPARE 32
#define HEADER_BYTES 16384
#define EXPLAIN_PATH "/explain/"

struct BsAdmin {
    BsLoop *loop;
    BsHttpd *httpd;
    BsConnGuard *guard;
    GHashTable *requests; /* BsAdminRequest by query id */
    uint64_t next_id;
};

/* A connection. */
typedef struct {
    BsConnPlace place;
    BsConnGuard *guard;
    int fd;         /* owned by the library */
    bool displaced; /* has no place, and ends */
} BsAdminConnection;

/* One HTTP request. */
typedef struct {
    struct MHD_Connection *connection;
    char *id;
    bool metrics;
    bool begun;
    bool routed;
    bool suspended;  /* until the core replies */
    uint32_t status; /* 0 until answered */
    GBytes *body;
} BsAdminRequest;

/* A path and the query to the core that answers it. */
typedef struct {
    const char *path;
    const char *what; /* kind of the query */
} BsAdminRoute;

static const BsAdminRoute S_routes[] = {
    {"/readyz", "ready"},
    {"/metrics", "metrics"},
    {"/status", "status"},
};

static void
S_set_answer(BsAdminRequest *request, uint32_t status, const char *text)
{
    request->status = status;
    request->body = g_bytes_new(text, strlen(text));
}

static void
S_send_query(BsAdmin *admin, BsAdminRequest *request, const char *what,
             const char *argument)
{
    BsMessage *message = BsMessage_Create(BS_QUERY);
    request->id =
        g_strdup_printf("admin-%" G_GUINT64_FORMAT, (guint64)++admin->next_id);
    request->metrics = strcmp(what, "metrics") == 0;
    g_hash_table_insert(admin->requests, request->id, request);
    message->u.query.query_id = g_strdup(request->id);
    message->u.query.what = g_strdup(what);
    message->u.query.argument = g_strdup(argument);
    BsLoop_Post(admin->loop, message);
}

static void
S_start_drain(BsAdmin *admin, BsAdminRequest *request)
{
    BsMessage *message = BsMessage_Create(BS_DRAIN);
    message->u.drain.limit_ms = BsLoop_Settings(admin->loop)->drain_limit_ms;
    BsLoop_Post(admin->loop, message);
    S_set_answer(request, MHD_HTTP_ACCEPTED, "{\"draining\":true}");
}

static void
S_route(BsAdmin *admin, BsAdminRequest *request, const char *method,
        const char *path)
{
    request->routed = true;
    if (strcmp(method, "POST") == 0 && strcmp(path, "/drain") == 0) {
        S_start_drain(admin, request);
        return;
    }
    if (strcmp(method, "GET") != 0) {
        S_set_answer(request, MHD_HTTP_METHOD_NOT_ALLOWED,
                     "{\"error\":\"use GET, or POST /drain\"}");
        return;
    }
    if (strcmp(path, "/healthz") == 0) {
        S_set_answer(request, MHD_HTTP_OK, "{\"alive\":true}");
        return;
    }
    if (g_str_has_prefix(path, EXPLAIN_PATH)) {
        S_send_query(admin, request, "explain", path + strlen(EXPLAIN_PATH));
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(S_routes); i++) {
        if (strcmp(path, S_routes[i].path) == 0) {
            S_send_query(admin, request, S_routes[i].what, NULL);
            return;
        }
    }
    S_set_answer(request, MHD_HTTP_NOT_FOUND,
                 "{\"error\":\"use /healthz, /readyz, /metrics, /status, "
                 "/explain/ID or POST /drain\"}");
}

/* Sets what CONNECTION does. */
static void
S_set_phase(BsAdmin *admin, struct MHD_Connection *connection,
            BsConnPhase phase)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    BsAdminConnection *entry = info->socket_context;
    if (entry != NULL && !entry->displaced) {
        BsConnGuard_Update(admin->guard, &entry->place, phase, 0);
        BsConnGuard_Shrink(admin->guard);
    }
}

/* Ends the connection OWNER, which the library closes then. */
static void
S_on_displaced(void *owner, BsConnLimit limit)
{
    BsAdminConnection *entry = owner;
    (void)limit;
    entry->displaced = true;
    BsConnGuard_Remove(entry->guard, &entry->place);
    shutdown(entry->fd, SHUT_RDWR);
}

static void
S_on_connection(void *context, struct MHD_Connection *connection, void **slot,
                enum MHD_ConnectionNotificationCode code)
{
    BsAdmin *admin = context;
    BsAdminConnection *entry = *slot;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        entry = g_new0(BsAdminConnection, 1);
        entry->guard = admin->guard;
        entry->fd = MHD_get_connection_info(connection,
                                            MHD_CONNECTION_INFO_CONNECTION_FD)
                        ->connect_fd;
        entry->place.entry.close = S_on_displaced;
        entry->place.entry.owner = entry;
        BsConnGuard_MakeRoom(admin->guard);
        BsConnGuard_Add(admin->guard, &entry->place, BS_CONN_READING);
        *slot = entry;
    }
    else if (entry != NULL) {
        if (!entry->displaced) {
            BsConnGuard_Remove(admin->guard, &entry->place);
        }
        g_free(entry);
        *slot = NULL;
    }
}

static enum MHD_Result
S_respond(BsAdmin *admin, BsAdminRequest *request)
{
    gsize size;
    const void *data = g_bytes_get_data(request->body, &size);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size, (void *)data, MHD_RESPMEM_MUST_COPY);
    BsReply_AddHeader(response, "Content-Type",
                      request->metrics ? "text/plain; version=0.0.4"
                                       : "application/json");
    enum MHD_Result result =
        MHD_queue_response(request->connection, request->status, response);
    MHD_destroy_response(response);
    S_set_phase(admin, request->connection, BS_CONN_CLOSING);
    return result;
}

static enum MHD_Result
S_on_access(void *context, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_bytes, void **slot)
{
    BsAdmin *admin = context;
    BsAdminRequest *request = *slot;
    (void)version;
    (void)data;
    if (request == NULL) {
        request = g_new0(BsAdminRequest, 1);
        request->connection = connection;
        *slot = request;
        S_set_phase(admin, connection, BS_CONN_READING);
        return MHD_YES;
    }
    if (*data_bytes > 0) {
        *data_bytes = 0;
        return MHD_YES;
    }
    if (!request->routed) {
        S_set_phase(admin, connection, BS_CONN_ANSWERING);
        S_route(admin, request, method, url);
    }
    if (request->status != 0) {
        return S_respond(admin, request);
    }
    request->suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

static void
S_on_completed(void *context, struct MHD_Connection *connection, void **slot,
               enum MHD_RequestTerminationCode code)
{
    BsAdmin *admin = context;
    BsAdminRequest *request = *slot;
    (void)code;
    if (request == NULL) {
        return;
    }
    S_set_phase(admin, connection, BS_CONN_IDLE);
    if (request->id != NULL) {
        g_hash_table_remove(admin->requests, request->id);
    }
    g_bytes_unref(request->body);
    g_free(request->id);
    g_free(request);
    *slot = NULL;
}

/* Returns BODY, the core's counters, with the daemon's counters appended. */
static GBytes *
S_add_counters(const BsAdmin *admin, GBytes *body)
{
    gsize size = 0;
    const char *data = body == NULL ? NULL : g_bytes_get_data(body, &size);
    GString *text = g_string_new_len(data, (gssize)size);
    BsLoop_FormatCounters(admin->loop, text);
    return g_string_free_to_bytes(text);
}

static void
S_resume(BsAdmin *admin, BsAdminRequest *request)
{
    if (request->suspended) {
        request->suspended = false;
        BsHttpd_Resume(admin->httpd, request->connection);
    }
}

static void
S_on_reply(const BsMessage *message, void *context)
{
    BsAdmin *admin = context;
    const BsQueryReply *reply = &message->u.reply;
    BsAdminRequest *request =
        reply->query_id == NULL
            ? NULL
            : g_hash_table_lookup(admin->requests, reply->query_id);
    if (request == NULL || request->status != 0) {
        return;
    }
    request->status = reply->status;
    request->body = request->metrics ? S_add_counters(admin, reply->body)
                                     : g_bytes_ref(reply->body);
    S_resume(admin, request);
}

BsAdmin *
BsAdmin_Create(BsLoop *loop, GError **error)
{
    BsAdmin *admin = g_new0(BsAdmin, 1);
    admin->loop = loop;
    admin->requests = g_hash_table_new(g_str_hash, g_str_equal);
    admin->guard =
        BsConnGuard_Create(loop, "admin", CONNECTIONS_MAX, UINT64_MAX, 0);
    BsHttpdConfig config = {
        .address = BsLoop_Settings(loop)->admin,
        .key = "admin",
        .handle = S_on_access,
        .completed = S_on_completed,
        .connected = S_on_connection,
        .context = admin,
        .header_bytes = HEADER_BYTES,
        .connections = CONNECTIONS_MAX + CONNECTIONS_SPARE,
    };
    admin->httpd = BsHttpd_Create(loop, &config, error);
    if (admin->httpd == NULL) {
        BsAdmin_Destroy(admin);
        return NULL;
    }
    BsLoop_Handle(loop, BS_QUERY_REPLY, S_on_reply, admin);
    return admin;
}

void
BsAdmin_Destroy(BsAdmin *admin)
{
    if (admin == NULL) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, admin->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsAdminRequest *request = value;
        if (request->status == 0) {
            S_set_answer(request, MHD_HTTP_SERVICE_UNAVAILABLE,
                         "{\"error\":\"the instance is stopping\"}");
        }
        S_resume(admin, request);
    }
    BsHttpd_Destroy(admin->httpd);
    BsConnGuard_Destroy(admin->guard);
    g_hash_table_destroy(admin->requests);
    g_free(admin);
}
