/*
 * gossipsource.c - which instance reads the store, and from which member the
 * others fetch the published items.
 */
#include "gossip_private.h"

/* Instances of a data centre that read the store for all of it.  One is
   enough: another instance takes over when that one is unresponsive, reports
   failures, or gets no answers. */
#define READERS 1

/* Returns a number that orders the members differently for each instance. */
static uint32_t
S_pair_rank(const BsGossip *gossip, const BsGossipMember *member)
{
    /* Multiplicative hashing, so that adjacent addresses do not get adjacent
       ranks. */
    return (member->address ^ (gossip->address << 16)) * UINT32_C(2654435761);
}

/* Returns whether A is a better source of items than B. */
static bool
S_is_better_source(const BsGossip *gossip, const BsGossipMember *a,
                   const BsGossipMember *b)
{
    if (b == NULL) {
        return true;
    }
    bool local_a = BsGossip_IsLocal(gossip, a);
    bool local_b = BsGossip_IsLocal(gossip, b);
    if (local_a != local_b) {
        return local_a;
    }
    /* Instances choose differently among holders of the same items, to spread
       the load of passing them on. */
    return a->newest != b->newest
               ? a->newest > b->newest
               : S_pair_rank(gossip, a) < S_pair_rank(gossip, b);
}

const BsGossipMember *
BsGossip_Newer(const BsGossip *gossip, uint64_t revision, uint64_t newest,
               int64_t now_ms)
{
    const BsGossipMember *best = NULL;
    BsGossipWalk walk = BsGossip_Walk(gossip, now_ms);
    const BsGossipMember *member;
    while ((member = BsGossip_Next(&walk)) != NULL) {
        if ((member->revision > revision || member->newest > newest) &&
            S_is_better_source(gossip, member, best)) {
            best = member;
        }
    }
    return best;
}

/* Multiplicative hashing, so that adjacent addresses do not get adjacent
   ranks. */
static uint32_t
S_rank(uint32_t address)
{
    return address * UINT32_C(2654435761);
}

bool
BsGossip_IsHeavier(uint32_t a, uint32_t a_weight, uint32_t b,
                   uint32_t b_weight)
{
    return a_weight != b_weight ? a_weight > b_weight : S_rank(a) < S_rank(b);
}

/* Returns how many instances of the data centre come before this one as
   readers of the store.  READING is set to the number of those of the fleet
   that read it successfully. */
static unsigned
S_count_before(const BsGossip *gossip, unsigned *reading, int64_t now_ms)
{
    unsigned before = 0;
    BsGossipWalk walk = BsGossip_Walk(gossip, now_ms);
    const BsGossipMember *member;
    *reading = 0;
    while ((member = BsGossip_Next(&walk)) != NULL) {
        *reading += member->reading == BS_GOSSIP_READS;
        if (!BsGossip_IsLocal(gossip, member)) {
            continue;
        }
        before += member->reading != BS_GOSSIP_FAILS && !member->stopping &&
                  BsGossip_IsHeavier(member->address, member->weight,
                                     gossip->address, gossip->weight);
    }
    return before;
}

BsGossipReaderRole
BsGossip_ReaderRole(const BsGossip *gossip, int64_t now_ms)
{
    unsigned reading;
    unsigned before = S_count_before(gossip, &reading, now_ms);
    int64_t silent_ms = now_ms - gossip->local_answered_ms;
    if (reading == 0 || before < READERS) {
        return BS_GOSSIP_READER; /* all try when nobody has an answer */
    }
    return (before - READERS + 1) * (int64_t)BS_GOSSIP_BACKUP_STEP_MS <=
                   silent_ms
               ? BS_GOSSIP_BACKUP_READER
               : BS_GOSSIP_NO_READER;
}
