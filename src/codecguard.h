/*
 * codecguard.h - a look at wire bytes before they are unpacked.
 *
 * The unpacking library allocates what the header of an array or map claims,
 * so a few bytes could ask for gigabytes.  Rule: no more elements may be
 * claimed than bytes are left, as each takes at least one.
 */
#ifndef BS_CODECGUARD_H
#define BS_CODECGUARD_H

#include <stdbool.h>
#include <stddef.h>

/* Returns whether DATA holds one whole object whose claims fit its size. */
bool BsCodecGuard_IsBounded(const void *data, size_t size_bytes);

#endif /* BS_CODECGUARD_H */
