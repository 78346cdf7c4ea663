// Callers repeat a request that crashes each upstream which runs it: with the
// same account, path and body, at any instance, and with a new id each time.
#include "gateway_fixture.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

namespace {

const char kDeadly[] = "deadly body";
const int kUpstreams = 8;
const int kCrashesToBlock = 3;

// Time in which the bucket of the account "small" fills.  A process begins
// with an empty one, as the settings tolerate nothing above limits.
const std::chrono::seconds kSmallBurst(5);

// Closes the connection on the deadly body and answers everything else.
bool
Crashes(Socket &socket, const ReceivedRequest &got)
{
    return got.body() != kDeadly && Answers(socket, got);
}

class CrashTest : public ThreeGatewaysTest {
  protected:
    // Starts upstreams with SCRIPT and three instances that know each other.
    void StartThree(const Runner::Script &script = Crashes)
    {
        ThreeGatewaysTest::StartThree(kUpstreams, script);
    }
    // Sends the deadly body with a new id; returns the status.
    int AskDeadly(Gateway &instance, const std::string &path)
    {
        std::string id = "deadly-" + std::to_string(++asked_);
        return StatusOf(instance.Ask(Call(path, id, "", kDeadly)));
    }
    // Waits until INSTANCE blocks COUNT contents.
    static bool WaitBlocked(Gateway &instance, int count)
    {
        return instance.WaitMetric("boragespur_crashers_stopped " +
                                   std::to_string(count));
    }
    // Sends the deadly body to each instance in turn until enough upstreams
    // have crashed for it to be blocked.  These upstreams are back at once: an
    // instance without the report of a crash may send to the same upstream and
    // count the same crash again, so each report is waited for.
    void CrashUpstreams(const std::string &path)
    {
        for (size_t i = 0; Arrivals() < kCrashesToBlock; i++) {
            ASSERT_LT(i, (size_t)kCrashesToBlock) << "the body was not sent";
            EXPECT_EQ(AskDeadly(*instances_[i], path), 502);
            int crashes = std::min(Arrivals(), kCrashesToBlock);
            for (Gateway *instance : instances_) {
                ASSERT_TRUE(instance->WaitMetric("boragespur_crasher_breaks " +
                                                 std::to_string(crashes)));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        for (Gateway *instance : instances_) {
            EXPECT_TRUE(WaitBlocked(*instance, 1));
        }
    }

    int asked_ = 0;
};

// Guards against repeats of a crash-inducing request that reach upstreams
// because each has a new id.
TEST_F(CrashTest, RepeatsWithNewIdsAreBlockedAtAllInstances)
{
    StartThree();
    CrashUpstreams("/look/1");
    int crashed = Arrivals();
    EXPECT_EQ(crashed, kCrashesToBlock);
    for (Gateway *instance : instances_) {
        EXPECT_EQ(AskDeadly(*instance, "/look/1"), 502);
        EXPECT_TRUE(Eventually([&] {
            return instance->Log().find("breaks_upstreams") !=
                   std::string::npos;
        }));
        EXPECT_TRUE(IsHealthy(
            instance->Ask(Call("/look/1", "fine", "", "fine body")), "fine"));
    }
    EXPECT_EQ(Arrivals(), crashed + 3);
}

// Guards against the same on at-most-once routes, whose callers retry, too.
TEST_F(CrashTest, AtMostOnceRequestsAreCounted)
{
    StartThree();
    CrashUpstreams("/book/1");
    EXPECT_EQ(Arrivals(), kCrashesToBlock);
    for (Gateway *instance : instances_) {
        EXPECT_EQ(AskDeadly(*instance, "/book/1"), 502);
    }
    EXPECT_EQ(Arrivals(), kCrashesToBlock);
}

// Guards against an instance that starts after one which counted the crashes
// was killed, and forwards the blocked request.
TEST_F(CrashTest, ANewInstanceLearnsBlockedContents)
{
    StartThree();
    CrashUpstreams("/look/1");
    int crashed = Arrivals();
    gateway_->Signal(SIGKILL);
    gateway_->Wait();
    std::unique_ptr<Gateway> fourth = Join("127.0.0.4");
    EXPECT_TRUE(WaitBlocked(*fourth, 1));
    EXPECT_EQ(AskDeadly(*fourth, "/look/1"), 502);
    EXPECT_EQ(Arrivals(), crashed);
}

// Guards against an account over its quota due to requests that were blocked.
TEST_F(CrashTest, BlockedRequestsAreNotChargedToTheAccount)
{
    Start(std::vector<Runner::Script>(kCrashesToBlock + 1, Crashes));
    std::this_thread::sleep_for(kSmallBurst);
    auto ask = [&](const std::string &body) {
        std::string id = "small-" + std::to_string(++asked_);
        std::string call = Call("/book/1", id, "Token-Usage: 1,0\r\n", body);
        call.replace(call.find("Api-Key: key"), 12, "Api-Key: small-key");
        return StatusOf(gateway_->Ask(call));
    };
    for (int crashes = 1; crashes <= kCrashesToBlock; crashes++) {
        EXPECT_EQ(ask(kDeadly), 502);
    }
    for (int i = 0; i < 5; i++) { // more than the account's quota
        EXPECT_EQ(ask(kDeadly), 502);
    }
    EXPECT_EQ(ask("fine"), 200);
    EXPECT_EQ(Arrivals(), kCrashesToBlock + 1);
}

// Guards against upstreams that end without closing their connections and are
// not counted: only their removal from the list shows that they have ended.
TEST_F(CrashTest, UpstreamsThatEndWithoutClosingConnectionsCount)
{
    auto never_answers = [](Socket &socket, const ReceivedRequest &got) {
        if (got.body() == kDeadly) {
            socket.WaitClosed();
            return false;
        }
        return Answers(socket, got);
    };
    Start(std::vector<Runner::Script>(kCrashesToBlock + 1, never_answers));
    std::vector<int> before(runners_.size());
    for (int crashes = 1; crashes <= kCrashesToBlock; crashes++) {
        EXPECT_EQ(AskDeadly(*gateway_, "/brief/1"), 504);
        for (size_t i = 0; i < runners_.size(); i++) {
            if (runners_[i]->count() != before[i]) {
                before[i] = runners_[i]->count();
                store_.Remove("servers/" + Name(i));
            }
        }
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks " +
                                         std::to_string(crashes)));
    }
    EXPECT_EQ(AskDeadly(*gateway_, "/brief/1"), 502);
    EXPECT_EQ(Arrivals(), kCrashesToBlock);
}

// How an upstream that does not answer a request ends, and what is counted.
struct SilentCase {
    const char *name;
    const char *path;
    bool listed;   // still in the store when its request is given up
    bool drains;   // is listed as draining before it is removed
    bool restarts; // is listed with a later start instead of being removed
    int crashes;
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

// Guards against upstreams that end without an answer and are not counted, or
// are counted although their end was planned.
TEST_P(SilentTest, AGivenUpRequestCountsWhenItsUpstreamEnds)
{
    const SilentCase &row = GetParam();
    auto silent = [](Socket &socket, const ReceivedRequest &got) {
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
        // Another upstream has a free slot, so the request is retried there.
        runners_.push_back(std::make_unique<Runner>(silent));
        store_.Put("servers/" + Name(1), Listed("desk", runners_[1]->port()));
    }
    caller->ReadMessage();
    if (row.listed) {
        End();
    }
    if (row.crashes > 0) {
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

// Guards against a harmless content whose crashes stay counted, or are counted
// again, although it has just completed.
TEST_F(CrashTest, ACompletedContentIsCleared)
{
    auto crashes_unless_go = [this](Socket &socket,
                                    const ReceivedRequest &got) {
        return go_ && Answers(socket, got);
    };
    Start({crashes_unless_go, crashes_unless_go, crashes_unless_go});
    EXPECT_EQ(AskDeadly(*gateway_, "/look/1"), 502);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks 2"));
    go_ = true;
    EXPECT_EQ(AskDeadly(*gateway_, "/look/1"), 200);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks 0"));
    go_ = false;
    EXPECT_EQ(AskDeadly(*gateway_, "/look/1"), 502);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_crasher_breaks 0"));
}

// Guards against a blocked content that is sent more than once when its trial
// is due.
TEST_F(CrashTest, OneTrialIsSentAfterTheBlock)
{
    const int trial_s = 30;
    auto crashes_when_released = [this](Socket &socket,
                                        const ReceivedRequest &got) {
        Eventually([&] { return kept_ == 0 || go_.load(); });
        return Crashes(socket, got);
    };
    Start(std::vector<Runner::Script>(kUpstreams, crashes_when_released));
    while (Arrivals() < kCrashesToBlock) {
        EXPECT_EQ(AskDeadly(*gateway_, "/book/1"), 502);
    }
    ASSERT_TRUE(WaitBlocked(*gateway_, 1));
    int before = Arrivals();
    std::this_thread::sleep_for(std::chrono::seconds(trial_s));
    kept_ = 1; // holds the trial at its upstream until go_ is set
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

// Guards against a repeat that is queued for a slot while the others crash
// their upstreams, and is sent after them.
TEST_F(CrashTest, AQueuedRepeatIsNotSent)
{
    const int slots = 6;
    auto holds = [this](Socket &socket, const ReceivedRequest &got) {
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
    for (int i = 1; i <= kCrashesToBlock; i++) {
        send("deadly-" + std::to_string(i), "/book/1", kDeadly);
        ASSERT_TRUE(Eventually([&] { return Arrivals() == i; }));
    }
    for (auto &runner : runners_) {
        ASSERT_EQ(runner->count(), 1); // one deadly request each
    }
    for (int i = kCrashesToBlock; i < kCrashesToBlock * slots; i++) {
        send("held-" + std::to_string(i), "/book/1", "held");
    }
    ASSERT_TRUE(
        Eventually([&] { return Arrivals() == kCrashesToBlock * slots; }));
    send("waits", "/book/1", kDeadly);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_waiting 1"));
    go_ = true;
    EXPECT_EQ(StatusOf(callers.back()->ReadMessage()), 502);
    EXPECT_EQ(Arrivals(), kCrashesToBlock * slots);
    callers.pop_back();
    kept_ = 1;
    for (auto &caller : callers) {
        caller->ReadMessage();
    }
    EXPECT_EQ(Arrivals(), kCrashesToBlock * slots);
}

} // namespace
