/*
 * targets_private.h - the table of targets, shared by its parts: targets.c
 * (listing and experience), targetchoice.c (the choice of one), targetcold.c
 * (limits of cold ones) and targetpeers.c (what peers told).
 */
#ifndef BS_TARGETS_PRIVATE_H
#define BS_TARGETS_PRIVATE_H

#include "targets.h"

typedef struct {
    GArray *loads; /* BsTargetLoad */
} BsTargetPeer;

/* What this instance may send to another data centre whose load is guessed. */
typedef struct {
    double level; /* requests */
    int64_t filled_ms;
    uint32_t free; /* places that seem free there, while choosing */
} BsTargetAllowance;

struct BsTargets {
    GHashTable *by_id;    /* id to BsTarget */
    GHashTable *by_hash;  /* lower half of a hash to BsTarget, not owned */
    GHashTable *services; /* name to GPtrArray of BsTarget, not owned */
    GHashTable *closed;   /* set of data centres */
    GHashTable *peers;    /* number to BsTargetPeer */
    GHashTable *fleet;    /* lower half of a hash to BsTargetLoad */
    GHashTable *left;     /* id to start (int64_t) of those that said they
                             leave */
    char *data_centre;
    char *region;
    double share;
    int64_t far_age_ms;
    unsigned instances; /* of the fleet; 0: not told */
    bool summed; /* loads are a hub's sums, the same for many instances */
    GHashTable *allowances; /* data centre to BsTargetAllowance */
    uint32_t address;
    GArray *senders; /* BsTargetSender; empty while alone */
};

/* Returns the requests at TARGET of all instances that are heard. */
static inline uint32_t
BsTarget_Load(const BsTarget *target)
{
    return target->own + target->others;
}

/* Returns whether TARGET stops soon, by the list or by its own answers. */
static inline bool
BsTarget_IsLeaving(const BsTarget *target)
{
    return target->draining || target->leaving;
}

static inline bool
BsTarget_IsCold(const BsTarget *target, int64_t now_ms)
{
    return target->cold_until_ms > now_ms;
}

/* Returns whether the load of TARGET is guessed: what peers of its data centre
   told is old. */
bool BsTargets_IsGuessed(const BsTargets *targets, const BsTarget *target);

/* Takes a request sent to TARGET off what may be sent to its data centre. */
void BsTargets_UseAllowance(BsTargets *targets, const BsTarget *target);

/* Returns whether a cold TARGET may get one more request now. */
bool BsTargets_BearsCold(const BsTargets *targets, BsTarget *target,
                         const BsCatalogService *service, int64_t now_ms);

/* Adds what the peers told of a target that was not known then. */
void BsTargets_AddPeerLoads(const BsTargets *targets, BsTarget *target);

#endif /* BS_TARGETS_PRIVATE_H */
