/* gw_answerhints.c - handles what upstreams report about themselves in
   answers: that they are cold, that they stop soon, or that they request a
   pause. */
#include "gw_relayparts.h"

#include <string.h>

/* Stops sending new requests to the upstream, which stops soon. */
static void
S_note_leaving(const BsRelay *relay, BsTarget *target)
{
    BsGate *gate = relay->gate;
    BsTargets_SetLeaving(gate->targets, target);
    gate->slots_changed = true;
    BsCounters_Add(gate->counters, "upstream_wishes_total{wish=\"leaving\"}",
                   1);
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE, "upstream_leaving")) {
        BsEventLog_Text(gate->log, "upstream", target->id);
        BsEventLog_Text(gate->log, "request", relay->id);
        BsEventLog_End(gate->log);
    }
}

/* Pauses sending to the upstream, which refused and requested a pause of
   PAUSE_MS. */
static void
S_note_requested_pause(const BsRelay *relay, BsTarget *target,
                       int64_t pause_ms)
{
    BsGate *gate = relay->gate;
    BsTargets_SetRequestedPause(target, pause_ms, BsClock_NowMs(gate->clock));
    BsCounters_Add(gate->counters, "upstream_wishes_total{wish=\"quiet\"}", 1);
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE, "upstream_quiet")) {
        BsEventLog_Text(gate->log, "upstream", target->id);
        BsEventLog_Text(gate->log, "request", relay->id);
        BsEventLog_Number(gate->log, "pause_ms", pause_ms);
        BsEventLog_End(gate->log);
    }
}

void
BsAnswerHints_Apply(const BsRelay *relay, BsTarget *target,
                    const BsAnswerInfo *info)
{
    if (info->cold_ms > 0) {
        BsTargets_SetCold(target, info->cold_ms,
                          BsClock_NowMs(relay->gate->clock));
    }
    bool other =
        info->request_id != NULL && strcmp(info->request_id, relay->id) != 0;
    if (info->misdirected || other) {
        return; /* the answer may come from another upstream */
    }
    if (info->leaving && !target->leaving) {
        S_note_leaving(relay, target);
    }
    if (info->requested_pause_ms > 0) {
        S_note_requested_pause(relay, target, info->requested_pause_ms);
    }
}
