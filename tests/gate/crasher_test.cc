// Requests that break upstreams, counted by all instances together.
#include <gtest/gtest.h>

extern "C" {
#include "crasher.h"
}

namespace {

const int64_t kStartMs = 100000;
const int64_t kLongMs = 60000;

class Crashers : public testing::Test {
  protected:
    Crashers() : crashers_(BsCrashers_Create())
    {
    }
    ~Crashers() override
    {
        BsCrashers_Destroy(crashers_);
    }
    uint32_t Breaks(uint64_t hash, int64_t now_ms = kStartMs)
    {
        return BsCrashers_Breaks(crashers_, hash, now_ms);
    }
    void Tell(uint32_t peer, uint64_t hash, uint32_t breaks,
              int64_t now_ms = kStartMs)
    {
        GArray *told = g_array_new(FALSE, FALSE, sizeof(BsCrasher));
        BsCrasher crasher = {hash, breaks};
        g_array_append_val(told, crasher);
        BsCrashers_SetPeer(crashers_, peer, told, now_ms);
        g_array_unref(told);
    }
    std::vector<uint64_t> Told(int64_t now_ms = kStartMs)
    {
        std::vector<uint64_t> hashes;
        GArray *told = g_array_new(FALSE, FALSE, sizeof(BsCrasher));
        BsCrashers_Append(crashers_, now_ms, told);
        for (guint i = 0; i < told->len; i++) {
            hashes.push_back(g_array_index(told, BsCrasher, i).hash);
        }
        g_array_unref(told);
        return hashes;
    }

    BsCrashers *crashers_;
};

TEST_F(Crashers, SeveralBreaksStopARequest)
{
    EXPECT_FALSE(BsCrashers_IsStopped(0));
    EXPECT_FALSE(BsCrashers_IsStopped(2));
    EXPECT_TRUE(BsCrashers_IsStopped(3));
}

TEST_F(Crashers, CountsOfAllInstancesAreAdded)
{
    BsCrashers_Note(crashers_, 7, 2, kStartMs);
    Tell(1, 7, 1);
    Tell(2, 7, 1);
    Tell(2, 7, 1); // the same report again
    EXPECT_EQ(Breaks(7), 4U);
    EXPECT_EQ(Breaks(8), 0U);
}

TEST_F(Crashers, OnlyWhatWasSeenHereIsTold)
{
    Tell(1, 7, 2);
    EXPECT_TRUE(Told().empty());
    BsCrashers_Note(crashers_, 7, 1, kStartMs);
    EXPECT_EQ(Told(), std::vector<uint64_t>{7});
}

TEST_F(Crashers, TheLatestAreToldAndNoMoreThanFit)
{
    for (uint64_t hash = 1; hash <= 100; hash++) {
        BsCrashers_Note(crashers_, hash, 1, kStartMs + (int64_t)hash);
    }
    std::vector<uint64_t> told = Told(kStartMs + 100);
    ASSERT_EQ(told.size(), (size_t)BS_CRASHERS_TOLD_MAX);
    EXPECT_EQ(told.front(), 100U);
    EXPECT_EQ(told.back(), 100U - BS_CRASHERS_TOLD_MAX + 1);
}

TEST_F(Crashers, TheyAreForgottenAfterAWhile)
{
    BsCrashers_Note(crashers_, 7, 3, kStartMs);
    EXPECT_EQ(Breaks(7, kStartMs + kLongMs), 0U);
    EXPECT_TRUE(Told(kStartMs + kLongMs).empty());
    BsCrashers_Note(crashers_, 8, 1, kStartMs + kLongMs);
    EXPECT_EQ(BsCrashers_Count(crashers_), 1U);
}

TEST_F(Crashers, AccountsAreApart)
{
    EXPECT_NE(BsCrashers_Hash("a", "id"), BsCrashers_Hash("b", "id"));
    EXPECT_NE(BsCrashers_Hash("a", "id"), BsCrashers_Hash(nullptr, "id"));
    EXPECT_EQ(BsCrashers_Hash("a", "id"), BsCrashers_Hash("a", "id"));
}

} // namespace
