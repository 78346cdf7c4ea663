/*
 * d_loop.h - the event loop, and messages between the core and the tasks.
 *
 * Rules: everything runs on one thread.  A task owns its sockets.  It reaches
 * the core and other tasks only through messages: it posts them, and handles
 * the kinds that it registered for.  Posted messages are handled after the
 * current event callback, so a call to BsLoop_Post() never re-enters a task.
 */
#ifndef BS_D_LOOP_H
#define BS_D_LOOP_H

#include "boragespur.h"
#include "settings.h"

#include <ev.h>

typedef struct BsLoop BsLoop;

/* Handles MESSAGE, which is valid during the call only. */
typedef void (*BsHandlerFunc)(const BsMessage *message, void *context);

/* A callback without arguments other than its context. */
typedef void (*BsLoopFunc)(void *context);

/* Creates a loop with a core for SETTINGS, which must outlive it.  Returns
   NULL with ERROR set on failure. */
BsLoop *BsLoop_Create(const BsSettings *settings, GError **error);

/* Frees LOOP and its core; NULL is allowed. */
void BsLoop_Destroy(BsLoop *loop);

/* Returns the libev loop. */
struct ev_loop *BsLoop_Ev(const BsLoop *loop);

/* Returns the settings given to BsLoop_Create(). */
const BsSettings *BsLoop_Settings(const BsLoop *loop);

/* Returns the incarnation of this process, a random number other than 0. */
uint64_t BsLoop_Incarnation(const BsLoop *loop);

/* Returns the monotonic time in milliseconds. */
int64_t BsLoop_NowMs(const BsLoop *loop);

/* Registers HANDLER for messages of KIND that the core emits or a task posts
   or publishes. */
void BsLoop_Handle(BsLoop *loop, uint32_t kind, BsHandlerFunc handler,
                   void *context);

/* Queues MESSAGE, which the loop then passes to the core and to the handlers
   of its kind, and destroys. */
void BsLoop_Post(BsLoop *loop, BsMessage *message);

/* Passes MESSAGE at once to the handlers of its kind, but not to the core,
   and destroys it. */
void BsLoop_Publish(BsLoop *loop, BsMessage *message);

/* Adds AMOUNT to the daemon's counter NAME. */
void BsLoop_Count(BsLoop *loop, const char *name, uint64_t amount);

/* Sets the daemon's gauge NAME. */
void BsLoop_SetGauge(BsLoop *loop, const char *name, uint64_t value);

/* Appends the daemon's counters and gauges in Prometheus text format. */
void BsLoop_FormatCounters(const BsLoop *loop, GString *out);

/* Writes a log line with a syslog PRIORITY to standard error; line breaks in
   the text become spaces. */
void BsLoop_Log(BsLoop *loop, int priority, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Runs the loop until BsLoop_Stop() is called. */
void BsLoop_Run(BsLoop *loop);

/* Makes BsLoop_Run() return after the current event. */
void BsLoop_Stop(BsLoop *loop);

#endif /* BS_D_LOOP_H */
