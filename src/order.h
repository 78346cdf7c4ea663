/*
 * order.h - orders that bring engines to the sheet's model versions.
 *
 * Rules: only the owner of an engine orders it, and only while it holds tenure
 * of it; the fencing number never decreases; only a limited share of a model's
 * engines is out of service for a version change at once.
 */
#ifndef BS_ORDER_H
#define BS_ORDER_H

#include "core.h"

/* Creates the module that sends orders for CORE. */
BsOrders *BsOrders_Create(BsCore *core);

/* Frees ORDERS; NULL is allowed. */
void BsOrders_Destroy(BsOrders *orders);

/* Returns whether UPSTREAM may get new work for MODEL: false only if it
   reports its loaded versions and the sheet's version is not among them. */
bool BsOrder_IsCurrent(const BsOrders *orders, const char *upstream,
                       const char *model);

/* Returns what UPSTREAM last reported as loaded (comma-separated
   model@version), g_free() it, and sets REPORTED_MS to the time that it
   describes; NULL when it has reported nothing of that. */
char *BsOrders_CopyLoaded(const BsOrders *orders, const char *upstream,
                          int64_t *reported_ms);

/* Handles the load report of an engine. */
void BsOrders_OnReport(BsOrders *orders, const BsMessage *message);

/* Sends the orders that are due; called on every tick. */
void BsOrders_OnTick(BsOrders *orders);

#endif /* BS_ORDER_H */
