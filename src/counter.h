/*
 * counter.h - named monotonic counters and gauges.
 *
 * A name may carry Prometheus labels, as in "requests{tier=\"urgent\"}".
 */
#ifndef BS_COUNTER_H
#define BS_COUNTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct BsCounters BsCounters;

/* Creates an empty set. */
BsCounters *BsCounters_Create(void);

/* Frees COUNTERS; NULL is allowed. */
void BsCounters_Destroy(BsCounters *counters);

/* Adds AMOUNT to the counter NAME, which starts at 0. */
void BsCounters_Add(BsCounters *counters, const char *name, uint64_t amount);

/* Sets the gauge NAME to VALUE, creating it if needed. */
void BsCounters_Set(BsCounters *counters, const char *name, uint64_t value);

/* Returns the value of NAME, or 0 when it does not exist. */
uint64_t BsCounters_Get(const BsCounters *counters, const char *name);

/* Appends all values to OUT in Prometheus text format, sorted by name. */
void BsCounters_Format(const BsCounters *counters, GString *out);

#endif /* BS_COUNTER_H */
