// The retry budget when its bounds change, as a new settings file does.
#include <gtest/gtest.h>

extern "C" {
#include "quota.h"
}

namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 50;
constexpr int64_t kWindowMs = 10000;

// The machine was started long ago.
constexpr int64_t kStartMs = 1000000000;

class RetryBudgetTest : public testing::Test {
  protected:
    ~RetryBudgetTest() override
    {
        BsRetryBudget_Destroy(budget_);
    }
    void SetWindow(int64_t window_ms)
    {
        BsRetryBudget_SetBounds(budget_, kRatio, kSlack, window_ms);
    }
    // Takes retries until none is left; returns how many there were.
    int TakeAll(int64_t now_ms)
    {
        int taken = 0;
        while (BsRetryBudget_Take(budget_, "desk", 1, now_ms)) {
            BsRetryBudget_Settle(budget_, "desk", 1, now_ms);
            taken++;
        }
        return taken;
    }

    BsRetryBudget *budget_ =
        BsRetryBudget_Create(kRatio, kSlack, kWindowMs, 0);
};

// Guards against retries that stay used up after a settings file with a longer
// window: requests that need one then fail.
TEST_F(RetryBudgetTest, RetriesAreAllowedAgainAfterALongerWindow)
{
    int all = TakeAll(kStartMs);
    EXPECT_GT(all, 0);
    SetWindow(2 * kWindowMs);
    EXPECT_EQ(TakeAll(kStartMs + 1), 0);
    EXPECT_EQ(TakeAll(kStartMs + 4 * kWindowMs), all);
}

// Guards against retries that are forgotten with a shorter window, so that
// more are sent than either window allows.
TEST_F(RetryBudgetTest, RetriesStayCountedInAShorterWindow)
{
    int all = TakeAll(kStartMs);
    SetWindow(kWindowMs / 2);
    EXPECT_EQ(TakeAll(kStartMs + 1), 0);
    EXPECT_EQ(TakeAll(kStartMs + kWindowMs / 2 - 1), 0);
    EXPECT_EQ(TakeAll(kStartMs + kWindowMs), all);
}

// Guards against retries that are forgotten before their window is over.
TEST_F(RetryBudgetTest, RetriesStayCountedForAWholeWindow)
{
    int all = TakeAll(kStartMs);
    EXPECT_EQ(TakeAll(kStartMs + kWindowMs - 1), 0);
    EXPECT_EQ(TakeAll(kStartMs + 2 * kWindowMs), all);
}

// Guards against log lines that give another state than the one that decided.
TEST_F(RetryBudgetTest, TheStateThatIsReadIsTheOneThatDecides)
{
    for (int i = 0; i < 100; i++) {
        BsRetryBudget_AddRequest(budget_, "desk", kStartMs);
    }
    int all = TakeAll(kStartMs);
    BsRetryBudgetState state =
        BsRetryBudget_Read(budget_, "desk", 1, kStartMs);
    EXPECT_EQ(state.requests, 100U);
    EXPECT_EQ(state.retries, (uint64_t)all);
    EXPECT_GE(state.allowed, all);
    EXPECT_LT(state.allowed, all + 1);
}

// Guards against repeats that are forgotten while they wait for a slot or lie
// unread at an upstream, and then arrive beside those of another window.
TEST_F(RetryBudgetTest, RetriesCountUntilAWindowAfterTheirArrival)
{
    const int64_t arrived_ms = kStartMs + 3 * kWindowMs;
    int open = 0;
    while (BsRetryBudget_Take(budget_, "desk", 1, kStartMs)) {
        open++;
    }
    EXPECT_EQ(TakeAll(arrived_ms), 0);
    BsRetryBudget_Settle(budget_, "desk", (unsigned)open, arrived_ms);
    EXPECT_EQ(TakeAll(arrived_ms + kWindowMs - 1), 0);
    EXPECT_EQ(TakeAll(arrived_ms + 2 * kWindowMs), open);
}

// Guards against a budget that shrinks with each repeat that is not sent.
TEST_F(RetryBudgetTest, ARetryThatIsNotSentIsGivenBack)
{
    ASSERT_TRUE(BsRetryBudget_Take(budget_, "desk", 1, kStartMs));
    int left = TakeAll(kStartMs);
    BsRetryBudget_GiveBack(budget_, "desk", kStartMs);
    EXPECT_EQ(TakeAll(kStartMs), 1);
    EXPECT_EQ(TakeAll(kStartMs + 2 * kWindowMs), left + 1);
}

} // namespace
