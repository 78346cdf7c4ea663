/*
 * sseparts.h - splits a stream of server-sent events into complete events.
 *
 * Rules: only complete events are passed on, so that a stream interrupted
 * inside an event can be resumed after the last complete one.
 */
#ifndef BS_SSEPARTS_H
#define BS_SSEPARTS_H

#include "boragespur.h"

typedef struct BsSseParts BsSseParts;

BsSseParts *BsSseParts_Create(void);

/* Frees PARTS; NULL is allowed. */
void BsSseParts_Destroy(BsSseParts *parts);

/* Adds DATA and appends the events that are now complete to OUT.  Returns how
   many. */
unsigned BsSseParts_Feed(BsSseParts *parts, const char *data,
                         size_t size_bytes, GString *out);

/* Moves the buffered bytes of an incomplete event to the end of OUT. */
void BsSseParts_TakeRest(BsSseParts *parts, GString *out);

/* Discards the buffered bytes of an incomplete event. */
void BsSseParts_DropRest(BsSseParts *parts);

/* Returns the last event id in a complete event, or -1. */
int64_t BsSseParts_LastId(const BsSseParts *parts);

/* Size limit of an event; a longer one means that the data is no event
   stream. */
#define BS_SSE_EVENT_MAX_BYTES (256 * 1024)

/* Returns how many bytes of an incomplete event are buffered. */
size_t BsSseParts_RestBytes(const BsSseParts *parts);

#endif /* BS_SSEPARTS_H */
