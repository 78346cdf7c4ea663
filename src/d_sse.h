/*
 * d_sse.h - splitting of a byte stream into whole server-sent events.
 *
 * Rules: an event ends with an empty line; the bytes of an unfinished event
 * are buffered, up to a bound.
 */
#ifndef BS_D_SSE_H
#define BS_D_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Longest event, in bytes. */
#define BS_SSE_EVENT_MAX_BYTES (1024 * 1024)

typedef struct {
    GByteArray *held; /* bytes of the unfinished event */
    uint32_t events;  /* data events that the last push returned */
    bool done;        /* "data: [DONE]" was seen */
} BsSse;

/* Prepares SSE for a new stream. */
void BsSse_Init(BsSse *sse);

/* Frees the buffer of SSE. */
void BsSse_Clear(BsSse *sse);

/* Adds bytes and returns those of all whole events, or NULL when there are
   none.  Sets EVENTS to the number of data events in them.  The caller unrefs
   the result. */
GBytes *BsSse_Push(BsSse *sse, const void *data, size_t size_bytes);

/* Takes the bytes after the last whole event, at the end of a stream; returns
   NULL when there are none. */
GBytes *BsSse_TakeRest(BsSse *sse);

/* Returns whether the unfinished event exceeds the bound. */
bool BsSse_IsTooLong(const BsSse *sse);

#endif /* BS_D_SSE_H */
