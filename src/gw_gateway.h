/*
 * gw_gateway.h - the gateway: a process that stands before the upstreams.
 */
#ifndef BS_GW_GATEWAY_H
#define BS_GW_GATEWAY_H

#include "gw_platform.h"

/* Runs a gateway with the settings named on the command line until it is
   stopped.  Returns the exit code: 0 after a planned stop, 2 when the
   settings are invalid or an address is taken. */
int BsGateway_Main(int argc, char **argv, const BsPlatformAdapter *adapter);

#endif /* BS_GW_GATEWAY_H */
