/*
 * gw_outbound.h - calls to upstreams over kept connections.
 *
 * Rules: a connection carries one call at a time.  It is kept only after a
 * whole answer to a wholly sent message, and closed as soon as anything
 * arrives on it while no call is waiting.  Every call ends with exactly one
 * on_end unless it is cancelled; what it says about whether the request may
 * have reached the upstream is never too hopeful.
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
    BS_OUTBOUND_DONE,      /* whole answer */
    BS_OUTBOUND_UNSENT,    /* not connected; nothing left this process */
    BS_OUTBOUND_BROKEN,    /* no whole head of an answer; may have run */
    BS_OUTBOUND_TRUNCATED, /* the answer's body ended early */
    BS_OUTBOUND_GARBLED    /* what came is not an answer */
} BsOutboundEnd;

/* What the owner of a call is told. */
typedef struct {
    /* The message is being sent; from now on it may run. */
    void (*on_sent)(void *context);
    void (*on_head)(const BsHttpHead *head, void *context);
    void (*on_body)(const char *data, size_t size_bytes, void *context);
    /* The call is over and freed afterwards. */
    void (*on_end)(BsOutboundEnd end, void *context);
} BsOutboundEvents;

/* What to send and how. */
typedef struct {
    struct sockaddr_in address;
    const char *owner;     /* upstream meant; connections are its alone */
    GString *message;      /* head and body; taken over */
    int64_t reuse_idle_ms; /* oldest idle connection that may be used */
    uint32_t connect_timeout_ms;
    bool no_body; /* the answer has none, as of HEAD */
} BsOutboundRequest;

/* Counts for metrics. */
typedef struct {
    uint64_t opened;
    uint64_t reused;
    uint64_t stray_bytes; /* connections closed for unasked bytes */
} BsOutboundStats;

/* Creates a pool that keeps idle connections. */
BsOutboundPool *BsOutboundPool_Create(struct ev_loop *loop,
                                      const BsClock *clock);

/* Closes all idle connections and frees; calls must have ended. */
void BsOutboundPool_Destroy(BsOutboundPool *pool);

const BsOutboundStats *BsOutboundPool_Stats(const BsOutboundPool *pool);

/* Starts a call; events come later, never from within this function. */
BsOutbound *BsOutbound_Start(BsOutboundPool *pool,
                             const BsOutboundRequest *request,
                             const BsOutboundEvents *events, void *context);

/* Ends the call and its connection; no event follows.  NULL is allowed. */
void BsOutbound_Cancel(BsOutbound *call);

/* Stops or resumes reading the answer. */
void BsOutbound_SetReading(BsOutbound *call, bool reading);

#endif /* BS_GW_OUTBOUND_H */
