/*
 * http1.h - HTTP/1.1 messages read strictly and piecemeal.
 *
 * Rules: a head is split from its raw bytes, and one that two readers could
 * understand differently is refused; the body's framing is followed by
 * http_parser.  The reader does no input or output and stops after each
 * message, so that bytes behind it are never taken for a part of it.
 */
#ifndef BS_HTTP1_H
#define BS_HTTP1_H

#include "boragespur.h"

/* Bytes allowed in the head of an answer: upstreams send far less. */
#define BS_HTTP_ANSWER_HEAD_MAX_BYTES 65536

/* Which side wrote the message. */
typedef enum { BS_HTTP_REQUEST, BS_HTTP_ANSWER } BsHttpKind;

/* Why a message cannot be read. */
typedef enum {
    BS_HTTP_OK = 0,
    BS_HTTP_MALFORMED,      /* not a message, or open to two readings */
    BS_HTTP_HEAD_TOO_LARGE, /* head exceeds its limit */
    BS_HTTP_BODY_TOO_LARGE  /* body exceeds its limit */
} BsHttpFault;

/* One header as it was sent, without the space around its value. */
typedef struct {
    char *name;
    char *value;
} BsHttpHeader;

/* A head; strings are owned by it. */
typedef struct {
    char *method;         /* of a request */
    char *target;         /* of a request, in origin form */
    char *host;           /* of a request, without its port; lower case */
    char *authority;      /* of a request, as sent */
    GArray *headers;      /* BsHttpHeader, in the order sent */
    int64_t length_bytes; /* declared; -1 when not */
    uint32_t status;      /* of an answer */
    bool chunked;
    bool keep_alive; /* the sender lets the connection be used again */
} BsHttpHead;

/* Receives the parts of a message.  Any member may be NULL. */
typedef struct {
    void (*on_head)(const BsHttpHead *head, void *context);
    void (*on_body)(const char *data, size_t size_bytes, void *context);
    void (*on_end)(void *context);
} BsHttpEvents;

typedef struct BsHttpReader BsHttpReader;

/* Returns the value of the first header NAME, or NULL. */
const char *BsHttpHead_Find(const BsHttpHead *head, const char *name);

/* Splits the raw head TEXT, which ends with an empty line.  Returns NULL with
   FAULT set when it is malformed; free it with BsHttpHead_Destroy(). */
BsHttpHead *BsHttpHead_Parse(BsHttpKind kind, const char *text,
                             size_t size_bytes, BsHttpFault *fault);

/* Frees HEAD; NULL is allowed. */
void BsHttpHead_Destroy(BsHttpHead *head);

/* Returns whether the header NAME concerns one connection only, by itself or
   because a Connection header of HEAD names it. */
bool BsHttpHead_IsHopByHop(const BsHttpHead *head, const char *name);

/* Returns whether the comma-separated LIST holds TOKEN, case ignored. */
bool BsHttp_ListHolds(const char *list, const char *token);

/* Returns the seconds named by the Keep-Alive header of HEAD, or -1. */
int64_t BsHttpHead_KeepAliveS(const BsHttpHead *head);

/* Creates a reader; EVENTS must outlive it.  A body over BODY_MAX_BYTES is a
   fault when the limit is above 0. */
BsHttpReader *BsHttpReader_Create(BsHttpKind kind, const BsHttpEvents *events,
                                  void *context, size_t head_max_bytes,
                                  uint64_t body_max_bytes);

/* Frees READER; NULL is allowed.  Must not be called from an event. */
void BsHttpReader_Destroy(BsHttpReader *reader);

/* Changes the limits for the next message. */
void BsHttpReader_SetLimits(BsHttpReader *reader, size_t head_max_bytes,
                            uint64_t body_max_bytes);

/* Tells the reader of an answer that its request was a HEAD request. */
void BsHttpReader_ExpectNoBody(BsHttpReader *reader);

/* Reads DATA up to the end of the current message.  Returns the bytes taken;
   fewer than given only after the message's end or a fault. */
size_t BsHttpReader_Feed(BsHttpReader *reader, const char *data,
                         size_t size_bytes);

/* Tells the reader that the connection ended in order.  Returns whether the
   message was complete; one without a length ends here. */
bool BsHttpReader_Finish(BsHttpReader *reader);

/* Returns whether the current message has ended; Reset starts the next. */
bool BsHttpReader_IsComplete(const BsHttpReader *reader);

/* Returns what is wrong with the current message. */
BsHttpFault BsHttpReader_Fault(const BsHttpReader *reader);

/* Prepares for the next message on the connection. */
void BsHttpReader_Reset(BsHttpReader *reader);

#endif /* BS_HTTP1_H */
