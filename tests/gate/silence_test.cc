// What is done about an upstream that is silent, by named patterns.
#include <gtest/gtest.h>

extern "C" {
#include "silence.h"
}

namespace {

const int64_t kProgressedMs = 10000;

// When an attempt's upstream counts as silent.
struct LimitCase {
    const char *name;
    bool stream;
    bool in_events;
    bool reachable;
    int64_t objective_ms;
    int64_t limit_ms; // after the last progress
};

class SilenceLimit : public testing::TestWithParam<LimitCase> {};

TEST_P(SilenceLimit, IsCountedFromTheLastProgress)
{
    const LimitCase &row = GetParam();
    BsSilence silence = {};
    silence.stream = row.stream;
    silence.in_events = row.in_events;
    silence.reachable = row.reachable;
    silence.progressed_ms = kProgressedMs;
    silence.objective_ms = row.objective_ms;
    EXPECT_EQ(BsSilence_LimitMs(&silence), kProgressedMs + row.limit_ms);
}

INSTANTIATE_TEST_SUITE_P(
    Patterns, SilenceLimit,
    testing::Values(
        LimitCase{"ShortObjective", false, false, false, 150, 300},
        LimitCase{"LongObjective", false, false, false, 600, 600},
        LimitCase{"AnswersOthers", false, false, true, 600, 1200},
        LimitCase{"StreamBeforeItsFirstEvent", true, false, false, 600, 600},
        LimitCase{"StreamBetweenEvents", true, true, false, 600, 1000},
        LimitCase{"StreamThatAnswersOthers", true, true, true, 600, 1000}),
    [](const auto &info) { return std::string(info.param.name); });

// What is done once it does.
struct StepCase {
    const char *name;
    void (*change)(BsSilenceOptions &options);
    BsTargetVerdict alternative;
    BsSilenceStep step;
};

class SilenceStep : public testing::TestWithParam<StepCase> {};

// Guards against a step that ends the attempt: there is none.
TEST_P(SilenceStep, NeverEndsTheAttempt)
{
    const StepCase &row = GetParam();
    BsSilenceOptions options = {};
    options.may_repeat = true;
    options.runs_left = 1;
    options.sends_left = 1;
    options.can_exclude = true;
    options.alternative = row.alternative;
    row.change(options);
    EXPECT_EQ(BsSilence_Decide(&options), row.step);
}

void
Unchanged(BsSilenceOptions &)
{
}

INSTANTIATE_TEST_SUITE_P(
    Patterns, SilenceStep,
    testing::Values(
        StepCase{"AnotherIsFree", Unchanged, BS_TARGET_CHOSEN,
                 BS_SILENCE_ADD_SEND},
        StepCase{"OthersAreFull", Unchanged, BS_TARGET_BUSY,
                 BS_SILENCE_ADD_SEND},
        StepCase{"OthersAreCold", Unchanged, BS_TARGET_COLD,
                 BS_SILENCE_ADD_SEND},
        StepCase{"NoOther", Unchanged, BS_TARGET_NONE, BS_SILENCE_WAIT},
        StepCase{"AtMostOnce",
                 [](BsSilenceOptions &options) { options.may_repeat = false; },
                 BS_TARGET_CHOSEN, BS_SILENCE_ENDURE},
        StepCase{"Blocked",
                 [](BsSilenceOptions &options) { options.blocked = true; },
                 BS_TARGET_CHOSEN, BS_SILENCE_ENDURE},
        StepCase{"NoRunLeft",
                 [](BsSilenceOptions &options) { options.runs_left = 0; },
                 BS_TARGET_CHOSEN, BS_SILENCE_ENDURE},
        StepCase{"NoSendLeft",
                 [](BsSilenceOptions &options) { options.sends_left = 0; },
                 BS_TARGET_CHOSEN, BS_SILENCE_ENDURE},
        StepCase{
            "NoMoreExclusions",
            [](BsSilenceOptions &options) { options.can_exclude = false; },
            BS_TARGET_CHOSEN, BS_SILENCE_ENDURE}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against an upstream that counts as cold after a pause, because
// several requests were waiting there and were answered elsewhere.
TEST(SilentTarget, IsNotTakenForRestarted)
{
    const int64_t cold_ms = 8000;
    BsCatalogService service = {};
    service.cold_ms = cold_ms;
    BsTargetQuery query = {};
    query.service = &service;
    BsTargetEntry entry = {};
    entry.id = "i-1";
    entry.service = "desk";
    entry.data_centre = "a";
    entry.region = "north";
    entry.slots = 6;
    BsTargets *targets = BsTargets_Create("a", "north");
    BsTargets_Put(targets, &entry, kProgressedMs);
    BsTarget *target = BsTargets_Find(targets, "i-1");
    for (int i = 0; i < 3; i++) {
        BsTargets_Sent(targets, target, &query, kProgressedMs);
    }
    EXPECT_GT(BsTargets_NoteSilent(target, false, kProgressedMs + 1000), 0);
    EXPECT_EQ(BsTargets_NoteSilent(target, false, kProgressedMs + 1001), 0);
    for (int i = 0; i < 2; i++) {
        BsTargets_Ended(targets, target, BS_TARGET_ABANDONED, 0, 0,
                        kProgressedMs + 1100);
    }
    BsTargets_Ended(targets, target, BS_TARGET_GOOD, 0, 0,
                    kProgressedMs + 2000);
    EXPECT_LE(target->cold_until_ms, kProgressedMs + 2000);
    EXPECT_EQ(target->failures, 0U);
    BsTargets_Destroy(targets);
}

} // namespace
