/*
 * service.c - simulated plain service that records each run.
 *
 * A call counts as run once it is recorded, whatever answer the caller gets.
 */
#include "standin.h"

#include <pthread.h>
#include <string.h>

/* Fault applied to a call. */
typedef enum {
    S_FAULT_NONE = 0,
    S_FAULT_REFUSE,       /* 503 before running */
    S_FAULT_RESET_BEFORE, /* connection reset before running */
    S_FAULT_RESET_AFTER,  /* connection reset after running */
    S_FAULT_HALF,         /* first half of the answer after running */
    S_FAULT_ERROR_AFTER   /* 500 after running */
} S_Fault;

static const char *const S_fault_names[] = {
    "none", "refuse", "reset-before", "reset-after", "half", "error-after"};

static pthread_mutex_t S_lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *S_runs;
static S_Fault S_fault;
static int S_fault_calls_left; /* calls that still get the fault; -1: all */
static int S_slow_ms;
static int S_port;
static char *S_name = "service";

static const GOptionEntry S_flags[] = {
    {"port", 'p', 0, G_OPTION_ARG_INT, &S_port, "Port, 0 for any", "N"},
    {"name", 'n', 0, G_OPTION_ARG_STRING, &S_name, "Name in answers", "NAME"},
    {"slow-ms", 0, 0, G_OPTION_ARG_INT, &S_slow_ms, "Time of a run", "MS"},
    G_OPTION_ENTRY_NULL};

static enum MHD_Result
S_set_fault(const BsStandinCall *call)
{
    json_t *json = json_loads(call->body, 0, NULL);
    const char *mode = json_string_value(json_object_get(json, "mode"));
    const json_t *count = json_object_get(json, "count");
    const json_t *slow_ms = json_object_get(json, "slow_ms");
    pthread_mutex_lock(&S_lock);
    for (size_t i = 0; i < G_N_ELEMENTS(S_fault_names); i++) {
        if (g_strcmp0(mode, S_fault_names[i]) == 0) {
            S_fault = (S_Fault)i;
            S_fault_calls_left =
                count == NULL ? -1 : (int)json_integer_value(count);
        }
    }
    if (slow_ms != NULL) {
        S_slow_ms = (int)json_integer_value(slow_ms);
    }
    pthread_mutex_unlock(&S_lock);
    json_decref(json);
    return BsStandin_Reply(call, MHD_HTTP_OK, json_object());
}

/* Returns the fault for this call and counts the call. */
static S_Fault
S_next_fault(int *slow_ms)
{
    pthread_mutex_lock(&S_lock);
    S_Fault fault = S_fault_calls_left == 0 ? S_FAULT_NONE : S_fault;
    if (S_fault_calls_left > 0) {
        S_fault_calls_left--;
    }
    *slow_ms = S_slow_ms;
    pthread_mutex_unlock(&S_lock);
    return fault;
}

/* Records the run and returns its number, from 1. */
static int
S_record(const BsStandinCall *call)
{
    const char *key = BsStandin_Header(call, "Idempotency-Key");
    json_t *run = json_pack("{s:s, s:s, s:s, s:I}", "method", call->method,
                            "path", call->path, "body", call->body, "time_ms",
                            (json_int_t)BsStandin_NowMs());
    json_object_set_new(run, "key",
                        key == NULL ? json_null() : json_string(key));
    pthread_mutex_lock(&S_lock);
    json_array_append_new(S_runs, run);
    int number = (int)json_array_size(S_runs);
    pthread_mutex_unlock(&S_lock);
    return number;
}

/* Returns the first half of an answer, then an error. */
static ssize_t
S_read_half(void *context, uint64_t position, char *buffer, size_t size)
{
    const char *text = context;
    size_t half = strlen(text) / 2;
    if (position >= half) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t count = MIN(size, half - position);
    memcpy(buffer, text + position, count);
    return (ssize_t)count;
}

static enum MHD_Result
S_reply_half(const BsStandinCall *call, json_t *answer)
{
    char *text = json_dumps(answer, JSON_COMPACT);
    json_decref(answer);
    return BsStandin_Queue(
        call, MHD_HTTP_OK,
        MHD_create_response_from_callback(strlen(text), strlen(text),
                                          S_read_half, text, free));
}

static enum MHD_Result
S_run(const BsStandinCall *call)
{
    int slow_ms;
    S_Fault fault = S_next_fault(&slow_ms);
    if (fault == S_FAULT_REFUSE) {
        return BsStandin_Refuse(call);
    }
    if (fault == S_FAULT_RESET_BEFORE) {
        return BsStandin_Reset(call);
    }
    int number = S_record(call);
    g_usleep((gulong)slow_ms * G_TIME_SPAN_MILLISECOND);
    if (fault == S_FAULT_RESET_AFTER) {
        return BsStandin_Reset(call);
    }
    json_t *answer = json_pack("{s:s, s:i, s:s, s:s, s:s}", "service", S_name,
                               "run", number, "method", call->method, "path",
                               call->path, "echo", call->body);
    if (fault == S_FAULT_HALF) {
        return S_reply_half(call, answer);
    }
    return BsStandin_Reply(call,
                           fault == S_FAULT_ERROR_AFTER
                               ? MHD_HTTP_INTERNAL_SERVER_ERROR
                               : MHD_HTTP_OK,
                           answer);
}

static enum MHD_Result
S_handle(const BsStandinCall *call)
{
    if (BsStandin_Matches(call, "GET", "/control/runs")) {
        pthread_mutex_lock(&S_lock);
        json_t *runs = json_deep_copy(S_runs);
        pthread_mutex_unlock(&S_lock);
        return BsStandin_Reply(call, MHD_HTTP_OK,
                               json_pack("{s:o}", "runs", runs));
    }
    if (BsStandin_Matches(call, "PUT", "/control/fault")) {
        return S_set_fault(call);
    }
    if (BsStandin_Matches(call, "GET", "/health")) {
        return BsStandin_Reply(call, MHD_HTTP_OK,
                               json_pack("{s:s}", "status", "ok"));
    }
    return S_run(call);
}

int
BsStandinService_Main(int argc, char **argv)
{
    if (!BsStandin_ParseFlags(&argc, &argv, S_flags)) {
        return 2;
    }
    S_runs = json_array();
    return BsStandin_Serve(S_port, S_handle);
}
