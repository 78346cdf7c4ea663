/* tally.c - counts final answers to callers by tier and outcome. */
#include "tally.h"

#define MS_PER_S 1000

static const char *
S_outcome_name(BsOutcome outcome)
{
    switch (outcome) {
    case BS_OUTCOME_RAN:
        return "ran";
    case BS_OUTCOME_NOT_RUN:
        return "not-run";
    default:
        return "unknown";
    }
}

static void
S_count_labelled(BsCore *core, const char *name, const char *label,
                 const char *value)
{
    char *full = g_strdup_printf("%s{%s=\"%s\"}", name, label, value);
    BsCore_Count(core, full, 1);
    g_free(full);
}

void
BsTally_Answer(BsCore *core, const BsRequest *request, BsOutcome outcome,
               bool in_time)
{
    const char *outcome_name = S_outcome_name(outcome);
    char *name = g_strdup_printf("answers{tier=\"%s\",outcome=\"%s\"}",
                                 request->tier, outcome_name);
    BsCore_Count(core, name, 1);
    g_free(name);
    if (outcome == BS_OUTCOME_RAN && in_time) {
        S_count_labelled(core, "answers_in_time", "tier", request->tier);
    }
    if (!request->idempotent) {
        S_count_labelled(core, "nonidempotent_answers", "outcome",
                         outcome_name);
    }
}

void
BsTally_Refresh(BsCore *core)
{
    const BsSheet *sheet = BsCore_Sheet(core);
    BsCounters_Set(core->counters, "uptime_s",
                   (uint64_t)(BsCore_NowMs(core) - core->started_ms) /
                       MS_PER_S);
    if (sheet == NULL) {
        return;
    }
    const BsSheetData *data = BsSheet_Data(sheet);
    for (unsigned i = 0; i < data->tiers_count; i++) {
        char *name =
            g_strdup_printf("tier_rank{tier=\"%s\"}", data->tiers[i].name);
        BsCounters_Set(core->counters, name, data->tiers[i].rank);
        g_free(name);
    }
}
