/*
 * upstream.h - the owner's state of one upstream and its adaptive limit.
 *
 * Rules: the owner counts its requests and tokens in flight exactly; the limit
 * never exceeds the published one, falls fast when answers slow down and rises
 * slowly; an upstream of unknown state counts as cold; a cold upstream stays
 * within the sheet's cold-start limit until an answer shows that it works,
 * then its limit ramps up; load reports can lower the limit but never raise
 * it.
 */
#ifndef BS_UPSTREAM_H
#define BS_UPSTREAM_H

#include "prefix.h"
#include "sheet.h"
#include "speed.h"
#include "work.h"

typedef enum {
    BS_WARMTH_COLD = 0, /* newly listed, restarted, or of unknown state */
    BS_WARMTH_RAMP,     /* the limit grows to the full one */
    BS_WARMTH_WARM
} BsWarmth;

struct BsUpstream {
    char *name;
    char *generation;    /* of an engine; NULL for a service */
    char *boot_id;       /* last reported, or NULL */
    char *loaded;        /* last reported, or NULL */
    char *loading;       /* model@version that it was ordered to load and has
                            not reported since, or NULL */
    GHashTable *running; /* set of BsWork */
    BsPrefixes *prefixes;
    BsSpeed speed;
    BsWork *reserved; /* queued to run alone here, or NULL */
    BsWarmth warmth;
    double limit;               /* adaptive, in requests */
    int64_t changed_ms;         /* last change of the adaptive limit */
    int64_t cold_ms;            /* when it became cold */
    int64_t ramp_ms;            /* when the ramp started */
    int64_t suspended_ms;       /* no dispatch before this time */
    int64_t last_ms;            /* last piece of any answer */
    int64_t reported_ms;        /* time that LOADED describes, 0 if none */
    int64_t polled_ms;          /* last request for a report, 0 if none */
    int64_t uncertain_ms;       /* last failure or order; an older report may
                                   no longer tell what is loaded */
    int64_t lost_ms;            /* when another instance became owner, or 0 */
    GHashTable *foreign;        /* previous owner to its reported BsInFlight */
    int64_t foreign_ms;         /* when the newest of them first reported */
    uint32_t reported;          /* running and queued, by the last report */
    uint32_t own_when_reported; /* own requests in flight at that time */
    uint32_t slots;             /* published, never 0 */
    uint32_t tokens;            /* published, never 0 */
    uint32_t tokens_in_flight;
    uint32_t prefill_tokens; /* of requests without a first token yet */
    uint32_t failures;       /* consecutive */
    uint32_t lost_hits;      /* consecutive misses of expected cache hits */
    bool hits_seen;          /* it has reported a cache hit */
    bool reachable;
    bool heard;     /* a report was read since this instance is its owner */
    bool open;      /* according to instance list and sheet */
    bool permitted; /* this instance may dispatch to it now */
    bool straggling;
};

/* Creates a cold upstream for ENTRY of the instance list. */
BsUpstream *BsUpstream_Create(const BsListEntry *entry, int64_t now_ms);

/* Frees UPSTREAM; NULL is allowed. */
void BsUpstream_Destroy(BsUpstream *upstream);

/* Sets the limits that ENTRY publishes; CONCURRENCY bounds the slots, 0 means
   no bound. */
void BsUpstream_Update(BsUpstream *upstream, const BsListEntry *entry,
                       uint32_t concurrency);

/* Returns the most tokens that the upstream of ENTRY may have in flight;
   CONCURRENCY bounds its slots, 0 means no bound. */
uint32_t BsUpstream_TokensOf(const BsListEntry *entry, uint32_t concurrency);

/* Marks UPSTREAM as cold and its prompt cache as lost. */
void BsUpstream_TurnCold(BsUpstream *upstream, int64_t now_ms);

/* Starts UPSTREAM half way up the ramp, as its previous owner reported it
   warm. */
void BsUpstream_Resume(BsUpstream *upstream, const BsColdStart *cold,
                       int64_t now_ms);

/* Records what INSTANCE, a previous owner, has in flight; a later report
   replaces an earlier one. */
void BsUpstream_OnForeign(BsUpstream *upstream, const char *instance,
                          const BsInFlight *reported, int64_t now_ms);

/* Sets REQUESTS and TOKENS to the most that may be in flight now. */
void BsUpstream_Limit(const BsUpstream *upstream, const BsColdStart *cold,
                      int64_t now_ms, uint32_t *requests, uint32_t *tokens);

/* Sets REQUESTS and TOKENS to those in flight, including those of previous
   owners. */
void BsUpstream_InFlight(const BsUpstream *upstream, int64_t now_ms,
                         uint32_t *requests, uint32_t *tokens);

/* Returns the tokens that WORK would add: uncached prompt and output. */
uint32_t BsUpstream_Cost(const BsUpstream *upstream, const BsWork *work);

/* Returns whether the upstream reported VERSION (model@version) as loaded;
   true when VERSION or the loaded versions are unknown. */
bool BsUpstream_HasLoaded(const BsUpstream *upstream, const char *version);

/* Returns whether the upstream reported VERSION (model@version) as loaded;
   false when the loaded versions are unknown. */
bool BsUpstream_Reports(const BsUpstream *upstream, const char *version);

/* Returns the version (model@version) of MODEL that the upstream reported as
   loaded, NULL if there is none or more than one; g_free() it.  MODEL may be
   followed by '@' and a version, which are ignored. */
char *BsUpstream_OnlyVersion(const BsUpstream *upstream, const char *model);

/* Returns whether a stream that VERSION (model@version) began may go on at the
   upstream while the sheet asks for CURRENT, which may be NULL: it reported
   VERSION after its last failure and order.  While the sheet asks for another
   version, it must also have no other version of the model and must not be
   loading any: a request names no version, so the engine chooses. */
bool BsUpstream_Continues(const BsUpstream *upstream, const char *version,
                          const char *current);

/* Returns whether BsUpstream_Continues() may become true later, by the reports
   so far. */
bool BsUpstream_MayContinue(const BsUpstream *upstream, const char *version,
                            const char *current);

/* Records that the upstream was ordered to load LOADING (model@version), or
   to unload something when it is NULL. */
void BsUpstream_OnOrder(BsUpstream *upstream, const char *loading,
                        int64_t now_ms);

/* Records the models that REPORT lists as loaded; called by
   BsUpstream_OnReport(). */
void BsUpstream_OnLoaded(BsUpstream *upstream, const BsReport *report,
                         int64_t now_ms);

/* Forgets what is known of the versions that are loaded, as another instance
   may have ordered others. */
void BsUpstream_ForgetVersions(BsUpstream *upstream, int64_t now_ms);

/* Returns whether any new work may be dispatched to the upstream now. */
bool BsUpstream_IsAvailable(const BsUpstream *upstream, int64_t now_ms);

/* Returns whether WORK may be dispatched now. */
bool BsUpstream_Fits(const BsUpstream *upstream, const BsWork *work,
                     const BsColdStart *cold, int64_t now_ms);

/* Returns whether WORK would fit if nothing else were in flight. */
bool BsUpstream_FitsEmpty(const BsUpstream *upstream, const BsWork *work,
                          const BsColdStart *cold, int64_t now_ms);

/* Returns the expected duration of WORK in ms, 0 when unknown. */
int64_t BsUpstream_ExpectMs(const BsUpstream *upstream, const BsWork *work);

/* Records that WORK was dispatched. */
void BsUpstream_Start(BsUpstream *upstream, BsWork *work, int64_t now_ms);

/* Handles a piece of the answer to WORK. */
void BsUpstream_OnPiece(BsUpstream *upstream, BsWork *work,
                        const BsAnswer *answer, int64_t now_ms);

/* Records that WORK is no longer in flight. */
void BsUpstream_End(BsUpstream *upstream, BsWork *work);

/* Handles a load report. */
void BsUpstream_OnReport(BsUpstream *upstream, const BsReport *report,
                         int64_t now_ms);

/* Returns whether BsUpstream_OnTick() will adapt the limit. */
bool BsUpstream_IsDue(const BsUpstream *upstream, int64_t now_ms);

/* Updates the warmth and, when due, the limit.  REFERENCE_MS is the usual
   inter-token time of the upstream's hardware generation, 0 when unknown. */
void BsUpstream_OnTick(BsUpstream *upstream, const BsColdStart *cold,
                       double reference_ms, int64_t now_ms);

#endif /* BS_UPSTREAM_H */
