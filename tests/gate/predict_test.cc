// Predicted times to the first event, and retry times in an overload.
#include <gtest/gtest.h>

extern "C" {
#include "predict.h"
}

namespace {

class Predict : public testing::Test {
  protected:
    Predict() : predictors_(BsPredictors_Create())
    {
    }
    ~Predict() override
    {
        BsPredictors_Destroy(predictors_);
    }
    BsPredictors *predictors_;
};

TEST_F(Predict, NoPredictionWithoutSamples)
{
    EXPECT_EQ(BsPredictors_FirstMs(predictors_, "desk", 1000), 0);
    BsPredictors_Observe(predictors_, "desk", 1000, 70);
    EXPECT_EQ(BsPredictors_FirstMs(predictors_, "desk", 1000), 0);
}

// The prediction grows with the length of the prompt.
TEST_F(Predict, LongPromptsTakeLonger)
{
    for (int i = 0; i < 300; i++) {
        uint32_t tokens = 200 + (uint32_t)(i * 37 % 4000);
        BsPredictors_Observe(predictors_, "desk", tokens, 50 + tokens / 50);
    }
    EXPECT_NEAR((double)BsPredictors_FirstMs(predictors_, "desk", 500), 60, 5);
    EXPECT_NEAR((double)BsPredictors_FirstMs(predictors_, "desk", 8000), 210,
                8);
    EXPECT_EQ(BsPredictors_FirstMs(predictors_, "other", 500), 0);
}

// The time for a prompt of mean length limits how long a request may wait, so
// that long prompts are not refused sooner than short ones.
TEST_F(Predict, UsualLengthDoesNotDependOnTheRequest)
{
    EXPECT_EQ(BsPredictors_TypicalMs(predictors_, "desk"), 0);
    for (int i = 0; i < 300; i++) {
        uint32_t tokens = i % 10 == 0 ? 8000 : 500;
        BsPredictors_Observe(predictors_, "desk", tokens, 50 + tokens / 50);
    }
    int64_t usual_ms = BsPredictors_TypicalMs(predictors_, "desk");
    EXPECT_GT(usual_ms, BsPredictors_FirstMs(predictors_, "desk", 500));
    EXPECT_LT(usual_ms, BsPredictors_FirstMs(predictors_, "desk", 8000));
}

// When an engine slows down, the new samples outweigh the old ones.
TEST_F(Predict, FollowsASlowdown)
{
    for (int i = 0; i < 300; i++) {
        BsPredictors_Observe(predictors_, "desk", 1000, 60);
    }
    for (int i = 0; i < 1200; i++) {
        BsPredictors_Observe(predictors_, "desk", 1000, 240);
    }
    EXPECT_NEAR((double)BsPredictors_FirstMs(predictors_, "desk", 1000), 240,
                15);
}

TEST_F(Predict, NoisyAnswersArePredictedLater)
{
    for (int i = 0; i < 400; i++) {
        BsPredictors_Observe(predictors_, "desk", 1000, i % 2 ? 50 : 250);
    }
    EXPECT_GT(BsPredictors_FirstMs(predictors_, "desk", 1000), 220);
}

// The longer an overload has lasted, the later callers should retry, up to a
// third of the time until their deadline.
TEST(Overload, RetryTimeGrowsWithDuration)
{
    BsOverload overload = {};
    EXPECT_EQ(BsOverload_Refuse(&overload, 15000, 10000), 300);
    EXPECT_EQ(BsOverload_Refuse(&overload, 15000, 10600), 600);
    EXPECT_EQ(BsOverload_Refuse(&overload, 15000, 11200), 1200);
    EXPECT_EQ(BsOverload_Refuse(&overload, 3000, 11900), 1000);
    EXPECT_EQ(BsOverload_Refuse(&overload, 600, 11900), 300);
    // The overload has ended; the next one starts with the shortest time.
    EXPECT_EQ(BsOverload_Refuse(&overload, 15000, 20000), 300);
}

} // namespace
