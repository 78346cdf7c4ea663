/* world_call.c - fake callers. */
#include "world_private.h"

#define QUERY_STEP_MS 10

void
WorldCall_Destroy(void *data)
{
    WorldCall *call = data;
    g_free(call->id);
    g_free(call->instance);
    g_free(call->key);
    g_free(call->body);
    g_free(call->ticket);
    g_string_free(call->text, TRUE);
    g_free(call);
}

void
World_Send(World *world, const char *instance, BsMessage *request)
{
    WorldCall *call = g_new0(WorldCall, 1);
    const BsRequest *sent = &request->u.request;
    call->id = g_strdup(sent->request_id);
    call->instance = g_strdup(instance);
    call->key = g_strdup(sent->key);
    call->sent_ms = world->now_ms;
    call->text = g_string_new(NULL);
    if (sent->body != NULL) {
        gsize size;
        const char *data = g_bytes_get_data(sent->body, &size);
        call->body = g_strndup(data, size);
    }
    g_ptr_array_add(world->calls, call);
    g_hash_table_insert(world->calls_by_id, call->id, call);
    WorldNode *node = World_Node(world, instance);
    call->lost = node->core == NULL;
    World_Step(world, node, request);
    BsMessage_Destroy(request);
}

void
World_Leave(World *world, const char *id)
{
    const WorldCall *call = World_Call(world, id);
    BsMessage *cancel = BsMessage_Create(BS_CALLER_CANCEL);
    cancel->u.cancel.request_id = g_strdup(id);
    World_Inject(world, call->instance, cancel);
}

void
WorldCall_OnAnswer(World *world, const BsMessage *message)
{
    const BsAnswer *answer = &message->u.answer;
    WorldCall *call =
        g_hash_table_lookup(world->calls_by_id, answer->request_id);
    if (call == NULL) {
        g_error("answer to a request never sent: %s", answer->request_id);
    }
    if (answer->seq != call->next_seq || call->finals > 0) {
        call->disorders++;
    }
    call->next_seq = answer->seq + 1;
    if (call->first_ms == 0) {
        call->first_ms = world->now_ms;
    }
    if (answer->status != 0 && call->status == 0) {
        call->status = answer->status;
    }
    if (answer->data != NULL) {
        gsize size;
        const char *data = g_bytes_get_data(answer->data, &size);
        g_string_append_len(call->text, data, (gssize)size);
    }
    if (answer->ticket != NULL) {
        BsMessage_SetString(&call->ticket, answer->ticket);
    }
    if (answer->final) {
        call->finals++;
        call->done_ms = world->now_ms;
        call->outcome = answer->outcome;
        call->error = answer->error;
        call->retry_after_s = answer->retry_after_s;
    }
}

void
WorldCall_OnKill(World *world, WorldNode *node)
{
    for (guint i = 0; i < world->calls->len; i++) {
        WorldCall *call = world->calls->pdata[i];
        if (call->finals == 0 && g_strcmp0(call->instance, node->name) == 0) {
            call->lost = true;
        }
    }
}

const WorldCall *
World_Call(World *world, const char *id)
{
    return g_hash_table_lookup(world->calls_by_id, id);
}

const GPtrArray *
World_Calls(World *world)
{
    return world->calls;
}

char *
World_Query(World *world, const char *instance, const char *what,
            const char *argument, const char *token, int64_t wait_ms)
{
    BsMessage *query = BsMessage_Create(BS_QUERY);
    char *id = g_strdup_printf("q%" G_GUINT64_FORMAT, world->next_query++);
    query->u.query.query_id = g_strdup(id);
    query->u.query.what = g_strdup(what);
    query->u.query.argument = g_strdup(argument);
    query->u.query.token = g_strdup(token);
    World_Inject(world, instance, query);
    for (int64_t waited_ms = 0;
         waited_ms < wait_ms && !g_hash_table_contains(world->replies, id);
         waited_ms += QUERY_STEP_MS) {
        World_Run(world, QUERY_STEP_MS);
    }
    char *body = g_strdup(g_hash_table_lookup(world->replies, id));
    g_free(id);
    return body;
}
