/*
 * d_zap.h - authentication of peers by public key: a handler for ZeroMQ's ZAP.
 *
 * Rules: a CURVE handshake is accepted only if the client proves possession of
 * the fleet's key or of another key allowed in the settings; any other
 * handshake is refused.  Both are counted.
 */
#ifndef BS_D_ZAP_H
#define BS_D_ZAP_H

#include "d_loop.h"

typedef struct BsZap BsZap;

/* Starts to answer ZAP requests of the sockets in the ZeroMQ CONTEXT by the
   keys in the settings of LOOP; returns NULL with ERROR set on failure. */
BsZap *BsZap_Create(BsLoop *loop, void *context, GError **error);

/* Stops the handler and frees ZAP; NULL is allowed. */
void BsZap_Destroy(BsZap *zap);

#endif /* BS_D_ZAP_H */
