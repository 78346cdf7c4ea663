/* gw_gateway.c - the gateway process: start, event loop, signals and end. */
#include "gw_gateway.h"

#include "daycount.h"
#include "fleetshare.h"
#include "gw_gatewayparts.h"
#include "gw_relay.h"
#include "gw_stream.h"
#include "startsignals.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#define EXIT_USAGE 2

/* Longest pause between two ticks while requests are queued. */
#define QUEUED_TICK_MS 20

/* How often removed targets are dropped and the settings file is checked,
   which may change without a signal. */
#define PRUNE_MS 1000

/* A stop first waits until the balancer has seen two failed readiness checks,
   one second apart: idle connections are closed from STOP_IDLE_AFTER_MS on,
   and the process does not exit before STOP_MIN_MS unless its grace period
   ends. */
#define STOP_IDLE_AFTER_MS 1200
#define STOP_MIN_MS 2600

/* From then on new requests are refused: the balancer has stopped sending
   them, and a long stream would be cut off at the end of the grace period. */
#define STOP_REFUSE_MS 2900

/* Idle time after which a stop closes a connection. */
#define STOP_IDLE_MS 150

/* From then on open connections without a request do not delay the exit. */
#define STOP_WITH_CONNECTIONS_MS 3500

/* Part of the grace period that is reserved for the exit itself. */
#define STOP_MARGIN_MS 700

#define MS_PER_S 1000

/* Size from which the allocator maps a block on its own. */
#define MAPPED_MIN_BYTES 131072

static const BsCatalogLimits S_default_limits = {
    .header_bytes = 16384,
    .body_bytes = 4 * 1024 * 1024,
    .header_timeout_ms = 3000,
    .idle_timeout_ms = 15000,
};

/* Also counts the time while the machine is suspended, so that state from
   before a suspension counts as old afterwards. */
static struct timespec
S_now(void *context)
{
    (void)context;
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now;
}

static const BsClock S_clock = {S_now, NULL};

static struct timespec
S_wall_now(void *context)
{
    (void)context;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now;
}

/* Used for timestamps in the log only, as it may jump. */
static const BsClock S_wall_clock = {S_wall_now, NULL};

static int64_t
S_now_ms(void)
{
    return BsClock_NowMs(&S_clock);
}

/* -------------------------------------------------------- event loop -- */

/* Starts the timer of the next tick.  It is short while requests are queued,
   as pauses that upstreams requested may end. */
static void
S_schedule_tick(BsGateway *gateway)
{
    int64_t pause_ms = BsGossipTask_PauseMs(gateway->gossip);
    if (BsWaitQueue_Length(gateway->gate.queue) > 0) {
        pause_ms = MIN(pause_ms, QUEUED_TICK_MS);
    }
    ev_timer_set(&gateway->tick, (double)pause_ms / MS_PER_S, 0);
    ev_timer_start(gateway->gate.loop, &gateway->tick);
}

/* Restarts the timer of the next tick when the gossip task is due earlier. */
static void
S_advance_tick(BsGateway *gateway)
{
    double left_s = ev_timer_remaining(gateway->gate.loop, &gateway->tick);
    if ((double)BsGossipTask_PauseMs(gateway->gossip) / MS_PER_S < left_s) {
        ev_timer_stop(gateway->gate.loop, &gateway->tick);
        S_schedule_tick(gateway);
    }
}

/* Runs before each wait of the event loop: handles once what the events since
   the last wait have changed. */
static void
S_on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)loop;
    (void)events;
    BsGateway *gateway = watcher->data;
    BsGate *gate = &gateway->gate;
    if (gate->stream_records_changed) {
        gate->stream_records_changed = false;
        BsRelay_ServeTakeUps(gate);
    }
    if (gate->slots_changed) {
        gate->slots_changed = false;
        BsRelay_ServeQueue(gate);
    }
    if (gate->report_changed) {
        gate->report_changed = false;
        BsGossipTask_SendReports(gateway->gossip, true);
        S_advance_tick(gateway);
    }
    BsGossipTask_AskStreams(gateway->gossip);
    BsEventLog_Flush(gate->log);
}

/* Carries out the next steps of a stop; ends the event loop when no requests
   are left or the grace period is over. */
static void
S_check_stop(BsGateway *gateway, int64_t now_ms)
{
    BsGate *gate = &gateway->gate;
    int64_t passed_ms = now_ms - gateway->stop_ms;
    gate->refusing = passed_ms >= STOP_REFUSE_MS;
    if (passed_ms >= STOP_IDLE_AFTER_MS) {
        BsInboundServer_CloseIdle(gate->callers, STOP_IDLE_MS);
    }
    bool idle = BsInboundServer_Requests(gate->callers) == 0 &&
                BsInboundServer_PendingBytes(gate->callers) == 0 &&
                BsStream_ClosingBytes() == 0 &&
                (BsInboundServer_Connections(gate->callers) == 0 ||
                 passed_ms >= STOP_WITH_CONNECTIONS_MS);
    if ((idle && passed_ms >= STOP_MIN_MS) ||
        passed_ms >= gateway->stop_limit_ms) {
        ev_break(gate->loop, EVBREAK_ALL);
    }
}

static void
S_on_terminate(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    BsGateway *gateway = watcher->data;
    BsGate *gate = &gateway->gate;
    if (gate->stopping) {
        return;
    }
    gateway->stop_ms = S_now_ms();
    /* A settings file that is read later must not end requests that are
       answered meanwhile. */
    gateway->stop_limit_ms =
        (int64_t)gateway->settings->bounds.grace_s * MS_PER_S - STOP_MARGIN_MS;
    gate->stopping = true;
    gate->stop_began_ms = gateway->stop_ms;
    gate->stop_end_ms = gateway->stop_ms + gateway->stop_limit_ms;
    BsInboundServer_StartDrain(gate->callers);
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE, "stopping")) {
        BsEventLog_Number(gate->log, "requests",
                          BsInboundServer_Requests(gate->callers));
        BsEventLog_End(gate->log);
    }
}

static void
S_log_reload(BsGateway *gateway, const char *outcome, const char *cause)
{
    BsEventLog *log = gateway->gate.log;
    if (BsEventLog_Begin(log, BS_EVENT_STATE, "reload")) {
        BsEventLog_Text(log, "outcome", outcome);
        BsEventLog_Text(log, "cause", cause);
        BsEventLog_End(log);
    }
}

/* Returns whether all addresses are unchanged. */
static bool
S_has_same_addresses(const BsGateSettings *old, const BsGateSettings *new)
{
    return strcmp(old->callers, new->callers) == 0 &&
           strcmp(old->ready, new->ready) == 0 &&
           strcmp(old->admin, new->admin) == 0 &&
           strcmp(old->peers, new->peers) == 0 &&
           strcmp(old->store, new->store) == 0;
}

static void
S_apply_settings(BsGate *gate, const BsGateSettings *settings)
{
    const BsGateBounds *bounds = &settings->bounds;
    BsTargets_SetProbeRate(gate->targets, settings->ejection.probe_per_s);
    BsSpillLimits spill = BsGateSettings_Spill(settings);
    BsTargets_SetSpill(gate->targets, &spill);
    BsHedgeLimits early_repeats = BsGateSettings_EarlyRepeats(settings);
    BsHedges_SetLimits(gate->hedges, &early_repeats);
    BsRetryBudget_SetBounds(gate->retries, bounds->retry_ratio,
                            bounds->retry_slack,
                            (int64_t)bounds->retry_window_s * MS_PER_S);
    BsQuotas_SetTolerance(gate->quotas, bounds->quota_over,
                          bounds->quota_slack);
    BsQuotas_SetUrgent(gate->quotas, settings->account_order.urgent_percent);
}

/* Reads the settings file again and applies the settings that can change
   without a restart.  An invalid file changes nothing. */
static void
S_reload(BsGateway *gateway)
{
    GError *error = NULL;
    BsGateSettings *settings =
        BsGateSettings_Load(gateway->settings_file, &error);
    if (settings == NULL) {
        S_log_reload(gateway, "kept the old settings", error->message);
        g_error_free(error);
        return;
    }
    S_log_reload(gateway, "in force",
                 S_has_same_addresses(gateway->settings, settings)
                     ? NULL
                     : "addresses changed; restart to use them");
    BsGateSettings_Destroy(gateway->settings);
    gateway->settings = settings;
    gateway->gate.settings = settings;
    S_apply_settings(&gateway->gate, settings);
    BsGateway_ApplyInbound(gateway);
    BsGossipTask_AddSeeds(gateway->gossip);
}

/* Returns whether the settings file has changed since the last call.  Its time
   alone does not tell: file systems count it in steps of some milliseconds. */
static bool
S_settings_changed(BsGateway *gateway)
{
    struct stat status;
    const struct stat *before = &gateway->settings_status;
    if (stat(gateway->settings_file, &status) != 0) {
        return false; /* being replaced; keep the current settings */
    }
    bool changed = status.st_mtim.tv_sec != before->st_mtim.tv_sec ||
                   status.st_mtim.tv_nsec != before->st_mtim.tv_nsec ||
                   status.st_ino != before->st_ino ||
                   status.st_size != before->st_size;
    gateway->settings_status = status;
    return changed;
}

/* Logs how many requests have been left unread since the last call, because
   they crossed the close of their idle connections. */
static void
S_log_unread(BsGateway *gateway)
{
    BsEventLog *log = gateway->gate.log;
    uint64_t closes = BsStream_UnreadCloses();
    if (closes > gateway->unread_closes &&
        BsEventLog_Begin(log, BS_EVENT_STATE, "requests_left_unread")) {
        BsEventLog_Number(log, "count",
                          (int64_t)(closes - gateway->unread_closes));
        BsEventLog_End(log);
    }
    gateway->unread_closes = closes;
}

/* Logs that a limit on inbound connections has been reached, or is over. */
static void
S_log_inbound_limits(BsGateway *gateway, int64_t now_ms)
{
    static const char *const causes[] = {
        [BS_CONN_LIMIT_MEMORY] = "inbound_memory",
        [BS_CONN_LIMIT_NUMBER] = "inbound_connections",
    };
    const BsConnBudget *budget = gateway->gate.conn_budget;
    BsEventLog *log = gateway->gate.log;
    for (int limit = 0; limit < BS_CONN_LIMITS; limit++) {
        bool reached;
        if (!BsConnBudget_TakeChange(gateway->gate.conn_budget, limit, now_ms,
                                     &reached) ||
            !BsEventLog_Begin(log, BS_EVENT_STATE, "inbound_limit")) {
            continue;
        }
        BsEventLog_Text(log, "outcome", reached ? "reached" : "over");
        BsEventLog_Text(log, "cause", causes[limit]);
        uint64_t closed = BsConnBudget_Closed(budget, limit);
        BsEventLog_Number(log, "count",
                          (int64_t)(closed - gateway->inbound_closed[limit]));
        BsEventLog_End(log);
        gateway->inbound_closed[limit] = closed;
    }
}

static void
S_on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsGateway *gateway = watcher->data;
    int64_t now_ms = S_now_ms();
    BsPlatformStatus store = gateway->adapter->status(gateway->link);
    bool reads = BsGossipTask_Tick(gateway->gossip, &store);
    gateway->adapter->set_reading(gateway->link, reads);
    if (BsWaitQueue_Length(gateway->gate.queue) > 0) {
        gateway->gate.slots_changed = true; /* a pause may have ended */
    }
    if (now_ms - gateway->pruned_ms >= PRUNE_MS) {
        gateway->pruned_ms = now_ms;
        BsTargets_Prune(gateway->gate.targets, now_ms);
        if (S_settings_changed(gateway)) {
            S_reload(gateway);
        }
    }
    S_log_unread(gateway);
    S_log_inbound_limits(gateway, now_ms);
    if (gateway->gate.stopping) {
        S_check_stop(gateway, now_ms);
    }
    S_schedule_tick(gateway);
}

static void
S_on_hangup(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    BsGateway *gateway = watcher->data;
    S_settings_changed(gateway); /* so that the next tick does not reload */
    S_reload(gateway);
}

/* ------------------------------------------------------------- start -- */

static BsInboundServer *
S_listen(BsGateway *gateway, const char *text, const BsInboundApp *app,
         void *context, GError **error)
{
    struct sockaddr_in address;
    BsInboundLimits limits =
        BsGateway_InboundLimits(gateway, &S_default_limits);
    BsGateSettings_ParseAddress(text, &address);
    return BsInboundServer_Create(gateway->gate.loop, &S_clock, &address, app,
                                  context, &limits, gateway->gate.conn_budget,
                                  error);
}

static uint32_t
S_random(void)
{
    uint32_t value = 0;
    if (getrandom(&value, sizeof(value), 0) != sizeof(value)) {
        value = (uint32_t)getpid();
    }
    return value;
}

static void
S_create_parts(BsGateway *gateway)
{
    BsGate *gate = &gateway->gate;
    const BsGateSettings *settings = gateway->settings;
    const BsGateBounds *bounds = &settings->bounds;
    gate->loop = ev_loop_new(EVBACKEND_EPOLL);
    gate->clock = &S_clock;
    gate->settings = settings;
    gate->wire = gateway->adapter->wire;
    gate->log = BsEventLog_Create(STDOUT_FILENO, settings->name, &S_clock,
                                  &S_wall_clock);
    gate->counters = BsCounters_Create();
    BsDayCount_Start(gate->counters);
    gateway->started_ms = BsClock_NowMs(&S_clock);
    gate->durations = BsHistogram_Create(
        "request_duration", "From a request's arrival to its end", "route");
    gate->waits = BsHistogram_Create(
        "request_wait", "From a request's arrival to its first send", "route");
    gate->first_events = BsHistogram_Create(
        "first_event", "From a send to the answer's first event", "route");
    gate->pool = BsOutboundPool_Create(gate->loop, &S_clock);
    gate->conn_budget = BsConnBudget_Create(0, 0);
    BsGateway_ApplyInbound(gateway);
    gate->relays = g_hash_table_new(g_direct_hash, g_direct_equal);
    gate->targets = BsTargets_Create(settings->data_centre, settings->region);
    BsTargets_SetProbeRate(gate->targets, settings->ejection.probe_per_s);
    BsSpillLimits spill = BsGateSettings_Spill(settings);
    BsTargets_SetSpill(gate->targets, &spill);
    gate->quotas = BsQuotas_Create(bounds->quota_over, bounds->quota_slack);
    BsQuotas_SetUrgent(gate->quotas, settings->account_order.urgent_percent);
    gate->retries = BsRetryBudget_Create(
        bounds->retry_ratio, bounds->retry_slack,
        (int64_t)bounds->retry_window_s * MS_PER_S, gateway->started_ms);
    BsHedgeLimits early_repeats = BsGateSettings_EarlyRepeats(settings);
    gate->hedges = BsHedges_Create();
    BsHedges_SetLimits(gate->hedges, &early_repeats);
    gate->queue = BsWaitQueue_Create();
    gate->predictors = BsPredictors_Create();
    gate->yields = BsYields_Create();
    gate->answer_times = BsAnswerTimes_Create();
    gate->removal_grace = BsRemovalGrace_Create();
    gate->crash_list = BsCrashList_Create();
    gate->crash_parts = BsCrashParts_Create();
    gate->stream_versions =
        BsStreamVersions_Create(BsClock_NowMs(gate->clock));
    gate->stream_questions =
        g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    gate->random = g_rand_new_with_seed(S_random());
    gate->instances = MAX(settings->seeds_count, 1);
    gate->retry_instances =
        settings->seeds_count > 0 ? BS_FLEETSHARE_UNKNOWN_INSTANCES : 1;
}

static bool
S_open(BsGateway *gateway, GError **error)
{
    BsGate *gate = &gateway->gate;
    const BsGateSettings *settings = gateway->settings;
    gate->callers =
        S_listen(gateway, settings->callers, &bs_relay_app, gate, error);
    if (gate->callers == NULL) {
        return false;
    }
    gateway->ready =
        S_listen(gateway, settings->ready, &bs_ready_app, gateway, error);
    if (gateway->ready == NULL) {
        return false;
    }
    gateway->admin =
        S_listen(gateway, settings->admin, &bs_admin_app, gateway, error);
    if (gateway->admin == NULL) {
        return false;
    }
    gateway->replica = BsReplica_Create(BsGateway_OnItem, gateway);
    gateway->gossip = BsGossipTask_Create(gate, gateway->replica, error);
    return gateway->gossip != NULL;
}

static void
S_start_signal(BsGateway *gateway, ev_signal *watcher, int number,
               void (*func)(struct ev_loop *, ev_signal *, int))
{
    ev_signal_init(watcher, func, number);
    watcher->data = gateway;
    ev_signal_start(gateway->gate.loop, watcher);
}

static void
S_start(BsGateway *gateway)
{
    struct ev_loop *loop = gateway->gate.loop;
    ev_prepare_init(&gateway->prepare, S_on_prepare);
    gateway->prepare.data = gateway;
    ev_prepare_start(loop, &gateway->prepare);
    ev_timer_init(&gateway->tick, S_on_tick, 0, 0);
    gateway->tick.data = gateway;
    ev_timer_start(loop, &gateway->tick);
    S_start_signal(gateway, &gateway->terminate, SIGTERM, S_on_terminate);
    S_start_signal(gateway, &gateway->interrupt, SIGINT, S_on_terminate);
    S_start_signal(gateway, &gateway->hangup, SIGHUP, S_on_hangup);
    BsStartSignals_Release();
    gateway->link = gateway->adapter->connect(
        loop, &S_clock, gateway->settings, gateway->replica, S_random(),
        BsGateway_OnLink, gateway);
}

static void
S_destroy(BsGateway *gateway)
{
    BsGate *gate = &gateway->gate;
    gateway->adapter->disconnect(gateway->link);
    BsRelay_EndAll(gate);
    g_hash_table_destroy(gate->relays);
    BsGossipTask_Destroy(gateway->gossip);
    BsReplica_Destroy(gateway->replica);
    BsInboundServer_Destroy(gateway->admin);
    BsInboundServer_Destroy(gateway->ready);
    BsInboundServer_Destroy(gate->callers);
    BsStream_EndClosing(0);
    BsConnBudget_Destroy(gate->conn_budget);
    BsOutboundPool_Destroy(gate->pool);
    BsTargets_Destroy(gate->targets);
    BsQuotas_Destroy(gate->quotas);
    BsRetryBudget_Destroy(gate->retries);
    BsHedges_Destroy(gate->hedges);
    BsWaitQueue_Destroy(gate->queue);
    BsPredictors_Destroy(gate->predictors);
    BsYields_Destroy(gate->yields);
    BsAnswerTimes_Destroy(gate->answer_times);
    BsRemovalGrace_Destroy(gate->removal_grace);
    BsCrashList_Destroy(gate->crash_list);
    BsCrashParts_Destroy(gate->crash_parts);
    BsStreamVersions_Destroy(gate->stream_versions);
    g_array_unref(gate->stream_questions);
    BsCatalog_Unref(gate->catalog);
    BsCounters_Destroy(gate->counters);
    BsHistogram_Destroy(gate->durations);
    BsHistogram_Destroy(gate->waits);
    BsHistogram_Destroy(gate->first_events);
    BsEventLog_Destroy(gate->log);
    g_rand_free(gate->random);
    ev_loop_destroy(gate->loop);
    BsGateSettings_Destroy(gateway->settings);
}

/* Logs EVENT: the process has started or stopped. */
static void
S_log_start(BsGateway *gateway, const char *event)
{
    BsEventLog *log = gateway->gate.log;
    if (BsEventLog_Begin(log, BS_EVENT_STATE, event)) {
        BsEventLog_Text(log, "version", BS_VERSION);
        BsEventLog_Text(log, "callers", gateway->settings->callers);
        BsEventLog_Text(log, "data_centre", gateway->settings->data_centre);
        BsEventLog_End(log);
    }
}

static int
S_run(const char *file, const BsPlatformAdapter *adapter)
{
    BsGateway gateway = {.adapter = adapter, .settings_file = file};
    GError *error = NULL;
    gateway.settings = BsGateSettings_Load(file, &error);
    if (gateway.settings != NULL) {
        S_settings_changed(&gateway);
        S_create_parts(&gateway);
        if (S_open(&gateway, &error)) {
            S_start(&gateway);
            S_log_start(&gateway, "started");
            ev_run(gateway.gate.loop, 0);
            S_log_start(&gateway, "stopped");
            S_destroy(&gateway);
            return 0;
        }
    }
    fprintf(stderr, "boragespur-gateway: %s\n", error->message);
    g_error_free(error);
    return EXIT_USAGE;
}

int
BsGateway_Main(int argc, char **argv, const BsPlatformAdapter *adapter)
{
    gboolean version = FALSE;
    GOptionEntry entries[] = {{"version", 0, 0, G_OPTION_ARG_NONE, &version,
                               "Print the version", NULL},
                              G_OPTION_ENTRY_NULL};
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("SETTINGS - run a gateway");
    g_option_context_add_main_entries(context, entries, NULL);
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "boragespur-gateway: %s; see --help\n",
                error->message);
        g_error_free(error);
        return EXIT_USAGE;
    }
    if (version) {
        puts("boragespur-gateway " BS_VERSION);
        return 0;
    }
    if (argc != 2) {
        fputs("boragespur-gateway: name one settings file; see --help\n",
              stderr);
        return EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    /* Large buffers are mapped on their own and given back when freed.  By
       default the allocator raises this size once such a buffer is freed, and
       then keeps their memory. */
    mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
    return S_run(argv[1], adapter);
}
