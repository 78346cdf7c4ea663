/*
 * policy_load.h - generates the requests of the policy benchmark.
 *
 * Prompt lengths vary by a factor of a hundred, and most prompts share a
 * prefix with others.  There are three tiers with deadlines; urgent requests
 * come in bursts.  The same seed gives the same requests under every policy.
 */
#ifndef POLICY_LOAD_H
#define POLICY_LOAD_H

#include "boragespur.h"

#define LOAD_TIERS 3

/* A request and its result. */
typedef struct {
    char id[24];
    int64_t sent_ms;
    int64_t deadline_ms; /* from sending */
    uint64_t prefix_hash;
    uint32_t prefix_tokens;
    uint32_t prompt_tokens;
    uint32_t output_tokens;   /* actual */
    uint32_t expected_tokens; /* estimate sent by the caller */
    uint32_t rank;            /* 1 to LOAD_TIERS */
    uint32_t instance;        /* index of the instance it is sent to */
    uint32_t account;
    bool done;
    bool good; /* answered in full within the deadline */
} LoadRequest;

typedef struct Load Load;

/* Creates a load of RATE requests per second, outside bursts, spread over
   INSTANCES instances. */
Load *Load_Create(uint32_t seed, double rate, uint32_t instances);
void Load_Destroy(Load *load);

/* Returns the next request that is due by NOW_MS, or NULL; g_free() it. */
LoadRequest *Load_Next(Load *load, int64_t now_ms);

/* Returns the name of the tier RANK. */
const char *Load_TierName(uint32_t rank);

/* Returns the sheet with the tiers and accounts of the load, in which data
   centre n1 is closed if NORTH_CLOSED; g_free() it. */
char *Load_CreateSheet(bool north_closed);

#endif /* POLICY_LOAD_H */
