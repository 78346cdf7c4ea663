// Early repeats: when one is sent, by the module alone, without a network.
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "hedge.h"
}

namespace {

const int64_t kStartMs = 100000;
const char kService[] = "desk";
const char kRoute[] = "look";

// An instance with enough samples, from 1 to 100 ms, and a request that may be
// repeated early.
class HedgeTest : public testing::Test {
  protected:
    HedgeTest() : hedges_(BsHedges_Create())
    {
        SetLimits(10, 70, 95);
        for (int i = 1; i <= 100; i++) {
            BsHedges_Observe(hedges_, kRoute, i, kStartMs);
        }
        AddRequests(10);
        request_.service = kService;
        request_.route = kRoute;
        request_.upstream = 7;
        request_.due_ms = kStartMs;
        request_.expires_ms = kStartMs + 4000;
        request_.occupancy = 0.3;
        request_.budget.allowed = 20;
    }
    ~HedgeTest() override
    {
        BsHedges_Destroy(hedges_);
    }
    void SetLimits(uint32_t percent, uint32_t occupancy, uint32_t percentile)
    {
        BsHedgeLimits limits = {percent, occupancy, percentile};
        BsHedges_SetLimits(hedges_, &limits);
    }
    void AddRequests(int count)
    {
        for (int i = 0; i < count; i++) {
            BsHedges_AddRequest(hedges_, kService);
        }
    }
    std::string Verdict(int64_t now_ms = kStartMs)
    {
        return BsHedgeVerdict_Name(
            BsHedges_Decide(hedges_, &request_, now_ms));
    }

    BsHedges *hedges_;
    BsHedgeRequest request_ = {};
};

// Guards against a delay that is not taken from the tail of the route, or is
// taken from that of another one.
TEST_F(HedgeTest, TheDelayIsAHighPercentileOfTheRoute)
{
    EXPECT_EQ(BsHedges_DelayMs(hedges_, kRoute, kStartMs), 95);
    SetLimits(10, 70, 80);
    EXPECT_EQ(BsHedges_DelayMs(hedges_, kRoute, kStartMs), 80);
    EXPECT_EQ(BsHedges_DelayMs(hedges_, "other", kStartMs), 0);
}

// Guards against a delay of times that are long past.
TEST_F(HedgeTest, OnlyRecentTimesCount)
{
    EXPECT_EQ(BsHedges_DelayMs(hedges_, kRoute, kStartMs + 119000), 95);
    EXPECT_EQ(BsHedges_DelayMs(hedges_, kRoute, kStartMs + 130000), 0);
    for (int i = 0; i < 40; i++) {
        BsHedges_Observe(hedges_, kRoute, 500, kStartMs + 130000);
    }
    EXPECT_EQ(BsHedges_DelayMs(hedges_, kRoute, kStartMs + 130000), 500);
}

// Guards against early repeats of routes of which too little is known, as
// after a start of the process.
TEST_F(HedgeTest, ThereAreNoneWithFewSamples)
{
    BsHedges *fresh = BsHedges_Create();
    BsHedgeLimits limits = {10, 70, 95};
    BsHedges_SetLimits(fresh, &limits);
    for (int i = 0; i < 100; i++) {
        BsHedges_AddRequest(fresh, kService);
    }
    for (int i = 0; i < 39; i++) {
        BsHedges_Observe(fresh, kRoute, 50, kStartMs);
    }
    EXPECT_EQ(BsHedges_DelayMs(fresh, kRoute, kStartMs), 0);
    EXPECT_EQ(BsHedges_Decide(fresh, &request_, kStartMs),
              BS_HEDGE_NO_SAMPLES);
    BsHedges_Destroy(fresh);
}

// Guards against a delay that shrinks with each early repeat, as the slow
// answers that they replace are not counted: a cancelled attempt counts with
// the time that it had.
TEST_F(HedgeTest, ReplacedAttemptsStayInTheTail)
{
    int64_t now_ms = kStartMs;
    for (int round = 0; round < 20; round++) {
        int64_t delay_ms = BsHedges_DelayMs(hedges_, kRoute, now_ms);
        for (int i = 1; i <= 100; i++) {
            // Those above the delay are cancelled 5 ms after it.
            int64_t took_ms = i <= delay_ms ? i : delay_ms + 5;
            BsHedges_Observe(hedges_, kRoute, took_ms, now_ms);
        }
        now_ms += 1000;
    }
    int64_t delay_ms = BsHedges_DelayMs(hedges_, kRoute, now_ms);
    EXPECT_GE(delay_ms, 90);
    EXPECT_LE(delay_ms, 100);
}

// Guards against the feature being on without settings that ask for it.
TEST_F(HedgeTest, TheyAreOffByDefault)
{
    BsHedges *fresh = BsHedges_Create();
    EXPECT_FALSE(BsHedges_AreOn(fresh));
    for (int i = 0; i < 100; i++) {
        BsHedges_Observe(fresh, kRoute, 50, kStartMs);
    }
    EXPECT_EQ(BsHedges_DelayMs(fresh, kRoute, kStartMs), 0);
    BsHedges_Destroy(fresh);
}

TEST_F(HedgeTest, OneIsSentWhenNothingSpeaksAgainstIt)
{
    EXPECT_EQ(Verdict(), "none");
}

// Guards against more early repeats than the percentage of the requests.
TEST_F(HedgeTest, TheirNumberIsAPercentageOfTheRequests)
{
    int sent = 0;
    BsHedges_Take(hedges_, kService);
    for (int i = 0; i < 1000; i++) {
        AddRequests(1);
        if (Verdict() == "none") {
            BsHedges_Take(hedges_, kService);
            sent++;
        }
    }
    EXPECT_EQ(sent, 100);
    EXPECT_EQ(Verdict(), "limit");
}

// Guards against a burst of early repeats after a time without any.
TEST_F(HedgeTest, AFewAreSavedUpAtMost)
{
    int sent = 0;
    AddRequests(100000);
    while (Verdict() == "none") {
        BsHedges_Take(hedges_, kService);
        sent++;
    }
    EXPECT_EQ(sent, 10);
}

// Guards against early repeats that add load while slots are short.
TEST_F(HedgeTest, ThereAreNoneInOverload)
{
    request_.overload = true;
    EXPECT_EQ(Verdict(), "overload");
    request_.overload = false;
    request_.occupancy = 0.71;
    EXPECT_EQ(Verdict(), "occupancy");
    request_.occupancy = 0.7;
    EXPECT_EQ(Verdict(), "none");
    SetLimits(10, 20, 95);
    EXPECT_EQ(Verdict(), "occupancy");
}

// Guards against early repeats that take slots from queued requests; those of
// other services do not matter.
TEST_F(HedgeTest, ThereAreNoneWhileRequestsOfTheServiceAreQueued)
{
    BsHedges_EnterQueue(hedges_, "other");
    EXPECT_EQ(Verdict(), "none");
    BsHedges_EnterQueue(hedges_, kService);
    BsHedges_EnterQueue(hedges_, kService);
    BsHedges_LeaveQueue(hedges_, kService);
    EXPECT_EQ(Verdict(), "queued");
    BsHedges_LeaveQueue(hedges_, kService);
    EXPECT_EQ(Verdict(), "none");
}

// Guards against requests that crash two upstreams instead of one.
TEST_F(HedgeTest, ThereAreNoneOfSuspectRequests)
{
    request_.suspect = true;
    EXPECT_EQ(Verdict(), "suspect");
}

// Guards against early repeats that leave no retries for failures.
TEST_F(HedgeTest, HalfOfTheRetryBudgetStaysFree)
{
    request_.budget.retries = 9;
    EXPECT_EQ(Verdict(), "none");
    request_.budget.retries = 10;
    EXPECT_EQ(Verdict(), "budget");
}

// Guards against early repeats of all requests of a process that was stopped:
// their answers may have arrived meanwhile.
TEST_F(HedgeTest, ThereAreNoneAfterThePauseOfAProcess)
{
    EXPECT_EQ(Verdict(kStartMs + 110), "none");
    EXPECT_EQ(Verdict(kStartMs + 3000), "stalled");
    request_.due_ms = kStartMs + 3100;
    EXPECT_EQ(Verdict(kStartMs + 3100), "stalled");
    request_.due_ms = kStartMs + 4000;
    request_.expires_ms = kStartMs + 9000;
    EXPECT_EQ(Verdict(kStartMs + 4000), "none");
}

// Guards against early repeats by a process that is about to end.
TEST_F(HedgeTest, ThereAreNoneInAStop)
{
    request_.stopping = true;
    EXPECT_EQ(Verdict(), "stopping");
}

// Guards against early repeats that cannot succeed.
TEST_F(HedgeTest, ThereAreNoneThatWouldUsuallyComeTooLate)
{
    request_.expires_ms = kStartMs + 50;
    EXPECT_EQ(Verdict(), "deadline");
    request_.expires_ms = kStartMs + 51;
    EXPECT_EQ(Verdict(), "none");
}

// Guards against early repeats at engines that are always ended before their
// first event.
TEST_F(HedgeTest, ThereAreNoneThatUsuallyTakeLongerThanBothMayRun)
{
    request_.hold_ms = 300;
    EXPECT_EQ(Verdict(), "none");
    request_.hold_ms = 50;
    EXPECT_EQ(Verdict(), "hold_time");
}

// Guards against an upstream that is gone but never found to be silent, as
// each of its requests is repeated early.
TEST_F(HedgeTest, AnUpstreamThatStaysSilentIsLeftToTheRuleForSilence)
{
    const int64_t received_ms = kStartMs - 900;
    request_.received_ms = received_ms;
    for (int i = 0; i < 3; i++) {
        EXPECT_EQ(Verdict(), "none");
        BsHedges_NoteReplaced(hedges_, 7, received_ms, kStartMs - 800 + i);
    }
    EXPECT_EQ(Verdict(), "silent");
    request_.received_ms = kStartMs - 700;
    EXPECT_EQ(Verdict(), "none");
    request_.upstream = 8;
    request_.received_ms = 0;
    EXPECT_EQ(Verdict(), "none");
}

// Guards against an upstream that is only slow and is taken for silent, as
// early repeats often replace it.
TEST_F(HedgeTest, AnUpstreamThatSendsSomethingBetweenIsNotSilent)
{
    for (int i = 0; i < 20; i++) {
        int64_t now_ms = kStartMs - 100 + i;
        BsHedges_NoteReplaced(hedges_, 7, i % 2 == 0 ? now_ms : 1, now_ms);
    }
    request_.received_ms = 1;
    EXPECT_EQ(Verdict(), "none");
}

// Guards against a table of replaced upstreams that grows, or that loses the
// latest ones.
TEST_F(HedgeTest, TheLatestReplacedUpstreamsAreRemembered)
{
    for (uint64_t upstream = 100; upstream < 140; upstream++) {
        for (int i = 0; i < 3; i++) {
            BsHedges_NoteReplaced(hedges_, upstream, 1, kStartMs);
        }
    }
    request_.received_ms = 1;
    request_.upstream = 139;
    EXPECT_EQ(Verdict(), "silent");
    request_.upstream = 100;
    EXPECT_EQ(Verdict(), "none");
}

// An instance that is asked about each of its requests, as if all were slow.
class SlowInstance {
  public:
    SlowInstance(unsigned instances, int64_t now_ms)
        : instances_(instances), hedges_(BsHedges_Create()),
          retries_(BsRetryBudget_Create(kRatio, kSlack, kWindowMs, now_ms))
    {
        BsHedgeLimits limits = {20, 70, 95};
        BsHedges_SetLimits(hedges_, &limits);
    }
    ~SlowInstance()
    {
        BsHedges_Destroy(hedges_);
        BsRetryBudget_Destroy(retries_);
    }
    SlowInstance(const SlowInstance &) = delete;
    SlowInstance &operator=(const SlowInstance &) = delete;
    // Returns whether a request at NOW_MS is repeated early.  The early repeat
    // is given up at once, and its upstream may read it later.
    bool Request(int64_t now_ms)
    {
        BsHedges_AddRequest(hedges_, kService);
        BsHedges_Observe(hedges_, kRoute, 100, now_ms);
        BsRetryBudget_AddRequest(retries_, kService, now_ms);
        BsHedgeRequest request = {};
        request.service = kService;
        request.route = kRoute;
        request.due_ms = now_ms;
        request.expires_ms = now_ms + 4000;
        request.budget =
            BsRetryBudget_Read(retries_, kService, instances_, now_ms);
        if (BsHedges_Decide(hedges_, &request, now_ms) != BS_HEDGE_SEND ||
            !BsRetryBudget_Take(retries_, kService, instances_, now_ms)) {
            return false;
        }
        BsHedges_Take(hedges_, kService);
        BsRetryBudget_Abandon(retries_, kService, now_ms);
        return true;
    }
    BsRetryBudgetState Budget(int64_t now_ms)
    {
        return BsRetryBudget_Read(retries_, kService, instances_, now_ms);
    }

    static constexpr double kRatio = 0.2;
    static constexpr double kSlack = 158;
    static constexpr int64_t kWindowMs = 10000;

  private:
    unsigned instances_;
    BsHedges *hedges_;
    BsRetryBudget *retries_;
};

class HedgeFleet : public testing::TestWithParam<unsigned> {};

// Guards against a fleet that sends more early repeats in a window than half
// of the retry budget, where all requests are slow and processes restart, and
// against early repeats that leave no retries for failures.
TEST_P(HedgeFleet, StaysWithinHalfOfTheRetryBudgetBesideRestarts)
{
    const unsigned count = GetParam();
    const int64_t step_ms = 100;
    const int64_t end_ms = 60000;
    std::vector<std::unique_ptr<SlowInstance>> fleet(count);
    std::vector<int> sent(end_ms / step_ms);
    int total = 0;
    for (int64_t at_ms = 0; at_ms < end_ms; at_ms += step_ms) {
        for (unsigned i = 0; i < count; i++) {
            // Each third process is started again every 7 s.
            if (fleet[i] == nullptr || (i % 3 == 0 && at_ms % 7000 == 0)) {
                fleet[i] =
                    std::make_unique<SlowInstance>(count, kStartMs + at_ms);
            }
            bool repeated = fleet[i]->Request(kStartMs + at_ms);
            if (repeated) {
                BsRetryBudgetState budget = fleet[i]->Budget(kStartMs + at_ms);
                EXPECT_LE((double)budget.retries, budget.allowed / 2);
            }
            sent[at_ms / step_ms] += repeated ? 1 : 0;
            total += repeated ? 1 : 0;
        }
    }
    const int steps = SlowInstance::kWindowMs / step_ms;
    const double bound =
        SlowInstance::kRatio * steps * count + SlowInstance::kSlack;
    for (int from = 0; from + steps <= (int)sent.size(); from++) {
        int in_window = 0;
        for (int i = from; i < from + steps; i++) {
            in_window += sent[i];
        }
        EXPECT_LE(in_window, bound / 2) << "from " << from * step_ms;
    }
    EXPECT_GT(total, 0);
}

INSTANTIATE_TEST_SUITE_P(Sizes, HedgeFleet, testing::Values(9U, 89U, 344U));

// Guards against a request that is lost with an upstream that is gone, or
// comes later than without the early repeat.
TEST(HedgeHold, TheFirstIsKeptUnlessOnlyTheSecondIsKnownToBeReachable)
{
    EXPECT_TRUE(BsHedge_KeepsFirst(true, true));
    EXPECT_TRUE(BsHedge_KeepsFirst(true, false));
    EXPECT_TRUE(BsHedge_KeepsFirst(false, false));
    EXPECT_FALSE(BsHedge_KeepsFirst(false, true));
}

} // namespace
