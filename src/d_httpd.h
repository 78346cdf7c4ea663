/*
 * d_httpd.h - a libmicrohttpd server driven by the event loop.
 *
 * Rules: the loop watches the server's epoll descriptor; the server starts no
 * threads and never blocks.
 */
#ifndef BS_D_HTTPD_H
#define BS_D_HTTPD_H

#include "connbudget.h"
#include "d_loop.h"

#include <microhttpd.h>

typedef struct BsHttpd BsHttpd;

/* Parameters of a server. */
typedef struct {
    const char *address; /* IP:port */
    const char *key;     /* settings key of the address, for messages */
    MHD_AccessHandlerCallback handle;
    /* Creates the request's context; may be NULL. */
    void *(*uri)(void *context, const char *uri,
                 struct MHD_Connection *connection);
    MHD_RequestCompletedCallback completed;
    MHD_NotifyConnectionCallback connected; /* may be NULL */
    void *context;
    uint32_t header_bytes;
    uint32_t connections;
    /* Whether connections pass through a BsScreen. */
    bool screened;
    uint64_t unsent_bytes; /* of answers that callers have not read; screened
                              servers only */
    void *certificate_callback; /* gnutls_certificate_retrieve_function2, or
                                   NULL without TLS; screened servers only */
} BsHttpdConfig;

/* Creates a listening server; NULL with ERROR set when it cannot listen. */
BsHttpd *BsHttpd_Create(BsLoop *loop, const BsHttpdConfig *config,
                        GError **error);

/* Closes the server and its connections; NULL is allowed. */
void BsHttpd_Destroy(BsHttpd *httpd);

/* Resumes a suspended connection and schedules a run of the server. */
void BsHttpd_Resume(BsHttpd *httpd, struct MHD_Connection *connection);

/* Sets what the server does for CONNECTION, and how many bytes of answers it
   holds for it.  May close connections that hold too much.  Does nothing for
   servers that are not screened. */
void BsHttpd_SetState(BsHttpd *httpd, struct MHD_Connection *connection,
                      BsConnPhase phase, uint64_t held_bytes);

/* Closes a connection that waits in favour of a request on CONNECTION; returns
   whether there was one that may be closed.  Screened servers only. */
bool BsHttpd_Displace(BsHttpd *httpd, struct MHD_Connection *connection);

/* From now on responses announce that their connection closes. */
void BsHttpd_StartClosing(BsHttpd *httpd);

/* Returns whether BsHttpd_StartClosing() was called. */
bool BsHttpd_IsClosing(const BsHttpd *httpd);

/* Returns whether a part of a response that the server has ended is not yet
   given to the kernel; always false for servers that are not screened. */
bool BsHttpd_HasUnsent(const BsHttpd *httpd);

#endif /* BS_D_HTTPD_H */
