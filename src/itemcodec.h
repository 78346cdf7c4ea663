/*
 * itemcodec.h - encoding of published items for exchange between instances.
 */
#ifndef BS_ITEMCODEC_H
#define BS_ITEMCODEC_H

#include "replica.h"

/* Appends to OUT the items of REPLICA newer than AFTER, and the revision up to
   which REPLICA is complete.  When REPLICA does not know every removal after
   AFTER, it appends all items, marked as the full set. */
void BsItemCodec_Encode(const BsReplica *replica, uint64_t after,
                        GString *out);

/* Applies encoded items to REPLICA; a full set also removes the items that it
   does not contain.  Returns false when the items cannot be decoded; those
   before the first invalid one may have been applied, and REPLICA is not
   marked complete. */
bool BsItemCodec_Apply(const char *data, size_t size_bytes,
                       BsReplica *replica);

#endif /* BS_ITEMCODEC_H */
