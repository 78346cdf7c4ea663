/*
 * gw_gate.h - what the tasks of a gateway share.
 *
 * Rules: one thread, one loop.  Decisions are made by the modules named here,
 * which know nothing of each other; the relay asks them and carries out what
 * they say.
 */
#ifndef BS_GW_GATE_H
#define BS_GW_GATE_H

#include "catalog.h"
#include "counter.h"
#include "crasher.h"
#include "eventlog.h"
#include "gatesettings.h"
#include "gw_inbound.h"
#include "gw_outbound.h"
#include "histogram.h"
#include "lapse.h"
#include "line.h"
#include "predict.h"
#include "quota.h"
#include "targets.h"
#include "wire.h"
#include "yield.h"

#include <ev.h>

/* The shared parts; all set before the first request. */
typedef struct {
    struct ev_loop *loop;
    const BsClock *clock;
    const BsGateSettings *settings;
    const BsWire *wire;
    BsEventLog *log;
    BsCounters *counters;
    BsHistogram *durations;    /* by route */
    BsHistogram *waits;        /* by route */
    BsHistogram *first_events; /* by route */
    BsOutboundPool *pool;
    BsInboundServer *callers;
    BsTargets *targets;
    BsQuotas *quotas;
    BsRetryBudget *retries;
    BsLine *line;
    BsPredictors *predictors;
    BsYields *yields;
    BsLapses *lapses;
    BsCrashers *crashers;
    BsOverload overload;
    GRand *random;
    BsCatalog *catalog;    /* in force; NULL until one is known */
    unsigned instances;    /* of the fleet, this one too */
    uint64_t next_request; /* number of the next request, for the log */
    bool places_changed;   /* waiting requests may find a place */
    bool loads_changed;    /* peers are to hear of our requests */
    bool stopping;         /* SIGTERM came; what arrives is still served */
    bool refusing;         /* too late for new requests to be finished */
} BsGate;

#endif /* BS_GW_GATE_H */
