/* verdict.c - compares reported outcomes with what really ran. */
#include "verdict.h"

#include "control.h"

#include <stdio.h>
#include <string.h>

/* Failures of each kind that are printed. */
#define PRINT_MAX 5

/* Time after the loss of an instance in which its keys get a new keeper. */
#define TAKE_OVER_MS 5000

/* Executions of one key at the services. */
typedef struct {
    unsigned count;
    int64_t first_ms;
} S_Runs;

typedef struct {
    unsigned jobs;
    unsigned reported_ran;
    unsigned reported_not_run;
    unsigned reported_unknown;
    unsigned unanswered;
    unsigned double_runs;
    unsigned false_not_run;
    unsigned false_ran;
    unsigned wrong;
} S_Counts;

static void
S_add_runs(GHashTable *runs, const BsFleetUpstream *service)
{
    size_t index;
    const json_t *run;
    json_t *list = BsControl_GetJson(service->process.port, "/control/runs");
    json_array_foreach(json_object_get(list, "runs"), index, run)
    {
        const char *key = json_string_value(json_object_get(run, "key"));
        S_Runs *seen = g_hash_table_lookup(runs, key == NULL ? "" : key);
        int64_t time_ms = json_integer_value(json_object_get(run, "time_ms"));
        if (seen == NULL) {
            seen = g_new0(S_Runs, 1);
            seen->first_ms = time_ms;
            g_hash_table_insert(runs, g_strdup(key == NULL ? "" : key), seen);
        }
        seen->count++;
        seen->first_ms = MIN(seen->first_ms, time_ms);
    }
    json_decref(list);
}

static GHashTable *
S_read_runs(const BsFleet *fleet)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < fleet->upstreams->len; i++) {
        const BsFleetUpstream *upstream = fleet->upstreams->pdata[i];
        if (strcmp(upstream->kind, "service") == 0) {
            S_add_runs(runs, upstream);
        }
    }
    return runs;
}

static void
S_report_failure(unsigned *count, const BsJob *job, const char *what)
{
    if ((*count)++ < PRINT_MAX) {
        printf(
            "FAILED %s: %s: sent %u, reported ran %u, not-run %u, unknown %u, "
            "nothing %u%s%s\n",
            what, job->key, job->sent, job->reported[BS_JOB_OUTCOME_RAN],
            job->reported[BS_JOB_OUTCOME_NOT_RUN],
            job->reported[BS_JOB_OUTCOME_UNKNOWN],
            job->reported[BS_JOB_OUTCOME_NONE], job->wrong == NULL ? "" : "; ",
            job->wrong == NULL ? "" : job->wrong);
    }
}

static void
S_check_booking(const BsJob *job, const S_Runs *runs, S_Counts *counts)
{
    unsigned count = runs == NULL ? 0 : runs->count;
    bool ran = job->reported[BS_JOB_OUTCOME_RAN] > 0;
    if (count > 1) {
        S_report_failure(&counts->double_runs, job, "double run");
    }
    if (ran && count == 0) {
        S_report_failure(&counts->false_ran, job,
                         "reported ran, but did not run");
    }
    if (!ran && job->last_reported == BS_JOB_OUTCOME_NOT_RUN && count > 0) {
        S_report_failure(&counts->false_not_run, job,
                         "reported not-run, but ran");
    }
    else if (!job->sent_concurrently && count > 0 &&
             runs->first_ms < job->earliest_run_ms) {
        S_report_failure(&counts->false_not_run, job,
                         "ran before not-run was reported");
    }
}

static void
S_check_job(const BsJob *job, GHashTable *runs, S_Counts *counts)
{
    counts->jobs++;
    counts->reported_ran += job->reported[BS_JOB_OUTCOME_RAN] > 0 ? 1 : 0;
    if (job->reported[BS_JOB_OUTCOME_RAN] == 0) {
        counts->reported_not_run +=
            job->last_reported == BS_JOB_OUTCOME_NOT_RUN ? 1 : 0;
        counts->reported_unknown +=
            job->last_reported == BS_JOB_OUTCOME_UNKNOWN ? 1 : 0;
    }
    if (job->last_reported == BS_JOB_OUTCOME_NONE) {
        S_report_failure(&counts->unanswered, job, "unanswered");
    }
    if (job->wrong != NULL) {
        S_report_failure(&counts->wrong, job, "wrong answer");
    }
    if (job->kind == BS_JOB_BOOKING) {
        S_check_booking(job, g_hash_table_lookup(runs, job->key), counts);
    }
}

/* Prints how many bookings ended as unknown, by the time of their first
   attempt. */
static void
S_print_unknown(const GPtrArray *jobs, int64_t loss_ms)
{
    static const char *const phases[] = {"before the first loss",
                                         "within 5 s after it", "later"};
    unsigned sent[3] = {0};
    unsigned unknown[3] = {0};
    for (guint i = 0; i < jobs->len; i++) {
        const BsJob *job = jobs->pdata[i];
        unsigned phase = job->first_ms < loss_ms                  ? 0
                         : job->first_ms < loss_ms + TAKE_OVER_MS ? 1
                                                                  : 2;
        if (job->kind == BS_JOB_BOOKING) {
            sent[phase]++;
            unknown[phase] += job->reported[BS_JOB_OUTCOME_RAN] == 0 &&
                              job->last_reported == BS_JOB_OUTCOME_UNKNOWN;
        }
    }
    for (unsigned i = 0; i < 3; i++) {
        printf("bookings first sent %s: %u, of which unknown %u\n", phases[i],
               sent[i], unknown[i]);
    }
}

bool
BsVerdict_Print(const BsFleet *fleet, const BsCallerLoad *load,
                unsigned failed_stops, int64_t loss_ms)
{
    S_Counts counts = {0};
    const GPtrArray *jobs = BsCallerLoad_Jobs(load);
    const BsLoadTotals *totals = BsCallerLoad_Totals(load);
    GHashTable *runs = S_read_runs(fleet);
    for (guint i = 0; i < jobs->len; i++) {
        S_check_job(jobs->pdata[i], runs, &counts);
    }
    printf("jobs %u, attempts %u, keys run %u\n", counts.jobs,
           totals->attempts, g_hash_table_size(runs));
    printf("reported to callers: ran %u, not-run %u, unknown %u, nothing %u\n",
           counts.reported_ran, counts.reported_not_run,
           counts.reported_unknown, counts.unanswered);
    S_print_unknown(jobs, loss_ms);
    printf("double runs %u, false not-run %u, false ran %u, wrong answers "
           "%u\n",
           counts.double_runs, counts.false_not_run, counts.false_ran,
           counts.wrong);
    printf("attempts cut off by a planned stop %u, left without answer by a "
           "healthy instance %u, planned stops that failed %u\n",
           totals->cut_by_stop, totals->unanswered_by_healthy, failed_stops);
    g_hash_table_destroy(runs);
    return counts.double_runs + counts.false_not_run + counts.false_ran +
               counts.wrong + counts.unanswered + totals->cut_by_stop +
               totals->unanswered_by_healthy + failed_stops ==
           0;
}
