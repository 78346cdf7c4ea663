/*
 * targetexplain.h - which upstream the choice would take now, and why.
 *
 * Rules: the explanation comes from the choice itself, whose effects on the
 * table are undone; so the table, and every later choice, are as they would be
 * without it.  Its size does not depend on the number of upstreams.
 */
#ifndef BS_TARGETEXPLAIN_H
#define BS_TARGETEXPLAIN_H

#include "targetjudgement.h"
#include "targets.h"

/* Most candidates in an explanation. */
#define BS_TARGET_CANDIDATES_MAX 20

/* What the choice found about one upstream. */
typedef struct {
    const BsTarget *target;
    BsTargetJudgement judgement;
    unsigned place; /* in the order of the choice, which decides between equal
                       costs */
    bool estimated; /* its load is an estimate */
} BsTargetCandidate;

/* What the choice would do; valid until the table changes. */
typedef struct {
    BsTargetVerdict verdict;
    const BsTarget *chosen; /* NULL unless VERDICT is BS_TARGET_CHOSEN */
    bool spilled;           /* CHOSEN is elsewhere although a slot of the own
                               data centre is free */
    int64_t limit_wait_ms;  /* BsTargets_LimitWaitMs() */
    bool all_silent;        /* BsTargets_AreAllSilent() */
    int64_t remote_age_ms;  /* of the counts from other data centres */
    unsigned judged;        /* upstreams of the service */
    unsigned by_reason[BS_TARGET_REASONS]; /* the same, by their reason */
    unsigned count;                        /* of CANDIDATES */
    BsTargetCandidate candidates[BS_TARGET_CANDIDATES_MAX]; /* eligible ones
                                                  first, then the cheapest */
} BsTargetExplanation;

/* Fills EXPLANATION with what BsTargets_Choose() would do for QUERY now. */
void BsTargets_Explain(BsTargets *targets, const BsTargetQuery *query,
                       int64_t now_ms, BsTargetExplanation *explanation);

/* Returns the name of REASON in explanations. */
const char *BsTargetReason_Name(BsTargetReason reason);

#endif /* BS_TARGETEXPLAIN_H */
