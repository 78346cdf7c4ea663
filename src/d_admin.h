/*
 * d_admin.h - the HTTP server on the admin address.
 *
 * Rules: every route only reads state, except POST /drain, which starts a
 * planned stop of the instance.
 */
#ifndef BS_D_ADMIN_H
#define BS_D_ADMIN_H

#include "d_loop.h"

typedef struct BsAdmin BsAdmin;

/* Starts to listen on the admin address of the settings.  Returns NULL with
   ERROR set when that fails. */
BsAdmin *BsAdmin_Create(BsLoop *loop, GError **error);

/* Ends pending requests and closes every connection; NULL is allowed. */
void BsAdmin_Destroy(BsAdmin *admin);

#endif /* BS_D_ADMIN_H */
