// A large fleet on a logical clock and a simulated network.
#include "fleet_world.h"

namespace {

void
Fill(BsGossipReport *report, bool work, int64_t now_ms, void *context)
{
    Node *node = static_cast<Node *>(context);
    report->revision = node->newest;
    report->newest = node->newest;
    report->reading = node->reading;
    report->store_age_ms =
        node->answered_ms < 0 ? -1 : now_ms - node->answered_ms;
    report->stopping = node->stopping;
    if (!work) {
        return;
    }
    if (node->quotas != nullptr) {
        BsTargets_AppendLoads(node->targets, now_ms, report->loads);
        BsQuotas_AppendUses(node->quotas, report->uses);
        return;
    }
    for (const auto &load : node->own) {
        if (load.second > 0) {
            BsTargetLoad reported = {load.first, load.second, 0};
            g_array_append_val(report->loads, reported);
        }
    }
    BsQuotaUse use = {kAccount, node->used};
    g_array_append_val(report->uses, use);
}

void
FillCrashRecords(GArray *crash_records, int64_t now_ms, void *context)
{
    BsCrashList_Append(static_cast<Node *>(context)->crash_list, now_ms,
                       crash_records);
}

void
OnCrashRecords(const GArray *crash_records, int64_t now_ms, void *context)
{
    BsCrashList_Merge(static_cast<Node *>(context)->crash_list, crash_records,
                      now_ms);
}

void
FillPartRecords(GArray *part_records, int64_t now_ms, void *context)
{
    BsCrashParts_Append(static_cast<Node *>(context)->crash_parts, now_ms,
                        part_records);
}

void
OnPartRecords(const GArray *part_records, int64_t now_ms, void *context)
{
    BsCrashParts_Merge(static_cast<Node *>(context)->crash_parts, part_records,
                       now_ms);
}

void
FillLimitRecords(GArray *limit_records, int64_t now_ms, void *context)
{
    Node *node = static_cast<Node *>(context);
    if (node->targets != nullptr) {
        BsTargets_AppendLimits(node->targets, now_ms, limit_records);
    }
}

void
IgnoreChange(const BsTarget *, const BsTargetLimit *, void *)
{
}

void
OnLimitRecords(const GArray *limit_records, int64_t now_ms, void *context)
{
    Node *node = static_cast<Node *>(context);
    if (node->targets != nullptr) {
        BsTargets_MergeLimits(node->targets, limit_records, now_ms,
                              IgnoreChange, nullptr);
    }
}

void
OnStreamRecords(const GArray *records, int64_t now_ms, void *context)
{
    BsStreamVersions_Merge(static_cast<Node *>(context)->stream_versions,
                           records, now_ms);
}

void
AnswerQuestions(GArray *questions, GArray *records, int64_t now_ms,
                void *context)
{
    BsStreamVersions_Answer(static_cast<Node *>(context)->stream_versions,
                            questions, now_ms, records);
}

// Returns whether DATA is about streams: its prefix has the bits of a report's
// request, but others as well.
bool
IsAboutStreams(const char *data)
{
    return (data[0] & 3) == 0 && (data[0] & ~3) != 0;
}

void
Send(uint32_t address, const char *data, size_t size_bytes, void *context)
{
    Node *node = static_cast<Node *>(context);
    World *world = node->world;
    Node *to = world->Find(address);
    node->sent++;
    node->sent_bytes += size_bytes;
    if (IsAboutStreams(data)) {
        node->stream_sent++;
        node->stream_bytes += size_bytes;
    }
    if (to == nullptr) {
        return;
    }
    bool remote = to->data_centre != node->data_centre;
    node->remote_bytes += remote ? size_bytes : 0;
    std::uniform_real_distribution<double> chance(0, 1);
    bool is_dropped =
        world->disconnected.count(address) +
                world->disconnected.count(node->address) >
            0 ||
        (remote &&
         world->isolated_data_centres.count(to->data_centre) +
                 world->isolated_data_centres.count(node->data_centre) >
             0);
    if (is_dropped || chance(world->random) < world->loss) {
        return;
    }
    world->wire.insert(
        {world->now_ms + (remote ? kRemoteDelayMs : kLocalDelayMs),
         {node->address, address, std::string(data, size_bytes)}});
}

void
OnPeerReport(uint32_t address, const BsGossipReport *report, int64_t now_ms,
             void *context)
{
    Node *node = static_cast<Node *>(context);
    if (node->quotas != nullptr) {
        BsTargets_SetPeer(node->targets, address, report->loads, now_ms);
        BsQuotas_Tick(node->quotas, now_ms);
        BsQuotas_SetPeer(node->quotas, address, report->incarnation,
                         report->uses);
        return;
    }
    auto &reported = node->peers[address];
    reported.clear();
    for (guint i = 0; i < report->loads->len; i++) {
        const BsTargetLoad &load =
            g_array_index(report->loads, BsTargetLoad, i);
        reported[load.hash] = load.in_flight;
    }
}

void
OnUnresponsive(const BsGossipMember *member, void *context)
{
    Node *node = static_cast<Node *>(context);
    node->peers.erase(member->address);
    if (node->quotas != nullptr) {
        BsTargets_DropPeer(node->targets, member->address);
    }
}

void
OnHubsUsed(void *context)
{
    Node *node = static_cast<Node *>(context);
    node->peers.clear();
    if (node->quotas != nullptr) {
        BsTargets_DropPeers(node->targets);
    }
}

void
OnChanges(const BsFleetChanges *changes, int64_t now_ms, void *context)
{
    Node *node = static_cast<Node *>(context);
    if (node->quotas != nullptr) {
        BsTargets_SetFleet(node->targets, changes->loads, now_ms);
        BsQuotas_Tick(node->quotas, now_ms);
        BsQuotas_SetFleet(node->quotas, changes->incarnation, changes->uses);
        return;
    }
    for (guint i = 0; i < changes->loads->len; i++) {
        const BsTargetLoad &load =
            g_array_index(changes->loads, BsTargetLoad, i);
        node->others[(uint32_t)load.hash] = load.in_flight;
    }
    for (guint i = 0; i < changes->uses->len; i++) {
        uint64_t used = g_array_index(changes->uses, BsQuotaUse, i).used;
        if (node->last_incarnation == changes->incarnation &&
            used > node->last_used) {
            node->others_used += used - node->last_used;
        }
        node->last_used = used;
        node->last_incarnation = changes->incarnation;
    }
}

void
OnNewest(uint64_t, int64_t, void *)
{
}

void
OnHubChanged(uint32_t, void *)
{
}

const BsFleetEvents kEvents = {
    Fill,          FillCrashRecords, OnCrashRecords,  FillPartRecords,
    OnPartRecords, FillLimitRecords, OnLimitRecords,  Send,
    OnPeerReport,  OnUnresponsive,   OnHubsUsed,      OnChanges,
    OnNewest,      OnHubChanged,     OnStreamRecords, AnswerQuestions};

} // namespace

void
World::Add(uint32_t data_centre, uint32_t weight)
{
    auto node = std::make_unique<Node>();
    node->world = this;
    node->address = kBaseAddress + 1 + (uint32_t)nodes.size();
    node->data_centre = data_centre;
    node->weight = weight;
    by_address[node->address] = node.get();
    nodes.push_back(std::move(node));
}

void
World::Start(Node *node)
{
    BsFleetAgent_Destroy(node->agent);
    BsCrashList_Destroy(node->crash_list);
    node->crash_list = BsCrashList_Create();
    BsCrashParts_Destroy(node->crash_parts);
    node->crash_parts = BsCrashParts_Create();
    BsStreamVersions_Destroy(node->stream_versions);
    node->stream_versions = BsStreamVersions_Create(now_ms);
    BsStreamVersions_SetLife(node->stream_versions, stream_life_ms, now_ms);
    if (node->questions == nullptr) {
        node->questions = g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    }
    g_array_set_size(node->questions, 0);
    node->own.clear();
    node->others.clear();
    node->peers.clear();
    node->used = 0;
    node->others_used = 0;
    node->last_incarnation = 0;
    node->agent =
        BsFleetAgent_Create(node->address, node->data_centre, node->weight,
                            1000 + (uint64_t)now_ms + incarnation++,
                            (uint32_t)random(), &kEvents, node, now_ms);
    for (uint32_t seed : seeds) {
        BsGossip_AddSeed(BsFleetAgent_Gossip(node->agent), seed, now_ms);
    }
    node->alive = true;
    node->stopping = false;
    node->next_tick_ms = now_ms + (int64_t)(random() % 20);
}

void
World::Run(int64_t ms, const std::function<void()> &on_tick)
{
    for (int64_t end = now_ms + ms; now_ms < end; now_ms++) {
        while (!wire.empty() && wire.begin()->first <= now_ms) {
            Datagram datagram = wire.begin()->second;
            wire.erase(wire.begin());
            Node *to = Find(datagram.to);
            if (to->alive) {
                to->received++;
                to->received_bytes += datagram.data.size();
                EXPECT_TRUE(BsFleetAgent_Receive(
                    to->agent, datagram.from, datagram.data.data(),
                    datagram.data.size(), now_ms));
            }
        }
        if (on_tick) {
            on_tick();
        }
        for (auto &node : nodes) {
            if (node->alive && node->next_tick_ms <= now_ms) {
                BsFleetAgent_Tick(node->agent, now_ms);
                TickStreams(node.get());
                node->next_tick_ms =
                    now_ms + BsFleetAgent_PauseMs(node->agent, now_ms);
            }
        }
    }
}

void
World::TickStreams(Node *node)
{
    if (versions.empty()) {
        return;
    }
    auto other = versions_of.find(node->data_centre);
    for (uint64_t version :
         other == versions_of.end() ? versions : other->second) {
        BsStreamVersions_NoteServing(node->stream_versions, version, now_ms);
    }
    BsStreamShare_Tick(node->agent, node->stream_versions,
                       node->list_current ? now_ms : INT64_MIN / 2,
                       node->questions, now_ms);
}

void
World::Change(Node *node, uint64_t upstream, int by)
{
    node->own[upstream] += by;
    node->used += 10;
    BsFleetAgent_SendReports(node->agent, true, now_ms);
    node->next_tick_ms =
        std::min(node->next_tick_ms,
                 now_ms + BsFleetAgent_PauseMs(node->agent, now_ms));
}

uint32_t
World::ActualLoad(uint64_t upstream, const Node *without)
{
    uint32_t sum = 0;
    for (auto &node : nodes) {
        auto found = node->own.find(upstream);
        if (node->alive && node.get() != without && found != node->own.end()) {
            sum += found->second;
        }
    }
    return sum;
}

uint32_t
World::ReportedLoad(const Node *node, uint64_t upstream)
{
    uint32_t sum = 0;
    for (const auto &peer : node->peers) {
        auto found = peer.second.find(upstream);
        sum += found == peer.second.end() ? 0 : found->second;
    }
    auto found = node->others.find((uint32_t)upstream);
    return sum + (found == node->others.end() ? 0 : found->second);
}

void
World::ResetTraffic()
{
    for (auto &node : nodes) {
        node->sent = node->sent_bytes = node->remote_bytes = 0;
        node->received = node->received_bytes = 0;
        node->stream_sent = node->stream_bytes = 0;
    }
}
