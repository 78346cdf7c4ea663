/* view.c - immutable view of the instances of one list, without upstreams. */
#include "view.h"

#include "member.h"
#include "schema.h"

#include <string.h>
#include <xxhash.h>

/* Result of the last BsView_Lessors(): nearly all calls are for one holder. */
typedef struct {
    char *holder;
    GPtrArray *lessors;
} BsLessorCache;

struct BsView {
    BsLessorCache *cache;
    BsList list;
    GHashTable *index; /* name to BsListEntry */
    uint64_t hash;
    guint live;
};

static gint
S_compare_entries(gconstpointer a, gconstpointer b)
{
    const BsListEntry *left = *(const BsListEntry *const *)a;
    const BsListEntry *right = *(const BsListEntry *const *)b;
    return strcmp(left->name, right->name);
}

static uint64_t
S_hash(const GPtrArray *entries)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        g_string_append_printf(
            text, "%s\n%s\n%s\n%u\n", entry->name, entry->data_centre,
            entry->region == NULL ? "" : entry->region, entry->state);
    }
    uint64_t hash = XXH3_64bits(text->str, text->len);
    g_string_free(text, TRUE);
    return hash;
}

BsView *
BsView_Create(const BsList *list)
{
    BsView *view = g_new0(BsView, 1);
    view->cache = g_new0(BsLessorCache, 1);
    view->list.revision = list->revision;
    view->list.entries = BsSchema_NewList(&bs_schema_list_entry);
    view->index = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        if (entry->kind != BS_NODE_INSTANCE) {
            continue;
        }
        BsListEntry *copy = BsListEntry_Create();
        BsSchema_Copy(&bs_schema_list_entry, copy, entry);
        g_ptr_array_add(view->list.entries, copy);
        g_hash_table_insert(view->index, copy->name, copy);
        view->live += copy->state == BS_NODE_LIVE ? 1 : 0;
    }
    g_ptr_array_sort(view->list.entries, S_compare_entries);
    view->hash = S_hash(view->list.entries);
    return view;
}

void
BsView_Destroy(BsView *view)
{
    if (view == NULL) {
        return;
    }
    g_clear_pointer(&view->cache->lessors, g_ptr_array_unref);
    g_free(view->cache->holder);
    g_free(view->cache);
    g_hash_table_destroy(view->index);
    g_ptr_array_unref(view->list.entries);
    g_free(view);
}

const BsList *
BsView_List(const BsView *view)
{
    return &view->list;
}

uint64_t
BsView_Revision(const BsView *view)
{
    return view->list.revision;
}

uint64_t
BsView_Hash(const BsView *view)
{
    return view->hash;
}

const BsListEntry *
BsView_Find(const BsView *view, const char *name)
{
    return name == NULL ? NULL : g_hash_table_lookup(view->index, name);
}

bool
BsView_IsLive(const BsView *view, const char *name)
{
    const BsListEntry *entry = BsView_Find(view, name);
    return entry != NULL && entry->state == BS_NODE_LIVE;
}

static GPtrArray *
S_all_live(const BsView *view)
{
    GPtrArray *names = g_ptr_array_new();
    for (guint i = 0; i < view->list.entries->len; i++) {
        BsListEntry *entry = view->list.entries->pdata[i];
        if (entry->state == BS_NODE_LIVE) {
            g_ptr_array_add(names, entry->name);
        }
    }
    return names;
}

typedef struct {
    const BsListEntry *entry;
    uint64_t weight;
} BsCandidate;

/* Returns the live instances other than HOLDER with their rendezvous
   weights. */
static GArray *
S_candidates(const BsView *view, const char *holder)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(BsCandidate));
    char *resource = g_strconcat("lease\n", holder, NULL);
    for (guint i = 0; i < view->list.entries->len; i++) {
        const BsListEntry *entry = view->list.entries->pdata[i];
        if (entry->state == BS_NODE_LIVE && strcmp(entry->name, holder) != 0) {
            BsCandidate candidate = {entry,
                                     BsMembers_Weight(entry->name, resource)};
            g_array_append_val(candidates, candidate);
        }
    }
    g_free(resource);
    return candidates;
}

/* Returns how many of the COUNT entries in PICKED are in DATA_CENTRE. */
static guint
S_count_in(const BsListEntry **picked, guint count, const char *data_centre)
{
    guint found = 0;
    for (guint i = 0; i < count; i++) {
        found += strcmp(picked[i]->data_centre, data_centre) == 0 ? 1 : 0;
    }
    return found;
}

/* Removes and returns the candidate whose data centre has the fewest entries
   in PICKED; among equals, the one with the highest weight. */
static const BsListEntry *
S_take_next(GArray *candidates, const BsListEntry **picked, guint count)
{
    guint best = 0;
    guint best_picked = G_MAXUINT;
    for (guint i = 0; i < candidates->len; i++) {
        const BsCandidate *row = &g_array_index(candidates, BsCandidate, i);
        guint picked_there =
            S_count_in(picked, count, row->entry->data_centre);
        uint64_t weight = g_array_index(candidates, BsCandidate, best).weight;
        if (picked_there < best_picked ||
            (picked_there == best_picked && row->weight > weight)) {
            best = i;
            best_picked = picked_there;
        }
    }
    const BsListEntry *entry =
        g_array_index(candidates, BsCandidate, best).entry;
    g_array_remove_index_fast(candidates, best);
    return entry;
}

/* Returns up to BS_VIEW_LESSORS live instances other than HOLDER, chosen by
   rendezvous hashing.  They are spread over data centres: with three or more,
   each of enough instances, the loss of one leaves a quorum for the leases
   held there. */
static GPtrArray *
S_pick_lessors(const BsView *view, const char *holder)
{
    const BsListEntry *picked[BS_VIEW_LESSORS];
    GPtrArray *names = g_ptr_array_new();
    GArray *candidates = S_candidates(view, holder);
    guint wanted = MIN(candidates->len, BS_VIEW_LESSORS);
    for (guint count = 0; count < wanted; count++) {
        picked[count] = S_take_next(candidates, picked, count);
        g_ptr_array_add(names, picked[count]->name);
    }
    g_array_unref(candidates);
    return names;
}

GPtrArray *
BsView_Lessors(const BsView *view, const char *holder, guint *needed)
{
    bool majority = view->live <= BS_VIEW_MAJORITY_MAX;
    BsLessorCache *cache = view->cache;
    *needed = majority ? view->live / 2 + 1 : BS_VIEW_LESSORS_NEEDED;
    if (g_strcmp0(cache->holder, holder) != 0) {
        g_clear_pointer(&cache->lessors, g_ptr_array_unref);
        cache->lessors =
            majority ? S_all_live(view) : S_pick_lessors(view, holder);
        BsMessage_SetString(&cache->holder, holder);
    }
    return g_ptr_array_ref(cache->lessors);
}
