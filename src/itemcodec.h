/*
 * itemcodec.h - published items as instances hand them to each other.
 */
#ifndef BS_ITEMCODEC_H
#define BS_ITEMCODEC_H

#include "replica.h"

/* Appends the items of REPLICA newer than AFTER, and up to which revision all
   are held, to OUT. */
void BsItemCodec_Encode(const BsReplica *replica, uint64_t after,
                        GString *out);

/* Applies encoded items to REPLICA.  Returns false, with nothing applied,
   when they cannot be read. */
bool BsItemCodec_Apply(const char *data, size_t size_bytes,
                       BsReplica *replica);

#endif /* BS_ITEMCODEC_H */
