/*
 * d_loop.h - the event loop, the core in it, and the messages between them.
 *
 * Rules: everything runs on one thread.  Tasks own their sockets and reach
 * the core and each other only through messages: they post messages and
 * handle kinds.  A posted message is handled after the current event
 * callback, so no task is entered from within its own call to Post.
 */
#ifndef BS_D_LOOP_H
#define BS_D_LOOP_H

#include "boragespur.h"
#include "settings.h"

#include <ev.h>

typedef struct BsLoop BsLoop;

/* Receives a message; it is valid during the call only. */
typedef void (*BsHandlerFunc)(const BsMessage *message, void *context);

/* Receives an idle point or a stop. */
typedef void (*BsLoopFunc)(void *context);

/* Creates a loop with a core for SETTINGS; NULL with ERROR set on failure. */
BsLoop *BsLoop_Create(const BsSettings *settings, GError **error);

/* Frees LOOP and its core; NULL is allowed. */
void BsLoop_Destroy(BsLoop *loop);

/* Returns the libev loop. */
struct ev_loop *BsLoop_Ev(const BsLoop *loop);

/* Returns the settings. */
const BsSettings *BsLoop_Settings(const BsLoop *loop);

/* Returns the incarnation of this process. */
uint64_t BsLoop_Incarnation(const BsLoop *loop);

/* Returns the monotonic time in milliseconds. */
int64_t BsLoop_NowMs(const BsLoop *loop);

/* Calls HANDLER for each message of KIND, emitted by the core or posted. */
void BsLoop_Handle(BsLoop *loop, uint32_t kind, BsHandlerFunc handler,
                   void *context);

/* Gives MESSAGE to the core and to its handlers, and destroys it. */
void BsLoop_Post(BsLoop *loop, BsMessage *message);

/* Gives MESSAGE to its handlers but not to the core, and destroys it. */
void BsLoop_Publish(BsLoop *loop, BsMessage *message);

/* Adds AMOUNT to a counter of the daemon. */
void BsLoop_Count(BsLoop *loop, const char *name, uint64_t amount);

/* Sets a gauge of the daemon. */
void BsLoop_SetGauge(BsLoop *loop, const char *name, uint64_t value);

/* Appends the daemon's counters in Prometheus text format. */
void BsLoop_FormatCounters(const BsLoop *loop, GString *out);

/* Writes a syslog-style line to standard error. */
void BsLoop_Log(BsLoop *loop, int priority, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Runs until BsLoop_Stop(). */
void BsLoop_Run(BsLoop *loop);

/* Ends BsLoop_Run() after the current event. */
void BsLoop_Stop(BsLoop *loop);

#endif /* BS_D_LOOP_H */
