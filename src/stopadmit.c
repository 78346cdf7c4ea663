/* stopadmit.c - whether a request can still be answered before a planned stop
   ends. */
#include "stopadmit.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Latest answers that are remembered for each route. */
#define SAMPLES 64

/* Factor on the longest time of the latest answers. */
#define LONGEST_MARGIN 1.25

/* Share of the stop that must be left where no time is known. */
#define UNKNOWN_SHARE (2.0 / 3)

typedef struct {
    uint32_t took_ms[SAMPLES];
    unsigned count;
    unsigned next;
} BsRouteTimes;

struct BsAnswerTimes {
    GHashTable *routes; /* name to BsRouteTimes */
};

BsAnswerTimes *
BsAnswerTimes_Create(void)
{
    BsAnswerTimes *times = g_new0(BsAnswerTimes, 1);
    times->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return times;
}

void
BsAnswerTimes_Destroy(BsAnswerTimes *times)
{
    if (times != NULL) {
        g_hash_table_destroy(times->routes);
        g_free(times);
    }
}

void
BsAnswerTimes_Observe(BsAnswerTimes *times, const char *route, int64_t took_ms)
{
    BsRouteTimes *held = g_hash_table_lookup(times->routes, route);
    if (held == NULL) {
        held = g_new0(BsRouteTimes, 1);
        g_hash_table_insert(times->routes, g_strdup(route), held);
    }
    held->took_ms[held->next] = (uint32_t)CLAMP(took_ms, 0, INT32_MAX);
    held->next = (held->next + 1) % SAMPLES;
    held->count = MIN(held->count + 1, SAMPLES);
}

static int
S_compare(const void *a, const void *b)
{
    uint32_t left = *(const uint32_t *)a;
    uint32_t right = *(const uint32_t *)b;
    return (left > right) - (left < right);
}

int64_t
BsAnswerTimes_UsualMs(const BsAnswerTimes *times, const char *route)
{
    const BsRouteTimes *held = g_hash_table_lookup(times->routes, route);
    uint32_t sorted[SAMPLES];
    if (held == NULL) {
        return 0;
    }
    memcpy(sorted, held->took_ms, sizeof(sorted));
    qsort(sorted, held->count, sizeof(sorted[0]), S_compare);
    return sorted[held->count / 2];
}

int64_t
BsAnswerTimes_LongestMs(const BsAnswerTimes *times, const char *route)
{
    const BsRouteTimes *held = g_hash_table_lookup(times->routes, route);
    int64_t longest_ms = 0;
    for (unsigned i = 0; held != NULL && i < held->count; i++) {
        longest_ms = MAX(longest_ms, (int64_t)held->took_ms[i]);
    }
    return longest_ms;
}

bool
BsStopAdmit_Admits(const BsStopAdmit *request)
{
    int64_t needed_ms = request->usual_ms;
    if (!request->may_repeat && request->longest_ms > 0) {
        needed_ms = (int64_t)((double)request->longest_ms * LONGEST_MARGIN);
    }
    else if (!request->may_repeat && !request->before_stop) {
        needed_ms = (int64_t)((double)request->stop_ms * UNKNOWN_SHARE);
    }
    return MIN(needed_ms, request->expires_ms) <= request->left_ms;
}
