/*
 * inflight.c - what one upstream has in flight, the work of others too.
 *
 * Rules: own work is counted exactly; that of the last owner as it reported;
 * while cold, never less than the last report shows, since a lost owner tells
 * nothing.
 */
#include "upstream.h"

/* Time in which the last owner's work is taken to end. */
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

/* Returns the requests of others that the last report showed. */
static uint32_t
S_reported_foreign(const BsUpstream *upstream)
{
    uint32_t own = upstream->own_when_reported;
    return upstream->reported > own ? upstream->reported - own : 0;
}

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
