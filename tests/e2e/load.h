/*
 * load.h - many callers behind a balancer that knows little.
 *
 * A attempt goes to any instance that the balancer still knows, also to one
 * that is dead or frozen.  A caller that gets no answer in time, or an
 * uncertain one, sends the same request retry, mostly elsewhere.
 */
#ifndef BS_LOAD_H
#define BS_LOAD_H

#include "fleet.h"
#include "job.h"

typedef struct BsCallerLoad BsCallerLoad;

/* What was seen beside the jobs themselves. */
typedef struct {
    unsigned attempts;
    unsigned unanswered_by_healthy; /* no answer from an instance left alone */
    unsigned cut_by_stop;           /* cut off by a planned stop */
} BsLoadTotals;

/* Creates a load of JOBS jobs on FLEET, chosen by SEED. */
BsCallerLoad *BsCallerLoad_Create(BsFleet *fleet, unsigned jobs,
                                  unsigned seed);

/* Frees LOAD and its jobs. */
void BsCallerLoad_Destroy(BsCallerLoad *load);

/* Starts and finishes what is due; returns false once every job is over. */
bool BsCallerLoad_Step(BsCallerLoad *load);

/* Returns how many jobs have been started. */
unsigned BsCallerLoad_Started(const BsCallerLoad *load);

/* Notes that INSTANCE is signalled by a signal other than a planned stop. */
void BsCallerLoad_NoteSignal(BsCallerLoad *load, BsFleetInstance *instance);

/* Returns the jobs started so far, of BsJob. */
const GPtrArray *BsCallerLoad_Jobs(const BsCallerLoad *load);

/* Returns the totals. */
const BsLoadTotals *BsCallerLoad_Totals(const BsCallerLoad *load);

#endif /* BS_LOAD_H */
