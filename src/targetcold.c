/* targetcold.c - the limit of requests to a cold upstream. */
#include "targets_private.h"

#include <xxhash.h>

/* Share of the cold limit that is used, as the counts of peers arrive late. */
#define COLD_USED_SHARE 0.8

/* Instances that may send to a cold target, per request a second of its cold
   limit. */
#define COLD_SENDERS_PER_REQUEST 0.2

/* Largest burst to a cold target, in seconds of its rate. */
#define COLD_BURST_S 0.25

#define MS_PER_S 1000.0

void
BsTargets_SetCold(BsTarget *target, int64_t cold_ms, int64_t now_ms)
{
    if (cold_ms <= 0) {
        target->cold_until_ms = MIN(target->cold_until_ms, now_ms);
        return;
    }
    if (!BsTarget_IsCold(target, now_ms)) {
        target->cold_filled_ms = now_ms;
        target->cold_level = 1;
    }
    target->cold_until_ms = now_ms + cold_ms;
}

void
BsTargets_SetSenders(BsTargets *targets, uint32_t address,
                     const GArray *senders)
{
    targets->address = address;
    g_array_set_size(targets->senders, 0);
    g_array_append_vals(targets->senders, senders->data, senders->len);
}

/* Returns how many reachable instances of DATA_CENTRE rank before this one as
   senders to TARGET, and in FOUND how many there are. */
static unsigned
S_senders_before(const BsTargets *targets, const BsTarget *target,
                 uint32_t data_centre, unsigned *found)
{
    uint64_t own[2] = {target->hash, targets->address};
    uint64_t own_rank = XXH3_64bits(own, sizeof(own));
    unsigned before = 0;
    *found = 0;
    for (guint i = 0; i < targets->senders->len; i++) {
        const BsTargetSender *sender =
            &g_array_index(targets->senders, BsTargetSender, i);
        if (sender->data_centre != data_centre) {
            continue;
        }
        uint64_t pair[2] = {target->hash, sender->address};
        (*found)++;
        before += XXH3_64bits(pair, sizeof(pair)) < own_rank;
    }
    return before;
}

/* Returns the data centre whose instances send to TARGET when none in its own
   data centre is reachable.  All that can reach the same instances get the
   same result. */
static uint32_t
S_substitute_data_centre(const BsTargets *targets, const BsTarget *target)
{
    uint32_t best = 0;
    uint64_t best_rank = 0;
    for (guint i = 0; i < targets->senders->len; i++) {
        uint32_t data_centre =
            g_array_index(targets->senders, BsTargetSender, i).data_centre;
        uint64_t pair[2] = {target->hash, data_centre};
        uint64_t rank = XXH3_64bits(pair, sizeof(pair));
        if (best == 0 || rank < best_rank) {
            best = data_centre;
            best_rank = rank;
        }
    }
    return best;
}

/* Returns whether this instance is one of the few that send to the cold
   TARGET.  Requests that several instances send at the same time cannot be
   counted in time, so there must be fewer senders than the limit allows
   requests.  They are in the data centre of TARGET, as instances there receive
   each other's counts soonest. */
static bool
S_sends_to_cold(const BsTargets *targets, const BsTarget *target,
                const BsCatalogService *service)
{
    unsigned senders =
        (unsigned)MAX(1, service->cold_per_s * COLD_SENDERS_PER_REQUEST);
    uint32_t sender_dc = (uint32_t)BsTargets_Hash(target->data_centre);
    unsigned found;
    unsigned before = S_senders_before(targets, target, sender_dc, &found);
    if (targets->senders->len == 0) {
        return true; /* this instance is alone */
    }
    if (found == 0) {
        sender_dc = S_substitute_data_centre(targets, target);
        before = S_senders_before(targets, target, sender_dc, &found);
    }
    return sender_dc == (uint32_t)BsTargets_Hash(targets->data_centre) &&
           before < senders;
}

bool
BsTargets_AllowsCold(const BsTargets *targets, BsTarget *target,
                     const BsCatalogService *service, int64_t now_ms)
{
    if (service->cold_per_s <= 0) {
        return true;
    }
    if (!S_sends_to_cold(targets, target, service)) {
        return false;
    }
    double per_s = service->cold_per_s * COLD_USED_SHARE * targets->share;
    double most = MAX(1.0, per_s * COLD_BURST_S);
    double passed_s = (double)(now_ms - target->cold_filled_ms) / MS_PER_S;
    target->cold_level = MIN(most, target->cold_level + passed_s * per_s);
    target->cold_filled_ms = now_ms;
    return target->cold_level >= 1;
}
