/* engine.c - simulated model engine: completions, streams, health, orders. */
#include "answer.h"
#include "batch.h"
#include "orders.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BYTES_PER_TOKEN 4
#define DEFAULT_OUTPUT_TOKENS 16
#define EVENT_MAX_BYTES 1024
#define STREAM_BLOCK_BYTES 2048
#define NO_CUT (-1)

/* A completion in progress. */
typedef struct {
    struct MHD_Connection *connection;
    char *prompt;
    char *model;
    uint32_t prompt_tokens;
    uint32_t cached_tokens;
    uint32_t output_tokens;
    uint32_t next_event; /* words, the usage event, then the end */
    int64_t due_us;      /* of the next word */
    size_t event_bytes;  /* size of EVENT */
    size_t sent_bytes;   /* sent bytes of EVENT */
    char event[EVENT_MAX_BYTES];
    bool chat;
    bool complete;
} S_Completion;

static pthread_mutex_t S_lock = PTHREAD_MUTEX_INITIALIZER;
static bool S_refusing;
static bool S_failing;           /* runs, then answers 500 */
static int S_cut_after = NO_CUT; /* events before a stream is cut */
static int S_port;
static int S_load_ms;
static gboolean S_no_fencing;
static char **S_models;
static char *S_boot_id;
static BsBatchConfig S_config = {.slots = 8,
                                 .tokens_per_s = 100.0,
                                 .cold_limit = 1,
                                 .report_lag_ms = 500,
                                 .cache_prefixes = 1024};

static const GOptionEntry S_flags[] = {
    {"port", 'p', 0, G_OPTION_ARG_INT, &S_port, "Port, 0 for any", "N"},
    {"model", 'm', 0, G_OPTION_ARG_STRING_ARRAY, &S_models,
     "Loaded model, repeatable", "NAME@VERSION"},
    {"slots", 0, 0, G_OPTION_ARG_INT, &S_config.slots,
     "Requests that run at once", "N"},
    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &S_config.tokens_per_s,
     "Tokens a second of each request", "N"},
    {"prefill-rate", 0, 0, G_OPTION_ARG_DOUBLE, &S_config.prefill_per_s,
     "Prompt tokens a second, 0 for no time", "N"},
    {"cold-ms", 0, 0, G_OPTION_ARG_INT, &S_config.cold_ms,
     "Time in cold start", "MS"},
    {"cold-limit", 0, 0, G_OPTION_ARG_INT, &S_config.cold_limit,
     "Requests a cold engine can handle", "N"},
    {"report-lag-ms", 0, 0, G_OPTION_ARG_INT, &S_config.report_lag_ms,
     "Greatest age of a load report", "MS"},
    {"cache", 0, 0, G_OPTION_ARG_INT, &S_config.cache_prefixes,
     "Prefix blocks cached", "N"},
    {"poison", 0, 0, G_OPTION_ARG_STRING, &S_config.poison,
     "Prompt text that crashes the engine", "TEXT"},
    {"load-ms", 0, 0, G_OPTION_ARG_INT, &S_load_ms, "Time to load a model",
     "MS"},
    {"boot-id", 0, 0, G_OPTION_ARG_STRING, &S_boot_id, "Boot id", "ID"},
    {"no-fencing", 0, 0, G_OPTION_ARG_NONE, &S_no_fencing,
     "Apply orders with old fencing numbers", NULL},
    G_OPTION_ENTRY_NULL};

static void
S_destroy(void *context)
{
    S_Completion *completion = context;
    BsBatch_Finish(completion->prompt_tokens, completion->complete);
    g_free(completion->prompt);
    g_free(completion->model);
    g_free(completion);
}

static json_t *
S_create_usage(const S_Completion *completion)
{
    return json_pack(
        "{s:i, s:i, s:i, s:{s:i}}", "prompt_tokens",
        (int)completion->prompt_tokens, "completion_tokens",
        (int)completion->output_tokens, "total_tokens",
        (int)(completion->prompt_tokens + completion->output_tokens),
        "prompt_tokens_details", "cached_tokens",
        (int)completion->cached_tokens);
}

/* Returns the choice of a chunk with TEXT; NULL makes the final one. */
static json_t *
S_create_choice(const S_Completion *completion, const char *text)
{
    json_t *choice = json_pack("{s:i}", "index", 0);
    json_t *delta = json_object();
    if (text != NULL && completion->chat) {
        json_object_set_new(delta, "content", json_string(text));
    }
    if (completion->chat) {
        json_object_set_new(choice, "delta", delta);
    }
    else {
        json_decref(delta);
        json_object_set_new(choice, "text",
                            json_string(text == NULL ? "" : text));
    }
    json_object_set_new(choice, "finish_reason",
                        text == NULL ? json_string("stop") : json_null());
    return choice;
}

/* Writes the next event of the stream into the buffer. */
static void
S_write_event(S_Completion *completion)
{
    char word[BS_ANSWER_WORD_BYTES];
    uint32_t index = completion->next_event++;
    completion->sent_bytes = 0;
    if (index > completion->output_tokens) {
        completion->event_bytes =
            g_strlcpy(completion->event, "data: [DONE]\n\n", EVENT_MAX_BYTES);
        return;
    }
    bool last = index == completion->output_tokens;
    BsAnswerText_Word(completion->prompt, index, word);
    json_t *chunk = json_pack(
        "{s:s, s:s, s:s, s:[o]}", "id", "standin", "object",
        completion->chat ? "chat.completion.chunk" : "text_completion",
        "model", completion->model, "choices",
        S_create_choice(completion, last ? NULL : word));
    if (last) {
        json_object_set_new(chunk, "usage", S_create_usage(completion));
    }
    char *text = json_dumps(chunk, JSON_COMPACT);
    g_snprintf(completion->event, EVENT_MAX_BYTES, "data: %s\n\n", text);
    completion->event_bytes = strlen(completion->event);
    free(text);
    json_decref(chunk);
}

static int
S_get_cut_after(void)
{
    pthread_mutex_lock(&S_lock);
    int cut_after = S_cut_after;
    pthread_mutex_unlock(&S_lock);
    return cut_after;
}

/* Waits for the next event and writes it into the buffer; returns false if the
   stream has to be cut or the caller disconnected. */
static bool
S_advance(S_Completion *completion)
{
    int cut_after = S_get_cut_after();
    if (cut_after != NO_CUT && completion->next_event >= (uint32_t)cut_after) {
        return false;
    }
    if (completion->next_event < completion->output_tokens &&
        !BsBatch_NextToken(completion->connection, &completion->due_us)) {
        return false;
    }
    S_write_event(completion);
    return true;
}

static ssize_t
S_read_stream(void *context, uint64_t position, char *buffer, size_t size)
{
    S_Completion *completion = context;
    (void)position;
    if (completion->sent_bytes == completion->event_bytes) {
        if (completion->next_event > completion->output_tokens + 1) {
            completion->complete = true;
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (!S_advance(completion)) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
    size_t count = MIN(size, completion->event_bytes - completion->sent_bytes);
    memcpy(buffer, completion->event + completion->sent_bytes, count);
    completion->sent_bytes += count;
    return (ssize_t)count;
}

static enum MHD_Result
S_reply_stream(const BsStandinCall *call, S_Completion *completion)
{
    const char *resume = BsStandin_Header(call, "X-Resume-Events");
    if (resume != NULL) {
        completion->next_event = (uint32_t)strtoul(resume, NULL, 10);
    }
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, S_read_stream, completion,
        S_destroy);
    MHD_add_response_header(response, "Content-Type", "text/event-stream");
    return BsStandin_Queue(call, MHD_HTTP_OK, response);
}

/* Generates the whole answer; NULL if the caller disconnected. */
static char *
S_generate(S_Completion *completion)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < completion->output_tokens; i++) {
        char word[BS_ANSWER_WORD_BYTES];
        if (!BsBatch_NextToken(completion->connection, &completion->due_us)) {
            g_string_free(text, TRUE);
            return NULL;
        }
        BsAnswerText_Word(completion->prompt, i, word);
        g_string_append(text, word);
    }
    completion->complete = true;
    return g_string_free(text, FALSE);
}

static enum MHD_Result
S_reply_whole(const BsStandinCall *call, S_Completion *completion)
{
    char *text = S_generate(completion);
    if (text == NULL) {
        S_destroy(completion);
        return MHD_NO;
    }
    json_t *choice =
        json_pack("{s:i, s:s}", "index", 0, "finish_reason", "stop");
    json_object_set_new(
        choice, completion->chat ? "message" : "text",
        completion->chat
            ? json_pack("{s:s, s:s}", "role", "assistant", "content", text)
            : json_string(text));
    json_t *answer =
        json_pack("{s:s, s:s, s:s, s:[o], s:o}", "id", "standin", "object",
                  completion->chat ? "chat.completion" : "text_completion",
                  "model", completion->model, "choices", choice, "usage",
                  S_create_usage(completion));
    g_free(text);
    S_destroy(completion);
    return BsStandin_Reply(call, MHD_HTTP_OK, answer);
}

static uint32_t
S_choose_output_tokens(const json_t *body)
{
    const json_t *limit = json_object_get(body, "max_tokens");
    if (limit == NULL) {
        limit = json_object_get(body, "max_completion_tokens");
    }
    return limit == NULL ? DEFAULT_OUTPUT_TOKENS
                         : (uint32_t)json_integer_value(limit);
}

static S_Completion *
S_create(const BsStandinCall *call, const json_t *body)
{
    S_Completion *completion = g_new0(S_Completion, 1);
    const char *model = json_string_value(json_object_get(body, "model"));
    completion->connection = call->connection;
    completion->prompt = BsAnswerText_Prompt(body);
    completion->model = g_strdup(model == NULL ? "" : model);
    completion->prompt_tokens =
        (uint32_t)strlen(completion->prompt) / BYTES_PER_TOKEN + 1;
    completion->output_tokens = S_choose_output_tokens(body);
    completion->chat = strcmp(call->path, "/v1/chat/completions") == 0;
    return completion;
}

static enum MHD_Result
S_complete(const BsStandinCall *call, const json_t *body)
{
    S_Completion *completion = S_create(call, body);
    if (!BsBatch_Start(call->connection, completion->prompt,
                       completion->prompt_tokens,
                       &completion->cached_tokens)) {
        g_free(completion->prompt);
        g_free(completion->model);
        g_free(completion);
        return MHD_NO;
    }
    completion->due_us = g_get_monotonic_time();
    pthread_mutex_lock(&S_lock);
    bool failing = S_failing;
    pthread_mutex_unlock(&S_lock);
    if (failing) {
        S_destroy(completion);
        return BsStandin_Reply(call, MHD_HTTP_INTERNAL_SERVER_ERROR,
                               json_pack("{s:s}", "error", "failed"));
    }
    return json_is_true(json_object_get(body, "stream"))
               ? S_reply_stream(call, completion)
               : S_reply_whole(call, completion);
}

static enum MHD_Result
S_handle_completion(const BsStandinCall *call)
{
    json_t *body = json_loads(call->body, 0, NULL);
    pthread_mutex_lock(&S_lock);
    bool refusing = S_refusing;
    pthread_mutex_unlock(&S_lock);
    enum MHD_Result result;
    if (body == NULL) {
        result = BsStandin_Reply(call, MHD_HTTP_BAD_REQUEST,
                                 json_pack("{s:s}", "error", "not JSON"));
    }
    else if (refusing || !BsOrders_IsLoaded(json_string_value(
                             json_object_get(body, "model")))) {
        result = BsStandin_Refuse(call);
    }
    else {
        result = S_complete(call, body);
    }
    json_decref(body);
    return result;
}

static enum MHD_Result
S_set_fault(const BsStandinCall *call)
{
    json_t *json = json_loads(call->body, 0, NULL);
    const json_t *straggle = json_object_get(json, "straggle");
    const json_t *cold_ms = json_object_get(json, "cold_ms");
    const json_t *cut_after = json_object_get(json, "cut_after");
    if (straggle != NULL) {
        BsBatch_SetStraggle(json_number_value(straggle));
    }
    if (cold_ms != NULL) {
        BsBatch_SetCold((int)json_integer_value(cold_ms));
    }
    pthread_mutex_lock(&S_lock);
    S_refusing = json_is_true(json_object_get(json, "refuse"));
    S_failing = json_is_true(json_object_get(json, "fail"));
    S_cut_after =
        cut_after == NULL ? NO_CUT : (int)json_integer_value(cut_after);
    pthread_mutex_unlock(&S_lock);
    json_decref(json);
    return BsStandin_Reply(call, MHD_HTTP_OK, json_object());
}

static enum MHD_Result
S_report(const BsStandinCall *call)
{
    json_t *report = json_pack("{s:s}", "boot_id", S_boot_id);
    BsBatch_Report(report);
    BsOrders_Report(report);
    return BsStandin_Reply(call, MHD_HTTP_OK, report);
}

static enum MHD_Result
S_handle(const BsStandinCall *call)
{
    if (BsStandin_Matches(call, "POST", "/v1/chat/completions") ||
        BsStandin_Matches(call, "POST", "/v1/completions")) {
        return S_handle_completion(call);
    }
    if (BsStandin_Matches(call, "GET", "/health")) {
        return S_report(call);
    }
    if (BsStandin_Matches(call, "POST", "/v1/orders")) {
        return BsOrders_Handle(call);
    }
    if (BsStandin_Matches(call, "PUT", "/control/fault")) {
        return S_set_fault(call);
    }
    if (BsStandin_Matches(call, "GET", "/control/stats")) {
        return BsStandin_Reply(call, MHD_HTTP_OK, BsBatch_Stats());
    }
    return BsStandin_Reply(call, MHD_HTTP_NOT_FOUND, json_object());
}

int
BsStandinEngine_Main(int argc, char **argv)
{
    if (!BsStandin_ParseFlags(&argc, &argv, S_flags)) {
        return 2;
    }
    if (S_boot_id == NULL) {
        S_boot_id = g_strdup_printf("%08x", g_random_int());
    }
    BsBatch_Init(&S_config);
    BsOrders_Init(S_models, !S_no_fencing, S_load_ms);
    return BsStandin_Serve(S_port, S_handle);
}
