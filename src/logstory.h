/*
 * logstory.h - the story of one request, from the logs of gateways.
 *
 * Rules: only what the lines say is told.  Lines that are no JSON object are
 * passed over and counted.  Every cause that a gateway writes has a text that
 * says what it means and what to look at.
 */
#ifndef BS_LOGSTORY_H
#define BS_LOGSTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a cause means; the list of causes ends with a NULL name. */
typedef struct {
    const char *cause;
    const char *meaning;
    const char *look_at; /* what leads further */
} BsLogCause;

extern const BsLogCause bs_log_causes[];

typedef struct BsLogStory BsLogStory;

/* Creates an empty story of the request ID, or of all requests with the
   content ID. */
BsLogStory *BsLogStory_Create(const char *id);

/* Frees STORY; NULL is allowed. */
void BsLogStory_Destroy(BsLogStory *story);

/* Takes in a line of a log, in the order of its file. */
void BsLogStory_AddLine(BsLogStory *story, const char *line);

/* Appends the story as text.  Returns false when no line names the request. */
bool BsLogStory_Format(BsLogStory *story, GString *out);

#endif /* BS_LOGSTORY_H */
