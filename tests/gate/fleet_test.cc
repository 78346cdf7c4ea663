// Large fleets on a logical clock and a simulated network: who serves as a
// hub, how old and how true the counts of the others are, what it costs, and
// what becomes of it when instances, data centres and links fail.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "fleetpart.h"
#include "fleetview.h"
}

namespace {

constexpr int64_t kNearMs = 1;
constexpr int64_t kFarMs = 12;
constexpr uint32_t kPort = 0x0a000000;
constexpr uint64_t kAccount = 77;

struct World;

// One instance: its own requests by upstream, and what it hears of others.
struct Node {
    World *world = nullptr;
    uint32_t address = 0;
    uint32_t data_centre = 0;
    uint32_t weight = 88;
    BsFleetPart *fleet = nullptr;
    bool alive = true;
    bool stopping = false;
    int64_t next_tick_ms = 0;
    std::map<uint64_t, uint32_t> own;
    std::map<uint32_t, uint32_t> others; // by the lower half of the hash
    std::map<uint32_t, std::map<uint64_t, uint32_t>> peers;
    uint64_t used = 0;
    uint64_t others_used = 0;
    uint64_t told_used = 0;
    uint64_t told_incarnation = 0;
    uint64_t sent = 0;
    uint64_t sent_bytes = 0;
    uint64_t far_bytes = 0;
    uint64_t got = 0;
    uint64_t got_bytes = 0;
    BsCrashers *crashers = nullptr;
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
            BsFleetPart_Destroy(node->fleet);
            BsCrashers_Destroy(node->crashers);
        }
    }
    Node *Find(uint32_t address)
    {
        auto found = by_address.find(address);
        return found == by_address.end() ? nullptr : found->second;
    }
    void Add(uint32_t data_centre, uint32_t weight);
    void Start(Node *node);
    // Lets time pass, a millisecond at a time.
    void Run(int64_t ms, const std::function<void()> &each = nullptr);
    void Change(Node *node, uint64_t upstream, int by);
    uint32_t Truth(uint64_t upstream, const Node *without);
    uint32_t Seen(const Node *node, uint64_t upstream);
    void ResetCosts();

    int64_t now_ms = 0;
    uint64_t incarnation = 1;
    double loss = 0;
    std::mt19937 random;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<uint32_t, Node *> by_address;
    std::multimap<int64_t, Datagram> wire;
    std::set<uint32_t> cut;              // instances without a network
    std::set<uint32_t> cut_data_centres; // that hear only themselves
    std::vector<uint32_t> seeds;
};

void
Fill(BsGossipReport *report, bool work, int64_t, void *context)
{
    Node *node = static_cast<Node *>(context);
    report->revision = 5;
    report->newest = 5;
    report->stopping = node->stopping;
    if (!work) {
        return;
    }
    for (const auto &load : node->own) {
        if (load.second > 0) {
            BsTargetLoad told = {load.first, load.second, 0};
            g_array_append_val(report->loads, told);
        }
    }
    BsQuotaUse use = {kAccount, node->used};
    g_array_append_val(report->uses, use);
}

void
FillCrashers(GArray *crashers, int64_t now_ms, void *context)
{
    BsCrashers_Append(static_cast<Node *>(context)->crashers, now_ms,
                      crashers);
}

void
OnCrashers(const GArray *crashers, int64_t now_ms, void *context)
{
    BsCrashers_Merge(static_cast<Node *>(context)->crashers, crashers, now_ms);
}

void
Send(uint32_t address, const char *data, size_t size_bytes, void *context)
{
    Node *node = static_cast<Node *>(context);
    World *world = node->world;
    Node *to = world->Find(address);
    node->sent++;
    node->sent_bytes += size_bytes;
    if (to == nullptr) {
        return;
    }
    bool far = to->data_centre != node->data_centre;
    node->far_bytes += far ? size_bytes : 0;
    std::uniform_real_distribution<double> chance(0, 1);
    bool is_cut =
        world->cut.count(address) + world->cut.count(node->address) > 0 ||
        (far && world->cut_data_centres.count(to->data_centre) +
                        world->cut_data_centres.count(node->data_centre) >
                    0);
    if (is_cut || chance(world->random) < world->loss) {
        return;
    }
    world->wire.insert(
        {world->now_ms + (far ? kFarMs : kNearMs),
         {node->address, address, std::string(data, size_bytes)}});
}

void
OnPeer(uint32_t address, const BsGossipReport *report, int64_t, void *context)
{
    Node *node = static_cast<Node *>(context);
    auto &told = node->peers[address];
    told.clear();
    for (guint i = 0; i < report->loads->len; i++) {
        const BsTargetLoad &load =
            g_array_index(report->loads, BsTargetLoad, i);
        told[load.hash] = load.in_flight;
    }
}

void
OnSilent(const BsGossipMember *member, void *context)
{
    static_cast<Node *>(context)->peers.erase(member->address);
}

void
OnHubsUsed(void *context)
{
    static_cast<Node *>(context)->peers.clear();
}

void
OnNews(const BsFleetNews *news, int64_t, void *context)
{
    Node *node = static_cast<Node *>(context);
    for (guint i = 0; i < news->loads->len; i++) {
        const BsTargetLoad &load = g_array_index(news->loads, BsTargetLoad, i);
        node->others[(uint32_t)load.hash] = load.in_flight;
    }
    for (guint i = 0; i < news->uses->len; i++) {
        uint64_t used = g_array_index(news->uses, BsQuotaUse, i).used;
        if (node->told_incarnation == news->incarnation &&
            used > node->told_used) {
            node->others_used += used - node->told_used;
        }
        node->told_used = used;
        node->told_incarnation = news->incarnation;
    }
}

void
OnNewest(uint64_t, int64_t, void *)
{
}

void
OnHub(uint32_t a, void *c)
{
    Node *n = static_cast<Node *>(c);
    if (getenv("FLEET_DEBUG"))
        printf("HUB %ld %u -> %u\n", n->world->now_ms, n->address - kPort,
               a - kPort);
}

const BsFleetEvents kEvents = {Fill,     FillCrashers, OnCrashers, Send,
                               OnPeer,   OnSilent,     OnHubsUsed, OnNews,
                               OnNewest, OnHub};

void
World::Add(uint32_t data_centre, uint32_t weight)
{
    auto node = std::make_unique<Node>();
    node->world = this;
    node->address = kPort + 1 + (uint32_t)nodes.size();
    node->data_centre = data_centre;
    node->weight = weight;
    by_address[node->address] = node.get();
    nodes.push_back(std::move(node));
}

void
World::Start(Node *node)
{
    BsFleetPart_Destroy(node->fleet);
    BsCrashers_Destroy(node->crashers);
    node->crashers = BsCrashers_Create();
    node->own.clear();
    node->others.clear();
    node->peers.clear();
    node->used = 0;
    node->others_used = 0;
    node->told_incarnation = 0;
    node->fleet =
        BsFleetPart_Create(node->address, node->data_centre, node->weight,
                           1000 + (uint64_t)now_ms + incarnation++,
                           (uint32_t)random(), &kEvents, node, now_ms);
    for (uint32_t seed : seeds) {
        BsGossip_AddSeed(BsFleetPart_Gossip(node->fleet), seed, now_ms);
    }
    node->alive = true;
    node->stopping = false;
    node->next_tick_ms = now_ms + (int64_t)(random() % 20);
}

void
World::Run(int64_t ms, const std::function<void()> &each)
{
    for (int64_t end = now_ms + ms; now_ms < end; now_ms++) {
        while (!wire.empty() && wire.begin()->first <= now_ms) {
            Datagram datagram = wire.begin()->second;
            wire.erase(wire.begin());
            Node *to = Find(datagram.to);
            if (to->alive) {
                to->got++;
                to->got_bytes += datagram.data.size();
                EXPECT_TRUE(BsFleetPart_Receive(to->fleet, datagram.from,
                                                datagram.data.data(),
                                                datagram.data.size(), now_ms));
            }
        }
        if (each) {
            each();
        }
        for (auto &node : nodes) {
            if (node->alive && node->next_tick_ms <= now_ms) {
                BsFleetPart_Tick(node->fleet, now_ms);
                node->next_tick_ms =
                    now_ms + BsFleetPart_PauseMs(node->fleet, now_ms);
            }
        }
    }
}

void
World::Change(Node *node, uint64_t upstream, int by)
{
    node->own[upstream] += by;
    node->used += 10;
    BsFleetPart_Tell(node->fleet, true, now_ms);
    node->next_tick_ms = std::min(
        node->next_tick_ms, now_ms + BsFleetPart_PauseMs(node->fleet, now_ms));
}

uint32_t
World::Truth(uint64_t upstream, const Node *without)
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
World::Seen(const Node *node, uint64_t upstream)
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
World::ResetCosts()
{
    for (auto &node : nodes) {
        node->sent = node->sent_bytes = node->far_bytes = 0;
        node->got = node->got_bytes = 0;
    }
}

struct FleetSize {
    uint32_t data_centres;
    uint32_t each;
};

class FleetTest : public testing::Test {
  protected:
    // DATA_CENTRES of EACH instances, the first three of them heavy, and seeds
    // in the first, second and last one.
    void Build(uint32_t data_centres, uint32_t each)
    {
        for (uint32_t dc = 1; dc <= data_centres; dc++) {
            for (uint32_t i = 0; i < each; i++) {
                world_.Add(dc, i < 3 ? 512 : 88);
            }
        }
        uint32_t last = (uint32_t)world_.nodes.size();
        world_.seeds = {kPort + 5, kPort + each + 9, kPort + last};
        for (auto &node : world_.nodes) {
            world_.Start(node.get());
        }
    }
    // Requests come and go for MS at PER_S a second over the fleet.
    void Load(int64_t ms, double per_s)
    {
        std::bernoulli_distribution begins(per_s / 1000);
        world_.Run(ms, [&] {
            for (double left = per_s / 1000; left > 0; left -= 1) {
                if (left >= 1 || begins(world_.random)) {
                    Begin();
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
    void Begin()
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
    // Every living instance that may hear the others knows their requests.
    void ExpectTruth(const char *what)
    {
        int wrong = 0;
        for (auto &node : world_.nodes) {
            for (uint64_t i = 0; node->alive && i < kUpstreams; i++) {
                wrong += world_.Seen(node.get(), Upstream(i)) !=
                         world_.Truth(Upstream(i), node.get());
            }
        }
        EXPECT_EQ(wrong, 0) << what;
    }
    Node *HubOf(uint32_t data_centre)
    {
        for (auto &node : world_.nodes) {
            if (node->alive && node->data_centre == data_centre &&
                BsGossip_Hub(BsFleetPart_Gossip(node->fleet)) ==
                    node->address) {
                return node.get();
            }
        }
        return nullptr;
    }
    int Hubs()
    {
        std::set<uint32_t> hubs;
        for (auto &node : world_.nodes) {
            if (node->alive) {
                hubs.insert(BsGossip_Hub(BsFleetPart_Gossip(node->fleet)));
            }
        }
        return (int)hubs.size();
    }
    unsigned Heard(Node *node)
    {
        return BsGossip_Heard(BsFleetPart_Gossip(node->fleet), world_.now_ms);
    }

    static constexpr uint64_t kUpstreams = 60;
    World world_{1};
    std::multimap<int64_t, std::pair<Node *, uint64_t>> ends_;
};

TEST_F(FleetTest, AStartedFleetFindsOneHubADataCentre)
{
    Build(3, 40);
    Load(4000, 500);
    EXPECT_EQ(Hubs(), 3);
    for (auto &node : world_.nodes) {
        EXPECT_EQ(Heard(node.get()), 120U) << node->address;
        EXPECT_EQ(
            BsGossip_Share(BsFleetPart_Gossip(node->fleet), world_.now_ms),
            1.0);
    }
    for (uint32_t dc = 1; dc <= 3; dc++) {
        EXPECT_EQ(HubOf(dc)->weight, 512U);
    }
    world_.Run(2500);
    ExpectTruth("at rest");
}

TEST_F(FleetTest, CountsAreFreshAndCheapUnderLoad)
{
    Build(3, 40);
    Load(4000, 800);
    world_.ResetCosts();
    int64_t off = 0;
    int64_t looks = 0;
    for (int i = 0; i < 50; i++) {
        Load(100, 800);
        for (auto &node : world_.nodes) {
            for (uint64_t n = 0; n < kUpstreams; n++) {
                int64_t truth = world_.Truth(Upstream(n), node.get());
                off += std::abs(truth -
                                (int64_t)world_.Seen(node.get(), Upstream(n)));
                looks += truth;
            }
        }
    }
    // A request lasts 300 ms: counts of 30 ms are a tenth off at each end.
    EXPECT_LT((double)off / (double)looks, 0.2);
    uint64_t member_messages = 0;
    uint64_t member_bytes = 0;
    for (auto &node : world_.nodes) {
        if (node->weight < 512) {
            member_messages =
                std::max(member_messages, node->sent + node->got);
            member_bytes =
                std::max(member_bytes, node->sent_bytes + node->got_bytes);
        }
    }
    EXPECT_LT(member_messages / 5, 150U);
    EXPECT_LT(member_bytes / 5, 30U * 1024);
}

TEST_F(FleetTest, AnIdleFleetSaysLittle)
{
    Build(3, 40);
    world_.Run(5000);
    world_.ResetCosts();
    world_.Run(5000);
    for (auto &node : world_.nodes) {
        if (node->weight < 512) {
            EXPECT_LT((node->sent + node->got) / 5, 25U) << node->address;
        }
    }
}

// A narrow link between regions: what a data centre of a hundred instances
// sends to the others stays under 2 MB/s, heard or not.
class LinkTest : public FleetTest, public testing::WithParamInterface<bool> {};

TEST_P(LinkTest, LeavesLinksBetweenRegionsFree)
{
    Build(3, 100);
    Load(3000, 1000);
    world_.ResetCosts();
    if (!GetParam()) {
        world_.cut_data_centres = {1};
    }
    Load(4000, 1000);
    uint64_t far_bytes = 0;
    for (auto &node : world_.nodes) {
        far_bytes += node->data_centre == 1 ? node->far_bytes : 0;
    }
    EXPECT_GT(far_bytes, 0U);
    EXPECT_LT(far_bytes / 4, 2U * 1000 * 1000);
}

INSTANTIATE_TEST_SUITE_P(Link, LinkTest, testing::Bool(),
                         [](const auto &info) {
                             return std::string(info.param ? "Works"
                                                           : "LosesAll");
                         });

TEST_F(FleetTest, ALostHubIsReplacedWithinASecond)
{
    Build(3, 30);
    Load(4000, 500);
    Node *hub = HubOf(1);
    ASSERT_NE(hub, nullptr);
    hub->alive = false;
    Load(1000, 500);
    Node *next = HubOf(1);
    ASSERT_NE(next, nullptr);
    for (auto &node : world_.nodes) {
        if (node->alive && node->data_centre == 1) {
            EXPECT_EQ(BsGossip_Hub(BsFleetPart_Gossip(node->fleet)),
                      next->address);
            EXPECT_TRUE(BsGossip_HearsHub(BsFleetPart_Gossip(node->fleet),
                                          world_.now_ms));
        }
    }
    world_.Run(2500);
    ExpectTruth("after the loss");
    // It is back, and does not serve before it knows enough.
    world_.Start(hub);
    Load(6000, 500);
    world_.Run(2500);
    EXPECT_EQ(Hubs(), 3);
    ExpectTruth("after its return");
    EXPECT_EQ(Heard(hub), 90U);
}

// A planned stop: the next hub serves before the old one ends, and the other
// data centres never lose the sums.
TEST_F(FleetTest, AStoppingHubHandsOver)
{
    Build(3, 30);
    Load(4000, 500);
    Node *hub = HubOf(1);
    ASSERT_NE(hub, nullptr);
    hub->stopping = true;
    int64_t off = 0;
    int64_t looks = 0;
    for (int i = 0; i < 60; i++) {
        Load(50, 500);
        const Node *far = world_.nodes[40].get();
        for (uint64_t n = 0; n < kUpstreams; n++) {
            int64_t truth = world_.Truth(Upstream(n), far);
            off += std::abs(truth - (int64_t)world_.Seen(far, Upstream(n)));
            looks += truth;
        }
    }
    EXPECT_LT((double)off / (double)looks, 0.25);
    ASSERT_NE(HubOf(1), nullptr);
    EXPECT_NE(HubOf(1), hub);
    EXPECT_EQ(Hubs(), 3);
    hub->alive = false;
    world_.Run(3000);
    ExpectTruth("after the stop");
}

TEST_F(FleetTest, BothHubsOfADataCentreAreLost)
{
    Build(3, 30);
    Load(4000, 500);
    for (int i = 0; i < 3; i++) {
        world_.nodes[(size_t)i]->alive = false; // all that are heavy
    }
    Load(2000, 500);
    EXPECT_EQ(Hubs(), 3);
    world_.Run(3000);
    ExpectTruth("without the heavy ones");
    EXPECT_EQ(Heard(world_.nodes[10].get()), 87U);
}

// What a frozen instance believed is stale when it wakes.
TEST_F(FleetTest, AFrozenHubThatWakesIsHeardOnlyWithFreshSums)
{
    Build(3, 30);
    Load(4000, 500);
    Node *hub = HubOf(1);
    hub->alive = false; // its state stays
    Load(3000, 500);
    hub->alive = true;
    Load(3000, 500);
    world_.Run(3000);
    EXPECT_EQ(Hubs(), 3);
    ExpectTruth("after the freeze");
}

TEST_F(FleetTest, ACutDataCentreCountsItselfAndComesBack)
{
    Build(3, 30);
    Load(4000, 500);
    world_.cut_data_centres = {2};
    Load(3000, 500);
    EXPECT_EQ(Heard(HubOf(2)), 30U);
    EXPECT_EQ(Heard(HubOf(1)), 60U);
    EXPECT_NEAR(BsGossip_Share(BsFleetPart_Gossip(world_.nodes[5]->fleet),
                               world_.now_ms),
                2.0 / 3, 0.01);
    world_.cut_data_centres.clear();
    Load(3000, 500);
    world_.Run(3000);
    for (auto &node : world_.nodes) {
        EXPECT_EQ(Heard(node.get()), 90U) << node->address;
    }
    ExpectTruth("after the cut");
}

TEST_F(FleetTest, ACutInstanceUsesItsShareAlone)
{
    Build(3, 30);
    Load(4000, 500);
    Node *node = world_.nodes[20].get();
    world_.cut = {node->address};
    Load(3000, 500);
    EXPECT_EQ(Heard(node), 1U);
    EXPECT_LT(BsGossip_Share(BsFleetPart_Gossip(node->fleet), world_.now_ms),
              0.02);
    EXPECT_EQ(Heard(world_.nodes[21].get()), 89U);
    world_.cut.clear();
    Load(3000, 500);
    EXPECT_EQ(Heard(node), 90U);
}

TEST_F(FleetTest, AWholeFleetThatWasLostFindsItselfAgain)
{
    Build(3, 40);
    Load(4000, 500);
    for (auto &node : world_.nodes) {
        node->alive = false;
    }
    ends_.clear();
    world_.Run(1500);
    for (auto &node : world_.nodes) {
        world_.Start(node.get());
    }
    Load(4000, 500);
    world_.Run(2500);
    EXPECT_EQ(Hubs(), 3);
    for (auto &node : world_.nodes) {
        EXPECT_EQ(Heard(node.get()), 120U) << node->address;
    }
    ExpectTruth("after the loss of all");
}

// Seeds may be down for long: who was known before is found without them.
TEST_F(FleetTest, ARestartedInstanceIsFoundWithoutSeeds)
{
    Build(3, 30);
    Load(4000, 500);
    for (uint32_t seed : world_.seeds) {
        world_.Find(seed)->alive = false;
    }
    world_.Run(2000);
    Node *node = world_.nodes[20].get();
    node->alive = false;
    world_.Run(2000);
    world_.Start(node);
    world_.Run(4000);
    EXPECT_EQ(Heard(node), 87U);
    EXPECT_NE(BsGossip_Hub(BsFleetPart_Gossip(node->fleet)), node->address);
}

TEST_F(FleetTest, LostDatagramsAreMended)
{
    Build(3, 30);
    world_.loss = 0.1;
    Load(8000, 500);
    world_.loss = 0;
    world_.Run(3000);
    EXPECT_EQ(Hubs(), 3);
    ExpectTruth("after losses");
}

// The growth of what an account used is known to all, once each.
TEST_F(FleetTest, UseOfAnAccountIsSummedOnce)
{
    Build(3, 30);
    Load(4000, 300);
    world_.Run(1000);
    std::map<Node *, uint64_t> before;
    uint64_t used_before = 0;
    for (auto &node : world_.nodes) {
        before[node.get()] = node->others_used + node->used;
        used_before += node->used;
    }
    Load(5000, 300);
    world_.Run(2500);
    uint64_t used = 0;
    for (auto &node : world_.nodes) {
        used += node->used;
    }
    for (auto &node : world_.nodes) {
        double grown =
            (double)(node->others_used + node->used - before[node.get()]);
        EXPECT_NEAR(grown, (double)(used - used_before),
                    0.02 * (double)(used - used_before))
            << node->address;
    }
}

TEST_F(FleetTest, ASmallFleetNeedsNoHub)
{
    Build(3, 7);
    Load(4000, 200);
    for (auto &node : world_.nodes) {
        EXPECT_EQ(BsGossip_Hub(BsFleetPart_Gossip(node->fleet)), 0U);
        EXPECT_EQ(Heard(node.get()), 21U);
    }
    world_.Run(1000);
    ExpectTruth("small");
}

// A hub took our newest report, but its summary is of uses or members only:
// the sums that we hold do not contain that report.
TEST(FleetView, OwnPartIsTakenOffSumsThatContainIt)
{
    BsFleetView *view = BsFleetView_Create();
    BsGossipReport report;
    BsSummary summary;
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    BsGossipReport_Init(&report);
    BsSummary_Init(&summary);
    BsTargetLoad own = {9, 1, 0};
    BsTargetLoad total = {9, 3, 0};
    report.sequence = 1;
    g_array_append_val(report.loads, own);
    BsFleetView_NoteOwn(view, &report);
    g_array_append_val(summary.loads, total);
    BsFleetView_Take(view, &summary, 1, 0, loads, uses);
    ASSERT_GT(loads->len, 0U);
    EXPECT_EQ(g_array_index(loads, BsTargetLoad, loads->len - 1).in_flight,
              2U);
    report.sequence = 2;
    g_array_index(report.loads, BsTargetLoad, 0).in_flight = 3;
    BsFleetView_NoteOwn(view, &report);
    g_array_set_size(summary.loads, 0);
    g_array_set_size(loads, 0);
    BsFleetView_Take(view, &summary, 2, 10, loads, uses);
    EXPECT_EQ(loads->len, 0U);
    BsGossipReport_Clear(&report);
    BsSummary_Clear(&summary);
    g_array_unref(loads);
    g_array_unref(uses);
    BsFleetView_Destroy(view);
}

// A datagram that was overtaken says nothing new.
TEST(Summary, AnOvertakenOneIsPassedOver)
{
    BsGossip *gossip = BsGossip_Create(1, 7, 1, 0);
    BsSummary summary;
    BsSummary_Init(&summary);
    summary.incarnation = 5;
    summary.data_centre = 7;
    summary.weight = 100;
    summary.known = 100;
    summary.sequence = 10;
    BsGossip_TakeSummary(gossip, 2, &summary, 10);
    BsGossip_ChooseHub(gossip, 10);
    EXPECT_EQ(BsGossip_Hub(gossip), 2U);
    EXPECT_TRUE(BsGossip_TakeSummary(gossip, 2, &summary, 20));
    summary.sequence = 9;
    EXPECT_FALSE(BsGossip_TakeSummary(gossip, 2, &summary, 30));
    summary.incarnation = 6;
    summary.sequence = 1;
    EXPECT_TRUE(BsGossip_TakeSummary(gossip, 2, &summary, 40));
    BsSummary_Clear(&summary);
    BsGossip_Destroy(gossip);
}

TEST(Summary, SurvivesTheWire)
{
    BsSummary sent;
    BsSummary got;
    GString *data = g_string_new(nullptr);
    BsSummary_Init(&sent);
    BsSummary_Init(&got);
    sent.incarnation = UINT64_MAX;
    sent.sequence = 7;
    sent.data_centre = 0xfeedbeef;
    sent.weight = 512;
    sent.age_ms = 30;
    sent.far = true;
    sent.stopping = true;
    sent.reading = BS_GOSSIP_READS;
    sent.revision = 1ULL << 40;
    sent.newest = 3;
    sent.store_failed_ms = 0;
    sent.heard = 49;
    sent.known = 50;
    BsTargetLoad load = {0xffffffff, 5, 6};
    BsQuotaUse use = {UINT64_MAX, 9};
    BsCrasher crasher = {UINT64_MAX, 2, 9, 1, {UINT32_MAX}};
    BsGossipNamed named = {};
    named.stopping = true;
    g_array_append_val(sent.loads, load);
    g_array_append_val(sent.uses, use);
    g_array_append_val(sent.crashers, crasher);
    g_array_append_val(sent.members, named);
    BsSummary_Encode(&sent, data);
    ASSERT_TRUE(BsSummary_Decode(data->str, data->len, &got));
    EXPECT_EQ(got.incarnation, sent.incarnation);
    EXPECT_EQ(got.sequence, 7U);
    EXPECT_EQ(got.data_centre, sent.data_centre);
    EXPECT_EQ(got.weight, 512U);
    EXPECT_EQ(got.age_ms, 30U);
    EXPECT_TRUE(got.far);
    EXPECT_TRUE(got.stopping);
    EXPECT_EQ(got.reading, BS_GOSSIP_READS);
    EXPECT_EQ(got.revision, sent.revision);
    EXPECT_EQ(got.newest, 3U);
    EXPECT_EQ(got.store_failed_ms, 0);
    EXPECT_EQ(got.heard, 49U);
    EXPECT_EQ(got.known, 50U);
    EXPECT_EQ(g_array_index(got.loads, BsTargetLoad, 0).cold_sent, 6U);
    EXPECT_EQ(g_array_index(got.uses, BsQuotaUse, 0).used, 9U);
    const BsCrasher &told = g_array_index(got.crashers, BsCrasher, 0);
    EXPECT_EQ(told.content, UINT64_MAX);
    EXPECT_EQ(told.generation, 2U);
    EXPECT_EQ(told.age_ms, 9U);
    ASSERT_EQ(told.breaks, 1U);
    EXPECT_EQ(told.upstreams[0], UINT32_MAX);
    EXPECT_TRUE(g_array_index(got.members, BsGossipNamed, 0).stopping);
    for (size_t size = 0; size < data->len; size++) {
        BsSummary cut;
        BsSummary_Init(&cut);
        EXPECT_FALSE(BsSummary_Decode(data->str, size, &cut)) << size;
        BsSummary_Clear(&cut);
    }
    BsSummary_Clear(&sent);
    BsSummary_Clear(&got);
    g_string_free(data, TRUE);
}

// Guards against a crashing request that is sent on in a part of the fleet:
// how long after its third crash is it stopped everywhere?
class CrashingRequest : public FleetTest,
                        public testing::WithParamInterface<FleetSize> {};

TEST_P(CrashingRequest, IsStoppedEverywhereInTime)
{
    const int64_t target_ms = 4000; // stable-window-ms of the rule
    const uint64_t content = 7;
    Build(GetParam().data_centres, GetParam().each);
    Load(3000, 2.0 * (double)world_.nodes.size());
    world_.loss = 0.05;
    size_t step = world_.nodes.size() / BS_CRASHER_BREAKS_MAX;
    for (uint32_t i = 0; i < BS_CRASHER_BREAKS_MAX; i++) {
        Node *node = world_.nodes[i * step].get();
        BsCrashers_NoteBreak(node->crashers, content, i, world_.now_ms,
                             world_.now_ms);
        world_.Change(node, i, 0);
    }
    auto missing = [&] {
        return std::count_if(world_.nodes.begin(), world_.nodes.end(),
                             [&](const auto &node) {
                                 return !BsCrashers_IsStopped(
                                     node->crashers, content, world_.now_ms);
                             });
    };
    int64_t began_ms = world_.now_ms;
    while (missing() > 0 && world_.now_ms - began_ms < target_ms) {
        world_.Run(10);
    }
    EXPECT_EQ(missing(), 0);
    RecordProperty("stopped_after_ms", (int)(world_.now_ms - began_ms));
    world_.Run(target_ms); // no longer news
    for (uint32_t i = 0; i < BS_CRASHER_BREAKS_MAX; i++) {
        world_.nodes[i * step]->alive = false;
    }
    Node *started = world_.nodes[1].get();
    world_.Start(started);
    world_.Run(target_ms);
    EXPECT_TRUE(
        BsCrashers_IsStopped(started->crashers, content, world_.now_ms));
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashingRequest,
                         testing::Values(FleetSize{3, 2}, FleetSize{3, 7},
                                         FleetSize{6, 15}, FleetSize{6, 49}),
                         [](const auto &info) {
                             return "InstancesIn" +
                                    std::to_string(info.param.data_centres) +
                                    "Times" + std::to_string(info.param.each);
                         });

TEST(Summary, StaysWithinADatagram)
{
    BsSummary summary;
    GString *data = g_string_new(nullptr);
    BsSummary_Init(&summary);
    for (uint64_t i = 0; i < 2000; i++) {
        BsTargetLoad load = {UINT32_MAX - i, UINT32_MAX, UINT32_MAX};
        BsQuotaUse use = {UINT64_MAX - i, UINT64_MAX};
        g_array_append_val(summary.loads, load);
        g_array_append_val(summary.uses, use);
    }
    BsSummary_Encode(&summary, data);
    EXPECT_LE(data->len, (size_t)BS_GOSSIP_MAX_BYTES);
    BsSummary_Clear(&summary);
    g_string_free(data, TRUE);
}

} // namespace
