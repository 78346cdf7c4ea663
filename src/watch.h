/*
 * watch.h - which instances watch the platform's configuration service.
 *
 * Rules: every instance watches before its first list, and after a pause until
 * it has contact again; otherwise a few in each data centre do, chosen by
 * rendezvous hashing.  A watcher that cannot read the service asks the next in
 * rank to watch as well, up to a maximum rank, so that an unreachable
 * service does not get requests from all instances.
 */
#ifndef BS_WATCH_H
#define BS_WATCH_H

#include "core.h"

/* Creates the watch state of CORE. */
BsWatchers *BsWatchers_Create(BsCore *core);

/* Frees WATCHERS; NULL is allowed. */
void BsWatchers_Destroy(BsWatchers *watchers);

/* Updates the rank of this instance from a new instance list. */
void BsWatchers_OnList(BsWatchers *watchers);

/* Handles a failed read of the service. */
void BsWatchers_OnDown(BsWatchers *watchers);

/* Handles BS_WATCH_HANDOVER: a watcher that cannot read the service asks this
   instance to watch. */
void BsWatchers_OnHandover(BsWatchers *watchers);

/* Starts or stops watching, and asks the next in rank when due. */
void BsWatchers_OnTick(BsWatchers *watchers);

#endif /* BS_WATCH_H */
