/* gw_inbound.c - HTTP/1.1 server side: callers' connections and the answers
   sent on them. */
#include "gw_inbound.h"

#include "gw_stream.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
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

/* Pipelined bytes buffered per connection before reading stops. */
#define PIPELINED_MAX_BYTES 65536

/* Time for a caller to read a part of the last answer, or to close, before its
   connection is closed.  Longer than a stream may go unacknowledged, so that a
   pause which the answer outlives does not cut off its end. */
#define CLOSE_LIMIT_S 5.0

/* A buffer up to this size is kept between requests.  It does not count, as
   the limit on connections covers it. */
#define KEPT_BUFFER_BYTES 1024

/* Other buffers count with their allocated size up to this size.  Larger ones
   are mapped on their own, and their unused part takes no memory. */
#define MAPPED_MIN_BYTES 131072

#define MS_PER_S 1000

typedef enum { STATE_IDLE, STATE_READING, STATE_ANSWERING } BsInboundState;

struct BsInbound {
    BsInboundServer *server;
    BsStream *stream;
    BsHttpReader *reader;
    const BsHttpHead *head; /* owned by the reader */
    GString *body;
    GString *pipelined_data; /* bytes after the current request */
    size_t pipelined_at;     /* parsed bytes at the front of PIPELINED_DATA */
    BsConnEntry entry;       /* in the server's budget */
    bool held;     /* while requests are parsed: S_free() leaves its memory */
    bool is_freed; /* S_free() was called while HELD */
    void *user;
    BsInboundState state;
    int64_t started_ms; /* first byte of the request */
    int64_t active_ms;  /* last byte read, or end of the last answer */
    int64_t idle_ms; /* idle time last announced to the caller, or at accept */
    int64_t header_timeout_ms;    /* of the current request */
    int64_t body_idle_timeout_ms; /* of the current request */
    bool close_after;
    bool chunked;
    bool no_chunks; /* the caller cannot read chunks */
    bool head_sent;
    bool head_only; /* answer to a HEAD request */
};

struct BsInboundServer {
    struct ev_loop *loop;
    const BsClock *clock;
    const BsInboundApp *app;
    void *context;
    BsInboundLimits limits;
    ev_io accept_watcher;
    ev_timer pause_timer;
    ev_timer sweep_timer;
    ev_prepare prepare;
    BsConnBudget *budget;
    GHashTable *connections; /* set of BsInbound */
    uint64_t held_bytes;
    unsigned requests;
    int fd;
    bool draining;
    bool listening;
};

static int64_t
S_now_ms(const BsInboundServer *server)
{
    return BsClock_NowMs(server->clock);
}

static const char *
S_reason(uint32_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Answer";
    }
}

/* ------------------------------------------------------- connections -- */

static void
S_release_body(BsInbound *inbound)
{
    inbound->server->held_bytes -= inbound->body->len;
    g_string_free(inbound->body, TRUE);
    inbound->body = g_string_new(NULL);
}

/* Returns the memory of a buffer of ALLOCATED bytes, of which USED are filled.
 */
static uint64_t
S_buffer_bytes(size_t allocated, size_t used)
{
    if (allocated <= KEPT_BUFFER_BYTES) {
        return 0;
    }
    return allocated <= MAPPED_MIN_BYTES ? allocated : used;
}

static uint64_t
S_string_bytes(const GString *string)
{
    return S_buffer_bytes(string->allocated_len, string->len);
}

static size_t
S_pipelined_bytes(const BsInbound *inbound)
{
    return inbound->pipelined_data->len - inbound->pipelined_at;
}

/* Enters in the budget what INBOUND does and buffers. */
static void
S_account(BsInbound *inbound)
{
    static const BsConnPhase phases[] = {
        [STATE_IDLE] = BS_CONN_IDLE,
        [STATE_READING] = BS_CONN_READING,
        [STATE_ANSWERING] = BS_CONN_ANSWERING,
    };
    size_t head = BsHttpReader_HeadBytes(inbound->reader);
    size_t out = BsStream_BufferBytes(inbound->stream);
    uint64_t bytes = S_buffer_bytes(head, head) + S_buffer_bytes(out, out) +
                     S_string_bytes(inbound->body) +
                     S_string_bytes(inbound->pipelined_data);
    BsConnBudget_Update(inbound->server->budget, &inbound->entry,
                        phases[inbound->state], bytes,
                        S_now_ms(inbound->server));
}

/* Frees everything but the stream, which must be closed separately. */
static void
S_free(BsInbound *inbound)
{
    BsInboundServer *server = inbound->server;
    BsConnBudget_Remove(server->budget, &inbound->entry);
    if (inbound->state == STATE_ANSWERING) {
        server->requests--;
    }
    S_release_body(inbound);
    g_hash_table_remove(server->connections, inbound);
    g_string_free(inbound->body, TRUE);
    g_string_free(inbound->pipelined_data, TRUE);
    BsHttpReader_Destroy(inbound->reader);
    inbound->is_freed = true;
    if (!inbound->held) {
        g_free(inbound);
    }
}

/* Ends the time in which INBOUND is held.  Returns false if it was freed
   meanwhile. */
static bool
S_release(BsInbound *inbound)
{
    inbound->held = false;
    if (inbound->is_freed) {
        g_free(inbound);
        return false;
    }
    return true;
}

static void
S_destroy(BsInbound *inbound)
{
    BsStream_Destroy(inbound->stream);
    S_free(inbound);
}

/* A connection without a request, of which only the stream is left. */
typedef struct {
    BsConnEntry entry;
    BsConnBudget *budget;
    BsStream *stream;
} BsClosing;

static void
S_on_closing_freed(void *context)
{
    BsClosing *closing = context;
    BsConnBudget_Remove(closing->budget, &closing->entry);
    g_free(closing);
}

static void
S_end_closing(void *owner, BsConnLimit limit)
{
    (void)limit;
    BsClosing *closing = owner;
    BsStream *stream = closing->stream;
    /* The stream may be freed later, when it is closed from its own callback.
     */
    BsStream_SetOnFreed(stream, NULL, NULL);
    S_on_closing_freed(closing);
    BsStream_CloseNow(stream);
}

/* Frees INBOUND but its stream, which goes on to close itself and stays in the
   budget. */
static void
S_release_stream(BsInbound *inbound)
{
    BsClosing *closing = g_new0(BsClosing, 1);
    BsInboundServer *server = inbound->server;
    closing->budget = server->budget;
    closing->stream = inbound->stream;
    closing->entry.close = S_end_closing;
    closing->entry.owner = closing;
    S_free(inbound);
    BsConnBudget_Add(closing->budget, &closing->entry, BS_CONN_CLOSING,
                     S_now_ms(server));
    BsConnBudget_Update(closing->budget, &closing->entry, BS_CONN_CLOSING,
                        BsStream_BufferBytes(closing->stream),
                        S_now_ms(server));
    BsStream_SetOnFreed(closing->stream, S_on_closing_freed, closing);
}

static void
S_close_when_sent(BsInbound *inbound)
{
    BsStream_CloseWhenSent(inbound->stream, CLOSE_LIMIT_S);
    S_release_stream(inbound);
}

/* Closes an idle connection so that a request which crosses the close is not
   read.  Leaves it open when the next request or the caller's own close waits
   to be read, as the process may have been held up until the idle time was
   over, and when the end of the last answer has not arrived, as a reset would
   drop it.  May free INBOUND. */
static void
S_close_idle(BsInbound *inbound)
{
    if (BsStream_IsIdle(inbound->stream) &&
        BsStream_UndeliveredBytes(inbound->stream) == 0) {
        BsStream_CloseUnread(inbound->stream, CLOSE_LIMIT_S);
        S_release_stream(inbound);
    }
}

/* Sets the limits by which the request that starts now is read to its end. */
static void
S_apply_limits(BsInbound *inbound)
{
    const BsInboundLimits *limits = &inbound->server->limits;
    inbound->header_timeout_ms = limits->header_timeout_ms;
    inbound->body_idle_timeout_ms = limits->idle_timeout_ms;
    BsHttpReader_SetLimits(inbound->reader, limits->header_bytes,
                           limits->body_bytes);
}

/* ----------------------------------------------------------- reading -- */

static void
S_on_head(const BsHttpHead *head, void *context)
{
    BsInbound *inbound = context;
    inbound->head = head;
    const char *expect = BsHttpHead_Find(head, "Expect");
    if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0) {
        static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
        BsStream_Write(inbound->stream, interim, strlen(interim));
    }
}

static void
S_on_body(const char *data, size_t size_bytes, void *context)
{
    BsInbound *inbound = context;
    g_string_append_len(inbound->body, data, (gssize)size_bytes);
    inbound->server->held_bytes += size_bytes;
}

static const BsHttpEvents S_reader_events = {
    .on_head = S_on_head,
    .on_body = S_on_body,
};

/* Answers a request that was not read whole, and closes the connection. */
static void
S_refuse(BsInbound *inbound, uint32_t status, const char *headers)
{
    BsInboundServer *server = inbound->server;
    if (server->app->on_refused != NULL) {
        server->app->on_refused(status, server->context);
    }
    inbound->state = STATE_ANSWERING;
    server->requests++;
    inbound->close_after = true;
    BsInbound_Answer(inbound, status, headers, "", 0);
}

static uint32_t
S_fault_status(BsHttpFault fault)
{
    switch (fault) {
    case BS_HTTP_HEAD_TOO_LARGE:
        return 431;
    case BS_HTTP_BODY_TOO_LARGE:
        return 413;
    default:
        return 400;
    }
}

static void
S_start_request(BsInbound *inbound)
{
    BsInboundServer *server = inbound->server;
    inbound->state = STATE_ANSWERING;
    inbound->head_sent = false;
    inbound->head_only = strcmp(inbound->head->method, "HEAD") == 0;
    inbound->close_after = !inbound->head->keep_alive;
    inbound->no_chunks = inbound->head->old_version;
    server->requests++;
    server->app->on_request(inbound, inbound->head, inbound->body,
                            server->context);
}

/* Parses DATA up to the end of one request.  Returns the bytes consumed.  May
   free INBOUND. */
static size_t
S_parse(BsInbound *inbound, const char *data, size_t size_bytes)
{
    if (inbound->state == STATE_IDLE && size_bytes > 0) {
        inbound->state = STATE_READING;
        inbound->started_ms = S_now_ms(inbound->server);
        S_apply_limits(inbound);
    }
    size_t taken = BsHttpReader_Feed(inbound->reader, data, size_bytes);
    BsHttpFault fault = BsHttpReader_Fault(inbound->reader);
    if (fault != BS_HTTP_OK) {
        S_refuse(inbound, S_fault_status(fault), NULL);
    }
    return taken;
}

/* Returns whether the caller has so many unread answers that its next request
   is not read. */
static bool
S_is_blocked(const BsInbound *inbound)
{
    return BsStream_PendingBytes(inbound->stream) >
           inbound->server->limits.unsent_bytes;
}

/* Drops the parsed bytes at the front of the pipelined ones. */
static void
S_compact_pipelined(BsInbound *inbound)
{
    if (S_pipelined_bytes(inbound) == 0 &&
        inbound->pipelined_data->allocated_len > KEPT_BUFFER_BYTES) {
        g_string_free(inbound->pipelined_data, TRUE);
        inbound->pipelined_data = g_string_new(NULL);
    }
    else {
        g_string_erase(inbound->pipelined_data, 0,
                       (gssize)inbound->pipelined_at);
    }
    inbound->pipelined_at = 0;
}

/* Parses the pipelined bytes, answering one request after the other, until one
   is not answered at once or the caller has too many unread answers.  Does
   nothing when it is called for an answer that it caused itself.  Returns
   false when INBOUND was freed. */
static bool
S_parse_pipelined(BsInbound *inbound)
{
    if (inbound->held) {
        return true; /* the caller of this call goes on */
    }
    inbound->held = true;
    while (!inbound->is_freed && inbound->state != STATE_ANSWERING &&
           S_pipelined_bytes(inbound) > 0 && !S_is_blocked(inbound)) {
        size_t left = S_pipelined_bytes(inbound);
        const char *data =
            inbound->pipelined_data->str + inbound->pipelined_at;
        size_t taken = S_parse(inbound, data, left);
        if (inbound->is_freed) {
            break;
        }
        inbound->pipelined_at += taken;
        if (BsHttpReader_IsComplete(inbound->reader)) {
            S_start_request(inbound);
        }
    }
    if (!S_release(inbound)) {
        return false;
    }
    S_compact_pipelined(inbound);
    BsStream_SetReading(inbound->stream,
                        S_pipelined_bytes(inbound) <= PIPELINED_MAX_BYTES &&
                            !S_is_blocked(inbound));
    S_account(inbound);
    return true;
}

/* Takes DATA: bytes of the current request, or of later ones.  Returns false
   when INBOUND was freed. */
static bool
S_take(BsInbound *inbound, const char *data, size_t size_bytes)
{
    /* Bytes of a body are not copied into the pipelined ones first. */
    if (inbound->state != STATE_ANSWERING && S_pipelined_bytes(inbound) == 0) {
        inbound->held = true;
        size_t taken = S_parse(inbound, data, size_bytes);
        if (!S_release(inbound)) {
            return false;
        }
        data += taken;
        size_bytes -= taken;
    }
    g_string_append_len(inbound->pipelined_data, data, (gssize)size_bytes);
    if (inbound->state != STATE_ANSWERING &&
        BsHttpReader_IsComplete(inbound->reader)) {
        inbound->held = true;
        S_start_request(inbound);
        if (!S_release(inbound)) {
            return false;
        }
    }
    return S_parse_pipelined(inbound);
}

static void
S_on_data(const char *data, size_t size_bytes, void *context)
{
    BsInbound *inbound = context;
    BsInboundServer *server = inbound->server;
    inbound->active_ms = S_now_ms(server);
    bool lives = S_take(inbound, data, size_bytes);
    BsConnBudget_EnforceMemory(server->budget, lives ? &inbound->entry : NULL,
                               S_now_ms(server));
}

static void
S_on_end(int error_number, void *context)
{
    (void)error_number;
    BsInbound *inbound = context;
    BsInboundServer *server = inbound->server;
    if (inbound->state == STATE_ANSWERING) {
        server->app->on_disconnect(inbound, server->context);
    }
    S_destroy(inbound);
}

static void
S_on_drained(void *context)
{
    BsInbound *inbound = context;
    BsInboundServer *server = inbound->server;
    S_account(inbound);
    if (inbound->state != STATE_ANSWERING) {
        S_parse_pipelined(inbound); /* stopped while answers were unread */
    }
    else if (server->app->on_drained != NULL) {
        server->app->on_drained(inbound, server->context);
    }
}

static const BsStreamEvents S_stream_events = {
    .on_data = S_on_data,
    .on_drained = S_on_drained,
    .on_end = S_on_end,
};

/* ----------------------------------------------------------- answers -- */

static void
S_write_head(BsInbound *inbound, uint32_t status, const char *headers,
             int64_t length_bytes)
{
    BsInboundServer *server = inbound->server;
    GString *text = g_string_new(NULL);
    /* A request that was sent ahead is answered before the connection is
       closed. */
    if (server->draining && S_pipelined_bytes(inbound) == 0) {
        inbound->close_after = true;
    }
    inbound->chunked = length_bytes < 0 && !inbound->no_chunks;
    if (length_bytes < 0 && !inbound->chunked) {
        inbound->close_after = true; /* marks the end of the answer */
    }
    g_string_append_printf(text, "HTTP/1.1 %u %s\r\n%s", status,
                           S_reason(status), headers == NULL ? "" : headers);
    if (length_bytes >= 0) {
        g_string_append_printf(
            text, "Content-Length: %" G_GINT64_FORMAT "\r\n", length_bytes);
    }
    else if (inbound->chunked) {
        g_string_append(text, "Transfer-Encoding: chunked\r\n");
    }
    if (inbound->close_after) {
        g_string_append(text, "Connection: close\r\n\r\n");
    }
    else {
        inbound->idle_ms = server->limits.idle_timeout_ms;
        g_string_append_printf(text, "Keep-Alive: timeout=%u\r\n\r\n",
                               server->limits.idle_timeout_ms / MS_PER_S);
    }
    inbound->head_sent = true;
    BsStream_Write(inbound->stream, text->str, text->len);
    g_string_free(text, TRUE);
    S_account(inbound);
}

void
BsInbound_StartAnswer(BsInbound *inbound, uint32_t status, const char *headers,
                      int64_t length_bytes)
{
    S_write_head(inbound, status, headers, length_bytes);
}

void
BsInbound_SendBody(BsInbound *inbound, const char *data, size_t size_bytes)
{
    if (size_bytes == 0 || inbound->head_only) {
        return;
    }
    if (!inbound->chunked) {
        BsStream_Write(inbound->stream, data, size_bytes);
        S_account(inbound);
        return;
    }
    GString *chunk = g_string_sized_new(size_bytes + 16);
    g_string_append_printf(chunk, "%zx\r\n", size_bytes);
    g_string_append_len(chunk, data, (gssize)size_bytes);
    g_string_append(chunk, "\r\n");
    BsStream_Write(inbound->stream, chunk->str, chunk->len);
    g_string_free(chunk, TRUE);
    S_account(inbound);
}

void
BsInbound_EndAnswer(BsInbound *inbound)
{
    if (inbound->chunked && !inbound->head_only) {
        BsStream_Write(inbound->stream, "0\r\n\r\n", 5);
    }
    if (inbound->close_after) {
        S_close_when_sent(inbound);
        return;
    }
    inbound->server->requests--;
    inbound->state = STATE_IDLE;
    inbound->user = NULL;
    inbound->head = NULL;
    inbound->active_ms = S_now_ms(inbound->server);
    S_release_body(inbound);
    BsHttpReader_Reset(inbound->reader);
    S_parse_pipelined(inbound);
}

void
BsInbound_Answer(BsInbound *inbound, uint32_t status, const char *headers,
                 const char *body, size_t size_bytes)
{
    S_write_head(inbound, status, headers, (int64_t)size_bytes);
    BsInbound_SendBody(inbound, body, size_bytes);
    BsInbound_EndAnswer(inbound);
}

void
BsInbound_Reset(BsInbound *inbound)
{
    BsStream_Abort(inbound->stream);
    S_free(inbound);
}

size_t
BsInbound_PendingBytes(const BsInbound *inbound)
{
    return BsStream_PendingBytes(inbound->stream);
}

void
BsInbound_SetUser(BsInbound *inbound, void *user)
{
    inbound->user = user;
}

void *
BsInbound_User(const BsInbound *inbound)
{
    return inbound->user;
}

int64_t
BsInbound_StartedMs(const BsInbound *inbound)
{
    return inbound->started_ms;
}

/* ------------------------------------------------------------ server -- */

/* Closes the connection OWNER in favour of others: a request that is being
   read is refused if only memory is short; without a descriptor to spare,
   there is no answer. */
static void
S_close_for_others(void *owner, BsConnLimit limit)
{
    BsInbound *inbound = owner;
    BsInboundServer *server = inbound->server;
    if (inbound->state == STATE_READING && limit == BS_CONN_LIMIT_MEMORY) {
        S_refuse(inbound, 503, "Retry-After: 1\r\n");
        return;
    }
    if (inbound->state == STATE_ANSWERING) {
        server->app->on_disconnect(inbound, server->context);
        BsInbound_Reset(inbound);
        return;
    }
    BsStream_CloseNow(inbound->stream);
    S_free(inbound);
}

/* Runs before each wait of the event loop: answers have grown the buffers of
   connections that were not read from. */
static void
S_on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)loop;
    (void)events;
    BsInboundServer *server = watcher->data;
    BsConnBudget_EnforceMemory(server->budget, NULL, S_now_ms(server));
}

static void
S_add_connection(BsInboundServer *server, int fd)
{
    BsInbound *inbound = g_new0(BsInbound, 1);
    inbound->server = server;
    inbound->body = g_string_new(NULL);
    inbound->pipelined_data = g_string_new(NULL);
    inbound->active_ms = S_now_ms(server);
    inbound->idle_ms = server->limits.idle_timeout_ms;
    inbound->reader = BsHttpReader_Create(BS_HTTP_REQUEST, &S_reader_events,
                                          inbound, server->limits.header_bytes,
                                          server->limits.body_bytes);
    g_hash_table_add(server->connections, inbound);
    inbound->stream =
        BsStream_Adopt(server->loop, fd, &S_stream_events, inbound);
    inbound->entry.close = S_close_for_others;
    inbound->entry.owner = inbound;
    BsConnBudget_Add(server->budget, &inbound->entry, BS_CONN_IDLE,
                     S_now_ms(server));
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
        if (!BsConnBudget_MakeRoom(server->budget, S_now_ms(server))) {
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
        S_add_connection(server, fd);
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
    if (inbound->state == STATE_IDLE &&
        now_ms - inbound->active_ms > S_idle_limit_ms(inbound)) {
        S_close_idle(inbound);
        return;
    }
    if (inbound->state != STATE_READING) {
        return;
    }
    bool late =
        inbound->head == NULL
            ? now_ms - inbound->started_ms > inbound->header_timeout_ms
            : now_ms - inbound->active_ms > inbound->body_idle_timeout_ms;
    if (late) {
        S_refuse(inbound, 408, NULL);
    }
}

static void
S_on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsInboundServer *server = watcher->data;
    int64_t now_ms = S_now_ms(server);
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
    bool cut = inbound->state == STATE_ANSWERING && inbound->head_sent;
    if (cut || BsInbound_PendingBytes(inbound) > 0) {
        BsInbound_Reset(inbound);
    }
    else {
        S_destroy(inbound);
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
    int64_t now_ms = S_now_ms(server);
    GList *connections = g_hash_table_get_keys(server->connections);
    for (GList *node = connections; node != NULL; node = node->next) {
        BsInbound *inbound = node->data;
        if (inbound->state == STATE_IDLE &&
            now_ms - inbound->active_ms >= idle_ms) {
            S_close_idle(inbound);
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
