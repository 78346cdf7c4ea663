/*
 * d_zap.h - admission of peers by their public key (ZeroMQ's ZAP).
 *
 * Rules: only clients that prove a key on the list are let in; every other
 * handshake is refused and counted.
 */
#ifndef BS_D_ZAP_H
#define BS_D_ZAP_H

#include "d_loop.h"

typedef struct BsZap BsZap;

/* Starts to decide for the sockets of the ZeroMQ CONTEXT, by the keys in the
   settings of LOOP; NULL with ERROR set when that fails. */
BsZap *BsZap_Create(BsLoop *loop, void *context, GError **error);

/* Ends it; NULL is allowed. */
void BsZap_Destroy(BsZap *zap);

#endif /* BS_D_ZAP_H */
