/* gw_attempt.c - attempts to run a request at an upstream, and retries. */
#include "gw_attemptparts.h"

#include <string.h>

/* Time limit for a new connection.  Allows several round trips between
   regions, and gives up an unreachable upstream before a lost SYN would be
   sent again. */
#define CONNECT_TIMEOUT_MS 300

/* Longest idle time of a connection reused for a request that must not run
   twice: if the upstream closes it at that moment, it stays unknown whether
   the request ran. */
#define REUSE_UNSAFE_IDLE_MS 1000

/* The same for other requests; in practice the connection's own idle limit,
   which is shorter, applies. */
#define REUSE_IDLE_MS 60000

bool
BsAttempt_MayRepeat(const BsRelay *relay)
{
    return BsCatalogRoute_MayRepeat(relay->route);
}

bool
BsAttempt_MayContinue(const BsRelay *relay)
{
    return !relay->answer.started || relay->answer.events != NULL;
}

bool
BsAttempt_MayRetry(const BsRelay *relay)
{
    return BsAttempt_MayRepeat(relay) && BsAttempt_MayContinue(relay) &&
           relay->attempts < relay->route->attempts_max;
}

void
BsAttempt_FillQuery(const BsRelay *relay, BsTargetQuery *query)
{
    memset(query, 0, sizeof(*query));
    query->service = relay->service;
    query->route = relay->route;
    query->account = relay->account;
    query->excluded = (const char *const *)relay->excluded;
    query->excluded_count = relay->excluded_count;
    query->session = relay->session;
    query->version = relay->began.hash;
    if (relay->service->engine && BsHeld_HasAny(relay)) {
        /* An engine that has sent nothing since may be silent as well. */
        query->spoke_since_ms = relay->silent_since_ms;
    }
    query->prompt_tokens = relay->info.prompt_tokens;
    query->output_tokens = relay->info.output_tokens;
}

void
BsAttempt_Exclude(BsRelay *relay, const char *id)
{
    if (relay->excluded_count < BS_RELAY_EXCLUDED_MAX) {
        relay->excluded[relay->excluded_count++] = g_strdup(id);
    }
}

void
BsAttempt_ExcludeCurrent(BsRelay *relay)
{
    BsAttempt_Exclude(relay, relay->attempt.target->id);
}

void
BsAttempt_LogPause(BsGate *gate, const char *upstream, int64_t pause_ms)
{
    BsCounters_Add(gate->counters, "upstream_pauses_total", 1);
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE, "upstream_paused")) {
        BsEventLog_Text(gate->log, "upstream", upstream);
        BsEventLog_Number(gate->log, "pause_ms", pause_ms);
        BsEventLog_End(gate->log);
    }
}

/* Returns the milliseconds per event of a stream, or of the whole answer for
   other routes; 0 when unknown. */
static double
S_pace_ms(const BsRelay *relay, const BsRelayAttempt *attempt, int64_t now_ms)
{
    if (attempt->events > 1) {
        return (double)(attempt->last_received_ms - attempt->first_event_ms) /
               (attempt->events - 1);
    }
    if (relay->route->kind == BS_ROUTE_STREAM || attempt->sent_ms == 0) {
        return 0;
    }
    return (double)(now_ms - attempt->sent_ms);
}

void
BsAttempt_Settle(const BsRelay *relay, BsRelayAttempt *attempt, bool arrived)
{
    BsGate *gate = relay->gate;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    if (!attempt->open_repeat) {
        return;
    }
    attempt->open_repeat = false;
    if (arrived) {
        BsRetryBudget_Settle(gate->retries, relay->service->name, 1, now_ms);
    }
    else {
        BsRetryBudget_Abandon(gate->retries, relay->service->name, now_ms);
    }
}

void
BsAttempt_End(BsRelay *relay, BsRelayAttempt *attempt, BsTargetEnd end)
{
    BsGate *gate = relay->gate;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsAttempt_Settle(relay, attempt, end != BS_TARGET_ABANDONED);
    if (end == BS_TARGET_GOOD || end == BS_TARGET_ERROR) {
        BsAnswerHints_NoteEnd(relay, attempt, end == BS_TARGET_ERROR);
    }
    char *upstream = g_strdup(attempt->target->id);
    uint32_t unprocessed_tokens =
        attempt->prefill_reported ? 0 : relay->info.prompt_tokens;
    int64_t pause_ms = BsTargets_Ended(gate->targets, attempt->target, end,
                                       S_pace_ms(relay, attempt, now_ms),
                                       unprocessed_tokens, now_ms);
    if (pause_ms > 0) {
        BsAttempt_LogPause(gate, upstream, pause_ms);
    }
    g_free(upstream);
    attempt->target = NULL;
    attempt->call = NULL;
    attempt->sent_ms = 0;
    gate->slots_changed = true;
    gate->report_changed = true;
}

void
BsAttempt_ReturnSend(BsRelay *relay)
{
    if (relay->send_taken) {
        BsRetryBudget_GiveBack(relay->gate->retries, relay->service->name,
                               BsClock_NowMs(relay->gate->clock));
        relay->send_taken = false;
    }
}

uint32_t
BsAttempt_HashUpstream(const BsRelayAttempt *attempt)
{
    return BsCrashList_HashUpstream(attempt->target->id,
                                    attempt->target->born_ms);
}

bool
BsAttempt_SuspectsParts(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    bool pending = attempt->pending != NULL && attempt->pending->len > 0;
    return relay->shared->len > 0 && attempt->begun && attempt->events == 0 &&
           !pending;
}

uint64_t
BsAttempt_Id(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    uint64_t id = BsTargets_Hash(relay->id) ^
                  ((uint64_t)BsAttempt_HashUpstream(attempt) << 32);
    return MAX(id, 1);
}

void
BsAttempt_NoteGivenUp(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    const BsTarget *target = attempt->target;
    BsCrashList *crash_list = relay->gate->crash_list;
    BsCrashParts *crash_parts = relay->gate->crash_parts;
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    bool unlisted = target->usable_until_ms != INT64_MAX;
    BsCrashList_NoteGivenUp(crash_list, relay->content,
                            BsAttempt_HashUpstream(attempt), attempt->sent_ms,
                            now_ms);
    if (BsAttempt_SuspectsParts(relay, attempt)) {
        BsSharedParts shared = BsRelay_SharedParts(relay);
        BsCrashParts_NoteGivenUp(crash_parts, BsAttempt_Id(relay, attempt),
                                 BsAttempt_HashUpstream(attempt), &shared,
                                 now_ms);
    }
    if (unlisted && !target->draining && !target->leaving) {
        BsCrashList_NoteUpstreamEnded(crash_list,
                                      BsAttempt_HashUpstream(attempt), now_ms);
        BsCrashParts_NoteUpstreamEnded(
            crash_parts, BsAttempt_HashUpstream(attempt), now_ms);
    }
}

void
BsAttempt_DropCurrent(BsRelay *relay)
{
    BsRelayAttempt *attempt = &relay->attempt;
    if (attempt->target == NULL) {
        return;
    }
    if (attempt->sent_ms > 0 && !attempt->refused) {
        relay->may_have_run = true;
        BsAttempt_NoteGivenUp(relay, attempt);
    }
    BsOutbound_Cancel(attempt->call);
    BsAttempt_End(relay, attempt, BS_TARGET_ABANDONED);
}

void
BsAttempt_AbandonAll(BsRelay *relay)
{
    BsAttempt_DropCurrent(relay);
    BsHeld_DropAll(relay, "abandoned");
}

/* Answers the request with a failure that cannot be retried, unless a silent
   upstream may still go on with it. */
static void
S_fail_request(BsRelay *relay, const char *cause)
{
    if (BsHeld_FallBack(relay)) {
        return;
    }
    if (relay->may_have_run) {
        BsRelay_Refuse(relay, 502, cause, 0);
    }
    else {
        BsRelay_Refuse(relay, 503, cause, 1);
    }
}

bool
BsAttempt_TakeSend(BsRelay *relay)
{
    BsGate *gate = relay->gate;
    if (relay->sends == 0 || relay->send_taken) {
        return true;
    }
    if (relay->sends >= BS_RELAY_SENDS_MAX) {
        return false;
    }
    relay->send_taken =
        BsRetryBudget_Take(gate->retries, relay->service->name,
                           gate->retry_instances, BsClock_NowMs(gate->clock));
    BsRelay_LogBudget(relay, relay->send_taken);
    return relay->send_taken;
}

void
BsAttempt_DispatchAgain(BsRelay *relay, const char *cause)
{
    BsCounters_Add(relay->gate->counters, "retries_total", 1);
    BsRelay_Log(relay, BS_EVENT_DETAIL, "retry", cause);
    BsRelay_Dispatch(relay);
}

/* Retries the request, or ends it.  A held attempt that goes on, or that the
   failed one repeated early, takes its place instead. */
static void
S_retry(BsRelay *relay, const char *cause)
{
    if (BsHeld_GoesOn(relay) || BsHedge_HasOther(relay) ||
        relay->excluded_count >= BS_RELAY_EXCLUDED_MAX ||
        !BsAttempt_TakeSend(relay)) {
        S_fail_request(relay, cause);
        return;
    }
    BsAttempt_DispatchAgain(relay, cause);
}

void
BsAttempt_OnFailure(BsRelay *relay, BsTargetEnd end, const char *cause)
{
    bool blocked = BsRelay_IsBlocked(relay);
    bool may_retry = BsAttempt_MayRetry(relay) && !blocked;
    char *failed = g_strdup(relay->attempt.target->id);
    BsRelay_Log(relay, BS_EVENT_FAILURE, "attempt_failed", cause);
    BsHedge_NoteFailed(relay, &relay->attempt);
    relay->given_up = cause;
    BsAttempt_End(relay, &relay->attempt, end);
    BsAttempt_Exclude(relay, failed);
    g_free(failed);
    if (relay->inbound == NULL) {
        BsRelay_Finish(relay, "caller_gone");
        return;
    }
    if (relay->answer.events != NULL) {
        BsSseSplitter_DropPartial(relay->answer.events);
    }
    if (may_retry) {
        S_retry(relay, cause);
    }
    else {
        S_fail_request(relay, blocked ? "breaks_upstreams" : cause);
    }
}

void
BsAttempt_OnNotRun(BsRelay *relay, BsTargetEnd end, const char *cause)
{
    char *failed = g_strdup(relay->attempt.target->id);
    BsRelay_Log(relay, BS_EVENT_DETAIL, "attempt_not_run", cause);
    BsHedge_NoteFailed(relay, &relay->attempt);
    relay->given_up = cause;
    BsAttempt_End(relay, &relay->attempt, end);
    if (end != BS_TARGET_REFUSED) {
        BsAttempt_Exclude(relay, failed);
    }
    g_free(failed);
    if (relay->inbound == NULL) {
        BsRelay_Finish(relay, "caller_gone");
        return;
    }
    S_retry(relay, cause);
}

uint64_t
BsAttempt_HashId(const BsRelay *relay)
{
    return relay->id[0] == '\0' ? 0 : MAX(BsTargets_Hash(relay->id), 1);
}

static GString *
S_message(const BsRelay *relay, const BsTarget *target, int64_t now_ms)
{
    BsSendInfo info = {
        .upstream = target->id,
        .account = relay->account == NULL ? NULL : relay->account->name,
        .deadline_ms = relay->expires_ms - now_ms,
        .last_event = relay->answer.started && relay->answer.events != NULL
                          ? BsSseSplitter_LastId(relay->answer.events)
                          : -1,
        .body_bytes = relay->body->len,
    };
    GString *message = g_string_sized_new(1024 + relay->body->len);
    relay->gate->wire->write_request(relay->head, &info, message);
    g_string_append_len(message, relay->body->str, (gssize)relay->body->len);
    return message;
}

void
BsAttempt_Start(BsRelay *relay, BsTarget *target)
{
    BsGate *gate = relay->gate;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsTargetQuery query;
    BsAttempt_FillQuery(relay, &query);
    memset(&relay->attempt, 0, sizeof(relay->attempt));
    relay->attempt.target = target;
    BsTakeUp_SetSoftware(relay);
    BsTakeUp_NoteSend(relay);
    BsOutboundRequest request = {
        .address = target->address,
        .owner = target->id,
        .message = S_message(relay, target, now_ms),
        .reuse_idle_ms =
            BsAttempt_MayRepeat(relay) ? REUSE_IDLE_MS : REUSE_UNSAFE_IDLE_MS,
        .id_hash = BsAttempt_HashId(relay),
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .no_body = strcmp(relay->head->method, "HEAD") == 0,
    };
    relay->attempt.head_outcome = BS_TARGET_GOOD;
    BsTargets_Sent(gate->targets, target, &query, now_ms);
    BsCrashList_NoteSent(gate->crash_list, relay->content, now_ms);
    BsSharedParts shared = BsRelay_SharedParts(relay);
    BsCrashParts_NoteSent(gate->crash_parts, &shared, now_ms);
    gate->report_changed = true;
    relay->attempt.call =
        BsOutbound_Start(gate->pool, &request, &bs_attempt_events, relay);
    bool spilled = BsTargets_HasSpilled(gate->targets, target);
    BsCounters_Add(gate->counters, "spilled_total", spilled);
    BsRelay_Log(relay, BS_EVENT_DETAIL, "sent", spilled ? "spilled" : NULL);
    BsRelay_Schedule(relay);
}
