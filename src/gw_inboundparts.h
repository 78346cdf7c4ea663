/*
 * gw_inboundparts.h - callers' connections, shared by the files of
 * gw_inbound.h: gw_inbound.c (memory and end of a connection),
 * gw_inboundread.c (requests), gw_inboundanswer.c (answers) and
 * gw_inboundserver.c (listening and timeouts).
 */
#ifndef BS_GW_INBOUNDPARTS_H
#define BS_GW_INBOUNDPARTS_H

#include "gw_inbound.h"
#include "gw_stream.h"

/* A buffer up to this size is kept between requests.  It does not count, as
   the limit on connections covers it. */
#define BS_INBOUND_KEPT_BYTES 1024

#define MS_PER_S 1000

typedef enum {
    BS_INBOUND_IDLE,
    BS_INBOUND_READING,
    BS_INBOUND_ANSWERING
} BsInboundState;

struct BsInbound {
    BsInboundServer *server;
    BsStream *stream;
    BsHttpReader *reader;
    const BsHttpHead *head; /* owned by the reader */
    GString *body;
    GString *pipelined_data; /* bytes after the current request */
    size_t pipelined_at;     /* parsed bytes at the front of PIPELINED_DATA */
    BsConnEntry entry;       /* in the server's budget */
    bool held; /* while requests are parsed: BsInbound_Free() leaves its memory
                */
    bool is_freed; /* BsInbound_Free() was called while HELD */
    void *user;
    BsInboundState state;
    int64_t started_ms; /* first byte of the request */
    int64_t active_ms;  /* last byte read, or end of the last answer */
    int64_t idle_ms; /* idle time last announced to the caller, or at accept */
    int64_t header_timeout_ms;    /* of the current request */
    int64_t body_idle_timeout_ms; /* of the current request */
    bool close_after;
    bool chunked;
    bool no_chunks; /* the caller cannot read chunks */
    bool head_sent;
    bool head_only; /* answer to a HEAD request */
};

struct BsInboundServer {
    struct ev_loop *loop;
    const BsClock *clock;
    const BsInboundApp *app;
    void *context;
    BsInboundLimits limits;
    ev_io accept_watcher;
    ev_timer pause_timer;
    ev_timer sweep_timer;
    ev_prepare prepare;
    BsConnBudget *budget;
    GHashTable *connections; /* set of BsInbound */
    uint64_t held_bytes;
    unsigned requests;
    int fd;
    bool draining;
    bool listening;
};

/* Returns the time on the server's clock. */
int64_t BsInboundServer_NowMs(const BsInboundServer *server);

/* ------------------------------------------------------- connections -- */

/* Enters in the budget what INBOUND does and buffers. */
void BsInbound_Account(BsInbound *inbound);

/* Returns the bytes after the current request that were not parsed yet. */
size_t BsInbound_PipelinedBytes(const BsInbound *inbound);

void BsInbound_ReleaseBody(BsInbound *inbound);

/* Frees everything but the stream, which must be closed separately. */
void BsInbound_Free(BsInbound *inbound);

void BsInbound_Destroy(BsInbound *inbound);

/* Ends the time in which INBOUND is held.  Returns false if it was freed
   meanwhile. */
bool BsInbound_EndHold(BsInbound *inbound);

/* Closes the connection when all bytes of its answers have been sent, and
   frees INBOUND. */
void BsInbound_CloseWhenSent(BsInbound *inbound);

/* Closes an idle connection so that a request which crosses the close is not
   read.  Leaves it open when the next request or the caller's own close waits
   to be read, as the process may have been held up until the idle time was
   over, and when the end of the last answer has not arrived, as a reset would
   drop it.  May free INBOUND. */
void BsInbound_CloseIdle(BsInbound *inbound);

/* ----------------------------------------------------------- reading -- */

/* Starts to read from the connection FD, which was accepted. */
void BsInbound_Create(BsInboundServer *server, int fd);

/* Answers a request that was not read whole, and closes the connection. */
void BsInbound_Refuse(BsInbound *inbound, uint32_t status,
                      const char *headers);

/* Parses the pipelined bytes, answering one request after the other, until one
   is not answered at once or the caller has too many unread answers.  Does
   nothing when it is called for an answer that it caused itself.  Returns
   false when INBOUND was freed. */
bool BsInbound_ParsePipelined(BsInbound *inbound);

#endif /* BS_GW_INBOUNDPARTS_H */
