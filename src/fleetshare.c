/* fleetshare.c - the share of a limit on the whole fleet that an instance may
   use. */
#include "fleetshare.h"

/* Percentage of the tolerance that all processes which start in a window take
   together.  Half of it is for requests over the limit while slots are free
   (TOLERANCE_FRACTION in quota.c); the rest covers reports that arrive late.
 */
#define START_PERCENT 25

/* Instances that a seed assumes for each seed while it has seen nobody: half
   of what a seed may use, as the instances that are no seeds use something,
   too. */
#define LONE_SEED_INSTANCES 2

#define PERCENT 100.0

struct BsFleetShare {
    unsigned largest;   /* largest size counted; 0: no other was seen */
    int64_t largest_ms; /* when it was last counted */
    bool told;          /* an instance that knew all seeds told of LARGEST */
};

BsFleetShare *
BsFleetShare_Create(void)
{
    return g_new0(BsFleetShare, 1);
}

void
BsFleetShare_Destroy(BsFleetShare *share)
{
    g_free(share);
}

void
BsFleetShare_Note(BsFleetShare *share, const BsFleetCounts *counts,
                  int64_t now_ms)
{
    bool old = now_ms - share->largest_ms > BS_FLEETSHARE_HOLD_MS;
    if (counts->counted > 1 &&
        (share->largest == 0 || old || counts->known >= share->largest)) {
        share->largest = counts->known;
        share->largest_ms = now_ms;
    }
}

void
BsFleetShare_Learn(BsFleetShare *share, unsigned largest, int64_t age_ms,
                   int64_t now_ms)
{
    if (largest == 0 || age_ms < 0 || age_ms > BS_FLEETSHARE_HOLD_MS) {
        return;
    }
    int64_t counted_ms = now_ms - age_ms;
    share->told = true;
    if (largest > share->largest) {
        share->largest = largest;
        share->largest_ms = counted_ms;
    }
    else if (largest == share->largest) {
        share->largest_ms = MAX(share->largest_ms, counted_ms);
    }
}

static bool
S_knows_seeds(const BsFleetShare *share, const BsFleetCounts *counts)
{
    return share->told || counts->seeds_seen >= counts->seeds;
}

unsigned
BsFleetShare_Tell(const BsFleetShare *share, const BsFleetCounts *counts,
                  int64_t now_ms, int64_t *age_ms)
{
    *age_ms = now_ms - share->largest_ms;
    return S_knows_seeds(share, counts) && *age_ms <= BS_FLEETSHARE_HOLD_MS
               ? share->largest
               : 0;
}

/* Returns the size that is assumed while no other instance was seen. */
static unsigned
S_unseen_instances(const BsFleetCounts *counts)
{
    if (counts->is_single) {
        return 1;
    }
    return MAX(counts->known, counts->is_seed
                                  ? LONE_SEED_INSTANCES * counts->seeds
                                  : BS_FLEETSHARE_UNKNOWN_INSTANCES);
}

unsigned
BsFleetShare_AtMost(const BsFleetShare *share, const BsFleetCounts *counts,
                    int64_t now_ms)
{
    if (share->largest == 0 && counts->counted <= 1) {
        return S_unseen_instances(counts);
    }
    bool held = now_ms - share->largest_ms <= BS_FLEETSHARE_HOLD_MS;
    unsigned largest = MAX(counts->known, held ? share->largest : 1);
    return S_knows_seeds(share, counts)
               ? largest
               : largest * counts->seeds / MAX(counts->seeds_seen, 1);
}

double
BsFleetShare_Fraction(const BsFleetShare *share, const BsFleetCounts *counts,
                      int64_t now_ms)
{
    unsigned most = BsFleetShare_AtMost(share, counts, now_ms);
    return (double)MIN(counts->reachable, most) / most;
}

double
BsFleetShare_StartCredit(double tolerance, unsigned instances)
{
    return tolerance * START_PERCENT / PERCENT / MAX(instances, 1);
}

bool
BsFleetShare_WasPaused(int64_t last_ms, int64_t now_ms)
{
    return last_ms != INT64_MIN && now_ms - last_ms > BS_FLEETSHARE_PAUSE_MS;
}
