/* job.c - builds requests and checks the content of their answers. */
#include "job.h"

#include "answer.h"
#include "fleet.h"

#include <jansson.h>
#include <string.h>

#define KINDS 5 /* cycle: three bookings, a stream and a whole answer */
#define STREAM_TOKENS 20
#define STATUS_OK 200
#define EVENT_PREFIX "data: "
#define STREAM_END "[DONE]"

BsJob *
BsJob_Create(unsigned number)
{
    static const BsJobKind kinds[KINDS] = {BS_JOB_BOOKING, BS_JOB_STREAM,
                                           BS_JOB_BOOKING, BS_JOB_WHOLE,
                                           BS_JOB_BOOKING};
    BsJob *job = g_new0(BsJob, 1);
    job->kind = kinds[number % KINDS];
    job->key = g_strdup_printf("job-%u", number);
    if (job->kind == BS_JOB_BOOKING) {
        job->body = g_strdup_printf("{\"visit\":%u}", number);
        return job;
    }
    job->tokens = STREAM_TOKENS + number % STREAM_TOKENS;
    job->prompt = g_strdup_printf("advice for blade %u", number);
    job->body = g_strdup_printf(
        "{\"model\":\"" BS_FLEET_MODEL "\",\"stream\":%s,\"max_tokens\":%u,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
        job->kind == BS_JOB_STREAM ? "true" : "false", job->tokens,
        job->prompt);
    return job;
}

void
BsJob_Destroy(BsJob *job)
{
    g_free(job->key);
    g_free(job->body);
    g_free(job->prompt);
    g_free(job->wrong);
    g_free(job);
}

const char *
BsJob_Path(const BsJob *job)
{
    return job->kind == BS_JOB_BOOKING ? "/services/bookings/visits"
                                       : "/v1/chat/completions";
}

static BsJobOutcome
S_wrong(BsJob *job, const char *what, const char *text)
{
    if (job->wrong == NULL) {
        job->wrong = g_strdup_printf("%s: %.200s", what, text);
    }
    return BS_JOB_OUTCOME_WRONG;
}

/* Returns the text that a stand-in engine generates for the job. */
static char *
S_expected_text(const BsJob *job)
{
    GString *text = g_string_new(NULL);
    for (unsigned i = 0; i < job->tokens; i++) {
        char word[BS_ANSWER_WORD_BYTES];
        BsAnswerText_Word(job->prompt, i, word);
        g_string_append(text, word);
    }
    return g_string_free(text, FALSE);
}

static BsJobOutcome
S_compare(BsJob *job, const char *got, const char *text)
{
    char *expected = S_expected_text(job);
    bool equal = g_strcmp0(got, expected) == 0;
    g_free(expected);
    return equal ? BS_JOB_OUTCOME_RAN : S_wrong(job, "another answer", text);
}

static const char *
S_first_choice(const json_t *json, const char *member)
{
    const json_t *choice = json_array_get(json_object_get(json, "choices"), 0);
    return json_string_value(
        json_object_get(json_object_get(choice, member), "content"));
}

/* Returns the outcome that an error event at the end of a stream reports. */
static BsJobOutcome
S_judge_error(BsJob *job, const json_t *error, const char *text)
{
    const char *outcome = json_string_value(json_object_get(error, "outcome"));
    if (g_strcmp0(outcome, "not-run") == 0) {
        return BS_JOB_OUTCOME_NOT_RUN;
    }
    return outcome != NULL ? BS_JOB_OUTCOME_UNKNOWN
                           : S_wrong(job, "no outcome in an error", text);
}

static BsJobOutcome
S_judge_stream(BsJob *job, const char *text)
{
    GString *got = g_string_new(NULL);
    char **lines = g_strsplit(text, "\n", -1);
    BsJobOutcome reported = BS_JOB_OUTCOME_NONE;
    for (char **line = lines; *line != NULL; line++) {
        if (!g_str_has_prefix(*line, EVENT_PREFIX)) {
            continue;
        }
        const char *data = *line + strlen(EVENT_PREFIX);
        if (strcmp(data, STREAM_END) == 0) {
            reported = S_compare(job, got->str, text);
            continue;
        }
        json_t *event = json_loads(data, 0, NULL);
        const json_t *error = json_object_get(event, "error");
        const char *word = S_first_choice(event, "delta");
        if (error != NULL) {
            reported = S_judge_error(job, error, data);
        }
        g_string_append(got, word == NULL ? "" : word);
        json_decref(event);
    }
    g_strfreev(lines);
    g_string_free(got, TRUE);
    return reported == BS_JOB_OUTCOME_NONE
               ? S_wrong(job, "stream ends without an outcome", text)
               : reported;
}

static BsJobOutcome
S_judge_whole(BsJob *job, const char *text)
{
    json_t *json = json_loads(text, 0, NULL);
    BsJobOutcome reported =
        S_compare(job, S_first_choice(json, "message"), text);
    json_decref(json);
    return reported;
}

static BsJobOutcome
S_judge_booking(BsJob *job, const char *text)
{
    json_t *json = json_loads(text, 0, NULL);
    const char *echo = json_string_value(json_object_get(json, "echo"));
    BsJobOutcome reported =
        g_strcmp0(echo, job->body) == 0
            ? BS_JOB_OUTCOME_RAN
            : S_wrong(job, "another booking's answer", text);
    json_decref(json);
    return reported;
}

BsJobOutcome
BsJob_Judge(BsJob *job, long status, const char *outcome, const char *text)
{
    if (job->kind == BS_JOB_STREAM && status == STATUS_OK) {
        return S_judge_stream(job, text);
    }
    if (outcome == NULL) {
        return S_wrong(job, "no outcome", text);
    }
    if (strcmp(outcome, "not-run") == 0) {
        return BS_JOB_OUTCOME_NOT_RUN;
    }
    if (strcmp(outcome, "unknown") == 0) {
        return BS_JOB_OUTCOME_UNKNOWN;
    }
    if (status != STATUS_OK) {
        return job->kind == BS_JOB_BOOKING
                   ? S_wrong(job, "ran, but with an error", text)
                   : BS_JOB_OUTCOME_UNKNOWN;
    }
    return job->kind == BS_JOB_BOOKING ? S_judge_booking(job, text)
                                       : S_judge_whole(job, text);
}
