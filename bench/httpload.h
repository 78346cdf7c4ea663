/*
 * httpload.h - generates several steady HTTP loads from one thread.
 *
 * Connections are kept alive and reused.  All loads of one call share the
 * thread, so that a direct and a proxied path are measured under the same
 * conditions.
 */
#ifndef BS_HTTPLOAD_H
#define BS_HTTPLOAD_H

#include <glib.h>
#include <stdint.h>

/* One load. */
typedef struct {
    int port; /* on 127.0.0.1 */
    const char *path;
    const char *body; /* NULL for GET */
    /* Requests started per second; 0 keeps all connections busy. */
    double per_s;
    unsigned connections; /* most requests open at once */
} BsHttpLoadSpec;

/* The results of a load so far. */
typedef struct {
    GArray *latencies_us; /* uint32_t, of successful requests */
    uint64_t errors; /* requests that failed or had a status other than 200 */
    uint64_t events; /* server-sent events received */
    unsigned open;   /* requests open now */
} BsHttpLoadResult;

/* Called about every 100 ms while the loads run. */
typedef void (*BsHttpLoadSample)(const BsHttpLoadResult *results,
                                 int64_t elapsed_ms, void *context);

/* Runs COUNT loads for DURATION_MS and fills in RESULTS, each of which the
   caller frees with BsHttpLoadResult_Clear().  SAMPLE may be NULL. */
void BsHttpLoad_Run(const BsHttpLoadSpec *specs, unsigned count,
                    int64_t duration_ms, BsHttpLoadResult *results,
                    BsHttpLoadSample sample, void *context);

/* Frees the latencies of RESULT. */
void BsHttpLoadResult_Clear(BsHttpLoadResult *result);

/* Returns the PERCENT percentile of the latencies in microseconds, 0 without
   any; sorts them. */
uint32_t BsHttpLoadResult_Percentile(const BsHttpLoadResult *result,
                                     unsigned percent);

#endif /* BS_HTTPLOAD_H */
