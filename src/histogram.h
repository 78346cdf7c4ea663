/*
 * histogram.h - durations counted in fixed buckets, by label.
 */
#ifndef BS_HISTOGRAM_H
#define BS_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

typedef struct BsHistogram BsHistogram;

/* Creates an empty histogram of durations; NAME is without prefix and unit,
   HELP one line of text, LABEL the name of its label. */
BsHistogram *BsHistogram_Create(const char *name, const char *help,
                                const char *label);

/* Frees HISTOGRAM; NULL is allowed. */
void BsHistogram_Destroy(BsHistogram *histogram);

/* Counts a duration of DURATION_MS under the label's VALUE. */
void BsHistogram_Observe(BsHistogram *histogram, const char *value,
                         int64_t duration_ms);

/* Appends all series in Prometheus text format, in seconds. */
void BsHistogram_Format(const BsHistogram *histogram, GString *out);

#endif /* BS_HISTOGRAM_H */
