/* d_zap.c - authentication of peers by public key. */
#include "d_zap.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#define ENDPOINT "inproc://zeromq.zap.01"
#define FRAMES_MAX 16
#define KEY_BYTES 32
#define KEY_TEXT_BYTES 41 /* in Z85, with the final NUL */

/* Indexes of frames in a ZAP request (ZeroMQ RFC 27). */
#define FRAME_REQUEST_ID 1
#define FRAME_MECHANISM 5
#define FRAME_KEY 6

struct BsZap {
    BsLoop *loop;
    void *socket;
    GHashTable *allowed; /* public keys in Z85 */
    ev_io io;
    ev_prepare first_read; /* never started, only fed one event */
};

typedef struct {
    char *data[FRAMES_MAX];
    size_t size[FRAMES_MAX];
    int count;
} BsFrames;

static void
S_clear_frames(BsFrames *frames)
{
    for (int i = 0; i < frames->count; i++) {
        g_free(frames->data[i]);
    }
    frames->count = 0;
}

/* Receives one request into FRAMES; returns whether there was one. */
static bool
S_receive_request(BsZap *zap, BsFrames *frames)
{
    bool more = true;
    frames->count = 0;
    while (more) {
        zmq_msg_t frame;
        zmq_msg_init(&frame);
        if (zmq_msg_recv(&frame, zap->socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frame);
            return false;
        }
        more = zmq_msg_more(&frame) != 0;
        if (frames->count < FRAMES_MAX) {
            size_t size = zmq_msg_size(&frame);
            char *copy = g_malloc0(size + 1);
            memcpy(copy, zmq_msg_data(&frame), size);
            frames->data[frames->count] = copy;
            frames->size[frames->count] = size;
            frames->count++;
        }
        zmq_msg_close(&frame);
    }
    return true;
}

static bool
S_is_allowed(const BsZap *zap, const BsFrames *frames)
{
    char text[KEY_TEXT_BYTES];
    return frames->count > FRAME_KEY &&
           strcmp(frames->data[FRAME_MECHANISM], "CURVE") == 0 &&
           frames->size[FRAME_KEY] == KEY_BYTES &&
           zmq_z85_encode(text, (const uint8_t *)frames->data[FRAME_KEY],
                          KEY_BYTES) != NULL &&
           g_hash_table_contains(zap->allowed, text);
}

static void
S_send_frame(BsZap *zap, const char *text, int flags)
{
    zmq_send(zap->socket, text, strlen(text), ZMQ_DONTWAIT | flags);
}

static void
S_reply(BsZap *zap, const BsFrames *frames)
{
    bool allowed = S_is_allowed(zap, frames);
    const char *id =
        frames->count > FRAME_REQUEST_ID ? frames->data[FRAME_REQUEST_ID] : "";
    BsLoop_Count(zap->loop,
                 allowed ? "peer_keys_allowed" : "peer_keys_refused", 1);
    S_send_frame(zap, "1.0", ZMQ_SNDMORE);
    S_send_frame(zap, id, ZMQ_SNDMORE);
    S_send_frame(zap, allowed ? "200" : "400", ZMQ_SNDMORE);
    S_send_frame(zap, allowed ? "OK" : "key not allowed", ZMQ_SNDMORE);
    S_send_frame(zap, "", ZMQ_SNDMORE);
    S_send_frame(zap, "", 0);
}

/* Answers all queued requests, since the socket's descriptor is
   edge-triggered. */
static void
S_answer_requests(BsZap *zap)
{
    BsFrames frames;
    while (S_receive_request(zap, &frames)) {
        S_reply(zap, &frames);
        S_clear_frames(&frames);
    }
    S_clear_frames(&frames);
}

static void
S_on_io(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    S_answer_requests(watcher->data);
}

static void
S_on_first_read(struct ev_loop *ev, ev_prepare *watcher, int events)
{
    (void)ev;
    (void)events;
    S_answer_requests(watcher->data);
}

static void
S_load_keys(BsZap *zap)
{
    const BsCurveSettings *curve = BsLoop_Settings(zap->loop)->curve;
    zap->allowed = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(zap->allowed, curve->public_key);
    for (unsigned i = 0; i < curve->allowed_count; i++) {
        g_hash_table_add(zap->allowed, curve->allowed[i]);
    }
}

BsZap *
BsZap_Create(BsLoop *loop, void *context, GError **error)
{
    BsZap *zap = g_new0(BsZap, 1);
    int fd = -1;
    size_t size = sizeof(fd);
    zap->loop = loop;
    S_load_keys(zap);
    zap->socket = zmq_socket(context, ZMQ_REP);
    if (zap->socket == NULL || zmq_bind(zap->socket, ENDPOINT) != 0) {
        g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                    "curve: cannot check keys of peers: %s; install a ZeroMQ "
                    "with CURVE",
                    zmq_strerror(errno));
        BsZap_Destroy(zap);
        return NULL;
    }
    zmq_getsockopt(zap->socket, ZMQ_FD, &fd, &size);
    ev_io_init(&zap->io, S_on_io, fd, EV_READ);
    zap->io.data = zap;
    ev_io_start(BsLoop_Ev(loop), &zap->io);
    ev_prepare_init(&zap->first_read, S_on_first_read);
    zap->first_read.data = zap;
    ev_feed_event(BsLoop_Ev(loop), &zap->first_read, EV_PREPARE);
    return zap;
}

void
BsZap_Destroy(BsZap *zap)
{
    if (zap == NULL) {
        return;
    }
    if (zap->io.data != NULL) {
        ev_io_stop(BsLoop_Ev(zap->loop), &zap->io);
        ev_clear_pending(BsLoop_Ev(zap->loop), &zap->first_read);
    }
    if (zap->socket != NULL) {
        int linger = 0;
        zmq_setsockopt(zap->socket, ZMQ_LINGER, &linger, sizeof(linger));
        zmq_close(zap->socket);
    }
    g_hash_table_destroy(zap->allowed);
    g_free(zap);
}
