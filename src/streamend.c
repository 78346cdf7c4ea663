/* streamend.c - whether an event stream is complete where its answer ends. */
#include "streamend.h"

#include <string.h>

#define DONE_LINE "data: [DONE]"

/* What the lines after the last whole event show. */
typedef enum {
    REST_EMPTY,  /* empty lines and comments only */
    REST_DONE,   /* the last line of the stream */
    REST_PARTIAL /* a part of an event, or of a line */
} BsStreamRest;

/* Returns what the line TEXT, without its line ending, shows. */
static BsStreamRest
S_read_line(const char *text, size_t size_bytes)
{
    if (size_bytes == 0 || text[0] == ':') {
        return REST_EMPTY;
    }
    bool done = size_bytes == strlen(DONE_LINE) &&
                memcmp(text, DONE_LINE, size_bytes) == 0;
    return done ? REST_DONE : REST_PARTIAL;
}

/* Lines end with CR, LF or both; the empty line that CR LF makes of it is
   harmless here. */
static BsStreamRest
S_read_rest(const BsStreamEnd *end)
{
    BsStreamRest rest = REST_EMPTY;
    size_t line = 0;
    for (size_t at = 0; at < end->rest_bytes; at++) {
        if (end->rest[at] != '\n' && end->rest[at] != '\r') {
            continue;
        }
        BsStreamRest shown = S_read_line(end->rest + line, at - line);
        if (shown == REST_PARTIAL) {
            return REST_PARTIAL;
        }
        rest = shown == REST_EMPTY ? rest : shown;
        line = at + 1;
    }
    return line < end->rest_bytes ? REST_PARTIAL : rest;
}

bool
BsStreamEnd_IsComplete(const BsStreamEnd *end)
{
    switch (S_read_rest(end)) {
    case REST_PARTIAL:
        return false;
    case REST_DONE:
        return true;
    default:
        return end->has_events || !end->by_close;
    }
}
