/*
 * d_admin.h - the operators' HTTP address.
 *
 * Rules: it reads and reports; the only thing it changes is to start a
 * planned stop.
 */
#ifndef BS_D_ADMIN_H
#define BS_D_ADMIN_H

#include "d_loop.h"

typedef struct BsAdmin BsAdmin;

/* Listens for operators; NULL with ERROR set when that fails. */
BsAdmin *BsAdmin_Create(BsLoop *loop, GError **error);

/* Closes every connection; NULL is allowed. */
void BsAdmin_Destroy(BsAdmin *admin);

#endif /* BS_D_ADMIN_H */
