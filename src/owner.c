/* owner.c - queues and dispatches work to owned upstreams. */
#include "owner.h"

#include "choice.h"
#include "poison.h"
#include "run.h"
#include "stop.h"

#include <string.h>

/* Requests in flight at an upstream that publishes no limit. */
#define DEFAULT_SLOTS 4

/* A request queued or running here. */
typedef struct {
    BsMessage *request; /* BS_FORWARD as received */
    char *upstream;     /* where it runs, or NULL while queued */
    int64_t deadline_ms;
    uint64_t next_seq;
    uint32_t rank;
} BsWork;

struct BsOwner {
    BsCore *core;
    GPtrArray *queue;      /* BsWork, in order of arrival */
    GHashTable *running;   /* request id to BsWork */
    GHashTable *in_flight; /* upstream name to count */
};

static void
S_destroy_work(void *data)
{
    BsWork *work = data;
    BsMessage_Destroy(work->request);
    g_free(work->upstream);
    g_free(work);
}

BsOwner *
BsOwner_Create(BsCore *core)
{
    BsOwner *owner = g_new0(BsOwner, 1);
    owner->core = core;
    owner->queue = g_ptr_array_new_with_free_func(S_destroy_work);
    owner->running =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_work);
    owner->in_flight =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return owner;
}

void
BsOwner_Destroy(BsOwner *owner)
{
    if (owner == NULL) {
        return;
    }
    g_ptr_array_unref(owner->queue);
    g_hash_table_destroy(owner->running);
    g_hash_table_destroy(owner->in_flight);
    g_free(owner);
}

static uint32_t
S_in_flight(const BsOwner *owner, const char *upstream)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(owner->in_flight, upstream));
}

static void
S_change_in_flight(BsOwner *owner, const char *upstream, int change)
{
    uint32_t count = S_in_flight(owner, upstream);
    g_hash_table_insert(owner->in_flight, g_strdup(upstream),
                        GUINT_TO_POINTER(count + (uint32_t)change));
}

static void
S_answer(BsOwner *owner, BsWork *work, BsMessage *piece)
{
    const BsRequest *request = &work->request->u.request;
    piece->kind = BS_ANSWER;
    piece->u.answer.seq = work->next_seq++;
    piece->u.answer.attempt = request->attempt;
    piece->u.answer.to_stage = request->from_stage;
    if (!request->idempotent) {
        BsRuns_Keep(owner->core->runs, work->request, piece);
    }
    BsCore_Send(owner->core, work->request->from,
                work->request->from_incarnation, piece);
}

static void
S_fail(BsOwner *owner, BsWork *work, BsErrorKind error)
{
    const char *id = work->request->u.request.request_id;
    S_answer(owner, work,
             BsCore_CreateError(BS_ANSWER, id, 0, error, BS_OUTCOME_NOT_RUN));
}

static bool
S_has_room(const BsOwner *owner, const BsListEntry *upstream)
{
    uint32_t slots = upstream->slots == 0 ? DEFAULT_SLOTS : upstream->slots;
    return S_in_flight(owner, upstream->name) < slots;
}

/* Returns the owned upstream with room and the least in flight. */
static const BsListEntry *
S_pick_upstream(BsOwner *owner, const BsRequest *request, bool *exists)
{
    const char *serves =
        request->service != NULL ? request->service : request->model;
    const GPtrArray *upstreams =
        BsMembers_Serving(owner->core->members, serves);
    const BsListEntry *best = NULL;
    *exists = false;
    for (guint i = 0; upstreams != NULL && i < upstreams->len; i++) {
        const BsListEntry *upstream = upstreams->pdata[i];
        const char *owned_by =
            BsMembers_OwnerOf(owner->core->members, upstream->name);
        if (g_strcmp0(owned_by, owner->core->config.name) != 0 ||
            !BsChoice_IsOpen(owner->core, upstream)) {
            continue;
        }
        *exists = true;
        if (S_has_room(owner, upstream) &&
            (best == NULL || S_in_flight(owner, upstream->name) <
                                 S_in_flight(owner, best->name))) {
            best = upstream;
        }
    }
    return best;
}

static void
S_dispatch(BsOwner *owner, BsWork *work, const BsListEntry *upstream)
{
    BsMessage *dispatch = BsMessage_Copy(work->request);
    dispatch->kind = BS_UPSTREAM_DISPATCH;
    BsMessage_SetString(&dispatch->u.request.upstream, upstream->name);
    dispatch->u.request.deadline_ms =
        work->deadline_ms - BsCore_NowMs(owner->core);
    work->upstream = g_strdup(upstream->name);
    S_change_in_flight(owner, upstream->name, 1);
    g_hash_table_insert(owner->running, work->request->u.request.request_id,
                        work);
    if (!dispatch->u.request.idempotent) {
        BsRuns_OnDispatch(owner->core->runs, work->request);
    }
    BsCore_Count(owner->core, "dispatches", 1);
    BsCore_Emit(owner->core, dispatch);
}

/* Returns the index of the most urgent queued work that has an upstream. */
static bool
S_dispatch_one(BsOwner *owner)
{
    BsWork *best = NULL;
    const BsListEntry *best_upstream = NULL;
    guint best_index = 0;
    for (guint i = 0; i < owner->queue->len; i++) {
        BsWork *work = owner->queue->pdata[i];
        bool exists;
        if (best != NULL && work->rank >= best->rank) {
            continue;
        }
        const BsListEntry *upstream =
            S_pick_upstream(owner, &work->request->u.request, &exists);
        if (upstream != NULL) {
            best = work;
            best_upstream = upstream;
            best_index = i;
        }
    }
    if (best == NULL) {
        return false;
    }
    g_ptr_array_steal_index(owner->queue, best_index);
    S_dispatch(owner, best, best_upstream);
    return true;
}

static void
S_dispatch_all(BsOwner *owner)
{
    while (S_dispatch_one(owner)) {
    }
}

void
BsOwner_OnForward(BsOwner *owner, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    const BsSheet *sheet = BsCore_Sheet(owner->core);
    if (request->request_id == NULL || sheet == NULL) {
        BsCore_Count(owner->core, "peer_messages_dropped", 1);
        return;
    }
    BsMessage *accept = BsMessage_Create(BS_ACCEPT);
    accept->u.accept.request_id = g_strdup(request->request_id);
    accept->u.accept.attempt = request->attempt;
    accept->u.accept.to_stage = request->from_stage;
    BsCore_Send(owner->core, message->from, message->from_incarnation, accept);
    BsWork *work = g_new0(BsWork, 1);
    const BsTier *tier = BsSheet_FindTier(sheet, request->tier);
    bool exists;
    work->request = BsMessage_Copy(message);
    work->rank = tier == NULL ? UINT32_MAX : tier->rank;
    work->deadline_ms = BsCore_NowMs(owner->core) + request->deadline_ms;
    S_pick_upstream(owner, request, &exists);
    BsErrorKind error = exists ? BS_ERR_NONE : BS_ERR_NO_UPSTREAM;
    if (BsStop_IsActive(owner->core->stop)) {
        error = BS_ERR_DRAINING;
    }
    else if (BsPoison_Judge(owner->core->poison, request) ==
             BS_POISON_QUARANTINED) {
        error = BS_ERR_QUARANTINED;
    }
    if (error != BS_ERR_NONE) {
        S_fail(owner, work, error);
        S_destroy_work(work);
        return;
    }
    g_ptr_array_add(owner->queue, work);
    S_dispatch_all(owner);
}

/* Tells the suspects how WORK ended. */
static void
S_judge_end(BsOwner *owner, const BsWork *work, const BsAnswer *last)
{
    const BsRequest *request = &work->request->u.request;
    if (last->crashed) {
        BsPoison_OnCrash(owner->core->poison, request);
    }
    else if (last->error == BS_ERR_NONE) {
        BsPoison_OnFinish(owner->core->poison, request);
    }
}

void
BsOwner_OnUpstreamAnswer(BsOwner *owner, const BsMessage *message)
{
    const char *id = message->u.answer.request_id;
    BsWork *work = id == NULL ? NULL : g_hash_table_lookup(owner->running, id);
    if (work == NULL) {
        BsCore_Count(owner->core, "answers_dropped", 1);
        return;
    }
    S_answer(owner, work, BsMessage_Copy(message));
    if (message->u.answer.final) {
        S_judge_end(owner, work, &message->u.answer);
        S_change_in_flight(owner, work->upstream, -1);
        g_hash_table_remove(owner->running, id);
        S_dispatch_all(owner);
    }
}

void
BsOwner_OnReport(BsOwner *owner, const BsMessage *message)
{
    (void)message;
    BsCore_Count(owner->core, "reports", 1);
}

/* Takes a non-idempotent request that was cancelled out of the queue. */
static void
S_refuse_queued(BsOwner *owner, const BsMessage *message)
{
    for (guint i = 0; i < owner->queue->len; i++) {
        BsWork *work = owner->queue->pdata[i];
        if (work->request->from_incarnation == message->from_incarnation &&
            strcmp(work->request->u.request.request_id,
                   message->u.cancel.request_id) == 0) {
            S_fail(owner, work, message->u.cancel.reason);
            g_ptr_array_remove_index(owner->queue, i);
            return;
        }
    }
}

void
BsOwner_Release(BsOwner *owner)
{
    for (guint i = 0; i < owner->queue->len; i++) {
        S_fail(owner, owner->queue->pdata[i], BS_ERR_DRAINING);
    }
    g_ptr_array_set_size(owner->queue, 0);
}

uint32_t
BsOwner_Count(const BsOwner *owner)
{
    return owner->queue->len + g_hash_table_size(owner->running);
}

void
BsOwner_OnCancel(BsOwner *owner, const BsMessage *message)
{
    const char *id = message->u.cancel.request_id;
    BsWork *work = id == NULL ? NULL : g_hash_table_lookup(owner->running, id);
    if (id != NULL && BsRuns_OnCancel(owner->core->runs, message)) {
        S_refuse_queued(owner, message);
    }
    if (work != NULL && work->request->u.request.idempotent) {
        BsMessage *cancel = BsMessage_Copy(message);
        cancel->kind = BS_UPSTREAM_CANCEL;
        BsCore_Emit(owner->core, cancel);
        S_change_in_flight(owner, work->upstream, -1);
        g_hash_table_remove(owner->running, id);
        S_dispatch_all(owner);
    }
}

void
BsOwner_OnFlow(BsOwner *owner, const BsMessage *message)
{
    const char *id = message->u.flow.request_id;
    if (id != NULL && g_hash_table_contains(owner->running, id)) {
        BsMessage *flow = BsMessage_Copy(message);
        flow->kind = BS_UPSTREAM_FLOW;
        BsCore_Emit(owner->core, flow);
    }
}

void
BsOwner_OnList(BsOwner *owner)
{
    S_dispatch_all(owner);
}

void
BsOwner_OnTick(BsOwner *owner)
{
    int64_t now_ms = BsCore_NowMs(owner->core);
    for (guint i = owner->queue->len; i > 0; i--) {
        BsWork *work = owner->queue->pdata[i - 1];
        if (now_ms >= work->deadline_ms) {
            S_fail(owner, work, BS_ERR_DEADLINE);
            g_ptr_array_remove_index(owner->queue, i - 1);
        }
    }
}
