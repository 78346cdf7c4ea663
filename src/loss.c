/* loss.c - instances lost within the resend window. */
#include "loss.h"

#include <string.h>

typedef struct {
    char *name;
    uint64_t incarnation;
    int64_t seen_ms;
    bool clean;
} BsLost;

struct BsLosses {
    BsCore *core;
    GPtrArray *lost; /* BsLost */
};

static void
S_destroy_lost(void *data)
{
    BsLost *lost = data;
    g_free(lost->name);
    g_free(lost);
}

BsLosses *
BsLosses_Create(BsCore *core)
{
    BsLosses *losses = g_new0(BsLosses, 1);
    losses->core = core;
    losses->lost = g_ptr_array_new_with_free_func(S_destroy_lost);
    return losses;
}

void
BsLosses_Destroy(BsLosses *losses)
{
    if (losses == NULL) {
        return;
    }
    g_ptr_array_unref(losses->lost);
    g_free(losses);
}

static BsLost *
S_find(const BsLosses *losses, const char *name, uint64_t incarnation)
{
    for (guint i = 0; i < losses->lost->len; i++) {
        BsLost *lost = losses->lost->pdata[i];
        if (lost->incarnation == incarnation &&
            strcmp(lost->name, name) == 0) {
            return lost;
        }
    }
    return NULL;
}

void
BsLosses_Add(BsLosses *losses, const char *name, uint64_t incarnation,
             int64_t age_ms, bool clean)
{
    int64_t now_ms = BsCore_NowMs(losses->core);
    if (name == NULL || age_ms >= losses->core->config.resend_window_ms) {
        return;
    }
    BsLost *lost = S_find(losses, name, incarnation);
    if (lost != NULL) {
        lost->seen_ms = MIN(lost->seen_ms, now_ms - age_ms);
        return;
    }
    lost = g_new0(BsLost, 1);
    lost->name = g_strdup(name);
    lost->incarnation = incarnation;
    lost->seen_ms = now_ms - age_ms;
    lost->clean = clean;
    g_ptr_array_add(losses->lost, lost);
    BsCore_Count(losses->core, "instances_lost", 1);
}

void
BsLosses_Remove(BsLosses *losses, const char *name, uint64_t incarnation)
{
    BsLost *lost = S_find(losses, name, incarnation);
    if (lost != NULL) {
        g_ptr_array_remove(losses->lost, lost);
    }
}

bool
BsLosses_HasUnclean(const BsLosses *losses)
{
    for (guint i = 0; i < losses->lost->len; i++) {
        const BsLost *lost = losses->lost->pdata[i];
        if (!lost->clean) {
            return true;
        }
    }
    return false;
}

void
BsLosses_MarkSingleClean(BsLosses *losses)
{
    if (losses->lost->len == 1) {
        BsLost *lost = losses->lost->pdata[0];
        lost->clean = true;
    }
}

void
BsLosses_Append(const BsLosses *losses, GPtrArray *list)
{
    int64_t now_ms = BsCore_NowMs(losses->core);
    for (guint i = 0; i < losses->lost->len; i++) {
        const BsLost *lost = losses->lost->pdata[i];
        BsLoss *loss = g_new0(BsLoss, 1);
        loss->name = g_strdup(lost->name);
        loss->incarnation = lost->incarnation;
        loss->age_ms = now_ms - lost->seen_ms;
        loss->clean = lost->clean;
        g_ptr_array_add(list, loss);
    }
}

/* Returns whether a live instance that had completed a collection before the
   loss of LOST was seen ranks higher for KEY, so that LOST did not keep KEY.
 */
static bool
S_is_outranked(const BsLosses *losses, BsContact *contact, const BsView *view,
               int64_t settled_ms, const BsLost *lost, const char *key)
{
    uint64_t weight = BsMembers_Weight(lost->name, key);
    const GPtrArray *entries = BsView_List(view)->entries;
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (entry->state != BS_NODE_LIVE ||
            BsMembers_Weight(entry->name, key) <= weight) {
            continue;
        }
        bool self = strcmp(entry->name, losses->core->config.name) == 0;
        int64_t since_ms =
            self ? settled_ms
                 : BsContact_Peer(contact, entry->name)->settled_ms;
        if (since_ms > 0 && since_ms < lost->seen_ms) {
            return true;
        }
    }
    return false;
}

bool
BsLosses_Affects(const BsLosses *losses, BsContact *contact,
                 const BsView *view, int64_t settled_ms, const char *key)
{
    for (guint i = 0; losses->lost->len > 1 && i < losses->lost->len; i++) {
        const BsLost *lost = losses->lost->pdata[i];
        if (!lost->clean &&
            !S_is_outranked(losses, contact, view, settled_ms, lost, key)) {
            return true;
        }
    }
    return false;
}

int64_t
BsLosses_NewestMs(const BsLosses *losses)
{
    int64_t newest_ms = G_MININT64;
    for (guint i = 0; i < losses->lost->len; i++) {
        const BsLost *lost = losses->lost->pdata[i];
        newest_ms = MAX(newest_ms, lost->seen_ms);
    }
    return newest_ms;
}

void
BsLosses_OnTick(BsLosses *losses)
{
    int64_t oldest_ms =
        BsCore_NowMs(losses->core) - losses->core->config.resend_window_ms;
    for (guint i = losses->lost->len; i > 0; i--) {
        const BsLost *lost = losses->lost->pdata[i - 1];
        if (lost->seen_ms <= oldest_ms) {
            g_ptr_array_remove_index(losses->lost, i - 1);
        }
    }
}
