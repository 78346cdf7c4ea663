/*
 * dailyreport.h - daily report for the operators, from the counters of all
 * instances.
 *
 * Rules: the report is a pure function of the metrics texts added; it names
 * each instance that could not be queried, whose results then count as
 * unknown.  Counters start at 0 with the process, so the report states the
 * uptime of each instance.
 */
#ifndef BS_DAILYREPORT_H
#define BS_DAILYREPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct BsDailyReport BsDailyReport;

/* Overall result of the day; the values are exit statuses of the command. */
typedef enum {
    /* All tiers in time, no double runs, no non-idempotent request whose
       outcome is unknown. */
    BS_DAILY_REPORT_GOOD = 0,
    /* A late tier, a double run, or a non-idempotent request whose outcome is
       unknown. */
    BS_DAILY_REPORT_BAD = 1,
    /* Nothing bad seen, but some data is missing. */
    BS_DAILY_REPORT_UNKNOWN = 3
} BsDailyReportResult;

/* Creates an empty report; a tier is late when more than LATE_PERCENT of its
   answers did not arrive in time. */
BsDailyReport *BsDailyReport_Create(uint32_t late_percent);

/* Frees REPORT; NULL is allowed. */
void BsDailyReport_Destroy(BsDailyReport *report);

/* Adds TEXT, the metrics of INSTANCE in Prometheus text format. */
void BsDailyReport_AddMetrics(BsDailyReport *report, const char *instance,
                              const char *text);

/* Records that INSTANCE could not be queried, and why. */
void BsDailyReport_AddMissing(BsDailyReport *report, const char *instance,
                              const char *reason);

/* Returns the overall result. */
BsDailyReportResult BsDailyReport_Result(const BsDailyReport *report);

/* Returns the report as plain text, titled DAY; g_free() it. */
char *BsDailyReport_FormatText(const BsDailyReport *report, const char *day);

/* Returns the report as HTML, titled DAY; g_free() it. */
char *BsDailyReport_FormatHtml(const BsDailyReport *report, const char *day);

#endif /* BS_DAILYREPORT_H */
