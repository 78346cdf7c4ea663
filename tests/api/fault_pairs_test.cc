// Pairs of membership faults, including the same fault twice: checks that no
// key gets two holders and no instance reverts to an older sheet meanwhile,
// and that all instances recover afterwards.
#include "boragespur.h"
extern "C" {
#include "core.h"
#include "tenure.h"
#include "world.h"
}

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <tuple>

namespace {

constexpr int kKeys = 6;
constexpr int64_t kCheckMs = 10;
const std::string kNames[] = {"a", "b", "c", "d", "e"};
const char *const kDataCentres[] = {"n1", "n1", "n2", "s1", "s1"};

void
CutBetween(World *world, const std::string &left, const std::string &right,
           bool both)
{
    for (char one : left) {
        for (char other : right) {
            std::string a(1, one);
            std::string b(1, other);
            World_Cut(world, a.c_str(), b.c_str());
            if (both) {
                World_Cut(world, b.c_str(), a.c_str());
            }
        }
    }
}

void
Unlist(World *world, const char *name, int64_t lag_ms)
{
    World_SetListed(world, name, 0);
    World_PublishList(world, lag_ms);
}

struct Fault {
    const char *name;
    void (*apply)(World *);
};

const Fault kFaults[] = {
    {"pause", [](World *w) { World_Pause(w, "b"); }},
    {"kill_lagging_list",
     [](World *w) {
         World_Kill(w, "c");
         Unlist(w, "c", 10000);
     }},
    {"restart", [](World *w) { World_Restart(w, "d"); }},
    {"data_centres_part", [](World *w) { CutBetween(w, "ab", "cde", true); }},
    {"regions_part_one_way",
     [](World *w) { CutBetween(w, "abc", "de", false); }},
    {"lists_differ",
     [](World *w) {
         World_SetListed(w, "e", 0);
         World_PublishListTo(w, "a");
     }},
    {"false_removal", [](World *w) { Unlist(w, "a", 0); }},
    {"service_down", [](World *w) { World_SetPlatformDown(w, true); }},
    {"service_older",
     [](World *w) { World_PublishSheet(w, 1, "older, and junk: [", 0); }},
    {"loss", [](World *w) { World_SetNetwork(w, 0.2, 0.2, 300); }},
};

class FaultPairs
    : public ::testing::TestWithParam<std::tuple<Fault, Fault, int>> {
  protected:
    void SetUp() override
    {
        std::ifstream file(BASE_SHEET);
        std::stringstream buffer;
        buffer << file.rdbuf();
        sheet = buffer.str();
        world = World_Create(17);
        World_Config(world)->resend_window_ms = 30000;
        for (int i = 0; i < 5; i++) {
            World_AddInstance(world, kNames[i].c_str(), kDataCentres[i],
                              i < 3 ? "north" : "south");
        }
        World_PublishSheet(world, 5, sheet.c_str(), 0);
        World_PublishList(world, 0);
        World_Run(world, 5000);
        World_OnStep(world, AfterStep, this);
    }

    void TearDown() override
    {
        World_Destroy(world);
    }

    static void AfterStep(World *, void *context)
    {
        static_cast<FaultPairs *>(context)->Check();
    }

    BsTenureState State(const std::string &name, int key) const
    {
        BsCore *core = World_Core(world, name.c_str());
        return core == nullptr ? BS_TENURE_NONE
                               : BsTenure_OfKey(core->tenure, "vans",
                                                std::to_string(key).c_str());
    }

    // No key has two holders, and the sheet revision of a running process
    // never decreases.
    void Check()
    {
        if (World_NowMs(world) < checked_ms + kCheckMs || HasFailure()) {
            return;
        }
        checked_ms = World_NowMs(world);
        for (int key = 0; key < kKeys; key++) {
            int holders = 0;
            for (const std::string &name : kNames) {
                holders += State(name, key) == BS_TENURE_HELD ? 1 : 0;
            }
            EXPECT_LE(holders, 1) << "key " << key << " at " << checked_ms;
        }
        for (const std::string &name : kNames) {
            BsCore *core = World_Core(world, name.c_str());
            if (core != nullptr) {
                uint64_t revision = BsCore_SheetRevision(core);
                uint64_t &seen = revisions[core->config.incarnation];
                EXPECT_GE(revision, seen) << name << " at " << checked_ms;
                seen = revision;
            }
        }
    }

    void Repair()
    {
        World_Heal(world);
        World_SetNetwork(world, 0, 0, 0);
        World_SetPlatformDown(world, false);
        for (const std::string &name : kNames) {
            if (World_Core(world, name.c_str()) == nullptr) {
                World_Restart(world, name.c_str());
            }
            World_SetListed(world, name.c_str(), BS_NODE_LIVE);
        }
        World_Wake(world, "b");
        World_PublishSheet(world, 6, sheet.c_str(), 0);
        World_PublishList(world, 0);
    }

    World *world = nullptr;
    std::string sheet;
    std::map<uint64_t, uint64_t> revisions; // of sheets, by incarnation
    int64_t checked_ms = 0;
};

TEST_P(FaultPairs, OneHolderAndFullRecovery)
{
    std::get<0>(GetParam()).apply(world);
    World_Run(world, 1500);
    std::get<1>(GetParam()).apply(world);
    World_Run(world, std::get<2>(GetParam()));
    Repair();
    World_Run(world, 5000);
    for (const std::string &name : kNames) {
        BsCore *core = World_Core(world, name.c_str());
        EXPECT_EQ(BsCore_SheetRevision(core), 6u) << name;
        EXPECT_TRUE(BsTenure_HasContact(core->tenure)) << name;
    }
    // Keys affected by losses have no holder until the resend window ends.
    World_Run(world, 30000);
    for (int key = 0; key < kKeys; key++) {
        int holders = 0;
        for (const std::string &name : kNames) {
            holders += State(name, key) == BS_TENURE_HELD ? 1 : 0;
        }
        EXPECT_EQ(holders, 1) << "key " << key;
    }
}

std::string
NameOf(const ::testing::TestParamInfo<FaultPairs::ParamType> &info)
{
    return std::string(std::get<0>(info.param).name) + "_then_" +
           std::get<1>(info.param).name;
}

INSTANTIATE_TEST_SUITE_P(Membership, FaultPairs,
                         ::testing::Combine(::testing::ValuesIn(kFaults),
                                            ::testing::ValuesIn(kFaults),
                                            ::testing::Values(5000)),
                         NameOf);

// A pause of one minute, combined with each fault.
INSTANTIATE_TEST_SUITE_P(LongPause, FaultPairs,
                         ::testing::Combine(::testing::Values(kFaults[0]),
                                            ::testing::ValuesIn(kFaults),
                                            ::testing::Values(60000)),
                         NameOf);

} // namespace
