/* gw_inboundserver.c - listening for callers, and timeouts of their
   connections. */
#include "gw_inboundparts.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Backlog of connections not accepted yet. */
#define LISTEN_BACKLOG 1024

/* Connections accepted per event, so that other events are not delayed. */
#define ACCEPTS_AT_ONCE 16

/* Pause in accepting when file descriptors or connections run out. */
#define ACCEPT_PAUSE_S 0.05

/* Period of the check for connection timeouts. */
#define SWEEP_S 0.2

int64_t
BsInboundServer_NowMs(const BsInboundServer *server)
{
    return BsClock_NowMs(server->clock);
}

/* Runs before each wait of the event loop: answers have grown the buffers of
   connections that were not read from. */
static void
S_on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)loop;
    (void)events;
    BsInboundServer *server = watcher->data;
    BsConnBudget_EnforceMemory(server->budget, NULL,
                               BsInboundServer_NowMs(server));
}

static void
S_pause_accepting(BsInboundServer *server)
{
    ev_io_stop(server->loop, &server->accept_watcher);
    ev_timer_set(&server->pause_timer, ACCEPT_PAUSE_S, 0);
    ev_timer_start(server->loop, &server->pause_timer);
}

static void
S_on_pause_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    BsInboundServer *server = watcher->data;
    if (server->listening) {
        ev_io_start(loop, &server->accept_watcher);
    }
}

/* Returns whether a connection waits to be accepted. */
static bool
S_has_waiting(const BsInboundServer *server)
{
    struct pollfd waiting = {.fd = server->fd, .events = POLLIN};
    return poll(&waiting, 1, 0) > 0;
}

static void
S_on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    BsInboundServer *server = watcher->data;
    for (int i = 0; i < ACCEPTS_AT_ONCE; i++) {
        if (g_hash_table_size(server->connections) >=
            server->limits.connections) {
            S_pause_accepting(server);
            return;
        }
        if (!BsConnBudget_HasRoom(server->budget) && !S_has_waiting(server)) {
            return;
        }
        if (!BsConnBudget_MakeRoom(server->budget,
                                   BsInboundServer_NowMs(server))) {
            S_pause_accepting(server);
            return;
        }
        struct sockaddr_in from;
        socklen_t length = sizeof(from);
        int fd = accept4(server->fd, (struct sockaddr *)&from, &length,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0 && (errno == EMFILE || errno == ENFILE)) {
            S_pause_accepting(server);
            return;
        }
        if (fd < 0) {
            return;
        }
        BsInbound_Create(server, fd);
    }
}

/* Returns how long INBOUND may be idle.  A shorter limit does not bind a
   caller that goes by an earlier answer; a longer one applies at once. */
static int64_t
S_idle_limit_ms(const BsInbound *inbound)
{
    return MAX(inbound->idle_ms, inbound->server->limits.idle_timeout_ms);
}

/* Closes a connection that is idle for too long, or refuses a request that
   arrives too slowly.  May free INBOUND. */
static void
S_check_timeout(BsInbound *inbound, int64_t now_ms)
{
    if (inbound->state == BS_INBOUND_IDLE &&
        now_ms - inbound->active_ms > S_idle_limit_ms(inbound)) {
        BsInbound_CloseIdle(inbound);
        return;
    }
    if (inbound->state != BS_INBOUND_READING) {
        return;
    }
    bool late =
        inbound->head == NULL
            ? now_ms - inbound->started_ms > inbound->header_timeout_ms
            : now_ms - inbound->active_ms > inbound->body_idle_timeout_ms;
    if (late) {
        BsInbound_Refuse(inbound, 408, NULL);
    }
}

static void
S_on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsInboundServer *server = watcher->data;
    int64_t now_ms = BsInboundServer_NowMs(server);
    GList *connections = g_hash_table_get_keys(server->connections);
    for (GList *node = connections; node != NULL; node = node->next) {
        S_check_timeout(node->data, now_ms);
    }
    g_list_free(connections);
}

static int
S_listen(const struct sockaddr_in *address, GError **error)
{
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (fd < 0 ||
        bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                    "cannot listen on port %u: %s; name a free address of "
                    "this machine",
                    ntohs(address->sin_port), g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    return fd;
}

BsInboundServer *
BsInboundServer_Create(struct ev_loop *loop, const BsClock *clock,
                       const struct sockaddr_in *address,
                       const BsInboundApp *app, void *context,
                       const BsInboundLimits *limits, BsConnBudget *budget,
                       GError **error)
{
    int fd = S_listen(address, error);
    if (fd < 0) {
        return NULL;
    }
    BsInboundServer *server = g_new0(BsInboundServer, 1);
    server->loop = loop;
    server->clock = clock;
    server->app = app;
    server->context = context;
    server->limits = *limits;
    server->budget = budget;
    server->fd = fd;
    server->listening = true;
    server->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
    ev_io_init(&server->accept_watcher, S_on_accept, fd, EV_READ);
    ev_timer_init(&server->pause_timer, S_on_pause_end, ACCEPT_PAUSE_S, 0);
    ev_timer_init(&server->sweep_timer, S_on_sweep, SWEEP_S, SWEEP_S);
    server->accept_watcher.data = server;
    server->pause_timer.data = server;
    server->sweep_timer.data = server;
    ev_prepare_init(&server->prepare, S_on_prepare);
    server->prepare.data = server;
    ev_prepare_start(loop, &server->prepare);
    ev_io_start(loop, &server->accept_watcher);
    ev_timer_start(loop, &server->sweep_timer);
    return server;
}

void
BsInboundServer_StopListening(BsInboundServer *server)
{
    if (!server->listening) {
        return;
    }
    server->listening = false;
    ev_io_stop(server->loop, &server->accept_watcher);
    ev_timer_stop(server->loop, &server->pause_timer);
    close(server->fd);
}

/* Closes INBOUND at the end of the process; an answer that is cut off by it
   must not end with an orderly close. */
static void
S_end(BsInbound *inbound)
{
    bool cut = inbound->state == BS_INBOUND_ANSWERING && inbound->head_sent;
    if (cut || BsInbound_PendingBytes(inbound) > 0) {
        BsInbound_Reset(inbound);
    }
    else {
        BsInbound_Destroy(inbound);
    }
}

void
BsInboundServer_Destroy(BsInboundServer *server)
{
    if (server == NULL) {
        return;
    }
    GList *connections = g_hash_table_get_keys(server->connections);
    for (GList *node = connections; node != NULL; node = node->next) {
        S_end(node->data);
    }
    g_list_free(connections);
    BsInboundServer_StopListening(server);
    ev_timer_stop(server->loop, &server->sweep_timer);
    ev_prepare_stop(server->loop, &server->prepare);
    g_hash_table_destroy(server->connections);
    g_free(server);
}

void
BsInboundServer_SetLimits(BsInboundServer *server,
                          const BsInboundLimits *limits)
{
    server->limits = *limits;
}

void
BsInboundServer_StartDrain(BsInboundServer *server)
{
    server->draining = true;
}

void
BsInboundServer_CloseIdle(BsInboundServer *server, int64_t idle_ms)
{
    int64_t now_ms = BsInboundServer_NowMs(server);
    GList *connections = g_hash_table_get_keys(server->connections);
    for (GList *node = connections; node != NULL; node = node->next) {
        BsInbound *inbound = node->data;
        if (inbound->state == BS_INBOUND_IDLE &&
            now_ms - inbound->active_ms >= idle_ms) {
            BsInbound_CloseIdle(inbound);
        }
    }
    g_list_free(connections);
}

unsigned
BsInboundServer_Connections(const BsInboundServer *server)
{
    return g_hash_table_size(server->connections);
}

size_t
BsInboundServer_PendingBytes(const BsInboundServer *server)
{
    size_t bytes = 0;
    GHashTableIter iter;
    gpointer inbound;
    g_hash_table_iter_init(&iter, server->connections);
    while (g_hash_table_iter_next(&iter, &inbound, NULL)) {
        bytes += BsInbound_PendingBytes(inbound);
    }
    return bytes;
}

uint64_t
BsInboundServer_HeldBytes(const BsInboundServer *server)
{
    return server->held_bytes;
}

unsigned
BsInboundServer_Requests(const BsInboundServer *server)
{
    return server->requests;
}
