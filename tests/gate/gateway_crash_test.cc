// A request that crashes each upstream which runs it comes again: same path,
// account and body, at any instance, with an id of its own each time.
#include "gateway_fixture.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

namespace {

const char kDeadly[] = "deadly body";
const int kUpstreams = 8;
const int kStopBreaks = 3;

// Breaks off under the deadly body and answers everything else.
bool
Crashes(Socket &socket, const Got &got)
{
    return got.body() != kDeadly && Answers(socket, got);
}

class CrashTest : public GatewayTest {
  protected:
    // Starts upstreams with SCRIPT and three instances that know each other.
    void StartThree(const Runner::Script &script = Crashes)
    {
        Start(std::vector<Runner::Script>(kUpstreams, script));
        instances_.push_back(gateway_.get());
        second_ = Join("127.0.0.2");
        third_ = Join("127.0.0.3");
        for (Gateway *instance : instances_) {
            ASSERT_TRUE(instance->WaitMetric("boragespur_instances 3"));
        }
    }
    // Starts one more instance on IP.
    std::unique_ptr<Gateway> Join(const std::string &ip)
    {
        auto joined = std::make_unique<Gateway>(
            store_.port(), ip, gateway_->peers_port(),
            std::vector<std::string>{"127.0.0.1", "127.0.0.2"});
        EXPECT_TRUE(joined->WaitReady());
        EXPECT_TRUE(joined->WaitMetric("boragespur_upstreams " +
                                       std::to_string(kUpstreams)));
        instances_.push_back(joined.get());
        return joined;
    }
    // Sends the deadly body, each time with another id.
    int AskDeadly(Gateway &instance, const std::string &path)
    {
        std::string id = "deadly-" + std::to_string(++asked_);
        return StatusOf(instance.Ask(Call(path, id, "", kDeadly)));
    }
    // Waits until INSTANCE knows of COUNT contents that are not sent any more.
    static bool WaitStopped(Gateway &instance, int count)
    {
        return instance.WaitMetric("boragespur_crashers_stopped " +
                                   std::to_string(count));
    }
    // Sends it to each instance in turn until upstreams broke often enough.
    // These upstreams are back at once: an instance that has not heard of a
    // break may send to the same one, and takes it for the same crash.
    void BreakUpstreams(const std::string &path)
    {
        for (size_t i = 0; Arrivals() < kStopBreaks; i++) {
            ASSERT_LT(i, (size_t)kStopBreaks) << "it is not sent";
            EXPECT_EQ(AskDeadly(*instances_[i], path), 502);
            int breaks = std::min(Arrivals(), kStopBreaks);
            for (Gateway *instance : instances_) {
                ASSERT_TRUE(instance->WaitMetric("boragespur_crasher_breaks " +
                                                 std::to_string(breaks)));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        for (Gateway *instance : instances_) {
            EXPECT_TRUE(WaitStopped(*instance, 1));
        }
    }

    std::vector<Gateway *> instances_;
    std::unique_ptr<Gateway> second_;
    std::unique_ptr<Gateway> third_;
    int asked_ = 0;
};

// Guards against repeats of a crashing request that reach upstreams because
// each has a new id.
TEST_F(CrashTest, RepeatsWithNewIdsAreStoppedAtAllInstances)
{
    StartThree();
    BreakUpstreams("/look/1");
    int broken = Arrivals();
    EXPECT_EQ(broken, kStopBreaks);
    for (Gateway *instance : instances_) {
        EXPECT_EQ(AskDeadly(*instance, "/look/1"), 502);
        EXPECT_TRUE(Eventually([&] {
            return instance->Log().find("breaks_upstreams") !=
                   std::string::npos;
        }));
        EXPECT_TRUE(IsHealthy(
            instance->Ask(Call("/look/1", "fine", "", "fine body")), "fine"));
    }
    EXPECT_EQ(Arrivals(), broken + 3);
}

// Guards against the same on routes whose requests may run once only: their
// callers send them again, too.
TEST_F(CrashTest, RequestsThatMayRunOnceAreCounted)
{
    StartThree();
    BreakUpstreams("/book/1");
    EXPECT_EQ(Arrivals(), kStopBreaks);
    for (Gateway *instance : instances_) {
        EXPECT_EQ(AskDeadly(*instance, "/book/1"), 502);
    }
    EXPECT_EQ(Arrivals(), kStopBreaks);
}

// Guards against an instance that starts later and sends it on, once the one
// that had counted is gone.
TEST_F(CrashTest, AStartedInstanceLearnsWhatIsStopped)
{
    StartThree();
    BreakUpstreams("/look/1");
    int broken = Arrivals();
    gateway_->Signal(SIGKILL);
    gateway_->Wait();
    std::unique_ptr<Gateway> fourth = Join("127.0.0.4");
    EXPECT_TRUE(WaitStopped(*fourth, 1));
    EXPECT_EQ(AskDeadly(*fourth, "/look/1"), 502);
    EXPECT_EQ(Arrivals(), broken);
}

// Guards against an account that is refused for requests which were not sent.
TEST_F(CrashTest, WhatIsStoppedTakesNothingFromTheAccount)
{
    Start(std::vector<Runner::Script>(kStopBreaks + 1, Crashes));
    auto ask = [&](const std::string &body) {
        std::string id = "small-" + std::to_string(++asked_);
        std::string call = Call("/book/1", id, "Token-Usage: 1,0\r\n", body);
        call.replace(call.find("Api-Key: key"), 12, "Api-Key: small-key");
        return StatusOf(gateway_->Ask(call));
    };
    for (int breaks = 1; breaks <= kStopBreaks; breaks++) {
        EXPECT_EQ(ask(kDeadly), 502);
    }
    for (int i = 0; i < 5; i++) { // more than the account may spend
        EXPECT_EQ(ask(kDeadly), 502);
    }
    EXPECT_EQ(ask("fine"), 200);
    EXPECT_EQ(Arrivals(), kStopBreaks + 1);
}

// Guards against a request whose upstreams go dark under it: no connection
// breaks, and only the list tells that they have ended.
TEST_F(CrashTest, UpstreamsThatEndWithoutAWordCount)
{
    auto goes_dark = [](Socket &socket, const Got &got) {
        if (got.body() == kDeadly) {
            socket.WaitClosed();
            return false;
        }
        return Answers(socket, got);
    };
    Start(std::vector<Runner::Script>(kStopBreaks + 1, goes_dark));
    std::vector<int> before(runners_.size());
    for (int breaks = 1; breaks <= kStopBreaks; breaks++) {
        EXPECT_EQ(AskDeadly(*gateway_, "/brief/1"), 504);
        for (size_t i = 0; i < runners_.size(); i++) {
            if (runners_[i]->count() != before[i]) {
                before[i] = runners_[i]->count();
                store_.Remove("servers/" + Name(i));
            }
        }
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks " +
                                         std::to_string(breaks)));
    }
    EXPECT_EQ(AskDeadly(*gateway_, "/brief/1"), 502);
    EXPECT_EQ(Arrivals(), kStopBreaks);
}

// How an upstream that is silent to a request ends, and what is counted then.
struct SilentCase {
    const char *name;
    const char *path;
    bool listed;   // while its request is given up
    bool drains;   // says that it leaves before it is off the list
    bool restarts; // is listed again with a later start instead
    int breaks;
};

const SilentCase kSilentCases[] = {
    {"GivenUpBeforeItsEnd", "/brief/1", true, false, false, 1},
    {"GivenUpAfterItsEnd", "/book/1", false, false, false, 1},
    {"TriedElsewhere", "/look/1", true, false, false, 1},
    {"StartedAgain", "/brief/1", true, false, true, 1},
    {"PlannedEnd", "/brief/1", true, true, false, 0},
};

class SilentTest : public CrashTest,
                   public testing::WithParamInterface<SilentCase> {
  protected:
    void Put(const std::string &state, int born, int sequence)
    {
        store_.Put("servers/" + Name(0),
                   Listed("desk", runners_[0]->port(), "z1", state,
                          ",\"born\":" + std::to_string(born) +
                              ",\"sequence\":" + std::to_string(sequence)));
    }
    void End()
    {
        const SilentCase &row = GetParam();
        if (row.drains) {
            Put("draining", 1, 3);
            ASSERT_TRUE(Eventually([&] {
                return gateway_->Log().find("draining") != std::string::npos;
            }));
        }
        if (row.restarts) {
            Put("ready", 2, 1);
        }
        else {
            store_.Remove("servers/" + Name(0));
        }
    }
};

// Guards against silent upstreams that are not counted, or are when their end
// was planned.
TEST_P(SilentTest, SilenceCountsWhenTheUpstreamEnds)
{
    const SilentCase &row = GetParam();
    auto silent = [](Socket &socket, const Got &got) {
        if (got.body() == kDeadly) {
            socket.WaitClosed();
            return false;
        }
        return Answers(socket, got);
    };
    Start({silent});
    Put("ready", 1, 2);
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call(row.path, "deadly", "", kDeadly));
    ASSERT_TRUE(runners_[0]->WaitCount(1));
    if (!row.listed) {
        End();
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 0"));
    }
    if (row.path == std::string("/look/1")) {
        // Another upstream has a place, so the silent one is left.
        runners_.push_back(std::make_unique<Runner>(silent));
        store_.Put("servers/" + Name(1), Listed("desk", runners_[1]->port()));
    }
    caller->ReadMessage();
    if (row.listed) {
        End();
    }
    if (row.breaks > 0) {
        EXPECT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks 1"));
        return;
    }
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 0"));
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks 0"));
}

INSTANTIATE_TEST_SUITE_P(Ends, SilentTest, testing::ValuesIn(kSilentCases),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// Guards against an innocent content that stays counted, or is counted again,
// although it ran well a moment ago.
TEST_F(CrashTest, AContentThatRunsWellIsCleared)
{
    auto breaks_at_times = [this](Socket &socket, const Got &got) {
        return go_ && Answers(socket, got);
    };
    Start({breaks_at_times, breaks_at_times, breaks_at_times});
    EXPECT_EQ(AskDeadly(*gateway_, "/look/1"), 502);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks 2"));
    go_ = true;
    EXPECT_EQ(AskDeadly(*gateway_, "/look/1"), 200);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks 0"));
    go_ = false;
    EXPECT_EQ(AskDeadly(*gateway_, "/look/1"), 502);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks 0"));
}

// Guards against a content that is sent again and again once its trial is due.
TEST_F(CrashTest, OneTrialIsLetThroughAfterAWhile)
{
    const int trial_s = 30;
    auto crashes_later = [this](Socket &socket, const Got &got) {
        Eventually([&] { return kept_ == 0 || go_.load(); });
        return Crashes(socket, got);
    };
    Start(std::vector<Runner::Script>(kUpstreams, crashes_later));
    while (Arrivals() < kStopBreaks) {
        EXPECT_EQ(AskDeadly(*gateway_, "/book/1"), 502);
    }
    ASSERT_TRUE(WaitStopped(*gateway_, 1));
    int before = Arrivals();
    std::this_thread::sleep_for(std::chrono::seconds(trial_s));
    kept_ = 1; // the trial is under way until it may go on
    std::unique_ptr<Socket> trial;
    ASSERT_TRUE(Eventually([&] {
        trial = gateway_->Open();
        trial->Write(Call("/book/1", "trial", "", kDeadly));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return Arrivals() > before;
    }));
    for (int i = 0; i < 5; i++) {
        EXPECT_EQ(AskDeadly(*gateway_, "/book/1"), 502);
    }
    go_ = true;
    EXPECT_EQ(StatusOf(trial->ReadMessage()), 502);
    EXPECT_EQ(AskDeadly(*gateway_, "/book/1"), 502);
    EXPECT_EQ(Arrivals(), before + 1);
}

// Guards against a repeat that waits for a place while the others break their
// upstreams, and is sent after them.
TEST_F(CrashTest, AWaitingRepeatIsNotSent)
{
    const int places = 6;
    auto holds = [this](Socket &socket, const Got &got) {
        bool deadly = got.body() == kDeadly;
        Eventually([&] { return deadly ? go_.load() : kept_ > 0; });
        return Crashes(socket, got);
    };
    Start({holds, holds, holds});
    std::vector<std::unique_ptr<Socket>> callers;
    auto send = [&](const std::string &id, const std::string &path,
                    const std::string &body) {
        callers.push_back(gateway_->Open());
        callers.back()->Write(Call(path, id, "", body));
    };
    for (int i = 1; i <= kStopBreaks; i++) {
        send("deadly-" + std::to_string(i), "/book/1", kDeadly);
        ASSERT_TRUE(Eventually([&] { return Arrivals() == i; }));
    }
    for (auto &runner : runners_) {
        ASSERT_EQ(runner->count(), 1); // each has one of them
    }
    for (int i = kStopBreaks; i < kStopBreaks * places; i++) {
        send("held-" + std::to_string(i), "/book/1", "held");
    }
    ASSERT_TRUE(
        Eventually([&] { return Arrivals() == kStopBreaks * places; }));
    send("waits", "/book/1", kDeadly);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_waiting 1"));
    go_ = true;
    EXPECT_EQ(StatusOf(callers.back()->ReadMessage()), 502);
    EXPECT_EQ(Arrivals(), kStopBreaks * places);
    callers.pop_back();
    kept_ = 1;
    for (auto &caller : callers) {
        caller->ReadMessage();
    }
    EXPECT_EQ(Arrivals(), kStopBreaks * places);
}

} // namespace
