/* span.c - trace spans of the hops of a request between instances. */
#include "span.h"

#include <string.h>

/* Layout of a W3C traceparent, "00-TRACE-SPAN-FLAGS". */
#define CONTEXT_BYTES 55
#define TRACE_OFFSET 3
#define TRACE_BYTES 32
#define SPAN_OFFSET 36
#define SPAN_BYTES 16
#define FLAGS_OFFSET 53

#define SAMPLED_FLAG 1

static bool
S_is_sampled(const char *traceparent)
{
    if (traceparent == NULL || strlen(traceparent) != CONTEXT_BYTES) {
        return false;
    }
    return (g_ascii_xdigit_value(traceparent[FLAGS_OFFSET + 1]) &
            SAMPLED_FLAG) != 0;
}

void
BsSpanScope_Begin(BsSpanScope *scope, BsCore *core, BsRequest *request)
{
    const char *parent = request->traceparent;
    if (!S_is_sampled(parent)) {
        return;
    }
    scope->start_ms = BsCore_NowMs(core);
    scope->parent = g_strndup(parent + SPAN_OFFSET, SPAN_BYTES);
    scope->traceparent =
        g_strdup_printf("00-%.*s-%08x%08x-%s", TRACE_BYTES,
                        parent + TRACE_OFFSET, g_rand_int(core->random),
                        g_rand_int(core->random), parent + FLAGS_OFFSET);
    BsMessage_SetString(&request->traceparent, scope->traceparent);
}

void
BsSpanScope_End(BsSpanScope *scope, BsCore *core, const char *name,
                const char *request_id)
{
    if (scope->traceparent == NULL) {
        return;
    }
    BsMessage *message = BsMessage_Create(BS_SPAN);
    BsSpan *span = &message->u.span;
    span->traceparent = g_steal_pointer(&scope->traceparent);
    span->parent = g_steal_pointer(&scope->parent);
    span->name = g_strdup(name);
    span->request_id = g_strdup(request_id);
    span->start_ms = scope->start_ms;
    span->end_ms = BsCore_NowMs(core);
    BsCore_Emit(core, message);
}

void
BsSpanScope_Clear(BsSpanScope *scope)
{
    g_clear_pointer(&scope->traceparent, g_free);
    g_clear_pointer(&scope->parent, g_free);
}
