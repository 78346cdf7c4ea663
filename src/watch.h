/*
 * watch.h - which instances watch the platform's configuration service.
 *
 * Rules: before the first list, and after a pause until contact is back,
 * every instance watches; else a few in each data centre do, by rendezvous.
 * A watcher that cannot read the service asks the next in rank to watch too,
 * down to a bounded rank, so that a dead service is not stormed.
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

/* Handles a watcher's word that it cannot read the service. */
void BsWatchers_OnHandover(BsWatchers *watchers);

/* Drives timers. */
void BsWatchers_OnTick(BsWatchers *watchers);

#endif /* BS_WATCH_H */
