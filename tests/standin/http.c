/* http.c - the HTTP server that all stand-ins use. */
#include "standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 4096
#define THREAD_STACK_BYTES ((size_t)512 * 1024)
#define US_PER_MS 1000

typedef struct {
    GString *body;
} S_Upload;

static enum MHD_Result
S_handle(void *context, struct MHD_Connection *connection, const char *url,
         const char *method, const char *version, const char *data,
         size_t *size_bytes, void **state)
{
    BsStandinHandler handler = *(BsStandinHandler *)context;
    S_Upload *upload = *state;
    (void)version;
    if (upload == NULL) {
        upload = g_new0(S_Upload, 1);
        upload->body = g_string_new(NULL);
        *state = upload;
        return MHD_YES;
    }
    if (*size_bytes > 0) {
        g_string_append_len(upload->body, data, (gssize)*size_bytes);
        *size_bytes = 0;
        return MHD_YES;
    }
    BsStandinCall call = {connection, method, url, upload->body->str,
                          upload->body->len};
    return handler(&call);
}

static void
S_completed(void *context, struct MHD_Connection *connection, void **state,
            enum MHD_RequestTerminationCode code)
{
    S_Upload *upload = *state;
    (void)context;
    (void)connection;
    (void)code;
    if (upload != NULL) {
        g_string_free(upload->body, TRUE);
        g_free(upload);
        *state = NULL;
    }
}

static void
S_wait_for_stop(const sigset_t *signals)
{
    int received;
    sigwait(signals, &received);
}

int
BsStandin_Serve(int port, BsStandinHandler handler)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL,
        (uint16_t)port, NULL, NULL, S_handle, (void *)&handler,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)CONNECTIONS_MAX,
        MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES,
        MHD_OPTION_NOTIFY_COMPLETED, S_completed, NULL, MHD_OPTION_END);
    if (daemon == NULL) {
        fprintf(stderr, "standin: cannot listen on port %d; is it in use?\n",
                port);
        return 1;
    }
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
    printf("listening 127.0.0.1:%u\n", (unsigned)info->port);
    fflush(stdout);
    S_wait_for_stop(&signals);
    /* Exit at once: handlers may be blocked. */
    _exit(0);
}

bool
BsStandin_Matches(const BsStandinCall *call, const char *method,
                  const char *path)
{
    return strcmp(call->method, method) == 0 && strcmp(call->path, path) == 0;
}

const char *
BsStandin_Header(const BsStandinCall *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
BsStandin_Argument(const BsStandinCall *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

enum MHD_Result
BsStandin_Queue(const BsStandinCall *call, unsigned status,
                struct MHD_Response *response)
{
    enum MHD_Result result =
        MHD_queue_response(call->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static struct MHD_Response *
S_create_json(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", "application/json");
    return response;
}

enum MHD_Result
BsStandin_Reply(const BsStandinCall *call, unsigned status, json_t *json)
{
    return BsStandin_Queue(call, status, S_create_json(json));
}

enum MHD_Result
BsStandin_Refuse(const BsStandinCall *call)
{
    struct MHD_Response *response =
        S_create_json(json_pack("{s:s}", "error", "refused"));
    MHD_add_response_header(response, "X-Request-Started", "no");
    return BsStandin_Queue(call, MHD_HTTP_SERVICE_UNAVAILABLE, response);
}

static int
S_socket(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

enum MHD_Result
BsStandin_Reset(const BsStandinCall *call)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(S_socket(call->connection), SOL_SOCKET, SO_LINGER, &linger,
               sizeof(linger));
    return MHD_NO;
}

bool
BsStandin_IsDisconnected(struct MHD_Connection *connection)
{
    char byte;
    ssize_t got =
        recv(S_socket(connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0;
}

int64_t
BsStandin_NowMs(void)
{
    return g_get_monotonic_time() / US_PER_MS;
}

bool
BsStandin_ParseFlags(int *argc, char ***argv, const GOptionEntry *entries)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    bool parsed = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "standin: %s; see --help\n", error->message);
        g_error_free(error);
    }
    return parsed;
}
