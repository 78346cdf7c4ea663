/*
 * reportcodec.h - encoding of the lists in both reports and summaries.
 */
#ifndef BS_REPORTCODEC_H
#define BS_REPORTCODEC_H

#include "gossipreport.h"

#include <msgpack.h>

/* The write callback of a packer; DATA is the GString to append to. */
int BsReportCodec_Write(void *data, const char *bytes, size_t size_bytes);

/* Returns how many of ITEMS, of SIZE_BYTES each, fit into the SPACE_BYTES
   left, and subtracts their size from it. */
guint BsReportCodec_Fit(const GArray *items, size_t size_bytes,
                        size_t *space_bytes);

/* Pack the first elements of a list, as many as fit into the SPACE_BYTES left,
   and subtract their size from it. */
void BsReportCodec_PackLoads(msgpack_packer *packer, const GArray *loads,
                             size_t *space_bytes);
void BsReportCodec_PackUses(msgpack_packer *packer, const GArray *uses,
                            size_t *space_bytes);
void BsReportCodec_PackCrashRecords(msgpack_packer *packer,
                                    const GArray *crash_records,
                                    size_t *space_bytes);
/* Returns how many of PART_RECORDS fit into the SPACE_BYTES left, and
   subtracts their size from it. */
guint BsReportCodec_FitPartRecords(const GArray *part_records,
                                   size_t *space_bytes);

/* Packs the first COUNT of PART_RECORDS. */
void BsReportCodec_PackPartRecords(msgpack_packer *packer,
                                   const GArray *part_records, guint count);

/* Returns how many of LIMIT_RECORDS fit into the SPACE_BYTES left, and
   subtracts their size from it. */
guint BsReportCodec_FitLimitRecords(const GArray *limit_records,
                                    size_t *space_bytes);

/* Packs the first COUNT of LIMIT_RECORDS. */
void BsReportCodec_PackLimitRecords(msgpack_packer *packer,
                                    const GArray *limit_records, guint count);

void BsReportCodec_PackMembers(msgpack_packer *packer, const GArray *members,
                               size_t *space_bytes);

/* Packs AGE_MS, the time since an event; a negative or a large one is packed
   as unknown. */
void BsReportCodec_PackAge(msgpack_packer *packer, int64_t age_ms);

/* Reads a time since an event to AGE_MS, -1 when it is unknown; returns
   whether OBJECT is valid. */
bool BsReportCodec_ReadAge(const msgpack_object *object, int64_t *age_ms);

/* Returns the most bytes that the elements of SILENT_CENTRES (BsSilentCentre)
   take. */
size_t BsReportCodec_SilentCentresBytes(const GArray *silent_centres);

/* Packs SILENT_CENTRES (BsSilentCentre), BS_CENTREWATCH_TOLD_MAX at most. */
void BsReportCodec_PackSilentCentres(msgpack_packer *packer,
                                     const GArray *silent_centres);

/* Reads an unsigned integer; returns whether OBJECT is one. */
bool BsReportCodec_U64(const msgpack_object *object, uint64_t *value);

/* Replaces NUMBERS (uint64_t) by the elements of OBJECT; returns whether it is
   an array of unsigned integers only. */
bool BsReportCodec_Numbers(const msgpack_object *object, GArray *numbers);

/* Append the decoded elements of OBJECT to the last argument; NUMBERS
   (uint64_t) is scratch space.  Return whether OBJECT is valid. */
bool BsReportCodec_ReadLoads(const msgpack_object *object, GArray *numbers,
                             GArray *loads);
bool BsReportCodec_ReadUses(const msgpack_object *object, GArray *numbers,
                            GArray *uses);
bool BsReportCodec_ReadCrashRecords(const msgpack_object *object,
                                    GArray *numbers, GArray *crash_records);
bool BsReportCodec_ReadPartRecords(const msgpack_object *object,
                                   GArray *numbers, GArray *part_records);
bool BsReportCodec_ReadLimitRecords(const msgpack_object *object,
                                    GArray *numbers, GArray *limit_records);
bool BsReportCodec_ReadSilentCentres(const msgpack_object *object,
                                     GArray *numbers, GArray *silent_centres);
bool BsReportCodec_ReadMembers(const msgpack_object *object, GArray *numbers,
                               GArray *members);

#endif /* BS_REPORTCODEC_H */
