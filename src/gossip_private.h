/*
 * gossip_private.h - the table of members, shared by its parts: gossip.c (who
 * is there and what they told), gossipsource.c (who reads the store) and
 * gossiphub.c (hubs of a large fleet).
 */
#ifndef BS_GOSSIP_PRIVATE_H
#define BS_GOSSIP_PRIVATE_H

#include "gossip.h"

/* A member that was silent this long is gone; seeds are always tried. */
#define BS_GOSSIP_FORGET_MS 60000

/* Pause between tries to reach a member that does not answer. */
#define BS_GOSSIP_TRY_MS 400

/* A member of a fleet with hubs is silent after this time. */
#define BS_GOSSIP_HUB_SILENT_MS 1000

#define BS_GOSSIP_NEVER_MS (INT64_MIN / 2)

typedef struct {
    BsGossipMember member;
    bool dirty;         /* news waits for it */
    bool silent;        /* told to the owner */
    bool asks;          /* it asked for hubs, and was not answered yet */
    int64_t direct_ms;  /* heard from itself, not from others */
    int64_t since_ms;   /* its last start */
    int64_t summary_ms; /* its last summary */
    uint64_t summary_sequence; /* of its last summary */
    int64_t served_ms;         /* it last asked us for summaries */
    int64_t summed_ms;         /* our last summary to it */
    int64_t avoid_until_ms;    /* it is not taken for a hub before */
} BsGossipEntry;

struct BsGossip {
    uint32_t address;
    uint32_t data_centre;
    uint32_t weight;
    int64_t started_ms;
    bool stopping;
    int64_t store_failed_ms;
    int64_t forgot_ms;   /* last look for members that are gone for good */
    GHashTable *entries; /* address to BsGossipEntry */
    uint32_t fleet_told; /* size of the fleet, as others said */
    int64_t fleet_told_ms;
    uint32_t hub;         /* address; 0: none */
    int64_t hub_since_ms; /* when it was chosen */
    int64_t served_ms;    /* some instance last asked for summaries */
    uint32_t fleet_heard; /* as the hub said */
    uint32_t fleet_known;
    int64_t fleet_ms; /* when it said so */
};

/* Returns the entry of ADDRESS, or NULL. */
BsGossipEntry *BsGossip_Find(const BsGossip *gossip, uint32_t address);

/* Returns the entry of ADDRESS, a new one when it was never named. */
BsGossipEntry *BsGossip_Learn(BsGossip *gossip, uint32_t address,
                              int64_t now_ms);

/* Takes in what another instance says of a member. */
void BsGossip_TakeNamed(BsGossip *gossip, const BsGossipNamed *named,
                        int64_t now_ms);

/* Returns whether the entry's member was heard itself lately, not only
   through others.  What is passed on must go by this, or two instances would
   tell each other of a lost one for ever. */
bool BsGossip_IsDirect(const BsGossipEntry *entry, int64_t now_ms);

/* Returns a description of the entry's member for others. */
BsGossipNamed BsGossip_Name(const BsGossipEntry *entry, int64_t now_ms);

/* Returns whether MEMBER was heard lately. */
bool BsGossip_IsHeard(const BsGossip *gossip, const BsGossipMember *member,
                      int64_t now_ms);

/* A walk over the members that are heard at a time. */
typedef struct {
    const BsGossip *gossip;
    int64_t now_ms;
    GHashTableIter iter;
} BsGossipWalk;

BsGossipWalk BsGossip_Walk(const BsGossip *gossip, int64_t now_ms);

/* Returns the next member that is heard, or NULL. */
const BsGossipMember *BsGossip_Next(BsGossipWalk *walk);

/* Returns whether the instance A, of weight A_WEIGHT, comes before B as a hub
   and as a reader of the store. */
bool BsGossip_IsHeavier(uint32_t a, uint32_t a_weight, uint32_t b,
                        uint32_t b_weight);

/* BsGossip_Due() where hubs are used. */
GArray *BsGossip_DueWithHubs(BsGossip *gossip, bool changed, int64_t now_ms);

/* Appends the first hubs of each data centre as BsGossipNamed. */
void BsGossip_AppendHubs(const BsGossip *gossip, int64_t now_ms, GArray *out);

#endif /* BS_GOSSIP_PRIVATE_H */
