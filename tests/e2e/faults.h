/*
 * faults.h - faults injected into the instances during a load.
 *
 * Steps run in order.  Each step waits until a given share of the jobs has
 * started, and some also for an event such as a process being ready.  The
 * platform's list changes some steps after the instances do.
 */
#ifndef BS_FAULTS_H
#define BS_FAULTS_H

#include "load.h"

typedef struct BsFaults BsFaults;

/* The fault script to run. */
typedef enum {
    BS_FAULTS_ALL = 0, /* two kills, a freeze, two planned stops */
    BS_FAULTS_ONE_LOSS /* one kill without a replacement */
} BsFaultsScript;

/* Creates the faults for FLEET; JOBS is the number of jobs of LOAD. */
BsFaults *BsFaults_Create(BsFleet *fleet, BsCallerLoad *load, unsigned jobs,
                          BsFaultsScript script);

/* Frees FAULTS. */
void BsFaults_Destroy(BsFaults *faults);

/* Runs the next step if it is due; returns false once all steps are done. */
bool BsFaults_Step(BsFaults *faults);

/* Returns the monotonic time in ms of the first kill, 0 before. */
int64_t BsFaults_LossMs(const BsFaults *faults);

/* Returns how many planned stops did not end with exit code 0 in time. */
unsigned BsFaults_FailedStops(const BsFaults *faults);

#endif /* BS_FAULTS_H */
