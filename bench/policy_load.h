/*
 * policy_load.h - the requests of the policy measurement.
 *
 * Prompts spread a hundredfold; most share a prefix with others; three tiers
 * with deadlines; urgent work comes in bursts.  The same seed gives the same
 * requests whatever the policy.
 */
#ifndef POLICY_LOAD_H
#define POLICY_LOAD_H

#include "boragespur.h"

#define LOAD_TIERS 3

/* One request, and what became of it. */
typedef struct {
    char id[24];
    int64_t sent_ms;
    int64_t deadline_ms; /* from sending */
    uint64_t prefix_hash;
    uint32_t prefix_tokens;
    uint32_t prompt_tokens;
    uint32_t output_tokens;   /* actual */
    uint32_t expected_tokens; /* told by the caller */
    uint32_t rank;            /* 1 to LOAD_TIERS */
    uint32_t instance;
    uint32_t account;
    bool done;
    bool good; /* answered in full within the deadline */
} LoadRequest;

typedef struct Load Load;

/* Creates a load of RATE requests a second over INSTANCES entries. */
Load *Load_Create(uint32_t seed, double rate, uint32_t instances);
void Load_Destroy(Load *load);

/* Returns the next request that is due by NOW_MS, or NULL. */
LoadRequest *Load_Next(Load *load, int64_t now_ms);

/* Returns the name of a tier. */
const char *Load_TierName(uint32_t rank);

/* Returns the sheet that goes with the load; g_free() it. */
char *Load_CreateSheet(bool north_closed);

#endif /* POLICY_LOAD_H */
