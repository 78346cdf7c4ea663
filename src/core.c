/* core.c - creation of a core and functions shared by its roles. */
#include "core.h"

#include "account.h"
#include "deliver.h"
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

/* Returns whether this incarnation handles MESSAGE.  A non-idempotent forward
   to another incarnation is let through, to be refused with an answer. */
static bool
S_is_for_us(BsCore *core, const BsMessage *message)
{
    if (!BsSchema_IsPeerKind(message->kind) || message->to_incarnation == 0) {
        return true;
    }
    if (message->kind == BS_FORWARD && !message->u.request.idempotent) {
        return true;
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
        BsDigests_OnAnyMessage(core->digests, message);
    }
    if (S_is_for_us(core, message)) {
        BsDeliver_Message(core, message);
    }
    else {
        BsCore_Count(core, "peer_messages_wrong_incarnation", 1);
    }
    BsMessage *local;
    while ((local = g_queue_pop_head(&core->local)) != NULL) {
        BsDeliver_Message(core, local);
        BsMessage_Destroy(local);
    }
    core->stepping = false;
}
