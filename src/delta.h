/*
 * delta.h - the difference between two texts, by lines.
 *
 * A delta names the hash and size of its result, then copies runs of lines of
 * the base and adds bytes of its own.  Applying it to any other base, or a
 * damaged one, fails; it never gives a wrong text.
 */
#ifndef BS_DELTA_H
#define BS_DELTA_H

#include "boragespur.h"

/* Returns a hash of TEXT, never 0. */
uint32_t BsDelta_Hash(GBytes *text);

/* Creates the delta from BASE to TARGET; the caller unrefs it. */
GBytes *BsDelta_Create(GBytes *base, GBytes *target);

/* Applies DELTA to BASE; NULL with BS_ERR_MESSAGE set when it does not fit
   or the result would be longer than MAX_BYTES. */
GBytes *BsDelta_Apply(GBytes *base, GBytes *delta, size_t max_bytes,
                      GError **error);

#endif /* BS_DELTA_H */
