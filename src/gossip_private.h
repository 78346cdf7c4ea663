/*
 * gossip_private.h - the member table, shared by gossip.c (membership and
 * reports), gossipsource.c (which instances read the store) and gossiphub.c
 * (hubs of a large fleet).
 */
#ifndef BS_GOSSIP_PRIVATE_H
#define BS_GOSSIP_PRIVATE_H

#include "centrewatch.h"
#include "fleetshare.h"
#include "gossip.h"

/* A member not seen for this long is removed from the table, unless it is a
   seed. */
#define BS_GOSSIP_REMOVE_AFTER_MS 60000

/* Pause between reports to an unresponsive member. */
#define BS_GOSSIP_RETRY_PAUSE_MS 400

/* In a fleet with hubs, a member not seen for this long is unresponsive. */
#define BS_GOSSIP_HUB_UNRESPONSIVE_MS 1000

#define BS_GOSSIP_NEVER_MS (INT64_MIN / 2)

typedef struct {
    BsGossipMember member;
    bool dirty;        /* our state changed since our last report to it */
    bool unresponsive; /* passed to BsGossip_EachNewlyUnresponsive()'s FUNC, or
                    never seen */
    bool asks;         /* it asked for the hubs; the answer is to be sent */
    int64_t direct_ms; /* last report or summary from itself */
    int64_t since_ms;  /* its last start, on our clock */
    int64_t summary_ms;        /* last summary from it */
    uint64_t summary_sequence; /* of the last summary from it */
    int64_t served_ms;         /* when it last asked us for summaries */
    int64_t summary_sent_ms;   /* when we last sent it a summary */
    int64_t avoid_until_ms;    /* not chosen as a hub before this */
} BsGossipEntry;

struct BsGossip {
    uint32_t address;
    uint32_t data_centre;
    uint32_t weight;
    int64_t started_ms;
    bool stopping;
    int64_t store_failed_ms;
    int64_t fleet_answered_ms;  /* last answer of the store to any instance */
    int64_t local_answered_ms;  /* the same, to one of the data centre */
    int64_t direct_answered_ms; /* the same, as reported by itself */
    int64_t purged_ms;          /* when expired members were last removed */
    GHashTable *entries;        /* address to BsGossipEntry */
    uint32_t fleet_reported;    /* largest fleet size reported by others */
    int64_t fleet_reported_ms;  /* when it was reported */
    BsFleetShare *share;        /* the share of common limits */
    BsCentreWatch *centres;     /* the data centres heard */
    bool is_seed;               /* this instance is a seed itself */
    uint32_t hub;               /* address; 0: none */
    int64_t hub_since_ms;       /* when it was chosen */
    int64_t served_ms; /* when an instance last asked us for summaries */
    uint32_t fleet_reachable; /* reachable instances, as reported by the hub */
    uint32_t fleet_known;     /* known instances, the same */
    int64_t fleet_ms;         /* when the hub reported both */
};

/* Returns the entry of ADDRESS, or NULL. */
BsGossipEntry *BsGossip_Find(const BsGossip *gossip, uint32_t address);

/* Returns the entry of ADDRESS, which is created when there is none. */
BsGossipEntry *BsGossip_FindOrAdd(BsGossip *gossip, uint32_t address,
                                  int64_t now_ms);

/* Handles what another instance reports about a member. */
void BsGossip_ApplyMemberInfo(BsGossip *gossip,
                              const BsGossipMemberInfo *named, int64_t now_ms);

/* Returns whether a message from the entry's member itself arrived within
   BS_GOSSIP_HUB_UNRESPONSIVE_MS, rather than only a report about it.  Only
   such members are passed on as reachable; otherwise two instances would keep
   a lost one alive by naming it to each other for ever. */
bool BsGossip_IsDirect(const BsGossipEntry *entry, int64_t now_ms);

/* Returns the description of the entry's member that is sent to others. */
BsGossipMemberInfo BsGossip_DescribeMember(const BsGossipEntry *entry,
                                           int64_t now_ms);

/* Returns whether MEMBER is reachable: last seen within the timeout. */
bool BsGossip_IsReachable(const BsGossip *gossip, const BsGossipMember *member,
                          int64_t now_ms);

/* An iterator over the members reachable at NOW_MS. */
typedef struct {
    const BsGossip *gossip;
    int64_t now_ms;
    GHashTableIter iter;
} BsGossipWalk;

BsGossipWalk BsGossip_Walk(const BsGossip *gossip, int64_t now_ms);

/* Returns the next reachable member, or NULL at the end. */
const BsGossipMember *BsGossip_Next(BsGossipWalk *walk);

/* Returns whether instance A, of weight A_WEIGHT, is preferred to B as a hub
   and as a reader of the store: the heavier one, or by hash of the address
   when the weights are equal. */
bool BsGossip_IsHeavier(uint32_t a, uint32_t a_weight, uint32_t b,
                        uint32_t b_weight);

/* BsGossip_Due() for a fleet that uses hubs. */
GArray *BsGossip_DueWithHubs(BsGossip *gossip, bool changed, int64_t now_ms);

/* Appends the first hubs of each data centre as BsGossipMemberInfo. */
void BsGossip_AppendHubs(const BsGossip *gossip, int64_t now_ms, GArray *out);

/* Appends the best hubs as BsGossipReceiver: of the own data centre, or with
   REMOTE those of the others. */
void BsGossip_AppendStreamHubs(const BsGossip *gossip, bool remote,
                               int64_t now_ms, GArray *out);

#endif /* BS_GOSSIP_PRIVATE_H */
