/*
 * policy_engine.h - simulates a model engine for the policy benchmark.
 *
 * Simulates continuous batching in steps: a FIFO queue in front of a number of
 * slots, prefill of one request at a time, decoding that slows down as the
 * batch grows, and a prefix cache of limited size.
 */
#ifndef POLICY_ENGINE_H
#define POLICY_ENGINE_H

#include "boragespur.h"

/* Simulated time of one step. */
#define ENGINE_STEP_MS 10

/* Output tokens in one piece of an answer. */
#define ENGINE_PIECE_TOKENS 4

typedef struct {
    uint32_t slots;
    uint32_t tokens;       /* size of the KV cache of running requests */
    uint32_t cache_tokens; /* size of the prefix cache */
    double prefill_per_s;  /* tokens */
    double inter_token_ms; /* of a request alone in the batch */
} EngineSpec;

/* One request at an engine. */
typedef struct {
    char *request_id;
    void *owner;     /* dispatcher of the request */
    uint32_t engine; /* for use by the dispatcher */
    uint64_t prefix_hash;
    uint32_t prefix_tokens;
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* actual */
    uint32_t rank;          /* of its tier, 1 for the most urgent */
    uint32_t attempt;
    uint32_t produced; /* output tokens, including those of earlier attempts */
    uint32_t sent_pieces;
    uint32_t cached;     /* prompt tokens found in the prefix cache */
    double prefill_left; /* tokens */
    double prefill_done; /* tokens */
    double decode_ms;
    bool admitted;
} EngineJob;

typedef struct Engine Engine;

/* Receives each piece of an answer; FINAL is set for the last one, which has
   no TOKENS.  Must not call functions of the engine. */
typedef void (*EnginePieceFunc)(const EngineJob *job, uint32_t tokens,
                                bool final, void *context);

Engine *Engine_Create(const char *name, const EngineSpec *spec,
                      EnginePieceFunc piece, void *context);
void Engine_Destroy(Engine *engine);
const char *Engine_Name(const Engine *engine);

/* Adds JOB and takes it.  A resumed job has produced and sent_pieces set. */
void Engine_Add(Engine *engine, EngineJob *job);

/* Cancels a job; returns the prefill tokens computed for it, or 0 if there is
   no such job. */
double Engine_Cancel(Engine *engine, const void *owner, uint32_t attempt);

/* Simulates one step of ENGINE_STEP_MS. */
void Engine_Step(Engine *engine);

/* Sets the factor by which prefill and decoding are slower; 1 is normal. */
void Engine_SetSlowness(Engine *engine, double slowness);

uint32_t Engine_Running(const Engine *engine);
uint32_t Engine_Waiting(const Engine *engine);

/* Returns whether a job of lower priority than RANK (a greater rank) runs or
   waits at the engine. */
bool Engine_HasLowerPriority(const Engine *engine, uint32_t rank);

/* Returns the prefill tokens computed so far. */
double Engine_PrefillTokens(const Engine *engine);

#endif /* POLICY_ENGINE_H */
