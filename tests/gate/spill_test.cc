// Demand that peaks in one data centre while upstreams of others are idle:
// which requests leave, and which stay.
#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "spill.h"
#include "targets.h"
}

namespace {

constexpr int64_t kStartMs = 100000;
constexpr int64_t kReportAgeMs = 60;
constexpr uint32_t kSlots = 6;
constexpr uint32_t kGainMs = 60;

// The upstreams of a service in several data centres, as one instance in dc0
// sees them.
class View {
  public:
    explicit View(const char *data_centre = "dc0",
                  const char *region = "north")
        : targets_(BsTargets_Create(data_centre, region))
    {
        service_.name = const_cast<char *>("desk");
        service_.engine = true;
        route_.kind = BS_ROUTE_STREAM;
        route_.gap_ms = 400;
        route_.regions = g_ptr_array_new();
        BsTargets_SetRemoteAge(targets_, kReportAgeMs);
        BsTargets_SetInstances(targets_, 1);
    }
    ~View()
    {
        BsTargets_Destroy(targets_);
        g_ptr_array_free(route_.regions, TRUE);
    }
    View(const View &) = delete;
    void SetSpill(uint32_t gain_ms)
    {
        BsSpillLimits limits = {gain_ms, BS_SPILL_PAUSE_MIN_MS};
        BsTargets_SetSpill(targets_, &limits);
    }
    // Lists COUNT upstreams of a data centre, each with LOAD requests of
    // other instances in progress.
    void Add(const std::string &data_centre, int count, uint32_t load,
             const char *region = "north")
    {
        for (int i = 0; i < count; i++) {
            std::string id = data_centre + "-" + std::to_string(i);
            BsTargetEntry entry = {};
            entry.id = id.c_str();
            entry.service = "desk";
            entry.data_centre = data_centre.c_str();
            entry.region = region;
            entry.version = "v1";
            entry.slots = kSlots;
            entry.address.sin_port = (in_port_t)++ports_;
            BsTargets_Put(targets_, &entry, kStartMs);
            SetLoad(id, load);
        }
    }
    void SetLoad(const std::string &id, uint32_t load)
    {
        BsTargetLoad one = {BsTargets_Hash(id.c_str()), load, 0};
        GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
        g_array_append_val(loads, one);
        BsTargets_SetPeer(targets_, ++peers_, loads, kStartMs);
        g_array_unref(loads);
    }
    // Chooses an upstream at NOW_MS, and sends the request there; returns its
    // data centre, "" if none takes it.
    std::string Send(int64_t now_ms = kStartMs)
    {
        BsTargetQuery query = {};
        query.service = &service_;
        query.route = &route_;
        query.prompt_tokens = 2900;
        query.output_tokens = 50;
        BsTargetVerdict verdict;
        BsTarget *target =
            BsTargets_Choose(targets_, &query, now_ms, &verdict);
        if (target == nullptr) {
            return "";
        }
        spilled += BsTargets_HasSpilled(targets_, target);
        std::string data_centre = target->data_centre;
        BsTargets_Sent(targets_, target, &query, now_ms);
        return data_centre;
    }
    BsCatalogService service_ = {};
    BsCatalogRoute route_ = {};
    int spilled = 0;

  private:
    BsTargets *targets_;
    int ports_ = 0;
    uint32_t peers_ = 0;
};

// Guards against requests that wait for the last slots of their own data
// centre beside idle upstreams of another one.
TEST(Spill, ARequestLeavesAFullDataCentreForAnIdleOne)
{
    View view;
    view.SetSpill(kGainMs);
    view.Add("dc0", 4, kSlots - 1);
    view.Add("dc1", 4, 1);
    EXPECT_EQ(view.Send(), "dc1");
    EXPECT_EQ(view.spilled, 1);
}

// Guards against new behaviour where no settings ask for it.
TEST(Spill, NoRequestLeavesByDefault)
{
    View view;
    view.Add("dc0", 4, kSlots - 1);
    view.Add("dc1", 4, 1);
    EXPECT_EQ(view.Send(), "dc0");
    EXPECT_EQ(view.spilled, 0);
}

// Guards against two data centres that exchange their work: with the same
// load, or a difference below the margin, all requests stay.
TEST(Spill, DataCentresOfSimilarLoadKeepTheirWork)
{
    for (uint32_t load = 0; load < kSlots; load++) {
        for (uint32_t other = load == 0 ? 0 : load - 1; other <= load;
             other++) {
            View view;
            view.SetSpill(kGainMs);
            view.Add("dc0", 4, load);
            view.Add("dc1", 4, other);
            EXPECT_EQ(view.Send(), "dc0") << load << " and " << other;
        }
    }
}

// Guards against a way between regions for a gain that pays only for one
// within the region.
TEST(Spill, AnotherRegionMustGainMore)
{
    View near;
    near.SetSpill(kGainMs);
    near.Add("dc0", 4, kSlots - 1);
    near.Add("dc1", 4, 1);
    EXPECT_EQ(near.Send(), "dc1");
    View far;
    far.SetSpill(kGainMs);
    far.Add("dc0", 4, kSlots - 1);
    far.Add("dc1", 4, 1, "south");
    EXPECT_EQ(far.Send(), "dc0");
    far.SetSpill(1);
    EXPECT_EQ(far.Send(), "dc1");
}

// Guards against a data centre that seems idle as its reports are missing,
// because it is cut off or its instances have just started.
TEST(Spill, NoRequestLeavesForADataCentreWithoutReports)
{
    View view;
    view.SetSpill(kGainMs);
    view.Add("dc0", 4, kSlots - 1);
    view.Add("dc1", 4, 0);
    EXPECT_EQ(view.Send(), "dc0");
    view.SetLoad("dc1-0", 1);
    EXPECT_EQ(view.Send(), "dc1");
}

// Guards against the loss of a data centre: when its own upstreams are full,
// requests go elsewhere as they do without these limits.
TEST(Spill, AFullDataCentreUsesTheOthersWithoutReports)
{
    View view;
    view.SetSpill(kGainMs);
    view.Add("dc0", 2, kSlots);
    view.Add("dc1", 4, 0);
    EXPECT_EQ(view.Send(), "dc1");
    EXPECT_EQ(view.spilled, 0);
}

// Guards against a crowd that fills the other data centre before it can report
// it: until then an instance sends there what its part of the free slots is.
TEST(Spill, ABurstLeavesOnlyForThePartOfTheFreeSlots)
{
    View view;
    view.SetSpill(kGainMs);
    view.Add("dc0", 20, kSlots - 1);
    view.Add("dc1", 2, 1);
    int sent = 0;
    for (int i = 0; i < 20; i++) {
        sent += view.Send() == "dc1";
    }
    EXPECT_GE(sent, 1);
    EXPECT_LE(sent, 2); // one for each upstream there
}

// Guards against streams with short pauses, and requests whose time does not
// depend on the load, that take the longer way.
TEST(Spill, OnlyStreamsAtEnginesThatAllowLongPauses)
{
    View pauses;
    pauses.SetSpill(kGainMs);
    pauses.Add("dc0", 4, kSlots - 1);
    pauses.Add("dc1", 4, 1);
    pauses.route_.gap_ms = BS_SPILL_PAUSE_MIN_MS - 1;
    EXPECT_EQ(pauses.Send(), "dc0");
    pauses.route_.gap_ms = BS_SPILL_PAUSE_MIN_MS;
    EXPECT_EQ(pauses.Send(), "dc1");

    View plain;
    plain.SetSpill(kGainMs);
    plain.Add("dc0", 4, kSlots - 1);
    plain.Add("dc1", 4, 1);
    plain.service_.engine = false;
    EXPECT_EQ(plain.Send(), "dc0");

    View whole;
    whole.SetSpill(kGainMs);
    whole.Add("dc0", 4, kSlots - 1);
    whole.Add("dc1", 4, 1);
    whole.route_.kind = BS_ROUTE_SAFE;
    EXPECT_EQ(whole.Send(), "dc0");
}

} // namespace
