/*
 * d_call.h - one request of a caller on its connection.
 *
 * Rules: a call goes from reading over waiting to sending and never back; a
 * body is buffered until its final outcome is known, up to a bound, unless a
 * stream was asked for; once a head is out, a failure ends a stream with an
 * error event and breaks any other body.
 */
#ifndef BS_D_CALL_H
#define BS_D_CALL_H

#include "d_httpd.h"

/* Bytes of a refused body that are read and thrown away, so that a caller
   that sends first and reads later sees the refusal. */
#define BS_CALL_DISCARD_MAX_BYTES (64 * 1024 * 1024)

typedef struct BsCall BsCall;

/* Creates a call of HTTPD for the path and query TARGET. */
BsCall *BsCall_Create(BsLoop *loop, BsHttpd *httpd, const char *target);

/* Frees CALL, which must be closed. */
void BsCall_Destroy(BsCall *call);

/* Ties CALL to its connection, once the headers are known. */
void BsCall_Begin(BsCall *call, BsHttpd *httpd,
                  struct MHD_Connection *connection);

/* Returns whether BsCall_Begin() was called. */
bool BsCall_IsBegun(const BsCall *call);

/* Returns whether the body is still being read. */
bool BsCall_IsReading(const BsCall *call);

/* Adds body bytes; bytes beyond LIMIT are discarded and the call refused.
   Returns false when the connection should be closed. */
bool BsCall_AddBody(BsCall *call, const void *data, size_t size_bytes,
                    size_t limit_bytes);

/* Returns the body, which stays owned by CALL. */
const void *BsCall_Body(const BsCall *call, size_t *size_bytes);

/* Returns the path and query as sent. */
const char *BsCall_Target(const BsCall *call);

/* Returns the connection. */
struct MHD_Connection *BsCall_Connection(const BsCall *call);

/* Sets the request id, which must outlive CALL. */
void BsCall_SetId(BsCall *call, const char *id);

/* Returns the request id, NULL before it is set. */
const char *BsCall_Id(const BsCall *call);

/* Refuses a call that did not reach the core. */
void BsCall_Refuse(BsCall *call, BsErrorKind error, const char *detail);

/* As BsCall_Refuse() for a bad request, with another HTTP status. */
void BsCall_RefuseStatus(BsCall *call, uint32_t status, const char *detail);

/* Refuses a body of more than LIMIT bytes. */
void BsCall_RefuseTooLarge(BsCall *call, size_t limit_bytes);

/* Starts the trace span of CALL under the context PARENT, which may be NULL;
   returns its context. */
const char *BsCall_StartHop(BsCall *call, const char *parent);

/* Starts waiting for the core.  With CANCELS, a caller that closes its side
   is taken to be gone; with STREAM, pieces are passed on as they come. */
void BsCall_Wait(BsCall *call, bool cancels, bool stream);

/* Queues the response when there is one, else suspends the connection. */
enum MHD_Result BsCall_SendHead(BsCall *call);

/* Takes a piece of the answer. */
void BsCall_OnAnswer(BsCall *call, const BsAnswer *answer);

/* Takes the reply to a query. */
void BsCall_OnReply(BsCall *call, const BsQueryReply *reply);

/* Ends a call that has no final answer yet. */
void BsCall_Fail(BsCall *call, BsErrorKind error, BsOutcome outcome);

/* Handles the end of the request; tells the core when the caller left. */
void BsCall_Close(BsCall *call, bool complete);

/* Prepares CALL for the end of the server. */
void BsCall_Abandon(BsCall *call);

#endif /* BS_D_CALL_H */
