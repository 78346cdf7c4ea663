/*
 * streamend.h - whether an event stream is complete where its answer ends.
 *
 * Rules: an event ends with an empty line, so a stream that ends inside one
 * was broken off, whatever marks the end of its answer.  An answer without a
 * length and chunks ends with its connection, which ends in order in a crash,
 * too; without any event it counts as broken off.  Comments and empty lines
 * after the last event are allowed, and so is the line "data: [DONE]", which
 * some engines send without an empty line: nothing follows it.
 */
#ifndef BS_STREAMEND_H
#define BS_STREAMEND_H

#include <stdbool.h>
#include <stddef.h>

/* The end of an event stream. */
typedef struct {
    const char *rest; /* what follows the last whole event */
    size_t rest_bytes;
    bool has_events; /* a whole event has arrived */
    bool by_close;   /* only the end of the connection marks the end */
} BsStreamEnd;

/* Returns whether the stream is complete. */
bool BsStreamEnd_IsComplete(const BsStreamEnd *end);

#endif /* BS_STREAMEND_H */
