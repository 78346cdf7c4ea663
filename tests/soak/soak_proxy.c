/* soak_proxy.c - a loopback proxy that injects network faults. */
#include "gw_stream.h"
#include "soak.h"

#include <sys/socket.h>
#include <unistd.h>

#define DELAY_S 0.15

/* A connection from the gateway and the one to the target. */
typedef struct Pair Pair;

/* Bytes of one direction that are not forwarded yet. */
typedef struct {
    Pair *pair;
    GString *bytes;
    ev_timer timer;
    bool from_gateway; /* from the gateway */
} Direction;

struct Pair {
    SoakProxy *proxy;
    BsStream *gateway_side; /* with the gateway */
    BsStream *target_side;
    Direction directions[2];
    bool ended;
};

struct SoakProxy {
    Soak *soak;
    struct sockaddr_in listen;
    struct sockaddr_in target;
    SoakProxyMode mode;
    int fd;
    ev_io accept;
    GHashTable *pairs;
};

static void
S_free_pair(gpointer data)
{
    Pair *pair = data;
    for (int i = 0; i < 2; i++) {
        ev_timer_stop(pair->proxy->soak->loop, &pair->directions[i].timer);
        g_string_free(pair->directions[i].bytes, TRUE);
    }
    BsStream_Destroy(pair->gateway_side);
    BsStream_Destroy(pair->target_side);
    g_free(pair);
}

static void
S_end_pair(Pair *pair)
{
    g_hash_table_remove(pair->proxy->pairs, pair);
}

static void
S_pass(Direction *direction)
{
    Pair *pair = direction->pair;
    SoakProxyMode mode = pair->proxy->mode;
    if (mode == SOAK_BLACKHOLE ||
        (mode == SOAK_ONE_WAY && !direction->from_gateway)) {
        return; /* keep the bytes: a cut by itself loses none */
    }
    BsStream_Write(direction->from_gateway ? pair->target_side
                                           : pair->gateway_side,
                   direction->bytes->str, direction->bytes->len);
    g_string_truncate(direction->bytes, 0);
}

static void
S_on_delay_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    S_pass(watcher->data);
}

static void
S_on_data(const char *data, size_t size_bytes, void *context)
{
    Direction *direction = context;
    SoakProxy *proxy = direction->pair->proxy;
    g_string_append_len(direction->bytes, data, (gssize)size_bytes);
    if (proxy->mode == SOAK_DELAY) {
        if (!ev_is_active(&direction->timer)) {
            ev_timer_set(&direction->timer, DELAY_S, 0);
            ev_timer_start(proxy->soak->loop, &direction->timer);
        }
        return;
    }
    S_pass(direction);
}

static void
S_on_end(int error_number, void *context)
{
    Pair *pair = ((Direction *)context)->pair;
    SoakProxyMode mode = pair->proxy->mode;
    (void)error_number;
    if (mode == SOAK_BLACKHOLE || mode == SOAK_ONE_WAY) {
        return; /* the other side does not see the close either */
    }
    S_pass(&pair->directions[0]);
    S_pass(&pair->directions[1]);
    S_end_pair(pair);
}

static const BsStreamEvents S_events = {
    .on_data = S_on_data,
    .on_end = S_on_end,
};

static void
S_on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    SoakProxy *proxy = watcher->data;
    int fd = accept4(proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    if (proxy->mode == SOAK_RESET) {
        struct linger now = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close(fd);
        return;
    }
    Pair *pair = g_new0(Pair, 1);
    pair->proxy = proxy;
    for (int i = 0; i < 2; i++) {
        pair->directions[i].pair = pair;
        pair->directions[i].bytes = g_string_new(NULL);
        pair->directions[i].from_gateway = i == 0;
        ev_timer_init(&pair->directions[i].timer, S_on_delay_end, 0, 0);
        pair->directions[i].timer.data = &pair->directions[i];
    }
    g_hash_table_add(proxy->pairs, pair);
    pair->gateway_side =
        BsStream_Adopt(loop, fd, &S_events, &pair->directions[0]);
    pair->target_side = BsStream_Connect(loop, &proxy->target, &S_events,
                                         &pair->directions[1]);
    if (pair->target_side == NULL) {
        S_end_pair(pair);
    }
}

void
SoakProxy_SetListening(SoakProxy *proxy, bool listening)
{
    int on = 1;
    if (!listening) {
        ev_io_stop(proxy->soak->loop, &proxy->accept);
        close(proxy->fd);
        proxy->fd = -1;
        g_hash_table_remove_all(proxy->pairs);
        return;
    }
    proxy->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(proxy->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(proxy->fd, (const struct sockaddr *)&proxy->listen,
             sizeof(proxy->listen)) != 0 ||
        listen(proxy->fd, 256) != 0) {
        g_error("proxy: cannot listen; is another soak running?");
    }
    ev_io_init(&proxy->accept, S_on_accept, proxy->fd, EV_READ);
    proxy->accept.data = proxy;
    ev_io_start(proxy->soak->loop, &proxy->accept);
}

SoakProxy *
SoakProxy_Create(Soak *soak, const struct sockaddr_in *listen_address,
                 const struct sockaddr_in *target)
{
    SoakProxy *proxy = g_new0(SoakProxy, 1);
    proxy->soak = soak;
    proxy->listen = *listen_address;
    proxy->target = *target;
    proxy->pairs = g_hash_table_new_full(NULL, NULL, S_free_pair, NULL);
    SoakProxy_SetListening(proxy, true);
    return proxy;
}

void
SoakProxy_Destroy(SoakProxy *proxy)
{
    if (proxy->fd >= 0) {
        ev_io_stop(proxy->soak->loop, &proxy->accept);
        close(proxy->fd);
    }
    g_hash_table_destroy(proxy->pairs);
    g_free(proxy);
}

void
SoakProxy_SetMode(SoakProxy *proxy, SoakProxyMode mode)
{
    proxy->mode = mode;
    if (mode == SOAK_RESET) {
        g_hash_table_remove_all(proxy->pairs);
        return;
    }
    if (mode != SOAK_PASS) {
        return;
    }
    /* Forward the bytes kept during the fault. */
    GList *pairs = g_hash_table_get_keys(proxy->pairs);
    for (GList *node = pairs; node != NULL; node = node->next) {
        Pair *pair = node->data;
        S_pass(&pair->directions[0]);
        S_pass(&pair->directions[1]);
    }
    g_list_free(pairs);
}
