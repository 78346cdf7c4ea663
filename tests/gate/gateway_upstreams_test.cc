// Upstreams that are leaving, request pauses or send endless answers.
#include "gateway_fixture.h"

#include <chrono>
#include <cstring>
#include <fstream>
#include <thread>

namespace {

// Returns ANSWER with HEADERS added.
std::string
WithHeaders(const std::string &headers, const std::string &answer)
{
    std::string text = answer;
    return text.insert(text.find("\r\n") + 2, headers);
}

const char kLeaving[] = "Server-Leaving: 1\r\n";

// Ways in which an upstream reports that it is leaving.
struct LeavingCase {
    const char *name;
    const char *path;
    const char *answer; // "" for a signed answer with status STATUS
    int status;
};

const LeavingCase kLeavingCases[] = {
    {"Success", "/book/1", "", 200},
    {"Failure", "/book/1", "", 500},
    {"Refusal", "/book/1",
     "HTTP/1.1 503 X\r\nServer-Leaving: 1\r\nNot-Executed: 1\r\n"
     "Content-Length: 0\r\n\r\n",
     503},
};

class LeavingTest : public GatewayTest,
                    public testing::WithParamInterface<LeavingCase> {};

// The upstream's list entry is unchanged, and the store no longer answers:
// only the upstream's answer shows that it is leaving.
TEST_P(LeavingTest, AnUpstreamThatSaysItLeavesGetsNothingNew)
{
    const LeavingCase &row = GetParam();
    std::atomic<bool> leaves{true};
    auto leaving = [&](Socket &socket, const ReceivedRequest &got) {
        if (!leaves) {
            return Answers(socket, got);
        }
        return socket.Write(
            row.answer[0] != '\0'
                ? row.answer
                : WithHeaders(kLeaving, SignedAnswer(got, "x", row.status)));
    };
    Start({leaving, Answers});
    store_.SetMode(StoreMode::kSilent);
    for (int i = 0; i < 40 && runners_[0]->count() == 0; i++) {
        gateway_->Ask(Call(row.path, "n" + std::to_string(i)));
    }
    ASSERT_EQ(runners_[0]->count(), 1);
    ASSERT_TRUE(gateway_->WaitMetric(
        "boragespur_upstream_wishes_total{wish=\"leaving\"} 1"));
    for (int i = 0; i < 20; i++) {
        std::string id = "m" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call(row.path, id)), id));
    }
    EXPECT_EQ(runners_[0]->count(), 1);
    // A new start of the upstream gets requests again.
    leaves = false;
    store_.SetMode(StoreMode::kServe);
    store_.Put("servers/i-0", Listed("desk", runners_[0]->port(), "z1",
                                     "ready", ",\"born\":1790000000000"));
    EXPECT_TRUE(Eventually([&] {
        gateway_->Ask(Call("/book/1", "again"));
        return runners_[0]->count() > 1;
    }));
}

INSTANTIATE_TEST_SUITE_P(Answers, LeavingTest,
                         testing::ValuesIn(kLeavingCases),
                         [](const auto &info) { return info.param.name; });

// Guards against an upstream that gets no requests any more because another
// upstream, or an answer to another request, reported that it is leaving.
TEST_F(GatewayTest, ALeavingReportInAnotherAnswerIsIgnored)
{
    std::atomic<int> answered{0};
    Start({[&](Socket &socket, const ReceivedRequest &got) {
        ReceivedRequest other = got;
        other.id = "another";
        switch (answered++) {
        case 0: // the address now belongs to another upstream
            return socket.Write("HTTP/1.1 421 X\r\nServer-Leaving: 1\r\n"
                                "Content-Length: 0\r\n\r\n");
        case 1: // a late answer to another request
            socket.Write(WithHeaders(kLeaving, SignedAnswer(other, "x")));
            return false;
        default:
            return Answers(socket, got);
        }
    }});
    for (int i = 0; i < 2; i++) {
        gateway_->Ask(Call("/book/1", "n" + std::to_string(i)));
    }
    EXPECT_TRUE(Eventually([&] {
        return StatusOf(gateway_->Ask(Call("/book/1", "fine"))) == 200;
    }));
    EXPECT_EQ(gateway_->Metrics().find("wish=\"leaving\""), std::string::npos);
}

// The caller disconnected before the answer arrived; the header still counts.
TEST_F(GatewayTest, ALeavingReportCountsWithoutACaller)
{
    Start({[this](Socket &socket, const ReceivedRequest &got) {
        Eventually([&] { return go_.load(); });
        return socket.Write(WithHeaders(kLeaving, SignedAnswer(got, "x")));
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(runners_[0]->WaitCount(1));
    caller.reset();
    go_ = true;
    ASSERT_TRUE(gateway_->WaitMetric(
        "boragespur_upstream_wishes_total{wish=\"leaving\"} 1"));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/book/1", "b"))), 503);
    EXPECT_EQ(runners_[0]->count(), 1);
}

TEST_F(GatewayTest, AnUpstreamThatAsksForAPauseGetsNothing)
{
    Start({[](Socket &socket, const ReceivedRequest &) {
               return socket.Write(
                   "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 60\r\n"
                   "Content-Length: 0\r\n\r\n");
           },
           Answers});
    for (int i = 0; i < 60; i++) {
        std::string id = "n" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", id)), id));
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_EQ(runners_[0]->count(), 1);
}

// All upstreams requested a pause: Retry-After covers it, and the cause is
// no_place, not no_upstream.
TEST_F(GatewayTest, RetryAfterCoversThePauseOfAllUpstreams)
{
    Start({[](Socket &socket, const ReceivedRequest &) {
        return socket.Write(
            "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 60\r\n"
            "Content-Length: 0\r\n\r\n");
    }});
    gateway_->Ask(Call("/book/1", "a"));
    std::string answer = gateway_->Ask(Call("/book/1", "b"));
    EXPECT_EQ(StatusOf(answer), 503);
    size_t at = answer.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_GT(atof(answer.c_str() + at + strlen("Retry-After: ")), 55);
    EXPECT_NE(gateway_->Log().find("no_place"), std::string::npos);
    EXPECT_EQ(runners_[0]->count(), 1);
}

// Answers that never end: FIRST, then AGAIN until the gateway closes the
// connection.
struct EndlessCase {
    const char *name;
    const char *first; // "ID" is replaced by the request's id
    const char *again;
};

const EndlessCase kEndlessCases[] = {
    {"Garbage", "", "\x01\x02garbage without a line's end"},
    {"Lines", "", "no answer at all\r\n"},
    {"Headers", "HTTP/1.1 200 OK\r\n", "X-Filler: filler\r\n"},
    {"HeaderName", "HTTP/1.1 200 OK\r\n", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
    {"Interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"UnsignedBody", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\n",
     "bytes that are no answer"},
    {"BadChunks",
     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "bytes that are no chunk"},
    {"ChunkExtension",
     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Transfer-Encoding: chunked\r\n\r\n1;",
     "eeeeeeeeeeeeeeeeeeeeeeee"},
    {"EventWithoutEnd",
     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Content-Type: text/event-stream\r\n\r\n",
     "data: a line of an event that has no end\n"},
    {"Trailers",
     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-Filler: filler\r\n"},
};

class EndlessTest : public GatewayTest,
                    public testing::WithParamInterface<EndlessCase> {};

// Resident memory of the process PID, in KiB.
long
ResidentKib(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    long kib = 0;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> kib;
        }
    }
    return kib;
}

TEST_P(EndlessTest, TheConnectionIsClosedAndTheCallerAnswered)
{
    std::atomic<int> ended{0};
    auto script = [&](Socket &socket, const ReceivedRequest &got) {
        std::string first = GetParam().first;
        size_t at = first.find("ID\r\n");
        if (at != std::string::npos) {
            first.replace(at, 2, got.id);
        }
        std::string again;
        while (again.size() < 4096) {
            again += GetParam().again;
        }
        bool open = socket.Write(first);
        while (open && !go_) {
            open = socket.Write(again);
        }
        ended++;
        return false;
    };
    Start({script});
    const char *path = strcmp(GetParam().name, "EventWithoutEnd") == 0
                           ? "/once/1"
                           : "/book/1";
    std::string answer = gateway_->Ask(Call(path, "a"));
    EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(StatusOf(answer) == 502 ||
                (StatusOf(answer) == 200 &&
                 answer.find("chunked") != std::string::npos))
        << answer.substr(0, 200);
    EXPECT_TRUE(Eventually([&] { return ended == 1; }));
    go_ = true;
    EXPECT_LT(ResidentKib(gateway_->pid()), 64 * 1024);
}

INSTANTIATE_TEST_SUITE_P(Bytes, EndlessTest, testing::ValuesIn(kEndlessCases),
                         [](const auto &info) { return info.param.name; });

// Single bytes from time to time do not count as an answer and do not extend
// the caller's deadline.
TEST_F(GatewayTest, AHeadThatTricklesIsGivenUpAtTheRoutesLimit)
{
    Start({[this](Socket &socket, const ReceivedRequest &) {
        bool open = socket.Write("HTTP/1.1 200 OK\r\nX-Slow: ");
        while (open && !go_) {
            open = socket.Write("a");
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/brief/1", "a"))), 504);
    go_ = true;
}

// A stream that stalls within an event and sends only single bytes makes no
// progress: a resumable one is resumed at another upstream.
TEST_F(GatewayTest, AStreamOfSingleBytesGoesOnElsewhere)
{
    auto script = [this](Socket &socket, const ReceivedRequest &got) {
        if (got.Header("Last-Event-Id") == "0") {
            return socket.Write(StreamHead(got) + Chunk(Event(1)) +
                                LastChunk());
        }
        bool open = socket.Write(StreamHead(got) + Chunk(Event(0)));
        while (open && !go_) {
            open = socket.Write(Chunk("x"));
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    };
    Start({script, script});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/chat/1", "a", "Connection: close\r\n"));
    std::string answer = caller->ReadAll();
    go_ = true;
    EXPECT_NE(answer.find("piece 1"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("x\r\n"), std::string::npos) << answer;
}

// The same with a stream that cannot be resumed: it ends, and does not look
// complete.
TEST_F(GatewayTest, AStreamOfSingleBytesEnds)
{
    std::atomic<bool> closed{false};
    Start({[&](Socket &socket, const ReceivedRequest &got) {
        bool open = socket.Write(StreamHead(got) + Chunk(Event(0)));
        while (open && !go_) {
            open = socket.Write(Chunk("x"));
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        closed = true;
        return false;
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/once/1", "a", "Connection: close\r\n"));
    std::string answer = caller->ReadAll();
    EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(Eventually([&] { return closed.load(); }));
    EXPECT_FALSE(go_);
    go_ = true;
}

// The caller reads nothing for longer than the allowed pause of a stream.  The
// upstream is not at fault, so the stream goes on.
TEST_F(GatewayTest, ASoundStreamIsNotCutForASlowCaller)
{
    const int events = 40;
    const std::string filler(64 * 1024, 'f');
    auto script = [&](Socket &socket, const ReceivedRequest &got) {
        bool open = socket.Write(StreamHead(got));
        for (int i = 0; i < events && open; i++) {
            open = socket.Write(Chunk("id: " + std::to_string(i) +
                                      "\ndata: " + filler + "\n\n"));
        }
        return open && socket.Write(LastChunk());
    };
    Start({script, script});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/chat/1", "a", "Connection: close\r\n"));
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    std::string answer = caller->ReadAll();
    EXPECT_NE(answer.find("id: 39"), std::string::npos);
    EXPECT_EQ(answer.substr(answer.size() - 5), "0\r\n\r\n");
    EXPECT_EQ(Arrivals(), 1);
}

} // namespace
