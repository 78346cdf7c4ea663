// Tickets and table limits of non-idempotent requests, on the cores of three
// instances in a simulated network.
#include "world.h"
extern "C" {
#include "member.h"
#include "peer.h"
}

#include <gtest/gtest.h>

#include <string>

namespace {

class OnceTest : public ::testing::Test {
  protected:
    World *world_ = nullptr;

    void Build(int64_t step_ms, uint32_t slots)
    {
        char *sheet = nullptr;
        ASSERT_TRUE(g_file_get_contents(BASE_SHEET, &sheet, nullptr, nullptr));
        World_AddInstance(world_, "a", "n1", "north");
        World_AddInstance(world_, "b", "n2", "north");
        World_AddInstance(world_, "c", "s1", "south");
        WorldUpstreamSpec spec = {};
        spec.name = "b1";
        spec.kind = BS_NODE_SERVICE;
        spec.data_centre = "n1";
        spec.region = "north";
        spec.serves = "bookings";
        spec.slots = slots;
        spec.first_ms = 5;
        spec.step_ms = static_cast<uint32_t>(step_ms);
        spec.pieces = 1;
        World_AddUpstream(world_, &spec);
        World_PublishSheet(world_, 1, sheet, 0);
        World_PublishList(world_, 0);
        g_free(sheet);
        World_Run(world_, 12000);
        Send("a", "warm", "warm", "", "t-farm");
        World_Run(world_, 3000);
    }

    void SetUp() override
    {
        world_ = World_Create(1);
    }

    void TearDown() override
    {
        World_Destroy(world_);
    }

    void Send(const char *instance, const std::string &id,
              const std::string &key, const std::string &ticket,
              const char *token, size_t body_bytes = 8)
    {
        BsMessage *message = BsMessage_Create(BS_CALLER_REQUEST);
        BsRequest *request = &message->u.request;
        std::string body(body_bytes, 'x');
        request->request_id = g_strdup(id.c_str());
        request->token = g_strdup(token);
        request->service = g_strdup("bookings");
        request->method = g_strdup("POST");
        request->path = g_strdup("/book");
        request->key = g_strdup(key.c_str());
        request->body = g_bytes_new(body.data(), body.size());
        if (!ticket.empty()) {
            request->ticket = g_strdup(ticket.c_str());
        }
        World_Send(world_, instance, message);
    }

    std::string Ticket(const char *instance, const char *token)
    {
        char *body =
            World_Query(world_, instance, "ticket", nullptr, token, 1000);
        std::string text = body == nullptr ? "" : body;
        g_free(body);
        size_t start = text.find("\"ticket\":\"") + 10;
        return text.substr(start, text.find('"', start) - start);
    }

    void ExpectEnd(const char *id, BsOutcome outcome, BsErrorKind error)
    {
        const WorldCall *call = World_Call(world_, id);
        EXPECT_EQ(call->finals, 1u) << id;
        EXPECT_EQ(call->outcome, static_cast<uint32_t>(outcome)) << id;
        EXPECT_EQ(call->error, static_cast<uint32_t>(error)) << id;
    }

    size_t Runs()
    {
        return World_Runs(world_, "b1")->len - 1; // minus the warm-up
    }
};

TEST_F(OnceTest, TicketRunsOnceWhicheverInstanceItIsSentTo)
{
    Build(5, 8);
    std::string ticket = Ticket("b", "t-vans");
    Send("a", "r1", "k", ticket, "t-vans");
    Send("c", "r2", "k", ticket, "t-vans");
    World_Run(world_, 2000);
    Send("b", "r3", "other", ticket, "t-vans");
    World_Run(world_, 2000);
    ExpectEnd("r1", BS_OUTCOME_RAN, BS_ERR_NONE);
    ExpectEnd("r2", BS_OUTCOME_RAN, BS_ERR_NONE);
    ExpectEnd("r3", BS_OUTCOME_RAN, BS_ERR_NONE);
    EXPECT_EQ(Runs(), 1u);
}

TEST_F(OnceTest, TicketOfAnotherAccountOrForgedIsRefused)
{
    Build(5, 8);
    std::string ticket = Ticket("b", "t-vans");
    std::string forged = ticket;
    forged[0] = forged[0] == '1' ? '2' : '1';
    Send("a", "r1", "k", ticket, "t-cafe");
    Send("a", "r2", "k", forged, "t-vans");
    Send("a", "r3", "k", "junk", "t-vans");
    World_Run(world_, 1000);
    ExpectEnd("r1", BS_OUTCOME_NOT_RUN, BS_ERR_TICKET);
    ExpectEnd("r2", BS_OUTCOME_NOT_RUN, BS_ERR_TICKET);
    ExpectEnd("r3", BS_OUTCOME_NOT_RUN, BS_ERR_TICKET);
    EXPECT_EQ(Runs(), 0u);
}

TEST_F(OnceTest, TicketOfALostIncarnationNeverRuns)
{
    Build(5, 8);
    std::string ticket = Ticket("b", "t-vans");
    World_Restart(world_, "b");
    World_Run(world_, 1000);
    Send("a", "r1", "k", ticket, "t-vans");
    Send("b", "r2", "k", ticket, "t-vans");
    World_Run(world_, 8000);
    ExpectEnd("r1", BS_OUTCOME_UNKNOWN, BS_ERR_TICKET);
    ExpectEnd("r2", BS_OUTCOME_UNKNOWN, BS_ERR_TICKET);
    EXPECT_EQ(Runs(), 0u);
    Send("a", "r3", "k", Ticket("a", "t-vans"), "t-vans");
    World_Run(world_, 20000);
    ExpectEnd("r3", BS_OUTCOME_RAN, BS_ERR_NONE);
}

// The usual rate is 5 bookings/s; this sends 500/s for 10 s into tables of 600
// records.  Every request must run once or be refused as not-run, and the
// tables must not grow beyond their limit.
TEST_F(OnceTest, TablesStayBoundedAtAHundredTimesTheOrdinaryRate)
{
    constexpr uint32_t kLimit = 600;
    constexpr int kSent = 5000;
    World_Config(world_)->record_limit = kLimit;
    World_Config(world_)->queue_bytes = 4 * 1024 * 1024;
    Build(5, 64);
    const char *const instances[] = {"a", "b", "c"};
    for (int i = 0; i < kSent; i++) {
        std::string n = std::to_string(i);
        Send(instances[i % 3], "r" + n, "k" + n, "", "t-vans", 2048);
        World_Run(world_, 2);
    }
    World_Run(world_, 25000);
    size_t ran = 0;
    size_t refused = 0;
    for (int i = 0; i < kSent; i++) {
        const WorldCall *call =
            World_Call(world_, ("r" + std::to_string(i)).c_str());
        ASSERT_EQ(call->finals, 1u) << i;
        ran += call->outcome == BS_OUTCOME_RAN;
        // A witness with a full table does not answer; the request is then
        // refused with BS_ERR_PEER_LOST.
        bool full = call->error == BS_ERR_MEMORY_FULL ||
                    call->error == BS_ERR_PEER_LOST;
        refused += call->outcome == BS_OUTCOME_NOT_RUN && full &&
                   call->retry_after_s > 0;
    }
    EXPECT_EQ(ran + refused, static_cast<size_t>(kSent));
    EXPECT_EQ(ran, Runs());
    EXPECT_GT(refused, 0u);
    for (const char *name : instances) {
        char *metrics =
            World_Query(world_, name, "metrics", nullptr, nullptr, 1000);
        std::string text = metrics == nullptr ? "" : metrics;
        g_free(metrics);
        EXPECT_LE(BsCore_Counter(World_Core(world_, name), "records"), kLimit);
        EXPECT_LE(BsCore_Counter(World_Core(world_, name), "runs"), kLimit);
    }
    // The first record has not been dropped: its key does not run again.
    Send("c", "again", "k0", "", "t-vans", 2048);
    World_Run(world_, 2000);
    ExpectEnd("again", BS_OUTCOME_RAN, BS_ERR_NONE);
    EXPECT_EQ(ran, Runs());
}

// Only the table of the keeper fills up: all keys rank b first, while entries
// and owners are spread over the instances.
TEST_F(OnceTest, KeeperRefusesNewKeysBeyondItsRecords)
{
    constexpr uint32_t kLimit = 50;
    World_Config(world_)->record_limit = kLimit;
    for (const char *name : {"b2", "b3"}) {
        WorldUpstreamSpec spec = {};
        spec.name = name;
        spec.kind = BS_NODE_SERVICE;
        spec.data_centre = name[1] == '2' ? "n2" : "s1";
        spec.region = name[1] == '2' ? "north" : "south";
        spec.serves = "bookings";
        spec.slots = 8;
        spec.first_ms = 5;
        spec.pieces = 1;
        World_AddUpstream(world_, &spec);
    }
    Build(5, 8);
    int sent = 0;
    for (int i = 0; sent < 80; i++) {
        std::string key = "k" + std::to_string(i);
        std::string resource = "vans\n" + key;
        uint64_t weight = BsMembers_Weight("b", resource.c_str());
        if (weight > BsMembers_Weight("a", resource.c_str()) &&
            weight > BsMembers_Weight("c", resource.c_str())) {
            Send(sent++ % 2 == 0 ? "a" : "c", key, key, "", "t-vans");
            World_Run(world_, 100);
        }
    }
    World_Run(world_, 2000);
    char *metrics =
        World_Query(world_, "b", "metrics", nullptr, nullptr, 1000);
    g_free(metrics);
    EXPECT_LE(BsCore_Counter(World_Core(world_, "b"), "records"), kLimit);
    EXPECT_GT(BsCore_Counter(World_Core(world_, "b"), "record_table_full"),
              0u);
}

TEST(PeersTest, AdmitsEachForwardOnceInAnyOrder)
{
    BsPeers *peers = BsPeers_Create(1000);
    EXPECT_TRUE(BsPeers_Admit(peers, 7, 5, 0));
    EXPECT_FALSE(BsPeers_Admit(peers, 7, 5, 0));
    EXPECT_TRUE(BsPeers_Admit(peers, 7, 3, 0));
    EXPECT_FALSE(BsPeers_Admit(peers, 7, 3, 0));
    EXPECT_TRUE(BsPeers_Admit(peers, 8, 5, 0));
    EXPECT_TRUE(BsPeers_Admit(peers, 7, 100000, 0));
    EXPECT_FALSE(BsPeers_Admit(peers, 7, 4, 0)) << "older than the window";
    EXPECT_TRUE(BsPeers_Admit(peers, 7, 99999, 0));
    EXPECT_FALSE(BsPeers_Admit(peers, 7, 99999, 0));
    BsPeers_Destroy(peers);
}

} // namespace
