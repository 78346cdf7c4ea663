/* gw_inboundanswer.c - answers on callers' connections. */
#include "gw_inboundparts.h"

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

static void
S_write_head(BsInbound *inbound, uint32_t status, const char *headers,
             int64_t length_bytes)
{
    BsInboundServer *server = inbound->server;
    GString *text = g_string_new(NULL);
    /* A request that was sent ahead is answered before the connection is
       closed. */
    if (server->draining && BsInbound_PipelinedBytes(inbound) == 0) {
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
    BsInbound_Account(inbound);
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
        BsInbound_Account(inbound);
        return;
    }
    GString *chunk = g_string_sized_new(size_bytes + 16);
    g_string_append_printf(chunk, "%zx\r\n", size_bytes);
    g_string_append_len(chunk, data, (gssize)size_bytes);
    g_string_append(chunk, "\r\n");
    BsStream_Write(inbound->stream, chunk->str, chunk->len);
    g_string_free(chunk, TRUE);
    BsInbound_Account(inbound);
}

void
BsInbound_EndAnswer(BsInbound *inbound)
{
    if (inbound->chunked && !inbound->head_only) {
        BsStream_Write(inbound->stream, "0\r\n\r\n", 5);
    }
    if (inbound->close_after) {
        BsInbound_CloseWhenSent(inbound);
        return;
    }
    inbound->server->requests--;
    inbound->state = BS_INBOUND_IDLE;
    inbound->user = NULL;
    inbound->head = NULL;
    inbound->active_ms = BsInboundServer_NowMs(inbound->server);
    BsInbound_ReleaseBody(inbound);
    BsHttpReader_Reset(inbound->reader);
    BsInbound_ParsePipelined(inbound);
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
    BsInbound_Free(inbound);
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
