/* daycount.c - a gateway's counters for the operator's daily report. */
#include "daycount.h"

#define DOUBLE_RUNS "double_runs_seen"

static const char *
S_outcome_name(BsDayOutcome outcome)
{
    static const char *const names[] = {"ran", "not-run", "unknown"};
    return names[outcome];
}

static void S_count(BsCounters *counters, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
S_count(BsCounters *counters, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *name = g_strdup_vprintf(format, args);
    va_end(args);
    BsCounters_Add(counters, name, 1);
    g_free(name);
}

void
BsDayCount_Start(BsCounters *counters)
{
    BsCounters_Add(counters, DOUBLE_RUNS, 0);
}

void
BsDayCount_Answer(BsCounters *counters, uint32_t rank, bool at_most_once,
                  BsDayOutcome outcome, bool in_time)
{
    char *rank_name = g_strdup_printf("tier_rank{tier=\"rank %u\"}", rank);
    BsCounters_Set(counters, rank_name, rank);
    g_free(rank_name);
    S_count(counters, "answers{tier=\"rank %u\",outcome=\"%s\"}", rank,
            S_outcome_name(outcome));
    if (in_time) {
        S_count(counters, "answers_in_time{tier=\"rank %u\"}", rank);
    }
    if (at_most_once) {
        S_count(counters, "nonidempotent_answers{outcome=\"%s\"}",
                S_outcome_name(outcome));
    }
}

void
BsDayCount_DoubleRun(BsCounters *counters)
{
    BsCounters_Add(counters, DOUBLE_RUNS, 1);
}
