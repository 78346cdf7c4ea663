/*
 * gw_relay.h - relays a caller's request to upstreams and the answer back.
 *
 * Rules: a request that must not run twice is sent again only when all earlier
 * attempts are known not to have run.  The statuses that mean "not run" (408,
 * 421, 429, 503) are returned only when no part of the request can have
 * reached an upstream that might run it.  A caller gets exactly one answer, or
 * its connection is reset; a truncated answer never looks complete.
 */
#ifndef BS_GW_RELAY_H
#define BS_GW_RELAY_H

#include "gw_gate.h"

/* Callbacks that relay callers' requests; the context is a BsGate. */
extern const BsInboundApp bs_relay_app;

/* Sends the queued requests for which an upstream has a free slot now. */
void BsRelay_ServeQueue(BsGate *gate);

/* Goes on with the requests that take streams up and wait for what other
   instances know of them. */
void BsRelay_ServeTakeUps(BsGate *gate);

/* Handles that the upstream TARGET started again, at the version that it is
   listed with now.  Streams that were sent to it between its start and this
   moment may run at that version or at the earlier one: they go on nowhere
   else. */
void BsRelay_NoteRestart(BsGate *gate, const BsTarget *target);

/* Ends all requests in progress, as the process ends: an answer that has begun
   is reset, any other request gets a failure. */
void BsRelay_EndAll(BsGate *gate);

#endif /* BS_GW_RELAY_H */
