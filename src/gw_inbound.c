/* gw_inbound.c - memory and end of callers' connections. */
#include "gw_inboundparts.h"

/* Time for a caller to read a part of the last answer, or to close, before its
   connection is closed.  Longer than a stream may go unacknowledged, so that a
   pause which the answer outlives does not cut off its end. */
#define CLOSE_LIMIT_S 5.0

/* Other buffers count with their allocated size up to this size.  Larger ones
   are mapped on their own, and their unused part takes no memory. */
#define MAPPED_MIN_BYTES 131072

void
BsInbound_ReleaseBody(BsInbound *inbound)
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
    if (allocated <= BS_INBOUND_KEPT_BYTES) {
        return 0;
    }
    return allocated <= MAPPED_MIN_BYTES ? allocated : used;
}

static uint64_t
S_string_bytes(const GString *string)
{
    return S_buffer_bytes(string->allocated_len, string->len);
}

size_t
BsInbound_PipelinedBytes(const BsInbound *inbound)
{
    return inbound->pipelined_data->len - inbound->pipelined_at;
}

void
BsInbound_Account(BsInbound *inbound)
{
    static const BsConnPhase phases[] = {
        [BS_INBOUND_IDLE] = BS_CONN_IDLE,
        [BS_INBOUND_READING] = BS_CONN_READING,
        [BS_INBOUND_ANSWERING] = BS_CONN_ANSWERING,
    };
    size_t head = BsHttpReader_HeadBytes(inbound->reader);
    size_t out = BsStream_BufferBytes(inbound->stream);
    uint64_t bytes = S_buffer_bytes(head, head) + S_buffer_bytes(out, out) +
                     S_string_bytes(inbound->body) +
                     S_string_bytes(inbound->pipelined_data);
    BsConnBudget_Update(inbound->server->budget, &inbound->entry,
                        phases[inbound->state], bytes,
                        BsInboundServer_NowMs(inbound->server));
}

void
BsInbound_Free(BsInbound *inbound)
{
    BsInboundServer *server = inbound->server;
    BsConnBudget_Remove(server->budget, &inbound->entry);
    if (inbound->state == BS_INBOUND_ANSWERING) {
        server->requests--;
    }
    BsInbound_ReleaseBody(inbound);
    g_hash_table_remove(server->connections, inbound);
    g_string_free(inbound->body, TRUE);
    g_string_free(inbound->pipelined_data, TRUE);
    BsHttpReader_Destroy(inbound->reader);
    inbound->is_freed = true;
    if (!inbound->held) {
        g_free(inbound);
    }
}

bool
BsInbound_EndHold(BsInbound *inbound)
{
    inbound->held = false;
    if (inbound->is_freed) {
        g_free(inbound);
        return false;
    }
    return true;
}

void
BsInbound_Destroy(BsInbound *inbound)
{
    BsStream_Destroy(inbound->stream);
    BsInbound_Free(inbound);
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
    BsInbound_Free(inbound);
    BsConnBudget_Add(closing->budget, &closing->entry, BS_CONN_CLOSING,
                     BsInboundServer_NowMs(server));
    BsConnBudget_Update(closing->budget, &closing->entry, BS_CONN_CLOSING,
                        BsStream_BufferBytes(closing->stream),
                        BsInboundServer_NowMs(server));
    BsStream_SetOnFreed(closing->stream, S_on_closing_freed, closing);
}

void
BsInbound_CloseWhenSent(BsInbound *inbound)
{
    BsStream_CloseWhenSent(inbound->stream, CLOSE_LIMIT_S);
    S_release_stream(inbound);
}

void
BsInbound_CloseIdle(BsInbound *inbound)
{
    if (BsStream_IsIdle(inbound->stream) &&
        BsStream_UndeliveredBytes(inbound->stream) == 0) {
        BsStream_CloseUnread(inbound->stream, CLOSE_LIMIT_S);
        S_release_stream(inbound);
    }
}
