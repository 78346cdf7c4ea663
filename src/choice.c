/* choice.c - which owner a request is forwarded to. */
#include "choice.h"

#include "digest.h"
#include "link.h"
#include "work.h"

/* Owners considered at each distance: those with the highest weights for the
   prefix. */
#define CANDIDATES_MAX 3

/* A request waits up to one part in this many of its deadline longer in order
   to go to the first owner for its prefix. */
#define SPILL_DEADLINE_DIVISOR 4

/* Distance of an owner from this instance. */
typedef enum {
    DISTANCE_REGION = 0,
    DISTANCE_REMOTE,
    DISTANCE_COUNT
} BsDistance;

/* An owner, with the weight of its best upstream. */
typedef struct {
    const char *name;
    uint64_t weight;
    int64_t wait_ms;
    bool full;     /* its digest shows no room for the request */
    bool yielding; /* its digest shows running work that yields to the
                      request, or there is no digest */
} BsCandidate;

/* The owners at one distance, by decreasing weight. */
typedef struct {
    BsCandidate rows[CANDIDATES_MAX];
    guint count;
} BsRanking;

bool
BsChoice_IsOpen(const BsCore *core, const BsListEntry *upstream)
{
    const BsSheet *sheet = BsCore_Sheet(core);
    return sheet != NULL && upstream->state == BS_NODE_LIVE &&
           BsSheet_IsOpen(sheet, upstream->data_centre);
}

bool
BsChoice_IsRemote(const BsCore *core, const char *instance)
{
    const BsListEntry *entry = BsMembers_Find(core->members, instance);
    return entry != NULL && g_strcmp0(entry->region, core->config.region) != 0;
}

uint32_t
BsChoice_CountInstances(const BsCore *core)
{
    const BsList *list = BsMembers_List(core->members);
    uint32_t count = 0;
    for (guint i = 0; list != NULL && i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        count +=
            entry->kind == BS_NODE_INSTANCE && entry->state == BS_NODE_LIVE;
    }
    return count;
}

static BsDistance
S_distance(const BsCore *core, const char *owner)
{
    return BsChoice_IsRemote(core, owner) ? DISTANCE_REMOTE : DISTANCE_REGION;
}

/* Adds OWNER to RANKING, or raises its weight. */
static void
S_rank(BsRanking *ranking, const char *owner, uint64_t weight)
{
    guint at = 0;
    while (at < ranking->count && ranking->rows[at].name != owner) {
        at++;
    }
    if (at == ranking->count) {
        if (ranking->count < CANDIDATES_MAX) {
            ranking->count++;
        }
        else if (ranking->rows[CANDIDATES_MAX - 1].weight >= weight) {
            return;
        }
        at = ranking->count - 1;
        ranking->rows[at] = (BsCandidate){.name = owner, .weight = weight};
    }
    ranking->rows[at].weight = MAX(ranking->rows[at].weight, weight);
    for (; at > 0 && ranking->rows[at].weight > ranking->rows[at - 1].weight;
         at--) {
        BsCandidate row = ranking->rows[at];
        ranking->rows[at] = ranking->rows[at - 1];
        ranking->rows[at - 1] = row;
    }
}

/* Ranks the owners that can serve REQUEST by distance and weight.  UNFIT
   selects those that are unfit by their digests, else the others. */
static void
S_rank_owners(BsCore *core, const BsRequest *request, GHashTable *avoid,
              bool unfit, BsRanking *rankings)
{
    char prefix_key[32];
    uint64_t hash = request->prefix_hash;
    if (hash == 0) {
        hash = ((uint64_t)g_rand_int(core->random) << 32) |
               g_rand_int(core->random);
    }
    g_snprintf(prefix_key, sizeof(prefix_key), "%" G_GINT64_MODIFIER "x",
               hash);
    const GPtrArray *upstreams =
        BsMembers_Serving(core->members, BsRequest_Serves(request));
    for (guint i = 0; upstreams != NULL && i < upstreams->len; i++) {
        const BsListEntry *upstream = upstreams->pdata[i];
        const char *owner = BsMembers_OwnerOf(core->members, upstream->name);
        if (owner == NULL || !BsChoice_IsOpen(core, upstream) ||
            (avoid != NULL && g_hash_table_contains(avoid, owner)) ||
            BsDigests_IsUnavailable(core->digests, owner) != unfit) {
            continue;
        }
        S_rank(&rankings[S_distance(core, owner)], owner,
               BsMembers_Weight(upstream->name, prefix_key));
    }
}

/* Fills in the load of the owners in RANKING from their digests. */
static void
S_fill_loads(BsCore *core, const BsRequest *request, BsRanking *ranking)
{
    const BsTier *tier = BsSheet_FindTier(BsCore_Sheet(core), request->tier);
    uint32_t rank = tier == NULL ? UINT32_MAX : tier->rank;
    int64_t tokens = (int64_t)request->prompt_tokens + request->output_tokens;
    for (guint i = 0; i < ranking->count; i++) {
        BsCandidate *row = &ranking->rows[i];
        const BsLoad *load = BsDigests_FindLoad(
            core->digests, row->name, BsRequest_Serves(request), NULL);
        row->full =
            load != NULL && (load->waiting > 0 || load->free_slots == 0 ||
                             load->free_tokens < tokens);
        row->yielding = load == NULL || load->lowest_rank > rank;
        row->wait_ms = load == NULL ? 0 : load->oldest_wait_ms;
    }
}

/* Returns the first owner if it has room, else the one of the next two with
   room and the shorter wait, or NULL. */
static const char *
S_pick_free(const BsRanking *ranking)
{
    const BsCandidate *best = NULL;
    for (guint i = 0; i < ranking->count; i++) {
        const BsCandidate *row = &ranking->rows[i];
        if (row->full) {
            continue;
        }
        if (i == 0) {
            return row->name;
        }
        if (best == NULL || row->wait_ms < best->wait_ms) {
            best = row;
        }
    }
    return best == NULL ? NULL : best->name;
}

/* Returns the nearest owner that runs work which yields to the request, or
   NULL. */
static const char *
S_pick_yielding(const BsRanking *rankings, guint count)
{
    for (guint distance = 0; distance < count; distance++) {
        for (guint i = 0; i < rankings[distance].count; i++) {
            if (rankings[distance].rows[i].yielding) {
                return rankings[distance].rows[i].name;
            }
        }
    }
    return NULL;
}

/* Returns the owner with the shortest wait, or NULL.  SPILL_MS is added to the
   wait of all but the first owner in this region, as they lack the prefix. */
static const char *
S_pick_shortest(const BsRanking *rankings, guint count, int64_t spill_ms)
{
    const BsCandidate *best = NULL;
    int64_t best_ms = 0;
    for (guint distance = 0; distance < count; distance++) {
        for (guint i = 0; i < rankings[distance].count; i++) {
            const BsCandidate *row = &rankings[distance].rows[i];
            bool first = i == 0 && distance == DISTANCE_REGION;
            int64_t cost_ms = row->wait_ms + (first ? 0 : spill_ms);
            if (best == NULL || cost_ms < best_ms) {
                best = row;
                best_ms = cost_ms;
            }
        }
    }
    return best == NULL ? NULL : best->name;
}

static const char *
S_pick(BsCore *core, const BsRequest *request, GHashTable *avoid, bool unfit)
{
    BsRanking rankings[DISTANCE_COUNT] = {0};
    S_rank_owners(core, request, avoid, unfit, rankings);
    guint count =
        BsLink_Allows(core->link, request) ? DISTANCE_COUNT : DISTANCE_REMOTE;
    const char *owner = NULL;
    for (guint distance = 0; distance < count; distance++) {
        S_fill_loads(core, request, &rankings[distance]);
        owner = S_pick_free(&rankings[distance]);
        if (owner != NULL) {
            return owner;
        }
    }
    if (BsSheet_IsYieldedTo(BsCore_Sheet(core), request->tier)) {
        owner = S_pick_yielding(rankings, count);
    }
    return owner != NULL ? owner
                         : S_pick_shortest(rankings, count,
                                           request->deadline_ms /
                                               SPILL_DEADLINE_DIVISOR);
}

const char *
BsChoice_PickOwner(BsCore *core, const BsRequest *request, GHashTable *avoid)
{
    if (BsCore_Sheet(core) == NULL) {
        return NULL;
    }
    if (core->config.policy != BS_POLICY_AFFINITY) {
        return avoid != NULL && g_hash_table_contains(avoid, core->config.name)
                   ? NULL
                   : core->config.name;
    }
    const char *owner = S_pick(core, request, avoid, false);
    return owner != NULL ? owner : S_pick(core, request, avoid, true);
}

bool
BsChoice_HasOwner(const BsCore *core, const BsRequest *request,
                  GHashTable *avoid)
{
    const GPtrArray *upstreams =
        BsMembers_Serving(core->members, BsRequest_Serves(request));
    for (guint i = 0; upstreams != NULL && i < upstreams->len; i++) {
        const BsListEntry *upstream = upstreams->pdata[i];
        const char *owner = BsMembers_OwnerOf(core->members, upstream->name);
        if (owner != NULL && BsChoice_IsOpen(core, upstream) &&
            !g_hash_table_contains(avoid, owner)) {
            return true;
        }
    }
    return false;
}
