/*
 * http1.h - strict incremental parser for HTTP/1.1 messages.
 *
 * Rules: a head is parsed from its raw bytes and rejected when two parsers
 * could read it differently (request smuggling); http_parser decodes the
 * body.  The reader does no I/O and stops at the end of each message, so that
 * bytes that follow are never taken for part of it.
 */
#ifndef BS_HTTP1_H
#define BS_HTTP1_H

#include "boragespur.h"

/* Size limit of a response head: upstreams send far less. */
#define BS_HTTP_RESPONSE_HEAD_MAX_BYTES 65536

/* Kind of the message: a request or a response. */
typedef enum { BS_HTTP_REQUEST, BS_HTTP_RESPONSE } BsHttpKind;

/* Why a message was rejected. */
typedef enum {
    BS_HTTP_OK = 0,
    BS_HTTP_MALFORMED,      /* not HTTP/1.x, or ambiguous */
    BS_HTTP_HEAD_TOO_LARGE, /* head exceeds its limit */
    BS_HTTP_BODY_TOO_LARGE  /* body exceeds its limit */
} BsHttpFault;

/* A header as received; white space around the value is removed. */
typedef struct {
    char *name;
    char *value;
} BsHttpHeader;

/* A parsed head; it owns its strings. */
typedef struct {
    char *method;         /* requests only */
    char *target;         /* requests only; in origin form */
    char *host;           /* requests only; without port, in lower case */
    char *authority;      /* requests only; as received */
    GArray *headers;      /* BsHttpHeader, in the order received */
    GHashTable *listed;   /* set of the tokens of the Connection headers, in
                             lower case; NULL when there are none */
    int64_t length_bytes; /* declared body length, or -1 */
    uint32_t status;      /* responses only */
    bool chunked;
    bool keep_alive;  /* the sender allows reuse of the connection */
    bool old_version; /* HTTP/1.0: the sender cannot read chunks */
} BsHttpHead;

/* Callbacks for the parts of a message.  Any member may be NULL. */
typedef struct {
    void (*on_head)(const BsHttpHead *head, void *context);
    void (*on_body)(const char *data, size_t size_bytes, void *context);
    void (*on_end)(void *context);
} BsHttpEvents;

typedef struct BsHttpReader BsHttpReader;

/* Returns the value of the first header NAME, case ignored, or NULL. */
const char *BsHttpHead_Find(const BsHttpHead *head, const char *name);

/* Parses the raw head TEXT, which ends with an empty line.  Returns NULL when
   it is malformed; sets FAULT.  Free the result with BsHttpHead_Destroy(). */
BsHttpHead *BsHttpHead_Parse(BsHttpKind kind, const char *text,
                             size_t size_bytes, BsHttpFault *fault);

/* Frees HEAD; NULL is allowed. */
void BsHttpHead_Destroy(BsHttpHead *head);

/* Returns whether the header NAME is hop-by-hop: by definition, or because a
   Connection header of HEAD lists it. */
bool BsHttpHead_IsHopByHop(const BsHttpHead *head, const char *name);

/* Returns whether the comma-separated LIST contains TOKEN, case ignored. */
bool BsHttp_ListHolds(const char *list, const char *token);

/* Returns the timeout in the Keep-Alive header of HEAD in seconds, or -1. */
int64_t BsHttpHead_KeepAliveS(const BsHttpHead *head);

/* Creates a reader; EVENTS must outlive it.  A BODY_MAX_BYTES of 0 means no
   limit. */
BsHttpReader *BsHttpReader_Create(BsHttpKind kind, const BsHttpEvents *events,
                                  void *context, size_t head_max_bytes,
                                  uint64_t body_max_bytes);

/* Frees READER; NULL is allowed.  Must not be called from a callback. */
void BsHttpReader_Destroy(BsHttpReader *reader);

/* Sets the limits for the next message; see BsHttpReader_Create(). */
void BsHttpReader_SetLimits(BsHttpReader *reader, size_t head_max_bytes,
                            uint64_t body_max_bytes);

/* Expects a response without a body, because its request was a HEAD. */
void BsHttpReader_ExpectNoBody(BsHttpReader *reader);

/* Parses DATA up to the end of the current message.  Returns the number of
   bytes consumed: fewer than SIZE_BYTES only at the end of the message or
   after a fault. */
size_t BsHttpReader_Feed(BsHttpReader *reader, const char *data,
                         size_t size_bytes);

/* Signals an orderly end of the connection, which also ends a body without a
   length.  Returns whether the message is complete. */
bool BsHttpReader_Finish(BsHttpReader *reader);

/* Returns whether the current message is complete; BsHttpReader_Reset()
   starts the next. */
bool BsHttpReader_IsComplete(const BsHttpReader *reader);

/* Returns why the current message was rejected, or BS_HTTP_OK. */
BsHttpFault BsHttpReader_Fault(const BsHttpReader *reader);

/* Frees the headers of the current message, whose head has been read, for a
   reader that needs them no longer while the body is read. */
void BsHttpReader_ForgetHeaders(BsHttpReader *reader);

/* Returns the memory that the head of the current message takes. */
size_t BsHttpReader_HeadBytes(const BsHttpReader *reader);

/* Prepares for the next message on the connection. */
void BsHttpReader_Reset(BsHttpReader *reader);

#endif /* BS_HTTP1_H */
