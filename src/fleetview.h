/*
 * fleetview.h - what the other instances do, from a hub's sums.
 *
 * A hub's sums hold this instance's own part as of the last report that the
 * hub took in.  The view remembers its own reports and takes that part off.
 *
 * Rules: what a summary does not name stays as it was told before, and counts
 * as nothing once it was not named for a while.
 */
#ifndef BS_FLEETVIEW_H
#define BS_FLEETVIEW_H

#include "summary.h"

typedef struct BsFleetView BsFleetView;

BsFleetView *BsFleetView_Create(void);

/* Frees VIEW; NULL is allowed. */
void BsFleetView_Destroy(BsFleetView *view);

/* Notes our own report that was sent to a hub. */
void BsFleetView_NoteOwn(BsFleetView *view, const BsGossipReport *report);

/* Takes in a near summary, whose hub had taken our report number ACK.  Appends
   what changed of the others' requests to LOADS (BsTargetLoad), and what they
   used of accounts to USES (BsQuotaUse): only the growth of it counts, per hub
   and start of a hub. */
void BsFleetView_Take(BsFleetView *view, const BsSummary *summary,
                      uint64_t ack, int64_t now_ms, GArray *loads,
                      GArray *uses);

/* Appends the upstreams that were not named for a while, with no requests. */
void BsFleetView_Expire(BsFleetView *view, int64_t now_ms, GArray *loads);

/* Forgets all, as no hub is heard; appends what it held to LOADS, with no
   requests. */
void BsFleetView_Reset(BsFleetView *view, GArray *loads);

#endif /* BS_FLEETVIEW_H */
