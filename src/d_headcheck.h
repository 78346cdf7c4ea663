/*
 * d_headcheck.h - heads of callers' requests that could be read in two ways.
 *
 * The HTTP server library takes some of them; what it shows of a head is
 * enough to refuse these.  What it hides is refused by d_screen.
 */
#ifndef BS_D_HEADCHECK_H
#define BS_D_HEADCHECK_H

#include <microhttpd.h>

/* Returns what is wrong with the head of the request on CONNECTION for TARGET
   in origin form, or NULL. */
const char *BsHeadCheck_Find(struct MHD_Connection *connection,
                             const char *target);

/* Returns the part of TARGET behind the scheme and host of an absolute form;
   TARGET itself when it has none. */
const char *BsHeadCheck_OriginForm(const char *target);

#endif /* BS_D_HEADCHECK_H */
