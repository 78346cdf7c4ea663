/*
 * d_transfer.h - one request sent to an upstream.
 *
 * Rules: the pieces of an answer are numbered from 0 and the last one is
 * final; a request that is not idempotent is sent on a new connection, because
 * libcurl resends a request by itself when a reused connection turns out to be
 * closed.
 */
#ifndef BS_D_TRANSFER_H
#define BS_D_TRANSFER_H

#include "d_curl.h"

typedef struct BsTransfer BsTransfer;

/* Called after the final piece was posted; must destroy TRANSFER. */
typedef void (*BsTransferDoneFunc)(BsTransfer *transfer, void *context);

/* Sends REQUEST to the upstream at ADDRESS (host:port); its answer is posted
   as BS_UPSTREAM_ANSWER messages. */
BsTransfer *BsTransfer_Start(BsLoop *loop, BsCurl *curl,
                             const BsRequest *request, const char *address,
                             BsTransferDoneFunc done, void *context);

/* Frees TRANSFER; a running transfer is aborted without an answer. */
void BsTransfer_Destroy(BsTransfer *transfer);

/* Returns the request id. */
const char *BsTransfer_Id(const BsTransfer *transfer);

/* Pauses or resumes reading from the upstream. */
void BsTransfer_SetPaused(BsTransfer *transfer, bool paused);

#endif /* BS_D_TRANSFER_H */
