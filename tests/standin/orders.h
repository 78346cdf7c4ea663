/*
 * orders.h - loads and unloads the models of a stand-in engine.
 *
 * Rules: an order changes one model; an engine that checks fencing numbers
 * refuses orders with a number below the highest it has seen; an engine that
 * does not check them applies every order.
 */
#ifndef BS_ORDERS_H
#define BS_ORDERS_H

#include "standin.h"

/* Sets the loaded models, each as NAME@VERSION; MODELS ends with NULL and may
   be NULL.  An order to load a model takes LOAD_MS. */
void BsOrders_Init(char **models, bool checks_fencing, int load_ms);

/* Returns whether MODEL is loaded. */
bool BsOrders_IsLoaded(const char *model);

/* Handles POST /v1/orders; refuses an order with status 409. */
enum MHD_Result BsOrders_Handle(const BsStandinCall *call);

/* Adds the loaded models and the fencing state to the object REPORT. */
void BsOrders_Report(json_t *report);

#endif /* BS_ORDERS_H */
