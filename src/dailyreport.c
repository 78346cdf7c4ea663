/* dailyreport.c - daily report for the owner of the service, from the counters
   of all instances. */
#include "dailyreport.h"

#include <string.h>

#define METRIC_PREFIX "boragespur_"
#define DOUBLE_RUNS "double_runs_seen"
#define S_PER_MIN 60
#define MIN_PER_HOUR 60
#define PERCENT 100

/* Numbers of answers of one tier. */
typedef struct {
    char *name;
    uint64_t rank;
    uint64_t answers;
    uint64_t in_time;
    uint64_t not_run;
    uint64_t unknown;
} BsTierCounts;

/* A heading and the sentences below it. */
typedef struct {
    const char *title;
    GPtrArray *lines;
} BsSection;

struct BsDailyReport {
    GHashTable *values; /* metric name with labels to its sum */
    GPtrArray *sources; /* sentences */
    GPtrArray *missing; /* sentences */
    uint32_t late_percent;
};

BsDailyReport *
BsDailyReport_Create(uint32_t late_percent)
{
    BsDailyReport *report = g_new0(BsDailyReport, 1);
    report->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    report->sources = g_ptr_array_new_with_free_func(g_free);
    report->missing = g_ptr_array_new_with_free_func(g_free);
    report->late_percent = late_percent;
    return report;
}

void
BsDailyReport_Destroy(BsDailyReport *report)
{
    if (report == NULL) {
        return;
    }
    g_hash_table_destroy(report->values);
    g_ptr_array_unref(report->sources);
    g_ptr_array_unref(report->missing);
    g_free(report);
}

static uint64_t
S_get(const BsDailyReport *report, const char *name)
{
    const uint64_t *value = g_hash_table_lookup(report->values, name);
    return value == NULL ? 0 : *value;
}

static void
S_add(BsDailyReport *report, const char *name, uint64_t value)
{
    uint64_t *sum = g_hash_table_lookup(report->values, name);
    if (sum == NULL) {
        sum = g_new0(uint64_t, 1);
        g_hash_table_insert(report->values, g_strdup(name), sum);
    }
    /* Ranks are the same on all instances; all other values are summed. */
    *sum = g_str_has_prefix(name, "tier_rank{") ? value : *sum + value;
}

/* Adds one line of metrics; returns its value if it is the uptime, else 0. */
static uint64_t
S_add_line(BsDailyReport *report, char *line)
{
    char *space = strrchr(line, ' ');
    if (space == NULL || !g_str_has_prefix(line, METRIC_PREFIX)) {
        return 0;
    }
    const char *name = line + strlen(METRIC_PREFIX);
    uint64_t value = g_ascii_strtoull(space + 1, NULL, 10);
    *space = '\0';
    S_add(report, name, value);
    return strcmp(name, "uptime_s") == 0 ? value : 0;
}

void
BsDailyReport_AddMetrics(BsDailyReport *report, const char *instance,
                         const char *text)
{
    uint64_t uptime_s = 0;
    char **lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        uptime_s += S_add_line(report, *line);
    }
    g_strfreev(lines);
    uint64_t minutes = uptime_s / S_PER_MIN;
    g_ptr_array_add(report->sources,
                    g_strdup_printf("%s has counted for %" G_GUINT64_FORMAT
                                    " h %" G_GUINT64_FORMAT " min.",
                                    instance, minutes / MIN_PER_HOUR,
                                    minutes % MIN_PER_HOUR));
}

void
BsDailyReport_AddMissing(BsDailyReport *report, const char *instance,
                         const char *reason)
{
    g_ptr_array_add(report->missing,
                    g_strdup_printf("%s could not be asked: %s.  What it did "
                                    "is not on this page.",
                                    instance, reason));
}

/* Returns the metric whose name with labels is BEFORE, VALUE and AFTER
   joined. */
static uint64_t
S_get_labelled(const BsDailyReport *report, const char *before,
               const char *value, const char *after)
{
    char *name = g_strconcat(before, value, after, NULL);
    uint64_t sum = S_get(report, name);
    g_free(name);
    return sum;
}

static void
S_destroy_tier(void *data)
{
    BsTierCounts *tier = data;
    g_free(tier->name);
    g_free(tier);
}

static BsTierCounts *
S_create_tier(const BsDailyReport *report, const char *name)
{
    BsTierCounts *tier = g_new0(BsTierCounts, 1);
    tier->name = g_strdup(name);
    tier->rank = S_get_labelled(report, "tier_rank{tier=\"", name, "\"}");
    tier->in_time =
        S_get_labelled(report, "answers_in_time{tier=\"", name, "\"}");
    tier->not_run = S_get_labelled(report, "answers{tier=\"", name,
                                   "\",outcome=\"not-run\"}");
    tier->unknown = S_get_labelled(report, "answers{tier=\"", name,
                                   "\",outcome=\"unknown\"}");
    tier->answers =
        tier->not_run + tier->unknown +
        S_get_labelled(report, "answers{tier=\"", name, "\",outcome=\"ran\"}");
    return tier;
}

static int
S_compare_tiers(gconstpointer a, gconstpointer b)
{
    const BsTierCounts *left = *(const BsTierCounts *const *)a;
    const BsTierCounts *right = *(const BsTierCounts *const *)b;
    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    return strcmp(left->name, right->name);
}

/* Returns the tiers, the most urgent first. */
static GPtrArray *
S_collect_tiers(const BsDailyReport *report)
{
    static const char PREFIX[] = "tier_rank{tier=\"";
    GPtrArray *tiers = g_ptr_array_new_with_free_func(S_destroy_tier);
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, report->values);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (g_str_has_prefix(key, PREFIX)) {
            const char *start = (const char *)key + strlen(PREFIX);
            char *name = g_strndup(start, strcspn(start, "\""));
            g_ptr_array_add(tiers, S_create_tier(report, name));
            g_free(name);
        }
    }
    g_ptr_array_sort(tiers, S_compare_tiers);
    return tiers;
}

static bool
S_is_late(const BsDailyReport *report, const BsTierCounts *tier)
{
    uint64_t missed = tier->answers - MIN(tier->in_time, tier->answers);
    return missed * PERCENT > tier->answers * report->late_percent;
}

static bool
S_any_late(const BsDailyReport *report)
{
    bool late = false;
    GPtrArray *tiers = S_collect_tiers(report);
    for (guint i = 0; i < tiers->len; i++) {
        late = late || S_is_late(report, tiers->pdata[i]);
    }
    g_ptr_array_unref(tiers);
    return late;
}

static uint64_t
S_nonidempotent_answers(const BsDailyReport *report, const char *outcome)
{
    return S_get_labelled(report, "nonidempotent_answers{outcome=\"", outcome,
                          "\"}");
}

/* Returns whether any instance reported a count of double runs. */
static bool
S_checks_double_runs(const BsDailyReport *report)
{
    return g_hash_table_contains(report->values, DOUBLE_RUNS);
}

BsDailyReportResult
BsDailyReport_Result(const BsDailyReport *report)
{
    if (S_get(report, DOUBLE_RUNS) > 0 ||
        S_nonidempotent_answers(report, "unknown") > 0 || S_any_late(report)) {
        return BS_DAILY_REPORT_BAD;
    }
    return report->missing->len > 0 || !S_checks_double_runs(report)
               ? BS_DAILY_REPORT_UNKNOWN
               : BS_DAILY_REPORT_GOOD;
}

static void S_add_sentence(BsSection *section, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
S_add_sentence(BsSection *section, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    g_ptr_array_add(section->lines, g_strdup_vprintf(format, args));
    va_end(args);
}

static BsSection *
S_add_section(GPtrArray *sections, const char *title)
{
    BsSection *section = g_new0(BsSection, 1);
    section->title = title;
    section->lines = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(sections, section);
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
S_write_verdict(const BsDailyReport *report, GPtrArray *sections)
{
    BsSection *section = S_add_section(sections, "Today");
    switch (BsDailyReport_Result(report)) {
    case BS_DAILY_REPORT_GOOD:
        S_add_sentence(section, "Today went well.");
        break;
    case BS_DAILY_REPORT_BAD:
        S_add_sentence(section, "Today did not go well; see below.");
        break;
    case BS_DAILY_REPORT_UNKNOWN:
        S_add_sentence(section,
                       "Nothing bad was seen, but not everything is known.");
        break;
    }
}

static void
S_write_tiers(const BsDailyReport *report, GPtrArray *sections)
{
    BsSection *section =
        S_add_section(sections, "Did answers arrive in time?");
    GPtrArray *tiers = S_collect_tiers(report);
    for (guint i = 0; i < tiers->len; i++) {
        const BsTierCounts *tier = tiers->pdata[i];
        S_add_sentence(
            section,
            "%s: %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
            " requests got their answer in time%s.  Refused without "
            "running: %" G_GUINT64_FORMAT ".  Left unknown: "
            "%" G_GUINT64_FORMAT ".",
            tier->name, tier->in_time, tier->answers,
            S_is_late(report, tier) ? ", which is too few" : "", tier->not_run,
            tier->unknown);
    }
    if (tiers->len == 0) {
        S_add_sentence(section, "No instance reported its tiers.");
    }
    g_ptr_array_unref(tiers);
}

static void
S_write_nonidempotent(const BsDailyReport *report, GPtrArray *sections)
{
    BsSection *section =
        S_add_section(sections, "Did each booking and charge land once?");
    S_add_sentence(section,
                   "%" G_GUINT64_FORMAT " answers said that it landed.  "
                   "%" G_GUINT64_FORMAT " said that it did not run.",
                   S_nonidempotent_answers(report, "ran"),
                   S_nonidempotent_answers(report, "not-run"));
    S_add_sentence(section,
                   "%" G_GUINT64_FORMAT
                   " repeated sendings were answered from the "
                   "record and not run again.",
                   S_get(report, "keys_joined"));
}

static void
S_write_double_runs(const BsDailyReport *report, GPtrArray *sections)
{
    BsSection *section = S_add_section(sections, "Was anyone charged twice?");
    uint64_t double_runs = S_get(report, DOUBLE_RUNS);
    if (!S_checks_double_runs(report)) {
        S_add_sentence(section, "Not known: no instance reported it.");
        return;
    }
    if (double_runs == 0) {
        S_add_sentence(section,
                       "No instance saw a booking or charge run twice.");
        return;
    }
    S_add_sentence(
        section,
        "Yes, as far as the instances saw: %" G_GUINT64_FORMAT
        " keys ran twice.  Look for \"ran twice\" in the logs for the "
        "accounts and keys.",
        double_runs);
}

static void
S_write_unknown(const BsDailyReport *report, GPtrArray *sections)
{
    BsSection *section = S_add_section(sections, "What is unknown?");
    uint64_t unknown = S_nonidempotent_answers(report, "unknown");
    if (unknown > 0) {
        S_add_sentence(
            section,
            "%" G_GUINT64_FORMAT " answers about bookings or charges said "
            "that it may or may not have landed.  Check these with the "
            "service before repeating them.",
            unknown);
    }
    else {
        S_add_sentence(section, "No booking or charge was left unknown.");
    }
    for (guint i = 0; i < report->missing->len; i++) {
        S_add_sentence(section, "%s", (const char *)report->missing->pdata[i]);
    }
}

static void
S_write_sources(const BsDailyReport *report, GPtrArray *sections)
{
    BsSection *section = S_add_section(sections, "Where this comes from");
    for (guint i = 0; i < report->sources->len; i++) {
        S_add_sentence(section, "%s", (const char *)report->sources->pdata[i]);
    }
    S_add_sentence(section,
                   "An instance counts from its last start; what replaced or "
                   "restarted instances did before is not on this page.");
}

static GPtrArray *
S_build_report(const BsDailyReport *report)
{
    GPtrArray *sections = g_ptr_array_new_with_free_func(S_destroy_section);
    S_write_verdict(report, sections);
    S_write_tiers(report, sections);
    S_write_nonidempotent(report, sections);
    S_write_double_runs(report, sections);
    S_write_unknown(report, sections);
    S_write_sources(report, sections);
    return sections;
}

char *
BsDailyReport_FormatText(const BsDailyReport *report, const char *day)
{
    GPtrArray *sections = S_build_report(report);
    GString *out = g_string_new(NULL);
    g_string_append_printf(out, "%s\n", day);
    for (guint i = 0; i < sections->len; i++) {
        const BsSection *section = sections->pdata[i];
        g_string_append_printf(out, "\n%s\n", section->title);
        for (guint j = 0; j < section->lines->len; j++) {
            g_string_append_printf(out, "  %s\n",
                                   (const char *)section->lines->pdata[j]);
        }
    }
    g_ptr_array_unref(sections);
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
BsDailyReport_FormatHtml(const BsDailyReport *report, const char *day)
{
    GPtrArray *sections = S_build_report(report);
    GString *out = g_string_new("<!DOCTYPE html>\n<html lang=\"en\">\n"
                                "<meta charset=\"utf-8\">\n");
    S_append_element(out, "title", day);
    S_append_element(out, "h1", day);
    for (guint i = 0; i < sections->len; i++) {
        const BsSection *section = sections->pdata[i];
        S_append_element(out, "h2", section->title);
        for (guint j = 0; j < section->lines->len; j++) {
            S_append_element(out, "p", section->lines->pdata[j]);
        }
    }
    g_string_append(out, "</html>\n");
    g_ptr_array_unref(sections);
    return g_string_free(out, FALSE);
}
