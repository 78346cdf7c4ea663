/*
 * account.h - rate limits of accounts.
 *
 * Rules: each entry enforces an even share of the account's limit, so the
 * fleet together never admits more than the limit times the elapsed time plus
 * BS_ACCOUNT_BURST_S of it and one request for each instance; an account
 * whose requests are spread unevenly gets less.
 */
#ifndef BS_ACCOUNT_H
#define BS_ACCOUNT_H

#include "core.h"

/* Time for which an unused share is saved up. */
#define BS_ACCOUNT_BURST_S 5

/* Creates the account limits of CORE. */
BsAccounts *BsAccounts_Create(BsCore *core);

/* Frees ACCOUNTS; NULL is allowed. */
void BsAccounts_Destroy(BsAccounts *accounts);

/* Returns whether REQUEST, of an account with the limits of ACCOUNT, may be
   sent now, and charges it if so. */
bool BsAccounts_Admit(BsAccounts *accounts, const BsAccount *account,
                      const BsRequest *request);

/* Forgets accounts whose share is saved up in full. */
void BsAccounts_OnTick(BsAccounts *accounts);

#endif /* BS_ACCOUNT_H */
