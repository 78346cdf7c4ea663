/* work.c - one request that is queued or running at an owner. */
#include "work.h"

#include <string.h>

#define EVENT_END "\n\n"

const char *
BsRequest_Serves(const BsRequest *request)
{
    return request->service != NULL ? request->service : request->model;
}

uint32_t
BsEvents_Count(GBytes *data)
{
    gsize size = 0;
    const char *at = data == NULL ? NULL : g_bytes_get_data(data, &size);
    if (size == 0) {
        return 0;
    }
    const char *end = at + size;
    uint32_t count = 0;
    while ((at = memmem(at, (size_t)(end - at), EVENT_END,
                        strlen(EVENT_END))) != NULL) {
        at += strlen(EVENT_END);
        count++;
    }
    return MAX(count, 1);
}

BsWork *
BsWork_Create(const BsMessage *forward, uint32_t rank, int64_t now_ms)
{
    const BsRequest *request = &forward->u.request;
    BsWork *work = g_new0(BsWork, 1);
    work->request = BsMessage_Copy(forward);
    work->id = g_strdup_printf("%s/%u", request->request_id, request->attempt);
    work->serves = BsRequest_Serves(&work->request->u.request);
    work->arrived_ms = now_ms;
    work->deadline_ms = now_ms + request->deadline_ms;
    work->rank = rank;
    work->cost_tokens = request->prompt_tokens + request->output_tokens;
    work->cost_tokens = MAX(work->cost_tokens, 1);
    work->events = request->skip_events;
    if (request->stream && request->skip_events > 0 &&
        request->version != NULL) {
        work->version =
            g_strdup_printf("%s@%s", work->serves, request->version);
    }
    if (request->body != NULL) {
        work->body_bytes = g_bytes_get_size(request->body);
    }
    return work;
}

void
BsWork_BindVersion(BsWork *work)
{
    if (work->version == NULL && work->events > 0) {
        work->version = g_strdup(work->dispatch_version);
    }
}

void
BsWork_NameVersion(BsWork *work, BsAnswer *answer)
{
    if (BsWork_Request(work)->stream && work->version != NULL &&
        !work->version_named) {
        BsMessage_SetString(&answer->version,
                            work->version + strlen(work->serves) + 1);
        work->version_named = true;
    }
}

void
BsWork_Destroy(BsWork *work)
{
    if (work == NULL) {
        return;
    }
    BsMessage_Destroy(work->request);
    BsSpanScope_Clear(&work->span);
    g_free(work->id);
    g_free(work->version);
    g_free(work->dispatch_version);
    g_free(work);
}

const BsRequest *
BsWork_Request(const BsWork *work)
{
    return &work->request->u.request;
}

bool
BsWork_IsRestartable(const BsWork *work)
{
    const BsRequest *request = BsWork_Request(work);
    return request->idempotent && (request->stream || work->next_seq == 0);
}

uint32_t
BsWork_WasteTokens(const BsWork *work)
{
    uint32_t prompt = BsWork_Request(work)->prompt_tokens;
    uint32_t prefill = prompt - MIN(prompt, work->cached_tokens);
    return prefill + work->output_tokens;
}
