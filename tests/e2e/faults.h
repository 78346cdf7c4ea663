/*
 * faults.h - what happens to the instances in the middle of a load.
 *
 * Steps follow one another; each waits for a share of the jobs to have
 * started, then for an event such as a process being ready.  The platform's
 * list follows the instances after a lag.
 */
#ifndef BS_FAULTS_H
#define BS_FAULTS_H

#include "load.h"

typedef struct BsFaults BsFaults;

/* Which script runs. */
typedef enum {
    BS_FAULTS_ALL = 0, /* two kills, a freeze, two planned stops */
    BS_FAULTS_ONE_LOSS /* one kill, never replaced */
} BsFaultsScript;

/* Creates the faults of FLEET under LOAD of JOBS jobs. */
BsFaults *BsFaults_Create(BsFleet *fleet, BsCallerLoad *load, unsigned jobs,
                          BsFaultsScript script);

/* Frees FAULTS. */
void BsFaults_Destroy(BsFaults *faults);

/* Takes the next step if it is due; returns false once none is left. */
bool BsFaults_Step(BsFaults *faults);

/* Returns when the first instance was killed, 0 before. */
int64_t BsFaults_LossMs(const BsFaults *faults);

/* Returns how many planned stops did not end with exit code 0 in time. */
unsigned BsFaults_FailedStops(const BsFaults *faults);

#endif /* BS_FAULTS_H */
