/* delta.c - line-based difference between two texts. */
#include "delta.h"

#include <string.h>
#include <xxhash.h>

/* Occurrences of a line in the base that are tried for the longest run. */
#define POSITIONS_MAX 8

/* Longest header or operation: a letter, two numbers, separators, newline. */
#define OPERATION_MAX_BYTES 48

typedef struct {
    const char *start;
    size_t size_bytes; /* with its newline */
    uint64_t hash;
} BsTextLine;

/* A text that is being read: the unread part of it. */
typedef struct {
    const char *at;
    const char *end;
} BsReader;

static uint64_t
S_hash(GBytes *text)
{
    gsize size;
    const void *data = g_bytes_get_data(text, &size);
    return XXH3_64bits(data, size);
}

uint32_t
BsDelta_Hash(GBytes *text)
{
    uint32_t hash = (uint32_t)S_hash(text);
    return hash == 0 ? 1 : hash;
}

static GArray *
S_split(GBytes *text)
{
    gsize size;
    const char *at = g_bytes_get_data(text, &size);
    const char *end = at + size;
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(BsTextLine));
    while (at < end) {
        const char *newline = memchr(at, '\n', (size_t)(end - at));
        const char *next = newline == NULL ? end : newline + 1;
        BsTextLine line = {at, (size_t)(next - at), 0};
        line.hash = XXH3_64bits(at, line.size_bytes);
        g_array_append_val(lines, line);
        at = next;
    }
    return lines;
}

static const BsTextLine *
S_line(const GArray *lines, guint index)
{
    return &g_array_index(lines, BsTextLine, index);
}

static bool
S_is_same(const BsTextLine *a, const BsTextLine *b)
{
    return a->hash == b->hash && a->size_bytes == b->size_bytes &&
           memcmp(a->start, b->start, a->size_bytes) == 0;
}

/* Returns a table from line hash to the first indexes of lines with that hash
   (GArray of guint). */
static GHashTable *
S_index(GArray *lines)
{
    GHashTable *index = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)g_array_unref);
    for (guint i = 0; i < lines->len; i++) {
        BsTextLine *line = &g_array_index(lines, BsTextLine, i);
        GArray *positions = g_hash_table_lookup(index, &line->hash);
        if (positions == NULL) {
            positions = g_array_new(FALSE, FALSE, sizeof(guint));
            g_hash_table_insert(index, &line->hash, positions);
        }
        if (positions->len < POSITIONS_MAX) {
            g_array_append_val(positions, i);
        }
    }
    return index;
}

static guint
S_run_length(const GArray *base, guint from, const GArray *target, guint at)
{
    guint length = 0;
    while (
        from + length < base->len && at + length < target->len &&
        S_is_same(S_line(base, from + length), S_line(target, at + length))) {
        length++;
    }
    return length;
}

/* Returns the length, in lines, of a run of BASE that equals TARGET at AT, and
   sets FROM to its start.  A run at EXPECTED, the line after the last run, is
   taken if there is one; else the longest of the indexed ones. */
static guint
S_find_run(const GArray *base, GHashTable *index, const GArray *target,
           guint at, guint expected, guint *from)
{
    guint best = S_run_length(base, expected, target, at);
    *from = expected;
    const GArray *positions =
        g_hash_table_lookup(index, &S_line(target, at)->hash);
    for (guint i = 0; best == 0 && positions != NULL && i < positions->len;
         i++) {
        guint position = g_array_index(positions, guint, i);
        guint length = S_run_length(base, position, target, at);
        if (length > best) {
            best = length;
            *from = position;
        }
    }
    return best;
}

static void
S_flush(GString *out, GString *added)
{
    if (added->len > 0) {
        g_string_append_printf(out, "a %zu\n", (size_t)added->len);
        g_string_append_len(out, added->str, (gssize)added->len);
        g_string_truncate(added, 0);
    }
}

static void
S_append_operations(GString *out, GArray *base, GArray *target)
{
    GHashTable *index = S_index(base);
    GString *added = g_string_new(NULL);
    guint expected = 0;
    guint at = 0;
    while (at < target->len) {
        guint from;
        guint length = S_find_run(base, index, target, at, expected, &from);
        if (length == 0) {
            const BsTextLine *line = S_line(target, at++);
            g_string_append_len(added, line->start, (gssize)line->size_bytes);
            continue;
        }
        S_flush(out, added);
        g_string_append_printf(out, "c %u %u\n", from, length);
        at += length;
        expected = from + length;
    }
    S_flush(out, added);
    g_string_free(added, TRUE);
    g_hash_table_destroy(index);
}

GBytes *
BsDelta_Create(GBytes *base, GBytes *target)
{
    GArray *base_lines = S_split(base);
    GArray *target_lines = S_split(target);
    GString *out = g_string_new(NULL);
    g_string_append_printf(out, "%" G_GINT64_MODIFIER "x %zu\n",
                           S_hash(target), (size_t)g_bytes_get_size(target));
    S_append_operations(out, base_lines, target_lines);
    g_array_unref(base_lines);
    g_array_unref(target_lines);
    return g_string_free_to_bytes(out);
}

/* ---------------------------------------------------------------------- */
/* Applying                                                                */
/* ---------------------------------------------------------------------- */

/* Reads a line into BUFFER without its newline; returns false if it is too
   long or has no newline. */
static bool
S_read_line(BsReader *reader, char buffer[OPERATION_MAX_BYTES])
{
    size_t left = (size_t)(reader->end - reader->at);
    const char *newline =
        memchr(reader->at, '\n', MIN(left, OPERATION_MAX_BYTES));
    if (newline == NULL) {
        return false;
    }
    size_t length = (size_t)(newline - reader->at);
    memcpy(buffer, reader->at, length);
    buffer[length] = '\0';
    reader->at = newline + 1;
    return true;
}

/* Parses a number in BASE and an optional decimal one (0 if absent). */
static bool
S_parse_numbers(const char *text, int base, uint64_t *first, uint64_t *second)
{
    char *end;
    *second = 0;
    *first = g_ascii_strtoull(text, &end, (guint)base);
    if (end == text) {
        return false;
    }
    if (*end == ' ') {
        *second = g_ascii_strtoull(end + 1, &end, 10);
    }
    return *end == '\0';
}

static bool
S_copy_lines(GString *out, const GArray *base, uint64_t from, uint64_t count,
             size_t max_bytes)
{
    if (from > base->len || count > base->len - from) {
        return false;
    }
    for (uint64_t i = 0; i < count && out->len <= max_bytes; i++) {
        const BsTextLine *line = S_line(base, (guint)(from + i));
        g_string_append_len(out, line->start, (gssize)line->size_bytes);
    }
    return true;
}

static bool
S_add_bytes(GString *out, BsReader *reader, uint64_t count)
{
    if (count > (uint64_t)(reader->end - reader->at)) {
        return false;
    }
    g_string_append_len(out, reader->at, (gssize)count);
    reader->at += count;
    return true;
}

static bool
S_apply_operation(GString *out, const GArray *base, BsReader *reader,
                  size_t max_bytes)
{
    char operation[OPERATION_MAX_BYTES];
    uint64_t first;
    uint64_t second;
    if (!S_read_line(reader, operation) || operation[0] == '\0' ||
        operation[1] != ' ' ||
        !S_parse_numbers(operation + 2, 10, &first, &second)) {
        return false;
    }
    switch (operation[0]) {
    case 'c':
        return S_copy_lines(out, base, first, second, max_bytes);
    case 'a':
        return S_add_bytes(out, reader, first);
    default:
        return false;
    }
}

/* Appends the result of the operations; returns false if one is malformed or
   the result is longer than MAX_BYTES. */
static bool
S_apply(GString *out, GBytes *base, BsReader *reader, size_t max_bytes)
{
    GArray *lines = S_split(base);
    bool valid = true;
    while (valid && reader->at < reader->end) {
        valid = S_apply_operation(out, lines, reader, max_bytes) &&
                out->len <= max_bytes;
    }
    g_array_unref(lines);
    return valid;
}

GBytes *
BsDelta_Apply(GBytes *base, GBytes *delta, size_t max_bytes, GError **error)
{
    gsize size;
    const char *data = g_bytes_get_data(delta, &size);
    BsReader reader = {data, data + size};
    char header[OPERATION_MAX_BYTES];
    uint64_t hash = 0;
    uint64_t size_bytes = 0;
    GString *out = g_string_new(NULL);
    bool valid = S_read_line(&reader, header) &&
                 S_parse_numbers(header, 16, &hash, &size_bytes) &&
                 S_apply(out, base, &reader, max_bytes);
    GBytes *result = g_string_free_to_bytes(out);
    if (valid && g_bytes_get_size(result) == size_bytes &&
        S_hash(result) == hash) {
        return result;
    }
    g_bytes_unref(result);
    g_set_error(
        error, BS_ERROR, BS_ERR_MESSAGE,
        "delta is malformed or not for this base text; pull the whole text");
    return NULL;
}
