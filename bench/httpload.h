/*
 * httpload.h - steady HTTP loads from one thread, several side by side.
 *
 * Connections are kept and used again.  Loads of one call share the thread,
 * so that figures of a direct and an indirect path are taken under the same
 * conditions.
 */
#ifndef BS_HTTPLOAD_H
#define BS_HTTPLOAD_H

#include <glib.h>
#include <stdint.h>

/* What to send. */
typedef struct {
    int port;
    const char *path;
    const char *body; /* NULL for GET */
    double per_s;     /* started each second; 0 keeps all connections busy */
    unsigned connections;
} BsHttpLoadSpec;

/* What came of it. */
typedef struct {
    GArray *latencies_us; /* uint32_t, of successful requests */
    uint64_t errors;
    uint64_t events; /* server-sent events received */
    unsigned open;   /* requests open now */
} BsHttpLoadResult;

/* Called every 100 ms and once at the end. */
typedef void (*BsHttpLoadSample)(const BsHttpLoadResult *results,
                                 int64_t elapsed_ms, void *context);

/* Runs COUNT loads for DURATION_MS; free RESULTS with
   BsHttpLoadResult_Clear(). */
void BsHttpLoad_Run(const BsHttpLoadSpec *specs, unsigned count,
                    int64_t duration_ms, BsHttpLoadResult *results,
                    BsHttpLoadSample sample, void *context);

/* Frees what RESULT holds. */
void BsHttpLoadResult_Clear(BsHttpLoadResult *result);

/* Returns the latency below which PERCENT of the requests lie, in us. */
uint32_t BsHttpLoadResult_Percentile(const BsHttpLoadResult *result,
                                     unsigned percent);

#endif /* BS_HTTPLOAD_H */
