/* targetlimit.c - limits that upstreams name. */
#include "targets_private.h"

/* An answer that repeats a known limit is noted at most this often. */
#define REPEAT_MS 500

static void
S_set(BsTargetLimit *limit, double per_s, int64_t now_ms)
{
    if (limit->per_s != per_s) {
        limit->since_ms = now_ms;
    }
    limit->per_s = per_s;
    limit->version++;
    limit->told_ms = now_ms;
}

bool
BsTargets_NoteLimit(BsTarget *target, double per_s, int64_t sent_ms,
                    int64_t now_ms)
{
    BsTargetLimit *limit = &target->limit;
    bool changed = limit->per_s != per_s;
    if (per_s <= 0 && (!changed || sent_ms < limit->told_ms)) {
        return false;
    }
    if (changed || now_ms - limit->told_ms >= REPEAT_MS) {
        S_set(limit, per_s, now_ms);
    }
    return changed;
}

unsigned
BsTargets_CountLimits(const BsTargets *targets)
{
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((BsTarget *)value)->limit.per_s > 0;
    }
    return count;
}
