/*
 * gw_inbound.h - connections of callers and what is answered on them.
 *
 * Rules: a connection carries one request at a time, and requests that were
 * sent ahead wait in it.  A malformed request is answered here and its
 * connection closed, so nothing behind it is ever read as a request.  An
 * answer that cannot be completed ends with a reset, never in order.
 */
#ifndef BS_GW_INBOUND_H
#define BS_GW_INBOUND_H

#include "http1.h"

#include <ev.h>
#include <netinet/in.h>

typedef struct BsInbound BsInbound;
typedef struct BsInboundServer BsInboundServer;

/* What the owner of a server is told. */
typedef struct {
    /* A whole request was read.  HEAD and BODY live until it is answered. */
    void (*on_request)(BsInbound *inbound, const BsHttpHead *head,
                       const GString *body, void *context);
    /* The caller left before the answer's end; INBOUND is freed after it. */
    void (*on_gone)(BsInbound *inbound, void *context);
    /* All bytes of the answer so far were sent. */
    void (*on_drained)(BsInbound *inbound, void *context);
    /* A request was refused while it was read. */
    void (*on_refused)(uint32_t status, void *context);
} BsInboundApp;

/* Bounds of what a caller may send and hold. */
typedef struct {
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
    uint64_t held_bytes; /* request bodies of all connections together */
    uint32_t connections;
} BsInboundLimits;

/* Listens on ADDRESS; NULL with ERROR set on failure. */
BsInboundServer *BsInboundServer_Create(struct ev_loop *loop,
                                        const BsClock *clock,
                                        const struct sockaddr_in *address,
                                        const BsInboundApp *app, void *context,
                                        const BsInboundLimits *limits,
                                        GError **error);

/* Closes all connections and frees; NULL is allowed. */
void BsInboundServer_Destroy(BsInboundServer *server);

/* Changes the limits for later requests. */
void BsInboundServer_SetLimits(BsInboundServer *server,
                               const BsInboundLimits *limits);

/* Every answer from now on ends its connection. */
void BsInboundServer_StartDrain(BsInboundServer *server);

/* Closes connections without a request that were idle for IDLE_MS. */
void BsInboundServer_CloseIdle(BsInboundServer *server, int64_t idle_ms);

/* Stops accepting connections. */
void BsInboundServer_StopListening(BsInboundServer *server);

/* Returns the number of open connections, or of unanswered requests. */
unsigned BsInboundServer_Connections(const BsInboundServer *server);

/* Returns how many bytes of requests' bodies are held. */
uint64_t BsInboundServer_HeldBytes(const BsInboundServer *server);
unsigned BsInboundServer_Requests(const BsInboundServer *server);

/* Keeps a pointer of the owner's with the current request. */
void BsInbound_SetUser(BsInbound *inbound, void *user);
void *BsInbound_User(const BsInbound *inbound);

/* Returns when the first byte of the request was read, on the server's
   clock. */
int64_t BsInbound_StartedMs(const BsInbound *inbound);

/* Answers in one piece.  HEADERS holds whole header lines or is NULL. */
void BsInbound_Answer(BsInbound *inbound, uint32_t status, const char *headers,
                      const char *body, size_t size_bytes);

/* Starts an answer.  LENGTH_BYTES is -1 for a body sent in chunks. */
void BsInbound_StartAnswer(BsInbound *inbound, uint32_t status,
                           const char *headers, int64_t length_bytes);

/* Sends a part of the body. */
void BsInbound_SendBody(BsInbound *inbound, const char *data,
                        size_t size_bytes);

/* Ends the answer.  INBOUND may be freed, or go on to its next request. */
void BsInbound_EndAnswer(BsInbound *inbound);

/* Ends the connection with a reset. */
void BsInbound_Break(BsInbound *inbound);

/* Returns the bytes of the answer that were not sent yet. */
size_t BsInbound_PendingBytes(const BsInbound *inbound);

#endif /* BS_GW_INBOUND_H */
