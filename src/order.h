/*
 * order.h - orders that bring engines to the sheet's model versions.
 *
 * Rules: only the owner orders, and only while it holds the upstream; the
 * fencing number never goes down; a model never has more than a share of its
 * engines out of service for a change at once.
 */
#ifndef BS_ORDER_H
#define BS_ORDER_H

#include "core.h"

/* Creates the orders of CORE. */
BsOrders *BsOrders_Create(BsCore *core);

/* Frees ORDERS; NULL is allowed. */
void BsOrders_Destroy(BsOrders *orders);

/* Returns whether UPSTREAM may get new work for MODEL: it is not known to
   run another version than the sheet's. */
bool BsOrder_IsCurrent(const BsOrders *orders, const char *upstream,
                       const char *model);

/* Handles the report of an engine. */
void BsOrders_OnReport(BsOrders *orders, const BsMessage *message);

/* Drives timers. */
void BsOrders_OnTick(BsOrders *orders);

#endif /* BS_ORDER_H */
