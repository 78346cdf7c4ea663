/*
 * d_health.h - polls the load reports of engines and sends them orders.
 *
 * Rules: an instance polls only the engines that it owns by its newest
 * instance list; at most one poll of an engine runs at a time; an engine is
 * polled at once after an order and when it becomes owned.
 */
#ifndef BS_D_HEALTH_H
#define BS_D_HEALTH_H

#include "d_loop.h"

typedef struct BsHealth BsHealth;

/* Creates the poller, which starts when the first instance list arrives. */
BsHealth *BsHealth_Create(BsLoop *loop);

/* Aborts every poll and order and frees HEALTH; NULL is allowed. */
void BsHealth_Destroy(BsHealth *health);

#endif /* BS_D_HEALTH_H */
