/* cli_operate.c - boragespur status, explain and drain. */
#include "cli_command.h"
#include "cli_http.h"

#include <jansson.h>
#include <stdio.h>

#define STATUS_ERROR 300

/* Prints the members of OBJECT, one a line. */
static void
S_print_members(json_t *object)
{
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
        printf("%s: %s\n", key,
               json_is_string(value) ? json_string_value(value) : text);
        free(text);
    }
}

static void
S_print(const BsCommandOptions *options, const BsExchange *exchange)
{
    json_t *json = json_loads(exchange->body->str, 0, NULL);
    if (options->json || !json_is_object(json)) {
        puts(exchange->body->str);
    }
    else {
        S_print_members(json);
    }
    json_decref(json);
}

static int
S_ask(const BsCommandOptions *options, const char *method, const char *path)
{
    BsExchange exchange = {0};
    bool answered = BsExchange_Run(&exchange, options->admin, method, path,
                                   NULL, NULL, NULL);
    if (answered) {
        S_print(options, &exchange);
    }
    bool good = answered && exchange.status < STATUS_ERROR;
    BsExchange_Clear(&exchange);
    return good ? BS_EXIT_OK : BS_EXIT_NEGATIVE;
}

int
BsCommand_Status(const BsCommandOptions *options, const char *argument)
{
    (void)argument;
    return S_ask(options, "GET", "/status");
}

int
BsCommand_Explain(const BsCommandOptions *options, const char *id)
{
    char *escaped = g_uri_escape_string(id, NULL, FALSE);
    char *path = g_strconcat("/explain/", escaped, (char *)NULL);
    int code = S_ask(options, "GET", path);
    g_free(escaped);
    g_free(path);
    return code;
}

int
BsCommand_Drain(const BsCommandOptions *options, const char *argument)
{
    (void)argument;
    return S_ask(options, "POST", "/drain");
}
