/* speed.c - measured first-token and inter-token times of one upstream. */
#include "speed.h"

/* Weight of a new sample in the recent averages. */
#define RECENT_WEIGHT 0.1

/* Weight of a new sample in the long-term average. */
#define USUAL_WEIGHT 0.01

/* Factor by which the best inter-token time grows with each sample that does
   not improve it. */
#define BEST_GROWTH 1.0005

/* Prefill tokens that take as long as the fixed part of a first-token time. */
#define FIRST_TOKEN_BASE_TOKENS 128

/* Target of the inter-token time. */
#define INTER_TOKEN_TARGET_MS 79.0

/* Ratio of the inter-token time to the best one above which an upstream is
   congested. */
#define CONGESTED_RATIO 2.5

/* Ratio of a first-token time to the usual one above which it is slow. */
#define SLOW_FIRST_RATIO 5.0

/* Consecutive slow first tokens that show that the upstream is cold. */
#define SLOW_FIRSTS_MIN 4

/* First tokens needed before the usual time is used. */
#define FIRSTS_MIN 20

/* Complete answers needed before DURATION_RATIO is used. */
#define FINISHES_MIN 8

/* Limit of one sample of the ratio of actual to predicted duration. */
#define DURATION_RATIO_MAX 8.0

static double
S_average(double average, double sample, double weight)
{
    return average <= 0.0 ? sample : average + weight * (sample - average);
}

void
BsSpeed_OnFirst(BsSpeed *speed, int64_t elapsed_ms, uint32_t prefill_tokens)
{
    double sample =
        (double)elapsed_ms / (prefill_tokens + FIRST_TOKEN_BASE_TOKENS);
    bool slow = speed->firsts >= FIRSTS_MIN &&
                sample > SLOW_FIRST_RATIO * speed->usual_prefill_ms;
    speed->slow_firsts = slow ? speed->slow_firsts + 1 : 0;
    speed->prefill_token_ms =
        S_average(speed->prefill_token_ms, sample, RECENT_WEIGHT);
    speed->usual_prefill_ms =
        S_average(speed->usual_prefill_ms, sample,
                  speed->firsts < FIRSTS_MIN ? RECENT_WEIGHT : USUAL_WEIGHT);
    speed->firsts++;
}

void
BsSpeed_OnTokens(BsSpeed *speed, int64_t elapsed_ms, uint32_t tokens)
{
    if (tokens == 0) {
        return;
    }
    double sample = (double)elapsed_ms / tokens;
    speed->inter_token_ms =
        S_average(speed->inter_token_ms, sample, RECENT_WEIGHT);
    if (speed->best_inter_token_ms <= 0.0 ||
        speed->inter_token_ms < speed->best_inter_token_ms) {
        speed->best_inter_token_ms = speed->inter_token_ms;
    }
    else {
        speed->best_inter_token_ms *= BEST_GROWTH;
    }
}

int64_t
BsSpeed_PrefillMs(const BsSpeed *speed, uint32_t prefill_tokens)
{
    return (int64_t)(speed->prefill_token_ms *
                     (prefill_tokens + FIRST_TOKEN_BASE_TOKENS));
}

int64_t
BsSpeed_PredictMs(const BsSpeed *speed, uint32_t prefill_tokens,
                  uint32_t output_tokens)
{
    return BsSpeed_PrefillMs(speed, prefill_tokens) +
           (int64_t)(speed->inter_token_ms * output_tokens);
}

void
BsSpeed_OnFinish(BsSpeed *speed, int64_t actual_ms, int64_t predicted_ms)
{
    if (predicted_ms <= 0) {
        return;
    }
    double ratio = (double)actual_ms / (double)predicted_ms;
    speed->duration_ratio = S_average(
        speed->duration_ratio, MIN(ratio, DURATION_RATIO_MAX), RECENT_WEIGHT);
    speed->finishes++;
}

int64_t
BsSpeed_ExpectMs(const BsSpeed *speed, uint32_t prefill_tokens,
                 uint32_t output_tokens)
{
    if (speed->finishes < FINISHES_MIN) {
        return 0;
    }
    int64_t predicted_ms =
        BsSpeed_PredictMs(speed, prefill_tokens, output_tokens);
    return (int64_t)(speed->duration_ratio * (double)predicted_ms);
}

bool
BsSpeed_IsSuddenlySlow(const BsSpeed *speed)
{
    return speed->slow_firsts >= SLOW_FIRSTS_MIN;
}

bool
BsSpeed_IsCongested(const BsSpeed *speed)
{
    double bound_ms = MAX(INTER_TOKEN_TARGET_MS,
                          CONGESTED_RATIO * speed->best_inter_token_ms);
    return speed->inter_token_ms > bound_ms;
}
