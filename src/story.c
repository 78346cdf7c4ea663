/* story.c - what an entry remembers of one request. */
#include "story.h"

#include <string.h>

BsStory *
BsStory_Create(const BsRequest *request, int64_t now_ms)
{
    BsStory *story = g_new0(BsStory, 1);
    story->id = g_strdup(request->request_id);
    story->account = g_strdup(request->account);
    story->key = g_strdup(request->key);
    story->tier = g_strdup(request->tier);
    story->target =
        g_strdup(request->service != NULL ? request->service : request->model);
    story->start_ms = now_ms;
    story->idempotent = request->idempotent;
    return story;
}

void
BsStory_Destroy(void *data)
{
    BsStory *story = data;
    g_free(story->id);
    g_free(story->account);
    g_free(story->key);
    g_free(story->tier);
    g_free(story->target);
    g_free(story->keeper);
    g_free(story->upstream);
    g_free(story);
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
BsStory_ToBytes(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(json);
    GBytes *bytes = g_bytes_new(text, strlen(text));
    free(text);
    return bytes;
}

GBytes *
BsStory_Describe(const BsStory *story, const char *entry, int64_t now_ms)
{
    const BsErrorText *error = BsError_Describe(story->error);
    int64_t end_ms = story->end_ms == 0 ? now_ms : story->end_ms;
    json_t *body = json_pack(
        "{s:s, s:s, s:s, s:b, s:I, s:I, s:I}", "request_id", story->id,
        "state", story->end_ms == 0 ? "running" : "finished", "outcome",
        S_outcome_name(story->outcome), "idempotent", story->idempotent,
        "age_ms", (json_int_t)(now_ms - story->start_ms), "took_ms",
        (json_int_t)(end_ms - story->start_ms), "queued_ms",
        (json_int_t)story->queued_ms);
    json_object_set_new(body, "entry", json_string(entry));
    json_object_set_new(body, "target", json_string(story->target));
    json_object_set_new(body, "tier", json_string(story->tier));
    if (story->keeper != NULL) {
        json_object_set_new(body, "keeper", json_string(story->keeper));
    }
    if (story->upstream != NULL) {
        json_object_set_new(body, "upstream", json_string(story->upstream));
    }
    if (story->error != BS_ERR_NONE) {
        json_object_set_new(body, "error", json_string(error->name));
        json_object_set_new(body, "remedy", json_string(error->remedy));
    }
    return BsStory_ToBytes(body);
}
