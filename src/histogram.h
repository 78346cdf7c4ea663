/*
 * histogram.h - histogram of durations in fixed buckets, one series for each
 * label value.
 */
#ifndef BS_HISTOGRAM_H
#define BS_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

typedef struct BsHistogram BsHistogram;

/* Creates an empty histogram.  NAME excludes the prefix and the unit, HELP is
   one line of text, LABEL the name of the label. */
BsHistogram *BsHistogram_Create(const char *name, const char *help,
                                const char *label);

/* Frees HISTOGRAM; NULL is allowed. */
void BsHistogram_Destroy(BsHistogram *histogram);

/* Counts a duration in the series whose label has VALUE. */
void BsHistogram_Observe(BsHistogram *histogram, const char *value,
                         int64_t duration_ms);

/* Appends all series to OUT in Prometheus text format, in seconds. */
void BsHistogram_Format(const BsHistogram *histogram, GString *out);

#endif /* BS_HISTOGRAM_H */
