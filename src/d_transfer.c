/* d_transfer.c - one request sent to an upstream. */
#include "d_transfer.h"

#include "d_context.h"
#include "d_sse.h"
#include "d_usage.h"
#include "streamend.h"

#include <string.h>
#include <strings.h>

#define STATUS_LINE "HTTP/"
#define STATUS_MIN 100
#define STATUS_FINAL 200 /* lower ones are interim */
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_MAX 599
#define CONNECT_TIMEOUT_MS 1000L
#define DEFAULT_TIMEOUT_MS 60000

/* Body bytes collected into one piece of an answer that is no event stream. */
#define PIECE_BYTES (64 * 1024)

#define EVENT_STREAM "text/event-stream"

struct BsTransfer {
    BsLoop *loop;
    BsCurl *curl;
    CURL *easy;
    struct curl_slist *headers;
    BsTransferDoneFunc done;
    void *context;
    char *id;
    char *upstream;
    char *content_type;
    GBytes *body;
    GByteArray *held; /* unposted body bytes of an answer that is no stream */
    BsSse sse;
    BsHop hop;
    uint64_t next_seq;
    uint32_t attempt;
    uint32_t cached_tokens;
    uint32_t usage_tokens;
    uint32_t sends; /* connections the request was sent on */
    int local_port; /* of the first one */
    long status;
    char error[CURL_ERROR_SIZE];
    bool head_read;  /* the empty line after the headers of the answer, which
                        is no interim one, was received */
    bool model;      /* the upstream is a model engine */
    bool stream;     /* a stream was asked for */
    bool events;     /* the answer is a stream */
    bool has_events; /* a whole event has arrived */
    bool framed;     /* a length or chunks mark the end of the answer */
    bool marked;     /* the head so far says that it did not start */
    bool unstarted;  /* the same, and the head has ended */
    bool no_body;    /* the method is HEAD: the head ends the answer */
    bool paused;
};

const char *
BsTransfer_Id(const BsTransfer *transfer)
{
    return transfer->id;
}

static BsMessage *
S_create_piece(BsTransfer *transfer)
{
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_ANSWER);
    BsAnswer *answer = &message->u.answer;
    answer->request_id = g_strdup(transfer->id);
    answer->attempt = transfer->attempt;
    answer->seq = transfer->next_seq++;
    answer->cached_tokens = transfer->cached_tokens;
    if (answer->seq == 0) {
        answer->upstream = g_strdup(transfer->upstream);
        answer->content_type = g_strdup(transfer->content_type);
        answer->status = (uint32_t)transfer->status;
    }
    return message;
}

static void
S_post_data(BsTransfer *transfer, GBytes *data, uint32_t tokens)
{
    BsMessage *message = S_create_piece(transfer);
    message->u.answer.data = data;
    message->u.answer.tokens = tokens;
    BsLoop_Post(transfer->loop, message);
}

static GBytes *
S_take_held(BsTransfer *transfer)
{
    if (transfer->held->len == 0) {
        return NULL;
    }
    GBytes *bytes = g_byte_array_free_to_bytes(transfer->held);
    transfer->held = g_byte_array_new();
    return bytes;
}

static void
S_push_events(BsTransfer *transfer, const char *data, size_t size)
{
    GBytes *events = BsSse_Push(&transfer->sse, data, size);
    if (events == NULL) {
        return;
    }
    transfer->has_events = true;
    BsUsage_Scan(events, &transfer->cached_tokens, &transfer->usage_tokens);
    uint32_t tokens = transfer->sse.events;
    if (transfer->sse.done && tokens > 0) {
        tokens--;
    }
    S_post_data(transfer, events, tokens);
}

static void
S_push_body(BsTransfer *transfer, const char *data, size_t size)
{
    g_byte_array_append(transfer->held, (const guint8 *)data, (guint)size);
    if (transfer->held->len >= PIECE_BYTES) {
        S_post_data(transfer, S_take_held(transfer), 0);
    }
}

static size_t
S_on_write(char *data, size_t unit, size_t count, void *context)
{
    BsTransfer *transfer = context;
    size_t size = unit * count;
    if (transfer->paused) {
        return CURL_WRITEFUNC_PAUSE;
    }
    if (transfer->unstarted) {
        return size;
    }
    if (!transfer->events) {
        S_push_body(transfer, data, size);
        return size;
    }
    S_push_events(transfer, data, size);
    return BsSse_IsTooLong(&transfer->sse) ? 0 : size;
}

/* Returns the value of header NAME in LINE, or NULL; g_free() it. */
static char *
S_match_header(const char *line, size_t size, const char *name)
{
    size_t length = strlen(name);
    if (size <= length || line[length] != ':' ||
        strncasecmp(line, name, length) != 0) {
        return NULL;
    }
    return g_strstrip(g_strndup(line + length + 1, size - length - 1));
}

static void
S_read_status(BsTransfer *transfer)
{
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE,
                      &transfer->status);
}

static bool
S_is_status(long status)
{
    return status >= STATUS_MIN && status <= STATUS_MAX;
}

static void
S_note_framing(BsTransfer *transfer, const char *line, size_t size)
{
    char *length = S_match_header(line, size, "Content-Length");
    char *coding = S_match_header(line, size, "Transfer-Encoding");
    transfer->framed |= length != NULL || coding != NULL;
    g_free(length);
    g_free(coding);
}

/* A head begins; nothing of an interim answer's head holds for it. */
static void
S_begin_head(BsTransfer *transfer)
{
    transfer->head_read = false;
    transfer->framed = transfer->no_body;
    transfer->events = false;
    transfer->marked = false;
    transfer->unstarted = false;
    g_clear_pointer(&transfer->content_type, g_free);
}

/* The head has ended; an interim one says nothing. */
static void
S_end_head(BsTransfer *transfer)
{
    transfer->head_read = transfer->status >= STATUS_FINAL;
    transfer->unstarted = transfer->head_read && transfer->marked;
}

static void
S_read_header(BsTransfer *transfer, const char *line, size_t size)
{
    char *type = S_match_header(line, size, "Content-Type");
    char *started = S_match_header(line, size, "X-Request-Started");
    S_read_status(transfer);
    S_note_framing(transfer, line, size);
    if (type != NULL) {
        g_free(transfer->content_type);
        transfer->content_type = type;
        transfer->events =
            transfer->status == 200 && g_str_has_prefix(type, EVENT_STREAM);
    }
    if (started != NULL && g_ascii_strcasecmp(started, "no") == 0 &&
        (transfer->status == 429 || transfer->status == 503)) {
        transfer->marked = true;
    }
    g_free(started);
}

static size_t
S_on_header(char *line, size_t unit, size_t count, void *context)
{
    BsTransfer *transfer = context;
    size_t size = unit * count;
    if (size > strlen(STATUS_LINE) &&
        strncmp(line, STATUS_LINE, strlen(STATUS_LINE)) == 0) {
        S_begin_head(transfer);
    }
    if (transfer->head_read) {
        return size; /* a trailer */
    }
    if (size <= 2) {
        S_end_head(transfer);
    }
    else {
        S_read_header(transfer, line, size);
    }
    return S_is_status(transfer->status) ? size : 0; /* 0 ends the transfer */
}

/* Called by libcurl just before the request is sent on a connection.  Aborts a
   second send: libcurl resends by itself when a reused connection closes, but
   only the core decides on a resend. */
static int
S_on_send(void *context, char *remote_ip, char *local_ip, int remote_port,
          int local_port)
{
    BsTransfer *transfer = context;
    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    transfer->sends++;
    if (transfer->sends == 1) {
        transfer->local_port = local_port;
    }
    return transfer->sends == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

/* Returns whether certainly no byte of the request was sent. */
static bool
S_is_unsent(const BsTransfer *transfer, CURLcode result)
{
    if (transfer->sends > 0) {
        return false;
    }
    switch (result) {
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_OPERATION_TIMEDOUT:
        return true;
    default:
        return false;
    }
}

/* Returns whether the upstream closed, reset or refused the connection.  A
   second send means that libcurl found the first connection closed. */
static bool
S_is_crash(const BsTransfer *transfer, CURLcode result)
{
    return transfer->sends > 1 || result == CURLE_GOT_NOTHING ||
           result == CURLE_RECV_ERROR || result == CURLE_SEND_ERROR ||
           result == CURLE_PARTIAL_FILE || result == CURLE_COULDNT_CONNECT;
}

static void
S_set_failure(BsAnswer *answer, BsErrorKind error, BsOutcome outcome,
              const char *detail)
{
    answer->error = error;
    answer->outcome = outcome;
    answer->status = BsError_Describe(error)->http_status;
    answer->detail = g_strdup(detail);
}

/* Returns whether the answer is an event stream that was broken off where HTTP
   calls it complete. */
static bool
S_is_broken_off(const BsTransfer *transfer)
{
    if (!transfer->events) {
        return false;
    }
    if (transfer->model) {
        return !transfer->sse.done;
    }
    BsStreamEnd end = {
        .rest = (const char *)transfer->sse.held->data,
        .rest_bytes = transfer->sse.held->len,
        .has_events = transfer->has_events,
        .by_close = !transfer->framed,
    };
    return !BsStreamEnd_IsComplete(&end);
}

/* Returns whether the end of the connection marks the end of the answer. */
static bool
S_ends_with_connection(const BsTransfer *transfer)
{
    return !transfer->framed && transfer->status != STATUS_NO_CONTENT &&
           transfer->status != STATUS_NOT_MODIFIED;
}

/* Returns whether the upstream may have crashed in the middle of its answer:
   it ended the connection, which marks the answer's end, without having
   received the whole request. */
static bool
S_is_cut_off(const BsTransfer *transfer)
{
    curl_off_t sent = 0;
    size_t size =
        transfer->body == NULL ? 0 : g_bytes_get_size(transfer->body);
    if (!S_ends_with_connection(transfer)) {
        return false;
    }
    curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    return (size_t)sent < size ||
           BsCurl_IsUndelivered(transfer->curl, transfer->local_port);
}

/* Sets the error and outcome of the final piece from the result of the
   transfer. */
static void
S_classify(BsTransfer *transfer, CURLcode result, BsAnswer *answer)
{
    const char *detail = transfer->error[0] != '\0'
                             ? transfer->error
                             : curl_easy_strerror(result);
    if (result != CURLE_OK && S_is_unsent(transfer, result)) {
        S_set_failure(answer, BS_ERR_CONNECT, BS_OUTCOME_NOT_RUN, detail);
    }
    else if (transfer->unstarted) {
        S_set_failure(answer, BS_ERR_UPSTREAM_REFUSED, BS_OUTCOME_NOT_RUN,
                      "the upstream refused before it started");
    }
    else if (result == CURLE_OK && !transfer->head_read) {
        S_set_failure(answer, BS_ERR_UPSTREAM_FAILED, BS_OUTCOME_UNKNOWN,
                      "the answer ended within its head");
        answer->crashed = true;
    }
    else if (transfer->status > STATUS_MAX) {
        S_set_failure(answer, BS_ERR_UPSTREAM_FAILED, BS_OUTCOME_UNKNOWN,
                      "the answer's status is above 599");
    }
    else if (result != CURLE_OK) {
        S_set_failure(answer, BS_ERR_UPSTREAM_FAILED, BS_OUTCOME_UNKNOWN,
                      detail);
        answer->crashed = S_is_crash(transfer, result);
    }
    else if (S_is_cut_off(transfer)) {
        S_set_failure(answer, BS_ERR_UPSTREAM_FAILED, BS_OUTCOME_UNKNOWN,
                      "the answer ended before its request was received");
        answer->crashed = true;
    }
    else if (S_is_broken_off(transfer)) {
        S_set_failure(answer, BS_ERR_UPSTREAM_FAILED, BS_OUTCOME_UNKNOWN,
                      transfer->model
                          ? "the stream ended without its last event"
                          : "the stream ended inside an event");
        answer->crashed = true;
    }
    else {
        answer->outcome = BS_OUTCOME_RAN;
    }
}

static void
S_on_done(CURL *easy, CURLcode result, void *context)
{
    BsTransfer *transfer = context;
    (void)easy;
    S_read_status(transfer);
    if (result == CURLE_OK && transfer->model && !transfer->events &&
        !transfer->unstarted) {
        GBytes *body =
            g_bytes_new_static(transfer->held->data, transfer->held->len);
        BsUsage_Scan(body, &transfer->cached_tokens, &transfer->usage_tokens);
        g_bytes_unref(body);
    }
    BsMessage *message = S_create_piece(transfer);
    BsAnswer *answer = &message->u.answer;
    answer->final = true;
    if (!transfer->events) {
        answer->tokens = transfer->usage_tokens;
    }
    if (!transfer->unstarted) {
        answer->data = S_take_held(transfer);
    }
    S_classify(transfer, result, answer);
    if (transfer->events && answer->error == BS_ERR_NONE) {
        answer->data = BsSse_TakeRest(&transfer->sse);
    }
    curl_easy_cleanup(transfer->easy);
    transfer->easy = NULL;
    BsLoop_Post(transfer->loop, message);
    transfer->done(transfer, transfer->context);
}

static void
S_add_header(BsTransfer *transfer, const char *name, const char *value)
{
    if (value == NULL) {
        return;
    }
    char *line = g_strdup_printf("%s: %s", name, value);
    transfer->headers = curl_slist_append(transfer->headers, line);
    g_free(line);
}

static void
S_set_headers(BsTransfer *transfer, const BsRequest *request)
{
    char number[16];
    if (request->content_type != NULL || request->model != NULL) {
        S_add_header(transfer, "Content-Type",
                     request->content_type == NULL ? "application/json"
                                                   : request->content_type);
    }
    else {
        transfer->headers =
            curl_slist_append(transfer->headers, "Content-Type:");
    }
    S_add_header(transfer, "Idempotency-Key", request->key);
    S_add_header(transfer, "traceparent", transfer->hop.traceparent);
    S_add_header(transfer, "Boragespur-Request-Id", request->request_id);
    if (request->skip_events > 0) {
        g_snprintf(number, sizeof(number), "%u", request->skip_events);
        S_add_header(transfer, "X-Resume-Events", number);
    }
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void
S_set_body(BsTransfer *transfer, const BsRequest *request)
{
    gsize size = 0;
    const void *data = NULL;
    if (request->body != NULL) {
        transfer->body = g_bytes_ref(request->body);
        data = g_bytes_get_data(transfer->body, &size);
    }
    if (size > 0 || strcmp(request->method, "POST") == 0) {
        curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)size);
        curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS,
                         data == NULL ? "" : data);
    }
    if (strcmp(request->method, "HEAD") == 0) {
        curl_easy_setopt(transfer->easy, CURLOPT_NOBODY, 1L);
        transfer->no_body = true;
    }
    curl_easy_setopt(transfer->easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static void
S_set_options(BsTransfer *transfer, const BsRequest *request,
              const char *address)
{
    CURL *easy = transfer->easy;
    char *url = g_strdup_printf("http://%s%s", address, request->path);
    long timeout_ms =
        request->deadline_ms > 0 ? (long)request->deadline_ms : 1L;
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->error);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, S_on_write);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, S_on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, S_on_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    if (!request->idempotent) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    g_free(url);
}

BsTransfer *
BsTransfer_Start(BsLoop *loop, BsCurl *curl, const BsRequest *request,
                 const char *address, BsTransferDoneFunc done, void *context)
{
    BsTransfer *transfer = g_new0(BsTransfer, 1);
    transfer->loop = loop;
    transfer->curl = curl;
    transfer->done = done;
    transfer->context = context;
    transfer->id = g_strdup(request->request_id);
    transfer->upstream = g_strdup(request->upstream);
    transfer->attempt = request->attempt;
    transfer->model = request->model != NULL;
    transfer->stream = request->stream;
    transfer->held = g_byte_array_new();
    BsSse_Init(&transfer->sse);
    transfer->easy = curl_easy_init();
    BsHop_Start(&transfer->hop, loop, request->traceparent);
    S_set_options(transfer, request, address);
    S_set_headers(transfer, request);
    S_set_body(transfer, request);
    BsCurl_Start(curl, transfer->easy, S_on_done, transfer);
    return transfer;
}

void
BsTransfer_Destroy(BsTransfer *transfer)
{
    if (transfer->easy != NULL) {
        BsCurl_Cancel(transfer->curl, transfer->easy);
    }
    BsHop_End(&transfer->hop, transfer->loop, "upstream", transfer->id);
    if (transfer->body != NULL) {
        g_bytes_unref(transfer->body);
    }
    curl_slist_free_all(transfer->headers);
    g_byte_array_unref(transfer->held);
    BsSse_Clear(&transfer->sse);
    g_free(transfer->id);
    g_free(transfer->upstream);
    g_free(transfer->content_type);
    g_free(transfer);
}

void
BsTransfer_SetPaused(BsTransfer *transfer, bool paused)
{
    bool resume = transfer->paused && !paused;
    transfer->paused = paused;
    if (resume && transfer->easy != NULL) {
        curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
    }
}
