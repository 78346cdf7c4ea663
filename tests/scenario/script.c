/*
 * script.c - runs a scenario file against a world.
 *
 * One verb a line, words as in a shell, '#' starts a comment; see
 * tests/scenarios/README.md for the verbs.
 */
#include "script.h"

#include <string.h>

#define DEFAULT_FIRST_MS 100
#define DEFAULT_STEP_MS 50
#define DEFAULT_PIECES 4
#define DEFAULT_SLOTS 4

typedef struct {
    World *world;
    GString *out;
    char *directory;
    char **words;
    int count;
    bool failed;
} Script;

typedef struct {
    const char *verb;
    int min_words; /* with the verb */
    bool (*run)(Script *script, GError **error);
} ScriptVerb;

static bool S_fail(GError **error, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static bool
S_fail(GError **error, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_set_error(error, BS_ERROR, BS_ERR_BAD_REQUEST, "%s", text);
    g_free(text);
    return false;
}

/* Returns the value of the word "KEY=value", or FALLBACK. */
static const char *
S_option(const Script *script, const char *key, const char *fallback)
{
    size_t length = strlen(key);
    for (int i = 1; i < script->count; i++) {
        if (strncmp(script->words[i], key, length) == 0 &&
            script->words[i][length] == '=') {
            return script->words[i] + length + 1;
        }
    }
    return fallback;
}

static uint32_t
S_number(const Script *script, const char *key, uint32_t fallback)
{
    const char *text = S_option(script, key, NULL);
    return text == NULL ? fallback
                        : (uint32_t)g_ascii_strtoull(text, NULL, 10);
}

static int64_t
S_word_number(const Script *script, int index, int64_t fallback)
{
    if (index >= script->count) {
        return fallback;
    }
    return g_ascii_strtoll(script->words[index], NULL, 10);
}

/* ---------------------------------------------------------------------- */
/* Setting up                                                              */
/* ---------------------------------------------------------------------- */

static bool
S_seed(Script *script, GError **error)
{
    (void)error;
    World_Config(script->world)->seed = (uint64_t)S_word_number(script, 1, 1);
    g_rand_set_seed(World_Random(script->world),
                    (guint32)S_word_number(script, 1, 1));
    return true;
}

static bool
S_config(Script *script, GError **error)
{
    BsCoreConfig *config = World_Config(script->world);
    const char *key = script->words[1];
    int64_t value = S_word_number(script, 2, 0);
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
        return S_fail(error, "unknown setting '%s'", key);
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
        .generation = S_option(script, "generation", "g1"),
        .slots = S_number(script, "slots", DEFAULT_SLOTS),
        .tokens = S_number(script, "tokens", 0),
        .first_ms = S_number(script, "first_ms", DEFAULT_FIRST_MS),
        .step_ms = S_number(script, "step_ms", DEFAULT_STEP_MS),
        .pieces = S_number(script, "pieces", DEFAULT_PIECES),
        .fencing = S_number(script, "fencing", 1) != 0,
    };
    World_AddUpstream(script->world, &spec);
    World_SetLoaded(script->world, spec.name,
                    S_option(script, "loaded", NULL));
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
            return S_fail(error, "the sheet does not hold '%s'",
                          script->words[i]);
        }
        text = S_replace(text, script->words[i], script->words[i + 1]);
    }
    World_PublishSheet(script->world, (uint64_t)S_word_number(script, 1, 1),
                       text, 0);
    g_free(text);
    return true;
}

static bool
S_publish(Script *script, GError **error)
{
    (void)error;
    World_PublishList(script->world, S_word_number(script, 1, 0));
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
    return S_fail(error, "state '%s' is not out, live or leaving",
                  script->words[2]);
}

/* ---------------------------------------------------------------------- */
/* Callers                                                                 */
/* ---------------------------------------------------------------------- */

static bool
S_send(Script *script, GError **error)
{
    (void)error;
    BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
    BsRequest *request = &message->u.request;
    const char *body = S_option(script, "body", "hello");
    request->request_id = g_strdup(script->words[2]);
    request->token = g_strdup(S_option(script, "token", "t-vans"));
    request->key = g_strdup(S_option(script, "key", NULL));
    request->ticket = g_strdup(S_option(script, "ticket", NULL));
    request->service = g_strdup(S_option(script, "service", NULL));
    request->model = g_strdup(S_option(script, "model", NULL));
    request->tier = g_strdup(S_option(script, "tier", NULL));
    request->method = g_strdup(S_option(script, "method", "POST"));
    request->path = g_strdup(S_option(script, "path", "/v1/chat/completions"));
    request->body = g_bytes_new(body, strlen(body));
    request->deadline_ms = S_number(script, "deadline_ms", 0);
    request->prompt_tokens = S_number(script, "prompt", 10);
    request->output_tokens = S_number(script, "output", 4);
    request->prefix_hash = S_number(script, "prefix", g_str_hash(body));
    request->stream = request->model != NULL;
    World_Send(script->world, script->words[1], message);
    return true;
}

static bool
S_leave(Script *script, GError **error)
{
    (void)error;
    World_Leave(script->world, script->words[1]);
    return true;
}

static const char *
S_outcome_name(uint32_t outcome)
{
    static const char *const names[] = {"none", "ran", "not-run", "unknown"};
    return outcome < G_N_ELEMENTS(names) ? names[outcome] : "?";
}

static char *
S_describe_call(const WorldCall *call)
{
    if (call->finals == 0) {
        return g_strdup(call->lost ? "lost" : "open");
    }
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "status=%u outcome=%s", call->status,
                           S_outcome_name(call->outcome));
    if (call->error != BS_ERR_NONE) {
        g_string_append_printf(
            text, " error=%s",
            BsError_Describe((BsErrorKind)call->error)->name);
    }
    if (call->disorders > 0 || call->finals > 1) {
        g_string_append_printf(text, " disorders=%u finals=%u",
                               call->disorders, call->finals);
    }
    return g_string_free(text, FALSE);
}

static bool
S_print(Script *script, GError **error)
{
    for (int i = 1; i < script->count; i++) {
        const WorldCall *call = World_Call(script->world, script->words[i]);
        if (call == NULL) {
            return S_fail(error, "no call '%s'", script->words[i]);
        }
        char *text = S_describe_call(call);
        g_string_append_printf(script->out, "%s: %s", call->id, text);
        if (call->text->len > 0) {
            g_string_append_printf(script->out, " text=%s", call->text->str);
        }
        g_string_append_c(script->out, '\n');
        g_free(text);
    }
    return true;
}

static void
S_check(Script *script, bool holds, const char *seen)
{
    if (holds) {
        return;
    }
    script->failed = true;
    g_string_append(script->out, "FAILED:");
    for (int i = 0; i < script->count; i++) {
        g_string_append_printf(script->out, " %s", script->words[i]);
    }
    g_string_append_printf(script->out, " (seen: %s)\n", seen);
}

/* expect CALL WORD...: each word must appear in the call's description. */
static bool
S_expect(Script *script, GError **error)
{
    const WorldCall *call = World_Call(script->world, script->words[1]);
    if (call == NULL) {
        return S_fail(error, "no call '%s'", script->words[1]);
    }
    char *text = S_describe_call(call);
    char **seen = g_strsplit(text, " ", -1);
    bool holds = true;
    for (int i = 2; i < script->count; i++) {
        holds = holds &&
                g_strv_contains((const char *const *)seen, script->words[i]);
    }
    S_check(script, holds, text);
    g_strfreev(seen);
    g_free(text);
    return true;
}

static bool
S_whole(Script *script, GError **error)
{
    const WorldCall *call = World_Call(script->world, script->words[1]);
    if (call == NULL) {
        return S_fail(error, "no call '%s'", script->words[1]);
    }
    char *text = World_ExpectedText(
        call->body, (uint32_t)S_word_number(script, 2, DEFAULT_PIECES));
    S_check(script,
            call->finals == 1 && call->disorders == 0 &&
                strcmp(text, call->text->str) == 0,
            call->text->str);
    g_free(text);
    return true;
}

/* ---------------------------------------------------------------------- */
/* Faults                                                                  */
/* ---------------------------------------------------------------------- */

static bool
S_run(Script *script, GError **error)
{
    (void)error;
    World_Run(script->world, S_word_number(script, 1, 0));
    return true;
}

static bool
S_kill(Script *script, GError **error)
{
    (void)error;
    World_Kill(script->world, script->words[1]);
    return true;
}

static bool
S_restart(Script *script, GError **error)
{
    (void)error;
    World_Restart(script->world, script->words[1]);
    return true;
}

static bool
S_pause(Script *script, GError **error)
{
    (void)error;
    World_Pause(script->world, script->words[1]);
    return true;
}

static bool
S_wake(Script *script, GError **error)
{
    (void)error;
    World_Wake(script->world, script->words[1]);
    return true;
}

static bool
S_drain(Script *script, GError **error)
{
    (void)error;
    World_Drain(script->world, script->words[1],
                S_word_number(script, 2, 30000));
    return true;
}

static bool
S_drained(Script *script, GError **error)
{
    (void)error;
    bool drained = World_IsDrained(script->world, script->words[1]);
    S_check(script, drained, "not drained");
    return true;
}

/* cut A B [oneway] */
static bool
S_cut(Script *script, GError **error)
{
    (void)error;
    World_Cut(script->world, script->words[1], script->words[2]);
    if (script->count < 4) {
        World_Cut(script->world, script->words[2], script->words[1]);
    }
    return true;
}

static bool
S_heal(Script *script, GError **error)
{
    (void)error;
    World_Heal(script->world);
    return true;
}

/* network LOSS_PERCENT REPEAT_PERCENT EXTRA_MS */
static bool
S_network(Script *script, GError **error)
{
    (void)error;
    World_SetNetwork(script->world, (double)S_word_number(script, 1, 0) / 100,
                     (double)S_word_number(script, 2, 0) / 100,
                     S_word_number(script, 3, 0));
    return true;
}

static bool
S_hold(Script *script, GError **error)
{
    for (uint32_t kind = BS_FORWARD; kind < BS_FORWARD + 32; kind++) {
        if (strcmp(BsMessage_KindName(kind), script->words[1]) == 0) {
            World_Hold(script->world, kind, script->words[2]);
            return true;
        }
    }
    return S_fail(error, "unknown message kind '%s'", script->words[1]);
}

static bool
S_release(Script *script, GError **error)
{
    (void)error;
    World_Release(script->world);
    return true;
}

static bool
S_platform(Script *script, GError **error)
{
    (void)error;
    World_SetPlatformDown(script->world,
                          strcmp(script->words[1], "down") == 0);
    return true;
}

static bool
S_mode(Script *script, GError **error)
{
    static const char *const modes[] = {"ok",   "refuse", "connect", "crash",
                                        "hang", "half",   "error"};
    for (int i = 0; i < (int)G_N_ELEMENTS(modes); i++) {
        if (strcmp(script->words[2], modes[i]) == 0) {
            World_SetMode(script->world, script->words[1], (WorldMode)i);
            return true;
        }
    }
    return S_fail(error, "unknown mode '%s'", script->words[2]);
}

static bool
S_speed(Script *script, GError **error)
{
    (void)error;
    World_SetSpeed(script->world, script->words[1],
                   (uint32_t)S_word_number(script, 2, 1),
                   (uint32_t)S_word_number(script, 3, 1));
    return true;
}

static bool
S_reboot(Script *script, GError **error)
{
    (void)error;
    World_RestartUpstream(script->world, script->words[1]);
    return true;
}

/* ---------------------------------------------------------------------- */
/* Measures                                                                */
/* ---------------------------------------------------------------------- */

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

/* expect-runs UPSTREAM COUNT [KEY] */
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
    S_check(script, count == S_word_number(script, 2, 0), seen);
    g_free(seen);
    return true;
}

/* expect-peak UPSTREAM MOST: most running at once since the last check. */
static bool
S_expect_peak(Script *script, GError **error)
{
    (void)error;
    uint32_t peak = World_TakePeak(script->world, script->words[1]);
    char *seen = g_strdup_printf("%u", peak);
    S_check(script, peak <= S_word_number(script, 2, 0), seen);
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
        return S_fail(error, "instance '%s' does not run", script->words[1]);
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

static const ScriptVerb S_verbs[] = {
    {"seed", 2, S_seed},
    {"config", 3, S_config},
    {"instance", 4, S_instance},
    {"engine", 5, S_engine},
    {"service", 5, S_service},
    {"sheet", 3, S_sheet},
    {"publish", 1, S_publish},
    {"publish-to", 2, S_publish_to},
    {"list", 3, S_list},
    {"send", 3, S_send},
    {"leave", 2, S_leave},
    {"print", 2, S_print},
    {"expect", 3, S_expect},
    {"whole", 2, S_whole},
    {"run", 2, S_run},
    {"kill", 2, S_kill},
    {"restart", 2, S_restart},
    {"pause", 2, S_pause},
    {"wake", 2, S_wake},
    {"drain", 2, S_drain},
    {"drained", 2, S_drained},
    {"cut", 3, S_cut},
    {"heal", 1, S_heal},
    {"network", 4, S_network},
    {"hold", 3, S_hold},
    {"release", 1, S_release},
    {"platform", 2, S_platform},
    {"mode", 3, S_mode},
    {"speed", 4, S_speed},
    {"reboot", 2, S_reboot},
    {"runs", 2, S_runs},
    {"expect-runs", 3, S_expect_runs},
    {"expect-peak", 3, S_expect_peak},
    {"running", 2, S_running},
    {"counter", 3, S_counter},
    {"loaded", 2, S_loaded},
    {"query", 3, S_query},
    {"say", 2, S_say},
    {"trace", 2, S_trace},
};

static bool
S_run_words(Script *script, GError **error)
{
    for (size_t i = 0; i < G_N_ELEMENTS(S_verbs); i++) {
        const ScriptVerb *verb = &S_verbs[i];
        if (strcmp(verb->verb, script->words[0]) != 0) {
            continue;
        }
        if (script->count < verb->min_words) {
            return S_fail(error, "'%s' takes at least %d words", verb->verb,
                          verb->min_words - 1);
        }
        return verb->run(script, error);
    }
    return S_fail(error, "unknown verb '%s'", script->words[0]);
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
            S_fail(error, "%s", parse_error->message);
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
