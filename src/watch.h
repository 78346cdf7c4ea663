/*
 * watch.h - which instances watch the platform's configuration service.
 *
 * Rules: before the first list every instance watches; later a few in each
 * data centre do; a watcher that cannot reach the service is replaced.
 */
#ifndef BS_WATCH_H
#define BS_WATCH_H

#include "core.h"

/* Creates the watchers of CORE. */
BsWatchers *BsWatchers_Create(BsCore *core);

/* Frees WATCHERS; NULL is allowed. */
void BsWatchers_Destroy(BsWatchers *watchers);

/* Handles a new instance list. */
void BsWatchers_OnList(BsWatchers *watchers);

/* Handles a failed read of the service. */
void BsWatchers_OnDown(BsWatchers *watchers);

/* Drives timers. */
void BsWatchers_OnTick(BsWatchers *watchers);

#endif /* BS_WATCH_H */
