/* gw_answer.c - buffers and forwards an upstream's answer to the caller. */
#include "gw_relayparts.h"

#include <string.h>

/* Bytes not sent to the caller above which reading from the upstream pauses.
 */
#define PENDING_MAX_BYTES (256 * 1024)

static bool
S_is_event_stream(const BsRelay *relay, uint32_t status)
{
    return relay->route->kind == BS_ROUTE_STREAM && status >= 200 &&
           status < 300;
}

void
BsAnswer_Init(const BsRelay *relay, BsRelayAnswer *answer,
              const BsHttpHead *head)
{
    BsAnswer_Clear(answer);
    answer->status = head->status;
    answer->headers = g_string_new(NULL);
    answer->body = g_string_new(NULL);
    answer->length_bytes = head->length_bytes;
    relay->gate->wire->copy_answer(head, answer->headers);
    if (S_is_event_stream(relay, head->status)) {
        answer->events = BsSseSplitter_Create();
        answer->streamed = true;
    }
}

void
BsAnswer_Begin(BsRelay *relay, const BsHttpHead *head)
{
    /* A resumed stream continues after its first head. */
    if (!relay->answer.started) {
        BsAnswer_Init(relay, &relay->answer, head);
    }
}

static void
S_start(BsRelay *relay)
{
    BsRelayAnswer *answer = &relay->answer;
    /* An event stream is sent chunked, as it may be composed of several runs.
       So is a body without a declared length, as it must not look complete
       when it is truncated. */
    int64_t length_bytes = answer->events != NULL ? -1 : answer->length_bytes;
    answer->started = true;
    BsInbound_StartAnswer(relay->inbound, answer->status, answer->headers->str,
                          length_bytes);
}

/* Forwards the buffered body to the caller; drops it when the caller has left
   and only the request's outcome counts. */
static void
S_forward(BsRelay *relay)
{
    BsRelayAnswer *answer = &relay->answer;
    if (relay->inbound == NULL) {
        g_string_truncate(answer->body, 0);
        return;
    }
    if (answer->body->len == 0) {
        return;
    }
    if (!answer->started) {
        S_start(relay);
    }
    BsInbound_SendBody(relay->inbound, answer->body->str, answer->body->len);
    g_string_truncate(answer->body, 0);
    if (relay->attempt.call != NULL &&
        BsInbound_PendingBytes(relay->inbound) > PENDING_MAX_BYTES) {
        BsOutbound_SetReading(relay->attempt.call, false);
        relay->attempt.paused = true;
    }
}

unsigned
BsAnswer_Append(BsRelay *relay, const char *data, size_t size_bytes)
{
    BsRelayAnswer *answer = &relay->answer;
    if (answer->events != NULL) {
        unsigned events =
            BsSseSplitter_Feed(answer->events, data, size_bytes, answer->body);
        S_forward(relay);
        return events;
    }
    g_string_append_len(answer->body, data, (gssize)size_bytes);
    if (answer->body->len > BS_ANSWER_BUFFERED_MAX_BYTES) {
        answer->streamed = true;
    }
    if (answer->streamed) {
        S_forward(relay);
    }
    return 0;
}

void
BsAnswer_End(BsRelay *relay)
{
    BsRelayAnswer *answer = &relay->answer;
    if (relay->inbound == NULL) {
        return;
    }
    if (answer->events != NULL) {
        BsSseSplitter_TakePartial(answer->events, answer->body);
    }
    if (!answer->started && !answer->streamed) {
        BsInbound_Answer(relay->inbound, answer->status, answer->headers->str,
                         answer->body->str, answer->body->len);
        relay->inbound = NULL;
        return;
    }
    if (!answer->started) {
        S_start(relay);
    }
    S_forward(relay);
    BsInbound_EndAnswer(relay->inbound);
    relay->inbound = NULL;
}

void
BsAnswer_Clear(BsRelayAnswer *answer)
{
    if (answer->headers != NULL) {
        g_string_free(answer->headers, TRUE);
        g_string_free(answer->body, TRUE);
    }
    BsSseSplitter_Destroy(answer->events);
    memset(answer, 0, sizeof(*answer));
}
