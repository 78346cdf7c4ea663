// Model versions of streams: which engines may resume one, and messages of the
// previous release, which have no version.
#include "boragespur.h"
extern "C" {
#include "ownerstate.h"
#include "pool.h"
#include "work.h"
}

#include <gtest/gtest.h>

#include <string>

namespace {

BsWork *
CreateStream(const char *version, uint32_t skip_events)
{
    BsMessage *forward = BsMessage_Create(BS_FORWARD);
    BsRequest *request = &forward->u.request;
    request->request_id = g_strdup("r");
    request->model = g_strdup("m");
    request->version = g_strdup(version);
    request->deadline_ms = 1000;
    request->skip_events = skip_events;
    request->idempotent = true;
    request->stream = true;
    BsWork *work = BsWork_Create(forward, 1, 0);
    BsMessage_Destroy(forward);
    return work;
}

class StreamVersion : public ::testing::Test {
  protected:
    void SetUp() override
    {
        entry_.name = g_strdup("e1");
        engine_ = BsUpstream_Create(&entry_, 0);
        pool_ = BsPool_Create("m");
        g_ptr_array_add(pool_->upstreams, engine_);
        Sheet("m@2");
    }
    void TearDown() override
    {
        BsWork_Destroy(work_);
        BsPool_Destroy(pool_);
        BsUpstream_Destroy(engine_);
        g_free(entry_.name);
    }
    void Sheet(const char *version)
    {
        BsMessage_SetString(&pool_->version, version);
    }
    void Report(const char *loaded, int64_t now_ms, uint32_t age_ms = 0)
    {
        BsReport report = {};
        report.loaded = const_cast<char *>(loaded);
        report.reachable = true;
        report.age_ms = age_ms;
        BsUpstream_OnReport(engine_, &report, now_ms);
    }
    // Makes the work a stream that VERSION began, as its entry says.
    void Begin(const char *version)
    {
        work_ = CreateStream(version, 3);
    }
    bool Serves()
    {
        return BsPool_Serves(pool_, engine_, work_);
    }
    bool IsGone()
    {
        return BsPool_IsVersionGone(pool_, work_);
    }

    BsListEntry entry_ = {};
    BsUpstream *engine_ = nullptr;
    BsPool *pool_ = nullptr;
    BsWork *work_ = nullptr;
};

// Guards against a stream that is ended because nothing is known yet.
TEST_F(StreamVersion, AnEngineThatHasNotReportedMayHaveIt)
{
    Begin("1");
    EXPECT_FALSE(Serves());
    EXPECT_FALSE(IsGone());
    Report("x@1,m@1", 1000);
    EXPECT_TRUE(Serves());
    EXPECT_FALSE(IsGone());
}

TEST_F(StreamVersion, AnEngineOfAnotherVersionHasNot)
{
    Begin("1");
    Report("x@1,m@2,mm@1,m@11", 1000);
    EXPECT_FALSE(Serves());
    EXPECT_TRUE(IsGone());
    Report("", 2000);
    EXPECT_TRUE(IsGone());
}

// A request names no version, so an engine with two of them chooses by itself.
TEST_F(StreamVersion, WithTwoVersionsOnlyTheSheetsGoesOn)
{
    Begin("1");
    Report("m@1,m@2", 1000);
    EXPECT_FALSE(Serves());
    EXPECT_TRUE(IsGone());
    Sheet("m@1");
    EXPECT_TRUE(Serves());
    EXPECT_FALSE(IsGone());
}

// Guards against a report from before an engine changed its versions.
TEST_F(StreamVersion, AReportFromBeforeAnOrderDoesNotCount)
{
    Begin("1");
    Report("m@1", 1000);
    EXPECT_TRUE(Serves());
    BsUpstream_OnOrder(engine_, "x@2", 1500);
    EXPECT_FALSE(Serves());
    EXPECT_FALSE(IsGone());
    Report("m@1", 2000, 600);
    EXPECT_FALSE(Serves());
    Report("m@1", 2200, 600);
    EXPECT_TRUE(Serves());
    BsUpstream_OnOrder(engine_, "m@2", 2500);
    Report("m@1", 3000);
    EXPECT_FALSE(Serves());
    EXPECT_TRUE(IsGone());
}

TEST_F(StreamVersion, AReportFromBeforeAFailureDoesNotCount)
{
    Begin("1");
    Report("m@1", 1000);
    BsWork *other = CreateStream(nullptr, 0);
    BsAnswer answer = {};
    answer.error = BS_ERR_UPSTREAM_FAILED;
    answer.final = true;
    BsUpstream_OnPiece(engine_, other, &answer, 1500);
    BsWork_Destroy(other);
    EXPECT_FALSE(Serves());
    EXPECT_FALSE(IsGone());
    Report("m@1", 2000);
    EXPECT_TRUE(Serves());
}

// Guards against a stream that is bound to a version without an event of it.
TEST_F(StreamVersion, AStreamWithoutAnEventIsNotBound)
{
    work_ = CreateStream("1", 0);
    Report("m@2", 1000);
    EXPECT_TRUE(Serves());
    work_->dispatch_version = g_strdup("m@2");
    BsWork_BindVersion(work_);
    EXPECT_EQ(work_->version, nullptr);
    work_->events = 1;
    BsWork_BindVersion(work_);
    EXPECT_STREQ(work_->version, "m@2");
}

TEST_F(StreamVersion, IsNamedOnceItIsKnown)
{
    work_ = CreateStream(nullptr, 0);
    work_->events = 1;
    BsAnswer first = {};
    BsWork_NameVersion(work_, &first);
    EXPECT_EQ(first.version, nullptr);
    work_->version = g_strdup("m@2");
    BsAnswer second = {};
    BsWork_NameVersion(work_, &second);
    EXPECT_STREQ(second.version, "2");
    BsAnswer third = {};
    BsWork_NameVersion(work_, &third);
    EXPECT_EQ(third.version, nullptr);
    g_free(second.version);
}

// An entry of the previous release names no version and does not know the
// error: it gets one that it tries other owners after.
TEST_F(StreamVersion, AnEntryOfThePreviousReleaseIsUnderstood)
{
    work_ = CreateStream(nullptr, 3);
    Report("m@2", 1000);
    EXPECT_TRUE(Serves());
    EXPECT_EQ(BsOwner_FindObstacle(pool_, work_), BS_ERR_NONE);
    work_->version = g_strdup("m@1"); // it was preempted after an event
    EXPECT_EQ(BsOwner_FindObstacle(pool_, work_), BS_ERR_NO_UPSTREAM);
    BsWork_Destroy(work_);
    Begin("1");
    EXPECT_EQ(BsOwner_FindObstacle(pool_, work_), BS_ERR_VERSION_GONE);
}

// Guards against a field that an instance without it does not skip.
TEST(StreamVersionMessage, AFieldThatIsNotKnownIsIgnored)
{
    BsMessage *message = BsMessage_Create(BS_ANSWER);
    message->from = g_strdup("b");
    message->u.answer.request_id = g_strdup("r");
    message->u.answer.version = g_strdup("v-7");
    GBytes *bytes = BsMessage_Encode(message);
    gsize size;
    const char *data =
        static_cast<const char *>(g_bytes_get_data(bytes, &size));
    BsMessage *decoded = BsMessage_Decode(data, size, nullptr);
    ASSERT_NE(decoded, nullptr);
    EXPECT_STREQ(decoded->u.answer.version, "v-7");
    BsMessage_Destroy(decoded);
    std::string changed(data, size);
    size_t at = changed.find("v-7");
    ASSERT_NE(at, std::string::npos);
    EXPECT_EQ(changed[at - 2], 21); // its tag, before the string's length
    changed[at - 2] = 99;
    decoded = BsMessage_Decode(changed.data(), changed.size(), nullptr);
    ASSERT_NE(decoded, nullptr);
    EXPECT_EQ(decoded->u.answer.version, nullptr);
    EXPECT_STREQ(decoded->u.answer.request_id, "r");
    BsMessage_Destroy(decoded);
    g_bytes_unref(bytes);
    BsMessage_Destroy(message);
}

} // namespace
