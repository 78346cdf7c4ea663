// The share of less urgent requests that may start while urgent ones wait.
#include <gtest/gtest.h>

extern "C" {
#include "yield.h"
}

namespace {

const BsYieldRank kUrgent = {0, 0};
const BsYieldRank kMiddle = {0, 1};
const BsYieldRank kRoutine = {0, 2};
const int64_t kObjectiveMs = 500;
const int64_t kLongWaitMs = 200;
const int64_t kStartMs = 10000;

class Yield : public testing::Test {
  protected:
    Yield() : yields_(BsYields_Create())
    {
    }
    ~Yield() override
    {
        BsYields_Destroy(yields_);
    }
    double Share(BsYieldRank rank, int64_t now_ms)
    {
        return BsYields_Share(yields_, "desk", rank, now_ms);
    }
    // Notes long waits of requests of RANK from FROM_MS to TO_MS, and queries
    // the shares of the lower ranks meanwhile, as a gateway does.
    void NoteLongWaits(BsYieldRank rank, int64_t from_ms, int64_t to_ms)
    {
        for (int64_t now_ms = from_ms; now_ms <= to_ms; now_ms += 100) {
            BsYields_NoteWait(yields_, "desk", rank, kLongWaitMs, kObjectiveMs,
                              now_ms);
            Share(kRoutine, now_ms);
            Share(kMiddle, now_ms);
        }
    }
    BsYields *yields_;
};

TEST_F(Yield, FullShareWithoutPressure)
{
    for (int64_t now_ms = kStartMs; now_ms < kStartMs + 5000; now_ms += 50) {
        BsYields_NoteWait(yields_, "desk", kUrgent, 10, kObjectiveMs, now_ms);
        EXPECT_EQ(Share(kRoutine, now_ms), 1);
    }
}

// Guards against a look at the share that moves it.
TEST_F(Yield, PeekShowsTheShareAndChangesNothing)
{
    EXPECT_EQ(BsYields_Peek(yields_, "desk", kRoutine, kStartMs), 1);
    NoteLongWaits(kUrgent, kStartMs, kStartMs + 500);
    for (int64_t ms = 10; ms <= 200; ms += 10) {
        BsYields_Peek(yields_, "desk", kRoutine, kStartMs + 500 + ms);
    }
    double seen = BsYields_Peek(yields_, "desk", kRoutine, kStartMs + 700);
    EXPECT_LT(seen, 0.6);
    EXPECT_EQ(Share(kRoutine, kStartMs + 700), seen);
}

// While urgent requests wait long, fewer routine requests start, but never
// less than the minimum share: their long answers would occupy the slots.
TEST_F(Yield, PressureLowersShareToMinimum)
{
    EXPECT_EQ(Share(kRoutine, kStartMs), 1);
    NoteLongWaits(kUrgent, kStartMs, kStartMs + 500);
    EXPECT_LT(Share(kRoutine, kStartMs + 500), 0.6);
    NoteLongWaits(kUrgent, kStartMs + 500, kStartMs + 9000);
    EXPECT_GE(Share(kRoutine, kStartMs + 9000), 0.1);
    EXPECT_LT(Share(kRoutine, kStartMs + 9000), 0.3);
    // The urgent requests themselves are not limited.
    EXPECT_EQ(Share(kUrgent, kStartMs + 9000), 1);
}

// After the pressure has ended the share rises gradually, not all at once.
TEST_F(Yield, ShareRisesGraduallyAfterPressure)
{
    NoteLongWaits(kUrgent, kStartMs, kStartMs + 3000);
    double before = Share(kRoutine, kStartMs + 3000);
    for (int64_t now_ms = kStartMs + 3100; now_ms <= kStartMs + 4600;
         now_ms += 100) {
        Share(kRoutine, now_ms);
    }
    double halfway = Share(kRoutine, kStartMs + 4600);
    EXPECT_GT(halfway, before);
    EXPECT_LT(halfway, 1);
    for (int64_t now_ms = kStartMs + 4700; now_ms <= kStartMs + 9000;
         now_ms += 100) {
        Share(kRoutine, now_ms);
    }
    EXPECT_EQ(Share(kRoutine, kStartMs + 9000), 1);
}

// Waits of routine requests do not limit more urgent ones, nor the routine
// ones themselves.
TEST_F(Yield, RoutineWaitsDoNotLimitUrgentRequests)
{
    NoteLongWaits(kRoutine, kStartMs, kStartMs + 3000);
    EXPECT_EQ(Share(kMiddle, kStartMs + 3000), 1);
    EXPECT_EQ(Share(kRoutine, kStartMs + 3000), 1);
}

// The rank of the account is compared before that of the route.
TEST_F(Yield, AccountRankGoesFirst)
{
    const BsYieldRank urgent_account = {0, 2};
    const BsYieldRank other_account = {1, 0};
    Share(other_account, kStartMs);
    NoteLongWaits(urgent_account, kStartMs, kStartMs + 3000);
    EXPECT_LT(Share(other_account, kStartMs + 3000), 0.3);
    EXPECT_EQ(
        BsYields_Share(yields_, "bookings", other_account, kStartMs + 3000),
        1);
}

} // namespace
