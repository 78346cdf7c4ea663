/* verdict.c - checks of what callers were told against what really ran. */
#include "verdict.h"

#include "control.h"

#include <stdio.h>
#include <string.h>

/* Failures printed of each kind. */
#define PRINT_MAX 5

/* Runs of one key. */
typedef struct {
    unsigned count;
    int64_t first_ms;
} S_Runs;

typedef struct {
    unsigned jobs;
    unsigned told_ran;
    unsigned told_not_run;
    unsigned told_unknown;
    unsigned unanswered;
    unsigned doubled;
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
S_fault(unsigned *count, const BsJob *job, const char *what)
{
    if ((*count)++ < PRINT_MAX) {
        printf("FAILED %s: %s: sent %u, told ran %u, not-run %u, unknown %u, "
               "nothing %u%s%s\n",
               what, job->key, job->sent, job->told[BS_TOLD_RAN],
               job->told[BS_TOLD_NOT_RUN], job->told[BS_TOLD_UNKNOWN],
               job->told[BS_TOLD_NOTHING], job->wrong == NULL ? "" : "; ",
               job->wrong == NULL ? "" : job->wrong);
    }
}

static void
S_check_booking(const BsJob *job, const S_Runs *runs, S_Counts *counts)
{
    unsigned count = runs == NULL ? 0 : runs->count;
    bool ran = job->told[BS_TOLD_RAN] > 0;
    if (count > 1) {
        S_fault(&counts->doubled, job, "double run");
    }
    if (ran && count == 0) {
        S_fault(&counts->false_ran, job, "told ran, did not");
    }
    if (!ran && job->last_told == BS_TOLD_NOT_RUN && count > 0) {
        S_fault(&counts->false_not_run, job, "told not-run, but ran");
    }
    else if (!job->twice && count > 0 && runs->first_ms < job->runs_from_ms) {
        S_fault(&counts->false_not_run, job, "ran before told not-run");
    }
}

static void
S_check_job(const BsJob *job, GHashTable *runs, S_Counts *counts)
{
    counts->jobs++;
    counts->told_ran += job->told[BS_TOLD_RAN] > 0 ? 1 : 0;
    if (job->told[BS_TOLD_RAN] == 0) {
        counts->told_not_run += job->last_told == BS_TOLD_NOT_RUN ? 1 : 0;
        counts->told_unknown += job->last_told == BS_TOLD_UNKNOWN ? 1 : 0;
    }
    if (job->last_told == BS_TOLD_NOTHING) {
        S_fault(&counts->unanswered, job, "unanswered");
    }
    if (job->wrong != NULL) {
        S_fault(&counts->wrong, job, "wrong answer");
    }
    if (job->kind == BS_JOB_BOOKING) {
        S_check_booking(job, g_hash_table_lookup(runs, job->key), counts);
    }
}

bool
BsVerdict_Print(const BsFleet *fleet, const BsCallerLoad *load,
                unsigned bad_stops)
{
    S_Counts counts = {0};
    const GPtrArray *jobs = BsCallerLoad_Jobs(load);
    const BsLoadTotals *totals = BsCallerLoad_Totals(load);
    GHashTable *runs = S_read_runs(fleet);
    for (guint i = 0; i < jobs->len; i++) {
        S_check_job(jobs->pdata[i], runs, &counts);
    }
    printf("jobs %u, sendings %u, keys run %u\n", counts.jobs,
           totals->sendings, g_hash_table_size(runs));
    printf("callers told: ran %u, not-run %u, unknown %u, nothing %u\n",
           counts.told_ran, counts.told_not_run, counts.told_unknown,
           counts.unanswered);
    printf("double runs %u, false not-run %u, false ran %u, wrong answers "
           "%u\n",
           counts.doubled, counts.false_not_run, counts.false_ran,
           counts.wrong);
    printf("sendings cut off by a planned stop %u, left without answer by a "
           "healthy instance %u, planned stops that failed %u\n",
           totals->cut_by_stop, totals->healthy_silent, bad_stops);
    g_hash_table_destroy(runs);
    return counts.doubled + counts.false_not_run + counts.false_ran +
               counts.wrong + counts.unanswered + totals->cut_by_stop +
               totals->healthy_silent + bad_stops ==
           0;
}
