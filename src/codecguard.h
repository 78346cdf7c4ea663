/*
 * codecguard.h - a look at wire bytes before they are unpacked.
 *
 * The unpacking library allocates what the header of an array or map claims,
 * so a few bytes could ask for gigabytes.  Rule: no more elements may be
 * claimed than bytes are left, as each takes at least one.
 */
#ifndef BS_CODECGUARD_H
#define BS_CODECGUARD_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

/* Returns whether DATA holds one whole object whose claims fit its size. */
bool BsCodecGuard_IsBounded(const void *data, size_t size_bytes);

/* Initializes UNPACKED, and unpacks DATA into it when it is one whole bounded
   object; returns whether it is.  End with msgpack_unpacked_destroy() in any
   case. */
bool BsCodecGuard_Unpack(const void *data, size_t size_bytes,
                         msgpack_unpacked *unpacked);

#endif /* BS_CODECGUARD_H */
