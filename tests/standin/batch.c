/* batch.c - slots, cold start, prefix cache and load of one engine. */
#include "batch.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

/* Size of the prompt blocks of the prefix cache. */
#define BLOCK_BYTES 64
#define BLOCK_TOKENS 16

/* Interval of checks whether the caller disconnected. */
#define DISCONNECT_CHECK_US 20000

typedef struct {
    int running;
    int waiting;
    uint32_t tokens;
} S_Load;

typedef struct {
    uint64_t started;
    uint64_t completed;
    uint64_t cancelled;
    uint64_t prefill_tokens;
    uint64_t cached_tokens;
} S_Totals;

static pthread_mutex_t S_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t S_freed = PTHREAD_COND_INITIALIZER;
static BsBatchConfig S_config;
static S_Load S_current_load; /* exact */
static S_Load S_reported;     /* as of S_reported_ms */
static int64_t S_reported_ms;
static int64_t S_warm_at_ms;
static double S_straggle = 1.0;
static uint64_t S_next_position;      /* of the next arrival */
static uint64_t S_first_position;     /* head of the queue */
static GHashTable *S_abandoned;       /* positions whose caller disconnected */
static GQueue S_cache = G_QUEUE_INIT; /* block hashes, newest first */
static S_Totals S_totals;

void
BsBatch_Init(const BsBatchConfig *config)
{
    S_config = *config;
    S_warm_at_ms = BsStandin_NowMs() + config->cold_ms;
    S_reported_ms = BsStandin_NowMs();
    S_abandoned = g_hash_table_new(g_direct_hash, g_direct_equal);
}

/* Ends the process if a cold engine runs more requests than it can handle. */
static void
S_check_cold(void)
{
    if (BsStandin_NowMs() < S_warm_at_ms &&
        S_current_load.running > S_config.cold_limit) {
        fprintf(stderr, "engine: overloaded while cold\n");
        _exit(BS_STANDIN_EXIT_OVERLOADED);
    }
}

static void
S_skip_abandoned(void)
{
    while (
        g_hash_table_remove(S_abandoned, GSIZE_TO_POINTER(S_first_position))) {
        S_first_position++;
    }
}

/* Queues for a slot; the caller holds the lock.  Returns false if the caller
   of the request disconnected. */
static bool
S_wait_for_slot(struct MHD_Connection *connection)
{
    uint64_t position = S_next_position++;
    S_current_load.waiting++;
    while (position != S_first_position ||
           S_current_load.running >= S_config.slots) {
        struct timespec until;
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += (long)DISCONNECT_CHECK_US * 1000;
        if (until.tv_nsec >= 1000000000) {
            until.tv_nsec -= 1000000000;
            until.tv_sec++;
        }
        pthread_cond_timedwait(&S_freed, &S_lock, &until);
        if (BsStandin_IsDisconnected(connection)) {
            g_hash_table_add(S_abandoned, GSIZE_TO_POINTER(position));
            S_skip_abandoned();
            S_current_load.waiting--;
            return false;
        }
    }
    S_first_position++;
    S_skip_abandoned();
    S_current_load.waiting--;
    S_current_load.running++;
    pthread_cond_broadcast(&S_freed);
    return true;
}

/* Returns how many tokens of PROMPT its leading cached blocks hold, and caches
   all its blocks. */
static uint32_t
S_use_cache(const char *prompt)
{
    size_t length = strlen(prompt);
    uint32_t cached = 0;
    bool matching = true;
    for (size_t end = BLOCK_BYTES; end <= length; end += BLOCK_BYTES) {
        gpointer hash = GSIZE_TO_POINTER(XXH64(prompt, end, 0));
        bool found = g_queue_remove(&S_cache, hash);
        matching = matching && found;
        cached += matching ? 1 : 0;
        g_queue_push_head(&S_cache, hash);
    }
    while (S_cache.length > (guint)S_config.cache_prefixes) {
        g_queue_pop_tail(&S_cache);
    }
    return cached * BLOCK_TOKENS;
}

static bool
S_sleep_until(struct MHD_Connection *connection, int64_t due_us)
{
    for (;;) {
        int64_t left_us = due_us - g_get_monotonic_time();
        if (BsStandin_IsDisconnected(connection)) {
            return false;
        }
        if (left_us <= 0) {
            return true;
        }
        g_usleep((gulong)MIN(left_us, DISCONNECT_CHECK_US));
    }
}

static int64_t
S_prefill_us(uint32_t tokens)
{
    return S_config.prefill_per_s <= 0.0
               ? 0
               : (int64_t)(tokens * G_USEC_PER_SEC * S_straggle /
                           S_config.prefill_per_s);
}

bool
BsBatch_Start(struct MHD_Connection *connection, const char *prompt,
              uint32_t tokens, uint32_t *cached_tokens)
{
    pthread_mutex_lock(&S_lock);
    if (!S_wait_for_slot(connection)) {
        S_totals.cancelled++;
        pthread_mutex_unlock(&S_lock);
        return false;
    }
    S_check_cold();
    if (S_config.poison != NULL && strstr(prompt, S_config.poison) != NULL) {
        fprintf(stderr, "engine: crashed by a poison request\n");
        _exit(BS_STANDIN_EXIT_POISONED);
    }
    *cached_tokens = MIN(S_use_cache(prompt), tokens);
    S_totals.started++;
    S_totals.prefill_tokens += tokens - *cached_tokens;
    S_totals.cached_tokens += *cached_tokens;
    S_current_load.tokens += tokens;
    int64_t due_us =
        g_get_monotonic_time() + S_prefill_us(tokens - *cached_tokens);
    pthread_mutex_unlock(&S_lock);
    if (!S_sleep_until(connection, due_us)) {
        BsBatch_Finish(tokens, false);
        return false;
    }
    return true;
}

bool
BsBatch_NextToken(struct MHD_Connection *connection, int64_t *due_us)
{
    pthread_mutex_lock(&S_lock);
    double interval_us =
        (double)G_USEC_PER_SEC * S_straggle / S_config.tokens_per_s;
    pthread_mutex_unlock(&S_lock);
    *due_us += (int64_t)interval_us;
    return S_sleep_until(connection, *due_us);
}

void
BsBatch_Finish(uint32_t tokens, bool complete)
{
    pthread_mutex_lock(&S_lock);
    S_current_load.running--;
    S_current_load.tokens -= tokens;
    S_totals.completed += complete ? 1 : 0;
    S_totals.cancelled += complete ? 0 : 1;
    pthread_cond_broadcast(&S_freed);
    pthread_mutex_unlock(&S_lock);
}

void
BsBatch_SetStraggle(double factor)
{
    pthread_mutex_lock(&S_lock);
    S_straggle = factor;
    pthread_mutex_unlock(&S_lock);
}

void
BsBatch_SetCold(int cold_ms)
{
    pthread_mutex_lock(&S_lock);
    S_warm_at_ms = BsStandin_NowMs() + cold_ms;
    g_queue_clear(&S_cache);
    pthread_mutex_unlock(&S_lock);
}

void
BsBatch_Report(json_t *report)
{
    pthread_mutex_lock(&S_lock);
    int64_t now_ms = BsStandin_NowMs();
    if (now_ms - S_reported_ms >= S_config.report_lag_ms) {
        S_reported = S_current_load;
        S_reported_ms = now_ms;
    }
    json_object_set_new(report, "running", json_integer(S_reported.running));
    json_object_set_new(report, "waiting", json_integer(S_reported.waiting));
    json_object_set_new(report, "tokens", json_integer(S_reported.tokens));
    json_object_set_new(report, "age_ms",
                        json_integer(now_ms - S_reported_ms));
    pthread_mutex_unlock(&S_lock);
}

json_t *
BsBatch_Stats(void)
{
    pthread_mutex_lock(&S_lock);
    json_t *stats =
        json_pack("{s:i, s:i, s:I, s:I, s:I, s:I, s:I}", "running",
                  S_current_load.running, "waiting", S_current_load.waiting,
                  "started", (json_int_t)S_totals.started, "completed",
                  (json_int_t)S_totals.completed, "cancelled",
                  (json_int_t)S_totals.cancelled, "prefill_tokens",
                  (json_int_t)S_totals.prefill_tokens, "cached_tokens",
                  (json_int_t)S_totals.cached_tokens);
    pthread_mutex_unlock(&S_lock);
    return stats;
}
