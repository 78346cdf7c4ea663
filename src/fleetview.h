/*
 * fleetview.h - the load and account use of the other instances, from the
 * totals of a hub.
 *
 * A hub's totals include this instance's own counts as of the last report that
 * the hub received.  The view keeps its recent reports and subtracts these
 * counts.
 *
 * An upstream that a summary does not name keeps its last counts, until they
 * expire.
 */
#ifndef BS_FLEETVIEW_H
#define BS_FLEETVIEW_H

#include "summary.h"

typedef struct BsFleetView BsFleetView;

BsFleetView *BsFleetView_Create(void);

/* Frees VIEW; NULL is allowed. */
void BsFleetView_Destroy(BsFleetView *view);

/* Keeps a copy of this instance's own report, which was sent to a hub. */
void BsFleetView_NoteOwn(BsFleetView *view, const BsGossipReport *report);

/* Applies a local summary whose hub had received this instance's report number
   ACK (0: none).  Appends the changed loads of the other instances to LOADS
   (BsTargetLoad) and their account use to USES (BsQuotaUse).  Only the
   increase of a use counts, within one incarnation of one hub. */
void BsFleetView_ApplySummary(BsFleetView *view, const BsSummary *summary,
                              uint64_t ack, int64_t now_ms, GArray *loads,
                              GArray *uses);

/* Removes counts that no summary named for a while; appends them to LOADS as
   zero. */
void BsFleetView_Expire(BsFleetView *view, int64_t now_ms, GArray *loads);

/* Removes all counts when no hub is reachable; appends them to LOADS as
   zero. */
void BsFleetView_Reset(BsFleetView *view, GArray *loads);

#endif /* BS_FLEETVIEW_H */
