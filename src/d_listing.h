/*
 * d_listing.h - parser of the platform's instance list, a JSON document.
 */
#ifndef BS_D_LISTING_H
#define BS_D_LISTING_H

#include "boragespur.h"

/* Parses a list to BS_PLATFORM_LIST; returns NULL with ERROR set to
   BS_ERR_MESSAGE when it is invalid.  An entry without a name, address, data
   centre, region or known kind makes the whole list invalid; a state other
   than "live" means leaving. */
BsMessage *BsListing_Parse(const void *data, size_t size_bytes,
                           GError **error);

#endif /* BS_D_LISTING_H */
