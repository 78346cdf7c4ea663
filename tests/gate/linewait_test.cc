// How long requests wait for a place.
#include <gtest/gtest.h>

extern "C" {
#include "line.h"
#include "linewait.h"
}

namespace {

const int64_t kArrivedMs = 10000;

// A request of 600 ms objective that must be sent within 400 ms.
BsLineWait
Case()
{
    BsLineWait wait = {};
    wait.arrived_ms = kArrivedMs;
    wait.expires_ms = kArrivedMs + 5000;
    wait.objective_ms = 600;
    wait.in_time_ms = kArrivedMs + 400;
    return wait;
}

TEST(LineWait, ANewRequestWaitsForMostOfItsObjective)
{
    BsLineWait wait = Case();
    EXPECT_EQ(BsLineWait_UntilMs(&wait, kArrivedMs + 10), kArrivedMs + 450);
}

TEST(LineWait, InAnOverloadItMakesRoomOnceItCanOnlyBeLate)
{
    BsLineWait wait = Case();
    wait.overload = true;
    EXPECT_EQ(BsLineWait_UntilMs(&wait, kArrivedMs + 10), kArrivedMs + 400);
    wait.in_time_ms = kArrivedMs - 100;
    EXPECT_EQ(BsLineWait_UntilMs(&wait, kArrivedMs + 10), kArrivedMs + 85);
}

// A third of the upstreams goes, and what ran there comes back into the line
// long after it arrived.
TEST(LineWait, ARequestWhoseUpstreamFailedGetsItsTimeOnceMore)
{
    BsLineWait wait = Case();
    wait.sent = true;
    EXPECT_EQ(BsLineWait_UntilMs(&wait, kArrivedMs + 2000), kArrivedMs + 2450);
}

// Served late it would take the place of one that can be in time, here or at
// another instance.
TEST(LineWait, InAnOverloadItMakesRoomAfterAFailureToo)
{
    BsLineWait wait = Case();
    wait.sent = true;
    wait.overload = true;
    EXPECT_EQ(BsLineWait_UntilMs(&wait, kArrivedMs + 2000), kArrivedMs + 2075);
}

TEST(LineWait, ABegunAnswerIsNotGivenUpBeforeItsCallerLeaves)
{
    BsLineWait wait = Case();
    wait.sent = true;
    wait.begun = true;
    wait.overload = true;
    wait.leaves_ms = kArrivedMs + 4400;
    EXPECT_EQ(BsLineWait_UntilMs(&wait, kArrivedMs + 2000), kArrivedMs + 4400);
}

TEST(LineWait, NothingWaitsBeyondItsEndOrBackInTime)
{
    BsLineWait wait = Case();
    wait.begun = true;
    wait.leaves_ms = kArrivedMs + 9000;
    EXPECT_EQ(BsLineWait_UntilMs(&wait, kArrivedMs), wait.expires_ms);
    wait.leaves_ms = kArrivedMs + 100;
    EXPECT_EQ(BsLineWait_UntilMs(&wait, kArrivedMs + 200), kArrivedMs + 200);
}

TEST(Line, ABegunAnswerGoesBeforeItsEquals)
{
    BsLine *line = BsLine_Create();
    int older = 0, begun = 1, urgent = 2;
    BsLinePlace place = {};
    place.route_rank = 1;
    place.since_ms = kArrivedMs;
    place.in_time_ms = kArrivedMs + 400;
    BsLineEntry *entries[3];
    entries[0] = BsLine_Add(line, &place, &older);
    place.begun = true;
    place.since_ms = kArrivedMs + 50;
    place.in_time_ms = kArrivedMs - 900;
    entries[1] = BsLine_Add(line, &place, &begun);
    place.begun = false;
    place.route_rank = 0;
    entries[2] = BsLine_Add(line, &place, &urgent);
    GPtrArray *order = BsLine_Order(line, kArrivedMs + 60);
    EXPECT_EQ(order->pdata[0], &urgent);
    EXPECT_EQ(order->pdata[1], &begun);
    EXPECT_EQ(order->pdata[2], &older);
    g_ptr_array_free(order, TRUE);
    for (BsLineEntry *entry : entries) {
        BsLine_Remove(line, entry);
    }
    BsLine_Destroy(line);
}

} // namespace
