/*
 * main_bench.c - measures one instance on loopback and prints JSON.
 *
 * usage: bench BIN_DIRECTORY
 * Prints figures through the daemon next to figures taken directly at the
 * stand-in upstream in the same run.  The target values (aim_*) are printed
 * with them but not checked.
 */
#include "control.h"
#include "corecost.h"
#include "fleet.h"
#include "httpload.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define READY_LIMIT_MS 20000
#define WARM_UP_MS 4000
#define LATENCY_MS 6000
#define LATENCY_PER_S 500.0
#define RATE_MS 4000
#define RATE_CONNECTIONS 64
#define EVENTS_MS 6000
#define EVENT_STREAMS 80
#define EVENT_RATE 100
#define EVENTS_WARM_UP_MS 2000
#define MEMORY_MS 12000
#define MEMORY_STREAMS 1000
#define SLOW_RATE 2
#define SLOTS 1200
#define LOOKUP "/status/1"
#define LOOKUP_THROUGH "/services/bookings" LOOKUP
#define CHAT "/v1/chat/completions"

/* CPU time and memory of the daemon while a load runs. */
typedef struct {
    int pid;
    int64_t from_ms;  /* samples before this time are ignored */
    int64_t start_ms; /* of the first sample, 0 before it */
    int64_t end_ms;   /* of the last sample */
    double start_cpu_s;
    double end_cpu_s;
    uint64_t start_events;
    uint64_t end_events;
    unsigned open_max;
    long rss_kb_at_open_max;
} S_Usage;

static double
S_cpu_s(int pid)
{
    unsigned long user = 0;
    unsigned long system_time = 0;
    char path[64];
    g_snprintf(path, sizeof(path), "/proc/%d/stat", pid);
    char *text = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        char **fields = g_strsplit(strrchr(text, ')') + 2, " ", -1);
        user = strtoul(fields[11], NULL, 10);
        system_time = strtoul(fields[12], NULL, 10);
        g_strfreev(fields);
    }
    g_free(text);
    return (double)(user + system_time) / (double)sysconf(_SC_CLK_TCK);
}

static long
S_rss_kb(int pid)
{
    char path[64];
    char *text = NULL;
    long rss_kb = 0;
    g_snprintf(path, sizeof(path), "/proc/%d/status", pid);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *line = strstr(text, "VmRSS:");
        rss_kb = line == NULL ? 0 : strtol(line + strlen("VmRSS:"), NULL, 10);
    }
    g_free(text);
    return rss_kb;
}

static void
S_sample(const BsHttpLoadResult *results, int64_t elapsed_ms, void *context)
{
    S_Usage *usage = context;
    if (elapsed_ms < usage->from_ms) {
        return;
    }
    if (usage->start_ms == 0) {
        usage->start_ms = elapsed_ms;
        usage->start_cpu_s = S_cpu_s(usage->pid);
        usage->start_events = results[0].events;
    }
    usage->end_ms = elapsed_ms;
    usage->end_cpu_s = S_cpu_s(usage->pid);
    usage->end_events = results[0].events;
    if (results[0].open >= usage->open_max) {
        usage->open_max = results[0].open;
        usage->rss_kb_at_open_max = S_rss_kb(usage->pid);
    }
}

static double
S_seconds(const S_Usage *usage)
{
    return (double)MAX(usage->end_ms - usage->start_ms, 1) / 1000.0;
}

static double
S_cores(const S_Usage *usage)
{
    return (usage->end_cpu_s - usage->start_cpu_s) / S_seconds(usage);
}

static json_t *
S_bench_latency(const BsFleetInstance *instance,
                const BsFleetUpstream *service)
{
    BsHttpLoadSpec specs[] = {
        {instance->caller_port, LOOKUP_THROUGH, NULL, LATENCY_PER_S, 64},
        {service->process.port, LOOKUP, NULL, LATENCY_PER_S, 64}};
    BsHttpLoadResult results[2];
    S_Usage usage = {.pid = (int)instance->process.pid, .from_ms = 1000};
    BsHttpLoad_Run(specs, 2, LATENCY_MS, results, S_sample, &usage);
    uint32_t through_50 = BsHttpLoadResult_Percentile(&results[0], 50);
    uint32_t through_99 = BsHttpLoadResult_Percentile(&results[0], 99);
    uint32_t direct_50 = BsHttpLoadResult_Percentile(&results[1], 50);
    uint32_t direct_99 = BsHttpLoadResult_Percentile(&results[1], 99);
    json_t *json = json_pack(
        "{s:f, s:i, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:f}", "per_s",
        LATENCY_PER_S, "errors", (int)results[0].errors, "through_p50_us",
        (int)through_50, "through_p99_us", (int)through_99, "direct_p50_us",
        (int)direct_50, "direct_p99_us", (int)direct_99, "added_p50_ms",
        ((double)through_50 - direct_50) / 1000.0, "aim_added_p50_ms", 0.3,
        "added_p99_ms", ((double)through_99 - direct_99) / 1000.0,
        "aim_added_p99_ms", 2.0);
    json_object_set_new(json, "cores", json_real(S_cores(&usage)));
    BsHttpLoadResult_Clear(&results[0]);
    BsHttpLoadResult_Clear(&results[1]);
    return json;
}

/* Returns the requests per second that the stand-in answers without the
   daemon. */
static double
S_direct_rate(const BsFleetUpstream *service)
{
    BsHttpLoadSpec spec = {service->process.port, LOOKUP, NULL, 0.0,
                           RATE_CONNECTIONS};
    BsHttpLoadResult result;
    BsHttpLoad_Run(&spec, 1, RATE_MS, &result, NULL, NULL);
    double per_s = result.latencies_us->len * 1000.0 / RATE_MS;
    BsHttpLoadResult_Clear(&result);
    return per_s;
}

static json_t *
S_bench_rate(const BsFleetInstance *instance, const BsFleetUpstream *service)
{
    BsHttpLoadSpec spec = {instance->caller_port, LOOKUP_THROUGH, NULL, 0.0,
                           RATE_CONNECTIONS};
    BsHttpLoadResult result;
    S_Usage usage = {.pid = (int)instance->process.pid, .from_ms = 1000};
    BsHttpLoad_Run(&spec, 1, RATE_MS, &result, S_sample, &usage);
    json_t *json = json_pack("{s:f, s:i, s:i, s:f}", "requests_per_s",
                             result.latencies_us->len * 1000.0 / RATE_MS,
                             "connections", RATE_CONNECTIONS, "errors",
                             (int)result.errors, "cores", S_cores(&usage));
    json_object_set_new(json, "direct_requests_per_s",
                        json_real(S_direct_rate(service)));
    BsHttpLoadResult_Clear(&result);
    return json;
}

static char *
S_chat_body(unsigned tokens)
{
    return g_strdup_printf("{\"model\":\"" BS_FLEET_MODEL
                           "\",\"stream\":true,\"max_tokens\":%u,"
                           "\"messages\":[{\"role\":\"user\",\"content\":"
                           "\"bench\"}]}",
                           tokens);
}

static json_t *
S_bench_events(const BsFleetInstance *instance)
{
    char *body = S_chat_body(EVENT_RATE * EVENTS_MS / 1000);
    BsHttpLoadSpec spec = {instance->caller_port, CHAT, body, 0.0,
                           EVENT_STREAMS};
    BsHttpLoadResult result;
    S_Usage usage = {.pid = (int)instance->process.pid,
                     .from_ms = EVENTS_WARM_UP_MS};
    BsHttpLoad_Run(&spec, 1, EVENTS_MS, &result, S_sample, &usage);
    double per_s =
        (double)(usage.end_events - usage.start_events) / S_seconds(&usage);
    double cores = S_cores(&usage);
    json_t *json = json_pack(
        "{s:f, s:i, s:i, s:f, s:f, s:f}", "events_per_s", per_s, "streams",
        (int)usage.open_max, "errors", (int)result.errors, "cores", cores,
        "cores_per_8000_events", per_s > 0.0 ? cores * 8000.0 / per_s : 0.0,
        "aim_cores_per_8000_events", 0.25);
    BsHttpLoadResult_Clear(&result);
    g_free(body);
    return json;
}

static json_t *
S_bench_memory(const BsFleetInstance *instance)
{
    char *body = S_chat_body(SLOW_RATE * MEMORY_MS / 1000);
    long idle_kb = S_rss_kb((int)instance->process.pid);
    BsHttpLoadSpec spec = {instance->caller_port, CHAT, body, 0.0,
                           MEMORY_STREAMS};
    BsHttpLoadResult result;
    S_Usage usage = {.pid = (int)instance->process.pid, .from_ms = 1000};
    BsHttpLoad_Run(&spec, 1, MEMORY_MS, &result, S_sample, &usage);
    json_t *json = json_pack(
        "{s:i, s:i, s:f, s:f, s:f, s:I}", "open_requests", (int)usage.open_max,
        "errors", (int)result.errors, "idle_mb", (double)idle_kb / 1024.0,
        "rss_mb", (double)usage.rss_kb_at_open_max / 1024.0, "aim_rss_mb",
        64.0, "events", (json_int_t)result.events);
    BsHttpLoadResult_Clear(&result);
    g_free(body);
    return json;
}

/* Starts one instance with a service and an engine that produces RATE events
   per second and stream. */
static BsFleet *
S_start(const char *bin, int rate)
{
    BsFleet *fleet = BsFleet_Create(bin);
    BsFleet_AddService(fleet, "b1", "n1", 0);
    BsFleet_AddEngine(fleet, "e1", "n1", SLOTS, rate);
    BsFleetInstance *instance = BsFleet_AddInstance(fleet, "i0", "n1");
    BsFleet_PublishSheet(fleet, BsFleet_DefaultSheet());
    BsFleet_Publish(fleet);
    BsFleet_Start(fleet, instance, true);
    if (!BsFleet_WaitReady(instance, READY_LIMIT_MS)) {
        g_error("the instance did not become ready; see %s", fleet->directory);
    }
    g_usleep(WARM_UP_MS * G_TIME_SPAN_MILLISECOND);
    return fleet;
}

int
main(int argc, char **argv)
{
    if (argc != 2) {
        fprintf(stderr, "usage: bench BIN_DIRECTORY\n");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    json_t *report = json_object();
    BsFleet *fleet = S_start(argv[1], EVENT_RATE);
    const BsFleetInstance *instance = fleet->instances->pdata[0];
    json_object_set_new(report, "latency",
                        S_bench_latency(instance, fleet->upstreams->pdata[0]));
    json_object_set_new(report, "rate",
                        S_bench_rate(instance, fleet->upstreams->pdata[0]));
    json_object_set_new(report, "events", S_bench_events(instance));
    BsFleet_Destroy(fleet, false);
    fleet = S_start(argv[1], SLOW_RATE);
    json_object_set_new(report, "memory",
                        S_bench_memory(fleet->instances->pdata[0]));
    BsFleet_Destroy(fleet, false);
    json_object_set_new(report, "core", BsCoreCost_Measure());
    json_dumpf(report, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(4));
    puts("");
    json_decref(report);
    curl_global_cleanup();
    return 0;
}
