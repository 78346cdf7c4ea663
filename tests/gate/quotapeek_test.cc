// A look at an account's limit.
#include <gtest/gtest.h>

#include <cstring>
#include <random>

extern "C" {
#include "quota.h"
}

namespace {

// Two limits get the same requests; one is also looked at before each.  Guards
// against a look that uses up the limit, or differs from what it tells.
TEST(QuotaPeekTest, TellsWhatTakeReturnsAndTakesNothing)
{
    BsCatalogAccount account;
    memset(&account, 0, sizeof(account));
    account.name = const_cast<char *>("acme");
    account.per_s = 50;
    account.burst = 10;
    BsQuotas *seen = BsQuotas_Create(0.1, 20);
    BsQuotas *plain = BsQuotas_Create(0.1, 20);
    std::mt19937 random(7);
    int64_t now_ms = 1000;
    int refused = 0;
    for (int i = 0; i < 2000; i++) {
        uint64_t cost = 1 + random() % 4;
        bool tolerant = random() % 4 == 0;
        now_ms += random() % 60;
        int64_t told = BsQuotas_Peek(seen, &account, cost, tolerant, now_ms);
        EXPECT_EQ(BsQuotas_Take(seen, &account, cost, tolerant, now_ms), told);
        EXPECT_EQ(BsQuotas_Take(plain, &account, cost, tolerant, now_ms),
                  told);
        EXPECT_EQ(BsQuotas_Left(seen, &account),
                  BsQuotas_Left(plain, &account));
        refused += told > 0;
    }
    EXPECT_GT(refused, 100);
    EXPECT_LT(refused, 1900);
    BsQuotas_Destroy(seen);
    BsQuotas_Destroy(plain);
}

// Accounts that only explanations name must not be reported to peers.
TEST(QuotaPeekTest, AddsNoAccount)
{
    BsCatalogAccount account;
    memset(&account, 0, sizeof(account));
    account.name = const_cast<char *>("acme");
    BsQuotas *quotas = BsQuotas_Create(0, 0);
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    EXPECT_EQ(BsQuotas_Peek(quotas, &account, 1, false, 1000), 0);
    BsQuotas_AppendUses(quotas, uses);
    EXPECT_EQ(uses->len, 0u);
    g_array_free(uses, TRUE);
    BsQuotas_Destroy(quotas);
}

} // namespace
