/*
 * d_call.h - one HTTP request of a caller and its response.
 *
 * Rules: a call moves from reading the request to waiting for the answer to
 * sending the response, never back.  The answer is buffered, up to a bound,
 * until its final outcome is known, unless the request asked for a stream.
 * Once the response head is sent, a failure ends an event stream with an error
 * event and closes the connection within any other body.
 */
#ifndef BS_D_CALL_H
#define BS_D_CALL_H

#include "connbudget.h"
#include "d_httpd.h"

/* Bytes of a refused body that are read and discarded, so that a caller that
   sends the whole body before it reads still receives the refusal. */
#define BS_CALL_DISCARD_MAX_BYTES (64 * 1024 * 1024)

typedef struct BsCall BsCall;

/* Creates a call on HTTPD for the request target TARGET (path and query). */
BsCall *BsCall_Create(BsLoop *loop, BsHttpd *httpd, const char *target);

/* Frees CALL, which must be closed. */
void BsCall_Destroy(BsCall *call);

/* Attaches CALL to its connection once the request head is read, and starts
   reading the body. */
void BsCall_Begin(BsCall *call, BsHttpd *httpd,
                  struct MHD_Connection *connection);

/* Returns whether BsCall_Begin() was called. */
bool BsCall_IsBegun(const BsCall *call);

/* Returns whether the body is still being read. */
bool BsCall_IsReading(const BsCall *call);

/* Adds body bytes.  A body longer than LIMIT_BYTES is discarded and the call
   refused.  Returns false when more than BS_CALL_DISCARD_MAX_BYTES arrived and
   the connection should be closed. */
bool BsCall_AddBody(BsCall *call, const void *data, size_t size_bytes,
                    size_t limit_bytes);

/* Returns the request body, which is owned by CALL. */
const void *BsCall_Body(const BsCall *call, size_t *size_bytes);

/* Frees the request body. */
void BsCall_DropBody(BsCall *call);

/* Returns the entry of the body in the server's budget. */
BsConnEntry *BsCall_BodyEntry(BsCall *call);

/* Returns the path and query as sent. */
const char *BsCall_Target(const BsCall *call);

/* Returns the connection. */
struct MHD_Connection *BsCall_Connection(const BsCall *call);

/* Sets the request id, which must outlive CALL. */
void BsCall_SetId(BsCall *call, const char *id);

/* Returns the request id, NULL before it is set. */
const char *BsCall_Id(const BsCall *call);

/* Answers with ERROR a call that was not passed to the core. */
void BsCall_Refuse(BsCall *call, BsErrorKind error, const char *detail);

/* As BsCall_Refuse() with BS_ERR_BAD_REQUEST, but with the HTTP status
   STATUS. */
void BsCall_RefuseStatus(BsCall *call, uint32_t status, const char *detail);

/* Refuses a request whose body is longer than LIMIT_BYTES. */
void BsCall_RefuseTooLarge(BsCall *call, size_t limit_bytes);

/* Starts the trace span of CALL under the trace context PARENT, which may be
   NULL; returns the context of the new span. */
const char *BsCall_StartHop(BsCall *call, const char *parent);

/* Starts waiting for the core's answer.  With CANCELS, a caller that closes
   its side counts as disconnected and the request is cancelled; with STREAM,
   pieces of an event stream are forwarded as they arrive. */
void BsCall_Wait(BsCall *call, bool cancels, bool stream);

/* Queues the response when its head is known; suspends the connection of a
   call that still waits for the core. */
enum MHD_Result BsCall_SendHead(BsCall *call);

/* Handles a piece of the core's answer. */
void BsCall_OnAnswer(BsCall *call, const BsAnswer *answer);

/* Handles the core's reply to a query. */
void BsCall_OnReply(BsCall *call, const BsQueryReply *reply);

/* Ends with ERROR a call that has no final answer yet. */
void BsCall_Fail(BsCall *call, BsErrorKind error, BsOutcome outcome);

/* Handles the end of the request.  Unless COMPLETE, cancels in the core a
   request that has no final answer. */
void BsCall_Close(BsCall *call, bool complete);

/* Ends CALL because the server shuts down; sends no cancellation. */
void BsCall_Abandon(BsCall *call);

#endif /* BS_D_CALL_H */
