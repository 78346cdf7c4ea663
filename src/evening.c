/* evening.c - the owner's page for the day, from the counters of all
   instances. */
#include "evening.h"

#include <string.h>

#define METRIC_PREFIX "boragespur_"
#define DOUBLE_RUNS "double_runs_seen"
#define S_PER_MIN 60
#define MIN_PER_HOUR 60
#define PERCENT 100

/* Answers of one tier. */
typedef struct {
    char *name;
    uint64_t rank;
    uint64_t answers;
    uint64_t in_time;
    uint64_t not_run;
    uint64_t unknown;
} BsTierDay;

/* A heading and the sentences below it. */
typedef struct {
    const char *title;
    GPtrArray *lines;
} BsSection;

struct BsEvening {
    GHashTable *values; /* metric name with labels to its sum */
    GPtrArray *asked;   /* sentences */
    GPtrArray *missing; /* sentences */
    uint32_t late_percent;
};

BsEvening *
BsEvening_Create(uint32_t late_percent)
{
    BsEvening *evening = g_new0(BsEvening, 1);
    evening->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    evening->asked = g_ptr_array_new_with_free_func(g_free);
    evening->missing = g_ptr_array_new_with_free_func(g_free);
    evening->late_percent = late_percent;
    return evening;
}

void
BsEvening_Destroy(BsEvening *evening)
{
    if (evening == NULL) {
        return;
    }
    g_hash_table_destroy(evening->values);
    g_ptr_array_unref(evening->asked);
    g_ptr_array_unref(evening->missing);
    g_free(evening);
}

static uint64_t
S_get(const BsEvening *evening, const char *name)
{
    const uint64_t *value = g_hash_table_lookup(evening->values, name);
    return value == NULL ? 0 : *value;
}

static void
S_add(BsEvening *evening, const char *name, uint64_t value)
{
    uint64_t *sum = g_hash_table_lookup(evening->values, name);
    if (sum == NULL) {
        sum = g_new0(uint64_t, 1);
        g_hash_table_insert(evening->values, g_strdup(name), sum);
    }
    /* Ranks are the same everywhere; all else adds up. */
    *sum = g_str_has_prefix(name, "tier_rank{") ? value : *sum + value;
}

/* Adds one line of metrics; returns the value if it is the uptime. */
static uint64_t
S_add_line(BsEvening *evening, char *line)
{
    char *space = strrchr(line, ' ');
    if (space == NULL || !g_str_has_prefix(line, METRIC_PREFIX)) {
        return 0;
    }
    const char *name = line + strlen(METRIC_PREFIX);
    uint64_t value = g_ascii_strtoull(space + 1, NULL, 10);
    *space = '\0';
    S_add(evening, name, value);
    return strcmp(name, "uptime_s") == 0 ? value : 0;
}

void
BsEvening_AddMetrics(BsEvening *evening, const char *instance,
                     const char *text)
{
    uint64_t uptime_s = 0;
    char **lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        uptime_s += S_add_line(evening, *line);
    }
    g_strfreev(lines);
    uint64_t minutes = uptime_s / S_PER_MIN;
    g_ptr_array_add(evening->asked,
                    g_strdup_printf("%s has counted for %" G_GUINT64_FORMAT
                                    " h %" G_GUINT64_FORMAT " min.",
                                    instance, minutes / MIN_PER_HOUR,
                                    minutes % MIN_PER_HOUR));
}

void
BsEvening_AddMissing(BsEvening *evening, const char *instance,
                     const char *reason)
{
    g_ptr_array_add(evening->missing,
                    g_strdup_printf("%s could not be asked: %s.  What it did "
                                    "is not on this page.",
                                    instance, reason));
}

/* Returns the metric with VALUE as the value of its first label. */
static uint64_t
S_get_labelled(const BsEvening *evening, const char *before, const char *value,
               const char *after)
{
    char *name = g_strconcat(before, value, after, NULL);
    uint64_t sum = S_get(evening, name);
    g_free(name);
    return sum;
}

static void
S_destroy_tier(void *data)
{
    BsTierDay *tier = data;
    g_free(tier->name);
    g_free(tier);
}

static BsTierDay *
S_create_tier(const BsEvening *evening, const char *name)
{
    BsTierDay *tier = g_new0(BsTierDay, 1);
    tier->name = g_strdup(name);
    tier->rank = S_get_labelled(evening, "tier_rank{tier=\"", name, "\"}");
    tier->in_time =
        S_get_labelled(evening, "answers_in_time{tier=\"", name, "\"}");
    tier->not_run = S_get_labelled(evening, "answers{tier=\"", name,
                                   "\",outcome=\"not-run\"}");
    tier->unknown = S_get_labelled(evening, "answers{tier=\"", name,
                                   "\",outcome=\"unknown\"}");
    tier->answers = tier->not_run + tier->unknown +
                    S_get_labelled(evening, "answers{tier=\"", name,
                                   "\",outcome=\"ran\"}");
    return tier;
}

static int
S_compare_tiers(gconstpointer a, gconstpointer b)
{
    const BsTierDay *left = *(const BsTierDay *const *)a;
    const BsTierDay *right = *(const BsTierDay *const *)b;
    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    return strcmp(left->name, right->name);
}

/* Returns the tiers, the most urgent first. */
static GPtrArray *
S_collect_tiers(const BsEvening *evening)
{
    static const char PREFIX[] = "tier_rank{tier=\"";
    GPtrArray *tiers = g_ptr_array_new_with_free_func(S_destroy_tier);
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, evening->values);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (g_str_has_prefix(key, PREFIX)) {
            const char *start = (const char *)key + strlen(PREFIX);
            char *name = g_strndup(start, strcspn(start, "\""));
            g_ptr_array_add(tiers, S_create_tier(evening, name));
            g_free(name);
        }
    }
    g_ptr_array_sort(tiers, S_compare_tiers);
    return tiers;
}

static bool
S_is_late(const BsEvening *evening, const BsTierDay *tier)
{
    uint64_t missed = tier->answers - MIN(tier->in_time, tier->answers);
    return missed * PERCENT > tier->answers * evening->late_percent;
}

static bool
S_any_late(const BsEvening *evening)
{
    bool late = false;
    GPtrArray *tiers = S_collect_tiers(evening);
    for (guint i = 0; i < tiers->len; i++) {
        late = late || S_is_late(evening, tiers->pdata[i]);
    }
    g_ptr_array_unref(tiers);
    return late;
}

static uint64_t
S_bookings(const BsEvening *evening, const char *outcome)
{
    return S_get_labelled(evening, "nonidempotent_answers{outcome=\"", outcome,
                          "\"}");
}

/* Returns whether any instance looks for double runs. */
static bool
S_counts_doubles(const BsEvening *evening)
{
    return g_hash_table_contains(evening->values, DOUBLE_RUNS);
}

BsEveningVerdict
BsEvening_Verdict(const BsEvening *evening)
{
    if (S_get(evening, DOUBLE_RUNS) > 0 ||
        S_bookings(evening, "unknown") > 0 || S_any_late(evening)) {
        return BS_EVENING_BAD;
    }
    return evening->missing->len > 0 || !S_counts_doubles(evening)
               ? BS_EVENING_UNKNOWN
               : BS_EVENING_GOOD;
}

static void S_say(BsSection *section, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
S_say(BsSection *section, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    g_ptr_array_add(section->lines, g_strdup_vprintf(format, args));
    va_end(args);
}

static BsSection *
S_add_section(GPtrArray *page, const char *title)
{
    BsSection *section = g_new0(BsSection, 1);
    section->title = title;
    section->lines = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(page, section);
    return section;
}

static void
S_destroy_section(void *data)
{
    BsSection *section = data;
    g_ptr_array_unref(section->lines);
    g_free(section);
}

static void
S_write_verdict(const BsEvening *evening, GPtrArray *page)
{
    BsSection *section = S_add_section(page, "Today");
    switch (BsEvening_Verdict(evening)) {
    case BS_EVENING_GOOD:
        S_say(section, "Today went well.");
        break;
    case BS_EVENING_BAD:
        S_say(section, "Today did not go well; see below.");
        break;
    case BS_EVENING_UNKNOWN:
        S_say(section, "Nothing bad was seen, but not everything is known.");
        break;
    }
}

static void
S_write_tiers(const BsEvening *evening, GPtrArray *page)
{
    BsSection *section = S_add_section(page, "Did answers arrive in time?");
    GPtrArray *tiers = S_collect_tiers(evening);
    for (guint i = 0; i < tiers->len; i++) {
        const BsTierDay *tier = tiers->pdata[i];
        S_say(section,
              "%s: %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
              " requests got their answer in time%s.  Refused without "
              "running: %" G_GUINT64_FORMAT ".  Left unknown: "
              "%" G_GUINT64_FORMAT ".",
              tier->name, tier->in_time, tier->answers,
              S_is_late(evening, tier) ? ", which is too few" : "",
              tier->not_run, tier->unknown);
    }
    if (tiers->len == 0) {
        S_say(section, "No instance told its tiers.");
    }
    g_ptr_array_unref(tiers);
}

static void
S_write_bookings(const BsEvening *evening, GPtrArray *page)
{
    BsSection *section =
        S_add_section(page, "Did each booking and charge land once?");
    S_say(section,
          "%" G_GUINT64_FORMAT " answers said that it landed.  "
          "%" G_GUINT64_FORMAT " said that it did not run.",
          S_bookings(evening, "ran"), S_bookings(evening, "not-run"));
    S_say(section,
          "%" G_GUINT64_FORMAT " repeated sendings were answered from the "
          "record and not run again.",
          S_get(evening, "keys_joined"));
}

static void
S_write_doubles(const BsEvening *evening, GPtrArray *page)
{
    BsSection *section = S_add_section(page, "Was anyone charged twice?");
    uint64_t doubles = S_get(evening, DOUBLE_RUNS);
    if (!S_counts_doubles(evening)) {
        S_say(section, "Not known: no instance told.");
        return;
    }
    if (doubles == 0) {
        S_say(section, "No instance saw a booking or charge run twice.");
        return;
    }
    S_say(section,
          "Yes, as far as the instances saw: %" G_GUINT64_FORMAT
          " keys ran twice.  Look for \"ran twice\" in the logs for the "
          "accounts and keys.",
          doubles);
}

static void
S_write_unknown(const BsEvening *evening, GPtrArray *page)
{
    BsSection *section = S_add_section(page, "What is unknown?");
    uint64_t unknown = S_bookings(evening, "unknown");
    if (unknown > 0) {
        S_say(section,
              "%" G_GUINT64_FORMAT " answers about bookings or charges said "
              "that it may or may not have landed.  Check these with the "
              "service before repeating them.",
              unknown);
    }
    else {
        S_say(section, "No booking or charge was left unknown.");
    }
    for (guint i = 0; i < evening->missing->len; i++) {
        S_say(section, "%s", (const char *)evening->missing->pdata[i]);
    }
}

static void
S_write_sources(const BsEvening *evening, GPtrArray *page)
{
    BsSection *section = S_add_section(page, "Where this comes from");
    for (guint i = 0; i < evening->asked->len; i++) {
        S_say(section, "%s", (const char *)evening->asked->pdata[i]);
    }
    S_say(section, "An instance counts from its last start; what replaced or "
                   "restarted instances did before is not on this page.");
}

static GPtrArray *
S_write_page(const BsEvening *evening)
{
    GPtrArray *page = g_ptr_array_new_with_free_func(S_destroy_section);
    S_write_verdict(evening, page);
    S_write_tiers(evening, page);
    S_write_bookings(evening, page);
    S_write_doubles(evening, page);
    S_write_unknown(evening, page);
    S_write_sources(evening, page);
    return page;
}

char *
BsEvening_FormatText(const BsEvening *evening, const char *day)
{
    GPtrArray *page = S_write_page(evening);
    GString *out = g_string_new(NULL);
    g_string_append_printf(out, "%s\n", day);
    for (guint i = 0; i < page->len; i++) {
        const BsSection *section = page->pdata[i];
        g_string_append_printf(out, "\n%s\n", section->title);
        for (guint j = 0; j < section->lines->len; j++) {
            g_string_append_printf(out, "  %s\n",
                                   (const char *)section->lines->pdata[j]);
        }
    }
    g_ptr_array_unref(page);
    return g_string_free(out, FALSE);
}

static void
S_append_element(GString *out, const char *element, const char *text)
{
    char *escaped = g_markup_escape_text(text, -1);
    g_string_append_printf(out, "<%s>%s</%s>\n", element, escaped, element);
    g_free(escaped);
}

char *
BsEvening_FormatHtml(const BsEvening *evening, const char *day)
{
    GPtrArray *page = S_write_page(evening);
    GString *out = g_string_new("<!DOCTYPE html>\n<html lang=\"en\">\n"
                                "<meta charset=\"utf-8\">\n");
    S_append_element(out, "title", day);
    S_append_element(out, "h1", day);
    for (guint i = 0; i < page->len; i++) {
        const BsSection *section = page->pdata[i];
        S_append_element(out, "h2", section->title);
        for (guint j = 0; j < section->lines->len; j++) {
            S_append_element(out, "p", section->lines->pdata[j]);
        }
    }
    g_string_append(out, "</html>\n");
    g_ptr_array_unref(page);
    return g_string_free(out, FALSE);
}
