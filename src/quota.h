/*
 * quota.h - rate limits of accounts and retry budgets for the whole fleet.
 *
 * Rules: an account's limit is a token bucket.  Instances report their use to
 * each other, and each deducts the use of all of them from its copy of the
 * bucket.  While peers are unresponsive the reachable instances together use
 * only their share of the rate.  A request is admitted while the bucket is not
 * empty, so that a request within the limit is never refused for its size.
 * After a start or a pause, buckets begin with a credit only (fleetshare.h).
 * While slots are free, an account may also use a fraction of the tolerance
 * that the operators grant above its limit, which costs other accounts
 * nothing.
 * While an account is over its limit, a part of its bucket may be kept for its
 * more urgent requests.
 * Each instance has its own retry budget; together these stay well below the
 * fleet's bound.
 */
#ifndef BS_QUOTA_H
#define BS_QUOTA_H

#include "catalog.h"

/* Use by an account at one instance since that instance started, in requests
   or tokens. */
typedef struct {
    uint64_t hash; /* of the account's name */
    uint64_t used;
} BsQuotaUse;

/* Range of the part of a bucket that each rank leaves to more urgent ones. */
#define BS_QUOTA_URGENT_PERCENT_MAX 25

/* A request that asks for a part of its account's limit. */
typedef struct {
    uint64_t cost;
    uint32_t rank; /* of its route; 0 is the most urgent */
    bool tolerant; /* may use the tolerance, as slots are free */
} BsQuotaRequest;

typedef struct BsQuotas BsQuotas;

/* Creates limits with a tolerance above them of OVER times an account's limit
   plus SLACK requests or tokens in each of the operators' windows. */
BsQuotas *BsQuotas_Create(double over, double slack);

/* Changes the tolerance. */
void BsQuotas_SetTolerance(BsQuotas *quotas, double over, double slack);

/* Frees QUOTAS; NULL is allowed. */
void BsQuotas_Destroy(BsQuotas *quotas);

/* Sets when the process started; without it, the first time that is passed in
   counts.  A bucket fills from then on, beginning with a credit only, as the
   process before may have used the limit. */
void BsQuotas_SetStart(BsQuotas *quotas, int64_t started_ms);

/* Passes in the time, at least twice a second.  After a longer time the
   process was paused, and its buckets begin as at a start. */
void BsQuotas_Tick(BsQuotas *quotas, int64_t now_ms);

/* Sets the largest size of the fleet that may be true, by which credits are
   divided; see BsGossip_KnownAtMost(). */
void BsQuotas_SetInstances(BsQuotas *quotas, unsigned instances);

/* Keeps the bucket of ACCOUNT up to date although no request asks for it, so
   that the first one finds what is left of the limit. */
void BsQuotas_Track(BsQuotas *quotas, const BsCatalogAccount *account,
                    int64_t now_ms);

/* Sets the fraction of every limit that this instance and the peers whose use
   it deducts may use together, 0 to 1; see BsGossip_Share(). */
void BsQuotas_SetShare(BsQuotas *quotas, double share);

/* Returns the cost of a request of ACCOUNT: 1, or in tokens when the limit
   counts these: TOKENS if HAS_TOKENS, else the account's default. */
uint64_t BsQuotas_Cost(const BsCatalogAccount *account, bool has_tokens,
                       uint64_t tokens);

/* Takes COST from the bucket of ACCOUNT; TOLERANT allows the use of the
   tolerance, as slots are free.  Returns 0 when the request is admitted, else
   the milliseconds after which the caller may retry. */
int64_t BsQuotas_Take(BsQuotas *quotas, const BsCatalogAccount *account,
                      uint64_t cost, bool tolerant, int64_t now_ms);

/* Keeps PERCENT of an account's bucket, for each rank, for its requests of
   more urgent ranks, from a refusal of the account until none has been refused
   for two seconds; 0, the default: requests of all ranks are admitted alike.
 */
void BsQuotas_SetUrgent(BsQuotas *quotas, uint32_t percent);

/* As BsQuotas_Take(), for REQUEST; BsQuotas_Take() is for the most urgent
   rank. */
int64_t BsQuotas_TakeRanked(BsQuotas *quotas, const BsCatalogAccount *account,
                            const BsQuotaRequest *request, int64_t now_ms);

/* Returns what BsQuotas_TakeRanked() would return, and takes nothing. */
int64_t BsQuotas_PeekRanked(BsQuotas *quotas, const BsCatalogAccount *account,
                            const BsQuotaRequest *request, int64_t now_ms);

/* Returns what BsQuotas_Take() would return, and takes nothing. */
int64_t BsQuotas_Peek(BsQuotas *quotas, const BsCatalogAccount *account,
                      uint64_t cost, bool tolerant, int64_t now_ms);

/* Returns the level of the bucket of ACCOUNT; below 0 after overuse. */
int64_t BsQuotas_Left(BsQuotas *quotas, const BsCatalogAccount *account);

/* Returns the fraction that BsQuotas_SetShare() set; 1 before that. */
double BsQuotas_Share(const BsQuotas *quotas);

/* Refunds COST of a request that did not run. */
void BsQuotas_GiveBack(BsQuotas *quotas, const BsCatalogAccount *account,
                       uint64_t cost);

/* Deducts the use that PEER reports, totals since the start of INCARNATION;
   USES holds BsQuotaUse. */
void BsQuotas_SetPeer(BsQuotas *quotas, uint32_t peer, uint64_t incarnation,
                      const GArray *uses);

/* Deducts the use of the rest of the fleet that a hub reports.  USES holds
   BsQuotaUse with totals; only their growth is deducted, and the first total
   after a change of INCARNATION is the new baseline. */
void BsQuotas_SetFleet(BsQuotas *quotas, uint64_t incarnation,
                       const GArray *uses);

/* Appends this instance's own use as BsQuotaUse. */
void BsQuotas_AppendUses(const BsQuotas *quotas, GArray *uses);

typedef struct BsRetryBudget BsRetryBudget;

/* Creates a budget that allows the whole fleet RATIO retries per request plus
   SLACK retries in each WINDOW_MS, for each service; this instance uses its
   share.  The process started at STARTED_MS; in the first window after that it
   uses less, as the one before it may have used its own share. */
BsRetryBudget *BsRetryBudget_Create(double ratio, double slack,
                                    int64_t window_ms, int64_t started_ms);

/* Changes the bounds; requests and retries already counted stay counted. */
void BsRetryBudget_SetBounds(BsRetryBudget *budget, double ratio, double slack,
                             int64_t window_ms);

/* Frees BUDGET; NULL is allowed. */
void BsRetryBudget_Destroy(BsRetryBudget *budget);

/* Counts a new request for SERVICE. */
void BsRetryBudget_AddRequest(BsRetryBudget *budget, const char *service,
                              int64_t now_ms);

/* Returns whether one more retry may be sent to SERVICE, in a fleet of
   INSTANCES, and if so counts it as open.  An open retry counts until a whole
   window after BsRetryBudget_Settle(), as it is not known when it arrives. */
bool BsRetryBudget_Take(BsRetryBudget *budget, const char *service,
                        unsigned instances, int64_t now_ms);

/* Records that COUNT open retries to SERVICE have arrived by now. */
void BsRetryBudget_Settle(BsRetryBudget *budget, const char *service,
                          unsigned count, int64_t now_ms);

/* Records that an open retry to SERVICE was given up without an answer.  It
   counts for two windows from now, as its upstream may read it during the
   first one. */
void BsRetryBudget_Abandon(BsRetryBudget *budget, const char *service,
                           int64_t now_ms);

/* Returns an open retry to SERVICE that is not sent. */
void BsRetryBudget_GiveBack(BsRetryBudget *budget, const char *service,
                            int64_t now_ms);

/* What a budget of a service was decided by. */
typedef struct {
    uint64_t requests; /* counted now */
    uint64_t retries;  /* counted now, with the open ones */
    double allowed;    /* this instance's share, in retries */
} BsRetryBudgetState;

/* Returns the state of the budget of SERVICE, in a fleet of INSTANCES. */
BsRetryBudgetState BsRetryBudget_Read(BsRetryBudget *budget,
                                      const char *service, unsigned instances,
                                      int64_t now_ms);

#endif /* BS_QUOTA_H */
