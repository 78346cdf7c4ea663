/* httpload.c - generates steady HTTP loads with curl multi. */
#include "httpload.h"

#include "fleet.h"

#include <curl/curl.h>
#include <string.h>

#define STATUS_OK 200
#define SAMPLE_MS 100
#define PERCENT 100
#define POLL_MS 1

typedef struct S_Load S_Load;

/* One connection with at most one request. */
typedef struct {
    S_Load *load;
    CURL *curl;
    int64_t started_us;
    bool after_newline; /* the last byte received was a newline */
} S_Connection;

struct S_Load {
    const BsHttpLoadSpec *spec;
    BsHttpLoadResult *result;
    struct curl_slist *headers;
    char *url;
    GPtrArray *connections;
    GQueue idle; /* S_Connection */
    int64_t next_us;
};

static size_t
S_on_data(char *data, size_t size, size_t count, void *context)
{
    S_Connection *connection = context;
    for (size_t i = 0; i < size * count; i++) {
        bool newline = data[i] == '\n';
        connection->load->result->events +=
            newline && connection->after_newline ? 1 : 0;
        connection->after_newline = newline;
    }
    return size * count;
}

static S_Connection *
S_create_connection(S_Load *load)
{
    S_Connection *connection = g_new0(S_Connection, 1);
    connection->load = load;
    connection->curl = curl_easy_init();
    curl_easy_setopt(connection->curl, CURLOPT_URL, load->url);
    curl_easy_setopt(connection->curl, CURLOPT_HTTPHEADER, load->headers);
    curl_easy_setopt(connection->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(connection->curl, CURLOPT_WRITEFUNCTION, S_on_data);
    curl_easy_setopt(connection->curl, CURLOPT_WRITEDATA, connection);
    curl_easy_setopt(connection->curl, CURLOPT_PRIVATE, connection);
    if (load->spec->body != NULL) {
        curl_easy_setopt(connection->curl, CURLOPT_POSTFIELDS,
                         load->spec->body);
    }
    g_ptr_array_add(load->connections, connection);
    return connection;
}

static void
S_init_load(S_Load *load, const BsHttpLoadSpec *spec, BsHttpLoadResult *result)
{
    memset(load, 0, sizeof(*load));
    memset(result, 0, sizeof(*result));
    result->latencies_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    load->spec = spec;
    load->result = result;
    load->headers =
        curl_slist_append(NULL, "Authorization: Bearer " BS_FLEET_TOKEN);
    load->url =
        g_strdup_printf("http://127.0.0.1:%d%s", spec->port, spec->path);
    load->connections = g_ptr_array_new();
    g_queue_init(&load->idle);
    for (unsigned i = 0; i < spec->connections; i++) {
        g_queue_push_tail(&load->idle, S_create_connection(load));
    }
}

static void
S_clear_load(S_Load *load, CURLM *multi)
{
    for (guint i = 0; i < load->connections->len; i++) {
        S_Connection *connection = load->connections->pdata[i];
        curl_multi_remove_handle(multi, connection->curl);
        curl_easy_cleanup(connection->curl);
        g_free(connection);
    }
    g_ptr_array_unref(load->connections);
    g_queue_clear(&load->idle);
    curl_slist_free_all(load->headers);
    g_free(load->url);
}

static void
S_start(S_Load *load, CURLM *multi, int64_t now_us)
{
    S_Connection *connection = g_queue_pop_head(&load->idle);
    connection->started_us = now_us;
    load->result->open++;
    curl_multi_add_handle(multi, connection->curl);
}

/* Starts the requests that are due.  A latency is counted from the time the
   request was due, so that a late start is part of it. */
static void
S_start_due(S_Load *load, CURLM *multi)
{
    int64_t now_us = g_get_monotonic_time();
    if (load->spec->per_s <= 0.0) {
        while (!g_queue_is_empty(&load->idle)) {
            S_start(load, multi, now_us);
        }
        return;
    }
    if (load->next_us == 0) {
        load->next_us = now_us;
    }
    while (now_us >= load->next_us && !g_queue_is_empty(&load->idle)) {
        S_start(load, multi, load->next_us);
        load->next_us += (int64_t)(G_USEC_PER_SEC / load->spec->per_s);
    }
}

static void
S_finish(CURLM *multi, CURL *curl, CURLcode code)
{
    S_Connection *connection = NULL;
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_PRIVATE, (char **)&connection);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    BsHttpLoadResult *result = connection->load->result;
    uint32_t latency_us =
        (uint32_t)(g_get_monotonic_time() - connection->started_us);
    if (code == CURLE_OK && status == STATUS_OK) {
        g_array_append_val(result->latencies_us, latency_us);
    }
    else {
        result->errors++;
    }
    result->open--;
    curl_multi_remove_handle(multi, curl);
    g_queue_push_head(&connection->load->idle, connection);
}

/* Returns how long to wait for sockets: 0 if a request is due in less than
   1 ms, since waits are whole milliseconds. */
static int
S_wait_ms(const S_Load *loads, unsigned count)
{
    int64_t now_us = g_get_monotonic_time();
    for (unsigned i = 0; i < count; i++) {
        if (loads[i].spec->per_s > 0.0 &&
            loads[i].next_us - now_us < G_TIME_SPAN_MILLISECOND) {
            return 0;
        }
    }
    return POLL_MS;
}

static void
S_run_once(CURLM *multi, S_Load *loads, unsigned count)
{
    int running;
    int queued;
    const CURLMsg *message;
    for (unsigned i = 0; i < count; i++) {
        S_start_due(&loads[i], multi);
    }
    curl_multi_perform(multi, &running);
    while ((message = curl_multi_info_read(multi, &queued)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            S_finish(multi, message->easy_handle, message->data.result);
        }
    }
    curl_multi_poll(multi, NULL, 0, S_wait_ms(loads, count), NULL);
}

void
BsHttpLoad_Run(const BsHttpLoadSpec *specs, unsigned count,
               int64_t duration_ms, BsHttpLoadResult *results,
               BsHttpLoadSample sample, void *context)
{
    CURLM *multi = curl_multi_init();
    S_Load *loads = g_new0(S_Load, count);
    int64_t start_us = g_get_monotonic_time();
    int64_t elapsed_ms = 0;
    int64_t last_sample_ms = 0;
    for (unsigned i = 0; i < count; i++) {
        S_init_load(&loads[i], &specs[i], &results[i]);
    }
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 4096L);
    while (elapsed_ms < duration_ms) {
        S_run_once(multi, loads, count);
        elapsed_ms =
            (g_get_monotonic_time() - start_us) / G_TIME_SPAN_MILLISECOND;
        if (sample != NULL && elapsed_ms - last_sample_ms >= SAMPLE_MS) {
            last_sample_ms = elapsed_ms;
            sample(results, elapsed_ms, context);
        }
    }
    for (unsigned i = 0; i < count; i++) {
        S_clear_load(&loads[i], multi);
    }
    curl_multi_cleanup(multi);
    g_free(loads);
}

void
BsHttpLoadResult_Clear(BsHttpLoadResult *result)
{
    g_array_unref(result->latencies_us);
}

static int
S_compare(gconstpointer a, gconstpointer b)
{
    uint32_t left = *(const uint32_t *)a;
    uint32_t right = *(const uint32_t *)b;
    return (left > right) - (left < right);
}

uint32_t
BsHttpLoadResult_Percentile(const BsHttpLoadResult *result, unsigned percent)
{
    guint count = result->latencies_us->len;
    if (count == 0) {
        return 0;
    }
    g_array_sort(result->latencies_us, S_compare);
    guint index = MIN(count * percent / PERCENT, count - 1);
    return g_array_index(result->latencies_us, uint32_t, index);
}
