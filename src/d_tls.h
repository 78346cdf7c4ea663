/*
 * d_tls.h - the callers' certificate, replaced without a stop.
 *
 * Rules: files are read at the start, on SIGHUP and when they change; files
 * that cannot be used leave the certificate in force and are logged once.
 * Handshakes under way keep the certificate they began with.
 */
#ifndef BS_D_TLS_H
#define BS_D_TLS_H

#include "d_loop.h"

typedef struct BsTls BsTls;

/* Loads the certificate of the settings; NULL with ERROR set when it cannot
   be used.  There may be one per process: the TLS library's callback has no
   context. */
BsTls *BsTls_Create(BsLoop *loop, GError **error);

/* Frees TLS after the server using it; NULL is allowed. */
void BsTls_Destroy(BsTls *tls);

/* Returns the callback for BsHttpdConfig. */
void *BsTls_Callback(void);

#endif /* BS_D_TLS_H */
