// Many instances choose upstreams at the same moment by the same sums of a
// hub, as in a burst on a large fleet; runs without a network.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "targets.h"
}

namespace {

class HerdTest : public testing::Test {
  protected:
    static constexpr unsigned kInstances = 49;
    static constexpr unsigned kUpstreams = 40;
    static constexpr uint32_t kSlots = 4;

    HerdTest()
    {
        service_.name = g_strdup("desk");
        service_.engine = true;
        route_ = BsCatalogRoute_Create();
        for (unsigned i = 0; i < kInstances; i++) {
            instances_.push_back(BsTargets_Create("n1", "north"));
            GArray *senders = g_array_new(FALSE, FALSE, sizeof(BsRateSender));
            BsTargets_SetSenders(instances_.back(), 100 + i, senders);
            g_array_unref(senders);
            for (unsigned n = 0; n < kUpstreams; n++) {
                AddUpstream(instances_.back(), n);
            }
        }
    }
    ~HerdTest() override
    {
        for (BsTargets *instance : instances_) {
            BsTargets_Destroy(instance);
        }
        BsCatalogRoute_Destroy(route_);
        g_free(service_.name);
    }
    static std::string Id(unsigned number)
    {
        return "e" + std::to_string(number);
    }
    static void AddUpstream(BsTargets *targets, unsigned number)
    {
        std::string id = Id(number);
        BsTargetEntry entry = {};
        entry.id = id.c_str();
        entry.service = "desk";
        entry.data_centre = "n1";
        entry.region = "north";
        entry.slots = kSlots;
        BsTargets_Put(targets, &entry, 0);
    }
    // The hub reports to all that upstream NUMBER has IN_FLIGHT requests.
    void ReportLoad(unsigned number, uint32_t in_flight)
    {
        GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
        BsTargetLoad load = {(uint32_t)BsTargets_Hash(Id(number).c_str()),
                             in_flight, 0};
        g_array_append_val(loads, load);
        for (BsTargets *instance : instances_) {
            BsTargets_SetFleet(instance, loads, 0);
        }
        g_array_unref(loads);
    }
    // Each instance sends one request of SESSION (0: none) at NOW_MS.
    std::map<std::string, unsigned> SendOneEach(uint64_t session,
                                                int64_t now_ms)
    {
        std::map<std::string, unsigned> sent;
        for (BsTargets *instance : instances_) {
            BsTargetQuery query = {};
            BsTargetVerdict verdict;
            query.service = &service_;
            query.route = route_;
            query.prompt_tokens = 2000;
            query.output_tokens = 50;
            query.session = session;
            BsTarget *target =
                BsTargets_Choose(instance, &query, now_ms, &verdict);
            sent[target == nullptr ? "" : target->id]++;
        }
        return sent;
    }
    static unsigned Most(const std::map<std::string, unsigned> &sent)
    {
        unsigned most = 0;
        for (const auto &upstream : sent) {
            most = std::max(most, upstream.second);
        }
        return most;
    }
    BsCatalogService service_ = {};
    BsCatalogRoute *route_;
    std::vector<BsTargets *> instances_;
};

// All upstreams are equal and idle.
TEST_F(HerdTest, ABurstOnAnIdleFleetSpreads)
{
    ReportLoad(0, 0);
    for (int64_t now_ms = 0; now_ms < 10; now_ms++) {
        EXPECT_LE(Most(SendOneEach(0, now_ms)), 2 * kSlots) << now_ms;
    }
}

// One upstream is idle, the others have one free slot.  If instances did not
// choose from random samples, all would choose the idle one.
TEST_F(HerdTest, TheOnlyIdleUpstreamIsNotChosenByAll)
{
    for (unsigned n = 1; n < kUpstreams; n++) {
        ReportLoad(n, kSlots - 1);
    }
    for (int64_t now_ms = 0; now_ms < 10; now_ms++) {
        EXPECT_LE(SendOneEach(0, now_ms)["e0"], 3 * kSlots) << now_ms;
    }
}

// Only one upstream has free slots: few instances choose it at a time, and
// each finds it within a few tries.
TEST_F(HerdTest, TheLastSlotsAreNotTakenByAll)
{
    for (unsigned n = 1; n < kUpstreams; n++) {
        ReportLoad(n, kSlots);
    }
    unsigned found = 0;
    const int tries = 40;
    for (int64_t now_ms = 0; now_ms < tries; now_ms++) {
        unsigned sent = SendOneEach(0, now_ms)["e0"];
        EXPECT_LE(sent, 4 * kSlots) << now_ms;
        found += sent;
    }
    // About one in eight tries finds it; at least half of that is required.
    EXPECT_GT(found, kInstances * tries / 16);
}

// An instance whose sample of the upstreams has no free slot waits, as other
// upstreams may have one.
TEST_F(HerdTest, ASampleWithoutAFreeSlotIsBusy)
{
    for (unsigned n = 0; n < kUpstreams; n++) {
        ReportLoad(n, kSlots);
    }
    BsTargetQuery query = {};
    query.service = &service_;
    query.route = route_;
    for (int64_t now_ms = 0; now_ms < 20; now_ms++) {
        BsTargetVerdict verdict;
        EXPECT_EQ(BsTargets_Choose(instances_[0], &query, now_ms, &verdict),
                  nullptr);
        EXPECT_EQ(verdict, BS_TARGET_BUSY);
    }
}

// Every instance sends a session to the upstream that caches its prompt.
TEST_F(HerdTest, ASessionKeepsItsUpstream)
{
    ReportLoad(0, 0);
    EXPECT_EQ(Most(SendOneEach(4711, 0)), kInstances);
}

} // namespace
