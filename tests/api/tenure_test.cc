// Scripted cases of tenure that a random walk seldom meets.
#include "boragespur.h"
extern "C" {
#include "core.h"
#include "schema.h"
#include "tenure.h"
#include "world.h"
}

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace {

constexpr int kKeys = 16;
constexpr size_t kSmallFleet = 5;      // checked after every step
constexpr int64_t kLargeFleetMs = 100; // between checks of a larger one

class Tenure : public ::testing::Test {
  protected:
    void SetUp() override
    {
        world = World_Create(9);
        World_Config(world)->resend_window_ms = 60000;
        World_OnStep(world, AfterStep, this);
    }

    void TearDown() override
    {
        World_Destroy(world);
    }

    static void AfterStep(World *, void *context)
    {
        static_cast<Tenure *>(context)->Check();
    }

    // Starts instances a, b, c... of which the first LISTED are listed.
    void Start(int count, int listed)
    {
        for (int i = 0; i < count; i++) {
            names.push_back(std::string(1, static_cast<char>('a' + i)));
            World_AddInstance(world, names[i].c_str(), "n1", "north");
        }
        SetList(names[listed - 1][0]);
        World_PublishList(world, 0);
        World_Run(world, 5000);
    }

    // Lists a to LAST.
    void SetList(char last)
    {
        std::string all;
        for (char name = 'a'; name <= last; name++) {
            all += name;
        }
        SetList(all);
    }

    void SetList(const std::string &listed)
    {
        for (const std::string &name : names) {
            bool live = listed.find(name) != std::string::npos;
            World_SetListed(world, name.c_str(), live ? BS_NODE_LIVE : 0);
        }
    }

    // Publishes LISTED to the instances in TO only, one after the other.
    void Tell(const std::string &listed, const std::string &to)
    {
        SetList(listed);
        for (char name : to) {
            World_PublishListTo(world, std::string(1, name).c_str());
        }
    }

    // Cuts everything between the instances of LEFT and RIGHT.
    void Part(const std::string &left, const std::string &right)
    {
        for (char one : left) {
            for (char other : right) {
                std::string a(1, one);
                std::string b(1, other);
                World_Cut(world, a.c_str(), b.c_str());
                World_Cut(world, b.c_str(), a.c_str());
            }
        }
    }

    BsTenureState State(char name, int key) const
    {
        BsCore *core = World_Core(world, std::string(1, name).c_str());
        return core == nullptr ? BS_TENURE_NONE
                               : BsTenure_OfKey(core->tenure, "vans",
                                                std::to_string(key).c_str());
    }

    int Count(char name, BsTenureState state) const
    {
        int count = 0;
        for (int key = 0; key < kKeys; key++) {
            count += State(name, key) == state ? 1 : 0;
        }
        return count;
    }

    int CountAll(BsTenureState state) const
    {
        int count = 0;
        for (const std::string &name : names) {
            count += Count(name[0], state);
        }
        return count;
    }

    void Check()
    {
        if (names.size() > kSmallFleet &&
            World_NowMs(world) < checked_ms + kLargeFleetMs) {
            return;
        }
        checked_ms = World_NowMs(world);
        for (int key = 0; key < kKeys && !conflict; key++) {
            std::string holders;
            for (const std::string &name : names) {
                if (State(name[0], key) == BS_TENURE_HELD) {
                    holders += name;
                }
            }
            if (holders.size() > 1) {
                conflict = true;
                ADD_FAILURE() << "key " << key << " held by " << holders
                              << " at " << World_NowMs(world);
            }
        }
    }

    // Returns a list as the platform served it under REVISION.
    BsMessage *CreateList(uint64_t revision, const std::string &listed)
    {
        BsMessage *message = BsMessage_Create(BS_PLATFORM_LIST);
        message->u.list.revision = revision;
        message->u.list.entries = BsSchema_NewList(&bs_schema_list_entry);
        for (char name : listed) {
            BsListEntry *entry = BsListEntry_Create();
            entry->name = g_strdup(std::string(1, name).c_str());
            entry->address = g_strdup(entry->name);
            entry->data_centre = g_strdup("n1");
            entry->region = g_strdup("north");
            entry->kind = BS_NODE_INSTANCE;
            entry->state = BS_NODE_LIVE;
            g_ptr_array_add(message->u.list.entries, entry);
        }
        return message;
    }

    World *world = nullptr;
    std::vector<std::string> names;
    int64_t checked_ms = 0;
    bool conflict = false;
};

TEST_F(Tenure, EveryKeyIsHeldOnceInAHealthyFleet)
{
    Start(5, 5);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

// The list lags 10 s behind a death; its keys are held again within the lag,
// a lease and a second.
TEST_F(Tenure, HeirHoldsWithinTheStatedBound)
{
    Start(5, 5);
    World_Kill(world, "c");
    SetList("abde");
    World_PublishList(world, 10000);
    World_Run(world, 10000 + 2000 + 1000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

TEST_F(Tenure, TwoLossesLeaveTheirKeysInDoubtUntilTheWindowHasPassed)
{
    Start(5, 5);
    int lost = Count('c', BS_TENURE_HELD) + Count('d', BS_TENURE_HELD);
    World_Kill(world, "c");
    World_Kill(world, "d");
    SetList("abe");
    World_PublishList(world, 0);
    World_Run(world, 5000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys - lost);
    EXPECT_EQ(CountAll(BS_TENURE_UNCERTAIN), lost);
    World_Run(world, 60000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

TEST_F(Tenure, RestartUnderTheSameNameIsALoss)
{
    Start(5, 5);
    World_Restart(world, "c");
    World_Run(world, 5000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
    uint64_t lost = 0;
    for (const char *name : {"a", "b", "d", "e"}) {
        lost += BsCore_Counter(World_Core(world, name), "instances_lost");
    }
    EXPECT_EQ(lost, 4u);
    World_Restart(world, "d");
    World_Run(world, 5000);
    EXPECT_GT(CountAll(BS_TENURE_UNCERTAIN), 0);
}

TEST_F(Tenure, AFleetThatStartedTogetherIsInDoubtUnlessToldItIsFresh)
{
    World_Config(world)->fresh_fleet = false;
    Start(5, 5);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), 0);
    EXPECT_EQ(CountAll(BS_TENURE_UNCERTAIN), kKeys);
    World_Run(world, 60000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
    World_Restart(world, "b"); // learns from older ones
    World_Run(world, 5000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

TEST_F(Tenure, APauseEndsTheLeaseAtOnce)
{
    for (int pause_ms : {5000, 60000}) {
        Start(5, 5);
        World_Pause(world, "b");
        World_Run(world, pause_ms);
        EXPECT_EQ(Count('b', BS_TENURE_HELD), 0);
        World_Wake(world, "b");
        World_Run(world, 1000);
        EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
        TearDown();
        names.clear();
        SetUp();
    }
}

// A partition: the side with the majority keeps what it holds.
TEST_F(Tenure, MinorityHoldsNothing)
{
    Start(5, 5);
    int majority = Count('a', BS_TENURE_HELD) + Count('b', BS_TENURE_HELD) +
                   Count('c', BS_TENURE_HELD);
    Part("abc", "de");
    World_Run(world, 3000);
    EXPECT_EQ(Count('d', BS_TENURE_HELD) + Count('e', BS_TENURE_HELD), 0);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), majority);
    World_Heal(world);
    World_Run(world, 2000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

// One way: d hears the others and they do not hear it.
TEST_F(Tenure, OneWayCutEndsTheLease)
{
    Start(5, 5);
    World_Cut(world, "d", "*");
    World_Run(world, 3000);
    EXPECT_EQ(Count('d', BS_TENURE_HELD), 0);
}

// A list that names only the minority of those who may still hold leases.
TEST_F(Tenure, AMinorityListCannotTakeOverFromTheRest)
{
    Start(5, 5);
    Part("ab", "cde");
    Tell("ab", "ab");
    World_Run(world, 90000);
    EXPECT_GT(Count('c', BS_TENURE_HELD), 0);
}

// An instance alone on its list needs the majority of the settled one too.
TEST_F(Tenure, AListOfOneGivesNoLease)
{
    Start(5, 5);
    Part("a", "bcde");
    Tell("a", "a");
    Tell("bcde", "bcde");
    World_Run(world, 20000);
    EXPECT_EQ(Count('a', BS_TENURE_HELD), 0);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

// Removed and listed again without having seen it: it must not go on as if
// it had held its keys all along.
TEST_F(Tenure, AFalselyRemovedInstanceSettlesAnew)
{
    Start(5, 5);
    Part("a", "bcde");
    Tell("bcde", "bcde");
    World_Run(world, 10000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
    World_Heal(world);
    Part("a", "b");
    World_Hold(world, BS_LIST_PUSH, "b");
    Tell("abcde", "cdea");
    World_Run(world, 3000);
    World_Heal(world);
    World_Release(world);
    World_Run(world, 5000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

// b and c skip a list under which d and e took over with a.
TEST_F(Tenure, AListThatWasSkippedIsLearnedFromOthers)
{
    Start(5, 5);
    Part("bc", "ade");
    Tell("ade", "ade");
    World_Run(world, 10000);
    EXPECT_EQ(Count('b', BS_TENURE_HELD) + Count('c', BS_TENURE_HELD), 0);
    World_Heal(world);
    Part("abc", "de");
    Tell("abc", "bca");
    World_Run(world, 10000);
    EXPECT_GT(Count('d', BS_TENURE_HELD) + Count('e', BS_TENURE_HELD), 0);
}

// Lessors that restarted have forgotten whom they denied.
TEST_F(Tenure, RestartedLessorsDoNotCountBeforeTheyAreSettled)
{
    Start(5, 5);
    World_Cut(world, WORLD_PLATFORM, "*");
    Part("a", "bcde");
    Tell("bcde", "bcde");
    World_Run(world, 10000);
    ASSERT_EQ(CountAll(BS_TENURE_HELD), kKeys);
    World_Heal(world);
    World_Cut(world, WORLD_PLATFORM, "*");
    Part("a", "be");
    Part("d", "be");
    World_Hold(world, BS_LIST_PUSH, "c");
    for (const char *name : {"c", "d"}) {
        World_Restart(world, name);
        World_Inject(world, name, CreateList(1, "abcde"));
    }
    World_Run(world, 10000);
    EXPECT_EQ(Count('a', BS_TENURE_HELD), 0);
}

// Beyond the threshold a few lessors stand for a majority.
TEST_F(Tenure, LargeFleetUsesAFewLessorsAndFencesTheLost)
{
    for (int i = 0; i < 40; i++) {
        names.push_back(std::string(1, static_cast<char>('0' + i)));
        World_AddInstance(world, names[i].c_str(), "n1", "north");
    }
    World_PublishList(world, 0);
    World_Run(world, 5000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
    World_Kill(world, "7");
    World_SetListed(world, "7", 0);
    World_PublishList(world, 10000);
    World_Run(world, 13000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

} // namespace
