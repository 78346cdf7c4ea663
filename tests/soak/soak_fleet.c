/* soak_fleet.c - the gateway processes and the signals sent to them. */
#include "soak.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define GRACE_MS 8000
#define RESTART_MS 100

/* Part of the grace period after which unanswered requests may be cut. */
#define GRACE_USED_MS (GRACE_MS * 5 / 6)

/* Uptime after which a gateway has received the state of the others. */
#define SYNCED_MS 1500

#define SEEDS_MAX 3U

/* Low, so that a short run sends many early repeats. */
#define EARLY_REPEATS_PERCENTILE 80

typedef struct {
    Soak *soak;
    unsigned number;
    pid_t pid; /* 0 while it is down */
    char *settings;
    SoakProxy *store_path;
    SoakProxyMode store_mode;
    ev_child child;
    ev_timer start; /* restart, or end of a pause */
    ev_timer grace; /* SIGKILL after SIGTERM */
    int64_t fault_ms;
    int64_t up_since_ms; /* when it started or last resumed */
    int64_t term_ms;     /* when its planned stop began; 0: none */
    bool paused;
    bool soak_ending; /* the soak ends: no restart */
} Gateway;

static Gateway S_gateways[SOAK_GATEWAYS_MAX];
static const char *S_program;
static const char *S_directory;

static void
S_write_settings(Gateway *gateway)
{
    Soak *soak = gateway->soak;
    char host[INET_ADDRSTRLEN];
    char store[INET_ADDRSTRLEN];
    char seed[INET_ADDRSTRLEN];
    GString *seeds = g_string_new(NULL);
    struct sockaddr_in address;
    Soak_Address(soak, gateway->number, 0, &address);
    inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
    Soak_Address(soak, SOAK_STORE_PATHS_HOST, 0, &address);
    inet_ntop(AF_INET, &address.sin_addr, store, sizeof(store));
    for (unsigned i = 0; i < MIN(SEEDS_MAX, soak->gateway_count); i++) {
        Soak_Address(soak, i, 0, &address);
        inet_ntop(AF_INET, &address.sin_addr, seed, sizeof(seed));
        g_string_append_printf(seeds, "%s\"%s:1\"", i == 0 ? "" : ", ", seed);
    }
    char *text = g_strdup_printf(
        "name: gw-%u\ndata_centre: d%u\nregion: r\ndata_centres:\n"
        "  - { name: d0, region: r }\n  - { name: d1, region: r }\n"
        "callers: \"%s:%d\"\nready: \"%s:%d\"\nadmin: \"%s:%d\"\n"
        "peers: \"%s:%d\"\nseeds: [ %s ]\nstore: \"%s:%u\"\n"
        "machine: { memory_mb: 110, descriptors: 800 }\n"
        "bounds: { drain_ms: 2500, grace_s: %d, retry_ratio: %g, "
        "retry_slack: %u, retry_window_s: %d, quota_over: 0.25, "
        "quota_slack: 0 }\n"
        "early_repeats: { percent: %u, percentile: %d }\n"
        "ejection: { probe_per_s: %u }\n",
        gateway->number, gateway->number % 2, host, SOAK_CALLERS_PORT, host,
        SOAK_READY_PORT, host, SOAK_ADMIN_PORT, host, SOAK_PEERS_PORT,
        seeds->str, store, SoakNetwork_StorePathPort(gateway->number),
        GRACE_MS / 1000, SOAK_RETRY_RATIO, soak->retry_slack,
        SOAK_RETRY_WINDOW_MS / 1000, soak->early_repeats,
        EARLY_REPEATS_PERCENTILE, soak->ejection_per_s);
    if (!g_file_set_contents(gateway->settings, text, -1, NULL)) {
        g_error("%s: cannot be written", gateway->settings);
    }
    g_string_free(seeds, TRUE);
    g_free(text);
}

static void
S_exec(const Gateway *gateway)
{
    char *log = g_strdup_printf("%s/gw-%u.log", S_directory, gateway->number);
    int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(fd, STDOUT_FILENO);
    execl(S_program, S_program, gateway->settings, (char *)NULL);
    _exit(127);
}

static void S_on_child(struct ev_loop *loop, ev_child *watcher, int events);

/* Waits until the other end of the pipe FD is closed in all processes. */
static void
S_wait_closed(int fd)
{
    char byte;
    while (read(fd, &byte, 1) < 0 && errno == EINTR) {
    }
    close(fd);
}

/* Starts the process and returns when it no longer has the sockets of this
   one, which exec closes.  Before that, an upstream that crashes would still
   listen there, and its restart would find its port taken. */
static void
S_start(Gateway *gateway)
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
        g_error("gateway %u: no pipe: %s", gateway->number, g_strerror(errno));
    }
    gateway->pid = fork();
    if (gateway->pid < 0) {
        g_error("gateway %u: cannot be started: %s", gateway->number,
                g_strerror(errno));
    }
    if (gateway->pid == 0) {
        S_exec(gateway);
    }
    close(ends[1]);
    S_wait_closed(ends[0]);
    gateway->term_ms = 0;
    gateway->paused = false;
    gateway->up_since_ms = Soak_NowMs(gateway->soak);
    ev_child_init(&gateway->child, S_on_child, gateway->pid, 0);
    gateway->child.data = gateway;
    ev_child_start(gateway->soak->loop, &gateway->child);
}

static void
S_on_child(struct ev_loop *loop, ev_child *watcher, int events)
{
    (void)events;
    Gateway *gateway = watcher->data;
    Soak *soak = gateway->soak;
    ev_child_stop(loop, watcher);
    ev_timer_stop(loop, &gateway->grace);
    int status = watcher->rstatus;
    bool crashed = (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) ||
                   (WIFEXITED(status) && WEXITSTATUS(status) != 0);
    if (crashed && !gateway->soak_ending) {
        Soak_Violation(soak, "service", "gateway %u ended with status %x",
                       gateway->number, (unsigned)status);
    }
    gateway->pid = 0;
    gateway->fault_ms = Soak_NowMs(soak);
    if (!gateway->soak_ending && !ev_is_active(&gateway->start)) {
        ev_timer_set(&gateway->start, RESTART_MS / 1000.0, 0);
        ev_timer_start(loop, &gateway->start);
    }
}

static void
S_on_start(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Gateway *gateway = watcher->data;
    if (gateway->pid == 0) {
        S_start(gateway);
    }
    else if (gateway->paused) {
        kill(gateway->pid, SIGCONT);
        gateway->paused = false;
        gateway->up_since_ms = Soak_NowMs(gateway->soak);
    }
    gateway->fault_ms = Soak_NowMs(gateway->soak);
}

static void
S_on_grace(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    Gateway *gateway = watcher->data;
    if (gateway->pid > 0) {
        Soak_Violation(gateway->soak, "stop",
                       "gateway %u ran past its grace period",
                       gateway->number);
        kill(gateway->pid, SIGKILL);
    }
}

static void
S_create(Soak *soak, unsigned number)
{
    Gateway *gateway = &S_gateways[number];
    struct sockaddr_in listen_address;
    struct sockaddr_in target;
    memset(gateway, 0, sizeof(*gateway));
    gateway->soak = soak;
    gateway->number = number;
    gateway->fault_ms = Soak_NowMs(soak);
    gateway->settings = g_strdup_printf("%s/gw-%u.yaml", S_directory, number);
    Soak_Address(soak, SOAK_STORE_PATHS_HOST,
                 SoakNetwork_StorePathPort(number), &listen_address);
    Soak_Address(soak, SOAK_TARGETS_HOST, SOAK_STORE_PORT, &target);
    gateway->store_path = SoakProxy_Create(soak, &listen_address, &target);
    ev_timer_init(&gateway->start, S_on_start, 0, 0);
    ev_timer_init(&gateway->grace, S_on_grace, 0, 0);
    gateway->start.data = gateway;
    gateway->grace.data = gateway;
    S_write_settings(gateway);
    S_start(gateway);
}

void
SoakFleet_Start(Soak *soak, const char *program, const char *directory)
{
    S_program = program;
    S_directory = directory;
    for (unsigned i = 0; i < soak->gateway_count; i++) {
        S_create(soak, i);
    }
}

void
SoakFleet_Stop(Soak *soak)
{
    for (unsigned i = 0; i < soak->gateway_count; i++) {
        Gateway *gateway = &S_gateways[i];
        gateway->soak_ending = true;
        ev_timer_stop(soak->loop, &gateway->start);
        ev_timer_stop(soak->loop, &gateway->grace);
        ev_child_stop(soak->loop, &gateway->child);
        if (gateway->pid > 0) {
            kill(gateway->pid, SIGKILL);
            waitpid(gateway->pid, NULL, 0);
        }
        SoakProxy_Destroy(gateway->store_path);
        g_free(gateway->settings);
    }
}

int64_t
SoakFleet_FaultMs(unsigned number)
{
    const Gateway *gateway = &S_gateways[number];
    /* While a fault lasts, the last fault is now. */
    bool faulty = gateway->pid == 0 || gateway->paused ||
                  gateway->store_mode != SOAK_PASS;
    return faulty ? Soak_NowMs(gateway->soak) : gateway->fault_ms;
}

int64_t
SoakFleet_UptimeMs(unsigned number)
{
    const Gateway *gateway = &S_gateways[number];
    bool runs = gateway->pid > 0 && !gateway->paused && gateway->term_ms == 0;
    return runs ? Soak_NowMs(gateway->soak) - gateway->up_since_ms : 0;
}

bool
SoakFleet_HasSyncedGateway(const Soak *soak)
{
    for (unsigned i = 0; i < soak->gateway_count; i++) {
        if (SoakFleet_UptimeMs(i) > SYNCED_MS) {
            return true;
        }
    }
    return false;
}

bool
SoakFleet_IsGraceOver(unsigned number)
{
    const Gateway *gateway = &S_gateways[number];
    return gateway->term_ms > 0 &&
           Soak_NowMs(gateway->soak) >= gateway->term_ms + GRACE_USED_MS;
}

bool
SoakFleet_IsStopping(unsigned gateway)
{
    const Gateway *self = &S_gateways[gateway];
    return self->term_ms > 0 && self->fault_ms < self->term_ms;
}

void
SoakFleet_Signal(Soak *soak, unsigned number, int signal_number, int down_ms)
{
    Gateway *gateway = &S_gateways[number];
    if (gateway->pid == 0 || gateway->paused || gateway->term_ms > 0) {
        return;
    }
    if (signal_number == SIGTERM) {
        gateway->term_ms = Soak_NowMs(soak);
        ev_timer_set(&gateway->grace, GRACE_MS / 1000.0, 0);
        ev_timer_start(soak->loop, &gateway->grace);
    }
    else if (signal_number != SIGHUP) {
        gateway->fault_ms = Soak_NowMs(soak);
        ev_timer_set(&gateway->start, down_ms / 1000.0, 0);
        ev_timer_start(soak->loop, &gateway->start);
    }
    gateway->paused = signal_number == SIGSTOP;
    kill(gateway->pid, signal_number);
}

SoakProxyMode
SoakFleet_StorePath(unsigned number)
{
    return S_gateways[number].store_mode;
}

void
SoakFleet_SetStorePath(Soak *soak, unsigned number, SoakProxyMode mode)
{
    S_gateways[number].fault_ms = Soak_NowMs(soak);
    S_gateways[number].store_mode = mode;
    SoakProxy_SetMode(S_gateways[number].store_path, mode);
}
