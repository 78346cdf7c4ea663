/*
 * link.h - this instance's share of the bytes between regions.
 *
 * Rules: the sheet's budget is split evenly over the live instances, so that
 * the sum of both directions stays within it; less urgent work may use only
 * half of what is saved up; the most urgent may borrow; every byte is
 * counted by tier.
 */
#ifndef BS_LINK_H
#define BS_LINK_H

#include "core.h"

/* Creates the link budget of CORE. */
BsLink *BsLink_Create(BsCore *core);

/* Frees LINK; NULL is allowed. */
void BsLink_Destroy(BsLink *link);

/* Returns whether REQUEST and its answer fit the budget now. */
bool BsLink_Allows(BsLink *link, const BsRequest *request);

/* Charges BYTES that cross regions for a request of TIER. */
void BsLink_Charge(BsLink *link, const char *tier, uint64_t bytes);

#endif /* BS_LINK_H */
