/*
 * link.h - this instance's share of the bandwidth between regions.
 *
 * Rules: the sheet's budget is split evenly over the live instances, so that
 * the sum of both directions stays within it.  A share is kept in a token
 * bucket of bytes.  Requests of tiers that others yield to may take the bucket
 * into debt by its capacity; other requests must leave it half full.  All
 * bytes are counted by tier.
 */
#ifndef BS_LINK_H
#define BS_LINK_H

#include "core.h"

/* Creates the link budget of CORE; free it with BsLink_Destroy(). */
BsLink *BsLink_Create(BsCore *core);

/* Frees LINK; NULL is allowed. */
void BsLink_Destroy(BsLink *link);

/* Returns whether REQUEST and its expected answer fit the budget now. */
bool BsLink_Allows(BsLink *link, const BsRequest *request);

/* Charges BYTES sent between regions for a request of TIER, which may be
   NULL. */
void BsLink_Charge(BsLink *link, const char *tier, uint64_t bytes);

#endif /* BS_LINK_H */
