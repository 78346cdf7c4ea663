/*
 * ejection.h - which upstreams fail so many requests that they should get
 * few.
 *
 * An upstream that fails every request answers fast, so it often has a free
 * slot, and while slots are short it gets more requests than a sound one.  Its
 * health check need not show it.
 *
 * Rules: a sequential test of each upstream's answers: is the share that
 * failed the usual one of the service, or a half?  The usual share is learned
 * from the upstreams that are not suspected, so that a service whose callers
 * ask for what fails keeps all its upstreams.  The decision depends only on
 * the answers.
 */
#ifndef BS_EJECTION_H
#define BS_EJECTION_H

#include "boragespur.h"

/* What the answers of one upstream tell; zero at first. */
typedef struct {
    double evidence; /* logarithm of the likelihood ratio, at least 0 */
} BsEjection;

/* What is known about the upstreams of a service; zero at first. */
typedef struct {
    double usual; /* share of the answers that failed */
} BsEjectionUsual;

/* Records an answer that did or did not fail.  Returns whether the upstream
   should be ejected. */
bool BsEjection_Note(BsEjection *ejection, BsEjectionUsual *usual,
                     bool failed);

/* Returns whether one more upstream may be ejected when EJECTED of LISTED are:
   not if half of them would be, as what fails then is not the upstreams. */
bool BsEjection_MayEject(unsigned ejected, unsigned listed);

#endif /* BS_EJECTION_H */
