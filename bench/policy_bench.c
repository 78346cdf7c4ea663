/*
 * policy_bench.c - compares the goodput of the scheduling policies.
 *
 * Runs several real cores with simulated engines on a fake clock, with the
 * same requests for every policy.  Prints the tables quoted in
 * docs/measurements.md.
 *
 * usage: policy_bench [SECONDS [SEED [causes]]]; with "causes" it runs only
 * the scheduler's own policy (affinity) and also prints its counters.
 */
#include "policy_engine.h"
#include "policy_load.h"
#include "schema.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 6
#define ENGINES 18
#define DATA_CENTRES 3
#define WARM_UP_MS 60000
#define COOL_DOWN_MS 61000
#define TICK_MS 20
#define REPORT_MS 1000
#define MS_PER_S 1000
#define BUCKETS 4096 /* one per ms; exceeds the longest delay */
#define BYTES_PER_PROMPT_TOKEN 4
#define BYTES_PER_PIECE 240
#define PROMPT_MAX_TOKENS 8192
#define CALIBRATION_MS 120000
#define CALIBRATION_QUEUE 4

static const char *const S_data_centres[DATA_CENTRES] = {"n1", "n2", "s1"};
static const char *const S_regions[DATA_CENTRES] = {"north", "north", "south"};
static const int64_t S_delays_ms[] = {1, 2, 12};

static const EngineSpec S_specs[DATA_CENTRES] = {
    {16, 40000, 60000, 6000, 18},
    {16, 40000, 60000, 4000, 25},
    {16, 40000, 60000, 2500, 35},
};

typedef struct Bench Bench;

typedef struct {
    BsCore *core;
    Bench *bench;
    uint32_t index;
    char name[8];
} Node;

/* A message in transit to an instance. */
typedef struct {
    Node *to;
    BsMessage *message;
} Event;

struct Bench {
    int64_t now_ms;
    GPtrArray *buckets[BUCKETS]; /* Event, by time modulo BUCKETS */
    Node nodes[INSTANCES];
    Engine *engines[ENGINES];
    GHashTable *requests; /* id to LoadRequest */
    GHashTable *prefixes; /* hashes of answered requests */
    char *prompt;
    uint64_t list_revision;
    /* Results since the end of the warm-up. */
    bool measuring;
    int64_t end_ms; /* of the measured time */
    uint64_t sent[LOAD_TIERS + 1];
    uint64_t good[LOAD_TIERS + 1];
    uint64_t sent_tokens;
    uint64_t good_tokens;
    uint64_t urgent_failed_while_lower; /* lower priority ran or waited */
    uint64_t urgent_not_run;
    double useful_prefill; /* tokens that good answers needed */
    double prefill;        /* tokens computed */
    uint64_t link_bytes;   /* between the regions */
    uint64_t control_messages;
    uint64_t control_bytes;
    uint64_t preemptions;
};

static struct timespec
S_now(void *context)
{
    const Bench *bench = context;
    struct timespec now = {bench->now_ms / MS_PER_S,
                           bench->now_ms % MS_PER_S * 1000000};
    return now;
}

static uint32_t
S_data_centre_of(uint32_t index)
{
    return index % DATA_CENTRES;
}

static void
S_schedule(Bench *bench, Node *to, BsMessage *message, int64_t delay_ms)
{
    Event *event = g_new0(Event, 1);
    event->to = to;
    event->message = message;
    g_ptr_array_add(bench->buckets[(bench->now_ms + delay_ms) % BUCKETS],
                    event);
}

/* ---------------------------------------------------------------------- */
/* Engines                                                                 */
/* ---------------------------------------------------------------------- */

/* Returns whether an instance and an engine are in different regions. */
static bool
S_is_remote(const Node *node, uint32_t engine)
{
    return strcmp(S_regions[S_data_centre_of(node->index)],
                  S_regions[S_data_centre_of(engine)]) != 0;
}

/* Counts BYTES sent between NODE and an engine if they are in different
   regions; returns the delay in milliseconds. */
static int64_t
S_transfer(Node *node, uint32_t engine, uint64_t bytes)
{
    bool remote = S_is_remote(node, engine);
    if (remote && node->bench->measuring) {
        node->bench->link_bytes += bytes;
    }
    return remote ? S_delays_ms[2] : 1;
}

static void
S_on_piece(const EngineJob *job, uint32_t tokens, bool final, void *context)
{
    Bench *bench = context;
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_ANSWER);
    BsAnswer *answer = &message->u.answer;
    answer->request_id = g_strdup(job->request_id);
    answer->attempt = job->attempt;
    answer->status = 200;
    answer->tokens = tokens;
    answer->cached_tokens = job->cached;
    answer->final = final;
    answer->outcome = final ? BS_OUTCOME_RAN : BS_OUTCOME_NONE;
    if (tokens > 0) {
        answer->data = g_bytes_new_static(bench->prompt, BYTES_PER_PIECE);
    }
    S_schedule(bench, job->owner, message,
               S_transfer(job->owner, job->engine, BYTES_PER_PIECE));
}

static uint32_t
S_find_engine(Bench *bench, const char *name)
{
    for (guint i = 0; i < ENGINES; i++) {
        if (strcmp(Engine_Name(bench->engines[i]), name) == 0) {
            return i;
        }
    }
    g_error("no engine '%s'", name);
}

static EngineJob *
S_create_job(const LoadRequest *request)
{
    EngineJob *job = g_new0(EngineJob, 1);
    job->request_id = g_strdup(request->id);
    job->prefix_hash = request->prefix_hash;
    job->prefix_tokens = request->prefix_tokens;
    job->prompt_tokens = request->prompt_tokens;
    job->output_tokens = request->output_tokens;
    job->rank = request->rank;
    return job;
}

static void
S_dispatch(Node *node, const BsRequest *dispatch)
{
    Bench *bench = node->bench;
    const LoadRequest *request =
        g_hash_table_lookup(bench->requests, dispatch->request_id);
    EngineJob *job = S_create_job(request);
    job->owner = node;
    job->attempt = dispatch->attempt;
    job->sent_pieces = dispatch->skip_events;
    job->produced = dispatch->skip_events * ENGINE_PIECE_TOKENS;
    job->engine = S_find_engine(bench, dispatch->upstream);
    S_transfer(node, job->engine,
               (uint64_t)request->prompt_tokens * BYTES_PER_PROMPT_TOKEN);
    Engine_Add(bench->engines[job->engine], job);
}

static void
S_cancel(Node *node, const BsCancel *cancel)
{
    for (guint i = 0; i < ENGINES; i++) {
        Engine_Cancel(node->bench->engines[i], node, cancel->attempt);
    }
}

static void
S_report(Bench *bench)
{
    for (guint i = 0; i < ENGINES; i++) {
        for (guint k = 0; k < INSTANCES; k++) {
            BsMessage *message = BsMessage_Create(BS_UPSTREAM_REPORT);
            BsReport *report = &message->u.report;
            report->upstream = g_strdup(Engine_Name(bench->engines[i]));
            report->boot_id = g_strdup("1");
            report->running = Engine_Running(bench->engines[i]);
            report->waiting = Engine_Waiting(bench->engines[i]);
            report->age_ms = REPORT_MS;
            report->reachable = true;
            S_schedule(bench, &bench->nodes[k], message, REPORT_MS);
        }
    }
}

/* ---------------------------------------------------------------------- */
/* Callers and peers                                                       */
/* ---------------------------------------------------------------------- */

static bool
S_has_lower_priority(const Bench *bench)
{
    for (guint i = 0; i < ENGINES; i++) {
        if (Engine_HasLowerPriority(bench->engines[i], 1)) {
            return true;
        }
    }
    return false;
}

static void
S_count_useful(Bench *bench, const LoadRequest *request)
{
    uint32_t useful = request->prompt_tokens - request->prefix_tokens;
    if (g_hash_table_add(
            bench->prefixes,
            g_memdup2(&request->prefix_hash, sizeof(request->prefix_hash)))) {
        useful += request->prefix_tokens;
    }
    if (bench->measuring) {
        bench->useful_prefill += useful;
    }
}

static void
S_finish(Bench *bench, LoadRequest *request, const BsAnswer *answer)
{
    request->done = true;
    request->good = answer->error == BS_ERR_NONE &&
                    bench->now_ms - request->sent_ms <= request->deadline_ms;
    if (request->good) {
        S_count_useful(bench, request);
    }
    if (request->sent_ms < WARM_UP_MS || request->sent_ms >= bench->end_ms) {
        return;
    }
    if (request->good) {
        bench->good[request->rank]++;
        bench->good_tokens += request->prompt_tokens + request->output_tokens;
    }
    else if (request->rank == 1) {
        bench->urgent_not_run += answer->outcome == BS_OUTCOME_NOT_RUN;
        bench->urgent_failed_while_lower += S_has_lower_priority(bench);
    }
}

static void
S_on_caller_answer(Bench *bench, const BsAnswer *answer)
{
    LoadRequest *request =
        g_hash_table_lookup(bench->requests, answer->request_id);
    if (answer->final && !request->done) {
        S_finish(bench, request, answer);
    }
}

static bool
S_is_control(uint32_t kind)
{
    return kind != BS_FORWARD && kind != BS_ANSWER && kind != BS_CANCEL &&
           kind != BS_FLOW && kind != BS_ACCEPT;
}

static void
S_on_peer_message(Node *from, const BsMessage *message)
{
    Bench *bench = from->bench;
    Node *to = NULL;
    for (guint i = 0; i < INSTANCES; i++) {
        if (strcmp(bench->nodes[i].name, message->to) == 0) {
            to = &bench->nodes[i];
        }
    }
    uint32_t from_centre = S_data_centre_of(from->index);
    uint32_t to_centre = S_data_centre_of(to->index);
    bool remote = strcmp(S_regions[from_centre], S_regions[to_centre]) != 0;
    if (bench->measuring && (remote || S_is_control(message->kind))) {
        GBytes *bytes = BsMessage_Encode(message);
        uint64_t size = g_bytes_get_size(bytes);
        g_bytes_unref(bytes);
        bench->link_bytes += remote ? size : 0;
        if (S_is_control(message->kind)) {
            bench->control_messages++;
            bench->control_bytes += size;
        }
    }
    S_schedule(bench, to, BsMessage_Copy(message),
               S_delays_ms[remote ? 2 : from_centre != to_centre]);
}

static void
S_emit(const BsMessage *message, void *context)
{
    Node *node = context;
    switch (message->kind) {
    case BS_CALLER_ANSWER:
        S_on_caller_answer(node->bench, &message->u.answer);
        break;
    case BS_UPSTREAM_DISPATCH:
        S_dispatch(node, &message->u.request);
        break;
    case BS_UPSTREAM_CANCEL:
        S_cancel(node, &message->u.cancel);
        break;
    default:
        if (message->to != NULL) {
            S_on_peer_message(node, message);
        }
        break;
    }
}

static void
S_send(Bench *bench, LoadRequest *request)
{
    BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
    BsRequest *sent = &message->u.request;
    char token[16];
    g_snprintf(token, sizeof(token), "t%u", request->account);
    sent->request_id = g_strdup(request->id);
    sent->token = g_strdup(token);
    sent->model = g_strdup("blade");
    sent->method = g_strdup("POST");
    sent->path = g_strdup("/v1/chat/completions");
    sent->tier = g_strdup(Load_TierName(request->rank));
    sent->body = g_bytes_new_static(
        bench->prompt, (gsize)request->prompt_tokens * BYTES_PER_PROMPT_TOKEN);
    sent->deadline_ms = request->deadline_ms;
    sent->prefix_hash = request->prefix_hash;
    sent->prompt_tokens = request->prompt_tokens;
    sent->output_tokens = request->expected_tokens;
    sent->stream = true;
    g_hash_table_insert(bench->requests, request->id, request);
    if (bench->measuring) {
        bench->sent[request->rank]++;
        bench->sent_tokens += request->prompt_tokens + request->output_tokens;
    }
    BsCore_Step(bench->nodes[request->instance].core, message);
    BsMessage_Destroy(message);
}

/* ---------------------------------------------------------------------- */
/* Fleet                                                                   */
/* ---------------------------------------------------------------------- */

static void
S_send_to_all(Bench *bench, BsMessage *message)
{
    for (guint i = 0; i < INSTANCES; i++) {
        BsCore_Step(bench->nodes[i].core, message);
    }
    BsMessage_Destroy(message);
}

static void
S_add_entry(GPtrArray *entries, const char *name, uint32_t kind,
            uint32_t data_centre)
{
    BsListEntry *entry = BsListEntry_Create();
    entry->name = g_strdup(name);
    entry->kind = kind;
    entry->state = BS_NODE_LIVE;
    entry->data_centre = g_strdup(S_data_centres[data_centre]);
    entry->region = g_strdup(S_regions[data_centre]);
    if (kind == BS_NODE_ENGINE) {
        entry->serves = g_strdup("blade");
        entry->generation = g_strdup_printf("g%u", data_centre);
        entry->slots = S_specs[data_centre].slots;
        entry->tokens = S_specs[data_centre].tokens;
    }
    g_ptr_array_add(entries, entry);
}

static void
S_publish_list(Bench *bench)
{
    BsMessage *message = BsMessage_Create(BS_PLATFORM_LIST);
    message->u.list.revision = ++bench->list_revision;
    message->u.list.entries = BsSchema_NewList(&bs_schema_list_entry);
    for (guint i = 0; i < INSTANCES; i++) {
        S_add_entry(message->u.list.entries, bench->nodes[i].name,
                    BS_NODE_INSTANCE, S_data_centre_of(i));
    }
    for (guint i = 0; i < ENGINES; i++) {
        S_add_entry(message->u.list.entries, Engine_Name(bench->engines[i]),
                    BS_NODE_ENGINE, S_data_centre_of(i));
    }
    S_send_to_all(bench, message);
}

static void
S_publish_sheet(Bench *bench, uint64_t revision, bool north_closed)
{
    BsMessage *message = BsMessage_Create(BS_PLATFORM_SHEET);
    char *text = Load_CreateSheet(north_closed);
    message->u.sheet.revision = revision;
    message->u.sheet.text = g_bytes_new_take(text, strlen(text));
    S_send_to_all(bench, message);
}

static Bench *
S_create(uint32_t policy, uint32_t seed)
{
    Bench *bench = g_new0(Bench, 1);
    BsClock clock = {S_now, bench};
    for (guint i = 0; i < BUCKETS; i++) {
        bench->buckets[i] = g_ptr_array_new();
    }
    bench->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    bench->prefixes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    bench->prompt =
        g_malloc0((gsize)PROMPT_MAX_TOKENS * BYTES_PER_PROMPT_TOKEN);
    for (guint i = 0; i < ENGINES; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "e%u", i);
        bench->engines[i] = Engine_Create(name, &S_specs[S_data_centre_of(i)],
                                          S_on_piece, bench);
    }
    for (guint i = 0; i < INSTANCES; i++) {
        Node *node = &bench->nodes[i];
        BsCoreConfig config;
        BsCoreConfig_Init(&config);
        g_snprintf(node->name, sizeof(node->name), "i%u", i);
        node->bench = bench;
        node->index = i;
        config.name = node->name;
        config.data_centre = S_data_centres[S_data_centre_of(i)];
        config.region = S_regions[S_data_centre_of(i)];
        config.incarnation = i + 1;
        config.seed = seed + i;
        config.policy = policy;
        config.fresh_fleet = true;
        node->core = BsCore_Create(&config, &clock, S_emit, node, NULL);
    }
    S_publish_sheet(bench, 1, false);
    S_publish_list(bench);
    return bench;
}

static void
S_destroy(Bench *bench)
{
    for (guint i = 0; i < BUCKETS; i++) {
        for (guint k = 0; k < bench->buckets[i]->len; k++) {
            Event *event = bench->buckets[i]->pdata[k];
            BsMessage_Destroy(event->message);
            g_free(event);
        }
        g_ptr_array_unref(bench->buckets[i]);
    }
    for (guint i = 0; i < INSTANCES; i++) {
        BsCore_Destroy(bench->nodes[i].core);
    }
    for (guint i = 0; i < ENGINES; i++) {
        Engine_Destroy(bench->engines[i]);
    }
    g_hash_table_destroy(bench->requests);
    g_hash_table_destroy(bench->prefixes);
    g_free(bench->prompt);
    g_free(bench);
}

static double
S_total_prefill(const Bench *bench)
{
    double total = 0.0;
    for (guint i = 0; i < ENGINES; i++) {
        total += Engine_PrefillTokens(bench->engines[i]);
    }
    return total;
}

static uint64_t
S_counter(const Bench *bench, const char *name)
{
    uint64_t total = 0;
    for (guint i = 0; i < INSTANCES; i++) {
        total += BsCore_Counter(bench->nodes[i].core, name);
    }
    return total;
}

static void
S_deliver(Bench *bench)
{
    GPtrArray *bucket = bench->buckets[bench->now_ms % BUCKETS];
    for (guint i = 0; i < bucket->len; i++) {
        Event *event = bucket->pdata[i];
        BsCore_Step(event->to->core, event->message);
        BsMessage_Destroy(event->message);
        g_free(event);
    }
    g_ptr_array_set_size(bucket, 0);
}

/* Advances by one millisecond. */
static void
S_advance(Bench *bench)
{
    bench->now_ms++;
    S_deliver(bench);
    if (bench->now_ms % ENGINE_STEP_MS == 0) {
        for (guint i = 0; i < ENGINES; i++) {
            Engine_Step(bench->engines[i]);
        }
    }
    for (guint i = 0; i < INSTANCES; i++) {
        if (bench->now_ms % TICK_MS == i) {
            BsMessage tick = {.kind = BS_TICK};
            BsCore_Step(bench->nodes[i].core, &tick);
        }
    }
    if (bench->now_ms % REPORT_MS == 0) {
        S_report(bench);
    }
}

static Bench *
S_run(uint32_t policy, uint32_t seed, double rate, int64_t seconds)
{
    Bench *bench = S_create(policy, seed);
    Load *load = Load_Create(seed, rate, INSTANCES);
    bench->end_ms = WARM_UP_MS + seconds * MS_PER_S;
    while (bench->now_ms < bench->end_ms + COOL_DOWN_MS) {
        S_advance(bench);
        if (bench->now_ms == WARM_UP_MS) {
            bench->measuring = true;
            bench->prefill = -S_total_prefill(bench);
        }
        if (bench->now_ms == bench->end_ms) {
            bench->measuring = false;
            bench->prefill += S_total_prefill(bench);
            bench->preemptions = S_counter(bench, "preemptions");
        }
        LoadRequest *request;
        while ((request = Load_Next(load, bench->now_ms)) != NULL) {
            S_send(bench, request);
        }
    }
    Load_Destroy(load);
    return bench;
}

/* Returns the capacity: requests per second that all engines together
   complete while their queues are never empty. */
static double
S_calibrate(uint32_t seed)
{
    Bench *bench = S_create(BS_POLICY_RANDOM, seed);
    Load *load = Load_Create(seed, 1000.0, INSTANCES);
    uint64_t finished = 0;
    for (int64_t now_ms = 0; now_ms < CALIBRATION_MS;
         now_ms += ENGINE_STEP_MS) {
        for (guint i = 0; i < ENGINES; i++) {
            while (Engine_Waiting(bench->engines[i]) < CALIBRATION_QUEUE) {
                LoadRequest *request = Load_Next(load, INT64_MAX);
                EngineJob *job = S_create_job(request);
                job->owner = &bench->nodes[0];
                Engine_Add(bench->engines[i], job);
                g_free(request);
            }
            Engine_Step(bench->engines[i]);
        }
        GPtrArray *bucket = bench->buckets[S_delays_ms[0]];
        for (guint i = 0; i < bucket->len; i++) {
            Event *event = bucket->pdata[i];
            finished +=
                event->message->u.answer.final && now_ms >= CALIBRATION_MS / 2;
            BsMessage_Destroy(event->message);
            g_free(event);
        }
        g_ptr_array_set_size(bucket, 0);
    }
    Load_Destroy(load);
    S_destroy(bench);
    return (double)finished * MS_PER_S / (CALIBRATION_MS / 2.0);
}

/* ---------------------------------------------------------------------- */
/* Tables                                                                  */
/* ---------------------------------------------------------------------- */

static double
S_percent(uint64_t part, uint64_t whole)
{
    return whole == 0 ? 100.0 : 100.0 * (double)part / (double)whole;
}

static void
S_print(const char *policy, const Bench *bench, int64_t seconds)
{
    uint64_t good = bench->good[1] + bench->good[2] + bench->good[3];
    double wasted = MAX(bench->prefill - bench->useful_prefill, 0.0);
    double instance_seconds = (double)INSTANCES * (double)seconds;
    printf("| %-17s | %5.1f | %5.1f | %5.1f | %6.1f | %6.0f | %5.1f | %6.0f "
           "| %4" G_GUINT64_FORMAT " | %4" G_GUINT64_FORMAT
           " | %5.1f | %5" G_GUINT64_FORMAT " | %4.1f | %5.0f |\n",
           policy, S_percent(bench->good[1], bench->sent[1]),
           S_percent(bench->good[2], bench->sent[2]),
           S_percent(bench->good[3], bench->sent[3]),
           (double)good / (double)seconds,
           (double)bench->good_tokens / (double)seconds,
           wasted / (double)seconds / 1000.0,
           good == 0 ? 0.0 : wasted / (double)good, bench->urgent_not_run,
           bench->urgent_failed_while_lower,
           (double)bench->link_bytes / (double)seconds / 1000.0,
           bench->preemptions,
           (double)bench->control_messages / instance_seconds,
           (double)bench->control_bytes / instance_seconds);
}

/* Prints counters of the cores per second, averaged since the start. */
static void
S_print_causes(const Bench *bench)
{
    static const char *const names[] = {
        "prefill_tokens",
        "wasted_prefill_tokens{cause=\"preempted\"}",
        "wasted_prefill_tokens{cause=\"late\"}",
        "wasted_prefill_tokens{cause=\"redone\"}",
        "wasted_prefill_tokens{cause=\"cancelled\"}",
        "wasted_prefill_tokens{cause=\"retried\"}",
        "forwards",
        "redirects",
        "handed_back",
        "refused_on_arrival",
        "refused_deadline",
        "stopped_deadline",
        "preemptions",
        "stragglers_found",
        "upstreams_turned_cold",
        "checks",
        "attempts_lost"};
    printf("\n");
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        printf("    %s %.1f/s\n", names[i],
               (double)S_counter(bench, names[i]) * MS_PER_S /
                   (double)bench->now_ms);
    }
}

static void
S_print_header(double load, double rate, uint32_t seed)
{
    printf("\n%.1f times capacity, %.1f requests/s, seed %u\n\n", load, rate,
           seed);
    printf("| policy | urgent %% | standard %% | routine %% | good/s | good "
           "tokens/s | wasted prefill k/s | wasted per good | urgent not-run "
           "| urgent failed while lower ran | link kB/s | preempted | control "
           "msg/s | control B/s |\n");
    printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

int
main(int argc, char **argv)
{
    static const double loads[] = {0.7, 1.0, 1.5};
    static const char *const names[] = {"affinity", "random", "round robin",
                                        "least outstanding"};
    int64_t seconds = argc > 1 ? strtol(argv[1], NULL, 10) : 120;
    uint32_t seed = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1;
    bool causes = argc > 3;
    guint policies = causes ? 1 : G_N_ELEMENTS(names);
    double capacity = S_calibrate(seed);
    printf("capacity: %.1f requests/s\n", capacity);
    for (guint i = 0; i < G_N_ELEMENTS(loads); i++) {
        S_print_header(loads[i], loads[i] * capacity, seed);
        for (uint32_t policy = 0; policy < policies; policy++) {
            Bench *bench = S_run(policy, seed, loads[i] * capacity, seconds);
            S_print(names[policy], bench, seconds);
            if (policy == BS_POLICY_AFFINITY && causes) {
                S_print_causes(bench);
            }
            fflush(stdout);
            S_destroy(bench);
        }
    }
    return 0;
}
