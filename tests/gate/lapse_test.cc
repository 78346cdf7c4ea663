// Upstreams whose entry was removed around failures of the store.
#include <gtest/gtest.h>

extern "C" {
#include "lapse.h"
}

namespace {

const int64_t kLapseMs = 2000;
const int64_t kStartMs = 100000;
const int64_t kNeverMs = INT64_MIN / 2;

class Lapse : public testing::Test {
  protected:
    Lapse() : lapses_(BsLapses_Create())
    {
    }
    ~Lapse() override
    {
        BsLapses_Destroy(lapses_);
    }
    void Note(uint64_t revision, int64_t now_ms)
    {
        BsLapses_NoteRevision(lapses_, revision, now_ms);
    }
    int64_t Kept(uint64_t revision, int64_t failed_ms, int64_t now_ms)
    {
        return BsLapses_KeptMs(lapses_, revision, failed_ms, now_ms);
    }

    BsLapses *lapses_;
};

TEST_F(Lapse, WithoutFailuresARemovedUpstreamIsGoneAtOnce)
{
    EXPECT_EQ(Kept(7, kNeverMs, kStartMs), 0);
    Note(7, kStartMs - 100);
    EXPECT_EQ(Kept(7, kNeverMs, kStartMs), 0);
    EXPECT_EQ(Kept(7, kStartMs - 100 - kLapseMs, kStartMs), 0);
}

TEST_F(Lapse, AroundAFailureItIsKeptUntilItsEntryCanBeBack)
{
    EXPECT_EQ(Kept(7, kStartMs - 10, kStartMs), kLapseMs);
}

// An instance that learns of a leave late, around a restart of its reader,
// must not add the whole time once more.
TEST_F(Lapse, TheTimeCountsFromWhenTheRemovalCouldBeHeardOf)
{
    Note(6, kStartMs - 5000);
    Note(8, kStartMs - 1500);
    EXPECT_EQ(Kept(7, kStartMs - 10, kStartMs), kLapseMs - 1500);
    EXPECT_EQ(Kept(8, kStartMs - 10, kStartMs), kLapseMs - 1500);
    EXPECT_EQ(Kept(9, kStartMs - 10, kStartMs), kLapseMs);
    EXPECT_EQ(Kept(6, kStartMs - 10, kStartMs), 0);
}

// The store answered somebody when the removal was heard of; a failure long
// before does not tell of it.
TEST_F(Lapse, AFailureLongBeforeTheRemovalIsNoReason)
{
    Note(7, kStartMs - 500);
    EXPECT_EQ(Kept(7, kStartMs - 500 - kLapseMs, kStartMs), 0);
    EXPECT_EQ(Kept(7, kStartMs - 400 - kLapseMs, kStartMs), 1500);
}

// Heartbeats of many upstreams move the revision all the time.
TEST_F(Lapse, ManyRevisionsAreToldApartToATwentiethOfASecond)
{
    for (int64_t i = 0; i < 10000; i++) {
        Note((uint64_t)i, kStartMs + i);
    }
    int64_t now_ms = kStartMs + 10000;
    int64_t kept_ms = Kept(9000, now_ms - 10, now_ms);
    EXPECT_LE(kept_ms, kLapseMs - 1000);
    EXPECT_GE(kept_ms, kLapseMs - 1050);
    EXPECT_EQ(Kept(3000, now_ms - 10, now_ms), 0);
}

} // namespace
