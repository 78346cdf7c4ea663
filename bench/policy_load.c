/* policy_load.c - generates the requests of the policy benchmark. */
#include "policy_load.h"

#include <math.h>

#define PREFIXES 240
#define PREFIX_PERCENT 80
#define ACCOUNTS 20
#define MS_PER_S 1000.0

/* Bursts of urgent requests. */
#define BURST_EVERY_MS 30000
#define BURST_MS 4000
#define BURST_FACTOR 3.0

typedef struct {
    const char *name;
    double percent; /* of the requests outside bursts */
    uint32_t deadline_ms;
    double output_min;
    double output_max;
} LoadTier;

static const LoadTier S_tiers[LOAD_TIERS] = {
    {"urgent", 25, 10000, 20, 100},
    {"standard", 25, 20000, 20, 200},
    {"routine", 50, 60000, 20, 400},
};

struct Load {
    GRand *random;
    double rate;
    double next_ms;
    uint32_t instances;
    uint64_t count;
    LoadRequest *pending;
    uint32_t prefix_tokens[PREFIXES];
};

const char *
Load_TierName(uint32_t rank)
{
    return S_tiers[rank - 1].name;
}

static double
S_log_uniform(GRand *random, double low, double high)
{
    return low * pow(high / low, g_rand_double(random));
}

Load *
Load_Create(uint32_t seed, double rate, uint32_t instances)
{
    Load *load = g_new0(Load, 1);
    load->random = g_rand_new_with_seed(seed);
    load->rate = rate;
    load->instances = instances;
    for (guint i = 0; i < PREFIXES; i++) {
        load->prefix_tokens[i] =
            (uint32_t)S_log_uniform(load->random, 30, 3500);
    }
    return load;
}

void
Load_Destroy(Load *load)
{
    g_rand_free(load->random);
    g_free(load->pending);
    g_free(load);
}

static bool
S_in_burst(double now_ms)
{
    return fmod(now_ms, BURST_EVERY_MS) < BURST_MS;
}

/* Draws a tier; urgent requests are BURST_FACTOR times as frequent in a
   burst. */
static uint32_t
S_draw_tier(Load *load)
{
    double urgent = S_tiers[0].percent;
    double weight = S_in_burst(load->next_ms) ? urgent * BURST_FACTOR : urgent;
    double others = 100.0 - urgent;
    double at = g_rand_double(load->random) * (weight + others) - weight;
    if (at < 0.0) {
        return 1;
    }
    return at < S_tiers[1].percent ? 2 : 3;
}

static double
S_rate_now(const Load *load)
{
    double more = S_tiers[0].percent / 100.0 * (BURST_FACTOR - 1.0);
    return S_in_burst(load->next_ms) ? load->rate * (1.0 + more) : load->rate;
}

static void
S_draw_prompt(Load *load, LoadRequest *request)
{
    GRand *random = load->random;
    request->prompt_tokens = (uint32_t)S_log_uniform(random, 20, 1500);
    if (g_rand_int_range(random, 0, 100) < PREFIX_PERCENT) {
        double skewed = pow(g_rand_double(random), 2.0);
        uint32_t prefix = (uint32_t)(skewed * PREFIXES);
        request->prefix_hash = prefix + 1;
        request->prefix_tokens = load->prefix_tokens[prefix];
        request->prompt_tokens += request->prefix_tokens;
    }
    else {
        request->prefix_hash = (UINT64_C(1) << 32) + load->count;
    }
}

static LoadRequest *
S_draw(Load *load)
{
    GRand *random = load->random;
    LoadRequest *request = g_new0(LoadRequest, 1);
    double gap_s = -log(1.0 - g_rand_double(random)) / S_rate_now(load);
    load->next_ms += MS_PER_S * gap_s;
    request->rank = S_draw_tier(load);
    const LoadTier *tier = &S_tiers[request->rank - 1];
    g_snprintf(request->id, sizeof(request->id), "q%" G_GUINT64_FORMAT,
               ++load->count);
    request->sent_ms = (int64_t)load->next_ms;
    request->deadline_ms = tier->deadline_ms;
    S_draw_prompt(load, request);
    double output = S_log_uniform(random, tier->output_min, tier->output_max);
    request->output_tokens = (uint32_t)output;
    request->expected_tokens =
        (uint32_t)(output * g_rand_double_range(random, 0.7, 1.5));
    request->instance =
        (uint32_t)g_rand_int_range(random, 0, (gint32)load->instances);
    request->account = (uint32_t)g_rand_int_range(random, 0, ACCOUNTS);
    return request;
}

LoadRequest *
Load_Next(Load *load, int64_t now_ms)
{
    if (load->pending == NULL) {
        load->pending = S_draw(load);
    }
    return load->pending->sent_ms <= now_ms ? g_steal_pointer(&load->pending)
                                            : NULL;
}

char *
Load_CreateSheet(bool north_closed)
{
    GString *out = g_string_new("format: 1\ntiers:\n");
    for (guint i = 0; i < LOAD_TIERS; i++) {
        g_string_append_printf(out,
                               "  - {name: %s, rank: %u, deadline_ms: %u%s}\n",
                               S_tiers[i].name, i + 1, S_tiers[i].deadline_ms,
                               i == 0   ? ""
                               : i == 1 ? ", yields_to: [urgent]"
                                        : ", yields_to: [urgent, standard]");
    }
    g_string_append(out, "models:\n  - {name: blade, version: \"1\"}\n"
                         "accounts:\n");
    for (guint i = 0; i < ACCOUNTS; i++) {
        char token[16];
        g_snprintf(token, sizeof(token), "t%u", i);
        char *hash =
            g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
        g_string_append_printf(out, "  - {name: a%u, token_sha256: [%s]}\n", i,
                               hash);
        g_free(hash);
    }
    g_string_append_printf(out,
                           "data_centres:\n"
                           "  - {name: n1, open: %s}\n"
                           "  - {name: n2, open: true}\n"
                           "  - {name: s1, open: true}\n",
                           north_closed ? "false" : "true");
    return g_string_free(out, FALSE);
}
