/*
 * gw_inbound.h - HTTP/1.1 server side: callers' connections and the answers
 * sent on them.
 *
 * Rules: a connection carries one request at a time; pipelined requests are
 * buffered until the current one is answered.  A malformed request is answered
 * here and its connection closed, so that the bytes after it are never parsed
 * as a request.  An answer that cannot be completed ends with a TCP reset,
 * never with an orderly close.  All servers of a process share one budget of
 * memory and connections (connbudget.h); what exceeds it is refused with 503
 * or closed.
 */
#ifndef BS_GW_INBOUND_H
#define BS_GW_INBOUND_H

#include "connbudget.h"
#include "http1.h"

#include <ev.h>
#include <netinet/in.h>

typedef struct BsInbound BsInbound;
typedef struct BsInboundServer BsInboundServer;

/* Callbacks of a server. */
typedef struct {
    /* A whole request was read.  HEAD and BODY are valid until it has been
       answered. */
    void (*on_request)(BsInbound *inbound, const BsHttpHead *head,
                       const GString *body, void *context);
    /* The connection closed before the answer was complete.  INBOUND is freed
       after the callback. */
    void (*on_disconnect)(BsInbound *inbound, void *context);
    /* All bytes written so far have been given to the kernel; may be NULL. */
    void (*on_drained)(BsInbound *inbound, void *context);
    /* A request was refused with STATUS before it was read whole; may be
       NULL. */
    void (*on_refused)(uint32_t status, void *context);
} BsInboundApp;

/* Limits on requests and connections. */
typedef struct {
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
    uint32_t connections;
    /* Unsent bytes of answers above which no further request of the connection
       is read. */
    uint32_t unsent_bytes;
} BsInboundLimits;

/* Listens on ADDRESS.  BUDGET must outlive the server and its closing
   connections.  Returns NULL with ERROR set on failure. */
BsInboundServer *BsInboundServer_Create(struct ev_loop *loop,
                                        const BsClock *clock,
                                        const struct sockaddr_in *address,
                                        const BsInboundApp *app, void *context,
                                        const BsInboundLimits *limits,
                                        BsConnBudget *budget, GError **error);

/* Closes all connections and frees SERVER; NULL is allowed.  Answers that have
   begun and are not sent whole end with a reset. */
void BsInboundServer_Destroy(BsInboundServer *server);

/* Sets the limits for requests that start after this call.  An idle connection
   keeps the idle time that its last answer announced when that is longer. */
void BsInboundServer_SetLimits(BsInboundServer *server,
                               const BsInboundLimits *limits);

/* Makes every answer that starts after this call close its connection, unless
   the next request has been read already. */
void BsInboundServer_StartDrain(BsInboundServer *server);

/* Closes connections that have had no request for at least IDLE_MS, but none
   whose next request has arrived or whose last answer has not. */
void BsInboundServer_CloseIdle(BsInboundServer *server, int64_t idle_ms);

/* Stops accepting connections. */
void BsInboundServer_StopListening(BsInboundServer *server);

/* Returns the number of open connections. */
unsigned BsInboundServer_Connections(const BsInboundServer *server);

/* Returns the bytes of answers that the kernel has not accepted yet, of all
   open connections. */
size_t BsInboundServer_PendingBytes(const BsInboundServer *server);

/* Returns the size of all buffered request bodies. */
uint64_t BsInboundServer_HeldBytes(const BsInboundServer *server);

/* Returns the number of requests that are being answered. */
unsigned BsInboundServer_Requests(const BsInboundServer *server);

/* Attaches USER to the current request; INBOUND does not own it. */
void BsInbound_SetUser(BsInbound *inbound, void *user);
void *BsInbound_User(const BsInbound *inbound);

/* Returns when the first byte of the request was read, in milliseconds on the
   server's clock. */
int64_t BsInbound_StartedMs(const BsInbound *inbound);

/* Sends a complete answer.  HEADERS holds whole header lines, each with its
   CRLF, or is NULL.  As BsInbound_EndAnswer(), it may free INBOUND. */
void BsInbound_Answer(BsInbound *inbound, uint32_t status, const char *headers,
                      const char *body, size_t size_bytes);

/* Sends the head of an answer.  LENGTH_BYTES of -1 selects chunked encoding.
 */
void BsInbound_StartAnswer(BsInbound *inbound, uint32_t status,
                           const char *headers, int64_t length_bytes);

/* Sends a part of the body. */
void BsInbound_SendBody(BsInbound *inbound, const char *data,
                        size_t size_bytes);

/* Ends the answer.  Frees INBOUND when the connection is to close; else reads
   the next request, which may be answered and INBOUND freed before return. */
void BsInbound_EndAnswer(BsInbound *inbound);

/* Closes the connection with a TCP reset and frees INBOUND. */
void BsInbound_Reset(BsInbound *inbound);

/* Returns the bytes of the answer that the kernel has not accepted yet. */
size_t BsInbound_PendingBytes(const BsInbound *inbound);

#endif /* BS_GW_INBOUND_H */
