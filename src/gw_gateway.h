/*
 * gw_gateway.h - the gateway process, which forwards requests to upstreams.
 */
#ifndef BS_GW_GATEWAY_H
#define BS_GW_GATEWAY_H

#include "gw_platform.h"

/* Runs a gateway with the settings file named on the command line until a
   signal stops it.  Returns the exit code: 0 after a planned stop, 2 when the
   command line or the settings are invalid or an address is in use. */
int BsGateway_Main(int argc, char **argv, const BsPlatformAdapter *adapter);

#endif /* BS_GW_GATEWAY_H */
