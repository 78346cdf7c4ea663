/*
 * d_callers.h - HTTP connections of callers.
 *
 * Rules: every request that reaches the core gets one request id and one
 * final answer; a connection waits suspended until there is something to
 * send; bytes that wait for a slow caller are bounded by pausing the flow.
 */
#ifndef BS_D_CALLERS_H
#define BS_D_CALLERS_H

#include "d_loop.h"

typedef struct BsCallers BsCallers;

/* Listens for callers; NULL with ERROR set when that fails. */
BsCallers *BsCallers_Create(BsLoop *loop, GError **error);

/* Closes every connection; NULL is allowed. */
void BsCallers_Destroy(BsCallers *callers);

/* Returns the number of requests without a complete answer. */
uint32_t BsCallers_Count(const BsCallers *callers);

/* Answers every waiting request with ERROR and an unknown outcome. */
void BsCallers_FailAll(BsCallers *callers, BsErrorKind error);

#endif /* BS_D_CALLERS_H */
