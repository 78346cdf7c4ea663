/* cli_http.c - one HTTP request of the command and its answer. */
#include "cli_http.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

typedef struct {
    BsExchange *exchange;
    FILE *echo;
} BsSink;

static size_t
S_on_write(char *data, size_t unit, size_t count, void *context)
{
    BsSink *sink = context;
    size_t size = unit * count;
    g_string_append_len(sink->exchange->body, data, (gssize)size);
    if (sink->echo != NULL) {
        fwrite(data, 1, size, sink->echo);
        fflush(sink->echo);
    }
    return size;
}

/* Copies the value of the header line NAME, given with its colon, to VALUE. */
static void
S_copy_header(const char *line, size_t size, const char *name, char **value)
{
    size_t length = strlen(name);
    if (size > length && strncasecmp(line, name, length) == 0) {
        g_free(*value);
        *value = g_strstrip(g_strndup(line + length, size - length));
    }
}

static size_t
S_on_header(char *line, size_t unit, size_t count, void *context)
{
    BsSink *sink = context;
    size_t size = unit * count;
    S_copy_header(line, size,
                  "Boragespur-Request-Id:", &sink->exchange->request_id);
    S_copy_header(line, size, "Boragespur-Outcome:", &sink->exchange->outcome);
    S_copy_header(line, size, "Boragespur-Ticket:", &sink->exchange->ticket);
    return size;
}

bool
BsExchange_Run(BsExchange *exchange, const char *address, const char *method,
               const char *path, struct curl_slist *headers, const char *body,
               FILE *echo)
{
    return BsExchange_RunWithin(exchange, 0, address, method, path, headers,
                                body, echo);
}

bool
BsExchange_RunWithin(BsExchange *exchange, long timeout_ms,
                     const char *address, const char *method, const char *path,
                     struct curl_slist *headers, const char *body, FILE *echo)
{
    BsSink sink = {exchange, echo};
    bool has_scheme = strstr(address, "://") != NULL;
    char *url =
        g_strconcat(has_scheme ? "" : "http://", address, path, (char *)NULL);
    CURL *easy = curl_easy_init();
    exchange->body = g_string_new(NULL);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, S_on_write);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &sink);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, S_on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &sink);
    if (body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    CURLcode result = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &exchange->status);
    if (result != CURLE_OK) {
        fprintf(stderr,
                "boragespur: %s: %s; check the address and that the "
                "instance runs\n",
                url, curl_easy_strerror(result));
    }
    curl_easy_cleanup(easy);
    g_free(url);
    return result == CURLE_OK;
}

void
BsExchange_Clear(BsExchange *exchange)
{
    g_string_free(exchange->body, TRUE);
    g_free(exchange->request_id);
    g_free(exchange->outcome);
    g_free(exchange->ticket);
}
