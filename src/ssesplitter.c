/* ssesplitter.c - splits a stream of server-sent events into complete events.
 */
#include "ssesplitter.h"

#include <string.h>

struct BsSseSplitter {
    GString *partial;
    int64_t last_id;
};

BsSseSplitter *
BsSseSplitter_Create(void)
{
    BsSseSplitter *splitter = g_new0(BsSseSplitter, 1);
    splitter->partial = g_string_new(NULL);
    splitter->last_id = -1;
    return splitter;
}

void
BsSseSplitter_Destroy(BsSseSplitter *splitter)
{
    if (splitter == NULL) {
        return;
    }
    g_string_free(splitter->partial, TRUE);
    g_free(splitter);
}

/* Returns the length of the event at the start of TEXT, including the empty
   line that ends it, or 0 when it is incomplete. */
static size_t
S_event_bytes(const char *text, size_t size_bytes)
{
    for (size_t i = 0; i + 1 < size_bytes; i++) {
        if (text[i] == '\r' && text[i + 1] == '\r') {
            return i + 2;
        }
        if (text[i] != '\n') {
            continue;
        }
        if (text[i + 1] == '\n') {
            return i + 2;
        }
        if (text[i + 1] == '\r' && i + 2 < size_bytes && text[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

/* Stores the value of the event's "id:" field, if it has one. */
static void
S_read_id(BsSseSplitter *splitter, const char *event, size_t size_bytes)
{
    static const char field[] = "id:";
    const char *end = event + size_bytes;
    while (event < end) {
        size_t length = 0;
        while (event + length < end && event[length] != '\n' &&
               event[length] != '\r') {
            length++;
        }
        if (length > strlen(field) &&
            memcmp(event, field, strlen(field)) == 0) {
            splitter->last_id =
                g_ascii_strtoll(event + strlen(field), NULL, 10);
        }
        event += length + 1;
    }
}

unsigned
BsSseSplitter_Feed(BsSseSplitter *splitter, const char *data,
                   size_t size_bytes, GString *out)
{
    unsigned count = 0;
    size_t taken = 0;
    size_t bytes;
    g_string_append_len(splitter->partial, data, (gssize)size_bytes);
    while ((bytes = S_event_bytes(splitter->partial->str + taken,
                                  splitter->partial->len - taken)) > 0) {
        S_read_id(splitter, splitter->partial->str + taken, bytes);
        taken += bytes;
        count++;
    }
    g_string_append_len(out, splitter->partial->str, (gssize)taken);
    g_string_erase(splitter->partial, 0, (gssize)taken);
    return count;
}

void
BsSseSplitter_TakePartial(BsSseSplitter *splitter, GString *out)
{
    g_string_append_len(out, splitter->partial->str,
                        (gssize)splitter->partial->len);
    g_string_truncate(splitter->partial, 0);
}

void
BsSseSplitter_DropPartial(BsSseSplitter *splitter)
{
    g_string_truncate(splitter->partial, 0);
}

size_t
BsSseSplitter_PartialBytes(const BsSseSplitter *splitter)
{
    return splitter->partial->len;
}

const char *
BsSseSplitter_Partial(const BsSseSplitter *splitter)
{
    return splitter->partial->str;
}

int64_t
BsSseSplitter_LastId(const BsSseSplitter *splitter)
{
    return splitter->last_id;
}
