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

// Guards against a limit that is counted from the send while the answer
// arrives.
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

// Guards against two engines that work on a request for 400 ms.
TEST(Silence, EnginesAreHeldBesideAnotherForAMomentOnly)
{
    EXPECT_EQ(BsSilence_HoldUntilMs(kProgressedMs), kProgressedMs + 300);
}

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

// An upstream with three requests, sent at kProgressedMs.
class SilentTarget : public testing::Test {
  protected:
    SilentTarget() : targets_(BsTargets_Create("a", "north"))
    {
        BsTargetEntry entry = {};
        entry.id = "i-1";
        entry.service = "desk";
        entry.data_centre = "a";
        entry.region = "north";
        entry.slots = 6;
        BsTargets_Put(targets_, &entry, kProgressedMs);
        target_ = BsTargets_Find(targets_, "i-1");
        BsCatalogService service = {};
        service.cold_ms = 8000;
        BsTargetQuery query = {};
        query.service = &service;
        for (int i = 0; i < 3; i++) {
            BsTargets_Sent(targets_, target_, &query, kProgressedMs);
        }
    }
    ~SilentTarget() override
    {
        BsTargets_Destroy(targets_);
    }
    // Notes at AT_MS that a request sent at SENT_MS, both counted from
    // kProgressedMs, waits in vain; returns the pause.
    int64_t NoteSilent(int64_t sent_ms, int64_t at_ms)
    {
        return BsTargets_NoteSilent(target_, kProgressedMs + sent_ms, false,
                                    kProgressedMs + at_ms);
    }
    void End(BsTargetEnd end, int64_t at_ms)
    {
        BsTargets_Ended(targets_, target_, end, 0, 0, kProgressedMs + at_ms);
    }

    BsTargets *targets_;
    BsTarget *target_;
};

// Guards against an upstream that counts as cold after a pause, because
// several requests were waiting there and were answered elsewhere.
TEST_F(SilentTarget, IsNotTakenForRestarted)
{
    EXPECT_GT(NoteSilent(0, 1000), 0);
    EXPECT_EQ(NoteSilent(0, 1001), 0);
    End(BS_TARGET_ABANDONED, 1100);
    End(BS_TARGET_ABANDONED, 1100);
    End(BS_TARGET_GOOD, 2000);
    EXPECT_LE(target_->cold_until_ms, kProgressedMs + 2000);
    EXPECT_EQ(target_->failures, 0U);
}

// Guards against pauses that follow each other without a gap, because requests
// that were sent before the silence was noticed notice it one after the other.
TEST_F(SilentTarget, IsPausedOnceForOneSilence)
{
    int64_t pause_ms = NoteSilent(0, 500);
    EXPECT_GT(pause_ms, 0);
    EXPECT_EQ(NoteSilent(450, 500 + pause_ms + 100), 0);
    EXPECT_GT(NoteSilent(500 + pause_ms, 500 + pause_ms + 600), pause_ms);
}

// Guards against requests that wait for silent upstreams although another one
// is full, down or not listed any more.
TEST_F(SilentTarget, AllAreSilentOnlyWhenNoOtherIsOpen)
{
    BsCatalogService service = {};
    service.name = const_cast<char *>("desk");
    BsCatalogRoute *route = BsCatalogRoute_Create();
    BsTargetQuery query = {};
    query.service = &service;
    query.route = route;
    auto all_silent = [&](int64_t at_ms) {
        return BsTargets_AreAllSilent(targets_, &query, kProgressedMs + at_ms);
    };
    EXPECT_FALSE(all_silent(0));
    NoteSilent(0, 500);
    EXPECT_TRUE(all_silent(500));
    BsTargetEntry other = {};
    other.id = "i-2";
    other.service = "desk";
    other.data_centre = "a";
    other.region = "north";
    other.slots = 1;
    BsTargets_Put(targets_, &other, kProgressedMs);
    EXPECT_FALSE(all_silent(500));
    BsTargets_Remove(targets_, "i-2", 0, kProgressedMs + 500);
    EXPECT_TRUE(all_silent(501));
    End(BS_TARGET_ABANDONED, 600);
    EXPECT_TRUE(all_silent(600));
    End(BS_TARGET_UNREACHED, 700);
    EXPECT_FALSE(all_silent(700));
    NoteSilent(800, 1300);
    EXPECT_TRUE(all_silent(1300));
    BsTargets_NoteResumed(target_, kProgressedMs, kProgressedMs + 1400);
    EXPECT_FALSE(all_silent(1400));
    BsCatalogRoute_Destroy(route);
}

} // namespace
