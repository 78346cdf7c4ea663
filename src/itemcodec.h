/*
 * itemcodec.h - published items as instances hand them to each other.
 */
#ifndef BS_ITEMCODEC_H
#define BS_ITEMCODEC_H

#include "replica.h"

/* Appends the items of REPLICA newer than AFTER, and up to which revision all
   are held, to OUT.  Where REPLICA does not hold every removal after AFTER,
   all items that are there go, marked as such. */
void BsItemCodec_Encode(const BsReplica *replica, uint64_t after,
                        GString *out);

/* Applies encoded items to REPLICA; of a list of all, what is not in it is
   removed.  Returns false when they cannot be read;
   items before the first broken one may have been applied, and REPLICA is not
   called complete. */
bool BsItemCodec_Apply(const char *data, size_t size_bytes,
                       BsReplica *replica);

#endif /* BS_ITEMCODEC_H */
