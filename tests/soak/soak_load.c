/* soak_load.c - answers and response times of a run without faults. */
#include "soak.h"

#include <stdio.h>

#define KINDS (SOAK_KINDS + 1)
#define DEADLY SOAK_KINDS

static const char *const S_names[KINDS] = {"look", "book", "chat", "once",
                                           "deadly"};

typedef struct {
    unsigned sent;
    unsigned good;
    unsigned refused;
    unsigned cut;
    GArray *times_ms; /* int64_t; of complete answers */
} LoadRow;

static gint
S_compare(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

/* Returns the quantile FRACTION (0 to 1) of the sorted TIMES in ms; -1 if
   there are none. */
static long
S_quantile(const GArray *times, double fraction)
{
    if (times->len == 0) {
        return -1;
    }
    guint index = (guint)(fraction * (times->len - 1));
    return (long)g_array_index(times, int64_t, index);
}

static void
S_add(LoadRow *row, const SoakRequest *request)
{
    row->sent++;
    if (request->status == 200 && request->answered) {
        int64_t took_ms = request->answered_ms - request->sent_ms;
        row->good++;
        g_array_append_val(row->times_ms, took_ms);
    }
    row->refused += request->refused;
    row->cut += request->cut;
}

static void
S_print(const char *name, LoadRow *row)
{
    g_array_sort(row->times_ms, S_compare);
    printf("%-8s %7u %9u %8u %6u %7u %7ld %7ld %7ld\n", name, row->sent,
           row->good, row->refused, row->cut,
           row->sent - row->good - row->refused - row->cut,
           S_quantile(row->times_ms, 0.5), S_quantile(row->times_ms, 0.9),
           S_quantile(row->times_ms, 0.99));
}

const char *
SoakLoad_Name(SoakKind kind)
{
    return S_names[kind];
}

void
SoakLoad_PrintSilences(const Soak *soak)
{
    printf("%u silences; answers held: %u before the head, %u in it, %u "
           "between events, %u in one\n",
           soak->silences, soak->cuts[SOAK_CUT_BEFORE_HEAD],
           soak->cuts[SOAK_CUT_IN_HEAD], soak->cuts[SOAK_CUT_BETWEEN_EVENTS],
           soak->cuts[SOAK_CUT_IN_EVENT]);
    printf("meanwhile %u requests were cut, excused or not; answered 502: %u, "
           "503: %u, 504: %u\n",
           soak->cut_in_silence, soak->failed_in_silence[0],
           soak->failed_in_silence[1], soak->failed_in_silence[2]);
}

void
SoakLoad_Print(const Soak *soak)
{
    LoadRow rows[KINDS] = {0};
    GHashTableIter iter;
    gpointer value;
    for (unsigned i = 0; i < KINDS; i++) {
        rows[i].times_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    g_hash_table_iter_init(&iter, soak->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const SoakRequest *request = value;
        S_add(&rows[request->deadly ? DEADLY : request->kind], request);
    }
    printf("route       sent  answered  refused    cut   other  p50 ms  "
           "p90 ms  p99 ms\n");
    for (unsigned i = 0; i < KINDS; i++) {
        S_print(S_names[i], &rows[i]);
        g_array_unref(rows[i].times_ms);
    }
}
