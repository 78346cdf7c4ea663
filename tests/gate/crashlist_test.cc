// Requests that crash upstreams, counted by all instances together.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "crashlist.h"
}

namespace {

const int64_t kStartMs = 100000;
const int64_t kSecondMs = 1000;
const int64_t kMinuteMs = 60000;
// How long a block lasts without another crash.
const int64_t kBlockMs = 10 * kMinuteMs;
const uint64_t kContent = 7;

// The crash records of one instance.
class Table {
  public:
    Table() : list_(BsCrashList_Create())
    {
    }
    ~Table()
    {
        BsCrashList_Destroy(list_);
    }
    Table(const Table &) = delete;
    Table &operator=(const Table &) = delete;
    // Returns whether this crash blocked the content.
    bool Crash(uint32_t upstream, int64_t now_ms = kStartMs,
               uint64_t content = kContent)
    {
        uint64_t before = BsCrashList_Count(list_, now_ms).blocks;
        BsCrashList_NoteCrash(list_, content, upstream, now_ms - 1, now_ms);
        return BsCrashList_Count(list_, now_ms).blocks > before;
    }
    void GiveUp(uint32_t upstream, uint64_t content = kContent)
    {
        BsCrashList_NoteGivenUp(list_, content, upstream, kStartMs - 1,
                                kStartMs);
    }
    void UpstreamEnded(uint32_t upstream, int64_t now_ms)
    {
        BsCrashList_NoteUpstreamEnded(list_, upstream, now_ms);
    }
    void Sent(int64_t now_ms)
    {
        BsCrashList_NoteSent(list_, kContent, now_ms);
    }
    void Complete(int64_t now_ms = kStartMs)
    {
        BsCrashList_NoteCompleted(list_, kContent, now_ms);
    }
    bool IsBlocked(int64_t now_ms = kStartMs, uint64_t content = kContent)
    {
        return BsCrashList_IsBlocked(list_, content, now_ms);
    }
    uint32_t Crashes(uint64_t content = kContent)
    {
        return BsCrashList_CountCrashes(list_, content);
    }
    uint32_t Count()
    {
        return BsCrashList_Count(list_, kStartMs).contents;
    }
    std::vector<BsCrashRecord> Report(int64_t now_ms = kStartMs)
    {
        GArray *reported = g_array_new(FALSE, FALSE, sizeof(BsCrashRecord));
        BsCrashList_Append(list_, now_ms, reported);
        const BsCrashRecord *first =
            &g_array_index(reported, BsCrashRecord, 0);
        std::vector<BsCrashRecord> records(first, first + reported->len);
        g_array_unref(reported);
        return records;
    }
    void Merge(const std::vector<BsCrashRecord> &records,
               int64_t now_ms = kStartMs)
    {
        GArray *reported = g_array_new(FALSE, FALSE, sizeof(BsCrashRecord));
        for (const BsCrashRecord &record : records) {
            g_array_append_val(reported, record);
        }
        BsCrashList_Merge(list_, reported, now_ms);
        g_array_unref(reported);
    }
    void ReportTo(Table &other, int64_t now_ms = kStartMs)
    {
        other.Merge(Report(now_ms), now_ms);
    }

  private:
    BsCrashList *list_;
};

TEST(CrashList, HashCoversAccountPathAndBody)
{
    auto content = [](const char *account, const char *path,
                      const std::string &body) {
        return BsCrashList_HashContent(account, path, body.data(),
                                       body.size());
    };
    uint64_t one = content("acme", "/a", "body");
    EXPECT_EQ(one, content("acme", "/a", "body"));
    EXPECT_NE(one, content("other", "/a", "body"));
    EXPECT_NE(one, content(nullptr, "/a", "body"));
    EXPECT_NE(one, content("acme", "/b", "body"));
    EXPECT_NE(one, content("acme", "/a", "Body"));
    EXPECT_NE(content("acme", "/a", ""), content("acme", "/b", ""));
}

TEST(CrashList, ThreeCrashedUpstreamsBlockAContent)
{
    Table table;
    EXPECT_FALSE(table.Crash(1));
    EXPECT_FALSE(table.Crash(2));
    EXPECT_FALSE(table.IsBlocked());
    EXPECT_TRUE(table.Crash(3));
    EXPECT_TRUE(table.IsBlocked());
    EXPECT_FALSE(table.Crash(4)); // was blocked before
    EXPECT_FALSE(table.IsBlocked(kStartMs, kContent + 1));
}

// Guards against blocking a content that is requested often when a single
// upstream crashes while it runs several copies.
TEST(CrashList, OneCrashUnderManyCopiesCountsOnce)
{
    Table here;
    Table there;
    for (int copy = 0; copy < 6; copy++) {
        here.Crash(1);
        there.Crash(1);
    }
    there.ReportTo(here);
    EXPECT_EQ(here.Crashes(), 1U);
}

// Guards against crashes that are not counted because the platform's list does
// not yet show that the upstream has restarted.
TEST(CrashList, ARestartedUpstreamCountsAgain)
{
    Table table;
    table.Crash(1);
    table.Crash(1, kStartMs + 5 * kSecondMs);
    table.Crash(1, kStartMs + 10 * kSecondMs);
    EXPECT_TRUE(table.IsBlocked(kStartMs + 10 * kSecondMs));
}

// Guards against crashes that are not counted because connections stay open:
// only the platform's list shows that the upstream has ended.
TEST(CrashList, AGivenUpRequestCountsOnceItsUpstreamHasEnded)
{
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.GiveUp(upstream);
        EXPECT_EQ(table.Crashes(), upstream - 1);
        table.UpstreamEnded(upstream, kStartMs + 5 * kSecondMs);
        EXPECT_EQ(table.Crashes(), upstream);
    }
    EXPECT_TRUE(table.IsBlocked(kStartMs + 5 * kSecondMs));
}

TEST(CrashList, AGivenUpRequestDoesNotCountIfItsUpstreamLivesOn)
{
    Table table;
    table.GiveUp(1);
    table.UpstreamEnded(2, kStartMs + 5 * kSecondMs);
    table.UpstreamEnded(1, kStartMs + kMinuteMs); // too late: another cause
    EXPECT_EQ(table.Crashes(), 0U);
}

TEST(CrashList, GivenUpRequestsAreBounded)
{
    Table table;
    for (uint64_t content = 0; content < 1000; content++) {
        table.GiveUp(1, content);
    }
    table.UpstreamEnded(1, kStartMs);
    EXPECT_EQ(table.Count(), 256U);
    EXPECT_EQ(table.Crashes(999), 1U);
    EXPECT_EQ(table.Crashes(0), 0U);
}

TEST(CrashList, CrashesAtDifferentInstancesAreMerged)
{
    Table tables[3];
    for (uint32_t i = 0; i < 3; i++) {
        tables[i].Crash(i);
    }
    for (Table &from : tables) {
        for (Table &to : tables) {
            from.ReportTo(to);
        }
    }
    for (Table &table : tables) {
        EXPECT_TRUE(table.IsBlocked());
    }
}

// Guards against crashes that are dropped before a content is retried after
// a long pause.
TEST(CrashList, CrashesAMinuteApartAreCounted)
{
    Table table;
    table.Crash(1);
    table.Crash(2, kStartMs + kMinuteMs);
    table.Crash(3, kStartMs + 2 * kMinuteMs);
    EXPECT_TRUE(table.IsBlocked(kStartMs + 2 * kMinuteMs));
    table.Sent(kStartMs + 3 * kMinuteMs); // the only trial
    EXPECT_TRUE(table.IsBlocked(kStartMs + 8 * kMinuteMs));
}

TEST(CrashList, OneCrashAfterABlockHasEndedBlocksAgain)
{
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Crash(upstream);
    }
    int64_t later_ms = kStartMs + kBlockMs + 1;
    EXPECT_FALSE(table.IsBlocked(later_ms));
    EXPECT_TRUE(table.Crash(9, later_ms));
    EXPECT_TRUE(table.IsBlocked(later_ms));
    Table peer;
    table.ReportTo(peer, later_ms);
    EXPECT_TRUE(peer.IsBlocked(later_ms));
}

// Guards against a harmless content that stays blocked because its upstreams
// lost power at once and no instance sent it since.
TEST(CrashList, OneTrialIsSentWhereTheLastCrashWasSeen)
{
    const int64_t trial_ms = kStartMs + kMinuteMs / 2;
    Table receiver;
    Table saw;
    receiver.Crash(1);
    receiver.Crash(2);
    receiver.ReportTo(saw);
    ASSERT_TRUE(saw.Crash(3));
    saw.ReportTo(receiver);
    EXPECT_TRUE(saw.IsBlocked(trial_ms - 1));
    EXPECT_FALSE(saw.IsBlocked(trial_ms));
    EXPECT_TRUE(receiver.IsBlocked(trial_ms));
    saw.Sent(trial_ms);
    EXPECT_TRUE(saw.IsBlocked(trial_ms)); // the trial is running
    EXPECT_FALSE(saw.Crash(4, trial_ms + 1));
    EXPECT_TRUE(saw.IsBlocked(trial_ms + kMinuteMs));
    EXPECT_TRUE(receiver.IsBlocked(trial_ms + kMinuteMs));
}

TEST(CrashList, ATrialThatCompletesClearsTheCrashes)
{
    const int64_t trial_ms = kStartMs + kMinuteMs / 2;
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Crash(upstream);
    }
    table.Sent(kStartMs + 1); // no trial is due yet
    EXPECT_FALSE(table.IsBlocked(trial_ms));
    table.Sent(trial_ms);
    table.Complete(trial_ms + 1);
    EXPECT_FALSE(table.IsBlocked(trial_ms + 1));
    EXPECT_EQ(table.Crashes(), 0U);
}

// Guards against harmless contents that stay blocked after several upstreams
// lost power while running them, although they complete elsewhere.
TEST(CrashList, ACompletedContentIsClearedAtAllInstances)
{
    Table broken;
    Table good;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        broken.Crash(upstream);
    }
    std::vector<BsCrashRecord> stale = broken.Report();
    broken.ReportTo(good);
    ASSERT_TRUE(good.IsBlocked());
    good.Complete();
    good.ReportTo(broken);
    EXPECT_FALSE(broken.IsBlocked());
    EXPECT_EQ(broken.Crashes(), 0U);
    broken.Merge(stale); // an older generation that arrives late
    good.Merge(stale);
    EXPECT_FALSE(broken.IsBlocked());
    EXPECT_FALSE(good.IsBlocked());
    broken.Crash(4);
    EXPECT_EQ(broken.Crashes(), 1U); // it completed elsewhere
}

// Guards against blocking a content that is requested often when upstreams
// crash for other causes and no slot is free to complete it in between.
TEST(CrashList, CrashesSoonAfterCompletionDoNotCount)
{
    Table good;
    Table broken;
    good.Complete();
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        EXPECT_FALSE(good.Crash(upstream, kStartMs + kSecondMs));
        broken.Crash(upstream, kStartMs + kSecondMs);
    }
    EXPECT_EQ(good.Crashes(), 0U);
    ASSERT_TRUE(broken.IsBlocked(kStartMs + kSecondMs));
    broken.ReportTo(good, kStartMs + kSecondMs);
    EXPECT_FALSE(good.IsBlocked(kStartMs + kSecondMs));
    good.ReportTo(broken, kStartMs + kSecondMs);
    EXPECT_FALSE(broken.IsBlocked(kStartMs + kSecondMs));
}

TEST(CrashList, CrashesLongAfterCompletionCount)
{
    Table table;
    table.Complete();
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Crash(upstream, kStartMs + kMinuteMs);
    }
    EXPECT_TRUE(table.IsBlocked(kStartMs + kMinuteMs));
}

TEST(CrashList, AnInstanceThatIsBehindIsUpdated)
{
    Table ahead;
    Table behind;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        ahead.Crash(upstream);
        behind.Crash(upstream);
    }
    ahead.Complete();
    int64_t later_ms = kStartMs + kMinuteMs; // changes are no longer reported
    ahead.Report(later_ms);
    behind.ReportTo(ahead, later_ms);
    ahead.ReportTo(behind, later_ms);
    EXPECT_EQ(behind.Crashes(), 0U);
}

// Guards against changes that are never reported because newer ones displace
// them.
TEST(CrashList, AllChangesAreReportedInRotation)
{
    const uint64_t contents = 40;
    Table table;
    std::set<uint64_t> reported;
    for (uint64_t content = 1; content <= contents; content++) {
        table.Crash(1, kStartMs, content);
    }
    const uint64_t news_in_report = BS_CRASH_RECORDS_REPORTED_MAX - 2;
    for (uint64_t i = 0; i * news_in_report < contents; i++) {
        std::vector<BsCrashRecord> report = table.Report();
        EXPECT_LE(report.size(), (size_t)BS_CRASH_RECORDS_REPORTED_MAX);
        for (const BsCrashRecord &record : report) {
            reported.insert(record.content);
        }
    }
    EXPECT_EQ(reported.size(), contents);
}

// Guards against a newly started instance that never receives the blocked
// contents because crashes by other contents fill the reports.
TEST(CrashList, BlocksAreReportedDespiteManyChanges)
{
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Crash(upstream);
    }
    int64_t now_ms = kStartMs + kMinuteMs;
    bool reported = false;
    for (uint64_t content = 100; content < 200; content++) {
        now_ms += 10;
        table.Crash(1, now_ms, content);
        for (const BsCrashRecord &record : table.Report(now_ms)) {
            reported |= record.content == kContent && content > 120;
        }
    }
    EXPECT_TRUE(reported);
}

// Guards against a newly started instance that sends a blocked content because
// the instance that counted the crashes has ended.
TEST(CrashList, BlocksAreReportedByInstancesThatReceivedThem)
{
    Table counted;
    Table receiver;
    Table started;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        counted.Crash(upstream);
    }
    counted.ReportTo(receiver);
    int64_t later_ms = kStartMs + kMinuteMs;
    receiver.Report(later_ms);
    receiver.ReportTo(started, later_ms);
    EXPECT_TRUE(started.IsBlocked(later_ms));
    EXPECT_FALSE(started.IsBlocked(kStartMs + kBlockMs + 1));
}

// Guards against a block that instances learn from each other without end.
TEST(CrashList, ABlockEndsAlthoughInstancesReportItToEachOther)
{
    const int64_t delay_ms = 50;
    Table tables[2];
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        tables[0].Crash(upstream);
    }
    int64_t now_ms = kStartMs;
    for (; now_ms < kStartMs + kBlockMs + kSecondMs; now_ms += kSecondMs) {
        for (int from = 0; from < 2; from++) {
            std::vector<BsCrashRecord> report = tables[from].Report(now_ms);
            tables[1 - from].Merge(report, now_ms + delay_ms);
        }
    }
    EXPECT_FALSE(tables[0].IsBlocked(now_ms));
    EXPECT_FALSE(tables[1].IsBlocked(now_ms));
}

TEST(CrashList, EntriesAreBoundedAndBlocksAreKept)
{
    Table table;
    for (uint32_t upstream = 1; upstream <= 3; upstream++) {
        table.Crash(upstream);
    }
    int64_t now_ms = kStartMs;
    for (uint64_t i = 0; i < 10000; i++) {
        now_ms += 50;
        table.Crash(1, now_ms, 1000 + i);
        table.Report(now_ms);
    }
    table.Sent(now_ms); // the only trial
    EXPECT_EQ(table.Count(), 4096U);
    EXPECT_TRUE(table.IsBlocked(now_ms));
    EXPECT_EQ(table.Crashes(1000), 0U); // the oldest was evicted first
}

TEST(CrashList, ContentsExpire)
{
    Table table;
    table.Crash(1);
    int64_t later_ms = kStartMs + 2 * kBlockMs + kSecondMs;
    table.Report(later_ms);
    table.Report(later_ms);
    EXPECT_EQ(table.Count(), 0U);
}

// Instances record crashes and completions; their reports arrive late, out of
// order or twice, or are lost.  In the end all instances have the same state.
TEST(CrashList, InstancesConvergeInAnyOrderOfReports)
{
    for (unsigned seed = 1; seed <= 50; seed++) {
        std::mt19937 random(seed);
        Table tables[4];
        std::vector<std::vector<BsCrashRecord>> on_the_way;
        int64_t now_ms = kStartMs;
        for (int step = 0; step < 200; step++) {
            Table &table = tables[random() % 4];
            now_ms += 10;
            if (random() % 10 == 0) {
                table.Crash(random() % 8, now_ms);
            }
            else if (random() % 30 == 0) {
                table.Complete(now_ms);
            }
            on_the_way.push_back(table.Report(now_ms));
            std::shuffle(on_the_way.begin(), on_the_way.end(), random);
            tables[random() % 4].Merge(on_the_way.back(), now_ms);
            if (random() % 2 == 0) {
                on_the_way.pop_back();
            }
        }
        for (int round = 0; round < 4; round++) {
            for (Table &from : tables) {
                for (Table &to : tables) {
                    from.ReportTo(to, now_ms);
                }
            }
        }
        for (Table &table : tables) {
            EXPECT_EQ(table.Crashes(), tables[0].Crashes()) << "seed " << seed;
            EXPECT_EQ(table.IsBlocked(now_ms), tables[0].IsBlocked(now_ms));
        }
    }
}

} // namespace
