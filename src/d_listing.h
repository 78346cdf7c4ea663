/*
 * d_listing.h - the platform's instance list as JSON.
 */
#ifndef BS_D_LISTING_H
#define BS_D_LISTING_H

#include "boragespur.h"

/* Parses a list; NULL with BS_ERR_MESSAGE set when it is invalid.  Entries
   that lack a name, address or known kind make the whole list invalid. */
BsMessage *BsListing_Parse(const void *data, size_t size_bytes,
                           GError **error);

#endif /* BS_D_LISTING_H */
