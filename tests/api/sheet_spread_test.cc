// Distribution of sheets under faults: every instance gets the newest valid
// sheet in time and never returns to an older one.
#include "boragespur.h"
extern "C" {
#include "core.h"
#include "delta.h"
#include "tenure.h"
#include "world.h"
}

#include <gtest/gtest.h>

#include <string>

namespace {

const char *const kDataCentres[] = {"n1", "n2", "s1", "s2", "s3"};
const char *const kRegions[] = {"north", "north", "south", "south", "south"};

std::string
SheetText(int version)
{
    std::string text =
        "format: 1\n"
        "tiers:\n  - {name: urgent, rank: 1, deadline_ms: 20000}\n"
        "accounts:\n  - {name: vans, token_sha256: [" +
        std::string(64, 'a') +
        "]}\n"
        "models:\n  - {name: blade, version: \"";
    text += std::to_string(version) + "\"}\ndata_centres:\n";
    for (const char *name : kDataCentres) {
        text += std::string("  - {name: ") + name + ", open: true}\n";
    }
    return text;
}

std::string
NameOf(int i)
{
    return "i" + std::to_string(i);
}

class Fleet {
  public:
    explicit Fleet(int count, uint32_t seed = 7)
        : world(World_Create(seed)), count(count)
    {
        for (int i = 0; i < count; i++) {
            World_AddInstance(world, NameOf(i).c_str(), kDataCentres[i % 5],
                              kRegions[i % 5]);
        }
        World_PublishList(world, 0);
        Publish(1);
        World_Run(world, 5000);
    }

    ~Fleet()
    {
        World_Destroy(world);
    }

    void Publish(uint64_t revision)
    {
        PublishText(revision, SheetText(static_cast<int>(revision)));
    }

    void PublishText(uint64_t revision, const std::string &text)
    {
        World_PublishSheet(world, revision, text.c_str(), 0);
    }

    uint64_t Revision(int i) const
    {
        return BsCore_SheetRevision(World_Core(world, NameOf(i).c_str()));
    }

    std::string Version(int i) const
    {
        const BsSheet *sheet =
            BsCore_Sheet(World_Core(world, NameOf(i).c_str()));
        return sheet == nullptr ? "" : BsSheet_Data(sheet)->models[0].version;
    }

    int CountAt(uint64_t revision) const
    {
        int at = 0;
        for (int i = 0; i < count; i++) {
            at += Revision(i) == revision ? 1 : 0;
        }
        return at;
    }

    uint64_t Sum(const char *counter) const
    {
        uint64_t sum = 0;
        for (int i = 0; i < count; i++) {
            sum +=
                BsCore_Counter(World_Core(world, NameOf(i).c_str()), counter);
        }
        return sum;
    }

    // Returns the time until REVISION is in force on all instances, in ms;
    // stops after LIMIT_MS.
    int64_t MsUntilAll(uint64_t revision, int64_t limit_ms)
    {
        int64_t start_ms = World_NowMs(world);
        while (CountAt(revision) < count &&
               World_NowMs(world) < start_ms + limit_ms) {
            World_Run(world, 50);
        }
        return World_NowMs(world) - start_ms;
    }

    World *world;
    int count;
};

// Prints and checks the control traffic of an idle fleet; the budget for all
// control traffic is 2 KB/s per instance.
void
CheckTraffic(const Fleet &fleet)
{
    uint64_t before = World_PeerBytes(fleet.world);
    World_Run(fleet.world, 5000);
    uint64_t bytes = (World_PeerBytes(fleet.world) - before) /
                     static_cast<uint64_t>(fleet.count) / 5;
    std::printf("%d instances: %u bytes/s sent per node\n", fleet.count,
                static_cast<unsigned>(bytes));
    EXPECT_GT(bytes, 0u);
    EXPECT_LE(bytes, 2048u);
}

TEST(Sheet, SpreadsTo9Within5SecondsAtTenPercentLoss)
{
    Fleet fleet(9);
    CheckTraffic(fleet);
    for (int i = 0; i < 8; i++) { // only the last one reads the platform
        World_Cut(fleet.world, WORLD_PLATFORM, NameOf(i).c_str());
    }
    World_SetNetwork(fleet.world, 0.1, 0.1, 20);
    for (uint64_t revision = 2; revision < 12; revision++) {
        fleet.Publish(revision);
        int64_t spread_ms = fleet.MsUntilAll(revision, 6000);
        std::printf("in force on 9 after %d ms\n", (int)spread_ms);
        EXPECT_LE(spread_ms, 5000);
    }
    EXPECT_EQ(fleet.CountAt(11), 9);
}

TEST(Sheet, SpreadsTo340Within12SecondsAtTenPercentLoss)
{
    Fleet fleet(340);
    ASSERT_EQ(fleet.CountAt(1), 340);
    CheckTraffic(fleet);
    World_SetNetwork(fleet.world, 0.1, 0, 0);
    fleet.Publish(2);
    int64_t spread_ms = fleet.MsUntilAll(2, 13000);
    std::printf("in force on 340 after %d ms\n", (int)spread_ms);
    EXPECT_LE(spread_ms, 12000);
    EXPECT_LE(fleet.Sum("platform_watching"), 10u);
    // An instance without a sheet pulls the whole text, all others a delta.
    EXPECT_GT(fleet.Sum("sheet_pushes_delta"), 300u);
}

TEST(Sheet, ReachesAnInstanceCutFromTheService)
{
    Fleet fleet(9);
    for (int i = 0; i < 8; i++) {
        World_Cut(fleet.world, WORLD_PLATFORM, NameOf(i).c_str());
    }
    World_Run(fleet.world, 15000);
    fleet.Publish(2);
    World_PublishList(fleet.world, 0);
    EXPECT_LE(fleet.MsUntilAll(2, 6000), 5000);
    for (int i = 0; i < 9; i++) {
        EXPECT_EQ(
            BsCore_ListRevision(World_Core(fleet.world, NameOf(i).c_str())),
            2u);
    }
}

// A watcher that cannot read the platform hands the watch over to another
// instance of its data centre.
TEST(Sheet, WatcherWithoutServiceHandsOver)
{
    World *world = World_Create(3);
    for (int i = 0; i < 5; i++) {
        World_AddInstance(world, NameOf(i).c_str(), "n1", "north");
    }
    World_PublishList(world, 0);
    World_PublishSheet(world, 1, SheetText(1).c_str(), 0);
    World_Run(world, 5000);
    int cut = 0;
    for (int i = 0; i < 5; i++) {
        if (BsCore_Counter(World_Core(world, NameOf(i).c_str()),
                           "platform_watching") == 1) {
            World_Cut(world, WORLD_PLATFORM, NameOf(i).c_str());
            cut++;
        }
    }
    EXPECT_EQ(cut, 2);
    World_PublishSheet(world, 2, SheetText(2).c_str(), 0);
    World_Run(world, 5000);
    for (int i = 0; i < 5; i++) {
        EXPECT_EQ(BsCore_SheetRevision(World_Core(world, NameOf(i).c_str())),
                  2u);
    }
    World_Destroy(world);
}

// Neither an older revision nor an invalid text nor an outage of the platform
// may replace the sheet in force.
TEST(Sheet, NeverGoesDown)
{
    Fleet fleet(9);
    fleet.Publish(5);
    ASSERT_LE(fleet.MsUntilAll(5, 6000), 5000);
    fleet.Publish(3); // older than 5
    World_Run(fleet.world, 3000);
    EXPECT_EQ(fleet.CountAt(5), 9);
    fleet.PublishText(6, "tiers: [junk");
    World_Run(fleet.world, 3000);
    EXPECT_EQ(fleet.CountAt(5), 9);
    EXPECT_GT(fleet.Sum("sheets_refused"), 0u);
    World_SetPlatformDown(fleet.world, true);
    World_Run(fleet.world, 30000);
    EXPECT_EQ(fleet.CountAt(5), 9);
    EXPECT_GE(
        BsCore_Counter(World_Core(fleet.world, "i0"), "sheet_age_seconds"),
        30u);
}

// An instance restarts while the platform serves an older sheet: it must not
// put that one in force before its peers have reported the newer one.
TEST(Sheet, RestartedInstanceAsksPeersFirst)
{
    Fleet fleet(9);
    fleet.Publish(5);
    ASSERT_LE(fleet.MsUntilAll(5, 6000), 5000);
    fleet.Publish(3);
    World_Run(fleet.world, 1000);
    for (int i = 0; i < 9; i++) {
        // The platform is read before a message of a peer arrives.
        World_Hold(fleet.world, 0, NameOf(i).c_str());
        World_Restart(fleet.world, NameOf(i).c_str());
        World_Run(fleet.world, 150);
        ASSERT_EQ(fleet.Revision(i), 0u);
        World_Release(fleet.world);
        for (int step = 0; step < 100; step++) {
            World_Run(fleet.world, 50);
            uint64_t revision = fleet.Revision(i);
            ASSERT_TRUE(revision == 0 || revision == 5) << revision;
        }
        EXPECT_EQ(fleet.Revision(i), 5u);
    }
}

TEST(Sheet, NewestWinsAfterPartition)
{
    Fleet fleet(9);
    for (int i = 0; i < 9; i++) {
        for (int k = 0; k < 9; k++) {
            if (i % 5 < 2 && k % 5 >= 2) {
                World_Cut(fleet.world, NameOf(i).c_str(), NameOf(k).c_str());
                World_Cut(fleet.world, NameOf(k).c_str(), NameOf(i).c_str());
            }
        }
        if (i % 5 >= 2) {
            World_Cut(fleet.world, WORLD_PLATFORM, NameOf(i).c_str());
        }
    }
    fleet.Publish(2);
    World_Run(fleet.world, 60000);
    EXPECT_EQ(fleet.CountAt(2), 4);
    EXPECT_EQ(fleet.CountAt(1), 5);
    World_Heal(fleet.world);
    World_SetPlatformDown(fleet.world, true);
    EXPECT_LE(fleet.MsUntilAll(2, 6000), 5000);
}

// Two texts are published under one revision, and each half of the fleet reads
// a different one first: all instances must choose the same text.
TEST(Sheet, TwoTextsOfOneRevisionConverge)
{
    Fleet fleet(9);
    for (int half = 0; half < 2; half++) {
        World_Heal(fleet.world);
        for (int i = 0; i < 9; i++) {
            for (int k = 0; k < 9; k++) {
                if (i % 2 != k % 2) {
                    World_Cut(fleet.world, NameOf(i).c_str(),
                              NameOf(k).c_str());
                }
            }
            if (i % 2 != half) {
                World_Cut(fleet.world, WORLD_PLATFORM, NameOf(i).c_str());
            }
        }
        fleet.PublishText(2, SheetText(20 + half));
        World_Run(fleet.world, 3000);
    }
    ASSERT_NE(fleet.Version(0), fleet.Version(1));
    World_Heal(fleet.world);
    World_SetPlatformDown(fleet.world, true);
    World_Run(fleet.world, 5000);
    EXPECT_EQ(fleet.CountAt(2), 9);
    EXPECT_GT(fleet.Sum("sheet_conflicts"), 0u);
    for (int i = 1; i < 9; i++) {
        EXPECT_EQ(fleet.Version(i), fleet.Version(0));
    }
}

TEST(Sheet, PausedInstanceCatchesUpBeforeItActs)
{
    for (int pause_ms : {5000, 60000}) {
        Fleet fleet(9);
        World_Pause(fleet.world, "i3");
        fleet.Publish(2);
        World_Run(fleet.world, pause_ms);
        World_Cut(fleet.world, WORLD_PLATFORM, "i3");
        World_Hold(fleet.world, BS_SHEET_PUSH, "i3");
        World_Wake(fleet.world, "i3");
        for (int step = 0; step < 300; step++) {
            if (step == 100) {
                World_Release(fleet.world);
            }
            World_Run(fleet.world, 10);
            BsCore *core = World_Core(fleet.world, "i3");
            if (BsTenure_HasContact(core->tenure)) {
                ASSERT_EQ(BsCore_SheetRevision(core), 2u);
            }
        }
        EXPECT_EQ(fleet.Revision(3), 2u);
        EXPECT_TRUE(
            BsTenure_HasContact(World_Core(fleet.world, "i3")->tenure));
    }
}

std::string
ApplyDelta(const std::string &base, const std::string &target)
{
    GBytes *from = g_bytes_new(base.data(), base.size());
    GBytes *to = g_bytes_new(target.data(), target.size());
    GBytes *delta = BsDelta_Create(from, to);
    GBytes *result = BsDelta_Apply(from, delta, 1 << 20, nullptr);
    gsize size = 0;
    const char *data =
        result == nullptr
            ? ""
            : static_cast<const char *>(g_bytes_get_data(result, &size));
    std::string text(data, size);
    g_bytes_unref(from);
    g_bytes_unref(to);
    g_bytes_unref(delta);
    if (result != nullptr) {
        g_bytes_unref(result);
    }
    return text;
}

TEST(Delta, RebuildsRandomChanges)
{
    GRand *random = g_rand_new_with_seed(11);
    std::string base;
    for (int round = 0; round < 300; round++) {
        std::string target;
        for (int line = g_rand_int_range(random, 0, 40); line > 0; line--) {
            target += std::to_string(g_rand_int_range(random, 0, 12));
            target += line == 1 && round % 2 == 0 ? "" : "\n";
        }
        ASSERT_EQ(ApplyDelta(base, target), target);
        base = target;
    }
    g_rand_free(random);
}

TEST(Delta, IsShortForAMegabyteWithOneLineChanged)
{
    std::string base;
    while (base.size() < 1000000) {
        base += "  - {name: account" + std::to_string(base.size()) + "}\n";
    }
    std::string target = base;
    target[500000] = '#';
    GBytes *from = g_bytes_new(base.data(), base.size());
    GBytes *to = g_bytes_new(target.data(), target.size());
    GBytes *delta = BsDelta_Create(from, to);
    EXPECT_LT(g_bytes_get_size(delta), 200u);
    GBytes *result = BsDelta_Apply(from, delta, 1 << 20, nullptr);
    ASSERT_NE(result, nullptr);
    EXPECT_TRUE(g_bytes_equal(result, to));
    g_bytes_unref(result);
    g_bytes_unref(from);
    g_bytes_unref(to);
    g_bytes_unref(delta);
}

TEST(Delta, RefusesAWrongBaseAndDamage)
{
    GBytes *from = g_bytes_new_static("a\nb\nc\n", 6);
    GBytes *to = g_bytes_new_static("a\nx\nc\n", 6);
    GBytes *delta = BsDelta_Create(from, to);
    EXPECT_EQ(BsDelta_Apply(to, delta, 100, nullptr) == nullptr, false);
    GBytes *other = g_bytes_new_static("q\nb\nc\n", 6);
    GError *error = nullptr;
    EXPECT_EQ(BsDelta_Apply(other, delta, 100, &error), nullptr);
    EXPECT_EQ(error->code, BS_ERR_MESSAGE);
    g_error_free(error);
    EXPECT_EQ(BsDelta_Apply(from, delta, 5, nullptr), nullptr);
    gsize size;
    const char *data =
        static_cast<const char *>(g_bytes_get_data(delta, &size));
    for (gsize i = 0; i < size; i++) {
        std::string changed(data, size);
        changed[i] = static_cast<char>(changed[i] ^ 0x15);
        GBytes *damaged = g_bytes_new(changed.data(), changed.size());
        GBytes *result = BsDelta_Apply(from, damaged, 100, nullptr);
        if (result != nullptr) {
            EXPECT_TRUE(g_bytes_equal(result, to));
            g_bytes_unref(result);
        }
        g_bytes_unref(damaged);
    }
    g_bytes_unref(delta);
    g_bytes_unref(other);
    g_bytes_unref(from);
    g_bytes_unref(to);
}

} // namespace
