/*
 * d_transfer.h - one request sent to an upstream.
 *
 * Rules: pieces are numbered from 0 and the last one is final; a request that
 * is not idempotent gets a connection of its own, so that no silent resend
 * can follow a connection that died while idle.
 */
#ifndef BS_D_TRANSFER_H
#define BS_D_TRANSFER_H

#include "d_curl.h"

typedef struct BsTransfer BsTransfer;

/* Tells that the final answer was posted; the callee destroys TRANSFER. */
typedef void (*BsTransferDoneFunc)(BsTransfer *transfer, void *context);

/* Sends REQUEST to ADDRESS. */
BsTransfer *BsTransfer_Start(BsLoop *loop, BsCurl *curl,
                             const BsRequest *request, const char *address,
                             BsTransferDoneFunc done, void *context);

/* Frees TRANSFER; one that still runs is aborted without an answer. */
void BsTransfer_Destroy(BsTransfer *transfer);

/* Returns the request id. */
const char *BsTransfer_Id(const BsTransfer *transfer);

/* Stops or restarts reading from the upstream. */
void BsTransfer_SetPaused(BsTransfer *transfer, bool paused);

#endif /* BS_D_TRANSFER_H */
