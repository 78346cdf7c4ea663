// Orders to engines: staged loading, fencing, repeated orders after an engine
// changed, and which instance may send orders.
#include "boragespur.h"
extern "C" {
#include "core.h"
#include "order.h"
#include "tenure.h"
#include "world.h"
}

#include <gtest/gtest.h>

#include <string>

namespace {

const char *const kInstances[] = {"a", "b", "c"};
constexpr int kEngines = 8;

std::string
EngineName(int i)
{
    return "e" + std::to_string(i);
}

std::string
SheetText(const char *version, const char *next)
{
    std::string text = std::string("format: 1\n") +
                       "tiers:\n"
                       "  - {name: urgent, rank: 1, deadline_ms: 20000}\n"
                       "accounts:\n  - {name: vans, token_sha256: [" +
                       std::string(64, 'a') +
                       "]}\n"
                       "data_centres:\n  - {name: n1, open: true}\n"
                       "orders: {loads_at_once: 8, load_ms: 10000}\n"
                       "models:\n  - {name: blade, version: \"";
    text += std::string(version) + "\"";
    if (next != nullptr) {
        text += std::string(", next_version: \"") + next + "\"";
    }
    return text + "}\n";
}

class Orders : public ::testing::Test {
  protected:
    void SetUp() override
    {
        world = World_Create(5);
        for (const char *name : kInstances) {
            World_AddInstance(world, name, "n1", "north");
        }
    }

    void TearDown() override
    {
        World_Destroy(world);
    }

    void Start(bool fencing, const char *loaded)
    {
        for (int i = 0; i < kEngines; i++) {
            std::string name = EngineName(i);
            WorldUpstreamSpec spec = {};
            spec.name = name.c_str();
            spec.kind = BS_NODE_ENGINE;
            spec.data_centre = "n1";
            spec.region = "north";
            spec.serves = "blade";
            spec.fencing = fencing;
            World_AddUpstream(world, &spec);
            World_SetLoaded(world, name.c_str(), loaded);
        }
        Publish(1, "1", nullptr);
        World_PublishList(world, 0);
        World_Run(world, 8000);
    }

    void Publish(uint64_t revision, const char *version, const char *next)
    {
        World_PublishSheet(world, revision, SheetText(version, next).c_str(),
                           0);
    }

    int CountLoaded(const char *item) const
    {
        int count = 0;
        for (int i = 0; i < kEngines; i++) {
            std::string loaded = World_Loaded(world, EngineName(i).c_str());
            count += loaded.find(item) != std::string::npos ? 1 : 0;
        }
        return count;
    }

    // Returns how many engines may get new work from their owners.
    int CountCurrent() const
    {
        int current = 0;
        for (int i = 0; i < kEngines; i++) {
            std::string name = EngineName(i);
            BsCore *owner = Owner(name);
            current += BsOrder_IsCurrent(owner->orders, name.c_str(), "blade")
                           ? 1
                           : 0;
        }
        return current;
    }

    BsCore *Owner(const std::string &engine) const
    {
        const char *name =
            BsMembers_OwnerOf(World_Core(world, "a")->members, engine.c_str());
        return World_Core(world, name);
    }

    uint64_t Sum(const char *counter) const
    {
        uint64_t sum = 0;
        for (const char *name : kInstances) {
            BsCore *core = World_Core(world, name);
            sum += core == nullptr ? 0 : BsCore_Counter(core, counter);
        }
        return sum;
    }

    World *world = nullptr;
};

TEST_F(Orders, BringEnginesToTheSheetInWaves)
{
    Start(true, "blade@1");
    EXPECT_EQ(Sum("orders_sent"), 0u);
    Publish(2, "2", nullptr);
    World_Run(world, 3000);
    EXPECT_EQ(CountCurrent(), CountLoaded("blade@2"));
    int before = 0;
    for (int wave = 0; wave < 5; wave++) {
        World_Run(world, 10000);
        int after = CountLoaded("blade@2");
        EXPECT_LE(after - before, kEngines / 4 + (wave == 0 ? 2 : 0));
        before = after;
    }
    World_Run(world, 20000);
    EXPECT_EQ(CountLoaded("blade@2"), kEngines);
    EXPECT_EQ(CountLoaded("blade@1"), 0);
    EXPECT_EQ(CountCurrent(), kEngines);
}

// If the next version is loaded ahead, all engines stay usable while the sheet
// switches to it.
TEST_F(Orders, SwitchToAVersionLoadedAheadWithoutAGap)
{
    Start(true, "blade@1");
    Publish(2, "1", "2");
    for (int step = 0; step < 60; step++) {
        World_Run(world, 1000);
        ASSERT_EQ(CountCurrent(), kEngines);
    }
    EXPECT_EQ(CountLoaded("blade@2"), kEngines);
    Publish(3, "2", nullptr);
    for (int step = 0; step < 30; step++) {
        World_Run(world, 1000);
        ASSERT_EQ(CountCurrent(), kEngines);
    }
    EXPECT_EQ(CountLoaded("blade@1"), 0);
}

TEST_F(Orders, CorrectEnginesThatIgnoreFencing)
{
    Start(false, "blade@1");
    World_SetLoaded(world, "e3", "blade@0"); // a late order of another owner
    World_Run(world, 30000);
    EXPECT_STREQ(World_Loaded(world, "e3"), "blade@1");
    World_SetLoaded(world, "e3", "blade@0");
    World_Run(world, 30000);
    EXPECT_STREQ(World_Loaded(world, "e3"), "blade@1");
}

TEST_F(Orders, LoadAnEngineThatRestartedEmpty)
{
    Start(true, "blade@1");
    World_SetLoaded(world, "e5", "");
    World_Run(world, 30000);
    EXPECT_STREQ(World_Loaded(world, "e5"), "blade@1");
}

// The owner is paused while it is removed from the list and a new sheet comes
// into force.  After it resumes with the old list and sheet it sends no order.
TEST_F(Orders, APausedOwnerDoesNotUndoNewOrders)
{
    for (int pause_ms : {5000, 30000, 60000}) {
        TearDown();
        SetUp();
        Start(false, "blade@1");
        for (int i = 0; i < kEngines; i++) {
            std::string name = EngineName(i);
            if (Owner(name) == World_Core(world, "b")) {
                World_SetLoaded(world, name.c_str(), "blade@0");
            }
        }
        World_Pause(world, "b"); // reports of blade@0 to it are queued
        World_Run(world, 4100);
        World_SetListed(world, "b", 0);
        World_PublishList(world, 0);
        Publish(2, "2", nullptr);
        World_Run(world, 100000);
        World_Run(world, pause_ms);
        ASSERT_EQ(CountLoaded("blade@2"), kEngines);
        uint64_t sent = BsCore_Counter(World_Core(world, "b"), "orders_sent");
        World_Cut(world, WORLD_PLATFORM,
                  "b"); // it keeps its old list and sheet
        World_Hold(world, 0, "b");
        World_Wake(world, "b");
        for (int step = 0; step < 200; step++) {
            World_Run(world, 50);
            ASSERT_EQ(CountLoaded("blade@2"), kEngines);
        }
        EXPECT_EQ(BsCore_Counter(World_Core(world, "b"), "orders_sent"), sent);
    }
}

} // namespace
