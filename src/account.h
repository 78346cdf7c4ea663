/*
 * account.h - rate limits of accounts.
 *
 * Rules: each entry enforces its even share of an account's limit with a token
 * bucket, so that all instances together never admit more than the limit times
 * the sum of the elapsed time and BS_ACCOUNT_BURST_S, plus one request per
 * instance; an account whose requests are spread unevenly over the instances
 * gets less.
 */
#ifndef BS_ACCOUNT_H
#define BS_ACCOUNT_H

#include "core.h"

/* Size of a bucket, as the time that fills it. */
#define BS_ACCOUNT_BURST_S 5

/* Creates the account limits of CORE. */
BsAccounts *BsAccounts_Create(BsCore *core);

/* Frees ACCOUNTS; NULL is allowed. */
void BsAccounts_Destroy(BsAccounts *accounts);

/* Returns whether REQUEST is within the limits that ACCOUNT sets for the
   account of REQUEST, and charges that account if so. */
bool BsAccounts_Admit(BsAccounts *accounts, const BsAccount *account,
                      const BsRequest *request);

/* Drops the buckets of idle accounts that are full again. */
void BsAccounts_OnTick(BsAccounts *accounts);

#endif /* BS_ACCOUNT_H */
