/* d_headcheck.c - detection of ambiguous heads of callers' requests. */
#include "d_headcheck.h"

#include "d_screen.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* Headers counted and faults found in one head. */
typedef struct {
    unsigned hosts;
    unsigned lengths;
    unsigned codings;
    bool bad_name;
    bool bad_value;
} BsHeadCounts;

static enum MHD_Result
S_on_header(void *context, enum MHD_ValueKind kind, const char *name,
            size_t name_bytes, const char *value, size_t value_bytes)
{
    BsHeadCounts *counts = context;
    (void)kind;
    counts->hosts += g_ascii_strcasecmp(name, "Host") == 0;
    counts->lengths += g_ascii_strcasecmp(name, "Content-Length") == 0;
    counts->codings += g_ascii_strcasecmp(name, "Transfer-Encoding") == 0;
    counts->bad_name |= name_bytes == 0 || strlen(name) != name_bytes ||
                        strpbrk(name, " \t") != NULL;
    counts->bad_value |= value != NULL && strlen(value) != value_bytes;
    return MHD_YES;
}

/* Returns whether the path segment TEXT is "." or "..", also when its dots are
   percent-encoded. */
static bool
S_is_dot_segment(const char *text, size_t size_bytes)
{
    unsigned dots = 0;
    size_t at = 0;
    while (at < size_bytes) {
        bool encoded = size_bytes - at >= 3 &&
                       g_ascii_strncasecmp(text + at, "%2e", 3) == 0;
        if (!encoded && text[at] != '.') {
            return false;
        }
        at += encoded ? 3 : 1;
        dots++;
    }
    return dots == 1 || dots == 2;
}

static bool
S_has_dot_segment(const char *target)
{
    const char *end = target + strcspn(target, "?");
    while (target < end) {
        target++;
        size_t size_bytes = strcspn(target, "/?");
        if (S_is_dot_segment(target, size_bytes)) {
            return true;
        }
        target += size_bytes;
    }
    return false;
}

const char *
BsHeadCheck_Find(struct MHD_Connection *connection, const char *target)
{
    BsHeadCounts counts = {0};
    MHD_get_connection_values_n(connection, MHD_HEADER_KIND, S_on_header,
                                &counts);
    if (MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                    BS_SCREEN_MALFORMED_HEADER) != NULL) {
        return "the head is malformed: send each header on one line, without "
               "control characters and without a space before its colon";
    }
    if (counts.hosts != 1) {
        return "send exactly one Host header";
    }
    if (counts.lengths > 1 || counts.codings > 1 ||
        counts.lengths + counts.codings > 1) {
        return "send one Content-Length, or Transfer-Encoding without it";
    }
    if (counts.bad_name) {
        return "a header's name holds a space; put the colon right behind it";
    }
    if (counts.bad_value) {
        return "a header's value holds a NUL; remove it";
    }
    if (S_has_dot_segment(target)) {
        return "the path holds a dot segment; send the path that is meant";
    }
    return NULL;
}

const char *
BsHeadCheck_OriginForm(const char *target)
{
    static const char *const schemes[] = {"http://", "https://"};
    for (size_t i = 0; i < G_N_ELEMENTS(schemes); i++) {
        size_t bytes = strlen(schemes[i]);
        if (g_ascii_strncasecmp(target, schemes[i], bytes) == 0) {
            const char *path = strchr(target + bytes, '/');
            return path == NULL ? "/" : path;
        }
    }
    return target;
}
