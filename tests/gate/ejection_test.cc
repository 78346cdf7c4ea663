// Upstreams that fail most requests: which are ejected, and which are not.
#include <gtest/gtest.h>

#include <random>

extern "C" {
#include "ejection.h"
#include "targets.h"
}

namespace {

// Returns after how many answers an upstream is ejected that fails a share of
// FAILS of them, LIMIT if it is not; SEED chooses which.
int
AnswersUntilEjected(double fails, BsEjectionUsual *usual, int limit,
                    unsigned seed)
{
    std::mt19937 random(seed);
    std::bernoulli_distribution failed(fails);
    BsEjection ejection = {0};
    for (int i = 1; i <= limit; i++) {
        if (BsEjection_Note(&ejection, usual, failed(random))) {
            return i;
        }
    }
    return limit;
}

// The usual share of failures after many sound upstreams that fail SHARE.
BsEjectionUsual
Learned(double share)
{
    BsEjectionUsual usual = {0};
    AnswersUntilEjected(share, &usual, 3000, 99);
    return usual;
}

// Guards against an upstream that fails at once and so keeps its slots free
// for the next requests.
TEST(Ejection, OneThatFailsAllIsEjectedAfterAFewAnswers)
{
    BsEjectionUsual usual = Learned(0.004);
    EXPECT_LE(AnswersUntilEjected(1.0, &usual, 100, 1), 5);
}

// Guards against a test that finds only upstreams that fail everything.
TEST(Ejection, OneThatFailsHalfIsEjected)
{
    for (unsigned seed = 1; seed <= 20; seed++) {
        BsEjectionUsual usual = Learned(0.004);
        EXPECT_LE(AnswersUntilEjected(0.5, &usual, 100, seed), 40) << seed;
    }
}

// Guards against sound upstreams that are ejected again and again: at 1,000
// answers a second, 200,000 are those of more than three minutes.
TEST(Ejection, SoundOnesStay)
{
    for (double share : {0.0, 0.004, 0.02, 0.05, 0.14}) {
        BsEjectionUsual usual = Learned(share);
        EXPECT_EQ(AnswersUntilEjected(share, &usual, 200000, 7), 200000)
            << share;
    }
}

// Guards against a service that loses its upstreams because its callers ask
// for what fails.
TEST(Ejection, NotHalfOfTheUpstreams)
{
    EXPECT_FALSE(BsEjection_MayEject(0, 1));
    EXPECT_FALSE(BsEjection_MayEject(0, 2));
    EXPECT_TRUE(BsEjection_MayEject(0, 3));
    EXPECT_FALSE(BsEjection_MayEject(1, 4));
    EXPECT_TRUE(BsEjection_MayEject(1, 5));
    EXPECT_TRUE(BsEjection_MayEject(54, 112));
    EXPECT_FALSE(BsEjection_MayEject(55, 112));
}

// A table of COUNT upstreams of one service.
class EjectionTargetsTest : public testing::Test {
  protected:
    void SetUp() override
    {
        targets_ = BsTargets_Create("n1", "north");
        service_ = BsCatalogService_Create();
        service_->name = g_strdup("desk");
        route_ = BsCatalogRoute_Create();
    }
    void TearDown() override
    {
        BsTargets_Destroy(targets_);
        BsCatalogService_Destroy(service_);
        BsCatalogRoute_Destroy(route_);
    }
    void List(int count)
    {
        for (int i = 0; i < count; i++) {
            std::string id = "i-" + std::to_string(i);
            BsTargetEntry entry = {};
            entry.id = id.c_str();
            entry.service = "desk";
            entry.data_centre = "n1";
            entry.region = "north";
            entry.slots = 6;
            entry.born_ms = 1;
            BsTargets_Put(targets_, &entry, now_ms_);
        }
    }
    // Lets the upstream fail 20 requests; returns whether it was ejected.
    bool FailAt(const std::string &id)
    {
        bool ejected = false;
        BsTarget *target = BsTargets_Find(targets_, id.c_str());
        for (int i = 0; i < 20; i++) {
            ejected |= BsTargets_NoteAnswer(targets_, target, true, now_ms_);
        }
        return ejected;
    }
    // Returns how many of COUNT requests in a second go to the upstream.
    int RequestsIn1s(const std::string &id, int count)
    {
        int chosen = 0;
        for (int i = 0; i < count; i++, now_ms_ += 1000 / count) {
            BsTargetQuery query = {};
            BsTargetVerdict verdict;
            query.service = service_;
            query.route = route_;
            BsTarget *target =
                BsTargets_Choose(targets_, &query, now_ms_, &verdict);
            if (target == nullptr) {
                continue;
            }
            chosen += target->id == id;
            BsTargets_Sent(targets_, target, &query, now_ms_);
            BsTargets_Ended(targets_, target,
                            target->id == id ? BS_TARGET_ERROR
                                             : BS_TARGET_GOOD,
                            10, 0, now_ms_);
        }
        return chosen;
    }

    BsTargets *targets_;
    BsCatalogService *service_;
    BsCatalogRoute *route_;
    int64_t now_ms_ = 1000000;
};

// Guards against a deployment that does not ask for ejection and gets it.
TEST_F(EjectionTargetsTest, OffByDefault)
{
    List(5);
    EXPECT_FALSE(FailAt("i-0"));
}

// Guards against an ejected upstream that still gets requests because all its
// slots are free.
TEST_F(EjectionTargetsTest, AnEjectedOneGetsProbesOnly)
{
    BsTargets_SetProbeRate(targets_, 2);
    List(5);
    EXPECT_TRUE(FailAt("i-0"));
    EXPECT_LE(RequestsIn1s("i-0", 200), 3);
}

// Guards against an upstream that stays ejected after it has recovered.
TEST_F(EjectionTargetsTest, TheNextSoundAnswerEndsIt)
{
    BsTargets_SetProbeRate(targets_, 2);
    List(5);
    EXPECT_TRUE(FailAt("i-0"));
    now_ms_ += 500;
    BsTarget *target = BsTargets_Find(targets_, "i-0");
    EXPECT_TRUE(BsTargets_NoteLimit(target, 0, now_ms_, now_ms_));
    BsTargets_NoteAnswer(targets_, target, false, now_ms_);
    EXPECT_EQ(BsTargets_CountLimits(targets_), 0U);
}

// Guards against a service without upstreams because all of them fail.
TEST_F(EjectionTargetsTest, AServiceThatFailsKeepsMostOfItsUpstreams)
{
    BsTargets_SetProbeRate(targets_, 2);
    List(9);
    int ejected = 0;
    for (int i = 0; i < 9; i++) {
        ejected += FailAt("i-" + std::to_string(i));
    }
    EXPECT_EQ(ejected, 4);
}

// Guards against evidence from before a restart that ejects the upstream at
// its first failure.
TEST_F(EjectionTargetsTest, AStartClearsTheEvidence)
{
    BsTargets_SetProbeRate(targets_, 2);
    List(5);
    EXPECT_TRUE(FailAt("i-0"));
    BsTargetEntry entry = {};
    entry.id = "i-0";
    entry.service = "desk";
    entry.data_centre = "n1";
    entry.region = "north";
    entry.slots = 6;
    entry.born_ms = 2;
    BsTargets_Put(targets_, &entry, now_ms_);
    BsTarget *target = BsTargets_Find(targets_, "i-0");
    EXPECT_EQ(target->ejection.evidence, 0);
    EXPECT_EQ(BsTargets_CountLimits(targets_), 0U);
}

} // namespace
