/* watch.c - which instances watch the platform's configuration service. */
#include "watch.h"

struct BsWatchers {
    BsCore *core;
    bool told;
};

BsWatchers *
BsWatchers_Create(BsCore *core)
{
    BsWatchers *watchers = g_new0(BsWatchers, 1);
    watchers->core = core;
    return watchers;
}

void
BsWatchers_Destroy(BsWatchers *watchers)
{
    g_free(watchers);
}

void
BsWatchers_OnList(BsWatchers *watchers)
{
    (void)watchers;
}

void
BsWatchers_OnDown(BsWatchers *watchers)
{
    (void)watchers;
}

void
BsWatchers_OnTick(BsWatchers *watchers)
{
    if (watchers->told) {
        return;
    }
    watchers->told = true;
    BsMessage *watch = BsMessage_Create(BS_PLATFORM_WATCH);
    watch->u.watch.sheet = true;
    watch->u.watch.list = true;
    BsCore_Emit(watchers->core, watch);
}
