/* cli_command.c - options and choice of the subcommand. */
#include "cli_command.h"

#include "boragespur.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_ADMIN "127.0.0.1:7200"
#define DEFAULT_CALLERS "127.0.0.1:7000"

typedef struct {
    const char *name;
    int arguments; /* as S_arguments() */
    int (*run)(const BsCommandOptions *options, const char *argument);
} BsSubcommand;

static int
S_version(const BsCommandOptions *options, const char *argument)
{
    (void)argument;
    if (options->json) {
        puts("{\"version\":\"" BS_VERSION "\"}");
    }
    else {
        puts("boragespur " BS_VERSION);
    }
    return BS_EXIT_OK;
}

static const BsSubcommand S_subcommands[] = {
    {"check", 1, BsCommand_Check},   {"send", 1, BsCommand_Send},
    {"status", 0, BsCommand_Status}, {"explain", 1, BsCommand_Explain},
    {"drain", 0, BsCommand_Drain},   {"evening", 1, BsCommand_Evening},
    {"version", 0, S_version},
};

static const char S_summary[] =
    "Commands:\n"
    "  check FILE          check a settings file or a sheet\n"
    "  send PATH           send a request and print answer and outcome\n"
    "  status              print the status of an instance\n"
    "  explain REQUEST-ID  print what became of a request and why; with "
    "--log\n"
    "                      from the logs of gateways\n"
    "  explain             with --host and --path: print where a gateway "
    "would\n"
    "                      send a request now, and why\n"
    "  drain               start a planned stop of an instance\n"
    "  evening ADDRESS,... print the daily report from the admin\n"
    "                      addresses of all instances\n"
    "  version             print the version\n"
    "\n"
    "Exit codes: 0 done, 1 negative answer, 2 wrong usage or settings, 3 not\n"
    "everything is known (evening).";

static bool
S_parse(int *argc, char ***argv, BsCommandOptions *options)
{
    GOptionEntry entries[] = {
        {"admin", 'a', 0, G_OPTION_ARG_STRING, &options->admin,
         "Admin address of an instance", "IP:PORT"},
        {"callers", 'c', 0, G_OPTION_ARG_STRING, &options->callers,
         "Callers' address or URL of an instance", "IP:PORT"},
        {"token", 't', 0, G_OPTION_ARG_STRING, &options->token,
         "Bearer token of the account", "TOKEN"},
        {"key", 'k', 0, G_OPTION_ARG_STRING, &options->key, "Idempotency key",
         "KEY"},
        {"ticket", 0, 0, G_OPTION_ARG_STRING, &options->ticket, "Ticket",
         "TICKET"},
        {"tier", 0, 0, G_OPTION_ARG_STRING, &options->tier, "Tier asked for",
         "TIER"},
        {"method", 'X', 0, G_OPTION_ARG_STRING, &options->method,
         "HTTP method; POST with --data, else GET", "METHOD"},
        {"data", 'd', 0, G_OPTION_ARG_STRING, &options->data,
         "Body of the request, or @FILE", "TEXT"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT64, &options->deadline_ms,
         "Time the caller waits", "MS"},
        {"log", 'l', 0, G_OPTION_ARG_STRING, &options->log,
         "Log files of gateways, '-' for standard input", "FILE,..."},
        {"host", 0, 0, G_OPTION_ARG_STRING, &options->host,
         "Host of a request to explain", "HOST"},
        {"path", 0, 0, G_OPTION_ARG_STRING, &options->path,
         "Path of a request to explain", "PATH"},
        {"account", 0, 0, G_OPTION_ARG_STRING, &options->account,
         "Account of a request to explain", "NAME"},
        {"prompt-tokens", 0, 0, G_OPTION_ARG_INT64, &options->prompt_tokens,
         "Prompt tokens of a request to explain", "N"},
        {"output-tokens", 0, 0, G_OPTION_ARG_INT64, &options->output_tokens,
         "Most output tokens of a request to explain", "N"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &options->json,
         "Print one JSON document", NULL},
        {"platform", 0, 0, G_OPTION_ARG_STRING, &options->platform,
         "Configuration service, to find instances not asked", "URL"},
        {"html", 0, 0, G_OPTION_ARG_NONE, &options->html,
         "Print the page as HTML", NULL},
        G_OPTION_ENTRY_NULL};
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT]");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_summary(context, S_summary);
    bool parsed = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "boragespur: %s; see boragespur --help\n",
                error->message);
        g_error_free(error);
    }
    return parsed;
}

/* Returns how many arguments COMMAND takes: none where options describe the
   request to explain. */
static int
S_arguments(const BsSubcommand *command, const BsCommandOptions *options)
{
    bool described = options->host != NULL || options->path != NULL;
    return command->run == BsCommand_Explain && described ? 0
                                                          : command->arguments;
}

static int
S_run(int argc, char **argv, const BsCommandOptions *options)
{
    const char *name = argc > 1 ? argv[1] : "";
    for (size_t i = 0; i < G_N_ELEMENTS(S_subcommands); i++) {
        const BsSubcommand *command = &S_subcommands[i];
        if (strcmp(name, command->name) == 0) {
            int arguments = S_arguments(command, options);
            if (argc - 2 != arguments) {
                fprintf(stderr,
                        "boragespur: %s takes %d argument(s); see "
                        "boragespur --help\n",
                        name, arguments);
                return BS_EXIT_USAGE;
            }
            return command->run(options, argc > 2 ? argv[2] : NULL);
        }
    }
    fprintf(stderr,
            "boragespur: '%s' is not a command; use check, send, status, "
            "explain, drain, evening or version\n",
            name);
    return BS_EXIT_USAGE;
}

static void
S_clear(BsCommandOptions *options)
{
    g_free(options->admin);
    g_free(options->platform);
    g_free(options->log);
    g_free(options->host);
    g_free(options->path);
    g_free(options->account);
    g_free(options->callers);
    g_free(options->token);
    g_free(options->key);
    g_free(options->ticket);
    g_free(options->tier);
    g_free(options->method);
    g_free(options->data);
}

/* Sets the addresses that were not given.  GOption does not free a default
   that it replaces, so they are set after parsing. */
static void
S_set_defaults(BsCommandOptions *options)
{
    if (options->admin == NULL) {
        options->admin = g_strdup(DEFAULT_ADMIN);
    }
    if (options->callers == NULL) {
        options->callers = g_strdup(DEFAULT_CALLERS);
    }
}

int
BsCommand_Main(int argc, char **argv)
{
    BsCommandOptions options = {.prompt_tokens = -1, .output_tokens = -1};
    int code = BS_EXIT_USAGE;
    if (S_parse(&argc, &argv, &options)) {
        S_set_defaults(&options);
        curl_global_init(CURL_GLOBAL_DEFAULT);
        code = S_run(argc, argv, &options);
        curl_global_cleanup();
    }
    S_clear(&options);
    return code;
}
