/* spill.c - whether a request goes to another data centre although an upstream
   of its own has a free slot. */
#include "spill.h"

bool
BsSpill_Applies(const BsSpillLimits *limits, const BsCatalogService *service,
                const BsCatalogRoute *route)
{
    return limits->gain_ms > 0 && service->engine &&
           route->kind == BS_ROUTE_STREAM &&
           route->gap_ms >= limits->pause_min_ms;
}

bool
BsSpill_CanGain(const BsSpillLimits *limits, double local_ms, double way_ms)
{
    return local_ms > way_ms + limits->gain_ms;
}

bool
BsSpill_Leaves(const BsSpillLimits *limits, const BsSpillCosts *costs)
{
    return costs->reported &&
           costs->remote_ms + limits->gain_ms < costs->local_ms;
}
