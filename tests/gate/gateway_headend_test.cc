// Upstreams that close, or reset, the connection in the middle of an answer's
// head.
#include "gateway_fixture.h"

#include <atomic>

namespace {

// The part of a head that is sent; ID at the end of a line stands for the
// request's id.
struct HeadCase {
    const char *name;
    const char *text;
};

#define SIGNED "Request-Id: ID\r\nResponse-Signature: sig-1\r\n"

const HeadCase kHeads[] = {
    {"InTheVersion", "HTT"},
    {"InTheStatus", "HTTP/1.1 2"},
    {"AfterTheStatus", "HTTP/1.1 200"},
    {"AfterTheStatusLine", "HTTP/1.1 200 OK\r\n"},
    {"AfterItsCr", "HTTP/1.1 200 OK\r"},
    {"InAName", "HTTP/1.1 200 OK\r\n" SIGNED "Content-Len"},
    {"InALength", "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 1"},
    {"AfterALength", "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 0\r\n"},
    {"BeforeTheLastLf",
     "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 0\r\n\r"},
    {"WithoutALength", "HTTP/1.1 200 OK\r\n" SIGNED},
    {"Chunked", "HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n"},
    {"OldVersion", "HTTP/1.0 200 OK\r\n" SIGNED},
    {"OldVersionWithoutLastLf", "HTTP/1.0 200 OK\r\n" SIGNED "\r"},
    {"BareLineFeeds", "HTTP/1.1 200 OK\n" SIGNED "Content-Length: 0\n"},
    {"AfterAContinue",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" SIGNED},
    {"OnlyAContinue", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"AfterHints",
     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" SIGNED},
    {"InHints", "HTTP/1.1 103 Early Hints\r\n" SIGNED},
    {"OfAnEmptyAnswer", "HTTP/1.1 204 No Content\r\n" SIGNED},
    {"OfAnEventStream",
     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" SIGNED},
};

class HeadEndTest : public GatewayTest,
                    public testing::WithParamInterface<HeadCase> {
  protected:
    bool BreakOff(Socket &socket, const ReceivedRequest &got, bool reset)
    {
        std::string text = GetParam().text;
        for (size_t at; (at = text.find("ID\r\n")) != std::string::npos;) {
            text.replace(at, 2, got.id);
        }
        socket.Write(text);
        if (reset) {
            socket.Reset();
        }
        return false;
    }
    // Returns whether ANSWER cannot be taken for a success.
    static bool IsNoSuccess(const std::string &answer)
    {
        return StatusOf(answer) < 200 || StatusOf(answer) > 299;
    }
};

// Guards against a success that is made of the beginning of a head: on each
// kind of route, when all upstreams close there and when they reset.
TEST_P(HeadEndTest, IsNoAnswer)
{
    // More than the requests use, as one that failed gets nothing for a while.
    const size_t upstreams = 16;
    Start(std::vector<Runner::Script>(
        upstreams, [this](Socket &socket, const ReceivedRequest &got) {
            return BreakOff(socket, got, got.id.back() == 'r');
        }));
    for (const char *path : {"/look/1", "/book/1", "/chat/1", "/once/1"}) {
        for (const char *id : {"close", "reset-r"}) {
            std::string answer =
                gateway_->Ask(Call(path, std::string(path + 1, 4) + id));
            EXPECT_TRUE(IsNoSuccess(answer)) << path << id << "\n" << answer;
            EXPECT_EQ(StatusOf(answer), 502) << path << id;
        }
    }
}

// Guards against the same as the second answer of a kept connection, and
// against a request that is not sent to another upstream.
TEST_P(HeadEndTest, IsRetriedElsewhere)
{
    std::atomic<int> broken{0};
    auto script = [&](Socket &socket, const ReceivedRequest &got) {
        if (got.id[0] == 'w') {
            return Answers(socket, got);
        }
        return broken++ > 0 ? Answers(socket, got)
                            : BreakOff(socket, got, false);
    };
    Start({script, script});
    for (const char *id : {"w1", "w2", "w3", "w4"}) {
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", id)), id));
    }
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "b")), "b"));
    EXPECT_EQ(broken, 2);
}

// Guards against a stream that looks complete when the upstream that goes on
// with it breaks off in its head.
TEST_P(HeadEndTest, DoesNotEndAStream)
{
    auto script = [this](Socket &socket, const ReceivedRequest &got) {
        if (!got.Header("Last-Event-Id").empty()) {
            return BreakOff(socket, got, false);
        }
        socket.Write(StreamHead(got) + Chunk(Event(0)));
        return false;
    };
    Start({script, script});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/chat/1", "s"));
    std::string answer = caller->ReadAll();
    bool complete = true;
    std::string body = Dechunk(answer, &complete);
    EXPECT_FALSE(complete) << answer;
    EXPECT_EQ(body, Event(0));
}

INSTANTIATE_TEST_SUITE_P(Heads, HeadEndTest, testing::ValuesIn(kHeads),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

} // namespace
