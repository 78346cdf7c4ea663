/* history.c - record of one request at its entry. */
#include "history.h"

#include <string.h>

BsHistory *
BsHistory_Create(const BsRequest *request, int64_t now_ms)
{
    BsHistory *history = g_new0(BsHistory, 1);
    history->id = g_strdup(request->request_id);
    history->account = g_strdup(request->account);
    history->key = g_strdup(request->key);
    history->tier = g_strdup(request->tier);
    history->target =
        g_strdup(request->service != NULL ? request->service : request->model);
    history->start_ms = now_ms;
    history->idempotent = request->idempotent;
    return history;
}

void
BsHistory_Destroy(void *data)
{
    BsHistory *history = data;
    g_free(history->id);
    g_free(history->account);
    g_free(history->key);
    g_free(history->tier);
    g_free(history->target);
    g_free(history->keeper);
    g_free(history->upstream);
    g_free(history);
}

static const char *
S_outcome_name(BsOutcome outcome)
{
    switch (outcome) {
    case BS_OUTCOME_RAN:
        return "ran";
    case BS_OUTCOME_NOT_RUN:
        return "not-run";
    case BS_OUTCOME_UNKNOWN:
        return "unknown";
    default:
        return "pending";
    }
}

GBytes *
BsHistory_ToBytes(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(json);
    GBytes *bytes = g_bytes_new(text, strlen(text));
    free(text);
    return bytes;
}

GBytes *
BsHistory_Describe(const BsHistory *history, const char *entry, int64_t now_ms)
{
    const BsErrorText *error = BsError_Describe(history->error);
    int64_t end_ms = history->end_ms == 0 ? now_ms : history->end_ms;
    json_t *body = json_pack(
        "{s:s, s:s, s:s, s:b, s:I, s:I, s:I}", "request_id", history->id,
        "state", history->end_ms == 0 ? "running" : "finished", "outcome",
        S_outcome_name(history->outcome), "idempotent", history->idempotent,
        "age_ms", (json_int_t)(now_ms - history->start_ms), "took_ms",
        (json_int_t)(end_ms - history->start_ms), "queued_ms",
        (json_int_t)history->queued_ms);
    json_object_set_new(body, "entry", json_string(entry));
    json_object_set_new(body, "target", json_string(history->target));
    json_object_set_new(body, "tier", json_string(history->tier));
    if (history->keeper != NULL) {
        json_object_set_new(body, "keeper", json_string(history->keeper));
    }
    if (history->upstream != NULL) {
        json_object_set_new(body, "upstream", json_string(history->upstream));
    }
    if (history->error != BS_ERR_NONE) {
        json_object_set_new(body, "error", json_string(error->name));
        json_object_set_new(body, "remedy", json_string(error->remedy));
    }
    return BsHistory_ToBytes(body);
}
