/* upstream.c - the owner's state of one upstream and its adaptive limit. */
#include "upstream.h"

#include <string.h>

/* Slots of an upstream that publishes no limit. */
#define DEFAULT_SLOTS 4

/* Tokens per slot of an upstream that publishes no token limit. */
#define DEFAULT_TOKENS_PER_SLOT 16384

/* Time between two changes of the adaptive limit. */
#define ADAPT_MS 1000

/* Factor of one decrease of the limit. */
#define DECREASE 0.8

/* Number of increases from 0 to the published limit. */
#define INCREASE_STEPS 32

/* Under congestion the limit stays at 1 / LIMIT_FLOOR_SHARE of the published
   one or above. */
#define LIMIT_FLOOR_SHARE 8

/* Longest predicted prefill in flight that keeps the first token within its
   target. */
#define PREFILL_TARGET_MS 850

/* Pause after a failure, doubled for each further consecutive one up to
   SUSPEND_MAX_MS. */
#define SUSPEND_MS 250
#define SUSPEND_MAX_MS 4000

/* Pause after the upstream refused a request because it was full. */
#define REFUSED_SUSPEND_MS 100

/* Consecutive misses of expected cache hits that show that the upstream is
   cold. */
#define LOST_HITS_MIN 3

/* Smallest expected hit that is compared with the reported one. */
#define HIT_MIN_TOKENS 256

/* Ratio of the inter-token time to that of the hardware generation above which
   an upstream is straggling. */
#define STRAGGLING_RATIO 2.0

/* Ratio below which a straggling upstream has recovered. */
#define RECOVERED_RATIO 1.4

/* A straggling upstream gets 1 / STRAGGLER_SHARE of its limit. */
#define STRAGGLER_SHARE 8

/* Greatest age of the last answer piece for which it overrides a report that
   the upstream is unreachable. */
#define CONTRADICTION_MS 1000

#define HALF 2

BsUpstream *
BsUpstream_Create(const BsListEntry *entry, int64_t now_ms)
{
    BsUpstream *upstream = g_new0(BsUpstream, 1);
    upstream->name = g_strdup(entry->name);
    upstream->running = g_hash_table_new(g_direct_hash, g_direct_equal);
    upstream->prefixes = BsPrefixes_Create();
    upstream->foreign =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    upstream->reachable = true;
    upstream->cold_ms = now_ms;
    BsUpstream_Update(upstream, entry, 0);
    upstream->limit = upstream->slots;
    return upstream;
}

void
BsUpstream_Destroy(BsUpstream *upstream)
{
    if (upstream == NULL) {
        return;
    }
    g_hash_table_destroy(upstream->running);
    g_hash_table_destroy(upstream->foreign);
    BsPrefixes_Destroy(upstream->prefixes);
    g_free(upstream->name);
    g_free(upstream->generation);
    g_free(upstream->boot_id);
    g_free(upstream->loaded);
    g_free(upstream->loading);
    g_free(upstream);
}

static uint32_t
S_slots(const BsListEntry *entry, uint32_t concurrency)
{
    uint32_t slots = entry->slots == 0 ? DEFAULT_SLOTS : entry->slots;
    return concurrency == 0 ? slots : MIN(slots, concurrency);
}

uint32_t
BsUpstream_TokensOf(const BsListEntry *entry, uint32_t concurrency)
{
    return entry->tokens == 0
               ? S_slots(entry, concurrency) * DEFAULT_TOKENS_PER_SLOT
               : entry->tokens;
}

void
BsUpstream_Update(BsUpstream *upstream, const BsListEntry *entry,
                  uint32_t concurrency)
{
    uint32_t slots = S_slots(entry, concurrency);
    if (slots > upstream->slots) {
        upstream->limit += slots - upstream->slots;
    }
    upstream->slots = slots;
    upstream->tokens = BsUpstream_TokensOf(entry, concurrency);
    upstream->limit = MIN(upstream->limit, slots);
    BsMessage_SetString(&upstream->generation, entry->kind == BS_NODE_ENGINE
                                                   ? entry->generation
                                                   : NULL);
}

void
BsUpstream_TurnCold(BsUpstream *upstream, int64_t now_ms)
{
    upstream->warmth = BS_WARMTH_COLD;
    upstream->cold_ms = now_ms;
    upstream->lost_hits = 0;
    memset(&upstream->speed, 0, sizeof(upstream->speed));
    BsPrefixes_Clear(upstream->prefixes);
}

void
BsUpstream_Resume(BsUpstream *upstream, const BsColdStart *cold,
                  int64_t now_ms)
{
    upstream->warmth = BS_WARMTH_RAMP;
    upstream->ramp_ms = now_ms - cold->ramp_ms / HALF;
}

static uint32_t
S_ramp(uint32_t from, uint32_t to, int64_t done_ms, uint32_t ramp_ms)
{
    if (to <= from || ramp_ms == 0) {
        return MIN(from, to);
    }
    double share = CLAMP((double)done_ms / ramp_ms, 0.0, 1.0);
    return from + (uint32_t)(share * (to - from));
}

void
BsUpstream_Limit(const BsUpstream *upstream, const BsColdStart *cold,
                 int64_t now_ms, uint32_t *requests, uint32_t *tokens)
{
    uint32_t limit = (uint32_t)MAX(upstream->limit, 1.0);
    if (upstream->straggling) {
        limit = MAX(limit / STRAGGLER_SHARE, 1);
    }
    *requests = limit;
    *tokens = upstream->tokens;
    if (upstream->warmth == BS_WARMTH_COLD) {
        *requests = MIN(limit, cold->requests);
        *tokens = MIN(upstream->tokens, cold->tokens);
    }
    else if (upstream->warmth == BS_WARMTH_RAMP) {
        int64_t done_ms = now_ms - upstream->ramp_ms;
        *requests = S_ramp(cold->requests, limit, done_ms, cold->ramp_ms);
        *tokens =
            S_ramp(cold->tokens, upstream->tokens, done_ms, cold->ramp_ms);
    }
}

static uint32_t
S_cached(const BsUpstream *upstream, const BsRequest *request)
{
    uint32_t cached =
        BsPrefixes_Find(upstream->prefixes, request->prefix_hash);
    return MIN(cached, request->prompt_tokens);
}

uint32_t
BsUpstream_Cost(const BsUpstream *upstream, const BsWork *work)
{
    uint32_t cached = S_cached(upstream, BsWork_Request(work));
    return MAX(work->cost_tokens - MIN(cached, work->cost_tokens), 1);
}

static uint32_t
S_prefill(const BsUpstream *upstream, const BsWork *work)
{
    const BsRequest *request = BsWork_Request(work);
    return request->prompt_tokens - S_cached(upstream, request);
}

/* Returns whether the prefill of WORK would delay first tokens past the
   target. */
static bool
S_prefill_is_full(const BsUpstream *upstream, const BsWork *work)
{
    uint32_t tokens = upstream->prefill_tokens + S_prefill(upstream, work);
    return upstream->prefill_tokens > 0 &&
           BsSpeed_PrefillMs(&upstream->speed, tokens) > PREFILL_TARGET_MS;
}

bool
BsUpstream_IsAvailable(const BsUpstream *upstream, int64_t now_ms)
{
    return upstream->open && upstream->permitted && upstream->reachable &&
           now_ms >= upstream->suspended_ms;
}

bool
BsUpstream_Fits(const BsUpstream *upstream, const BsWork *work,
                const BsColdStart *cold, int64_t now_ms)
{
    uint32_t requests_limit;
    uint32_t tokens_limit;
    uint32_t requests;
    uint32_t tokens;
    if (!BsUpstream_IsAvailable(upstream, now_ms) ||
        (upstream->reserved != NULL && upstream->reserved != work)) {
        return false;
    }
    if (upstream->straggling && !BsWork_Request(work)->idempotent) {
        return false;
    }
    BsUpstream_Limit(upstream, cold, now_ms, &requests_limit, &tokens_limit);
    BsUpstream_InFlight(upstream, now_ms, &requests, &tokens);
    if (work->alone && requests > 0) {
        return false;
    }
    return requests < requests_limit &&
           tokens + BsUpstream_Cost(upstream, work) <= tokens_limit &&
           !S_prefill_is_full(upstream, work);
}

bool
BsUpstream_FitsEmpty(const BsUpstream *upstream, const BsWork *work,
                     const BsColdStart *cold, int64_t now_ms)
{
    uint32_t requests;
    uint32_t tokens;
    BsUpstream_Limit(upstream, cold, now_ms, &requests, &tokens);
    return BsUpstream_IsAvailable(upstream, now_ms) &&
           BsUpstream_Cost(upstream, work) <= tokens;
}

int64_t
BsUpstream_ExpectMs(const BsUpstream *upstream, const BsWork *work)
{
    return BsSpeed_ExpectMs(&upstream->speed, S_prefill(upstream, work),
                            BsWork_Request(work)->output_tokens);
}

void
BsUpstream_Start(BsUpstream *upstream, BsWork *work, int64_t now_ms)
{
    const BsRequest *request = BsWork_Request(work);
    work->cached_tokens = S_cached(upstream, request);
    work->charged_tokens = BsUpstream_Cost(upstream, work);
    work->upstream = upstream;
    work->started_ms = now_ms;
    work->first_ms = 0;
    work->last_ms = 0;
    work->output_tokens = 0;
    upstream->prefill_tokens += request->prompt_tokens - work->cached_tokens;
    work->prefill_ahead = upstream->prefill_tokens;
    upstream->tokens_in_flight += work->charged_tokens;
    BsPrefixes_Note(upstream->prefixes, request->prefix_hash,
                    BsPrefixes_Find(upstream->prefixes, request->prefix_hash));
    g_hash_table_add(upstream->running, work);
}

static void
S_end_prefill(BsUpstream *upstream, const BsWork *work)
{
    uint32_t tokens =
        BsWork_Request(work)->prompt_tokens - work->cached_tokens;
    upstream->prefill_tokens -= MIN(tokens, upstream->prefill_tokens);
}

/* Compares the cache hit reported in ANSWER with the expected one. */
static void
S_check_hit(BsUpstream *upstream, const BsWork *work, const BsAnswer *answer)
{
    upstream->hits_seen = upstream->hits_seen || answer->cached_tokens > 0;
    if (!upstream->hits_seen || work->cached_tokens < HIT_MIN_TOKENS) {
        return;
    }
    bool lost = answer->cached_tokens < work->cached_tokens / HALF;
    upstream->lost_hits = lost ? upstream->lost_hits + 1 : 0;
}

static void
S_on_first_piece(BsUpstream *upstream, BsWork *work, const BsAnswer *answer,
                 int64_t now_ms)
{
    work->first_ms = now_ms;
    S_end_prefill(upstream, work);
    BsSpeed_OnFirst(&upstream->speed, now_ms - work->started_ms,
                    work->prefill_ahead);
    S_check_hit(upstream, work, answer);
    if (answer->cached_tokens > 0) {
        BsPrefixes_Note(upstream->prefixes, BsWork_Request(work)->prefix_hash,
                        answer->cached_tokens);
    }
    if (upstream->warmth == BS_WARMTH_WARM &&
        (BsSpeed_IsSuddenlySlow(&upstream->speed) ||
         upstream->lost_hits >= LOST_HITS_MIN)) {
        BsUpstream_TurnCold(upstream, now_ms);
    }
}

static void
S_finish(BsUpstream *upstream, const BsWork *work, int64_t now_ms)
{
    const BsRequest *request = BsWork_Request(work);
    uint32_t prefill = request->prompt_tokens - work->cached_tokens;
    BsSpeed_OnFinish(
        &upstream->speed, now_ms - work->started_ms,
        BsSpeed_PredictMs(&upstream->speed, prefill, request->output_tokens));
    upstream->failures = 0;
    if (upstream->warmth == BS_WARMTH_COLD) {
        upstream->warmth = BS_WARMTH_RAMP;
        upstream->ramp_ms = now_ms;
    }
}

static void
S_fail(BsUpstream *upstream, const BsAnswer *answer, int64_t now_ms)
{
    if (answer->error == BS_ERR_UPSTREAM_REFUSED) {
        upstream->limit = MAX(upstream->limit * DECREASE, 1.0);
        upstream->suspended_ms = now_ms + REFUSED_SUSPEND_MS;
        return;
    }
    if (answer->crashed || answer->error == BS_ERR_CONNECT) {
        BsUpstream_TurnCold(upstream, now_ms);
    }
    upstream->uncertain_ms = now_ms;
    int64_t pause_ms = SUSPEND_MS << MIN(upstream->failures, 8);
    upstream->suspended_ms = now_ms + MIN(pause_ms, SUSPEND_MAX_MS);
    upstream->failures++;
}

void
BsUpstream_OnPiece(BsUpstream *upstream, BsWork *work, const BsAnswer *answer,
                   int64_t now_ms)
{
    bool ran = answer->error == BS_ERR_NONE;
    upstream->last_ms = now_ms;
    if (work->first_ms == 0 && ran) {
        S_on_first_piece(upstream, work, answer, now_ms);
    }
    else if (ran && work->last_ms > 0) {
        BsSpeed_OnTokens(&upstream->speed, now_ms - work->last_ms,
                         answer->tokens);
    }
    work->last_ms = now_ms;
    work->output_tokens += answer->tokens;
    if (answer->final && ran) {
        S_finish(upstream, work, now_ms);
    }
    else if (answer->final) {
        S_fail(upstream, answer, now_ms);
    }
}

void
BsUpstream_End(BsUpstream *upstream, BsWork *work)
{
    if (!g_hash_table_remove(upstream->running, work)) {
        return;
    }
    if (work->first_ms == 0) {
        S_end_prefill(upstream, work);
    }
    upstream->tokens_in_flight -= work->charged_tokens;
    work->upstream = NULL;
}

void
BsUpstream_OnReport(BsUpstream *upstream, const BsReport *report,
                    int64_t now_ms)
{
    if (report->boot_id != NULL && upstream->boot_id != NULL &&
        strcmp(report->boot_id, upstream->boot_id) != 0) {
        BsUpstream_TurnCold(upstream, now_ms);
    }
    if (report->boot_id != NULL) {
        BsMessage_SetString(&upstream->boot_id, report->boot_id);
    }
    upstream->reported = report->running + report->waiting;
    upstream->own_when_reported = g_hash_table_size(upstream->running);
    BsUpstream_OnLoaded(upstream, report, now_ms);
    bool contradicted = now_ms - upstream->last_ms < CONTRADICTION_MS &&
                        g_hash_table_size(upstream->running) > 0;
    upstream->reachable = report->reachable || contradicted;
    bool after_handover = now_ms - report->age_ms > upstream->foreign_ms;
    if (report->reachable && after_handover && report->running == 0) {
        g_hash_table_remove_all(upstream->foreign);
    }
}

static void
S_update_straggling(BsUpstream *upstream, double reference_ms)
{
    if (reference_ms <= 0.0 || upstream->speed.inter_token_ms <= 0.0) {
        return;
    }
    double ratio = upstream->speed.inter_token_ms / reference_ms;
    if (ratio > STRAGGLING_RATIO) {
        upstream->straggling = true;
    }
    else if (ratio < RECOVERED_RATIO && upstream->straggling) {
        upstream->straggling = false;
        upstream->limit = MAX(upstream->limit / HALF, 1.0);
    }
}

static void
S_advance_warmth(BsUpstream *upstream, const BsColdStart *cold, int64_t now_ms)
{
    if (upstream->warmth == BS_WARMTH_COLD && upstream->reachable &&
        now_ms - upstream->cold_ms >= cold->ramp_ms) {
        upstream->warmth = BS_WARMTH_RAMP;
        upstream->ramp_ms = now_ms;
    }
    else if (upstream->warmth == BS_WARMTH_RAMP &&
             now_ms - upstream->ramp_ms >= cold->ramp_ms) {
        upstream->warmth = BS_WARMTH_WARM;
    }
}

bool
BsUpstream_IsDue(const BsUpstream *upstream, int64_t now_ms)
{
    return now_ms - upstream->changed_ms >= ADAPT_MS;
}

void
BsUpstream_OnTick(BsUpstream *upstream, const BsColdStart *cold,
                  double reference_ms, int64_t now_ms)
{
    S_advance_warmth(upstream, cold, now_ms);
    if (!BsUpstream_IsDue(upstream, now_ms)) {
        return;
    }
    upstream->changed_ms = now_ms;
    S_update_straggling(upstream, reference_ms);
    double floor = MAX(upstream->slots / LIMIT_FLOOR_SHARE, 1);
    if (BsSpeed_IsCongested(&upstream->speed)) {
        upstream->limit = MAX(upstream->limit * DECREASE, floor);
        return;
    }
    double step = MAX((double)upstream->slots / INCREASE_STEPS, 1.0);
    upstream->limit = MIN(upstream->limit + step, upstream->slots);
}
