/*
 * targets_private.h - the table of targets, shared by its parts: targets.c
 * (listing and health), targetchoice.c (the choice of one), targetcold.c
 * (limits of cold ones), targetlimit.c (limits that upstreams name) and
 * targetpeers.c (loads of peers and of this
 * instance).
 */
#ifndef BS_TARGETS_PRIVATE_H
#define BS_TARGETS_PRIVATE_H

#include "spill.h"
#include "targetjudgement.h"
#include "targets.h"

/* The loads that a peer last reported. */
typedef struct {
    GArray *loads; /* BsTargetLoad */
} BsTargetPeer;

/* Token bucket of the requests that this instance may send to another data
   centre whose load is only estimated. */
typedef struct {
    double level;      /* requests allowed now */
    int64_t filled_ms; /* last refill */
    uint32_t free;     /* free slots there by the estimate, while choosing */
    uint32_t in_use;   /* requests of others in progress there */
} BsTargetAllowance;

struct BsTargets {
    GHashTable *by_id;    /* id to BsTarget */
    GHashTable *by_hash;  /* lower half of a hash to BsTarget, not owned */
    GHashTable *services; /* name to GPtrArray of BsTarget, not owned */
    GHashTable *closed;   /* set of data centres closed for new work */
    GHashTable *peers;    /* address of a peer to BsTargetPeer */
    GHashTable *fleet;    /* lower half of a hash to BsTargetLoad, a hub's
                             sum over the other instances */
    GHashTable *leaving_starts; /* id to start time (int64_t) of the targets
                                   that reported that they are leaving */
    char *data_centre;          /* of this instance */
    char *region;               /* of this instance */
    double share;               /* see BsTargets_SetShare() */
    int64_t remote_age_ms;      /* see BsTargets_SetRemoteAge() */
    unsigned instances;         /* in the fleet; 0: not set */
    bool summed; /* loads are a hub's sums, the same for many instances */
    GHashTable *allowances;     /* data centre to BsTargetAllowance */
    GHashTable *usual_failures; /* service to BsEjectionUsual */
    double probe_per_s;         /* see BsTargets_SetProbeRate() */
    BsSpillLimits spill;
    const BsTarget *spilled; /* chosen last although the own data centre had a
                                free slot; NULL: the last choice was another */
    uint32_t address;        /* of this instance */
    GArray *senders; /* BsRateSender; empty when the instance is alone */
    guint next_changed_limit; /* places of the next limits to report */
    guint next_limit;
    uint32_t senders_version; /* increases when SENDERS changes */
};

/* Returns the requests in progress at TARGET, of this instance and of its
   peers. */
static inline uint32_t
BsTarget_Load(const BsTarget *target)
{
    return target->own + target->others;
}

/* Returns whether TARGET is shutting down, by the list or by its own
   answers. */
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

/* Returns whether the load of TARGET is only an estimate, as the reports of
   the peers in its data centre are old. */
bool BsTargets_IsEstimated(const BsTargets *targets, const BsTarget *target);

/* Subtracts a request sent to TARGET from the allowance of its data centre, if
   the load there is an estimate. */
void BsTargets_UseAllowance(BsTargets *targets, const BsTarget *target);

/* Returns the rank of this instance among those that can send to TARGET. */
BsRateRank BsTargets_SenderRank(const BsTargets *targets, BsTarget *target);

/* Returns whether a cold TARGET may get one more request now, by the cold
   limit of SERVICE and the instances that share it. */
bool BsTargets_AllowsCold(const BsTargets *targets, BsTarget *target,
                          const BsCatalogService *service, int64_t now_ms);

/* Returns whether TARGET may get one more request of this instance now, by the
   limit that it named. */
bool BsTargets_AllowsLimit(const BsTargets *targets, BsTarget *target,
                           int64_t now_ms);

/* Takes TARGET, which is down, for cold from its next request on, until it has
   answered one and had time to warm up. */
void BsTargets_NoteDown(BsTarget *target, int64_t now_ms);

/* Notes that TARGET, which was down, answers. */
void BsTargets_NoteBack(BsTarget *target, int64_t now_ms);

/* Takes TARGET, which is silent, for cold for a short time after its pause: it
   may have restarted. */
void BsTargets_NoteMaybeDown(BsTarget *target, int64_t now_ms);

/* Notes that TARGET has run since before its last silence. */
void BsTargets_NoteNotRestarted(BsTarget *target, int64_t now_ms);

/* Ends what was concluded from failures of TARGET, which has a new start or
   is listed anew. */
void BsTargets_ForgetFailures(BsTarget *target);

/* Notes that peers sent COUNT requests to TARGET as to a cold one. */
void BsTargets_NotePeersColdSent(BsTarget *target, uint32_t count,
                                 int64_t now_ms);

/* Returns whether the settings, the list and the target's own reports let
   TARGET get the request. */
bool BsTarget_IsOpen(const BsTarget *target, const BsTargetQuery *query,
                     int64_t now_ms);

/* Told of each target that the choice judges, with its cost even if it is not
   eligible.  A target may be judged in two passes. */
typedef struct {
    void (*on_judged)(BsTarget *target, const BsTargetJudgement *judgement,
                      void *context);
    void *context;
} BsTargetObserver;

/* As BsTargets_Choose(); OBSERVER may be NULL. */
BsTarget *BsTargets_ChooseObserved(BsTargets *targets,
                                   const BsTargetQuery *query, int64_t now_ms,
                                   BsTargetVerdict *verdict,
                                   const BsTargetObserver *observer);

/* Returns BS_TARGET_ELIGIBLE if TARGET can take the request now, whichever
   targets are considered, or why not. */
BsTargetReason BsTargets_Judge(const BsTargets *targets, BsTarget *target,
                               const BsTargetQuery *query, int64_t now_ms);

/* Returns the target with the hash HASH, of which the lower 32 bits count, or
   NULL. */
BsTarget *BsTargets_FindHash(const BsTargets *targets, uint64_t hash);

/* Adds the loads that peers reported for TARGET before it was listed. */
void BsTargets_AddPeerLoads(const BsTargets *targets, BsTarget *target);

#endif /* BS_TARGETS_PRIVATE_H */
