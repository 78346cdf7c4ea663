// What callers receive when a sound upstream sends nothing for a while and
// goes on, alone and beside a new sheet, SIGHUP or a planned stop.
#include "harness.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstring>
#include <gtest/gtest.h>
#include <iterator>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr useconds_t kSilenceUs = 2000000;
constexpr unsigned kCallerSilenceS = 8;
// Longer than the 30 s after which a connection without progress is closed.
constexpr unsigned kLongSilenceS = 33;
constexpr useconds_t kPollUs = 5000;

// What is asked for, and the head and body that the upstream sends.
struct Kind {
    const char *name;
    const char *method;
    const char *path;
    const char *request;
    const char *head;
    const char *body;
};

const Kind kKinds[] = {
    {"Stream", "POST", "/v1/chat/completions",
     "{\"model\":\"m\",\"stream\":true,"
     "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
     "Connection: close\r\n\r\n",
     "data: {\"n\":1}\n\ndata: {\"n\":2}\n\ndata: [DONE]\n\n"},
    {"Completion", "POST", "/v1/chat/completions",
     "{\"model\":\"m\","
     "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
     "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
     "Content-Length: 11\r\n\r\n",
     "{\"n\":\"abc\"}"},
    {"Booking", "POST", "/services/s/book", "{}",
     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
     "Content-Length: 10\r\n\r\n",
     "0123456789"},
    {"Lookup", "GET", "/services/s/look", "",
     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
     "Content-Length: 10\r\n\r\n",
     "0123456789"},
};

// Where the upstream is silent: before the byte at this place of its answer.
struct Place {
    const char *name;
    size_t (*at)(const std::string &head, const std::string &body);
};

const Place kPlaces[] = {
    {"BeforeHead",
     [](const std::string &, const std::string &) -> size_t { return 0; }},
    {"WithinHead",
     [](const std::string &, const std::string &) -> size_t { return 20; }},
    {"AfterHead",
     [](const std::string &head, const std::string &) -> size_t {
         return head.size();
     }},
    {"WithinEvent",
     [](const std::string &head, const std::string &) -> size_t {
         return head.size() + 3;
     }},
    {"BetweenEvents",
     [](const std::string &head, const std::string &body) -> size_t {
         size_t end = body.find("\n\n");
         return head.size() +
                (end == std::string::npos ? body.size() / 2 : end + 2);
     }},
    {"BeforeLastByte",
     [](const std::string &head, const std::string &body) -> size_t {
         return head.size() + body.size() - 1;
     }},
};
constexpr int kPlacesCount = sizeof(kPlaces) / sizeof(kPlaces[0]);

// What happens while all upstreams are silent.
struct Event {
    const char *name;
    void (*act)(Daemon &daemon);
};

const Event kEvents[] = {
    {"Alone", [](Daemon &) {}},
    {"BesideANewSheet",
     [](Daemon &daemon) {
         daemon.PublishVersion("2");
         EXPECT_TRUE(daemon.WaitMetric("sheet_revision", 2));
     }},
    {"BesideSighup", [](Daemon &daemon) { daemon.Signal(SIGHUP); }},
    {"BesideAPlannedStop", [](Daemon &daemon) { daemon.Signal(SIGTERM); }},
};

class Silence
    : public testing::TestWithParam<std::tuple<const Kind *, const Event *>> {
  protected:
    const Kind &kind()
    {
        return *std::get<0>(GetParam());
    }
    const Event &event()
    {
        return *std::get<1>(GetParam());
    }
    // Answers one request, with the silence at the next place.
    void Serve(Socket &socket)
    {
        std::string text = std::string(kind().head) + kind().body;
        int run = runs_++;
        size_t at = kPlaces[run % kPlacesCount].at(kind().head, kind().body);
        socket.Write(text.substr(0, at));
        usleep(kSilenceUs);
        socket.Write(text.substr(at));
    }
    std::atomic<int> runs_{0};
};

// Guards against an answer that ends because its upstream is silent for a
// while, and against a second run of a booking meanwhile.
TEST_P(Silence, EndsWithTheWholeAnswer)
{
    Server upstream([&](Socket &socket) {
        std::string request;
        while (!(request = socket.ReadMessage()).empty()) {
            if (request.compare(0, 12, "GET /health ") != 0) {
                Serve(socket);
                return;
            }
            std::string report = "{\"boot_id\":\"b\"}";
            socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(report.size()) + "\r\n\r\n" + report);
        }
    });
    Daemon daemon(upstream.port(), upstream.port());
    Answer answers[kPlacesCount];
    std::vector<std::thread> callers;
    for (int i = 0; i < kPlacesCount; i++) {
        callers.emplace_back([&, i] {
            answers[i] =
                daemon.Send(kind().method, kind().path, kind().request,
                            {"Idempotency-Key: k" + std::to_string(i)});
        });
    }
    EXPECT_TRUE(daemon.WaitCount("upstream_transfers", kPlacesCount));
    event().act(daemon);
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const Answer &answer : answers) {
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.status, 200) << answer.body;
        EXPECT_EQ(answer.outcome, "ran");
        EXPECT_EQ(answer.body, kind().body);
    }
    EXPECT_EQ(runs_, kPlacesCount);
}

std::vector<const Kind *>
Kinds()
{
    std::vector<const Kind *> kinds;
    for (const Kind &kind : kKinds) {
        kinds.push_back(&kind);
    }
    return kinds;
}

std::vector<const Event *>
Events()
{
    std::vector<const Event *> events;
    for (const Event &event : kEvents) {
        events.push_back(&event);
    }
    return events;
}

INSTANTIATE_TEST_SUITE_P(Upstream, Silence,
                         testing::Combine(testing::ValuesIn(Kinds()),
                                          testing::ValuesIn(Events())),
                         [](const auto &info) {
                             return std::string(
                                        std::get<0>(info.param)->name) +
                                    std::get<1>(info.param)->name;
                         });

// Reads until the other side closes; unlike Socket::ReadAll(), bears the long
// silence.
std::string
ReadThroughSilence(const Socket &socket)
{
    timeval limit = {2 * kLongSilenceS, 0};
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string text;
    char buffer[4096];
    ssize_t size;
    while ((size = recv(socket.fd(), buffer, sizeof(buffer), 0)) > 0) {
        text.append(buffer, static_cast<size_t>(size));
    }
    return text;
}

// Guards against an idle time-out that ends connections whose answer is
// pending because the upstream is silent for longer than it.
TEST(LongSilence, EndsWithTheWholeAnswer)
{
    std::atomic<int> runs{0};
    Server upstream([&](Socket &socket) {
        std::string request = socket.ReadMessage();
        if (request.compare(0, 12, "GET /health ") == 0) {
            socket.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                         "Content-Length: 15\r\n\r\n{\"boot_id\":\"b\"}");
            return;
        }
        runs++;
        const Kind &kind = kKinds[strtoul(
            &request[request.find("kind") + strlen("kind")], nullptr, 10)];
        size_t at = strtoul(&request[request.find("place") + strlen("place")],
                            nullptr, 10);
        std::string text = std::string(kind.head) + kind.body;
        socket.Write(text.substr(0, at));
        sleep(kLongSilenceS);
        socket.Write(text.substr(at));
    });
    Daemon daemon(upstream.port(), upstream.port());
    std::vector<std::thread> callers;
    for (size_t k = 0; k < std::size(kKinds); k++) {
        for (size_t p : {0, 4, 5}) {
            callers.emplace_back([&daemon, k, p] {
                const Kind &kind = kKinds[k];
                std::string name =
                    "kind" + std::to_string(k) + "place" +
                    std::to_string(kPlaces[p].at(kind.head, kind.body));
                std::string body(kind.request);
                Socket caller(Connect(daemon.callers()));
                caller.Write(std::string(kind.method) + " " + kind.path + "?" +
                             name +
                             " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
                             kToken + "\r\nIdempotency-Key: " + name +
                             "\r\nBoragespur-Deadline-Ms: 60000\r\n"
                             "Connection: close\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
                std::string answer = ReadThroughSilence(caller);
                EXPECT_NE(answer.find("Boragespur-Outcome: ran"),
                          std::string::npos)
                    << answer;
                // A stream is chunked, and its last event ends it.
                std::string end = kind.body;
                end = end.substr(end.rfind("data: ") + 1);
                EXPECT_NE(answer.find(end), std::string::npos) << answer;
            });
        }
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(runs, static_cast<int>(callers.size()));
}

// Guards against requests that are refused because their only engine answers
// nothing for a while, its load reports included, and goes on.
TEST(SilentEngine, AnswersTheRequestsOfItsSilence)
{
    constexpr int kCallers = 4;
    constexpr unsigned kFrozenS = 4;
    const Kind &kind = kKinds[0];
    std::atomic<bool> frozen{false};
    Server engine([&](Socket &socket) {
        std::string request;
        while (!(request = socket.ReadMessage()).empty()) {
            while (frozen) {
                usleep(kPollUs);
            }
            if (request.compare(0, 12, "GET /health ") != 0) {
                socket.Write(std::string(kind.head) + kind.body);
                return;
            }
            std::string report = "{\"boot_id\":\"b\"}";
            socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(report.size()) + "\r\n\r\n" + report);
        }
    });
    Daemon daemon(engine.port(), FreePort());
    ASSERT_TRUE(daemon.WaitCount("health_reports", 1));
    frozen = true;
    Answer answers[kCallers];
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; i++) {
        callers.emplace_back([&, i] {
            answers[i] = daemon.Send(kind.method, kind.path, kind.request);
        });
        sleep(kFrozenS / kCallers);
    }
    frozen = false;
    for (int i = 0; i < kCallers; i++) {
        callers[i].join();
        EXPECT_TRUE(answers[i].whole);
        EXPECT_EQ(answers[i].status, 200) << answers[i].body;
        EXPECT_EQ(answers[i].body, kind.body);
    }
}

// Guards against a connection that is closed because its caller does not read
// for some seconds while it has a part of its answer.
TEST(SilentCaller, ReceivesItsWholeAnswer)
{
    const std::string body(8U * 1024 * 1024, 'x');
    Server service([&body](Socket &socket) {
        socket.ReadMessage();
        socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    Daemon daemon(FreePort(), service.port());
    Socket caller(ConnectWithSmallBuffer(daemon.callers()));
    caller.Write("GET /services/s/x HTTP/1.1\r\nHost: x\r\nAuthorization: "
                 "Bearer " +
                 std::string(kToken) +
                 "\r\nBoragespur-Deadline-Ms: 30000\r\n"
                 "Connection: close\r\n\r\n");
    ASSERT_TRUE(daemon.WaitCount("flow_paused", 1));
    sleep(kCallerSilenceS);
    std::string answer = caller.ReadAll();
    size_t at = answer.find("\r\n\r\n");
    ASSERT_NE(at, std::string::npos);
    EXPECT_EQ(std::count(answer.begin() + (long)at, answer.end(), 'x'),
              (long)body.size());
}

// Stops a daemon whose caller reads nothing meanwhile; returns how many bytes
// of a body of SIZE arrive.
long
CountReceivedBesideAPlannedStop(size_t size)
{
    constexpr unsigned kSilentS = 5;
    Server service([size](Socket &socket) {
        socket.ReadMessage();
        socket.Write(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
            "\r\n\r\n" + std::string(size, 'x'));
    });
    Daemon daemon(FreePort(), service.port());
    Socket caller(ConnectWithSmallBuffer(daemon.callers()));
    caller.Write("GET /services/s/x HTTP/1.1\r\nHost: x\r\nAuthorization: "
                 "Bearer " +
                 std::string(kToken) +
                 "\r\nBoragespur-Deadline-Ms: 30000\r\n"
                 "Connection: close\r\n\r\n");
    EXPECT_TRUE(daemon.WaitCount("upstream_transfers", 1));
    daemon.Signal(SIGTERM);
    sleep(kSilentS);
    std::string answer = caller.ReadAll();
    size_t at = std::min(answer.find("\r\n\r\n"), answer.size());
    EXPECT_EQ(daemon.Wait(), 0);
    return std::count(answer.begin() + (long)at, answer.end(), 'x');
}

// Guards against a planned stop that ends while a caller, which reads nothing
// for some seconds, does not have its whole answer.  The size of the kernel's
// socket buffers varies: at some of these sizes, only the daemon holds the
// rest.
TEST(SilentCaller, ReceivesItsWholeAnswerBesideAPlannedStop)
{
    constexpr size_t kCallers = 10;
    constexpr size_t kStepBytes = 384 * 1024;
    long received[kCallers] = {};
    std::vector<std::thread> callers;
    for (size_t i = 0; i < kCallers; i++) {
        callers.emplace_back([&received, i] {
            received[i] =
                CountReceivedBesideAPlannedStop((i + 1) * kStepBytes);
        });
    }
    for (size_t i = 0; i < kCallers; i++) {
        callers[i].join();
        EXPECT_EQ(received[i], (long)((i + 1) * kStepBytes));
    }
}

// Guards against a planned stop that closes connections in use without notice:
// a request that crosses the close gets neither an answer nor a refusal.
TEST(KeptConnection, IsAnnouncedToCloseBesideAPlannedStop)
{
    constexpr int kCallers = 4;
    Server service([](Socket &socket) {
        while (!socket.ReadMessage().empty()) {
            socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        }
    });
    Daemon daemon(FreePort(), service.port());
    std::atomic<int> announced{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; i++) {
        callers.emplace_back([&] {
            Socket caller(Connect(daemon.callers()));
            std::string answer = "first";
            while (!answer.empty() &&
                   answer.find("Connection: close") == std::string::npos) {
                caller.Write("GET /services/s/x HTTP/1.1\r\nHost: x\r\n"
                             "Authorization: Bearer " +
                             std::string(kToken) + "\r\n\r\n");
                answer = caller.ReadMessage();
            }
            announced += !answer.empty();
        });
    }
    EXPECT_TRUE(daemon.WaitCount("upstream_transfers", 4 * kCallers));
    daemon.Signal(SIGTERM);
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(announced, kCallers);
    EXPECT_EQ(daemon.Wait(), 0);
}

} // namespace
