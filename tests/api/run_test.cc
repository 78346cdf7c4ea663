// An owner counts the same work dispatched for two keepers as a double run.
#include "boragespur.h"

extern "C" {
#include "run.h"
}

#include <gtest/gtest.h>

namespace {

struct timespec
Now(void *)
{
    return {1, 0};
}

void
Ignore(const BsMessage *, void *)
{
}

class Runs : public testing::Test {
  protected:
    Runs()
    {
        BsClock clock = {Now, nullptr};
        BsCoreConfig config;
        BsCoreConfig_Init(&config);
        config.name = "a";
        config.data_centre = "n1";
        config.region = "north";
        config.incarnation = 1;
        core = BsCore_Create(&config, &clock, Ignore, nullptr, nullptr);
    }

    ~Runs() override
    {
        BsCore_Destroy(core);
    }

    void Dispatch(const char *keeper, const char *run_id, const char *key)
    {
        BsMessage *forward = BsMessage_Create(BS_FORWARD);
        forward->from = g_strdup(keeper);
        forward->from_incarnation = 7;
        forward->u.request.request_id = g_strdup(run_id);
        forward->u.request.account = g_strdup("cafe");
        forward->u.request.key = g_strdup(key);
        if (BsRuns_Admit(core->runs, forward)) {
            BsRuns_OnDispatch(core->runs, forward);
        }
        BsMessage_Destroy(forward);
    }

    BsCore *core;
};

TEST_F(Runs, SeeWorkDispatchedForTwoKeepers)
{
    Dispatch("x", "x-1", "k1");
    Dispatch("x", "x-1", "k1");
    Dispatch("x", "x-2", "k2");
    EXPECT_EQ(BsCore_Counter(core, "double_runs_seen"), 0u);
    Dispatch("y", "y-1", "k1");
    EXPECT_EQ(BsCore_Counter(core, "double_runs_seen"), 1u);
}

} // namespace
