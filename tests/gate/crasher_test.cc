// Contents that crash upstreams, counted by all instances together.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "crasher.h"
}

namespace {

const int64_t kStartMs = 100000;
const int64_t kSecondMs = 1000;
const int64_t kMinuteMs = 60000;
// How long a stop lasts without another break.
const int64_t kStopMs = 10 * kMinuteMs;
const uint64_t kContent = 7;

// The table of one instance.
class Table {
  public:
    Table() : crashers_(BsCrashers_Create())
    {
    }
    ~Table()
    {
        BsCrashers_Destroy(crashers_);
    }
    Table(const Table &) = delete;
    Table &operator=(const Table &) = delete;
    // Returns whether this break stopped the content.
    bool Break(uint32_t upstream, int64_t now_ms = kStartMs,
               uint64_t content = kContent)
    {
        uint64_t before = BsCrashers_Count(crashers_, now_ms).stops;
        BsCrashers_NoteBreak(crashers_, content, upstream, now_ms - 1, now_ms);
        return BsCrashers_Count(crashers_, now_ms).stops > before;
    }
    void Silent(uint32_t upstream, uint64_t content = kContent)
    {
        BsCrashers_NoteSilence(crashers_, content, upstream, kStartMs - 1,
                               kStartMs);
    }
    void Ended(uint32_t upstream, int64_t now_ms)
    {
        BsCrashers_NoteEnded(crashers_, upstream, now_ms);
    }
    void Sent(int64_t now_ms)
    {
        BsCrashers_NoteSent(crashers_, kContent, now_ms);
    }
    void Good(int64_t now_ms = kStartMs)
    {
        BsCrashers_NoteGood(crashers_, kContent, now_ms);
    }
    bool IsStopped(int64_t now_ms = kStartMs, uint64_t content = kContent)
    {
        return BsCrashers_IsStopped(crashers_, content, now_ms);
    }
    uint32_t Breaks(uint64_t content = kContent)
    {
        return BsCrashers_Breaks(crashers_, content);
    }
    uint32_t Count()
    {
        return BsCrashers_Count(crashers_, kStartMs).contents;
    }
    std::vector<BsCrasher> Told(int64_t now_ms = kStartMs)
    {
        GArray *told = g_array_new(FALSE, FALSE, sizeof(BsCrasher));
        BsCrashers_Append(crashers_, now_ms, told);
        const BsCrasher *first = &g_array_index(told, BsCrasher, 0);
        std::vector<BsCrasher> crashers(first, first + told->len);
        g_array_unref(told);
        return crashers;
    }
    void Hear(const std::vector<BsCrasher> &crashers,
              int64_t now_ms = kStartMs)
    {
        GArray *told = g_array_new(FALSE, FALSE, sizeof(BsCrasher));
        for (const BsCrasher &crasher : crashers) {
            g_array_append_val(told, crasher);
        }
        BsCrashers_Merge(crashers_, told, now_ms);
        g_array_unref(told);
    }
    void Tell(Table &other, int64_t now_ms = kStartMs)
    {
        other.Hear(Told(now_ms), now_ms);
    }

  private:
    BsCrashers *crashers_;
};

TEST(Crashers, AContentIsKnownByAccountPathAndBody)
{
    auto content = [](const char *account, const char *path,
                      const std::string &body) {
        return BsCrashers_Content(account, path, body.data(), body.size());
    };
    uint64_t one = content("acme", "/a", "body");
    EXPECT_EQ(one, content("acme", "/a", "body"));
    EXPECT_NE(one, content("other", "/a", "body"));
    EXPECT_NE(one, content(nullptr, "/a", "body"));
    EXPECT_NE(one, content("acme", "/b", "body"));
    EXPECT_NE(one, content("acme", "/a", "Body"));
    EXPECT_NE(content("acme", "/a", ""), content("acme", "/b", ""));
}

TEST(Crashers, ThreeBrokenUpstreamsStopAContent)
{
    Table table;
    EXPECT_FALSE(table.Break(1));
    EXPECT_FALSE(table.Break(2));
    EXPECT_FALSE(table.IsStopped());
    EXPECT_TRUE(table.Break(3));
    EXPECT_TRUE(table.IsStopped());
    EXPECT_FALSE(table.Break(4)); // was stopped before
    EXPECT_FALSE(table.IsStopped(kStartMs, kContent + 1));
}

// Guards against a content that many ask for, stopped by the crash of the one
// upstream that had it.
TEST(Crashers, OneCrashUnderManyCopiesCountsOnce)
{
    Table here;
    Table there;
    for (int copy = 0; copy < 6; copy++) {
        here.Break(1);
        there.Break(1);
    }
    there.Tell(here);
    EXPECT_EQ(here.Breaks(), 1U);
}

// Guards against breaks that are not counted while the list of upstreams lags
// behind their starts.
TEST(Crashers, AnUpstreamThatIsBackCountsOnceMore)
{
    Table table;
    table.Break(1);
    table.Break(1, kStartMs + 5 * kSecondMs);
    table.Break(1, kStartMs + 10 * kSecondMs);
    EXPECT_TRUE(table.IsStopped(kStartMs + 10 * kSecondMs));
}

// Guards against upstreams that crash without a word: only the list tells.
TEST(Crashers, SilenceCountsOnceTheUpstreamHasEnded)
{
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Silent(upstream);
        EXPECT_EQ(table.Breaks(), upstream - 1);
        table.Ended(upstream, kStartMs + 5 * kSecondMs);
        EXPECT_EQ(table.Breaks(), upstream);
    }
    EXPECT_TRUE(table.IsStopped(kStartMs + 5 * kSecondMs));
}

TEST(Crashers, SilenceOfAnUpstreamThatLivesOnSaysNothing)
{
    Table table;
    table.Silent(1);
    table.Ended(2, kStartMs + 5 * kSecondMs);
    table.Ended(1, kStartMs + kMinuteMs); // for another cause
    EXPECT_EQ(table.Breaks(), 0U);
}

TEST(Crashers, SilenceIsRememberedWithinBounds)
{
    Table table;
    for (uint64_t content = 0; content < 1000; content++) {
        table.Silent(1, content);
    }
    table.Ended(1, kStartMs);
    EXPECT_EQ(table.Count(), 256U);
    EXPECT_EQ(table.Breaks(999), 1U);
    EXPECT_EQ(table.Breaks(0), 0U);
}

TEST(Crashers, BreaksAtDifferentInstancesAreJoined)
{
    Table tables[3];
    for (uint32_t i = 0; i < 3; i++) {
        tables[i].Break(i);
    }
    for (Table &from : tables) {
        for (Table &to : tables) {
            from.Tell(to);
        }
    }
    for (Table &table : tables) {
        EXPECT_TRUE(table.IsStopped());
    }
}

// Guards against a content that comes again after pauses longer than what was
// remembered of it.
TEST(Crashers, BreaksAMinuteApartAreCounted)
{
    Table table;
    table.Break(1);
    table.Break(2, kStartMs + kMinuteMs);
    table.Break(3, kStartMs + 2 * kMinuteMs);
    EXPECT_TRUE(table.IsStopped(kStartMs + 2 * kMinuteMs));
    table.Sent(kStartMs + 3 * kMinuteMs); // the only one let through
    EXPECT_TRUE(table.IsStopped(kStartMs + 8 * kMinuteMs));
}

TEST(Crashers, OneBreakAfterAStopHasEndedStopsAgain)
{
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Break(upstream);
    }
    int64_t later_ms = kStartMs + kStopMs + 1;
    EXPECT_FALSE(table.IsStopped(later_ms));
    EXPECT_TRUE(table.Break(9, later_ms));
    EXPECT_TRUE(table.IsStopped(later_ms));
    Table peer;
    table.Tell(peer, later_ms);
    EXPECT_TRUE(peer.IsStopped(later_ms));
}

// Guards against an innocent content that is refused for long, as all of its
// upstreams lost power at once and nobody ran it since.
TEST(Crashers, OneRequestIsLetThroughWhereTheLastBreakWasSeen)
{
    const int64_t trial_ms = kStartMs + kMinuteMs / 2;
    Table heard;
    Table saw;
    heard.Break(1);
    heard.Break(2);
    heard.Tell(saw);
    ASSERT_TRUE(saw.Break(3));
    saw.Tell(heard);
    EXPECT_TRUE(saw.IsStopped(trial_ms - 1));
    EXPECT_FALSE(saw.IsStopped(trial_ms));
    EXPECT_TRUE(heard.IsStopped(trial_ms));
    saw.Sent(trial_ms);
    EXPECT_TRUE(saw.IsStopped(trial_ms)); // one is under way
    EXPECT_FALSE(saw.Break(4, trial_ms + 1));
    EXPECT_TRUE(saw.IsStopped(trial_ms + kMinuteMs));
    EXPECT_TRUE(heard.IsStopped(trial_ms + kMinuteMs));
}

TEST(Crashers, ATrialThatEndsWellClears)
{
    const int64_t trial_ms = kStartMs + kMinuteMs / 2;
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Break(upstream);
    }
    table.Sent(kStartMs + 1); // of before: no trial yet
    EXPECT_FALSE(table.IsStopped(trial_ms));
    table.Sent(trial_ms);
    table.Good(trial_ms + 1);
    EXPECT_FALSE(table.IsStopped(trial_ms + 1));
    EXPECT_EQ(table.Breaks(), 0U);
}

// Guards against innocent contents that stay stopped: several upstreams lost
// power under them, and they run well elsewhere.
TEST(Crashers, AContentThatRanToItsEndIsClearedEverywhere)
{
    Table broken;
    Table good;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        broken.Break(upstream);
    }
    std::vector<BsCrasher> stale = broken.Told();
    broken.Tell(good);
    ASSERT_TRUE(good.IsStopped());
    good.Good();
    good.Tell(broken);
    EXPECT_FALSE(broken.IsStopped());
    EXPECT_EQ(broken.Breaks(), 0U);
    broken.Hear(stale); // late, and from before
    good.Hear(stale);
    EXPECT_FALSE(broken.IsStopped());
    EXPECT_FALSE(good.IsStopped());
    broken.Break(4);
    EXPECT_EQ(broken.Breaks(), 1U); // the run was not its own
}

// Guards against a content that many ask for, refused to all of them:
// upstreams crash around it, and there is no place for it in between.
TEST(Crashers, AContentThatRanLatelyIsNotToBlame)
{
    Table good;
    Table broken;
    good.Good();
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        EXPECT_FALSE(good.Break(upstream, kStartMs + kSecondMs));
        broken.Break(upstream, kStartMs + kSecondMs);
    }
    EXPECT_EQ(good.Breaks(), 0U);
    ASSERT_TRUE(broken.IsStopped(kStartMs + kSecondMs));
    broken.Tell(good, kStartMs + kSecondMs);
    EXPECT_FALSE(good.IsStopped(kStartMs + kSecondMs));
    good.Tell(broken, kStartMs + kSecondMs);
    EXPECT_FALSE(broken.IsStopped(kStartMs + kSecondMs));
}

TEST(Crashers, WhatRanLongAgoIsCountedAgain)
{
    Table table;
    table.Good();
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Break(upstream, kStartMs + kMinuteMs);
    }
    EXPECT_TRUE(table.IsStopped(kStartMs + kMinuteMs));
}

TEST(Crashers, OneThatLagsBehindIsToldAgain)
{
    Table ahead;
    Table behind;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        ahead.Break(upstream);
        behind.Break(upstream);
    }
    ahead.Good();
    int64_t later_ms = kStartMs + kMinuteMs; // no longer news
    ahead.Told(later_ms);
    behind.Tell(ahead, later_ms);
    ahead.Tell(behind, later_ms);
    EXPECT_EQ(behind.Breaks(), 0U);
}

// Guards against changes that are never told since others came after them.
TEST(Crashers, AllChangesAreToldInTurns)
{
    const uint64_t contents = 40;
    Table table;
    std::set<uint64_t> told;
    for (uint64_t content = 1; content <= contents; content++) {
        table.Break(1, kStartMs, content);
    }
    const uint64_t news_in_report = BS_CRASHERS_TOLD_MAX - 2;
    for (uint64_t i = 0; i * news_in_report < contents; i++) {
        std::vector<BsCrasher> report = table.Told();
        EXPECT_LE(report.size(), (size_t)BS_CRASHERS_TOLD_MAX);
        for (const BsCrasher &crasher : report) {
            told.insert(crasher.content);
        }
    }
    EXPECT_EQ(told.size(), contents);
}

// Guards against a started instance that never learns what is stopped, as
// upstreams keep crashing under other contents.
TEST(Crashers, StopsAreToldBesideManyChanges)
{
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Break(upstream);
    }
    int64_t now_ms = kStartMs + kMinuteMs;
    bool told = false;
    for (uint64_t content = 100; content < 200; content++) {
        now_ms += 10;
        table.Break(1, now_ms, content);
        for (const BsCrasher &crasher : table.Told(now_ms)) {
            told |= crasher.content == kContent && content > 120;
        }
    }
    EXPECT_TRUE(told);
}

// Guards against a started instance that sends what others have stopped, once
// the one that counted is gone.
TEST(Crashers, AStopIsToldByThoseWhoHeardOfIt)
{
    Table counted;
    Table heard;
    Table started;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        counted.Break(upstream);
    }
    counted.Tell(heard);
    int64_t later_ms = kStartMs + kMinuteMs;
    heard.Told(later_ms);
    heard.Tell(started, later_ms);
    EXPECT_TRUE(started.IsStopped(later_ms));
    EXPECT_FALSE(started.IsStopped(kStartMs + kStopMs + 1));
}

// Guards against a stop that instances learn from each other without end.
TEST(Crashers, AStopEndsThoughInstancesTellEachOther)
{
    const int64_t delay_ms = 50;
    Table tables[2];
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        tables[0].Break(upstream);
    }
    int64_t now_ms = kStartMs;
    for (; now_ms < kStartMs + kStopMs + kSecondMs; now_ms += kSecondMs) {
        for (int from = 0; from < 2; from++) {
            std::vector<BsCrasher> told = tables[from].Told(now_ms);
            tables[1 - from].Hear(told, now_ms + delay_ms);
        }
    }
    EXPECT_FALSE(tables[0].IsStopped(now_ms));
    EXPECT_FALSE(tables[1].IsStopped(now_ms));
}

TEST(Crashers, WhatIsRememberedIsBoundedAndStopsAreKept)
{
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Break(upstream);
    }
    int64_t now_ms = kStartMs;
    for (uint64_t i = 0; i < 10000; i++) {
        now_ms += 50;
        table.Break(1, now_ms, 1000 + i);
        table.Told(now_ms);
    }
    table.Sent(now_ms); // the only one let through
    EXPECT_EQ(table.Count(), 4096U);
    EXPECT_TRUE(table.IsStopped(now_ms));
    EXPECT_EQ(table.Breaks(1000), 0U); // the oldest went first
}

TEST(Crashers, ContentsAreForgotten)
{
    Table table;
    table.Break(1);
    int64_t later_ms = kStartMs + 2 * kStopMs + kSecondMs;
    table.Told(later_ms);
    table.Told(later_ms);
    EXPECT_EQ(table.Count(), 0U);
}

// Instances break upstreams, run contents well, and tell each other late, out
// of order and twice; some reports are lost.  In the end all know the same.
TEST(Crashers, AllInstancesComeToTheSameWhateverTheOrder)
{
    for (unsigned seed = 1; seed <= 50; seed++) {
        std::mt19937 random(seed);
        Table tables[4];
        std::vector<std::vector<BsCrasher>> on_the_way;
        int64_t now_ms = kStartMs;
        for (int step = 0; step < 200; step++) {
            Table &table = tables[random() % 4];
            now_ms += 10;
            if (random() % 10 == 0) {
                table.Break(random() % 8, now_ms);
            }
            else if (random() % 30 == 0) {
                table.Good(now_ms);
            }
            on_the_way.push_back(table.Told(now_ms));
            std::shuffle(on_the_way.begin(), on_the_way.end(), random);
            tables[random() % 4].Hear(on_the_way.back(), now_ms);
            if (random() % 2 == 0) {
                on_the_way.pop_back();
            }
        }
        for (int round = 0; round < 4; round++) {
            for (Table &from : tables) {
                for (Table &to : tables) {
                    from.Tell(to, now_ms);
                }
            }
        }
        for (Table &table : tables) {
            EXPECT_EQ(table.Breaks(), tables[0].Breaks()) << "seed " << seed;
            EXPECT_EQ(table.IsStopped(now_ms), tables[0].IsStopped(now_ms));
        }
    }
}

} // namespace
