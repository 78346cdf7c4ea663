/* corecost.c - CPU time per step of a core, without I/O. */
#include "corecost.h"

#include "boragespur.h"
#include "fleet.h"

#include <string.h>
#include <time.h>

#define REQUESTS 20000
#define TICK_EVERY 10 /* requests */
#define WARM_UP_TICKS 1000
#define TICK_MS 10
#define SLOTS 64
#define NS_PER_S 1e9

typedef struct {
    BsCore *core;
    GQueue dispatched; /* BsMessage, not answered yet */
    struct timespec now;
    uint64_t steps;
    uint64_t answers;
} S_Host;

static struct timespec
S_now(void *context)
{
    return ((S_Host *)context)->now;
}

static void
S_on_emit(const BsMessage *message, void *context)
{
    S_Host *host = context;
    if (message->kind == BS_UPSTREAM_DISPATCH) {
        g_queue_push_tail(&host->dispatched, BsMessage_Copy(message));
    }
    if (message->kind == BS_CALLER_ANSWER && message->u.answer.final &&
        message->u.answer.outcome == BS_OUTCOME_RAN) {
        host->answers++;
    }
}

static void
S_step(S_Host *host, BsMessage *message)
{
    BsCore_Step(host->core, message);
    BsMessage_Destroy(message);
    host->steps++;
}

static void
S_tick(S_Host *host)
{
    host->now.tv_nsec += TICK_MS * 1000000L;
    if (host->now.tv_nsec >= 1000000000L) {
        host->now.tv_nsec -= 1000000000L;
        host->now.tv_sec++;
    }
    S_step(host, BsMessage_Create(BS_TICK));
}

static BsListEntry *
S_create_entry(const char *name, BsNodeKind kind, const char *serves)
{
    BsListEntry *entry = BsListEntry_Create();
    entry->name = g_strdup(name);
    entry->address = g_strdup("127.0.0.1:1");
    entry->data_centre = g_strdup("n1");
    entry->region = g_strdup("north");
    entry->serves = g_strdup(serves);
    entry->kind = kind;
    entry->state = BS_NODE_LIVE;
    entry->slots = SLOTS;
    return entry;
}

static void
S_report(S_Host *host)
{
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_REPORT);
    message->u.report.upstream = g_strdup("b1");
    message->u.report.boot_id = g_strdup("1");
    message->u.report.reachable = true;
    S_step(host, message);
}

static void
S_configure(S_Host *host)
{
    BsMessage *sheet = BsMessage_Create(BS_PLATFORM_SHEET);
    const char *text = BsFleet_DefaultSheet();
    sheet->u.sheet.revision = 1;
    sheet->u.sheet.text = g_bytes_new(text, strlen(text));
    S_step(host, sheet);
    BsMessage *list = BsMessage_Create(BS_PLATFORM_LIST);
    list->u.list.revision = 1;
    if (list->u.list.entries == NULL) {
        list->u.list.entries = g_ptr_array_new();
    }
    g_ptr_array_add(list->u.list.entries,
                    S_create_entry("i0", BS_NODE_INSTANCE, NULL));
    g_ptr_array_add(list->u.list.entries,
                    S_create_entry("b1", BS_NODE_SERVICE, "bookings"));
    S_step(host, list);
    for (int i = 0; i < WARM_UP_TICKS; i++) {
        S_report(host);
        S_tick(host);
    }
}

static void
S_send(S_Host *host, unsigned number)
{
    BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
    BsRequest *request = &message->u.request;
    request->request_id = g_strdup_printf("i0-%u", number);
    request->token = g_strdup(BS_FLEET_TOKEN);
    request->service = g_strdup("bookings");
    request->method = g_strdup("GET");
    request->path = g_strdup("/status/1");
    S_step(host, message);
}

static void
S_answer_all(S_Host *host)
{
    BsMessage *dispatch;
    while ((dispatch = g_queue_pop_head(&host->dispatched)) != NULL) {
        const BsRequest *request = &dispatch->u.request;
        BsMessage *message = BsMessage_Create(BS_UPSTREAM_ANSWER);
        message->u.answer.request_id = g_strdup(request->request_id);
        message->u.answer.attempt = request->attempt;
        message->u.answer.upstream = g_strdup(request->upstream);
        BsMessage_Destroy(dispatch);
        message->u.answer.status = 200;
        message->u.answer.data = g_bytes_new("{}", 2);
        message->u.answer.outcome = BS_OUTCOME_RAN;
        message->u.answer.final = true;
        S_step(host, message);
    }
}

static double
S_cpu_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * NS_PER_S + (double)now.tv_nsec;
}

json_t *
BsCoreCost_Measure(void)
{
    S_Host host = {.now = {.tv_sec = 1}};
    BsClock clock = {S_now, &host};
    BsCoreConfig config;
    BsCoreConfig_Init(&config);
    config.name = "i0";
    config.data_centre = "n1";
    config.region = "north";
    config.incarnation = 1;
    config.fresh_fleet = true;
    g_queue_init(&host.dispatched);
    host.core = BsCore_Create(&config, &clock, S_on_emit, &host, NULL);
    S_configure(&host);
    uint64_t steps = host.steps;
    double start_ns = S_cpu_ns();
    for (unsigned i = 0; i < REQUESTS; i++) {
        S_send(&host, i);
        S_answer_all(&host);
        if (i % TICK_EVERY == 0) {
            S_tick(&host);
        }
    }
    double used_ns = S_cpu_ns() - start_ns;
    json_t *json = json_pack("{s:i, s:I, s:f, s:f}", "requests", REQUESTS,
                             "answered", (json_int_t)host.answers, "step_us",
                             used_ns / 1000.0 / (double)(host.steps - steps),
                             "request_us", used_ns / 1000.0 / REQUESTS);
    BsCore_Destroy(host.core);
    return json;
}
