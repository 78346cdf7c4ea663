/*
 * d_tls.h - the TLS certificate for callers, reloaded without a restart.
 *
 * Rules: the files are read at the start, on SIGHUP and when their
 * modification times change.  If the new files cannot be used, the current
 * certificate stays in use and one error is logged.  A handshake keeps the
 * certificate that it began with.
 */
#ifndef BS_D_TLS_H
#define BS_D_TLS_H

#include "d_loop.h"

typedef struct BsTls BsTls;

/* Loads the certificate and key named in the settings; returns NULL with ERROR
   set when they cannot be used.  At most one BsTls may exist per process, as
   the callback of GnuTLS has no context argument. */
BsTls *BsTls_Create(BsLoop *loop, GError **error);

/* Frees TLS; to be called after the server using it is destroyed.  NULL is
   allowed. */
void BsTls_Destroy(BsTls *tls);

/* Returns the value for certificate_callback in BsHttpdConfig. */
void *BsTls_Callback(void);

#endif /* BS_D_TLS_H */
