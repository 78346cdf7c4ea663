/* gw_inboundread.c - requests of callers, read from their connections. */
#include "gw_inboundparts.h"

#include <string.h>

/* Pipelined bytes buffered per connection before reading stops. */
#define PIPELINED_MAX_BYTES 65536

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

void
BsInbound_Refuse(BsInbound *inbound, uint32_t status, const char *headers)
{
    BsInboundServer *server = inbound->server;
    if (server->app->on_refused != NULL) {
        server->app->on_refused(status, server->context);
    }
    inbound->state = BS_INBOUND_ANSWERING;
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
    inbound->state = BS_INBOUND_ANSWERING;
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
    if (inbound->state == BS_INBOUND_IDLE && size_bytes > 0) {
        inbound->state = BS_INBOUND_READING;
        inbound->started_ms = BsInboundServer_NowMs(inbound->server);
        S_apply_limits(inbound);
    }
    size_t taken = BsHttpReader_Feed(inbound->reader, data, size_bytes);
    BsHttpFault fault = BsHttpReader_Fault(inbound->reader);
    if (fault != BS_HTTP_OK) {
        BsInbound_Refuse(inbound, S_fault_status(fault), NULL);
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
    if (BsInbound_PipelinedBytes(inbound) == 0 &&
        inbound->pipelined_data->allocated_len > BS_INBOUND_KEPT_BYTES) {
        g_string_free(inbound->pipelined_data, TRUE);
        inbound->pipelined_data = g_string_new(NULL);
    }
    else {
        g_string_erase(inbound->pipelined_data, 0,
                       (gssize)inbound->pipelined_at);
    }
    inbound->pipelined_at = 0;
}

bool
BsInbound_ParsePipelined(BsInbound *inbound)
{
    if (inbound->held) {
        return true; /* the caller of this call goes on */
    }
    inbound->held = true;
    while (!inbound->is_freed && inbound->state != BS_INBOUND_ANSWERING &&
           BsInbound_PipelinedBytes(inbound) > 0 && !S_is_blocked(inbound)) {
        size_t left = BsInbound_PipelinedBytes(inbound);
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
    if (!BsInbound_EndHold(inbound)) {
        return false;
    }
    S_compact_pipelined(inbound);
    BsStream_SetReading(inbound->stream, BsInbound_PipelinedBytes(inbound) <=
                                                 PIPELINED_MAX_BYTES &&
                                             !S_is_blocked(inbound));
    BsInbound_Account(inbound);
    return true;
}

/* Takes DATA: bytes of the current request, or of later ones.  Returns false
   when INBOUND was freed. */
static bool
S_take(BsInbound *inbound, const char *data, size_t size_bytes)
{
    /* Bytes of a body are not copied into the pipelined ones first. */
    if (inbound->state != BS_INBOUND_ANSWERING &&
        BsInbound_PipelinedBytes(inbound) == 0) {
        inbound->held = true;
        size_t taken = S_parse(inbound, data, size_bytes);
        if (!BsInbound_EndHold(inbound)) {
            return false;
        }
        data += taken;
        size_bytes -= taken;
    }
    g_string_append_len(inbound->pipelined_data, data, (gssize)size_bytes);
    if (inbound->state != BS_INBOUND_ANSWERING &&
        BsHttpReader_IsComplete(inbound->reader)) {
        inbound->held = true;
        S_start_request(inbound);
        if (!BsInbound_EndHold(inbound)) {
            return false;
        }
    }
    return BsInbound_ParsePipelined(inbound);
}

static void
S_on_data(const char *data, size_t size_bytes, void *context)
{
    BsInbound *inbound = context;
    BsInboundServer *server = inbound->server;
    inbound->active_ms = BsInboundServer_NowMs(server);
    bool lives = S_take(inbound, data, size_bytes);
    BsConnBudget_EnforceMemory(server->budget, lives ? &inbound->entry : NULL,
                               BsInboundServer_NowMs(server));
}

static void
S_on_end(int error_number, void *context)
{
    (void)error_number;
    BsInbound *inbound = context;
    BsInboundServer *server = inbound->server;
    if (inbound->state == BS_INBOUND_ANSWERING) {
        server->app->on_disconnect(inbound, server->context);
    }
    BsInbound_Destroy(inbound);
}

static void
S_on_drained(void *context)
{
    BsInbound *inbound = context;
    BsInboundServer *server = inbound->server;
    BsInbound_Account(inbound);
    if (inbound->state != BS_INBOUND_ANSWERING) {
        BsInbound_ParsePipelined(
            inbound); /* stopped while answers were unread */
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

/* Closes the connection OWNER in favour of others: a request that is being
   read is refused if only memory is short; without a descriptor to spare,
   there is no answer. */
static void
S_close_for_others(void *owner, BsConnLimit limit)
{
    BsInbound *inbound = owner;
    BsInboundServer *server = inbound->server;
    if (inbound->state == BS_INBOUND_READING &&
        limit == BS_CONN_LIMIT_MEMORY) {
        BsInbound_Refuse(inbound, 503, "Retry-After: 1\r\n");
        return;
    }
    if (inbound->state == BS_INBOUND_ANSWERING) {
        server->app->on_disconnect(inbound, server->context);
        BsInbound_Reset(inbound);
        return;
    }
    BsStream_CloseNow(inbound->stream);
    BsInbound_Free(inbound);
}

void
BsInbound_Create(BsInboundServer *server, int fd)
{
    BsInbound *inbound = g_new0(BsInbound, 1);
    inbound->server = server;
    inbound->body = g_string_new(NULL);
    inbound->pipelined_data = g_string_new(NULL);
    inbound->active_ms = BsInboundServer_NowMs(server);
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
                     BsInboundServer_NowMs(server));
}
