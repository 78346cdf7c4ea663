/*
 * gw_gate.h - the state that the tasks of a gateway share.
 *
 * Rules: one thread, one event loop.  Decisions are made by the modules named
 * here, which do not depend on each other; the relay calls them and carries
 * out their decisions.
 */
#ifndef BS_GW_GATE_H
#define BS_GW_GATE_H

#include "catalog.h"
#include "counter.h"
#include "crashlist.h"
#include "crashparts.h"
#include "eventlog.h"
#include "gatesettings.h"
#include "gw_inbound.h"
#include "gw_outbound.h"
#include "hedge.h"
#include "histogram.h"
#include "predict.h"
#include "quota.h"
#include "removalgrace.h"
#include "stopadmit.h"
#include "streamversions.h"
#include "targets.h"
#include "waitqueue.h"
#include "wire.h"
#include "yield.h"

#include <ev.h>

/* The shared objects; all but CATALOG are set before the first request. */
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
    GHashTable *relays;        /* set of the requests in progress */
    BsConnBudget *conn_budget; /* of all inbound connections */
    BsInboundServer *callers;
    BsTargets *targets;
    BsQuotas *quotas;
    BsRetryBudget *retries;
    BsHedges *hedges;
    BsWaitQueue *queue;
    BsPredictors *predictors;
    BsYields *yields;
    BsAnswerTimes *answer_times;
    BsRemovalGrace *removal_grace;
    BsCrashList *crash_list;
    BsCrashParts *crash_parts;
    BsStreamVersions *stream_versions;
    GArray *stream_questions; /* BsStreamQuestion, to be sent to others when
                                 the loop waits next; emptied then */
    BsOverload overload;
    GRand *random;
    BsCatalog *catalog;          /* in force; NULL until one is known */
    int64_t catalog_ms;          /* when CATALOG came into force */
    unsigned instances;          /* of the fleet, including this one */
    uint64_t next_request;       /* number of the next request, for the log */
    bool slots_changed;          /* queued requests may find a free slot */
    bool report_changed;         /* state reported to peers has changed */
    bool stream_records_changed; /* others told of streams; waiting requests
                                    may find theirs */
    bool stopping;         /* SIGTERM came; new requests are still served */
    bool refusing;         /* too late to complete new requests */
    int64_t stop_began_ms; /* while STOPPING: when SIGTERM came */
    int64_t stop_end_ms;   /* while STOPPING: when the process ends at the
                              latest */

    /* Size of the fleet by which the retry budget goes; see
       BsGossip_KnownAtMost(). */
    unsigned retry_instances;
} BsGate;

#endif /* BS_GW_GATE_H */
