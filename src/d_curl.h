/*
 * d_curl.h - libcurl transfers driven by the event loop.
 *
 * Rules: each BsCurl has one multi handle; a transfer ends exactly once, by
 * its callback, BsCurl_Cancel() or BsCurl_Destroy(); the callback takes over
 * the easy handle.
 */
#ifndef BS_D_CURL_H
#define BS_D_CURL_H

#include "d_loop.h"

#include <curl/curl.h>

typedef struct BsCurl BsCurl;

/* Called at the end of a transfer with the CONTEXT of BsCurl_Start(); must
   free EASY. */
typedef void (*BsCurlDoneFunc)(CURL *easy, CURLcode result, void *context);

/* Creates a set of transfers with at most POOL idle connections. */
BsCurl *BsCurl_Create(BsLoop *loop, long pool);

/* Frees CURL and aborts every running transfer without calling its callback;
   NULL is allowed. */
void BsCurl_Destroy(BsCurl *curl);

/* Starts the transfer EASY, which must not be freed before DONE is called. */
void BsCurl_Start(BsCurl *curl, CURL *easy, BsCurlDoneFunc done,
                  void *context);

/* Returns whether the connection from LOCAL_PORT was closed, as its transfer
   ended, with sent bytes that its peer had not received.  For DONE callbacks
   only: the next call by the event loop forgets it. */
bool BsCurl_IsUndelivered(const BsCurl *curl, int local_port);

/* Aborts the transfer EASY without calling its callback, and frees it. */
void BsCurl_Cancel(BsCurl *curl, CURL *easy);

#endif /* BS_D_CURL_H */
