/* gw_hedge.c - early repeats: a request whose upstream takes longer than
   nearly all others did is sent to a second one, and the first to give the
   answer ends the other attempt. */
#include "gw_relayparts.h"
#include "silence.h"

/* Slots that an early repeat leaves free at its upstream; it is less urgent
   than any request. */
#define RESERVED_SLOTS 2

static void
S_count(BsGate *gate, const char *name, const char *label, const char *value)
{
    char *counter = g_strdup_printf("%s{%s=\"%s\"}", name, label, value);
    BsCounters_Add(gate->counters, counter, 1);
    g_free(counter);
}

/* ------------------------------------------------------------ samples -- */

/* Records how long ATTEMPT has taken so far, once. */
static void
S_observe(const BsRelay *relay, BsRelayAttempt *attempt)
{
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    if (attempt->early || attempt->observed || attempt->sent_ms == 0) {
        return;
    }
    attempt->observed = true;
    BsHedges_Observe(relay->gate->hedges, relay->route->name,
                     now_ms - attempt->sent_ms, now_ms);
}

void
BsHedge_NoteHead(const BsRelay *relay, BsRelayAttempt *attempt)
{
    if (relay->route->kind != BS_ROUTE_STREAM) {
        S_observe(relay, attempt);
    }
}

void
BsHedge_NoteFirstEvent(const BsRelay *relay, BsRelayAttempt *attempt)
{
    if (relay->route->kind == BS_ROUTE_STREAM) {
        S_observe(relay, attempt);
    }
}

/* --------------------------------------------------------------- time -- */

/* Returns whether the current attempt may still get an early repeat. */
static bool
S_is_possible(const BsRelay *relay)
{
    return BsHedges_AreOn(relay->gate->hedges) && !relay->hedge.asked &&
           BsCatalogRoute_MayRepeat(relay->route) && !relay->answer.started &&
           relay->sends < relay->route->attempts_max &&
           relay->sends < BS_RELAY_SENDS_MAX && !BsHeld_HasAny(relay) &&
           relay->inbound != NULL;
}

/* Returns whether the answer to the current attempt has begun: with its head,
   or with the first event of a stream. */
static bool
S_has_begun(const BsRelay *relay)
{
    const BsRelayAttempt *attempt = &relay->attempt;
    return relay->route->kind == BS_ROUTE_STREAM ? attempt->events > 0
                                                 : attempt->begun;
}

static void
S_deny(const BsRelay *relay, BsHedgeVerdict verdict)
{
    S_count(relay->gate, "early_repeats_denied_total", "cause",
            BsHedgeVerdict_Name(verdict));
}

void
BsHedge_NoteSent(BsRelay *relay)
{
    BsGate *gate = relay->gate;
    relay->hedge.due_ms = 0;
    if (!S_is_possible(relay)) {
        return;
    }
    int64_t delay_ms = BsHedges_DelayMs(gate->hedges, relay->route->name,
                                        BsClock_NowMs(gate->clock));
    if (delay_ms == 0) {
        S_deny(relay, BS_HEDGE_NO_SAMPLES);
        return;
    }
    relay->hedge.due_ms = relay->attempt.sent_ms + delay_ms;
}

int64_t
BsHedge_DueMs(const BsRelay *relay)
{
    const BsRelayAttempt *attempt = &relay->attempt;
    if (relay->hedge.due_ms == 0 || attempt->target == NULL ||
        attempt->sent_ms == 0 || attempt->refused || S_has_begun(relay) ||
        !S_is_possible(relay)) {
        return INT64_MAX;
    }
    return relay->hedge.due_ms;
}

/* ----------------------------------------------------------- decision -- */

/* Returns whether the request may crash upstreams. */
static bool
S_is_suspect(const BsRelay *relay)
{
    const BsGate *gate = relay->gate;
    BsSharedParts shared = BsRelay_SharedParts(relay);
    return BsCrashList_CountCrashes(gate->crash_list, relay->content) > 0 ||
           BsCrashParts_IsSuspect(gate->crash_parts, &shared,
                                  BsClock_NowMs(gate->clock));
}

static BsHedgeVerdict
S_ask(const BsRelay *relay)
{
    const BsGate *gate = relay->gate;
    const BsTarget *target = relay->attempt.target;
    const char *service = relay->service->name;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    uint32_t slots;
    BsHedgeRequest request = {
        .service = service,
        .route = relay->route->name,
        .upstream = target->hash,
        .due_ms = relay->hedge.due_ms,
        .expires_ms = relay->expires_ms,
        .received_ms = target->last_received_ms,
        .hold_ms = relay->service->engine ? BsSilence_HoldUntilMs(0) : 0,
        .stopping = gate->stopping,
        .overload = BsOverload_Lasts(&gate->overload, now_ms),
        .suspect = S_is_suspect(relay),
        .occupancy =
            BsTargets_Occupancy(gate->targets, service, now_ms, &slots),
        .budget = BsRetryBudget_Read(gate->retries, service,
                                     gate->retry_instances, now_ms),
    };
    return BsHedges_Decide(gate->hedges, &request, now_ms);
}

/* Returns the upstream for the early repeat, or NULL: one of this region with
   free slots now, that is neither cold nor failing. */
static BsTarget *
S_choose(BsRelay *relay)
{
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    BsTargetQuery query;
    BsTargetVerdict verdict;
    if (relay->excluded_count >= BS_RELAY_EXCLUDED_MAX) {
        return NULL;
    }
    relay->excluded[relay->excluded_count++] = relay->attempt.target->id;
    BsAttempt_FillQuery(relay, &query);
    query.reserved_slots = RESERVED_SLOTS;
    BsTarget *target =
        BsTargets_Choose(relay->gate->targets, &query, now_ms, &verdict);
    relay->excluded_count--;
    bool suitable = target != NULL && target->same_region &&
                    target->failures == 0 && target->cold_until_ms <= now_ms;
    return suitable ? target : NULL;
}

/* Takes what an early repeat costs.  The retry budget may have been taken
   before for a send that was not made. */
static bool
S_take(BsRelay *relay)
{
    BsGate *gate = relay->gate;
    const char *service = relay->service->name;
    relay->send_taken =
        relay->send_taken ||
        BsRetryBudget_Take(gate->retries, service, gate->retry_instances,
                           BsClock_NowMs(gate->clock));
    if (relay->send_taken) {
        BsHedges_Take(gate->hedges, service);
    }
    return relay->send_taken;
}

static void
S_send(BsRelay *relay, BsTarget *target)
{
    relay->may_have_run = true;
    BsAttempt_ExcludeCurrent(relay);
    relay->attempt.hedged = true;
    BsHeld_Park(relay);
    relay->hedge.open = true;
    BsAttempt_Start(relay, target);
    relay->attempt.early = true;
    BsRelay_Log(relay, BS_EVENT_FAILURE, "early_repeat_sent", NULL);
}

void
BsHedge_OnDue(BsRelay *relay)
{
    BsTarget *target = NULL;
    if (!relay->hedge.seen) {
        /* The event loop calls timers before it reads answers that are ready,
           which are many after a pause of this process. */
        relay->hedge.seen = true;
        BsRelay_Schedule(relay);
        return;
    }
    relay->hedge.asked = true;
    BsHedgeVerdict verdict = S_ask(relay);
    if (verdict == BS_HEDGE_SEND) {
        target = S_choose(relay);
        verdict = target == NULL   ? BS_HEDGE_NO_SLOT
                  : !S_take(relay) ? BS_HEDGE_BUDGET
                                   : BS_HEDGE_SEND;
    }
    if (verdict == BS_HEDGE_SEND) {
        S_send(relay, target);
        return;
    }
    S_deny(relay, verdict);
    BsRelay_Schedule(relay);
}

/* ------------------------------------------------------------ outcome -- */

/* Counts what became of the early repeat. */
static void
S_close(BsRelay *relay, const char *outcome)
{
    relay->hedge.open = false;
    S_count(relay->gate, "early_repeats_total", "outcome", outcome);
    if (relay->attempt.early) {
        BsAttempt_ReturnSend(relay); /* if it was not sent yet */
    }
}

/* Logs that ATTEMPT decided what became of the early repeat. */
static void
S_log_decided(BsRelay *relay, const BsRelayAttempt *attempt, const char *cause)
{
    BsRelay_LogAttempt(relay, attempt, BS_EVENT_FAILURE,
                       "early_repeat_decided", cause);
}

/* Records that the first attempt is cancelled as its early repeat goes on. */
static void
S_note_replaced(BsRelay *relay)
{
    BsGate *gate = relay->gate;
    for (size_t i = 0; i < BS_RELAY_HELD_MAX; i++) {
        BsRelayAttempt *held = &relay->held[i];
        if (held->target != NULL && held->hedged) {
            S_observe(relay, held);
            BsHedges_NoteReplaced(gate->hedges, held->target->hash,
                                  held->target->last_received_ms,
                                  BsClock_NowMs(gate->clock));
        }
    }
}

void
BsHedge_NoteAnswer(BsRelay *relay, const BsRelayAttempt *attempt)
{
    if (!relay->hedge.open) {
        return;
    }
    if (attempt->early) {
        S_note_replaced(relay);
    }
    S_log_decided(relay, attempt,
                  attempt->early ? "early_repeat_won" : "early_repeat_lost");
    S_close(relay, attempt->early ? "won" : "lost");
}

void
BsHedge_NoteFailed(BsRelay *relay, const BsRelayAttempt *attempt)
{
    if (relay->hedge.open && attempt->early) {
        S_log_decided(relay, attempt, "early_repeat_failed");
        S_close(relay, "failed");
    }
}

void
BsHedge_NoteEnd(BsRelay *relay)
{
    if (relay->hedge.open) {
        S_close(relay, "lost");
    }
}

bool
BsHedge_HasOther(const BsRelay *relay)
{
    return relay->attempt.early && BsHeld_HasAny(relay);
}

/* --------------------------------------------------- time for engines -- */

static bool
S_is_reachable(const BsRelayAttempt *attempt)
{
    return attempt->target->last_received_ms > attempt->sent_ms;
}

/* Returns the attempt that was repeated early, if it is still held, else
   NULL. */
static const BsRelayAttempt *
S_find_first(const BsRelay *relay)
{
    for (size_t i = 0; i < BS_RELAY_HELD_MAX; i++) {
        if (relay->held[i].target != NULL && relay->held[i].hedged) {
            return &relay->held[i];
        }
    }
    return NULL;
}

void
BsHedge_OnHoldEnd(BsRelay *relay)
{
    const BsRelayAttempt *first =
        relay->attempt.early ? S_find_first(relay) : NULL;
    if (first != NULL && BsHedge_KeepsFirst(S_is_reachable(first),
                                            S_is_reachable(&relay->attempt))) {
        S_log_decided(relay, &relay->attempt, "early_repeat_lost");
        S_close(relay, "lost");
        BsAttempt_DropCurrent(relay);
        BsHeld_FallBack(relay);
        return;
    }
    if (first != NULL) {
        S_note_replaced(relay);
    }
    BsHeld_DropAll(relay, "replaced");
    BsRelay_Schedule(relay);
}
