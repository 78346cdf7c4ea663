/* slopes_breaks.c - time until every upstream has an owner after a failure. */
#include "slopes.h"

#include "core.h"
#include "tenure.h"

#include <stdio.h>

#define SEED 20261204
#define SETTLE_MS 20000
#define LIMIT_MS 40000
#define STEP_MS 100
#define RACK_INSTANCES 17

static bool
S_owns(World *world, const char *instance, const char *upstream)
{
    const BsCore *core = World_Core(world, instance);
    if (core == NULL) {
        return false;
    }
    const char *owner = BsMembers_OwnerOf(core->members, upstream);
    return g_strcmp0(owner, instance) == 0 &&
           BsTenure_OfUpstream(core->tenure, upstream) == BS_TENURE_HELD;
}

/* Returns the number of upstreams that have an owner which may act
   as such. */
static uint32_t
S_count_owned(World *world, const SlopesFleet *fleet)
{
    uint32_t owned = 0;
    for (uint32_t i = 0; i < fleet->upstreams; i++) {
        char upstream[32];
        bool held = false;
        g_snprintf(upstream, sizeof(upstream), "u%03u", i);
        for (uint32_t k = 0; k < fleet->instances && !held; k++) {
            held = S_owns(world, Slopes_InstanceName(k), upstream);
        }
        owned += held ? 1 : 0;
    }
    return owned;
}

/* Runs until WANTED upstreams are owned; returns the duration in ms, or -1
   after LIMIT_MS. */
static int64_t
S_run_until_owned(World *world, const SlopesFleet *fleet, uint32_t wanted)
{
    int64_t start_ms = World_NowMs(world);
    while (World_NowMs(world) - start_ms < LIMIT_MS) {
        World_Run(world, STEP_MS);
        if (S_count_owned(world, fleet) >= wanted) {
            return World_NowMs(world) - start_ms;
        }
    }
    return -1;
}

static void
S_print_row(World *world, const SlopesFleet *fleet, const char *what,
            uint32_t wanted)
{
    uint64_t bytes = World_PeerBytes(world);
    int64_t took_ms = S_run_until_owned(world, fleet, wanted);
    printf("| %s | %u | %" G_GINT64_FORMAT " | %u of %u | %.0f |\n", what,
           fleet->instances, took_ms, S_count_owned(world, fleet), wanted,
           (double)(World_PeerBytes(world) - bytes) / fleet->instances);
    fflush(stdout);
}

static void
S_remove_instance(World *world, uint32_t index)
{
    World_Kill(world, Slopes_InstanceName(index));
    World_SetListed(world, Slopes_InstanceName(index), 0);
}

static void
S_start_row(const SlopesFleet *fleet)
{
    World *world = Slopes_CreateWorld(fleet, SEED, 0);
    S_print_row(world, fleet, "all started at once", fleet->upstreams);
    World_Destroy(world);
}

static void
S_rack_row(const SlopesFleet *fleet)
{
    World *world = Slopes_CreateWorld(fleet, SEED, SETTLE_MS);
    for (uint32_t i = 0; i < RACK_INSTANCES; i++) {
        S_remove_instance(world, i * fleet->data_centres);
    }
    World_PublishList(world, 0);
    S_print_row(world, fleet, "17 of one data centre lost together",
                fleet->upstreams);
    World_Destroy(world);
}

static void
S_data_centre_row(const SlopesFleet *fleet)
{
    World *world = Slopes_CreateWorld(fleet, SEED, SETTLE_MS);
    for (uint32_t i = 0; i < fleet->instances; i += fleet->data_centres) {
        S_remove_instance(world, i);
    }
    for (uint32_t i = 0; i < fleet->upstreams; i += fleet->data_centres) {
        char upstream[32];
        g_snprintf(upstream, sizeof(upstream), "u%03u", i);
        World_SetListed(world, upstream, 0);
    }
    World_PublishList(world, 0);
    S_print_row(world, fleet, "a data centre lost, list changed at once",
                fleet->upstreams - fleet->upstreams / fleet->data_centres);
    World_Destroy(world);
}

static void
S_cut_regions(World *world, const SlopesFleet *fleet)
{
    uint32_t north = (fleet->data_centres + 1) / 2;
    for (uint32_t i = 0; i < fleet->instances; i++) {
        for (uint32_t k = 0; k < fleet->instances; k++) {
            bool crosses = (i % fleet->data_centres < north) !=
                           (k % fleet->data_centres < north);
            if (crosses) {
                char *from = g_strdup(Slopes_InstanceName(i));
                World_Cut(world, from, Slopes_InstanceName(k));
                g_free(from);
            }
        }
    }
}

static void
S_region_row(const SlopesFleet *fleet)
{
    World *world = Slopes_CreateWorld(fleet, SEED, SETTLE_MS);
    S_cut_regions(world, fleet);
    World_Run(world, SETTLE_MS);
    printf("| regions cut for 20 s, while cut | %u | | %u of %u | |\n",
           fleet->instances, S_count_owned(world, fleet), fleet->upstreams);
    World_Heal(world);
    S_print_row(world, fleet, "regions joined again", fleet->upstreams);
    World_Destroy(world);
}

void
Slopes_PrintRecovery(void)
{
    SlopesFleet large = {340, 5, 680, 5, 3};
    SlopesFleet hundred = {100, 5, 200, 5, 3};
    SlopesFleet medium = {40, 5, 80, 5, 3};
    printf("\n### Large losses: until every upstream has an owner that may "
           "act on a cold one\n\n"
           "| event | instances | ms (-1: not within %d) | owned | bytes "
           "sent per instance |\n| --- | ---: | ---: | ---: | ---: |\n",
           LIMIT_MS);
    S_region_row(&medium);
    S_data_centre_row(&hundred);
    S_start_row(&large);
    S_rack_row(&large);
}
