// Which software version began a stream: the table of one instance.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "streamversions.h"
}

namespace {

const int64_t kStartMs = 100000;
const int64_t kLifeMs = 60000;
const char *const kService = "desk";

uint64_t
Version(const char *text)
{
    return BsStreamVersions_Hash(kService, text);
}

// The table of one instance, which has known the list for a whole life.
class Table {
  public:
    Table() : table_(BsStreamVersions_Create(kStartMs - 2 * kLifeMs - 1))
    {
        BsStreamVersions_SetLife(table_, kLifeMs, kStartMs - 2 * kLifeMs);
        KeepCurrent(kStartMs);
    }
    // The list is known to be current until NOW_MS.
    void KeepCurrent(int64_t now_ms)
    {
        for (; current_ms_ < now_ms; current_ms_ += 1000) {
            BsStreamVersions_NoteCurrent(table_, current_ms_);
        }
        BsStreamVersions_NoteCurrent(table_, now_ms);
    }
    ~Table()
    {
        BsStreamVersions_Destroy(table_);
    }
    Table(const Table &) = delete;
    Table &operator=(const Table &) = delete;
    BsStreamVersions *get()
    {
        return table_;
    }
    void Serve(const char *version, int64_t now_ms = kStartMs)
    {
        KeepCurrent(now_ms);
        BsStreamVersions_NoteServing(table_, Version(version), now_ms);
    }
    void Note(uint64_t key, const char *version, uint32_t generation = 1,
              int64_t now_ms = kStartMs)
    {
        BsStreamRecord record = {key, Version(version), generation};
        BsStreamVersions_Note(table_, &record, now_ms);
    }
    bool Merge(const std::vector<BsStreamRecord> &records,
               int64_t now_ms = kStartMs)
    {
        GArray *array = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
        g_array_append_vals(array, records.data(), (guint)records.size());
        bool changed = BsStreamVersions_Merge(table_, array, now_ms);
        g_array_unref(array);
        return changed;
    }
    void Send(uint64_t key, uint32_t upstream, int64_t now_ms = kStartMs)
    {
        BsStreamVersions_NoteUpstream(table_, key, upstream, now_ms);
    }
    int64_t Restart(uint32_t upstream, const char *version,
                    int64_t now_ms = kStartMs)
    {
        return BsStreamVersions_NoteRestart(table_, upstream, Version(version),
                                            now_ms);
    }
    // The version found; 0 if it is unknown.
    uint64_t Find(uint64_t key, int64_t now_ms = kStartMs)
    {
        uint64_t version = 1;
        BsStreamVersionState state = BsStreamVersions_Find(
            table_, key, BsStreamVersions_HashService(kService), now_ms,
            &version);
        EXPECT_EQ(state == BS_STREAM_VERSION_KNOWN, version != 0);
        return version;
    }
    bool Mixed(int64_t now_ms = kStartMs)
    {
        return BsStreamVersions_IsMixed(
            table_, BsStreamVersions_HashService(kService), now_ms);
    }
    // The records of streams that are to be sent.
    std::vector<BsStreamRecord> Take(guint max = 1000,
                                     int64_t now_ms = kStartMs)
    {
        GArray *array = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
        BsStreamVersions_TakeUnsent(table_, max, now_ms, array);
        std::vector<BsStreamRecord> records;
        announced.clear();
        for (guint i = 0; i < array->len; i++) {
            BsStreamRecord record = g_array_index(array, BsStreamRecord, i);
            if (record.key == 0) {
                announced.push_back(record.version);
            }
            else {
                records.push_back(record);
            }
        }
        g_array_unref(array);
        return records;
    }

    std::vector<uint64_t> announced; // versions, by the last Take()

  private:
    BsStreamVersions *table_;
    int64_t current_ms_ = kStartMs - 2 * kLifeMs;
};

// Guards against equal hashes of different services, accounts or versions.
TEST(StreamVersionsTest, KeysAndHashesDependOnEachPart)
{
    EXPECT_NE(BsStreamVersions_Key("a", "x", "1"),
              BsStreamVersions_Key("b", "x", "1"));
    EXPECT_NE(BsStreamVersions_Key("a", "x", "1"),
              BsStreamVersions_Key("a", "y", "1"));
    EXPECT_NE(BsStreamVersions_Key("a", "x", "1"),
              BsStreamVersions_Key("a", NULL, "1"));
    EXPECT_NE(BsStreamVersions_Key("a", "", "1"),
              BsStreamVersions_Key("a", NULL, "1"));
    EXPECT_NE(BsStreamVersions_Hash("a", "v1"),
              BsStreamVersions_Hash("b", "v1"));
    EXPECT_EQ(BsStreamVersions_Hash("a", NULL),
              BsStreamVersions_Hash("a", ""));
    EXPECT_EQ(BsStreamVersions_Service(BsStreamVersions_Hash("a", "v1")),
              BsStreamVersions_HashService("a"));
}

// Guards against refused take-ups, and needless records, while one version
// serves.
TEST(StreamVersionsTest, OneVersionAnswersForAllStreams)
{
    Table table;
    table.Serve("v1");
    EXPECT_EQ(table.Find(7), Version("v1"));
    EXPECT_FALSE(table.Mixed());
    table.Note(8, "v1");
    EXPECT_TRUE(table.Take().empty());
}

// Guards against a stream that goes on at a version which may not have begun
// it.
TEST(StreamVersionsTest, TwoVersionsLeaveAnUnknownStreamUnknown)
{
    Table table;
    table.Note(8, "v1");
    table.Serve("v1");
    table.Serve("v2");
    EXPECT_TRUE(table.Mixed());
    EXPECT_EQ(table.Find(7), 0u);
    EXPECT_EQ(table.Find(8), Version("v1"));
}

// Guards against going on at the new version just after the old one has left.
TEST(StreamVersionsTest, AVersionThatHasLeftCountsForALife)
{
    Table table;
    table.Serve("v1");
    table.Serve("v2");
    table.Serve("v2", kStartMs + kLifeMs);
    EXPECT_EQ(table.Find(7, kStartMs + kLifeMs), 0u);
    table.Serve("v2", kStartMs + kLifeMs + 1);
    EXPECT_EQ(table.Find(7, kStartMs + kLifeMs + 1), Version("v2"));
}

// Guards against taking the listed version for the only one after a start, a
// cut or a restored store.
TEST(StreamVersionsTest, AfterAGapOnlyRecordsAnswerForALife)
{
    Table table;
    table.Serve("v1");
    table.Note(8, "v1");
    BsStreamVersions_NoteGap(table.get(), kStartMs);
    EXPECT_TRUE(table.Mixed());
    EXPECT_EQ(table.Find(7), 0u);
    EXPECT_EQ(table.Find(8), Version("v1"));
    table.Serve("v1", kStartMs + kLifeMs + 1);
    EXPECT_EQ(table.Find(7, kStartMs + kLifeMs + 1), Version("v1"));
}

// Guards against a process that has stalled and goes by an old list.
TEST(StreamVersionsTest, AnOldListCountsAsAGap)
{
    Table table;
    table.Serve("v1");
    EXPECT_EQ(table.Find(7, kStartMs + 2000), Version("v1"));
    EXPECT_EQ(table.Find(7, kStartMs + 2001), 0u);
    BsStreamVersions_NoteCurrent(table.get(), kStartMs + 5000);
    EXPECT_EQ(table.Find(7, kStartMs + 5000), 0u);
    table.Serve("v1", kStartMs + 5000 + kLifeMs + 1);
    EXPECT_EQ(table.Find(7, kStartMs + 5000 + kLifeMs + 1), Version("v1"));
}

// Guards against the one version of a fresh table, which may have had others.
TEST(StreamVersionsTest, AFreshTableKnowsNothing)
{
    BsStreamVersions *fresh = BsStreamVersions_Create(kStartMs);
    uint64_t version = 1;
    BsStreamVersions_NoteServing(fresh, Version("v1"), kStartMs);
    EXPECT_EQ(BsStreamVersions_Find(fresh, 7,
                                    BsStreamVersions_HashService(kService),
                                    kStartMs, &version),
              BS_STREAM_VERSION_UNKNOWN);
    EXPECT_EQ(version, 0u);
    BsStreamVersions_Destroy(fresh);
}

// Guards against versions that are forgotten while an instance, cut off, may
// still send to them.
TEST(StreamVersionsTest, VersionsDoNotExpireWhileAnInstanceIsUnreachable)
{
    Table table;
    table.Serve("v1");
    int64_t now_ms = kStartMs;
    for (int i = 0; i < 4; i++) {
        now_ms += kLifeMs / 2;
        table.Serve("v2", now_ms);
        BsStreamVersions_NoteUnreachable(table.get(), now_ms);
    }
    EXPECT_EQ(table.Find(7, now_ms), 0u);
    table.Serve("v2", now_ms + kLifeMs + 1);
    EXPECT_EQ(table.Find(7, now_ms + kLifeMs + 1), Version("v2"));
}

// Guards against an old record that undoes a newer one, in any order.
TEST(StreamVersionsTest, TheHigherGenerationHoldsInAnyOrder)
{
    Table a;
    Table b;
    BsStreamRecord first = {8, Version("v1"), 1};
    BsStreamRecord second = {8, Version("v2"), 2};
    EXPECT_TRUE(a.Merge({first}));
    EXPECT_TRUE(a.Merge({second}));
    EXPECT_TRUE(b.Merge({second}));
    EXPECT_FALSE(b.Merge({first}));
    EXPECT_EQ(a.Find(8), Version("v2"));
    EXPECT_EQ(b.Find(8), Version("v2"));
}

// Guards against a guess when one id began two streams.
TEST(StreamVersionsTest, OneKeyWithTwoVersionsIsUnknown)
{
    Table a;
    Table b;
    BsStreamRecord first = {8, Version("v1"), 1};
    BsStreamRecord second = {8, Version("v2"), 1};
    a.Merge({first, second});
    b.Merge({second, first, second});
    EXPECT_EQ(a.Find(8), 0u);
    EXPECT_EQ(b.Find(8), 0u);
    a.Merge({{8, Version("v2"), 2}});
    EXPECT_EQ(a.Find(8), Version("v2"));
}

// Guards against a version that only others have seen yet, and that is thus
// not counted here.
TEST(StreamVersionsTest, ARecordOfAnUnlistedVersionCountsAsServing)
{
    Table table;
    table.Serve("v1");
    EXPECT_EQ(table.Find(7), Version("v1"));
    table.Merge({{8, Version("v2"), 1}});
    EXPECT_EQ(table.Find(7), 0u);
}

// Guards against streams from before a release that no other instance knows.
TEST(StreamVersionsTest, ARecordIsSentOnceWhenTheServiceBecomesMixed)
{
    Table table;
    table.Serve("v1");
    table.Note(8, "v1");
    table.Note(9, "v1");
    EXPECT_TRUE(table.Take().empty());
    table.Serve("v2");
    EXPECT_TRUE(table.Take(1).empty()); // the new version goes first
    EXPECT_EQ(table.Take(1).size(), 1u);
    EXPECT_EQ(table.Take().size(), 1u);
    EXPECT_TRUE(table.Take().empty());
    table.Note(10, "v2");
    std::vector<BsStreamRecord> records = table.Take();
    ASSERT_EQ(records.size(), 1u);
    EXPECT_EQ(records[0].key, 10u);
    EXPECT_EQ(records[0].version, Version("v2"));
    BsStreamVersions_SendAgain(table.get(), kStartMs);
    EXPECT_EQ(table.Take().size(), 3u);
}

// Guards against an instance that takes a version for the only one as its list
// is older than that of others.
TEST(StreamVersionsTest, ANewVersionIsAnnouncedBesideAnotherOne)
{
    Table a;
    Table b;
    a.Serve("v1");
    a.Take();
    EXPECT_TRUE(a.announced.empty());
    b.Serve("v1");
    a.Serve("v2");
    for (int i = 0; i < 3; i++) {
        a.Take(1000, kStartMs + i * 50);
        EXPECT_EQ(a.announced, std::vector<uint64_t>({Version("v2")}));
    }
    a.Take(1000, kStartMs + 5000);
    EXPECT_TRUE(a.announced.empty());
    EXPECT_EQ(b.Find(7), Version("v1"));
    EXPECT_FALSE(b.Merge({{0, Version("v2"), 0}}));
    EXPECT_EQ(b.Find(7), 0u);
    EXPECT_EQ(BsStreamVersions_Count(b.get()), 0u);
    // A new listener hears of those that are in service.
    a.Serve("v2", kStartMs + 5000);
    BsStreamVersions_SendAgain(a.get(), kStartMs + 5000);
    a.Take(1000, kStartMs + 5000);
    EXPECT_EQ(a.announced, std::vector<uint64_t>({Version("v2")}));
}

// Guards against a stream that is lost with one datagram.
TEST(StreamVersionsTest, ARecordIsSentASecondTimeLater)
{
    Table table;
    table.Serve("v1");
    table.Serve("v2");
    table.Note(8, "v1");
    EXPECT_EQ(table.Take().size(), 1u);
    EXPECT_TRUE(table.Take(1000, kStartMs + 100).empty());
    EXPECT_EQ(table.Take(1000, kStartMs + 300).size(), 1u);
    EXPECT_TRUE(table.Take(1000, kStartMs + 2000).empty());
}

// Guards against echoes: records of others are not sent.
TEST(StreamVersionsTest, RecordsOfOthersAreNotSent)
{
    Table table;
    table.Serve("v1");
    table.Merge({{8, Version("v2"), 1}});
    BsStreamVersions_SendAgain(table.get(), kStartMs);
    EXPECT_TRUE(table.Take().empty());
}

// Guards against a stream that is taken up for the second time after its
// first life.
TEST(StreamVersionsTest, ATakeUpMakesTheRecordLastLonger)
{
    Table table;
    table.Serve("v1");
    table.Serve("v2");
    table.Note(8, "v1");
    table.Note(8, "v1", 0, kStartMs + kLifeMs);
    EXPECT_EQ(table.Find(8, kStartMs + 2 * kLifeMs), Version("v1"));
    EXPECT_EQ(table.Take(1000, kStartMs + kLifeMs).size(), 1u);
}

// Guards against records that stay for ever.
TEST(StreamVersionsTest, RecordsExpire)
{
    Table table;
    for (uint64_t key = 1; key <= 1000; key++) {
        table.Note(key, "v1", 1, kStartMs + (int64_t)key);
    }
    table.Note(1, "v1", 1, kStartMs + kLifeMs / 2);
    EXPECT_EQ(BsStreamVersions_Count(table.get()), 1000u);
    int64_t now_ms = kStartMs + kLifeMs + 2000;
    table.Take(1, now_ms);
    table.Note(2000, "v1", 1, now_ms);
    EXPECT_EQ(BsStreamVersions_Count(table.get()), 2u);
    EXPECT_EQ(BsStreamVersions_Dropped(table.get()), 0u);
}

// Guards against unbounded memory, and against a drop that nobody sees.
TEST(StreamVersionsTest, TheOldestRecordIsDroppedAndCounted)
{
    Table table;
    table.Serve("v1");
    table.Serve("v2");
    const uint64_t max = 1 << 18;
    for (uint64_t key = 1; key <= max + 5; key++) {
        table.Merge({{key, Version("v1"), 1}});
    }
    EXPECT_EQ(BsStreamVersions_Count(table.get()), max);
    EXPECT_EQ(BsStreamVersions_Dropped(table.get()), 5u);
    EXPECT_EQ(table.Find(5), 0u);
    EXPECT_EQ(table.Find(6), Version("v1"));
}

// Guards against a shorter time-out that ends the memory of streams which
// began under the longer one.
TEST(StreamVersionsTest, AShorterLifeAppliesWhenTheLongerOneHasPassed)
{
    Table table;
    table.Serve("v1");
    table.Serve("v2");
    table.Note(8, "v1");
    BsStreamVersions_SetLife(table.get(), 1000, kStartMs);
    BsStreamVersions_SetLife(table.get(), 2000, kStartMs);
    EXPECT_EQ(table.Find(8, kStartMs + kLifeMs - 1), Version("v1"));
    EXPECT_EQ(table.Find(8, kStartMs + kLifeMs + 1), 0u);
}

// Guards against more versions, or services, than are remembered: none of
// them is the only one then.
TEST(StreamVersionsTest, TooManyVersionsOrServicesCountAsAGap)
{
    Table versions;
    Table services;
    for (int i = 0; i < 40; i++) {
        versions.Serve(std::to_string(i).c_str());
    }
    EXPECT_TRUE(versions.Mixed(kStartMs));
    services.Serve("v1");
    for (int i = 0; i < 2000; i++) {
        BsStreamVersions_NoteServing(
            services.get(),
            BsStreamVersions_Hash(std::to_string(i).c_str(), "v1"), kStartMs);
    }
    EXPECT_EQ(services.Find(7), 0u);
}

// Guards against a process that was paused and, before it knows the list
// again, drops the versions that it knew.
TEST(StreamVersionsTest, VersionsDoNotExpireDuringAPause)
{
    Table table;
    table.Serve("v1");
    int64_t now_ms = kStartMs + kLifeMs + 5000;
    BsStreamVersions_NoteServing(table.get(), Version("v2"), now_ms);
    BsStreamVersions_NoteCurrent(table.get(), now_ms);
    for (int64_t ms = 0; ms <= kLifeMs + 1000; ms += 1000) {
        table.Serve("v2", now_ms + ms);
        BsStreamVersions_NoteUnreachable(table.get(), now_ms + ms);
    }
    EXPECT_EQ(table.Find(7, now_ms + kLifeMs + 1000), 0u);
    now_ms += 2 * kLifeMs + 1001;
    table.Serve("v2", now_ms);
    EXPECT_EQ(table.Find(7, now_ms), Version("v2"));
}

// Guards against an instance that has never heard a part of the fleet and
// takes the version it knows for the only one, or tells others that as a
// record.
TEST(StreamVersionsTest, WhileAPartIsUnheardOnlyRecordsAnswer)
{
    Table table;
    table.Serve("v1");
    table.Note(8, "v1");
    BsStreamVersions_NoteUnheard(table.get(), true, kStartMs);
    EXPECT_TRUE(table.Mixed());
    EXPECT_EQ(table.Find(7), 0u);
    EXPECT_EQ(table.Find(8), Version("v1"));
    GArray *questions = g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    GArray *records = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    for (uint64_t key : {7, 8}) {
        BsStreamQuestion question = {
            key, BsStreamVersions_HashService(kService), 0};
        g_array_append_val(questions, question);
    }
    BsStreamVersions_Answer(table.get(), questions, kStartMs, records);
    ASSERT_EQ(records->len, 1u);
    EXPECT_EQ(g_array_index(records, BsStreamRecord, 0).key, 8u);
    g_array_unref(questions);
    g_array_unref(records);
    // For a life after it was heard, its streams may be taken up.
    BsStreamVersions_NoteUnheard(table.get(), false, kStartMs);
    table.Serve("v1", kStartMs + kLifeMs);
    EXPECT_EQ(table.Find(7, kStartMs + kLifeMs), 0u);
    table.Serve("v1", kStartMs + kLifeMs + 1);
    EXPECT_EQ(table.Find(7, kStartMs + kLifeMs + 1), Version("v1"));
}

// Guards against a fleet that waits for longer after its start, as it takes a
// moment until all hear each other.
TEST(StreamVersionsTest, APartThatIsHeardSoonAfterTheStartCostsNothing)
{
    BsStreamVersions *fresh = BsStreamVersions_Create(kStartMs);
    uint32_t service = BsStreamVersions_HashService(kService);
    uint64_t version = 0;
    BsStreamVersions_SetLife(fresh, kLifeMs, kStartMs);
    for (int64_t ms = 0; ms <= kLifeMs + 1; ms += 1000) {
        BsStreamVersions_NoteCurrent(fresh, kStartMs + ms);
        BsStreamVersions_NoteServing(fresh, Version("v1"), kStartMs + ms);
        BsStreamVersions_NoteUnheard(fresh, ms < 5000, kStartMs + ms);
    }
    EXPECT_EQ(
        BsStreamVersions_Find(fresh, 7, service, kStartMs + kLifeMs, &version),
        BS_STREAM_VERSION_UNKNOWN);
    EXPECT_EQ(BsStreamVersions_Find(fresh, 7, service, kStartMs + kLifeMs + 1,
                                    &version),
              BS_STREAM_VERSION_KNOWN);
    BsStreamVersions_Destroy(fresh);
}

// Guards against a stream that goes on at the version which its upstream had
// before it started again, although it may have begun after that (review/7).
TEST(StreamVersionsTest, AStreamOfARestartedUpstreamIsUnknown)
{
    Table table;
    table.Serve("v1");
    int64_t now_ms = kStartMs + 10000;
    table.Serve("v1", now_ms);
    table.Note(8, "v1", 1, now_ms - 3000);
    table.Send(8, 55, now_ms - 3000); // ran before the start
    table.Note(9, "v1", 1, now_ms - 400);
    table.Send(9, 55, now_ms - 400);
    table.Note(10, "v1", 1, now_ms - 400);
    table.Send(10, 66, now_ms - 400); // at another upstream
    table.Note(11, "v1", 1, now_ms - 400);
    table.Send(11, 55, now_ms - 400);
    table.Send(11, 0, now_ms - 300); // goes on at a version that is sure
    table.Serve("v2", now_ms);
    EXPECT_EQ(table.Restart(55, "v2", now_ms), now_ms - 2000);
    EXPECT_EQ(table.Find(8, now_ms), Version("v1"));
    EXPECT_EQ(table.Find(9, now_ms), 0u);
    EXPECT_EQ(table.Find(10, now_ms), Version("v1"));
    EXPECT_EQ(table.Find(11, now_ms), Version("v1"));
    // Nobody was told of it, so nobody is told of the doubt.
    for (const BsStreamRecord &record : table.Take(1000, now_ms)) {
        EXPECT_NE(record.key, 9u);
    }
    // A later attempt that is known settles it.
    table.Note(9, "v2", 2, now_ms);
    EXPECT_EQ(table.Find(9, now_ms), Version("v2"));
}

// Guards against an instance that was told of the earlier version before the
// restart was known, and one that is told of the later version only.
TEST(StreamVersionsTest, TheOthersAreToldOfARestartedUpstream)
{
    Table table;
    Table told;
    Table untold;
    table.Serve("v1");
    table.Serve("v2");
    table.Note(9, "v1");
    table.Send(9, 55);
    std::vector<BsStreamRecord> records = table.Take();
    ASSERT_EQ(records.size(), 1u);
    told.Merge(records);
    EXPECT_EQ(told.Find(9), Version("v1"));
    table.Restart(55, "v2");
    EXPECT_TRUE(table.Take(1).empty()); // both records or none
    records = table.Take();
    ASSERT_EQ(records.size(), 2u);
    told.Merge(records);
    untold.Merge(records);
    EXPECT_EQ(told.Find(9), 0u);
    EXPECT_EQ(untold.Find(9), 0u);
    EXPECT_EQ(table.Take(1000, kStartMs + 300).size(), 2u);
    EXPECT_TRUE(table.Take(1000, kStartMs + 900).empty());
}

// Guards against a restart that was noticed late, as the list was old: all
// that was sent since the list was current is in doubt.
TEST(StreamVersionsTest, AnOldListPutsAllSendsSinceInDoubt)
{
    Table table;
    table.Serve("v1");
    table.Note(9, "v1", 1, kStartMs + 1000);
    table.Send(9, 55, kStartMs + 1000);
    EXPECT_EQ(table.Restart(55, "v2", kStartMs + 30000), kStartMs - 2000);
    EXPECT_EQ(table.Find(9, kStartMs + 30000), 0u);
}

struct Changes {
    std::vector<bool> mixed;
    std::vector<uint32_t> counts;
};

void
OnChange(uint32_t service, bool mixed, uint32_t count, void *context)
{
    EXPECT_EQ(service, BsStreamVersions_HashService(kService));
    static_cast<Changes *>(context)->mixed.push_back(mixed);
    static_cast<Changes *>(context)->counts.push_back(count);
}

// Guards against changes that the log tells twice or never.
TEST(StreamVersionsTest, EachChangeIsReportedOnce)
{
    Table table;
    Changes changes;
    table.Serve("v1");
    BsStreamVersions_EachChange(table.get(), kStartMs, OnChange, &changes);
    EXPECT_TRUE(changes.mixed.empty());
    table.Serve("v2");
    BsStreamVersions_EachChange(table.get(), kStartMs, OnChange, &changes);
    BsStreamVersions_EachChange(table.get(), kStartMs, OnChange, &changes);
    table.Serve("v2", kStartMs + kLifeMs + 1);
    BsStreamVersions_EachChange(table.get(), kStartMs + kLifeMs + 1, OnChange,
                                &changes);
    EXPECT_EQ(changes.mixed, std::vector<bool>({true, false}));
    EXPECT_EQ(changes.counts, std::vector<uint32_t>({2, 1}));
}

} // namespace
