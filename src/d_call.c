/* d_call.c - one HTTP request of a caller and its response. */
#include "d_call.h"

#include "d_context.h"
#include "d_presence.h"
#include "d_reply.h"

#include <string.h>

/* Bytes of an answer that are buffered until its outcome is known. */
#define ANSWER_BUFFER_MAX_BYTES (1024 * 1024)

/* Unsent bytes above which the upstream's data is paused, and below which it
   is resumed. */
#define FLOW_HIGH_BYTES (256 * 1024)
#define FLOW_LOW_BYTES (64 * 1024)

#define BLOCK_BYTES 16384

typedef enum {
    CALL_NEW = 0,
    CALL_READING,
    CALL_WAITING, /* for the head of the answer */
    CALL_HEAD,    /* head known, response not queued */
    CALL_SENDING
} BsCallState;

struct BsCall {
    BsLoop *loop;
    BsHttpd *httpd;
    struct MHD_Connection *connection;
    char *target;
    const char *id;
    GByteArray *body;
    BsConnEntry body_entry;
    size_t received_bytes;
    GByteArray *out;
    size_t out_sent;
    size_t copied_bytes; /* of the answer, kept by the HTTP server */
    BsCallState state;
    uint32_t status;
    uint32_t outcome;
    uint32_t retry_after_s;
    char *content_type;
    char *ticket;
    BsPresence presence;
    BsHop hop;
    bool posted; /* passed to the core, which has not ended it */
    bool stream;
    bool events; /* the answer is an event stream */
    bool final;
    bool broken; /* the body must end with a closed connection */
    bool suspended;
    bool paused;
};

BsCall *
BsCall_Create(BsLoop *loop, BsHttpd *httpd, const char *target)
{
    BsCall *call = g_new0(BsCall, 1);
    call->loop = loop;
    call->httpd = httpd;
    call->target = g_strdup(target);
    call->body = g_byte_array_new();
    call->out = g_byte_array_new();
    return call;
}

void
BsCall_Destroy(BsCall *call)
{
    g_byte_array_unref(call->body);
    g_byte_array_unref(call->out);
    g_free(call->target);
    g_free(call->content_type);
    g_free(call->ticket);
    g_free(call);
}

bool
BsCall_IsBegun(const BsCall *call)
{
    return call->state != CALL_NEW;
}

bool
BsCall_IsReading(const BsCall *call)
{
    return call->state == CALL_READING;
}

bool
BsCall_AddBody(BsCall *call, const void *data, size_t size_bytes,
               size_t limit_bytes)
{
    call->received_bytes += size_bytes;
    if (call->state == CALL_READING && call->received_bytes <= limit_bytes) {
        g_byte_array_append(call->body, data, (guint)size_bytes);
    }
    else if (call->state == CALL_READING) {
        BsCall_RefuseTooLarge(call, limit_bytes);
        BsCall_DropBody(call);
    }
    return call->received_bytes <= BS_CALL_DISCARD_MAX_BYTES;
}

const void *
BsCall_Body(const BsCall *call, size_t *size_bytes)
{
    *size_bytes = call->body->len;
    return call->body->data;
}

void
BsCall_DropBody(BsCall *call)
{
    g_byte_array_unref(call->body);
    call->body = g_byte_array_new();
}

BsConnEntry *
BsCall_BodyEntry(BsCall *call)
{
    return &call->body_entry;
}

const char *
BsCall_Target(const BsCall *call)
{
    return call->target;
}

struct MHD_Connection *
BsCall_Connection(const BsCall *call)
{
    return call->connection;
}

void
BsCall_SetId(BsCall *call, const char *id)
{
    call->id = id;
}

const char *
BsCall_Id(const BsCall *call)
{
    return call->id;
}

static void
S_suspend(BsCall *call)
{
    call->suspended = true;
    MHD_suspend_connection(call->connection);
}

static void
S_resume(BsCall *call)
{
    if (call->suspended) {
        call->suspended = false;
        BsHttpd_Resume(call->httpd, call->connection);
    }
}

/* Replaces the unsent answer by an error body. */
static void
S_set_error(BsCall *call, BsErrorKind error, const char *detail,
            uint32_t outcome)
{
    char *text = BsReply_FormatError(error, detail, outcome, call->id);
    g_byte_array_set_size(call->out, 0);
    g_byte_array_append(call->out, (const guint8 *)text, (guint)strlen(text));
    BsMessage_SetString(&call->content_type, "application/json");
    call->status = BsError_Describe(error)->http_status;
    call->outcome = outcome;
    call->final = true;
    call->state = CALL_HEAD;
    g_free(text);
}

static bool
S_has_header(const BsCall *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
                                       name) != NULL;
}

void
BsCall_Refuse(BsCall *call, BsErrorKind error, const char *detail)
{
    bool may_be_resend = S_has_header(call, "Idempotency-Key") ||
                         S_has_header(call, "Boragespur-Ticket");
    bool may_have_run = error == BS_ERR_MEMORY_FULL && may_be_resend;
    BsLoop_Count(call->loop, "caller_requests_refused", 1);
    S_set_error(call, error, detail,
                may_have_run ? BS_OUTCOME_UNKNOWN : BS_OUTCOME_NOT_RUN);
}

void
BsCall_RefuseStatus(BsCall *call, uint32_t status, const char *detail)
{
    BsCall_Refuse(call, BS_ERR_BAD_REQUEST, detail);
    call->status = status;
}

void
BsCall_RefuseTooLarge(BsCall *call, size_t limit_bytes)
{
    char *detail = g_strdup_printf("the body is longer than %zu bytes "
                                   "(limits.body_bytes)",
                                   limit_bytes);
    BsCall_Refuse(call, BS_ERR_TOO_LARGE, detail);
    g_free(detail);
}

static void
S_post_cancel(BsCall *call)
{
    BsMessage *message = BsMessage_Create(BS_CALLER_CANCEL);
    message->u.cancel.request_id = g_strdup(call->id);
    message->u.cancel.reason = BS_ERR_CANCELLED;
    call->posted = false;
    BsLoop_Count(call->loop, "callers_gone", 1);
    BsLoop_Post(call->loop, message);
}

static void
S_on_disconnected(void *context)
{
    BsCall *call = context;
    if (!call->final) {
        S_post_cancel(call);
        BsCall_Fail(call, BS_ERR_CANCELLED, BS_OUTCOME_UNKNOWN);
    }
}

void
BsCall_Begin(BsCall *call, BsHttpd *httpd, struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    call->httpd = httpd;
    call->connection = connection;
    call->state = CALL_READING;
    BsPresence_Start(&call->presence, BsLoop_Ev(call->loop), info->connect_fd,
                     S_on_disconnected, call);
}

const char *
BsCall_StartHop(BsCall *call, const char *parent)
{
    BsHop_Start(&call->hop, call->loop, parent);
    return call->hop.traceparent;
}

void
BsCall_Wait(BsCall *call, bool cancels, bool stream)
{
    call->state = CALL_WAITING;
    call->posted = true;
    call->stream = stream;
    if (cancels) {
        BsPresence_Await(&call->presence);
    }
    else {
        BsPresence_Stop(&call->presence);
    }
}

static size_t
S_unsent(const BsCall *call)
{
    return call->out->len - call->out_sent;
}

/* Enters the unsent bytes of the answer in the limits of the server. */
static void
S_account(BsCall *call)
{
    BsConnPhase phase = call->final && call->state == CALL_SENDING
                            ? BS_CONN_CLOSING
                            : BS_CONN_ANSWERING;
    BsHttpd_SetState(call->httpd, call->connection, phase,
                     call->copied_bytes + S_unsent(call));
}

static void
S_set_flow(BsCall *call, bool paused)
{
    BsMessage *message = BsMessage_Create(BS_CALLER_FLOW);
    message->u.flow.request_id = g_strdup(call->id);
    message->u.flow.paused = paused;
    call->paused = paused;
    BsLoop_Count(call->loop, paused ? "flow_paused" : "flow_resumed", 1);
    BsLoop_Post(call->loop, message);
}

static void
S_check_flow(BsCall *call)
{
    size_t unsent = S_unsent(call);
    if (call->final || call->state != CALL_SENDING) {
        return;
    }
    if (!call->paused && unsent > FLOW_HIGH_BYTES) {
        S_set_flow(call, true);
    }
    else if (call->paused && unsent < FLOW_LOW_BYTES) {
        S_set_flow(call, false);
    }
}

/* Copies the next bytes of the response body for the HTTP server. */
static ssize_t
S_read_out(void *context, uint64_t position, char *buffer, size_t max)
{
    BsCall *call = context;
    size_t size = MIN(S_unsent(call), max);
    (void)position;
    if (size == 0 && call->final) {
        return call->broken ? MHD_CONTENT_READER_END_WITH_ERROR
                            : MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (size == 0) {
        S_suspend(call);
        return 0;
    }
    memcpy(buffer, call->out->data + call->out_sent, size);
    call->out_sent += size;
    if (S_unsent(call) == 0) {
        g_byte_array_set_size(call->out, 0);
        call->out_sent = 0;
    }
    S_check_flow(call);
    S_account(call);
    return (ssize_t)size;
}

static struct MHD_Response *
S_create_response(BsCall *call)
{
    if (call->final) {
        return MHD_create_response_from_buffer(call->out->len, call->out->data,
                                               MHD_RESPMEM_MUST_COPY);
    }
    return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, BLOCK_BYTES,
                                             S_read_out, call, NULL);
}

static void
S_add_headers(BsCall *call, struct MHD_Response *response)
{
    BsReply_AddHeader(response, "Content-Type", call->content_type);
    BsReply_AddHeader(response, "Boragespur-Request-Id", call->id);
    BsReply_AddHeader(response, "Boragespur-Ticket", call->ticket);
    BsReply_AddOutcome(response, call->outcome);
    if (call->retry_after_s > 0) {
        BsReply_AddNumber(response, "Retry-After", call->retry_after_s);
    }
    if (call->events) {
        BsReply_AddHeader(response, "Cache-Control", "no-store");
    }
    if (BsHttpd_IsClosing(call->httpd)) {
        BsReply_AddHeader(response, "Connection", "close");
    }
}

enum MHD_Result
BsCall_SendHead(BsCall *call)
{
    if (call->state == CALL_WAITING) {
        S_suspend(call);
    }
    if (call->state != CALL_HEAD) {
        return MHD_YES;
    }
    struct MHD_Response *response = S_create_response(call);
    S_add_headers(call, response);
    if (call->final) {
        call->copied_bytes = call->out->len;
        g_byte_array_unref(call->out);
        call->out = g_byte_array_new();
    }
    call->state = CALL_SENDING;
    enum MHD_Result result =
        MHD_queue_response(call->connection, call->status, response);
    MHD_destroy_response(response);
    S_account(call);
    return result;
}

/* Ends with an error an answer whose head was already sent. */
static void
S_abort_started(BsCall *call, BsErrorKind error, const char *detail,
                uint32_t outcome)
{
    call->final = true;
    if (!call->events) {
        call->broken = true;
        return;
    }
    char *text = BsReply_FormatError(error, detail, outcome, call->id);
    char *event = g_strdup_printf("event: error\ndata: %s\n\n", text);
    g_byte_array_append(call->out, (const guint8 *)event,
                        (guint)strlen(event));
    g_free(event);
    g_free(text);
}

static void
S_end_with_error(BsCall *call, BsErrorKind error, const char *detail,
                 uint32_t outcome)
{
    if (call->state == CALL_WAITING) {
        S_set_error(call, error, detail, outcome);
    }
    else if (!call->final) {
        S_abort_started(call, error, detail, outcome);
    }
}

static void
S_read_head(BsCall *call, const BsAnswer *answer)
{
    if (answer->content_type != NULL) {
        BsMessage_SetString(&call->content_type, answer->content_type);
        call->events =
            g_str_has_prefix(answer->content_type, "text/event-stream");
    }
    if (answer->ticket != NULL) {
        BsMessage_SetString(&call->ticket, answer->ticket);
    }
    if (answer->status != 0 && call->status == 0) {
        call->status = answer->status;
    }
}

/* Handles the end of a complete answer. */
static void
S_finish(BsCall *call, const BsAnswer *answer)
{
    call->final = true;
    if (call->state == CALL_WAITING) {
        call->outcome = answer->outcome == BS_OUTCOME_NONE ? BS_OUTCOME_UNKNOWN
                                                           : answer->outcome;
        call->state = CALL_HEAD;
    }
}

/* Releases the head before the final outcome is known, for an event stream and
   for an answer longer than the buffer. */
static void
S_release_head_early(BsCall *call)
{
    bool streamed = call->stream && call->events;
    if (call->state == CALL_WAITING && call->status != 0 &&
        (streamed || call->out->len > ANSWER_BUFFER_MAX_BYTES)) {
        call->outcome = BS_OUTCOME_RAN;
        call->state = CALL_HEAD;
    }
}

void
BsCall_OnAnswer(BsCall *call, const BsAnswer *answer)
{
    if (call->final) {
        return;
    }
    S_read_head(call, answer);
    if (answer->final) {
        call->posted = false;
        call->retry_after_s = answer->retry_after_s;
    }
    if (answer->final && answer->error != BS_ERR_NONE) {
        S_end_with_error(call, (BsErrorKind)answer->error, answer->detail,
                         answer->outcome);
        S_resume(call);
        return;
    }
    if (answer->data != NULL) {
        gsize size;
        const guint8 *data = g_bytes_get_data(answer->data, &size);
        g_byte_array_append(call->out, data, (guint)size);
    }
    if (answer->final) {
        S_finish(call, answer);
    }
    else {
        S_release_head_early(call);
    }
    S_check_flow(call);
    S_account(call);
    if (call->state != CALL_WAITING) {
        S_resume(call);
    }
}

void
BsCall_OnReply(BsCall *call, const BsQueryReply *reply)
{
    gsize size = 0;
    const guint8 *data =
        reply->body == NULL ? NULL : g_bytes_get_data(reply->body, &size);
    if (call->final) {
        return;
    }
    g_byte_array_append(call->out, data, (guint)size);
    BsMessage_SetString(&call->content_type, "application/json");
    call->posted = false;
    call->status = reply->status;
    call->final = true;
    call->state = CALL_HEAD;
    S_resume(call);
}

void
BsCall_Fail(BsCall *call, BsErrorKind error, BsOutcome outcome)
{
    if (!call->final) {
        S_end_with_error(call, error, NULL, outcome);
        S_resume(call);
    }
}

void
BsCall_Close(BsCall *call, bool complete)
{
    BsHop_End(&call->hop, call->loop, "entry", call->id);
    BsPresence_Stop(&call->presence);
    if (call->posted && !complete) {
        S_post_cancel(call);
    }
}

void
BsCall_Abandon(BsCall *call)
{
    call->posted = false;
    BsPresence_Stop(&call->presence);
    if (!call->final) {
        S_end_with_error(call, BS_ERR_DRAINING, NULL, BS_OUTCOME_UNKNOWN);
    }
    S_resume(call);
}
