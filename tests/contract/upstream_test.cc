// The status and outcome that callers receive for each way in which an
// upstream can fail.
#include "harness.h"

#include <atomic>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

std::string
Http(const std::string &status, const std::string &headers,
     const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// Long enough for the request to reach the upstream on a busy machine.
const char kShortDeadline[] = "Boragespur-Deadline-Ms: 3000";

// A failure between daemon and upstream: what the upstream does, and what the
// caller must receive.
struct HopCase {
    const char *name;
    std::function<void(Socket &)> act;
    long status; // 0 for any from 500 up
    const char *outcome;
    const char *body; // substring of the response body
};

const HopCase kHopCases[] = {
    {"ResetBeforeReading",
     [](Socket &socket) {
         char first;
         recv(socket.fd(), &first, 1, MSG_PEEK);
         socket.Reset();
     },
     502, "unknown", "upstream_failed"},
    {"ResetAfterRequest",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Reset();
     },
     502, "unknown", "upstream_failed"},
    {"ClosedAfterRequest", [](Socket &socket) { socket.ReadMessage(); }, 502,
     "unknown", "upstream_failed"},
    {"NoAnswerUntilDeadline",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.WaitClosed();
     },
     0, "unknown", "\"outcome\":\"unknown\""},
    {"HalfHead",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 200 OK\r\nContent-Le");
     },
     502, "unknown", "upstream_failed"},
    {"HeadWithoutItsLastLine",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"HeadWithoutItsLastLf",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n\r");
     },
     502, "unknown", "upstream_failed"},
    {"HalfStatusLine",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 20");
     },
     502, "unknown", "upstream_failed"},
    {"StatusLineOnly",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 200 OK\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"HalfHeadOfAnOldVersion",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.0 200 OK\r\nContent-Type: text/x\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"HalfHeadAfterContinue",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 100 Continue\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"ContinueOnly",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 100 Continue\r\n\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"HalfBody",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
     },
     502, "unknown", "upstream_failed"},
    {"HalfChunk",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n4\r\nhalf\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"NotHttp",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("what?\r\n\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"ErrorAfterRunning",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write(Http("500 Oops", "", "broken"));
     },
     500, "ran", "broken"},
    {"UnavailableThatMayHaveRun",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write(Http("503 Busy", "", "busy"));
     },
     503, "ran", "busy"},
    {"RefusedBeforeRunning",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write(Http("503 Busy", "X-Request-Started: no\r\n", ""));
     },
     0, "not-run", "\"outcome\":\"not-run\""},
    {"LimitedBeforeRunning",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write(Http("429 Slow", "X-Request-Started: no\r\n", ""));
     },
     0, "not-run", "\"outcome\":\"not-run\""},
    {"SlowHeadAndBody",
     [](Socket &socket) {
         socket.ReadMessage();
         for (char c : Http("200 OK", "Content-Type: text/x\r\n", "whole")) {
             socket.Write(std::string(1, c));
             usleep(1000);
         }
     },
     200, "ran", "whole"},
};

class Hop : public testing::TestWithParam<HopCase> {
  protected:
    void Play();
};

void
Hop::Play()
{
    const HopCase &hop = GetParam();
    std::atomic<int> runs{0};
    Server service([&](Socket &socket) {
        runs++;
        hop.act(socket);
    });
    Daemon daemon(FreePort(), service.port());
    // Only a case that ends at the deadline gets a short deadline.
    std::vector<std::string> headers = {"Idempotency-Key: k"};
    if (hop.status == 0) {
        headers.push_back(kShortDeadline);
    }
    Answer answer = daemon.Send("POST", "/services/s/book", "{}", headers);
    EXPECT_TRUE(answer.whole);
    if (hop.status != 0) {
        EXPECT_EQ(answer.status, hop.status) << answer.body;
    }
    EXPECT_GE(answer.status, 200);
    EXPECT_EQ(answer.outcome, hop.outcome) << answer.body;
    EXPECT_NE(answer.body.find(hop.body), std::string::npos) << answer.body;
    if (answer.outcome != "not-run") {
        EXPECT_EQ(runs, 1) << "dispatched more than once";
    }
    EXPECT_TRUE(daemon.WaitMetric("requests_open", 0));
}

TEST_P(Hop, FailureIsReportedWithItsOutcome)
{
    Play();
}

INSTANTIATE_TEST_SUITE_P(Upstream, Hop, testing::ValuesIn(kHopCases),
                         [](const auto &info) { return info.param.name; });

// Answers of an upstream that runs the request, which are no refusal though
// they have a part of one.
const HopCase kHalfRefusals[] = {
    {"WithoutTheEndOfItsHead",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 503 Busy\r\nX-Request-Started: no\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"ResetInItsHead",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 503 Busy\r\nX-Request-Started: no\r\nRetry");
         usleep(100000); /* a reset drops what was not read */
         socket.Reset();
     },
     502, "unknown", "upstream_failed"},
    {"MarkInItsTrailer",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n"
                      "\r\n4\r\nbusy\r\n0\r\n"
                      "X-Request-Started: no\r\n\r\n");
     },
     503, "ran", "busy"},
};

const HopCase kNoRefusals[] = {
    {"Interim",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 103 X\r\nX-Request-Started: no\r\n\r\n");
     },
     502, "unknown", "upstream_failed"},
    {"InterimThenSuccess",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write("HTTP/1.1 103 X\r\nX-Request-Started: no\r\n\r\n" +
                      Http("200 OK", "", "whole"));
     },
     200, "ran", "whole"},
    {"Success",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write(Http("200 OK", "X-Request-Started: no\r\n", "whole"));
     },
     200, "ran", "whole"},
    {"Error",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write(Http("500 X", "X-Request-Started: no\r\n", "broken"));
     },
     500, "ran", "broken"},
    {"Misdirected",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write(Http("421 X", "", "wrong"));
     },
     421, "ran", "wrong"},
    {"Timeout",
     [](Socket &socket) {
         socket.ReadMessage();
         socket.Write(Http("408 X", "", "slow"));
     },
     408, "ran", "slow"},
};

class HalfRefusal : public Hop {};
class NoRefusal : public Hop {};

// Guards against a request that runs and is reported as not run, or sent once
// more, because of a part of a refusal.
TEST_P(HalfRefusal, IsNotBelieved)
{
    Play();
}

// The same with the mark of a refusal on an answer that is none, and with
// statuses that promise callers of other programs that nothing has run.
TEST_P(NoRefusal, IsNotTakenForOne)
{
    Play();
}

INSTANTIATE_TEST_SUITE_P(Upstream, HalfRefusal,
                         testing::ValuesIn(kHalfRefusals),
                         [](const auto &info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(Upstream, NoRefusal, testing::ValuesIn(kNoRefusals),
                         [](const auto &info) { return info.param.name; });

// Guards against a long request that an upstream begins to run before it has
// read all of it, and that is reported as not run or sent once more.
TEST(Upstream, APartlyReadRequestMayHaveRun)
{
    for (bool resets : {false, true}) {
        std::atomic<int> runs{0};
        Server service([&](Socket &socket) {
            char head[512];
            runs++;
            EXPECT_GT(recv(socket.fd(), head, sizeof(head), 0), 0);
            if (resets) {
                socket.Reset();
            }
        });
        Daemon daemon(FreePort(), service.port());
        Answer answer =
            daemon.Send("POST", "/services/s/book", std::string(100000, 'x'),
                        {"Idempotency-Key: k"});
        EXPECT_EQ(answer.outcome, "unknown") << answer.status << answer.body;
        EXPECT_EQ(runs, 1);
    }
}

// The reset may reach the daemon before or after it has sent the request; the
// outcome is "not-run" in the first case and "unknown" in the second.
TEST(Upstream, ResetAtConnectIsReportedAsObserved)
{
    std::atomic<int> runs{0};
    Server service([&](Socket &socket) {
        runs++;
        socket.Reset();
    });
    Daemon daemon(FreePort(), service.port());
    Answer answer = daemon.Send("POST", "/services/s/book", "{}",
                                {"Idempotency-Key: k", kShortDeadline});
    EXPECT_TRUE(answer.whole);
    if (answer.outcome == "unknown") {
        EXPECT_EQ(answer.status, 502) << answer.body;
        EXPECT_NE(answer.body.find("upstream_failed"), std::string::npos)
            << answer.body;
    }
    else {
        EXPECT_EQ(answer.outcome, "not-run") << answer.body;
        EXPECT_GE(answer.status, 503) << answer.body;
        EXPECT_EQ(answer.body.find("upstream_failed"), std::string::npos)
            << answer.body;
    }
    EXPECT_EQ(daemon.Metric("upstream_transfers"), runs);
    EXPECT_TRUE(daemon.WaitMetric("requests_open", 0));
}

TEST(Upstream, RefusedConnectionDidNotRun)
{
    Daemon daemon(FreePort(), FreePort());
    Answer answer = daemon.Send("POST", "/services/s/book", "{}",
                                {"Boragespur-Deadline-Ms: 700"});
    EXPECT_GE(answer.status, 500);
    EXPECT_EQ(answer.outcome, "not-run") << answer.body;
}

const char kEvent[] = "data: {\"n\":1}\n\n";
const char kChat[] = "{\"model\":\"m\",\"stream\":true,"
                     "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
const char kStreamHead[] = "HTTP/1.1 200 OK\r\nContent-Type: "
                           "text/event-stream\r\nConnection: close\r\n\r\n";

// Serves /health and passes every other request's connection to ACT.
std::function<void(Socket &)>
Engine(std::function<void(Socket &)> act)
{
    return [act](Socket &socket) {
        for (;;) {
            std::string request = socket.ReadMessage();
            if (request.compare(0, 12, "GET /health ") != 0) {
                if (!request.empty()) {
                    act(socket);
                }
                return;
            }
            socket.Write(Http("200 OK", "",
                              "{\"boot_id\":\"b\",\"loaded\":[{\"model\":"
                              "\"m\",\"version\":\"1\"}]}"));
        }
    };
}

TEST(Stream, IsForwardedUnchanged)
{
    std::string events;
    for (int i = 0; i < 100; i++) {
        events += "data: {\"n\":" + std::to_string(i) + "}\n\n";
    }
    events += "data: [DONE]\n\n";
    Server engine(
        Engine([&](Socket &socket) { socket.Write(kStreamHead + events); }));
    Daemon daemon(engine.port(), FreePort());
    Answer answer = daemon.Send("POST", "/v1/chat/completions", kChat);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(answer.outcome, "ran");
    EXPECT_EQ(answer.body, events);
}

// Guards against the loss of what follows the last blank line of a stream.
TEST(Stream, AnEndWithoutABlankLineIsForwarded)
{
    const std::string events = "data: {\"n\":1}\n\ndata: [DONE]\n";
    Server upstream(
        Engine([&](Socket &socket) { socket.Write(kStreamHead + events); }));
    Daemon daemon(upstream.port(), upstream.port());
    Answer completion = daemon.Send("POST", "/v1/chat/completions", kChat);
    EXPECT_EQ(completion.outcome, "ran");
    EXPECT_EQ(completion.body, events);
    Answer lookup = daemon.Send("GET", "/services/s/look", "");
    EXPECT_EQ(lookup.outcome, "ran");
    EXPECT_EQ(lookup.body, events);
}

TEST(Stream, CutShortEndsWithAnErrorEvent)
{
    Server engine(Engine([](Socket &socket) {
        socket.Write(std::string(kStreamHead) + kEvent);
    }));
    Daemon daemon(engine.port(), FreePort());
    Answer answer = daemon.Send("POST", "/v1/chat/completions", kChat);
    EXPECT_TRUE(answer.whole);
    EXPECT_NE(answer.body.find("event: error\ndata: {\"error\""),
              std::string::npos)
        << answer.body;
    EXPECT_EQ(answer.body.find("[DONE]"), std::string::npos);
}

// A service's stream and how it ends.
struct ServiceStream {
    const char *name;
    const char *head; // what marks the end of the answer
    const char *body;
    bool complete;
    const char *body_for_caller; // of a complete stream
};

const char kChunkedHead[] = "Transfer-Encoding: chunked\r\n";

const ServiceStream kServiceStreams[] = {
    {"CloseInALine", "", "data: 1\n\ndata", false, ""},
    {"CloseAfterALine", "", "data: 1\n\ndata: 2\n", false, ""},
    {"LengthInALine", "Content-Length: 13\r\n", "data: 1\n\ndata", false, ""},
    {"LastChunkInALine", kChunkedHead, "d\r\ndata: 1\n\ndata\r\n0\r\n\r\n",
     false, ""},
    {"CloseBeforeTheFirstEvent", "", "", false, ""},
    {"EmptyWithLastChunk", kChunkedHead, "0\r\n\r\n", true, ""},
    {"Close", "", "data: 1\n\n", true, "data: 1\n\n"},
    {"LastChunk", kChunkedHead, "9\r\ndata: 1\n\n\r\n0\r\n\r\n", true,
     "data: 1\n\n"},
    {"CloseAfterAComment", "", "data: 1\n\n: x\n", true, "data: 1\n\n: x\n"},
};

class ServiceStreamTest : public testing::TestWithParam<ServiceStream> {};

// Guards against a service's stream that was broken off inside an event and
// reaches its caller as complete, and the reverse.
TEST_P(ServiceStreamTest, IsCompleteWhereNoEventIsUnfinished)
{
    const ServiceStream &row = GetParam();
    Server service([&](Socket &socket) {
        socket.ReadMessage();
        socket.Write(std::string("HTTP/1.1 200 OK\r\n"
                                 "Content-Type: text/event-stream\r\n") +
                     row.head + "\r\n" + row.body);
    });
    Daemon daemon(FreePort(), service.port());
    Answer answer = daemon.Send("POST", "/services/s/look", "x");
    if (row.complete) {
        EXPECT_EQ(answer.outcome, "ran");
        EXPECT_EQ(answer.body, row.body_for_caller);
    }
    else {
        EXPECT_EQ(answer.outcome, "unknown");
        EXPECT_EQ(answer.status, 502);
        EXPECT_EQ(answer.body.find("data"), std::string::npos) << answer.body;
    }
}

INSTANTIATE_TEST_SUITE_P(Ends, ServiceStreamTest,
                         testing::ValuesIn(kServiceStreams),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(Stream, ResumeOffsetReachesTheUpstream)
{
    std::atomic<bool> received{false};
    Server engine([&](Socket &socket) {
        std::string request = socket.ReadMessage();
        if (request.compare(0, 12, "GET /health ") != 0) {
            received =
                request.find("X-Resume-Events: 3\r\n") != std::string::npos;
            socket.Write(std::string(kStreamHead) + "data: [DONE]\n\n");
            return;
        }
        socket.Write(Http("200 OK", "Connection: close\r\n",
                          "{\"boot_id\":\"b\",\"loaded\":[{\"model\":"
                          "\"m\",\"version\":\"1\"}]}"));
    });
    Daemon daemon(engine.port(), FreePort());
    Answer answer = daemon.Send("POST", "/v1/chat/completions", kChat,
                                {"Boragespur-Resume-Events: 3"});
    EXPECT_EQ(answer.body, "data: [DONE]\n\n");
    EXPECT_TRUE(received);
}

// libcurl resends a request by itself when a reused connection turns out to be
// closed.  The daemon must prevent that: only the core decides on a resend.
TEST(Upstream, NoRequestIsResentByTheLibrary)
{
    std::atomic<int> seen{0};
    Server service([&](Socket &socket) {
        while (!socket.ReadMessage().empty()) {
            if (++seen == 2) {
                return;
            }
            socket.Write(Http("200 OK", "", "x"));
        }
    });
    Daemon daemon(FreePort(), service.port());
    EXPECT_EQ(daemon.Send("GET", "/services/s/a", "").status, 200);
    daemon.Send("GET", "/services/s/b", "");
    EXPECT_GE(seen, 2);
    EXPECT_EQ(daemon.Metric("upstream_transfers"), seen);
}

TEST(Stream, DisconnectedCallerCancelsTheUpstream)
{
    std::atomic<bool> cancelled{false};
    Server engine(Engine([&](Socket &socket) {
        socket.Write(std::string(kStreamHead) + kEvent);
        cancelled = socket.WaitClosed();
    }));
    Daemon daemon(engine.port(), FreePort());
    {
        Socket caller(Connect(daemon.callers()));
        std::string body(kChat);
        caller.Write("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                     "Authorization: Bearer " +
                     std::string(kToken) + "\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
        char first;
        EXPECT_EQ(recv(caller.fd(), &first, 1, 0), 1);
    }
    EXPECT_TRUE(daemon.WaitMetric("callers_gone", 1));
    EXPECT_TRUE(daemon.WaitMetric("requests_open", 0));
    EXPECT_TRUE(daemon.WaitCount("upstream_cancels", 1));
    for (int i = 0; i < 6000 && !cancelled; i++) {
        usleep(5000);
    }
    EXPECT_TRUE(cancelled);
}

TEST(Stream, SlowCallerPausesTheUpstream)
{
    constexpr size_t kMax = 256 * 1024 * 1024;
    const std::string event = "data: " + std::string(4096, 'x') + "\n\n";
    std::atomic<size_t> taken{0};
    Server engine(Engine([&](Socket &socket) {
        socket.Write(kStreamHead);
        pollfd entry = {socket.fd(), POLLOUT, 0};
        size_t sent = 0;
        while (sent < kMax && poll(&entry, 1, 1000) == 1) {
            if (!socket.Write(event)) {
                return;
            }
            sent += event.size();
        }
        taken = sent;
        socket.Write("data: [DONE]\n\n");
    }));
    Daemon daemon(engine.port(), FreePort());
    Socket caller(Connect(daemon.callers()));
    std::string body(kChat);
    caller.Write("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                 "Connection: close\r\nAuthorization: Bearer " +
                 std::string(kToken) + "\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_TRUE(daemon.WaitCount("flow_paused", 1));
    for (int i = 0; i < 6000 && taken == 0; i++) {
        usleep(5000);
    }
    EXPECT_GT(taken, 0u);
    EXPECT_LT(taken, kMax) << "the upstream was never paused";
    std::string answer = caller.ReadAll();
    EXPECT_GT(answer.size(), taken);
    EXPECT_NE(answer.find("data: [DONE]"), std::string::npos);
}

} // namespace
