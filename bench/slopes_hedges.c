/* slopes_hedges.c - processor time of a decision whether to repeat a request
   early, by the size of the fleet. */
#include "slopes.h"

#include "hedge.h"
#include "quota.h"
#include "targets.h"

#include <stdio.h>

#define DECISIONS 20000
#define UPSTREAMS 60
#define DATA_CENTRES 6
#define SLOTS 6
#define PERCENT 5
#define SAMPLE_MS_MAX 400
#define WINDOW_MS 10000
#define DEADLINE_MS 4000
#define RETRY_RATIO 0.2
#define RETRY_SLACK 194

/* Fleets from this size on know the load by the sums of a hub. */
#define HUBS_FROM 25
#define HUB_AGE_MS 60

/* The modules that a decision asks, as at one instance. */
typedef struct {
    BsHedges *hedges;
    BsRetryBudget *retries;
    BsTargets *targets;
    BsCatalogRoute *route;
    BsCatalogService service;
    uint32_t instances;
} SlopesHedges;

static void
S_put_upstream(BsTargets *targets, uint32_t index)
{
    char id[32];
    char data_centre[32];
    g_snprintf(id, sizeof(id), "u%03u", index);
    g_snprintf(data_centre, sizeof(data_centre), "dc%u", index % DATA_CENTRES);
    BsTargetEntry entry = {
        .id = id,
        .service = "desk",
        .data_centre = data_centre,
        .region = index % DATA_CENTRES < DATA_CENTRES / 2 ? "north" : "south",
        .slots = SLOTS,
    };
    entry.address.sin_family = AF_INET;
    entry.address.sin_port = (in_port_t)(index + 1);
    BsTargets_Put(targets, &entry, 0);
}

static void
S_set_fleet(SlopesHedges *self)
{
    GArray *senders = g_array_new(FALSE, FALSE, sizeof(BsRateSender));
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    for (uint32_t i = 0; i < self->instances; i++) {
        BsRateSender sender = {.address = i + 1,
                               .data_centre = i % DATA_CENTRES};
        g_array_append_val(senders, sender);
    }
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        char id[32];
        g_snprintf(id, sizeof(id), "u%03u", i);
        BsTargetLoad load = {.hash = (uint32_t)BsTargets_Hash(id),
                             .in_flight = i % (SLOTS / 2)};
        g_array_append_val(loads, load);
    }
    BsTargets_SetSenders(self->targets, 1, senders);
    BsTargets_SetInstances(self->targets, self->instances);
    if (self->instances >= HUBS_FROM) {
        BsTargets_SetFleet(self->targets, loads, 0);
        BsTargets_SetRemoteAge(self->targets, HUB_AGE_MS);
    }
    g_array_unref(senders);
    g_array_unref(loads);
}

static void
S_init(SlopesHedges *self, uint32_t instances)
{
    BsHedgeLimits limits = {
        .percent = PERCENT,
        .occupancy_percent = BS_HEDGE_OCCUPANCY_PERCENT,
        .percentile = BS_HEDGE_PERCENTILE,
    };
    self->instances = instances;
    self->service.name = "desk";
    self->route = BsCatalogRoute_Create();
    self->hedges = BsHedges_Create();
    BsHedges_SetLimits(self->hedges, &limits);
    self->retries =
        BsRetryBudget_Create(RETRY_RATIO, RETRY_SLACK, WINDOW_MS, 0);
    self->targets = BsTargets_Create("dc0", "north");
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        S_put_upstream(self->targets, i);
    }
    S_set_fleet(self);
}

static void
S_clear(SlopesHedges *self)
{
    BsTargets_Destroy(self->targets);
    BsRetryBudget_Destroy(self->retries);
    BsHedges_Destroy(self->hedges);
    BsCatalogRoute_Destroy(self->route);
}

/* Counts a request and its time; returns whether its early repeat would be
   sent at NOW_MS. */
static bool
S_decide(SlopesHedges *self, uint32_t number, int64_t now_ms)
{
    uint32_t slots;
    BsTargetVerdict verdict;
    BsTargetQuery query = {.service = &self->service, .route = self->route};
    BsHedges_AddRequest(self->hedges, self->service.name);
    BsRetryBudget_AddRequest(self->retries, self->service.name, now_ms);
    BsHedges_Observe(self->hedges, "look", number % SAMPLE_MS_MAX, now_ms);
    BsHedgeRequest request = {
        .service = self->service.name,
        .route = "look",
        .due_ms = now_ms,
        .expires_ms = now_ms + DEADLINE_MS,
        .occupancy = BsTargets_Occupancy(self->targets, self->service.name,
                                         now_ms, &slots),
        .budget = BsRetryBudget_Read(self->retries, self->service.name,
                                     self->instances, now_ms),
    };
    if (BsHedges_Decide(self->hedges, &request, now_ms) != BS_HEDGE_SEND ||
        BsTargets_Choose(self->targets, &query, now_ms, &verdict) == NULL) {
        return false;
    }
    BsHedges_Take(self->hedges, self->service.name);
    return true;
}

static void
S_print_row(uint32_t instances)
{
    SlopesHedges self = {0};
    uint32_t sent = 0;
    S_init(&self, instances);
    int64_t cpu_us = Slopes_CpuUs();
    for (uint32_t i = 0; i < DECISIONS; i++) {
        sent += S_decide(&self, i, WINDOW_MS + i) ? 1 : 0;
    }
    cpu_us = Slopes_CpuUs() - cpu_us;
    printf("| %u | %.2f | %u |\n", instances, (double)cpu_us / DECISIONS,
           sent);
    S_clear(&self);
}

void
Slopes_PrintHedges(void)
{
    static const uint32_t sizes[] = {9, 89, 344, 1000};
    printf("\n### Early repeats: a decision with the choice of an upstream, "
           "%d upstreams, at most %d%% sent\n\n"
           "| instances | us per decision | sent of %d |\n"
           "| ---: | ---: | ---: |\n",
           UPSTREAMS, PERCENT, DECISIONS);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        S_print_row(sizes[i]);
    }
}
