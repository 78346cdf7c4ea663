/* world_upstream.c - fake upstreams: model engines and plain services. */
#include "world_private.h"

#include <string.h>

#define POISON_MARK "POISON"
#define TEXT_BYTES_MAX 64

/* A request that an upstream runs. */
typedef struct {
    WorldUpstream *upstream;
    WorldNode *node;
    uint64_t incarnation;
    char *request_id;
    char *body;
    uint32_t attempt;
    uint32_t next_piece;
    uint64_t seq;
    WorldMode mode;
    bool stopped;
    int references;
} WorldTransfer;

struct WorldUpstream {
    char *name;
    char *data_centre;
    char *region;
    char *serves;
    char *generation;
    char *loaded; /* comma-separated model@version */
    uint32_t kind;
    uint32_t slots;
    uint32_t tokens;
    uint32_t first_ms;
    uint32_t step_ms;
    uint32_t pieces;
    uint32_t boots; /* number of restarts, part of the boot id */
    uint64_t highest_fencing;
    bool fencing;
    WorldMode mode;
    GPtrArray *transfers; /* WorldTransfer */
    GPtrArray *runs;      /* WorldRun */
    uint32_t peak;        /* most transfers at once since last taken */
};

static void
S_destroy_run(void *data)
{
    WorldRun *run = data;
    g_free(run->key);
    g_free(run->request_id);
    g_free(run->body);
    g_free(run->instance);
    g_free(run);
}

static void
S_unref_transfer(void *data)
{
    WorldTransfer *transfer = data;
    if (--transfer->references > 0) {
        return;
    }
    g_free(transfer->request_id);
    g_free(transfer->body);
    g_free(transfer);
}

void
WorldUpstream_Destroy(void *data)
{
    WorldUpstream *upstream = data;
    g_ptr_array_unref(upstream->transfers);
    g_ptr_array_unref(upstream->runs);
    g_free(upstream->name);
    g_free(upstream->data_centre);
    g_free(upstream->region);
    g_free(upstream->serves);
    g_free(upstream->generation);
    g_free(upstream->loaded);
    g_free(upstream);
}

void
World_AddUpstream(World *world, const WorldUpstreamSpec *spec)
{
    WorldUpstream *upstream = g_new0(WorldUpstream, 1);
    upstream->name = g_strdup(spec->name);
    upstream->data_centre = g_strdup(spec->data_centre);
    upstream->region = g_strdup(spec->region);
    upstream->serves = g_strdup(spec->serves);
    upstream->generation = g_strdup(spec->generation);
    upstream->kind = spec->kind;
    upstream->slots = spec->slots;
    upstream->tokens = spec->tokens;
    upstream->first_ms = MAX(spec->first_ms, 1);
    upstream->step_ms = MAX(spec->step_ms, 1);
    upstream->pieces = MAX(spec->pieces, 1);
    upstream->fencing = spec->fencing;
    upstream->transfers = g_ptr_array_new_with_free_func(S_unref_transfer);
    upstream->runs = g_ptr_array_new_with_free_func(S_destroy_run);
    g_ptr_array_add(world->upstreams, upstream);
    World_SetListed(world, spec->name, BS_NODE_LIVE);
}

static WorldUpstream *
S_find(World *world, const char *name)
{
    for (guint i = 0; i < world->upstreams->len; i++) {
        WorldUpstream *upstream = world->upstreams->pdata[i];
        if (g_strcmp0(upstream->name, name) == 0) {
            return upstream;
        }
    }
    g_error("no upstream '%s' in this world", name);
}

static char *
S_piece_text(const char *body, uint32_t piece)
{
    return g_strdup_printf("%u:%08x ", piece, g_str_hash(body));
}

char *
World_ExpectedText(const char *body, uint32_t pieces)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < pieces; i++) {
        char *piece = S_piece_text(body, i);
        g_string_append(text, piece);
        g_free(piece);
    }
    return g_string_free(text, FALSE);
}

/* ---------------------------------------------------------------------- */
/* Answers                                                                 */
/* ---------------------------------------------------------------------- */

static void
S_send(World *world, WorldTransfer *transfer, BsMessage *message)
{
    BsAnswer *answer = &message->u.answer;
    answer->request_id = g_strdup(transfer->request_id);
    answer->attempt = transfer->attempt;
    answer->seq = transfer->seq++;
    if (transfer->node->incarnation == transfer->incarnation) {
        World_Step(world, transfer->node, message);
    }
    BsMessage_Destroy(message);
}

static BsMessage *
S_create_final(uint32_t status, BsErrorKind error, BsOutcome outcome)
{
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_ANSWER);
    message->u.answer.status = status;
    message->u.answer.error = error;
    message->u.answer.outcome = outcome;
    message->u.answer.final = true;
    return message;
}

static void
S_remove(WorldTransfer *transfer)
{
    transfer->stopped = true;
    g_ptr_array_remove(transfer->upstream->transfers, transfer);
}

static void
S_finish(World *world, WorldTransfer *transfer, BsMessage *message)
{
    transfer->references++;
    S_remove(transfer);
    S_send(world, transfer, message);
    S_unref_transfer(transfer);
}

static void
S_close_early(World *world, WorldTransfer *transfer, bool crashed)
{
    BsMessage *message =
        S_create_final(0, BS_ERR_UPSTREAM_FAILED, BS_OUTCOME_UNKNOWN);
    message->u.answer.crashed = crashed;
    S_finish(world, transfer, message);
}

/* Ends the process of an upstream: all its transfers fail. */
static void
S_crash(World *world, WorldUpstream *upstream)
{
    GPtrArray *all = upstream->transfers;
    upstream->boots++;
    upstream->transfers = g_ptr_array_new_with_free_func(S_unref_transfer);
    for (guint i = 0; i < all->len; i++) {
        WorldTransfer *transfer = all->pdata[i];
        transfer->stopped = true;
    }
    for (guint i = 0; i < all->len; i++) {
        WorldTransfer *transfer = all->pdata[i];
        BsMessage *message =
            S_create_final(0, BS_ERR_UPSTREAM_FAILED, BS_OUTCOME_UNKNOWN);
        message->u.answer.crashed = true;
        S_send(world, transfer, message);
    }
    g_ptr_array_unref(all);
}

void
World_RestartUpstream(World *world, const char *name)
{
    S_crash(world, S_find(world, name));
}

static void S_schedule(World *world, WorldTransfer *transfer,
                       int64_t delay_ms);

/* Sends the next piece; returns whether more follow. */
static bool
S_send_piece(World *world, WorldTransfer *transfer)
{
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_ANSWER);
    char *text = S_piece_text(transfer->body, transfer->next_piece);
    message->u.answer.data = g_bytes_new_take(text, strlen(text));
    message->u.answer.status =
        transfer->seq == 0 ? (transfer->mode == WORLD_ERROR ? 500 : 200) : 0;
    message->u.answer.tokens = 1;
    transfer->next_piece++;
    if (transfer->next_piece >= transfer->upstream->pieces) {
        message->u.answer.final = true;
        message->u.answer.outcome = BS_OUTCOME_RAN;
        S_finish(world, transfer, message);
        return false;
    }
    S_send(world, transfer, message);
    return true;
}

static void
S_advance(World *world, void *context)
{
    WorldTransfer *transfer = context;
    if (transfer->stopped) {
        return;
    }
    if (transfer->mode == WORLD_HANG) {
        return;
    }
    if (transfer->seq > 0 && transfer->mode == WORLD_CRASH) {
        S_crash(world, transfer->upstream);
        return;
    }
    if (transfer->seq > 0 && transfer->mode == WORLD_HALF) {
        S_close_early(world, transfer, false);
        return;
    }
    if (S_send_piece(world, transfer)) {
        S_schedule(world, transfer, transfer->upstream->step_ms);
    }
}

static void
S_schedule(World *world, WorldTransfer *transfer, int64_t delay_ms)
{
    transfer->references++;
    World_ScheduleCall(world, S_advance, transfer, S_unref_transfer, delay_ms);
}

/* Answers a request that the upstream does not run. */
static void
S_refuse_call(World *world, void *context)
{
    WorldTransfer *transfer = context;
    bool refused = transfer->mode == WORLD_REFUSE;
    S_send(world, transfer,
           S_create_final(refused ? 503 : 0,
                          refused ? BS_ERR_UPSTREAM_REFUSED : BS_ERR_CONNECT,
                          BS_OUTCOME_NOT_RUN));
}

static char *
S_body_text(const BsRequest *request)
{
    if (request->body == NULL) {
        return g_strdup("");
    }
    gsize size;
    const char *data = g_bytes_get_data(request->body, &size);
    return g_strndup(data, size);
}

static void
S_record_run(World *world, WorldUpstream *upstream, WorldNode *node,
             const BsRequest *request)
{
    WorldRun *run = g_new0(WorldRun, 1);
    run->key = g_strdup(request->key);
    run->request_id = g_strdup(request->request_id);
    run->body = S_body_text(request);
    run->instance = g_strdup(node->name);
    run->at_ms = world->now_ms;
    g_ptr_array_add(upstream->runs, run);
}

void
WorldUpstream_OnDispatch(World *world, WorldNode *node,
                         const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    WorldUpstream *upstream = S_find(world, request->upstream);
    WorldTransfer *transfer = g_new0(WorldTransfer, 1);
    transfer->references = 1;
    transfer->upstream = upstream;
    transfer->node = node;
    transfer->incarnation = node->incarnation;
    transfer->request_id = g_strdup(request->request_id);
    transfer->attempt = request->attempt;
    transfer->body = S_body_text(request);
    transfer->next_piece = request->skip_events;
    transfer->mode = upstream->mode;
    if (strstr(transfer->body, POISON_MARK) != NULL) {
        transfer->mode = WORLD_CRASH;
    }
    if (transfer->mode == WORLD_REFUSE || transfer->mode == WORLD_CONNECT) {
        World_ScheduleCall(world, S_refuse_call, transfer, S_unref_transfer,
                           1);
        return;
    }
    S_record_run(world, upstream, node, request);
    g_ptr_array_add(upstream->transfers, transfer);
    upstream->peak = MAX(upstream->peak, upstream->transfers->len);
    S_schedule(world, transfer, upstream->first_ms);
}

void
WorldUpstream_OnCancel(World *world, WorldNode *node, const BsMessage *message)
{
    for (guint i = 0; i < world->upstreams->len; i++) {
        WorldUpstream *upstream = world->upstreams->pdata[i];
        for (guint k = upstream->transfers->len; k > 0; k--) {
            WorldTransfer *transfer = upstream->transfers->pdata[k - 1];
            if (transfer->node == node &&
                g_strcmp0(transfer->request_id,
                          message->u.cancel.request_id) == 0) {
                S_remove(transfer);
            }
        }
    }
}

void
WorldUpstream_OnKill(World *world, WorldNode *node)
{
    for (guint i = 0; i < world->upstreams->len; i++) {
        WorldUpstream *upstream = world->upstreams->pdata[i];
        for (guint k = upstream->transfers->len; k > 0; k--) {
            WorldTransfer *transfer = upstream->transfers->pdata[k - 1];
            if (transfer->node == node) {
                S_remove(transfer);
            }
        }
    }
}

/* ---------------------------------------------------------------------- */
/* Orders and reports                                                      */
/* ---------------------------------------------------------------------- */

static char *
S_remove_item(const char *loaded, const char *item)
{
    char **items = g_strsplit(loaded == NULL ? "" : loaded, ",", -1);
    GString *kept = g_string_new(NULL);
    for (char **each = items; *each != NULL; each++) {
        if (**each != '\0' && strcmp(*each, item) != 0) {
            g_string_append_printf(kept, "%s%s", kept->len > 0 ? "," : "",
                                   *each);
        }
    }
    g_strfreev(items);
    return g_string_free(kept, FALSE);
}

void
WorldUpstream_OnOrder(World *world, WorldNode *node, const BsMessage *message)
{
    const BsOrder *order = &message->u.order;
    WorldUpstream *upstream = S_find(world, order->upstream);
    if (upstream->fencing && order->fencing < upstream->highest_fencing) {
        return;
    }
    upstream->highest_fencing = MAX(upstream->highest_fencing, order->fencing);
    char *item = g_strdup_printf("%s@%s", order->model, order->version);
    char *loaded = S_remove_item(upstream->loaded, item);
    if (strcmp(order->verb, "load") == 0) {
        char *grown = g_strdup_printf("%s%s%s", loaded,
                                      *loaded != '\0' ? "," : "", item);
        g_free(loaded);
        loaded = grown;
    }
    g_free(upstream->loaded);
    upstream->loaded = loaded;
    g_free(item);
    (void)node;
}

static void
S_report_to(World *world, const WorldUpstream *upstream, WorldNode *node)
{
    BsMessage *message = BsMessage_Create(BS_UPSTREAM_REPORT);
    BsReport *report = &message->u.report;
    report->upstream = g_strdup(upstream->name);
    report->loaded = g_strdup(upstream->loaded);
    report->boot_id =
        g_strdup_printf("%s-%u", upstream->name, upstream->boots);
    report->running = upstream->transfers->len;
    report->fencing = upstream->highest_fencing;
    report->checks_fencing = upstream->fencing;
    report->reachable = upstream->mode != WORLD_CONNECT;
    World_Schedule(world, node, message, 1);
}

void
WorldUpstream_OnPoll(World *world, WorldNode *node, const BsMessage *message)
{
    S_report_to(world, S_find(world, message->u.report.upstream), node);
}

GHashTable *
WorldUpstream_Own(World *world, const BsList *list)
{
    GHashTable *owned = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    for (guint i = 0; i < world->upstreams->len; i++) {
        const WorldUpstream *upstream = world->upstreams->pdata[i];
        const char *owner = BsList_Rank(
            list, upstream->name, upstream->data_centre, upstream->region);
        if (owner == NULL) {
            continue;
        }
        GPtrArray *names = g_hash_table_lookup(owned, owner);
        if (names == NULL) {
            names = g_ptr_array_new_with_free_func(g_free);
            g_hash_table_insert(owned, g_strdup(owner), names);
        }
        g_ptr_array_add(names, g_strdup(upstream->name));
    }
    return owned;
}

void
WorldUpstream_Report(World *world)
{
    for (guint i = 0; i < world->nodes->len; i++) {
        WorldNode *node = world->nodes->pdata[i];
        if (node->core == NULL || node->list == NULL) {
            continue;
        }
        const GPtrArray *names =
            g_hash_table_lookup(node->list->owned, node->name);
        for (guint k = 0; names != NULL && k < names->len; k++) {
            S_report_to(world, S_find(world, names->pdata[k]), node);
        }
    }
}

void
WorldUpstream_AppendEntries(World *world, GPtrArray *entries)
{
    for (guint i = 0; i < world->upstreams->len; i++) {
        const WorldUpstream *upstream = world->upstreams->pdata[i];
        uint32_t state = GPOINTER_TO_UINT(
            g_hash_table_lookup(world->listed, upstream->name));
        if (state == 0) {
            continue;
        }
        BsListEntry *entry = BsListEntry_Create();
        entry->name = g_strdup(upstream->name);
        entry->address = g_strdup(upstream->name);
        entry->data_centre = g_strdup(upstream->data_centre);
        entry->region = g_strdup(upstream->region);
        entry->serves = g_strdup(upstream->serves);
        entry->generation = g_strdup(upstream->generation);
        entry->kind = upstream->kind;
        entry->state = state;
        entry->slots = upstream->slots;
        entry->tokens = upstream->tokens;
        g_ptr_array_add(entries, entry);
    }
}

/* ---------------------------------------------------------------------- */
/* Control                                                                 */
/* ---------------------------------------------------------------------- */

void
World_SetMode(World *world, const char *name, WorldMode mode)
{
    S_find(world, name)->mode = mode;
}

void
World_SetSpeed(World *world, const char *name, uint32_t first_ms,
               uint32_t step_ms)
{
    WorldUpstream *upstream = S_find(world, name);
    upstream->first_ms = MAX(first_ms, 1);
    upstream->step_ms = MAX(step_ms, 1);
}

void
World_SetLoaded(World *world, const char *name, const char *loaded)
{
    BsMessage_SetString(&S_find(world, name)->loaded, loaded);
}

const char *
World_Loaded(World *world, const char *name)
{
    return S_find(world, name)->loaded;
}

const GPtrArray *
World_Runs(World *world, const char *name)
{
    return S_find(world, name)->runs;
}

uint32_t
World_Running(World *world, const char *name)
{
    return S_find(world, name)->transfers->len;
}

uint32_t
World_TakePeak(World *world, const char *name)
{
    WorldUpstream *upstream = S_find(world, name);
    uint32_t peak = upstream->peak;
    upstream->peak = upstream->transfers->len;
    return peak;
}
