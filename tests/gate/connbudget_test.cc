// Which connection is closed when callers buffer too much or are too many.
#include <gtest/gtest.h>
#include <memory>
#include <vector>

extern "C" {
#include "connbudget.h"
}

namespace {

constexpr uint64_t kBytes = 1000000;
constexpr uint32_t kConnections = 10;

class ConnBudget : public testing::Test {
  protected:
    struct Connection {
        BsConnEntry entry;
        ConnBudget *test;
        int number;
    };
    ~ConnBudget()
    {
        BsConnBudget_Destroy(budget_);
    }
    static void Close(void *owner, BsConnLimit)
    {
        auto *connection = static_cast<Connection *>(owner);
        connection->test->closed_.push_back(connection->number);
        BsConnBudget_Remove(connection->test->budget_, &connection->entry);
    }
    BsConnEntry *Add(BsConnPhase phase, uint64_t bytes)
    {
        connections_.push_back(std::make_unique<Connection>());
        Connection *added = connections_.back().get();
        added->test = this;
        added->number = (int)connections_.size() - 1;
        added->entry.close = Close;
        added->entry.owner = added;
        BsConnBudget_Add(budget_, &added->entry, phase, now_ms_);
        BsConnBudget_Update(budget_, &added->entry, phase, bytes, now_ms_);
        return &added->entry;
    }

    BsConnBudget *budget_ = BsConnBudget_Create(kBytes, kConnections);
    int64_t now_ms_ = 1000;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::vector<int> closed_;
};

// Guards against connections that are closed although the memory suffices.
TEST_F(ConnBudget, ClosesNothingWithinTheLimits)
{
    BsConnEntry *all = Add(BS_CONN_READING, kBytes);
    BsConnBudget_EnforceMemory(budget_, all, now_ms_);
    EXPECT_TRUE(BsConnBudget_MakeRoom(budget_, now_ms_));
    EXPECT_TRUE(closed_.empty());
}

// Guards against ordinary callers that lose their connections to a crowd: a
// large and a small one differ from it and stay.
TEST_F(ConnBudget, TakesMemoryFromTheGroupThatHoldsTheMost)
{
    Add(BS_CONN_READING, 200000);
    Add(BS_CONN_READING, 700);
    for (int i = 0; i < 20; i++) {
        BsConnEntry *entry = Add(BS_CONN_READING, 60000);
        BsConnBudget_EnforceMemory(budget_, entry, now_ms_);
    }
    EXPECT_LE(BsConnBudget_Bytes(budget_), kBytes);
    EXPECT_EQ(closed_, (std::vector<int>{15, 16, 17, 18, 19, 20, 21}));
}

// Guards against a large body that displaces those which were there before.
TEST_F(ConnBudget, RefusesALargeNewcomer)
{
    Add(BS_CONN_READING, 450000);
    Add(BS_CONN_READING, 450000);
    BsConnEntry *entry = Add(BS_CONN_READING, 110000);
    BsConnBudget_EnforceMemory(budget_, entry, now_ms_);
    EXPECT_EQ(closed_, std::vector<int>{2});
}

// Guards against bodies that stop short and keep the memory for themselves.
TEST_F(ConnBudget, ClosesAStalledConnectionBeforeANewcomer)
{
    Add(BS_CONN_READING, 450000);
    Add(BS_CONN_READING, 450000);
    now_ms_ += BS_CONN_STALLED_MS;
    BsConnEntry *entry = Add(BS_CONN_READING, 110000);
    BsConnBudget_EnforceMemory(budget_, entry, now_ms_);
    EXPECT_EQ(closed_, std::vector<int>{0});
}

// Guards against requests in progress that are ended because others, not
// begun yet, need memory.
TEST_F(ConnBudget, KeepsRequestsInProgressThatHoldLess)
{
    for (int i = 0; i < 4; i++) {
        Add(BS_CONN_ANSWERING, 100000);
    }
    for (int i = 0; i < 11; i++) {
        Add(BS_CONN_READING, 60000);
    }
    BsConnBudget_EnforceMemory(budget_, nullptr, now_ms_);
    EXPECT_EQ(closed_, std::vector<int>{14});
}

// Guards against a close that frees nothing because the memory is held by
// unread answers, and one that is repeated without an end.
TEST_F(ConnBudget, ClosesRequestsInProgressThatHoldTheMost)
{
    for (int i = 0; i < 6; i++) {
        Add(BS_CONN_ANSWERING, 200000);
    }
    BsConnBudget_EnforceMemory(budget_, nullptr, now_ms_);
    EXPECT_EQ(closed_, (std::vector<int>{5}));
}

// Guards against idle callers that are closed instead of a crowd of halves.
TEST_F(ConnBudget, MakesRoomInTheLargestPhase)
{
    Add(BS_CONN_IDLE, 0);
    Add(BS_CONN_IDLE, 0);
    Add(BS_CONN_CLOSING, 0);
    for (int i = 0; i < 4; i++) {
        Add(BS_CONN_READING, 20);
    }
    for (int i = 0; i < 3; i++) {
        Add(BS_CONN_ANSWERING, 20);
    }
    EXPECT_FALSE(BsConnBudget_HasRoom(budget_));
    EXPECT_TRUE(BsConnBudget_MakeRoom(budget_, now_ms_));
    EXPECT_EQ(closed_, std::vector<int>{3});
    EXPECT_EQ(BsConnBudget_Closed(budget_, BS_CONN_LIMIT_NUMBER), 1u);
}

// Guards against answers that are cut off for a new connection.
TEST_F(ConnBudget, HasNoRoomWhileAllAreAnswered)
{
    for (uint32_t i = 0; i < kConnections; i++) {
        Add(BS_CONN_ANSWERING, 20);
    }
    EXPECT_FALSE(BsConnBudget_MakeRoom(budget_, now_ms_));
    EXPECT_TRUE(closed_.empty());
}

// Guards against requests that are closed because operators lower the limit
// below the number of open connections, and a lower limit without an effect.
TEST_F(ConnBudget, ALowerNumberComesIntoForceAsConnectionsEnd)
{
    for (uint32_t i = 0; i < kConnections; i++) {
        Add(BS_CONN_READING, 20);
    }
    BsConnBudget_SetLimits(budget_, kBytes, 4);
    EXPECT_FALSE(BsConnBudget_HasRoom(budget_));
    for (int i = 0; i < 3; i++) {
        BsConnBudget_Remove(budget_, &connections_[(size_t)i]->entry);
    }
    EXPECT_TRUE(BsConnBudget_MakeRoom(budget_, now_ms_));
    EXPECT_TRUE(closed_.empty());
    for (int i = 3; i < 8; i++) {
        BsConnBudget_Remove(budget_, &connections_[(size_t)i]->entry);
    }
    Add(BS_CONN_READING, 20);
    Add(BS_CONN_READING, 20);
    EXPECT_FALSE(BsConnBudget_HasRoom(budget_));
    EXPECT_TRUE(BsConnBudget_MakeRoom(budget_, now_ms_));
    EXPECT_EQ(closed_, std::vector<int>{8});
}

// Guards against a log line for each closed connection.
TEST_F(ConnBudget, ReportsEachChangeOnce)
{
    bool reached = true;
    EXPECT_FALSE(BsConnBudget_TakeChange(budget_, BS_CONN_LIMIT_MEMORY,
                                         now_ms_, &reached));
    BsConnEntry *entry = Add(BS_CONN_READING, kBytes + 1);
    BsConnBudget_EnforceMemory(budget_, entry, now_ms_);
    EXPECT_TRUE(BsConnBudget_TakeChange(budget_, BS_CONN_LIMIT_MEMORY, now_ms_,
                                        &reached));
    EXPECT_TRUE(reached);
    now_ms_ += BS_CONN_CALM_MS - 1;
    EXPECT_FALSE(BsConnBudget_TakeChange(budget_, BS_CONN_LIMIT_MEMORY,
                                         now_ms_, &reached));
    now_ms_ += 1;
    EXPECT_TRUE(BsConnBudget_TakeChange(budget_, BS_CONN_LIMIT_MEMORY, now_ms_,
                                        &reached));
    EXPECT_FALSE(reached);
}

} // namespace
