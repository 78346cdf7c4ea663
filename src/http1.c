/* http1.c - strict incremental parser for HTTP/1.1 messages. */
#include "http1.h"

#include <http_parser.h>
#include <string.h>

#define HEAD_END "\r\n\r\n"
#define HEAD_END_BYTES 4
#define STATUS_MIN 100
#define STATUS_OK_MIN 200
#define STATUS_MAX 599

/* Limit of interim (1xx) responses before the final one: an upstream could
   send them without end. */
#define INTERIM_MAX 16

/* Memory of a parsed header beside its text: its entry in an array that grows
   by doubling, and two allocations of at least 32 bytes. */
#define HEADER_COST_BYTES (2 * sizeof(BsHttpHeader) + 64)

/* Memory of a token that a Connection header lists: an allocation of at least
   32 bytes, and its entry in a hash table. */
#define LISTED_COST_BYTES 80

/* A buffer for heads that has grown beyond this is given back with the
   message. */
#define KEPT_RAW_BYTES 1024

/* Position in a chunked body. */
typedef enum {
    CHUNK_SIZE,      /* in the digits of the size */
    CHUNK_EXTENSION, /* after them, up to the end of the line */
    CHUNK_DATA,      /* in the data or the CR LF after it */
    CHUNK_TRAILER    /* after the last chunk; checked by http_parser only */
} BsChunkState;

struct BsHttpReader {
    BsHttpKind kind;
    const BsHttpEvents *events;
    void *context;
    size_t head_max_bytes;
    uint64_t body_max_bytes;
    GString *raw; /* bytes of the head received so far */
    BsHttpHead *head;
    http_parser parser;
    uint64_t body_bytes;
    BsChunkState chunk_state;
    unsigned chunk_digits;
    uint64_t chunk_left; /* in the size line: its value so far; in the data:
                            bytes left up to the next size line */
    BsHttpFault fault;
    bool complete;
    bool no_body;
    unsigned interims; /* interim responses skipped since the last reset */
};

/* ------------------------------------------------------------- heads -- */

static bool
S_is_token_char(char c)
{
    return g_ascii_isalnum(c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c));
}

static bool
S_is_token(const char *text, size_t size_bytes)
{
    for (size_t i = 0; i < size_bytes; i++) {
        if (!S_is_token_char(text[i])) {
            return false;
        }
    }
    return size_bytes > 0;
}

/* Returns whether TEXT may be a header value: no control characters but the
   tab. */
static bool
S_is_value(const char *text, size_t size_bytes)
{
    for (size_t i = 0; i < size_bytes; i++) {
        unsigned char c = (unsigned char)text[i];
        if ((c < ' ' && c != '\t') || c == 0x7f) {
            return false;
        }
    }
    return true;
}

static void
S_clear_header(gpointer data)
{
    BsHttpHeader *header = data;
    g_free(header->name);
    g_free(header->value);
}

static GArray *
S_create_headers(void)
{
    GArray *headers = g_array_new(FALSE, FALSE, sizeof(BsHttpHeader));
    g_array_set_clear_func(headers, S_clear_header);
    return headers;
}

void
BsHttpHead_Destroy(BsHttpHead *head)
{
    if (head == NULL) {
        return;
    }
    g_free(head->method);
    g_free(head->target);
    g_free(head->host);
    g_free(head->authority);
    g_array_free(head->headers, TRUE);
    if (head->listed != NULL) {
        g_hash_table_destroy(head->listed);
    }
    g_free(head);
}

const char *
BsHttpHead_Find(const BsHttpHead *head, const char *name)
{
    for (guint i = 0; i < head->headers->len; i++) {
        BsHttpHeader *header = &g_array_index(head->headers, BsHttpHeader, i);
        if (g_ascii_strcasecmp(header->name, name) == 0) {
            return header->value;
        }
    }
    return NULL;
}

static unsigned
S_count(const BsHttpHead *head, const char *name)
{
    unsigned count = 0;
    for (guint i = 0; i < head->headers->len; i++) {
        BsHttpHeader *header = &g_array_index(head->headers, BsHttpHeader, i);
        count += g_ascii_strcasecmp(header->name, name) == 0;
    }
    return count;
}

bool
BsHttp_ListHolds(const char *list, const char *token)
{
    size_t length = strlen(token);
    while (list != NULL && *list != '\0') {
        list += strspn(list, " \t,");
        size_t word = strcspn(list, " \t,;");
        if (word == length && g_ascii_strncasecmp(list, token, word) == 0) {
            return true;
        }
        list += word;
        list += strcspn(list, ",");
    }
    return false;
}

/* Adds the tokens of the comma-separated LIST to TOKENS. */
static void
S_add_tokens(GHashTable *tokens, const char *list)
{
    while (*list != '\0') {
        list += strspn(list, " \t,");
        size_t word = strcspn(list, " \t,;");
        if (word > 0) {
            g_hash_table_add(tokens, g_ascii_strdown(list, (gssize)word));
        }
        list += word;
        list += strcspn(list, ",");
    }
}

/* Collects the tokens of the Connection headers.  They are looked up once for
   each header that is forwarded, so searching all headers each time would take
   quadratic time. */
static void
S_collect_listed(BsHttpHead *head)
{
    for (guint i = 0; i < head->headers->len; i++) {
        BsHttpHeader *header = &g_array_index(head->headers, BsHttpHeader, i);
        if (g_ascii_strcasecmp(header->name, "Connection") != 0) {
            continue;
        }
        if (head->listed == NULL) {
            head->listed =
                g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        }
        S_add_tokens(head->listed, header->value);
    }
}

bool
BsHttpHead_IsHopByHop(const BsHttpHead *head, const char *name)
{
    static const char *const names[] = {"Connection",
                                        "Keep-Alive",
                                        "Proxy-Connection",
                                        "TE",
                                        "Trailer",
                                        "Transfer-Encoding",
                                        "Upgrade",
                                        "Expect",
                                        "Proxy-Authenticate",
                                        "Proxy-Authorization"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(names[i], name) == 0) {
            return true;
        }
    }
    if (head->listed == NULL) {
        return false;
    }
    char *lower = g_ascii_strdown(name, -1);
    bool listed = g_hash_table_contains(head->listed, lower);
    g_free(lower);
    return listed;
}

int64_t
BsHttpHead_KeepAliveS(const BsHttpHead *head)
{
    const char *value = BsHttpHead_Find(head, "Keep-Alive");
    const char *timeout = value == NULL ? NULL : strstr(value, "timeout=");
    if (timeout == NULL) {
        return -1;
    }
    return g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10);
}

/* Appends the header in LINE; returns whether it is well formed. */
static bool
S_add_header(BsHttpHead *head, const char *line, size_t size_bytes)
{
    const char *colon = memchr(line, ':', size_bytes);
    if (colon == NULL || !S_is_token(line, (size_t)(colon - line))) {
        return false;
    }
    const char *value = colon + 1;
    size_t value_bytes = size_bytes - (size_t)(value - line);
    if (!S_is_value(value, value_bytes)) {
        return false;
    }
    BsHttpHeader header = {
        g_strndup(line, (gsize)(colon - line)),
        g_strstrip(g_strndup(value, value_bytes)),
    };
    g_array_append_val(head->headers, header);
    return true;
}

static bool
S_is_target(const char *text, size_t size_bytes)
{
    for (size_t i = 0; i < size_bytes; i++) {
        unsigned char c = (unsigned char)text[i];
        if (c <= ' ' || c >= 0x7f) {
            return false;
        }
    }
    return size_bytes > 0;
}

/* Sets the target in origin form, and the authority when TARGET is in
   absolute form; returns whether it is well formed. */
static bool
S_set_target(BsHttpHead *head, const char *target, size_t size_bytes)
{
    static const char scheme[] = "http://";
    size_t scheme_bytes = strlen(scheme);
    if (target[0] == '/' || (size_bytes == 1 && target[0] == '*')) {
        head->target = g_strndup(target, size_bytes);
        return true;
    }
    if (size_bytes <= scheme_bytes ||
        g_ascii_strncasecmp(target, scheme, scheme_bytes) != 0) {
        return false;
    }
    char *rest = g_strndup(target + scheme_bytes, size_bytes - scheme_bytes);
    size_t authority = strcspn(rest, "/?");
    head->authority = g_strndup(rest, authority);
    head->target = rest[authority] == '/'
                       ? g_strdup(rest + authority)
                       : g_strconcat("/", rest + authority, NULL);
    g_free(rest);
    return authority > 0;
}

static bool
S_parse_request_line(BsHttpHead *head, const char *line, size_t size_bytes)
{
    const char *first = memchr(line, ' ', size_bytes);
    if (first == NULL || !S_is_token(line, (size_t)(first - line))) {
        return false;
    }
    const char *target = first + 1;
    size_t left = size_bytes - (size_t)(target - line);
    const char *second = memchr(target, ' ', left);
    if (second == NULL || !S_is_target(target, (size_t)(second - target))) {
        return false;
    }
    const char *version = second + 1;
    size_t version_bytes = size_bytes - (size_t)(version - line);
    if (version_bytes != strlen("HTTP/1.1") ||
        (memcmp(version, "HTTP/1.1", version_bytes) != 0 &&
         memcmp(version, "HTTP/1.0", version_bytes) != 0)) {
        return false;
    }
    head->method = g_strndup(line, (gsize)(first - line));
    if (strcmp(head->method, "CONNECT") == 0) {
        return false; /* no body follows it, whatever its headers say */
    }
    head->old_version = version[version_bytes - 1] == '0';
    head->keep_alive = !head->old_version;
    return S_set_target(head, target, (size_t)(second - target));
}

static bool
S_parse_status_line(BsHttpHead *head, const char *line, size_t size_bytes)
{
    static const size_t status_at = 9; /* after "HTTP/1.1 " */
    if (size_bytes < status_at + 3 || memcmp(line, "HTTP/1.", 7) != 0 ||
        line[8] != ' ') {
        return false;
    }
    for (size_t i = status_at; i < status_at + 3; i++) {
        if (!g_ascii_isdigit(line[i])) {
            return false;
        }
        head->status = head->status * 10 + (uint32_t)(line[i] - '0');
    }
    if (head->status < STATUS_MIN || head->status > STATUS_MAX) {
        return false;
    }
    head->old_version = line[7] == '0';
    head->keep_alive = line[7] == '1';
    return size_bytes == status_at + 3 || line[status_at + 3] == ' ';
}

/* Sets how the body is delimited; returns whether it is unambiguous: at most
   one Content-Length or Transfer-Encoding header, and not both. */
static bool
S_set_framing(BsHttpHead *head, BsHttpKind kind)
{
    const char *length = BsHttpHead_Find(head, "Content-Length");
    const char *coding = BsHttpHead_Find(head, "Transfer-Encoding");
    unsigned lengths = S_count(head, "Content-Length");
    unsigned codings = S_count(head, "Transfer-Encoding");
    if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) {
        return false;
    }
    head->length_bytes = -1;
    if (coding != NULL) {
        head->chunked = true;
        return g_ascii_strcasecmp(coding, "chunked") == 0;
    }
    if (length != NULL) {
        guint64 value = 0;
        if (!g_ascii_string_to_unsigned(length, 10, 0, INT64_MAX, &value,
                                        NULL)) {
            return false;
        }
        head->length_bytes = (int64_t)value;
    }
    else if (kind == BS_HTTP_REQUEST) {
        head->length_bytes = 0;
    }
    return true;
}

/* Sets the host; returns whether there is exactly one Host header and the
   authority is valid. */
static bool
S_set_host(BsHttpHead *head)
{
    if (S_count(head, "Host") != 1) {
        return false;
    }
    if (head->authority == NULL) {
        head->authority = g_strdup(BsHttpHead_Find(head, "Host"));
    }
    const char *text = head->authority;
    size_t length =
        text[0] == '[' ? strcspn(text, "]") + 1 : strcspn(text, ":");
    if (strpbrk(text, " \t,/@") != NULL || length == 0 ||
        length > strlen(text)) {
        return false;
    }
    head->host = g_ascii_strdown(text, (gssize)length);
    return true;
}

static void
S_set_keep_alive(BsHttpHead *head)
{
    for (guint i = 0; i < head->headers->len; i++) {
        BsHttpHeader *header = &g_array_index(head->headers, BsHttpHeader, i);
        if (g_ascii_strcasecmp(header->name, "Connection") != 0) {
            continue;
        }
        if (BsHttp_ListHolds(header->value, "close")) {
            head->keep_alive = false;
            return;
        }
        if (BsHttp_ListHolds(header->value, "keep-alive")) {
            head->keep_alive = true;
        }
    }
}

/* Parses the lines of the head TEXT; returns whether all are well formed and
   end with CR LF. */
static bool
S_parse_lines(BsHttpHead *head, BsHttpKind kind, const char *text,
              size_t size_bytes)
{
    bool first = true;
    while (size_bytes > 2) {
        const char *end = memchr(text, '\n', size_bytes);
        if (end == NULL || end == text || end[-1] != '\r') {
            return false;
        }
        size_t line_bytes = (size_t)(end - text) - 1;
        bool good = !first ? S_add_header(head, text, line_bytes)
                    : kind == BS_HTTP_REQUEST
                        ? S_parse_request_line(head, text, line_bytes)
                        : S_parse_status_line(head, text, line_bytes);
        if (!good) {
            return false;
        }
        first = false;
        size_bytes -= line_bytes + 2;
        text = end + 1;
    }
    return !first && size_bytes == 2;
}

BsHttpHead *
BsHttpHead_Parse(BsHttpKind kind, const char *text, size_t size_bytes,
                 BsHttpFault *fault)
{
    BsHttpHead *head = g_new0(BsHttpHead, 1);
    head->headers = S_create_headers();
    bool good = S_parse_lines(head, kind, text, size_bytes) &&
                S_set_framing(head, kind) &&
                (kind == BS_HTTP_RESPONSE || S_set_host(head));
    if (!good) {
        *fault = BS_HTTP_MALFORMED;
        BsHttpHead_Destroy(head);
        return NULL;
    }
    S_set_keep_alive(head);
    S_collect_listed(head);
    *fault = BS_HTTP_OK;
    return head;
}

/* ------------------------------------------------------------ reader -- */

static int
S_on_body(http_parser *parser, const char *data, size_t size_bytes)
{
    BsHttpReader *reader = parser->data;
    reader->body_bytes += size_bytes;
    if (reader->body_max_bytes > 0 &&
        reader->body_bytes > reader->body_max_bytes) {
        reader->fault = BS_HTTP_BODY_TOO_LARGE;
        return 1;
    }
    if (reader->events->on_body != NULL) {
        reader->events->on_body(data, size_bytes, reader->context);
    }
    return 0;
}

static int
S_on_complete(http_parser *parser)
{
    BsHttpReader *reader = parser->data;
    reader->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static int
S_on_headers_complete(http_parser *parser)
{
    BsHttpReader *reader = parser->data;
    return reader->no_body ? 1 : 0; /* 1 tells http_parser: no body */
}

static const http_parser_settings S_parser_settings = {
    .on_headers_complete = S_on_headers_complete,
    .on_body = S_on_body,
    .on_message_complete = S_on_complete,
};

BsHttpReader *
BsHttpReader_Create(BsHttpKind kind, const BsHttpEvents *events, void *context,
                    size_t head_max_bytes, uint64_t body_max_bytes)
{
    BsHttpReader *reader = g_new0(BsHttpReader, 1);
    reader->kind = kind;
    reader->events = events;
    reader->context = context;
    reader->raw = g_string_new(NULL);
    BsHttpReader_SetLimits(reader, head_max_bytes, body_max_bytes);
    BsHttpReader_Reset(reader);
    return reader;
}

void
BsHttpReader_Destroy(BsHttpReader *reader)
{
    if (reader == NULL) {
        return;
    }
    BsHttpHead_Destroy(reader->head);
    g_string_free(reader->raw, TRUE);
    g_free(reader);
}

void
BsHttpReader_SetLimits(BsHttpReader *reader, size_t head_max_bytes,
                       uint64_t body_max_bytes)
{
    reader->head_max_bytes = head_max_bytes;
    reader->body_max_bytes = body_max_bytes;
}

static void
S_clear_raw(BsHttpReader *reader)
{
    if (reader->raw->allocated_len > KEPT_RAW_BYTES) {
        g_string_free(reader->raw, TRUE);
        reader->raw = g_string_new(NULL);
    }
    g_string_truncate(reader->raw, 0);
}

void
BsHttpReader_Reset(BsHttpReader *reader)
{
    BsHttpHead_Destroy(reader->head);
    reader->head = NULL;
    S_clear_raw(reader);
    http_parser_init(&reader->parser, reader->kind == BS_HTTP_REQUEST
                                          ? HTTP_REQUEST
                                          : HTTP_RESPONSE);
    reader->parser.data = reader;
    reader->body_bytes = 0;
    reader->chunk_state = CHUNK_SIZE;
    reader->chunk_digits = 0;
    reader->chunk_left = 0;
    reader->fault = BS_HTTP_OK;
    reader->complete = false;
    reader->no_body = false;
    reader->interims = 0;
}

/* Resets the reader for the response that follows an interim one. */
static void
S_skip_interim(BsHttpReader *reader)
{
    bool no_body = reader->no_body;
    unsigned interims = reader->interims + 1;
    BsHttpReader_Reset(reader);
    reader->no_body = no_body;
    reader->interims = interims;
    if (interims > INTERIM_MAX) {
        reader->fault = BS_HTTP_MALFORMED;
    }
}

void
BsHttpReader_ExpectNoBody(BsHttpReader *reader)
{
    reader->no_body = true;
}

/* Checks one byte of a chunk's size line.  http_parser accepts spaces there,
   which other parsers read as the end of the size. */
static bool
S_check_size_byte(BsHttpReader *reader, char byte)
{
    if (reader->chunk_state == CHUNK_SIZE && g_ascii_isxdigit(byte)) {
        reader->chunk_left =
            reader->chunk_left * 16 + (uint64_t)g_ascii_xdigit_value(byte);
        return ++reader->chunk_digits < 16;
    }
    if (byte == '\n') {
        bool last = reader->chunk_left == 0;
        reader->chunk_state = last ? CHUNK_TRAILER : CHUNK_DATA;
        reader->chunk_left += 2; /* CR LF after the data */
        return reader->chunk_digits > 0;
    }
    if (reader->chunk_state == CHUNK_SIZE) {
        reader->chunk_state = CHUNK_EXTENSION;
        return byte == ';' || byte == '\r';
    }
    return true;
}

/* Returns whether all chunk size lines in DATA are well formed. */
static bool
S_check_chunks(BsHttpReader *reader, const char *data, size_t size_bytes)
{
    for (size_t i = 0; i < size_bytes; i++) {
        if (reader->chunk_state == CHUNK_TRAILER) {
            return true;
        }
        if (reader->chunk_state != CHUNK_DATA) {
            if (!S_check_size_byte(reader, data[i])) {
                return false;
            }
            continue;
        }
        size_t skipped = MIN(reader->chunk_left, size_bytes - i);
        reader->chunk_left -= skipped;
        i += skipped - 1;
        if (reader->chunk_left == 0) {
            reader->chunk_state = CHUNK_SIZE;
            reader->chunk_digits = 0;
        }
    }
    return true;
}

static size_t S_parse(BsHttpReader *reader, const char *data,
                      size_t size_bytes);

/* Feeds bytes of the body to http_parser after checking the chunk sizes of a
   request.  Returns how many were consumed. */
static size_t
S_parse_body(BsHttpReader *reader, const char *data, size_t size_bytes)
{
    if (reader->kind == BS_HTTP_REQUEST && reader->head->chunked &&
        !S_check_chunks(reader, data, size_bytes)) {
        reader->fault = BS_HTTP_MALFORMED;
        return 0;
    }
    return S_parse(reader, data, size_bytes);
}

/* Feeds bytes of the message to http_parser.  Returns how many it consumed. */
static size_t
S_parse(BsHttpReader *reader, const char *data, size_t size_bytes)
{
    size_t taken = http_parser_execute(&reader->parser, &S_parser_settings,
                                       data, size_bytes);
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);
    if (reader->fault == BS_HTTP_OK && error != HPE_OK &&
        error != HPE_PAUSED) {
        reader->fault = BS_HTTP_MALFORMED;
    }
    return taken;
}

/* Parses the complete head.  Skips an interim response. */
static void
S_take_head(BsHttpReader *reader)
{
    reader->head = BsHttpHead_Parse(reader->kind, reader->raw->str,
                                    reader->raw->len, &reader->fault);
    if (reader->head == NULL) {
        return;
    }
    bool interim = reader->kind == BS_HTTP_RESPONSE &&
                   reader->head->status < STATUS_OK_MIN;
    if (interim) {
        S_skip_interim(reader);
        return;
    }
    if (reader->body_max_bytes > 0 && reader->head->length_bytes > 0 &&
        (uint64_t)reader->head->length_bytes > reader->body_max_bytes) {
        reader->fault = BS_HTTP_BODY_TOO_LARGE;
        return;
    }
    if (reader->events->on_head != NULL) {
        reader->events->on_head(reader->head, reader->context);
    }
    S_parse(reader, reader->raw->str, reader->raw->len);
}

/* Buffers bytes up to the end of the head; returns how many were consumed. */
static size_t
S_collect_head(BsHttpReader *reader, const char *data, size_t size_bytes)
{
    size_t before = reader->raw->len;
    size_t room = reader->head_max_bytes - MIN(before, reader->head_max_bytes);
    size_t taken = MIN(size_bytes, room);
    g_string_append_len(reader->raw, data, (gssize)taken);
    size_t from = before < HEAD_END_BYTES ? 0 : before - HEAD_END_BYTES + 1;
    char *end = g_strstr_len(reader->raw->str + from,
                             (gssize)(reader->raw->len - from), HEAD_END);
    if (end == NULL) {
        if (memchr(reader->raw->str, '\0', reader->raw->len) != NULL) {
            reader->fault = BS_HTTP_MALFORMED;
        }
        else if (reader->raw->len >= reader->head_max_bytes) {
            reader->fault = BS_HTTP_HEAD_TOO_LARGE;
        }
        return taken;
    }
    size_t head_bytes = (size_t)(end - reader->raw->str) + HEAD_END_BYTES;
    g_string_truncate(reader->raw, head_bytes);
    S_take_head(reader);
    return head_bytes - before;
}

size_t
BsHttpReader_Feed(BsHttpReader *reader, const char *data, size_t size_bytes)
{
    size_t taken = 0;
    while (taken < size_bytes && reader->fault == BS_HTTP_OK &&
           !reader->complete) {
        const char *at = data + taken;
        size_t left = size_bytes - taken;
        taken += reader->head == NULL ? S_collect_head(reader, at, left)
                                      : S_parse_body(reader, at, left);
    }
    return taken;
}

bool
BsHttpReader_Finish(BsHttpReader *reader)
{
    if (reader->complete) {
        return true;
    }
    if (reader->head != NULL && reader->fault == BS_HTTP_OK) {
        http_parser_execute(&reader->parser, &S_parser_settings, NULL, 0);
    }
    return reader->complete;
}

bool
BsHttpReader_IsComplete(const BsHttpReader *reader)
{
    return reader->complete;
}

BsHttpFault
BsHttpReader_Fault(const BsHttpReader *reader)
{
    return reader->fault;
}

void
BsHttpReader_ForgetHeaders(BsHttpReader *reader)
{
    if (reader->head != NULL && reader->head->headers->len > 0) {
        g_array_free(reader->head->headers, TRUE);
        reader->head->headers = S_create_headers();
        S_clear_raw(reader);
    }
}

size_t
BsHttpReader_HeadBytes(const BsHttpReader *reader)
{
    size_t bytes = reader->raw->allocated_len;
    if (reader->head != NULL) {
        bytes += reader->head->headers->len * HEADER_COST_BYTES;
        if (reader->head->listed != NULL) {
            bytes +=
                g_hash_table_size(reader->head->listed) * LISTED_COST_BYTES;
        }
    }
    return bytes;
}
