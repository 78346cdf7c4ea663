/* world.c - clock, instances and network of a world. */
#include "world.h"

#include "schema.h"
#include "world_private.h"

#include <stdio.h>
#include <string.h>

#define START_MS 1000000
#define FIRST_INCARNATION (UINT64_C(1) << 60) /* as wide as in production */
#define SAME_DATA_CENTRE_MS 1
#define SAME_REGION_MS 2
#define OTHER_REGION_MS 12
#define REPORT_INTERVAL_MS 2000
#define POLL_INTERVAL_MS 50
#define SEED_STEP 7919

static gint
S_compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
    const WorldEvent *left = a;
    const WorldEvent *right = b;
    (void)unused;
    if (left->at_ms != right->at_ms) {
        return left->at_ms < right->at_ms ? -1 : 1;
    }
    return left->order < right->order ? -1 : left->order > right->order;
}

static void
S_destroy_event(void *data)
{
    WorldEvent *event = data;
    BsMessage_Destroy(event->message);
    if (event->destroy != NULL) {
        event->destroy(event->context);
    }
    g_free(event);
}

static void
S_destroy_node(void *data)
{
    WorldNode *node = data;
    BsCore_Destroy(node->core);
    g_queue_clear_full(&node->waiting, (GDestroyNotify)BsMessage_Destroy);
    WorldList_Unref(node->list);
    g_free(node->name);
    g_free(node->data_centre);
    g_free(node->region);
    g_free(node);
}

static void
S_destroy_cut(void *data)
{
    WorldCut *cut = data;
    g_free(cut->from);
    g_free(cut->to);
    g_free(cut);
}

World *
World_Create(uint32_t seed)
{
    World *world = g_new0(World, 1);
    world->random = g_rand_new_with_seed(seed);
    world->now_ms = START_MS;
    world->next_incarnation = FIRST_INCARNATION;
    BsCoreConfig_Init(&world->config);
    world->config.secret = "scenario";
    world->config.fresh_fleet = true;
    world->config.seed = seed;
    world->nodes = g_ptr_array_new_with_free_func(S_destroy_node);
    world->nodes_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    world->upstreams = g_ptr_array_new_with_free_func(WorldUpstream_Destroy);
    world->calls = g_ptr_array_new_with_free_func(WorldCall_Destroy);
    world->calls_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    world->replies =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    world->events = g_sequence_new(S_destroy_event);
    world->cuts = g_ptr_array_new_with_free_func(S_destroy_cut);
    world->held = g_ptr_array_new();
    world->listed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return world;
}

void
World_Destroy(World *world)
{
    World_Release(world);
    g_ptr_array_unref(world->held);
    g_sequence_free(world->events);
    g_ptr_array_unref(world->nodes);
    g_ptr_array_unref(world->upstreams);
    g_hash_table_destroy(world->calls_by_id);
    g_ptr_array_unref(world->calls);
    g_hash_table_destroy(world->replies);
    g_ptr_array_unref(world->cuts);
    g_hash_table_destroy(world->listed);
    WorldList_Unref(world->platform_list);
    g_hash_table_destroy(world->nodes_by_name);
    BsMessage_Destroy(world->platform_sheet);
    g_rand_free(world->random);
    g_free(world->hold_to);
    g_free(world);
}

BsCoreConfig *
World_Config(World *world)
{
    return &world->config;
}

GRand *
World_Random(World *world)
{
    return world->random;
}

int64_t
World_NowMs(const World *world)
{
    return world->now_ms;
}

void
World_OnStep(World *world, void (*after)(World *, void *), void *context)
{
    world->after = after;
    world->after_context = context;
}

void
World_SetTrace(World *world, bool trace)
{
    world->trace = trace;
}

/* ---------------------------------------------------------------------- */
/* Events                                                                  */
/* ---------------------------------------------------------------------- */

static void
S_add_event(World *world, WorldEvent *event, int64_t delay_ms)
{
    event->at_ms = world->now_ms + delay_ms;
    event->order = world->next_order++;
    g_sequence_insert_sorted(world->events, event, S_compare_events, NULL);
}

void
World_Schedule(World *world, WorldNode *node, BsMessage *message,
               int64_t delay_ms)
{
    WorldEvent *event = g_new0(WorldEvent, 1);
    event->node = node;
    event->message = message;
    S_add_event(world, event, delay_ms);
}

void
World_ScheduleCall(World *world, void (*call)(World *, void *), void *context,
                   GDestroyNotify destroy, int64_t delay_ms)
{
    WorldEvent *event = g_new0(WorldEvent, 1);
    event->call = call;
    event->context = context;
    event->destroy = destroy;
    S_add_event(world, event, delay_ms);
}

static void
S_print_message(const World *world, const WorldNode *node, const char *arrow,
                const BsMessage *message)
{
    if (!world->trace || message->kind == BS_TICK) {
        return;
    }
    char *text = BsMessage_Format(message);
    printf("%7" G_GINT64_FORMAT " %s %s %s\n", world->now_ms - START_MS,
           node->name, arrow, text);
    g_free(text);
}

void
World_Step(World *world, WorldNode *node, const BsMessage *message)
{
    if (node->core == NULL) {
        return;
    }
    if (node->paused) {
        if (message->kind != BS_TICK) {
            g_queue_push_tail(&node->waiting, BsMessage_Copy(message));
        }
        return;
    }
    S_print_message(world, node, "<", message);
    BsCore_Step(node->core, message);
    if (world->after != NULL) {
        world->after(world, world->after_context);
    }
}

static void
S_run_event(World *world, WorldEvent *event)
{
    if (event->call != NULL) {
        event->call(world, event->context);
        return;
    }
    World_Step(world, event->node, event->message);
}

static void
S_tick_all(World *world)
{
    BsMessage *tick = BsMessage_Create(BS_TICK);
    for (guint i = 0; i < world->nodes->len; i++) {
        World_Step(world, world->nodes->pdata[i], tick);
    }
    BsMessage_Destroy(tick);
}

static void
S_run_due(World *world)
{
    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(world->events);
        if (g_sequence_iter_is_end(first)) {
            return;
        }
        WorldEvent *event = g_sequence_get(first);
        if (event->at_ms > world->now_ms) {
            return;
        }
        WorldEvent due = *event;
        event->message = NULL;
        event->destroy = NULL;
        g_sequence_remove(first);
        S_run_event(world, &due);
        BsMessage_Destroy(due.message);
        if (due.destroy != NULL) {
            due.destroy(due.context);
        }
    }
}

void
World_Run(World *world, int64_t duration_ms)
{
    int64_t end_ms = world->now_ms + duration_ms;
    S_run_due(world);
    while (world->now_ms < end_ms) {
        world->now_ms++;
        S_run_due(world);
        if (world->now_ms % WORLD_TICK_MS == 0) {
            S_tick_all(world);
        }
        if (world->now_ms % POLL_INTERVAL_MS == 0) {
            WorldPlatform_Poll(world);
        }
        if (world->now_ms % REPORT_INTERVAL_MS == 0) {
            WorldUpstream_Report(world);
        }
    }
}

/* ---------------------------------------------------------------------- */
/* Network                                                                 */
/* ---------------------------------------------------------------------- */

static bool
S_matches(const char *pattern, const char *name)
{
    return strcmp(pattern, "*") == 0 || strcmp(pattern, name) == 0;
}

bool
World_IsCut(const World *world, const char *from, const char *to)
{
    for (guint i = 0; i < world->cuts->len; i++) {
        const WorldCut *cut = world->cuts->pdata[i];
        if (S_matches(cut->from, from) && S_matches(cut->to, to)) {
            return true;
        }
    }
    return false;
}

void
World_Cut(World *world, const char *from, const char *to)
{
    WorldCut *cut = g_new0(WorldCut, 1);
    cut->from = g_strdup(from);
    cut->to = g_strdup(to);
    g_ptr_array_add(world->cuts, cut);
}

void
World_Heal(World *world)
{
    g_ptr_array_set_size(world->cuts, 0);
}

void
World_SetNetwork(World *world, double loss, double repeat, int64_t extra_ms)
{
    world->loss = loss;
    world->repeat = repeat;
    world->extra_ms = extra_ms;
}

void
World_Hold(World *world, uint32_t kind, const char *to)
{
    world->holding = true;
    world->hold_kind = kind;
    g_free(world->hold_to);
    world->hold_to = g_strdup(to);
}

void
World_Release(World *world)
{
    world->holding = false;
    for (guint i = 0; i < world->held->len; i++) {
        S_add_event(world, world->held->pdata[i], 1);
    }
    g_ptr_array_set_size(world->held, 0);
}

static int64_t
S_latency_ms(const WorldNode *from, const WorldNode *to)
{
    if (strcmp(from->data_centre, to->data_centre) == 0) {
        return SAME_DATA_CENTRE_MS;
    }
    return strcmp(from->region, to->region) == 0 ? SAME_REGION_MS
                                                 : OTHER_REGION_MS;
}

static void
S_deliver_copy(World *world, const WorldNode *from, WorldNode *to,
               GBytes *bytes)
{
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    BsMessage *message = BsMessage_Decode(data, size, NULL);
    g_assert(message != NULL);
    message->to = g_strdup(to->name);
    int64_t delay_ms = S_latency_ms(from, to);
    if (world->extra_ms > 0) {
        delay_ms +=
            g_rand_int_range(world->random, 0, (gint32)world->extra_ms + 1);
    }
    if (world->holding && S_matches(world->hold_to, to->name) &&
        (world->hold_kind == 0 || world->hold_kind == message->kind)) {
        WorldEvent *event = g_new0(WorldEvent, 1);
        event->node = to;
        event->message = message;
        g_ptr_array_add(world->held, event);
        return;
    }
    World_Schedule(world, to, message, delay_ms);
}

static WorldNode *
S_find_node(World *world, const char *name)
{
    return g_hash_table_lookup(world->nodes_by_name, name);
}

static bool
S_random_chance(World *world, double probability)
{
    return probability > 0 && g_rand_double(world->random) < probability;
}

static void
S_send_peer(World *world, WorldNode *from, const BsMessage *message)
{
    WorldNode *to = S_find_node(world, message->to);
    GBytes *bytes = BsMessage_Encode(message);
    world->peer_messages++;
    world->peer_bytes += g_bytes_get_size(bytes);
    world->kind_bytes[message->kind % KINDS_MAX] += g_bytes_get_size(bytes);
    if (to != NULL && to->core != NULL &&
        !World_IsCut(world, from->name, to->name) &&
        !S_random_chance(world, world->loss)) {
        S_deliver_copy(world, from, to, bytes);
        if (S_random_chance(world, world->repeat)) {
            S_deliver_copy(world, from, to, bytes);
        }
    }
    g_bytes_unref(bytes);
}

uint64_t
World_PeerMessages(const World *world)
{
    return world->peer_messages;
}

uint64_t
World_PeerBytes(const World *world)
{
    return world->peer_bytes;
}

uint64_t
World_PeerBytesOfKind(const World *world, uint32_t kind)
{
    return world->kind_bytes[kind % KINDS_MAX];
}

/* ---------------------------------------------------------------------- */
/* Instances                                                               */
/* ---------------------------------------------------------------------- */

static struct timespec
S_now(void *context)
{
    const World *world = context;
    struct timespec now = {
        .tv_sec = world->now_ms / 1000,
        .tv_nsec = world->now_ms % 1000 * 1000000,
    };
    return now;
}

static void
S_store_reply(World *world, const BsQueryReply *reply)
{
    gsize size;
    const char *data = g_bytes_get_data(reply->body, &size);
    g_hash_table_insert(world->replies, g_strdup(reply->query_id),
                        g_strndup(data, size));
}

static void
S_on_emit(const BsMessage *message, void *context)
{
    WorldNode *node = context;
    World *world = node->world;
    S_print_message(world, node, ">", message);
    if (BsSchema_IsPeerKind(message->kind)) {
        S_send_peer(world, node, message);
        return;
    }
    switch (message->kind) {
    case BS_CALLER_ANSWER:
        WorldCall_OnAnswer(world, message);
        break;
    case BS_UPSTREAM_DISPATCH:
        WorldUpstream_OnDispatch(world, node, message);
        break;
    case BS_UPSTREAM_CANCEL:
        WorldUpstream_OnCancel(world, node, message);
        break;
    case BS_UPSTREAM_ORDER:
        WorldUpstream_OnOrder(world, node, message);
        break;
    case BS_UPSTREAM_POLL:
        WorldUpstream_OnPoll(world, node, message);
        break;
    case BS_PLATFORM_WATCH:
        node->watch_sheet = message->u.watch.sheet;
        node->watch_list = message->u.watch.list;
        break;
    case BS_PLATFORM_LIST:
        WorldPlatform_OnList(world, node, message);
        break;
    case BS_QUERY_REPLY:
        S_store_reply(world, &message->u.reply);
        break;
    case BS_DRAINED:
        node->drained = true;
        break;
    default:
        break;
    }
}

static void
S_start(World *world, WorldNode *node)
{
    BsCoreConfig config = world->config;
    BsClock clock = {.now = S_now, .context = world};
    GError *error = NULL;
    node->incarnation = world->next_incarnation++;
    node->watch_sheet = true;
    node->watch_list = true;
    node->sheet_seen = 0;
    node->list_seen = 0;
    node->drained = false;
    node->paused = false;
    config.name = node->name;
    config.data_centre = node->data_centre;
    config.region = node->region;
    config.incarnation = node->incarnation;
    config.seed = world->config.seed * SEED_STEP + node->incarnation;
    node->core = BsCore_Create(&config, &clock, S_on_emit, node, &error);
    g_assert_no_error(error);
}

WorldNode *
World_Node(World *world, const char *name)
{
    WorldNode *node = S_find_node(world, name);
    if (node == NULL) {
        g_error("no instance '%s' in this world", name);
    }
    return node;
}

void
World_AddInstance(World *world, const char *name, const char *data_centre,
                  const char *region)
{
    WorldNode *node = g_new0(WorldNode, 1);
    node->world = world;
    node->name = g_strdup(name);
    node->data_centre = g_strdup(data_centre);
    node->region = g_strdup(region);
    g_queue_init(&node->waiting);
    g_ptr_array_add(world->nodes, node);
    g_hash_table_insert(world->nodes_by_name, node->name, node);
    World_SetListed(world, name, BS_NODE_LIVE);
    S_start(world, node);
}

void
World_Kill(World *world, const char *name)
{
    WorldNode *node = World_Node(world, name);
    BsCore_Destroy(node->core);
    node->core = NULL;
    g_queue_clear_full(&node->waiting, (GDestroyNotify)BsMessage_Destroy);
    g_queue_init(&node->waiting);
    g_clear_pointer(&node->list, WorldList_Unref);
    WorldUpstream_OnKill(world, node);
    WorldCall_OnKill(world, node);
}

void
World_Restart(World *world, const char *name)
{
    WorldNode *node = World_Node(world, name);
    if (node->core != NULL) {
        World_Kill(world, name);
    }
    S_start(world, node);
}

void
World_Pause(World *world, const char *name)
{
    World_Node(world, name)->paused = true;
}

void
World_Wake(World *world, const char *name)
{
    WorldNode *node = World_Node(world, name);
    node->paused = false;
    BsMessage *message;
    while (!node->paused &&
           (message = g_queue_pop_head(&node->waiting)) != NULL) {
        World_Step(world, node, message);
        BsMessage_Destroy(message);
    }
}

void
World_Drain(World *world, const char *name, int64_t limit_ms)
{
    BsMessage *drain = BsMessage_Create(BS_DRAIN);
    drain->u.drain.limit_ms = limit_ms;
    World_Inject(world, name, drain);
}

BsCore *
World_Core(World *world, const char *name)
{
    return World_Node(world, name)->core;
}

bool
World_IsDrained(World *world, const char *name)
{
    return World_Node(world, name)->drained;
}

void
World_Inject(World *world, const char *name, BsMessage *message)
{
    World_Step(world, World_Node(world, name), message);
    BsMessage_Destroy(message);
}
