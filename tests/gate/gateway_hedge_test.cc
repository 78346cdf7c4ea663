// Early repeats at a running gateway: a request whose upstream is slow is sent
// to a second one, and the first answer that can be forwarded is the only one.
#include "gateway_fixture.h"

#include <atomic>
#include <csignal>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

// Requests before the subject, so that the tail of the route is known.
const int kSamples = 60;

// Tries until one is repeated early: a gateway whose machine is busy may find
// that it was stopped for a while, and then sends none.
const int kTries = 20;

// Answers with the whole stream of upstream NAME.
std::string
Events(const std::string &name)
{
    std::string text;
    for (int id = 0; id < 3; id++) {
        text += Chunk("id: " + std::to_string(id) + "\ndata: " + name + " " +
                      std::to_string(id) + "\n\n");
    }
    return text + LastChunk();
}

class HedgeTest : public GatewayTest {
  protected:
    using Script = Runner::Script;

    // Starts two upstreams, which answer a request whose id begins with
    // "subject" by FIRST where it arrives first and by SECOND where it arrives
    // next, and all others at once.
    void StartTwo(const Script &first, const Script &second)
    {
        Script script = [this, first, second](Socket &socket,
                                              const ReceivedRequest &got) {
            if (got.id.compare(0, 7, "subject") != 0) {
                return Fast(socket, got);
            }
            int number = Number(got.id);
            return number == 0 ? first(socket, got) : second(socket, got);
        };
        Start({script, script});
    }
    void SwitchOn()
    {
        gateway_->ReplaceSettings("bounds:",
                                  "early_repeats: { percent: 20 }\nbounds:");
        gateway_->Signal(SIGHUP);
        ASSERT_TRUE(Eventually([&] {
            return gateway_->Log().find("in force") != std::string::npos;
        }));
    }
    // Makes the desk's upstreams engines.
    void MakeEngines()
    {
        std::string text = Config(2);
        const std::string service = "\"health-path\":\"/h\",";
        text.replace(text.find(service), service.size(),
                     service + "\"engine\":{},");
        store_.Put("op/config", text);
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 2"));
    }
    void AddSamples(const std::string &path)
    {
        for (int i = 0; i < kSamples; i++) {
            gateway_->Ask(Call(path, "fast-" + std::to_string(i)));
        }
    }
    bool Fast(Socket &socket, const ReceivedRequest &got)
    {
        if (got.text.find(" /chat/") != std::string::npos) {
            return socket.Write(StreamHead(got) + Events("fast"));
        }
        return Answers(socket, got);
    }
    // Sends fast requests until both upstreams have answered one: after a
    // request that was not repeated early, an upstream may be paused as
    // silent.
    void LetBothAnswer(const std::string &path)
    {
        int first = runners_[0]->count();
        int second = runners_[1]->count();
        EXPECT_TRUE(Eventually([&] {
            gateway_->Ask(Call(path, "fast"));
            return runners_[0]->count() > first &&
                   runners_[1]->count() > second;
        }));
    }
    // Counts the arrivals of ID; returns how many were before.
    int Number(const std::string &id)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return arrivals_[id]++;
    }
    int ArrivalsOf(const std::string &id)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return arrivals_[id];
    }
    bool HasOutcome(const std::string &outcome)
    {
        return gateway_->Metrics().find(
                   "boragespur_early_repeats_total{outcome=\"" + outcome +
                   "\"}") != std::string::npos;
    }
    // The metrics whose names begin with NAME.
    std::string MetricsOf(const std::string &name)
    {
        std::istringstream all(gateway_->Metrics());
        std::string lines;
        for (std::string line; std::getline(all, line);) {
            if (line.compare(0, 11 + name.size(), "boragespur_" + name) == 0) {
                lines += line + "\n";
            }
        }
        return lines;
    }
    // Sends subjects to PATH until one of them had OUTCOME; returns its answer
    // and sets id_.
    std::string AskUntil(const std::string &path, const std::string &outcome)
    {
        std::string answer;
        for (int i = 0; i < kTries; i++) {
            id_ = "subject-" + std::to_string(i);
            retries_before_ = MetricsOf("retries_total");
            silent_before_ = MetricsOf("silent_attempts_total");
            std::unique_ptr<Socket> caller = gateway_->Open();
            caller->Write(Call(path, id_, "Connection: close\r\n"));
            answer = caller->ReadAll();
            if (HasOutcome(outcome)) {
                return answer;
            }
            LetBothAnswer(path);
        }
        ADD_FAILURE() << "none was " << outcome << "\n" << gateway_->Metrics();
        return answer;
    }
    bool WaitsForClose(Socket &socket, const ReceivedRequest &got)
    {
        socket.WaitClosed();
        std::lock_guard<std::mutex> lock(mutex_);
        closed_[got.id]++;
        return false;
    }
    // The attempts for ID that the gateway cancelled.
    int ClosedOf(const std::string &id)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return closed_[id];
    }
    // Waits until an attempt for ID was cancelled, 2 s at most.
    void WaitCancelled(const std::string &id)
    {
        for (int i = 0; i < 200 && ClosedOf(id) == 0 && !ending_; i++) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
    // Waits until the second attempt for ID has arrived, 1 s at most, as it
    // may not be repeated early.
    void WaitSecond(const std::string &id)
    {
        for (int i = 0; i < 100 && ArrivalsOf(id) < 2 && !ending_; i++) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
    void TearDown() override
    {
        ending_ = true;
        gateway_.reset();
        runners_.clear();
    }

    std::mutex mutex_;
    std::map<std::string, int> arrivals_;
    std::string id_;
    // Metrics before the last subject.
    std::string retries_before_;
    std::string silent_before_;
    std::map<std::string, int> closed_;
    std::atomic<bool> ending_{false};
};

// Guards against a slow upstream that decides when the caller is answered, and
// against a loser that works on.
TEST_F(HedgeTest, ASlowUpstreamIsOvertakenAndItsAttemptCancelled)
{
    StartTwo(
        [this](Socket &socket, const ReceivedRequest &got) {
            return WaitsForClose(socket, got);
        },
        Answers);
    SwitchOn();
    AddSamples("/look/1");
    std::string answer = AskUntil("/look/1", "won");
    EXPECT_TRUE(IsHealthy(answer, id_)) << answer;
    EXPECT_EQ(ArrivalsOf(id_), 2);
    EXPECT_TRUE(Eventually([&] { return ClosedOf(id_) == 1; }));
    std::string log = gateway_->Log();
    EXPECT_NE(log.find("early_repeat_sent"), std::string::npos);
    EXPECT_NE(log.find("early_repeat_decided"), std::string::npos);
    EXPECT_EQ(MetricsOf("silent_attempts_total"), silent_before_);
}

// Guards against a request that ends with the refusal of its early repeat, or
// is sent once more because of it.
TEST_F(HedgeTest, ARefusedEarlyRepeatEndsNothing)
{
    StartTwo(
        [this](Socket &socket, const ReceivedRequest &got) {
            WaitSecond(got.id);
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            return Answers(socket, got);
        },
        Refuses);
    SwitchOn();
    AddSamples("/look/1");
    std::string answer = AskUntil("/look/1", "failed");
    EXPECT_TRUE(IsHealthy(answer, id_)) << answer;
    EXPECT_EQ(ArrivalsOf(id_), 2);
    EXPECT_EQ(MetricsOf("retries_total"), retries_before_);
}

// Guards against a request that ends with the failure of its first attempt.
TEST_F(HedgeTest, AFailureOfTheFirstAttemptEndsNothing)
{
    StartTwo(
        [this](Socket &, const ReceivedRequest &got) {
            WaitSecond(got.id);
            return false;
        },
        [this](Socket &socket, const ReceivedRequest &got) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            return Answers(socket, got);
        });
    SwitchOn();
    AddSamples("/look/1");
    std::string answer = AskUntil("/look/1", "won");
    EXPECT_TRUE(IsHealthy(answer, id_)) << answer;
    EXPECT_EQ(ArrivalsOf(id_), 2);
}

// Guards against more upstreams than the route allows.
TEST_F(HedgeTest, ThereAreNoneWithOneAttempt)
{
    auto slow = [](Socket &socket, const ReceivedRequest &got) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        return Answers(socket, got);
    };
    StartTwo(slow, slow);
    SwitchOn();
    AddSamples("/open/1");
    for (int i = 0; i < 5; i++) {
        std::string id = "subject-" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/open/1", id)), id));
        EXPECT_EQ(ArrivalsOf(id), 1);
    }
    EXPECT_EQ(gateway_->Metrics().find("early_repeats_total"),
              std::string::npos);
}

// Guards against early repeats where the settings do not ask for them.
TEST_F(HedgeTest, ThereAreNoneByDefault)
{
    auto slow = [](Socket &socket, const ReceivedRequest &got) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        return Answers(socket, got);
    };
    StartTwo(slow, slow);
    AddSamples("/look/1");
    EXPECT_TRUE(
        IsHealthy(gateway_->Ask(Call("/look/1", "subject")), "subject"));
    EXPECT_EQ(ArrivalsOf("subject"), 1);
    EXPECT_EQ(gateway_->Metrics().find("early_repeats"), std::string::npos);
}

// Guards against a request that crashes two upstreams at once.
TEST_F(HedgeTest, ThereAreNoneOfARequestThatHasCrashedAnUpstream)
{
    const std::string body = "deadly";
    auto crashes = [](Socket &socket, const ReceivedRequest &got) {
        if (got.id == "subject-crash") {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        return Answers(socket, got);
    };
    StartTwo(crashes, crashes);
    SwitchOn();
    AddSamples("/look/1");
    gateway_->Ask(Call("/look/1", "subject-crash", "", body));
    EXPECT_GE(ArrivalsOf("subject-crash"), 1);
    // Until the pause after the crash is over.
    EXPECT_TRUE(Eventually([&] {
        return IsHealthy(gateway_->Ask(Call("/look/1", "fast")), "fast");
    }));
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "subject", "", body)),
                          "subject"));
    EXPECT_EQ(ArrivalsOf("subject"), 1);
    EXPECT_NE(MetricsOf("early_repeats_denied_total{cause=\"suspect\"}"), "");
}

// Guards against early repeats that use up the retry budget, or go round it.
TEST_F(HedgeTest, ThereAreNoneWithoutRetryBudget)
{
    auto slow = [](Socket &socket, const ReceivedRequest &got) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        return Answers(socket, got);
    };
    StartTwo(slow, slow);
    gateway_->ReplaceSettings("retry_ratio: 0.2, retry_slack: 58000",
                              "retry_ratio: 0, retry_slack: 0");
    SwitchOn();
    AddSamples("/look/1");
    for (int i = 0; i < kTries; i++) {
        std::string id = "subject-" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", id)), id));
        EXPECT_EQ(ArrivalsOf(id), 1);
        if (gateway_->Metrics().find(
                "early_repeats_denied_total{cause=\"budget\"}") !=
            std::string::npos) {
            return;
        }
    }
    FAIL() << gateway_->Metrics();
}

// Guards against early repeats of requests whose answers have arrived while
// the process was stopped.
TEST_F(HedgeTest, ThereAreNoneAfterAPauseOfTheProcess)
{
    std::atomic<bool> stopped{false};
    StartTwo(
        [this, &stopped](Socket &socket, const ReceivedRequest &got) {
            gateway_->Signal(SIGSTOP);
            bool sent = Answers(socket, got);
            stopped = true;
            return sent;
        },
        Answers);
    SwitchOn();
    AddSamples("/look/1");
    for (int i = 0; i < 5; i++) {
        std::string id = "subject-" + std::to_string(i);
        std::string sent = MetricsOf("early_repeats_total");
        stopped = false;
        std::unique_ptr<Socket> caller = gateway_->Open();
        caller->Write(Call("/look/1", id, "Connection: close\r\n"));
        ASSERT_TRUE(Eventually([&] { return stopped.load(); }));
        // A short pause, after which the answer is read first, and a long one.
        std::this_thread::sleep_for(
            std::chrono::milliseconds(i % 2 == 0 ? 60 : 200));
        int before = ArrivalsOf(id); // 2: repeated before the process stopped
        gateway_->Signal(SIGCONT);
        EXPECT_TRUE(IsHealthy(caller->ReadAll(), id));
        EXPECT_EQ(ArrivalsOf(id), before);
        if (before == 1) {
            EXPECT_EQ(MetricsOf("early_repeats_total"), sent);
        }
    }
}

// Guards against attempts that run on after their caller has left.
TEST_F(HedgeTest, BothEndWhenTheCallerLeaves)
{
    auto waits = [this](Socket &socket, const ReceivedRequest &got) {
        return WaitsForClose(socket, got);
    };
    StartTwo(waits, waits);
    SwitchOn();
    AddSamples("/look/1");
    for (int i = 0; i < kTries && ArrivalsOf(id_) != 2; i++) {
        id_ = "subject-" + std::to_string(i);
        std::unique_ptr<Socket> caller = gateway_->Open();
        caller->Write(Call("/look/1", id_));
        // Well before the upstream counts as silent.
        for (int k = 0; k < 25 && ArrivalsOf(id_) != 2; k++) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        if (ArrivalsOf(id_) != 2) {
            caller.reset();
            LetBothAnswer("/look/1");
        }
    }
    ASSERT_EQ(ArrivalsOf(id_), 2);
    EXPECT_TRUE(Eventually([&] { return ClosedOf(id_) == 2; }));
    EXPECT_TRUE(HasOutcome("lost"));
}

// Guards against two engines that work on a request for long, and against a
// part of the early repeat in the answer of the first attempt.
TEST_F(HedgeTest, AnEngineWithoutAnEventIsCancelledAndLeavesNothing)
{
    StartTwo(
        [this](Socket &socket, const ReceivedRequest &got) {
            // Its head shows that it is reachable; it goes on only when the
            // other one is cancelled.
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            socket.Write(StreamHead(got));
            WaitCancelled(got.id);
            return socket.Write(Events("first"));
        },
        [this](Socket &socket, const ReceivedRequest &got) {
            std::string part = Chunk("id: 0\ndata: second 0\n");
            socket.Write(StreamHead(got) + part);
            return WaitsForClose(socket, got);
        });
    SwitchOn();
    MakeEngines();
    AddSamples("/chat/1");
    std::string answer = AskUntil("/chat/1", "lost");
    bool complete;
    std::string body = Dechunk(answer, &complete);
    EXPECT_TRUE(complete) << answer;
    EXPECT_EQ(body.find("second"), std::string::npos) << body;
    EXPECT_EQ(body.substr(0, 20), "id: 0\ndata: first 0\n") << body;
    EXPECT_EQ(ArrivalsOf(id_), 2);
}

// Guards against a stream that stays at an engine that is gone, because its
// early repeat needs longer than both may run.
TEST_F(HedgeTest, AnEngineThatSendsNothingIsReplacedByOneThatDoes)
{
    StartTwo(
        [this](Socket &socket, const ReceivedRequest &got) {
            return WaitsForClose(socket, got);
        },
        [this](Socket &socket, const ReceivedRequest &got) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            socket.Write(StreamHead(got));
            WaitCancelled(got.id);
            return socket.Write(Events("second"));
        });
    SwitchOn();
    MakeEngines();
    AddSamples("/chat/1");
    std::string answer = AskUntil("/chat/1", "won");
    bool complete;
    std::string body = Dechunk(answer, &complete);
    EXPECT_TRUE(complete) << answer;
    EXPECT_EQ(body.substr(0, 21), "id: 0\ndata: second 0\n") << body;
    EXPECT_EQ(ClosedOf(id_), 1);
}

// Guards against a stream of events of both attempts.
TEST_F(HedgeTest, TheFirstEventDecidesWhoseStreamItIs)
{
    StartTwo(
        [this](Socket &socket, const ReceivedRequest &got) {
            socket.Write(StreamHead(got) + Chunk("id: 0\ndata: first 0\n"));
            WaitSecond(got.id);
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            return socket.Write(Events("first"));
        },
        [this](Socket &socket, const ReceivedRequest &got) {
            return socket.Write(StreamHead(got) + Events("second"));
        });
    SwitchOn();
    MakeEngines();
    AddSamples("/chat/1");
    std::string answer = AskUntil("/chat/1", "won");
    bool complete;
    std::string body = Dechunk(answer, &complete);
    EXPECT_TRUE(complete) << answer;
    EXPECT_EQ(body.find("first"), std::string::npos) << body;
    EXPECT_EQ(body.substr(0, 21), "id: 0\ndata: second 0\n") << body;
}

} // namespace
