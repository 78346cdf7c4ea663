/* slopes.h - what the parts of the slope measurement share. */
#ifndef SLOPES_H
#define SLOPES_H

#include "world.h"

/* A fleet to measure. */
typedef struct {
    uint32_t instances;
    uint32_t data_centres; /* half of them in each of two regions */
    uint32_t upstreams;
    uint32_t accounts;
    uint32_t models;
} SlopesFleet;

/* Returns a sheet for FLEET; each revision differs in one weight. */
char *Slopes_CreateSheet(const SlopesFleet *fleet, uint64_t revision);

/* Creates a world with FLEET started and settled for SETTLE_MS. */
World *Slopes_CreateWorld(const SlopesFleet *fleet, uint32_t seed,
                          int64_t settle_ms);

/* Returns the name of instance INDEX; valid until the next call. */
const char *Slopes_InstanceName(uint32_t index);

/* Returns the processor time of this process in microseconds. */
int64_t Slopes_CpuUs(void);

/* Returns the bytes of memory in use by this process. */
uint64_t Slopes_HeapBytes(void);

/* Returns how many instances have the sheet REVISION in force. */
uint32_t Slopes_CountInForce(World *world, const SlopesFleet *fleet,
                             uint64_t revision);

/* Prints how long the fleet takes to recover from large losses. */
void Slopes_PrintRecovery(void);

#endif /* SLOPES_H */
