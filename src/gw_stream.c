/* gw_stream.c - a non-blocking TCP connection with buffered writes. */
#include "gw_stream.h"

#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Size of one read; holds a whole prompt of usual size. */
#define READ_BYTES 32768

/* Sent bytes are removed from the front of the buffer when there are more. */
#define COMPACT_BYTES 65536

/* A write buffer that has grown beyond this is given back once it is sent, so
   that idle connections do not keep the largest message that they carried. */
#define KEPT_BUFFER_BYTES 1024

/* TCP_USER_TIMEOUT: the connection fails when sent data is not acknowledged
   for this long.  Longer than any pause of a working link and shorter than the
   time limits of requests. */
#define USER_TIMEOUT_MS 4000

struct BsStream {
    struct ev_loop *loop;
    const BsStreamEvents *events;
    void *context;
    void (*on_freed)(void *context);
    void *freed_context;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer close_timer;
    GString *out;
    size_t out_at;      /* sent bytes at the front of OUT */
    size_t undelivered; /* bytes, when the close limit was last checked */
    int fd;
    unsigned depth; /* nested callbacks; freed only at 0 */
    bool connecting;
    bool closing;       /* sends what is buffered, then closes itself */
    bool shut_writes;   /* shuts down writing once the buffer is sent */
    bool leaves_unread; /* reads nothing before it closes itself */
    bool socket_closed;
};

/* Streams given to BsStream_CloseWhenSent(), which have no owner.  The list is
   global because each process has one event loop. */
static GQueue S_closing = G_QUEUE_INIT;

/* Streams that were closed with bytes left unread. */
static uint64_t S_unread_closes;

static void
S_free(BsStream *stream)
{
    if (stream->closing) {
        g_queue_remove(&S_closing, stream);
    }
    if (stream->on_freed != NULL) {
        stream->on_freed(stream->freed_context);
    }
    g_string_free(stream->out, TRUE);
    g_free(stream);
}

/* Returns the bytes that have arrived and were not read, 0 when that is
   unknown. */
static int
S_unread_bytes(const BsStream *stream)
{
    int bytes = 0;
    return ioctl(stream->fd, FIONREAD, &bytes) == 0 ? bytes : 0;
}

static void
S_close_socket(BsStream *stream)
{
    if (stream->socket_closed) {
        return;
    }
    stream->socket_closed = true;
    if (stream->leaves_unread && S_unread_bytes(stream) > 0) {
        S_unread_closes++;
    }
    ev_io_stop(stream->loop, &stream->read_watcher);
    ev_io_stop(stream->loop, &stream->write_watcher);
    ev_timer_stop(stream->loop, &stream->close_timer);
    close(stream->fd);
}

void
BsStream_Destroy(BsStream *stream)
{
    if (stream == NULL) {
        return;
    }
    S_close_socket(stream);
    if (stream->depth == 0) {
        S_free(stream);
    }
}

static void
S_enter_callback(BsStream *stream)
{
    stream->depth++;
}

static void
S_leave_callback(BsStream *stream)
{
    stream->depth--;
    if (stream->socket_closed && stream->depth == 0) {
        S_free(stream);
    }
}

static void
S_report_end(BsStream *stream, int error_number)
{
    if (stream->closing) {
        S_close_socket(stream);
        return;
    }
    ev_io_stop(stream->loop, &stream->read_watcher);
    ev_io_stop(stream->loop, &stream->write_watcher);
    stream->events->on_end(error_number, stream->context);
}

/* Empties the write buffer. */
static void
S_clear_buffer(BsStream *stream)
{
    stream->out_at = 0;
    if (stream->out->allocated_len <= KEPT_BUFFER_BYTES) {
        g_string_truncate(stream->out, 0);
        return;
    }
    g_string_free(stream->out, TRUE);
    stream->out = g_string_new(NULL);
}

/* Sends as much as the kernel accepts.  Returns false with errno set when the
   connection failed. */
static bool
S_flush(BsStream *stream)
{
    while (stream->out_at < stream->out->len) {
        ssize_t sent = send(stream->fd, stream->out->str + stream->out_at,
                            stream->out->len - stream->out_at, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (sent < 0) {
            return false;
        }
        stream->out_at += (size_t)sent;
    }
    if (stream->out_at == stream->out->len) {
        S_clear_buffer(stream);
    }
    else if (stream->out_at > COMPACT_BYTES) {
        g_string_erase(stream->out, 0, (gssize)stream->out_at);
        stream->out_at = 0;
    }
    return true;
}

static void
S_on_sent(BsStream *stream)
{
    ev_io_stop(stream->loop, &stream->write_watcher);
    if (stream->closing || stream->shut_writes) {
        shutdown(stream->fd, SHUT_WR);
    }
    else if (stream->events->on_drained != NULL) {
        stream->events->on_drained(stream->context);
    }
}

static void
S_on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    BsStream *stream = watcher->data;
    S_enter_callback(stream);
    int error_number = 0;
    socklen_t length = sizeof(error_number);
    if (stream->connecting) {
        getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &error_number, &length);
        stream->connecting = false;
        if (error_number == 0) {
            ev_io_start(stream->loop, &stream->read_watcher);
            if (stream->events->on_connected != NULL) {
                stream->events->on_connected(stream->context);
            }
        }
    }
    if (stream->socket_closed) {
        S_leave_callback(stream);
        return;
    }
    if (error_number == 0 && !S_flush(stream)) {
        error_number = errno;
    }
    if (error_number != 0) {
        S_report_end(stream, error_number);
    }
    else if (stream->out->len == 0) {
        S_on_sent(stream);
    }
    S_leave_callback(stream);
}

static void
S_on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    static char buffer[READ_BYTES];
    BsStream *stream = watcher->data;
    if (stream->leaves_unread) {
        BsStream_Destroy(stream);
        return;
    }
    ssize_t size = recv(stream->fd, buffer, sizeof(buffer), 0);
    if (size < 0 &&
        (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    S_enter_callback(stream);
    if (size > 0 && !stream->closing) {
        stream->events->on_data(buffer, (size_t)size, stream->context);
    }
    else if (size <= 0) {
        S_report_end(stream, size < 0 ? errno : 0);
    }
    S_leave_callback(stream);
}

void
BsStream_CloseNow(BsStream *stream)
{
    if (BsStream_PendingBytes(stream) > 0) {
        BsStream_Abort(stream);
    }
    else {
        BsStream_Destroy(stream);
    }
}

/* Runs at each end of the close limit: closes, unless the peer has taken some
   of the buffered bytes since the last one.  Counts what the peer has
   acknowledged, as the kernel accepts bytes in large steps only. */
static void
S_on_close_limit(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsStream *stream = watcher->data;
    size_t before = stream->undelivered;
    stream->undelivered = BsStream_UndeliveredBytes(stream);
    if (BsStream_PendingBytes(stream) == 0 || stream->undelivered >= before) {
        BsStream_CloseNow(stream);
    }
}

static BsStream *
S_create(struct ev_loop *loop, int fd, const BsStreamEvents *events,
         void *context)
{
    BsStream *stream = g_new0(BsStream, 1);
    int on = 1;
    int timeout_ms = USER_TIMEOUT_MS;
    stream->loop = loop;
    stream->fd = fd;
    stream->events = events;
    stream->context = context;
    stream->out = g_string_new(NULL);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    ev_io_init(&stream->read_watcher, S_on_readable, fd, EV_READ);
    ev_io_init(&stream->write_watcher, S_on_writable, fd, EV_WRITE);
    ev_timer_init(&stream->close_timer, S_on_close_limit, 1, 0);
    stream->read_watcher.data = stream;
    stream->write_watcher.data = stream;
    stream->close_timer.data = stream;
    return stream;
}

BsStream *
BsStream_Connect(struct ev_loop *loop, const struct sockaddr_in *address,
                 const BsStreamEvents *events, void *context)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    BsStream *stream = S_create(loop, fd, events, context);
    stream->connecting = true;
    ev_io_start(loop, &stream->write_watcher);
    return stream;
}

BsStream *
BsStream_Adopt(struct ev_loop *loop, int fd, const BsStreamEvents *events,
               void *context)
{
    BsStream *stream = S_create(loop, fd, events, context);
    ev_io_start(loop, &stream->read_watcher);
    return stream;
}

void
BsStream_CloseWhenSent(BsStream *stream, double limit_s)
{
    stream->closing = true;
    g_queue_push_tail(&S_closing, stream);
    ev_io_start(stream->loop, &stream->read_watcher);
    stream->undelivered = BsStream_UndeliveredBytes(stream);
    ev_timer_set(&stream->close_timer, limit_s, limit_s);
    ev_timer_start(stream->loop, &stream->close_timer);
    if (stream->out->len == 0 && !stream->connecting) {
        S_on_sent(stream);
    }
}

void
BsStream_CloseUnread(BsStream *stream, double limit_s)
{
    stream->leaves_unread = true;
    BsStream_CloseWhenSent(stream, limit_s);
}

void
BsStream_SetOnFreed(BsStream *stream, void (*on_freed)(void *context),
                    void *context)
{
    stream->on_freed = on_freed;
    stream->freed_context = context;
}

uint64_t
BsStream_UnreadCloses(void)
{
    return S_unread_closes;
}

size_t
BsStream_ClosingBytes(void)
{
    size_t bytes = 0;
    for (GList *item = S_closing.head; item != NULL; item = item->next) {
        bytes += BsStream_PendingBytes(item->data);
    }
    return bytes;
}

/* Sends the buffered bytes of STREAM with blocking writes, each of which may
   take up to LIMIT_S seconds. */
static void
S_send_blocking(BsStream *stream, unsigned limit_s)
{
    const struct timeval limit = {.tv_sec = limit_s};
    int flags = fcntl(stream->fd, F_GETFL);
    fcntl(stream->fd, F_SETFL, flags & ~O_NONBLOCK);
    setsockopt(stream->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    while (stream->out_at < stream->out->len) {
        ssize_t size = send(stream->fd, stream->out->str + stream->out_at,
                            stream->out->len - stream->out_at, MSG_NOSIGNAL);
        if (size <= 0) {
            return; /* connection failed or timed out */
        }
        stream->out_at += (size_t)size;
    }
}

void
BsStream_EndClosing(unsigned limit_s)
{
    BsStream *stream;
    while ((stream = g_queue_peek_head(&S_closing)) != NULL) {
        if (limit_s > 0 && !stream->connecting && !stream->socket_closed) {
            S_send_blocking(stream, limit_s);
        }
        stream->depth = 0;
        BsStream_CloseNow(stream);
    }
}

void
BsStream_Abort(BsStream *stream)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    BsStream_Destroy(stream);
}

void
BsStream_Write(BsStream *stream, const char *data, size_t size_bytes)
{
    g_string_append_len(stream->out, data, (gssize)size_bytes);
    if (stream->connecting || ev_is_active(&stream->write_watcher)) {
        return;
    }
    /* A failed send is reported by the watcher: on_end must not be called
       from here. */
    if (!S_flush(stream) || stream->out->len > 0) {
        ev_io_start(stream->loop, &stream->write_watcher);
    }
}

void
BsStream_EndWrites(BsStream *stream)
{
    stream->shut_writes = true;
    if (stream->out->len == 0) {
        S_on_sent(stream);
    }
}

size_t
BsStream_PendingBytes(const BsStream *stream)
{
    return stream->out->len - stream->out_at;
}

size_t
BsStream_BufferBytes(const BsStream *stream)
{
    return stream->out->allocated_len;
}

size_t
BsStream_UndeliveredBytes(const BsStream *stream)
{
    int unacknowledged = 0;
    if (ioctl(stream->fd, SIOCOUTQ, &unacknowledged) != 0) {
        unacknowledged = 0; /* unknown; the buffered bytes count alone */
    }
    return BsStream_PendingBytes(stream) + (size_t)unacknowledged;
}

bool
BsStream_IsIdle(const BsStream *stream)
{
    char byte;
    ssize_t size = recv(stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void
BsStream_SetReading(BsStream *stream, bool reading)
{
    if (stream->connecting) {
        return;
    }
    if (reading) {
        ev_io_start(stream->loop, &stream->read_watcher);
    }
    else {
        ev_io_stop(stream->loop, &stream->read_watcher);
    }
}
