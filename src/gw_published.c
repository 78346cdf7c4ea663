/* gw_published.c - decodes and applies the items that the platform publishes.
 */
#include "gw_gatewayparts.h"
#include "gw_relay.h"

#include <string.h>

#define MEBIBYTE (1024ULL * 1024)
#define PERCENT 100

static uint32_t
S_connections(const BsGateSettings *settings)
{
    uint32_t descriptors = settings->machine.descriptors;
    return descriptors -
           MIN(settings->inbound.reserved_descriptors, descriptors / 2);
}

void
BsGateway_ApplyInbound(const BsGateway *gateway)
{
    const BsGateSettings *settings = gateway->settings;
    BsConnBudget_SetLimits(gateway->gate.conn_budget,
                           settings->machine.memory_mb * MEBIBYTE *
                               settings->inbound.memory_percent / PERCENT,
                           S_connections(settings));
}

BsInboundLimits
BsGateway_InboundLimits(const BsGateway *gateway,
                        const BsCatalogLimits *limits)
{
    BsInboundLimits result = {
        .header_bytes = limits->header_bytes,
        .body_bytes = limits->body_bytes,
        .header_timeout_ms = limits->header_timeout_ms,
        .idle_timeout_ms = limits->idle_timeout_ms,
        .connections = S_connections(gateway->settings),
        .unsent_bytes = gateway->settings->inbound.unsent_kib * BS_KIBIBYTE,
    };
    return result;
}

static void
S_on_catalog(BsCatalog *catalog, void *context)
{
    BsGateway *gateway = context;
    BsGate *gate = &gateway->gate;
    uint64_t version = BsCatalog_Version(catalog);
    if (gate->catalog != NULL && version <= BsCatalog_Version(gate->catalog)) {
        BsCatalog_Unref(catalog);
        return;
    }
    BsCatalog_Unref(gate->catalog);
    gate->catalog = catalog;
    gate->catalog_ms = BsClock_NowMs(gate->clock);
    BsInboundLimits limits =
        BsGateway_InboundLimits(gateway, BsCatalog_Limits(catalog));
    BsInboundServer_SetLimits(gate->callers, &limits);
    BsCounters_Set(gate->counters, "catalog_version", version);
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE, "catalog_in_force")) {
        BsEventLog_Number(gate->log, "version", (int64_t)version);
        BsEventLog_End(gate->log);
    }
}

/* Notes in the crash list that TARGET's process, as known so far, has ended,
   unless the end was planned. */
static void
S_note_target_ended(const BsGate *gate, const BsTarget *target)
{
    if (!target->draining && !target->leaving) {
        uint32_t upstream =
            BsCrashList_HashUpstream(target->id, target->born_ms);
        int64_t now_ms = BsClock_NowMs(gate->clock);
        BsCrashList_NoteUpstreamEnded(gate->crash_list, upstream, now_ms);
        BsCrashParts_NoteUpstreamEnded(gate->crash_parts, upstream, now_ms);
    }
}

static void
S_on_upstream(const BsTargetEntry *listed, void *context)
{
    BsGateway *gateway = context;
    BsGate *gate = &gateway->gate;
    BsTargetEntry entry = *listed;
    entry.region = BsGateSettings_Region(gateway->settings, entry.data_centre);
    const BsTarget *before = BsTargets_Find(gate->targets, entry.id);
    bool was_draining = before != NULL && before->draining;
    bool new_version =
        before != NULL && g_strcmp0(before->version, entry.version) != 0;
    if (before != NULL && before->born_ms > 0 &&
        entry.born_ms > before->born_ms) {
        S_note_target_ended(gate, before);
    }
    bool started_again =
        new_version && before->born_ms > 0 && entry.born_ms > before->born_ms;
    bool is_new =
        BsTargets_Put(gate->targets, &entry, BsClock_NowMs(gate->clock));
    BsStreamVersions_NoteServing(
        gate->stream_versions,
        BsStreamVersions_Hash(entry.service, entry.version),
        BsClock_NowMs(gate->clock));
    if (started_again) {
        BsRelay_NoteRestart(gate, BsTargets_Find(gate->targets, entry.id));
    }
    gate->slots_changed = true;
    if ((is_new || new_version || was_draining != entry.draining) &&
        BsEventLog_Begin(gate->log, BS_EVENT_STATE, "upstream_listed")) {
        BsEventLog_Text(gate->log, "upstream", entry.id);
        BsEventLog_Text(gate->log, "service", entry.service);
        BsEventLog_Text(gate->log, "software", entry.version);
        BsEventLog_Text(gate->log, "data_centre", entry.data_centre);
        BsEventLog_Text(gate->log, "state",
                        entry.draining ? "draining" : "ready");
        BsEventLog_Number(gate->log, "cold_ms", entry.cold_ms);
        BsEventLog_End(gate->log);
    }
}

static void
S_on_upstream_removed(const char *id, uint64_t revision, void *context)
{
    BsGateway *gateway = context;
    BsGate *gate = &gateway->gate;
    BsPlatformStatus status = gateway->adapter->status(gateway->link);
    int64_t now_ms = BsClock_NowMs(gate->clock);
    int64_t peer_failed_ms = BsGossipTask_StoreFailedMs(gateway->gossip);
    int64_t failed_ms = MAX(status.failed_ms, peer_failed_ms);
    BsRemovalGrace_NoteAnswer(
        gate->removal_grace,
        MAX(status.answered_ms,
            BsGossipTask_StoreAnsweredMs(gateway->gossip)));
    int64_t kept_ms = BsRemovalGrace_KeptMs(gate->removal_grace, revision,
                                            failed_ms, now_ms);
    if (!BsTargets_Remove(gate->targets, id, kept_ms, now_ms)) {
        return;
    }
    S_note_target_ended(gate, BsTargets_Find(gate->targets, id));
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE, "upstream_gone")) {
        BsEventLog_Text(gate->log, "upstream", id);
        BsEventLog_Number(gate->log, "kept_ms", kept_ms);
        BsEventLog_Number(gate->log, "revision",
                          (int64_t)BsPosition_Revision(revision));
        if (kept_ms > 0) {
            BsEventLog_Text(gate->log, "cause",
                            status.failed_ms >= peer_failed_ms
                                ? "own calls to the store failed"
                                : "a peer's calls to the store failed");
        }
        BsEventLog_End(gate->log);
    }
}

static void
S_on_closed(const char *data_centre, bool closed, void *context)
{
    BsGateway *gateway = context;
    BsGate *gate = &gateway->gate;
    BsTargets_SetClosed(gate->targets, data_centre, closed);
    gate->slots_changed = true;
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE,
                         closed ? "data_centre_closed" : "data_centre_open")) {
        BsEventLog_Text(gate->log, "data_centre", data_centre);
        BsEventLog_End(gate->log);
    }
}

static void
S_on_invalid(const char *key, const char *reason, unsigned count,
             void *context)
{
    BsGate *gate = &((BsGateway *)context)->gate;
    BsCounters_Add(gate->counters, "broken_items_total", count);
    if (BsEventLog_Begin(gate->log, BS_EVENT_FAILURE, "item_broken")) {
        BsEventLog_Text(gate->log, "key", key);
        BsEventLog_Text(gate->log, "cause", reason);
        BsEventLog_End(gate->log);
    }
}

static const BsPlatformEvents S_platform_events = {
    .on_catalog = S_on_catalog,
    .on_upstream = S_on_upstream,
    .on_upstream_removed = S_on_upstream_removed,
    .on_closed = S_on_closed,
    .on_invalid = S_on_invalid,
};

void
BsGateway_OnItem(const BsItem *item, void *context)
{
    BsGateway *gateway = context;
    gateway->adapter->decode(item, &S_platform_events, gateway);
}

void
BsGateway_OnLink(bool up, const char *reason, void *context)
{
    BsGateway *gateway = context;
    BsGate *gate = &gateway->gate;
    BsPlatformStatus status = gateway->adapter->status(gateway->link);
    BsCounters_Set(gate->counters, "store_up", up);
    if (BsEventLog_Begin(gate->log, BS_EVENT_STATE,
                         up ? "store_regained" : "store_lost")) {
        BsEventLog_Text(gate->log, "cause", reason);
        if (!up && status.answered_ms >= 0) {
            BsEventLog_Number(gate->log, "silent_ms",
                              BsClock_NowMs(gate->clock) - status.answered_ms);
        }
        BsEventLog_End(gate->log);
    }
}
