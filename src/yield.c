/* yield.c - the share of less urgent requests that may start while more urgent
 * ones of the same service wait.
 */
#include "yield.h"

/* A wait for this share of the objective counts as pressure: the rest is too
   short for an upstream that is slow to send the first event. */
#define PRESSURE_SHARE 0.15

/* Pressure ends when none was noted for this long.  Some requests of each rank
   arrive at an instance in that time. */
#define PRESSURE_MS 600

/* Times in which the share would fall from 1 to 0 under pressure, and rise
   from 0 to 1 without: the latter is about the length of a long answer. */
#define SHARE_FALL_MS 1000.0
#define SHARE_RISE_MS 3000.0

/* Smallest share.  With 0.2, urgent requests were served worse. */
#define SHARE_MIN 0.1

/* A share that was not updated for this long is reset to 1, as nothing is
   known about the time between. */
#define STALE_MS 10000

/* State of the requests of one rank. */
typedef struct {
    BsYieldRank rank;
    int64_t pressure_ms; /* last long wait; 0: none */
    int64_t updated_ms;  /* last update of the share; 0: never */
    double share;        /* share that may start */
} BsYieldState;

struct BsYields {
    GHashTable *services; /* name to GArray of BsYieldState */
};

static void
S_free_states(gpointer data)
{
    g_array_free(data, TRUE);
}

BsYields *
BsYields_Create(void)
{
    BsYields *yields = g_new0(BsYields, 1);
    yields->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_free_states);
    return yields;
}

void
BsYields_Destroy(BsYields *yields)
{
    if (yields != NULL) {
        g_hash_table_destroy(yields->services);
        g_free(yields);
    }
}

/* Returns whether A is more urgent than B. */
static bool
S_is_more_urgent(BsYieldRank a, BsYieldRank b)
{
    return a.account < b.account ||
           (a.account == b.account && a.route < b.route);
}

static GArray *
S_states(BsYields *yields, const char *service)
{
    GArray *states = g_hash_table_lookup(yields->services, service);
    if (states == NULL) {
        states = g_array_new(FALSE, TRUE, sizeof(BsYieldState));
        g_hash_table_insert(yields->services, g_strdup(service), states);
    }
    return states;
}

static BsYieldState *
S_state(GArray *states, BsYieldRank rank)
{
    for (guint i = 0; i < states->len; i++) {
        BsYieldState *state = &g_array_index(states, BsYieldState, i);
        if (state->rank.account == rank.account &&
            state->rank.route == rank.route) {
            return state;
        }
    }
    BsYieldState fresh = {.rank = rank, .share = 1};
    g_array_append_val(states, fresh);
    return &g_array_index(states, BsYieldState, states->len - 1);
}

/* Returns whether requests more urgent than RANK are under pressure. */
static bool
S_is_under_pressure(const GArray *states, BsYieldRank rank, int64_t now_ms)
{
    for (guint i = 0; i < states->len; i++) {
        const BsYieldState *state = &g_array_index(states, BsYieldState, i);
        if (S_is_more_urgent(state->rank, rank) && state->pressure_ms != 0 &&
            now_ms - state->pressure_ms <= PRESSURE_MS) {
            return true;
        }
    }
    return false;
}

void
BsYields_NoteWait(BsYields *yields, const char *service, BsYieldRank rank,
                  int64_t waited_ms, int64_t objective_ms, int64_t now_ms)
{
    if ((double)waited_ms >= PRESSURE_SHARE * (double)objective_ms) {
        S_state(S_states(yields, service), rank)->pressure_ms = now_ms;
    }
}

/* Returns the share of STATE at NOW_MS. */
static double
S_share(const GArray *states, const BsYieldState *state, int64_t now_ms)
{
    double share = state->share;
    int64_t passed_ms = now_ms - state->updated_ms;
    if (state->updated_ms == 0 || passed_ms > STALE_MS) {
        share = 1;
    }
    else if (S_is_under_pressure(states, state->rank, now_ms)) {
        share -= (double)passed_ms / SHARE_FALL_MS;
    }
    else {
        share += (double)passed_ms / SHARE_RISE_MS;
    }
    return CLAMP(share, SHARE_MIN, 1);
}

double
BsYields_Share(BsYields *yields, const char *service, BsYieldRank rank,
               int64_t now_ms)
{
    GArray *states = S_states(yields, service);
    BsYieldState *state = S_state(states, rank);
    state->share = S_share(states, state, now_ms);
    state->updated_ms = now_ms;
    return state->share;
}

double
BsYields_Peek(const BsYields *yields, const char *service, BsYieldRank rank,
              int64_t now_ms)
{
    const GArray *states = g_hash_table_lookup(yields->services, service);
    for (guint i = 0; states != NULL && i < states->len; i++) {
        const BsYieldState *state = &g_array_index(states, BsYieldState, i);
        if (state->rank.account == rank.account &&
            state->rank.route == rank.route) {
            return S_share(states, state, now_ms);
        }
    }
    return 1;
}
