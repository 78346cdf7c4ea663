/*
 * gw_relay.h - one caller's request from its arrival to its answer.
 *
 * Rules: a request that may not run twice is sent once only after everything
 * sent before is known not to have run.  "Not run" (408, 421, 429, 503) is
 * said only when nothing of the request can have reached an upstream that
 * might run it.  A caller gets exactly one answer, or a connection that ends
 * early; an answer that was cut off never looks complete.
 */
#ifndef BS_GW_RELAY_H
#define BS_GW_RELAY_H

#include "gw_gate.h"

/* Takes requests of callers; the context is a BsGate. */
extern const BsInboundApp bs_relay_app;

/* Sends waiting requests for which there is a place now. */
void BsRelay_ServeLine(BsGate *gate);

#endif /* BS_GW_RELAY_H */
