/* gw_attemptsilence.c - attempts whose upstream is silent. */
#include "gw_attemptparts.h"
#include "silence.h"

/* Callers disconnect from a stream after a pause of two seconds, four times
   the route's objective or eight times its allowed pause, whichever is
   longest. */
#define CALLER_TIMEOUT_MIN_MS 2000
#define CALLER_TIMEOUT_TARGETS 4
#define CALLER_TIMEOUT_GAPS 8

BsTargetVerdict
BsAttempt_FindAlternative(BsRelay *relay, int64_t spoke_since_ms)
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
    return in_events || BsAttempt_MayRetry(relay);
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
        BsAttempt_LogPause(relay->gate, attempt->target->id, pause_ms);
    }
}

static BsSilenceStep
S_decide(const BsRelay *relay, BsTargetVerdict alternative)
{
    uint32_t attempts_max = relay->route->attempts_max;
    BsSilenceOptions options = {
        .may_repeat =
            BsAttempt_MayRepeat(relay) && BsAttempt_MayContinue(relay),
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
    BsAttempt_DispatchAgain(relay, "silent");
}

void
BsAttempt_OnTimeout(BsRelay *relay)
{
    relay->silent_since_ms = S_progressed_ms(relay);
    int64_t spoke_since_ms =
        relay->service->engine ? relay->silent_since_ms : 0;
    BsSilenceStep step =
        S_decide(relay, BsAttempt_FindAlternative(relay, spoke_since_ms));
    if (BsAttempt_FindAlternative(relay, 0) != BS_TARGET_NONE) {
        S_note_silent(relay);
    }
    if (step == BS_SILENCE_ADD_SEND && BsAttempt_TakeSend(relay)) {
        S_add_send(relay);
        return;
    }
    relay->attempt.extended_until_ms =
        step == BS_SILENCE_ENDURE
            ? INT64_MAX
            : BsClock_NowMs(relay->gate->clock) + BS_RELAY_SILENCE_CHECK_MS;
    BsRelay_Schedule(relay);
}
