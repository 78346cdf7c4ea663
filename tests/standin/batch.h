/*
 * batch.h - the batch of running requests of a stand-in engine.
 *
 * Rules: requests run in order of arrival, one in each slot; running more than
 * the cold limit during a cold start ends the process; a load report is a
 * snapshot that is at most the report lag old.  All functions are
 * thread-safe.
 */
#ifndef BS_BATCH_H
#define BS_BATCH_H

#include "standin.h"

/* Limits and speeds of the engine. */
typedef struct {
    int slots;
    double tokens_per_s;  /* output rate of each running request */
    double prefill_per_s; /* prompt tokens, 0: takes no time */
    int cold_ms;          /* length of the cold start */
    int cold_limit;       /* requests that a cold engine can handle */
    int report_lag_ms;    /* greatest age of a load report */
    int cache_prefixes;   /* prompt prefix blocks cached */
    char *poison;         /* a prompt with this text crashes the engine */
} BsBatchConfig;

/* Initializes the batch, of which a process has one. */
void BsBatch_Init(const BsBatchConfig *config);

/* Waits for a slot, then processes PROMPT of TOKENS tokens up to the first
   output token.  Sets CACHED_TOKENS to the number of tokens found in the
   prefix cache.  Returns false, with the slot freed, if the caller
   disconnected. */
bool BsBatch_Start(struct MHD_Connection *connection, const char *prompt,
                   uint32_t tokens, uint32_t *cached_tokens);

/* Adds the time of one output token to DUE_US (monotonic) and waits until
   then; returns false if the caller disconnected. */
bool BsBatch_NextToken(struct MHD_Connection *connection, int64_t *due_us);

/* Frees the slot of a request of TOKENS prompt tokens and counts it as
   completed or cancelled. */
void BsBatch_Finish(uint32_t tokens, bool complete);

/* Sets the factor by which token times are multiplied. */
void BsBatch_SetStraggle(double factor);

/* Makes the engine cold for COLD_MS and clears the prefix cache. */
void BsBatch_SetCold(int cold_ms);

/* Adds the load, up to the report lag old, to the object REPORT. */
void BsBatch_Report(json_t *report);

/* Returns the exact current load and the totals since the start. */
json_t *BsBatch_Stats(void);

#endif /* BS_BATCH_H */
