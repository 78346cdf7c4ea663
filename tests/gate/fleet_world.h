// A large fleet on a logical clock and a simulated network.
#ifndef FLEET_WORLD_H
#define FLEET_WORLD_H

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "fleetagent.h"
#include "streamshare.h"
}

constexpr int64_t kLocalDelayMs = 1;
constexpr int64_t kRemoteDelayMs = 12;
constexpr uint32_t kBaseAddress = 0x0a000000;
constexpr uint64_t kAccount = 77;

struct World;

// One instance: its own requests by upstream, and the state that it received
// from others.
struct Node {
    World *world = nullptr;
    uint32_t address = 0;
    uint32_t data_centre = 0;
    uint32_t weight = 88;
    BsFleetAgent *agent = nullptr;
    bool alive = true;
    bool stopping = false;
    int64_t next_tick_ms = 0;
    std::map<uint64_t, uint32_t> own;
    std::map<uint32_t, uint32_t> others; // by the lower 32 bits of the hash
    std::map<uint32_t, std::map<uint64_t, uint32_t>> peers;
    uint64_t used = 0;
    uint64_t others_used = 0;
    uint64_t last_used = 0;
    uint64_t last_incarnation = 0;
    uint64_t sent = 0;
    uint64_t sent_bytes = 0;
    uint64_t remote_bytes = 0;
    uint64_t received = 0;
    uint64_t received_bytes = 0;
    BsGossipReading reading = BS_GOSSIP_IDLE;
    uint64_t newest = 5;      // revision of the newest item that it holds
    int64_t answered_ms = -1; // last answer of the store; -1: none
    BsCrashList *crash_list = nullptr;
    BsCrashParts *crash_parts = nullptr;
    BsStreamVersions *stream_versions = nullptr;
    GArray *questions = nullptr; // about streams, to be sent
    bool list_current = true;    // the list of upstreams is
    uint64_t stream_sent = 0;    // datagrams about streams
    uint64_t stream_bytes = 0;
    BsTargets *targets = nullptr; // of a test that needs it
    // Of a test that needs them; their use and the loads of TARGETS then go
    // into the reports.
    BsQuotas *quotas = nullptr;
};

struct Datagram {
    uint32_t from;
    uint32_t to;
    std::string data;
};

struct World {
    explicit World(unsigned seed) : random(seed)
    {
    }
    ~World()
    {
        for (auto &node : nodes) {
            BsFleetAgent_Destroy(node->agent);
            BsCrashList_Destroy(node->crash_list);
            BsCrashParts_Destroy(node->crash_parts);
            BsStreamVersions_Destroy(node->stream_versions);
            if (node->questions != nullptr) {
                g_array_unref(node->questions);
            }
            BsTargets_Destroy(node->targets);
            BsQuotas_Destroy(node->quotas);
        }
    }
    Node *Find(uint32_t address)
    {
        auto found = by_address.find(address);
        return found == by_address.end() ? nullptr : found->second;
    }
    void Add(uint32_t data_centre, uint32_t weight);
    void Start(Node *node);
    // Advances the clock by MS in steps of 1 ms; calls ON_TICK in each.
    void Run(int64_t ms, const std::function<void()> &on_tick = nullptr);
    void Change(Node *node, uint64_t upstream, int by);
    uint32_t ActualLoad(uint64_t upstream, const Node *without);
    uint32_t ReportedLoad(const Node *node, uint64_t upstream);
    void ResetTraffic();
    void TickStreams(Node *node);

    int64_t now_ms = 0;
    uint64_t incarnation = 1;
    double loss = 0;
    std::mt19937 random;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<uint32_t, Node *> by_address;
    std::multimap<int64_t, Datagram> wire;
    std::set<uint32_t> disconnected; // instances that lose all datagrams
    std::set<uint32_t> isolated_data_centres; // no datagrams to or from others
    std::vector<uint32_t> seeds;
    std::vector<uint64_t> versions; // of listed upstreams; with none, no
                                    // streams are exchanged
    // The same in a data centre whose list of upstreams is another one.
    std::map<uint32_t, std::vector<uint64_t>> versions_of;
    int64_t stream_life_ms = 60000;
};

struct FleetSize {
    uint32_t data_centres;
    uint32_t per_data_centre;
};

class FleetTest : public testing::Test {
  protected:
    // Starts DATA_CENTRES with PER_DATA_CENTRE instances each, of which the
    // first three have a high weight.  Seeds are in the first, second and last
    // data centre.
    void Build(uint32_t data_centres, uint32_t per_data_centre)
    {
        for (uint32_t dc = 1; dc <= data_centres; dc++) {
            for (uint32_t i = 0; i < per_data_centre; i++) {
                world_.Add(dc, i < 3 ? 512 : 88);
            }
        }
        uint32_t last = (uint32_t)world_.nodes.size();
        world_.seeds = {kBaseAddress + 5, kBaseAddress + per_data_centre + 9,
                        kBaseAddress + last};
        for (auto &node : world_.nodes) {
            world_.Start(node.get());
        }
    }
    // Starts and ends requests across the fleet for MS, PER_S a second.
    void Load(int64_t ms, double per_s)
    {
        std::bernoulli_distribution starts(per_s / 1000);
        world_.Run(ms, [&] {
            for (double left = per_s / 1000; left > 0; left -= 1) {
                if (left >= 1 || starts(world_.random)) {
                    StartRequest();
                }
            }
            while (!ends_.empty() && ends_.begin()->first <= world_.now_ms) {
                auto end = ends_.begin()->second;
                ends_.erase(ends_.begin());
                if (end.first->alive && end.first->own[end.second] > 0) {
                    world_.Change(end.first, end.second, -1);
                }
            }
        });
    }
    void StartRequest()
    {
        Node *node = world_.nodes[world_.random() % world_.nodes.size()].get();
        if (!node->alive) {
            return;
        }
        uint64_t upstream = Upstream(world_.random() % kUpstreams);
        world_.Change(node, upstream, 1);
        ends_.insert({world_.now_ms + 100 + (int64_t)(world_.random() % 400),
                      {node, upstream}});
    }
    static uint64_t Upstream(uint64_t number)
    {
        return (number + 1) * 0x9e3779b97f4a7c15ULL;
    }
    // Expects every running instance to know the others' load exactly.
    void ExpectCountsCorrect(const char *what)
    {
        int wrong = 0;
        for (auto &node : world_.nodes) {
            for (uint64_t i = 0; node->alive && i < kUpstreams; i++) {
                wrong += world_.ReportedLoad(node.get(), Upstream(i)) !=
                         world_.ActualLoad(Upstream(i), node.get());
            }
        }
        EXPECT_EQ(wrong, 0) << what;
    }
    Node *HubOf(uint32_t data_centre)
    {
        for (auto &node : world_.nodes) {
            if (node->alive && node->data_centre == data_centre &&
                BsGossip_Hub(BsFleetAgent_Gossip(node->agent)) ==
                    node->address) {
                return node.get();
            }
        }
        return nullptr;
    }
    int HubCount()
    {
        std::set<uint32_t> hubs;
        for (auto &node : world_.nodes) {
            if (node->alive) {
                hubs.insert(BsGossip_Hub(BsFleetAgent_Gossip(node->agent)));
            }
        }
        return (int)hubs.size();
    }
    unsigned Reachable(Node *node)
    {
        return BsGossip_Reachable(BsFleetAgent_Gossip(node->agent),
                                  world_.now_ms);
    }

    static constexpr uint64_t kUpstreams = 60;
    World world_{1};
    std::multimap<int64_t, std::pair<Node *, uint64_t>> ends_;
};

#endif // FLEET_WORLD_H
