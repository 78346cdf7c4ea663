// The size of the fleet by which limits are shared, at one instance.
#include <gtest/gtest.h>

extern "C" {
#include "fleetshare.h"
#include "gossipreport.h"
}

namespace {

constexpr int64_t kNowMs = 5000000;

class FleetShareTest : public testing::Test {
  protected:
    ~FleetShareTest() override
    {
        BsFleetShare_Destroy(share_);
    }
    // Counts COUNT instances, all of them reachable.
    void Count(unsigned count)
    {
        counts_.reachable = counts_.counted = counts_.known = count;
    }
    unsigned AtMost(int64_t now_ms = kNowMs)
    {
        return BsFleetShare_AtMost(share_, &counts_, now_ms);
    }
    unsigned Told(int64_t now_ms, int64_t *age_ms)
    {
        return BsFleetShare_Tell(share_, &counts_, now_ms, age_ms);
    }

    BsFleetShare *share_ = BsFleetShare_Create();
    BsFleetCounts counts_ = {1, 1, 1, 3, 0, false, false};
};

// Guards against a process that takes a limit for its own before it has seen
// anybody, and against a single one that shares its limits with nobody.
TEST_F(FleetShareTest, BeforeAnotherInstanceWasSeen)
{
    EXPECT_EQ(AtMost(), (unsigned)BS_FLEETSHARE_UNKNOWN_INSTANCES);
    counts_.is_seed = true;
    counts_.seeds_seen = 1;
    EXPECT_EQ(AtMost(), 6U);
    BsFleetCounts single = {1, 1, 1, 0, 0, false, true};
    EXPECT_EQ(BsFleetShare_Fraction(share_, &single, kNowMs), 1.0);
}

// Guards against parts of a fleet that start while they are cut off from each
// other, and each count only themselves.
TEST_F(FleetShareTest, APartWithOneSeedOfThreeTakesAThird)
{
    Count(20);
    counts_.seeds_seen = 1;
    BsFleetShare_Note(share_, &counts_, kNowMs);
    EXPECT_NEAR(BsFleetShare_Fraction(share_, &counts_, kNowMs), 1.0 / 3,
                0.001);
}

// Guards against a size that is forgotten within an hour, or held for longer.
TEST_F(FleetShareTest, TheLargestSizeIsHeldForAnHour)
{
    Count(9);
    counts_.seeds_seen = 3;
    BsFleetShare_Note(share_, &counts_, kNowMs);
    Count(3);
    BsFleetShare_Note(share_, &counts_, kNowMs + 1000);
    EXPECT_EQ(AtMost(kNowMs + BS_FLEETSHARE_HOLD_MS), 9U);
    EXPECT_EQ(AtMost(kNowMs + BS_FLEETSHARE_HOLD_MS + 1), 3U);
}

// Guards against a process that starts in a part of a split fleet and takes
// the part for the whole, and against one that is held to a guess from few
// seeds.
TEST_F(FleetShareTest, AnInstanceIsTold)
{
    Count(3);
    counts_.seeds_seen = 1;
    BsFleetShare_Note(share_, &counts_, kNowMs);
    EXPECT_EQ(AtMost(), 9U);
    BsFleetShare_Learn(share_, 5, 70000, kNowMs);
    EXPECT_EQ(AtMost(), 5U);
    BsFleetShare_Learn(share_, 12, 70000, kNowMs);
    EXPECT_EQ(AtMost(), 12U);
}

// Guards against a size that instances pass on to each other for ever.
TEST_F(FleetShareTest, WhatIsPassedOnKeepsItsAge)
{
    int64_t age_ms;
    Count(3);
    BsFleetShare_Learn(share_, 12, 70000, kNowMs);
    EXPECT_EQ(Told(kNowMs + 1000, &age_ms), 12U);
    EXPECT_EQ(age_ms, 71000);
    BsFleetShare_Learn(share_, 12, age_ms, kNowMs + 1000);
    EXPECT_EQ(Told(kNowMs - 70000 + BS_FLEETSHARE_HOLD_MS + 1, &age_ms), 0U);
}

// Guards against a guess from few seeds that others hold for an hour.
TEST_F(FleetShareTest, AnEstimateIsNotPassedOn)
{
    int64_t age_ms;
    Count(20);
    counts_.seeds_seen = 2;
    BsFleetShare_Note(share_, &counts_, kNowMs);
    EXPECT_EQ(Told(kNowMs, &age_ms), 0U);
    counts_.seeds_seen = 3;
    EXPECT_EQ(Told(kNowMs, &age_ms), 20U);
}

// Guards against a size that does not reach the others.
TEST_F(FleetShareTest, AReportHoldsTheLargestSize)
{
    BsGossipReport sent;
    BsGossipReport received;
    GString *data = g_string_new(nullptr);
    BsGossipReport_Init(&sent);
    BsGossipReport_Init(&received);
    sent.largest = 295;
    sent.largest_age_ms = BS_FLEETSHARE_HOLD_MS;
    BsGossipReport_Encode(&sent, data);
    ASSERT_TRUE(BsGossipReport_Decode(data->str, data->len, &received));
    EXPECT_EQ(received.largest, 295U);
    EXPECT_EQ(received.largest_age_ms, BS_FLEETSHARE_HOLD_MS);
    BsGossipReport_Clear(&sent);
    BsGossipReport_Clear(&received);
    g_string_free(data, TRUE);
}

} // namespace
