/*
 * speed.h - measured first-token and inter-token times of one upstream.
 *
 * Rules: times are measured from answers only, never taken from load reports;
 * a first-token time is divided by the prefill in progress, so that a long
 * prompt ahead does not make the upstream look slow.
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
    uint32_t finishes;          /* complete answers seen */
    uint32_t slow_firsts;       /* consecutive slow first tokens */
} BsSpeed;

/* Records a first token after ELAPSED_MS, with PREFILL_TOKENS of prefill
   before it. */
void BsSpeed_OnFirst(BsSpeed *speed, int64_t elapsed_ms,
                     uint32_t prefill_tokens);

/* Records TOKENS further tokens after ELAPSED_MS. */
void BsSpeed_OnTokens(BsSpeed *speed, int64_t elapsed_ms, uint32_t tokens);

/* Records the duration of a complete answer and its predicted duration. */
void BsSpeed_OnFinish(BsSpeed *speed, int64_t actual_ms, int64_t predicted_ms);

/* Returns the duration predicted from the averages, 0 when unknown. */
int64_t BsSpeed_PredictMs(const BsSpeed *speed, uint32_t prefill_tokens,
                          uint32_t output_tokens);

/* Returns the predicted duration times the observed ratio of actual to
   predicted durations; 0 when unknown. */
int64_t BsSpeed_ExpectMs(const BsSpeed *speed, uint32_t prefill_tokens,
                         uint32_t output_tokens);

/* Returns whether recent first tokens took several times longer than usual. */
bool BsSpeed_IsSuddenlySlow(const BsSpeed *speed);

/* Returns whether the inter-token time exceeds both the target and a multiple
   of the best one seen. */
bool BsSpeed_IsCongested(const BsSpeed *speed);

/* Returns the predicted time of PREFILL_TOKENS of prefill, 0 when unknown. */
int64_t BsSpeed_PrefillMs(const BsSpeed *speed, uint32_t prefill_tokens);

#endif /* BS_SPEED_H */
