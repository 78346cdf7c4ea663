// Silent upstreams whose replacement comes part of the way: each caller still
// gets one complete answer, of whole events in order.
#include "gateway_fixture.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace {

const int kEvents = 4;

// Until the gateway has read what an upstream wrote before.
const int kReadMs = 300;

void
Sleep(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string
Events(int first, int end)
{
    std::string text;
    for (int i = first; i < end; i++) {
        text += Chunk(Event(i));
    }
    return text;
}

// The tested request has the id "subject".  Its arrivals are counted from 0
// over all upstreams.
class PartwayTest : public GatewayTest {
  protected:
    using ArrivalScript = std::function<bool(
        Socket &socket, const ReceivedRequest &got, int arrival)>;

    // Starts COUNT upstreams with the same script and sends the request.
    void Ask(size_t count, const std::string &path, ArrivalScript script)
    {
        script_ = std::move(script);
        std::vector<Runner::Script> scripts(
            count, [this](Socket &socket, const ReceivedRequest &got) {
                return got.id == "subject" &&
                       script_(socket, got, arrivals_++);
            });
        Start(scripts);
        caller_ = gateway_->Open();
        caller_->Write(Call(path, "subject", "Connection: close\r\n", "x"));
    }
    void TearDown() override
    {
        go_ = true;
        gateway_.reset();
        runners_.clear();
    }
    bool WaitArrivals(int count)
    {
        return Eventually([&] { return arrivals_ >= count; });
    }
    // What the gateway logged about the request.
    std::string Story()
    {
        std::string log = gateway_->Log();
        return log.size() < 6000 ? log : log.substr(log.size() - 6000);
    }
    void ExpectStream()
    {
        std::string events;
        for (int i = 0; i < kEvents; i++) {
            events += Event(i);
        }
        bool complete;
        std::string answer = caller_->ReadAll();
        EXPECT_EQ(Dechunk(answer, &complete), events)
            << "the caller got:\n"
            << answer << "\nthe gateway logged:\n"
            << Story();
        EXPECT_TRUE(complete);
        ExpectRunning();
    }
    void ExpectPlain()
    {
        std::string answer = caller_->ReadAll();
        EXPECT_TRUE(IsHealthy(answer, "subject"))
            << "the caller got:\n"
            << answer << "\nthe gateway logged:\n"
            << Story();
        ExpectRunning();
    }
    // The gateway still answers.
    void ExpectRunning()
    {
        EXPECT_TRUE(gateway_->Ready());
    }

    ArrivalScript script_;
    std::atomic<int> arrivals_{0};
    std::unique_ptr<Socket> caller_;
};

// Guards against an event that is joined from pieces of two runs: the second
// upstream has sent a part of an event when the first one goes on.
TEST_F(PartwayTest, APartOfAnEventOfTheReplacementIsDropped)
{
    Ask(2, "/chat/1",
        [this](Socket &socket, const ReceivedRequest &got, int arrival) {
            if (arrival == 0) {
                socket.Write(StreamHead(got) + Events(0, 2));
                Eventually([&] { return go_.load(); });
                return socket.Write(Events(2, kEvents) + LastChunk());
            }
            socket.Write(StreamHead(got) + Chunk(Event(2).substr(0, 9)));
            Sleep(kReadMs);
            go_ = true;
            socket.WaitClosed();
            return false;
        });
    ExpectStream();
}

// Guards against an answer that is cut off, or a gateway that ends, when a
// silent upstream has nothing left to send but the end of its stream.
TEST_F(PartwayTest, OnlyTheEndOfTheStreamIsLeft)
{
    Ask(2, "/chat/1",
        [this](Socket &socket, const ReceivedRequest &got, int arrival) {
            if (arrival == 0) {
                socket.Write(StreamHead(got) + Events(0, kEvents));
                WaitArrivals(2);
                return socket.Write(LastChunk());
            }
            socket.WaitClosed();
            return false;
        });
    ExpectStream();
}

// Guards against the same for an answer that ends with its connection.
TEST_F(PartwayTest, OnlyTheCloseOfTheConnectionIsLeft)
{
    Ask(2, "/look/1",
        [this](Socket &socket, const ReceivedRequest &got, int arrival) {
            if (arrival == 0) {
                std::string answer = SignedAnswer(got, "body of " + got.id);
                size_t from = answer.find("Content-Length");
                answer.erase(from, answer.find("\r\n", from) + 2 - from);
                socket.Write(answer);
                WaitArrivals(2);
                return false;
            }
            socket.WaitClosed();
            return false;
        });
    ExpectPlain();
}

// A request whose replacement sends the head of an answer, or a part of its
// body, and breaks off before the first upstream goes on.
struct BreakCase {
    const char *name;
    const char *path;
    bool after_head; // the first upstream has sent its head
};

class BreakTest : public PartwayTest,
                  public testing::WithParamInterface<BreakCase> {};

// Guards against a sound upstream that is given up for a replacement which
// then breaks off, before it has brought anything to the caller.
TEST_P(BreakTest, TheReplacementBreaksOffAfterItsHead)
{
    const BreakCase &row = GetParam();
    const bool stream = std::string(row.path) == "/chat/1";
    Ask(2, row.path,
        [&](Socket &socket, const ReceivedRequest &got, int arrival) {
            std::string answer =
                stream ? StreamHead(got) + Events(0, kEvents) + LastChunk()
                       : SignedAnswer(got, "body of " + got.id);
            size_t head_bytes = answer.find("\r\n\r\n") + 4;
            if (arrival > 0) {
                socket.Write(answer.substr(0, head_bytes + (stream ? 0 : 4)));
                Sleep(kReadMs);
                go_ = true;
                return false;
            }
            size_t before_bytes = row.after_head ? head_bytes : 0;
            socket.Write(answer.substr(0, before_bytes));
            Eventually([&] { return go_.load(); });
            Sleep(kReadMs);
            return socket.Write(answer.substr(before_bytes));
        });
    stream ? ExpectStream() : ExpectPlain();
}

const BreakCase kBreaks[] = {
    {"StreamBeforeHead", "/chat/1", false},
    {"StreamAfterHead", "/chat/1", true},
    {"SafeBeforeHead", "/look/1", false},
    {"SafeAfterHead", "/look/1", true},
};

INSTANTIATE_TEST_SUITE_P(Routes, BreakTest, testing::ValuesIn(kBreaks),
                         [](const auto &info) { return info.param.name; });

// Guards against a request that waits for its time-out at an upstream that is
// gone, though the other one has refused it and a third one is free.
TEST_F(PartwayTest, ARefusalOfTheSilentUpstreamAllowsAnotherAttempt)
{
    Ask(3, "/look/1",
        [this](Socket &socket, const ReceivedRequest &got, int arrival) {
            if (arrival == 0) {
                WaitArrivals(2);
                Sleep(2000); // the second one counts as silent, too
                return Refuses(socket, got);
            }
            if (arrival == 1) {
                socket.WaitClosed();
                return false;
            }
            return Answers(socket, got);
        });
    ExpectPlain();
}

// Guards against a sound upstream that counts as cold after a silence, since
// another one has answered its requests meanwhile.
TEST_F(PartwayTest, AnUpstreamWhoseRequestsWereReplacedIsNotCold)
{
    const int silent_requests = 8;
    const int requests = 8;
    auto silent = [this](Socket &socket, const ReceivedRequest &got) {
        if (got.id.compare(0, 6, "silent") == 0) {
            arrivals_++;
            Eventually([&] { return go_.load(); });
        }
        if (got.id.compare(0, 5, "after") == 0) {
            // Answered together, or as many as come.
            kept_++;
            for (int i = 0; i < 40 && kept_ < requests; i++) {
                Sleep(5);
            }
        }
        return Answers(socket, got);
    };
    Start({silent, Answers});
    std::string config = Config(2);
    const std::string health = "\"health-path\":\"/h\",";
    for (size_t at = 0; (at = config.find(health, at)) != std::string::npos;) {
        at += health.size();
        config.insert(at, "\"cold-start-s\":20,\"cold-per-s\":1,");
    }
    store_.Put("op/config", config);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 2"));
    std::vector<std::unique_ptr<Socket>> callers;
    auto ask = [&](const std::string &id) {
        callers.push_back(gateway_->Open());
        callers.back()->Write(
            Call("/look/1", id, "Connection: close\r\n", id));
    };
    for (int i = 0; i < silent_requests; i++) {
        ask("silent-" + std::to_string(i));
    }
    for (int i = 0; i < silent_requests; i++) {
        std::string id = "silent-" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(callers[i]->ReadAll(), id));
    }
    ASSERT_GT(arrivals_, 1);
    go_ = true;
    // Only the upstream that was silent is left.
    store_.Remove("servers/" + Name(1));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
    Sleep(3000); // as long as an upstream may be paused
    callers.clear();
    ask("first");
    EXPECT_TRUE(IsHealthy(callers[0]->ReadAll(), "first"));
    callers.clear();
    for (int i = 0; i < requests; i++) {
        ask("after-" + std::to_string(i));
    }
    for (int i = 0; i < requests; i++) {
        std::string id = "after-" + std::to_string(i);
        std::string answer = callers[i]->ReadAll();
        EXPECT_TRUE(IsHealthy(answer, id)) << answer;
    }
}

} // namespace
