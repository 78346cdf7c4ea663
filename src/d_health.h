/*
 * d_health.h - load reports of engines and orders to them.
 *
 * Rules: an instance polls the engines it owns by its newest list and no
 * others; one poll of an engine runs at a time; after an order, and when an
 * engine becomes owned, its report is read at once.
 */
#ifndef BS_D_HEALTH_H
#define BS_D_HEALTH_H

#include "d_loop.h"

typedef struct BsHealth BsHealth;

/* Starts to poll owned engines once there is a list. */
BsHealth *BsHealth_Create(BsLoop *loop);

/* Ends every poll and order; NULL is allowed. */
void BsHealth_Destroy(BsHealth *health);

#endif /* BS_D_HEALTH_H */
