/* load.c - sends and retries jobs with curl multi. */
#include "load.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_INTERVAL_MS 12
#define POLL_MS 5
#define DEADLINE_MS 5000 /* deadline sent to the instance */
#define CALLER_TIMEOUT_MS 9000L
#define RETRY_PAUSE_MS 250
#define ATTEMPTS_MAX 40    /* per job */
#define UNKNOWN_MAX 8      /* answers "unknown" until a caller gives up */
#define CONCURRENT_EVERY 6 /* each sixth job, if a booking: sent twice */
#define OUTCOME_HEADER "Boragespur-Outcome:"

typedef struct {
    BsJob *job;
    BsFleetInstance *instance;
    CURL *curl;
    struct curl_slist *headers;
    GString *text;
    char *outcome;
    int64_t started_ms;
    bool stopping; /* the instance was in a planned stop at the start */
} S_Attempt;

struct BsCallerLoad {
    BsFleet *fleet;
    CURLM *multi;
    GRand *random;
    GPtrArray *jobs;
    GHashTable *signalled; /* BsFleetInstance to time of the last signal */
    unsigned jobs_max;
    int64_t next_start_ms;
    BsLoadTotals totals;
};

static int64_t
S_now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

BsCallerLoad *
BsCallerLoad_Create(BsFleet *fleet, unsigned jobs, unsigned seed)
{
    BsCallerLoad *load = g_new0(BsCallerLoad, 1);
    load->fleet = fleet;
    load->multi = curl_multi_init();
    load->random = g_rand_new_with_seed(seed);
    load->jobs = g_ptr_array_new_with_free_func((GDestroyNotify)BsJob_Destroy);
    load->signalled = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    load->jobs_max = jobs;
    return load;
}

void
BsCallerLoad_Destroy(BsCallerLoad *load)
{
    curl_multi_cleanup(load->multi);
    g_rand_free(load->random);
    g_ptr_array_unref(load->jobs);
    g_hash_table_destroy(load->signalled);
    g_free(load);
}

void
BsCallerLoad_NoteSignal(BsCallerLoad *load, BsFleetInstance *instance)
{
    int64_t *when = g_new(int64_t, 1);
    *when = S_now_ms();
    g_hash_table_insert(load->signalled, instance, when);
}

static size_t
S_on_data(char *data, size_t size, size_t count, void *context)
{
    g_string_append_len(context, data, (gssize)(size * count));
    return size * count;
}

static size_t
S_on_header(char *data, size_t size, size_t count, void *context)
{
    S_Attempt *attempt = context;
    size_t length = strlen(OUTCOME_HEADER);
    if (size * count > length &&
        g_ascii_strncasecmp(data, OUTCOME_HEADER, length) == 0) {
        char *value = g_strndup(data + length, size * count - length);
        g_free(attempt->outcome);
        attempt->outcome = g_strstrip(value);
    }
    return size * count;
}

/* Returns a random listed instance. */
static BsFleetInstance *
S_pick_instance(BsCallerLoad *load)
{
    const GPtrArray *instances = load->fleet->instances;
    for (;;) {
        BsFleetInstance *instance = instances->pdata[g_rand_int_range(
            load->random, 0, (gint32)instances->len)];
        if (instance->listed != BS_LISTED_NOT) {
            return instance;
        }
    }
}

static void
S_add_header(S_Attempt *attempt, const char *name, const char *value)
{
    char *line = g_strdup_printf("%s: %s", name, value);
    attempt->headers = curl_slist_append(attempt->headers, line);
    g_free(line);
}

static void
S_set_headers(S_Attempt *attempt)
{
    char deadline[16];
    g_snprintf(deadline, sizeof(deadline), "%d", DEADLINE_MS);
    S_add_header(attempt, "Authorization", "Bearer " BS_FLEET_TOKEN);
    S_add_header(attempt, "Content-Type", "application/json");
    S_add_header(attempt, "Boragespur-Deadline-Ms", deadline);
    if (attempt->job->kind == BS_JOB_BOOKING) {
        S_add_header(attempt, "Idempotency-Key", attempt->job->key);
    }
}

static void
S_send(BsCallerLoad *load, BsJob *job)
{
    S_Attempt *attempt = g_new0(S_Attempt, 1);
    attempt->job = job;
    attempt->instance = S_pick_instance(load);
    attempt->text = g_string_new(NULL);
    attempt->started_ms = S_now_ms();
    attempt->stopping = attempt->instance->stopping;
    char *url =
        g_strdup_printf("http://127.0.0.1:%d%s",
                        attempt->instance->caller_port, BsJob_Path(job));
    CURL *curl = attempt->curl = curl_easy_init();
    S_set_headers(attempt);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, job->body);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, attempt->headers);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALLER_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, S_on_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, attempt->text);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, S_on_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, attempt);
    curl_easy_setopt(curl, CURLOPT_PRIVATE, attempt);
    curl_multi_add_handle(load->multi, curl);
    g_free(url);
    job->sent++;
    job->open++;
    job->sent_concurrently = job->sent_concurrently || job->open > 1;
    job->earliest_run_ms = MIN(job->earliest_run_ms, S_now_ms());
    job->next_send_ms = 0;
    load->totals.attempts++;
}

/* Returns whether the instance got a signal during the attempt, or within
   CALLER_TIMEOUT_MS before it. */
static bool
S_was_signalled(BsCallerLoad *load, const S_Attempt *attempt)
{
    const int64_t *when =
        g_hash_table_lookup(load->signalled, attempt->instance);
    return when != NULL && *when + CALLER_TIMEOUT_MS >= attempt->started_ms;
}

/* Counts an attempt without an answer, unless the connection failed or a
   signal or a planned stop that began before the attempt explains it. */
static void
S_count_unanswered(BsCallerLoad *load, const S_Attempt *attempt,
                   CURLcode result)
{
    if (result == CURLE_COULDNT_CONNECT || S_was_signalled(load, attempt)) {
        return;
    }
    if (attempt->stopping) {
        return;
    }
    fprintf(stderr, "no answer: %s at %s: %s, %zu bytes\n", attempt->job->key,
            attempt->instance->name, curl_easy_strerror(result),
            attempt->text->len);
    if (attempt->instance->stopping) {
        load->totals.cut_by_stop++;
    }
    else {
        load->totals.unanswered_by_healthy++;
    }
}

/* Schedules a retry unless the job is over or at its limits. */
static void
S_schedule_retry(BsJob *job, BsJobOutcome reported)
{
    bool retry = reported == BS_JOB_OUTCOME_NONE ||
                 reported == BS_JOB_OUTCOME_NOT_RUN ||
                 (reported == BS_JOB_OUTCOME_UNKNOWN &&
                  job->reported[BS_JOB_OUTCOME_UNKNOWN] < UNKNOWN_MAX);
    if (job->reported[BS_JOB_OUTCOME_RAN] > 0 || job->sent >= ATTEMPTS_MAX) {
        retry = false;
    }
    if (retry) {
        job->next_send_ms = S_now_ms() + RETRY_PAUSE_MS;
    }
}

static void
S_destroy_attempt(S_Attempt *attempt)
{
    curl_easy_cleanup(attempt->curl);
    curl_slist_free_all(attempt->headers);
    g_string_free(attempt->text, TRUE);
    g_free(attempt->outcome);
    g_free(attempt);
}

static void
S_finish(BsCallerLoad *load, CURL *curl, CURLcode result)
{
    S_Attempt *attempt = NULL;
    long status = 0;
    BsJobOutcome reported = BS_JOB_OUTCOME_NONE;
    curl_easy_getinfo(curl, CURLINFO_PRIVATE, (char **)&attempt);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    BsJob *job = attempt->job;
    if (result == CURLE_OK) {
        reported =
            BsJob_Judge(job, status, attempt->outcome, attempt->text->str);
        job->last_reported = reported;
    }
    else {
        S_count_unanswered(load, attempt, result);
    }
    if (reported == BS_JOB_OUTCOME_NOT_RUN) {
        job->earliest_run_ms = INT64_MAX;
    }
    job->reported[reported]++;
    job->open--;
    S_schedule_retry(job, reported);
    curl_multi_remove_handle(load->multi, curl);
    S_destroy_attempt(attempt);
}

static void
S_start_jobs(BsCallerLoad *load)
{
    int64_t now_ms = S_now_ms();
    if (load->jobs->len >= load->jobs_max || now_ms < load->next_start_ms) {
        return;
    }
    load->next_start_ms = now_ms + START_INTERVAL_MS;
    BsJob *job = BsJob_Create(load->jobs->len);
    job->first_ms = now_ms;
    g_ptr_array_add(load->jobs, job);
    S_send(load, job);
    if (job->kind == BS_JOB_BOOKING &&
        load->jobs->len % CONCURRENT_EVERY == 0) {
        S_send(load, job);
    }
}

/* Sends the retries that are due; returns how many jobs are not over. */
static unsigned
S_send_retries(BsCallerLoad *load)
{
    int64_t now_ms = S_now_ms();
    unsigned unfinished = 0;
    for (guint i = 0; i < load->jobs->len; i++) {
        BsJob *job = load->jobs->pdata[i];
        if (job->next_send_ms != 0 && now_ms >= job->next_send_ms) {
            S_send(load, job);
        }
        unfinished += job->open > 0 || job->next_send_ms != 0 ? 1 : 0;
    }
    return unfinished;
}

bool
BsCallerLoad_Step(BsCallerLoad *load)
{
    int running;
    int queued;
    const CURLMsg *message;
    S_start_jobs(load);
    unsigned unfinished = S_send_retries(load);
    curl_multi_perform(load->multi, &running);
    while ((message = curl_multi_info_read(load->multi, &queued)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            S_finish(load, message->easy_handle, message->data.result);
        }
    }
    curl_multi_poll(load->multi, NULL, 0, POLL_MS, NULL);
    return unfinished > 0 || load->jobs->len < load->jobs_max;
}

unsigned
BsCallerLoad_Started(const BsCallerLoad *load)
{
    return load->jobs->len;
}

const GPtrArray *
BsCallerLoad_Jobs(const BsCallerLoad *load)
{
    return load->jobs;
}

const BsLoadTotals *
BsCallerLoad_Totals(const BsCallerLoad *load)
{
    return &load->totals;
}
