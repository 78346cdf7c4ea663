/*
 * speed.h - observed first-token and inter-token times of one upstream.
 *
 * Rules: only what answers show counts, never a load report; first-token
 * times are related to the prefill that was under way, so that a long prompt
 * ahead does not look like a slow upstream.
 */
#ifndef BS_SPEED_H
#define BS_SPEED_H

#include "boragespur.h"

typedef struct {
    double inter_token_ms;      /* recent average, 0 before the first */
    double best_inter_token_ms; /* lowest average seen, rising slowly */
    double prefill_token_ms;    /* recent average per token of prefill */
    double usual_prefill_ms;    /* long-term average per token of prefill */
    double duration_ratio;      /* actual to predicted duration */
    uint32_t firsts;            /* first tokens seen */
    uint32_t finishes;          /* answers seen in full */
    uint32_t slow_firsts;       /* in a row */
} BsSpeed;

/* Takes a first token after ELAPSED_MS with PREFILL_TOKENS ahead of it. */
void BsSpeed_OnFirst(BsSpeed *speed, int64_t elapsed_ms,
                     uint32_t prefill_tokens);

/* Takes TOKENS more tokens after ELAPSED_MS. */
void BsSpeed_OnTokens(BsSpeed *speed, int64_t elapsed_ms, uint32_t tokens);

/* Takes a whole answer of ACTUAL_MS, predicted as PREDICTED_MS. */
void BsSpeed_OnFinish(BsSpeed *speed, int64_t actual_ms, int64_t predicted_ms);

/* Returns the predicted duration from averages alone, 0 when unknown. */
int64_t BsSpeed_PredictMs(const BsSpeed *speed, uint32_t prefill_tokens,
                          uint32_t output_tokens);

/* Returns the duration to expect, corrected by experience; 0 when unknown. */
int64_t BsSpeed_ExpectMs(const BsSpeed *speed, uint32_t prefill_tokens,
                         uint32_t output_tokens);

/* Returns whether first tokens take many times longer than they used to. */
bool BsSpeed_IsSuddenlySlow(const BsSpeed *speed);

/* Returns whether answers are slower than callers shall see. */
bool BsSpeed_IsCongested(const BsSpeed *speed);

/* Returns how long PREFILL_TOKENS of prefill take, 0 when unknown. */
int64_t BsSpeed_PrefillMs(const BsSpeed *speed, uint32_t prefill_tokens);

#endif /* BS_SPEED_H */
