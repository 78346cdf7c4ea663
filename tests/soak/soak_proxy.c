/* soak_proxy.c - a loopback proxy that harms connections. */
#include "gw_stream.h"
#include "soak.h"

#include <sys/socket.h>
#include <unistd.h>

#define DELAY_S 0.15

typedef struct Pair Pair;

/* One direction's bytes that wait to be passed on. */
typedef struct {
    Pair *pair;
    GString *bytes;
    ev_timer timer;
    bool forward; /* from the gateway */
} Way;

struct Pair {
    SoakProxy *proxy;
    BsStream *near; /* to the gateway */
    BsStream *far;
    Way ways[2];
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
        ev_timer_stop(pair->proxy->soak->loop, &pair->ways[i].timer);
        g_string_free(pair->ways[i].bytes, TRUE);
    }
    BsStream_Destroy(pair->near);
    BsStream_Destroy(pair->far);
    g_free(pair);
}

static void
S_end_pair(Pair *pair)
{
    g_hash_table_remove(pair->proxy->pairs, pair);
}

static void
S_pass(Way *way)
{
    Pair *pair = way->pair;
    SoakProxyMode mode = pair->proxy->mode;
    if (mode == SOAK_SILENT || (mode == SOAK_ONE_WAY && !way->forward)) {
        return; /* the bytes stay for good: a cut loses nothing by itself */
    }
    BsStream_Write(way->forward ? pair->far : pair->near, way->bytes->str,
                   way->bytes->len);
    g_string_truncate(way->bytes, 0);
}

static void
S_on_late(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    S_pass(watcher->data);
}

static void
S_on_data(const char *data, size_t size_bytes, void *context)
{
    Way *way = context;
    SoakProxy *proxy = way->pair->proxy;
    g_string_append_len(way->bytes, data, (gssize)size_bytes);
    if (proxy->mode == SOAK_DELAY) {
        if (!ev_is_active(&way->timer)) {
            ev_timer_set(&way->timer, DELAY_S, 0);
            ev_timer_start(proxy->soak->loop, &way->timer);
        }
        return;
    }
    S_pass(way);
}

static void
S_on_end(int error_number, void *context)
{
    Pair *pair = ((Way *)context)->pair;
    SoakProxyMode mode = pair->proxy->mode;
    (void)error_number;
    if (mode == SOAK_SILENT || mode == SOAK_ONE_WAY) {
        return; /* the end is not seen on the other side either */
    }
    S_pass(&pair->ways[0]);
    S_pass(&pair->ways[1]);
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
        pair->ways[i].pair = pair;
        pair->ways[i].bytes = g_string_new(NULL);
        pair->ways[i].forward = i == 0;
        ev_timer_init(&pair->ways[i].timer, S_on_late, 0, 0);
        pair->ways[i].timer.data = &pair->ways[i];
    }
    g_hash_table_add(proxy->pairs, pair);
    pair->near = BsStream_Adopt(loop, fd, &S_events, &pair->ways[0]);
    pair->far =
        BsStream_Connect(loop, &proxy->target, &S_events, &pair->ways[1]);
    if (pair->far == NULL) {
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
    /* What was held up during a cut arrives now. */
    GList *pairs = g_hash_table_get_keys(proxy->pairs);
    for (GList *node = pairs; node != NULL; node = node->next) {
        Pair *pair = node->data;
        S_pass(&pair->ways[0]);
        S_pass(&pair->ways[1]);
    }
    g_list_free(pairs);
}
