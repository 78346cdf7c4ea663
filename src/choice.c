/* choice.c - which owner a request is forwarded to. */
#include "choice.h"

bool
BsChoice_IsOpen(const BsCore *core, const BsListEntry *upstream)
{
    const BsSheet *sheet = BsCore_Sheet(core);
    return sheet != NULL && upstream->state == BS_NODE_LIVE &&
           BsSheet_IsOpen(sheet, upstream->data_centre);
}

/* Returns the weight of OWNER for REQUEST: same prefix, same owner. */
static uint64_t
S_weigh(const char *owner, const BsRequest *request)
{
    char thing[32];
    g_snprintf(thing, sizeof(thing), "%" G_GINT64_MODIFIER "x",
               request->prefix_hash);
    return BsMembers_Weight(owner, thing);
}

const char *
BsChoice_PickOwner(BsCore *core, const BsRequest *request, GHashTable *avoid)
{
    const char *serves =
        request->service != NULL ? request->service : request->model;
    const GPtrArray *upstreams = BsMembers_Serving(core->members, serves);
    const char *best = NULL;
    uint64_t best_weight = 0;
    for (guint i = 0; upstreams != NULL && i < upstreams->len; i++) {
        const BsListEntry *upstream = upstreams->pdata[i];
        const char *owner = BsMembers_OwnerOf(core->members, upstream->name);
        if (owner == NULL || !BsChoice_IsOpen(core, upstream) ||
            (avoid != NULL && g_hash_table_contains(avoid, owner))) {
            continue;
        }
        uint64_t weight = S_weigh(owner, request);
        if (best == NULL || weight > best_weight) {
            best = owner;
            best_weight = weight;
        }
    }
    return best;
}
