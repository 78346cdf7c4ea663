/* gatescript.c - reads and runs a script. */
#include "gatescript.h"

#include <stdio.h>
#include <string.h>

const char *
GateScript_Option(char **arguments, const char *name)
{
    size_t length = strlen(name);
    for (char **argument = arguments; *argument != NULL; argument++) {
        if (strncmp(*argument, name, length) == 0 &&
            (*argument)[length] == '=') {
            return *argument + length + 1;
        }
    }
    return NULL;
}

int64_t
GateScript_Number(char **arguments, const char *name, int64_t fallback)
{
    const char *text = GateScript_Option(arguments, name);
    return text == NULL ? fallback : g_ascii_strtoll(text, NULL, 10);
}

bool
GateScript_Flag(char **arguments, const char *word)
{
    return g_strv_contains((const gchar *const *)arguments, word);
}

void
GateScript_Print(GateScript *script, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    g_string_append_printf(script->output, "%6" G_GINT64_FORMAT "  ",
                           script->now_ms);
    g_string_append_vprintf(script->output, format, args);
    g_string_append_c(script->output, '\n');
    va_end(args);
}

/* Runs the command that WORDS names, if COMMANDS has it, and sets VALID.
   Returns whether it was found. */
static bool
S_find_and_run(GateScript *script, const GateScriptCommand *commands,
               char **words, bool *valid)
{
    for (; commands->word != NULL; commands++) {
        if (strcmp(commands->word, words[0]) == 0) {
            *valid = commands->func(script, words + 1);
            return true;
        }
    }
    return false;
}

static bool
S_run_line(GateScript *script, char *line)
{
    bool valid = true;
    g_strstrip(line);
    if (line[0] == '\0' || line[0] == '#') {
        return true;
    }
    char **words = g_strsplit(line, " ", -1);
    if (strcmp(words[0], "at") == 0 && words[1] != NULL) {
        script->now_ms = g_ascii_strtoll(words[1], NULL, 10);
    }
    else if (strcmp(words[0], "say") == 0) {
        g_string_append_printf(script->output, "-- %s\n", line + 4);
    }
    else if (!S_find_and_run(script, gate_script_target_commands, words,
                             &valid) &&
             !S_find_and_run(script, gate_script_limit_commands, words,
                             &valid)) {
        valid = false;
    }
    g_strfreev(words);
    return valid;
}

static void
S_create(GateScript *script, GString *output)
{
    memset(script, 0, sizeof(*script));
    script->output = output;
    script->targets = BsTargets_Create("n1", "north");
    script->service = BsCatalogService_Create();
    script->service->name = g_strdup("desk");
    script->route = BsCatalogRoute_Create();
    script->account = BsCatalogAccount_Create();
    script->account->name = g_strdup("acme");
    script->account->counts_tokens = true;
    script->quotas = BsQuotas_Create(0.2, 1000);
    BsQuotas_SetStart(script->quotas, -10000);
    script->retries = BsRetryBudget_Create(0.2, 50, 10000, -10000);
    script->queue = BsWaitQueue_Create();
    script->waiting =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    script->gossip = BsGossip_Create(1, (uint32_t)BsTargets_Hash("n1"), 0, 0);
}

static void
S_destroy(GateScript *script)
{
    GHashTableIter iter;
    gpointer entry;
    g_hash_table_iter_init(&iter, script->waiting);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        BsWaitQueue_Remove(script->queue, entry);
    }
    g_hash_table_destroy(script->waiting);
    BsWaitQueue_Destroy(script->queue);
    BsGossip_Destroy(script->gossip);
    BsTargets_Destroy(script->targets);
    BsQuotas_Destroy(script->quotas);
    BsRetryBudget_Destroy(script->retries);
    BsCatalogAccount_Destroy(script->account);
    BsCatalogRoute_Destroy(script->route);
    BsCatalogService_Destroy(script->service);
}

bool
GateScript_Run(const char *path, GString *output)
{
    GateScript script;
    char *text = NULL;
    bool valid = true;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        fprintf(stderr, "%s: cannot be read; name a script\n", path);
        return false;
    }
    S_create(&script, output);
    char **lines = g_strsplit(text, "\n", -1);
    for (unsigned i = 0; valid && lines[i] != NULL; i++) {
        valid = S_run_line(&script, lines[i]);
        if (!valid) {
            fprintf(stderr, "%s:%u: unknown or incomplete command\n", path,
                    i + 1);
        }
    }
    g_strfreev(lines);
    g_free(text);
    S_destroy(&script);
    return valid;
}
