/* soak_proxy.c - a loopback proxy that injects network faults. */
#include "gw_stream.h"
#include "soak.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DELAY_S 0.15

/* Least time between two silences. */
#define SILENCE_REST_MS 1000

/* Most bytes of an answer that pass after a silence began; more than a head
   and an event, so that the cut may be anywhere. */
#define CUT_MAX_BYTES 220

/* Of the answers on kept connections, one in this many comes again. */
#define COPY_ONE_IN 4

#define LENGTH_NAME "Content-Length:"
#define ID_NAME "Request-Id:"
#define OTHER_NAME "Other-Id:"
#define VERSION_LINE " HTTP/1.1\r\n"
#define HEAD_END "\r\n\r\n"
#define EVENT_END "\n\n\r\n"

/* A connection from the gateway and the one to the target. */
typedef struct Pair Pair;

/* Bytes of one direction that are not forwarded yet. */
typedef struct {
    Pair *pair;
    GString *bytes;
    ev_timer timer;
    bool from_gateway;  /* from the gateway */
    size_t spare_bytes; /* may pass in spite of a silence */
    GString *passed;    /* since the other direction last had bytes */
} Direction;

struct Pair {
    SoakProxy *proxy;
    BsStream *gateway_side; /* with the gateway */
    BsStream *target_side;
    Direction directions[2];
    bool ended; /* one side closed during a silence */
};

struct SoakProxy {
    Soak *soak;
    struct sockaddr_in listen;
    struct sockaddr_in target;
    SoakProxyMode mode;
    int fd;
    ev_io accept;
    GHashTable *pairs;
    bool copies; /* answers on kept connections come again */
    bool silent;
    bool holds_requests; /* the silence holds both directions */
    ev_timer silence;    /* end of the silence */
    int64_t silent_ms;   /* end of the last silence */
};

static void
S_free_pair(gpointer data)
{
    Pair *pair = data;
    for (int i = 0; i < 2; i++) {
        ev_timer_stop(pair->proxy->soak->loop, &pair->directions[i].timer);
        g_string_free(pair->directions[i].bytes, TRUE);
        g_string_free(pair->directions[i].passed, TRUE);
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

/* Returns how many of the kept bytes a silence lets pass. */
static size_t
S_passing_bytes(Direction *direction)
{
    const SoakProxy *proxy = direction->pair->proxy;
    size_t size_bytes = direction->bytes->len;
    if (!proxy->silent ||
        (direction->from_gateway && !proxy->holds_requests)) {
        return size_bytes;
    }
    size_bytes = MIN(size_bytes, direction->spare_bytes);
    direction->spare_bytes -= size_bytes;
    return size_bytes;
}

/* Sends the gateway another copy of the last answer, of half of them without
   the request's id, now that it expects the next one. */
static void
S_send_copy(Pair *pair)
{
    Soak *soak = pair->proxy->soak;
    const GString *answer = pair->directions[1].passed;
    if (!pair->proxy->copies ||
        g_strstr_len(answer->str, (gssize)answer->len, LENGTH_NAME) == NULL ||
        g_rand_int_range(soak->failure_random, 0, COPY_ONE_IN) != 0) {
        return;
    }
    GString *copy = g_string_new_len(answer->str, (gssize)answer->len);
    if (g_rand_boolean(soak->failure_random)) {
        g_string_replace(copy, ID_NAME, OTHER_NAME, 0);
    }
    BsStream_Write(pair->gateway_side, copy->str, copy->len);
    g_string_free(copy, TRUE);
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
    size_t size_bytes = S_passing_bytes(direction);
    if (direction->from_gateway && size_bytes > 0) {
        S_send_copy(pair);
    }
    BsStream_Write(direction->from_gateway ? pair->target_side
                                           : pair->gateway_side,
                   direction->bytes->str, size_bytes);
    if (size_bytes > 0) {
        g_string_append_len(direction->passed, direction->bytes->str,
                            (gssize)size_bytes);
        g_string_truncate(pair->directions[direction->from_gateway].passed, 0);
    }
    g_string_erase(direction->bytes, 0, (gssize)size_bytes);
}

static void
S_on_delay_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    S_pass(watcher->data);
}

/* Makes the request in BYTES one of HTTP/1.0, which is answered without
   chunks. */
static void
S_set_old_version(GString *bytes)
{
    char *version = g_strstr_len(bytes->str, (gssize)bytes->len, VERSION_LINE);
    if (version != NULL) {
        version[strlen(VERSION_LINE) - strlen("1\r\n")] = '0';
    }
}

static void
S_on_data(const char *data, size_t size_bytes, void *context)
{
    Direction *direction = context;
    SoakProxy *proxy = direction->pair->proxy;
    g_string_append_len(direction->bytes, data, (gssize)size_bytes);
    if (direction->from_gateway && proxy->soak->unframed) {
        S_set_old_version(direction->bytes);
    }
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
    if (pair->proxy->silent) {
        pair->ended = true;
        return;
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
        pair->directions[i].passed = g_string_new(NULL);
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

/* ---------------------------------------------------------------- silence --
 */

/* Returns where in its answer the silence cut what the gateway got. */
static SoakCut
S_find_cut(const Direction *direction)
{
    const GString *passed = direction->passed;
    if (passed->len == 0) {
        return SOAK_CUT_BEFORE_HEAD;
    }
    if (strstr(passed->str, HEAD_END) == NULL) {
        return SOAK_CUT_IN_HEAD;
    }
    return g_str_has_suffix(passed->str, HEAD_END) ||
                   g_str_has_suffix(passed->str, EVENT_END)
               ? SOAK_CUT_BETWEEN_EVENTS
               : SOAK_CUT_IN_EVENT;
}

static void
S_stop_silence(SoakProxy *proxy)
{
    if (!proxy->silent) {
        return;
    }
    proxy->silent = false;
    proxy->silent_ms = Soak_NowMs(proxy->soak);
    proxy->soak->silent_ms = proxy->silent_ms;
    proxy->soak->silent_count--;
    ev_timer_stop(proxy->soak->loop, &proxy->silence);
}

/* Forwards what the silence held, and the end of connections after it. */
static void
S_on_silence_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    SoakProxy *proxy = watcher->data;
    S_stop_silence(proxy);
    GList *pairs = g_hash_table_get_keys(proxy->pairs);
    for (GList *node = pairs; node != NULL; node = node->next) {
        Pair *pair = node->data;
        if (pair->directions[1].bytes->len > 0) {
            proxy->soak->cuts[S_find_cut(&pair->directions[1])]++;
        }
        S_pass(&pair->directions[0]);
        S_pass(&pair->directions[1]);
        if (pair->ended) {
            S_on_end(0, &pair->directions[0]);
        }
    }
    g_list_free(pairs);
}

bool
SoakProxy_FallSilent(SoakProxy *proxy, int silence_ms, bool holds_requests)
{
    Soak *soak = proxy->soak;
    GHashTableIter iter;
    gpointer key;
    if (proxy->silent || proxy->fd < 0 ||
        Soak_NowMs(soak) - proxy->silent_ms < SILENCE_REST_MS) {
        return false;
    }
    proxy->silent = true;
    proxy->holds_requests = holds_requests;
    soak->silent_count++;
    soak->silences++;
    g_hash_table_iter_init(&iter, proxy->pairs);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        /* About half of the connections are cut at once. */
        int spare_bytes = g_rand_int_range(soak->silent_random, -CUT_MAX_BYTES,
                                           CUT_MAX_BYTES);
        ((Pair *)key)->directions[0].spare_bytes = 0;
        ((Pair *)key)->directions[1].spare_bytes = (size_t)MAX(spare_bytes, 0);
    }
    ev_timer_set(&proxy->silence, silence_ms / 1000.0, 0);
    ev_timer_start(soak->loop, &proxy->silence);
    return true;
}

int64_t
SoakProxy_SilentMs(const SoakProxy *proxy)
{
    return proxy->silent ? Soak_NowMs(proxy->soak) : proxy->silent_ms;
}

/* -------------------------------------------------------------- lifecycle --
 */

void
SoakProxy_SetCopies(SoakProxy *proxy, bool copies)
{
    proxy->copies = copies;
}

void
SoakProxy_SetListening(SoakProxy *proxy, bool listening)
{
    int on = 1;
    if (!listening) {
        S_stop_silence(proxy);
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
    ev_timer_init(&proxy->silence, S_on_silence_end, 0, 0);
    proxy->silence.data = proxy;
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
    S_stop_silence(proxy);
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
