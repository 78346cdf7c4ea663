/* gw_held.c - attempts whose upstream is silent, held open beside the current
   attempt until one of them goes on. */
#include "gw_relayparts.h"

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

/* Returns the held attempt that was sent last, or NULL. */
static BsRelayAttempt *
S_find_latest(BsRelay *relay)
{
    BsRelayAttempt *latest = NULL;
    for (size_t i = 0; i < BS_RELAY_HELD_MAX; i++) {
        BsRelayAttempt *held = &relay->held[i];
        if (held->target != NULL &&
            (latest == NULL || held->sent_ms > latest->sent_ms)) {
            latest = held;
        }
    }
    return latest;
}

static void
S_clear(BsRelayAttempt *held)
{
    BsSseSplitter_Destroy(held->splitter);
    if (held->whole_events != NULL) {
        g_string_free(held->whole_events, TRUE);
    }
    memset(held, 0, sizeof(*held));
}

/* Ends HELD, which counts as OUTCOME. */
static void
S_release(BsRelayAttempt *held, BsTargetEnd end, const char *outcome)
{
    BsRelay *relay = held->relay;
    BsOutbound_Cancel(held->call);
    BsAttempt_End(relay, held, end);
    S_count(relay->gate, outcome);
    S_clear(held);
}

/* Ends HELD because of what its upstream did; the request goes on without
   it. */
static void
S_fail(BsRelayAttempt *held, BsTargetEnd end, const char *cause)
{
    BsRelay *relay = held->relay;
    BsRelay_LogAttempt(relay, held, BS_EVENT_FAILURE, "attempt_failed", cause);
    S_release(held, end, "failed");
    BsRelay_RenewQueueTimeout(relay);
}

bool
BsHeld_HasRoom(const BsRelay *relay)
{
    return S_find_free((BsRelay *)relay) != NULL;
}

bool
BsHeld_HasAny(const BsRelay *relay)
{
    return S_find_latest((BsRelay *)relay) != NULL;
}

void
BsHeld_Park(BsRelay *relay)
{
    BsRelayAttempt *held = S_find_free(relay);
    *held = relay->attempt;
    held->relay = relay;
    memset(&relay->attempt, 0, sizeof(relay->attempt));
    if (relay->answer.events != NULL) {
        GString *partial = g_string_new(NULL);
        BsSseSplitter_TakePartial(relay->answer.events, partial);
        held->splitter = BsSseSplitter_Create();
        held->whole_events = g_string_new(NULL);
        BsSseSplitter_Feed(held->splitter, partial->str, partial->len,
                           held->whole_events);
        g_string_free(partial, TRUE);
    }
    BsOutbound_SetEvents(held->call, &S_events, held);
}

/* Makes HELD the current attempt of its request, which has no other.  Returns
   the bytes of its event stream that arrived meanwhile, to be freed by the
   caller. */
static GString *
S_make_current(BsRelayAttempt *held)
{
    BsRelay *relay = held->relay;
    GString *bytes = g_string_new(NULL);
    BsRelay_LeaveQueue(relay);
    if (held->splitter != NULL) {
        g_string_append_len(bytes, held->whole_events->str,
                            (gssize)held->whole_events->len);
        BsSseSplitter_TakePartial(held->splitter, bytes);
    }
    relay->attempt = *held;
    relay->attempt.splitter = NULL;
    relay->attempt.whole_events = NULL;
    S_clear(held);
    BsOutbound_SetEvents(relay->attempt.call, &bs_attempt_events, relay);
    return bytes;
}

bool
BsHeld_FallBack(BsRelay *relay)
{
    BsRelayAttempt *held = S_find_latest(relay);
    if (held == NULL) {
        return false;
    }
    GString *partial = S_make_current(held);
    if (partial->len > 0) {
        BsAnswer_Append(relay, partial->str, partial->len);
    }
    g_string_free(partial, TRUE);
    relay->attempt.extended_until_ms =
        BsClock_NowMs(relay->gate->clock) + BS_RELAY_SILENCE_CHECK_MS;
    BsRelay_Schedule(relay);
    return true;
}

void
BsHeld_DropAll(BsRelay *relay, const char *outcome)
{
    for (size_t i = 0; i < BS_RELAY_HELD_MAX; i++) {
        BsRelayAttempt *held = &relay->held[i];
        if (held->target != NULL) {
            BsAttempt_NoteGivenUp(relay, held);
            S_release(held, BS_TARGET_ABANDONED, outcome);
        }
    }
}

/* ----------------------------------------------------------- answers -- */

/* HELD goes on: it replaces the current attempt.  Passes on what arrived of
   its event stream. */
static void
S_take_over(BsRelayAttempt *held)
{
    BsRelay *relay = held->relay;
    BsAttempt_DropCurrent(relay);
    GString *bytes = S_make_current(held);
    BsRelay_Schedule(relay);
    if (bytes->len > 0) {
        bs_attempt_events.on_body(bytes->str, bytes->len, relay);
    }
    g_string_free(bytes, TRUE);
}

static void
S_on_head(const BsHttpHead *head, void *context)
{
    BsRelayAttempt *held = context;
    BsRelay *relay = held->relay;
    BsAnswerInfo info;
    relay->gate->wire->read_answer(head, &info);
    bool accepted = !info.refused && BsAttempt_AcceptsHead(relay, head, &info);
    if (accepted && !relay->answer.started) {
        S_take_over(held);
        bs_attempt_events.on_head(head, relay);
        return;
    }
    BsTargets_NoteReceived(held->target, BsClock_NowMs(relay->gate->clock));
    BsAnswerHints_Apply(relay, held->target, &info);
    if (info.refused) {
        held->refused = true;
        held->head_outcome =
            info.misdirected ? BS_TARGET_MISDIRECTED : BS_TARGET_REFUSED;
    }
    else if (!accepted) {
        S_fail(held,
               head->status >= 500 ? BS_TARGET_ERROR : BS_TARGET_INCOMPLETE,
               "answer_rejected");
    }
}

static void
S_on_body(const char *data, size_t size_bytes, void *context)
{
    BsRelayAttempt *held = context;
    BsRelay *relay = held->relay;
    if (held->refused) {
        return;
    }
    BsTargets_NoteReceived(held->target, BsClock_NowMs(relay->gate->clock));
    if (held->splitter == NULL) {
        S_take_over(held);
        bs_attempt_events.on_body(data, size_bytes, relay);
        return;
    }
    unsigned events = BsSseSplitter_Feed(held->splitter, data, size_bytes,
                                         held->whole_events);
    if (events > 0) {
        S_take_over(held);
    }
    else if (BsSseSplitter_PartialBytes(held->splitter) >
             BS_SSE_EVENT_MAX_BYTES) {
        S_fail(held, BS_TARGET_INCOMPLETE, "event_too_large");
    }
}

static void
S_on_end(BsOutboundEnd end, void *context)
{
    BsRelayAttempt *held = context;
    BsRelay *relay = held->relay;
    held->call = NULL;
    if (held->refused) {
        relay->attempts--;
        S_fail(held, held->head_outcome, "upstream_full");
    }
    else if (end == BS_OUTBOUND_DONE) {
        S_take_over(held);
        bs_attempt_events.on_end(end, relay);
    }
    else {
        BsAttempt_NoteCrash(relay, held, end);
        S_fail(held, BS_TARGET_INCOMPLETE, BsAttempt_CauseOf(end));
    }
}

static const BsOutboundEvents S_events = {
    .on_head = S_on_head,
    .on_body = S_on_body,
    .on_end = S_on_end,
};
