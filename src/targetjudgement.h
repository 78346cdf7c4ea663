/*
 * targetjudgement.h - why the choice of an upstream takes or leaves one: a
 * reason and the parts of its cost.
 *
 * Rules: the choice itself goes by these values, so what an explanation shows
 * is what decides.
 */
#ifndef BS_TARGETJUDGEMENT_H
#define BS_TARGETJUDGEMENT_H

/* Why a target cannot take a request, in the order of the checks. */
typedef enum {
    BS_TARGET_ELIGIBLE = 0,
    BS_TARGET_OTHER_PASS,     /* its load is an estimate, and those with a
                                 known load are considered, or the reverse */
    BS_TARGET_NOT_SAMPLED,    /* not in the sample that is considered now */
    BS_TARGET_LEAVING,        /* draining or shutting down */
    BS_TARGET_UNLISTED,       /* removed from the list */
    BS_TARGET_REGION_UNKNOWN, /* its data centre belongs to no region */
    BS_TARGET_CLOSED,         /* its data centre takes no new work */
    BS_TARGET_EXCLUDED,       /* the query excludes it */
    BS_TARGET_OTHER_VERSION,  /* not the software version of the query */
    BS_TARGET_OTHER_REGION,   /* the route or account disallows its region */
    BS_TARGET_QUIET,          /* has sent nothing since the query's time */
    BS_TARGET_PAUSE_REQUESTED,
    BS_TARGET_PAUSED,     /* after a failure or refusal */
    BS_TARGET_PROBED,     /* has failed, and its one probe is in progress */
    BS_TARGET_OWN_ENOUGH, /* its load is an estimate, and this instance has
                             its part of the requests there */
    BS_TARGET_FULL,
    BS_TARGET_RESERVED,      /* its free slots are kept free */
    BS_TARGET_COLD_LIMITED,  /* by the limit of its service for cold ones */
    BS_TARGET_NAMED_LIMITED, /* by the limit that it named */
    BS_TARGET_NO_ALLOWANCE,  /* the allowance of its data centre, whose load
                                is an estimate, is used up */
    BS_TARGET_REASONS        /* number of the reasons */
} BsTargetReason;

/* The parts of the cost of a request at a target, in milliseconds. */
typedef struct {
    double work_ms;        /* of an engine: prompts to process, and output */
    double load_ms;        /* requests in progress; without an engine, with
                              this one */
    double error_ms;       /* errors beyond those of the best target */
    double distance_ms;    /* other data centre or region */
    double cold_ms;        /* cold target */
    double limit_check_ms; /* below 0: a limit is to be checked */
    double jitter_ms;      /* pseudorandom */
} BsTargetCost;

typedef struct {
    BsTargetReason reason;
    BsTargetCost cost;
} BsTargetJudgement;

/* Returns the cost by which targets are compared; the lowest is chosen. */
static inline double
BsTargetCost_Sum(const BsTargetCost *cost)
{
    return cost->work_ms + cost->load_ms + cost->error_ms + cost->distance_ms +
           cost->cold_ms + cost->limit_check_ms + cost->jitter_ms;
}

#endif /* BS_TARGETJUDGEMENT_H */
