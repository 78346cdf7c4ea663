// Large fleets: choice of hubs, age and accuracy of the counts of the other
// instances, traffic, and recovery after failures of instances, data centres
// and links.
#include "fleet_world.h"

namespace {

TEST_F(FleetTest, OneHubPerDataCentreAfterTheStart)
{
    Build(3, 40);
    Load(4000, 500);
    EXPECT_EQ(HubCount(), 3);
    for (auto &node : world_.nodes) {
        EXPECT_EQ(Reachable(node.get()), 120U) << node->address;
        EXPECT_EQ(
            BsGossip_Share(BsFleetAgent_Gossip(node->agent), world_.now_ms),
            1.0);
    }
    for (uint32_t dc = 1; dc <= 3; dc++) {
        EXPECT_EQ(HubOf(dc)->weight, 512U);
    }
    world_.Run(2500);
    ExpectCountsCorrect("at rest");
}

TEST_F(FleetTest, CountsAreFreshAndCheapUnderLoad)
{
    Build(3, 40);
    Load(4000, 800);
    world_.ResetTraffic();
    int64_t error = 0;
    int64_t total = 0;
    for (int i = 0; i < 50; i++) {
        Load(100, 800);
        for (auto &node : world_.nodes) {
            for (uint64_t n = 0; n < kUpstreams; n++) {
                int64_t actual = world_.ActualLoad(Upstream(n), node.get());
                error += std::abs(actual - (int64_t)world_.ReportedLoad(
                                               node.get(), Upstream(n)));
                total += actual;
            }
        }
    }
    // A request lasts 300 ms on average: counts that are 30 ms old are off by
    // a tenth at its start and at its end.
    EXPECT_LT((double)error / (double)total, 0.2);
    uint64_t member_messages = 0;
    uint64_t member_bytes = 0;
    for (auto &node : world_.nodes) {
        if (node->weight < 512) {
            member_messages =
                std::max(member_messages, node->sent + node->received);
            member_bytes = std::max(member_bytes,
                                    node->sent_bytes + node->received_bytes);
        }
    }
    EXPECT_LT(member_messages / 5, 150U);
    EXPECT_LT(member_bytes / 5, 30U * 1024);
}

TEST_F(FleetTest, AnIdleFleetSendsFewMessages)
{
    Build(3, 40);
    world_.Run(5000);
    world_.ResetTraffic();
    world_.Run(5000);
    for (auto &node : world_.nodes) {
        if (node->weight < 512) {
            EXPECT_LT((node->sent + node->received) / 5, 25U) << node->address;
        }
    }
}

// Guards against overload of a narrow link between data centres: a data centre
// of 100 instances sends less than 2 MB/s to the others, whether or not that
// arrives.
class LinkTest : public FleetTest, public testing::WithParamInterface<bool> {};

TEST_P(LinkTest, LimitsTrafficBetweenDataCentres)
{
    Build(3, 100);
    Load(3000, 1000);
    world_.ResetTraffic();
    if (!GetParam()) {
        world_.isolated_data_centres = {1};
    }
    Load(4000, 1000);
    uint64_t remote_bytes = 0;
    for (auto &node : world_.nodes) {
        remote_bytes += node->data_centre == 1 ? node->remote_bytes : 0;
    }
    EXPECT_GT(remote_bytes, 0U);
    EXPECT_LT(remote_bytes / 4, 2U * 1000 * 1000);
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
            EXPECT_EQ(BsGossip_Hub(BsFleetAgent_Gossip(node->agent)),
                      next->address);
            EXPECT_TRUE(BsGossip_IsHubReachable(
                BsFleetAgent_Gossip(node->agent), world_.now_ms));
        }
    }
    world_.Run(2500);
    ExpectCountsCorrect("after the loss");
    // The restarted hub must not serve before it has received enough reports.
    world_.Start(hub);
    Load(6000, 500);
    world_.Run(2500);
    EXPECT_EQ(HubCount(), 3);
    ExpectCountsCorrect("after its return");
    EXPECT_EQ(Reachable(hub), 90U);
}

// Guards against lost totals in a planned stop: the next hub must serve before
// the old one stops, so that other data centres always have current totals.
TEST_F(FleetTest, AStoppingHubHandsOver)
{
    Build(3, 30);
    Load(4000, 500);
    Node *hub = HubOf(1);
    ASSERT_NE(hub, nullptr);
    hub->stopping = true;
    int64_t error = 0;
    int64_t total = 0;
    for (int i = 0; i < 60; i++) {
        Load(50, 500);
        const Node *observer = world_.nodes[40].get();
        for (uint64_t n = 0; n < kUpstreams; n++) {
            int64_t actual = world_.ActualLoad(Upstream(n), observer);
            error += std::abs(
                actual - (int64_t)world_.ReportedLoad(observer, Upstream(n)));
            total += actual;
        }
    }
    EXPECT_LT((double)error / (double)total, 0.25);
    ASSERT_NE(HubOf(1), nullptr);
    EXPECT_NE(HubOf(1), hub);
    EXPECT_EQ(HubCount(), 3);
    hub->alive = false;
    world_.Run(3000);
    ExpectCountsCorrect("after the stop");
}

TEST_F(FleetTest, BothHubsOfADataCentreAreLost)
{
    Build(3, 30);
    Load(4000, 500);
    for (int i = 0; i < 3; i++) {
        world_.nodes[(size_t)i]->alive = false; // all with high weight
    }
    Load(2000, 500);
    EXPECT_EQ(HubCount(), 3);
    world_.Run(3000);
    ExpectCountsCorrect("without the instances of high weight");
    EXPECT_EQ(Reachable(world_.nodes[10].get()), 87U);
}

// Guards against outdated totals: a hub that was suspended resumes with the
// counts from before.
TEST_F(FleetTest, AResumedHubCountsOnlyWithCurrentTotals)
{
    Build(3, 30);
    Load(4000, 500);
    Node *hub = HubOf(1);
    hub->alive = false; // suspended with its state
    Load(3000, 500);
    hub->alive = true;
    Load(3000, 500);
    world_.Run(3000);
    EXPECT_EQ(HubCount(), 3);
    ExpectCountsCorrect("after the suspension");
}

TEST_F(FleetTest, AnIsolatedDataCentreKeepsItsShareAndRecovers)
{
    Build(3, 30);
    Load(4000, 500);
    world_.isolated_data_centres = {2};
    Load(3000, 500);
    EXPECT_EQ(Reachable(HubOf(2)), 30U);
    EXPECT_EQ(Reachable(HubOf(1)), 60U);
    EXPECT_NEAR(BsGossip_Share(BsFleetAgent_Gossip(world_.nodes[5]->agent),
                               world_.now_ms),
                2.0 / 3, 0.01);
    world_.isolated_data_centres.clear();
    Load(3000, 500);
    world_.Run(3000);
    for (auto &node : world_.nodes) {
        EXPECT_EQ(Reachable(node.get()), 90U) << node->address;
    }
    ExpectCountsCorrect("after the isolation");
}

TEST_F(FleetTest, ADisconnectedInstanceUsesOnlyItsShare)
{
    Build(3, 30);
    Load(4000, 500);
    Node *node = world_.nodes[20].get();
    world_.disconnected = {node->address};
    Load(3000, 500);
    EXPECT_EQ(Reachable(node), 1U);
    EXPECT_LT(BsGossip_Share(BsFleetAgent_Gossip(node->agent), world_.now_ms),
              0.02);
    EXPECT_EQ(Reachable(world_.nodes[21].get()), 89U);
    world_.disconnected.clear();
    Load(3000, 500);
    EXPECT_EQ(Reachable(node), 90U);
}

TEST_F(FleetTest, AFleetRecoversAfterAllInstancesRestart)
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
    EXPECT_EQ(HubCount(), 3);
    for (auto &node : world_.nodes) {
        EXPECT_EQ(Reachable(node.get()), 120U) << node->address;
    }
    ExpectCountsCorrect("after the restart of all");
}

// All seeds may be down: the members that still know an instance must find it
// after its restart.
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
    EXPECT_EQ(Reachable(node), 87U);
    EXPECT_NE(BsGossip_Hub(BsFleetAgent_Gossip(node->agent)), node->address);
}

TEST_F(FleetTest, CountsRecoverFromLostDatagrams)
{
    Build(3, 30);
    world_.loss = 0.1;
    Load(8000, 500);
    world_.loss = 0;
    world_.Run(3000);
    EXPECT_EQ(HubCount(), 3);
    ExpectCountsCorrect("after losses");
}

// Guards against account use that is lost or counted twice: each instance must
// see the increase of the whole fleet.
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
        EXPECT_EQ(BsGossip_Hub(BsFleetAgent_Gossip(node->agent)), 0U);
        EXPECT_EQ(Reachable(node.get()), 21U);
    }
    world_.Run(1000);
    ExpectCountsCorrect("small fleet");
}

// Guards against a crash-inducing request that some instances still send: all
// must refuse it within target_ms of its third crash.
class CrashingRequest : public FleetTest,
                        public testing::WithParamInterface<FleetSize> {};

TEST_P(CrashingRequest, IsStoppedEverywhereInTime)
{
    const int64_t target_ms = 4000; // the limit stable-window-ms
    const uint64_t content = 7;
    Build(GetParam().data_centres, GetParam().per_data_centre);
    Load(3000, 2.0 * (double)world_.nodes.size());
    world_.loss = 0.05;
    size_t step = world_.nodes.size() / BS_CRASHES_TO_BLOCK;
    for (uint32_t i = 0; i < BS_CRASHES_TO_BLOCK; i++) {
        Node *node = world_.nodes[i * step].get();
        BsCrashList_NoteCrash(node->crash_list, content, i, world_.now_ms,
                              world_.now_ms);
        world_.Change(node, i, 0);
    }
    auto missing = [&] {
        return std::count_if(world_.nodes.begin(), world_.nodes.end(),
                             [&](const auto &node) {
                                 return !BsCrashList_IsBlocked(
                                     node->crash_list, content, world_.now_ms);
                             });
    };
    int64_t began_ms = world_.now_ms;
    while (missing() > 0 && world_.now_ms - began_ms < target_ms) {
        world_.Run(10);
    }
    EXPECT_EQ(missing(), 0);
    RecordProperty("stopped_after_ms", (int)(world_.now_ms - began_ms));
    world_.Run(target_ms); // until it is no longer sent as a change
    for (uint32_t i = 0; i < BS_CRASHES_TO_BLOCK; i++) {
        world_.nodes[i * step]->alive = false;
    }
    Node *started = world_.nodes[1].get();
    world_.Start(started);
    world_.Run(target_ms);
    EXPECT_TRUE(
        BsCrashList_IsBlocked(started->crash_list, content, world_.now_ms));
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashingRequest,
                         testing::Values(FleetSize{3, 2}, FleetSize{3, 7},
                                         FleetSize{6, 15}, FleetSize{6, 49}),
                         [](const auto &info) {
                             return "InstancesIn" +
                                    std::to_string(info.param.data_centres) +
                                    "Times" +
                                    std::to_string(info.param.per_data_centre);
                         });

} // namespace
