/*
 * d_headcheck.h - detection of ambiguous heads of callers' requests.
 *
 * The HTTP server library accepts some heads that another implementation may
 * read differently.  This module refuses those that can be detected through
 * the library; d_screen refuses those that the library hides.
 */
#ifndef BS_D_HEADCHECK_H
#define BS_D_HEADCHECK_H

#include <microhttpd.h>

/* Returns a message that says what is wrong with the head of the request on
   CONNECTION, or NULL.  TARGET is its request target in origin form. */
const char *BsHeadCheck_Find(struct MHD_Connection *connection,
                             const char *target);

/* Returns the origin form of a request target: the part of TARGET after the
   scheme and host ("/" if there is no path), or TARGET itself when it has no
   http or https scheme. */
const char *BsHeadCheck_OriginForm(const char *target);

#endif /* BS_D_HEADCHECK_H */
