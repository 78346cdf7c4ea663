/* load.c - sends jobs with curl multi and sends them again when needed. */
#include "load.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_INTERVAL_MS 12
#define POLL_MS 5
#define DEADLINE_MS 5000 /* told to the instance */
#define CALLER_TIMEOUT_MS 9000L
#define RESEND_MS 250
#define SENDINGS_MAX 40 /* of a job */
#define UNKNOWN_MAX 8   /* uncertain answers until a caller gives up */
#define TWICE_EVERY 6   /* each sixth booking is sent twice at once */
#define OUTCOME_HEADER "Boragespur-Outcome:"

typedef struct {
    BsJob *job;
    BsFleetInstance *instance;
    CURL *curl;
    struct curl_slist *headers;
    GString *text;
    char *outcome;
    int64_t started_ms;
    bool stopping; /* a planned stop was under way at the start */
} S_Sending;

struct BsCallerLoad {
    BsFleet *fleet;
    CURLM *multi;
    GRand *random;
    GPtrArray *jobs;
    GHashTable *disturbed; /* BsFleetInstance to time of the last signal */
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
    load->disturbed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    load->jobs_max = jobs;
    return load;
}

void
BsCallerLoad_Destroy(BsCallerLoad *load)
{
    curl_multi_cleanup(load->multi);
    g_rand_free(load->random);
    g_ptr_array_unref(load->jobs);
    g_hash_table_destroy(load->disturbed);
    g_free(load);
}

void
BsCallerLoad_Disturb(BsCallerLoad *load, BsFleetInstance *instance)
{
    int64_t *when = g_new(int64_t, 1);
    *when = S_now_ms();
    g_hash_table_insert(load->disturbed, instance, when);
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
    S_Sending *sending = context;
    size_t length = strlen(OUTCOME_HEADER);
    if (size * count > length &&
        g_ascii_strncasecmp(data, OUTCOME_HEADER, length) == 0) {
        char *value = g_strndup(data + length, size * count - length);
        g_free(sending->outcome);
        sending->outcome = g_strstrip(value);
    }
    return size * count;
}

/* Returns an instance that the balancer knows. */
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
S_add_header(S_Sending *sending, const char *name, const char *value)
{
    char *line = g_strdup_printf("%s: %s", name, value);
    sending->headers = curl_slist_append(sending->headers, line);
    g_free(line);
}

static void
S_set_headers(S_Sending *sending)
{
    char deadline[16];
    g_snprintf(deadline, sizeof(deadline), "%d", DEADLINE_MS);
    S_add_header(sending, "Authorization", "Bearer " BS_FLEET_TOKEN);
    S_add_header(sending, "Content-Type", "application/json");
    S_add_header(sending, "Boragespur-Deadline-Ms", deadline);
    if (sending->job->kind == BS_JOB_BOOKING) {
        S_add_header(sending, "Idempotency-Key", sending->job->key);
    }
}

static void
S_send(BsCallerLoad *load, BsJob *job)
{
    S_Sending *sending = g_new0(S_Sending, 1);
    sending->job = job;
    sending->instance = S_pick_instance(load);
    sending->text = g_string_new(NULL);
    sending->started_ms = S_now_ms();
    sending->stopping = sending->instance->stopping;
    char *url =
        g_strdup_printf("http://127.0.0.1:%d%s",
                        sending->instance->caller_port, BsJob_Path(job));
    CURL *curl = sending->curl = curl_easy_init();
    S_set_headers(sending);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, job->body);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, sending->headers);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALLER_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, S_on_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, sending->text);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, S_on_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, sending);
    curl_easy_setopt(curl, CURLOPT_PRIVATE, sending);
    curl_multi_add_handle(load->multi, curl);
    g_free(url);
    job->sent++;
    job->open++;
    job->twice = job->twice || job->open > 1;
    job->runs_from_ms = MIN(job->runs_from_ms, S_now_ms());
    job->next_send_ms = 0;
    load->totals.sendings++;
}

/* Returns whether a signal hit the instance while the sending was open. */
static bool
S_was_disturbed(BsCallerLoad *load, const S_Sending *sending)
{
    const int64_t *when =
        g_hash_table_lookup(load->disturbed, sending->instance);
    return when != NULL && *when + CALLER_TIMEOUT_MS >= sending->started_ms;
}

/* Counts a sending without an answer against the instance, if it has no
   excuse. */
static void
S_blame(BsCallerLoad *load, const S_Sending *sending, CURLcode result)
{
    if (result == CURLE_COULDNT_CONNECT || S_was_disturbed(load, sending)) {
        return;
    }
    if (sending->stopping) {
        return;
    }
    fprintf(stderr, "no answer: %s at %s: %s, %zu bytes\n", sending->job->key,
            sending->instance->name, curl_easy_strerror(result),
            sending->text->len);
    if (sending->instance->stopping) {
        load->totals.cut_by_stop++;
    }
    else {
        load->totals.healthy_silent++;
    }
}

/* Decides whether the caller sends again. */
static void
S_decide(BsJob *job, BsTold told)
{
    bool again =
        told == BS_TOLD_NOTHING || told == BS_TOLD_NOT_RUN ||
        (told == BS_TOLD_UNKNOWN && job->told[BS_TOLD_UNKNOWN] < UNKNOWN_MAX);
    if (job->told[BS_TOLD_RAN] > 0 || job->sent >= SENDINGS_MAX) {
        again = false;
    }
    if (again) {
        job->next_send_ms = S_now_ms() + RESEND_MS;
    }
}

static void
S_destroy_sending(S_Sending *sending)
{
    curl_easy_cleanup(sending->curl);
    curl_slist_free_all(sending->headers);
    g_string_free(sending->text, TRUE);
    g_free(sending->outcome);
    g_free(sending);
}

static void
S_finish(BsCallerLoad *load, CURL *curl, CURLcode result)
{
    S_Sending *sending = NULL;
    long status = 0;
    BsTold told = BS_TOLD_NOTHING;
    curl_easy_getinfo(curl, CURLINFO_PRIVATE, (char **)&sending);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    BsJob *job = sending->job;
    if (result == CURLE_OK) {
        told = BsJob_Judge(job, status, sending->outcome, sending->text->str);
        job->last_told = told;
    }
    else {
        S_blame(load, sending, result);
    }
    if (told == BS_TOLD_NOT_RUN) {
        job->runs_from_ms = INT64_MAX;
    }
    job->told[told]++;
    job->open--;
    S_decide(job, told);
    curl_multi_remove_handle(load->multi, curl);
    S_destroy_sending(sending);
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
    g_ptr_array_add(load->jobs, job);
    S_send(load, job);
    if (job->kind == BS_JOB_BOOKING && load->jobs->len % TWICE_EVERY == 0) {
        S_send(load, job);
    }
}

/* Sends again what is due; returns how many jobs are not over. */
static unsigned
S_send_again(BsCallerLoad *load)
{
    int64_t now_ms = S_now_ms();
    unsigned left = 0;
    for (guint i = 0; i < load->jobs->len; i++) {
        BsJob *job = load->jobs->pdata[i];
        if (job->next_send_ms != 0 && now_ms >= job->next_send_ms) {
            S_send(load, job);
        }
        left += job->open > 0 || job->next_send_ms != 0 ? 1 : 0;
    }
    return left;
}

bool
BsCallerLoad_Step(BsCallerLoad *load)
{
    int running;
    int queued;
    const CURLMsg *message;
    S_start_jobs(load);
    unsigned left = S_send_again(load);
    curl_multi_perform(load->multi, &running);
    while ((message = curl_multi_info_read(load->multi, &queued)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            S_finish(load, message->easy_handle, message->data.result);
        }
    }
    curl_multi_poll(load->multi, NULL, 0, POLL_MS, NULL);
    return left > 0 || load->jobs->len < load->jobs_max;
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
