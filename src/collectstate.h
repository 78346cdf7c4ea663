/*
 * collectstate.h - state shared by collect.c, which handles list changes and
 * replies to collects, and settle.c, which sends collects and settles a list.
 */
#ifndef BS_COLLECTSTATE_H
#define BS_COLLECTSTATE_H

#include "collect.h"

struct BsCollects {
    BsCore *core;
    BsContact *contact;
    BsLosses *losses;
    GPtrArray *chain;    /* BsView, last settled one first, newest last */
    GPtrArray *extra;    /* BsView, known to other instances only */
    GHashTable *answers; /* name to uint64_t incarnation, of this round */
    GPtrArray *replaced; /* BsLoss, replaced since the last settled list */
    uint64_t round;
    uint64_t settled_revision; /* of the list when it was settled */
    int64_t started_ms;        /* start of this instance */
    int64_t sent_ms;           /* when collects were last sent */
    int64_t answered_ms;       /* start of the round or last answer */
    int64_t first_settled_ms;  /* 0 for never */
    int64_t known_since_ms;    /* see BsCollects_KnownSinceMs() */
    bool base;                 /* the oldest view of the chain is settled */
    bool settling;             /* a round is in progress */
};

/* Returns the newest view, or NULL before the first list. */
BsView *BsCollects_Newest(const BsCollects *collects);

/* Returns whether the view of REVISION is in the chain or among the extra
   views. */
bool BsCollects_KnowsView(const BsCollects *collects, uint64_t revision);

/* Asks the sender of MESSAGE for its list of REVISION, 0 for the newest. */
void BsCollects_PullList(BsCollects *collects, const BsMessage *message,
                         uint64_t revision);

/* Records LOSSES (BsLoss) reported by another instance; with REPLACED, also
   denies these incarnations. */
void BsCollects_MergeLosses(BsCollects *collects, const GPtrArray *losses,
                            bool replaced);

#endif /* BS_COLLECTSTATE_H */
