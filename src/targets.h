/*
 * targets.h - the upstreams an instance may send to, and the choice of one.
 *
 * Rules: a target gets new work only while it is listed, open and considered
 * reachable.  Whether it is full depends on the requests of all instances
 * together, as far as the peers have reported theirs.  A cold target gets no
 * more requests than its service can handle while cold, summed over the
 * fleet; while some instances are unreachable, the reachable ones together use
 * only their share of that limit.  The choice depends only on the earlier
 * calls and on the time passed in.
 */
#ifndef BS_TARGETS_H
#define BS_TARGETS_H

#include "catalog.h"
#include "ejection.h"
#include "sharedrate.h"
#include "spill.h"

#include <netinet/in.h>

/* Longest pause an upstream can request.  A longer value is taken for a
   mistake and cut to this. */
#define BS_TARGET_REQUESTED_PAUSE_MAX_MS 600000

/* An upstream as listed by the platform. */
typedef struct {
    const char *id;
    const char *service;
    const char *data_centre;
    const char *region;  /* NULL when the data centre is unknown */
    const char *version; /* of its software; NULL as "" */
    struct sockaddr_in address;
    uint32_t slots;   /* requests that it runs at once */
    int64_t born_ms;  /* Unix time of its start; 0: not reported */
    int64_t sequence; /* increases with each report since its start */
    int64_t cold_ms;  /* remaining time until it is warm */
    bool draining;
} BsTargetEntry;

/* The limit that an upstream named, as an instance knows it. */
typedef struct {
    double per_s;     /* requests a second from all instances; 0: none */
    uint32_t version; /* increases with what answers say, at any instance;
                         0: no answer has named a limit */
    int64_t told_ms;  /* when VERSION last increased */
    int64_t since_ms; /* when PER_S last changed */
    bool invalid;     /* the last answer named an invalid one */
    int64_t reported_until_ms; /* reported to peers until then, even if it has
                                  ended */
    BsRateBucket bucket;       /* requests allowed by this instance's part */
} BsTargetLimit;

/* Most limits in one report. */
#define BS_LIMIT_RECORDS_MAX 20

/* What an instance knows about a limit, for other instances.  Of two records
   of one start of an upstream that with the higher version holds; of the same
   version, the lower limit. */
typedef struct {
    uint64_t hash;    /* BsTargets_Hash() of the upstream's id */
    uint64_t born_ms; /* Unix time of its start */
    uint32_t version;
    uint32_t per_s_milli; /* thousandths of a request a second; 0: none */
} BsLimitRecord;

/* What an instance knows about an upstream; read-only outside this module. */
typedef struct {
    char *id;
    char *service;
    char *data_centre;
    char *region;
    char *version;         /* of its software; "" when not listed */
    uint64_t version_hash; /* BsStreamVersions_Hash() of VERSION */
    struct sockaddr_in address;
    uint64_t hash;
    uint32_t slots;
    int64_t born_ms;
    int64_t sequence;
    int64_t cold_until_ms;        /* the latest of the following three */
    int64_t listed_cold_until_ms; /* by the list and its own answers */
    int64_t down_cold_until_ms;   /* since it was down, whatever the list says;
                                     INT64_MAX until it answers */
    int64_t silent_cold_until_ms; /* since a silence, whatever the list
                                     says */
    int64_t cold_ms;              /* warm-up time after a start */
    bool was_down;                /* considered down since its last answer */
    int64_t usable_until_ms; /* usable until then although removed from the
                           list; INT64_MAX while listed */
    bool local;              /* in this instance's data centre */
    bool same_region;        /* in this instance's region */
    bool closed;             /* its data centre takes no new work */
    bool draining;           /* by the list */
    bool leaving;    /* by one of its own answers, until it starts again */
    uint32_t own;    /* requests of this instance in progress there */
    uint32_t others; /* requests of all peers in progress there */
    uint64_t own_waiting_tokens; /* prompt tokens of our requests there that
                                    have no first event yet */
    uint32_t cold_sent;       /* our requests sent in the latest cold period */
    BsRateBucket cold_bucket; /* requests allowed while cold */
    bool cold_began;          /* no request was asked for since it is cold */
    int64_t peer_cold_ms;     /* when a peer last reported a request to it as
                                 to a cold one */
    uint32_t failures;        /* consecutive */
    bool silent;              /* its last failure was a silence */
    uint32_t sent_since_failure; /* our requests since the last failure */
    int64_t failed_ms;           /* when it last failed */
    int64_t paused_ms;   /* when the last pause after a failure began */
    int64_t retry_at_ms; /* no request before this time, after a failure or
                            refusal */
    int64_t requested_pause_until_ms; /* no request before this time, as
                                         the target requested */
    BsTargetLimit limit;
    BsEjection ejection;
    BsRateRank sender_rank;       /* of this instance, for a shared rate */
    uint32_t sender_rank_version; /* of the senders that it was found for;
                                     0: none yet */
    int64_t last_received_ms; /* when the last byte of any answer arrived */
    double error_ratio;       /* moving average over recent answers */
    double pace_ms;           /* moving average of the time per event, or per
                                 whole answer; 0: unknown */
} BsTarget;

/* The request to choose a target for. */
typedef struct {
    const BsCatalogService *service;
    const BsCatalogRoute *route;
    const BsCatalogAccount *account; /* may be NULL */
    const char *const *excluded;     /* ids not to be chosen */
    size_t excluded_count;
    uint64_t session; /* hash of the last part of the prompt; 0: none */
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    uint64_t version;        /* only targets with this VERSION_HASH; 0: any */
    int64_t spoke_since_ms;  /* only targets that have sent something since
                                then; 0: all */
    uint32_t reserved_slots; /* slots to keep free at the target for other
                             requests; at most a third of its slots */
} BsTargetQuery;

/* Why no target was chosen. */
typedef enum {
    BS_TARGET_CHOSEN = 0,
    BS_TARGET_BUSY, /* at least one is full, paused or was not considered */
    BS_TARGET_COLD, /* all open ones are cold, or have named a limit, and take
                       no more from this instance */
    BS_TARGET_NONE  /* none is listed, open and allowed */
} BsTargetVerdict;

/* How a request at a target ended; updates the target's health. */
typedef enum {
    BS_TARGET_GOOD,        /* complete answer */
    BS_TARGET_ERROR,       /* the target answered with an error */
    BS_TARGET_REFUSED,     /* the target was full */
    BS_TARGET_MISDIRECTED, /* another upstream has the target's address */
    BS_TARGET_UNREACHED,   /* the connection failed */
    BS_TARGET_INCOMPLETE,  /* the connection closed before the answer was
                         complete, or nothing arrived in time */
    BS_TARGET_ABANDONED    /* this instance ended it; no effect on health */
} BsTargetEnd;

/* A peer's requests at an upstream. */
typedef struct {
    uint64_t hash; /* BsTargets_Hash() of the id */
    uint32_t in_flight;
    uint32_t cold_sent; /* requests sent in the latest cold period */
} BsTargetLoad;

typedef struct BsTargets BsTargets;

/* Creates an empty table for an instance in DATA_CENTRE of REGION. */
BsTargets *BsTargets_Create(const char *data_centre, const char *region);

/* Frees TARGETS; NULL is allowed. */
void BsTargets_Destroy(BsTargets *targets);

/* Returns the hash that identifies the upstream ID in messages between
   instances. */
uint64_t BsTargets_Hash(const char *id);

/* Adds or updates a listed entry.  A changed start time resets what was
   learned about the target; an entry from an earlier start or report than the
   known one was written late and is ignored.  Returns whether the target was
   unknown. */
bool BsTargets_Put(BsTargets *targets, const BsTargetEntry *entry,
                   int64_t now_ms);

/* Removes the target ID from the list.  It stays usable for KEEP_MS more
   unless another upstream turns out to have its address.  Requests in progress
   continue.  Returns whether it was listed. */
bool BsTargets_Remove(BsTargets *targets, const char *id, int64_t keep_ms,
                      int64_t now_ms);

/* Frees the targets that were removed from the list, are no longer usable and
   have no request of ours. */
void BsTargets_Prune(BsTargets *targets, int64_t now_ms);

/* Sets whether a data centre is closed for new work. */
void BsTargets_SetClosed(BsTargets *targets, const char *data_centre,
                         bool closed);

/* Returns the target ID, or NULL. */
BsTarget *BsTargets_Find(const BsTargets *targets, const char *id);

/* Returns how many targets are listed. */
unsigned BsTargets_Listed(const BsTargets *targets);

/* Calls FUNC for each target, listed or still in use. */
void BsTargets_Each(const BsTargets *targets,
                    void (*func)(const BsTarget *target, void *context),
                    void *context);

/* Sets the fraction of the cold limits that the reachable instances may use
   together, above 0 and at most 1; see BsGossip_Share(). */
void BsTargets_SetShare(BsTargets *targets, double share);

/* Sets the address of this instance and the instances that are reachable now,
   this one included; SENDERS holds BsRateSender and is copied. */
void BsTargets_SetSenders(BsTargets *targets, uint32_t address,
                          const GArray *senders);

/* Sets the number of instances in the fleet, this one included. */
void BsTargets_SetInstances(BsTargets *targets, unsigned instances);

/* Sets when requests go to other data centres although an upstream of the own
   one has a free slot (spill.h); never by default. */
void BsTargets_SetSpill(BsTargets *targets, const BsSpillLimits *limits);

/* Returns whether the latest choice took TARGET by these limits. */
bool BsTargets_HasSpilled(const BsTargets *targets, const BsTarget *target);

/* Sets the age of the counts received from instances of other data centres,
   in milliseconds. */
void BsTargets_SetRemoteAge(BsTargets *targets, int64_t age_ms);

/* Returns the target for QUERY, or NULL with the reason in VERDICT. */
BsTarget *BsTargets_Choose(BsTargets *targets, const BsTargetQuery *query,
                           int64_t now_ms, BsTargetVerdict *verdict);

/* Returns for how many milliseconds all targets that QUERY allows have
   requested a pause; 0 when one of them has not, or there is none. */
int64_t BsTargets_RequestedPauseMs(const BsTargets *targets,
                                   const BsTargetQuery *query, int64_t now_ms);

/* Returns whether all targets that QUERY allows are silent, and there are
   some. */
bool BsTargets_AreAllSilent(const BsTargets *targets,
                            const BsTargetQuery *query, int64_t now_ms);

/* Returns the share of the slots of SERVICE that are in use, 0 to 1 (1 when
   there are none), and the number of slots in SLOTS.  Free slots of upstreams
   that have named a limit do not count. */
double BsTargets_Occupancy(const BsTargets *targets, const char *service,
                           int64_t now_ms, uint32_t *slots);

/* Notes that a request was sent to TARGET. */
void BsTargets_Sent(BsTargets *targets, BsTarget *target,
                    const BsTargetQuery *query, int64_t now_ms);

/* Notes that bytes from TARGET arrived. */
void BsTargets_NoteReceived(BsTarget *target, int64_t now_ms);

/* Notes that the first event or byte of the answer to a request of
   PROMPT_TOKENS arrived. */
void BsTargets_Started(BsTarget *target, uint32_t prompt_tokens);

/* Notes that TARGET has sent nothing for too long for a request, sent at
   SENT_MS, which goes on there.  REACHABLE tells whether it sent something
   else meanwhile.  Returns the milliseconds for which it gets no requests
   because of this; 0: no new pause, as for a request that was sent before the
   last pause began, which shows the same silence. */
int64_t BsTargets_NoteSilent(BsTarget *target, int64_t sent_ms, bool reachable,
                             int64_t now_ms);

/* Notes that TARGET goes on with a request, sent at SENT_MS, for which it was
   silent: it gets requests again.  It was not down if the request was sent
   before the last pause began. */
void BsTargets_NoteResumed(BsTarget *target, int64_t sent_ms, int64_t now_ms);

/* Notes the end of a request.  PACE_MS is the time per event, or for the whole
   answer; 0: unknown.  PROMPT_TOKENS are those of a request without a first
   event; pass 0 after BsTargets_Started().  TARGET may be freed.  Returns the
   milliseconds for which TARGET gets no requests because of this end; 0: no
   new pause. */
int64_t BsTargets_Ended(BsTargets *targets, BsTarget *target, BsTargetEnd end,
                        double pace_ms, uint32_t prompt_tokens,
                        int64_t now_ms);

/* Notes that TARGET stays cold for COLD_MS more, by the list or one of its
   answers; 0 or less: it is warm, unless it failed since its start. */
void BsTargets_SetCold(BsTarget *target, int64_t cold_ms, int64_t now_ms);

/* Notes that TARGET reported that it is shutting down.  It gets no new
   requests until it has started again, whatever the list says. */
void BsTargets_SetLeaving(BsTargets *targets, BsTarget *target);

/* Notes that TARGET requested a pause of PAUSE_MS, which is cut to
   BS_TARGET_REQUESTED_PAUSE_MAX_MS.  A pause that ends before the present one
   has no effect. */
void BsTargets_SetRequestedPause(BsTarget *target, int64_t pause_ms,
                                 int64_t now_ms);

/* Notes that an answer to a request that was sent at SENT_MS named the limit
   PER_S (requests a second), or 0: none.  Such an answer ends a limit only if
   the request was sent after the limit was last named: an older one may
   overtake it.  Returns whether the limit changed. */
bool BsTargets_NoteLimit(BsTarget *target, double per_s, int64_t sent_ms,
                         int64_t now_ms);

/* Sets how many requests a second an ejected upstream gets from all instances
   together, to find out whether it has recovered; 0: none is ejected. */
void BsTargets_SetProbeRate(BsTargets *targets, double per_s);

/* Notes that TARGET answered a request, and whether the answer is an error.
   Returns whether TARGET is ejected now: it counts as if it had named the
   limit BsTargets_SetProbeRate(), which ends with its next sound answer. */
bool BsTargets_NoteAnswer(BsTargets *targets, BsTarget *target, bool failed,
                          int64_t now_ms);

/* Appends limits (BsLimitRecord) to report to other instances: those that
   changed lately, and some of the rest in turn. */
void BsTargets_AppendLimits(BsTargets *targets, int64_t now_ms,
                            GArray *records);

/* Called for each limit that changes, with the one before. */
typedef void (*BsLimitChangeFunc)(const BsTarget *target,
                                  const BsTargetLimit *before, void *context);

/* Applies limits (BsLimitRecord) that another instance reported. */
void BsTargets_MergeLimits(BsTargets *targets, const GArray *records,
                           int64_t now_ms, BsLimitChangeFunc on_change,
                           void *context);

/* Returns for how many milliseconds the limits of all targets that QUERY
   allows keep this instance from sending: 0 when one of them names none, or
   there is none; INT64_MAX when this instance has no part of any limit. */
int64_t BsTargets_LimitWaitMs(BsTargets *targets, const BsTargetQuery *query,
                              int64_t now_ms);

/* Returns how many upstreams have named a limit that lasts. */
unsigned BsTargets_CountLimits(const BsTargets *targets);

/* Replaces the loads that PEER reported; LOADS holds BsTargetLoad and is
   copied. */
void BsTargets_SetPeer(BsTargets *targets, uint32_t peer, const GArray *loads,
                       int64_t now_ms);

/* Removes the loads that PEER reported. */
void BsTargets_DropPeer(BsTargets *targets, uint32_t peer);

/* Removes the loads that all peers reported. */
void BsTargets_DropPeers(BsTargets *targets);

/* Sets the sums that a hub reported of the other instances' loads.  LOADS
   holds the BsTargetLoad of the upstreams that changed, with hashes cut to
   their lower 32 bits. */
void BsTargets_SetFleet(BsTargets *targets, const GArray *loads,
                        int64_t now_ms);

/* Returns the number of requests in progress of all peers together. */
uint32_t BsTargets_PeerLoad(const BsTargets *targets);

/* Appends the loads of this instance to LOADS, as BsTargetLoad. */
void BsTargets_AppendLoads(BsTargets *targets, int64_t now_ms, GArray *loads);

#endif /* BS_TARGETS_H */
