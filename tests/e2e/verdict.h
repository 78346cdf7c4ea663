/* verdict.h - compares reported outcomes with what really ran. */
#ifndef BS_VERDICT_H
#define BS_VERDICT_H

#include "load.h"

/* Prints the counts and the first failures of each kind; returns whether all
   promises were kept.  FAILED_STOPS is the number of planned stops that
   failed, LOSS_MS the time of the first kill. */
bool BsVerdict_Print(const BsFleet *fleet, const BsCallerLoad *load,
                     unsigned failed_stops, int64_t loss_ms);

#endif /* BS_VERDICT_H */
