/* cli_operate.c - the subcommands status, explain and drain. */
#include "cli_command.h"
#include "cli_http.h"
#include "logtimeline.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define FIRST_ERROR_STATUS 300 /* redirects are not followed */

/* Prints each member of OBJECT on a line of its own. */
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

/* Sends a request to the admin address, prints the answer and returns the exit
   code. */
static int
S_call_admin(const BsCommandOptions *options, const char *method,
             const char *path)
{
    BsExchange exchange = {0};
    bool answered = BsExchange_Run(&exchange, options->admin, method, path,
                                   NULL, NULL, NULL);
    if (answered) {
        S_print(options, &exchange);
    }
    bool succeeded = answered && exchange.status < FIRST_ERROR_STATUS;
    BsExchange_Clear(&exchange);
    return succeeded ? BS_EXIT_OK : BS_EXIT_NEGATIVE;
}

int
BsCommand_Status(const BsCommandOptions *options, const char *argument)
{
    (void)argument;
    return S_call_admin(options, "GET", "/status");
}

/* Adds the lines of FILE to TIMELINE; returns whether it could be read. */
static bool
S_add_log(BsLogTimeline *timeline, const char *file)
{
    bool is_stdin = strcmp(file, "-") == 0;
    FILE *stream = is_stdin ? stdin : fopen(file, "r");
    char *line = NULL;
    size_t size = 0;
    if (stream == NULL) {
        fprintf(stderr, "boragespur: %s: %s; name log files of gateways\n",
                file, strerror(errno));
        return false;
    }
    while (getline(&line, &size, stream) >= 0) {
        BsLogTimeline_AddLine(timeline, line);
    }
    free(line);
    if (!is_stdin) {
        fclose(stream);
    }
    return true;
}

static int
S_explain_logs(const char *files, const char *id)
{
    BsLogTimeline *timeline = BsLogTimeline_Create(id);
    char **names = g_strsplit(files, ",", -1);
    GString *text = g_string_new(NULL);
    int code = BS_EXIT_OK;
    for (char **name = names; *name != NULL && code == BS_EXIT_OK; name++) {
        code = S_add_log(timeline, *name) ? BS_EXIT_OK : BS_EXIT_USAGE;
    }
    if (code == BS_EXIT_OK) {
        code = BsLogTimeline_Format(timeline, text) ? BS_EXIT_OK
                                                    : BS_EXIT_NEGATIVE;
        fputs(text->str, stdout);
    }
    g_string_free(text, TRUE);
    g_strfreev(names);
    BsLogTimeline_Destroy(timeline);
    return code;
}

int
BsCommand_Explain(const BsCommandOptions *options, const char *id)
{
    if (id == NULL) {
        return BsCommand_ExplainRequest(options);
    }
    if (options->log != NULL) {
        return S_explain_logs(options->log, id);
    }
    char *escaped = g_uri_escape_string(id, NULL, FALSE);
    char *path = g_strconcat("/explain/", escaped, (char *)NULL);
    int code = S_call_admin(options, "GET", path);
    g_free(escaped);
    g_free(path);
    return code;
}

int
BsCommand_Drain(const BsCommandOptions *options, const char *argument)
{
    (void)argument;
    return S_call_admin(options, "POST", "/drain");
}
