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

// More than an upstream takes that reads the head of a request only.
const size_t kUploadBytes = 300000;

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

// A status line that is none, with the headers and body of a complete answer,
// and interim statuses as the last ones.
struct StatusCase {
    const char *name;
    const char *line;
};

const StatusCase kStatuses[] = {
    {"Zero", "HTTP/1.1 000 X"},
    {"One", "HTTP/1.1 001 X"},
    {"BelowTheLowest", "HTTP/1.1 099 X"},
    {"AboveTheHighest", "HTTP/1.1 600 X"},
    {"Highest", "HTTP/1.1 999 X"},
    {"TwoDigits", "HTTP/1.1 20 X"},
    {"TwoDigitsOnly", "HTTP/1.1 20"},
    {"FourDigits", "HTTP/1.1 2000 X"},
    {"LeadingZero", "HTTP/1.1 0200 X"},
    {"Signed", "HTTP/1.1 +20 X"},
    {"Negative", "HTTP/1.1 -20 X"},
    {"Letters", "HTTP/1.1 2OO X"},
    {"None", "HTTP/1.1 "},
    {"OldVersion", "HTTP/1.0 000 X"},
    {"Continue", "HTTP/1.1 100 X"},
    {"SwitchingProtocols", "HTTP/1.1 101 X"},
    {"EarlyHints", "HTTP/1.1 103 X"},
    {"HighestInterim", "HTTP/1.1 199 X"},
};

class InvalidStatus : public testing::TestWithParam<StatusCase> {};

// Guards against a status that is none and reaches its caller, as an answer or
// as one of another status.
TEST_P(InvalidStatus, IsNoAnswer)
{
    for (const char *rest : {"Content-Length: 4\r\n\r\nbody", "\r\n"}) {
        Server service([&](Socket &socket) {
            socket.ReadMessage();
            socket.Write(std::string(GetParam().line) + "\r\n" + rest);
        });
        Daemon daemon(FreePort(), service.port());
        Answer answer = daemon.Send("POST", "/services/s/book", "{}",
                                    {"Idempotency-Key: k"});
        EXPECT_EQ(answer.status, 502) << rest << answer.body;
        EXPECT_EQ(answer.outcome, "unknown") << rest << answer.body;
    }
}

// Guards against an answer with such a status that is skipped like an interim
// one, so that the one after it is taken for the answer.
TEST(Upstream, ALowStatusIsNotSkipped)
{
    for (const char *line : {"HTTP/1.1 000 X", "HTTP/1.1 099 X"}) {
        Server service([&](Socket &socket) {
            socket.ReadMessage();
            socket.Write(std::string(line) + "\r\n\r\n" +
                         Http("200 OK", "", "late"));
        });
        Daemon daemon(FreePort(), service.port());
        Answer answer = daemon.Send("POST", "/services/s/book", "{}",
                                    {"Idempotency-Key: k"});
        EXPECT_EQ(answer.status, 502) << line << answer.body;
        EXPECT_EQ(answer.outcome, "unknown") << line << answer.body;
    }
}

// Guards against an interim status that hides the final one, and against a
// valid one that is rejected.
TEST(Upstream, AFinalStatusFollowsInterimOnes)
{
    for (const char *line :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 X\r\n\r\n",
          "HTTP/1.1 103 X\r\nLink: x\r\n\r\n",
          "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n",
          "HTTP/1.1 199 X\r\n\r\n", ""}) {
        Server service([&](Socket &socket) {
            socket.ReadMessage();
            socket.Write(line + Http("599 X", "", "whole"));
        });
        Daemon daemon(FreePort(), service.port());
        Answer answer = daemon.Send("POST", "/services/s/book", "{}",
                                    {"Idempotency-Key: k"});
        EXPECT_EQ(answer.status, 599) << line;
        EXPECT_EQ(answer.body, "whole") << line;
    }
}

INSTANTIATE_TEST_SUITE_P(Upstream, InvalidStatus, testing::ValuesIn(kStatuses),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// How an upstream that has read the head of a long request only ends the
// connection in its answer.
enum class CutKind { kReset, kCloseUnread, kHalfClose, kHalfCloseReset };

struct CutCase {
    const char *name;
    CutKind kind;
    const char *head;
};

const char kPlainHead[] = "HTTP/1.1 200 OK\r\n\r\n";
const char kOldHead[] = "HTTP/1.0 200 OK\r\n\r\n";
const char kEventsHead[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

const CutCase kCuts[] = {
    {"Reset", CutKind::kReset, kPlainHead},
    {"ResetOfAnOldVersion", CutKind::kReset, kOldHead},
    {"ResetOfEvents", CutKind::kReset, kEventsHead},
    {"CloseUnread", CutKind::kCloseUnread, kPlainHead},
    {"HalfClose", CutKind::kHalfClose, kPlainHead},
    {"HalfCloseOfAnOldVersion", CutKind::kHalfClose, kOldHead},
    {"HalfCloseOfEvents", CutKind::kHalfClose, kEventsHead},
    {"HalfCloseAndReset", CutKind::kHalfCloseReset, kPlainHead},
};

class UploadCut : public testing::TestWithParam<CutCase> {
  protected:
    // Reads the head of a request only, with a small buffer for the rest.
    static bool ReadHead(Socket &socket)
    {
        const int buffer_bytes = 4096;
        setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                   sizeof(buffer_bytes));
        std::string head;
        char byte;
        while (head.find("\r\n\r\n") == std::string::npos &&
               recv(socket.fd(), &byte, 1, 0) == 1) {
            head.push_back(byte);
        }
        return head.compare(0, 5, "POST ") == 0;
    }
    static void Cut(Socket &socket)
    {
        CutKind kind = GetParam().kind;
        if (kind == CutKind::kHalfClose || kind == CutKind::kHalfCloseReset) {
            socket.CloseWrite();
        }
        if (kind == CutKind::kReset || kind == CutKind::kHalfCloseReset) {
            socket.Reset();
        }
        if (kind == CutKind::kHalfClose) {
            usleep(500000); /* the daemon may end the connection before */
        }
    }
};

// Guards against a part of an answer that reaches its caller as complete, as
// the upstream's connection ended while the request was still being written.
TEST_P(UploadCut, APartIsNoCompleteAnswer)
{
    Server service([&](Socket &socket) {
        if (ReadHead(socket)) {
            socket.Write(std::string(GetParam().head) + "data: 1\n\n");
            usleep(100000); /* the daemon reads it before the end */
            Cut(socket);
        }
    });
    Daemon daemon(FreePort(), service.port());
    Answer answer =
        daemon.Send("POST", "/services/s/book", std::string(kUploadBytes, 'x'),
                    {"Idempotency-Key: k"});
    EXPECT_EQ(answer.status, 502) << answer.body;
    EXPECT_EQ(answer.outcome, "unknown") << answer.body;
    EXPECT_EQ(answer.body.find("data: 1"), std::string::npos) << answer.body;
}

INSTANTIATE_TEST_SUITE_P(Upstream, UploadCut, testing::ValuesIn(kCuts),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// Guards against a complete early answer that is taken for a part of one, and
// against the same of an answer that ends with its connection after the whole
// request.
TEST(Upstream, AnAnswerToALongRequestIsComplete)
{
    for (bool early : {true, false}) {
        Server service([&](Socket &socket) {
            char head[512];
            if (early) {
                recv(socket.fd(), head, sizeof(head), 0);
                socket.Write(Http("200 OK", "", "whole"));
                usleep(500000); /* a close beside unread bytes is a reset */
                return;
            }
            socket.ReadMessage();
            socket.Write(std::string(kPlainHead) + "whole");
        });
        Daemon daemon(FreePort(), service.port());
        Answer answer = daemon.Send("POST", "/services/s/book",
                                    std::string(kUploadBytes, 'x'),
                                    {"Idempotency-Key: k"});
        EXPECT_EQ(answer.status, 200) << early << answer.body;
        EXPECT_EQ(answer.outcome, "ran") << early;
        EXPECT_EQ(answer.body, "whole") << early;
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
