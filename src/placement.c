/* placement.c - the cost of a stream at one of several engines of unlike
 * speed.
 */
#include "placement.h"

/* Prompt tokens that an engine of usual speed reads in a millisecond. */
#define READ_TOKENS_PER_MS 45.0

/* Price of a fast engine's slot, as a part of the usual prompt.  A request
   whose prompt has the usual length is then about as well placed at an engine
   of double as at one of half the mean speed. */
#define FAST_SLOT_SHARE 0.6

/* Part of the time left that an answer may be expected to take.  Estimates of
   its length are often exceeded. */
#define LEFT_SHARE 0.7

/* Cost of an answer that is expected to take twice the allowed time or longer:
   a faster engine is preferred to one where it is likely to end unfinished. */
#define UNFINISHED_COST_MS 2000.0

/* Weight of the newest prompt in the mean. */
#define MEAN_WEIGHT 0.02

/* Returns the expected time to the end of the answer, relative to the allowed
   one; 0 when it is unknown. */
static double
S_time_ratio(const BsPlacement *placement)
{
    if (placement->events <= 0 || placement->event_ms <= 0) {
        return 0;
    }
    double read_ms =
        placement->slowness *
        (placement->prompt_tokens + (double)placement->waiting_tokens) /
        READ_TOKENS_PER_MS;
    double allowed_ms = LEFT_SHARE * (double)MAX(placement->left_ms, 1);
    return (read_ms + placement->events * placement->event_ms) / allowed_ms;
}

bool
BsPlacement_Fits(const BsPlacement *placement)
{
    return S_time_ratio(placement) <= 1;
}

double
BsPlacement_CostMs(const BsPlacement *placement)
{
    double read = placement->slowness * placement->prompt_tokens;
    double price =
        FAST_SLOT_SHARE * placement->usual_tokens / placement->slowness;
    double wait = placement->slowness * (double)placement->waiting_tokens;
    double callers = 1.0 + placement->load;
    return (callers * (read + price) + wait) / READ_TOKENS_PER_MS +
           UNFINISHED_COST_MS * CLAMP(S_time_ratio(placement) - 1, 0, 1);
}

double
BsPlacement_UpdateMean(double mean_tokens, uint32_t prompt_tokens)
{
    if (mean_tokens <= 0) {
        return prompt_tokens;
    }
    return mean_tokens + MEAN_WEIGHT * (prompt_tokens - mean_tokens);
}
