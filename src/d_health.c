/* d_health.c - polls the load reports of engines and sends them orders. */
#include "d_health.h"

#include "d_curl.h"
#include "d_report.h"
#include "member.h"

#include <jansson.h>
#include <string.h>

#define POLL_S 2.0
#define POLL_TIMEOUT_MS 1500L
#define ORDER_TIMEOUT_MS 5000L
#define POOL_CONNECTIONS 32
#define REPORT_MAX_BYTES (256 * 1024)
#define STATUS_OK 200
#define STATUS_CONFLICT 409

struct BsHealth {
    BsLoop *loop;
    BsCurl *curl;
    BsMembers *members;
    GHashTable *engines; /* name to BsEngine */
    GHashTable *orders;  /* set of BsOrderJob being sent */
    ev_timer timer;
};

/* An owned engine. */
typedef struct {
    BsHealth *health;
    char *name;
    char *address;
    CURL *poll; /* running poll, or NULL */
    GByteArray *body;
    int64_t started_ms; /* of the running poll */
    bool owned;         /* seen as owned in the list being processed */
} BsEngine;

/* An order that is being sent. */
typedef struct {
    BsHealth *health;
    char *engine;
    char *body;
    struct curl_slist *headers;
} BsOrderJob;

static void
S_destroy_engine(void *data)
{
    BsEngine *engine = data;
    if (engine->poll != NULL) {
        BsCurl_Cancel(engine->health->curl, engine->poll);
    }
    g_byte_array_unref(engine->body);
    g_free(engine->name);
    g_free(engine->address);
    g_free(engine);
}

static size_t
S_on_write(char *data, size_t unit, size_t count, void *context)
{
    BsEngine *engine = context;
    size_t size = unit * count;
    if (engine->body->len + size > REPORT_MAX_BYTES) {
        return 0;
    }
    g_byte_array_append(engine->body, (const guint8 *)data, (guint)size);
    return size;
}

/* Adds the duration of the poll to the age of REPORT, as the engine wrote it
   at some time since the poll was started. */
static void
S_add_age(BsReport *report, int64_t poll_ms)
{
    report->age_ms =
        (uint32_t)MIN((int64_t)report->age_ms + poll_ms, UINT32_MAX);
}

static void
S_on_report(CURL *easy, CURLcode result, void *context)
{
    BsEngine *engine = context;
    BsLoop *loop = engine->health->loop;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    engine->poll = NULL;
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_REPORT);
    message->u.report.upstream = g_strdup(engine->name);
    message->u.report.reachable =
        result == CURLE_OK && status == STATUS_OK &&
        BsReport_Parse(engine->body->data, engine->body->len,
                       &message->u.report);
    S_add_age(&message->u.report, BsLoop_NowMs(loop) - engine->started_ms);
    BsLoop_Count(loop,
                 message->u.report.reachable ? "health_reports"
                                             : "health_reports_failed",
                 1);
    BsLoop_Post(loop, message);
}

static CURL *
S_create_easy(const char *address, const char *path, long timeout_ms)
{
    CURL *easy = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", address, path);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    g_free(url);
    return easy;
}

static void
S_poll(BsEngine *engine)
{
    if (engine->poll != NULL) {
        return;
    }
    engine->poll = S_create_easy(engine->address, "/health", POLL_TIMEOUT_MS);
    engine->started_ms = BsLoop_NowMs(engine->health->loop);
    g_byte_array_set_size(engine->body, 0);
    curl_easy_setopt(engine->poll, CURLOPT_WRITEFUNCTION, S_on_write);
    curl_easy_setopt(engine->poll, CURLOPT_WRITEDATA, engine);
    BsCurl_Start(engine->health->curl, engine->poll, S_on_report, engine);
}

static void
S_on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    BsHealth *health = watcher->data;
    GHashTableIter iter;
    gpointer engine;
    g_hash_table_iter_init(&iter, health->engines);
    while (g_hash_table_iter_next(&iter, NULL, &engine)) {
        S_poll(engine);
    }
}

static BsEngine *
S_create_engine(BsHealth *health, const BsListEntry *entry)
{
    BsEngine *engine = g_new0(BsEngine, 1);
    engine->health = health;
    engine->name = g_strdup(entry->name);
    engine->address = g_strdup(entry->address);
    engine->body = g_byte_array_new();
    g_hash_table_insert(health->engines, engine->name, engine);
    return engine;
}

/* Starts or continues polling the owned engine ENTRY. */
static void
S_poll_owned(BsHealth *health, const BsListEntry *entry)
{
    BsEngine *engine = g_hash_table_lookup(health->engines, entry->name);
    if (engine != NULL && strcmp(engine->address, entry->address) != 0) {
        g_hash_table_remove(health->engines, entry->name);
        engine = NULL;
    }
    if (engine == NULL) {
        engine = S_create_engine(health, entry);
        S_poll(engine);
    }
    engine->owned = true;
}

/* Returns whether the engine VALUE is no longer owned, and clears its mark for
   the next list. */
static gboolean
S_clear_owned(gpointer key, gpointer value, gpointer context)
{
    BsEngine *engine = value;
    (void)key;
    (void)context;
    bool lost = !engine->owned;
    engine->owned = false;
    return lost;
}

static void
S_on_list(const BsMessage *message, void *context)
{
    BsHealth *health = context;
    const char *self = BsLoop_Settings(health->loop)->name;
    if (!BsMembers_Accept(health->members, &message->u.list)) {
        return;
    }
    const GPtrArray *entries = BsMembers_List(health->members)->entries;
    for (guint i = 0; entries != NULL && i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (entry->kind == BS_NODE_ENGINE && entry->address != NULL &&
            g_strcmp0(BsMembers_OwnerOf(health->members, entry->name), self) ==
                0) {
            S_poll_owned(health, entry);
        }
    }
    g_hash_table_foreach_remove(health->engines, S_clear_owned, NULL);
}

static void
S_destroy_order(void *data)
{
    BsOrderJob *job = data;
    curl_slist_free_all(job->headers);
    g_free(job->engine);
    g_free(job->body);
    g_free(job);
}

/* Returns the counter of an order that ended with the HTTP status STATUS; 0
   means no answer. */
static const char *
S_order_counter(long status)
{
    switch (status) {
    case STATUS_OK:
        return "orders_taken";
    case STATUS_CONFLICT:
        return "orders_refused";
    default:
        return "orders_failed";
    }
}

static void
S_on_order_done(CURL *easy, CURLcode result, void *context)
{
    BsOrderJob *job = context;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    BsLoop_Count(job->health->loop,
                 S_order_counter(result == CURLE_OK ? status : 0), 1);
    BsEngine *engine = g_hash_table_lookup(job->health->engines, job->engine);
    if (engine != NULL) {
        S_poll(engine);
    }
    g_hash_table_remove(job->health->orders, job);
}

static char *
S_format_order(const BsOrder *order)
{
    json_t *json = json_pack("{s:s?, s:s?, s:s?, s:I}", "verb", order->verb,
                             "model", order->model, "version", order->version,
                             "fencing", (json_int_t)order->fencing);
    char *dump = json_dumps(json, JSON_COMPACT);
    char *copy = g_strdup(dump);
    free(dump);
    json_decref(json);
    return copy;
}

static size_t
S_discard(char *data, size_t unit, size_t count, void *context)
{
    (void)data;
    (void)context;
    return unit * count;
}

static void
S_on_order(const BsMessage *message, void *context)
{
    BsHealth *health = context;
    const BsOrder *order = &message->u.order;
    const BsListEntry *entry =
        BsMembers_Find(health->members, order->upstream);
    if (entry == NULL || entry->address == NULL) {
        BsLoop_Count(health->loop, "orders_without_address", 1);
        return;
    }
    BsOrderJob *job = g_new0(BsOrderJob, 1);
    job->health = health;
    g_hash_table_add(health->orders, job);
    job->engine = g_strdup(order->upstream);
    job->body = S_format_order(order);
    job->headers = curl_slist_append(NULL, "Content-Type: application/json");
    CURL *easy = S_create_easy(entry->address, "/v1/orders", ORDER_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, job->headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, job->body);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, S_discard);
    BsCurl_Start(health->curl, easy, S_on_order_done, job);
}

static void
S_on_poll(const BsMessage *message, void *context)
{
    BsHealth *health = context;
    BsEngine *engine =
        g_hash_table_lookup(health->engines, message->u.report.upstream);
    if (engine != NULL) {
        S_poll(engine);
    }
}

BsHealth *
BsHealth_Create(BsLoop *loop)
{
    BsHealth *health = g_new0(BsHealth, 1);
    health->loop = loop;
    health->curl = BsCurl_Create(loop, POOL_CONNECTIONS);
    health->members = BsMembers_Create();
    health->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_engine);
    health->orders = g_hash_table_new_full(NULL, NULL, S_destroy_order, NULL);
    ev_timer_init(&health->timer, S_on_timer, POLL_S, POLL_S);
    health->timer.data = health;
    ev_timer_start(BsLoop_Ev(loop), &health->timer);
    BsLoop_Handle(loop, BS_PLATFORM_LIST, S_on_list, health);
    BsLoop_Handle(loop, BS_UPSTREAM_ORDER, S_on_order, health);
    BsLoop_Handle(loop, BS_UPSTREAM_POLL, S_on_poll, health);
    return health;
}

void
BsHealth_Destroy(BsHealth *health)
{
    if (health == NULL) {
        return;
    }
    ev_timer_stop(BsLoop_Ev(health->loop), &health->timer);
    g_hash_table_destroy(health->engines);
    BsCurl_Destroy(health->curl);
    g_hash_table_destroy(health->orders);
    BsMembers_Destroy(health->members);
    g_free(health);
}
