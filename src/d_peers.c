/* d_peers.c - messages between instances over ZeroMQ. */
#include "d_peers.h"

#include "d_zap.h"
#include "schema.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#define HIGH_WATER_MESSAGES 10000
#define MESSAGE_MAX_BYTES (INT64_C(16) * 1024 * 1024)
#define RECONNECT_MS 20
#define RECONNECT_MAX_MS 500
#define CONNECT_TIMEOUT_MS 1000
#define HANDSHAKE_TIMEOUT_MS 3000
#define TCP_UNACKNOWLEDGED_MAX_MS 5000
#define RECEIVE_BATCH 256
#define KIND_LAST 127 /* the highest that BsLoop_Handle() takes */

typedef struct {
    char *address;
    void *socket;
} BsPeer;

struct BsPeerSockets {
    BsLoop *loop;
    void *context;
    void *router;      /* receives from all peers */
    BsZap *zap;        /* NULL without encryption */
    GHashTable *peers; /* BsPeer by instance name */
    ev_io io;
    /* Never started, only fed events to continue after a full batch. */
    ev_prepare resume;
};

static void
S_destroy_peer(void *data)
{
    BsPeer *peer = data;
    zmq_close(peer->socket);
    g_free(peer->address);
    g_free(peer);
}

static void
S_set_int_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
S_set_common_options(void *socket)
{
    int64_t max = MESSAGE_MAX_BYTES;
    S_set_int_option(socket, ZMQ_LINGER, 0);
    S_set_int_option(socket, ZMQ_SNDHWM, HIGH_WATER_MESSAGES);
    S_set_int_option(socket, ZMQ_RCVHWM, HIGH_WATER_MESSAGES);
    S_set_int_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
    S_set_int_option(socket, ZMQ_TCP_MAXRT, TCP_UNACKNOWLEDGED_MAX_MS);
    S_set_int_option(socket, ZMQ_TCP_KEEPALIVE, 1);
    S_set_int_option(socket, ZMQ_IPV6, 1);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
}

/* Sets the CURVE keys of a sending socket; the fleet shares one key pair. */
static void
S_set_client_keys(void *socket, const BsCurveSettings *curve)
{
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, curve->public_key,
                   strlen(curve->public_key) + 1);
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, curve->public_key,
                   strlen(curve->public_key) + 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, curve->secret_key,
                   strlen(curve->secret_key) + 1);
}

/* Creates a sending socket.  With ZMQ_IMMEDIATE, messages are not queued for
   a disconnected peer, so they cannot reach the instance that replaces it. */
static BsPeer *
S_connect(BsPeerSockets *peers, const char *address)
{
    BsPeer *peer = g_new0(BsPeer, 1);
    char *endpoint = g_strdup_printf("tcp://%s", address);
    peer->address = g_strdup(address);
    peer->socket = zmq_socket(peers->context, ZMQ_DEALER);
    S_set_common_options(peer->socket);
    if (BsLoop_Settings(peers->loop)->curve != NULL) {
        S_set_client_keys(peer->socket, BsLoop_Settings(peers->loop)->curve);
    }
    S_set_int_option(peer->socket, ZMQ_IMMEDIATE, 1);
    S_set_int_option(peer->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
    S_set_int_option(peer->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    S_set_int_option(peer->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
    if (zmq_connect(peer->socket, endpoint) != 0) {
        BsLoop_Count(peers->loop, "peer_addresses_bad", 1);
    }
    g_free(endpoint);
    return peer;
}

static void
S_on_list(const BsMessage *message, void *context)
{
    BsPeerSockets *peers = context;
    const GPtrArray *entries = message->u.list.entries;
    GHashTable *previous = peers->peers;
    peers->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_destroy_peer);
    for (guint i = 0; entries != NULL && i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (entry->kind != BS_NODE_INSTANCE || entry->address == NULL ||
            strcmp(entry->name, BsLoop_Settings(peers->loop)->name) == 0 ||
            g_hash_table_contains(peers->peers, entry->name)) {
            continue;
        }
        BsPeer *peer = g_hash_table_lookup(previous, entry->name);
        if (peer != NULL && strcmp(peer->address, entry->address) == 0) {
            gpointer key;
            g_hash_table_steal_extended(previous, entry->name, &key, NULL);
            g_free(key);
        }
        else {
            peer = S_connect(peers, entry->address);
        }
        g_hash_table_insert(peers->peers, g_strdup(entry->name), peer);
    }
    g_hash_table_destroy(previous);
}

static void
S_on_send(const BsMessage *message, void *context)
{
    BsPeerSockets *peers = context;
    BsPeer *peer = message->to == NULL
                       ? NULL
                       : g_hash_table_lookup(peers->peers, message->to);
    if (peer == NULL) {
        if (message->to != NULL && message->from != NULL &&
            strcmp(message->from, BsLoop_Settings(peers->loop)->name) == 0) {
            BsLoop_Count(peers->loop, "peer_sends_unknown_peer", 1);
        }
        return;
    }
    GBytes *bytes = BsMessage_Encode(message);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    if (zmq_send(peer->socket, data, size, ZMQ_DONTWAIT) < 0) {
        BsLoop_Count(peers->loop, "peer_sends_dropped", 1);
    }
    else {
        BsLoop_Count(peers->loop, "peer_bytes_sent", size);
    }
    g_bytes_unref(bytes);
}

static void
S_handle_frame(BsPeerSockets *peers, zmq_msg_t *frame)
{
    GError *error = NULL;
    size_t size = zmq_msg_size(frame);
    BsLoop_Count(peers->loop, "peer_bytes_received", size);
    BsMessage *message = BsMessage_Decode(zmq_msg_data(frame), size, &error);
    if (message == NULL) {
        BsLoop_Count(peers->loop, "peer_messages_bad", 1);
        g_error_free(error);
        return;
    }
    if (!BsSchema_IsPeerKind(message->kind) || message->from == NULL ||
        strcmp(message->from, BsLoop_Settings(peers->loop)->name) == 0) {
        BsLoop_Count(peers->loop, "peer_messages_bad", 1);
        BsMessage_Destroy(message);
        return;
    }
    BsLoop_Post(peers->loop, message);
}

/* Receives one message; returns whether there was one.  The first frame is
   the sender's routing id, the second the message; others are ignored. */
static bool
S_receive_message(BsPeerSockets *peers)
{
    zmq_msg_t frame;
    int index = 0;
    bool more = true;
    while (more) {
        zmq_msg_init(&frame);
        if (zmq_msg_recv(&frame, peers->router, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frame);
            return false;
        }
        more = zmq_msg_more(&frame) != 0;
        if (index == 1) {
            S_handle_frame(peers, &frame);
        }
        zmq_msg_close(&frame);
        index++;
    }
    return true;
}

/* Receives until the socket is empty, since its descriptor is edge-triggered.
   After RECEIVE_BATCH messages, lets other tasks run and continues later. */
static void
S_receive_batch(BsPeerSockets *peers)
{
    for (int i = 0; i < RECEIVE_BATCH; i++) {
        if (!S_receive_message(peers)) {
            return;
        }
    }
    ev_feed_event(BsLoop_Ev(peers->loop), &peers->resume, EV_PREPARE);
}

static void
S_on_io(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    S_receive_batch(watcher->data);
}

static void
S_on_resume(struct ev_loop *ev, ev_prepare *watcher, int events)
{
    (void)ev;
    (void)events;
    S_receive_batch(watcher->data);
}

/* Sets the CURVE keys of the receiving socket and starts to check the keys of
   peers; does nothing without encryption. */
static bool
S_enable_curve(BsPeerSockets *peers, GError **error)
{
    const BsCurveSettings *curve = BsLoop_Settings(peers->loop)->curve;
    if (curve == NULL) {
        return true;
    }
    peers->zap = BsZap_Create(peers->loop, peers->context, error);
    if (peers->zap == NULL) {
        return false;
    }
    S_set_int_option(peers->router, ZMQ_CURVE_SERVER, 1);
    zmq_setsockopt(peers->router, ZMQ_CURVE_SECRETKEY, curve->secret_key,
                   strlen(curve->secret_key) + 1);
    return true;
}

static bool
S_bind(BsPeerSockets *peers, GError **error)
{
    const char *address = BsLoop_Settings(peers->loop)->peers;
    char *endpoint = g_strdup_printf("tcp://%s", address);
    int result = zmq_bind(peers->router, endpoint);
    g_free(endpoint);
    if (result == 0) {
        return true;
    }
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "peers: cannot listen on %s: %s; stop the program that uses "
                "it or choose another port",
                address, zmq_strerror(errno));
    return false;
}

static void
S_start_receiving(BsPeerSockets *peers)
{
    int fd;
    size_t size = sizeof(fd);
    zmq_getsockopt(peers->router, ZMQ_FD, &fd, &size);
    ev_io_init(&peers->io, S_on_io, fd, EV_READ);
    peers->io.data = peers;
    ev_io_start(BsLoop_Ev(peers->loop), &peers->io);
    ev_prepare_init(&peers->resume, S_on_resume);
    peers->resume.data = peers;
    ev_feed_event(BsLoop_Ev(peers->loop), &peers->resume, EV_PREPARE);
}

BsPeerSockets *
BsPeerSockets_Create(BsLoop *loop, GError **error)
{
    BsPeerSockets *peers = g_new0(BsPeerSockets, 1);
    peers->loop = loop;
    peers->context = zmq_ctx_new();
    peers->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_destroy_peer);
    peers->router = zmq_socket(peers->context, ZMQ_ROUTER);
    S_set_common_options(peers->router);
    if (!S_enable_curve(peers, error) || !S_bind(peers, error)) {
        BsPeerSockets_Destroy(peers);
        return NULL;
    }
    S_start_receiving(peers);
    BsLoop_Handle(loop, BS_PLATFORM_LIST, S_on_list, peers);
    for (uint32_t kind = BS_FORWARD; kind <= KIND_LAST; kind++) {
        if (BsSchema_IsPeerKind(kind)) {
            BsLoop_Handle(loop, kind, S_on_send, peers);
        }
    }
    return peers;
}

void
BsPeerSockets_Destroy(BsPeerSockets *peers)
{
    if (peers == NULL) {
        return;
    }
    if (peers->io.data != NULL) {
        ev_io_stop(BsLoop_Ev(peers->loop), &peers->io);
        ev_clear_pending(BsLoop_Ev(peers->loop), &peers->resume);
    }
    g_hash_table_destroy(peers->peers);
    zmq_close(peers->router);
    BsZap_Destroy(peers->zap);
    zmq_ctx_term(peers->context);
    g_free(peers);
}
