/* tenure.c - whether this instance may act as the one in charge. */
#include "tenure.h"

#include <string.h>

struct BsTenure {
    BsCore *core;
};

BsTenure *
BsTenure_Create(BsCore *core)
{
    BsTenure *tenure = g_new0(BsTenure, 1);
    tenure->core = core;
    return tenure;
}

void
BsTenure_Destroy(BsTenure *tenure)
{
    g_free(tenure);
}

static BsTenureState
S_state(const BsTenure *tenure, const char *first)
{
    return g_strcmp0(first, tenure->core->config.name) == 0 ? BS_TENURE_HELD
                                                            : BS_TENURE_NONE;
}

BsTenureState
BsTenure_OfKey(BsTenure *tenure, const char *account, const char *key)
{
    return S_state(tenure,
                   BsMembers_KeeperOf(tenure->core->members, account, key));
}

BsTenureState
BsTenure_OfUpstream(BsTenure *tenure, const char *name)
{
    return S_state(tenure, BsMembers_OwnerOf(tenure->core->members, name));
}

bool
BsTenure_HasContact(BsTenure *tenure)
{
    return BsMembers_List(tenure->core->members) != NULL;
}

void
BsTenure_OnList(BsTenure *tenure)
{
    (void)tenure;
}

void
BsTenure_OnMessage(BsTenure *tenure, const BsMessage *message)
{
    (void)tenure;
    (void)message;
}

void
BsTenure_OnTick(BsTenure *tenure)
{
    (void)tenure;
}
