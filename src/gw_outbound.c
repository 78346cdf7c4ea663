/* gw_outbound.c - HTTP calls to upstreams over pooled connections. */
#include "gw_outbound.h"

#include "gw_stream.h"

#include <string.h>

/* Idle time allowed when the upstream announces none. */
#define IDLE_DEFAULT_MS 4000

/* Subtracted from an announced idle time, so that this side closes first. */
#define IDLE_MARGIN_MS 700

/* Longest time an idle connection is kept. */
#define IDLE_MAX_MS 20000

/* Interval of the check for idle connections to close. */
#define SWEEP_S 0.5

/* Refusals after which a connection is closed: each takes memory and time. */
#define REFUSALS_MAX 64

#define MS_PER_S 1000

typedef struct {
    BsOutboundPool *pool;
    BsStream *stream;
    BsOutbound *call; /* NULL while idle */
    char *owner;
    GArray *refused; /* uint64_t, requests refused on it; NULL: none */
    int64_t idle_since_ms;
    int64_t idle_limit_ms;
    bool connected;
    bool dead; /* to be freed once the current event is over */
} BsOutboundConnection;

struct BsOutbound {
    BsOutboundPool *pool;
    BsOutboundConnection *connection;
    const BsOutboundEvents *events;
    void *context;
    BsHttpReader *reader;
    GString *message; /* until it is written */
    ev_timer connect_timer;
    ev_timer start_timer; /* sends on a reused connection, or reports a failed
                             connect, from the loop */
    int64_t keep_alive_s;
    bool keep;
    bool sent;
    bool head_seen;
    bool reused;
    bool ended;
};

struct BsOutboundPool {
    struct ev_loop *loop;
    const BsClock *clock;
    GHashTable *idle; /* owner to GQueue of BsOutboundConnection */
    ev_timer sweep_timer;
    ev_timer reap_timer;
    GPtrArray *ended; /* BsOutbound, freed once the current event is over */
    BsOutboundStats stats;
};

static void
S_destroy_connection(BsOutboundConnection *connection)
{
    BsStream_Destroy(connection->stream);
    g_free(connection->owner);
    if (connection->refused != NULL) {
        g_array_free(connection->refused, TRUE);
    }
    g_free(connection);
}

/* -------------------------------------------------------------- idle -- */

static bool
S_has_refused(const BsOutboundConnection *connection, uint64_t request)
{
    const GArray *refused = connection->refused;
    for (guint i = 0; refused != NULL && i < refused->len; i++) {
        if (g_array_index(refused, uint64_t, i) == request) {
            return true;
        }
    }
    return false;
}

static void
S_remove_idle(BsOutboundConnection *connection)
{
    BsOutboundPool *pool = connection->pool;
    GQueue *queue = g_hash_table_lookup(pool->idle, connection->owner);
    if (queue != NULL) {
        g_queue_remove(queue, connection);
    }
}

static void
S_keep_idle(BsOutboundConnection *connection)
{
    BsOutboundPool *pool = connection->pool;
    GQueue *queue = g_hash_table_lookup(pool->idle, connection->owner);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(pool->idle, g_strdup(connection->owner), queue);
    }
    connection->call = NULL;
    connection->idle_since_ms = BsClock_NowMs(pool->clock);
    g_queue_push_head(queue, connection);
    BsStream_SetReading(connection->stream, true);
}

static void
S_free_queue(gpointer data)
{
    g_queue_free_full(data,
                      (GDestroyNotify)(void (*)(void))S_destroy_connection);
}

static void
S_close_idle(GQueue *queue, int64_t now_ms)
{
    BsOutboundConnection *oldest;
    while ((oldest = g_queue_peek_tail(queue)) != NULL &&
           now_ms - oldest->idle_since_ms > oldest->idle_limit_ms) {
        g_queue_pop_tail(queue);
        S_destroy_connection(oldest);
    }
}

static void
S_on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsOutboundPool *pool = watcher->data;
    int64_t now_ms = BsClock_NowMs(pool->clock);
    GHashTableIter iter;
    gpointer queue;
    g_hash_table_iter_init(&iter, pool->idle);
    while (g_hash_table_iter_next(&iter, NULL, &queue)) {
        S_close_idle(queue, now_ms);
        if (g_queue_is_empty(queue)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Returns a usable idle connection, or NULL. */
static BsOutboundConnection *
S_take_idle(BsOutboundPool *pool, const BsOutboundRequest *request)
{
    GQueue *queue = g_hash_table_lookup(pool->idle, request->owner);
    int64_t now_ms = BsClock_NowMs(pool->clock);
    GList *link = queue == NULL ? NULL : queue->head;
    while (link != NULL) {
        BsOutboundConnection *connection = link->data;
        GList *next = link->next;
        int64_t idle_ms = now_ms - connection->idle_since_ms;
        if (idle_ms > MIN(request->reuse_idle_ms, connection->idle_limit_ms)) {
            return NULL;
        }
        if (!S_has_refused(connection, request->id_hash)) {
            g_queue_delete_link(queue, link);
            if (BsStream_IsIdle(connection->stream)) {
                return connection;
            }
            S_destroy_connection(connection);
        }
        link = next;
    }
    return NULL;
}

/* -------------------------------------------------------------- ends -- */

static void
S_free_call(gpointer data)
{
    BsOutbound *call = data;
    if (call->message != NULL) {
        g_string_free(call->message, TRUE);
    }
    BsHttpReader_Destroy(call->reader);
    g_free(call);
}

/* Detaches the connection and closes it. */
static void
S_drop_connection(BsOutbound *call)
{
    if (call->connection != NULL) {
        S_destroy_connection(call->connection);
        call->connection = NULL;
    }
}

/* Marks the call as over.  It is freed from the loop, as one of its callbacks
   may be running. */
static void
S_retire(BsOutbound *call)
{
    BsOutboundPool *pool = call->pool;
    call->ended = true;
    ev_timer_stop(pool->loop, &call->connect_timer);
    ev_timer_stop(pool->loop, &call->start_timer);
    g_ptr_array_add(pool->ended, call);
    ev_timer_start(pool->loop, &pool->reap_timer);
}

static void
S_on_reap(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsOutboundPool *pool = watcher->data;
    g_ptr_array_set_size(pool->ended, 0);
}

/* Reports the end unless the call has ended already. */
static void
S_end(BsOutbound *call, BsOutboundEnd end)
{
    if (!call->ended) {
        S_retire(call);
        call->events->on_end(end, call->context);
    }
}

bool
BsOutboundEnd_IsComplete(BsOutboundEnd end)
{
    return end == BS_OUTBOUND_DONE || end == BS_OUTBOUND_CLOSED;
}

/* Returns how a call ends whose connection closes now; COMPLETE tells whether
   that ends its answer in order. */
static BsOutboundEnd
S_get_closed_end(const BsOutbound *call, bool complete)
{
    if (complete) {
        return BS_OUTBOUND_CLOSED;
    }
    if (!call->sent) {
        return BS_OUTBOUND_UNSENT;
    }
    return call->head_seen ? BS_OUTBOUND_TRUNCATED : BS_OUTBOUND_BROKEN;
}

static void
S_fail(BsOutbound *call, BsOutboundEnd end)
{
    S_drop_connection(call);
    S_end(call, end);
}

void
BsOutbound_Cancel(BsOutbound *call)
{
    if (call == NULL || call->ended) {
        return;
    }
    S_retire(call);
    S_drop_connection(call);
}

/* ----------------------------------------------------------- answers -- */

static void
S_on_head(const BsHttpHead *head, void *context)
{
    BsOutbound *call = context;
    call->head_seen = true;
    call->keep =
        head->keep_alive && (head->chunked || head->length_bytes >= 0 ||
                             head->status == 204 || head->status == 304);
    call->keep_alive_s = BsHttpHead_KeepAliveS(head);
    if (!call->ended) {
        call->events->on_head(head, call->context);
    }
}

static void
S_on_body(const char *data, size_t size_bytes, void *context)
{
    BsOutbound *call = context;
    if (!call->ended) {
        call->events->on_body(data, size_bytes, call->context);
    }
}

static const BsHttpEvents S_reader_events = {
    .on_head = S_on_head,
    .on_body = S_on_body,
};

static int64_t
S_idle_limit_ms(const BsOutbound *call)
{
    if (call->keep_alive_s < 0) {
        return IDLE_DEFAULT_MS;
    }
    int64_t limit_ms = call->keep_alive_s * MS_PER_S - IDLE_MARGIN_MS;
    return CLAMP(limit_ms, 0, IDLE_MAX_MS);
}

/* Ends a call after a complete answer and keeps its connection if it can be
   reused. */
static void
S_finish(BsOutbound *call, bool stray_bytes)
{
    BsOutboundConnection *connection = call->connection;
    bool keep = call->keep && !stray_bytes &&
                BsStream_PendingBytes(connection->stream) == 0;
    call->pool->stats.stray_bytes += stray_bytes;
    if (!keep) {
        S_drop_connection(call);
    }
    else {
        call->connection = NULL;
        connection->idle_limit_ms = S_idle_limit_ms(call);
        S_keep_idle(connection);
    }
    S_end(call, BS_OUTBOUND_DONE);
}

/* Returns how a call ends whose answer was rejected. */
static BsOutboundEnd
S_get_fault_end(const BsOutbound *call)
{
    if (BsHttpReader_Fault(call->reader) == BS_HTTP_BODY_TOO_LARGE) {
        return BS_OUTBOUND_TOO_LARGE;
    }
    return call->head_seen ? BS_OUTBOUND_TRUNCATED : BS_OUTBOUND_GARBLED;
}

static void
S_read(BsOutbound *call, const char *data, size_t size_bytes)
{
    size_t taken = BsHttpReader_Feed(call->reader, data, size_bytes);
    if (!call->ended) {
        if (BsHttpReader_Fault(call->reader) != BS_HTTP_OK) {
            S_fail(call, S_get_fault_end(call));
        }
        else if (BsHttpReader_IsComplete(call->reader)) {
            S_finish(call, taken < size_bytes);
        }
    }
}

/* ------------------------------------------------------- connections -- */

static void
S_on_data(const char *data, size_t size_bytes, void *context)
{
    BsOutboundConnection *connection = context;
    if (connection->call != NULL) {
        S_read(connection->call, data, size_bytes);
        return;
    }
    /* Unsolicited data: it could be mistaken for part of the next answer. */
    connection->pool->stats.stray_bytes++;
    S_remove_idle(connection);
    S_destroy_connection(connection);
}

/* Returns whether the end of the connection, with ERROR_NUMBER, is the regular
   end of the answer to CALL.  An upstream that ends it without having received
   the whole request may have crashed in the middle of its answer. */
static bool
S_is_regular_end(const BsOutbound *call, int error_number)
{
    return error_number == 0 &&
           BsStream_UndeliveredBytes(call->connection->stream) == 0 &&
           BsHttpReader_Finish(call->reader);
}

static void
S_on_end(int error_number, void *context)
{
    BsOutboundConnection *connection = context;
    BsOutbound *call = connection->call;
    if (call == NULL) {
        S_remove_idle(connection);
        S_destroy_connection(connection);
        return;
    }
    bool complete = S_is_regular_end(call, error_number);
    if (!call->ended) {
        S_fail(call, S_get_closed_end(call, complete));
    }
}

static void
S_send(BsOutbound *call)
{
    call->sent = true;
    ev_timer_stop(call->pool->loop, &call->connect_timer);
    BsStream_Write(call->connection->stream, call->message->str,
                   call->message->len);
    g_string_free(call->message, TRUE);
    call->message = NULL;
    if (call->events->on_sent != NULL) {
        call->events->on_sent(call->context);
    }
}

static void
S_on_connected(void *context)
{
    BsOutboundConnection *connection = context;
    connection->connected = true;
    if (connection->call != NULL) {
        S_send(connection->call);
    }
}

static const BsStreamEvents S_stream_events = {
    .on_connected = S_on_connected,
    .on_data = S_on_data,
    .on_end = S_on_end,
};

static void
S_on_connect_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    S_fail(watcher->data, BS_OUTBOUND_UNSENT);
}

static void
S_on_start(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsOutbound *call = watcher->data;
    if (call->connection == NULL) {
        S_end(call, BS_OUTBOUND_UNSENT);
    }
    else if (!call->sent && call->connection->connected) {
        S_send(call);
    }
}

/* ------------------------------------------------------------- calls -- */

static void
S_connect(BsOutbound *call, const BsOutboundRequest *request)
{
    BsOutboundPool *pool = call->pool;
    BsOutboundConnection *connection = g_new0(BsOutboundConnection, 1);
    connection->pool = pool;
    connection->owner = g_strdup(request->owner);
    connection->call = call;
    connection->stream = BsStream_Connect(pool->loop, &request->address,
                                          &S_stream_events, connection);
    pool->stats.opened++;
    if (connection->stream == NULL) {
        g_free(connection->owner);
        g_free(connection);
        return;
    }
    call->connection = connection;
    ev_timer_set(&call->connect_timer,
                 (double)request->connect_timeout_ms / MS_PER_S, 0);
    ev_timer_start(pool->loop, &call->connect_timer);
}

BsOutbound *
BsOutbound_Start(BsOutboundPool *pool, const BsOutboundRequest *request,
                 const BsOutboundEvents *events, void *context)
{
    BsOutbound *call = g_new0(BsOutbound, 1);
    call->pool = pool;
    call->events = events;
    call->context = context;
    call->message = request->message;
    call->keep_alive_s = -1;
    call->reader = BsHttpReader_Create(BS_HTTP_RESPONSE, &S_reader_events,
                                       call, BS_HTTP_RESPONSE_HEAD_MAX_BYTES,
                                       request->body_max_bytes);
    if (request->no_body) {
        BsHttpReader_ExpectNoBody(call->reader);
    }
    ev_timer_init(&call->connect_timer, S_on_connect_timeout, 1, 0);
    ev_timer_init(&call->start_timer, S_on_start, 0, 0);
    call->connect_timer.data = call;
    call->start_timer.data = call;
    call->connection = S_take_idle(pool, request);
    if (call->connection != NULL) {
        call->reused = true;
        call->connection->call = call;
        pool->stats.reused++;
    }
    else {
        S_connect(call, request);
    }
    if (call->connection == NULL || call->reused) {
        ev_timer_start(pool->loop, &call->start_timer);
    }
    return call;
}

void
BsOutbound_SetEvents(BsOutbound *call, const BsOutboundEvents *events,
                     void *context)
{
    call->events = events;
    call->context = context;
}

bool
BsOutbound_IsReused(const BsOutbound *call)
{
    return call->reused;
}

void
BsOutbound_ForbidReuse(BsOutbound *call)
{
    call->keep = false;
}

void
BsOutbound_NoteRefused(BsOutbound *call, uint64_t id_hash)
{
    BsOutboundConnection *connection = call->connection;
    if (connection->refused == NULL) {
        connection->refused = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    g_array_append_val(connection->refused, id_hash);
    if (connection->refused->len >= REFUSALS_MAX) {
        BsOutbound_ForbidReuse(call);
    }
}

void
BsOutbound_SetReading(BsOutbound *call, bool reading)
{
    if (call->connection != NULL) {
        BsStream_SetReading(call->connection->stream, reading);
    }
}

/* -------------------------------------------------------------- pool -- */

BsOutboundPool *
BsOutboundPool_Create(struct ev_loop *loop, const BsClock *clock)
{
    BsOutboundPool *pool = g_new0(BsOutboundPool, 1);
    pool->loop = loop;
    pool->clock = clock;
    pool->idle =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_free_queue);
    ev_timer_init(&pool->sweep_timer, S_on_sweep, SWEEP_S, SWEEP_S);
    pool->sweep_timer.data = pool;
    ev_timer_start(loop, &pool->sweep_timer);
    ev_timer_init(&pool->reap_timer, S_on_reap, 0, 0);
    pool->reap_timer.data = pool;
    pool->ended = g_ptr_array_new_with_free_func(S_free_call);
    return pool;
}

void
BsOutboundPool_Destroy(BsOutboundPool *pool)
{
    if (pool == NULL) {
        return;
    }
    ev_timer_stop(pool->loop, &pool->sweep_timer);
    ev_timer_stop(pool->loop, &pool->reap_timer);
    g_ptr_array_free(pool->ended, TRUE);
    g_hash_table_destroy(pool->idle);
    g_free(pool);
}

const BsOutboundStats *
BsOutboundPool_Stats(const BsOutboundPool *pool)
{
    return &pool->stats;
}
