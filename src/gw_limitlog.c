/* gw_limitlog.c - log lines about limits that upstreams name. */
#include "gw_limitlog.h"

/* Largest text of a limit. */
#define TEXT_BYTES 32

static void
S_add(const BsGate *gate, double per_s)
{
    char text[TEXT_BYTES];
    g_ascii_formatd(text, sizeof(text), "%.3f", per_s);
    BsEventLog_Text(gate->log, "limit_per_s", per_s > 0 ? text : "none");
}

void
BsLimitLog_Changed(BsGate *gate, const BsTarget *target,
                   const BsTargetLimit *before, const char *source)
{
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsCounters_Add(gate->counters, "upstream_limit_changes_total", 1);
    if (!BsEventLog_Begin(gate->log, BS_EVENT_STATE, "upstream_limit")) {
        return;
    }
    BsEventLog_Text(gate->log, "upstream", target->id);
    S_add(gate, target->limit.per_s);
    BsEventLog_Text(gate->log, "source", source);
    if (before->per_s > 0) {
        BsEventLog_Number(gate->log, "limit_age_ms",
                          now_ms - before->since_ms);
    }
    BsEventLog_End(gate->log);
}

void
BsLimitLog_Add(const BsGate *gate, const BsTargetLimit *limit)
{
    if (limit->per_s <= 0) {
        return;
    }
    S_add(gate, limit->per_s);
    BsEventLog_Number(gate->log, "limit_age_ms",
                      BsClock_NowMs(gate->clock) - limit->told_ms);
}
