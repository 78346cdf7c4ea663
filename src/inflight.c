/*
 * inflight.c - work in flight at one upstream, including that of previous
 * owners.
 *
 * Rules: own work is counted exactly, that of previous owners as they reported
 * it.  While the upstream is cold, at least the requests in its own last
 * report are counted, since a lost owner reports nothing.
 */
#include "upstream.h"

/* Time after which the work of previous owners is assumed to have ended, at an
   upstream that is not cold and at a cold one. */
#define FOREIGN_WARM_MS 15000
#define FOREIGN_COLD_MS 60000

void
BsUpstream_OnForeign(BsUpstream *upstream, const char *instance,
                     const BsInFlight *reported, int64_t now_ms)
{
    BsInFlight *known = g_hash_table_lookup(upstream->foreign, instance);
    if (known == NULL) {
        known = g_new0(BsInFlight, 1);
        g_hash_table_insert(upstream->foreign, g_strdup(instance), known);
        upstream->foreign_ms = now_ms;
    }
    known->requests = reported->requests;
    known->tokens = reported->tokens;
}

/* Returns the requests of others in the upstream's last report. */
static uint32_t
S_reported_foreign(const BsUpstream *upstream)
{
    uint32_t own = upstream->own_when_reported;
    return upstream->reported > own ? upstream->reported - own : 0;
}

/* Adds the work that previous owners reported to REQUESTS and TOKENS. */
static void
S_add_foreign(const BsUpstream *upstream, uint32_t *requests, uint32_t *tokens)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, upstream->foreign);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsInFlight *reported = value;
        *requests += reported->requests;
        *tokens += reported->tokens;
    }
}

void
BsUpstream_InFlight(const BsUpstream *upstream, int64_t now_ms,
                    uint32_t *requests, uint32_t *tokens)
{
    bool cold = upstream->warmth == BS_WARMTH_COLD;
    int64_t end_ms =
        upstream->foreign_ms + (cold ? FOREIGN_COLD_MS : FOREIGN_WARM_MS);
    uint32_t foreign = 0;
    *tokens = upstream->tokens_in_flight;
    if (now_ms < end_ms) {
        S_add_foreign(upstream, &foreign, tokens);
    }
    if (cold) {
        foreign = MAX(foreign, S_reported_foreign(upstream));
    }
    *requests = g_hash_table_size(upstream->running) + foreign;
}
