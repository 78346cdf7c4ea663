/* d_trace.c - export of trace spans as OTLP/HTTP JSON. */
#include "d_trace.h"

#include "d_context.h"
#include "d_curl.h"

#include <jansson.h>
#include <string.h>

#define QUEUE_SPANS_MAX 2048
#define BATCH_SPANS_MAX 512
#define FLUSH_INTERVAL_S 1.0
#define TIMEOUT_MS 2000L

/* Layout of a traceparent: "00-TRACE(32)-SPAN(16)-FLAGS(2)". */
#define TRACE_OFFSET 3
#define TRACE_BYTES 32
#define SPAN_OFFSET 36
#define SPAN_BYTES 16

#define KIND_SERVER 2 /* SPAN_KIND_SERVER of OTLP */
#define MS_PER_S 1000
#define NS_PER_MS 1000000

struct BsTrace {
    BsLoop *loop;
    BsCurl *curl;
    GQueue spans; /* BsMessage of kind BS_SPAN */
    ev_timer timer;
    struct curl_slist *headers;
    char *body;             /* of the batch being sent, or NULL */
    size_t batch_spans;     /* in that batch */
    int64_t wall_offset_ms; /* wall clock minus monotonic clock */
};

static char *
S_format_ns(const BsTrace *trace, int64_t time_ms)
{
    return g_strdup_printf("%" G_GINT64_FORMAT,
                           (time_ms + trace->wall_offset_ms) * NS_PER_MS);
}

static json_t *
S_make_attribute(const char *key, const char *value)
{
    return json_pack("{s:s, s:{s:s}}", "key", key, "value", "stringValue",
                     value == NULL ? "" : value);
}

static json_t *
S_make_span(const BsTrace *trace, const BsSpan *span)
{
    char *start = S_format_ns(trace, span->start_ms);
    char *end = S_format_ns(trace, span->end_ms);
    json_t *json =
        json_pack("{s:s%, s:s%, s:s, s:i, s:s, s:s, s:[o]}", "traceId",
                  span->traceparent + TRACE_OFFSET, TRACE_BYTES, "spanId",
                  span->traceparent + SPAN_OFFSET, SPAN_BYTES, "name",
                  span->name, "kind", KIND_SERVER, "startTimeUnixNano", start,
                  "endTimeUnixNano", end, "attributes",
                  S_make_attribute("boragespur.request_id", span->request_id));
    if (span->parent != NULL) {
        json_object_set_new(json, "parentSpanId", json_string(span->parent));
    }
    g_free(start);
    g_free(end);
    return json;
}

static json_t *
S_make_resource(const BsTrace *trace)
{
    const BsSettings *settings = BsLoop_Settings(trace->loop);
    return json_pack(
        "{s:[o, o, o]}", "attributes",
        S_make_attribute("service.name", "boragespurd"),
        S_make_attribute("service.instance.id", settings->name),
        S_make_attribute("boragespur.data_centre", settings->data_centre));
}

/* Removes up to one batch from the queue and returns it as JSON; free() it. */
static char *
S_take_batch(BsTrace *trace)
{
    json_t *spans = json_array();
    trace->batch_spans = 0;
    while (trace->batch_spans < BATCH_SPANS_MAX && trace->spans.length > 0) {
        BsMessage *message = g_queue_pop_head(&trace->spans);
        json_array_append_new(spans, S_make_span(trace, &message->u.span));
        BsMessage_Destroy(message);
        trace->batch_spans++;
    }
    json_t *root =
        json_pack("{s:[{s:o, s:[{s:{s:s}, s:o}]}]}", "resourceSpans",
                  "resource", S_make_resource(trace), "scopeSpans", "scope",
                  "name", "boragespur", "spans", spans);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
S_on_done(CURL *easy, CURLcode result, void *context)
{
    BsTrace *trace = context;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    free(trace->body);
    trace->body = NULL;
    bool accepted = result == CURLE_OK && status / 100 == 2;
    BsLoop_Count(trace->loop,
                 accepted ? "trace_spans_sent" : "trace_spans_dropped",
                 trace->batch_spans);
}

static size_t
S_discard(char *data, size_t unit, size_t count, void *context)
{
    (void)data;
    (void)context;
    return unit * count;
}

static void
S_send_batch(BsTrace *trace)
{
    CURL *easy = curl_easy_init();
    trace->body = S_take_batch(trace);
    curl_easy_setopt(easy, CURLOPT_URL,
                     BsLoop_Settings(trace->loop)->tracing->url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, trace->headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, trace->body);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, S_discard);
    BsCurl_Start(trace->curl, easy, S_on_done, trace);
}

static void
S_on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    BsTrace *trace = watcher->data;
    if (trace->body == NULL && trace->spans.length > 0) {
        S_send_batch(trace);
    }
}

static void
S_on_span(const BsMessage *message, void *context)
{
    BsTrace *trace = context;
    if (!BsContext_IsSampled(message->u.span.traceparent)) {
        return;
    }
    if (trace->spans.length >= QUEUE_SPANS_MAX) {
        BsLoop_Count(trace->loop, "trace_spans_dropped", 1);
        return;
    }
    g_queue_push_tail(&trace->spans, BsMessage_Copy(message));
}

BsTrace *
BsTrace_Create(BsLoop *loop)
{
    struct timespec wall;
    if (BsLoop_Settings(loop)->tracing == NULL) {
        return NULL;
    }
    BsTrace *trace = g_new0(BsTrace, 1);
    trace->loop = loop;
    trace->curl = BsCurl_Create(loop, 1);
    trace->headers = curl_slist_append(NULL, "Content-Type: application/json");
    g_queue_init(&trace->spans);
    clock_gettime(CLOCK_REALTIME, &wall);
    trace->wall_offset_ms = (int64_t)wall.tv_sec * MS_PER_S +
                            wall.tv_nsec / NS_PER_MS - BsLoop_NowMs(loop);
    ev_timer_init(&trace->timer, S_on_timer, FLUSH_INTERVAL_S,
                  FLUSH_INTERVAL_S);
    trace->timer.data = trace;
    ev_timer_start(BsLoop_Ev(loop), &trace->timer);
    BsLoop_Handle(loop, BS_SPAN, S_on_span, trace);
    return trace;
}

void
BsTrace_Destroy(BsTrace *trace)
{
    if (trace == NULL) {
        return;
    }
    ev_timer_stop(BsLoop_Ev(trace->loop), &trace->timer);
    BsCurl_Destroy(trace->curl);
    curl_slist_free_all(trace->headers);
    g_queue_clear_full(&trace->spans, (GDestroyNotify)BsMessage_Destroy);
    free(trace->body);
    g_free(trace);
}
