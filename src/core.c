/* core.c - creation of a core and delivery of messages to its roles. */
#include "core.h"

#include "account.h"
#include "digest.h"
#include "entry.h"
#include "explain.h"
#include "keeper.h"
#include "link.h"
#include "once.h"
#include "order.h"
#include "owner.h"
#include "peer.h"
#include "poison.h"
#include "query.h"
#include "retry.h"
#include "run.h"
#include "schema.h"
#include "sheetstore.h"
#include "stop.h"
#include "tenure.h"
#include "watch.h"
#include "witness.h"

#include <string.h>
#include <syslog.h>

#define DEFAULT_LEASE_MS 2000
#define DEFAULT_LIST_LAG_MS 10000
#define DEFAULT_RESEND_WINDOW_MS 600000
#define DEFAULT_DIGEST_MS 1000
#define DEFAULT_RECORD_LIMIT 100000
#define DEFAULT_REQUEST_LIMIT 20000
#define DEFAULT_QUEUE_BYTES (UINT64_C(64) * 1024 * 1024)
#define DEFAULT_RETRY_AFTER_S 1
#define MS_PER_S 1000
#define NS_PER_MS 1000000

int64_t
BsClock_NowMs(const BsClock *clock)
{
    struct timespec now = clock->now(clock->context);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

void
BsCoreConfig_Init(BsCoreConfig *config)
{
    memset(config, 0, sizeof(*config));
    config->lease_ms = DEFAULT_LEASE_MS;
    config->list_lag_ms = DEFAULT_LIST_LAG_MS;
    config->resend_window_ms = DEFAULT_RESEND_WINDOW_MS;
    config->digest_ms = DEFAULT_DIGEST_MS;
    config->record_limit = DEFAULT_RECORD_LIMIT;
    config->request_limit = DEFAULT_REQUEST_LIMIT;
    config->queue_bytes = DEFAULT_QUEUE_BYTES;
}

static bool
S_check_name(const char *key, const char *value, GError **error)
{
    if (value != NULL && value[0] != '\0' &&
        strlen(value) <= BS_NAME_MAX_BYTES) {
        return true;
    }
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s is missing or longer than %d bytes; set it", key,
                BS_NAME_MAX_BYTES);
    return false;
}

static bool
S_check_config(const BsCoreConfig *config, GError **error)
{
    if (config->incarnation == 0) {
        g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                    "incarnation is 0; pass a random number");
        return false;
    }
    return S_check_name("name", config->name, error) &&
           S_check_name("data_centre", config->data_centre, error) &&
           S_check_name("region", config->region, error);
}

static void
S_copy_config(BsCore *core, const BsCoreConfig *config)
{
    core->config = *config;
    core->config.name = g_strdup(config->name);
    core->config.data_centre = g_strdup(config->data_centre);
    core->config.region = g_strdup(config->region);
    core->config.secret =
        g_strdup(config->secret == NULL ? "" : config->secret);
}

BsCore *
BsCore_Create(const BsCoreConfig *config, const BsClock *clock,
              BsEmitFunc emit, void *context, GError **error)
{
    if (!S_check_config(config, error)) {
        return NULL;
    }
    BsCore *core = g_new0(BsCore, 1);
    S_copy_config(core, config);
    core->clock = *clock;
    core->started_ms = BsClock_NowMs(clock);
    core->emit = emit;
    core->context = context;
    core->random = g_rand_new_with_seed((guint32)config->seed);
    g_queue_init(&core->local);
    core->counters = BsCounters_Create();
    core->members = BsMembers_Create();
    core->peers = BsPeers_Create(config->resend_window_ms);
    core->witness = BsWitness_Create(core);
    core->explain = BsExplain_Create(core);
    core->stop = BsStop_Create(core);
    core->sheets = BsSheetStore_Create(core);
    core->tenure = BsTenure_Create(core);
    core->digests = BsDigests_Create(core);
    core->poison = BsPoison_Create(core);
    core->link = BsLink_Create(core);
    core->accounts = BsAccounts_Create(core);
    core->retries = BsRetries_Create(core);
    core->entry = BsEntry_Create(core);
    core->once = BsOnce_Create(core);
    core->keeper = BsKeeper_Create(core);
    core->runs = BsRuns_Create(core);
    core->owner = BsOwner_Create(core);
    core->orders = BsOrders_Create(core);
    core->watchers = BsWatchers_Create(core);
    return core;
}

void
BsCore_Destroy(BsCore *core)
{
    if (core == NULL) {
        return;
    }
    BsWatchers_Destroy(core->watchers);
    BsOrders_Destroy(core->orders);
    BsOwner_Destroy(core->owner);
    BsRuns_Destroy(core->runs);
    BsKeeper_Destroy(core->keeper);
    BsOnce_Destroy(core->once);
    BsEntry_Destroy(core->entry);
    BsRetries_Destroy(core->retries);
    BsAccounts_Destroy(core->accounts);
    BsLink_Destroy(core->link);
    BsPoison_Destroy(core->poison);
    BsDigests_Destroy(core->digests);
    BsTenure_Destroy(core->tenure);
    BsSheetStore_Destroy(core->sheets);
    BsStop_Destroy(core->stop);
    BsExplain_Destroy(core->explain);
    BsWitness_Destroy(core->witness);
    BsPeers_Destroy(core->peers);
    BsMembers_Destroy(core->members);
    BsCounters_Destroy(core->counters);
    g_queue_clear_full(&core->local, (GDestroyNotify)BsMessage_Destroy);
    g_rand_free(core->random);
    g_free((char *)core->config.name);
    g_free((char *)core->config.data_centre);
    g_free((char *)core->config.region);
    g_free((char *)core->config.secret);
    g_free(core);
}

int64_t
BsCore_NowMs(const BsCore *core)
{
    return BsClock_NowMs(&core->clock);
}

void
BsCore_Emit(BsCore *core, BsMessage *message)
{
    core->emit(message, core->context);
    BsMessage_Destroy(message);
}

void
BsCore_Send(BsCore *core, const char *to, uint64_t incarnation,
            BsMessage *message)
{
    BsMessage_SetString(&message->from, core->config.name);
    BsMessage_SetString(&message->to, to);
    message->from_incarnation = core->config.incarnation;
    message->to_incarnation = incarnation;
    if (strcmp(to, core->config.name) == 0) {
        g_queue_push_tail(&core->local, message);
        return;
    }
    BsCore_Count(core, "peer_messages_sent", 1);
    BsCore_Emit(core, message);
}

uint64_t
BsCore_NextForward(BsCore *core)
{
    return ++core->next_forward;
}

void
BsCore_Count(BsCore *core, const char *name, uint64_t amount)
{
    BsCounters_Add(core->counters, name, amount);
}

uint64_t
BsCore_Counter(const BsCore *core, const char *name)
{
    return BsCounters_Get(core->counters, name);
}

uint64_t
BsCore_SheetRevision(const BsCore *core)
{
    return BsSheetStore_Revision(core->sheets);
}

uint64_t
BsCore_ListRevision(const BsCore *core)
{
    return BsMembers_Revision(core->members);
}

void
BsCore_Log(BsCore *core, int priority, const char *format, ...)
{
    BsMessage *message = BsMessage_Create(BS_LOG);
    va_list args;
    va_start(args, format);
    message->u.log.text = g_strdup_vprintf(format, args);
    va_end(args);
    message->u.log.priority = (uint32_t)priority;
    BsCore_Emit(core, message);
}

const BsSheet *
BsCore_Sheet(const BsCore *core)
{
    return BsSheetStore_Current(core->sheets);
}

BsMessage *
BsCore_CreateError(BsMessageKind kind, const char *request_id,
                   uint32_t attempt, BsErrorKind error, BsOutcome outcome)
{
    BsMessage *message = BsMessage_Create(kind);
    BsAnswer *answer = &message->u.answer;
    answer->request_id = g_strdup(request_id);
    answer->attempt = attempt;
    answer->status = BsError_Describe(error)->http_status;
    answer->error = error;
    answer->outcome = outcome;
    answer->retry_after_s = DEFAULT_RETRY_AFTER_S;
    answer->final = true;
    return message;
}

/* Tells the host of a list that came from a peer. */
static void
S_tell_list(BsCore *core)
{
    BsMessage *told = BsMessage_Create(BS_PLATFORM_LIST);
    BsSchema_Copy(BsSchema_OfKind(BS_PLATFORM_LIST), &told->u,
                  BsMembers_List(core->members));
    BsCore_Emit(core, told);
}

static void
S_accept_list(BsCore *core, const BsMessage *message)
{
    if (!BsMembers_Accept(core->members, &message->u.list)) {
        BsCore_Count(core, "lists_ignored", 1);
        if (message->kind == BS_LIST_PUSH) {
            BsTenure_OnOldList(core->tenure, &message->u.list);
        }
        return;
    }
    if (message->kind == BS_LIST_PUSH) {
        S_tell_list(core);
    }
    BsCore_Count(core, "lists_accepted", 1);
    BsTenure_OnList(core->tenure);
    BsWatchers_OnList(core->watchers);
    BsOwner_OnList(core->owner);
}

/* Answers a pull with the list in force when it is newer, else with the
   instances of the old list asked for. */
static void
S_push_list(BsCore *core, const BsMessage *message)
{
    const BsSheetText *pull = &message->u.sheet;
    const BsList *list = BsMembers_List(core->members);
    if (list == NULL || list->revision <= pull->base_revision) {
        list = BsTenure_FindList(core->tenure, pull->revision);
    }
    if (message->from == NULL || list == NULL) {
        return;
    }
    BsMessage *push = BsMessage_Create(BS_LIST_PUSH);
    BsSchema_Copy(BsSchema_OfKind(BS_LIST_PUSH), &push->u, list);
    BsCore_Send(core, message->from, message->from_incarnation, push);
}

static void
S_deliver_answer(BsCore *core, const BsMessage *message)
{
    switch (message->u.answer.to_stage) {
    case BS_STAGE_ENTRY:
        if (!BsOnce_OnAnswer(core->once, message)) {
            BsEntry_OnAnswer(core->entry, message);
        }
        break;
    case BS_STAGE_KEEPER:
        BsKeeper_OnAnswer(core->keeper, message);
        break;
    default:
        BsCore_Count(core, "peer_messages_dropped", 1);
        break;
    }
}

/* Tells the sender of a forward that it was meant for another incarnation,
   or for none by name, and which one this is. */
static void
S_refuse_incarnation(BsCore *core, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    BsMessage *answer =
        BsCore_CreateError(BS_ANSWER, request->request_id, request->attempt,
                           BS_ERR_INCARNATION, BS_OUTCOME_NOT_RUN);
    answer->u.answer.to_stage = request->from_stage;
    BsCore_Count(core, "forwards_for_another_incarnation", 1);
    BsCore_Send(core, message->from, message->from_incarnation, answer);
}

/* Handles a non-idempotent forward, each one at most once. */
static void
S_deliver_once(BsCore *core, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (message->from == NULL || request->seq == 0) {
        BsCore_Count(core, "peer_messages_dropped", 1);
        return;
    }
    if (message->to_incarnation != core->config.incarnation) {
        S_refuse_incarnation(core, message);
        return;
    }
    bool fresh = BsPeers_Admit(core->peers, message->from_incarnation,
                               request->seq, BsCore_NowMs(core));
    BsCore_Count(core, "forwards_repeated", fresh ? 0 : 1);
    if (request->stage == BS_STAGE_KEEPER) {
        if (fresh) {
            BsKeeper_OnForward(core->keeper, message);
        }
        else {
            BsKeeper_OnRepeat(core->keeper, message);
        }
    }
    else if (fresh && BsRuns_Admit(core->runs, message)) {
        BsOwner_OnForward(core->owner, message);
    }
    else if (!fresh) {
        BsRuns_OnRepeat(core->runs, message);
    }
}

static void
S_deliver_forward(BsCore *core, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (!request->idempotent && (request->stage == BS_STAGE_KEEPER ||
                                 request->stage == BS_STAGE_OWNER)) {
        S_deliver_once(core, message);
    }
    else if (request->stage == BS_STAGE_OWNER) {
        BsOwner_OnForward(core->owner, message);
    }
    else {
        BsCore_Count(core, "peer_messages_dropped", 1);
    }
}

static void
S_deliver_cancel(BsCore *core, const BsMessage *message)
{
    switch (message->u.cancel.to_stage) {
    case BS_STAGE_KEEPER:
        BsKeeper_OnCancel(core->keeper, message);
        break;
    case BS_STAGE_OWNER:
        if (message->u.cancel.from_stage != BS_STAGE_KEEPER ||
            BsRuns_OnCancel(core->runs, message)) {
            BsOwner_OnCancel(core->owner, message);
        }
        break;
    default:
        BsCore_Count(core, "peer_messages_dropped", 1);
        break;
    }
}

static void
S_deliver_flow(BsCore *core, const BsMessage *message)
{
    switch (message->u.flow.to_stage) {
    case BS_STAGE_KEEPER:
        BsKeeper_OnFlow(core->keeper, message);
        break;
    case BS_STAGE_OWNER:
        BsOwner_OnFlow(core->owner, message);
        break;
    default:
        BsCore_Count(core, "peer_messages_dropped", 1);
        break;
    }
}

static void
S_deliver_accept(BsCore *core, const BsMessage *message)
{
    switch (message->u.accept.to_stage) {
    case BS_STAGE_ENTRY:
        BsEntry_OnAccept(core->entry, message);
        BsOnce_OnAccept(core->once, message);
        break;
    case BS_STAGE_KEEPER:
        BsKeeper_OnAccept(core->keeper, message);
        break;
    default:
        BsCore_Count(core, "peer_messages_dropped", 1);
        break;
    }
}

static void
S_deliver_check(BsCore *core, const BsMessage *message)
{
    if (message->u.accept.to_stage == BS_STAGE_OWNER) {
        BsOwner_OnCheck(core->owner, message);
    }
    else {
        BsCore_Count(core, "peer_messages_dropped", 1);
    }
}

static void
S_tick(BsCore *core)
{
    BsWatchers_OnTick(core->watchers);
    BsSheetStore_OnTick(core->sheets);
    BsTenure_OnTick(core->tenure);
    BsDigests_OnTick(core->digests);
    BsPoison_OnTick(core->poison);
    BsPeers_Expire(core->peers, BsCore_NowMs(core));
    BsWitness_OnTick(core->witness);
    BsAccounts_OnTick(core->accounts);
    BsEntry_OnTick(core->entry);
    BsOnce_OnTick(core->once);
    BsKeeper_OnTick(core->keeper);
    BsRuns_OnTick(core->runs);
    BsOwner_OnTick(core->owner);
    BsExplain_OnTick(core->explain);
    BsStop_OnTick(core->stop);
    BsOrders_OnTick(core->orders);
}

static void
S_deliver(BsCore *core, const BsMessage *message)
{
    switch (message->kind) {
    case BS_TICK:
        S_tick(core);
        break;
    case BS_CALLER_REQUEST:
        BsEntry_OnRequest(core->entry, message);
        break;
    case BS_CALLER_CANCEL:
        BsEntry_OnCancel(core->entry, message);
        BsOnce_OnCancel(core->once, message);
        break;
    case BS_CALLER_FLOW:
        BsEntry_OnFlow(core->entry, message);
        break;
    case BS_UPSTREAM_ANSWER:
        BsOwner_OnUpstreamAnswer(core->owner, message);
        break;
    case BS_UPSTREAM_REPORT:
        BsOwner_OnReport(core->owner, message);
        BsOrders_OnReport(core->orders, message);
        break;
    case BS_PLATFORM_LIST:
    case BS_LIST_PUSH:
        S_accept_list(core, message);
        break;
    case BS_PLATFORM_DOWN:
        BsWatchers_OnDown(core->watchers);
        break;
    case BS_WATCH_HANDOVER:
        BsWatchers_OnHandover(core->watchers);
        break;
    case BS_LIST_PULL:
        S_push_list(core, message);
        break;
    case BS_PLATFORM_SHEET:
    case BS_SHEET_PULL:
    case BS_SHEET_PUSH:
        BsSheetStore_OnMessage(core->sheets, message);
        break;
    case BS_QUERY:
        BsQuery_Handle(core, message);
        break;
    case BS_FORWARD:
        S_deliver_forward(core, message);
        break;
    case BS_ACCEPT:
        S_deliver_accept(core, message);
        break;
    case BS_CHECK:
        S_deliver_check(core, message);
        break;
    case BS_ANSWER:
        S_deliver_answer(core, message);
        break;
    case BS_CANCEL:
        S_deliver_cancel(core, message);
        break;
    case BS_FLOW:
        S_deliver_flow(core, message);
        break;
    case BS_PROBE:
    case BS_PROBE_REPLY:
    case BS_COLLECT:
    case BS_COLLECT_REPLY:
        BsTenure_OnMessage(core->tenure, message);
        break;
    case BS_DIGEST:
        BsDigests_OnMessage(core->digests, message);
        BsTenure_OnRevisions(core->tenure, message,
                             message->u.digest.list_revision,
                             message->u.digest.sheet_revision, 0);
        BsPoison_OnDigest(core->poison, message);
        break;
    case BS_SUSPECT:
        BsPoison_OnMessage(core->poison, message);
        break;
    case BS_WITNESS:
        BsWitness_OnMessage(core->witness, message);
        break;
    case BS_WITNESS_ACK:
        BsKeeper_OnWitnessAck(core->keeper, message);
        break;
    case BS_PEER_QUERY:
    case BS_PEER_REPLY:
        BsExplain_OnMessage(core->explain, message);
        break;
    case BS_DRAIN:
        BsStop_OnDrain(core->stop, message);
        break;
    case BS_HANDOVER:
        BsStop_OnHandover(core->stop, message);
        break;
    case BS_HANDOVER_ACK:
        BsStop_OnAck(core->stop, message);
        break;
    default:
        BsCore_Count(core, "messages_ignored", 1);
        break;
    }
}

/* Returns whether a peer message was meant for this incarnation. */
static bool
S_is_for_us(BsCore *core, const BsMessage *message)
{
    if (!BsSchema_IsPeerKind(message->kind) || message->to_incarnation == 0) {
        return true;
    }
    if (message->kind == BS_FORWARD && !message->u.request.idempotent) {
        return true; /* refused with an answer */
    }
    return message->to_incarnation == core->config.incarnation;
}

void
BsCore_Step(BsCore *core, const BsMessage *message)
{
    g_assert(!core->stepping);
    core->stepping = true;
    if (BsSchema_IsPeerKind(message->kind)) {
        BsPeers_OnMessage(core->peers, message, BsCore_NowMs(core));
        BsDigests_OnHeard(core->digests, message);
    }
    if (S_is_for_us(core, message)) {
        S_deliver(core, message);
    }
    else {
        BsCore_Count(core, "peer_messages_wrong_incarnation", 1);
    }
    BsMessage *local;
    while ((local = g_queue_pop_head(&core->local)) != NULL) {
        S_deliver(core, local);
        BsMessage_Destroy(local);
    }
    core->stepping = false;
}
