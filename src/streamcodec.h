/*
 * streamcodec.h - encoding of what instances tell and ask each other about the
 * versions of streams.
 *
 * An encoding starts with a byte that no MessagePack value starts with, so
 * that instances which expect a report there take it for a broken one.
 */
#ifndef BS_STREAMCODEC_H
#define BS_STREAMCODEC_H

#include "streamversions.h"

/* Most records, and questions, in one encoding; it has at most
   BS_GOSSIP_MAX_BYTES then. */
#define BS_STREAM_RECORDS_MAX 69
#define BS_STREAM_QUESTIONS_MAX 87

/* Appends the encoding of COUNT records (BsStreamRecord) from index FIRST on
   to OUT; BS_STREAM_RECORDS_MAX at most. */
void BsStreamCodec_EncodeRecords(const GArray *records, guint first,
                                 guint count, GString *out);

/* Appends the records in DATA to RECORDS.  Returns false, and appends none, if
   DATA is malformed. */
bool BsStreamCodec_DecodeRecords(const char *data, size_t size_bytes,
                                 GArray *records);

/* The same for questions (BsStreamQuestion); BS_STREAM_QUESTIONS_MAX at
   most. */
void BsStreamCodec_EncodeQuestions(const GArray *questions, guint first,
                                   guint count, GString *out);
bool BsStreamCodec_DecodeQuestions(const char *data, size_t size_bytes,
                                   GArray *questions);

#endif /* BS_STREAMCODEC_H */
