// The retry budget of one instance whose upstreams are paused for longer than
// its requests may take: it gives the attempts up, and their upstreams read
// them after the pause, on a logical clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <vector>

extern "C" {
#include "quota.h"
}

namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 58;
constexpr int64_t kWindowMs = 10000;
constexpr int64_t kStepMs = 50;
constexpr int64_t kPausedMs = 40000; // when the pause begins

struct Pause {
    const char *name;
    int64_t pause_ms;
    int64_t timeout_ms; // of requests
};

void
PrintTo(const Pause &row, std::ostream *out)
{
    *out << row.name;
}

class RetryLateTest : public testing::TestWithParam<Pause> {
  protected:
    ~RetryLateTest() override
    {
        BsRetryBudget_Destroy(budget_);
    }
    // Repeats are granted as fast as the budget allows during and after the
    // pause.
    void Step(int64_t now_ms)
    {
        const Pause &row = GetParam();
        int64_t resumed_ms = kPausedMs + row.pause_ms;
        BsRetryBudget_AddRequest(budget_, "desk", now_ms);
        BsRetryBudget_AddRequest(budget_, "desk", now_ms);
        while (!settles_.empty() && settles_.begin()->first <= now_ms) {
            BsRetryBudget_Settle(budget_, "desk", settles_.begin()->second,
                                 now_ms);
            settles_.erase(settles_.begin());
        }
        while (!abandons_.empty() && *abandons_.begin() <= now_ms) {
            BsRetryBudget_Abandon(budget_, "desk", now_ms);
            abandons_.erase(abandons_.begin());
        }
        for (int i = 0; now_ms >= kPausedMs && i < 6; i++) {
            if (!BsRetryBudget_Take(budget_, "desk", 1, now_ms)) {
                break;
            }
            int64_t arrives_ms = std::max(now_ms, resumed_ms);
            arrivals_[arrives_ms / kStepMs]++;
            if (arrives_ms <= now_ms + row.timeout_ms) {
                settles_[arrives_ms]++;
            }
            else {
                abandons_.insert(now_ms + row.timeout_ms);
            }
        }
    }
    int Most()
    {
        const int64_t steps = kWindowMs / kStepMs;
        int most = 0;
        for (int64_t first = 0; first < 80000 / kStepMs; first++) {
            int sum = 0;
            for (int64_t i = first; i < first + steps; i++) {
                sum += arrivals_.count(i) > 0 ? arrivals_[i] : 0;
            }
            most = std::max(most, sum);
        }
        return most;
    }

    BsRetryBudget *budget_ =
        BsRetryBudget_Create(kRatio, kSlack, kWindowMs, 0);
    std::map<int64_t, unsigned> settles_; // by time
    std::multiset<int64_t> abandons_;     // times of those given up
    std::map<int64_t, int> arrivals_;     // by step
};

// Guards against repeats that are forgotten a window after they were given up
// and arrive beside those of the next window.
TEST_P(RetryLateTest, StaysWithinTheBudget)
{
    for (int64_t now_ms = 0; now_ms < 80000; now_ms += kStepMs) {
        Step(now_ms);
    }
    double allowed =
        kRatio * 2.0 * (double)(kWindowMs / kStepMs) + kSlack; /* 138 */
    EXPECT_LE(Most(), allowed);
}

const Pause kPauses[] = {
    {"TimeoutAfterThePause", 8000, 9000},
    {"TimeoutHalfASecondBeforeItsEnd", 8000, 7500},
    {"TimeoutTwoSeconds", 8000, 2000},
    {"TimeoutTwoSecondsOfFour", 4000, 2000},
};

INSTANTIATE_TEST_SUITE_P(Pauses, RetryLateTest, testing::ValuesIn(kPauses),
                         [](const testing::TestParamInfo<Pause> &info) {
                             return std::string(info.param.name);
                         });

} // namespace
