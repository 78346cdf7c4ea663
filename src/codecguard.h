/*
 * codecguard.h - size checks of MessagePack bytes before they are unpacked.
 *
 * msgpack-c allocates the element count that an array or map header declares,
 * so a few bytes could make it allocate gigabytes.  Rule: the declared
 * elements must not outnumber the remaining bytes, as each takes at least one
 * byte.
 */
#ifndef BS_CODECGUARD_H
#define BS_CODECGUARD_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

/* Returns whether DATA holds exactly one complete object whose declared sizes
   fit SIZE_BYTES. */
bool BsCodecGuard_IsBounded(const void *data, size_t size_bytes);

/* Initializes UNPACKED, and unpacks DATA into it when it is exactly one
   bounded object; returns whether it was unpacked.  The caller always calls
   msgpack_unpacked_destroy(). */
bool BsCodecGuard_Unpack(const void *data, size_t size_bytes,
                         msgpack_unpacked *unpacked);

#endif /* BS_CODECGUARD_H */
