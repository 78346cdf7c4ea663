/*
 * d_callers.h - the HTTP server for callers.
 *
 * Rules: every request that reaches the core gets one request id and one
 * final answer; a connection is suspended while there is nothing to send;
 * bytes buffered for a slow caller are bounded by pausing the upstream's data.
 */
#ifndef BS_D_CALLERS_H
#define BS_D_CALLERS_H

#include "d_loop.h"

typedef struct BsCallers BsCallers;

/* Starts listening for callers; returns NULL with ERROR set on failure. */
BsCallers *BsCallers_Create(BsLoop *loop, GError **error);

/* Ends every request, closes the server and frees CALLERS; NULL is allowed. */
void BsCallers_Destroy(BsCallers *callers);

/* Starts to announce to callers that their connections close. */
void BsCallers_StartDrain(BsCallers *callers);

/* Returns the number of open connections. */
uint32_t BsCallers_CountConnections(const BsCallers *callers);

/* Returns whether all requests passed to the core are answered and their
   responses are sent. */
bool BsCallers_IsDone(const BsCallers *callers);

/* Ends every request that has no final answer with ERROR and an unknown
   outcome. */
void BsCallers_FailAll(BsCallers *callers, BsErrorKind error);

#endif /* BS_D_CALLERS_H */
