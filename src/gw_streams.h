/*
 * gw_streams.h - what a gateway knows of the software versions in service, for
 * the streams that callers take up again (streamversions.h).
 */
#ifndef BS_GW_STREAMS_H
#define BS_GW_STREAMS_H

#include "gw_gate.h"
#include "replica.h"

typedef struct BsStreamWatch BsStreamWatch;

/* How the list of upstreams reaches this instance. */
typedef struct {
    int64_t answered_ms; /* when the store last answered an instance */
    int64_t behind_ms;   /* since when others have newer items; 0: none has */
} BsStreamListState;

/* Creates the watch over the list in REPLICA.  Both must outlive it. */
BsStreamWatch *BsStreamWatch_Create(BsGate *gate, const BsReplica *replica);

/* Frees WATCH; NULL is allowed. */
void BsStreamWatch_Destroy(BsStreamWatch *watch);

/* Notes the versions in service, at intervals, and logs what has changed.
   Returns the time of which, or later, the list of upstreams is known to be;
   INT64_MIN / 2 if it is not known at all. */
int64_t BsStreamWatch_Update(BsStreamWatch *watch,
                             const BsStreamListState *state, int64_t now_ms);

#endif /* BS_GW_STREAMS_H */
