/*
 * d_curl.h - libcurl transfers driven by the event loop.
 *
 * Rules: one multi handle per task; a transfer is finished exactly once, by
 * its callback or by BsCurl_Cancel(); the callback owns the easy handle.
 */
#ifndef BS_D_CURL_H
#define BS_D_CURL_H

#include "d_loop.h"

#include <curl/curl.h>

typedef struct BsCurl BsCurl;

/* Tells the end of a transfer; CONTEXT is that of BsCurl_Start(). */
typedef void (*BsCurlDoneFunc)(CURL *easy, CURLcode result, void *context);

/* Creates a set of transfers with at most POOL idle connections. */
BsCurl *BsCurl_Create(BsLoop *loop, long pool);

/* Frees CURL and every running transfer without calling back. */
void BsCurl_Destroy(BsCurl *curl);

/* Starts EASY, which must not be freed before its end. */
void BsCurl_Start(BsCurl *curl, CURL *easy, BsCurlDoneFunc done,
                  void *context);

/* Ends EASY early without calling back, and frees it. */
void BsCurl_Cancel(BsCurl *curl, CURL *easy);

#endif /* BS_D_CURL_H */
