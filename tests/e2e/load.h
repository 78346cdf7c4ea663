/*
 * load.h - callers behind a load balancer that only knows the instance list.
 *
 * An attempt goes to a random listed instance, which may be dead or frozen.  A
 * caller that gets no answer in time, or the outcome "unknown", retries the
 * same request, usually at another instance.
 */
#ifndef BS_LOAD_H
#define BS_LOAD_H

#include "fleet.h"
#include "job.h"

typedef struct BsCallerLoad BsCallerLoad;

/* Totals over all jobs. */
typedef struct {
    unsigned attempts;
    unsigned unanswered_by_healthy; /* without a signal as cause */
    unsigned cut_by_stop;           /* no answer because of a planned stop */
} BsLoadTotals;

/* Creates a load of JOBS jobs on FLEET; SEED selects the instances. */
BsCallerLoad *BsCallerLoad_Create(BsFleet *fleet, unsigned jobs,
                                  unsigned seed);

/* Frees LOAD and its jobs. */
void BsCallerLoad_Destroy(BsCallerLoad *load);

/* Starts jobs and retries that are due and handles finished attempts; returns
   false once every job is over. */
bool BsCallerLoad_Step(BsCallerLoad *load);

/* Returns how many jobs have been started. */
unsigned BsCallerLoad_Started(const BsCallerLoad *load);

/* Records that INSTANCE got a signal other than that of a planned stop. */
void BsCallerLoad_NoteSignal(BsCallerLoad *load, BsFleetInstance *instance);

/* Returns the jobs started so far, of BsJob. */
const GPtrArray *BsCallerLoad_Jobs(const BsCallerLoad *load);

/* Returns the totals. */
const BsLoadTotals *BsCallerLoad_Totals(const BsCallerLoad *load);

#endif /* BS_LOAD_H */
