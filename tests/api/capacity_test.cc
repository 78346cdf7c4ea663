// Queue order, upstream limits, and budgets of accounts, links and retries.
#include "boragespur.h"
extern "C" {
#include "account.h"
#include "link.h"
#include "pool.h"
#include "queue.h"
#include "retry.h"
#include "schema.h"
#include "upstream.h"
}

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace {

BsWork *
CreateWork(const char *id, const char *account, uint32_t rank, uint32_t tokens,
           int64_t deadline_ms)
{
    BsMessage *forward = BsMessage_Create(BS_FORWARD);
    BsRequest *request = &forward->u.request;
    request->request_id = g_strdup(id);
    request->account = g_strdup(account);
    request->model = g_strdup("blade");
    request->prompt_tokens = tokens;
    request->deadline_ms = deadline_ms;
    request->idempotent = true;
    BsWork *work = BsWork_Create(forward, rank, 0);
    BsMessage_Destroy(forward);
    return work;
}

TEST(Queue, LargeAccountCannotStarveASmallOne)
{
    BsQueue *queue = BsQueue_Create();
    for (int i = 0; i < 400; i++) {
        BsQueue_Push(queue, CreateWork("l", "large", 3, 1000, 1000 + i), 1);
    }
    for (int i = 0; i < 40; i++) {
        BsQueue_Push(queue, CreateWork("s", "small", 3, 1000, 90000 + i), 1);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 80; i++) {
        BsWork *work = BsQueue_Peek(queue, 3);
        served[BsWork_Request(work)->account]++;
        BsQueue_Remove(queue, work, true);
        BsWork_Destroy(work);
    }
    // Equal weights: the small account gets half, within one quantum.
    EXPECT_NEAR(served["small"], 40, 4);
    while (BsWork *work = BsQueue_Last(queue)) {
        BsQueue_Remove(queue, work, false);
        BsWork_Destroy(work);
    }
    BsQueue_Destroy(queue);
}

TEST(Queue, SharesTokensNotRequestsByWeight)
{
    BsQueue *queue = BsQueue_Create();
    for (int i = 0; i < 200; i++) {
        BsQueue_Push(queue, CreateWork("a", "long", 3, 4000, 1000), 1);
        BsQueue_Push(queue, CreateWork("b", "short", 3, 1000, 1000), 2);
    }
    double tokens[2] = {0, 0};
    while (tokens[0] + tokens[1] < 210000) {
        BsWork *work = BsQueue_Peek(queue, 3);
        bool is_short = BsWork_Request(work)->prompt_tokens == 1000;
        tokens[is_short] += work->cost_tokens;
        BsQueue_Remove(queue, work, true);
        BsWork_Destroy(work);
    }
    // Weight 2 to 1, within one long request and a quantum.
    EXPECT_NEAR(tokens[1], 2 * tokens[0], 2 * 4000 + 2048);
    while (BsWork *work = BsQueue_Last(queue)) {
        BsQueue_Remove(queue, work, false);
        BsWork_Destroy(work);
    }
    BsQueue_Destroy(queue);
}

TEST(Queue, EarliestDeadlineFirstInsideAnAccount)
{
    BsQueue *queue = BsQueue_Create();
    BsWork *late = CreateWork("late", "a", 1, 10, 9000);
    BsWork *soon = CreateWork("soon", "a", 1, 10, 100);
    BsQueue_Push(queue, late, 1);
    BsQueue_Push(queue, soon, 1);
    EXPECT_EQ(BsQueue_Peek(queue, 1), soon);
    EXPECT_EQ(BsQueue_Last(queue), late);
    EXPECT_EQ(BsQueue_TokensUpTo(queue, 1), 20u);
    BsQueue_Remove(queue, soon, true);
    BsQueue_Remove(queue, late, true);
    BsWork_Destroy(soon);
    BsWork_Destroy(late);
    BsQueue_Destroy(queue);
}

// Guards against a rejection of work that fits only because an upstream has
// its prefix cached, and of work for which no upstream is listed.
TEST(Pool, WorkIsTooLargeOnlyIfNoListedUpstreamCanAcceptIt)
{
    BsListEntry entry = {};
    entry.name = g_strdup("e1");
    entry.slots = 8;
    entry.tokens = 10000;
    BsUpstream *upstream = BsUpstream_Create(&entry, 0);
    BsPool *pool = BsPool_Create("blade");
    BsWork *work = CreateWork("r", "a", 1, 10001, 1000);
    work->request->u.request.prefix_hash = 7;
    EXPECT_FALSE(BsPool_IsTooLarge(pool, work));
    g_ptr_array_add(pool->upstreams, upstream);
    pool->largest = g_strdup("e1");
    pool->largest_tokens = 10000;
    EXPECT_TRUE(BsPool_IsTooLarge(pool, work));
    BsPrefixes_Note(upstream->prefixes, 7, 1);
    EXPECT_FALSE(BsPool_IsTooLarge(pool, work));
    BsPrefixes_Clear(upstream->prefixes);
    EXPECT_TRUE(BsPool_IsTooLarge(pool, work));
    pool->largest_tokens = 10001; // another owner's upstream
    EXPECT_FALSE(BsPool_IsTooLarge(pool, work));
    BsWork_Destroy(work);
    BsPool_Destroy(pool);
    BsUpstream_Destroy(upstream);
    g_free(entry.name);
}

class Upstream : public ::testing::Test {
  protected:
    void SetUp() override
    {
        entry.name = g_strdup("e1");
        entry.slots = 8;
        entry.tokens = 10000;
        upstream = BsUpstream_Create(&entry, 0);
        upstream->open = upstream->permitted = true;
    }

    void TearDown() override
    {
        BsUpstream_Destroy(upstream);
        g_free(entry.name);
    }

    uint32_t Requests(int64_t now_ms)
    {
        uint32_t requests;
        uint32_t tokens;
        BsUpstream_Limit(upstream, &cold, now_ms, &requests, &tokens);
        return requests;
    }

    BsListEntry entry = {};
    BsColdStart cold = {2, 1000, 10000};
    BsUpstream *upstream = nullptr;
};

TEST_F(Upstream, ColdTokensBoundALongPrompt)
{
    BsWork *work = CreateWork("w", "a", 3, 1001, 1000);
    EXPECT_FALSE(BsUpstream_Fits(upstream, work, &cold, 0));
    EXPECT_FALSE(BsUpstream_FitsEmpty(upstream, work, &cold, 0));
    upstream->warmth = BS_WARMTH_WARM;
    EXPECT_TRUE(BsUpstream_Fits(upstream, work, &cold, 0));
    BsWork_Destroy(work);
}

TEST_F(Upstream, WarmTakeOverStartsHalfWayAndCountsReportedWork)
{
    BsUpstream_Resume(upstream, &cold, 0);
    EXPECT_EQ(Requests(0), 5u);
    EXPECT_EQ(Requests(10000), 8u);
    BsInFlight reported = {nullptr, 3, 300, false};
    BsUpstream_OnForeign(upstream, "old", &reported, 0);
    BsUpstream_OnForeign(upstream, "old", &reported, 1);
    uint32_t requests;
    uint32_t tokens;
    BsUpstream_InFlight(upstream, 1, &requests, &tokens);
    EXPECT_EQ(requests, 3u);
    EXPECT_EQ(tokens, 300u);
}

TEST_F(Upstream, LimitFallsFastAndRisesSlowlyNeverPastThePublishedOne)
{
    upstream->warmth = BS_WARMTH_WARM;
    upstream->speed.best_inter_token_ms = 20;
    upstream->speed.inter_token_ms = 200;
    BsUpstream_OnTick(upstream, &cold, 0.0, 1000);
    BsUpstream_OnTick(upstream, &cold, 0.0, 2000);
    uint32_t low = Requests(2000);
    EXPECT_LE(low, 6u);
    upstream->speed.inter_token_ms = 30;
    BsUpstream_OnTick(upstream, &cold, 0.0, 3000);
    EXPECT_EQ(Requests(3000), low + 1);
    for (int64_t at_ms = 4000; at_ms < 60000; at_ms += 1000) {
        BsUpstream_OnTick(upstream, &cold, 0.0, at_ms);
    }
    EXPECT_EQ(Requests(60000), 8u);
}

TEST_F(Upstream, ReportsNeverRaiseTheLimit)
{
    upstream->warmth = BS_WARMTH_WARM;
    upstream->limit = 2;
    BsReport report = {};
    report.reachable = true;
    BsUpstream_OnReport(upstream, &report, 1000);
    EXPECT_EQ(Requests(1000), 2u);
    report.reachable = false;
    BsUpstream_OnReport(upstream, &report, 2000);
    EXPECT_FALSE(BsUpstream_IsAvailable(upstream, 2000));
}

// A core with a sheet and a list of two instances.
class Budgets : public ::testing::Test {
  protected:
    static struct timespec Now(void *context)
    {
        int64_t now_ms = *static_cast<int64_t *>(context);
        return {now_ms / 1000, now_ms % 1000 * 1000000};
    }

    void SetUp() override
    {
        BsCoreConfig config;
        BsClock clock = {Now, &now_ms};
        BsCoreConfig_Init(&config);
        config.name = "a";
        config.data_centre = "n1";
        config.region = "north";
        config.incarnation = 1;
        config.fresh_fleet = true;
        core = BsCore_Create(
            &config, &clock, [](const BsMessage *, void *) {}, nullptr,
            nullptr);
        GiveList();
        GiveSheet();
        BsMessage tick = {};
        tick.kind = BS_TICK;
        for (int i = 0; i < 100 && BsCore_Sheet(core) == nullptr; i++) {
            now_ms += 100;
            BsCore_Step(core, &tick);
        }
        ASSERT_NE(BsCore_Sheet(core), nullptr);
    }

    void TearDown() override
    {
        BsCore_Destroy(core);
    }

    void GiveSheet()
    {
        const char *text =
            "format: 1\n"
            "tiers:\n"
            "  - {name: urgent, rank: 1, deadline_ms: 1000}\n"
            "  - {name: routine, rank: 2, deadline_ms: 1000, "
            "yields_to: [urgent]}\n"
            "accounts:\n"
            "  - {name: vans, token_sha256: [a5ff5c58389251927a3bf5fd9ebe9fa1"
            "bb3377ce5caf548adecb361c1f82de08]}\n"
            "data_centres:\n"
            "  - {name: n1, open: true}\n"
            "link_bytes_per_s: 20000\n"
            "retry_percent: 10\n";
        BsMessage *message = BsMessage_Create(BS_PLATFORM_SHEET);
        message->u.sheet.revision = 1;
        message->u.sheet.text = g_bytes_new(text, strlen(text));
        BsCore_Step(core, message);
        BsMessage_Destroy(message);
    }

    void GiveList()
    {
        BsMessage *message = BsMessage_Create(BS_PLATFORM_LIST);
        message->u.list.revision = 1;
        message->u.list.entries = BsSchema_NewList(&bs_schema_list_entry);
        for (const char *name : {"a", "b"}) {
            BsListEntry *entry = BsListEntry_Create();
            entry->name = g_strdup(name);
            entry->kind = BS_NODE_INSTANCE;
            entry->state = BS_NODE_LIVE;
            entry->data_centre = g_strdup("n1");
            entry->region = g_strdup("north");
            g_ptr_array_add(message->u.list.entries, entry);
        }
        BsCore_Step(core, message);
        BsMessage_Destroy(message);
    }

    int64_t now_ms = 1000000;
    BsCore *core = nullptr;
};

TEST_F(Budgets, AccountsStayWithinTheirShareAndTheStatedBurst)
{
    BsAccount account = {};
    account.requests_per_s = 100;
    BsRequest request = {};
    char name[] = "vans";
    request.account = name;
    uint32_t admitted = 0;
    for (int i = 0; i < 10000; i++) {
        now_ms += 1;
        admitted += BsAccounts_Admit(core->accounts, &account, &request);
    }
    // One of two instances gets half of the limit for 10 s, plus the burst.
    EXPECT_LE(admitted, 50u * (10 + BS_ACCOUNT_BURST_S) + 1);
    EXPECT_GE(admitted, 50u * 10 - 1);
}

TEST_F(Budgets, LinkReservesHalfOfSavedBytesForUrgentWork)
{
    BsRequest request = {};
    char urgent[] = "urgent";
    char routine[] = "routine";
    now_ms += 60000;
    request.tier = routine;
    EXPECT_TRUE(BsLink_Allows(core->link, &request));
    BsLink_Charge(core->link, "routine", 12000);
    EXPECT_FALSE(BsLink_Allows(core->link, &request));
    request.tier = urgent;
    EXPECT_TRUE(BsLink_Allows(core->link, &request));
    BsLink_Charge(core->link, "urgent", 40000);
    EXPECT_FALSE(BsLink_Allows(core->link, &request));
    EXPECT_EQ(BsCore_Counter(core, "link_bytes{tier=\"urgent\"}"), 40000u);
}

TEST_F(Budgets, RetriesStayWithinTheShareOfRequests)
{
    uint32_t taken = 0;
    while (BsRetries_Take(core->retries, "urgent")) {
        taken++;
    }
    EXPECT_LE(taken, 20u);
    taken = 0;
    for (int i = 0; i < 1000; i++) {
        BsRetries_OnRequest(core->retries);
        taken += BsRetries_Take(core->retries, "urgent");
    }
    // 10 % of the requests, within one retry that the budget carries over.
    EXPECT_NEAR(taken, 100, 1);
    for (int i = 0; i < 50; i++) {
        BsRetries_OnRequest(core->retries);
    }
    EXPECT_FALSE(BsRetries_Take(core->retries, "routine"));
}

} // namespace
