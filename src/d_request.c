/* d_request.c - translation of a caller's HTTP request to a message. */
#include "d_request.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

/* Estimate of a prompt's bytes per token. */
#define BYTES_PER_TOKEN 4

/* Bytes at the start of a prompt that are hashed for prefix affinity. */
#define PREFIX_BYTES 1024

#define KEY_MAX_BYTES 255
#define TRACEPARENT_BYTES 55
#define SERVICES_PATH "/services/"
#define REQUESTS_PATH "/v1/requests/"
#define BEARER "Bearer "

static bool
S_is_path(const char *target, const char *path)
{
    size_t length = strlen(path);
    return strncmp(target, path, length) == 0 &&
           (target[length] == '\0' || target[length] == '?');
}

static BsRouteKind
S_require(const char *method, const char *wanted, BsRouteKind route)
{
    return strcmp(method, wanted) == 0 ? route : BS_ROUTE_METHOD;
}

BsRouteKind
BsHttpRequest_Route(const char *method, const char *target)
{
    if (S_is_path(target, "/v1/chat/completions") ||
        S_is_path(target, "/v1/completions")) {
        return S_require(method, "POST", BS_ROUTE_MODEL);
    }
    if (S_is_path(target, "/v1/models")) {
        return S_require(method, "GET", BS_ROUTE_MODELS);
    }
    if (S_is_path(target, "/v1/tickets")) {
        return S_require(method, "POST", BS_ROUTE_TICKET);
    }
    if (g_str_has_prefix(target, REQUESTS_PATH)) {
        return S_require(method, "GET", BS_ROUTE_REQUEST);
    }
    if (g_str_has_prefix(target, SERVICES_PATH)) {
        return BS_ROUTE_SERVICE;
    }
    return BS_ROUTE_NONE;
}

static bool S_refuse(GError **error, BsErrorKind kind, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static bool
S_refuse(GError **error, BsErrorKind kind, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_set_error_literal(error, BS_ERROR, kind, text);
    g_free(text);
    return false;
}

static const char *
S_header(const BsHttpRequest *http, const char *name)
{
    return http->header(http->context, name);
}

/* Reads a header that contains a whole number; an absent header means 0. */
static bool
S_read_number(const BsHttpRequest *http, const char *name, uint64_t max,
              uint64_t *value, GError **error)
{
    const char *text = S_header(http, name);
    guint64 number = 0;
    if (text != NULL &&
        !g_ascii_string_to_unsigned(text, 10, 0, max, &number, NULL)) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "%s must be a whole number from 0 to "
                        "%" G_GUINT64_FORMAT,
                        name, (guint64)max);
    }
    *value = number;
    return true;
}

/* Reads a header of printable characters; an absent header leaves *VALUE
   unchanged. */
static bool
S_read_text(const BsHttpRequest *http, const char *name, size_t max_bytes,
            char **value, GError **error)
{
    const char *text = S_header(http, name);
    if (text == NULL) {
        return true;
    }
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(text[i])) {
            length = 0;
        }
    }
    if (length == 0 || length > max_bytes) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "%s must be 1 to %zu printable characters without "
                        "spaces",
                        name, max_bytes);
    }
    *value = g_strdup(text);
    return true;
}

static char *
S_read_token(const BsHttpRequest *http)
{
    const char *text = S_header(http, "Authorization");
    size_t length = strlen(BEARER);
    if (text == NULL || g_ascii_strncasecmp(text, BEARER, length) != 0) {
        return NULL;
    }
    return g_strstrip(g_strdup(text + length));
}

/* Copies a well-formed trace context; NULL, for any other, starts a new
   trace. */
static char *
S_read_traceparent(const BsHttpRequest *http)
{
    const char *text = S_header(http, "traceparent");
    if (text == NULL || strlen(text) != TRACEPARENT_BYTES ||
        strspn(text, "0123456789abcdef-") != TRACEPARENT_BYTES ||
        text[2] != '-' || text[35] != '-' || text[52] != '-') {
        return NULL;
    }
    return g_strdup(text);
}

static bool
S_read_headers(const BsHttpRequest *http, BsRequest *request, GError **error)
{
    uint64_t deadline_ms = 0;
    uint64_t skip_events = 0;
    request->token = S_read_token(http);
    request->traceparent = S_read_traceparent(http);
    request->content_type = g_strdup(S_header(http, "Content-Type"));
    if (!S_read_text(http, "Idempotency-Key", KEY_MAX_BYTES, &request->key,
                     error) ||
        !S_read_text(http, "Boragespur-Ticket", KEY_MAX_BYTES,
                     &request->ticket, error) ||
        !S_read_text(http, "Boragespur-Tier", BS_NAME_MAX_BYTES,
                     &request->tier, error) ||
        !S_read_number(http, "Boragespur-Deadline-Ms", INT32_MAX, &deadline_ms,
                       error) ||
        !S_read_number(http, "Boragespur-Resume-Events", INT32_MAX,
                       &skip_events, error)) {
        return false;
    }
    request->deadline_ms = (int64_t)deadline_ms;
    request->skip_events = (uint32_t)skip_events;
    return true;
}

static void
S_append_content(const json_t *content, GString *text)
{
    size_t index;
    json_t *part;
    if (json_is_string(content)) {
        g_string_append_len(text, json_string_value(content),
                            (gssize)json_string_length(content));
    }
    json_array_foreach(content, index, part)
    {
        S_append_content(
            json_is_object(part) ? json_object_get(part, "text") : part, text);
    }
}

static void
S_measure_prompt(const json_t *body, BsRequest *request)
{
    GString *text = g_string_new(NULL);
    size_t index;
    json_t *message;
    S_append_content(json_object_get(body, "prompt"), text);
    json_array_foreach(json_object_get(body, "messages"), index, message)
    {
        S_append_content(json_object_get(message, "content"), text);
    }
    request->prompt_tokens =
        (uint32_t)((text->len + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
    request->prefix_hash = XXH64(text->str, MIN(text->len, PREFIX_BYTES), 0);
    g_string_free(text, TRUE);
}

/* Reads the optional token count KEY; leaves *TOKENS unchanged when absent. */
static bool
S_read_tokens(const json_t *body, const char *key, uint32_t *tokens,
              GError **error)
{
    const json_t *value = json_object_get(body, key);
    if (value == NULL || json_is_null(value)) {
        return true;
    }
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < 1 || number > INT32_MAX) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "%s must be a whole number from 1 to %d", key,
                        INT32_MAX);
    }
    *tokens = (uint32_t)number;
    return true;
}

static bool
S_read_fields(const json_t *body, const char *target, BsRequest *request,
              GError **error)
{
    const json_t *model = json_object_get(body, "model");
    const json_t *stream = json_object_get(body, "stream");
    const char *prompt =
        S_is_path(target, "/v1/completions") ? "prompt" : "messages";
    if (!json_is_object(body)) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "the body must be a JSON object");
    }
    if (!json_is_string(model) || json_string_length(model) == 0 ||
        json_string_length(model) > BS_NAME_MAX_BYTES) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "\"model\" must be a string of 1 to %d bytes",
                        BS_NAME_MAX_BYTES);
    }
    if (stream != NULL && !json_is_boolean(stream) && !json_is_null(stream)) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "\"stream\" must be true or false");
    }
    if (json_object_get(body, prompt) == NULL) {
        return S_refuse(error, BS_ERR_BAD_REQUEST, "\"%s\" is missing",
                        prompt);
    }
    request->model = g_strdup(json_string_value(model));
    request->stream = json_is_true(stream);
    S_measure_prompt(body, request);
    return S_read_tokens(body, "max_tokens", &request->output_tokens, error) &&
           S_read_tokens(body, "max_completion_tokens",
                         &request->output_tokens, error);
}

static bool
S_read_model_call(const BsHttpRequest *http, BsRequest *request,
                  GError **error)
{
    json_error_t problem;
    if (http->body_bytes == 0) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "the body is empty; send a JSON object");
    }
    json_t *body = json_loadb(http->body, http->body_bytes,
                              JSON_REJECT_DUPLICATES, &problem);
    if (body == NULL) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "the body is not JSON: %s near line %d, column %d",
                        problem.text, problem.line, problem.column);
    }
    bool valid = S_read_fields(body, http->target, request, error);
    json_decref(body);
    request->path = g_strdup(http->target);
    return valid;
}

static bool
S_read_service_call(const BsHttpRequest *http, BsRequest *request,
                    GError **error)
{
    const char *name = http->target + strlen(SERVICES_PATH);
    size_t length = strcspn(name, "/?");
    const char *rest = name + length;
    if (length == 0 || length > BS_NAME_MAX_BYTES) {
        return S_refuse(error, BS_ERR_BAD_REQUEST,
                        "the path must be /services/NAME/... with a name of "
                        "1 to %d bytes",
                        BS_NAME_MAX_BYTES);
    }
    request->service = g_strndup(name, length);
    request->path = g_strconcat(rest[0] == '/' ? "" : "/", rest, (char *)NULL);
    request->prompt_tokens =
        (uint32_t)((http->body_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
    return true;
}

BsMessage *
BsHttpRequest_Translate(const BsHttpRequest *http, BsRouteKind route,
                        GError **error)
{
    BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
    BsRequest *request = &message->u.request;
    request->method = g_strdup(http->method);
    if (http->body_bytes > 0) {
        request->body = g_bytes_new(http->body, http->body_bytes);
    }
    bool valid =
        S_read_headers(http, request, error) &&
        (route == BS_ROUTE_MODEL ? S_read_model_call(http, request, error)
                                 : S_read_service_call(http, request, error));
    if (!valid) {
        BsMessage_Destroy(message);
        return NULL;
    }
    return message;
}

BsMessage *
BsHttpRequest_Query(const BsHttpRequest *http, BsRouteKind route)
{
    BsMessage *message = BsMessage_Create(BS_QUERY);
    BsQuery *query = &message->u.query;
    query->token = S_read_token(http);
    if (route == BS_ROUTE_REQUEST) {
        const char *id = http->target + strlen(REQUESTS_PATH);
        query->argument = g_strndup(id, strcspn(id, "?"));
    }
    query->what = g_strdup(route == BS_ROUTE_REQUEST  ? "request"
                           : route == BS_ROUTE_TICKET ? "ticket"
                                                      : "models");
    return message;
}
