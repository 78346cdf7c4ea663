/* centrewatch.c - which data centres of the fleet this instance has heard. */
#include "centrewatch.h"

#define NEVER_MS (INT64_MIN / 2)

typedef struct {
    uint32_t data_centre;
    int64_t heard_ms;   /* by this instance; NEVER_MS before the first time */
    int64_t exists_ms;  /* when any instance is known to have heard it */
    int64_t learned_ms; /* when it was added here */
} BsCentre;

struct BsCentreWatch {
    GHashTable *centres; /* data centre to BsCentre, which it owns */
    uint32_t own_centre;
    int64_t started_ms;  /* or resumed after a pause */
    int64_t ticked_ms;   /* NEVER_MS before the first tick */
    int64_t overflow_ms; /* when one was last not added */
    bool expects_others;
    bool heard_any; /* any other instance, also of the own data centre */
};

BsCentreWatch *
BsCentreWatch_Create(uint32_t own_centre, int64_t now_ms)
{
    BsCentreWatch *watch = g_new0(BsCentreWatch, 1);
    watch->centres = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    watch->own_centre = own_centre;
    watch->started_ms = now_ms;
    watch->ticked_ms = NEVER_MS;
    watch->overflow_ms = NEVER_MS;
    return watch;
}

void
BsCentreWatch_Destroy(BsCentreWatch *watch)
{
    if (watch != NULL) {
        g_hash_table_destroy(watch->centres);
        g_free(watch);
    }
}

void
BsCentreWatch_ExpectOthers(BsCentreWatch *watch)
{
    watch->expects_others = true;
}

static bool
S_is_forgotten(const BsCentre *centre, int64_t now_ms)
{
    return now_ms - centre->exists_ms > BS_CENTREWATCH_HOLD_MS;
}

static void
S_remove_forgotten(BsCentreWatch *watch, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, watch->centres);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (S_is_forgotten(value, now_ms)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Returns the entry of DATA_CENTRE, which is created when there is none; NULL
   for the own one, and when there are too many. */
static BsCentre *
S_find_or_add(BsCentreWatch *watch, uint32_t data_centre, int64_t now_ms)
{
    if (data_centre == 0 || data_centre == watch->own_centre) {
        return NULL;
    }
    BsCentre *centre =
        g_hash_table_lookup(watch->centres, GUINT_TO_POINTER(data_centre));
    if (centre != NULL && !S_is_forgotten(centre, now_ms)) {
        return centre;
    }
    S_remove_forgotten(watch, now_ms);
    if (g_hash_table_size(watch->centres) == BS_CENTREWATCH_MAX) {
        watch->overflow_ms = now_ms;
        return NULL;
    }
    centre = g_new0(BsCentre, 1);
    centre->data_centre = data_centre;
    centre->heard_ms = NEVER_MS;
    centre->exists_ms = NEVER_MS;
    centre->learned_ms = now_ms;
    g_hash_table_insert(watch->centres, GUINT_TO_POINTER(data_centre), centre);
    return centre;
}

void
BsCentreWatch_Tick(BsCentreWatch *watch, int64_t now_ms)
{
    bool paused = watch->ticked_ms != NEVER_MS &&
                  now_ms - watch->ticked_ms > BS_CENTREWATCH_SILENT_MS;
    watch->ticked_ms = now_ms;
    if (!paused) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, watch->centres);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsCentre *centre = value;
        centre->heard_ms = NEVER_MS;
        centre->learned_ms = now_ms;
    }
    watch->started_ms = now_ms;
    watch->heard_any = false;
}

void
BsCentreWatch_NoteHeard(BsCentreWatch *watch, uint32_t data_centre,
                        int64_t now_ms)
{
    watch->heard_any = true;
    BsCentre *centre = S_find_or_add(watch, data_centre, now_ms);
    if (centre != NULL) {
        centre->heard_ms = now_ms;
        centre->exists_ms = now_ms;
    }
}

void
BsCentreWatch_Learn(BsCentreWatch *watch, uint32_t data_centre, int64_t age_ms,
                    int64_t now_ms)
{
    if (age_ms < 0 || age_ms > BS_CENTREWATCH_HOLD_MS) {
        return;
    }
    BsCentre *centre = S_find_or_add(watch, data_centre, now_ms);
    if (centre != NULL) {
        centre->exists_ms = MAX(centre->exists_ms, now_ms - age_ms);
    }
}

/* Returns whether CENTRE is known and has not been heard for a while. */
static bool
S_is_silent(const BsCentre *centre, int64_t now_ms)
{
    int64_t since_ms = MAX(centre->heard_ms, centre->learned_ms);
    return !S_is_forgotten(centre, now_ms) &&
           now_ms - since_ms > BS_CENTREWATCH_SILENT_MS;
}

BsCentreWatchState
BsCentreWatch_State(const BsCentreWatch *watch, int64_t now_ms)
{
    bool alone = watch->expects_others && !watch->heard_any &&
                 now_ms - watch->started_ms <= BS_CENTREWATCH_HOLD_MS;
    if (alone || now_ms - watch->overflow_ms <= BS_CENTREWATCH_HOLD_MS) {
        return BS_CENTREWATCH_UNHEARD;
    }
    BsCentreWatchState state = BS_CENTREWATCH_COMPLETE;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, watch->centres);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsCentre *centre = value;
        if (S_is_silent(centre, now_ms)) {
            if (centre->heard_ms == NEVER_MS) {
                return BS_CENTREWATCH_UNHEARD;
            }
            state = BS_CENTREWATCH_SILENT;
        }
    }
    return state;
}

void
BsCentreWatch_AppendSilent(const BsCentreWatch *watch, int64_t now_ms,
                           GArray *out)
{
    guint count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, watch->centres);
    while (count < BS_CENTREWATCH_TOLD_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsCentre *centre = value;
        if (S_is_silent(centre, now_ms)) {
            BsSilentCentre silent = {
                .data_centre = centre->data_centre,
                .age_ms = (uint32_t)(now_ms - centre->exists_ms)};
            g_array_append_val(out, silent);
            count++;
        }
    }
}

unsigned
BsCentreWatch_Count(const BsCentreWatch *watch)
{
    return g_hash_table_size(watch->centres);
}
