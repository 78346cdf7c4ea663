/* cli_explain.c - the subcommand explain for a request that is not sent: asks
   a gateway and prints its answer. */
#include "cli_command.h"
#include "cli_http.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define STATUS_OK 200

/* A gateway that does not answer within this time is given up. */
#define TIMEOUT_MS 10000

/* --------------------------------------------------------------- request --
 */

static void
S_add_text(GString *path, const char *key, const char *value)
{
    if (value != NULL) {
        g_string_append_printf(path, "&%s=", key);
        g_string_append_uri_escaped(path, value, NULL, FALSE);
    }
}

static void
S_add_number(GString *path, const char *key, gint64 value)
{
    if (value >= 0) {
        g_string_append_printf(path, "&%s=%" G_GINT64_FORMAT, key, value);
    }
}

static char *
S_path(const BsCommandOptions *options)
{
    GString *path = g_string_new("/explain?host=");
    g_string_append_uri_escaped(path, options->host, NULL, FALSE);
    S_add_text(path, "path", options->path);
    S_add_text(path, "account", options->account);
    S_add_number(path, "prompt_tokens", options->prompt_tokens);
    S_add_number(path, "output_tokens", options->output_tokens);
    return g_string_free(path, FALSE);
}

/* ------------------------------------------------------------------ text --
 */

/* Returns the text of the member KEY of OBJECT, or FALLBACK. */
static const char *
S_text(const json_t *object, const char *key, const char *fallback)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text == NULL ? fallback : text;
}

static gint64
S_number(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
S_print_decision(const json_t *json)
{
    const char *decision = S_text(json, "decision", "?");
    const char *upstream = S_text(json, "upstream", NULL);
    json_t *status = json_object_get(json, "status");
    json_t *queue_ms = json_object_get(json, "queue_ms");
    printf("route %s, service %s, account %s, configuration %" G_GINT64_FORMAT
           "\n%s",
           S_text(json, "route", "?"), S_text(json, "service", "?"),
           S_text(json, "account", "none"), S_number(json, "catalog"),
           decision);
    if (upstream != NULL) {
        printf(" to %s", upstream);
    }
    if (status != NULL) {
        printf(" with %" JSON_INTEGER_FORMAT, json_integer_value(status));
    }
    if (queue_ms != NULL) {
        printf(" for at most %" JSON_INTEGER_FORMAT " ms",
               json_integer_value(queue_ms));
    }
    printf(": %s\n", S_text(json, "rule", "?"));
    printf("queued requests %" G_GINT64_FORMAT ", slots kept free "
           "%" G_GINT64_FORMAT "\n",
           S_number(json, "queued_requests"),
           S_number(json, "reserved_slots"));
}

/* Prints the upstreams by reason. */
static void
S_print_reasons(const json_t *json)
{
    const char *reason;
    json_t *count;
    printf("upstreams %" G_GINT64_FORMAT, S_number(json, "upstreams"));
    json_object_foreach(json_object_get(json, "reasons"), reason, count)
    {
        printf(", %s %" JSON_INTEGER_FORMAT, reason,
               json_integer_value(count));
    }
    putchar('\n');
}

/* Prints the parts of the cost that are not 0. */
static void
S_print_cost(json_t *cost)
{
    const char *part;
    json_t *value;
    json_object_foreach(cost, part, value)
    {
        if (json_number_value(value) != 0) {
            printf(" %s=%.1f", part, json_number_value(value));
        }
    }
}

static void
S_print_age(const json_t *candidate, const char *key, const char *name)
{
    json_t *age = json_object_get(candidate, key);
    if (age != NULL) {
        printf(" %s=%" JSON_INTEGER_FORMAT "ms", name,
               json_integer_value(age));
    }
}

static void
S_print_candidate(const json_t *candidate)
{
    size_t index;
    json_t *state;
    const char *reason = S_text(candidate, "reason", "eligible");
    printf("%10.1f ms  %s  %s\n",
           json_number_value(json_object_get(candidate, "cost_ms")),
           S_text(candidate, "upstream", "?"), reason);
    printf("               own=%" G_GINT64_FORMAT " others=%" G_GINT64_FORMAT
           " slots=%" G_GINT64_FORMAT " data_centre=%s",
           S_number(candidate, "own"), S_number(candidate, "others"),
           S_number(candidate, "slots"),
           S_text(candidate, "data_centre", "?"));
    S_print_age(candidate, "load_age_ms", "load_age");
    S_print_age(candidate, "answer_age_ms", "answer_age");
    json_array_foreach(json_object_get(candidate, "states"), index, state)
    {
        printf("%s%s", index == 0 ? " states=" : ",",
               json_string_value(state));
    }
    printf("\n               cost:");
    S_print_cost(json_object_get(candidate, "cost"));
    putchar('\n');
}

static void
S_print(const json_t *json)
{
    size_t index;
    json_t *candidate;
    S_print_decision(json);
    S_print_reasons(json);
    json_array_foreach(json_object_get(json, "candidates"), index, candidate)
    {
        S_print_candidate(candidate);
    }
}

/* ---------------------------------------------------------------- answer --
 */

/* Prints the answer.  Returns whether it is an explanation. */
static bool
S_print_answer(const BsCommandOptions *options, const BsExchange *exchange)
{
    json_t *json = json_loads(exchange->body->str, 0, NULL);
    bool explained = exchange->status == STATUS_OK && json_is_object(json);
    if (!explained) {
        fprintf(stderr, "boragespur: %s (status %ld)\n",
                S_text(json, "error",
                       "the instance does not explain requests; name the "
                       "admin address of a gateway"),
                exchange->status);
    }
    else if (options->json) {
        puts(exchange->body->str);
    }
    else {
        S_print(json);
    }
    json_decref(json);
    return explained;
}

int
BsCommand_ExplainRequest(const BsCommandOptions *options)
{
    if (options->host == NULL || options->path == NULL) {
        fputs("boragespur: explain needs both --host and --path; see "
              "boragespur --help\n",
              stderr);
        return BS_EXIT_USAGE;
    }
    BsExchange exchange = {0};
    char *path = S_path(options);
    bool explained =
        BsExchange_RunWithin(&exchange, TIMEOUT_MS, options->admin, "GET",
                             path, NULL, NULL, NULL) &&
        S_print_answer(options, &exchange);
    BsExchange_Clear(&exchange);
    g_free(path);
    return explained ? BS_EXIT_OK : BS_EXIT_NEGATIVE;
}
