/*
 * ssesplitter.h - splits a stream of server-sent events into complete events.
 *
 * Rules: only complete events are passed on, so that a stream interrupted
 * inside an event can be resumed after the last complete one.
 */
#ifndef BS_SSESPLITTER_H
#define BS_SSESPLITTER_H

#include "boragespur.h"

typedef struct BsSseSplitter BsSseSplitter;

BsSseSplitter *BsSseSplitter_Create(void);

/* Frees SPLITTER; NULL is allowed. */
void BsSseSplitter_Destroy(BsSseSplitter *splitter);

/* Adds DATA and appends the events that are now complete to OUT.  Returns how
   many. */
unsigned BsSseSplitter_Feed(BsSseSplitter *splitter, const char *data,
                            size_t size_bytes, GString *out);

/* Moves the buffered bytes of an incomplete event to the end of OUT. */
void BsSseSplitter_TakePartial(BsSseSplitter *splitter, GString *out);

/* Discards the buffered bytes of an incomplete event. */
void BsSseSplitter_DropPartial(BsSseSplitter *splitter);

/* Returns the id of the last complete event that has one, or -1. */
int64_t BsSseSplitter_LastId(const BsSseSplitter *splitter);

/* Size limit of an event; a longer one means that the data is no event
   stream. */
#define BS_SSE_EVENT_MAX_BYTES (256 * 1024)

/* Returns how many bytes of an incomplete event are buffered. */
size_t BsSseSplitter_PartialBytes(const BsSseSplitter *splitter);

/* Returns the buffered bytes of an incomplete event, which SPLITTER owns. */
const char *BsSseSplitter_Partial(const BsSseSplitter *splitter);

#endif /* BS_SSESPLITTER_H */
