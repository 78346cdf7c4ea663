/* slopes.h - fleets and helpers for the scaling measurements. */
#ifndef SLOPES_H
#define SLOPES_H

#include "world.h"

/* A fleet to measure. */
typedef struct {
    uint32_t instances;
    uint32_t data_centres; /* half, rounded up, in region north */
    uint32_t upstreams;
    uint32_t accounts;
    uint32_t models; /* served by the engines in turn */
} SlopesFleet;

/* Returns the sheet of FLEET at REVISION, in which the weight of one account
   depends on REVISION; g_free() it. */
char *Slopes_CreateSheet(const SlopesFleet *fleet, uint64_t revision);

/* Creates a world, starts FLEET in it and runs it for SETTLE_MS. */
World *Slopes_CreateWorld(const SlopesFleet *fleet, uint32_t seed,
                          int64_t settle_ms);

/* Returns the name of instance INDEX; valid until the next call. */
const char *Slopes_InstanceName(uint32_t index);

/* Returns the CPU time of this process in microseconds. */
int64_t Slopes_CpuUs(void);

/* Returns the bytes that this process has allocated on the heap. */
uint64_t Slopes_HeapBytes(void);

/* Returns the number of instances that use the sheet REVISION. */
uint32_t Slopes_CountInForce(World *world, const SlopesFleet *fleet,
                             uint64_t revision);

/* Prints the processor time of a decision whether to repeat a request early,
   by the size of the fleet. */
void Slopes_PrintHedges(void);

/* Prints the processor time of the choice of an upstream, with and without
   requests that leave their data centre. */
void Slopes_PrintSpill(void);

/* Prints the processor time of noting an answer for the ejection of failing
   upstreams, by their number. */
void Slopes_PrintEjection(void);

/* Prints how long a fleet takes to recover from large failures. */
void Slopes_PrintRecovery(void);

#endif /* SLOPES_H */
