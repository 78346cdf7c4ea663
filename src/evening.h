/*
 * evening.h - the owner's page for the day, from the counters of all
 * instances.
 *
 * Rules: the page is a pure function of the metrics texts it was given; an
 * instance that could not be asked is named on it, and what it did counts as
 * not known.  Counters start with the process, so the page says since when
 * each instance has counted.
 */
#ifndef BS_EVENING_H
#define BS_EVENING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct BsEvening BsEvening;

/* How the day went. */
typedef enum {
    BS_EVENING_GOOD = 0,   /* in time, once, and everything is known */
    BS_EVENING_BAD = 1,    /* late, run twice, or left unknown */
    BS_EVENING_UNKNOWN = 3 /* nothing bad seen, but not all could be asked */
} BsEveningVerdict;

/* Creates an empty page; a tier is late when more than LATE_PERCENT of its
   answers did not arrive in time. */
BsEvening *BsEvening_Create(uint32_t late_percent);

/* Frees EVENING; NULL is allowed. */
void BsEvening_Destroy(BsEvening *report);

/* Adds the metrics TEXT of an instance. */
void BsEvening_AddMetrics(BsEvening *report, const char *instance,
                          const char *text);

/* Notes that an instance could not be asked, and why. */
void BsEvening_AddMissing(BsEvening *report, const char *instance,
                          const char *reason);

/* Returns how the day went. */
BsEveningVerdict BsEvening_Verdict(const BsEvening *report);

/* Returns the page for DAY as plain text; g_free() it. */
char *BsEvening_FormatText(const BsEvening *report, const char *day);

/* Returns the page for DAY as HTML; g_free() it. */
char *BsEvening_FormatHtml(const BsEvening *report, const char *day);

#endif /* BS_EVENING_H */
