/*
 * upstream.h - what this owner knows of one upstream, and what it may bear.
 *
 * Rules: requests and tokens in flight are counted here exactly; the limit
 * never exceeds what the upstream publishes, falls fast when answers slow
 * down and rises slowly; unknown counts as cold; a cold upstream stays within
 * the sheet's cold-start limit until an answer showed that it works, then
 * ramps; load reports can lower the limit but never raise it.
 */
#ifndef BS_UPSTREAM_H
#define BS_UPSTREAM_H

#include "prefix.h"
#include "sheet.h"
#include "speed.h"
#include "work.h"

typedef enum {
    BS_WARMTH_COLD = 0, /* just listed, restarted, or not known */
    BS_WARMTH_RAMP,     /* limit grows to the full one */
    BS_WARMTH_WARM
} BsWarmth;

struct BsUpstream {
    char *name;
    char *generation;    /* of an engine; NULL for a service */
    char *boot_id;       /* last reported, or NULL */
    char *loaded;        /* last reported, or NULL */
    GHashTable *running; /* set of BsWork */
    BsPrefixes *prefixes;
    BsSpeed speed;
    BsWork *reserved; /* waits to run alone here, or NULL */
    BsWarmth warmth;
    double limit;               /* adaptive, in requests */
    int64_t changed_ms;         /* last change of the adaptive limit */
    int64_t cold_ms;            /* became cold */
    int64_t ramp_ms;            /* ramp began */
    int64_t suspended_ms;       /* gets nothing before */
    int64_t last_ms;            /* newest piece of any answer */
    int64_t lost_ms;            /* another instance became its owner, or 0 */
    GHashTable *foreign;        /* last owners to BsInFlight told */
    int64_t foreign_ms;         /* first telling of the newest of them */
    uint32_t reported;          /* running and waiting, last report */
    uint32_t own_when_reported; /* running for this instance then */
    uint32_t slots;             /* published, never 0 */
    uint32_t tokens;            /* published, never 0 */
    uint32_t tokens_in_flight;
    uint32_t prefill_tokens; /* in flight without a first token */
    uint32_t failures;       /* in a row */
    uint32_t lost_hits;      /* expected cache hits missed, in a row */
    bool hits_seen;          /* it reports cache hits */
    bool reachable;
    bool open;      /* by list and sheet */
    bool permitted; /* this instance may dispatch to it now */
    bool straggling;
};

/* Creates a cold upstream for ENTRY of the instance list. */
BsUpstream *BsUpstream_Create(const BsListEntry *entry, int64_t now_ms);

/* Frees UPSTREAM; NULL is allowed. */
void BsUpstream_Destroy(BsUpstream *upstream);

/* Takes the published limits; CONCURRENCY bounds them, 0 is no bound. */
void BsUpstream_Update(BsUpstream *upstream, const BsListEntry *entry,
                       uint32_t concurrency);

/* Makes UPSTREAM cold; its cache is taken as lost. */
void BsUpstream_TurnCold(BsUpstream *upstream, int64_t now_ms);

/* Starts UPSTREAM half way up the ramp: a predecessor knew it as warm. */
void BsUpstream_Resume(BsUpstream *upstream, const BsColdStart *cold,
                       int64_t now_ms);

/* Takes what INSTANCE, an owner before, has in flight; repeats replace. */
void BsUpstream_OnForeign(BsUpstream *upstream, const char *instance,
                          const BsInFlight *told, int64_t now_ms);

/* Sets the requests and tokens that may be in flight now. */
void BsUpstream_Limit(const BsUpstream *upstream, const BsColdStart *cold,
                      int64_t now_ms, uint32_t *requests, uint32_t *tokens);

/* Sets the requests and tokens in flight, those of the last owner too. */
void BsUpstream_InFlight(const BsUpstream *upstream, int64_t now_ms,
                         uint32_t *requests, uint32_t *tokens);

/* Returns the tokens WORK would add: prompt not cached and output. */
uint32_t BsUpstream_Cost(const BsUpstream *upstream, const BsWork *work);

/* Returns whether the upstream reported VERSION, as model@version, among its
   loaded ones; true when either is unknown. */
bool BsUpstream_HasLoaded(const BsUpstream *upstream, const char *version);

/* Returns whether the upstream may get any new work now. */
bool BsUpstream_IsAvailable(const BsUpstream *upstream, int64_t now_ms);

/* Returns whether WORK may be dispatched now. */
bool BsUpstream_Fits(const BsUpstream *upstream, const BsWork *work,
                     const BsColdStart *cold, int64_t now_ms);

/* Returns whether WORK fits once nothing else runs. */
bool BsUpstream_FitsEmpty(const BsUpstream *upstream, const BsWork *work,
                          const BsColdStart *cold, int64_t now_ms);

/* Returns how long WORK would take from now on, 0 when unknown. */
int64_t BsUpstream_ExpectMs(const BsUpstream *upstream, const BsWork *work);

/* Counts WORK as dispatched. */
void BsUpstream_Start(BsUpstream *upstream, BsWork *work, int64_t now_ms);

/* Takes a piece of the answer to WORK. */
void BsUpstream_OnPiece(BsUpstream *upstream, BsWork *work,
                        const BsAnswer *answer, int64_t now_ms);

/* Counts WORK as no longer in flight. */
void BsUpstream_End(BsUpstream *upstream, BsWork *work);

/* Takes a load report. */
void BsUpstream_OnReport(BsUpstream *upstream, const BsReport *report,
                         int64_t now_ms);

/* Returns whether the next tick adapts the limit. */
bool BsUpstream_IsDue(const BsUpstream *upstream, int64_t now_ms);

/* Adapts the limit; REFERENCE_MS is the usual inter-token time of its
   hardware generation, 0 when unknown. */
void BsUpstream_OnTick(BsUpstream *upstream, const BsColdStart *cold,
                       double reference_ms, int64_t now_ms);

#endif /* BS_UPSTREAM_H */
