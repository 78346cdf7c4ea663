/*
 * script.c - runs a scenario file against a world.
 *
 * Each line holds one verb and its words, quoted as in a shell; '#' starts a
 * comment.  tests/scenarios/README.md describes the verbs.
 */
#include "script.h"

#include "script_private.h"

#include <string.h>

static const ScriptVerb *const S_tables[] = {
    script_setup_verbs,
    script_call_verbs,
    script_fault_verbs,
    script_measure_verbs,
};

static const ScriptVerb *
S_find_verb(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(S_tables); i++) {
        for (const ScriptVerb *row = S_tables[i]; row->verb != NULL; row++) {
            if (strcmp(row->verb, name) == 0) {
                return row;
            }
        }
    }
    return NULL;
}

static bool
S_run_words(Script *script, GError **error)
{
    const ScriptVerb *verb = S_find_verb(script->words[0]);
    if (verb == NULL) {
        return Script_Fail(error, "unknown verb '%s'", script->words[0]);
    }
    if (script->count < verb->min_words) {
        return Script_Fail(error, "'%s' takes at least %d words", verb->verb,
                           verb->min_words - 1);
    }
    return verb->run(script, error);
}

static bool
S_run_line(Script *script, const char *line, GError **error)
{
    GError *parse_error = NULL;
    if (!g_shell_parse_argv(line, &script->count, &script->words,
                            &parse_error)) {
        bool empty = g_error_matches(parse_error, G_SHELL_ERROR,
                                     G_SHELL_ERROR_EMPTY_STRING);
        if (!empty) {
            Script_Fail(error, "%s", parse_error->message);
        }
        g_error_free(parse_error);
        return empty;
    }
    bool ok = S_run_words(script, error);
    g_strfreev(script->words);
    script->words = NULL;
    return ok;
}

static bool
S_run_lines(Script *script, const char *path, char **lines, GError **error)
{
    for (int i = 0; lines[i] != NULL; i++) {
        if (!S_run_line(script, lines[i], error)) {
            g_prefix_error(error, "%s:%d: ", path, i + 1);
            return false;
        }
    }
    return true;
}

char *
Script_Run(const char *path, bool *failed, GError **error)
{
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, error)) {
        return NULL;
    }
    Script script = {
        .world = World_Create(1),
        .out = g_string_new(NULL),
        .directory = g_path_get_dirname(path),
    };
    char **lines = g_strsplit(text, "\n", -1);
    bool ok = S_run_lines(&script, path, lines, error);
    *failed = script.failed;
    World_Destroy(script.world);
    g_strfreev(lines);
    g_free(script.directory);
    g_free(text);
    return g_string_free(script.out, !ok);
}
