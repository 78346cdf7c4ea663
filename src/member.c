/* member.c - the newest instance list, and rendezvous hashing over it. */
#include "member.h"

#include "schema.h"

#include <string.h>
#include <xxhash.h>

struct BsMembers {
    BsMessage *list;     /* BS_PLATFORM_LIST, or NULL */
    GHashTable *entries; /* name to BsListEntry */
    GHashTable *owners;  /* upstream name to instance name */
    GHashTable *serving; /* model or service to GPtrArray of BsListEntry */
};

BsMembers *
BsMembers_Create(void)
{
    BsMembers *members = g_new0(BsMembers, 1);
    members->entries = g_hash_table_new(g_str_hash, g_str_equal);
    members->owners = g_hash_table_new(g_str_hash, g_str_equal);
    members->serving = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    return members;
}

void
BsMembers_Destroy(BsMembers *members)
{
    if (members == NULL) {
        return;
    }
    g_hash_table_destroy(members->entries);
    g_hash_table_destroy(members->owners);
    g_hash_table_destroy(members->serving);
    BsMessage_Destroy(members->list);
    g_free(members);
}

uint64_t
BsMembers_Weight(const char *node, const char *resource)
{
    XXH64_hash_t seed = XXH3_64bits(node, strlen(node));
    return XXH3_64bits_withSeed(resource, strlen(resource), seed);
}

/* Returns 2 if ENTRY is in DATA_CENTRE, 1 if it is in REGION, 0 otherwise. */
static int
S_closeness(const BsListEntry *entry, const char *data_centre,
            const char *region)
{
    if (data_centre != NULL &&
        g_strcmp0(entry->data_centre, data_centre) == 0) {
        return 2;
    }
    return region != NULL && g_strcmp0(entry->region, region) == 0 ? 1 : 0;
}

const char *
BsList_Rank(const BsList *list, const char *resource, const char *data_centre,
            const char *region)
{
    const BsListEntry *best = NULL;
    int best_closeness = -1;
    uint64_t best_weight = 0;
    for (guint i = 0; i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        if (entry->kind != BS_NODE_INSTANCE || entry->state != BS_NODE_LIVE) {
            continue;
        }
        int closeness = S_closeness(entry, data_centre, region);
        uint64_t weight = BsMembers_Weight(entry->name, resource);
        if (closeness > best_closeness ||
            (closeness == best_closeness && weight > best_weight)) {
            best = entry;
            best_closeness = closeness;
            best_weight = weight;
        }
    }
    return best == NULL ? NULL : best->name;
}

static void
S_add_serving(BsMembers *members, BsListEntry *entry, const char *serves)
{
    GPtrArray *upstreams = g_hash_table_lookup(members->serving, serves);
    if (upstreams == NULL) {
        upstreams = g_ptr_array_new();
        g_hash_table_insert(members->serving, g_strdup(serves), upstreams);
    }
    g_ptr_array_add(upstreams, entry);
}

static void
S_index_upstream(BsMembers *members, BsListEntry *entry)
{
    const char *owner = BsList_Rank(&members->list->u.list, entry->name,
                                    entry->data_centre, entry->region);
    if (owner != NULL) {
        g_hash_table_insert(members->owners, entry->name, (gpointer)owner);
    }
    char **names =
        g_strsplit(entry->serves == NULL ? "" : entry->serves, ",", -1);
    for (char **name = names; *name != NULL; name++) {
        if (**name != '\0') {
            S_add_serving(members, entry, *name);
        }
    }
    g_strfreev(names);
}

static void
S_index(BsMembers *members)
{
    GPtrArray *entries = members->list->u.list.entries;
    for (guint i = 0; i < entries->len; i++) {
        BsListEntry *entry = entries->pdata[i];
        g_hash_table_insert(members->entries, entry->name, entry);
        if (entry->kind != BS_NODE_INSTANCE) {
            S_index_upstream(members, entry);
        }
    }
}

static bool
S_is_valid(const BsList *list)
{
    if (list->entries == NULL) {
        return false;
    }
    for (guint i = 0; i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        if (entry->name == NULL || entry->data_centre == NULL) {
            return false;
        }
    }
    return true;
}

bool
BsMembers_Accept(BsMembers *members, const BsList *list)
{
    if (list->revision <= BsMembers_Revision(members) || !S_is_valid(list)) {
        return false;
    }
    g_hash_table_remove_all(members->entries);
    g_hash_table_remove_all(members->owners);
    g_hash_table_remove_all(members->serving);
    BsMessage_Destroy(members->list);
    members->list = BsMessage_Create(BS_PLATFORM_LIST);
    BsSchema_Copy(BsSchema_OfKind(BS_PLATFORM_LIST), &members->list->u, list);
    S_index(members);
    return true;
}

const BsList *
BsMembers_List(const BsMembers *members)
{
    return members->list == NULL ? NULL : &members->list->u.list;
}

uint64_t
BsMembers_Revision(const BsMembers *members)
{
    return members->list == NULL ? 0 : members->list->u.list.revision;
}

const BsListEntry *
BsMembers_Find(const BsMembers *members, const char *name)
{
    return name == NULL ? NULL : g_hash_table_lookup(members->entries, name);
}

const char *
BsMembers_OwnerOf(const BsMembers *members, const char *name)
{
    return g_hash_table_lookup(members->owners, name);
}

const char *
BsMembers_KeeperOf(const BsMembers *members, const char *account,
                   const char *key)
{
    if (members->list == NULL) {
        return NULL;
    }
    char *resource = g_strdup_printf("%s\n%s", account, key);
    const char *keeper =
        BsList_Rank(&members->list->u.list, resource, NULL, NULL);
    g_free(resource);
    return keeper;
}

const GPtrArray *
BsMembers_Serving(const BsMembers *members, const char *serves)
{
    return g_hash_table_lookup(members->serving, serves);
}
