/*
 * reportcodec.h - lists that reports and summaries have in common, encoded.
 */
#ifndef BS_REPORTCODEC_H
#define BS_REPORTCODEC_H

#include "gossipreport.h"

#include <msgpack.h>

/* Writes for a packer whose context is a GString. */
int BsReportCodec_Write(void *data, const char *bytes, size_t size_bytes);

/* Returns how many of ITEMS, of SIZE_BYTES each, fit into ROOM, and takes them
   off it. */
guint BsReportCodec_Fit(const GArray *items, size_t size_bytes, size_t *room);

/* Pack what fits of a list into ROOM, and take it off. */
void BsReportCodec_PackLoads(msgpack_packer *packer, const GArray *loads,
                             size_t *room);
void BsReportCodec_PackUses(msgpack_packer *packer, const GArray *uses,
                            size_t *room);
void BsReportCodec_PackCrashers(msgpack_packer *packer, const GArray *crashers,
                                size_t *room);
void BsReportCodec_PackMembers(msgpack_packer *packer, const GArray *members,
                               size_t *room);

/* Reads a number; returns whether OBJECT is one. */
bool BsReportCodec_U64(const msgpack_object *object, uint64_t *value);

/* Replaces NUMBERS (uint64_t) by the list OBJECT; returns whether all of it is
   numbers. */
bool BsReportCodec_Numbers(const msgpack_object *object, GArray *numbers);

/* Append the list OBJECT; NUMBERS is scratch space.  Return whether it is
   valid. */
bool BsReportCodec_ReadLoads(const msgpack_object *object, GArray *numbers,
                             GArray *loads);
bool BsReportCodec_ReadUses(const msgpack_object *object, GArray *numbers,
                            GArray *uses);
bool BsReportCodec_ReadCrashers(const msgpack_object *object, GArray *numbers,
                                GArray *crashers);
bool BsReportCodec_ReadMembers(const msgpack_object *object, GArray *numbers,
                               GArray *members);

#endif /* BS_REPORTCODEC_H */
