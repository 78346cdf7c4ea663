/* verdict.h - checks of what callers were reported against what really ran. */
#ifndef BS_VERDICT_H
#define BS_VERDICT_H

#include "load.h"

/* Prints one line for each kind of count; returns whether all promises were
   kept.  BAD_STOPS is the number of planned stops that failed, LOSS_MS the
   time of the first kill. */
bool BsVerdict_Print(const BsFleet *fleet, const BsCallerLoad *load,
                     unsigned failed_stops, int64_t loss_ms);

#endif /* BS_VERDICT_H */
