// Which data centres an instance has heard.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "centrewatch.h"
#include "gossipreport.h"
#include "summary.h"
}

namespace {

const uint32_t kOwn = 1;
const int64_t kStartMs = 100000;
const int64_t kHourMs = 3600000;

class Watch {
  public:
    Watch() : watch_(BsCentreWatch_Create(kOwn, kStartMs))
    {
    }
    ~Watch()
    {
        BsCentreWatch_Destroy(watch_);
    }
    Watch(const Watch &) = delete;
    Watch &operator=(const Watch &) = delete;
    BsCentreWatch *get()
    {
        return watch_;
    }
    void Hear(uint32_t data_centre, int64_t now_ms = kStartMs)
    {
        BsCentreWatch_NoteHeard(watch_, data_centre, now_ms);
    }
    void Learn(uint32_t data_centre, int64_t age_ms, int64_t now_ms = kStartMs)
    {
        BsCentreWatch_Learn(watch_, data_centre, age_ms, now_ms);
    }
    BsCentreWatchState State(int64_t now_ms = kStartMs)
    {
        return BsCentreWatch_State(watch_, now_ms);
    }
    std::vector<BsSilentCentre> Silent(int64_t now_ms)
    {
        GArray *array = g_array_new(FALSE, FALSE, sizeof(BsSilentCentre));
        BsCentreWatch_AppendSilent(watch_, now_ms, array);
        std::vector<BsSilentCentre> silent;
        for (guint i = 0; i < array->len; i++) {
            silent.push_back(g_array_index(array, BsSilentCentre, i));
        }
        g_array_unref(array);
        return silent;
    }

  private:
    BsCentreWatch *watch_;
};

// Guards against rejections by an instance that is alone, or whose fleet is in
// one data centre.
TEST(CentreWatchTest, WithoutOthersKnowledgeIsComplete)
{
    Watch watch;
    EXPECT_EQ(watch.State(kStartMs + kHourMs), BS_CENTREWATCH_COMPLETE);
    watch.Hear(kOwn);
    watch.Hear(0);
    EXPECT_EQ(watch.State(kStartMs + 10000), BS_CENTREWATCH_COMPLETE);
    EXPECT_EQ(BsCentreWatch_Count(watch.get()), 0u);
}

// Guards against a partition of more than a minute that is taken for the end
// of a data centre, and against one that is never forgotten.
TEST(CentreWatchTest, ADataCentreIsSilentForAnHour)
{
    Watch watch;
    watch.Hear(2);
    watch.Hear(3, kStartMs + kHourMs);
    EXPECT_EQ(watch.State(kStartMs + 2000), BS_CENTREWATCH_COMPLETE);
    EXPECT_EQ(watch.State(kStartMs + 2001), BS_CENTREWATCH_SILENT);
    EXPECT_EQ(watch.State(kStartMs + kHourMs), BS_CENTREWATCH_SILENT);
    EXPECT_EQ(watch.State(kStartMs + kHourMs + 1), BS_CENTREWATCH_COMPLETE);
    watch.Hear(2, kStartMs + 5000);
    EXPECT_EQ(watch.State(kStartMs + 6000), BS_CENTREWATCH_COMPLETE);
}

// Guards against a process that starts during a partition and does not know of
// the other side, and against one that waits for a data centre that is heard
// a moment later.
TEST(CentreWatchTest, ADataCentreThatOthersTellOfIsUnheard)
{
    Watch watch;
    watch.Hear(2);
    watch.Learn(3, 90000);
    EXPECT_EQ(watch.State(kStartMs + 2000), BS_CENTREWATCH_COMPLETE);
    watch.Hear(2, kStartMs + 3000);
    EXPECT_EQ(watch.State(kStartMs + 3000), BS_CENTREWATCH_UNHEARD);
    watch.Hear(3, kStartMs + 4000);
    EXPECT_EQ(watch.State(kStartMs + 4000), BS_CENTREWATCH_COMPLETE);
    EXPECT_EQ(watch.State(kStartMs + 9000), BS_CENTREWATCH_SILENT);
}

// Guards against instances that keep a data centre which is gone alive by
// telling each other of it.
TEST(CentreWatchTest, TheAgeOfWhatOthersTellCounts)
{
    Watch first;
    Watch second;
    first.Hear(2);
    int64_t now_ms = kStartMs + kHourMs - 10000;
    std::vector<BsSilentCentre> told = first.Silent(now_ms);
    ASSERT_EQ(told.size(), 1u);
    EXPECT_EQ(told[0].data_centre, 2u);
    EXPECT_EQ(told[0].age_ms, kHourMs - 10000);
    second.Learn(told[0].data_centre, told[0].age_ms, now_ms);
    now_ms += 2500;
    EXPECT_EQ(second.State(now_ms), BS_CENTREWATCH_UNHEARD);
    EXPECT_EQ(second.Silent(now_ms).size(), 1u);
    EXPECT_TRUE(first.Silent(now_ms + 7501).empty());
    EXPECT_TRUE(second.Silent(now_ms + 7501).empty());
    second.Learn(2, kHourMs + 1, now_ms + 7501);
    EXPECT_EQ(second.State(now_ms + 10000), BS_CENTREWATCH_COMPLETE);
    // That another instance hears it does not mean that this one does.
    first.Learn(2, 0, now_ms);
    EXPECT_EQ(first.State(now_ms), BS_CENTREWATCH_SILENT);
}

// Guards against a process that has seen nobody and takes itself for the whole
// fleet.
TEST(CentreWatchTest, AnInstanceThatExpectsOthersHearsOneFirst)
{
    Watch watch;
    BsCentreWatch_ExpectOthers(watch.get());
    EXPECT_EQ(watch.State(kStartMs), BS_CENTREWATCH_UNHEARD);
    EXPECT_EQ(watch.State(kStartMs + kHourMs), BS_CENTREWATCH_UNHEARD);
    EXPECT_EQ(watch.State(kStartMs + kHourMs + 1), BS_CENTREWATCH_COMPLETE);
    watch.Hear(kOwn, kStartMs + 1000);
    EXPECT_EQ(watch.State(kStartMs + 1000), BS_CENTREWATCH_COMPLETE);
}

// Guards against a process that was paused while a data centre was cut off,
// and goes by what it heard before.
TEST(CentreWatchTest, APauseCountsAsAStart)
{
    Watch watch;
    BsCentreWatch_ExpectOthers(watch.get());
    BsCentreWatch_Tick(watch.get(), kStartMs);
    watch.Hear(2);
    watch.Hear(3);
    BsCentreWatch_Tick(watch.get(), kStartMs + 2000);
    EXPECT_EQ(watch.State(kStartMs + 5000), BS_CENTREWATCH_SILENT);
    int64_t now_ms = kStartMs + 30000;
    BsCentreWatch_Tick(watch.get(), now_ms);
    EXPECT_EQ(watch.State(now_ms), BS_CENTREWATCH_UNHEARD);
    watch.Hear(2, now_ms + 2001);
    EXPECT_EQ(watch.State(now_ms + 2001), BS_CENTREWATCH_UNHEARD);
    watch.Hear(3, now_ms + 2002);
    EXPECT_EQ(watch.State(now_ms + 2002), BS_CENTREWATCH_COMPLETE);
}

// Guards against unbounded memory, and against a data centre that is not
// remembered and counts as heard.
TEST(CentreWatchTest, TooManyDataCentresCountAsUnheard)
{
    Watch watch;
    for (uint32_t i = 0; i < BS_CENTREWATCH_MAX; i++) {
        watch.Hear(10 + i);
    }
    EXPECT_EQ(watch.State(), BS_CENTREWATCH_COMPLETE);
    EXPECT_EQ(watch.Silent(kStartMs + 5000).size(),
              (size_t)BS_CENTREWATCH_TOLD_MAX);
    watch.Hear(5);
    EXPECT_EQ(watch.State(), BS_CENTREWATCH_UNHEARD);
    EXPECT_EQ(BsCentreWatch_Count(watch.get()), (unsigned)BS_CENTREWATCH_MAX);
    int64_t later_ms = kStartMs + kHourMs + 1;
    watch.Hear(5, later_ms);
    EXPECT_EQ(watch.State(later_ms), BS_CENTREWATCH_COMPLETE);
    EXPECT_EQ(BsCentreWatch_Count(watch.get()), 1u);
}

// Guards against silent data centres that are lost on the way, and against a
// datagram that grows with them beyond its limit.
TEST(CentreWatchTest, ReportsAndSummariesCarrySilentDataCentres)
{
    BsGossipReport report;
    BsGossipReport read;
    BsSummary summary;
    BsSummary read_summary;
    BsGossipReport_Init(&report);
    BsGossipReport_Init(&read);
    BsSummary_Init(&summary);
    BsSummary_Init(&read_summary);
    for (uint32_t i = 0; i < BS_CENTREWATCH_TOLD_MAX + 3; i++) {
        BsSilentCentre silent = {UINT32_MAX - i, 3600000 - i};
        g_array_append_val(report.silent_centres, silent);
        g_array_append_val(summary.silent_centres, silent);
    }
    for (uint64_t i = 0; i < 500; i++) {
        BsTargetLoad load = {~i, 1000000, 1000000};
        g_array_append_val(report.loads, load);
        load.hash = (uint32_t)load.hash;
        g_array_append_val(summary.loads, load);
    }
    GString *data = g_string_new(NULL);
    BsGossipReport_Encode(&report, data);
    EXPECT_LE(data->len, (size_t)BS_GOSSIP_MAX_BYTES);
    ASSERT_TRUE(BsGossipReport_Decode(data->str, data->len, &read));
    ASSERT_EQ(read.silent_centres->len, (guint)BS_CENTREWATCH_TOLD_MAX);
    EXPECT_EQ(
        g_array_index(read.silent_centres, BsSilentCentre, 1).data_centre,
        UINT32_MAX - 1);
    EXPECT_EQ(g_array_index(read.silent_centres, BsSilentCentre, 1).age_ms,
              3599999u);
    g_string_truncate(data, 0);
    BsSummary_Encode(&summary, data);
    EXPECT_LE(data->len, (size_t)BS_GOSSIP_MAX_BYTES);
    ASSERT_TRUE(BsSummary_Decode(data->str, data->len, &read_summary));
    ASSERT_EQ(read_summary.silent_centres->len,
              (guint)BS_CENTREWATCH_TOLD_MAX);
    EXPECT_EQ(g_array_index(read_summary.silent_centres, BsSilentCentre, 0)
                  .data_centre,
              UINT32_MAX);
    g_string_free(data, TRUE);
    BsGossipReport_Clear(&report);
    BsGossipReport_Clear(&read);
    BsSummary_Clear(&summary);
    BsSummary_Clear(&read_summary);
}

} // namespace
