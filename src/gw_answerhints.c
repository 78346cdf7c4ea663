/* gw_answerhints.c - handles what upstreams report about themselves in
   answers: that they are cold, that they stop soon, that they request a pause,
   or how many requests they take. */
#include "gw_limitlog.h"
#include "gw_relayparts.h"

#include <string.h>

/* Lowest status of an answer that says that the upstream failed. */
#define STATUS_ERROR_MIN 500

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

/* Logs once that the upstream names a limit that is no valid number. */
static void
S_note_invalid_limit(const BsRelay *relay, BsTarget *target, const char *text)
{
    BsEventLog *log = relay->gate->log;
    if (target->limit.invalid) {
        return;
    }
    target->limit.invalid = true;
    if (BsEventLog_Begin(log, BS_EVENT_FAILURE, "upstream_limit_invalid")) {
        BsEventLog_Text(log, "upstream", target->id);
        BsEventLog_Text(log, "request", relay->id);
        BsEventLog_Text(log, "limit_per_s", text);
        BsEventLog_End(log);
    }
}

/* Applies the limit that an answer to ATTEMPT names, or that it names none.
   Only an answer of the upstream's own work tells that a limit has ended; one
   with an error STATUS does not, as the upstream may be limited because it
   fails. */
static void
S_note_limit(const BsRelay *relay, const BsRelayAttempt *attempt,
             uint32_t status, const BsAnswerInfo *info)
{
    BsGate *gate = relay->gate;
    BsTarget *target = attempt->target;
    if (info->limit_text != NULL && info->limit_per_s <= 0) {
        S_note_invalid_limit(relay, target, info->limit_text);
        return;
    }
    if (info->limit_text == NULL && !info->is_signed) {
        return;
    }
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsTargetLimit before = target->limit;
    bool keeps = info->limit_text == NULL && status >= STATUS_ERROR_MIN;
    double per_s = keeps ? before.per_s : info->limit_per_s;
    target->limit.invalid = false;
    if (BsTargets_NoteLimit(target, per_s, attempt->sent_ms, now_ms)) {
        BsLimitLog_Changed(gate, target, &before, "answer");
        gate->slots_changed = true;
        gate->report_changed = true;
    }
}

void
BsAnswerHints_Apply(const BsRelay *relay, const BsRelayAttempt *attempt,
                    uint32_t status, const BsAnswerInfo *info)
{
    BsTarget *target = attempt->target;
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
    S_note_limit(relay, attempt, status, info);
}

void
BsAnswerHints_NoteEnd(const BsRelay *relay, const BsRelayAttempt *attempt,
                      bool failed)
{
    BsGate *gate = relay->gate;
    BsTarget *target = attempt->target;
    BsTargetLimit before = target->limit;
    if (!BsTargets_NoteAnswer(gate->targets, target, failed,
                              BsClock_NowMs(gate->clock))) {
        return;
    }
    BsCounters_Add(gate->counters, "upstream_ejections_total", 1);
    BsLimitLog_Changed(gate, target, &before, "failures");
    gate->report_changed = true;
}
