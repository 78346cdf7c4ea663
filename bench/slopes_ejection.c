/* slopes_ejection.c - processor time of noting an answer for the ejection of
   failing upstreams, by the number of upstreams. */
#include "slopes.h"

#include "targets.h"

#include <stdio.h>

#define ANSWERS 200000
#define PROBE_PER_S 2
#define SLOTS 6

/* One answer in this many fails at a sound upstream. */
#define FAILED_ONE_IN 250

/* Returns a table of COUNT upstreams of one service. */
static BsTargets *
S_create(uint32_t count)
{
    BsTargets *targets = BsTargets_Create("dc0", "north");
    BsTargets_SetProbeRate(targets, PROBE_PER_S);
    for (uint32_t i = 0; i < count; i++) {
        char id[32];
        g_snprintf(id, sizeof(id), "u%04u", i);
        BsTargetEntry entry = {
            .id = id,
            .service = "desk",
            .data_centre = "dc0",
            .region = "north",
            .slots = SLOTS,
            .born_ms = 1,
        };
        BsTargets_Put(targets, &entry, 0);
    }
    return targets;
}

static BsTarget *
S_find(const BsTargets *targets, uint32_t index)
{
    char id[32];
    g_snprintf(id, sizeof(id), "u%04u", index);
    return BsTargets_Find(targets, id);
}

/* Returns the time of an answer when all upstreams are sound. */
static double
S_sound_us(BsTargets *targets, uint32_t count)
{
    BsTarget **all = g_new(BsTarget *, count);
    for (uint32_t i = 0; i < count; i++) {
        all[i] = S_find(targets, i);
    }
    int64_t cpu_us = Slopes_CpuUs();
    for (uint32_t i = 0; i < ANSWERS; i++) {
        BsTargets_NoteAnswer(targets, all[i % count], i % FAILED_ONE_IN == 0,
                             i);
    }
    cpu_us = Slopes_CpuUs() - cpu_us;
    g_free(all);
    return (double)cpu_us / ANSWERS;
}

/* Returns the time of a failed answer that decides whether its upstream is
   ejected, and is refused as nearly half of the others are already. */
static double
S_deciding_us(BsTargets *targets, uint32_t count)
{
    for (uint32_t i = 0; 2 * (i + 1) < count; i++) {
        BsTargets_NoteLimit(S_find(targets, i), PROBE_PER_S, 0, 0);
    }
    BsTarget *target = S_find(targets, count - 1);
    int64_t cpu_us = Slopes_CpuUs();
    for (uint32_t i = 0; i < ANSWERS; i++) {
        BsTargets_NoteAnswer(targets, target, true, i);
    }
    cpu_us = Slopes_CpuUs() - cpu_us;
    if (target->limit.per_s > 0) {
        printf("an upstream was ejected beyond half of them\n");
    }
    return (double)cpu_us / ANSWERS;
}

void
Slopes_PrintEjection(void)
{
    static const uint32_t sizes[] = {9, 89, 344, 1000};
    printf(
        "\n### Ejection: an answer noted, by the number of upstreams\n\n"
        "| upstreams | us per answer, all sound | us per failed answer that "
        "decides |\n"
        "| ---: | ---: | ---: |\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        BsTargets *targets = S_create(sizes[i]);
        double sound_us = S_sound_us(targets, sizes[i]);
        printf("| %u | %.3f | %.3f |\n", sizes[i], sound_us,
               S_deciding_us(targets, sizes[i]));
        BsTargets_Destroy(targets);
    }
}
