/* gw_gossip.c - the sockets on which instances talk to each other. */
#include "gw_gossip.h"

#include "gw_inbound.h"
#include "itemcodec.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Datagrams read in a row before other events have their turn. */
#define READS_AT_ONCE 64

/* Addresses named in a report: all of a small fleet, a part of a large one. */
#define MEMBERS_TOLD 12

/* While the store answers, its changes arrive by themselves this soon. */
#define BEHIND_MS 900

/* Pause between two fetches, and the time that one may take. */
#define FETCH_PAUSE_MS 150
#define FETCH_TIMEOUT_S 1.5
#define FETCH_CONNECT_MS 400

/* A started instance reads the store itself until it knows its peers. */
#define READ_FIRST_MS 1000

#define ITEMS_PATH "/items?after="

/* Requests of peers are small. */
#define PEER_HEADER_BYTES 2048
#define PEER_BODY_BYTES 1024
#define PEER_CONNECTIONS 128
#define PEER_TIMEOUT_MS 5000

#define MS_PER_S 1000

struct BsGossipTask {
    BsGate *gate;
    BsReplica *replica;
    BsGossip *gossip;
    BsInboundServer *server;
    uint32_t address;
    uint16_t port;
    int fd;
    ev_io readable;
    uint64_t incarnation;
    uint64_t sequence;
    uint32_t data_centre;
    BsGossipReading reading;
    uint64_t told_newest;  /* of the items, when it last changed */
    int64_t read_until_ms; /* reads the store in any case */
    BsOutbound *fetch;
    GString *fetched;
    uint32_t fetch_status;
    ev_timer fetch_timer;
    int64_t fetched_ms;
    int64_t behind_ms; /* since when others know more; 0: they do not */
};

/* ----------------------------------------------------------- telling -- */

static void
S_fill(BsGossipTask *task, BsGossipReport *report, int64_t now_ms)
{
    BsGate *gate = task->gate;
    report->incarnation = task->incarnation;
    report->sequence = ++task->sequence;
    report->revision = BsReplica_Complete(task->replica);
    report->newest = BsReplica_Newest(task->replica);
    report->reading = task->reading;
    report->catalog =
        gate->catalog == NULL ? 0 : BsCatalog_Version(gate->catalog);
    report->data_centre = task->data_centre;
    report->stopping = gate->stopping;
    BsTargets_AppendLoads(gate->targets, now_ms, report->loads);
    BsQuotas_AppendUses(gate->quotas, report->uses);
    BsCrashers_Append(gate->crashers, now_ms, report->crashers);
    BsGossip_AppendMembers(task->gossip, gate->random, MEMBERS_TOLD, now_ms,
                           report->members);
}

static void
S_send(BsGossipTask *task, uint32_t address, const GString *data)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(task->port)};
    to.sin_addr.s_addr = htonl(address);
    /* A full or failing socket loses the report; the next one mends it. */
    if (sendto(task->fd, data->str, data->len, MSG_DONTWAIT | MSG_NOSIGNAL,
               (const struct sockaddr *)&to, sizeof(to)) < 0) {
        BsCounters_Add(task->gate->counters, "gossip_send_errors_total", 1);
    }
}

void
BsGossipTask_Tell(BsGossipTask *task, bool changed)
{
    int64_t now_ms = BsClock_NowMs(task->gate->clock);
    GArray *due = BsGossip_Due(task->gossip, changed, now_ms);
    if (due->len > 0) {
        BsGossipReport report;
        GString *data = g_string_sized_new(BS_GOSSIP_MAX_BYTES);
        BsGossipReport_Init(&report);
        S_fill(task, &report, now_ms);
        BsGossipReport_Encode(&report, data);
        for (guint i = 0; i < due->len; i++) {
            S_send(task, g_array_index(due, uint32_t, i), data);
        }
        BsGossipReport_Clear(&report);
        g_string_free(data, TRUE);
    }
    g_array_unref(due);
}

/* --------------------------------------------------------- listening -- */

static void
S_take(BsGossipTask *task, const char *data, size_t size_bytes,
       uint32_t address)
{
    BsGate *gate = task->gate;
    BsGossipReport report;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsGossipReport_Init(&report);
    if (!BsGossipReport_Decode(data, size_bytes, &report)) {
        BsCounters_Add(gate->counters, "gossip_broken_total", 1);
    }
    else if (BsGossip_Take(task->gossip, address, &report, now_ms) != NULL) {
        BsLapses_NoteRevision(gate->lapses, report.newest, now_ms);
        BsTargets_SetPeer(gate->targets, address, report.loads, now_ms);
        BsQuotas_SetPeer(gate->quotas, address, report.incarnation,
                         report.uses);
        BsCrashers_SetPeer(gate->crashers, address, report.crashers, now_ms);
        gate->places_changed = true;
    }
    BsGossipReport_Clear(&report);
}

static void
S_on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    BsGossipTask *task = watcher->data;
    char buffer[BS_GOSSIP_MAX_BYTES + 1];
    for (int i = 0; i < READS_AT_ONCE; i++) {
        struct sockaddr_in from = {0};
        socklen_t length = sizeof(from);
        ssize_t size = recvfrom(task->fd, buffer, sizeof(buffer), MSG_DONTWAIT,
                                (struct sockaddr *)&from, &length);
        if (size < 0) {
            return;
        }
        S_take(task, buffer, (size_t)size, ntohl(from.sin_addr.s_addr));
    }
}

/* ------------------------------------------------------------- items -- */

static void
S_on_request(BsInbound *inbound, const BsHttpHead *head, const GString *body,
             void *context)
{
    (void)body;
    BsGossipTask *task = context;
    if (!g_str_has_prefix(head->target, ITEMS_PATH)) {
        BsInbound_Answer(inbound, 404, NULL, "", 0);
        return;
    }
    uint64_t after =
        g_ascii_strtoull(head->target + strlen(ITEMS_PATH), NULL, 10);
    GString *data = g_string_new(NULL);
    BsItemCodec_Encode(task->replica, after, data);
    BsInbound_Answer(inbound, 200, NULL, data->str, data->len);
    g_string_free(data, TRUE);
}

static void
S_on_gone(BsInbound *inbound, void *context)
{
    (void)inbound;
    (void)context;
}

static const BsInboundApp S_app = {
    .on_request = S_on_request,
    .on_gone = S_on_gone,
};

static void
S_on_fetch_head(const BsHttpHead *head, void *context)
{
    ((BsGossipTask *)context)->fetch_status = head->status;
}

static void
S_on_fetch_body(const char *data, size_t size_bytes, void *context)
{
    BsGossipTask *task = context;
    g_string_append_len(task->fetched, data, (gssize)size_bytes);
}

static void
S_on_fetch_end(BsOutboundEnd end, void *context)
{
    BsGossipTask *task = context;
    BsGate *gate = task->gate;
    task->fetch = NULL;
    ev_timer_stop(gate->loop, &task->fetch_timer);
    bool good = end == BS_OUTBOUND_DONE && task->fetch_status == 200 &&
                BsItemCodec_Apply(task->fetched->str, task->fetched->len,
                                  task->replica);
    BsCounters_Add(gate->counters,
                   good ? "peer_fetches_total{outcome=\"good\"}"
                        : "peer_fetches_total{outcome=\"failed\"}",
                   1);
}

static const BsOutboundEvents S_fetch_events = {
    .on_head = S_on_fetch_head,
    .on_body = S_on_fetch_body,
    .on_end = S_on_fetch_end,
};

static void
S_on_fetch_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    BsGossipTask *task = watcher->data;
    BsOutbound_Cancel(task->fetch);
    task->fetch = NULL;
    BsCounters_Add(task->gate->counters,
                   "peer_fetches_total{outcome=\"timeout\"}", 1);
}

static void
S_start_fetch(BsGossipTask *task, const BsGossipMember *member, int64_t now_ms)
{
    char owner[INET_ADDRSTRLEN];
    BsOutboundRequest request = {
        .reuse_idle_ms = FETCH_PAUSE_MS * 4,
        .connect_timeout_ms = FETCH_CONNECT_MS,
        .message = g_string_new(NULL),
    };
    request.address.sin_family = AF_INET;
    request.address.sin_port = htons(task->port);
    request.address.sin_addr.s_addr = htonl(member->address);
    inet_ntop(AF_INET, &request.address.sin_addr, owner, sizeof(owner));
    request.owner = owner;
    g_string_append_printf(request.message,
                           "GET " ITEMS_PATH "%" G_GUINT64_FORMAT
                           " HTTP/1.1\r\nHost: %s\r\n\r\n",
                           BsReplica_Complete(task->replica), owner);
    g_string_truncate(task->fetched, 0);
    task->fetched_ms = now_ms;
    task->fetch_status = 0;
    task->fetch =
        BsOutbound_Start(task->gate->pool, &request, &S_fetch_events, task);
    ev_timer_set(&task->fetch_timer, FETCH_TIMEOUT_S, 0);
    ev_timer_start(task->gate->loop, &task->fetch_timer);
}

/* Fetches items that another instance knows and the store does not give. */
static void
S_catch_up(BsGossipTask *task, int64_t now_ms)
{
    const BsGossipMember *newer =
        BsGossip_Newer(task->gossip, BsReplica_Complete(task->replica),
                       BsReplica_Newest(task->replica), now_ms);
    if (newer == NULL) {
        task->behind_ms = 0;
        return;
    }
    if (task->behind_ms == 0) {
        task->behind_ms = now_ms;
    }
    bool others_tell = task->reading != BS_GOSSIP_READS &&
                       BsGossip_IsNear(task->gossip, newer);
    bool needed = others_tell || now_ms - task->behind_ms > BEHIND_MS;
    if (needed && task->fetch == NULL &&
        now_ms - task->fetched_ms >= FETCH_PAUSE_MS) {
        S_start_fetch(task, newer, now_ms);
    }
}

static void
S_log_reading(BsGossipTask *task)
{
    static const char *const names[] = {"others", "store", "none"};
    BsEventLog *log = task->gate->log;
    if (BsEventLog_Begin(log, BS_EVENT_STATE, "changes_heard_from")) {
        BsEventLog_Text(log, "source", names[task->reading]);
        BsEventLog_Number(log, "revision",
                          (int64_t)BsReplica_Complete(task->replica));
        BsEventLog_End(log);
    }
}

/* Decides whether to read the store for the others of the data centre. */
static void
S_choose_reading(BsGossipTask *task, bool store_up, int64_t now_ms)
{
    uint64_t newest = BsReplica_Newest(task->replica);
    if (newest != task->told_newest) {
        task->told_newest = newest;
        task->gate->loads_changed = true;
    }
    bool reads = now_ms < task->read_until_ms ||
                 BsGossip_IsReader(task->gossip, now_ms);
    BsGossipReading reading = !reads     ? BS_GOSSIP_IDLE
                              : store_up ? BS_GOSSIP_READS
                                         : BS_GOSSIP_FAILS;
    if (reading != task->reading) {
        task->reading = reading;
        S_log_reading(task);
    }
}

/* -------------------------------------------------------------- tick -- */

static void
S_on_silent(const BsGossipMember *member, void *context)
{
    BsGossipTask *task = context;
    BsGate *gate = task->gate;
    struct in_addr address = {.s_addr = htonl(member->address)};
    char text[INET_ADDRSTRLEN];
    BsTargets_DropPeer(gate->targets, member->address);
    gate->places_changed = true;
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE, "peer_silent")) {
        inet_ntop(AF_INET, &address, text, sizeof(text));
        BsEventLog_Text(gate->log, "peer", text);
        BsEventLog_Number(gate->log, "silent_ms",
                          BsClock_NowMs(gate->clock) - member->heard_ms);
        BsEventLog_End(gate->log);
    }
}

static void
S_set_senders(BsGossipTask *task, int64_t now_ms)
{
    GArray *senders = g_array_new(FALSE, FALSE, sizeof(BsTargetSender));
    BsGossip_AppendSenders(task->gossip, now_ms, senders);
    BsTargets_SetSenders(task->gate->targets, task->address, senders);
    g_array_unref(senders);
}

bool
BsGossipTask_Tick(BsGossipTask *task, bool store_up)
{
    BsGate *gate = task->gate;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsGossip_EachSilent(task->gossip, now_ms, S_on_silent, task);
    double share = BsGossip_Share(task->gossip, now_ms);
    gate->instances = BsGossip_Known(task->gossip, now_ms);
    BsTargets_SetShare(gate->targets, share);
    BsQuotas_SetShare(gate->quotas, share);
    BsTargets_SetFarAge(gate->targets,
                        BsGossip_FarAgeMs(task->gossip, now_ms));
    S_set_senders(task, now_ms);
    BsGossipTask_Tell(task, false);
    S_choose_reading(task, store_up, now_ms);
    S_catch_up(task, now_ms);
    return task->reading != BS_GOSSIP_IDLE;
}

int64_t
BsGossipTask_StoreFailedMs(const BsGossipTask *task)
{
    return BsGossip_StoreFailedMs(task->gossip);
}

/* ------------------------------------------------------------- start -- */

static bool
S_open(BsGossipTask *task, const struct sockaddr_in *address, GError **error)
{
    BsInboundLimits limits = {
        .header_bytes = PEER_HEADER_BYTES,
        .body_bytes = PEER_BODY_BYTES,
        .header_timeout_ms = PEER_TIMEOUT_MS,
        .idle_timeout_ms = PEER_TIMEOUT_MS,
        .held_bytes = PEER_BODY_BYTES,
        .connections = PEER_CONNECTIONS,
    };
    task->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (task->fd < 0 || bind(task->fd, (const struct sockaddr *)address,
                             sizeof(*address)) != 0) {
        g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                    "cannot use UDP port %u: %s; name a free address in peers",
                    task->port, g_strerror(errno));
        return false;
    }
    task->server =
        BsInboundServer_Create(task->gate->loop, task->gate->clock, address,
                               &S_app, task, &limits, error);
    return task->server != NULL;
}

void
BsGossipTask_AddSeeds(BsGossipTask *task)
{
    const BsGateSettings *settings = task->gate->settings;
    int64_t now_ms = BsClock_NowMs(task->gate->clock);
    for (unsigned i = 0; i < settings->seeds_count; i++) {
        struct sockaddr_in seed;
        BsGateSettings_ParseAddress(settings->seeds[i], &seed);
        BsGossip_AddSeed(task->gossip, ntohl(seed.sin_addr.s_addr), now_ms);
    }
}

/* Returns a number that is larger at each start of the instance, as far as
   its wall clock keeps growing. */
static uint64_t
S_incarnation(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * MS_PER_S +
           (uint64_t)now.tv_nsec / (MS_PER_S * MS_PER_S);
}

BsGossipTask *
BsGossipTask_Create(BsGate *gate, BsReplica *replica, GError **error)
{
    BsGossipTask *task = g_new0(BsGossipTask, 1);
    struct sockaddr_in address;
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsGateSettings_ParseAddress(gate->settings->peers, &address);
    task->gate = gate;
    task->replica = replica;
    task->address = ntohl(address.sin_addr.s_addr);
    task->port = ntohs(address.sin_port);
    task->incarnation = S_incarnation();
    task->read_until_ms = now_ms + READ_FIRST_MS;
    task->data_centre = (uint32_t)BsTargets_Hash(gate->settings->data_centre);
    task->fetched = g_string_new(NULL);
    task->gossip = BsGossip_Create(task->address, task->data_centre, now_ms);
    ev_timer_init(&task->fetch_timer, S_on_fetch_timeout, 1, 0);
    task->fetch_timer.data = task;
    if (!S_open(task, &address, error)) {
        BsGossipTask_Destroy(task);
        return NULL;
    }
    BsGossipTask_AddSeeds(task);
    ev_io_init(&task->readable, S_on_readable, task->fd, EV_READ);
    task->readable.data = task;
    ev_io_start(gate->loop, &task->readable);
    return task;
}

void
BsGossipTask_Destroy(BsGossipTask *task)
{
    if (task == NULL) {
        return;
    }
    BsOutbound_Cancel(task->fetch);
    ev_timer_stop(task->gate->loop, &task->fetch_timer);
    if (ev_is_active(&task->readable)) {
        ev_io_stop(task->gate->loop, &task->readable);
    }
    if (task->fd >= 0) {
        close(task->fd);
    }
    BsInboundServer_Destroy(task->server);
    BsGossip_Destroy(task->gossip);
    g_string_free(task->fetched, TRUE);
    g_free(task);
}
