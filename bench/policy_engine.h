/*
 * policy_engine.h - a small model engine for the policy measurement.
 *
 * Continuous batching in steps: a FIFO queue in front of a number of slots,
 * prefill one request at a time, decoding that slows down with the batch, and
 * a prefix cache of limited size.
 */
#ifndef POLICY_ENGINE_H
#define POLICY_ENGINE_H

#include "boragespur.h"

/* Time of one step. */
#define ENGINE_STEP_MS 10

/* Output tokens in one piece of an answer. */
#define ENGINE_PIECE_TOKENS 4

typedef struct {
    uint32_t slots;
    uint32_t tokens;       /* KV cache of running requests */
    uint32_t cache_tokens; /* prefix cache */
    double prefill_per_s;
    double inter_token_ms; /* alone in the batch */
} EngineSpec;

/* One request at an engine. */
typedef struct {
    char *request_id;
    void *owner;     /* who dispatched it */
    uint32_t engine; /* for the dispatcher's use */
    uint64_t prefix_hash;
    uint32_t prefix_tokens;
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* actual */
    uint32_t rank;
    uint32_t attempt;
    uint32_t produced; /* output tokens, resumed ones included */
    uint32_t sent_pieces;
    uint32_t cached;
    double prefill_left;
    double prefill_done;
    double decode_ms;
    bool admitted;
} EngineJob;

typedef struct Engine Engine;

/* Receives each piece of an answer, FINAL with the last one; must not call
   the engine back. */
typedef void (*EnginePieceFunc)(const EngineJob *job, uint32_t tokens,
                                bool final, void *context);

Engine *Engine_Create(const char *name, const EngineSpec *spec,
                      EnginePieceFunc piece, void *context);
void Engine_Destroy(Engine *engine);
const char *Engine_Name(const Engine *engine);

/* Takes JOB; a resumed one has PRODUCED and SENT_PIECES set. */
void Engine_Add(Engine *engine, EngineJob *job);

/* Drops a job; returns the prefill tokens computed for it, 0 if unknown. */
double Engine_Cancel(Engine *engine, const void *owner, uint32_t attempt);

/* Runs one step. */
void Engine_Step(Engine *engine);

/* Multiplies the time of every step; 1 is normal. */
void Engine_SetSlowness(Engine *engine, double slowness);

uint32_t Engine_Running(const Engine *engine);
uint32_t Engine_Waiting(const Engine *engine);

/* Returns whether work of a rank above RANK runs or waits here. */
bool Engine_HasLowerPriority(const Engine *engine, uint32_t rank);

/* Returns the prefill tokens computed so far. */
double Engine_PrefillTokens(const Engine *engine);

#endif /* POLICY_ENGINE_H */
