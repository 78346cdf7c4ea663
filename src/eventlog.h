/*
 * eventlog.h - structured log with bounded memory that never blocks.
 *
 * Rules: a line is one JSON object.  Lines are queued in a bounded buffer and
 * written to a non-blocking descriptor.  Each class of events has a limit of
 * lines per second; lines over it, or while the buffer is full, are dropped
 * and counted, and the count is logged once there is room.  Failures have a
 * higher limit than steps of a request.
 */
#ifndef BS_EVENTLOG_H
#define BS_EVENTLOG_H

#include "boragespur.h"

/* Class of an event; each has its own rate limit. */
typedef enum {
    BS_EVENT_STATE,   /* what the process knows or does changed; rare */
    BS_EVENT_FAILURE, /* a request was refused or failed */
    BS_EVENT_DETAIL,  /* a step of a request */
    BS_EVENT_CLASSES
} BsEventClass;

typedef struct BsEventLog BsEventLog;

/* Creates a log that writes to FD, which is made non-blocking; INSTANCE is a
   field of every line.  Lines contain the time of CLOCK, which is monotonic,
   and of the WALL clock; both must outlive the log. */
BsEventLog *BsEventLog_Create(int fd, const char *instance,
                              const BsClock *clock, const BsClock *wall);

/* Writes as many lines as FD accepts without blocking and frees LOG; NULL is
   allowed. */
void BsEventLog_Destroy(BsEventLog *log);

/* Starts a line for EVENT.  Returns false when the line is dropped; then
   BsEventLog_Text(), BsEventLog_Number() and BsEventLog_End() must not be
   called for it. */
bool BsEventLog_Begin(BsEventLog *log, BsEventClass event_class,
                      const char *event);

/* Adds a field to the line; a NULL VALUE is omitted. */
void BsEventLog_Text(BsEventLog *log, const char *name, const char *value);
void BsEventLog_Number(BsEventLog *log, const char *name, int64_t value);

/* Ends the line. */
void BsEventLog_End(BsEventLog *log);

/* Writes as much of the buffer as the descriptor accepts. */
void BsEventLog_Flush(BsEventLog *log);

/* Returns how many lines have been dropped. */
uint64_t BsEventLog_Dropped(const BsEventLog *log);

#endif /* BS_EVENTLOG_H */
