/* gw_attempt.c - attempts to run a request at an upstream, and retries. */
#include "daycount.h"
#include "gw_relayparts.h"
#include "silence.h"
#include "streamend.h"

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

/* Callers disconnect from a stream after a pause of two seconds, four times
   the route's objective or eight times its allowed pause, whichever is
   longest. */
#define CALLER_TIMEOUT_MIN_MS 2000
#define CALLER_TIMEOUT_TARGETS 4
#define CALLER_TIMEOUT_GAPS 8

#define EVENT_STREAM_TYPE "text/event-stream"

static bool
S_may_repeat(const BsRelay *relay)
{
    return BsCatalogRoute_MayRepeat(relay->route);
}

/* Returns whether an answer of another run can be sent to the caller: it has
   received nothing yet, or an event stream that can be resumed. */
static bool
S_may_continue(const BsRelay *relay)
{
    return !relay->answer.started || relay->answer.events != NULL;
}

/* Returns whether the request may be sent to another upstream after this
   attempt. */
static bool
S_may_retry(const BsRelay *relay)
{
    return S_may_repeat(relay) && S_may_continue(relay) &&
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

static void
S_exclude(BsRelay *relay, const char *id)
{
    if (relay->excluded_count < BS_RELAY_EXCLUDED_MAX) {
        relay->excluded[relay->excluded_count++] = g_strdup(id);
    }
}

void
BsAttempt_ExcludeCurrent(BsRelay *relay)
{
    S_exclude(relay, relay->attempt.target->id);
}

/* Logs that no requests are sent to UPSTREAM for PAUSE_MS. */
static void
S_log_pause(BsGate *gate, const char *upstream, int64_t pause_ms)
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

/* Tells the retry budget that ATTEMPT, if it is a repeat that counts as open,
   has arrived at its upstream, or that it was given up without an answer. */
static void
S_settle(const BsRelay *relay, BsRelayAttempt *attempt, bool arrived)
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
    S_settle(relay, attempt, end != BS_TARGET_ABANDONED);
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
        S_log_pause(gate, upstream, pause_ms);
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

static uint32_t
S_hash_upstream(const BsRelayAttempt *attempt)
{
    return BsCrashList_HashUpstream(attempt->target->id,
                                    attempt->target->born_ms);
}

/* Returns whether the upstream has begun the answer without an event on shared
   parts of a prompt, which may crash it. */
static bool
S_suspects_parts(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    bool pending = attempt->pending != NULL && attempt->pending->len > 0;
    return relay->shared->len > 0 && attempt->begun && attempt->events == 0 &&
           !pending;
}

/* Returns the number of ATTEMPT in the fleet, which is not 0. */
static uint64_t
S_attempt_id(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    uint64_t id =
        BsTargets_Hash(relay->id) ^ ((uint64_t)S_hash_upstream(attempt) << 32);
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
                            S_hash_upstream(attempt), attempt->sent_ms,
                            now_ms);
    if (S_suspects_parts(relay, attempt)) {
        BsSharedParts shared = BsRelay_SharedParts(relay);
        BsCrashParts_NoteGivenUp(crash_parts, S_attempt_id(relay, attempt),
                                 S_hash_upstream(attempt), &shared, now_ms);
    }
    if (unlisted && !target->draining && !target->leaving) {
        BsCrashList_NoteUpstreamEnded(crash_list, S_hash_upstream(attempt),
                                      now_ms);
        BsCrashParts_NoteUpstreamEnded(crash_parts, S_hash_upstream(attempt),
                                       now_ms);
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

/* ---------------------------------------------------------- failures -- */

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

/* Returns whether the request may be sent once more.  Every send but the first
   costs retry budget, which is taken here. */
static bool
S_take_send(BsRelay *relay)
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

static void
S_dispatch_again(BsRelay *relay, const char *cause)
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
        !S_take_send(relay)) {
        S_fail_request(relay, cause);
        return;
    }
    S_dispatch_again(relay, cause);
}

/* The attempt ended without an answer that can be forwarded. */
static void
S_on_failure(BsRelay *relay, BsTargetEnd end, const char *cause)
{
    bool blocked = BsRelay_IsBlocked(relay);
    bool may_retry = S_may_retry(relay) && !blocked;
    char *failed = g_strdup(relay->attempt.target->id);
    BsRelay_Log(relay, BS_EVENT_FAILURE, "attempt_failed", cause);
    BsHedge_NoteFailed(relay, &relay->attempt);
    relay->given_up = cause;
    BsAttempt_End(relay, &relay->attempt, end);
    S_exclude(relay, failed);
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

/* The request was not sent, or the upstream answered that it has not run. */
static void
S_on_not_run(BsRelay *relay, BsTargetEnd end, const char *cause)
{
    char *failed = g_strdup(relay->attempt.target->id);
    BsRelay_Log(relay, BS_EVENT_DETAIL, "attempt_not_run", cause);
    BsHedge_NoteFailed(relay, &relay->attempt);
    relay->given_up = cause;
    BsAttempt_End(relay, &relay->attempt, end);
    if (end != BS_TARGET_REFUSED) {
        S_exclude(relay, failed);
    }
    g_free(failed);
    if (relay->inbound == NULL) {
        BsRelay_Finish(relay, "caller_gone");
        return;
    }
    S_retry(relay, cause);
}

/* ----------------------------------------------------------- answers -- */

static void
S_on_sent(void *context)
{
    BsRelay *relay = context;
    relay->attempt.sent_ms = BsClock_NowMs(relay->gate->clock);
    relay->attempt.last_received_ms = relay->attempt.sent_ms;
    if (relay->sends == 0) {
        BsHistogram_Observe(relay->gate->waits, relay->route->name,
                            relay->attempt.sent_ms - relay->arrived_ms);
        BsRelay_NoteWait(relay, relay->attempt.sent_ms - relay->arrived_ms);
    }
    if (relay->may_have_run && !S_may_repeat(relay)) {
        BsDayCount_DoubleRun(relay->gate->counters);
    }
    relay->sends++;
    relay->attempt.open_repeat = relay->send_taken;
    relay->send_taken = false;
    relay->attempts++;
    BsHedge_NoteSent(relay);
    BsRelay_Schedule(relay);
}

static bool
S_is_of_another_request(const BsRelay *relay, const BsAnswerInfo *info)
{
    return info->request_id != NULL &&
           strcmp(info->request_id, relay->id) != 0;
}

void
BsAttempt_NoteArrived(const BsRelay *relay, BsRelayAttempt *attempt,
                      const BsAnswerInfo *info)
{
    if (!S_is_of_another_request(relay, info)) {
        S_settle(relay, attempt, true);
    }
}

static uint64_t
S_hash_id(const BsRelay *relay)
{
    return relay->id[0] == '\0' ? 0 : MAX(BsTargets_Hash(relay->id), 1);
}

/* Returns whether the answer names no request and comes on a connection that
   has had others, of which it may be a late copy. */
static bool
S_may_be_stray(const BsRelayAttempt *attempt, const BsAnswerInfo *info)
{
    return info->request_id == NULL && BsOutbound_IsReused(attempt->call);
}

/* Returns whether STATUS may declare that a request has not run.  With any
   other one, a mark that says so contradicts it. */
static bool
S_may_refuse(uint32_t status)
{
    return status == 503 || (status >= 400 && status < 500);
}

bool
BsAttempt_IsRefused(BsRelay *relay, BsRelayAttempt *attempt, uint32_t status,
                    const BsAnswerInfo *info)
{
    if (!info->refused || !S_may_refuse(status) ||
        S_is_of_another_request(relay, info) ||
        S_may_be_stray(attempt, info)) {
        return false;
    }
    attempt->refused = true;
    BsOutbound_NoteRefused(attempt->call, S_hash_id(relay));
    attempt->head_outcome =
        info->misdirected ? BS_TARGET_MISDIRECTED : BS_TARGET_REFUSED;
    if (info->request_id == NULL) {
        /* A copy of it could not be told from a refusal of the next request on
           the connection. */
        BsOutbound_ForbidReuse(attempt->call);
    }
    return true;
}

/* Returns whether the answer belongs to the request; a successful one must
   also be signed by the upstream and name the request. */
static bool
S_is_plausible(const BsRelay *relay, const BsHttpHead *head,
               const BsAnswerInfo *info)
{
    if (S_is_of_another_request(relay, info)) {
        return false;
    }
    bool success = head->status >= 200 && head->status < 300;
    bool named = info->request_id != NULL || relay->id[0] == '\0';
    return !success || (info->is_signed && named);
}

/* Returns whether STATUS assures callers that the request has not run, which
   only the gateway and a refusing upstream may do. */
static bool
S_means_not_run(uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Returns whether an answer with HEAD continues the one that has begun: it has
   the same status and, as far as it says, the same type. */
static bool
S_continues(const BsRelay *relay, const BsHttpHead *head)
{
    const char *type = BsHttpHead_Find(head, "Content-Type");
    bool is_stream =
        type == NULL || g_ascii_strncasecmp(type, EVENT_STREAM_TYPE,
                                            strlen(EVENT_STREAM_TYPE)) == 0;
    return head->status == relay->answer.status && is_stream;
}

/* Returns why an answer with HEAD cannot be sent to the caller, or NULL. */
static const char *
S_find_defect(const BsRelay *relay, const BsHttpHead *head,
              const BsAnswerInfo *info)
{
    if (!S_is_plausible(relay, head, info)) {
        return "answer_of_another_request";
    }
    if (info->refused) {
        return "refusal_not_proven"; /* see BsAttempt_IsRefused() */
    }
    if (S_means_not_run(head->status)) {
        return "false_promise";
    }
    return relay->answer.started && !S_continues(relay, head) ? "resume_failed"
                                                              : NULL;
}

bool
BsAttempt_AcceptsHead(const BsRelay *relay, const BsHttpHead *head,
                      const BsAnswerInfo *info)
{
    return S_find_defect(relay, head, info) == NULL && head->status < 500;
}

/* Cancels the attempt and discards its answer. */
static void
S_reject_answer(BsRelay *relay, BsTargetEnd end, const char *cause)
{
    BsOutbound_Cancel(relay->attempt.call);
    relay->may_have_run = true;
    S_on_failure(relay, end, cause);
}

void
BsAttempt_NoteResumed(BsRelay *relay, BsRelayAttempt *attempt)
{
    BsGate *gate = relay->gate;
    if (!attempt->silent) {
        return;
    }
    attempt->silent = false;
    BsTargets_NoteResumed(attempt->target, attempt->sent_ms,
                          BsClock_NowMs(gate->clock));
    gate->slots_changed = true;
    BsCounters_Add(gate->counters,
                   "silent_attempts_total{outcome=\"resumed\"}", 1);
    BsRelay_LogAttempt(relay, attempt, BS_EVENT_FAILURE, "attempt_resumed",
                       NULL);
}

static void
S_on_head(const BsHttpHead *head, void *context)
{
    BsRelay *relay = context;
    BsGate *gate = relay->gate;
    BsAnswerInfo info;
    gate->wire->read_answer(head, &info);
    BsAttempt_NoteArrived(relay, &relay->attempt, &info);
    BsAttempt_NoteResumed(relay, &relay->attempt);
    relay->attempt.last_received_ms = BsClock_NowMs(gate->clock);
    BsTargets_NoteReceived(relay->attempt.target,
                           relay->attempt.last_received_ms);
    BsAnswerHints_Apply(relay, &relay->attempt, head->status, &info);
    if (BsAttempt_IsRefused(relay, &relay->attempt, head->status, &info)) {
        return;
    }
    const char *defect = S_find_defect(relay, head, &info);
    relay->attempt.begun = defect == NULL;
    if (defect != NULL) {
        S_reject_answer(relay, BS_TARGET_INCOMPLETE, defect);
        return;
    }
    bool failed = head->status >= 500;
    if (failed && BsHeld_HasAny(relay)) {
        S_reject_answer(relay, BS_TARGET_ERROR, "upstream_error");
        return;
    }
    relay->attempt.head_outcome = failed ? BS_TARGET_ERROR : BS_TARGET_GOOD;
    BsHedge_NoteHead(relay, &relay->attempt);
    BsAnswer_Begin(relay, head);
}

/* Records that the parts of the prompt did not crash the upstream. */
static void
S_note_progress(BsRelay *relay)
{
    BsSharedParts shared = BsRelay_SharedParts(relay);
    BsCrashParts_NoteProgress(relay->gate->crash_parts, &shared,
                              BsClock_NowMs(relay->gate->clock));
}

/* Records the first event of the answer, for the choice of upstreams and the
   prediction of how soon later requests are answered. */
static void
S_note_first_event(BsRelay *relay)
{
    BsGate *gate = relay->gate;
    int64_t first_ms =
        relay->attempt.last_received_ms - relay->attempt.sent_ms;
    relay->attempt.first_event_ms = relay->attempt.last_received_ms;
    BsHistogram_Observe(gate->first_events, relay->route->name, first_ms);
    BsPredictors_Observe(gate->predictors, relay->service->name,
                         relay->info.prompt_tokens, first_ms);
    BsHedge_NoteFirstEvent(relay, &relay->attempt);
    S_note_progress(relay);
    BsTakeUp_NoteFirstEvent(relay);
    relay->attempt.prefill_reported = true;
    BsTargets_Started(relay->attempt.target, relay->info.prompt_tokens);
}

static void
S_note_events(BsRelay *relay, unsigned events)
{
    if (events == 0) {
        return;
    }
    if (relay->attempt.events == 0) {
        S_note_first_event(relay);
    }
    else {
        relay->attempt.gap_ms =
            MAX(relay->attempt.gap_ms,
                relay->attempt.last_received_ms - relay->last_event_ms);
    }
    relay->last_event_ms = relay->attempt.last_received_ms;
    relay->attempt.events += events;
}

static void
S_on_body(const char *data, size_t size_bytes, void *context)
{
    BsRelay *relay = context;
    if (relay->attempt.refused) {
        return;
    }
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    BsTargets_NoteReceived(relay->attempt.target, now_ms);
    unsigned events = BsAnswer_Append(relay, data, size_bytes);
    bool progressed = events > 0 || relay->answer.events == NULL;
    if (progressed) {
        BsAttempt_NoteResumed(relay, &relay->attempt);
    }
    if (progressed && relay->answer.started) {
        BsHedge_NoteAnswer(relay, &relay->attempt);
        BsHeld_DropAll(relay, "replaced");
    }
    relay->attempt.last_received_ms = now_ms;
    S_note_events(relay, events);
    if (relay->answer.events != NULL &&
        BsSseSplitter_PartialBytes(relay->answer.events) >
            BS_SSE_EVENT_MAX_BYTES) {
        S_reject_answer(relay, BS_TARGET_INCOMPLETE, "event_too_large");
    }
}

/* Returns whether there is an alternative to the request's upstream, among
   those that have sent something since SPOKE_SINCE_MS: BS_TARGET_CHOSEN when
   another one has a free slot now. */
static BsTargetVerdict
S_find_alternative(BsRelay *relay, int64_t spoke_since_ms)
{
    BsTargetQuery query;
    BsTargetVerdict verdict;
    if (relay->excluded_count >= BS_RELAY_EXCLUDED_MAX) {
        return BS_TARGET_NONE;
    }
    size_t count = relay->excluded_count;
    relay->excluded[relay->excluded_count++] = relay->attempt.target->id;
    BsAttempt_FillQuery(relay, &query);
    query.spoke_since_ms = spoke_since_ms;
    BsTargets_Choose(relay->gate->targets, &query,
                     BsClock_NowMs(relay->gate->clock), &verdict);
    relay->excluded_count = count;
    return verdict;
}

/* Returns whether to retry at another upstream instead of forwarding the
   upstream's error, and takes the retry from the budget. */
static bool
S_retries_after_error(BsRelay *relay)
{
    return S_may_repeat(relay) && !relay->answer.started &&
           relay->attempts < relay->route->attempts_max &&
           relay->inbound != NULL &&
           S_find_alternative(relay, 0) == BS_TARGET_CHOSEN &&
           S_take_send(relay);
}

/* The upstream ran the request and its answer is complete. */
static void
S_on_answer(BsRelay *relay)
{
    bool failed = relay->attempt.head_outcome == BS_TARGET_ERROR;
    if (failed) {
        BsHedge_NoteFailed(relay, &relay->attempt);
    }
    else {
        BsHedge_NoteAnswer(relay, &relay->attempt);
    }
    if (failed && S_retries_after_error(relay)) {
        S_exclude(relay, relay->attempt.target->id);
        BsAttempt_End(relay, &relay->attempt, BS_TARGET_ERROR);
        BsCounters_Add(relay->gate->counters, "retries_total", 1);
        BsRelay_Log(relay, BS_EVENT_DETAIL, "retry", "upstream_error");
        BsRelay_Dispatch(relay);
        return;
    }
    BsRelay_Log(relay, failed ? BS_EVENT_FAILURE : BS_EVENT_DETAIL, "answered",
                failed ? "upstream_error" : NULL);
    BsAnswerTimes_Observe(relay->gate->answer_times, relay->route->name,
                          BsClock_NowMs(relay->gate->clock) -
                              relay->attempt.sent_ms);
    BsAttempt_End(relay, &relay->attempt, relay->attempt.head_outcome);
    if (!failed) {
        BsCrashList_NoteCompleted(relay->gate->crash_list, relay->content,
                                  BsClock_NowMs(relay->gate->clock));
        S_note_progress(relay);
    }
    BsHeld_DropAll(relay, "replaced");
    relay->answered = true;
    BsAnswer_End(relay);
    BsRelay_Finish(relay, failed ? "upstream_error" : "answered");
}

static void
S_note_part_crash(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    if (S_suspects_parts(relay, attempt)) {
        BsSharedParts shared = BsRelay_SharedParts(relay);
        BsCrashParts_NoteCrash(relay->gate->crash_parts,
                               S_attempt_id(relay, attempt), &shared,
                               BsClock_NowMs(relay->gate->clock));
    }
}

void
BsAttempt_NoteCrash(const BsRelay *relay, const BsRelayAttempt *attempt,
                    BsOutboundEnd end)
{
    BsGate *gate = relay->gate;
    if (end == BS_OUTBOUND_BROKEN || end == BS_OUTBOUND_TRUNCATED) {
        BsCrashList_NoteCrash(gate->crash_list, relay->content,
                              S_hash_upstream(attempt), attempt->sent_ms,
                              BsClock_NowMs(gate->clock));
        S_note_part_crash(relay, attempt);
    }
}

const char *
BsAttempt_CauseOf(BsOutboundEnd end)
{
    switch (end) {
    case BS_OUTBOUND_BROKEN:
        return "broke_before_answer";
    case BS_OUTBOUND_TRUNCATED:
        return "answer_cut_off";
    default:
        return "answer_garbled";
    }
}

static const BsSseSplitter *
S_get_events(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    return attempt == &relay->attempt ? relay->answer.events
                                      : attempt->splitter;
}

size_t
BsAttempt_RestBytes(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    const BsSseSplitter *events = S_get_events(relay, attempt);
    return events == NULL ? 0 : BsSseSplitter_PartialBytes(events);
}

/* Returns whether the answer of ATTEMPT, whose end by the rules of HTTP is
   END, is no event stream or a complete one. */
static bool
S_is_whole(const BsRelay *relay, const BsRelayAttempt *attempt,
           BsOutboundEnd end)
{
    const BsSseSplitter *events = S_get_events(relay, attempt);
    if (events == NULL) {
        return true;
    }
    bool pending = attempt->pending != NULL && attempt->pending->len > 0;
    BsStreamEnd stream_end = {
        .rest = BsSseSplitter_Partial(events),
        .rest_bytes = BsSseSplitter_PartialBytes(events),
        .has_events = attempt->events > 0 || pending,
        .by_close = end == BS_OUTBOUND_CLOSED,
    };
    return BsStreamEnd_IsComplete(&stream_end);
}

static void
S_count_stream_end(const BsRelay *relay, const BsRelayAttempt *attempt,
                   bool whole)
{
    char *name = g_strdup_printf("stream_ends_total{by=\"%s\",whole=\"%s\"}",
                                 attempt->ended_by, whole ? "yes" : "no");
    BsCounters_Add(relay->gate->counters, name, 1);
    g_free(name);
}

BsOutboundEnd
BsAttempt_JudgeEnd(const BsRelay *relay, BsRelayAttempt *attempt,
                   BsOutboundEnd end)
{
    if (!BsOutboundEnd_IsComplete(end) || attempt->refused) {
        return end;
    }
    bool whole = S_is_whole(relay, attempt, end);
    attempt->ended_by = end == BS_OUTBOUND_CLOSED ? "close" : "framing";
    if (S_get_events(relay, attempt) != NULL) {
        S_count_stream_end(relay, attempt, whole);
    }
    return whole ? end : BS_OUTBOUND_TRUNCATED;
}

static void
S_on_end(BsOutboundEnd end, void *context)
{
    BsRelay *relay = context;
    relay->attempt.call = NULL;
    if (relay->attempt.ended_by == NULL) {
        end = BsAttempt_JudgeEnd(relay, &relay->attempt, end);
    }
    if (end == BS_OUTBOUND_UNSENT) {
        S_on_not_run(relay, BS_TARGET_UNREACHED, "not_connected");
    }
    else if (relay->attempt.refused) {
        /* The head alone says that the request has not run, even if the body
           was truncated. */
        relay->attempts--;
        S_on_not_run(relay, relay->attempt.head_outcome,
                     relay->attempt.head_outcome == BS_TARGET_REFUSED
                         ? "upstream_full"
                         : "misdirected");
    }
    else if (BsOutboundEnd_IsComplete(end)) {
        relay->may_have_run = true;
        BsAttempt_NoteResumed(relay, &relay->attempt);
        S_on_answer(relay);
    }
    else {
        relay->may_have_run = true;
        BsAttempt_NoteCrash(relay, &relay->attempt, end);
        S_on_failure(relay, BS_TARGET_INCOMPLETE, BsAttempt_CauseOf(end));
    }
}

const BsOutboundEvents bs_attempt_events = {
    .on_sent = S_on_sent,
    .on_head = S_on_head,
    .on_body = S_on_body,
    .on_end = S_on_end,
};

/* ----------------------------------------------------------- sending -- */

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
            S_may_repeat(relay) ? REUSE_IDLE_MS : REUSE_UNSAFE_IDLE_MS,
        .id_hash = S_hash_id(relay),
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
    BsRelay_Log(relay, BS_EVENT_DETAIL, "sent", NULL);
    BsRelay_Schedule(relay);
}

/* Returns whether the upstream has sent anything since it got the request: it
   may be slow or full, but is reachable. */
static bool
S_is_reachable(const BsRelay *relay)
{
    return relay->attempt.target->last_received_ms > relay->attempt.sent_ms;
}

int64_t
BsAttempt_CallerTimeoutMs(const BsCatalogRoute *route)
{
    return MAX(CALLER_TIMEOUT_MIN_MS,
               MAX(CALLER_TIMEOUT_TARGETS * route->target_ms,
                   CALLER_TIMEOUT_GAPS * route->gap_ms));
}

/* Returns whether to watch for the upstream's silence: the request could be
   sent to another one, or the answer is a stream that should not pause. */
static bool
S_is_watched(const BsRelay *relay)
{
    const BsRelayAttempt *attempt = &relay->attempt;
    if (attempt->target == NULL || attempt->sent_ms == 0 || attempt->paused) {
        return false;
    }
    bool in_events =
        relay->route->kind == BS_ROUTE_STREAM && attempt->events > 0;
    return in_events || S_may_retry(relay);
}

/* Returns the last progress of the answer.  Of an event stream only whole
   events count, not single bytes. */
static int64_t
S_progressed_ms(const BsRelay *relay)
{
    const BsRelayAttempt *attempt = &relay->attempt;
    if (relay->route->kind != BS_ROUTE_STREAM) {
        return attempt->last_received_ms;
    }
    return attempt->events == 0
               ? attempt->sent_ms
               : MAX(relay->last_event_ms, attempt->resumed_ms);
}

int64_t
BsAttempt_TimeoutMs(const BsRelay *relay)
{
    if (!S_is_watched(relay)) {
        return INT64_MAX;
    }
    BsSilence silence = {
        .stream = relay->route->kind == BS_ROUTE_STREAM,
        .in_events = relay->attempt.events > 0,
        .reachable = S_is_reachable(relay),
        .progressed_ms = S_progressed_ms(relay),
        .objective_ms = relay->route->target_ms,
    };
    return MAX(relay->attempt.extended_until_ms, BsSilence_LimitMs(&silence));
}

/* Records that the upstream is silent, so that other requests avoid it. */
static void
S_note_silent(BsRelay *relay)
{
    BsRelayAttempt *attempt = &relay->attempt;
    if (attempt->silent) {
        return;
    }
    attempt->silent = true;
    BsRelay_Log(relay, BS_EVENT_FAILURE, "attempt_silent", "silent");
    int64_t pause_ms = BsTargets_NoteSilent(attempt->target, attempt->sent_ms,
                                            S_is_reachable(relay),
                                            BsClock_NowMs(relay->gate->clock));
    if (pause_ms > 0) {
        S_log_pause(relay->gate, attempt->target->id, pause_ms);
    }
}

static BsSilenceStep
S_decide(const BsRelay *relay, BsTargetVerdict alternative)
{
    uint32_t attempts_max = relay->route->attempts_max;
    BsSilenceOptions options = {
        .may_repeat = S_may_repeat(relay) && S_may_continue(relay),
        .blocked = BsRelay_IsBlocked(relay),
        .runs_left = attempts_max - MIN(attempts_max, relay->attempts),
        .sends_left =
            BS_RELAY_SENDS_MAX - MIN(BS_RELAY_SENDS_MAX, relay->sends),
        .can_exclude = relay->excluded_count < BS_RELAY_EXCLUDED_MAX &&
                       BsHeld_HasRoom(relay),
        .alternative = alternative,
    };
    return BsSilence_Decide(&options);
}

/* Sends the request to another upstream, too. */
static void
S_add_send(BsRelay *relay)
{
    relay->may_have_run = true;
    relay->given_up = "silent";
    BsAttempt_ExcludeCurrent(relay);
    BsHeld_Park(relay);
    S_dispatch_again(relay, "silent");
}

void
BsAttempt_OnTimeout(BsRelay *relay)
{
    relay->silent_since_ms = S_progressed_ms(relay);
    int64_t spoke_since_ms =
        relay->service->engine ? relay->silent_since_ms : 0;
    BsSilenceStep step =
        S_decide(relay, S_find_alternative(relay, spoke_since_ms));
    if (S_find_alternative(relay, 0) != BS_TARGET_NONE) {
        S_note_silent(relay);
    }
    if (step == BS_SILENCE_ADD_SEND && S_take_send(relay)) {
        S_add_send(relay);
        return;
    }
    relay->attempt.extended_until_ms =
        step == BS_SILENCE_ENDURE
            ? INT64_MAX
            : BsClock_NowMs(relay->gate->clock) + BS_RELAY_SILENCE_CHECK_MS;
    BsRelay_Schedule(relay);
}
