/*
 * hedge.h - early repeats (hedged requests): when a request that may run again
 * is also sent to a second upstream, because the first one takes longer than
 * nearly all others did.  See docs/design/early-repeats.md.
 *
 * Rules: an early repeat is sent at most once for a request, after the time
 * within which a high percentile of the route's recent answers began.  Their
 * number is a percentage of the requests of the service at this instance.
 * None is sent without enough recent samples, while slots are short, for a
 * content that may crash upstreams, or after the process was stopped for a
 * while.  A part of the retry budget stays free for failures.  The decisions
 * depend only on the earlier calls and on the time passed in.
 */
#ifndef BS_HEDGE_H
#define BS_HEDGE_H

#include "boragespur.h"
#include "quota.h"

/* Ranges and defaults of the settings. */
#define BS_HEDGE_PERCENT_MAX 20
#define BS_HEDGE_OCCUPANCY_PERCENT_MIN 1
#define BS_HEDGE_OCCUPANCY_PERCENT_MAX 100
#define BS_HEDGE_OCCUPANCY_PERCENT 70
#define BS_HEDGE_PERCENTILE_MIN 50
#define BS_HEDGE_PERCENTILE_MAX 99
#define BS_HEDGE_PERCENTILE 95

/* The operators' limits. */
typedef struct {
    uint32_t percent;           /* of the requests of a service; 0: off */
    uint32_t occupancy_percent; /* of the service's slots; none above it */
    uint32_t percentile;        /* of the times of a route's answers */
} BsHedgeLimits;

/* What a decision depends on besides the state of the module.  Times are
   milliseconds on one clock. */
typedef struct {
    const char *service;
    const char *route;
    uint64_t upstream;   /* hash of the first attempt's upstream */
    int64_t due_ms;      /* when the decision was due */
    int64_t expires_ms;  /* deadline of the answer */
    int64_t received_ms; /* last byte of any answer of the upstream */
    int64_t hold_ms;     /* longest time that both attempts may run; 0:
                            no limit */
    bool stopping;       /* the process is ending */
    bool overload;       /* BsOverload_Lasts() */
    bool suspect;        /* its content or a part of its prompt has crashed
                            an upstream */
    double occupancy;    /* BsTargets_Occupancy() */
    BsRetryBudgetState budget;
} BsHedgeRequest;

/* Whether to send an early repeat, or why not. */
typedef enum {
    BS_HEDGE_SEND = 0,
    BS_HEDGE_NO_SAMPLES, /* too few recent samples */
    BS_HEDGE_STALLED,    /* the process was stopped for a while */
    BS_HEDGE_STOPPING,
    BS_HEDGE_OVERLOAD,
    BS_HEDGE_QUEUED, /* requests of the service are queued here */
    BS_HEDGE_SUSPECT,
    BS_HEDGE_LIMIT,     /* the percentage of requests is used up */
    BS_HEDGE_DEADLINE,  /* it would usually come too late */
    BS_HEDGE_HOLD_TIME, /* both may not run for as long as it usually takes */
    BS_HEDGE_SILENT,    /* left to the rule for silent upstreams */
    BS_HEDGE_BUDGET,    /* the rest of the retry budget is for failures */
    BS_HEDGE_OCCUPANCY,
    BS_HEDGE_NO_SLOT, /* no other upstream of the region has a free slot */
    BS_HEDGE_VERDICTS
} BsHedgeVerdict;

typedef struct BsHedges BsHedges;

/* Creates the state for a process that sends no early repeats until
   BsHedges_SetLimits() allows them. */
BsHedges *BsHedges_Create(void);

/* Frees HEDGES; NULL is allowed. */
void BsHedges_Destroy(BsHedges *hedges);

/* Changes the limits; samples and counts are kept. */
void BsHedges_SetLimits(BsHedges *hedges, const BsHedgeLimits *limits);

/* Returns whether early repeats are switched on. */
bool BsHedges_AreOn(const BsHedges *hedges);

/* Counts a new request for SERVICE. */
void BsHedges_AddRequest(BsHedges *hedges, const char *service);

/* Records that the answer to a first attempt on ROUTE began TOOK_MS after it
   was sent, or that it was cancelled then without one.  Early repeats are not
   recorded: each request counts once, or the delay would shrink with each of
   them. */
void BsHedges_Observe(BsHedges *hedges, const char *route, int64_t took_ms,
                      int64_t now_ms);

/* Returns how long after it was sent a request on ROUTE may be repeated early;
   0: not at all, there are too few recent samples. */
int64_t BsHedges_DelayMs(BsHedges *hedges, const char *route, int64_t now_ms);

/* Records that a request of SERVICE is queued, or is so no longer. */
void BsHedges_EnterQueue(BsHedges *hedges, const char *service);
void BsHedges_LeaveQueue(BsHedges *hedges, const char *service);

/* Records that an early repeat gave the answer instead of UPSTREAM (its hash),
   from which the last byte of any answer arrived at RECEIVED_MS. */
void BsHedges_NoteReplaced(BsHedges *hedges, uint64_t upstream,
                           int64_t received_ms, int64_t now_ms);

/* Returns whether an early repeat may be sent now, apart from the choice of an
   upstream; changes no counts. */
BsHedgeVerdict BsHedges_Decide(BsHedges *hedges, const BsHedgeRequest *request,
                               int64_t now_ms);

/* Counts an early repeat of a request for SERVICE that is sent. */
void BsHedges_Take(BsHedges *hedges, const char *service);

/* Returns the name of VERDICT in metrics. */
const char *BsHedgeVerdict_Name(BsHedgeVerdict verdict);

/* Returns whether the first of two attempts without an event is kept when both
   may not run any longer, rather than the early repeat.  An upstream is
   reachable if it has sent something, to any request, since it got this
   one. */
bool BsHedge_KeepsFirst(bool first_reachable, bool second_reachable);

#endif /* BS_HEDGE_H */
