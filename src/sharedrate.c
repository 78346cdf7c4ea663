/* sharedrate.c - a rate of requests to one upstream that all instances
   share. */
#include "sharedrate.h"

#include <xxhash.h>

/* Instances that may send to an upstream, per request a second of its rate. */
#define SENDERS_PER_REQUEST 0.2

/* Largest burst, in seconds of the rate. */
#define BURST_S 0.25

#define MS_PER_S 1000.0

/* Returns the rank of INSTANCE among the senders of DATA_CENTRE. */
static BsRateRank
S_rank_in(const GArray *senders, const BsRateSender *instance,
          uint64_t upstream, uint32_t data_centre)
{
    uint64_t own[2] = {upstream, instance->address};
    uint64_t own_rank = XXH3_64bits(own, sizeof(own));
    BsRateRank rank = {.sends = instance->data_centre == data_centre};
    for (guint i = 0; i < senders->len; i++) {
        const BsRateSender *sender = &g_array_index(senders, BsRateSender, i);
        if (sender->data_centre != data_centre) {
            continue;
        }
        uint64_t pair[2] = {upstream, sender->address};
        rank.count++;
        rank.before += XXH3_64bits(pair, sizeof(pair)) < own_rank;
    }
    return rank;
}

/* Returns the data centre whose instances send to the upstream when none in
   its own data centre is reachable.  All that can reach the same instances get
   the same result. */
static uint32_t
S_substitute(const GArray *senders, uint64_t upstream)
{
    uint32_t best = 0;
    uint64_t best_rank = 0;
    for (guint i = 0; i < senders->len; i++) {
        uint32_t data_centre =
            g_array_index(senders, BsRateSender, i).data_centre;
        uint64_t pair[2] = {upstream, data_centre};
        uint64_t rank = XXH3_64bits(pair, sizeof(pair));
        if (best == 0 || rank < best_rank) {
            best = data_centre;
            best_rank = rank;
        }
    }
    return best;
}

BsRateRank
BsSharedRate_Rank(const GArray *senders, const BsRateSender *instance,
                  uint64_t upstream, uint32_t data_centre)
{
    BsRateRank alone = {.sends = true, .before = 0, .count = 1};
    if (senders->len == 0) {
        return alone;
    }
    BsRateRank rank = S_rank_in(senders, instance, upstream, data_centre);
    if (rank.count == 0) {
        rank = S_rank_in(senders, instance, upstream,
                         S_substitute(senders, upstream));
    }
    return rank;
}

unsigned
BsSharedRate_Senders(double per_s)
{
    return (unsigned)MAX(1, per_s * SENDERS_PER_REQUEST);
}

double
BsRateBucket_Most(double per_s)
{
    return MAX(1.0, per_s * BURST_S);
}

bool
BsRateBucket_Fill(BsRateBucket *bucket, double per_s, int64_t now_ms)
{
    double passed_s = (double)(now_ms - bucket->filled_ms) / MS_PER_S;
    bucket->level =
        MIN(BsRateBucket_Most(per_s), bucket->level + passed_s * per_s);
    bucket->filled_ms = now_ms;
    return bucket->level >= 1;
}
