/* d_screen.c - a filter that checks request heads strictly before the HTTP
 * server library reads them.
 */
#include "d_screen.h"

#include "d_connguard.h"
#include "gw_stream.h"
#include "http1.h"

#include <errno.h>
#include <fcntl.h>
#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes buffered for one side at which reading from the other is paused: a few
   reads of a stream. */
#define PENDING_MAX_BYTES 262144

/* How long a closed connection may take to send its remaining bytes: equal to
   the idle timeout of the server library. */
#define CLOSE_LIMIT_S 30.0

/* TCP_USER_TIMEOUT of a caller's connection, which also ends one whose caller
   does not read for this long: equal to the idle timeout of the server
   library. */
#define CALLER_TIMEOUT_MS 30000

/* How long one send() to a caller may block when the process ends. */
#define FINAL_SEND_LIMIT_S 1

/* Connections accepted per loop iteration.  The server closes its end of a
   displaced connection in the next one, so that this bounds the descriptors
   that are needed beside those of the places. */
#define ACCEPTS_AT_ONCE 16

/* Time that a new connection has for its TLS handshake and its first request
   before it is displaced by another one. */
#define SETTLE_MS 1000

/* Time until connections are accepted again after no place or descriptor was
   left. */
#define ACCEPT_RETRY_S 0.1

/* Bytes decrypted at a time: the largest TLS record. */
#define RECORD_BYTES 16384

/* A buffer for held bytes that has grown beyond this is given back once they
   are forwarded. */
#define KEPT_HELD_BYTES 1024

/* The head that replaces a malformed one. */
#define MALFORMED_HEAD                                                        \
    "GET /malformed HTTP/1.1\r\n" BS_SCREEN_MALFORMED_HEADER ": 1\r\n"        \
    "Connection: close\r\n\r\n"

struct BsScreen {
    BsLoop *loop;
    BsScreenConfig config;
    ev_io accepting;
    ev_timer retry; /* runs while accepting is paused */
    BsConnGuard *guard;
    GHashTable *by_fd; /* BsScreenLink by the server's end */
    gnutls_certificate_credentials_t credentials; /* NULL without TLS */
    GHashTable *links;                            /* set of BsScreenLink */
};

/* A caller's connection and the socket that links it to the server. */
typedef struct {
    BsConnPlace place;
    BsScreen *screen;
    BsStream *caller;
    BsStream *server;
    int server_fd;       /* owned by SERVER */
    int library_fd;      /* the server library's end, owned by it */
    BsConnPhase phase;   /* as the server has set it */
    uint64_t held_bytes; /* of answers, as the server has set it */
    gnutls_session_t tls;
    GString *ciphertext; /* encrypted bytes not yet read by TLS */
    BsHttpReader *reader;
    GString *held;    /* plain bytes not yet forwarded to the server */
    bool handshaking; /* the TLS handshake is not complete */
    bool head_read;   /* the head of the current request is complete */
    bool done;        /* nothing more of the caller is forwarded */
} BsScreenLink;

/* A caller's connection of which only the sending of the last bytes and the
   close are left. */
typedef struct {
    BsConnPlace place;
    BsScreen *screen;
    BsStream *stream;
} BsScreenClosing;

static void
S_destroy_link(gpointer data)
{
    BsScreenLink *link = data;
    BsConnGuard_Remove(link->screen->guard, &link->place);
    /* The number may belong to a newer connection, when the library has closed
       its end. */
    if (g_hash_table_lookup(link->screen->by_fd,
                            GINT_TO_POINTER(link->library_fd)) == link) {
        g_hash_table_remove(link->screen->by_fd,
                            GINT_TO_POINTER(link->library_fd));
    }
    BsStream_Destroy(link->caller);
    BsStream_Destroy(link->server);
    if (link->tls != NULL) {
        gnutls_deinit(link->tls);
    }
    BsHttpReader_Destroy(link->reader);
    g_string_free(link->ciphertext, TRUE);
    g_string_free(link->held, TRUE);
    g_free(link);
}

static void
S_remove_link(BsScreenLink *link)
{
    g_hash_table_remove(link->screen->links, link);
}

/* Closes the connection of the link OWNER because of LIMIT. */
static void
S_close_for_limit(void *owner, BsConnLimit limit)
{
    BsScreenLink *link = owner;
    if (limit == BS_CONN_LIMIT_MEMORY ||
        BsStream_PendingBytes(link->caller) > 0) {
        BsStream_Abort(link->caller); /* the answer is not whole */
        link->caller = NULL;
    }
    S_remove_link(link);
}

/* Enters the state of LINK in the limits; may free LINK. */
static void
S_account(BsScreenLink *link)
{
    size_t pending = BsStream_PendingBytes(link->caller);
    BsConnPhase phase = link->phase == BS_CONN_IDLE && pending > 0
                            ? BS_CONN_CLOSING
                            : link->phase;
    uint64_t buffered = pending > 0 ? BsStream_BufferBytes(link->caller) : 0;
    BsConnGuard_Update(link->screen->guard, &link->place, phase,
                       link->held_bytes + buffered);
}

static void
S_write_server(BsScreenLink *link, const char *data, size_t size_bytes)
{
    BsStream_Write(link->server, data, size_bytes);
    if (BsStream_PendingBytes(link->server) > PENDING_MAX_BYTES) {
        BsStream_SetReading(link->caller, false);
    }
}

/* Stops forwarding to the server, which answers what it has received. */
static void
S_finish_caller(BsScreenLink *link)
{
    link->done = true;
    BsStream_EndWrites(link->server);
}

static void
S_forward_held(BsScreenLink *link)
{
    S_write_server(link, link->held->str, link->held->len);
    if (link->held->allocated_len > KEPT_HELD_BYTES) {
        g_string_free(link->held, TRUE);
        link->held = g_string_new(NULL);
    }
    g_string_truncate(link->held, 0);
}

static void
S_on_fault(BsScreenLink *link)
{
    bool malformed = BsHttpReader_Fault(link->reader) == BS_HTTP_MALFORMED;
    if (!link->head_read && malformed) {
        g_string_assign(link->held, MALFORMED_HEAD);
    }
    S_forward_held(link);
    S_finish_caller(link);
}

static void
S_on_head(const BsHttpHead *head, void *context)
{
    BsScreenLink *link = context;
    (void)head;
    link->head_read = true;
}

static const BsHttpEvents S_reader_events = {.on_head = S_on_head};

/* Checks plain bytes of the caller and forwards them. */
static void
S_check_plain(BsScreenLink *link, const char *data, size_t size_bytes)
{
    size_t at = 0;
    while (at < size_bytes && !link->done) {
        size_t taken =
            BsHttpReader_Feed(link->reader, data + at, size_bytes - at);
        bool faulty = BsHttpReader_Fault(link->reader) != BS_HTTP_OK;
        if (faulty) {
            taken = size_bytes - at;
        }
        g_string_append_len(link->held, data + at, (gssize)taken);
        at += taken;
        if (faulty) {
            S_on_fault(link);
        }
        else if (link->head_read) {
            S_forward_held(link);
            BsHttpReader_ForgetHeaders(link->reader);
        }
        if (BsHttpReader_IsComplete(link->reader)) {
            BsHttpReader_Reset(link->reader);
            link->head_read = false;
        }
    }
}

/* Lets TLS read what was received from the caller. */
static ssize_t
S_pull(gnutls_transport_ptr_t context, void *buffer, size_t max_bytes)
{
    BsScreenLink *link = context;
    size_t size = MIN(max_bytes, link->ciphertext->len);
    if (size == 0) {
        gnutls_transport_set_errno(link->tls, EAGAIN);
        return -1;
    }
    memcpy(buffer, link->ciphertext->str, size);
    g_string_erase(link->ciphertext, 0, (gssize)size);
    return (ssize_t)size;
}

static ssize_t
S_push(gnutls_transport_ptr_t context, const void *data, size_t size_bytes)
{
    BsScreenLink *link = context;
    BsStream_Write(link->caller, data, size_bytes);
    return (ssize_t)size_bytes;
}

/* Returns whether the handshake is complete; sets DEAD when it failed. */
static bool
S_do_handshake(BsScreenLink *link, bool *dead)
{
    int result = GNUTLS_E_SUCCESS;
    if (link->handshaking) {
        do {
            result = gnutls_handshake(link->tls);
        } while (result < 0 && result != GNUTLS_E_AGAIN &&
                 gnutls_error_is_fatal(result) == 0);
    }
    *dead = result < 0 && gnutls_error_is_fatal(result) != 0;
    link->handshaking = result != GNUTLS_E_SUCCESS;
    return !link->handshaking;
}

/* Decrypts the TLS records that were received.  Returns false when the session
   has failed. */
static bool
S_decrypt_records(BsScreenLink *link)
{
    char plain[RECORD_BYTES];
    bool dead;
    if (!S_do_handshake(link, &dead)) {
        if (dead) {
            BsLoop_Count(link->screen->loop, "tls_handshakes_failed", 1);
        }
        return !dead;
    }
    for (;;) {
        ssize_t size = gnutls_record_recv(link->tls, plain, sizeof(plain));
        if (size == GNUTLS_E_AGAIN) {
            return true;
        }
        if (size > 0) {
            S_check_plain(link, plain, (size_t)size);
        }
        else if (size == 0) {
            S_finish_caller(link);
            return true;
        }
        else if (gnutls_error_is_fatal((int)size) != 0) {
            return false;
        }
    }
}

static void
S_on_caller_data(const char *data, size_t size_bytes, void *context)
{
    BsScreenLink *link = context;
    if (link->done) {
        return;
    }
    if (link->tls == NULL) {
        S_check_plain(link, data, size_bytes);
        return;
    }
    g_string_append_len(link->ciphertext, data, (gssize)size_bytes);
    if (!S_decrypt_records(link)) {
        S_remove_link(link);
    }
}

static void
S_on_caller_end(int error_number, void *context)
{
    BsScreenLink *link = context;
    if (error_number != 0) {
        S_remove_link(link);
        return;
    }
    S_forward_held(link);
    S_finish_caller(link);
    /* Restarts the sending of buffered bytes, which stopped when the caller
       closed its side. */
    BsStream_Write(link->caller, "", 0);
}

static void
S_on_caller_drained(void *context)
{
    BsScreenLink *link = context;
    BsStream_SetReading(link->server, true);
    S_account(link);
}

/* Writes bytes of the server to the caller, encrypted when it uses TLS. */
static void
S_write_caller(BsScreenLink *link, const char *data, size_t size_bytes)
{
    if (link->tls == NULL) {
        BsStream_Write(link->caller, data, size_bytes);
        return;
    }
    size_t at = 0;
    while (at < size_bytes) {
        ssize_t sent =
            gnutls_record_send(link->tls, data + at, size_bytes - at);
        if (sent <= 0) {
            /* S_push accepts everything, so the session itself has failed; the
               next read detects its end. */
            BsLoop_Count(link->screen->loop, "tls_sends_failed", 1);
            return;
        }
        at += (size_t)sent;
    }
}

static void
S_on_server_data(const char *data, size_t size_bytes, void *context)
{
    BsScreenLink *link = context;
    S_write_caller(link, data, size_bytes);
    if (BsStream_PendingBytes(link->caller) > PENDING_MAX_BYTES) {
        BsStream_SetReading(link->server, false);
    }
    S_account(link);
}

static void
S_on_server_drained(void *context)
{
    BsScreenLink *link = context;
    if (!link->done) {
        BsStream_SetReading(link->caller, true);
    }
}

static void
S_on_closing_freed(void *context)
{
    BsScreenClosing *closing = context;
    BsConnGuard_Remove(closing->screen->guard, &closing->place);
    g_free(closing);
}

/* Ends the closing connection OWNER because of LIMIT. */
static void
S_end_closing(void *owner, BsConnLimit limit)
{
    (void)limit;
    BsScreenClosing *closing = owner;
    BsStream *stream = closing->stream;
    /* The stream may be freed later, when it is closed from its own callback.
     */
    BsStream_SetOnFreed(stream, NULL, NULL);
    S_on_closing_freed(closing);
    BsStream_CloseNow(stream);
}

/* Closes the caller's connection after what was written to it is sent; it
   keeps a place until then. */
static void
S_close_caller(BsScreenLink *link)
{
    if (link->tls != NULL && !link->handshaking) {
        gnutls_bye(link->tls, GNUTLS_SHUT_WR);
    }
    BsScreenClosing *closing = g_new0(BsScreenClosing, 1);
    closing->screen = link->screen;
    closing->stream = link->caller;
    closing->place.entry.close = S_end_closing;
    closing->place.entry.owner = closing;
    link->caller = NULL;
    BsConnGuard_Move(link->screen->guard, &link->place, &closing->place,
                     BsStream_PendingBytes(closing->stream));
    BsStream_CloseWhenSent(closing->stream, CLOSE_LIMIT_S);
    BsStream_SetOnFreed(closing->stream, S_on_closing_freed, closing);
}

/* Handles the server's close: sends the caller the remaining bytes, then
   closes. */
static void
S_on_server_end(int error_number, void *context)
{
    BsScreenLink *link = context;
    (void)error_number;
    S_close_caller(link);
    S_remove_link(link);
}

static const BsStreamEvents S_caller_events = {.on_data = S_on_caller_data,
                                               .on_end = S_on_caller_end,
                                               .on_drained =
                                                   S_on_caller_drained};
static const BsStreamEvents S_server_events = {.on_data = S_on_server_data,
                                               .on_end = S_on_server_end,
                                               .on_drained =
                                                   S_on_server_drained};

/* Starts TLS for LINK if the screen uses it; returns false on failure. */
static bool
S_start_tls(BsScreenLink *link)
{
    if (link->screen->credentials == NULL) {
        return true;
    }
    if (gnutls_init(&link->tls, GNUTLS_SERVER | GNUTLS_NONBLOCK) != 0) {
        link->tls = NULL;
        return false;
    }
    gnutls_set_default_priority(link->tls);
    gnutls_credentials_set(link->tls, GNUTLS_CRD_CERTIFICATE,
                           link->screen->credentials);
    gnutls_transport_set_ptr(link->tls, link);
    gnutls_transport_set_pull_function(link->tls, S_pull);
    gnutls_transport_set_push_function(link->tls, S_push);
    link->handshaking = true;
    return true;
}

/* Replaces the shorter limit that a stream sets for a connection whose other
   side always reads. */
static void
S_set_caller_timeout(int fd)
{
    const int timeout_ms = CALLER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
}

/* Creates the link of the socket CALLER_FD to the server through the pair
   ENDS, of which the second is the library's. */
static BsScreenLink *
S_create_link(BsScreen *screen, int caller_fd, const int ends[2])
{
    struct ev_loop *ev = BsLoop_Ev(screen->loop);
    BsScreenLink *link = g_new0(BsScreenLink, 1);
    link->screen = screen;
    link->server_fd = ends[0];
    link->library_fd = ends[1];
    link->phase = BS_CONN_READING;
    link->place.entry.close = S_close_for_limit;
    link->place.entry.owner = link;
    link->ciphertext = g_string_new(NULL);
    link->held = g_string_new(NULL);
    link->reader = BsHttpReader_Create(BS_HTTP_REQUEST, &S_reader_events, link,
                                       screen->config.header_bytes, 0);
    link->caller = BsStream_Adopt(ev, caller_fd, &S_caller_events, link);
    S_set_caller_timeout(caller_fd);
    link->server = BsStream_Adopt(ev, ends[0], &S_server_events, link);
    g_hash_table_add(screen->links, link);
    g_hash_table_insert(screen->by_fd, GINT_TO_POINTER(ends[1]), link);
    BsConnGuard_Add(screen->guard, &link->place, link->phase);
    return link;
}

/* Accepts again when a place or a descriptor may be free.  The listening
   socket stays readable meanwhile, so that watching it would keep the loop
   busy. */
static void
S_pause_accepting(BsScreen *screen)
{
    struct ev_loop *ev = BsLoop_Ev(screen->loop);
    BsLoop_Count(screen->loop, "accepts_paused", 1);
    ev_io_stop(ev, &screen->accepting);
    ev_timer_set(&screen->retry, ACCEPT_RETRY_S, 0.0);
    ev_timer_start(ev, &screen->retry);
}

static void
S_on_retry(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)events;
    BsScreen *screen = watcher->data;
    ev_io_start(ev, &screen->accepting);
}

/* Links the accepted socket FD to the server through the socket pair ENDS. */
static void
S_link_to_server(BsScreen *screen, int fd, const int ends[2],
                 const struct sockaddr *address, socklen_t address_bytes)
{
    BsScreenLink *link = S_create_link(screen, fd, ends);
    if (!screen->config.add(screen->config.context, ends[1], address,
                            address_bytes) ||
        !S_start_tls(link)) {
        BsLoop_Count(screen->loop, "connections_refused", 1);
        S_remove_link(link);
    }
}

/* Accepts a connection; returns whether there may be another one.  Creates the
   socket pair first, so that a connection that cannot be linked stays in the
   queue of the listening socket. */
static bool
S_accept(BsScreen *screen)
{
    int ends[2];
    struct sockaddr_storage address;
    socklen_t address_bytes = sizeof(address);
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                   ends) != 0) {
        S_pause_accepting(screen);
        return false;
    }
    int fd = accept4(screen->config.listen_fd, (struct sockaddr *)&address,
                     &address_bytes, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
        S_link_to_server(screen, fd, ends, (struct sockaddr *)&address,
                         address_bytes);
        return true;
    }
    int error_number = errno;
    close(ends[0]);
    close(ends[1]);
    if (error_number == EINTR || error_number == ECONNABORTED) {
        return true;
    }
    if (error_number != EAGAIN && error_number != EWOULDBLOCK) {
        S_pause_accepting(screen);
    }
    return false;
}

/* Returns whether a connection waits to be accepted. */
static bool
S_has_waiting(const BsScreen *screen)
{
    struct pollfd state = {.fd = screen->config.listen_fd, .events = POLLIN};
    return poll(&state, 1, 0) > 0;
}

static void
S_on_accepting(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    BsScreen *screen = watcher->data;
    for (int i = 0; i < ACCEPTS_AT_ONCE && S_has_waiting(screen); i++) {
        if (!BsConnGuard_MakeRoom(screen->guard)) {
            S_pause_accepting(screen);
            return;
        }
        if (!S_accept(screen)) {
            return;
        }
    }
}

static BsScreenLink *
S_find_link(const BsScreen *screen, int fd)
{
    return g_hash_table_lookup(screen->by_fd, GINT_TO_POINTER(fd));
}

void
BsScreen_SetState(BsScreen *screen, int fd, BsConnPhase phase,
                  uint64_t held_bytes)
{
    BsScreenLink *link = S_find_link(screen, fd);
    if (link != NULL) {
        link->phase = phase;
        link->held_bytes = held_bytes;
        S_account(link);
    }
}

bool
BsScreen_Displace(BsScreen *screen, int fd)
{
    BsScreenLink *link = S_find_link(screen, fd);
    if (link == NULL) {
        return false;
    }
    BsConnPhase phase = link->phase;
    BsScreen_SetState(screen, fd, BS_CONN_ANSWERING, link->held_bytes);
    bool displaced = BsConnGuard_Displace(screen->guard);
    link = S_find_link(screen, fd);
    if (link != NULL) {
        BsScreen_SetState(screen, fd, phase, link->held_bytes);
    }
    return displaced;
}

BsScreen *
BsScreen_Create(BsLoop *loop, const BsScreenConfig *config)
{
    BsScreen *screen = g_new0(BsScreen, 1);
    screen->loop = loop;
    screen->config = *config;
    screen->guard = BsConnGuard_Create(loop, config->key, config->places,
                                       config->unsent_bytes, SETTLE_MS);
    screen->by_fd = g_hash_table_new(g_direct_hash, g_direct_equal);
    screen->links = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                          S_destroy_link, NULL);
    if (config->certificate_callback != NULL &&
        gnutls_certificate_allocate_credentials(&screen->credentials) == 0) {
        gnutls_certificate_set_retrieve_function2(
            screen->credentials, (gnutls_certificate_retrieve_function2 *)
                                     config->certificate_callback);
    }
    ev_io_init(&screen->accepting, S_on_accepting, config->listen_fd, EV_READ);
    screen->accepting.data = screen;
    ev_timer_init(&screen->retry, S_on_retry, ACCEPT_RETRY_S, 0.0);
    screen->retry.data = screen;
    ev_io_start(BsLoop_Ev(loop), &screen->accepting);
    return screen;
}

bool
BsScreen_HasUnsent(const BsScreen *screen)
{
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, screen->links);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const BsScreenLink *link = key;
        int unread_bytes = 0;
        ioctl(link->server_fd, FIONREAD, &unread_bytes);
        if (unread_bytes > 0 || BsStream_PendingBytes(link->caller) > 0) {
            return true;
        }
    }
    return BsStream_ClosingBytes() > 0;
}

/* Sends the caller what the server has written to LINK, then closes. */
static void
S_flush_server(BsScreenLink *link)
{
    char buffer[RECORD_BYTES];
    ssize_t size = recv(link->server_fd, buffer, sizeof(buffer), 0);
    while (size > 0) {
        S_write_caller(link, buffer, (size_t)size);
        size = recv(link->server_fd, buffer, sizeof(buffer), 0);
    }
    S_close_caller(link);
}

void
BsScreen_Destroy(BsScreen *screen)
{
    if (screen == NULL) {
        return;
    }
    ev_io_stop(BsLoop_Ev(screen->loop), &screen->accepting);
    ev_timer_stop(BsLoop_Ev(screen->loop), &screen->retry);
    close(screen->config.listen_fd);
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, screen->links);
    while (g_hash_table_iter_next(&iter, &link, NULL)) {
        S_flush_server(link);
    }
    g_hash_table_unref(screen->links);
    BsStream_EndClosing(FINAL_SEND_LIMIT_S);
    g_hash_table_unref(screen->by_fd);
    BsConnGuard_Destroy(screen->guard);
    if (screen->credentials != NULL) {
        gnutls_certificate_free_credentials(screen->credentials);
    }
    g_free(screen);
}
