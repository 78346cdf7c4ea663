/* gw_relay.c - a caller's request: admission, queueing and its end. */
#include "gw_relay.h"

#include "gw_relayparts.h"
#include "queuepass.h"
#include "queuetimeout.h"

/* Time limit of a request until its route, or its caller, sets one. */
#define EXPIRES_DEFAULT_MS 30000

/* Least Retry-After: no slot is expected to be free sooner. */
#define RETRY_MIN_MS 300

/* Retry-After is lengthened at random by up to this fraction, so that callers
   do not retry at the same time. */
#define RETRY_SPREAD 0.5

/* An account may exceed its limit while less than this fraction of the slots
   is taken; the rest can absorb a burst of other accounts. */
#define SPARE_OCCUPANCY_MAX 0.7

/* Slots of an upstream that less urgent requests leave to more urgent ones.
   Those find a slot at once, and as a third of the batch is free, their
   prompts are processed soon. */
#define YIELD_SLOTS 2

/* Retry-After of a request of which a part of the prompt is blocked: about how
   long crashes and progress take to reach all instances. */
#define PART_RETRY_MS 2000

#define MS_PER_S 1000.0

/* --------------------------------------------------------------- end -- */

static void
S_free(BsRelay *relay)
{
    BsAttempt_ReturnSend(relay);
    g_hash_table_remove(relay->gate->relays, relay);
    ev_timer_stop(relay->gate->loop, &relay->timer);
    BsRelay_LeaveQueue(relay);
    BsAnswer_Clear(&relay->answer);
    for (size_t i = 0; i < relay->excluded_count; i++) {
        g_free(relay->excluded[i]);
    }
    g_array_free(relay->info.parts, TRUE);
    g_array_free(relay->shared, TRUE);
    BsCatalog_Unref(relay->catalog);
    g_free(relay->id);
    g_free(relay);
}

static bool
S_is_content_blocked(const BsRelay *relay)
{
    const BsGate *gate = relay->gate;
    return BsCrashList_IsBlocked(gate->crash_list, relay->content,
                                 BsClock_NowMs(gate->clock));
}

BsSharedParts
BsRelay_SharedParts(const BsRelay *relay)
{
    BsSharedParts shared = {
        .parts = (const uint64_t *)(const void *)relay->shared->data,
        .count = relay->shared->len,
    };
    return shared;
}

bool
BsRelay_IsBlocked(const BsRelay *relay)
{
    const BsGate *gate = relay->gate;
    BsSharedParts shared = BsRelay_SharedParts(relay);
    return S_is_content_blocked(relay) ||
           BsCrashParts_IsBlocked(gate->crash_parts, &shared,
                                  BsClock_NowMs(gate->clock));
}

void
BsRelay_LeaveQueue(BsRelay *relay)
{
    if (relay->queue_entry != NULL) {
        BsHedges_LeaveQueue(relay->gate->hedges, relay->service->name);
        BsWaitQueue_Remove(relay->gate->queue, relay->queue_entry);
        relay->queue_entry = NULL;
    }
}

void
BsRelay_Finish(BsRelay *relay, const char *outcome)
{
    BsHedge_NoteEnd(relay);
    BsAttempt_AbandonAll(relay);
    BsRelay_Count(relay, outcome);
    S_free(relay);
}

/* Refunds its cost to the account of a request that did not run. */
static void
S_refund_quota(BsRelay *relay)
{
    if (relay->account != NULL && relay->cost > 0 && !relay->may_have_run) {
        BsQuotas_GiveBack(relay->gate->quotas, relay->account, relay->cost);
    }
}

static void
S_count_cut_answer(const BsGate *gate, const char *cause)
{
    char *name = g_strdup_printf("answers_cut_total{cause=\"%s\"}", cause);
    BsCounters_Add(gate->counters, name, 1);
    g_free(name);
}

void
BsRelay_Refuse(BsRelay *relay, uint32_t status, const char *cause,
               int64_t retry_ms)
{
    GString *headers = g_string_new(NULL);
    bool cut = relay->inbound != NULL && relay->answer.started;
    BsRelay_Log(relay, BS_EVENT_FAILURE, cut ? "answer_cut" : "refused",
                cause);
    BsAttempt_AbandonAll(relay);
    S_refund_quota(relay);
    if (relay->id[0] != '\0') {
        relay->gate->wire->write_request_id(relay->id, headers);
    }
    if (retry_ms > 0) {
        double spread =
            g_rand_double_range(relay->gate->random, 1, 1 + RETRY_SPREAD);
        double retry_s =
            (double)MAX(retry_ms, RETRY_MIN_MS) * spread / MS_PER_S;
        char text[G_ASCII_DTOSTR_BUF_SIZE];
        g_ascii_formatd(text, sizeof(text), "%.2f", retry_s);
        g_string_append_printf(headers, "Retry-After: %s\r\n", text);
    }
    if (cut) {
        S_count_cut_answer(relay->gate, cause);
        BsInbound_Reset(relay->inbound);
    }
    else if (relay->inbound != NULL) {
        BsInbound_Answer(relay->inbound, status, headers->str, "", 0);
    }
    g_string_free(headers, TRUE);
    BsRelay_Finish(relay, cause);
}

/* ------------------------------------------------------------ timers -- */

/* Returns after how many milliseconds the caller of a request that got no slot
   should retry. */
static int64_t
S_retry_after_ms(const BsRelay *relay, int64_t now_ms)
{
    BsTargetQuery query;
    BsAttempt_FillQuery(relay, &query);
    int64_t requested_pause_ms =
        BsTargets_RequestedPauseMs(relay->gate->targets, &query, now_ms);
    int64_t retry_after_ms = BsOverload_Refuse(
        &relay->gate->overload, relay->expires_ms - now_ms, now_ms);
    return MAX(retry_after_ms, requested_pause_ms);
}

/* Extends the time in the queue of a request that was not sent while all
   upstreams are silent.  Returns whether it did. */
static bool
S_waits_for_silent(BsRelay *relay, int64_t now_ms)
{
    BsTargetQuery query;
    BsQueueTimeout wait = {.arrived_ms = relay->arrived_ms,
                           .expires_ms = relay->expires_ms};
    int64_t until_ms = BsQueueTimeout_SilentUntilMs(&wait);
    BsAttempt_FillQuery(relay, &query);
    if (relay->may_have_run || now_ms >= until_ms ||
        !BsTargets_AreAllSilent(relay->gate->targets, &query, now_ms)) {
        return false;
    }
    relay->queue_until_ms = MIN(until_ms, now_ms + BS_RELAY_SILENCE_CHECK_MS);
    return true;
}

static void
S_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsRelay *relay = watcher->data;
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    if (now_ms >= relay->expires_ms) {
        bool ran = relay->may_have_run || relay->attempt.sent_ms > 0;
        relay->may_have_run = ran;
        BsRelay_Refuse(relay, ran ? 504 : 503, "expired", ran ? 0 : 1);
    }
    else if (relay->queue_entry != NULL && now_ms >= relay->queue_until_ms &&
             !S_waits_for_silent(relay, now_ms)) {
        int64_t retry_after_ms = S_retry_after_ms(relay, now_ms);
        BsRelay_NoteWait(relay, relay->route->target_ms);
        BsRelay_Refuse(relay, relay->may_have_run ? 502 : 503, "no_place",
                       relay->may_have_run ? 0 : retry_after_ms);
    }
    else if (now_ms >= BsHeld_LimitMs(relay)) {
        BsHedge_OnHoldEnd(relay);
    }
    else if (now_ms >= BsHedge_DueMs(relay)) {
        BsHedge_OnDue(relay);
    }
    else if (now_ms >= BsTakeUp_DueMs(relay)) {
        BsTakeUp_OnTimeout(relay);
    }
    else if (now_ms >= BsAttempt_TimeoutMs(relay)) {
        BsAttempt_OnTimeout(relay);
    }
    else {
        BsRelay_Schedule(relay);
    }
}

void
BsRelay_Schedule(BsRelay *relay)
{
    struct ev_loop *loop = relay->gate->loop;
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    int64_t next_ms = MIN(relay->expires_ms, BsAttempt_TimeoutMs(relay));
    next_ms = MIN(next_ms, BsHeld_LimitMs(relay));
    next_ms = MIN(next_ms, BsTakeUp_DueMs(relay));
    next_ms = MIN(next_ms, BsHedge_DueMs(relay));
    if (relay->queue_entry != NULL) {
        next_ms = MIN(next_ms, relay->queue_until_ms);
    }
    ev_timer_stop(loop, &relay->timer);
    ev_timer_set(&relay->timer, (double)MAX(next_ms - now_ms, 1) / MS_PER_S,
                 0);
    ev_timer_start(loop, &relay->timer);
}

/* ------------------------------------------------------------- queue -- */

/* Returns the latest time at which the request can be sent and still meet its
   objective. */
static int64_t
S_latest_send_ms(const BsRelay *relay)
{
    int64_t first_ms =
        BsPredictors_TypicalMs(relay->gate->predictors, relay->service->name);
    return relay->arrived_ms + relay->route->target_ms - first_ms;
}

static uint32_t
S_account_rank(const BsRelay *relay)
{
    bool has_rank = relay->account != NULL && relay->account->has_rank;
    return has_rank ? relay->account->rank : 0;
}

static BsYieldRank
S_yield_rank(const BsRelay *relay)
{
    BsYieldRank rank = {.account = S_account_rank(relay),
                        .route = relay->route->rank};
    return rank;
}

void
BsRelay_NoteWait(const BsRelay *relay, int64_t waited_ms)
{
    BsYields_NoteWait(relay->gate->yields, relay->service->name,
                      S_yield_rank(relay), waited_ms, relay->route->target_ms,
                      BsClock_NowMs(relay->gate->clock));
}

/* Returns how many slots of an upstream the request must leave to more urgent
   ones while SHARE of the requests of its rank may start: none once the caller
   has a part of the answer. */
static uint32_t
S_reserved_slots_at(const BsRelay *relay, double share)
{
    if (BsTakeUp_HasPart(relay)) {
        return 0;
    }
    return relay->yield_draw >= share ? YIELD_SLOTS : 0;
}

/* As S_reserved_slots_at(), at the present share. */
static uint32_t
S_reserved_slots(const BsRelay *relay)
{
    if (BsTakeUp_HasPart(relay)) {
        return 0;
    }
    double share =
        BsYields_Share(relay->gate->yields, relay->service->name,
                       S_yield_rank(relay), BsClock_NowMs(relay->gate->clock));
    return S_reserved_slots_at(relay, share);
}

/* As BsTargets_Choose(), for the request; RESERVED_SLOTS slots of the target
   stay free for more urgent requests. */
static BsTarget *
S_choose_target(BsRelay *relay, uint32_t reserved_slots,
                BsTargetVerdict *verdict)
{
    BsTargetQuery query;
    BsAttempt_FillQuery(relay, &query);
    query.reserved_slots = reserved_slots;
    return BsTargets_Choose(relay->gate->targets, &query,
                            BsClock_NowMs(relay->gate->clock), verdict);
}

/* Returns until when the request may be queued. */
static int64_t
S_queue_until_ms(const BsRelay *relay, int64_t now_ms)
{
    if (BsHeld_HasAny(relay)) {
        return relay->expires_ms; /* its answer may come meanwhile */
    }
    BsQueueTimeout wait = {
        .arrived_ms = relay->arrived_ms,
        .expires_ms = relay->expires_ms,
        .objective_ms = relay->route->target_ms,
        .in_time_ms = S_latest_send_ms(relay),
        .leaves_ms = MAX(relay->last_event_ms, relay->arrived_ms) +
                     BsAttempt_CallerTimeoutMs(relay->route),
        .overload = BsOverload_Lasts(&relay->gate->overload, now_ms),
        .sent = relay->may_have_run,
        .started = BsTakeUp_HasPart(relay),
    };
    return BsQueueTimeout_UntilMs(&wait, now_ms);
}

void
BsRelay_RenewQueueTimeout(BsRelay *relay)
{
    if (relay->queue_entry != NULL) {
        int64_t now_ms = BsClock_NowMs(relay->gate->clock);
        relay->queue_until_ms = S_queue_until_ms(relay, now_ms);
        BsRelay_Schedule(relay);
    }
}

/* Returns for how long the limits of all upstreams that may get the request
   keep it from being sent; 0: not at all. */
static int64_t
S_limit_wait_ms(const BsRelay *relay, int64_t now_ms)
{
    BsTargetQuery query;
    BsAttempt_FillQuery(relay, &query);
    return BsTargets_LimitWaitMs(relay->gate->targets, &query, now_ms);
}

/* Refuses a request that the limits of all upstreams hold back for longer than
   it may be queued.  Its caller should not come back before the limits allow a
   request.  Returns false if it can be queued. */
static bool
S_refuse_limited(BsRelay *relay)
{
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    int64_t wait_ms = S_limit_wait_ms(relay, now_ms);
    if (wait_ms <= S_queue_until_ms(relay, now_ms) - now_ms) {
        return false;
    }
    if (BsHeld_FallBack(relay)) {
        return true;
    }
    int64_t retry_after_ms = S_retry_after_ms(relay, now_ms);
    if (wait_ms != INT64_MAX) {
        retry_after_ms = MAX(retry_after_ms, wait_ms);
    }
    BsCounters_Add(relay->gate->counters, "requests_limited_total", 1);
    BsRelay_Refuse(relay, relay->may_have_run ? 502 : 503, "limited",
                   relay->may_have_run ? 0 : retry_after_ms);
    return true;
}

static void
S_enqueue(BsRelay *relay)
{
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    bool limited = S_limit_wait_ms(relay, now_ms) > 0;
    BsWaitQueueKey key = {
        .account_rank = S_account_rank(relay),
        .route_rank = relay->route->rank,
        .since_ms = relay->arrived_ms,
        .in_time_ms = S_latest_send_ms(relay),
        .started = BsTakeUp_HasPart(relay),
    };
    relay->queue_until_ms = S_queue_until_ms(relay, now_ms);
    relay->queue_entry = BsWaitQueue_Add(relay->gate->queue, &key, relay);
    BsHedges_EnterQueue(relay->gate->hedges, relay->service->name);
    BsRelay_Log(relay, BS_EVENT_DETAIL, "waits", limited ? "limited" : NULL);
    BsRelay_Schedule(relay);
}

/* Refuses a request of which a part of the prompt is blocked.  It may be a
   sound one, which is served when the block has ended. */
static void
S_refuse_blocked_part(BsRelay *relay)
{
    BsRelay_Refuse(relay, relay->may_have_run ? 502 : 503,
                   "part_breaks_upstreams",
                   relay->may_have_run ? 0 : PART_RETRY_MS);
}

/* Refuses a request that is blocked.  When its content is, other attempts of
   its caller have run, so the answer must not mean "not run". */
static void
S_refuse_blocked(BsRelay *relay)
{
    if (BsHeld_FallBack(relay)) {
        return;
    }
    if (!S_is_content_blocked(relay)) {
        S_refuse_blocked_part(relay);
        return;
    }
    S_refund_quota(relay);
    relay->may_have_run = true;
    BsRelay_Refuse(relay, 502, "breaks_upstreams", 0);
}

/* Returns whether the instance stops before the request, which has not been
   sent yet, can be answered. */
static bool
S_is_too_late(const BsRelay *relay)
{
    const BsGate *gate = relay->gate;
    if (!gate->stopping || relay->may_have_run || relay->answer.started) {
        return false;
    }
    int64_t now_ms = BsClock_NowMs(gate->clock);
    const char *route = relay->route->name;
    BsStopAdmit request = {
        .may_repeat = BsCatalogRoute_MayRepeat(relay->route),
        .before_stop = relay->arrived_ms < gate->stop_began_ms,
        .stop_ms = gate->stop_end_ms - gate->stop_began_ms,
        .left_ms = gate->stop_end_ms - now_ms,
        .expires_ms = relay->expires_ms - now_ms,
        .usual_ms = BsAnswerTimes_UsualMs(gate->answer_times, route),
        .longest_ms = BsAnswerTimes_LongestMs(gate->answer_times, route),
    };
    return !BsStopAdmit_Admits(&request);
}

/* Refuses a request that must not be sent now.  Returns false if it may be. */
static bool
S_refuse_unsendable(BsRelay *relay)
{
    if (BsRelay_IsBlocked(relay)) {
        S_refuse_blocked(relay);
        return true;
    }
    if (S_is_too_late(relay)) {
        BsRelay_Refuse(relay, 503, "stopping", 1);
        return true;
    }
    return false;
}

void
BsRelay_Dispatch(BsRelay *relay)
{
    BsTargetVerdict verdict;
    if (S_refuse_unsendable(relay)) {
        return;
    }
    BsTarget *target =
        S_choose_target(relay, S_reserved_slots(relay), &verdict);
    if (target != NULL) {
        BsAttempt_Start(relay, target);
    }
    else if (verdict == BS_TARGET_NONE && !BsHeld_FallBack(relay)) {
        BsRelay_Refuse(relay, relay->may_have_run ? 502 : 503,
                       BsTakeUp_CauseWithoutUpstream(relay),
                       relay->may_have_run ? 0 : 1);
    }
    else if (verdict != BS_TARGET_NONE && !S_refuse_limited(relay)) {
        S_enqueue(relay);
    }
}

/* Sends a queued request if an upstream has a free slot for it. */
static void
S_send_queued(BsRelay *relay, BsQueuePass *pass)
{
    BsTargetVerdict verdict;
    if (S_refuse_unsendable(relay)) {
        return;
    }
    BsQueuePassKind kind = {
        .route = relay->route,
        .service = relay->service,
        .account = relay->account,
        .reserved_slots = S_reserved_slots(relay),
        .excludes = relay->excluded_count > 0 || relay->began.hash != 0,
    };
    if (!BsQueuePass_MayFindSlot(pass, &kind)) {
        return;
    }
    BsTarget *target = S_choose_target(relay, kind.reserved_slots, &verdict);
    if (target == NULL) {
        BsQueuePass_NoteNoSlot(pass, &kind);
        return;
    }
    BsRelay_LeaveQueue(relay);
    BsAttempt_Start(relay, target);
}

void
BsRelay_ServeQueue(BsGate *gate)
{
    if (BsWaitQueue_Length(gate->queue) == 0) {
        return;
    }
    BsQueuePass pass;
    BsQueuePass_Begin(&pass);
    GPtrArray *order =
        BsWaitQueue_Order(gate->queue, BsClock_NowMs(gate->clock));
    for (guint i = 0; i < order->len; i++) {
        S_send_queued(order->pdata[i], &pass);
    }
    g_ptr_array_free(order, TRUE);
}

/* ----------------------------------------------------------- arrival -- */

/* Returns the hashes (uint64_t) of those of PARTS that other requests may
   have: not the last one, and BS_CRASH_PARTS_MAX at most. */
static GArray *
S_shared_parts(const GArray *parts)
{
    GArray *shared = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i + 1 < parts->len && i < BS_CRASH_PARTS_MAX; i++) {
        g_array_append_val(shared, g_array_index(parts, BsPromptPart, i).hash);
    }
    return shared;
}

static BsRelay *
S_create(BsGate *gate, BsInbound *inbound, const BsHttpHead *head,
         const GString *body)
{
    BsRelay *relay = g_new0(BsRelay, 1);
    relay->gate = gate;
    relay->inbound = inbound;
    relay->head = head;
    relay->body = body;
    relay->info.parts = g_array_new(FALSE, FALSE, sizeof(BsPromptPart));
    gate->wire->read_request(head, &relay->info);
    relay->shared = S_shared_parts(relay->info.parts);
    relay->id = g_strdup(relay->info.id == NULL ? "" : relay->info.id);
    relay->arrived_ms = BsInbound_StartedMs(inbound);
    relay->expires_ms = relay->arrived_ms + EXPIRES_DEFAULT_MS;
    relay->yield_draw = g_rand_double(gate->random);
    ev_timer_init(&relay->timer, S_on_timer, 0, 0);
    relay->timer.data = relay;
    BsInbound_SetUser(inbound, relay);
    g_hash_table_add(gate->relays, relay);
    return relay;
}

static uint64_t
S_hash_session(const BsRelay *relay)
{
    guint count = relay->info.parts->len;
    if (count == 0) {
        return 0;
    }
    return g_array_index(relay->info.parts, BsPromptPart, count - 1).hash;
}

/* Sets the members that depend on the route.  Returns whether the route has a
   service. */
static bool
S_set_route(BsRelay *relay, const BsCatalogRoute *route)
{
    uint64_t seed = BsTakeUp_ServiceSeed(relay);
    int64_t allowed_ms = route->timeout_ms;
    relay->route = route;
    relay->service = BsCatalog_FindService(
        relay->catalog, BsCatalogRoute_PickService(route, seed));
    if (relay->info.deadline_ms >= 0) {
        allowed_ms = MIN(allowed_ms, relay->info.deadline_ms);
    }
    relay->expires_ms = relay->arrived_ms + allowed_ms;
    relay->content = BsCrashList_HashContent(
        relay->account == NULL ? NULL : relay->account->name,
        relay->head->target, relay->body->str, relay->body->len);
    relay->session = S_hash_session(relay);
    return relay->service != NULL;
}

/* Returns whether one more request can run without delaying others. */
static bool
S_has_spare_slots(const BsRelay *relay)
{
    uint32_t slots;
    return BsWaitQueue_Length(relay->gate->queue) == 0 &&
           BsTargets_Occupancy(relay->gate->targets, relay->service->name,
                               BsClock_NowMs(relay->gate->clock),
                               &slots) < SPARE_OCCUPANCY_MAX;
}

/* BsQuotas_TakeRanked() or BsQuotas_PeekRanked(). */
typedef int64_t (*BsQuotaFunc)(BsQuotas *quotas,
                               const BsCatalogAccount *account,
                               const BsQuotaRequest *request, int64_t now_ms);

/* Returns after how long ASK admits the request, whose account is known. */
static int64_t
S_ask_quota(const BsRelay *relay, uint64_t cost, BsQuotaFunc ask)
{
    int64_t now_ms = BsClock_NowMs(relay->gate->clock);
    BsQuotas *quotas = relay->gate->quotas;
    BsQuotaRequest request = {.cost = cost, .rank = relay->route->rank};
    int64_t wait_ms = ask(quotas, relay->account, &request, now_ms);
    /* Occupancy is checked only for accounts over their limit, as the check
       goes through all upstreams of the service. */
    if (wait_ms > 0 && S_has_spare_slots(relay)) {
        request.tolerant = true;
        wait_ms = ask(quotas, relay->account, &request, now_ms);
    }
    return wait_ms;
}

static uint64_t
S_quota_cost(const BsRelay *relay)
{
    uint64_t tokens =
        (uint64_t)relay->info.prompt_tokens + relay->info.output_tokens;
    return BsQuotas_Cost(relay->account, relay->info.has_tokens, tokens);
}

/* Charges the request's cost to its account.  Returns false, and in WAIT_MS
   after how long it would be admitted, when the account is over its limit. */
static bool
S_take_quota(BsRelay *relay, int64_t *wait_ms)
{
    if (relay->account == NULL) {
        return true;
    }
    uint64_t cost = S_quota_cost(relay);
    *wait_ms = S_ask_quota(relay, cost, BsQuotas_TakeRanked);
    relay->cost = *wait_ms == 0 ? cost : 0;
    return *wait_ms == 0;
}

void
BsRelay_Forecast(const BsRelay *relay, BsRelayForecast *forecast)
{
    const BsGate *gate = relay->gate;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    forecast->quota_wait_ms =
        relay->account == NULL
            ? 0
            : S_ask_quota(relay, S_quota_cost(relay), BsQuotas_PeekRanked);
    forecast->too_late = S_is_too_late(relay);
    forecast->yield_share = BsYields_Peek(gate->yields, relay->service->name,
                                          S_yield_rank(relay), now_ms);
    forecast->reserved_slots =
        S_reserved_slots_at(relay, forecast->yield_share);
    forecast->queue_ms = S_queue_until_ms(relay, now_ms) - now_ms;
}

/* Logs the quota state that led to the refusal. */
static void
S_log_quota(const BsRelay *relay)
{
    BsGate *gate = relay->gate;
    const BsCatalogAccount *account = relay->account;
    if (BsEventLog_Begin(gate->log, BS_EVENT_DETAIL, "over_limit")) {
        BsEventLog_Text(gate->log, "request", relay->id);
        BsEventLog_Text(gate->log, "account", account->name);
        BsEventLog_Number(gate->log, "left",
                          BsQuotas_Left(gate->quotas, account));
        BsEventLog_Number(gate->log, "per_s", (int64_t)account->per_s);
        BsEventLog_Number(gate->log, "burst", (int64_t)account->burst);
        BsEventLog_Number(gate->log, "rank", relay->route->rank);
        BsEventLog_Number(gate->log, "share_percent",
                          (int64_t)(BsQuotas_Share(gate->quotas) * 100));
        BsEventLog_End(gate->log);
    }
}

/* Refuses a new request, or admits it and sends or queues it. */
static void
S_admit(BsRelay *relay)
{
    BsGate *gate = relay->gate;
    int64_t wait_ms = 0;
    if (gate->catalog == NULL || gate->refusing) {
        BsRelay_Refuse(relay, 503, gate->refusing ? "stopping" : "no_catalog",
                       1);
        return;
    }
    relay->catalog = BsCatalog_Ref(gate->catalog);
    const BsCatalogRoute *route = BsCatalog_FindRoute(
        relay->catalog, relay->head->host, relay->head->target);
    if (route == NULL) {
        BsRelay_Refuse(relay, 404, "no_route", 0);
        return;
    }
    if (!route->keyless) {
        relay->account =
            relay->info.key == NULL
                ? NULL
                : BsCatalog_FindKey(relay->catalog, relay->info.key);
        if (relay->account == NULL) {
            relay->route = route;
            BsRelay_Refuse(relay, 401, "unknown_key", 0);
            return;
        }
    }
    if (!S_set_route(relay, route)) {
        BsRelay_Refuse(relay, 503, "no_service", 1);
        return;
    }
    if (!S_take_quota(relay, &wait_ms)) {
        S_log_quota(relay);
        BsRelay_Refuse(relay, 429, "account_limit", wait_ms);
        return;
    }
    BsRetryBudget_AddRequest(gate->retries, relay->service->name,
                             BsClock_NowMs(gate->clock));
    BsHedges_AddRequest(gate->hedges, relay->service->name);
    BsTakeUp_Dispatch(relay);
}

void
BsRelay_EndAll(BsGate *gate)
{
    gate->refusing = true;
    GList *relays = g_hash_table_get_keys(gate->relays);
    for (GList *node = relays; node != NULL; node = node->next) {
        BsRelay *relay = node->data;
        bool ran = relay->may_have_run || relay->attempt.sent_ms > 0;
        relay->may_have_run = ran;
        BsRelay_Refuse(relay, ran ? 502 : 503, "stopped", ran ? 0 : 1);
    }
    g_list_free(relays);
}

static void
S_on_request(BsInbound *inbound, const BsHttpHead *head, const GString *body,
             void *context)
{
    S_admit(S_create(context, inbound, head, body));
}

/* The caller disconnected.  Repeatable requests and streams are cancelled; an
   unsafe request that was sent runs on, as it must not be lost. */
static void
S_on_disconnect(BsInbound *inbound, void *context)
{
    (void)context;
    BsRelay *relay = BsInbound_User(inbound);
    if (relay == NULL) {
        return; /* refused before it was read whole */
    }
    relay->inbound = NULL;
    relay->head = NULL;
    relay->body = NULL;
    if (relay->attempt.target != NULL && relay->attempt.sent_ms > 0 &&
        relay->route->kind == BS_ROUTE_UNSAFE) {
        return;
    }
    BsAttempt_AbandonAll(relay);
    BsRelay_Log(relay, BS_EVENT_DETAIL, "cancelled", "caller_gone");
    S_refund_quota(relay);
    BsRelay_Finish(relay, "caller_gone");
}

static void
S_on_drained(BsInbound *inbound, void *context)
{
    (void)context;
    BsRelay *relay = BsInbound_User(inbound);
    if (relay != NULL && relay->attempt.call != NULL) {
        BsOutbound_SetReading(relay->attempt.call, true);
        relay->attempt.paused = false;
        relay->attempt.resumed_ms = BsClock_NowMs(relay->gate->clock);
        BsRelay_Schedule(relay);
    }
}

static void
S_on_refused(uint32_t status, void *context)
{
    BsGate *gate = context;
    char *name =
        g_strdup_printf("refused_at_door_total{status=\"%u\"}", status);
    BsCounters_Add(gate->counters, name, 1);
    g_free(name);
}

const BsInboundApp bs_relay_app = {
    .on_request = S_on_request,
    .on_disconnect = S_on_disconnect,
    .on_drained = S_on_drained,
    .on_refused = S_on_refused,
};
