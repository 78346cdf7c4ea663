/*
 * gw_outbound.h - HTTP calls to upstreams over pooled connections.
 *
 * Rules: a connection carries one call at a time.  It is kept only after a
 * complete answer to a completely sent message, and closed as soon as data
 * arrives on it while it is idle.  Every call ends with exactly one on_end
 * unless it is cancelled.  BS_OUTBOUND_UNSENT is reported only when the
 * request cannot have reached the upstream.
 */
#ifndef BS_GW_OUTBOUND_H
#define BS_GW_OUTBOUND_H

#include "http1.h"

#include <ev.h>
#include <netinet/in.h>

typedef struct BsOutbound BsOutbound;
typedef struct BsOutboundPool BsOutboundPool;

/* How a call ended. */
typedef enum {
    BS_OUTBOUND_DONE,      /* complete by its length, last chunk or status */
    BS_OUTBOUND_CLOSED,    /* neither a length nor chunks: ended with its
                              connection, in order, after the upstream had
                              received the whole request */
    BS_OUTBOUND_UNSENT,    /* not connected; no byte was sent */
    BS_OUTBOUND_BROKEN,    /* closed before a complete head; may have run */
    BS_OUTBOUND_TRUNCATED, /* the answer's body ended early or is malformed */
    BS_OUTBOUND_GARBLED,   /* the data received is not a valid answer head */
    BS_OUTBOUND_TOO_LARGE  /* the answer's body is above its limit */
} BsOutboundEnd;

/* Returns whether HTTP calls an answer that ended as END complete. */
bool BsOutboundEnd_IsComplete(BsOutboundEnd end);

/* Callbacks of a call; on_sent may be NULL. */
typedef struct {
    /* The message is being sent; from now on the upstream may run it. */
    void (*on_sent)(void *context);
    void (*on_head)(const BsHttpHead *head, void *context);
    void (*on_body)(const char *data, size_t size_bytes, void *context);
    /* The call is over; it is freed after this callback. */
    void (*on_end)(BsOutboundEnd end, void *context);
} BsOutboundEvents;

/* What to send and how. */
typedef struct {
    struct sockaddr_in address;
    const char *owner;     /* upstream; has connections of its own */
    GString *message;      /* head and body; ownership is transferred */
    int64_t reuse_idle_ms; /* longest idle time of a reused connection */
    uint64_t id_hash; /* of the request's id; 0: none.  No connection is reused
                         on which a request with it was refused. */
    uint32_t connect_timeout_ms;
    uint64_t body_max_bytes; /* limit of the answer's body; 0: none */
    bool no_body;            /* the answer has no body, as for HEAD */
} BsOutboundRequest;

/* Counts for metrics. */
typedef struct {
    uint64_t opened;
    uint64_t reused;
    uint64_t stray_bytes; /* connections closed due to unsolicited data */
} BsOutboundStats;

/* Creates a pool that keeps idle connections. */
BsOutboundPool *BsOutboundPool_Create(struct ev_loop *loop,
                                      const BsClock *clock);

/* Closes all idle connections and frees POOL; all calls must have ended.  NULL
   is allowed. */
void BsOutboundPool_Destroy(BsOutboundPool *pool);

const BsOutboundStats *BsOutboundPool_Stats(const BsOutboundPool *pool);

/* Starts a call.  No callback runs before this function returns. */
BsOutbound *BsOutbound_Start(BsOutboundPool *pool,
                             const BsOutboundRequest *request,
                             const BsOutboundEvents *events, void *context);

/* Ends the call and closes its connection; no callback follows.  NULL is
   allowed. */
void BsOutbound_Cancel(BsOutbound *call);

/* Replaces the callbacks and their context. */
void BsOutbound_SetEvents(BsOutbound *call, const BsOutboundEvents *events,
                          void *context);

/* Returns whether the connection of CALL has had answers to other calls. */
bool BsOutbound_IsReused(const BsOutbound *call);

/* Closes the connection after the answer instead of keeping it. */
void BsOutbound_ForbidReuse(BsOutbound *call);

/* Records that a request with ID_HASH was refused on the connection of CALL,
   where a copy of the refusal may come late.  Called within on_head. */
void BsOutbound_NoteRefused(BsOutbound *call, uint64_t id_hash);

/* Stops or resumes reading the answer. */
void BsOutbound_SetReading(BsOutbound *call, bool reading);

#endif /* BS_GW_OUTBOUND_H */
