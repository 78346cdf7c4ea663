/* gw_pages.c - readiness check for balancers, status and metrics. */
#include "gw_gatewayparts.h"
#include "gw_stream.h"

#include <jansson.h>
#include <string.h>

#define MS_PER_S 1000

static bool
S_is_ready(const BsGateway *gateway)
{
    const BsGate *gate = &gateway->gate;
    return !gate->stopping && gate->catalog != NULL &&
           BsTargets_Listed(gate->targets) > 0;
}

static void
S_on_ready_request(BsInbound *inbound, const BsHttpHead *head,
                   const GString *body, void *context)
{
    (void)head;
    (void)body;
    BsInbound_Answer(inbound, S_is_ready(context) ? 200 : 503, NULL, "", 0);
}

static void
S_set_gauges(BsGateway *gateway)
{
    BsGate *gate = &gateway->gate;
    const BsOutboundStats *stats = BsOutboundPool_Stats(gate->pool);
    BsPlatformStatus status = gateway->adapter->status(gateway->link);
    BsCounters *counters = gate->counters;
    BsCrashListCounts crash_counts =
        BsCrashList_Count(gate->crash_list, BsClock_NowMs(gate->clock));
    BsCounters_Set(
        counters, "uptime_s",
        (uint64_t)(BsClock_NowMs(gate->clock) - gateway->started_ms) /
            MS_PER_S);
    BsCounters_Set(counters, "instances", gate->instances);
    BsCounters_Set(counters, "places_taken_by_peers",
                   BsTargets_PeerLoad(gate->targets));
    BsCounters_Set(counters, "waiting", BsWaitQueue_Length(gate->queue));
    BsCounters_Set(counters, "upstreams", BsTargets_Listed(gate->targets));
    BsCounters_Set(counters, "crashers", crash_counts.contents);
    BsCounters_Set(counters, "crasher_breaks", crash_counts.crashes);
    BsCounters_Set(counters, "crashers_stopped", crash_counts.blocked);
    BsCounters_Set(counters, "crashers_stopped_total", crash_counts.blocks);
    BsCounters_Set(counters, "part_crashes",
                   BsCrashParts_CountCrashes(gate->crash_parts));
    BsCounters_Set(counters, "part_suspects",
                   BsCrashParts_CountSuspects(gate->crash_parts,
                                              BsClock_NowMs(gate->clock)));
    BsCounters_Set(counters, "stream_records",
                   BsStreamVersions_Count(gate->stream_versions));
    BsCounters_Set(counters, "stream_records_dropped_total",
                   BsStreamVersions_Dropped(gate->stream_versions));
    BsCounters_Set(counters, "upstream_limits",
                   BsTargets_CountLimits(gate->targets));
    BsCounters_Set(counters, "connections",
                   BsInboundServer_Connections(gate->callers));
    BsCounters_Set(counters, "requests_left_unread_total",
                   BsStream_UnreadCloses());
    BsCounters_Set(counters, "body_bytes_held",
                   BsInboundServer_HeldBytes(gate->callers));
    BsCounters_Set(counters, "inbound_connections",
                   BsConnBudget_Connections(gate->conn_budget));
    BsCounters_Set(counters, "inbound_bytes_held",
                   BsConnBudget_Bytes(gate->conn_budget));
    BsCounters_Set(
        counters, "inbound_closed_total{limit=\"memory\"}",
        BsConnBudget_Closed(gate->conn_budget, BS_CONN_LIMIT_MEMORY));
    BsCounters_Set(
        counters, "inbound_closed_total{limit=\"connections\"}",
        BsConnBudget_Closed(gate->conn_budget, BS_CONN_LIMIT_NUMBER));
    BsCounters_Set(counters, "upstream_connections_opened", stats->opened);
    BsCounters_Set(counters, "upstream_connections_reused", stats->reused);
    BsCounters_Set(counters, "store_calls", status.calls);
    BsCounters_Set(counters, "store_failures", status.failures);
    BsCounters_Set(counters, "store_relists", status.relists);
    BsCounters_Set(counters, "store_era", status.era);
    if (status.answered_ms >= 0) {
        BsCounters_Set(
            counters, "store_answer_age_ms",
            (uint64_t)(BsClock_NowMs(gate->clock) - status.answered_ms));
    }
    BsCounters_Set(counters, "store_items_outdated",
                   BsReplica_Outdated(gateway->replica));
    BsCounters_Set(counters, "log_lines_dropped",
                   BsEventLog_Dropped(gate->log));
}

/* Answers with the instance's name, for the command "boragespur evening". */
static void
S_answer_status(const BsGateway *gateway, BsInbound *inbound)
{
    json_t *json = json_pack("{s:s}", "instance", gateway->settings->name);
    char *text = json_dumps(json, JSON_COMPACT);
    BsInbound_Answer(inbound, 200, "Content-Type: application/json\r\n", text,
                     strlen(text));
    free(text);
    json_decref(json);
}

static void
S_on_admin_request(BsInbound *inbound, const BsHttpHead *head,
                   const GString *body, void *context)
{
    (void)body;
    BsGateway *gateway = context;
    if (strcmp(head->target, "/status") == 0) {
        S_answer_status(gateway, inbound);
        return;
    }
    if (BsExplainPage_IsFor(head->target)) {
        BsExplainPage_Answer(gateway, inbound, head->target);
        return;
    }
    if (strcmp(head->target, "/metrics") != 0) {
        BsInbound_Answer(inbound, 404, NULL, "", 0);
        return;
    }
    GString *text = g_string_new(NULL);
    S_set_gauges(gateway);
    BsCounters_Format(gateway->gate.counters, text);
    BsHistogram_Format(gateway->gate.durations, text);
    BsHistogram_Format(gateway->gate.waits, text);
    BsHistogram_Format(gateway->gate.first_events, text);
    BsInbound_Answer(inbound, 200, "Content-Type: text/plain\r\n", text->str,
                     text->len);
    g_string_free(text, TRUE);
}

static void
S_ignore_disconnect(BsInbound *inbound, void *context)
{
    (void)inbound;
    (void)context;
}

const BsInboundApp bs_ready_app = {
    .on_request = S_on_ready_request,
    .on_disconnect = S_ignore_disconnect,
};

const BsInboundApp bs_admin_app = {
    .on_request = S_on_admin_request,
    .on_disconnect = S_ignore_disconnect,
};
