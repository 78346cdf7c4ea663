/*
 * eventlog.h - structured log lines, bounded and never blocking.
 *
 * Rules: a line is one JSON object.  Lines wait in a bounded buffer and go to
 * a descriptor that does not block.  Each event has a budget a second; what is
 * over it, or finds the buffer full, is counted, and the count is written
 * once there is room.  Failures have a larger budget than successes.
 */
#ifndef BS_EVENTLOG_H
#define BS_EVENTLOG_H

#include "boragespur.h"

/* How much a line is worth when there are too many. */
typedef enum {
    BS_EVENT_STATE,   /* changes what the process believes; rare */
    BS_EVENT_FAILURE, /* a request was refused or failed */
    BS_EVENT_DETAIL,  /* a step of a request */
    BS_EVENT_CLASSES
} BsEventClass;

typedef struct BsEventLog BsEventLog;

/* Creates a log that writes to FD, which is made non-blocking, and names the
   process INSTANCE in every line.  Lines carry the time of CLOCK, which does
   not jump, and of the WALL clock. */
BsEventLog *BsEventLog_Create(int fd, const char *instance,
                              const BsClock *clock, const BsClock *wall);

/* Writes what it can and frees; NULL is allowed. */
void BsEventLog_Destroy(BsEventLog *log);

/* Starts a line for EVENT.  Returns false when it is left out; then none of
   the functions below may be called for it. */
bool BsEventLog_Begin(BsEventLog *log, BsEventClass event_class,
                      const char *event);

/* Adds a member to the line. */
void BsEventLog_Text(BsEventLog *log, const char *name, const char *value);
void BsEventLog_Number(BsEventLog *log, const char *name, int64_t value);

/* Ends the line. */
void BsEventLog_End(BsEventLog *log);

/* Writes what waits, as far as the descriptor takes it. */
void BsEventLog_Flush(BsEventLog *log);

/* Returns how many lines were left out so far. */
uint64_t BsEventLog_Dropped(const BsEventLog *log);

#endif /* BS_EVENTLOG_H */
