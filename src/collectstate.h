/* collectstate.h - what the two sides of a collection share. */
#ifndef BS_COLLECTSTATE_H
#define BS_COLLECTSTATE_H

#include "collect.h"

struct BsCollects {
    BsCore *core;
    BsContact *contact;
    BsLosses *losses;
    GPtrArray *chain;    /* BsView */
    GPtrArray *extra;    /* BsView, told by others */
    GHashTable *answers; /* name to uint64_t incarnation */
    GPtrArray *replaced; /* BsLoss, of this round */
    uint64_t round;
    uint64_t settled_revision; /* of the list when it was settled */
    int64_t started_ms;
    int64_t sent_ms;
    int64_t answered_ms;
    int64_t first_settled_ms;
    int64_t known_since_ms;
    bool base;
    bool settling;
};

/* Returns the newest view, or NULL before the first list. */
BsView *BsCollects_Newest(const BsCollects *collects);

/* Returns whether the view of REVISION is held. */
bool BsCollects_KnowsView(const BsCollects *collects, uint64_t revision);

/* Pulls the newest list, or the old one of REVISION, from a sender. */
void BsCollects_PullList(BsCollects *collects, const BsMessage *message,
                         uint64_t revision);

/* Takes in losses (BsLoss) told by another; denies those REPLACED. */
void BsCollects_TakeLosses(BsCollects *collects, const GPtrArray *losses,
                           bool replaced);

#endif /* BS_COLLECTSTATE_H */
