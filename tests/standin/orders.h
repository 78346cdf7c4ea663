/*
 * orders.h - which model versions a stand-in engine has loaded.
 *
 * Rules: an order changes one model; an engine that checks fencing numbers
 * refuses one below the highest it has seen, any other obeys every order.
 */
#ifndef BS_ORDERS_H
#define BS_ORDERS_H

#include "standin.h"

/* Sets up the models, each as NAME@VERSION; MODELS ends with NULL. */
void BsOrders_Init(char **models, bool checks_fencing, int load_ms);

/* Returns whether MODEL is loaded. */
bool BsOrders_IsLoaded(const char *model);

/* Handles POST /v1/orders. */
enum MHD_Result BsOrders_Handle(const BsStandinCall *call);

/* Adds the loaded models and the fencing state to the object REPORT. */
void BsOrders_Report(json_t *report);

#endif /* BS_ORDERS_H */
