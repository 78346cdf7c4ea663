/* d_context.c - W3C trace contexts and the span of one hop. */
#include "d_context.h"

#include <string.h>

/* Layout of a traceparent: "00-TRACE(32)-SPAN(16)-FLAGS(2)". */
#define TRACE_OFFSET 3
#define TRACE_BYTES 32
#define SPAN_OFFSET 36
#define SPAN_BYTES 16
#define FLAGS_OFFSET 53
#define CONTEXT_BYTES 55

static guint64
S_random64(void)
{
    return ((guint64)g_random_int() << 32) | g_random_int();
}

bool
BsContext_IsSampled(const char *traceparent)
{
    return traceparent != NULL && strlen(traceparent) == CONTEXT_BYTES &&
           g_ascii_xdigit_value(traceparent[FLAGS_OFFSET + 1]) % 2 == 1;
}

/* Decides at random, by the sample rate, whether to record a new trace. */
static bool
S_is_chosen(const BsLoop *loop)
{
    const BsTracingSettings *tracing = BsLoop_Settings(loop)->tracing;
    return tracing != NULL &&
           (uint32_t)g_random_int_range(0, 100) < tracing->sample_percent;
}

void
BsHop_Start(BsHop *hop, BsLoop *loop, const char *parent)
{
    hop->start_ms = BsLoop_NowMs(loop);
    if (parent != NULL && strlen(parent) == CONTEXT_BYTES) {
        hop->parent = g_strndup(parent + SPAN_OFFSET, SPAN_BYTES);
        hop->traceparent = g_strdup_printf(
            "00-%.*s-%016" G_GINT64_MODIFIER "x-%s", TRACE_BYTES,
            parent + TRACE_OFFSET, S_random64(), parent + FLAGS_OFFSET);
        return;
    }
    hop->parent = NULL;
    hop->traceparent =
        g_strdup_printf("00-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER
                        "x-%016" G_GINT64_MODIFIER "x-%s",
                        S_random64(), S_random64(), S_random64(),
                        S_is_chosen(loop) ? "01" : "00");
}

void
BsHop_End(BsHop *hop, BsLoop *loop, const char *name, const char *request_id)
{
    if (BsContext_IsSampled(hop->traceparent)) {
        BsMessage *message = BsMessage_Create(BS_SPAN);
        message->u.span.traceparent = g_strdup(hop->traceparent);
        message->u.span.parent = g_strdup(hop->parent);
        message->u.span.name = g_strdup(name);
        message->u.span.request_id = g_strdup(request_id);
        message->u.span.start_ms = hop->start_ms;
        message->u.span.end_ms = BsLoop_NowMs(loop);
        BsLoop_Publish(loop, message);
    }
    g_clear_pointer(&hop->traceparent, g_free);
    g_clear_pointer(&hop->parent, g_free);
}
