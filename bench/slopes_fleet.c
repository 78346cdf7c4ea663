/* slopes_fleet.c - fleets of real cores for the scaling measurements. */
#include "slopes.h"

#include <malloc.h>
#include <time.h>

#define US_PER_S 1000000
#define NS_PER_US 1000
#define WEIGHTS 7       /* distinct weights of the changing account */
#define SERVICE_EVERY 6 /* every sixth upstream is a service */

const char *
Slopes_InstanceName(uint32_t index)
{
    static char name[32];
    g_snprintf(name, sizeof(name), "i%03u", index);
    return name;
}

static const char *
S_region(const SlopesFleet *fleet, uint32_t data_centre)
{
    return data_centre < (fleet->data_centres + 1) / 2 ? "north" : "south";
}

static void
S_append_accounts(const SlopesFleet *fleet, uint64_t revision, GString *out)
{
    uint64_t changed = revision % fleet->accounts;
    for (uint32_t i = 0; i < fleet->accounts; i++) {
        char token[32];
        g_snprintf(token, sizeof(token), "t-%u", i);
        char *hash =
            g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
        g_string_append_printf(out, "  - {name: a%u, token_sha256: [%s]", i,
                               hash);
        if (i == changed) {
            g_string_append_printf(out, ", weight: %u",
                                   (unsigned)(revision % WEIGHTS) + 2);
        }
        g_string_append(out, "}\n");
        g_free(hash);
    }
}

char *
Slopes_CreateSheet(const SlopesFleet *fleet, uint64_t revision)
{
    GString *out =
        g_string_new("format: 1\n"
                     "tiers:\n"
                     "  - {name: urgent, rank: 1, deadline_ms: 20000}\n"
                     "  - {name: booking, rank: 2, deadline_ms: 20000, "
                     "yields_to: [urgent]}\n"
                     "  - {name: normal, rank: 3, deadline_ms: 60000, "
                     "yields_to: [urgent, booking]}\n"
                     "  - {name: routine, rank: 4, deadline_ms: 60000, "
                     "yields_to: [urgent, booking, normal]}\n"
                     "models:\n");
    for (uint32_t i = 0; i < fleet->models; i++) {
        g_string_append_printf(out, "  - {name: m%u, version: \"1\"}\n", i);
    }
    g_string_append(out, "services:\n"
                         "  - {name: bookings, tier: booking}\n"
                         "accounts:\n");
    S_append_accounts(fleet, revision, out);
    g_string_append(out, "data_centres:\n");
    for (uint32_t i = 0; i < fleet->data_centres; i++) {
        g_string_append_printf(out, "  - {name: dc%u, open: true}\n", i);
    }
    return g_string_free(out, FALSE);
}

static void
S_add_upstream(World *world, const SlopesFleet *fleet, uint32_t index)
{
    char name[32];
    char serves[32];
    char data_centre[32];
    uint32_t dc = index % fleet->data_centres;
    bool service = index % SERVICE_EVERY == SERVICE_EVERY - 1;
    g_snprintf(name, sizeof(name), "u%03u", index);
    g_snprintf(serves, sizeof(serves), "m%u", index % fleet->models);
    g_snprintf(data_centre, sizeof(data_centre), "dc%u", dc);
    WorldUpstreamSpec spec = {
        .name = name,
        .kind = service ? BS_NODE_SERVICE : BS_NODE_ENGINE,
        .data_centre = data_centre,
        .region = S_region(fleet, dc),
        .serves = service ? "bookings" : serves,
        .generation = "g1",
        .slots = 200,
        .first_ms = service ? 50 : 200,
        .step_ms = 40,
        .pieces = service ? 1 : 20,
        .fencing = true,
    };
    World_AddUpstream(world, &spec);
    char *loaded = g_strdup_printf("%s@1", serves);
    World_SetLoaded(world, name, loaded);
    g_free(loaded);
}

World *
Slopes_CreateWorld(const SlopesFleet *fleet, uint32_t seed, int64_t settle_ms)
{
    World *world = World_Create(seed);
    char *sheet = Slopes_CreateSheet(fleet, 1);
    for (uint32_t i = 0; i < fleet->instances; i++) {
        char data_centre[32];
        uint32_t dc = i % fleet->data_centres;
        g_snprintf(data_centre, sizeof(data_centre), "dc%u", dc);
        World_AddInstance(world, Slopes_InstanceName(i), data_centre,
                          S_region(fleet, dc));
    }
    for (uint32_t i = 0; i < fleet->upstreams; i++) {
        S_add_upstream(world, fleet, i);
    }
    World_PublishSheet(world, 1, sheet, 0);
    World_PublishList(world, 0);
    World_Run(world, settle_ms);
    g_free(sheet);
    return world;
}

int64_t
Slopes_CpuUs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

uint64_t
Slopes_HeapBytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

uint32_t
Slopes_CountInForce(World *world, const SlopesFleet *fleet, uint64_t revision)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < fleet->instances; i++) {
        const BsCore *core = World_Core(world, Slopes_InstanceName(i));
        if (core != NULL && BsCore_SheetRevision(core) == revision) {
            count++;
        }
    }
    return count;
}
