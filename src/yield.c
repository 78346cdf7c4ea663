/* yield.c - the share of less urgent requests that may start while more urgent
 * ones of the same service wait.
 */
#include "yield.h"

/* A wait for this share of the objective counts as pressure: the rest is too
   short for an upstream that is slow to send the first event. */
#define PRESSURE_PART 0.15

/* Pressure ends when none was noted for this long.  Some requests of each rank
   arrive at an instance in that time. */
#define PRESSURE_MS 600

/* Times in which the share would fall from 1 to 0 under pressure, and rise
   from 0 to 1 without: the latter is about the length of a long answer. */
#define FALL_MS 1000.0
#define RISE_MS 3000.0

/* Smallest share.  With 0.2, urgent requests were served worse. */
#define FLOOR 0.1

/* A share that was not updated for this long is reset to 1, as nothing is
   known about the time between. */
#define STALE_MS 10000

/* State of the requests of one rank. */
typedef struct {
    BsYieldRank rank;
    int64_t pressed_ms; /* last long wait; 0: none */
    int64_t part_ms;    /* last update of the share; 0: never */
    double part;        /* share that may start */
} BsYieldKind;

struct BsYields {
    GHashTable *services; /* name to GArray of BsYieldKind */
};

static void
S_free_kinds(gpointer data)
{
    g_array_free(data, TRUE);
}

BsYields *
BsYields_Create(void)
{
    BsYields *yields = g_new0(BsYields, 1);
    yields->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_free_kinds);
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
S_is_before(BsYieldRank a, BsYieldRank b)
{
    return a.account < b.account ||
           (a.account == b.account && a.route < b.route);
}

static GArray *
S_kinds(BsYields *yields, const char *service)
{
    GArray *kinds = g_hash_table_lookup(yields->services, service);
    if (kinds == NULL) {
        kinds = g_array_new(FALSE, TRUE, sizeof(BsYieldKind));
        g_hash_table_insert(yields->services, g_strdup(service), kinds);
    }
    return kinds;
}

static BsYieldKind *
S_kind(GArray *kinds, BsYieldRank rank)
{
    for (guint i = 0; i < kinds->len; i++) {
        BsYieldKind *kind = &g_array_index(kinds, BsYieldKind, i);
        if (kind->rank.account == rank.account &&
            kind->rank.route == rank.route) {
            return kind;
        }
    }
    BsYieldKind fresh = {.rank = rank, .part = 1};
    g_array_append_val(kinds, fresh);
    return &g_array_index(kinds, BsYieldKind, kinds->len - 1);
}

/* Returns whether requests more urgent than RANK are under pressure. */
static bool
S_is_pressed(const GArray *kinds, BsYieldRank rank, int64_t now_ms)
{
    for (guint i = 0; i < kinds->len; i++) {
        const BsYieldKind *kind = &g_array_index(kinds, BsYieldKind, i);
        if (S_is_before(kind->rank, rank) && kind->pressed_ms != 0 &&
            now_ms - kind->pressed_ms <= PRESSURE_MS) {
            return true;
        }
    }
    return false;
}

void
BsYields_NoteWait(BsYields *yields, const char *service, BsYieldRank rank,
                  int64_t waited_ms, int64_t objective_ms, int64_t now_ms)
{
    if ((double)waited_ms >= PRESSURE_PART * (double)objective_ms) {
        S_kind(S_kinds(yields, service), rank)->pressed_ms = now_ms;
    }
}

double
BsYields_Part(BsYields *yields, const char *service, BsYieldRank rank,
              int64_t now_ms)
{
    GArray *kinds = S_kinds(yields, service);
    bool pressed = S_is_pressed(kinds, rank, now_ms);
    BsYieldKind *kind = S_kind(kinds, rank);
    int64_t passed_ms = now_ms - kind->part_ms;
    if (kind->part_ms == 0 || passed_ms > STALE_MS) {
        kind->part = 1;
    }
    else if (pressed) {
        kind->part -= (double)passed_ms / FALL_MS;
    }
    else {
        kind->part += (double)passed_ms / RISE_MS;
    }
    kind->part = CLAMP(kind->part, FLOOR, 1);
    kind->part_ms = now_ms;
    return kind->part;
}
