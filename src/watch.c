/* watch.c - which instances watch the platform's configuration service. */
#include "watch.h"

#include "tenure.h"

#include <string.h>

/* Number of watchers in each data centre. */
#define WATCHERS 2

/* Number of ranks, from 0, that may be asked to watch in place of others. */
#define RANK_MAX 6

/* Time after a failed read for which the service counts as unreachable. */
#define DOWN_MS 3000

/* Time between two requests to the next in rank. */
#define HANDOVER_INTERVAL_MS 2000

/* Time for which a request to watch is in effect. */
#define HANDOVER_MS 6000

struct BsWatchers {
    BsCore *core;
    int64_t down_ms;             /* last failed read */
    int64_t request_sent_ms;     /* last request to the next in rank */
    int64_t request_received_ms; /* last request received */
    guint rank;                  /* in the data centre, from 0 */
    char *next;                  /* next in rank, or NULL */
    bool reported; /* WATCHING was reported to the host program */
    bool watching;
};

BsWatchers *
BsWatchers_Create(BsCore *core)
{
    BsWatchers *watchers = g_new0(BsWatchers, 1);
    watchers->core = core;
    watchers->down_ms = G_MININT64 / 2;
    watchers->request_sent_ms = G_MININT64 / 2;
    watchers->request_received_ms = G_MININT64 / 2;
    return watchers;
}

void
BsWatchers_Destroy(BsWatchers *watchers)
{
    if (watchers == NULL) {
        return;
    }
    g_free(watchers->next);
    g_free(watchers);
}

/* Determines this instance's rank among the live instances of the data centre
   and the next in rank. */
void
BsWatchers_OnList(BsWatchers *watchers)
{
    const BsCore *core = watchers->core;
    const GPtrArray *entries = BsMembers_List(core->members)->entries;
    const char *data_centre = core->config.data_centre;
    uint64_t own = BsMembers_Weight(core->config.name, data_centre);
    uint64_t next_weight = 0;
    const char *next = NULL;
    watchers->rank = 0;
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (entry->kind != BS_NODE_INSTANCE || entry->state != BS_NODE_LIVE ||
            strcmp(entry->data_centre, data_centre) != 0 ||
            strcmp(entry->name, core->config.name) == 0) {
            continue;
        }
        uint64_t weight = BsMembers_Weight(entry->name, data_centre);
        if (weight > own) {
            watchers->rank++;
        }
        else if (next == NULL || weight > next_weight) {
            next = entry->name;
            next_weight = weight;
        }
    }
    BsMessage_SetString(&watchers->next, next);
}

void
BsWatchers_OnDown(BsWatchers *watchers)
{
    watchers->down_ms = BsCore_NowMs(watchers->core);
    BsCore_Count(watchers->core, "platform_reads_failed", 1);
}

void
BsWatchers_OnHandover(BsWatchers *watchers)
{
    watchers->request_received_ms = BsCore_NowMs(watchers->core);
}

static bool
S_should_watch(const BsWatchers *watchers, int64_t now_ms)
{
    const BsCore *core = watchers->core;
    return BsMembers_List(core->members) == NULL ||
           BsTenure_IsRecovering(core->tenure) || watchers->rank < WATCHERS ||
           now_ms < watchers->request_received_ms + HANDOVER_MS;
}

/* Reports to the host program whether to watch, if that changed. */
static void
S_report_watching(BsWatchers *watchers, bool watching)
{
    if (watchers->reported && watchers->watching == watching) {
        return;
    }
    watchers->reported = true;
    watchers->watching = watching;
    BsMessage *watch = BsMessage_Create(BS_PLATFORM_WATCH);
    watch->u.watch.sheet = watching;
    watch->u.watch.list = watching;
    BsCore_Emit(watchers->core, watch);
}

/* Asks the next in rank to watch while the service cannot be read here. */
static void
S_hand_over(BsWatchers *watchers, int64_t now_ms)
{
    if (now_ms >= watchers->down_ms + DOWN_MS || watchers->next == NULL ||
        watchers->rank + 1 >= RANK_MAX ||
        now_ms < watchers->request_sent_ms + HANDOVER_INTERVAL_MS) {
        return;
    }
    watchers->request_sent_ms = now_ms;
    BsCore_Count(watchers->core, "watches_handed_over", 1);
    BsMessage *ask = BsMessage_Create(BS_WATCH_HANDOVER);
    ask->u.watch.sheet = true;
    ask->u.watch.list = true;
    BsCore_Send(watchers->core, watchers->next, 0, ask);
}

void
BsWatchers_OnTick(BsWatchers *watchers)
{
    int64_t now_ms = BsCore_NowMs(watchers->core);
    bool watching = S_should_watch(watchers, now_ms);
    S_report_watching(watchers, watching);
    if (watching) {
        S_hand_over(watchers, now_ms);
    }
    BsCounters_Set(watchers->core->counters, "platform_watching", watching);
    BsCounters_Set(watchers->core->counters, "platform_down",
                   now_ms < watchers->down_ms + DOWN_MS);
}
