/* slopes_spill.c - processor time of the choice of an upstream, with and
   without requests that leave their data centre, by the size of the fleet. */
#include "slopes.h"

#include "targets.h"

#include <stdio.h>

#define CHOICES 20000
#define UPSTREAMS 60
#define DATA_CENTRES 6
#define SLOTS 6
#define GAIN_MS 60
#define HUB_AGE_MS 60
#define PROMPT_TOKENS 2900

/* Lists COUNT upstreams; those of the first data centre, the own one, are
   nearly full. */
static void
S_list(BsTargets *targets, uint32_t count)
{
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    for (uint32_t i = 0; i < count; i++) {
        char id[32];
        char data_centre[32];
        g_snprintf(id, sizeof(id), "u%04u", i);
        g_snprintf(data_centre, sizeof(data_centre), "dc%u", i % DATA_CENTRES);
        BsTargetEntry entry = {
            .id = id,
            .service = "desk",
            .data_centre = data_centre,
            .region = i % DATA_CENTRES < DATA_CENTRES / 2 ? "north" : "south",
            .slots = SLOTS,
        };
        entry.address.sin_family = AF_INET;
        entry.address.sin_port = (in_port_t)(i + 1);
        BsTargets_Put(targets, &entry, 0);
        BsTargetLoad load = {.hash = (uint32_t)BsTargets_Hash(id),
                             .in_flight =
                                 i % DATA_CENTRES == 0 ? SLOTS - 1 : 1};
        g_array_append_val(loads, load);
    }
    BsTargets_SetFleet(targets, loads, 0);
    BsTargets_SetRemoteAge(targets, HUB_AGE_MS);
    g_array_unref(loads);
}

/* Returns the microseconds of a choice. */
static double
S_measure(uint32_t instances, uint32_t upstreams, uint32_t gain_ms,
          uint32_t *spilled)
{
    BsCatalogService service = {.name = "desk", .engine = true};
    BsCatalogRoute *route = BsCatalogRoute_Create();
    route->kind = BS_ROUTE_STREAM;
    route->gap_ms = BS_SPILL_PAUSE_MIN_MS;
    BsTargetQuery query = {
        .service = &service, .route = route, .prompt_tokens = PROMPT_TOKENS};
    BsSpillLimits limits = {gain_ms, BS_SPILL_PAUSE_MIN_MS};
    BsTargets *targets = BsTargets_Create("dc0", "north");
    BsTargets_SetSpill(targets, &limits);
    BsTargets_SetInstances(targets, instances);
    S_list(targets, upstreams);
    *spilled = 0;
    int64_t cpu_us = Slopes_CpuUs();
    for (uint32_t i = 0; i < CHOICES; i++) {
        BsTargetVerdict verdict;
        const BsTarget *target =
            BsTargets_Choose(targets, &query, i, &verdict);
        *spilled += BsTargets_HasSpilled(targets, target) ? 1 : 0;
    }
    cpu_us = Slopes_CpuUs() - cpu_us;
    BsTargets_Destroy(targets);
    BsCatalogRoute_Destroy(route);
    return (double)cpu_us / CHOICES;
}

static void
S_print_row(uint32_t instances, uint32_t upstreams)
{
    uint32_t none;
    uint32_t spilled;
    double off_us = S_measure(instances, upstreams, 0, &none);
    double on_us = S_measure(instances, upstreams, GAIN_MS, &spilled);
    printf("| %u | %u | %.2f | %.2f | %u |\n", instances, upstreams, off_us,
           on_us, spilled);
}

void
Slopes_PrintSpill(void)
{
    static const uint32_t sizes[] = {9, 89, 344, 1000};
    printf("\n### The choice of an upstream, without and with requests that "
           "leave their data centre\n\n"
           "| instances | upstreams | us, without | us, with | left of %d |\n"
           "| ---: | ---: | ---: | ---: | ---: |\n",
           CHOICES);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        S_print_row(sizes[i], UPSTREAMS);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        S_print_row(UPSTREAMS, sizes[i]);
    }
}
