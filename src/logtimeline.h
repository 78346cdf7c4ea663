/*
 * logtimeline.h - timeline of one request, from the logs of gateways.
 *
 * Rules: reports only what log lines contain.  Lines that are not JSON
 * objects are skipped and counted.  Every cause that a gateway logs has a text
 * that says what it means and what to look at.
 */
#ifndef BS_LOGTIMELINE_H
#define BS_LOGTIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A cause in log lines and its explanation for an operator. */
typedef struct {
    const char *cause;
    const char *meaning;
    const char *look_at; /* log lines and metrics to check next */
} BsLogCause;

/* All causes; ends with a row whose cause is NULL. */
extern const BsLogCause bs_log_causes[];

typedef struct BsLogTimeline BsLogTimeline;

/* Creates an empty timeline of the request ID, or of all requests whose
   content hash is ID. */
BsLogTimeline *BsLogTimeline_Create(const char *id);

/* Frees TIMELINE; NULL is allowed. */
void BsLogTimeline_Destroy(BsLogTimeline *timeline);

/* Adds a line of a log; call it in the order of the file. */
void BsLogTimeline_AddLine(BsLogTimeline *timeline, const char *line);

/* Appends the timeline as text.  Returns false when no line contains the
   ID. */
bool BsLogTimeline_Format(BsLogTimeline *timeline, GString *out);

#endif /* BS_LOGTIMELINE_H */
