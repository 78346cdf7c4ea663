/*
 * targets.h - the upstreams an instance may send to, and the choice of one.
 *
 * Rules: a target gets new work only while it is listed, open and believed to
 * answer; what counts as full is the work of all instances together, as far
 * as they have told theirs.  A cold target gets no more than its service
 * bears while cold, summed over the fleet; an instance that cannot hear some
 * of its peers uses no more than its share.  The choice is a function of what
 * was told before and of the time given.
 */
#ifndef BS_TARGETS_H
#define BS_TARGETS_H

#include "catalog.h"

#include <netinet/in.h>

/* Longest time for which an upstream may ask for nothing: beyond it, its word
   is taken for a mistake. */
#define BS_TARGET_QUIET_MAX_MS 600000

/* An upstream as the platform lists it. */
typedef struct {
    const char *id;
    const char *service;
    const char *data_centre;
    const char *region; /* NULL when the data centre is unknown */
    struct sockaddr_in address;
    uint32_t slots;   /* requests that it runs at once */
    int64_t born_ms;  /* Unix time of its start; 0 when not told */
    int64_t sequence; /* grows with each report since its start */
    int64_t cold_ms;  /* how long it stays cold */
    bool draining;
} BsTargetEntry;

/* What an instance knows of an upstream; read only for callers. */
typedef struct {
    char *id;
    char *service;
    char *data_centre;
    char *region;
    struct sockaddr_in address;
    uint64_t hash;
    uint32_t slots;
    int64_t born_ms;
    int64_t sequence;
    int64_t cold_until_ms;
    int64_t cold_ms;    /* how long a start of it takes to full speed */
    bool was_down;      /* took no connection since it last answered */
    int64_t gone_at_ms; /* removed from the list but still in use until then;
                           INT64_MAX when listed */
    bool near;          /* in the own data centre */
    bool home;          /* in the own region */
    bool closed;        /* its data centre takes no new work */
    bool draining;
    bool leaving;    /* an answer of it said so; until its next start */
    uint32_t own;    /* our requests there */
    uint32_t others; /* the peers' requests there */
    uint64_t own_waiting_tokens; /* prompts of ours without a first event */
    uint32_t cold_sent;          /* our requests sent while it was cold */
    double cold_level;           /* requests it may still get now while cold */
    int64_t cold_filled_ms;
    uint32_t failures;      /* in a row */
    int64_t retry_at_ms;    /* no work before, after failures */
    int64_t quiet_until_ms; /* no work before, as it asked for */
    int64_t heard_ms;       /* last byte of any answer */
    double error_ratio;     /* of recent answers */
    double pace_ms;         /* recent time an event or answer takes; 0: none */
} BsTarget;

/* What is to be sent. */
typedef struct {
    const BsCatalogService *service;
    const BsCatalogRoute *route;
    const BsCatalogAccount *account; /* may be NULL */
    const char *const *excluded;     /* ids not to be chosen */
    size_t excluded_count;
    uint64_t session; /* hash of the last part of the prompt; 0: none */
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    uint32_t places_left; /* to stay free for others, of a third at most */
} BsTargetQuery;

/* Why no target was chosen. */
typedef enum {
    BS_TARGET_CHOSEN = 0,
    BS_TARGET_BUSY, /* places are taken, or will be tried again soon */
    BS_TARGET_COLD, /* only cold ones are left and have had their share */
    BS_TARGET_NONE  /* none is listed, open and allowed */
} BsTargetVerdict;

/* How a request at a target ended, for the belief about the target. */
typedef enum {
    BS_TARGET_GOOD,        /* whole answer */
    BS_TARGET_ERROR,       /* its own failure */
    BS_TARGET_REFUSED,     /* it was full */
    BS_TARGET_MISDIRECTED, /* another upstream has its address */
    BS_TARGET_UNREACHED,   /* no connection */
    BS_TARGET_BROKE,       /* broke off, or said nothing in time */
    BS_TARGET_ABANDONED    /* we ended it; says nothing */
} BsTargetEnd;

/* A peer's requests at an upstream. */
typedef struct {
    uint64_t hash; /* BsTargets_Hash() of the id */
    uint32_t in_flight;
    uint32_t cold_sent; /* sent to it while cold, since the peer's start */
} BsTargetLoad;

/* An instance of the fleet, as far as this one hears it. */
typedef struct {
    uint32_t address;
    uint32_t data_centre; /* hash of the name, cut to its lower half */
} BsTargetSender;

typedef struct BsTargets BsTargets;

/* Creates an empty table for an instance in DATA_CENTRE of REGION. */
BsTargets *BsTargets_Create(const char *data_centre, const char *region);

/* Frees TARGETS; NULL is allowed. */
void BsTargets_Destroy(BsTargets *targets);

/* Returns the hash that names the upstream ID between instances. */
uint64_t BsTargets_Hash(const char *id);

/* Takes in a listed entry.  One with a newer start has forgotten everything;
   one of an earlier start or report is ignored, as it was written late.
   Returns whether it is new here. */
bool BsTargets_Put(BsTargets *targets, const BsTargetEntry *entry,
                   int64_t now_ms);

/* Takes an entry off the list.  It stays in use for KEEP_MS more, as long as
   it answers.  Requests in progress go on.  Returns whether it was listed. */
bool BsTargets_Remove(BsTargets *targets, const char *id, int64_t keep_ms,
                      int64_t now_ms);

/* Drops targets that are off the list and have no request of ours. */
void BsTargets_Prune(BsTargets *targets, int64_t now_ms);

/* Opens or closes a data centre for new work. */
void BsTargets_SetClosed(BsTargets *targets, const char *data_centre,
                         bool closed);

/* Returns the target ID, or NULL. */
BsTarget *BsTargets_Find(const BsTargets *targets, const char *id);

/* Returns how many targets are listed. */
unsigned BsTargets_Listed(const BsTargets *targets);

/* Sets which part of shared limits this instance may use, above 0 and at most
   1; 1 while all peers are heard. */
void BsTargets_SetShare(BsTargets *targets, double share);

/* Sets the instances that are heard now, this one, at ADDRESS, too; SENDERS
   holds BsTargetSender. */
void BsTargets_SetSenders(BsTargets *targets, uint32_t address,
                          const GArray *senders);

/* Sets how many instances the fleet has, this one too. */
void BsTargets_SetInstances(BsTargets *targets, unsigned instances);

/* Sets how old the counts of other data centres' instances are. */
void BsTargets_SetFarAge(BsTargets *targets, int64_t age_ms);

/* Chooses the target for QUERY, or NULL with VERDICT set. */
BsTarget *BsTargets_Choose(BsTargets *targets, const BsTargetQuery *query,
                           int64_t now_ms, BsTargetVerdict *verdict);

/* Returns how long all targets that QUERY allows want nothing from this
   instance; 0 when one of them takes work or there is none. */
int64_t BsTargets_QuietMs(const BsTargets *targets, const BsTargetQuery *query,
                          int64_t now_ms);

/* Returns the share of places that are taken at SERVICE, 0 to 1, and the
   number of places in PLACES. */
double BsTargets_Occupancy(const BsTargets *targets, const char *service,
                           int64_t now_ms, uint32_t *places);

/* Notes that a request was sent to TARGET. */
void BsTargets_Sent(BsTargets *targets, BsTarget *target,
                    const BsTargetQuery *query, int64_t now_ms);

/* Notes that TARGET sent something. */
void BsTargets_Heard(BsTarget *target, int64_t now_ms);

/* Notes the first event or byte of the answer to a request of
   PROMPT_TOKENS. */
void BsTargets_Started(BsTarget *target, uint32_t prompt_tokens);

/* Notes the end of a request.  PACE_MS is the time that an event or the whole
   answer took, 0 when unknown.  A request without a first event still counts
   its PROMPT_TOKENS; pass 0 after BsTargets_Started().  TARGET may be freed.
   Returns for how long it gets nothing because of this end; 0: it goes on. */
int64_t BsTargets_Ended(BsTargets *targets, BsTarget *target, BsTargetEnd end,
                        double pace_ms, uint32_t prompt_tokens,
                        int64_t now_ms);

/* Notes that TARGET says it stays cold for COLD_MS. */
void BsTargets_SetCold(BsTarget *target, int64_t cold_ms, int64_t now_ms);

/* Notes that TARGET says it is leaving.  It gets nothing new until it has
   started again, also when the list says otherwise. */
void BsTargets_SetLeaving(BsTargets *targets, BsTarget *target);

/* Notes that TARGET wants nothing from this instance for QUIET_MS, which is
   cut to BS_TARGET_QUIET_MAX_MS; a shorter time than before changes
   nothing. */
void BsTargets_SetQuiet(BsTarget *target, int64_t quiet_ms, int64_t now_ms);

/* Replaces what PEER told of its requests; LOADS holds BsTargetLoad. */
void BsTargets_SetPeer(BsTargets *targets, uint32_t peer, const GArray *loads,
                       int64_t now_ms);

/* Forgets what PEER told. */
void BsTargets_DropPeer(BsTargets *targets, uint32_t peer);

/* Forgets what all peers told. */
void BsTargets_DropPeers(BsTargets *targets);

/* Sets what the rest of the fleet has at upstreams, as a hub tells it: LOADS
   holds BsTargetLoad of those that changed, hashes cut to 32 bits. */
void BsTargets_SetFleet(BsTargets *targets, const GArray *loads,
                        int64_t now_ms);

/* Returns the requests of all peers together. */
uint32_t BsTargets_PeerLoad(const BsTargets *targets);

/* Appends our own requests as BsTargetLoad. */
void BsTargets_AppendLoads(BsTargets *targets, int64_t now_ms, GArray *loads);

#endif /* BS_TARGETS_H */
