/* script_measure.c - verbs that print or check measurements. */
#include "script_private.h"

#include <string.h>

static bool
S_runs(Script *script, GError **error)
{
    (void)error;
    const GPtrArray *runs = World_Runs(script->world, script->words[1]);
    g_string_append_printf(script->out, "%s ran %u:", script->words[1],
                           runs->len);
    for (guint i = 0; i < runs->len; i++) {
        const WorldRun *run = runs->pdata[i];
        g_string_append_printf(script->out, " %s",
                               run->key != NULL ? run->key : run->request_id);
    }
    g_string_append_c(script->out, '\n');
    return true;
}

/* expect-runs UPSTREAM COUNT [KEY]: COUNT requests (of KEY, if given) must
   have been started at UPSTREAM. */
static bool
S_expect_runs(Script *script, GError **error)
{
    (void)error;
    const GPtrArray *runs = World_Runs(script->world, script->words[1]);
    int64_t count = 0;
    for (guint i = 0; i < runs->len; i++) {
        const WorldRun *run = runs->pdata[i];
        if (script->count < 4 || g_strcmp0(run->key, script->words[3]) == 0) {
            count++;
        }
    }
    char *seen = g_strdup_printf("%" G_GINT64_FORMAT, count);
    Script_Check(script, count == Script_WordNumber(script, 2, 0), seen);
    g_free(seen);
    return true;
}

/* expect-peak UPSTREAM MAX: at most MAX requests may have run at once since
   the last check. */
static bool
S_expect_peak(Script *script, GError **error)
{
    (void)error;
    uint32_t peak = World_TakePeak(script->world, script->words[1]);
    char *seen = g_strdup_printf("%u", peak);
    Script_Check(script, peak <= Script_WordNumber(script, 2, 0), seen);
    g_free(seen);
    return true;
}

static bool
S_running(Script *script, GError **error)
{
    (void)error;
    g_string_append_printf(script->out, "%s runs %u now\n", script->words[1],
                           World_Running(script->world, script->words[1]));
    return true;
}

static bool
S_counter(Script *script, GError **error)
{
    BsCore *core = World_Core(script->world, script->words[1]);
    if (core == NULL) {
        return Script_Fail(error, "instance '%s' does not run",
                           script->words[1]);
    }
    g_string_append_printf(script->out, "%s %s %" G_GUINT64_FORMAT "\n",
                           script->words[1], script->words[2],
                           BsCore_Counter(core, script->words[2]));
    return true;
}

static bool
S_loaded(Script *script, GError **error)
{
    (void)error;
    const char *loaded = World_Loaded(script->world, script->words[1]);
    g_string_append_printf(script->out, "%s loaded %s\n", script->words[1],
                           loaded == NULL ? "nothing" : loaded);
    return true;
}

/* query INSTANCE WHAT [ARGUMENT [TOKEN]] */
static bool
S_query(Script *script, GError **error)
{
    (void)error;
    char *body =
        World_Query(script->world, script->words[1], script->words[2],
                    script->count > 3 ? script->words[3] : NULL,
                    script->count > 4 ? script->words[4] : NULL, 2000);
    g_string_append_printf(script->out, "%s\n",
                           body == NULL ? "no reply" : body);
    g_free(body);
    return true;
}

static bool
S_say(Script *script, GError **error)
{
    (void)error;
    for (int i = 1; i < script->count; i++) {
        g_string_append_printf(script->out, "%s%s", i > 1 ? " " : "",
                               script->words[i]);
    }
    g_string_append_c(script->out, '\n');
    return true;
}

static bool
S_trace(Script *script, GError **error)
{
    (void)error;
    World_SetTrace(script->world, strcmp(script->words[1], "on") == 0);
    return true;
}

const ScriptVerb script_measure_verbs[] = {
    {"runs", 2, S_runs},
    {"expect-runs", 3, S_expect_runs},
    {"expect-peak", 3, S_expect_peak},
    {"running", 2, S_running},
    {"counter", 3, S_counter},
    {"loaded", 2, S_loaded},
    {"query", 3, S_query},
    {"say", 2, S_say},
    {"trace", 2, S_trace},
    {NULL, 0, NULL},
};
