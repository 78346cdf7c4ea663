/* gw_attemptanswer.c - what an upstream answers in an attempt. */
#include "daycount.h"
#include "gw_attemptparts.h"

#include <string.h>

#define EVENT_STREAM_TYPE "text/event-stream"

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
    if (relay->may_have_run && !BsAttempt_MayRepeat(relay)) {
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
        BsAttempt_Settle(relay, attempt, true);
    }
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
    BsOutbound_NoteRefused(attempt->call, BsAttempt_HashId(relay));
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
    BsAttempt_OnFailure(relay, end, cause);
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

/* Returns whether to retry at another upstream instead of forwarding the
   upstream's error, and takes the retry from the budget. */
static bool
S_retries_after_error(BsRelay *relay)
{
    return BsAttempt_MayRepeat(relay) && !relay->answer.started &&
           relay->attempts < relay->route->attempts_max &&
           relay->inbound != NULL &&
           BsAttempt_FindAlternative(relay, 0) == BS_TARGET_CHOSEN &&
           BsAttempt_TakeSend(relay);
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
        BsAttempt_Exclude(relay, relay->attempt.target->id);
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
S_on_end(BsOutboundEnd end, void *context)
{
    BsRelay *relay = context;
    relay->attempt.call = NULL;
    if (relay->attempt.ended_by == NULL) {
        end = BsAttempt_JudgeEnd(relay, &relay->attempt, end);
    }
    if (end == BS_OUTBOUND_UNSENT) {
        BsAttempt_OnNotRun(relay, BS_TARGET_UNREACHED, "not_connected");
    }
    else if (relay->attempt.refused) {
        /* The head alone says that the request has not run, even if the body
           was truncated. */
        relay->attempts--;
        BsAttempt_OnNotRun(relay, relay->attempt.head_outcome,
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
        BsAttempt_OnFailure(relay, BS_TARGET_INCOMPLETE,
                            BsAttempt_CauseOf(end));
    }
}

const BsOutboundEvents bs_attempt_events = {
    .on_sent = S_on_sent,
    .on_head = S_on_head,
    .on_body = S_on_body,
    .on_end = S_on_end,
};
