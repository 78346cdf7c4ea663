// How long requests are queued for a free slot.
#include <gtest/gtest.h>

extern "C" {
#include "queuetimeout.h"
#include "waitqueue.h"
}

namespace {

const int64_t kArrivedMs = 10000;

// A request with an objective of 600 ms that must be sent within 400 ms.
BsQueueTimeout
MakeWait()
{
    BsQueueTimeout wait = {};
    wait.arrived_ms = kArrivedMs;
    wait.expires_ms = kArrivedMs + 5000;
    wait.objective_ms = 600;
    wait.in_time_ms = kArrivedMs + 400;
    return wait;
}

TEST(QueueTimeout, ANewRequestWaitsForMostOfItsObjective)
{
    BsQueueTimeout wait = MakeWait();
    EXPECT_EQ(BsQueueTimeout_UntilMs(&wait, kArrivedMs + 10),
              kArrivedMs + 450);
}

TEST(QueueTimeout, InAnOverloadALateRequestIsGivenUp)
{
    BsQueueTimeout wait = MakeWait();
    wait.overload = true;
    EXPECT_EQ(BsQueueTimeout_UntilMs(&wait, kArrivedMs + 10),
              kArrivedMs + 400);
    wait.in_time_ms = kArrivedMs - 100;
    EXPECT_EQ(BsQueueTimeout_UntilMs(&wait, kArrivedMs + 10), kArrivedMs + 85);
}

// Guards against refusing requests at once when a third of the upstreams
// fails: requests that ran there are queued again long after they arrived.
TEST(QueueTimeout, ARequestWhoseUpstreamFailedGetsItsTimeAgain)
{
    BsQueueTimeout wait = MakeWait();
    wait.sent = true;
    EXPECT_EQ(BsQueueTimeout_UntilMs(&wait, kArrivedMs + 2000),
              kArrivedMs + 2450);
}

// Guards against a late request that takes the slot of one that can still meet
// its objective, at this or another instance.
TEST(QueueTimeout, InAnOverloadALateRequestIsGivenUpAfterAFailure)
{
    BsQueueTimeout wait = MakeWait();
    wait.sent = true;
    wait.overload = true;
    EXPECT_EQ(BsQueueTimeout_UntilMs(&wait, kArrivedMs + 2000),
              kArrivedMs + 2075);
}

TEST(QueueTimeout, AStartedAnswerIsNotGivenUpBeforeItsCallerDisconnects)
{
    BsQueueTimeout wait = MakeWait();
    wait.sent = true;
    wait.started = true;
    wait.overload = true;
    wait.leaves_ms = kArrivedMs + 4400;
    EXPECT_EQ(BsQueueTimeout_UntilMs(&wait, kArrivedMs + 2000),
              kArrivedMs + 4400);
}

// Guards against requests that are refused although all their upstreams are
// about to go on, and against a wait that leaves no time to retry.
TEST(QueueTimeout, SilentUpstreamsAreWaitedForUntilHalfOfTheTime)
{
    BsQueueTimeout wait = MakeWait();
    EXPECT_EQ(BsQueueTimeout_SilentUntilMs(&wait), kArrivedMs + 2000);
    wait.expires_ms = kArrivedMs + 800;
    EXPECT_EQ(BsQueueTimeout_SilentUntilMs(&wait), kArrivedMs + 400);
}

TEST(QueueTimeout, TimeoutIsNeitherAfterExpiryNorInThePast)
{
    BsQueueTimeout wait = MakeWait();
    wait.started = true;
    wait.leaves_ms = kArrivedMs + 9000;
    EXPECT_EQ(BsQueueTimeout_UntilMs(&wait, kArrivedMs), wait.expires_ms);
    wait.leaves_ms = kArrivedMs + 100;
    EXPECT_EQ(BsQueueTimeout_UntilMs(&wait, kArrivedMs + 200),
              kArrivedMs + 200);
}

TEST(WaitQueue, AStartedAnswerGoesBeforeEqualRanks)
{
    BsWaitQueue *queue = BsWaitQueue_Create();
    int older = 0, started = 1, urgent = 2;
    BsWaitQueueKey key = {};
    key.route_rank = 1;
    key.since_ms = kArrivedMs;
    key.in_time_ms = kArrivedMs + 400;
    BsWaitQueueEntry *entries[3];
    entries[0] = BsWaitQueue_Add(queue, &key, &older);
    key.started = true;
    key.since_ms = kArrivedMs + 50;
    key.in_time_ms = kArrivedMs - 900;
    entries[1] = BsWaitQueue_Add(queue, &key, &started);
    key.started = false;
    key.route_rank = 0;
    entries[2] = BsWaitQueue_Add(queue, &key, &urgent);
    GPtrArray *order = BsWaitQueue_Order(queue, kArrivedMs + 60);
    EXPECT_EQ(order->pdata[0], &urgent);
    EXPECT_EQ(order->pdata[1], &started);
    EXPECT_EQ(order->pdata[2], &older);
    g_ptr_array_free(order, TRUE);
    for (BsWaitQueueEntry *entry : entries) {
        BsWaitQueue_Remove(queue, entry);
    }
    BsWaitQueue_Destroy(queue);
}

} // namespace
