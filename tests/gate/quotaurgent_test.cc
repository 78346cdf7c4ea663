// An account that asks for more than its limit: which of its requests are
// admitted.
#include <gtest/gtest.h>

#include <random>

extern "C" {
#include "quota.h"
}

namespace {

constexpr int kPerSecond = 1000;
constexpr uint32_t kRoutine = 2;

// What an account asked for and got, in requests.
struct Outcome {
    int urgent = 0;
    int urgent_admitted = 0;
    int routine = 0;
    int routine_admitted = 0;
    int Admitted() const
    {
        return urgent_admitted + routine_admitted;
    }
};

// Asks for requests of one account with a limit of kPerSecond for SECONDS.
class Account {
  public:
    explicit Account(uint32_t percent)
    {
        account_.name = const_cast<char *>("acme");
        account_.per_s = kPerSecond;
        account_.burst = kPerSecond;
        quotas_ = BsQuotas_Create(0, 0);
        BsQuotas_SetUrgent(quotas_, percent);
        BsQuotas_Tick(quotas_, now_ms_);
        Ask(0, 0, 5); // the bucket fills
    }
    ~Account()
    {
        BsQuotas_Destroy(quotas_);
    }
    Account(const Account &) = delete;
    Outcome Ask(int urgent_per_s, int routine_per_s, int seconds)
    {
        Outcome got;
        std::bernoulli_distribution urgent(urgent_per_s / 1000.0 / 10);
        std::bernoulli_distribution routine(routine_per_s / 1000.0 / 10);
        for (int ms = 0; ms < seconds * 1000; ms++) {
            now_ms_++;
            BsQuotas_Tick(quotas_, now_ms_);
            BsQuotas_Track(quotas_, &account_, now_ms_);
            for (int i = 0; i < 10; i++) {
                if (routine(random_)) {
                    got.routine++;
                    got.routine_admitted += Take(kRoutine);
                }
                if (urgent(random_)) {
                    got.urgent++;
                    got.urgent_admitted += Take(0);
                }
            }
        }
        return got;
    }

  private:
    bool Take(uint32_t rank)
    {
        BsQuotaRequest request = {.cost = 1, .rank = rank, .tolerant = false};
        int64_t told =
            BsQuotas_PeekRanked(quotas_, &account_, &request, now_ms_);
        int64_t wait_ms =
            BsQuotas_TakeRanked(quotas_, &account_, &request, now_ms_);
        EXPECT_EQ(wait_ms, told);
        return wait_ms == 0;
    }
    BsCatalogAccount account_ = {};
    BsQuotas *quotas_;
    int64_t now_ms_ = 1000;
    std::mt19937 random_{7};
};

// Guards against urgent requests that are refused as often as routine ones
// while one account sends many times its usual.
TEST(QuotaUrgent, UrgentRequestsOfAnAccountOverItsLimitComeFirst)
{
    Outcome alike = Account(0).Ask(800, 4000, 10);
    EXPECT_LT(alike.urgent_admitted, alike.urgent / 2);
    Outcome ranked = Account(20).Ask(800, 4000, 10);
    EXPECT_GT(ranked.urgent_admitted, ranked.urgent * 95 / 100);
    EXPECT_GT(ranked.routine_admitted, 0);
}

// Guards against a part of the limit that nobody gets.
TEST(QuotaUrgent, TheWholeLimitIsUsed)
{
    for (int urgent : {0, 500, 900, 2000}) {
        int alike = Account(0).Ask(urgent, 4000, 20).Admitted();
        int ranked = Account(20).Ask(urgent, 4000, 20).Admitted();
        EXPECT_GE(ranked, alike * 96 / 100) << urgent;
        EXPECT_LE(ranked, alike) << urgent;
    }
}

// Guards against routine requests that are refused below the limit: no part is
// kept until a request of the account was refused.
TEST(QuotaUrgent, AnAccountBelowItsLimitIsNotRefused)
{
    Outcome got = Account(20).Ask(300, 600, 20);
    EXPECT_EQ(got.Admitted(), got.urgent + got.routine);
}

// Guards against a part that stays kept after the pressure has ended.
TEST(QuotaUrgent, ABurstOfRoutineRequestsIsAdmittedAgain)
{
    Account account(20);
    account.Ask(800, 4000, 5);
    account.Ask(0, 0, 3);
    Outcome burst = account.Ask(0, 900, 1);
    EXPECT_EQ(burst.routine_admitted, burst.routine);
}

} // namespace
