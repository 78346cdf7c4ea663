/* owner.c - queues work and dispatches it to owned upstreams. */
#include "owner.h"

#include "baseline.h"
#include "ownerstate.h"
#include "poison.h"
#include "run.h"

#include <string.h>

/* Rank of work whose tier the sheet does not list. */
#define UNKNOWN_RANK BS_RANK_MAX

/* Upper bound of the retry-after time that a caller is given. */
#define RETRY_AFTER_MAX_S 60

#define MS_PER_S 1000

BsOwner *
BsOwner_Create(BsCore *core)
{
    BsOwner *owner = g_new0(BsOwner, 1);
    owner->core = core;
    owner->works = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)BsWork_Destroy);
    owner->dispatched = g_hash_table_new(g_direct_hash, g_direct_equal);
    owner->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)BsPool_Destroy);
    owner->upstreams = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL, (GDestroyNotify)BsUpstream_Destroy);
    owner->fences = BsFences_Create();
    return owner;
}

void
BsOwner_Destroy(BsOwner *owner)
{
    if (owner == NULL) {
        return;
    }
    g_hash_table_destroy(owner->pools);
    g_hash_table_destroy(owner->upstreams);
    g_hash_table_destroy(owner->dispatched);
    g_hash_table_destroy(owner->works);
    BsFences_Destroy(owner->fences);
    g_free(owner);
}

const BsColdStart *
BsOwner_ColdStart(const BsOwner *owner)
{
    return &BsSheet_Data(BsCore_Sheet(owner->core))->cold_start;
}

BsPool *
BsOwner_FindPool(const BsOwner *owner, const char *serves)
{
    return serves == NULL ? NULL : g_hash_table_lookup(owner->pools, serves);
}

static const BsTier *
S_find_tier(const BsOwner *owner, uint32_t rank)
{
    const BsSheetData *sheet = BsSheet_Data(BsCore_Sheet(owner->core));
    for (unsigned i = 0; i < sheet->tiers_count; i++) {
        if (sheet->tiers[i].rank == rank) {
            return &sheet->tiers[i];
        }
    }
    return NULL;
}

bool
BsOwner_Yields(const BsOwner *owner, uint32_t lower, uint32_t higher)
{
    const BsTier *low = S_find_tier(owner, lower);
    const BsTier *high = S_find_tier(owner, higher);
    return low != NULL && high != NULL &&
           BsSheet_Yields(BsCore_Sheet(owner->core), low->name, high->name);
}

bool
BsOwner_IsPrivileged(const BsOwner *owner, uint32_t rank)
{
    const BsTier *tier = S_find_tier(owner, rank);
    return tier != NULL &&
           BsSheet_IsYieldedTo(BsCore_Sheet(owner->core), tier->name);
}

static uint32_t
S_weight(const BsOwner *owner, const BsWork *work)
{
    const BsAccount *account = BsSheet_FindAccount(
        BsCore_Sheet(owner->core), BsWork_Request(work)->account);
    return account == NULL ? 1 : account->weight;
}

void
BsOwner_Enqueue(BsOwner *owner, BsWork *work)
{
    BsPool *pool = BsOwner_FindPool(owner, work->serves);
    work->queued_ms = BsCore_NowMs(owner->core);
    work->waiting = true;
    owner->queued++;
    owner->queued_bytes += work->body_bytes;
    BsQueue_Push(pool->queue, work, S_weight(owner, work));
}

void
BsOwner_Dequeue(BsOwner *owner, BsWork *work, bool dispatched)
{
    BsPool *pool = BsOwner_FindPool(owner, work->serves);
    work->waiting = false;
    owner->queued--;
    owner->queued_bytes -= work->body_bytes;
    if (work->queued != NULL) {
        BsQueue_Remove(pool->queue, work, dispatched);
    }
    else {
        g_ptr_array_remove(pool->aside, work);
    }
}

void
BsOwner_Answer(BsOwner *owner, BsWork *work, BsMessage *piece)
{
    const BsRequest *request = BsWork_Request(work);
    BsAnswer *answer = &piece->u.answer;
    piece->kind = BS_ANSWER;
    if (work->next_seq == 0) {
        answer->queued_ms =
            (uint64_t)(MAX(work->started_ms, work->arrived_ms) -
                       work->arrived_ms);
    }
    else if (answer->error == BS_ERR_NONE) {
        g_clear_pointer(&answer->content_type, g_free);
        answer->status = 0;
    }
    BsWork_NameVersion(work, answer);
    if (answer->final) {
        BsSpanScope_End(&work->span, owner->core, "owner",
                        request->request_id);
    }
    answer->seq = work->next_seq++;
    answer->attempt = request->attempt;
    answer->to_stage = request->from_stage;
    if (!request->idempotent) {
        BsRuns_Keep(owner->core->runs, work->request, piece);
    }
    BsCore_Send(owner->core, work->request->from,
                work->request->from_incarnation, piece);
}

void
BsOwner_Release(BsOwner *owner, BsWork *work)
{
    BsPool *pool = BsOwner_FindPool(owner, work->serves);
    BsUpstream *upstream = work->upstream;
    if (upstream == NULL) {
        return;
    }
    if (upstream->reserved == work) {
        upstream->reserved = NULL;
    }
    pool->running[work->rank]--;
    pool->ended_tokens += work->charged_tokens;
    g_hash_table_remove(owner->dispatched, GUINT_TO_POINTER(work->dispatch));
    BsUpstream_End(upstream, work);
}

static void
S_count_waste(BsOwner *owner, const char *cause, uint64_t tokens)
{
    char name[64];
    g_snprintf(name, sizeof(name), "wasted_prefill_tokens{cause=\"%s\"}",
               cause);
    BsCore_Count(owner->core, name, tokens);
}

void
BsOwner_Stop(BsOwner *owner, BsWork *work, BsErrorKind reason,
             const char *cause)
{
    BsMessage *cancel = BsMessage_Create(BS_UPSTREAM_CANCEL);
    cancel->u.cancel.request_id = g_strdup(BsWork_Request(work)->request_id);
    cancel->u.cancel.attempt = work->dispatch;
    cancel->u.cancel.reason = reason;
    S_count_waste(owner, cause, BsWork_WasteTokens(work));
    BsOwner_Release(owner, work);
    BsCore_Emit(owner->core, cancel);
}

/* Clears the reservations of upstreams for WORK. */
static void
S_clear_reservations(BsOwner *owner, const BsWork *work)
{
    const BsPool *pool = BsOwner_FindPool(owner, work->serves);
    for (guint i = 0; pool != NULL && i < pool->upstreams->len; i++) {
        BsUpstream *upstream = pool->upstreams->pdata[i];
        if (upstream->reserved == work) {
            upstream->reserved = NULL;
        }
    }
}

/* Removes WORK from its upstream or queue and destroys it. */
static void
S_remove_work(BsOwner *owner, BsWork *work)
{
    S_clear_reservations(owner, work);
    if (work->upstream != NULL) {
        BsOwner_Release(owner, work);
    }
    else if (work->waiting) {
        BsOwner_Dequeue(owner, work, false);
    }
    g_hash_table_remove(owner->works, work->id);
}

/* Returns what an answer with ERROR says of WORK, or NULL; g_free() it. */
static char *
S_describe(const BsPool *pool, const BsWork *work, BsErrorKind error)
{
    if (error != BS_ERR_TOO_LARGE || pool == NULL || pool->largest == NULL) {
        return NULL;
    }
    return g_strdup_printf("it is estimated at %u tokens; the largest "
                           "upstream, %s, takes %u",
                           work->cost_tokens, pool->largest,
                           pool->largest_tokens);
}

void
BsOwner_GiveBack(BsOwner *owner, BsWork *work, BsErrorKind error)
{
    const BsPool *pool = BsOwner_FindPool(owner, work->serves);
    int64_t wait_ms = pool == NULL ? 0 : BsPool_WaitMs(pool, work->rank);
    BsMessage *answer = BsCore_CreateError(
        BS_ANSWER, BsWork_Request(work)->request_id, 0, error,
        work->dispatch == 0 ? BS_OUTCOME_NOT_RUN : BS_OUTCOME_UNKNOWN);
    answer->u.answer.retry_after_s =
        (uint32_t)CLAMP(wait_ms / MS_PER_S + 1, 1, RETRY_AFTER_MAX_S);
    answer->u.answer.detail = S_describe(pool, work, error);
    BsOwner_Answer(owner, work, answer);
    S_remove_work(owner, work);
}

static void
S_send_accept(BsOwner *owner, const BsMessage *forward)
{
    BsMessage *accept = BsMessage_Create(BS_ACCEPT);
    accept->u.accept.request_id = g_strdup(forward->u.request.request_id);
    accept->u.accept.attempt = forward->u.request.attempt;
    accept->u.accept.to_stage = forward->u.request.from_stage;
    BsCore_Send(owner->core, forward->from, forward->from_incarnation, accept);
}

static uint32_t
S_rank(const BsOwner *owner, const BsRequest *request)
{
    const BsTier *tier =
        BsSheet_FindTier(BsCore_Sheet(owner->core), request->tier);
    return tier == NULL ? UNKNOWN_RANK : tier->rank;
}

/* Dispatches WORK at once to the upstream that the baseline policy picks. */
static void
S_dispatch_baseline(BsOwner *owner, BsWork *work)
{
    BsCore *core = owner->core;
    BsPool *pool = BsOwner_FindPool(owner, work->serves);
    BsUpstream *upstream = pool == NULL
                               ? NULL
                               : BsBaseline_Pick(pool, core->config.policy,
                                                 core->random, &owner->turn);
    if (upstream == NULL) {
        BsOwner_GiveBack(owner, work, BS_ERR_NO_UPSTREAM);
        return;
    }
    BsOwner_Enqueue(owner, work);
    BsOwner_Dispatch(owner, pool, work, upstream);
}

static void
S_admit_forward(BsOwner *owner, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    BsWork *work = BsWork_Create(message, S_rank(owner, request),
                                 BsCore_NowMs(owner->core));
    BsSpanScope_Begin(&work->span, owner->core, &work->request->u.request);
    g_hash_table_insert(owner->works, work->id, work);
    BsOwner_RefreshPools(owner);
    if (owner->core->config.policy != BS_POLICY_AFFINITY) {
        S_dispatch_baseline(owner, work);
        return;
    }
    BsErrorKind error = BsOwner_Admit(owner, work);
    if (error != BS_ERR_NONE) {
        BsCore_Count(owner->core, "refused_on_arrival", 1);
        BsOwner_GiveBack(owner, work, error);
        return;
    }
    BsOwner_Enqueue(owner, work);
    BsOwner_DispatchAll(owner);
}

void
BsOwner_OnForward(BsOwner *owner, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (request->request_id == NULL || BsRequest_Serves(request) == NULL ||
        BsCore_Sheet(owner->core) == NULL) {
        BsCore_Count(owner->core, "peer_messages_dropped", 1);
        return;
    }
    char *id = g_strdup_printf("%s/%u", request->request_id, request->attempt);
    bool known = g_hash_table_contains(owner->works, id);
    bool fenced = !known && BsFences_Has(owner->fences, id);
    g_free(id);
    if (fenced) {
        BsCore_Count(owner->core, "forwards_fenced", 1);
        return;
    }
    S_send_accept(owner, message);
    if (!known) {
        S_admit_forward(owner, message);
    }
}

/* Returns the running work that ANSWER belongs to, or NULL. */
static BsWork *
S_find_dispatched(const BsOwner *owner, const BsAnswer *answer)
{
    BsWork *work = g_hash_table_lookup(owner->dispatched,
                                       GUINT_TO_POINTER(answer->attempt));
    return work != NULL && g_strcmp0(answer->request_id,
                                     BsWork_Request(work)->request_id) == 0
               ? work
               : NULL;
}

static void
S_finish(BsOwner *owner, BsWork *work, const BsAnswer *answer)
{
    const BsRequest *request = BsWork_Request(work);
    if (answer->crashed) {
        BsPoison_OnCrash(owner->core->poison, request);
    }
    else if (answer->error == BS_ERR_NONE) {
        BsPoison_OnFinish(owner->core->poison, request);
    }
    if (answer->error != BS_ERR_NONE) {
        S_count_waste(owner, "retried", BsWork_WasteTokens(work));
    }
    S_remove_work(owner, work);
    BsOwner_DispatchAll(owner);
}

/* Counts UPSTREAM if its warmth changed from BEFORE to cold. */
static void
S_count_cold(BsOwner *owner, const BsUpstream *upstream, BsWarmth before)
{
    if (before != BS_WARMTH_COLD && upstream->warmth == BS_WARMTH_COLD) {
        BsCore_Count(owner->core, "upstreams_turned_cold", 1);
    }
}

void
BsOwner_OnUpstreamAnswer(BsOwner *owner, const BsMessage *message)
{
    const BsAnswer *answer = &message->u.answer;
    BsWork *work = S_find_dispatched(owner, answer);
    if (work == NULL) {
        BsCore_Count(owner->core, "answers_dropped", 1);
        return;
    }
    if (BsOwner_RejectVersion(owner, work, answer)) {
        return;
    }
    if (work->first_ms == 0 && answer->error == BS_ERR_NONE &&
        work->upstream->hits_seen &&
        answer->cached_tokens < work->cached_tokens) {
        S_count_waste(owner, "redone",
                      work->cached_tokens - answer->cached_tokens);
    }
    BsUpstream *upstream = work->upstream;
    BsWarmth warmth = upstream->warmth;
    BsUpstream_OnPiece(upstream, work, answer, BsCore_NowMs(owner->core));
    S_count_cold(owner, upstream, warmth);
    if (BsWork_Request(work)->stream) {
        work->events += BsEvents_Count(answer->data);
        BsWork_BindVersion(work);
    }
    BsOwner_Answer(owner, work, BsMessage_Copy(message));
    if (answer->final) {
        S_finish(owner, work, answer);
    }
}

void
BsOwner_OnReport(BsOwner *owner, const BsMessage *message)
{
    const BsReport *report = &message->u.report;
    BsUpstream *upstream =
        report->upstream == NULL
            ? NULL
            : g_hash_table_lookup(owner->upstreams, report->upstream);
    BsCore_Count(owner->core, "reports", 1);
    if (upstream != NULL) {
        BsWarmth warmth = upstream->warmth;
        BsUpstream_OnReport(upstream, report, BsCore_NowMs(owner->core));
        BsOwner_LearnVersions(owner, upstream);
        S_count_cold(owner, upstream, warmth);
        BsOwner_DispatchAll(owner);
    }
}

void
BsOwner_Drain(BsOwner *owner)
{
    GList *works = g_hash_table_get_values(owner->works);
    for (GList *node = works; node != NULL; node = node->next) {
        BsWork *work = node->data;
        if (work->upstream == NULL && work->dispatch == 0) {
            BsOwner_GiveBack(owner, work, BS_ERR_DRAINING);
        }
    }
    g_list_free(works);
}

uint32_t
BsOwner_Count(const BsOwner *owner)
{
    return g_hash_table_size(owner->works);
}

void
BsOwner_OnCancel(BsOwner *owner, const BsMessage *message)
{
    const BsCancel *cancel = &message->u.cancel;
    if (cancel->request_id == NULL) {
        return;
    }
    char *id = g_strdup_printf("%s/%u", cancel->request_id, cancel->attempt);
    BsWork *work = g_hash_table_lookup(owner->works, id);
    if (work == NULL) {
        BsFences_Add(owner->fences, id, BsCore_NowMs(owner->core),
                     owner->core->config.resend_window_ms);
    }
    else if (work->upstream == NULL) {
        BsOwner_GiveBack(owner, work, BS_ERR_CANCELLED);
    }
    else if (BsWork_Request(work)->idempotent) {
        BsOwner_Stop(owner, work, BS_ERR_CANCELLED, "cancelled");
        g_hash_table_remove(owner->works, id);
        BsOwner_DispatchAll(owner);
    }
    g_free(id);
}

void
BsOwner_OnCheck(BsOwner *owner, const BsMessage *message)
{
    const BsAccept *check = &message->u.accept;
    char *id = g_strdup_printf("%s/%u", check->request_id, check->attempt);
    BsMessage *reply = BsMessage_Create(BS_ACCEPT);
    reply->u.accept.request_id = g_strdup(check->request_id);
    reply->u.accept.attempt = check->attempt;
    reply->u.accept.to_stage = BS_STAGE_ENTRY;
    reply->u.accept.gone = !g_hash_table_contains(owner->works, id);
    BsCore_Send(owner->core, message->from, message->from_incarnation, reply);
    g_free(id);
}

void
BsOwner_OnFlow(BsOwner *owner, const BsMessage *message)
{
    const BsFlow *wanted = &message->u.flow;
    char *id = g_strdup_printf("%s/%u", wanted->request_id, wanted->attempt);
    const BsWork *work = g_hash_table_lookup(owner->works, id);
    g_free(id);
    if (work != NULL && work->upstream != NULL) {
        BsMessage *flow = BsMessage_Copy(message);
        flow->kind = BS_UPSTREAM_FLOW;
        flow->u.flow.attempt = work->dispatch;
        BsCore_Emit(owner->core, flow);
    }
}

void
BsOwner_OnList(BsOwner *owner)
{
    BsOwner_DispatchAll(owner);
}
