// Contracts of a gateway with callers and upstreams, on real sockets.
#include "gate_harness.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace {

// Reads from SOCKET until its text holds MARK or it ends.
std::string
ReadUntil(Socket &socket, const std::string &mark)
{
    std::string text;
    char byte;
    while (text.find(mark) == std::string::npos &&
           read(socket.fd(), &byte, 1) == 1) {
        text.push_back(byte);
    }
    return text;
}

// A store, a gateway and upstreams that are listed in order.
class GatewayTest : public testing::Test {
  protected:
    void Start(std::vector<Runner::Script> scripts)
    {
        store_.Put("op/config", Config(1));
        for (size_t i = 0; i < scripts.size(); i++) {
            runners_.push_back(std::make_unique<Runner>(scripts[i]));
            store_.Put("servers/" + Name(i),
                       Listed("desk", runners_[i]->port()));
        }
        gateway_ = std::make_unique<Gateway>(store_.port());
        ASSERT_TRUE(gateway_->WaitReady());
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams " +
                                         std::to_string(scripts.size())));
    }
    static std::string Name(size_t index)
    {
        return "i-" + std::to_string(index);
    }
    int Arrivals()
    {
        int sum = 0;
        for (auto &runner : runners_) {
            sum += runner->count();
        }
        return sum;
    }

    Store store_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::unique_ptr<Gateway> gateway_;
};

bool
Answers(Socket &socket, const Got &got)
{
    return socket.Write(SignedAnswer(got, "body of " + got.id));
}

bool
Refuses(Socket &socket, const Got &)
{
    return socket.Write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
}

bool
IsHealthy(const std::string &answer, const std::string &id)
{
    return StatusOf(answer) == 200 &&
           answer.find("Response-Signature: sig-" + id) != std::string::npos &&
           answer.find("\r\n\r\nbody of " + id) != std::string::npos;
}

TEST_F(GatewayTest, AnswersOfUpstreamsGoToTheirCallers)
{
    Start({Answers});
    for (const char *path : {"/look/1", "/book/1?x=y", "/open/1"}) {
        std::string id = std::string("id") + path[1];
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call(path, id, "", "hello")), id))
            << path;
    }
    Got got = runners_[0]->request(1);
    EXPECT_EQ(got.text.substr(0, got.text.find("\r\n")),
              "POST /book/1?x=y HTTP/1.1");
    EXPECT_EQ(got.body(), "hello");
    EXPECT_EQ(got.Header("Expect-Instance"), "i-0");
    EXPECT_EQ(got.Header("Tenant"), "acme");
    EXPECT_EQ(got.Header("Api-Key"), "");
    EXPECT_LE(atoi(got.Header("Deadline-Ms").c_str()), 4000);
    EXPECT_GT(atoi(got.Header("Deadline-Ms").c_str()), 2000);
}

TEST_F(GatewayTest, CallersCannotSetWhatIsOurs)
{
    Start({Answers});
    gateway_->Ask(Call("/look/1", "a",
                       "Tenant: forged\r\nExpect-Instance: forged\r\n"
                       "Kv-Hold: 7\r\nPin-Ms: 9\r\nKv-From: 1.1.1.1:1/1\r\n"
                       "Kv-Backup: 1.1.1.1:1\r\n"));
    Got got = runners_[0]->request(0);
    EXPECT_EQ(got.text.find("forged"), std::string::npos);
    for (const char *name : {"Kv-Hold", "Pin-Ms", "Kv-From", "Kv-Backup"}) {
        EXPECT_EQ(got.Header(name), "") << name;
    }
}

TEST_F(GatewayTest, UnknownRoutesAndKeysAreRefusedOnlyWithAConfiguration)
{
    Runner runner(Answers);
    gateway_ = std::make_unique<Gateway>(store_.port());
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "a"))), 503);
    EXPECT_FALSE(gateway_->Ready());
    store_.Put("op/config", Config(1));
    store_.Put("servers/i-0", Listed("desk", runner.port()));
    ASSERT_TRUE(gateway_->WaitReady());
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/nowhere/1", "b"))), 404);
    std::string call = Call("/look/1", "c");
    call.replace(call.find("Api-Key: key"), 12, "Api-Key: bad");
    EXPECT_EQ(StatusOf(gateway_->Ask(call)), 401);
    EXPECT_EQ(runner.count(), 0);
}

TEST_F(GatewayTest, ARefusedRequestRunsElsewhere)
{
    Start({Refuses, Answers});
    for (int i = 0; i < 6; i++) {
        std::string id = "n" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", id)), id));
    }
    EXPECT_EQ(runners_[1]->count(), 6);
}

TEST_F(GatewayTest, ARequestThatNobodyTakesIsToldWhenToComeBack)
{
    Start({Refuses});
    std::string answer = gateway_->Ask(Call("/book/1", "a"));
    EXPECT_EQ(StatusOf(answer), 503);
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(answer.find("Response-Signature"), std::string::npos);
}

TEST_F(GatewayTest, AMisdirectedRequestRunsElsewhere)
{
    auto misdirected = [](Socket &socket, const Got &) {
        return socket.Write("HTTP/1.1 421 X\r\nServed-By: other\r\n"
                            "Content-Length: 0\r\n\r\n");
    };
    Start({misdirected, Answers});
    for (int i = 0; i < 4; i++) {
        std::string id = "n" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", id)), id));
    }
    EXPECT_LE(runners_[0]->count(), 2);
}

// Ways in which an answer fails after the request may have run.
struct BrokenCase {
    const char *name;
    const char *answer; // ID is replaced
};

const BrokenCase kBrokenCases[] = {
    {"Nothing", ""},
    {"CutHead", "HTTP/1.1 200 OK\r\nContent-"},
    {"CutBody", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
                "Response-Signature: s\r\nContent-Length: 9\r\n\r\nabc"},
    {"OtherId", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                "Response-Signature: s\r\nContent-Length: 0\r\n\r\n"},
    {"NoId", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
             "Content-Length: 0\r\n\r\n"},
    {"NoSignature",
     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n"},
    {"NotHttp", "garbage garbage\r\n\r\n"},
    {"FalsePromise",
     "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n"},
    {"SignedFalsePromise",
     "HTTP/1.1 429 X\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Content-Length: 0\r\n\r\n"},
};

class BrokenTest : public GatewayTest,
                   public testing::WithParamInterface<BrokenCase> {};

TEST_P(BrokenTest, AnUnsafeRequestIsSentOnceAndNotCalledUnrun)
{
    auto script = [](Socket &socket, const Got &got) {
        std::string text = GetParam().answer;
        size_t at = text.find("ID\r\n");
        if (at != std::string::npos) {
            text.replace(at, 2, got.id);
        }
        socket.Write(text);
        return false;
    };
    Start({script, script});
    std::string answer = gateway_->Ask(Call("/book/1", "unsafe"));
    EXPECT_EQ(StatusOf(answer), 502) << answer;
    EXPECT_EQ(answer.find("Response-Signature"), std::string::npos);
    EXPECT_EQ(Arrivals(), 1);
}

TEST_P(BrokenTest, ASafeRequestIsSentAgain)
{
    std::atomic<int> count{0};
    auto script = [&count](Socket &socket, const Got &got) {
        if (count++ > 0) {
            return Answers(socket, got);
        }
        std::string text = GetParam().answer;
        size_t at = text.find("ID\r\n");
        if (at != std::string::npos) {
            text.replace(at, 2, got.id);
        }
        socket.Write(text);
        return false;
    };
    Start({script, script});
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "safe")), "safe"));
    EXPECT_EQ(Arrivals(), 2);
}

INSTANTIATE_TEST_SUITE_P(Answers, BrokenTest, testing::ValuesIn(kBrokenCases),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST_F(GatewayTest, AFailureOfTheUpstreamIsPassedOnUnchanged)
{
    Start({[](Socket &socket, const Got &got) {
        return socket.Write(SignedAnswer(got, "failed", 500));
    }});
    std::string answer = gateway_->Ask(Call("/book/1", "a"));
    EXPECT_EQ(StatusOf(answer), 500);
    EXPECT_NE(answer.find("Response-Signature: sig-a"), std::string::npos);
    EXPECT_NE(answer.find("\r\n\r\nfailed"), std::string::npos);
}

TEST_F(GatewayTest, AFailureIsPassedOnWhereNoOtherUpstreamIsLeft)
{
    Start({[](Socket &socket, const Got &got) {
        return socket.Write(SignedAnswer(got, "failed", 500));
    }});
    std::string answer = gateway_->Ask(Call("/look/1", "a"));
    EXPECT_EQ(StatusOf(answer), 500);
    EXPECT_NE(answer.find("Response-Signature: sig-a"), std::string::npos);
}

// Long prompts beside short ones: an upstream that answers others is slow, not
// silent, and keeps its places.  The route's objective is 1.5 s; the slow one
// is answered after it, and well before twice as long.
TEST_F(GatewayTest, ASlowAnswerDoesNotPauseAnUpstreamThatAnswersOthers)
{
    std::atomic<bool> go{false};
    Start({[&go](Socket &socket, const Got &got) {
        if (got.text.find("/calm/slow") != std::string::npos) {
            Eventually([&] { return go.load(); });
        }
        return Answers(socket, got);
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/calm/slow", "slow"));
    ASSERT_TRUE(runners_[0]->WaitCount(1));
    auto start = std::chrono::steady_clock::now();
    int asked = 0;
    while (std::chrono::steady_clock::now() - start <
           std::chrono::milliseconds(1600)) {
        std::string id = "n" + std::to_string(asked++);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/calm/1", id)), id));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    go = true;
    EXPECT_TRUE(IsHealthy(caller->ReadMessage(), "slow"));
    EXPECT_EQ(gateway_->Metrics().find("upstream_pauses_total"),
              std::string::npos);
}

TEST_F(GatewayTest, AnUpstreamThatIsGoneIsNotSentTo)
{
    int closed = FreePort();
    Start({Answers});
    store_.Put("servers/i-9", Listed("desk", closed));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 2"));
    for (int i = 0; i < 4; i++) {
        std::string id = "n" + std::to_string(i);
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", id)), id));
    }
}

TEST_F(GatewayTest, ConnectionsAreKeptAndUnaskedBytesEndThem)
{
    std::atomic<bool> extra{false};
    Start({[&extra](Socket &socket, const Got &got) {
        return socket.Write(SignedAnswer(got, "body of " + got.id) +
                            (extra ? "HTTP/1.1 200 OK\r\n\r\n" : ""));
    }});
    for (int i = 0; i < 3; i++) {
        gateway_->Ask(Call("/look/1", "k" + std::to_string(i)));
    }
    EXPECT_EQ(runners_[0]->connections(), 1);
    extra = true;
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "x")), "x"));
    extra = false;
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "y")), "y"));
    EXPECT_EQ(runners_[0]->connections(), 2);
}

TEST_F(GatewayTest, ALateSecondAnswerIsNobodys)
{
    std::atomic<bool> late{true};
    Start({[&late](Socket &socket, const Got &got) {
        socket.Write(SignedAnswer(got, "body of " + got.id));
        if (late.exchange(false)) {
            // The second copy comes when the connection is idle.
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            socket.Write(SignedAnswer(got, "body of " + got.id));
        }
        return true;
    }});
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", "a")), "a"));
    ASSERT_TRUE(Eventually([&] { return !late.load(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", "b")), "b"));
    EXPECT_EQ(runners_[0]->connections(), 2);
}

TEST_F(GatewayTest, ABodyWithoutLengthEndsWithItsConnection)
{
    Start({[](Socket &socket, const Got &got) {
        socket.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + got.id +
                     "\r\nResponse-Signature: sig-" + got.id +
                     "\r\n\r\nbody of " + got.id);
        return false;
    }});
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", "a")), "a"));
}

TEST_F(GatewayTest, AResetBodyWithoutLengthIsNotComplete)
{
    Start({[](Socket &socket, const Got &got) {
        socket.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + got.id +
                     "\r\nResponse-Signature: s\r\n\r\npart");
        socket.Reset();
        return false;
    }});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/book/1", "a"))), 502);
}

TEST_F(GatewayTest, AnEarlyAnswerDoesNotDisturbTheRestOfTheBody)
{
    // Answers before it reads the body, then reads on: the bytes must be the
    // body's, and only then the next request's.
    std::string body(1500000, 'x');
    std::atomic<size_t> wrong{0};
    std::atomic<size_t> seen{0};
    store_.Put("op/config", Config(1));
    Server early([&](Socket &socket) {
        std::string head = ReadUntil(socket, "\r\n\r\n");
        Got got;
        got.text = head;
        got.id = got.Header("Request-Id");
        socket.Write(SignedAnswer(got, "early"));
        char buffer[65536];
        ssize_t size;
        while (seen < body.size() &&
               (size = read(socket.fd(), buffer, sizeof(buffer))) > 0) {
            wrong += (size_t)(size - std::count(buffer, buffer + size, 'x'));
            seen += (size_t)size;
        }
        socket.WaitClosed();
    });
    store_.Put("servers/i-0", Listed("desk", early.port()));
    gateway_ = std::make_unique<Gateway>(store_.port());
    ASSERT_TRUE(gateway_->WaitReady());
    std::string answer = gateway_->Ask(Call("/book/1", "a", "", body));
    EXPECT_EQ(StatusOf(answer), 200);
    EXPECT_EQ(wrong, 0U);
}

TEST_F(GatewayTest, EventsAreForwardedAsTheyArrive)
{
    std::atomic<bool> go{false};
    Start({[&go](Socket &socket, const Got &got) {
        socket.Write(StreamHead(got) + Chunk(Event(0)));
        Eventually([&] { return go.load(); });
        return socket.Write(Chunk(Event(1)) + LastChunk());
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/chat/1", "a"));
    EXPECT_NE(ReadUntil(*caller, "piece 0\n\n").find("sig-a"),
              std::string::npos);
    go = true;
    EXPECT_NE(ReadUntil(*caller, "0\r\n\r\n").find("piece 1"),
              std::string::npos);
}

TEST_F(GatewayTest, AResumableStreamGoesOnElsewhereAfterTheLastWholeEvent)
{
    std::atomic<int> runs{0};
    auto script = [&runs](Socket &socket, const Got &got) {
        if (runs++ == 0) {
            socket.Write(StreamHead(got) + Chunk(Event(0)) + Chunk(Event(1)) +
                         Chunk("id: 2\nda"));
            return false;
        }
        EXPECT_EQ(got.Header("Last-Event-Id"), "1");
        return socket.Write(StreamHead(got) + Chunk(Event(2)) +
                            Chunk(Event(3)) + LastChunk());
    };
    Start({script, script});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/chat/1", "a", "Connection: close\r\n"));
    std::string answer = caller->ReadAll();
    std::string events;
    for (int id = 0; id < 4; id++) {
        size_t at = answer.find(Event(id));
        ASSERT_NE(at, std::string::npos) << answer;
        EXPECT_EQ(answer.find("piece " + std::to_string(id)),
                  answer.rfind("piece " + std::to_string(id)));
    }
    EXPECT_TRUE(answer.size() > 5 &&
                answer.substr(answer.size() - 5) == "0\r\n\r\n");
    EXPECT_EQ(runs, 2);
}

TEST_F(GatewayTest, ACutStreamThatMayNotRepeatDoesNotLookComplete)
{
    Start({[](Socket &socket, const Got &got) {
               socket.Write(StreamHead(got) + Chunk(Event(0)) + "5\r\nid");
               return false;
           },
           Answers});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/once/1", "a", "Connection: close\r\n"));
    std::string answer = caller->ReadAll();
    EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos) << answer;
    EXPECT_EQ(Arrivals(), 1);
}

TEST_F(GatewayTest, ACallerThatLeavesEndsWhatMayRepeat)
{
    std::atomic<int> closed{0};
    auto script = [&closed](Socket &socket, const Got &got) {
        if (got.text.find("/chat/") != std::string::npos) {
            socket.Write(StreamHead(got) + Chunk(Event(0)));
        }
        socket.WaitClosed();
        closed++;
        return false;
    };
    Start({script});
    for (const char *path : {"/look/1", "/chat/1", "/once/1"}) {
        int before = closed;
        std::unique_ptr<Socket> caller = gateway_->Open();
        caller->Write(Call(path, "a"));
        ASSERT_TRUE(runners_[0]->WaitCount(before + 1));
        caller.reset();
        EXPECT_TRUE(Eventually([&] { return closed == before + 1; })) << path;
    }
}

TEST_F(GatewayTest, AnUnsafeRequestRunsOnWithoutItsCaller)
{
    std::atomic<bool> go{false};
    std::atomic<bool> written{false};
    Start({[&](Socket &socket, const Got &got) {
        Eventually([&] { return go.load(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        written = Answers(socket, got);
        return written.load();
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(runners_[0]->WaitCount(1));
    caller.reset();
    go = true;
    ASSERT_TRUE(Eventually([&] { return written.load(); }));
    // The connection was not given up: the next request uses it.
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/book/1", "b")), "b"));
    EXPECT_EQ(runners_[0]->connections(), 1);
}

TEST_F(GatewayTest, ARequestGetsItsAnswerAtItsTimeLimit)
{
    Start({[](Socket &socket, const Got &) {
        socket.WaitClosed();
        return false;
    }});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/brief/1", "a"))), 504);
    EXPECT_EQ(runners_[0]->count(), 1);
}

TEST_F(GatewayTest, ASilentUpstreamIsTriedElsewhere)
{
    auto silent = [](Socket &socket, const Got &) {
        socket.WaitClosed();
        return false;
    };
    std::atomic<int> count{0};
    auto script = [&](Socket &socket, const Got &got) {
        return count++ == 0 ? silent(socket, got) : Answers(socket, got);
    };
    Start({script, script});
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "a")), "a"));
}

// With nowhere else to go, a slow answer is better than none.
TEST_F(GatewayTest, ASlowUpstreamIsWaitedForWhereItIsTheOnlyOne)
{
    Start({[](Socket &socket, const Got &got) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        return Answers(socket, got);
    }});
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "a")), "a"));
    EXPECT_EQ(runners_[0]->count(), 1);
}

TEST_F(GatewayTest, DrainingRemovedAndClosedUpstreamsGetNothingNew)
{
    Start({Answers, Answers});
    std::string other = Listed("desk", runners_[1]->port());
    store_.Put("servers/i-0", Listed("desk", runners_[0]->port(), "z1",
                                     "draining", ",\"sequence\":5"));
    ASSERT_TRUE(Eventually([&] {
        return gateway_->Log().find("draining") != std::string::npos;
    }));
    int before = runners_[0]->count();
    for (int i = 0; i < 5; i++) {
        gateway_->Ask(Call("/look/1", "a" + std::to_string(i)));
    }
    EXPECT_EQ(runners_[0]->count(), before);
    store_.Remove("servers/i-1");
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "b"))), 503);
    store_.Put("servers/i-1", other);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 2"));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "c"))), 200);
    store_.Put("op/evacuate/z1", "{}");
    ASSERT_TRUE(Eventually(
        [&] { return StatusOf(gateway_->Ask(Call("/look/1", "d"))) == 503; }));
    store_.Remove("op/evacuate/z1");
    ASSERT_TRUE(Eventually(
        [&] { return StatusOf(gateway_->Ask(Call("/look/1", "e"))) == 200; }));
}

TEST_F(GatewayTest, HomesBindWhereARequestRuns)
{
    Start({Answers});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/north/1", "a"))), 200);
    store_.Put("servers/i-0", Listed("desk", runners_[0]->port(), "s1"));
    ASSERT_TRUE(Eventually([&] {
        return StatusOf(gateway_->Ask(Call("/north/1", "b"))) == 503;
    }));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "c"))), 200);
}

TEST_F(GatewayTest, BrokenEntriesAreSkippedAlone)
{
    Start({Answers});
    store_.Put("servers/broken", "\xff\xfe");
    store_.Put("servers/odd", "{\"service\":5}");
    store_.Put("op/other", "?");
    store_.Put("op/config", "not a configuration");
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_broken_items_total 3"));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "a"))), 200);
}

TEST_F(GatewayTest, AVersionInForceNeverGoesDown)
{
    Start({Answers});
    auto ask = [&](int version) {
        std::string call = Call("/look/1", "a");
        call.replace(call.find("Api-Key: key"), 12,
                     "Api-Key: key-" + std::to_string(version));
        return StatusOf(gateway_->Ask(call));
    };
    store_.Put("op/config", Config(5));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 5"));
    EXPECT_EQ(ask(5), 200);
    EXPECT_EQ(ask(1), 401);
    store_.Put("op/config", Config(4));
    store_.Put("op/evacuate/z2", "{}");
    ASSERT_TRUE(Eventually([&] {
        return gateway_->Log().find("data_centre_closed") != std::string::npos;
    }));
    EXPECT_EQ(ask(4), 401);
    EXPECT_EQ(ask(5), 200);
}

struct StoreCase {
    const char *name;
    StoreMode mode;
};

class StoreTest : public GatewayTest,
                  public testing::WithParamInterface<StoreCase> {};

TEST_P(StoreTest, ServesOnWithoutTheStoreAndCatchesUpAfterwards)
{
    Start({Answers});
    store_.SetMode(GetParam().mode);
    if (GetParam().mode != StoreMode::kLoseOne) {
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_store_up 0"));
    }
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "a"))), 200);
    EXPECT_TRUE(gateway_->Ready());
    store_.Put("op/config", Config(9));
    store_.SetMode(StoreMode::kServe);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 9"));
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_store_up 1"));
}

INSTANTIATE_TEST_SUITE_P(
    Modes, StoreTest,
    testing::Values(StoreCase{"Refuses", StoreMode::kRefuse},
                    StoreCase{"Busy", StoreMode::kBusy},
                    StoreCase{"Resets", StoreMode::kReset},
                    StoreCase{"Silent", StoreMode::kSilent},
                    StoreCase{"LosesAnAnswer", StoreMode::kLoseOne}),
    [](const auto &info) { return std::string(info.param.name); });

TEST_F(GatewayTest, ForgottenHistoryIsReadAnew)
{
    Start({Answers, Answers});
    int before = store_.ranges();
    store_.Remove("servers/i-1");
    store_.Compact();
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
    EXPECT_TRUE(Eventually([&] { return store_.ranges() > before; }));
}

TEST_F(GatewayTest, CallsToTheStoreArePaced)
{
    Start({Answers});
    int before = store_.calls();
    for (int i = 0; i < 200; i++) {
        store_.Put("servers/i-0",
                   Listed("desk", runners_[0]->port(), "z1", "ready",
                          ",\"sequence\":" + std::to_string(i)));
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    EXPECT_LT(store_.calls() - before, 50);
}

TEST_F(GatewayTest, AnAccountOverItsLimitIsToldWhenToComeBack)
{
    Start({Answers});
    std::string call = Call("/look/1", "a");
    call.replace(call.find("Api-Key: key"), 12, "Api-Key: small-key");
    EXPECT_EQ(StatusOf(gateway_->Ask(call)), 200);
    std::string answer = gateway_->Ask(call);
    EXPECT_EQ(StatusOf(answer), 429);
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(runners_[0]->count(), 1);
}

TEST_F(GatewayTest, RequestsSentAheadAreAnsweredInOrder)
{
    Start({Answers});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/look/1", "a", "", "first") +
                  Call("/look/2", "b", "Connection: close\r\n", "second"));
    std::string answers = caller->ReadAll();
    size_t first = answers.find("body of a");
    size_t second = answers.find("body of b");
    ASSERT_NE(first, std::string::npos);
    ASSERT_NE(second, std::string::npos);
    EXPECT_LT(first, second);
    EXPECT_EQ(runners_[0]->request(1).body(), "second");
}

TEST_F(GatewayTest, MalformedRequestsEndTheirConnection)
{
    Start({Answers});
    for (const char *extra :
         {"Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n",
          "Host: b\r\n", "X : 1\r\n", "X: a\r\n b\r\n"}) {
        std::unique_ptr<Socket> caller = gateway_->Open();
        caller->Write(Call("/look/1", "a", extra, "body") +
                      Call("/look/1", "smuggled"));
        std::string answer = caller->ReadAll();
        EXPECT_EQ(StatusOf(answer), 400) << extra;
        EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << extra;
    }
    EXPECT_EQ(runners_[0]->count(), 0);
}

TEST_F(GatewayTest, ASlowHeadIsGivenUp)
{
    Start({Answers});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write("GET /look/1 HTTP/1.1\r\nHost: sh");
    EXPECT_EQ(StatusOf(caller->ReadAll()), 408);
}

TEST_F(GatewayTest, APlannedStopFinishesWhatRuns)
{
    std::atomic<bool> go{false};
    Start({[&go](Socket &socket, const Got &got) {
        Eventually([&] { return go.load(); });
        return Answers(socket, got);
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(runners_[0]->WaitCount(1));
    gateway_->Signal(SIGTERM);
    EXPECT_TRUE(gateway_->WaitReady(false));
    // What arrives while the balancer has not turned away yet is served.
    std::unique_ptr<Socket> late = gateway_->Open();
    late->Write(Call("/book/1", "b"));
    ASSERT_TRUE(runners_[0]->WaitCount(2));
    go = true;
    std::string answer = caller->ReadMessage();
    EXPECT_TRUE(IsHealthy(answer, "a"));
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(IsHealthy(late->ReadMessage(), "b"));
    EXPECT_EQ(gateway_->Wait(), 0);
    EXPECT_NE(gateway_->Log().find("\"event\":\"stopped\""),
              std::string::npos);
}

TEST_F(GatewayTest, AnInstanceWithoutTheStoreLearnsFromItsPeers)
{
    Start({Answers});
    Store dead;
    dead.SetMode(StoreMode::kSilent);
    Gateway cut(dead.port(), "127.0.0.2", gateway_->peers_port(),
                {"127.0.0.1"});
    EXPECT_TRUE(cut.WaitReady());
    EXPECT_TRUE(IsHealthy(cut.Ask(Call("/look/1", "a")), "a"));
    store_.Put("op/config", Config(3));
    EXPECT_TRUE(cut.WaitMetric("boragespur_catalog_version 3"));
    store_.Put("servers/i-0", Listed("desk", runners_[0]->port(), "z1",
                                     "draining", ",\"sequence\":5"));
    EXPECT_TRUE(Eventually(
        [&] { return StatusOf(cut.Ask(Call("/look/1", "b"))) == 503; }));
}

// One gateway reads the store for both.  Once it is lost, the other goes on
// with a connection of its own; that of its start may be long forgotten.
TEST_F(GatewayTest, ANewReaderTrustsNoIdleConnectionToTheStore)
{
    Start({Answers});
    Gateway other(store_.port(), "127.0.0.2", gateway_->peers_port(),
                  {"127.0.0.1"});
    const char *idle = "\"source\":\"others\"";
    Gateway *readers[] = {gateway_.get(), &other};
    ASSERT_TRUE(other.WaitReady());
    ASSERT_TRUE(Eventually([&] {
        return (readers[0]->Log().find(idle) != std::string::npos) !=
               (readers[1]->Log().find(idle) != std::string::npos);
    }));
    bool first = readers[0]->Log().find(idle) == std::string::npos;
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    readers[first ? 0 : 1]->Signal(SIGKILL);
    store_.Put("op/config", Config(7));
    EXPECT_TRUE(
        readers[first ? 1 : 0]->WaitMetric("boragespur_catalog_version 7"));
    EXPECT_EQ(store_.stale_calls(), 0);
}

TEST_F(GatewayTest, PlacesTakenThroughAPeerCount)
{
    std::atomic<bool> go{false};
    Start({[&go](Socket &socket, const Got &got) {
        Eventually([&] { return go.load(); });
        return Answers(socket, got);
    }});
    Gateway second(store_.port(), "127.0.0.2", gateway_->peers_port(),
                   {"127.0.0.1"});
    ASSERT_TRUE(second.WaitReady());
    ASSERT_TRUE(second.WaitMetric("boragespur_instances 2"));
    std::vector<std::unique_ptr<Socket>> callers;
    for (int i = 0; i < 6; i++) {
        // Not repeated elsewhere, so they stay until they are let go.
        callers.push_back(gateway_->Open());
        callers.back()->Write(Call("/book/1", "n" + std::to_string(i)));
    }
    ASSERT_TRUE(runners_[0]->WaitCount(6));
    ASSERT_TRUE(second.WaitMetric("boragespur_places_taken_by_peers 6"));
    EXPECT_EQ(StatusOf(second.Ask(Call("/look/1", "late"))), 503);
    EXPECT_EQ(runners_[0]->count(), 6);
    go = true;
}

TEST_F(GatewayTest, SettingsAreReadAgainWithAndWithoutASignal)
{
    Start({Answers});
    gateway_->ReplaceSettings("retry_ratio: 0.2", "retry_ratio: 0.1");
    EXPECT_TRUE(Eventually([&] {
        return gateway_->Log().find("\"outcome\":\"in force\"") !=
               std::string::npos;
    }));
    gateway_->ReplaceSettings("retry_ratio: 0.1", "retry_ratio: 9");
    gateway_->Signal(SIGHUP);
    EXPECT_TRUE(Eventually([&] {
        return gateway_->Log().find("bounds.retry_ratio: '9' is not valid") !=
               std::string::npos;
    }));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "a"))), 200);
}

// What an engineer does with the id of a failed request: docs/OPERATIONS.md.
struct StoryCase {
    const char *name;
    const char *path;
    Runner::Script script;
    int status;
    const char *tells; // in the story
};

class StoryTest : public GatewayTest,
                  public testing::WithParamInterface<StoryCase> {};

TEST_P(StoryTest, LogsLeadFromARequestToItsCause)
{
    const StoryCase &row = GetParam();
    Start({row.script});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call(row.path, "lost-one"))), row.status);
    std::string story;
    ASSERT_TRUE(Eventually([&] {
        RunProgram(
            {BORAGESPUR, "explain", "--log", gateway_->LogFile(), "lost-one"},
            &story);
        return story.find(row.tells) != std::string::npos;
    })) << story;
    EXPECT_NE(story.find("Look at:"), std::string::npos) << story;
}

INSTANTIATE_TEST_SUITE_P(
    Failures, StoryTest,
    testing::Values(StoryCase{"RefusedUnderLoad", "/book/1", Refuses, 503,
                              "Cause upstream_full:"},
                    StoryCase{"BrokenUpstream", "/book/1",
                              [](Socket &, const Got &) { return false; }, 502,
                              "Cause broke_before_answer:"},
                    StoryCase{"StaleConfiguration", "/newer/1", Answers, 404,
                              "Cause no_route:"},
                    StoryCase{"SlowUpstream", "/brief/1",
                              [](Socket &socket, const Got &) {
                                  socket.WaitClosed();
                                  return false;
                              },
                              504, "Cause expired:"}),
    [](const auto &info) { return std::string(info.param.name); });

TEST_F(GatewayTest, MetricsHaveCountersAndHistograms)
{
    Start({Answers});
    gateway_->Ask(Call("/look/1", "a"));
    std::string text = gateway_->Metrics();
    for (const char *line :
         {"# TYPE boragespur_requests_total counter\n",
          "boragespur_requests_total{route=\"look\",outcome=\"answered\"} "
          "1\n",
          "# TYPE boragespur_request_duration_seconds histogram\n",
          "boragespur_request_duration_seconds_bucket{route=\"look\",le=\""
          "+Inf\"} 1\n",
          "boragespur_request_wait_seconds_count{route=\"look\"} 1\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
}

// The owner's page is written from the metrics of gateways, too.
TEST_F(GatewayTest, TheEveningPageTellsOfTheDay)
{
    std::string page;
    Start({Answers});
    gateway_->Ask(Call("/look/1", "a"));
    gateway_->Ask(Call("/book/1", "b"));
    EXPECT_EQ(RunProgram({BORAGESPUR, "evening", gateway_->admin()}, &page), 0)
        << page;
    for (const char *line :
         {"Today went well.", "1 answers said that it landed",
          "No instance saw a booking or charge run twice.",
          " has counted for 0 h 0 min."}) {
        EXPECT_NE(page.find(line), std::string::npos) << line << page;
    }
}

TEST_F(GatewayTest, TheEveningPageTellsOfUnknownBookings)
{
    std::string page;
    Start({[](Socket &, const Got &) { return false; }});
    gateway_->Ask(Call("/book/1", "b"));
    EXPECT_EQ(RunProgram({BORAGESPUR, "evening", gateway_->admin()}, &page), 1)
        << page;
    EXPECT_NE(page.find("1 answers about bookings or charges"),
              std::string::npos)
        << page;
}

// One that cannot be asked is named, and nothing is claimed for it.
TEST_F(GatewayTest, TheEveningPageNamesWhoCouldNotBeAsked)
{
    std::string page;
    Start({Refuses});
    gateway_->Ask(Call("/book/1", "b"));
    RunProgram({BORAGESPUR, "evening", gateway_->admin() + ",127.0.0.1:1"},
               &page);
    EXPECT_NE(page.find("127.0.0.1:1 could not be asked"), std::string::npos)
        << page;
    EXPECT_NE(page.find("1 said that it did not run"), std::string::npos)
        << page;
}

TEST_F(GatewayTest, ABadSettingsFileEndsTheProcessWithOneLine)
{
    gateway_ = std::make_unique<Gateway>(store_.port());
    std::string output;
    EXPECT_EQ(RunProgram({BORAGESPUR_GATEWAY, "/nonexistent.yaml"}, &output),
              2);
    EXPECT_NE(output.find("name one"), std::string::npos);
    EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1);
}

} // namespace
