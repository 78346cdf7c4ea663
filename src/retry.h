/*
 * retry.h - retry budget and backoff of failed requests.
 *
 * Rules: retries stay within the sheet's percentage of requests; the last half
 * of the saved budget is reserved for tiers that others yield to; waits grow
 * with each attempt and are random, so that retries after the failure of an
 * upstream spread out.
 */
#ifndef BS_RETRY_H
#define BS_RETRY_H

#include "core.h"

/* Creates the retry budget of CORE; free it with BsRetries_Destroy(). */
BsRetries *BsRetries_Create(BsCore *core);

/* Frees RETRIES; NULL is allowed. */
void BsRetries_Destroy(BsRetries *retries);

/* Adds the sheet's fraction of a retry for one new request. */
void BsRetries_OnRequest(BsRetries *retries);

/* Returns whether the budget allows a retry for a request of TIER, which may
   be NULL, and if so takes it. */
bool BsRetries_Take(BsRetries *retries, const char *tier);

/* Returns a random wait in ms before forward number ATTEMPT + 1. */
int64_t BsRetries_WaitMs(const BsRetries *retries, uint32_t attempt);

#endif /* BS_RETRY_H */
