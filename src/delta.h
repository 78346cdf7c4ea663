/*
 * delta.h - line-based difference between two texts.
 *
 * A delta starts with the hash and size of its result; then come operations
 * that copy runs of lines from the base or add bytes of the delta.  Applying
 * it to another base, or applying a damaged delta, fails rather than yield a
 * wrong text.
 */
#ifndef BS_DELTA_H
#define BS_DELTA_H

#include "boragespur.h"

/* Returns a 32-bit hash of TEXT, never 0. */
uint32_t BsDelta_Hash(GBytes *text);

/* Returns the delta from BASE to TARGET, which the caller unrefs. */
GBytes *BsDelta_Create(GBytes *base, GBytes *target);

/* Returns the result of applying DELTA to BASE, which the caller unrefs; NULL
   with BS_ERR_MESSAGE set when DELTA is malformed or was made from another
   base, or the result would be longer than MAX_BYTES. */
GBytes *BsDelta_Apply(GBytes *base, GBytes *delta, size_t max_bytes,
                      GError **error);

#endif /* BS_DELTA_H */
