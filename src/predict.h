/*
 * predict.h - how long an upstream takes to the first event of an answer.
 *
 * Rules: learned from what was seen: a fixed part and a part for each token of
 * the prompt, with old samples forgotten; no figure of any engine is built in.
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

/* Returns the time in which most such answers begin; 0 while nothing was
   seen. */
int64_t BsPredictors_FirstMs(const BsPredictors *predictors,
                             const char *service, uint32_t prompt_tokens);

/* Returns the same for a prompt of the length that is usual at SERVICE. */
int64_t BsPredictors_TypicalMs(const BsPredictors *predictors,
                               const char *service);

/* How long refusals for lack of places have lasted. */
typedef struct {
    int64_t since_ms; /* first of them; valid while LAST_MS is recent */
    int64_t last_ms;
} BsOverload;

/* Returns whether requests were refused lately. */
bool BsOverload_Lasts(const BsOverload *overload, int64_t now_ms);

/* Notes a refusal at NOW_MS, and returns when its caller should come back, in
   milliseconds, when it has LEFT_MS: an overload that has lasted for some time
   lasts about as long again. */
int64_t BsOverload_Refuse(BsOverload *overload, int64_t left_ms,
                          int64_t now_ms);

#endif /* BS_PREDICT_H */
