/* streamcodec.c - encoding of records and questions about streams. */
#include "streamcodec.h"

#include "gossipreport.h"

#include <string.h>

/* First byte; MessagePack does not use it. */
#define MARK 0xc1
#define MARK_BYTES 1

#define RECORD_BYTES 20
#define QUESTION_BYTES 16

G_STATIC_ASSERT(MARK_BYTES + BS_STREAM_RECORDS_MAX * RECORD_BYTES <=
                BS_GOSSIP_MAX_BYTES);
G_STATIC_ASSERT(MARK_BYTES + BS_STREAM_QUESTIONS_MAX * QUESTION_BYTES <=
                BS_GOSSIP_MAX_BYTES);

static void
S_put_32(GString *out, uint32_t value)
{
    uint32_t bytes = GUINT32_TO_LE(value);
    g_string_append_len(out, (const char *)&bytes, sizeof(bytes));
}

static void
S_put_64(GString *out, uint64_t value)
{
    uint64_t bytes = GUINT64_TO_LE(value);
    g_string_append_len(out, (const char *)&bytes, sizeof(bytes));
}

static uint32_t
S_get_32(const char *data)
{
    uint32_t bytes;
    memcpy(&bytes, data, sizeof(bytes));
    return GUINT32_FROM_LE(bytes);
}

static uint64_t
S_get_64(const char *data)
{
    uint64_t bytes;
    memcpy(&bytes, data, sizeof(bytes));
    return GUINT64_FROM_LE(bytes);
}

/* Returns how many elements of ELEMENT_BYTES follow HEADER_BYTES in DATA; 0 if
   it is malformed or there are more than MAX. */
static size_t
S_count(const char *data, size_t size_bytes, size_t header_bytes,
        size_t element_bytes, size_t max)
{
    if (size_bytes < header_bytes || (uint8_t)data[0] != MARK ||
        (size_bytes - header_bytes) % element_bytes != 0) {
        return 0;
    }
    size_t count = (size_bytes - header_bytes) / element_bytes;
    return count <= max ? count : 0;
}

void
BsStreamCodec_EncodeRecords(const GArray *records, guint first, guint count,
                            GString *out)
{
    g_string_append_c(out, (gchar)MARK);
    for (guint i = first; i < first + MIN(count, BS_STREAM_RECORDS_MAX); i++) {
        const BsStreamRecord *record =
            &g_array_index(records, BsStreamRecord, i);
        S_put_64(out, record->key);
        S_put_64(out, record->version);
        S_put_32(out, record->generation);
    }
}

bool
BsStreamCodec_DecodeRecords(const char *data, size_t size_bytes,
                            GArray *records)
{
    size_t count = S_count(data, size_bytes, MARK_BYTES, RECORD_BYTES,
                           BS_STREAM_RECORDS_MAX);
    guint before = records->len;
    for (size_t i = 0; i < count; i++) {
        const char *at = data + MARK_BYTES + i * RECORD_BYTES;
        BsStreamRecord record = {
            .key = S_get_64(at),
            .version = S_get_64(at + sizeof(uint64_t)),
            .generation = S_get_32(at + 2 * sizeof(uint64_t)),
        };
        if (BsStreamVersions_Service(record.version) == 0) {
            g_array_set_size(records, before);
            return false;
        }
        g_array_append_val(records, record);
    }
    return count > 0;
}

void
BsStreamCodec_EncodeQuestions(const GArray *questions, guint first,
                              guint count, GString *out)
{
    g_string_append_c(out, (gchar)MARK);
    for (guint i = first; i < first + MIN(count, BS_STREAM_QUESTIONS_MAX);
         i++) {
        const BsStreamQuestion *question =
            &g_array_index(questions, BsStreamQuestion, i);
        S_put_64(out, question->key);
        S_put_32(out, question->service);
        S_put_32(out, question->origin);
    }
}

bool
BsStreamCodec_DecodeQuestions(const char *data, size_t size_bytes,
                              GArray *questions)
{
    size_t count = S_count(data, size_bytes, MARK_BYTES, QUESTION_BYTES,
                           BS_STREAM_QUESTIONS_MAX);
    for (size_t i = 0; i < count; i++) {
        const char *at = data + MARK_BYTES + i * QUESTION_BYTES;
        BsStreamQuestion question = {
            .key = S_get_64(at),
            .service = S_get_32(at + sizeof(uint64_t)),
            .origin = S_get_32(at + sizeof(uint64_t) + sizeof(uint32_t)),
        };
        g_array_append_val(questions, question);
    }
    return count > 0;
}
