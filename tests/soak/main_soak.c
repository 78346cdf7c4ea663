/*
 * main_soak.c - fault soak test: injects random faults, reproducible by seed.
 *
 * gatesoak GATEWAY DIRECTORY SEED [--seconds N] [--gateways N] [--runners N]
 * [--rate N] [--deadly MS] [--deadly-part] [--unframed] [--silent MS]
 * [--limits MS] [--silent-all] [--planned] [--calm] [--retry-slack N]
 * [--failing MS] [--restarts MS] [--copies]
 * [--pauses MS] [--releases MS]
 * [--verbose]; exits with 1 if a promise was broken.  --deadly sets the pause
 * between requests that crash upstreams, which with --deadly-part share one
 * part of their prompts only; --silent that between silences of upstreams.
 * --limits sets the pause between limits that upstreams name, --failing that
 * between failures of upstreams in series, --restarts that between restarts of
 * all gateways at once.  --pauses sets the pause between those in which
 * all upstreams read nothing for long.  --copies sends late copies of
 * upstreams' answers.
 * --releases sets the pause between releases of upstreams' software, of which
 * half of the upstreams serve at a time.
 * --unframed lets streams end with their connections.  --planned injects only
 * planned work and silences, with longer streams.  --calm injects no faults
 * and prints counts and response times by route.
 */
#include "gw_stream.h"
#include "soak.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Time after its last fault when a gateway or the store counts as settled. */
#define SETTLED_MS 4000

/* Time without faults at the end of a run, to check the recovery. */
#define RECOVERY_S 6.0

/* Pause between two faults: short, so that they come in series and overlap. */
#define FAULT_MIN_MS 100
#define FAULT_MAX_MS 900

/* Default pause between deadly requests in a run with faults. */
#define DEADLY_PAUSE_MS 700

/* Default pause between silences in a run with faults. */
#define SILENT_PAUSE_MS 1000

/* Default pause between limits that upstreams name in a run with faults. */
#define LIMIT_PAUSE_MS 2500

#define SILENCE_MIN_MS 500
#define SILENCE_MAX_MS 2000

/* How long gateways are cut off from the store. */
#define CUT_MS 5500

/* Gateways and upstreams are dealt to these in turn. */
#define DATA_CENTRES 2

/* Events of a stream, and time that callers and routes allow; longer ones in
   runs with nothing but silences and planned work. */
#define EVENTS 6
#define DEADLINE_MS 3000
#define LONG_EVENTS 32
#define LONG_DEADLINE_MS 6000

/* Retries of the fleet in its settings; runs with nothing but silences and
   planned work draw one of both. */
#define RETRY_SLACK 58
#define RETRY_SLACK_SMALL 4

typedef struct {
    Soak soak;
    ev_timer next;
    ev_timer silence;
    ev_timer limits;
    ev_timer cuts;
    ev_timer cut_end;
    SoakUpstream *leaver; /* left while gateways are cut off from the store */
    ev_timer faults_end;
    ev_timer end;
    struct ev_loop *loop;
    GArray *ports; /* sockets that hold the run's ports */
} SoakMain;

static gint S_seconds = 20;
static gint S_gateways = 4;
static gint S_upstreams = 6;
static gint S_rate = 60;
static gint S_deadly = -1;
static gint S_silent = -1;
static gint S_limits = -1;
static gint S_cuts;
static gint S_failing;
static gint S_pauses;
static gint S_releases;
static gint S_restarts;
static gint S_retry_slack = -1;
static gint S_early_repeats;
static gint S_ejection;
static gboolean S_all_silent;
static gboolean S_deadly_part;
static gboolean S_unframed;
static gboolean S_planned;
static gboolean S_no_faults;
static gboolean S_copies;
static gboolean S_verbose;

static struct timespec
S_now(void *context)
{
    (void)context;
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

static const BsClock S_clock = {S_now, NULL};

int64_t
Soak_NowMs(const Soak *soak)
{
    return BsClock_NowMs(soak->clock);
}

int
Soak_RandomInt(Soak *soak, int low, int high)
{
    return g_rand_int_range(soak->random, low, high + 1);
}

SoakRequest *
Soak_FindRequest(Soak *soak, const char *id)
{
    return g_hash_table_lookup(soak->requests, id);
}

bool
Soak_IsSettled(const Soak *soak, unsigned gateway)
{
    int64_t now_ms = Soak_NowMs(soak);
    return !soak->store_faulty && now_ms - soak->store_fault_ms > SETTLED_MS &&
           now_ms - SoakFleet_FaultMs(gateway) > SETTLED_MS;
}

void
Soak_Address(const Soak *soak, unsigned host, uint16_t port,
             struct sockaddr_in *address)
{
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons(port);
    address->sin_addr.s_addr = htonl(soak->base + host);
}

void
Soak_Violation(Soak *soak, const char *promise, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    soak->violations++;
    printf("BROKEN %s: %s\n", promise, text);
    g_free(text);
}

void
Soak_Log(Soak *soak, const char *format, ...)
{
    if (!soak->verbose) {
        return;
    }
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    printf("%8" G_GINT64_FORMAT " %s\n", Soak_NowMs(soak) % 1000000, text);
    g_free(text);
}

/* -------------------------------------------------------- configuration --
 */

/* Publishes the next configuration; its three valid keys start at
   first_valid_key. */
static void
S_publish(Soak *soak)
{
    static const struct {
        const char *name;
        const char *type;
        const char *extra;
    } routes[] = {
        {"look", "safe", "\"max-attempts\":2"},
        {"book", "unsafe", "\"max-attempts\":1"},
        {"chat", "streaming", "\"max-attempts\":2,\"resumable\":true"},
        {"once", "streaming", "\"max-attempts\":1"}};
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"version\":%u,\"routes\":[",
                           ++soak->config_version);
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"%s\",\"host\":\"shop.example\",\"prefix\":"
            "\"/%s/\",\"route-type\":\"%s\",\"timeout-ms\":%d,"
            "\"target-latency-ms\":400,\"gap-aim-ms\":200,\"priority\":%zu,"
            "\"service\":\"desk\",%s}",
            i == 0 ? "" : ",", routes[i].name, routes[i].name, routes[i].type,
            soak->deadline_ms, i, routes[i].extra);
    }
    g_string_append(text, "],\"services\":[{\"name\":\"desk\",\"health-path\":"
                          "\"/h\",\"cold-start-s\":1.5,\"cold-per-s\":10}],"
                          "\"limits\":{\"idle-timeout-ms\":15000},"
                          "\"tenants\":[{\"name\":\"acme\",\"api-keys\":[");
    for (unsigned i = 0; i < 3; i++) {
        g_string_append_printf(text, "%s\"key-%u\"", i == 0 ? "" : ",",
                               soak->first_valid_key + i);
    }
    g_string_append(text, "],\"unit\":\"token_stream\",\"plain-tokens\":10,"
                          "\"rate-per-s\":0,\"burst\":0}]}");
    SoakStore_Put(soak->store, "op/config", text->str);
    g_string_free(text, TRUE);
}

/* ---------------------------------------------------------------- faults --
 */

static SoakUpstream *
S_pick_upstream(Soak *soak)
{
    return soak
        ->upstreams[Soak_RandomInt(soak, 0, (int)soak->upstream_count - 1)];
}

static unsigned
S_pick_gateway(Soak *soak)
{
    return (unsigned)Soak_RandomInt(soak, 0, (int)soak->gateway_count - 1);
}

static void
S_signal(Soak *soak, int number, const char *name)
{
    unsigned gateway = S_pick_gateway(soak);
    int down_ms = Soak_RandomInt(soak, 50, 3000);
    Soak_Log(soak, "gateway %u: %s, for %d ms", gateway, name, down_ms);
    SoakFleet_Signal(soak, gateway, number, down_ms);
}

static void
S_fault_upstream_path(Soak *soak)
{
    SoakProxyMode mode = (SoakProxyMode)Soak_RandomInt(soak, 0, 4);
    Soak_Log(soak, "proxy of an upstream: mode %d", mode);
    SoakProxy_SetMode(SoakUpstream_Proxy(S_pick_upstream(soak)), mode);
}

static void
S_fault_store_path(Soak *soak)
{
    unsigned gateway = S_pick_gateway(soak);
    SoakProxyMode mode = (SoakProxyMode)Soak_RandomInt(soak, 0, 4);
    Soak_Log(soak, "gateway %u's proxy to the store: mode %d", gateway, mode);
    SoakFleet_SetStorePath(soak, gateway, mode);
}

static void
S_set_store_mode(Soak *soak, SoakStoreMode mode)
{
    Soak_Log(soak, "store: mode %d", mode);
    soak->store_fault_ms = Soak_NowMs(soak);
    soak->store_faulty = mode != SOAK_SERVES;
    SoakStore_SetMode(soak->store, mode);
}

static void
S_relist_upstream(Soak *soak)
{
    static const char *const states[] = {"ready", "draining", NULL};
    SoakUpstream *upstream = S_pick_upstream(soak);
    const char *state = states[Soak_RandomInt(soak, 0, 2)];
    Soak_Log(soak, "an upstream is listed as %s",
             state == NULL ? "removed" : state);
    SoakUpstream_List(upstream, state, 0);
}

static void
S_revoke_keys(Soak *soak)
{
    soak->first_valid_key++;
    soak->keys_revoked_ms = Soak_NowMs(soak);
    Soak_Log(soak, "keys below %u are revoked", soak->first_valid_key);
    S_publish(soak);
}

static void
S_close_or_open(Soak *soak, bool closed)
{
    Soak_Log(soak, "data centre d1 %s", closed ? "closes" : "opens");
    if (closed && soak->closed_ms == 0) {
        soak->closed_ms = Soak_NowMs(soak);
    }
    if (!closed) {
        soak->closed_ms = 0;
    }
    SoakStore_Put(soak->store, "op/evacuate/d1", closed ? "{}" : NULL);
}

static void
S_inject(Soak *soak)
{
    static const int planned[] = {2, 3, 12, 16, 16, 16};
    int fault = S_planned ? planned[Soak_RandomInt(soak, 0, 5)]
                          : Soak_RandomInt(soak, 0, 15);
    if (fault != 2 && fault != 3 && fault != 12 && fault != 16) {
        soak->trouble_ms = INT64_MAX; /* not planned work */
    }
    switch (fault) {
    case 0:
        S_signal(soak, SIGKILL, "SIGKILL");
        break;
    case 1:
        S_signal(soak, SIGSTOP, "SIGSTOP");
        break;
    case 2:
        S_signal(soak, SIGTERM, "SIGTERM");
        break;
    case 3:
        S_signal(soak, SIGHUP, "SIGHUP");
        break;
    case 4:
    case 5:
        Soak_Log(soak, "an upstream crashes");
        SoakUpstream_Crash(S_pick_upstream(soak),
                           Soak_RandomInt(soak, 100, 3000));
        break;
    case 6:
    case 7:
        S_fault_upstream_path(soak);
        break;
    case 8:
        S_fault_store_path(soak);
        break;
    case 9:
        S_set_store_mode(soak, (SoakStoreMode)Soak_RandomInt(soak, 0, 3));
        break;
    case 10:
    case 11:
        S_relist_upstream(soak);
        break;
    case 12:
        S_revoke_keys(soak);
        break;
    case 13:
        S_close_or_open(soak, Soak_RandomInt(soak, 0, 1) == 0);
        break;
    case 14:
        Soak_Log(soak, "the store drops its history");
        SoakStore_Compact(soak->store);
        break;
    case 16:
        Soak_Log(soak, "a configuration that changes nothing");
        S_publish(soak);
        break;
    default:
        SoakUpstream_SetErrors(S_pick_upstream(soak),
                               Soak_RandomInt(soak, 0, 40));
        break;
    }
}

/* Returns how many upstreams fall silent at once: one, some or all. */
static unsigned
S_draw_silent(Soak *soak)
{
    gint32 all = (gint32)soak->upstream_count;
    gint32 some =
        g_rand_int_range(soak->silent_random, 1, MAX(all / 2, 1) + 1);
    gint32 counts[] = {1, 1, some, all};
    gint32 draw = g_rand_int_range(soak->silent_random, 0, 4);
    return (unsigned)(S_all_silent ? all : S_no_faults ? 1 : counts[draw]);
}

static void
S_fall_silent(Soak *soak)
{
    unsigned count = S_draw_silent(soak);
    unsigned first = (unsigned)g_rand_int_range(soak->silent_random, 0,
                                                (gint32)soak->upstream_count);
    for (unsigned i = 0; i < count; i++) {
        unsigned number = (first + i) % soak->upstream_count;
        int silence_ms = g_rand_int_range(soak->silent_random, SILENCE_MIN_MS,
                                          SILENCE_MAX_MS + 1);
        /* Requests that arrive in a burst would break other promises, as of
           cold upstreams. */
        bool holds_requests =
            g_rand_boolean(soak->silent_random) && (S_planned || S_no_faults);
        if (SoakProxy_FallSilent(SoakUpstream_Proxy(soak->upstreams[number]),
                                 silence_ms, holds_requests)) {
            Soak_Log(soak, "upstream %u: silent for %d ms%s", number,
                     silence_ms, holds_requests ? ", reads nothing" : "");
        }
    }
}

static void
S_on_silence(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    S_fall_silent(&((SoakMain *)watcher->data)->soak);
}

static void
S_on_limit(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Soak *soak = &((SoakMain *)watcher->data)->soak;
    gint32 number =
        g_rand_int_range(soak->limit_random, 0, (gint32)soak->upstream_count);
    double per_s =
        SoakLimit_Start(SoakUpstream_Limit(soak->upstreams[number]));
    if (per_s > 0) {
        Soak_Log(soak, "upstream %d names a limit of %g a second", number,
                 per_s);
    }
}

/* Ends what S_on_cut() began. */
static void
S_on_cut_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    SoakMain *run = watcher->data;
    for (unsigned i = 0; i < run->soak.gateway_count; i++) {
        if (SoakFleet_StorePath(i) != SOAK_PASS) {
            SoakFleet_SetStorePath(&run->soak, i, SOAK_PASS);
        }
    }
    SoakUpstream_List(run->leaver, "ready", 0);
}

/* Cuts one gateway of each data centre off from the store, silently; then an
   upstream leaves and keys are revoked. */
static void
S_on_cut(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    SoakMain *run = watcher->data;
    Soak *soak = &run->soak;
    int pairs = (int)soak->gateway_count / DATA_CENTRES;
    for (unsigned i = 0; i < DATA_CENTRES; i++) {
        unsigned row = (unsigned)Soak_RandomInt(soak, 0, pairs - 1);
        unsigned gateway = i + DATA_CENTRES * row;
        Soak_Log(soak, "gateway %u is cut off from the store", gateway);
        SoakFleet_SetStorePath(soak, gateway, SOAK_BLACKHOLE);
    }
    run->leaver = S_pick_upstream(soak);
    Soak_Log(soak, "an upstream leaves");
    SoakUpstream_List(run->leaver, NULL, 0);
    S_revoke_keys(soak);
    ev_timer_set(&run->cut_end, CUT_MS / 1000.0, 0);
    ev_timer_start(loop, &run->cut_end);
}

static void
S_on_next(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    SoakMain *run = watcher->data;
    S_inject(&run->soak);
    int pause_ms = Soak_RandomInt(&run->soak, FAULT_MIN_MS, FAULT_MAX_MS);
    ev_timer_set(&run->next, pause_ms / 1000.0, 0);
    ev_timer_start(loop, &run->next);
}

/* Ends all faults; the service must recover in the rest of the run. */
static void
S_on_faults_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    SoakMain *run = watcher->data;
    Soak *soak = &run->soak;
    ev_timer_stop(loop, &run->next);
    ev_timer_stop(loop, &run->limits);
    ev_timer_stop(loop, &run->cuts);
    ev_timer_stop(loop, &run->cut_end);
    Soak_Log(soak, "all faults end");
    SoakFailures_Stop(soak);
    soak->trouble_ms = MIN(soak->trouble_ms, Soak_NowMs(soak));
    S_set_store_mode(soak, SOAK_SERVES);
    S_close_or_open(soak, false);
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        SoakProxy_SetMode(SoakUpstream_Proxy(soak->upstreams[i]), SOAK_PASS);
        SoakUpstream_SetErrors(soak->upstreams[i], 0);
        SoakLimit_End(SoakUpstream_Limit(soak->upstreams[i]));
        SoakUpstream_List(soak->upstreams[i], "ready", 0);
    }
    for (unsigned i = 0; i < soak->gateway_count; i++) {
        SoakFleet_SetStorePath(soak, i, SOAK_PASS);
    }
    soak->faults_ended = true;
}

/* Stops sending; calls in progress may complete. */
static void
S_on_stop_sending(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Soak *soak = &((SoakMain *)watcher->data)->soak;
    SoakCallers_StopSending(soak);
    SoakFailures_Stop(soak);
}

static void
S_on_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)watcher;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* -------------------------------------------------------------------- run --
 */

static void
S_start_timer(SoakMain *run, ev_timer *timer, double after_s,
              void (*func)(struct ev_loop *, ev_timer *, int))
{
    ev_timer_init(timer, func, after_s, 0);
    timer->data = run;
    ev_timer_start(run->loop, timer);
}

/* As S_start_timer(), every PAUSE_MS; 0: never. */
static void
S_start_repeating(SoakMain *run, ev_timer *timer, int64_t pause_ms,
                  void (*func)(struct ev_loop *, ev_timer *, int))
{
    double pause_s = (double)pause_ms / 1000.0;
    ev_timer_init(timer, func, pause_s, pause_s);
    timer->data = run;
    if (pause_ms > 0) {
        ev_timer_start(run->loop, timer);
    }
}

static void
S_create(SoakMain *run, unsigned seed)
{
    Soak *soak = &run->soak;
    struct sockaddr_in address;
    run->loop = ev_default_loop(EVBACKEND_EPOLL);
    soak->loop = run->loop;
    soak->clock = &S_clock;
    soak->conn_budget = BsConnBudget_Create(UINT64_MAX, UINT32_MAX);
    soak->random = g_rand_new_with_seed(seed);
    soak->deadly_random = g_rand_new_with_seed(seed);
    soak->silent_random = g_rand_new_with_seed(seed);
    soak->limit_random = g_rand_new_with_seed(seed);
    soak->failure_random = g_rand_new_with_seed(seed);
    soak->copies = S_copies;
    soak->long_pause_ms = MAX(S_pauses, 0);
    soak->release_pause_ms = MAX(S_releases, 0);
    soak->failure_pause_ms = MAX(S_failing, 0);
    soak->restart_pause_ms = MAX(S_restarts, 0);
    soak->limit_pause_ms = S_limits >= 0              ? S_limits
                           : S_no_faults || S_planned ? 0
                                                      : LIMIT_PAUSE_MS;
    soak->deadly_ms = S_deadly >= 0              ? S_deadly
                      : S_no_faults || S_planned ? 0
                                                 : DEADLY_PAUSE_MS;
    soak->deadly_part = S_deadly_part;
    soak->unframed = S_unframed;
    soak->silent_pause_ms = S_silent >= 0 ? S_silent
                            : S_no_faults ? 0
                                          : SILENT_PAUSE_MS;
    bool longer = S_planned || S_releases > 0 ||
                  (S_no_faults && soak->silent_pause_ms > 0);
    soak->events = longer ? LONG_EVENTS : EVENTS;
    soak->deadline_ms = longer ? LONG_DEADLINE_MS : DEADLINE_MS;
    bool small = S_planned && g_rand_boolean(soak->silent_random);
    soak->early_repeats = (unsigned)S_early_repeats;
    soak->ejection_per_s = (unsigned)S_ejection;
    soak->retry_slack = S_retry_slack >= 0 ? (unsigned)S_retry_slack
                        : small            ? RETRY_SLACK_SMALL
                                           : RETRY_SLACK;
    soak->verbose = S_verbose;
    soak->gateway_count = (unsigned)CLAMP(S_gateways, 1, SOAK_GATEWAYS_MAX);
    soak->upstream_count = (unsigned)CLAMP(S_upstreams, 1, SOAK_UPSTREAMS_MAX);
    run->ports = SoakNetwork_Reserve(soak, seed);
    soak->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    soak->store_fault_ms = Soak_NowMs(soak);
    Soak_Address(soak, SOAK_TARGETS_HOST, SOAK_STORE_PORT, &address);
    soak->store = SoakStore_Create(soak, &address);
    soak->repeats = SoakRepeats_Create(soak);
    soak->versions = SoakVersions_Create(soak);
    S_publish(soak);
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        soak->upstreams[i] = SoakUpstream_Create(soak, i);
    }
}

static void
S_destroy(SoakMain *run)
{
    Soak *soak = &run->soak;
    for (unsigned i = 0; i < soak->upstream_count; i++) {
        SoakUpstream_Destroy(soak->upstreams[i]);
    }
    SoakStore_Destroy(soak->store);
    BsStream_EndClosing(0);
    BsConnBudget_Destroy(soak->conn_budget);
    SoakRepeats_Destroy(soak->repeats);
    SoakVersions_Destroy(soak->versions);
    g_hash_table_destroy(soak->requests);
    g_rand_free(soak->random);
    g_rand_free(soak->deadly_random);
    g_rand_free(soak->silent_random);
    g_rand_free(soak->limit_random);
    g_rand_free(soak->failure_random);
    SoakNetwork_Release(run->ports);
}

/* Checks that requests of each kind were answered after all faults ended;
   returns the number of these answers. */
static unsigned
S_check_service(Soak *soak)
{
    unsigned sum = 0;
    for (int kind = 0; kind < SOAK_KINDS; kind++) {
        sum += soak->answered_after_faults[kind];
        if (soak->answered_after_faults[kind] == 0) {
            Soak_Violation(soak, "service",
                           "no %s was answered after the faults",
                           SoakLoad_Name(kind));
        }
    }
    return sum;
}

/* Checks that silences held started answers, as they do in long streams. */
static void
S_check_held(Soak *soak)
{
    if (S_planned &&
        soak->cuts[SOAK_CUT_BETWEEN_EVENTS] + soak->cuts[SOAK_CUT_IN_EVENT] ==
            0) {
        Soak_Violation(soak, "silence", "no started answer was held");
    }
}

static unsigned
S_run(const char *program, const char *directory, unsigned seed)
{
    SoakMain run = {0};
    Soak *soak = &run.soak;
    S_create(&run, seed);
    SoakFleet_Start(soak, program, directory);
    SoakCallers_Start(soak, 1, S_rate);
    if (soak->deadly_ms > 0) {
        SoakCallers_StartDeadly(soak);
    }
    S_start_repeating(&run, &run.silence, soak->silent_pause_ms, S_on_silence);
    S_start_repeating(&run, &run.limits, soak->limit_pause_ms, S_on_limit);
    SoakFailures_Start(soak);
    SoakVersions_Start(soak->versions);
    ev_timer_init(&run.cut_end, S_on_cut_end, 0, 0);
    run.cut_end.data = &run;
    S_start_repeating(&run, &run.cuts, MAX(S_cuts, 0), S_on_cut);
    soak->faults_ended = S_no_faults;
    if (S_no_faults) {
        S_start_timer(&run, &run.faults_end, S_seconds, S_on_stop_sending);
    }
    else {
        S_start_timer(&run, &run.next, 1.0, S_on_next);
        S_start_timer(&run, &run.faults_end, S_seconds - RECOVERY_S,
                      S_on_faults_end);
    }
    S_start_timer(&run, &run.end,
                  S_seconds + (S_no_faults ? soak->deadline_ms / 1000.0 : 0),
                  S_on_end);
    ev_run(run.loop, 0);
    ev_timer_stop(run.loop, &run.silence);
    ev_timer_stop(run.loop, &run.limits);
    SoakCallers_Stop(soak);
    SoakFleet_Stop(soak);
    unsigned answered_after_faults = S_check_service(soak);
    S_check_held(soak);
    SoakVersions_CheckShare(soak->versions);
    if (soak->silences > 0) {
        SoakLoad_PrintSilences(soak);
    }
    printf("seed %u: %u requests, %u answered, %u of them at the end, %u "
           "broken; %u upstreams crashed under a deadly request\n",
           seed, g_hash_table_size(soak->requests), soak->answered_good,
           answered_after_faults, soak->violations, soak->deadly_runs);
    if (S_no_faults) {
        SoakLoad_Print(soak);
    }
    SoakVersions_Print(soak->versions);
    SoakRepeats_Print(soak->repeats);
    unsigned violations = soak->violations;
    S_destroy(&run);
    return violations;
}

int
main(int argc, char **argv)
{
    GOptionEntry entries[] = {
        {"seconds", 0, 0, G_OPTION_ARG_INT, &S_seconds, "Length", "N"},
        {"gateways", 0, 0, G_OPTION_ARG_INT, &S_gateways, "Gateways", "N"},
        {"runners", 0, 0, G_OPTION_ARG_INT, &S_upstreams, "Upstreams", "N"},
        {"rate", 0, 0, G_OPTION_ARG_INT, &S_rate, "Requests a second", "N"},
        {"deadly", 0, 0, G_OPTION_ARG_INT, &S_deadly,
         "Pause between requests that crash upstreams; 0: none", "MS"},
        {"deadly-part", 0, 0, G_OPTION_ARG_NONE, &S_deadly_part,
         "These requests share a part of their prompts only", NULL},
        {"unframed", 0, 0, G_OPTION_ARG_NONE, &S_unframed,
         "Streams end with their connections", NULL},
        {"silent", 0, 0, G_OPTION_ARG_INT, &S_silent,
         "Pause between silences of upstreams; 0: none", "MS"},
        {"limits", 0, 0, G_OPTION_ARG_INT, &S_limits,
         "Pause between limits that upstreams name; 0: none", "MS"},
        {"store-cuts", 0, 0, G_OPTION_ARG_INT, &S_cuts,
         "Pause between cuts of gateways from the store, 6000 at least; 0: "
         "none",
         "MS"},
        {"failing", 0, 0, G_OPTION_ARG_INT, &S_failing,
         "Pause between failures of upstreams in series; 0: none", "MS"},
        {"restarts", 0, 0, G_OPTION_ARG_INT, &S_restarts,
         "Pause between restarts of all gateways; 0: none", "MS"},
        {"releases", 0, 0, G_OPTION_ARG_INT, &S_releases,
         "Pause between releases of upstreams' software; 0: none", "MS"},
        {"pauses", 0, 0, G_OPTION_ARG_INT, &S_pauses,
         "Pause between long pauses of all upstreams; 0: none", "MS"},
        {"copies", 0, 0, G_OPTION_ARG_NONE, &S_copies,
         "Upstreams send late copies of answers", NULL},
        {"silent-all", 0, 0, G_OPTION_ARG_NONE, &S_all_silent,
         "All upstreams fall silent at once", NULL},
        {"planned", 0, 0, G_OPTION_ARG_NONE, &S_planned,
         "No faults but silences and planned work", NULL},
        {"retry-slack", 0, 0, G_OPTION_ARG_INT, &S_retry_slack,
         "Retries of the fleet that requests needn't earn", "N"},
        {"early-repeats", 0, 0, G_OPTION_ARG_INT, &S_early_repeats,
         "Requests of 100 that gateways may repeat early; 0: none", "N"},
        {"ejection", 0, 0, G_OPTION_ARG_INT, &S_ejection,
         "Requests a second to upstreams that fail most; 0: none is ejected",
         "N"},
        {"calm", 0, 0, G_OPTION_ARG_NONE, &S_no_faults,
         "No faults; print a table", NULL},
        {"verbose", 0, 0, G_OPTION_ARG_NONE, &S_verbose, "Print faults", NULL},
        G_OPTION_ENTRY_NULL};
    GOptionContext *context =
        g_option_context_new("GATEWAY DIRECTORY SEED - inject faults");
    g_option_context_add_main_entries(context, entries, NULL);
    bool parsed = g_option_context_parse(context, &argc, &argv, NULL);
    g_option_context_free(context);
    if (!parsed || argc != 4) {
        fputs("usage: gatesoak GATEWAY DIRECTORY SEED [options]\n", stderr);
        return 2;
    }
    setvbuf(stdout, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    unsigned seed = (unsigned)strtoul(argv[3], NULL, 10);
    return S_run(argv[1], argv[2], seed) > 0 ? 1 : 0;
}
