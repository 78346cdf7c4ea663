/*
 * slopes.c - measures how costs scale with the size of the fleet.
 *
 * Prints the tables quoted in docs/CAPACITY.md.  Bytes and messages are
 * exact; CPU time is that of this process and includes the test harness.
 *
 * usage: slopes [PART]; without PART it runs all parts.
 */
#include "slopes.h"

#include "sheet.h"

#include <stdio.h>
#include <string.h>

#define SEED 20261204
#define SETTLE_MS 20000
#define STEADY_MS 30000
#define PROPAGATION_LIMIT_MS 30000
#define PROPAGATION_STEP_MS 10
#define REQUESTS 2000
#define REQUEST_INTERVAL_MS 10
#define OPEN_AFTER_MS 150 /* requests are still open */
#define US_PER_S 1000000.0
#define MS_PER_S 1000.0

typedef struct {
    const char *name;
    void (*run)(void);
} SlopesPart;

static const uint32_t S_sizes[] = {9, 40, 100, 340};

static const uint32_t S_control_kinds[] = {
    BS_DIGEST,        BS_PROBE,      BS_PROBE_REPLY, BS_COLLECT,
    BS_COLLECT_REPLY, BS_SHEET_PULL, BS_SHEET_PUSH,  BS_SUSPECT,
};

#define CONTROL_KINDS G_N_ELEMENTS(S_control_kinds)

static SlopesFleet
S_fleet(uint32_t instances)
{
    SlopesFleet fleet = {
        .instances = instances,
        .data_centres = 5,
        .upstreams = instances * 2,
        .accounts = 5,
        .models = 3,
    };
    return fleet;
}

/* ---------------------------------------------------------------------- */
/* Control traffic of an idle fleet                                        */
/* ---------------------------------------------------------------------- */

static void
S_steady_row(uint32_t instances)
{
    SlopesFleet fleet = S_fleet(instances);
    World *world = Slopes_CreateWorld(&fleet, SEED, SETTLE_MS);
    double instance_seconds = instances * STEADY_MS / MS_PER_S;
    uint64_t kinds[CONTROL_KINDS];
    uint64_t messages = World_PeerMessages(world);
    uint64_t bytes = World_PeerBytes(world);
    for (size_t i = 0; i < CONTROL_KINDS; i++) {
        kinds[i] = World_PeerBytesOfKind(world, S_control_kinds[i]);
    }
    int64_t cpu_us = Slopes_CpuUs();
    World_Run(world, STEADY_MS);
    cpu_us = Slopes_CpuUs() - cpu_us;
    printf("| %u | %.2f | %.0f |", instances,
           (double)(World_PeerMessages(world) - messages) / instance_seconds,
           (double)(World_PeerBytes(world) - bytes) / instance_seconds);
    for (size_t i = 0; i < CONTROL_KINDS; i++) {
        uint64_t sent =
            World_PeerBytesOfKind(world, S_control_kinds[i]) - kinds[i];
        printf(" %.0f |", (double)sent / instance_seconds);
    }
    printf(" %.3f |\n",
           100.0 * (double)cpu_us / (instance_seconds * US_PER_S));
    World_Destroy(world);
}

static void
S_steady(void)
{
    printf("\n### Control traffic of a steady fleet, per instance and "
           "second\n\n| instances | messages | bytes |");
    for (size_t i = 0; i < CONTROL_KINDS; i++) {
        printf(" %s |", BsMessage_KindName(S_control_kinds[i]));
    }
    printf(" %% of a core |\n|");
    for (size_t i = 0; i < CONTROL_KINDS + 4; i++) {
        printf(" ---: |");
    }
    printf("\n");
    for (size_t i = 0; i < G_N_ELEMENTS(S_sizes); i++) {
        S_steady_row(S_sizes[i]);
    }
}

/* ---------------------------------------------------------------------- */
/* Time until a new sheet is in force everywhere                           */
/* ---------------------------------------------------------------------- */

static int64_t
S_propagation_ms(World *world, const SlopesFleet *fleet, uint64_t revision)
{
    char *sheet = Slopes_CreateSheet(fleet, revision);
    int64_t start_ms = World_NowMs(world);
    World_PublishSheet(world, revision, sheet, 0);
    g_free(sheet);
    while (World_NowMs(world) - start_ms < PROPAGATION_LIMIT_MS) {
        World_Run(world, PROPAGATION_STEP_MS);
        if (Slopes_CountInForce(world, fleet, revision) == fleet->instances) {
            return World_NowMs(world) - start_ms;
        }
    }
    return -1;
}

static void
S_restart_third(World *world, const SlopesFleet *fleet)
{
    for (uint32_t i = 0; i < fleet->instances; i += 3) {
        World_Restart(world, Slopes_InstanceName(i));
    }
}

static void
S_propagation_row(uint32_t instances)
{
    static const double losses[] = {0, 0.01, 0.1};
    SlopesFleet fleet = S_fleet(instances);
    World *world = Slopes_CreateWorld(&fleet, SEED, SETTLE_MS);
    uint64_t revision = 2;
    printf("| %u |", instances);
    for (size_t i = 0; i < G_N_ELEMENTS(losses); i++) {
        World_SetNetwork(world, losses[i], 0, 0);
        printf(" %" G_GINT64_FORMAT " |",
               S_propagation_ms(world, &fleet, revision++));
    }
    World_SetNetwork(world, 0, 0, 0);
    S_restart_third(world, &fleet);
    printf(" %" G_GINT64_FORMAT " |\n",
           S_propagation_ms(world, &fleet, revision));
    World_Destroy(world);
}

static void
S_propagation(void)
{
    printf("\n### Time until a new sheet is in force everywhere, ms "
           "(-1: not within %d ms)\n\n"
           "| instances | no loss | 1%% loss | 10%% loss | a third "
           "restarted |\n| ---: | ---: | ---: | ---: | ---: |\n",
           PROPAGATION_LIMIT_MS);
    for (size_t i = 0; i < G_N_ELEMENTS(S_sizes); i++) {
        S_propagation_row(S_sizes[i]);
    }
}

/* ---------------------------------------------------------------------- */
/* Bytes of a sheet change                                                 */
/* ---------------------------------------------------------------------- */

static uint64_t
S_sheet_bytes(const World *world)
{
    return World_PeerBytesOfKind(world, BS_SHEET_PULL) +
           World_PeerBytesOfKind(world, BS_SHEET_PUSH);
}

static void
S_change_row(uint32_t instances, uint32_t accounts)
{
    SlopesFleet fleet = S_fleet(instances);
    fleet.accounts = accounts;
    World *world = Slopes_CreateWorld(&fleet, SEED, SETTLE_MS);
    uint64_t bytes = S_sheet_bytes(world);
    int64_t cpu_us = Slopes_CpuUs();
    int64_t took_ms = S_propagation_ms(world, &fleet, 2);
    cpu_us = Slopes_CpuUs() - cpu_us;
    World_Run(world, SETTLE_MS);
    printf("| %u | %u | %" G_GINT64_FORMAT " | %.0f | %.1f |\n", instances,
           accounts, took_ms,
           (double)(S_sheet_bytes(world) - bytes) / instances,
           (double)cpu_us / MS_PER_S / instances);
    World_Destroy(world);
}

static void
S_changes(void)
{
    printf("\n### One changed line of a sheet\n\n"
           "| instances | accounts listed | ms to all | bytes sent per "
           "instance | ms of processor per instance |\n"
           "| ---: | ---: | ---: | ---: | ---: |\n");
    S_change_row(9, 5);
    S_change_row(9, 1000);
    S_change_row(40, 5);
    S_change_row(40, 1000);
    S_change_row(340, 5);
}

/* ---------------------------------------------------------------------- */
/* Loss of one instance                                                    */
/* ---------------------------------------------------------------------- */

static uint64_t
S_control_bytes(const World *world)
{
    uint64_t bytes = 0;
    for (size_t i = 0; i < CONTROL_KINDS; i++) {
        bytes += World_PeerBytesOfKind(world, S_control_kinds[i]);
    }
    return bytes;
}

/* Runs for SETTLE_MS; returns the control bytes sent, and sets CPU_US to the
   CPU time used. */
static uint64_t
S_measure_settling(World *world, int64_t *cpu_us)
{
    uint64_t before = S_control_bytes(world);
    *cpu_us = -Slopes_CpuUs();
    World_Run(world, SETTLE_MS);
    *cpu_us += Slopes_CpuUs();
    return S_control_bytes(world) - before;
}

static void
S_loss_row(uint32_t instances)
{
    SlopesFleet fleet = S_fleet(instances);
    World *world = Slopes_CreateWorld(&fleet, SEED, SETTLE_MS);
    int64_t idle_us;
    int64_t lost_us;
    uint64_t idle = S_measure_settling(world, &idle_us);
    World_Kill(world, Slopes_InstanceName(1));
    World_SetListed(world, Slopes_InstanceName(1), 0);
    World_PublishList(world, 0);
    uint64_t lost = S_measure_settling(world, &lost_us);
    double extra = (double)lost - (double)idle;
    printf("| %u | %.0f | %.1f | %.1f |\n", instances, extra / instances,
           extra / instances / instances,
           (double)(lost_us - idle_us) / MS_PER_S / instances);
    World_Destroy(world);
}

static void
S_loss(void)
{
    printf("\n### Extra control bytes after the loss of one instance\n\n"
           "| instances | bytes per instance | per instance and peer | ms of "
           "processor per instance |\n| ---: | ---: | ---: | ---: |\n");
    for (size_t i = 0; i < G_N_ELEMENTS(S_sizes); i++) {
        S_loss_row(S_sizes[i]);
    }
}

/* ---------------------------------------------------------------------- */
/* Sheets                                                                  */
/* ---------------------------------------------------------------------- */

static void
S_sheet_row(uint32_t accounts)
{
    SlopesFleet fleet = S_fleet(9);
    GError *error = NULL;
    fleet.accounts = accounts;
    char *text = Slopes_CreateSheet(&fleet, 1);
    size_t size = strlen(text);
    uint64_t heap = Slopes_HeapBytes();
    int64_t cpu_us = Slopes_CpuUs();
    BsSheet *sheet = BsSheet_Parse(text, size, &error);
    cpu_us = Slopes_CpuUs() - cpu_us;
    if (sheet == NULL) {
        printf("| %u | %zu | refused: %s | |\n", accounts, size,
               error->message);
        g_clear_error(&error);
    }
    else {
        printf("| %u | %zu | %.1f | %.0f |\n", accounts, size,
               (double)cpu_us / MS_PER_S,
               (double)(Slopes_HeapBytes() - heap) / accounts);
    }
    BsSheet_Destroy(sheet);
    g_free(text);
}

static void
S_sheets(void)
{
    static const uint32_t accounts[] = {100, 1000, 5000, 9000, 21000};
    printf("\n### Parsing a sheet\n\n"
           "| accounts | bytes | ms | heap bytes per account |\n"
           "| ---: | ---: | ---: | ---: |\n");
    for (size_t i = 0; i < G_N_ELEMENTS(accounts); i++) {
        S_sheet_row(accounts[i]);
    }
}

/* ---------------------------------------------------------------------- */
/* Requests                                                                */
/* ---------------------------------------------------------------------- */

static BsMessage *
S_create_request(uint32_t number, bool booking)
{
    BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
    BsRequest *request = &message->u.request;
    char *body = g_strdup_printf("{\"n\":%u,\"messages\":[]}", number);
    request->request_id =
        g_strdup_printf("%s-%u", booking ? "b" : "r", number);
    request->token = g_strdup("t-1");
    request->method = g_strdup("POST");
    request->body = g_bytes_new_take(body, strlen(body));
    request->prompt_tokens = 100;
    request->output_tokens = 20;
    request->prefix_hash = number * UINT64_C(2654435761);
    if (booking) {
        request->service = g_strdup("bookings");
        request->path = g_strdup("/book");
        request->key = g_strdup_printf("k%u", number);
    }
    else {
        request->model = g_strdup("m0");
        request->path = g_strdup("/v1/chat/completions");
        request->stream = true;
    }
    return message;
}

/* Returns the bytes of forwarded requests and their answers. */
static uint64_t
S_data_bytes(const World *world)
{
    return World_PeerBytesOfKind(world, BS_FORWARD) +
           World_PeerBytesOfKind(world, BS_ANSWER);
}

/* Returns the bytes of other peer messages that are sent for requests. */
static uint64_t
S_request_control_bytes(const World *world)
{
    return World_PeerBytes(world) - S_data_bytes(world) -
           S_control_bytes(world);
}

static uint32_t
S_count_ran(World *world)
{
    const GPtrArray *calls = World_Calls(world);
    uint32_t ran = 0;
    for (guint i = 0; i < calls->len; i++) {
        const WorldCall *call = calls->pdata[i];
        ran += call->outcome == BS_OUTCOME_RAN ? 1 : 0;
    }
    return ran;
}

static void
S_request_row(uint32_t instances, bool booking)
{
    SlopesFleet fleet = S_fleet(instances);
    World *world = Slopes_CreateWorld(&fleet, SEED, SETTLE_MS);
    int64_t idle_us = Slopes_CpuUs();
    World_Run(world, REQUESTS * REQUEST_INTERVAL_MS);
    idle_us = Slopes_CpuUs() - idle_us;
    uint64_t data = S_data_bytes(world);
    uint64_t control = S_request_control_bytes(world);
    int64_t cpu_us = Slopes_CpuUs();
    for (uint32_t i = 0; i < REQUESTS; i++) {
        World_Send(world, Slopes_InstanceName(i % instances),
                   S_create_request(i, booking));
        World_Run(world, REQUEST_INTERVAL_MS);
    }
    cpu_us = Slopes_CpuUs() - cpu_us;
    World_Run(world, SETTLE_MS);
    printf("| %s | %u | %u | %.0f | %.0f | %.0f |\n",
           booking ? "booking" : "stream of 20 events", instances,
           S_count_ran(world), (double)(cpu_us - idle_us) / REQUESTS,
           (double)(S_data_bytes(world) - data) / REQUESTS,
           (double)(S_request_control_bytes(world) - control) / REQUESTS);
    World_Destroy(world);
}

static void
S_requests(void)
{
    printf("\n### Requests: processor time over all hops, peer traffic\n\n"
           "| kind | instances | ran of %d | us per request | bytes of "
           "forwards and answers | other bytes |\n"
           "| --- | ---: | ---: | ---: | ---: | ---: |\n",
           REQUESTS);
    S_request_row(9, false);
    S_request_row(40, false);
    S_request_row(9, true);
    S_request_row(40, true);
}

/* ---------------------------------------------------------------------- */
/* Memory                                                                  */
/* ---------------------------------------------------------------------- */

static void
S_memory_core(uint32_t instances)
{
    SlopesFleet fleet = S_fleet(instances);
    uint64_t heap = Slopes_HeapBytes();
    World *world = Slopes_CreateWorld(&fleet, SEED, SETTLE_MS);
    printf("| instance, fleet of %u, 5 accounts | %.0f |\n", instances,
           (double)(Slopes_HeapBytes() - heap) / instances);
    World_Destroy(world);
}

static void
S_memory_requests(bool booking, const char *what)
{
    SlopesFleet fleet = S_fleet(9);
    World *world = Slopes_CreateWorld(&fleet, SEED, SETTLE_MS);
    uint64_t heap = Slopes_HeapBytes();
    for (uint32_t i = 0; i < REQUESTS; i++) {
        World_Send(world, Slopes_InstanceName(i % fleet.instances),
                   S_create_request(i, booking));
    }
    World_Run(world, booking ? SETTLE_MS : OPEN_AFTER_MS);
    printf("| %s, over all instances, with the harness's own | %.0f |\n", what,
           ((double)Slopes_HeapBytes() - (double)heap) / REQUESTS);
    World_Destroy(world);
}

static void
S_memory(void)
{
    printf("\n### Heap\n\n| state | bytes |\n| --- | ---: |\n");
    S_memory_core(9);
    S_memory_core(40);
    S_memory_core(340);
    S_memory_requests(false, "open request");
    S_memory_requests(true, "finished booking kept for resends");
}

static const SlopesPart S_parts[] = {
    {"steady", S_steady},
    {"spread", S_propagation},
    {"loss", S_loss},
    {"changes", S_changes},
    {"sheets", S_sheets},
    {"requests", S_requests},
    {"memory", S_memory},
    {"breaks", Slopes_PrintRecovery},
    {"hedges", Slopes_PrintHedges},
    {"spill", Slopes_PrintSpill},
    {"ejection", Slopes_PrintEjection},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; i < G_N_ELEMENTS(S_parts); i++) {
        if (argc < 2 || strcmp(argv[1], S_parts[i].name) == 0) {
            S_parts[i].run();
            fflush(stdout);
        }
    }
    return 0;
}
