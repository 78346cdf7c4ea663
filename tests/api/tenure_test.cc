// Tenure in scripted cases that the random walk rarely reaches.
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
constexpr size_t kSmallFleet = 5; // up to this size, checked after every step
constexpr int64_t kLargeFleetMs = 100; // between two checks of a larger fleet

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

    // Starts COUNT instances named a, b, c..., of which the first LISTED are
    // on the list.
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

    // Puts the instances a to LAST on the list.
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

    // Publishes a list of LISTED to the instances in TO only, one by one.
    void PublishTo(const std::string &listed, const std::string &to)
    {
        SetList(listed);
        for (char name : to) {
            World_PublishListTo(world, std::string(1, name).c_str());
        }
    }

    // Cuts all connections between the instances of LEFT and of RIGHT.
    void CutBetween(const std::string &left, const std::string &right)
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

    // Returns a list message as the platform sends it for REVISION.
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

// The list lags 10 s behind the loss of an instance.  Its keys are held again
// within that lag, a lease time (2 s) and one second.
TEST_F(Tenure, NewHolderHoldsWithinTheStatedBound)
{
    Start(5, 5);
    World_Kill(world, "c");
    SetList("abde");
    World_PublishList(world, 10000);
    World_Run(world, 10000 + 2000 + 1000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

TEST_F(Tenure, TwoLossesLeaveTheirKeysUncertainUntilTheWindowHasPassed)
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

TEST_F(Tenure, AFleetThatStartedTogetherIsUncertainUnlessConfiguredAsFresh)
{
    World_Config(world)->fresh_fleet = false;
    Start(5, 5);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), 0);
    EXPECT_EQ(CountAll(BS_TENURE_UNCERTAIN), kKeys);
    World_Run(world, 60000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
    World_Restart(world, "b"); // collects from running instances
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

// In a partition only the side with the majority keeps its keys.
TEST_F(Tenure, MinorityHoldsNothing)
{
    Start(5, 5);
    int majority = Count('a', BS_TENURE_HELD) + Count('b', BS_TENURE_HELD) +
                   Count('c', BS_TENURE_HELD);
    CutBetween("abc", "de");
    World_Run(world, 3000);
    EXPECT_EQ(Count('d', BS_TENURE_HELD) + Count('e', BS_TENURE_HELD), 0);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), majority);
    World_Heal(world);
    World_Run(world, 2000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

// One-way cut: d receives messages, but none of its own arrive.
TEST_F(Tenure, OneWayCutEndsTheLease)
{
    Start(5, 5);
    World_Cut(world, "d", "*");
    World_Run(world, 3000);
    EXPECT_EQ(Count('d', BS_TENURE_HELD), 0);
}

// The new list has only a minority of the instances that may still have
// leases.
TEST_F(Tenure, AMinorityListCannotTakeOverFromTheRest)
{
    Start(5, 5);
    CutBetween("ab", "cde");
    PublishTo("ab", "ab");
    World_Run(world, 90000);
    EXPECT_GT(Count('c', BS_TENURE_HELD), 0);
}

// An instance alone on its list also needs a majority of the last settled
// list.
TEST_F(Tenure, AListOfOneGivesNoLease)
{
    Start(5, 5);
    CutBetween("a", "bcde");
    PublishTo("a", "a");
    PublishTo("bcde", "bcde");
    World_Run(world, 20000);
    EXPECT_EQ(Count('a', BS_TENURE_HELD), 0);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

// An instance is removed from the list and added again without receiving the
// list in between.  It must not act as if it had held its keys throughout.
TEST_F(Tenure, AFalselyRemovedInstanceMustSettleAgain)
{
    Start(5, 5);
    CutBetween("a", "bcde");
    PublishTo("bcde", "bcde");
    World_Run(world, 10000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
    World_Heal(world);
    CutBetween("a", "b");
    World_Hold(world, BS_LIST_PUSH, "b");
    PublishTo("abcde", "cdea");
    World_Run(world, 3000);
    World_Heal(world);
    World_Release(world);
    World_Run(world, 5000);
    EXPECT_EQ(CountAll(BS_TENURE_HELD), kKeys);
}

// b and c never receive a list under which a, d and e took over.  They must
// learn of it from the others before they hold keys of d and e.
TEST_F(Tenure, AListThatWasSkippedIsLearnedFromOthers)
{
    Start(5, 5);
    CutBetween("bc", "ade");
    PublishTo("ade", "ade");
    World_Run(world, 10000);
    EXPECT_EQ(Count('b', BS_TENURE_HELD) + Count('c', BS_TENURE_HELD), 0);
    World_Heal(world);
    CutBetween("abc", "de");
    PublishTo("abc", "bca");
    World_Run(world, 75000); // past the resend window, which ends UNCERTAIN
    EXPECT_GT(Count('d', BS_TENURE_HELD) + Count('e', BS_TENURE_HELD), 0);
}

// Lessors lose their record of denied instances when they restart, so their
// grants must not count before they have settled a list.
TEST_F(Tenure, RestartedLessorsDoNotCountBeforeTheyAreSettled)
{
    Start(5, 5);
    World_Cut(world, WORLD_PLATFORM, "*");
    CutBetween("a", "bcde");
    PublishTo("bcde", "bcde");
    World_Run(world, 10000);
    ASSERT_EQ(CountAll(BS_TENURE_HELD), kKeys);
    World_Heal(world);
    World_Cut(world, WORLD_PLATFORM, "*");
    CutBetween("a", "be");
    CutBetween("d", "be");
    World_Hold(world, BS_LIST_PUSH, "c");
    for (const char *name : {"c", "d"}) {
        World_Restart(world, name);
        World_Inject(world, name, CreateList(1, "abcde"));
    }
    World_Run(world, 10000);
    EXPECT_EQ(Count('a', BS_TENURE_HELD), 0);
}

// Above BS_VIEW_MAJORITY_MAX instances a few lessors replace the majority.
TEST_F(Tenure, LargeFleetUsesAFewLessorsAndFencesLostInstances)
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
