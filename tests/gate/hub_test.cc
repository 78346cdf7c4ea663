// Account use in the totals of hubs, over summaries from other data centres.
#include <gtest/gtest.h>

extern "C" {
#include "hub.h"
}

namespace {

constexpr uint64_t kAccount = 77;
constexpr uint32_t kRemoteHub = 0x0a000002;
constexpr uint32_t kMember = 0x0a000003;

// A hub, and the hub of another data centre that reports to it.
class HubUseTest : public testing::Test {
  protected:
    void SetUp() override
    {
        BsGossipReport_Init(&report_);
        report_.incarnation = 1;
    }
    void TearDown() override
    {
        BsGossipReport_Clear(&report_);
        BsHub_Destroy(hub_);
        BsHub_Destroy(remote_hub_);
    }
    // The member of the other data centre has used USED since its start.
    void Use(uint64_t account, uint64_t used)
    {
        BsQuotaUse use = {account, used};
        report_.sequence++;
        g_array_append_val(report_.uses, use);
        BsHub_ApplyReport(remote_hub_, kMember, &report_, now_ms_);
        g_array_set_size(report_.uses, 0);
    }
    // The remote hub sends a summary of INCARNATION to the hub.
    void Exchange(uint64_t incarnation)
    {
        BsSummary summary;
        BsSummary_Init(&summary);
        summary.data_centre = 2;
        summary.incarnation = incarnation;
        summary.sequence = ++sequence_;
        BsHub_FillUses(remote_hub_, true, &summary);
        now_ms_ += 20;
        EXPECT_TRUE(
            BsHub_ApplyRemoteSummary(hub_, kRemoteHub, &summary, now_ms_));
        BsSummary_Clear(&summary);
    }
    // The total of ACCOUNT that the hub sends to its members; 0: none.
    uint64_t Total(uint64_t account)
    {
        BsSummary summary;
        uint64_t total = 0;
        BsSummary_Init(&summary);
        for (int i = 0; i < 4; i++) { // one does not hold all accounts
            BsHub_FillUses(hub_, false, &summary);
        }
        for (guint i = 0; i < summary.uses->len; i++) {
            const BsQuotaUse &use = g_array_index(summary.uses, BsQuotaUse, i);
            total = use.hash == account ? use.used : total;
        }
        BsSummary_Clear(&summary);
        return total;
    }
    // Lets a member of the hub's own data centre use the account, so that the
    // hub has a total of it before the other data centre reports one.
    uint64_t TotalOfOwnUse()
    {
        BsGossipReport own;
        BsGossipReport_Init(&own);
        own.incarnation = 1;
        BsHub_ApplyReport(hub_, kMember + 1, &own, now_ms_);
        BsQuotaUse use = {kAccount, 500};
        g_array_append_val(own.uses, use);
        BsHub_ApplyReport(hub_, kMember + 1, &own, now_ms_);
        BsGossipReport_Clear(&own);
        return Total(kAccount);
    }

    BsHub *hub_ = BsHub_Create();
    BsHub *remote_hub_ = BsHub_Create();
    BsGossipReport report_;
    uint64_t sequence_ = 0;
    int64_t now_ms_ = 1000;
};

// Guards against an account that is refused everywhere for seconds, each time
// that a hub which runs for a while reports its first use: the base that the
// hub's total starts from was deducted as use.
TEST_F(HubUseTest, TheFirstUseInAnotherDataCentreCountsByItsAmount)
{
    uint64_t before = TotalOfOwnUse();
    Use(kAccount + 1, 0); // the member is known
    Use(kAccount + 1, 50);
    Exchange(1);
    Use(kAccount, 300);
    Exchange(1);
    EXPECT_EQ(Total(kAccount) - before, 300U);
    Use(kAccount, 700);
    Exchange(1);
    EXPECT_EQ(Total(kAccount) - before, 700U);
}

// Guards against the use of a hub's whole life, which counts at once when its
// first summary had no room for uses: what it names first is the baseline.
TEST_F(HubUseTest, TheFirstUsesOfAHubAreTheBaseline)
{
    uint64_t before = TotalOfOwnUse();
    Exchange(1);
    Use(kAccount, 0);
    Use(kAccount, 5000);
    Exchange(1);
    EXPECT_EQ(Total(kAccount), before);
    Use(kAccount, 5300);
    Exchange(1);
    EXPECT_EQ(Total(kAccount) - before, 300U);
}

// Guards against the use of a process's whole life, which counts at once when
// its hub is replaced or starts again.
TEST_F(HubUseTest, TheFirstTotalOfANewHubIsTheBaseline)
{
    uint64_t before = TotalOfOwnUse();
    Use(kAccount, 0);
    Use(kAccount, 5000);
    Exchange(1);
    EXPECT_EQ(Total(kAccount), before);
    Exchange(2);
    EXPECT_EQ(Total(kAccount), before);
    Use(kAccount, 5600);
    Exchange(2);
    EXPECT_EQ(Total(kAccount) - before, 600U);
}

// Guards against old use that counts when an account is named for the first
// time because a summary does not hold all accounts.
TEST_F(HubUseTest, AnAccountThatHadNoRoomInEarlierSummariesAddsNothing)
{
    uint64_t before = TotalOfOwnUse();
    const uint64_t accounts = 200;
    for (uint64_t i = 0; i < accounts; i++) {
        Use(kAccount + i, 0);
        Use(kAccount + i, 9000);
    }
    for (int i = 0; i < 4; i++) {
        Exchange(1);
    }
    EXPECT_EQ(Total(kAccount), before);
}

} // namespace
