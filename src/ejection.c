/* ejection.c - which upstreams fail so many requests that they should get
 * few.
 */
#include "ejection.h"

#include <math.h>

/* Share of failed answers of an upstream to be ejected. */
#define EJECTED_SHARE 0.5

/* Limits of the usual share: a service without failures must not lose an
   upstream by the first one, and one that fails often keeps a difference to
   EJECTED_SHARE. */
#define USUAL_MIN 0.01
#define USUAL_MAX 0.25

/* Weight of the newest answer in the usual share. */
#define USUAL_WEIGHT 0.005

/* An upstream is ejected when its answers are this many times more likely by
   EJECTED_SHARE than by the usual one.  Thousands of sound answers a second
   are tested, and about one in as many as this ratio ejects a sound
   upstream. */
#define LIKELIHOOD_RATIO 1e7

/* Share of the evidence from which on an upstream is suspected. */
#define SUSPECTED_SHARE 0.5

bool
BsEjection_Note(BsEjection *ejection, BsEjectionUsual *usual, bool failed)
{
    double share = CLAMP(usual->usual, USUAL_MIN, USUAL_MAX);
    double limit = log(LIKELIHOOD_RATIO);
    double step = failed ? log(EJECTED_SHARE / share)
                         : log((1 - EJECTED_SHARE) / (1 - share));
    ejection->evidence = CLAMP(ejection->evidence + step, 0, limit);
    if (ejection->evidence < SUSPECTED_SHARE * limit) {
        usual->usual += USUAL_WEIGHT * ((failed ? 1 : 0) - usual->usual);
    }
    return failed && ejection->evidence >= limit;
}

bool
BsEjection_MayEject(unsigned ejected, unsigned listed)
{
    return 2 * (ejected + 1) < listed;
}
