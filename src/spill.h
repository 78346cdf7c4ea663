/*
 * spill.h - whether a request goes to another data centre although an upstream
 * of its own has a free slot.
 *
 * Demand can peak in one data centre while upstreams of others are idle.  An
 * engine whose slots are nearly all taken answers later and pauses longer than
 * an idle one, so waiting for the last slot at home to be taken costs callers
 * more than the way to another data centre.
 *
 * Rules: only streams at engines, whose time depends on the load of the
 * engine, and only on routes that allow a pause of a length that a lost packet
 * on the link causes.  The gain must exceed a margin, so that two data centres
 * with the same load do not exchange their work.  The decision depends only on
 * the arguments.
 */
#ifndef BS_SPILL_H
#define BS_SPILL_H

#include "catalog.h"

/* Range of the margin, in milliseconds. */
#define BS_SPILL_GAIN_MAX_MS 10000

/* Default and upper limit of the allowed pause, in milliseconds.  A packet
   that is lost between data centres is sent again after 200 ms or more. */
#define BS_SPILL_PAUSE_MIN_MS 300
#define BS_SPILL_PAUSE_MAX_MS 60000

/* Limits that the operators set. */
typedef struct {
    uint32_t gain_ms;      /* the cost must be lower by more than this; 0: no
                              request leaves while a slot is free */
    uint32_t pause_min_ms; /* only routes that allow a pause of this length
                              between two events */
} BsSpillLimits;

/* The least costs of a request, in milliseconds. */
typedef struct {
    double local_ms;  /* in the own data centre */
    double remote_ms; /* elsewhere, with the cost of the way */
    bool reported;    /* the load elsewhere is known: requests of others are
                         in progress there, so reports arrive */
} BsSpillCosts;

/* Returns whether requests on ROUTE to SERVICE may leave the data centre for a
   lower cost. */
bool BsSpill_Applies(const BsSpillLimits *limits,
                     const BsCatalogService *service,
                     const BsCatalogRoute *route);

/* Returns whether a request with the least cost LOCAL_MS could gain enough by
   a way that costs WAY_MS.  It saves the search for an upstream elsewhere. */
bool BsSpill_CanGain(const BsSpillLimits *limits, double local_ms,
                     double way_ms);

/* Returns whether the request leaves. */
bool BsSpill_Leaves(const BsSpillLimits *limits, const BsSpillCosts *costs);

#endif /* BS_SPILL_H */
