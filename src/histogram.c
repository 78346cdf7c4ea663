/* histogram.c - histogram of durations in fixed buckets, one series for each
   label value. */
#include "histogram.h"

#include <string.h>

#define METRIC_PREFIX "boragespur_"
#define MS_PER_S 1000.0

/* Upper bounds of the buckets.  They range from a millisecond to the longest
   time a request may take and are densest around the latency objectives. */
static const int64_t S_bounds_ms[] = {1,    2,    5,    10,   25,   50,  100,
                                      150,  200,  300,  400,  500,  600, 800,
                                      1000, 1500, 2500, 5000, 15000};
#define BOUNDS G_N_ELEMENTS(S_bounds_ms)

typedef struct {
    uint64_t counts[BOUNDS + 1]; /* the last one has no upper bound */
    uint64_t count;
    int64_t sum_ms;
} BsHistogramSeries;

struct BsHistogram {
    char *name;
    char *help;
    char *label;
    GHashTable *series; /* label value to BsHistogramSeries */
};

BsHistogram *
BsHistogram_Create(const char *name, const char *help, const char *label)
{
    BsHistogram *histogram = g_new0(BsHistogram, 1);
    histogram->name = g_strdup(name);
    histogram->help = g_strdup(help);
    histogram->label = g_strdup(label);
    histogram->series =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return histogram;
}

void
BsHistogram_Destroy(BsHistogram *histogram)
{
    if (histogram == NULL) {
        return;
    }
    g_hash_table_destroy(histogram->series);
    g_free(histogram->name);
    g_free(histogram->help);
    g_free(histogram->label);
    g_free(histogram);
}

void
BsHistogram_Observe(BsHistogram *histogram, const char *value,
                    int64_t duration_ms)
{
    BsHistogramSeries *series = g_hash_table_lookup(histogram->series, value);
    size_t bucket = 0;
    if (series == NULL) {
        series = g_new0(BsHistogramSeries, 1);
        g_hash_table_insert(histogram->series, g_strdup(value), series);
    }
    while (bucket < BOUNDS && duration_ms > S_bounds_ms[bucket]) {
        bucket++;
    }
    series->counts[bucket]++;
    series->count++;
    series->sum_ms += duration_ms;
}

static void
S_format_series(const BsHistogram *histogram, const char *value,
                const BsHistogramSeries *series, GString *out)
{
    char *head = g_strdup_printf(METRIC_PREFIX "%s_seconds", histogram->name);
    uint64_t sum = 0;
    for (size_t i = 0; i < BOUNDS; i++) {
        sum += series->counts[i];
        g_string_append_printf(
            out, "%s_bucket{%s=\"%s\",le=\"%g\"} %" G_GUINT64_FORMAT "\n",
            head, histogram->label, value, (double)S_bounds_ms[i] / MS_PER_S,
            sum);
    }
    g_string_append_printf(
        out, "%s_bucket{%s=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", head,
        histogram->label, value, series->count);
    g_string_append_printf(out, "%s_sum{%s=\"%s\"} %.3f\n", head,
                           histogram->label, value,
                           (double)series->sum_ms / MS_PER_S);
    g_string_append_printf(out, "%s_count{%s=\"%s\"} %" G_GUINT64_FORMAT "\n",
                           head, histogram->label, value, series->count);
    g_free(head);
}

static int
S_compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

void
BsHistogram_Format(const BsHistogram *histogram, GString *out)
{
    GList *values = g_hash_table_get_keys(histogram->series);
    values = g_list_sort(values, S_compare_names);
    g_string_append_printf(out, "# HELP " METRIC_PREFIX "%s_seconds %s\n",
                           histogram->name, histogram->help);
    g_string_append_printf(out,
                           "# TYPE " METRIC_PREFIX "%s_seconds histogram\n",
                           histogram->name);
    for (GList *node = values; node != NULL; node = node->next) {
        S_format_series(histogram, node->data,
                        g_hash_table_lookup(histogram->series, node->data),
                        out);
    }
    g_list_free(values);
}
