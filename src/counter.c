/* counter.c - named monotonic counters and gauges. */
#include "counter.h"

#include <string.h>

#define METRIC_PREFIX "boragespur_"

typedef struct {
    uint64_t value;
    bool gauge;
} BsCounter;

struct BsCounters {
    GHashTable *values; /* name to BsCounter */
};

BsCounters *
BsCounters_Create(void)
{
    BsCounters *counters = g_new0(BsCounters, 1);
    counters->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return counters;
}

void
BsCounters_Destroy(BsCounters *counters)
{
    if (counters == NULL) {
        return;
    }
    g_hash_table_destroy(counters->values);
    g_free(counters);
}

static BsCounter *
S_find_or_add(BsCounters *counters, const char *name)
{
    BsCounter *counter = g_hash_table_lookup(counters->values, name);
    if (counter == NULL) {
        counter = g_new0(BsCounter, 1);
        g_hash_table_insert(counters->values, g_strdup(name), counter);
    }
    return counter;
}

void
BsCounters_Add(BsCounters *counters, const char *name, uint64_t amount)
{
    S_find_or_add(counters, name)->value += amount;
}

void
BsCounters_Set(BsCounters *counters, const char *name, uint64_t value)
{
    BsCounter *counter = S_find_or_add(counters, name);
    counter->value = value;
    counter->gauge = true;
}

uint64_t
BsCounters_Get(const BsCounters *counters, const char *name)
{
    const BsCounter *counter = g_hash_table_lookup(counters->values, name);
    return counter == NULL ? 0 : counter->value;
}

static int
S_compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

/* Appends a TYPE line for NAME, unless PREVIOUS is the same metric without
   labels; updates PREVIOUS. */
static void
S_format_type(const char *name, bool gauge, GString *previous, GString *out)
{
    gsize length = strcspn(name, "{");
    if (previous->len == length && strncmp(previous->str, name, length) == 0) {
        return;
    }
    g_string_truncate(previous, 0);
    g_string_append_len(previous, name, (gssize)length);
    g_string_append_printf(out, "# TYPE " METRIC_PREFIX "%s %s\n",
                           previous->str, gauge ? "gauge" : "counter");
}

void
BsCounters_Format(const BsCounters *counters, GString *out)
{
    GString *previous = g_string_new(NULL);
    GList *names = g_hash_table_get_keys(counters->values);
    names = g_list_sort(names, S_compare_names);
    for (GList *node = names; node != NULL; node = node->next) {
        const char *name = node->data;
        const BsCounter *counter = g_hash_table_lookup(counters->values, name);
        S_format_type(name, counter->gauge, previous, out);
        g_string_append_printf(out, METRIC_PREFIX "%s %" G_GUINT64_FORMAT "\n",
                               name, counter->value);
    }
    g_list_free(names);
    g_string_free(previous, TRUE);
}
