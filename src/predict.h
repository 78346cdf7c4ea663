/*
 * predict.h - the predicted time to the first event of an answer, and the time
 * after which refused callers should retry.
 *
 * Rules: the time is a linear function of the prompt's length, fitted to the
 * answers of the service; old samples lose weight.  No engine-specific
 * figures are built in.
 */
#ifndef BS_PREDICT_H
#define BS_PREDICT_H

#include "boragespur.h"

typedef struct BsPredictors BsPredictors;

BsPredictors *BsPredictors_Create(void);

/* Frees PREDICTORS; NULL is allowed. */
void BsPredictors_Destroy(BsPredictors *predictors);

/* Notes that an answer of SERVICE to a prompt of PROMPT_TOKENS took FIRST_MS
   to its first event. */
void BsPredictors_Observe(BsPredictors *predictors, const char *service,
                          uint32_t prompt_tokens, int64_t first_ms);

/* Returns the milliseconds within which most answers of SERVICE to a prompt of
   PROMPT_TOKENS start; 0 while there are too few samples. */
int64_t BsPredictors_FirstMs(const BsPredictors *predictors,
                             const char *service, uint32_t prompt_tokens);

/* Returns the same for a prompt of the length that is usual at SERVICE. */
int64_t BsPredictors_TypicalMs(const BsPredictors *predictors,
                               const char *service);

/* A period in which requests are refused for lack of free slots. */
typedef struct {
    int64_t since_ms; /* first refusal; valid while LAST_MS is recent */
    int64_t last_ms;  /* last refusal; 0: none */
} BsOverload;

/* Returns whether a request was refused so recently that the overload has not
   ended. */
bool BsOverload_Lasts(const BsOverload *overload, int64_t now_ms);

/* Notes a refusal at NOW_MS of a request whose deadline is in LEFT_MS. Returns
   the milliseconds after which the caller should retry: an overload that has
   lasted for some time is expected to last about as long again. */
int64_t BsOverload_Refuse(BsOverload *overload, int64_t left_ms,
                          int64_t now_ms);

#endif /* BS_PREDICT_H */
