/* predict.c - the predicted time to the first event of an answer, and the time
 * after which refused callers should retry.
 */
#include "predict.h"

#include <math.h>

/* Factor on the weight of earlier samples for each new one: about the last 200
   count. */
#define SAMPLE_DECAY 0.995

/* Total weight of samples from which on a prediction is made. */
#define SAMPLES_MIN 8.0

/* Number of mean deviations added to the mean, so that most answers start
   earlier, and the weight of the newest deviation in their moving average. */
#define DEVIATIONS 1.0
#define DEVIATION_WEIGHT 0.05

/* Refusals further apart than this belong to different overloads. */
#define OVERLOAD_GAP_MS 1000

/* Limits of the time until a retry.  The smallest is about the time after
   which a running request ends and frees a slot; the largest is a third of the
   caller's remaining time. */
#define RETRY_AFTER_MIN_MS 300
#define RETRY_AFTER_DIVISOR 3

/* Weighted sums over the samples for a linear regression, with x the prompt
   tokens and y the milliseconds. */
typedef struct {
    double weight; /* of all samples */
    double x;
    double y;
    double xx;
    double xy;
    double deviation_ms; /* moving average of the absolute error */
} BsPredictor;

struct BsPredictors {
    GHashTable *services; /* name to BsPredictor */
};

BsPredictors *
BsPredictors_Create(void)
{
    BsPredictors *predictors = g_new0(BsPredictors, 1);
    predictors->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return predictors;
}

void
BsPredictors_Destroy(BsPredictors *predictors)
{
    if (predictors != NULL) {
        g_hash_table_destroy(predictors->services);
        g_free(predictors);
    }
}

/* Returns the mean time in milliseconds for a prompt of TOKENS. */
static double
S_mean_ms(const BsPredictor *self, double tokens)
{
    double mean_x = self->x / self->weight;
    double mean_y = self->y / self->weight;
    double spread = self->xx / self->weight - mean_x * mean_x;
    double slope = 0;
    if (spread > 1) {
        slope = (self->xy / self->weight - mean_x * mean_y) / spread;
    }
    /* A longer prompt never takes less time, though the slope of a few samples
       can be negative. */
    slope = MAX(slope, 0);
    return MAX(0, mean_y + slope * (tokens - mean_x));
}

void
BsPredictors_Observe(BsPredictors *predictors, const char *service,
                     uint32_t prompt_tokens, int64_t first_ms)
{
    BsPredictor *self = g_hash_table_lookup(predictors->services, service);
    double x = prompt_tokens;
    double y = (double)first_ms;
    if (self == NULL) {
        self = g_new0(BsPredictor, 1);
        g_hash_table_insert(predictors->services, g_strdup(service), self);
    }
    if (self->weight >= 1) {
        double error_ms = fabs(y - S_mean_ms(self, x));
        self->deviation_ms +=
            DEVIATION_WEIGHT * (error_ms - self->deviation_ms);
    }
    self->weight = self->weight * SAMPLE_DECAY + 1;
    self->x = self->x * SAMPLE_DECAY + x;
    self->y = self->y * SAMPLE_DECAY + y;
    self->xx = self->xx * SAMPLE_DECAY + x * x;
    self->xy = self->xy * SAMPLE_DECAY + x * y;
}

int64_t
BsPredictors_FirstMs(const BsPredictors *predictors, const char *service,
                     uint32_t prompt_tokens)
{
    const BsPredictor *self =
        g_hash_table_lookup(predictors->services, service);
    if (self == NULL || self->weight < SAMPLES_MIN) {
        return 0;
    }
    return (int64_t)(S_mean_ms(self, prompt_tokens) +
                     DEVIATIONS * self->deviation_ms);
}

int64_t
BsPredictors_TypicalMs(const BsPredictors *predictors, const char *service)
{
    const BsPredictor *self =
        g_hash_table_lookup(predictors->services, service);
    if (self == NULL || self->weight < SAMPLES_MIN) {
        return 0;
    }
    return (int64_t)(self->y / self->weight + DEVIATIONS * self->deviation_ms);
}

bool
BsOverload_Lasts(const BsOverload *overload, int64_t now_ms)
{
    return overload->last_ms != 0 &&
           now_ms - overload->last_ms <= OVERLOAD_GAP_MS;
}

int64_t
BsOverload_Refuse(BsOverload *overload, int64_t left_ms, int64_t now_ms)
{
    if (!BsOverload_Lasts(overload, now_ms)) {
        overload->since_ms = now_ms;
    }
    overload->last_ms = now_ms;
    int64_t lasted_ms = now_ms - overload->since_ms;
    int64_t most_ms = MAX(left_ms / RETRY_AFTER_DIVISOR, RETRY_AFTER_MIN_MS);
    return CLAMP(lasted_ms, RETRY_AFTER_MIN_MS, most_ms);
}
