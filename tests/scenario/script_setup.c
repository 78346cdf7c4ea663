/* script_setup.c - verbs that set up a world. */
#include "script_private.h"

#include <string.h>

#define DEFAULT_FIRST_MS 100
#define DEFAULT_STEP_MS 50
#define DEFAULT_PIECES 4
#define DEFAULT_SLOTS 4

static bool
S_seed(Script *script, GError **error)
{
    (void)error;
    World_Config(script->world)->seed =
        (uint64_t)Script_WordNumber(script, 1, 1);
    g_rand_set_seed(World_Random(script->world),
                    (guint32)Script_WordNumber(script, 1, 1));
    return true;
}

static bool
S_config(Script *script, GError **error)
{
    BsCoreConfig *config = World_Config(script->world);
    const char *key = script->words[1];
    int64_t value = Script_WordNumber(script, 2, 0);
    if (strcmp(key, "lease_ms") == 0) {
        config->lease_ms = value;
    }
    else if (strcmp(key, "list_lag_ms") == 0) {
        config->list_lag_ms = value;
    }
    else if (strcmp(key, "resend_window_ms") == 0) {
        config->resend_window_ms = value;
    }
    else if (strcmp(key, "record_limit") == 0) {
        config->record_limit = (uint32_t)value;
    }
    else if (strcmp(key, "request_limit") == 0) {
        config->request_limit = (uint32_t)value;
    }
    else if (strcmp(key, "queue_bytes") == 0) {
        config->queue_bytes = (uint64_t)value;
    }
    else if (strcmp(key, "fresh_fleet") == 0) {
        config->fresh_fleet = value != 0;
    }
    else {
        return Script_Fail(error, "unknown setting '%s'", key);
    }
    return true;
}

static bool
S_instance(Script *script, GError **error)
{
    (void)error;
    World_AddInstance(script->world, script->words[1], script->words[2],
                      script->words[3]);
    return true;
}

static bool
S_add_upstream(Script *script, uint32_t kind)
{
    WorldUpstreamSpec spec = {
        .name = script->words[1],
        .kind = kind,
        .data_centre = script->words[2],
        .region = script->words[3],
        .serves = script->words[4],
        .generation = Script_Option(script, "generation", "g1"),
        .slots = Script_Number(script, "slots", DEFAULT_SLOTS),
        .tokens = Script_Number(script, "tokens", 0),
        .first_ms = Script_Number(script, "first_ms", DEFAULT_FIRST_MS),
        .step_ms = Script_Number(script, "step_ms", DEFAULT_STEP_MS),
        .pieces = Script_Number(script, "pieces", DEFAULT_PIECES),
        .fencing = Script_Number(script, "fencing", 1) != 0,
    };
    World_AddUpstream(script->world, &spec);
    World_SetLoaded(script->world, spec.name,
                    Script_Option(script, "loaded", NULL));
    return true;
}

static bool
S_engine(Script *script, GError **error)
{
    (void)error;
    return S_add_upstream(script, BS_NODE_ENGINE);
}

static bool
S_service(Script *script, GError **error)
{
    (void)error;
    return S_add_upstream(script, BS_NODE_SERVICE);
}

/* Replaces every OLD by NEW in TEXT; takes TEXT. */
static char *
S_replace(char *text, const char *old, const char *new)
{
    char **parts = g_strsplit(text, old, -1);
    char *result = g_strjoinv(new, parts);
    g_strfreev(parts);
    g_free(text);
    return result;
}

/* sheet REVISION FILE [OLD NEW]...: publishes FILE with each OLD replaced. */
static bool
S_sheet(Script *script, GError **error)
{
    char *path = g_build_filename(script->directory, script->words[2], NULL);
    char *text = NULL;
    bool read = g_file_get_contents(path, &text, NULL, error);
    g_free(path);
    if (!read) {
        return false;
    }
    for (int i = 3; i + 1 < script->count; i += 2) {
        if (strstr(text, script->words[i]) == NULL) {
            g_free(text);
            return Script_Fail(error, "the sheet does not hold '%s'",
                               script->words[i]);
        }
        text = S_replace(text, script->words[i], script->words[i + 1]);
    }
    World_PublishSheet(script->world,
                       (uint64_t)Script_WordNumber(script, 1, 1), text, 0);
    g_free(text);
    return true;
}

static bool
S_publish(Script *script, GError **error)
{
    (void)error;
    World_PublishList(script->world, Script_WordNumber(script, 1, 0));
    return true;
}

static bool
S_publish_to(Script *script, GError **error)
{
    (void)error;
    World_PublishListTo(script->world, script->words[1]);
    return true;
}

static bool
S_list(Script *script, GError **error)
{
    static const char *const states[] = {"out", "live", "leaving"};
    for (uint32_t i = 0; i < G_N_ELEMENTS(states); i++) {
        if (strcmp(script->words[2], states[i]) == 0) {
            World_SetListed(script->world, script->words[1], i);
            return true;
        }
    }
    return Script_Fail(error, "state '%s' is not out, live or leaving",
                       script->words[2]);
}

const ScriptVerb script_setup_verbs[] = {
    {"seed", 2, S_seed},         {"config", 3, S_config},
    {"instance", 4, S_instance}, {"engine", 5, S_engine},
    {"service", 5, S_service},   {"sheet", 3, S_sheet},
    {"publish", 1, S_publish},   {"publish-to", 2, S_publish_to},
    {"list", 3, S_list},         {NULL, 0, NULL},
};
