/* targetcold.c - the limit of requests to a cold upstream, and which upstreams
   count as cold. */
#include "targets_private.h"

/* Share of the cold limit that fills the buckets.  What they hold at most is
   the rest, so that no second has more than the limit. */
#define COLD_USED_SHARE 0.92

/* The same while some instances are out of touch: each part of the fleet may
   hold a whole request. */
#define COLD_USED_SHARE_IN_PARTS 0.8

/* Senders that report to each other take turns: one may send LEAD_S before the
   next, as a report waits for a tick and then takes a round trip at most, so
   that not all of them use the same part of the limit.  The order changes
   every TURN_MS. */
#define LEAD_S 0.020
#define TURN_MS 250

/* An upstream that was silent, without any other sign of a crash, counts as
   cold for this long after its pause, at most: a restarted one is listed anew
   within two seconds. */
#define SILENT_COLD_MS 2000

/* An instance that is not among the senders to an upstream that was down tries
   it when no sender has reported a request there for this long: more than the
   longest pause after a failure. */
#define SENDERS_QUIET_MS 3000

/* ----------------------------------------------------------- knowledge -- */

/* Derives from what is known until when TARGET is cold. */
static void
S_update(BsTarget *target, int64_t now_ms)
{
    int64_t until_ms =
        MAX(target->listed_cold_until_ms,
            MAX(target->down_cold_until_ms, target->silent_cold_until_ms));
    if (!BsTarget_IsCold(target, now_ms) && until_ms > now_ms) {
        target->cold_bucket.filled_ms = now_ms;
        target->cold_bucket.level = 1;
        target->cold_began = true;
    }
    target->cold_until_ms = until_ms;
}

void
BsTargets_SetCold(BsTarget *target, int64_t cold_ms, int64_t now_ms)
{
    target->listed_cold_until_ms =
        cold_ms > 0 ? now_ms + cold_ms
                    : MIN(target->listed_cold_until_ms, now_ms);
    S_update(target, now_ms);
}

void
BsTargets_NoteDown(BsTarget *target, int64_t now_ms)
{
    target->was_down = true;
    target->failed_ms = now_ms;
    target->sent_since_failure = 0;
    target->down_cold_until_ms = target->cold_ms > 0 ? INT64_MAX : 0;
    S_update(target, now_ms);
}

void
BsTargets_NoteBack(BsTarget *target, int64_t now_ms)
{
    target->was_down = false;
    target->down_cold_until_ms = now_ms + target->cold_ms;
    S_update(target, now_ms);
}

void
BsTargets_NoteMaybeDown(BsTarget *target, int64_t now_ms)
{
    int64_t cold_ms = MIN(target->cold_ms, SILENT_COLD_MS);
    target->failed_ms = now_ms;
    target->sent_since_failure = 0;
    target->silent_cold_until_ms = MAX(target->retry_at_ms, now_ms) + cold_ms;
    S_update(target, now_ms);
}

void
BsTargets_NoteNotRestarted(BsTarget *target, int64_t now_ms)
{
    if (target->was_down) {
        target->was_down = false;
        target->down_cold_until_ms = now_ms;
    }
    target->silent_cold_until_ms = MIN(target->silent_cold_until_ms, now_ms);
    S_update(target, now_ms);
}

void
BsTargets_ForgetFailures(BsTarget *target)
{
    target->was_down = false;
    target->down_cold_until_ms = 0;
    target->silent_cold_until_ms = 0;
}

void
BsTargets_NotePeersColdSent(BsTarget *target, uint32_t count, int64_t now_ms)
{
    target->peer_cold_ms = now_ms;
    if (BsTarget_IsCold(target, now_ms)) {
        target->cold_bucket.level -= count;
    }
}

/* ------------------------------------------------------------ decision -- */

/* What a sender may use of a cold limit. */
typedef struct {
    double per_s;  /* fills its bucket */
    double most;   /* largest level */
    double needed; /* level from which on a request may be sent */
} BsColdShare;

/* Returns what the sender with RANK may use of the limit PER_S, of which PARTS
   instances are senders. */
static BsColdShare
S_share(const BsTargets *targets, double per_s, const BsRateRank *rank,
        unsigned parts, int64_t now_ms)
{
    double used =
        targets->share < 1 ? COLD_USED_SHARE_IN_PARTS : COLD_USED_SHARE;
    double filled = per_s * used * targets->share;
    double rest = per_s * (1 - used) * targets->share;
    if (targets->summed) {
        /* Sums of a hub arrive later than several requests are sent, so each
           has its own part. */
        filled /= parts;
        return (BsColdShare){filled, 1 + filled * LEAD_S, 1};
    }
    double lead = filled * LEAD_S;
    double turn = (double)((rank->before + now_ms / TURN_MS) % parts);
    return (BsColdShare){filled, MAX(1 + (parts - 1) * lead, rest),
                         1 + turn * lead};
}

/* Returns whether an instance that is not among the senders to TARGET, which
   failed, may try it: no sender takes it for cold any more. */
static bool
S_is_left_by_senders(BsTarget *target, int64_t now_ms)
{
    int64_t quiet_ms = target->peer_cold_ms + SENDERS_QUIET_MS;
    if (target->silent_cold_until_ms > now_ms) {
        target->silent_cold_until_ms =
            MAX(target->silent_cold_until_ms, quiet_ms);
    }
    if (target->was_down && now_ms >= quiet_ms &&
        now_ms - target->failed_ms >= (int64_t)target->cold_ms) {
        target->was_down = false;
        target->down_cold_until_ms = now_ms;
    }
    S_update(target, now_ms);
    return !BsTarget_IsCold(target, now_ms);
}

bool
BsTargets_AllowsCold(const BsTargets *targets, BsTarget *target,
                     const BsCatalogService *service, int64_t now_ms)
{
    if (service->cold_per_s <= 0) {
        return true;
    }
    BsRateRank rank = BsTargets_SenderRank(targets, target);
    unsigned senders = BsSharedRate_Senders(service->cold_per_s);
    if (!rank.sends || rank.before >= senders) {
        return S_is_left_by_senders(target, now_ms);
    }
    BsColdShare share = S_share(targets, service->cold_per_s, &rank,
                                MIN(senders, MAX(rank.count, 1)), now_ms);
    if (target->cold_began) {
        /* Of the first request, too, an instance that is out of touch with
           others has only its share. */
        target->cold_began = false;
        target->cold_bucket.level += share.most - 1 - (1 - targets->share);
    }
    BsRateBucket *bucket = &target->cold_bucket;
    BsRateBucket_Fill(bucket, share.per_s, now_ms);
    bucket->level = MIN(bucket->level, share.most);
    return bucket->level >= share.needed;
}
