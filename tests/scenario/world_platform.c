/* world_platform.c - the fake platform, which publishes lists and sheets. */
#include "schema.h"
#include "world_private.h"

#include <string.h>

void
World_SetListed(World *world, const char *name, uint32_t state)
{
    g_hash_table_insert(world->listed, g_strdup(name),
                        GUINT_TO_POINTER(state));
}

static void
S_append_instances(World *world, GPtrArray *entries)
{
    for (guint i = 0; i < world->nodes->len; i++) {
        const WorldNode *node = world->nodes->pdata[i];
        uint32_t state =
            GPOINTER_TO_UINT(g_hash_table_lookup(world->listed, node->name));
        if (state == 0) {
            continue;
        }
        BsListEntry *entry = BsListEntry_Create();
        entry->name = g_strdup(node->name);
        entry->address = g_strdup(node->name);
        entry->data_centre = g_strdup(node->data_centre);
        entry->region = g_strdup(node->region);
        entry->kind = BS_NODE_INSTANCE;
        entry->state = state;
        g_ptr_array_add(entries, entry);
    }
}

static void
S_clear_list(void *data)
{
    WorldList *list = data;
    BsMessage_Destroy(list->message);
    g_hash_table_destroy(list->owned);
}

void
WorldList_Unref(WorldList *list)
{
    if (list != NULL) {
        g_rc_box_release_full(list, S_clear_list);
    }
}

static uint64_t
S_list_revision(const World *world)
{
    return world->platform_list == NULL
               ? 0
               : world->platform_list->message->u.list.revision;
}

static void
S_rebuild_list(World *world)
{
    uint64_t revision = S_list_revision(world);
    BsMessage *message = BsMessage_Create(BS_PLATFORM_LIST);
    message->u.list.revision = revision + 1;
    message->u.list.entries = BsSchema_NewList(&bs_schema_list_entry);
    S_append_instances(world, message->u.list.entries);
    WorldUpstream_AppendEntries(world, message->u.list.entries);
    WorldList_Unref(world->platform_list);
    world->platform_list = g_rc_box_new0(WorldList);
    world->platform_list->message = message;
    world->platform_list->owned = WorldUpstream_Own(world, &message->u.list);
}

void
World_PublishList(World *world, int64_t lag_ms)
{
    S_rebuild_list(world);
    world->list_at_ms = world->now_ms + lag_ms;
}

void
WorldPlatform_OnList(World *world, WorldNode *node, const BsMessage *message)
{
    WorldList_Unref(node->list);
    if (message->u.list.revision == S_list_revision(world)) {
        node->list = g_rc_box_acquire(world->platform_list);
        return;
    }
    node->list = g_rc_box_new0(WorldList);
    node->list->message = BsMessage_Copy(message);
    node->list->owned = WorldUpstream_Own(world, &node->list->message->u.list);
}

static void
S_deliver_list(World *world, WorldNode *node)
{
    node->list_seen = S_list_revision(world);
    WorldList_Unref(node->list);
    node->list = g_rc_box_acquire(world->platform_list);
    World_Step(world, node, node->list->message);
}

void
World_PublishListTo(World *world, const char *name)
{
    S_rebuild_list(world);
    world->list_at_ms = G_MAXINT64;
    S_deliver_list(world, World_Node(world, name));
}

void
World_PublishSheet(World *world, uint64_t revision, const char *text,
                   int64_t lag_ms)
{
    BsMessage *message = BsMessage_Create(BS_PLATFORM_SHEET);
    message->u.sheet.revision = revision;
    message->u.sheet.text = g_bytes_new(text, strlen(text));
    BsMessage_Destroy(world->platform_sheet);
    world->platform_sheet = message;
    world->sheet_at_ms = world->now_ms + lag_ms;
}

void
World_SetPlatformDown(World *world, bool down)
{
    world->platform_down = down;
}

static void
S_report_down(World *world, WorldNode *node)
{
    BsMessage *message = BsMessage_Create(BS_PLATFORM_DOWN);
    World_Step(world, node, message);
    BsMessage_Destroy(message);
}

static void
S_poll_node(World *world, WorldNode *node)
{
    if (node->core == NULL || node->paused ||
        (!node->watch_list && !node->watch_sheet)) {
        return;
    }
    if (world->platform_down ||
        World_IsCut(world, WORLD_PLATFORM, node->name)) {
        S_report_down(world, node);
        return;
    }
    if (node->watch_sheet && world->platform_sheet != NULL &&
        world->now_ms >= world->sheet_at_ms &&
        node->sheet_seen != world->platform_sheet->u.sheet.revision) {
        node->sheet_seen = world->platform_sheet->u.sheet.revision;
        World_Step(world, node, world->platform_sheet);
    }
    if (node->watch_list && world->platform_list != NULL &&
        world->now_ms >= world->list_at_ms &&
        node->list_seen != S_list_revision(world)) {
        S_deliver_list(world, node);
    }
}

void
WorldPlatform_Poll(World *world)
{
    for (guint i = 0; i < world->nodes->len; i++) {
        S_poll_node(world, world->nodes->pdata[i]);
    }
}
