/* d_curl.c - libcurl transfers driven by the event loop. */
#include "d_curl.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define MS_PER_S 1000.0

typedef struct {
    BsCurlDoneFunc done;
    void *context;
} BsCurlJob;

struct BsCurl {
    BsLoop *loop;
    CURLM *multi;
    GHashTable *jobs;    /* easy handle to BsCurlJob */
    GArray *undelivered; /* int, local ports; see BsCurl_IsUndelivered() */
    ev_timer timer;
};

typedef struct {
    BsCurl *curl;
    ev_io io;
} BsCurlSocket;

/* Calls the callback of every finished transfer. */
static void
S_finish(BsCurl *curl)
{
    CURLMsg *message;
    int left;
    while ((message = curl_multi_info_read(curl->multi, &left)) != NULL) {
        CURL *easy = message->easy_handle;
        CURLcode result = message->data.result;
        BsCurlJob *job = g_hash_table_lookup(curl->jobs, easy);
        if (message->msg != CURLMSG_DONE || job == NULL) {
            continue;
        }
        BsCurlJob copy = *job;
        g_hash_table_remove(curl->jobs, easy);
        curl_multi_remove_handle(curl->multi, easy);
        copy.done(easy, result, copy.context);
    }
}

static void
S_socket_action(BsCurl *curl, curl_socket_t fd, int action)
{
    int running;
    g_array_set_size(curl->undelivered, 0);
    curl_multi_socket_action(curl->multi, fd, action, &running);
    S_finish(curl);
}

static void
S_on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    S_socket_action(watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

static void
S_on_socket(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    BsCurlSocket *socket = watcher->data;
    int action = (events & EV_READ ? CURL_CSELECT_IN : 0) |
                 (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
    S_socket_action(socket->curl, watcher->fd, action);
}

static int
S_set_timer(CURLM *multi, long timeout_ms, void *context)
{
    (void)multi;
    BsCurl *curl = context;
    struct ev_loop *ev = BsLoop_Ev(curl->loop);
    ev_timer_stop(ev, &curl->timer);
    if (timeout_ms >= 0) {
        ev_timer_set(&curl->timer, (double)timeout_ms / MS_PER_S, 0.0);
        ev_timer_start(ev, &curl->timer);
    }
    return 0;
}

static int
S_set_socket(CURL *easy, curl_socket_t fd, int what, void *context,
             void *socket_context)
{
    (void)easy;
    BsCurl *curl = context;
    BsCurlSocket *socket = socket_context;
    struct ev_loop *ev = BsLoop_Ev(curl->loop);
    int events = (what & CURL_POLL_IN ? EV_READ : 0) |
                 (what & CURL_POLL_OUT ? EV_WRITE : 0);
    if (socket != NULL) {
        ev_io_stop(ev, &socket->io);
    }
    if (what == CURL_POLL_REMOVE) {
        g_free(socket);
        return 0;
    }
    if (socket == NULL) {
        socket = g_new0(BsCurlSocket, 1);
        socket->curl = curl;
        curl_multi_assign(curl->multi, fd, socket);
    }
    ev_io_init(&socket->io, S_on_socket, fd, events);
    socket->io.data = socket;
    ev_io_start(ev, &socket->io);
    return 0;
}

/* Returns the local port of the IPv4 socket FD, 0 when it has none. */
static int
S_local_port(curl_socket_t fd)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    if (getsockname(fd, (struct sockaddr *)&address, &size) != 0 ||
        address.sin_family != AF_INET) {
        return 0;
    }
    return ntohs(address.sin_port);
}

static int
S_close_socket(void *context, curl_socket_t fd)
{
    BsCurl *curl = context;
    int bytes = 0;
    if (ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0) {
        int port = S_local_port(fd);
        g_array_append_val(curl->undelivered, port);
    }
    return close(fd);
}

BsCurl *
BsCurl_Create(BsLoop *loop, long pool)
{
    BsCurl *curl = g_new0(BsCurl, 1);
    curl->loop = loop;
    curl->jobs = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    curl->undelivered = g_array_new(FALSE, FALSE, sizeof(int));
    curl->multi = curl_multi_init();
    ev_timer_init(&curl->timer, S_on_timer, 0.0, 0.0);
    curl->timer.data = curl;
    curl_multi_setopt(curl->multi, CURLMOPT_SOCKETFUNCTION, S_set_socket);
    curl_multi_setopt(curl->multi, CURLMOPT_SOCKETDATA, curl);
    curl_multi_setopt(curl->multi, CURLMOPT_TIMERFUNCTION, S_set_timer);
    curl_multi_setopt(curl->multi, CURLMOPT_TIMERDATA, curl);
    curl_multi_setopt(curl->multi, CURLMOPT_MAXCONNECTS, pool);
    return curl;
}

void
BsCurl_Destroy(BsCurl *curl)
{
    if (curl == NULL) {
        return;
    }
    GList *easies = g_hash_table_get_keys(curl->jobs);
    for (GList *node = easies; node != NULL; node = node->next) {
        BsCurl_Cancel(curl, node->data);
    }
    g_list_free(easies);
    curl_multi_cleanup(curl->multi);
    ev_timer_stop(BsLoop_Ev(curl->loop), &curl->timer);
    g_hash_table_destroy(curl->jobs);
    g_array_unref(curl->undelivered);
    g_free(curl);
}

void
BsCurl_Start(BsCurl *curl, CURL *easy, BsCurlDoneFunc done, void *context)
{
    BsCurlJob *job = g_new0(BsCurlJob, 1);
    job->done = done;
    job->context = context;
    g_hash_table_insert(curl->jobs, easy, job);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, S_close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, curl);
    curl_multi_add_handle(curl->multi, easy);
}

bool
BsCurl_IsUndelivered(const BsCurl *curl, int local_port)
{
    for (guint i = 0; i < curl->undelivered->len; i++) {
        if (g_array_index(curl->undelivered, int, i) == local_port) {
            return true;
        }
    }
    return false;
}

void
BsCurl_Cancel(BsCurl *curl, CURL *easy)
{
    g_hash_table_remove(curl->jobs, easy);
    curl_multi_remove_handle(curl->multi, easy);
    curl_easy_cleanup(easy);
}
