// How long an upstream is used after its entry was removed around failures of
// the store.
#include <gtest/gtest.h>

extern "C" {
#include "position.h"
#include "removalgrace.h"
}

namespace {

const int64_t kRewriteMs = 2000;
const int64_t kStartMs = 100000;
const int64_t kNeverMs = INT64_MIN / 2;

class RemovalGrace : public testing::Test {
  protected:
    RemovalGrace() : lapses_(BsRemovalGrace_Create())
    {
    }
    ~RemovalGrace() override
    {
        BsRemovalGrace_Destroy(lapses_);
    }
    void Note(uint64_t revision, int64_t now_ms)
    {
        BsRemovalGrace_NoteRevision(lapses_, revision, now_ms);
    }
    int64_t Kept(uint64_t revision, int64_t failed_ms, int64_t now_ms)
    {
        return BsRemovalGrace_KeptMs(lapses_, revision, failed_ms, now_ms);
    }

    BsRemovalGrace *lapses_;
};

TEST_F(RemovalGrace, WithoutStoreFailuresARemovedUpstreamIsDroppedAtOnce)
{
    EXPECT_EQ(Kept(7, kNeverMs, kStartMs), 0);
    Note(7, kStartMs - 100);
    EXPECT_EQ(Kept(7, kNeverMs, kStartMs), 0);
    EXPECT_EQ(Kept(7, kStartMs - 100 - kRewriteMs, kStartMs), 0);
}

TEST_F(RemovalGrace, AroundAStoreFailureItIsKeptUntilItsEntryCanBeBack)
{
    EXPECT_EQ(Kept(7, kStartMs - 10, kStartMs), kRewriteMs);
}

// Guards against an upstream that is used for too long after a planned stop
// because an instance reads the removal late, around a restart of its reader,
// and counts the whole time from there.
TEST_F(RemovalGrace, TheTimeCountsFromTheFirstReportOfTheRevision)
{
    Note(6, kStartMs - 5000);
    Note(8, kStartMs - 1500);
    EXPECT_EQ(Kept(7, kStartMs - 10, kStartMs), kRewriteMs - 1500);
    EXPECT_EQ(Kept(8, kStartMs - 10, kStartMs), kRewriteMs - 1500);
    EXPECT_EQ(Kept(9, kStartMs - 10, kStartMs), kRewriteMs);
    EXPECT_EQ(Kept(6, kStartMs - 10, kStartMs), 0);
}

// The store was available when the revision of the removal was received, so an
// earlier failure was not the cause of the removal.
TEST_F(RemovalGrace, AStoreFailureLongBeforeTheRemovalDoesNotCount)
{
    Note(7, kStartMs - 500);
    EXPECT_EQ(Kept(7, kStartMs - 500 - kRewriteMs, kStartMs), 0);
    EXPECT_EQ(Kept(7, kStartMs - 400 - kRewriteMs, kStartMs), 1500);
}

// Heartbeats of many upstreams increase the revision all the time.
TEST_F(RemovalGrace, ManyRevisionsAreDatedWithin50Ms)
{
    for (int64_t i = 0; i < 10000; i++) {
        Note((uint64_t)i, kStartMs + i);
    }
    int64_t now_ms = kStartMs + 10000;
    int64_t kept_ms = Kept(9000, now_ms - 10, now_ms);
    EXPECT_LE(kept_ms, kRewriteMs - 1000);
    EXPECT_GE(kept_ms, kRewriteMs - 1050);
    EXPECT_EQ(Kept(3000, now_ms - 10, now_ms), 0);
}

// Guards against an upstream that is used after its planned stop because the
// store turns one instance away and answers the others.
TEST_F(RemovalGrace, AFailureBesideAnswersToOthersIsNoOutage)
{
    for (int64_t ms = kStartMs - 5000; ms <= kStartMs; ms += 900) {
        BsRemovalGrace_NoteAnswer(lapses_, ms);
    }
    EXPECT_EQ(Kept(7, kStartMs - 10, kStartMs), 0);
}

// Guards against an upstream that is used after its planned stop because
// another instance took over from the one that reads the store and is cut off,
// and from a second one after it.
TEST_F(RemovalGrace, ATakeoverIsNoOutage)
{
    BsRemovalGrace_NoteAnswer(lapses_, kStartMs - 5000);
    BsRemovalGrace_NoteAnswer(lapses_, kStartMs - 4000);
    BsRemovalGrace_NoteAnswer(lapses_, kStartMs - 2050);
    BsRemovalGrace_NoteAnswer(lapses_, kStartMs - 100);
    EXPECT_EQ(Kept(7, kStartMs - 10, kStartMs), 0);
}

// Guards against a healthy upstream that is dropped because its entry expired
// in an outage, and against one that is kept long after it.
TEST_F(RemovalGrace, AfterAnOutageOfAllInstancesItIsKept)
{
    BsRemovalGrace_NoteAnswer(lapses_, kStartMs - 5000);
    BsRemovalGrace_NoteAnswer(lapses_, kStartMs);
    EXPECT_EQ(Kept(7, kStartMs - 10, kStartMs), kRewriteMs);
    // The store has been back for long enough.
    BsRemovalGrace_NoteAnswer(lapses_, kStartMs + 1000);
    BsRemovalGrace_NoteAnswer(lapses_, kStartMs + kRewriteMs);
    EXPECT_EQ(Kept(8, kStartMs + 1000, kStartMs + kRewriteMs), 0);
}

// Guards against a healthy upstream that is dropped because the copy from
// which the store was restored lists an entry that has expired since.
TEST_F(RemovalGrace, AfterARestoreItIsKept)
{
    for (int64_t ms = kStartMs - 5000; ms <= kStartMs; ms += 900) {
        BsRemovalGrace_NoteAnswer(lapses_, ms);
    }
    Note(BsPosition_Make(1, false, 90), kStartMs - 900);
    EXPECT_EQ(Kept(BsPosition_Make(2, false, 50), kStartMs - 10, kStartMs),
              kRewriteMs);
}

} // namespace
