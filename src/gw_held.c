/* gw_held.c - attempts whose upstream is silent, or slow, held open beside the
   current attempt until one of them gives the answer. */
#include "gw_relayparts.h"
#include "silence.h"

#include <string.h>

static const BsOutboundEvents S_events;

static void
S_count(BsGate *gate, const char *outcome)
{
    char *name =
        g_strdup_printf("silent_attempts_total{outcome=\"%s\"}", outcome);
    BsCounters_Add(gate->counters, name, 1);
    g_free(name);
}

static BsRelayAttempt *
S_find_free(BsRelay *relay)
{
    for (size_t i = 0; i < BS_RELAY_HELD_MAX; i++) {
        if (relay->held[i].target == NULL) {
            return &relay->held[i];
        }
    }
    return NULL;
}

/* Returns whether FIRST is to become the current attempt rather than SECOND:
   one that goes on, else the one that was sent last. */
static bool
S_is_better(const BsRelayAttempt *first, const BsRelayAttempt *second)
{
    if (first->goes_on != second->goes_on) {
        return first->goes_on;
    }
    return first->sent_ms > second->sent_ms;
}

/* Returns the held attempt to become the current one next, or NULL. */
static BsRelayAttempt *
S_find_best(BsRelay *relay)
{
    BsRelayAttempt *best = NULL;
    for (size_t i = 0; i < BS_RELAY_HELD_MAX; i++) {
        BsRelayAttempt *held = &relay->held[i];
        if (held->target != NULL &&
            (best == NULL || S_is_better(held, best))) {
            best = held;
        }
    }
    return best;
}

bool
BsHeld_HasRoom(const BsRelay *relay)
{
    return S_find_free((BsRelay *)relay) != NULL;
}

bool
BsHeld_HasAny(const BsRelay *relay)
{
    return S_find_best((BsRelay *)relay) != NULL;
}

bool
BsHeld_GoesOn(const BsRelay *relay)
{
    const BsRelayAttempt *held = S_find_best((BsRelay *)relay);
    return held != NULL && held->goes_on;
}

int64_t
BsHeld_LimitMs(const BsRelay *relay)
{
    if (!BsHeld_HasAny(relay) || !relay->service->engine ||
        relay->attempt.sent_ms == 0) {
        return INT64_MAX;
    }
    return BsSilence_HoldUntilMs(relay->attempt.sent_ms);
}

/* -------------------------------------------------------------- ends -- */

static void
S_clear(BsRelayAttempt *held)
{
    BsAnswer_Clear(&held->answer);
    BsSseSplitter_Destroy(held->splitter);
    if (held->pending != NULL) {
        g_string_free(held->pending, TRUE);
    }
    memset(held, 0, sizeof(*held));
}

/* Ends HELD, which counts as OUTCOME. */
static void
S_release(BsRelayAttempt *held, BsTargetEnd end, const char *outcome)
{
    BsRelay *relay = held->relay;
    if (held->refused) {
        relay->attempts--;
    }
    BsOutbound_Cancel(held->call);
    BsAttempt_End(relay, held, end);
    if (!held->hedged) {
        S_count(relay->gate, outcome); /* its upstream was silent */
    }
    S_clear(held);
}

/* Ends HELD because of what its upstream did; the request goes on without it,
   and may have an attempt left again. */
static void
S_fail(BsRelayAttempt *held, BsTargetEnd end, const char *cause)
{
    BsRelay *relay = held->relay;
    BsRelay_LogAttempt(relay, held, BS_EVENT_FAILURE, "attempt_failed", cause);
    BsHedge_NoteFailed(relay, held);
    S_release(held, end, "failed");
    if (relay->attempt.extended_until_ms == INT64_MAX) {
        relay->attempt.extended_until_ms = 0;
    }
    BsRelay_RenewQueueTimeout(relay);
    BsRelay_Schedule(relay);
}

/* Ends HELD, as the request does not need it any more. */
static void
S_drop(BsRelayAttempt *held, const char *outcome)
{
    if (held->complete) {
        S_release(held, BS_TARGET_GOOD, outcome);
    }
    else if (held->refused) {
        S_release(held, held->head_outcome, outcome);
    }
    else {
        BsAttempt_NoteGivenUp(held->relay, held);
        S_release(held, BS_TARGET_ABANDONED, outcome);
    }
}

void
BsHeld_DropAll(BsRelay *relay, const char *outcome)
{
    for (size_t i = 0; i < BS_RELAY_HELD_MAX; i++) {
        if (relay->held[i].target != NULL) {
            S_drop(&relay->held[i], outcome);
        }
    }
}

/* ------------------------------------------------ parking and return -- */

/* Prepares HELD, whose answer has begun, for what arrives of it.  EVENTS is
   the splitter of an event stream, whose incomplete event is taken from it, or
   NULL. */
static void
S_collect(BsRelayAttempt *held, BsSseSplitter *events)
{
    held->pending = g_string_new(NULL);
    if (events == NULL) {
        return;
    }
    GString *partial = g_string_new(NULL);
    BsSseSplitter_TakePartial(events, partial);
    held->splitter = BsSseSplitter_Create();
    BsSseSplitter_Feed(held->splitter, partial->str, partial->len,
                       held->pending);
    g_string_free(partial, TRUE);
}

void
BsHeld_Park(BsRelay *relay)
{
    BsRelayAttempt *held = S_find_free(relay);
    *held = relay->attempt;
    held->relay = relay;
    memset(&relay->attempt, 0, sizeof(relay->attempt));
    if (relay->answer.headers != NULL) {
        S_collect(held, relay->answer.events);
    }
    if (!relay->answer.started) {
        held->answer = relay->answer;
        memset(&relay->answer, 0, sizeof(relay->answer));
    }
    BsOutbound_SetEvents(held->call, &S_events, held);
}

/* Appends to BYTES what has arrived of the answer of HELD. */
static void
S_take_pending(BsRelayAttempt *held, GString *bytes)
{
    if (held->pending != NULL) {
        g_string_append_len(bytes, held->pending->str,
                            (gssize)held->pending->len);
    }
    if (held->splitter != NULL) {
        BsSseSplitter_TakePartial(held->splitter, bytes);
    }
}

/* Makes the answer of HELD that of the request, or lets it continue what the
   caller has, without the incomplete event of another attempt. */
static void
S_restore_answer(BsRelayAttempt *held)
{
    BsRelayAnswer *answer = &held->relay->answer;
    if (!answer->started) {
        BsAnswer_Clear(answer);
        *answer = held->answer;
        memset(&held->answer, 0, sizeof(held->answer));
    }
    else if (answer->events != NULL) {
        BsSseSplitter_DropPartial(answer->events);
    }
}

/* Makes HELD the current attempt of its request, which has no other.  Returns
   what arrived of its answer meanwhile, to be freed by the caller. */
static GString *
S_make_current(BsRelayAttempt *held)
{
    BsRelay *relay = held->relay;
    GString *bytes = g_string_new(NULL);
    BsRelay_LeaveQueue(relay);
    S_take_pending(held, bytes);
    S_restore_answer(held);
    relay->attempt = *held;
    memset(&relay->attempt.answer, 0, sizeof(relay->attempt.answer));
    relay->attempt.splitter = NULL;
    relay->attempt.pending = NULL;
    relay->attempt.hedged = false;
    S_clear(held);
    if (relay->attempt.call != NULL) {
        BsOutbound_SetEvents(relay->attempt.call, &bs_attempt_events, relay);
    }
    return bytes;
}

/* HELD replaces the current attempt and passes on what arrived of its
   answer. */
static void
S_take_over(BsRelayAttempt *held)
{
    BsRelay *relay = held->relay;
    bool complete = held->complete;
    BsOutboundEnd end = held->end;
    BsHedge_NoteAnswer(relay, held);
    BsAttempt_DropCurrent(relay);
    GString *bytes = S_make_current(held);
    BsRelay_Schedule(relay);
    if (bytes->len > 0) {
        bs_attempt_events.on_body(bytes->str, bytes->len, relay);
    }
    g_string_free(bytes, TRUE);
    if (complete) {
        bs_attempt_events.on_end(end, relay);
    }
}

bool
BsHeld_FallBack(BsRelay *relay)
{
    BsRelayAttempt *held = S_find_best(relay);
    if (held == NULL) {
        return false;
    }
    if (held->goes_on) {
        S_take_over(held);
        return true;
    }
    GString *bytes = S_make_current(held);
    if (bytes->len > 0) {
        BsAnswer_Append(relay, bytes->str, bytes->len);
    }
    g_string_free(bytes, TRUE);
    relay->attempt.extended_until_ms =
        BsClock_NowMs(relay->gate->clock) + BS_RELAY_SILENCE_CHECK_MS;
    BsRelay_Schedule(relay);
    return true;
}

/* HELD has a part of its answer that can be forwarded.  An engine that has
   been replaced in the middle of a stream waits for what becomes of the other
   attempt, as both must not go on. */
static void
S_go_on(BsRelayAttempt *held)
{
    const BsRelay *relay = held->relay;
    held->goes_on = true;
    if (!relay->service->engine || !relay->answer.started ||
        relay->attempt.sent_ms == 0) {
        S_take_over(held);
    }
}

/* ----------------------------------------------------------- answers -- */

static void
S_on_head(const BsHttpHead *head, void *context)
{
    BsRelayAttempt *held = context;
    BsRelay *relay = held->relay;
    BsAnswerInfo info;
    relay->gate->wire->read_answer(head, &info);
    BsTargets_NoteReceived(held->target, BsClock_NowMs(relay->gate->clock));
    BsAnswerHints_Apply(relay, held, head->status, &info);
    BsAttempt_NoteArrived(relay, held, &info);
    BsAttempt_NoteResumed(relay, held);
    if (BsAttempt_IsRefused(relay, held, head->status, &info)) {
        return;
    }
    if (!BsAttempt_AcceptsHead(relay, head, &info)) {
        S_fail(held,
               head->status >= 500 ? BS_TARGET_ERROR : BS_TARGET_INCOMPLETE,
               "answer_rejected");
        return;
    }
    held->begun = true;
    BsHedge_NoteHead(relay, held);
    if (!relay->answer.started) {
        BsAnswer_Init(relay, &held->answer, head);
        S_collect(held, held->answer.events);
    }
}

/* Adds a part of an answer that is no event stream. */
static void
S_add_bytes(BsRelayAttempt *held, const char *data, size_t size_bytes)
{
    g_string_append_len(held->pending, data, (gssize)size_bytes);
    BsAttempt_NoteResumed(held->relay, held);
    if (held->answer.body->len + held->pending->len <=
        BS_ANSWER_BUFFERED_MAX_BYTES) {
        return;
    }
    if (held->head_outcome == BS_TARGET_GOOD) {
        S_go_on(held);
    }
    else {
        S_fail(held, held->head_outcome, "upstream_error");
    }
}

static void
S_add_events(BsRelayAttempt *held, const char *data, size_t size_bytes)
{
    unsigned events =
        BsSseSplitter_Feed(held->splitter, data, size_bytes, held->pending);
    if (events > 0) {
        BsAttempt_NoteResumed(held->relay, held);
        S_go_on(held);
    }
    else if (BsSseSplitter_PartialBytes(held->splitter) >
             BS_SSE_EVENT_MAX_BYTES) {
        S_fail(held, BS_TARGET_INCOMPLETE, "event_too_large");
    }
}

static void
S_on_body(const char *data, size_t size_bytes, void *context)
{
    BsRelayAttempt *held = context;
    if (held->refused) {
        return;
    }
    BsTargets_NoteReceived(held->target,
                           BsClock_NowMs(held->relay->gate->clock));
    if (held->splitter != NULL) {
        S_add_events(held, data, size_bytes);
    }
    else {
        S_add_bytes(held, data, size_bytes);
    }
}

static void
S_on_end(BsOutboundEnd end, void *context)
{
    BsRelayAttempt *held = context;
    BsRelay *relay = held->relay;
    held->call = NULL;
    end = BsAttempt_JudgeEnd(relay, held, end);
    if (held->refused) {
        S_fail(held, held->head_outcome, "upstream_full");
    }
    else if (!BsOutboundEnd_IsComplete(end)) {
        BsAttempt_NoteCrash(relay, held, end);
        S_fail(held, BS_TARGET_INCOMPLETE, BsAttempt_CauseOf(end));
    }
    else if (held->head_outcome != BS_TARGET_GOOD) {
        S_fail(held, held->head_outcome, "upstream_error");
    }
    else {
        held->complete = true;
        held->end = end;
        BsAttempt_NoteResumed(relay, held);
        S_go_on(held);
    }
}

static const BsOutboundEvents S_events = {
    .on_head = S_on_head,
    .on_body = S_on_body,
    .on_end = S_on_end,
};
