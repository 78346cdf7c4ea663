/* d_sse.c - splitting of a byte stream into whole server-sent events. */
#include "d_sse.h"

#include <string.h>

#define DONE_LINE "data: [DONE]"

void
BsSse_Init(BsSse *sse)
{
    sse->held = g_byte_array_new();
    sse->events = 0;
    sse->done = false;
}

void
BsSse_Clear(BsSse *sse)
{
    g_byte_array_unref(sse->held);
}

/* Returns the length of the line at TEXT without its line ending, or -1 when
   the line is incomplete; NEXT is set to the offset of the following line. */
static gssize
S_read_line(const char *text, size_t size, size_t *next)
{
    const char *end = memchr(text, '\n', size);
    if (end == NULL) {
        return -1;
    }
    gssize length = end - text;
    *next = (size_t)length + 1;
    if (length > 0 && text[length - 1] == '\r') {
        length--;
    }
    return length;
}

static bool
S_starts_with(const char *line, gssize length, const char *prefix)
{
    gssize wanted = (gssize)strlen(prefix);
    return length >= wanted && memcmp(line, prefix, (size_t)wanted) == 0;
}

/* Returns the length in bytes of the whole events at the start of the buffer.
   Counts the data events among them, and notes a DONE_LINE. */
static size_t
S_scan(BsSse *sse)
{
    const char *text = (const char *)sse->held->data;
    size_t whole = 0;
    size_t offset = 0;
    size_t next = 0;
    bool has_data = false;
    gssize length;
    while ((length = S_read_line(text + offset, sse->held->len - offset,
                                 &next)) >= 0) {
        const char *line = text + offset;
        offset += next;
        if (S_starts_with(line, length, "data:")) {
            has_data = true;
        }
        if (S_starts_with(line, length, DONE_LINE)) {
            sse->done = true;
        }
        if (length == 0) {
            sse->events += has_data ? 1 : 0;
            has_data = false;
            whole = offset;
        }
    }
    return whole;
}

GBytes *
BsSse_Push(BsSse *sse, const void *data, size_t size_bytes)
{
    g_byte_array_append(sse->held, data, (guint)size_bytes);
    sse->events = 0;
    size_t whole = S_scan(sse);
    if (whole == 0) {
        return NULL;
    }
    GBytes *bytes = g_bytes_new(sse->held->data, whole);
    g_byte_array_remove_range(sse->held, 0, (guint)whole);
    return bytes;
}

GBytes *
BsSse_TakeRest(BsSse *sse)
{
    if (sse->held->len == 0) {
        return NULL;
    }
    GBytes *bytes = g_byte_array_free_to_bytes(sse->held);
    sse->held = g_byte_array_new();
    return bytes;
}

bool
BsSse_IsTooLong(const BsSse *sse)
{
    return sse->held->len > BS_SSE_EVENT_MAX_BYTES;
}
