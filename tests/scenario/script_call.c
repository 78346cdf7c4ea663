/* script_call.c - verbs that send requests and check the answers. */
#include "script_private.h"

#include <string.h>

#define DEFAULT_PIECES 4

static bool
S_send(Script *script, GError **error)
{
    (void)error;
    BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
    BsRequest *request = &message->u.request;
    const char *body = Script_Option(script, "body", "hello");
    request->request_id = g_strdup(script->words[2]);
    request->token = g_strdup(Script_Option(script, "token", "t-vans"));
    request->key = g_strdup(Script_Option(script, "key", NULL));
    request->ticket = g_strdup(Script_Option(script, "ticket", NULL));
    request->service = g_strdup(Script_Option(script, "service", NULL));
    request->model = g_strdup(Script_Option(script, "model", NULL));
    request->tier = g_strdup(Script_Option(script, "tier", NULL));
    request->method = g_strdup(Script_Option(script, "method", "POST"));
    request->path =
        g_strdup(Script_Option(script, "path", "/v1/chat/completions"));
    request->body = g_bytes_new(body, strlen(body));
    request->deadline_ms = Script_Number(script, "deadline_ms", 0);
    request->prompt_tokens = Script_Number(script, "prompt", 10);
    request->output_tokens = Script_Number(script, "output", 4);
    request->prefix_hash = Script_Number(script, "prefix", g_str_hash(body));
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
            return Script_Fail(error, "no call '%s'", script->words[i]);
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

/* expect CALL WORD...: each word must appear in the call's description. */
static bool
S_expect(Script *script, GError **error)
{
    const WorldCall *call = World_Call(script->world, script->words[1]);
    if (call == NULL) {
        return Script_Fail(error, "no call '%s'", script->words[1]);
    }
    char *text = S_describe_call(call);
    char **seen = g_strsplit(text, " ", -1);
    bool holds = true;
    for (int i = 2; i < script->count; i++) {
        holds = holds &&
                g_strv_contains((const char *const *)seen, script->words[i]);
    }
    Script_Check(script, holds, text);
    g_strfreev(seen);
    g_free(text);
    return true;
}

/* whole CALL [PIECES]: the call must have the complete answer, in order. */
static bool
S_whole(Script *script, GError **error)
{
    const WorldCall *call = World_Call(script->world, script->words[1]);
    if (call == NULL) {
        return Script_Fail(error, "no call '%s'", script->words[1]);
    }
    char *text = World_ExpectedText(
        call->body, (uint32_t)Script_WordNumber(script, 2, DEFAULT_PIECES));
    Script_Check(script,
                 call->finals == 1 && call->disorders == 0 &&
                     strcmp(text, call->text->str) == 0,
                 call->text->str);
    g_free(text);
    return true;
}

const ScriptVerb script_call_verbs[] = {
    {"send", 3, S_send},     {"leave", 2, S_leave}, {"print", 2, S_print},
    {"expect", 3, S_expect}, {"whole", 2, S_whole}, {NULL, 0, NULL},
};
