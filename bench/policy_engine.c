/* policy_engine.c - simulates a model engine for the policy benchmark. */
#include "policy_engine.h"

#define MS_PER_S 1000.0

/* Batch size at which decoding takes twice as long as for one request. */
#define BATCH_DOUBLING 16.0

/* Factor by which decoding is slower while a prefill runs. */
#define PREFILL_SLOWDOWN 1.3

typedef struct {
    uint64_t hash;
    uint32_t tokens;
} CacheEntry;

struct Engine {
    char *name;
    EngineSpec spec;
    GPtrArray *jobs;     /* EngineJob, in order of arrival */
    GQueue cache;        /* CacheEntry, least recently used first */
    uint32_t cache_used; /* tokens */
    double prefill;      /* tokens computed so far */
    double slowness;
    EnginePieceFunc piece;
    void *context;
};

static void
S_destroy_job(void *data)
{
    EngineJob *job = data;
    g_free(job->request_id);
    g_free(job);
}

Engine *
Engine_Create(const char *name, const EngineSpec *spec, EnginePieceFunc piece,
              void *context)
{
    Engine *engine = g_new0(Engine, 1);
    engine->name = g_strdup(name);
    engine->spec = *spec;
    engine->jobs = g_ptr_array_new_with_free_func(S_destroy_job);
    engine->slowness = 1.0;
    engine->piece = piece;
    engine->context = context;
    g_queue_init(&engine->cache);
    return engine;
}

void
Engine_Destroy(Engine *engine)
{
    g_ptr_array_unref(engine->jobs);
    g_queue_clear_full(&engine->cache, g_free);
    g_free(engine->name);
    g_free(engine);
}

const char *
Engine_Name(const Engine *engine)
{
    return engine->name;
}

void
Engine_Add(Engine *engine, EngineJob *job)
{
    g_ptr_array_add(engine->jobs, job);
}

double
Engine_Cancel(Engine *engine, const void *owner, uint32_t attempt)
{
    for (guint i = 0; i < engine->jobs->len; i++) {
        const EngineJob *job = engine->jobs->pdata[i];
        if (job->owner == owner && job->attempt == attempt) {
            double done = job->prefill_done;
            g_ptr_array_remove_index(engine->jobs, i);
            return done;
        }
    }
    return 0.0;
}

void
Engine_SetSlowness(Engine *engine, double slowness)
{
    engine->slowness = slowness;
}

static GList *
S_find_cached(Engine *engine, uint64_t hash)
{
    for (GList *node = engine->cache.head; node != NULL; node = node->next) {
        const CacheEntry *entry = node->data;
        if (entry->hash == hash) {
            return node;
        }
    }
    return NULL;
}

static void
S_insert_cached(Engine *engine, const EngineJob *job)
{
    GList *node = S_find_cached(engine, job->prefix_hash);
    if (job->prefix_hash == 0 || node != NULL) {
        return;
    }
    CacheEntry *entry = g_new0(CacheEntry, 1);
    entry->hash = job->prefix_hash;
    entry->tokens = job->prefix_tokens;
    g_queue_push_tail(&engine->cache, entry);
    engine->cache_used += entry->tokens;
    while (engine->cache_used > engine->spec.cache_tokens) {
        CacheEntry *oldest = g_queue_pop_head(&engine->cache);
        engine->cache_used -= oldest->tokens;
        g_free(oldest);
    }
}

static void
S_admit_job(Engine *engine, EngineJob *job)
{
    GList *node =
        job->prefix_hash == 0 ? NULL : S_find_cached(engine, job->prefix_hash);
    if (node != NULL) {
        job->cached = job->prefix_tokens;
        g_queue_unlink(&engine->cache, node);
        g_queue_push_tail_link(&engine->cache, node);
    }
    job->admitted = true;
    job->prefill_left = job->prompt_tokens - job->cached + job->produced;
}

static void
S_admit(Engine *engine)
{
    uint32_t slots = 0;
    uint64_t tokens = 0;
    for (guint i = 0; i < engine->jobs->len; i++) {
        EngineJob *job = engine->jobs->pdata[i];
        uint32_t cost = job->prompt_tokens + job->output_tokens;
        if (slots >= engine->spec.slots ||
            (slots > 0 && tokens + cost > engine->spec.tokens)) {
            return;
        }
        if (!job->admitted) {
            S_admit_job(engine, job);
        }
        slots++;
        tokens += cost;
    }
}

/* Computes the prefill of one step; returns whether any was computed. */
static bool
S_prefill(Engine *engine)
{
    double budget = engine->spec.prefill_per_s * ENGINE_STEP_MS / MS_PER_S /
                    engine->slowness;
    bool any = false;
    for (guint i = 0; i < engine->jobs->len && budget > 0.0; i++) {
        EngineJob *job = engine->jobs->pdata[i];
        if (!job->admitted || job->prefill_left <= 0.0) {
            continue;
        }
        double spent = MIN(budget, job->prefill_left);
        any = true;
        budget -= spent;
        job->prefill_left -= spent;
        job->prefill_done += spent;
        engine->prefill += spent;
        if (job->prefill_left <= 0.0) {
            S_insert_cached(engine, job);
        }
    }
    return any;
}

/* Decodes one job for a step; returns whether it is complete. */
static bool
S_decode(Engine *engine, EngineJob *job, double inter_token_ms)
{
    job->decode_ms += ENGINE_STEP_MS;
    uint32_t made = (uint32_t)(job->decode_ms / inter_token_ms);
    job->decode_ms -= made * inter_token_ms;
    job->produced = MIN(job->produced + made, job->output_tokens);
    bool done = job->produced >= job->output_tokens;
    uint32_t sent = job->sent_pieces * ENGINE_PIECE_TOKENS;
    while (job->produced >= sent + ENGINE_PIECE_TOKENS) {
        job->sent_pieces++;
        sent += ENGINE_PIECE_TOKENS;
        engine->piece(job, ENGINE_PIECE_TOKENS, false, engine->context);
    }
    return done;
}

void
Engine_Step(Engine *engine)
{
    S_admit(engine);
    bool prefilling = S_prefill(engine);
    uint32_t batch = 0;
    for (guint i = 0; i < engine->jobs->len; i++) {
        const EngineJob *job = engine->jobs->pdata[i];
        batch += job->admitted && job->prefill_left <= 0.0;
    }
    double inter_token_ms = engine->spec.inter_token_ms * engine->slowness *
                            (1.0 + batch / BATCH_DOUBLING) *
                            (prefilling ? PREFILL_SLOWDOWN : 1.0);
    for (guint i = 0; i < engine->jobs->len;) {
        EngineJob *job = engine->jobs->pdata[i];
        if (job->admitted && job->prefill_left <= 0.0 &&
            S_decode(engine, job, inter_token_ms)) {
            g_ptr_array_steal_index(engine->jobs, i);
            engine->piece(job, 0, true, engine->context);
            S_destroy_job(job);
            continue;
        }
        i++;
    }
}

uint32_t
Engine_Running(const Engine *engine)
{
    uint32_t count = 0;
    for (guint i = 0; i < engine->jobs->len; i++) {
        const EngineJob *job = engine->jobs->pdata[i];
        count += job->admitted;
    }
    return count;
}

uint32_t
Engine_Waiting(const Engine *engine)
{
    return engine->jobs->len - Engine_Running(engine);
}

bool
Engine_HasLowerPriority(const Engine *engine, uint32_t rank)
{
    for (guint i = 0; i < engine->jobs->len; i++) {
        const EngineJob *job = engine->jobs->pdata[i];
        if (job->rank > rank) {
            return true;
        }
    }
    return false;
}

double
Engine_PrefillTokens(const Engine *engine)
{
    return engine->prefill;
}
