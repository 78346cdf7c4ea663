/* targetcold.c - the limit of requests to a cold upstream. */
#include "targets_private.h"

/* Share of the cold limit that is used, as the counts of peers arrive late. */
#define COLD_USED_SHARE 0.8

void
BsTargets_SetCold(BsTarget *target, int64_t cold_ms, int64_t now_ms)
{
    if (cold_ms <= 0) {
        target->cold_until_ms = MIN(target->cold_until_ms, now_ms);
        return;
    }
    if (!BsTarget_IsCold(target, now_ms)) {
        target->cold_bucket.filled_ms = now_ms;
        target->cold_bucket.level = 1;
        target->cold_began = true;
    }
    target->cold_until_ms = now_ms + cold_ms;
}

bool
BsTargets_AllowsCold(const BsTargets *targets, BsTarget *target,
                     const BsCatalogService *service, int64_t now_ms)
{
    if (service->cold_per_s <= 0) {
        return true;
    }
    BsRateRank rank = BsTargets_SenderRank(targets, target);
    if (!rank.sends ||
        rank.before >= BsSharedRate_Senders(service->cold_per_s)) {
        return false;
    }
    if (target->cold_began) {
        /* Of the first request, too, an instance that is out of touch with
           others has only its share. */
        target->cold_began = false;
        target->cold_bucket.level -= 1 - targets->share;
    }
    double per_s = service->cold_per_s * COLD_USED_SHARE * targets->share;
    return BsRateBucket_Fill(&target->cold_bucket, per_s, now_ms);
}
