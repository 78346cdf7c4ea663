/*
 * retry.h - how often and when failed requests are tried again.
 *
 * Rules: retries stay within the sheet's share of requests; the last half of
 * what is saved up is kept for tiers that others yield to; waits grow with
 * each attempt and are random, so that callers of a failed upstream spread
 * out.
 */
#ifndef BS_RETRY_H
#define BS_RETRY_H

#include "core.h"

/* Creates the retry budget of CORE. */
BsRetries *BsRetries_Create(BsCore *core);

/* Frees RETRIES; NULL is allowed. */
void BsRetries_Destroy(BsRetries *retries);

/* Earns the share of one new request. */
void BsRetries_OnRequest(BsRetries *retries);

/* Spends one retry for a request of TIER; returns whether there was one. */
bool BsRetries_Take(BsRetries *retries, const char *tier);

/* Returns the wait before forward number ATTEMPT + 1. */
int64_t BsRetries_WaitMs(const BsRetries *retries, uint32_t attempt);

#endif /* BS_RETRY_H */
