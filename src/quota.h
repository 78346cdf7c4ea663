/*
 * quota.h - limits that bind the sum over all instances.
 *
 * Rules: an account's limit is a token bucket from which every instance takes
 * what all of them used, as they tell each other.  While peers are silent an
 * instance uses only its share of the rate.  A request is admitted while the
 * bucket is not empty, so what is allowed is never refused for its size.
 * While places are free, an account may use a part of the tolerance that the
 * operators grant over its limit; that takes nothing from anyone.
 * Repeats have a budget of each instance's own, far below the fleet's bound.
 */
#ifndef BS_QUOTA_H
#define BS_QUOTA_H

#include "catalog.h"

/* What an account has used at one instance since that instance's start. */
typedef struct {
    uint64_t hash; /* of the account's name */
    uint64_t used;
} BsQuotaUse;

typedef struct BsQuotas BsQuotas;

/* Creates limits with a tolerance of OVER times an account's limit plus SLACK
   in each of the operators' windows. */
BsQuotas *BsQuotas_Create(double over, double slack);

/* Changes the tolerance. */
void BsQuotas_SetTolerance(BsQuotas *quotas, double over, double slack);

/* Frees QUOTAS; NULL is allowed. */
void BsQuotas_Destroy(BsQuotas *quotas);

/* Sets the part of every limit that this instance may use. */
void BsQuotas_SetShare(BsQuotas *quotas, double share);

/* Returns the cost of a request of ACCOUNT. */
uint64_t BsQuotas_Cost(const BsCatalogAccount *account, bool has_tokens,
                       uint64_t tokens);

/* Takes COST from the bucket of ACCOUNT; TOLERANT says that places are free.
   Returns 0 when it is admitted, else the milliseconds until it may be. */
int64_t BsQuotas_Take(BsQuotas *quotas, const BsCatalogAccount *account,
                      uint64_t cost, bool tolerant, int64_t now_ms);

/* Returns what is left in the bucket of ACCOUNT; below 0 after overuse. */
int64_t BsQuotas_Left(BsQuotas *quotas, const BsCatalogAccount *account);

/* Returns the part of every limit that this instance may use. */
double BsQuotas_Share(const BsQuotas *quotas);

/* Gives back what a request that did not run had taken. */
void BsQuotas_GiveBack(BsQuotas *quotas, const BsCatalogAccount *account,
                       uint64_t cost);

/* Takes in what PEER (its number and incarnation) told; USES holds
   BsQuotaUse. */
void BsQuotas_SetPeer(BsQuotas *quotas, uint32_t peer, uint64_t incarnation,
                      const GArray *uses);

/* Takes in what the rest of the fleet used, as a hub tells it: totals of which
   only the growth counts, beginning anew with another INCARNATION. */
void BsQuotas_SetFleet(BsQuotas *quotas, uint64_t incarnation,
                       const GArray *uses);

/* Appends our own use as BsQuotaUse. */
void BsQuotas_AppendUses(const BsQuotas *quotas, GArray *uses);

typedef struct BsRetryBudget BsRetryBudget;

/* Creates a budget of RATIO of the requests plus SLACK a WINDOW_MS, all of
   the fleet, of which this instance uses its share. */
BsRetryBudget *BsRetryBudget_Create(double ratio, double slack,
                                    int64_t window_ms);

/* Changes the bounds; what was counted stays. */
void BsRetryBudget_SetBounds(BsRetryBudget *budget, double ratio, double slack,
                             int64_t window_ms);

/* Frees BUDGET; NULL is allowed. */
void BsRetryBudget_Destroy(BsRetryBudget *budget);

/* Notes a new request for SERVICE. */
void BsRetryBudget_AddRequest(BsRetryBudget *budget, const char *service,
                              int64_t now_ms);

/* Returns whether one more repeat may be sent to SERVICE, by an instance that
   has INSTANCES in its fleet, and if so counts it. */
bool BsRetryBudget_Take(BsRetryBudget *budget, const char *service,
                        unsigned instances, int64_t now_ms);

#endif /* BS_QUOTA_H */
