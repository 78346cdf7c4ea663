/* cli_send.c - the subcommand send. */
#include "cli_command.h"
#include "cli_http.h"

#include <jansson.h>
#include <stdio.h>

#define FIRST_ERROR_STATUS 400

static struct curl_slist *
S_add_header(struct curl_slist *headers, const char *name, const char *value)
{
    if (value == NULL) {
        return headers;
    }
    char *line = g_strdup_printf("%s: %s", name, value);
    headers = curl_slist_append(headers, line);
    g_free(line);
    return headers;
}

static struct curl_slist *
S_make_headers(const BsCommandOptions *options)
{
    struct curl_slist *headers = NULL;
    char *bearer = options->token == NULL
                       ? NULL
                       : g_strconcat("Bearer ", options->token, (char *)NULL);
    char *deadline =
        options->deadline_ms == 0
            ? NULL
            : g_strdup_printf("%" G_GINT64_FORMAT, options->deadline_ms);
    headers = S_add_header(headers, "Authorization", bearer);
    headers = S_add_header(headers, "Idempotency-Key", options->key);
    headers = S_add_header(headers, "Boragespur-Ticket", options->ticket);
    headers = S_add_header(headers, "Boragespur-Tier", options->tier);
    headers = S_add_header(headers, "Boragespur-Deadline-Ms", deadline);
    headers = S_add_header(headers, "Content-Type", "application/json");
    g_free(bearer);
    g_free(deadline);
    return headers;
}

static void
S_print_json(const BsExchange *exchange)
{
    json_t *json = json_pack("{s:i, s:s?, s:s?, s:s?, s:s%}", "status",
                             (int)exchange->status, "outcome",
                             exchange->outcome, "request_id",
                             exchange->request_id, "ticket", exchange->ticket,
                             "body", exchange->body->str, exchange->body->len);
    if (json == NULL) {
        fputs("{\"error\":\"the answer is not UTF-8; leave out --json\"}\n",
              stdout);
        return;
    }
    json_dumpf(json, stdout, JSON_COMPACT);
    fputc('\n', stdout);
    json_decref(json);
}

static void
S_print_text(const BsExchange *exchange)
{
    const GString *body = exchange->body;
    if (body->len > 0 && body->str[body->len - 1] != '\n') {
        fputc('\n', stdout);
    }
    printf("status: %ld\noutcome: %s\nrequest: %s\n", exchange->status,
           exchange->outcome == NULL ? "none" : exchange->outcome,
           exchange->request_id == NULL ? "none" : exchange->request_id);
}

/* Sets BODY to the request's body, or NULL without one; reads it from a file
   if --data is @FILE.  Returns false when that cannot be read. */
static bool
S_read_data(const BsCommandOptions *options, char **body)
{
    GError *error = NULL;
    if (options->data == NULL || options->data[0] != '@') {
        *body = g_strdup(options->data);
        return true;
    }
    if (!g_file_get_contents(options->data + 1, body, NULL, &error)) {
        fprintf(stderr, "boragespur: %s; name a readable file\n",
                error->message);
        g_error_free(error);
        return false;
    }
    return true;
}

int
BsCommand_Send(const BsCommandOptions *options, const char *path)
{
    char *body = NULL;
    BsExchange exchange = {0};
    if (!S_read_data(options, &body)) {
        return BS_EXIT_USAGE;
    }
    const char *method = options->method != NULL ? options->method
                         : body != NULL          ? "POST"
                                                 : "GET";
    struct curl_slist *headers = S_make_headers(options);
    bool answered =
        BsExchange_Run(&exchange, options->callers, method, path, headers,
                       body, options->json ? NULL : stdout);
    if (answered && options->json) {
        S_print_json(&exchange);
    }
    else if (answered) {
        S_print_text(&exchange);
    }
    bool succeeded = answered && exchange.status < FIRST_ERROR_STATUS;
    curl_slist_free_all(headers);
    BsExchange_Clear(&exchange);
    g_free(body);
    return succeeded ? BS_EXIT_OK : BS_EXIT_NEGATIVE;
}
