// Statuses that promise callers that a request has not run, and never will:
// 503, 429, 408 and 421.  Upstreams here begin to run what they get, and
// answer late, wrongly or not at all, on real sockets.
#include "gateway_fixture.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

namespace {

bool
PromisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

// Upstreams that read and answer as a handler says, and count what they run.
class RefusedTest : public GatewayTest {
  protected:
    using Handler = std::function<void(Socket &)>;
    ~RefusedTest() override
    {
        go_ = true;
        gateway_.reset();
        servers_.clear();
    }
    void StartServers(const std::vector<Handler> &handlers)
    {
        store_.Put("op/config", Config(1));
        for (const Handler &handler : handlers) {
            servers_.push_back(std::make_unique<Server>(handler));
            List(servers_.size() - 1);
        }
        gateway_ = std::make_unique<Gateway>(store_.port());
        ASSERT_TRUE(gateway_->WaitReady());
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams " +
                                         std::to_string(handlers.size())));
        WaitForRepeats();
    }
    void List(size_t index, const std::string &extra = "")
    {
        store_.Put(
            "servers/" + Name(index),
            Listed("desk", servers_[index]->port(), "z1", "ready", extra));
    }
    // Reads the head of a request only.
    static ReceivedRequest ReadHead(Socket &socket)
    {
        ReceivedRequest got;
        got.text = ReadUntil(socket, "\r\n\r\n");
        got.id = got.Header("Request-Id");
        return got;
    }
    // Reads a whole request; its id is "" when the connection ends first.
    static ReceivedRequest Read(Socket &socket)
    {
        ReceivedRequest got;
        got.text = socket.ReadMessage();
        got.id = got.Header("Request-Id");
        return got;
    }
    void Run(const ReceivedRequest &got)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        runs_[got.id]++;
    }
    int Runs(const std::string &id)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return runs_[id];
    }
    bool WaitGo()
    {
        return Eventually([this] { return go_.load(); });
    }
    // Answers requests "warm..." and keeps the connection.  Returns the first
    // other one, whose id is "" when the connection ends before; KEPT tells
    // whether an answer was given before it.
    static ReceivedRequest ReadAfterWarm(Socket &socket, bool *kept)
    {
        ReceivedRequest got = Read(socket);
        *kept = false;
        while (got.id.compare(0, 4, "warm") == 0 && Answers(socket, got)) {
            *kept = true;
            got = Read(socket);
        }
        return got;
    }

    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::vector<std::unique_ptr<Server>> servers_;
};

// What an upstream writes, before it closes the connection, after it began to
// run a request; "ID" is the request's id.
struct AnswerCase {
    const char *name;
    const char *answer;
    int status; // for the caller
    const char *path = "/book/1";
};

const char kMarked[] = "Not-Executed: 1\r\n";

const AnswerCase kAnswers[] = {
    {"Nothing", "", 502},
    {"PartOfARefusal", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: I",
     502},
    {"HeadWithoutItsEnd",
     "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n", 502},
    {"UnavailableUnmarked",
     "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n", 502},
    {"TimeoutUnmarked",
     "HTTP/1.1 408 X\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n", 502},
    {"TooManyUnmarked",
     "HTTP/1.1 429 X\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n", 502},
    {"RefusalOfAnother",
     "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: other\r\n"
     "Content-Length: 0\r\n\r\n",
     502},
    {"MisdirectedOfAnother",
     "HTTP/1.1 421 X\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", 502},
    {"InterimMarked",
     "HTTP/1.1 102 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n\r\n", 502},
    {"InterimMarkedThenSuccess",
     "HTTP/1.1 100 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n\r\n"
     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
     "Content-Length: 2\r\n\r\nok",
     200},
};

class RefusedAnswerTest : public RefusedTest,
                          public testing::WithParamInterface<AnswerCase> {
  protected:
    static std::string WithIds(std::string text, const std::string &id)
    {
        for (size_t at; (at = text.find(" ID\r\n")) != std::string::npos;) {
            text.replace(at + 1, 2, id);
        }
        return text;
    }
    void Play()
    {
        Handler handler = [this](Socket &socket) {
            ReceivedRequest got = Read(socket);
            if (!got.id.empty()) {
                Run(got);
                socket.Write(WithIds(GetParam().answer, got.id));
            }
        };
        StartServers({handler, handler});
        EXPECT_EQ(StatusOf(gateway_->Ask(Call(GetParam().path, "a"))),
                  GetParam().status);
        EXPECT_EQ(Runs("a"), 1);
    }
};

// Guards against a request that runs and is reported as not run, or is sent
// once more, because of what its upstream has answered.
TEST_P(RefusedAnswerTest, IsNotTakenForNotRun)
{
    Play();
}

INSTANTIATE_TEST_SUITE_P(Answers, RefusedAnswerTest,
                         testing::ValuesIn(kAnswers), [](const auto &info) {
                             return std::string(info.param.name);
                         });

// A status by which no upstream refuses, with the mark of a refusal: one of
// the two is wrong.
class RefusedContradictionTest : public RefusedAnswerTest {};

const AnswerCase kContradictions[] = {
    {"Success",
     "HTTP/1.1 200 OK\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
     502},
    {"Events",
     "HTTP/1.1 200 OK\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
     "Content-Length: 22\r\n\r\nid: 0\ndata: piece 0\n\n\n",
     502, "/once/1"},
    {"Error",
     "HTTP/1.1 500 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
     502},
    {"Timeout",
     "HTTP/1.1 504 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
     502},
};

// Guards against a request that ran and is sent once more, or reported as not
// run, as its answer has the mark of a refusal beside another status.
TEST_P(RefusedContradictionTest, IsNotTakenForNotRun)
{
    Play();
}

INSTANTIATE_TEST_SUITE_P(Answers, RefusedContradictionTest,
                         testing::ValuesIn(kContradictions),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// A refusal by an upstream that has not run the request.
class RefusedTrulyTest : public RefusedAnswerTest {};

const AnswerCase kRefusals[] = {
    {"Full",
     "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Content-Length: 0\r\n\r\n",
     503},
    {"WithoutIdOnANewConnection",
     "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503},
    {"TooManyBrokenOff",
     "HTTP/1.1 429 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Content-Length: 20\r\n\r\nwait",
     503},
    {"MisdirectedBrokenOff",
     "HTTP/1.1 421 X\r\nRequest-Id: ID\r\nContent-Length: 20\r\n\r\nwrong",
     503},
    {"FullChunkedBrokenOff",
     "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Transfer-Encoding: chunked\r\n\r\n5\r\nwa",
     503},
    {"AfterInterims",
     "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 102 X\r\n\r\n"
     "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Content-Length: 0\r\n\r\n",
     503},
    {"BadRequest",
     "HTTP/1.1 400 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n"
     "Content-Length: 0\r\n\r\n",
     503},
};

// Guards against refusals that are not believed, and against a request that
// runs after its caller was told that it has not run.
TEST_P(RefusedTrulyTest, IsToldAndNothingRunsAfterIt)
{
    std::atomic<int> refused{0};
    Handler handler = [&](Socket &socket) {
        ReceivedRequest got = Read(socket);
        if (got.id.empty()) {
            return;
        }
        if (go_) {
            Run(got);
        }
        refused++;
        socket.Write(WithIds(GetParam().answer, got.id));
    };
    StartServers({handler, handler});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call(GetParam().path, "a"))),
              GetParam().status);
    go_ = true;
    EXPECT_GE(refused, 1);
    gateway_->Signal(SIGTERM);
    EXPECT_EQ(gateway_->Wait(), 0);
    servers_.clear(); /* waits for what was sent */
    EXPECT_EQ(Runs("a"), 0);
}

INSTANTIATE_TEST_SUITE_P(Answers, RefusedTrulyTest,
                         testing::ValuesIn(kRefusals), [](const auto &info) {
                             return std::string(info.param.name);
                         });

// What an upstream does with a request on a connection that has had an answer.
struct KeptCase {
    const char *name;
    const char *stray; // written before the answer; "": nothing
    bool answers;      // writes the answer after it
    bool resets;       // ends the connection with a reset
};

class RefusedKeptTest : public RefusedTest,
                        public testing::WithParamInterface<KeptCase> {
  protected:
    void Play()
    {
        std::atomic<int> kept_runs{0};
        Handler handler = [&](Socket &socket) {
            bool kept;
            ReceivedRequest got = ReadAfterWarm(socket, &kept);
            if (got.id.empty()) {
                return;
            }
            kept_runs += kept;
            Run(got);
            if (!kept) {
                Answers(socket, got);
                return;
            }
            socket.Write(GetParam().stray);
            if (GetParam().answers) {
                Answers(socket, got);
            }
            if (GetParam().resets) {
                socket.Reset();
            }
        };
        StartServers({handler});
        /* A slow machine may let the kept connection go unused. */
        for (int i = 0; i < 10 && kept_runs == 0; i++) {
            std::string id = "a" + std::to_string(i);
            gateway_->Ask(Call("/look/1", "warm" + id));
            int status = StatusOf(gateway_->Ask(Call("/book/1", id)));
            EXPECT_FALSE(PromisesNotRun(status)) << status;
            EXPECT_EQ(Runs(id), 1);
        }
        EXPECT_EQ(kept_runs, 1);
    }
};

const KeptCase kKept[] = {
    {"Closes", "", false, false},
    {"Resets", "", false, true},
    {"ResetsInARefusal", "HTTP/1.1 503 Full\r\nNot-Exe", false, true},
    {"RefusesAnother",
     "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: other\r\n"
     "Content-Length: 0\r\n\r\n",
     true, false},
};

// Guards against a request that is sent on a kept connection, runs, and is
// sent once more or reported as not run.
TEST_P(RefusedKeptTest, IsNotTakenForNotRun)
{
    Play();
}

INSTANTIATE_TEST_SUITE_P(Ends, RefusedKeptTest, testing::ValuesIn(kKept),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

class RefusedUnnamedTest : public RefusedKeptTest {};

const KeptCase kUnnamed[] = {
    {"Full", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
     true, false},
    {"TooMany",
     "HTTP/1.1 429 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", true,
     false},
    {"Misdirected", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", true,
     false},
    {"BadRequest",
     "HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", true,
     false},
    {"BrokenOff",
     "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\nwa", false,
     true},
};

// Guards against a stray refusal without an id on a kept connection that is
// taken for the answer to the request there, which runs.
TEST_P(RefusedUnnamedTest, IsNotTakenForNotRun)
{
    Play();
}

INSTANTIATE_TEST_SUITE_P(Strays, RefusedUnnamedTest,
                         testing::ValuesIn(kUnnamed), [](const auto &info) {
                             return std::string(info.param.name);
                         });

// What an upstream does that has read the head of a long request only.
struct PartCase {
    const char *name;
    const char *answer;
    bool resets;
};

const PartCase kParts[] = {
    {"Closes", "", false},
    {"Resets", "", true},
    {"ClosesInARefusal", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n", false},
    {"ResetsAfterAnUnmarked503",
     "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", true},
};

class RefusedPartTest : public RefusedTest,
                        public testing::WithParamInterface<PartCase> {};

// Guards against a request that an upstream has begun to run before all of it
// was written, and that is sent once more or reported as not run.
TEST_P(RefusedPartTest, IsNotTakenForNotRun)
{
    Handler handler = [this](Socket &socket) {
        ReceivedRequest got = ReadHead(socket);
        if (got.id.empty()) {
            return;
        }
        Run(got);
        socket.Write(GetParam().answer);
        if (GetParam().resets) {
            socket.Reset();
        }
    };
    StartServers({handler, handler});
    const std::string body(1900000, 'x');
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/book/1", "a", "", body))), 502);
    EXPECT_EQ(Runs("a"), 1);
}

INSTANTIATE_TEST_SUITE_P(Ends, RefusedPartTest, testing::ValuesIn(kParts),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// Guards against a request that its upstream reads and runs after its caller
// was told that it has not run.
TEST_F(RefusedTest, ARequestThatIsReadAfterItsTimeIsNotReportedAsNotRun)
{
    Handler handler = [this](Socket &socket) {
        if (WaitGo()) {
            ReceivedRequest got = Read(socket);
            Run(got);
            Answers(socket, got);
        }
    };
    StartServers({handler});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/brief/1", "a"))), 504);
    go_ = true;
    EXPECT_TRUE(Eventually([this] { return Runs("a") == 1; }));
}

// Guards against a false "not run" when the time of a request ends while its
// upstream runs it, also after a refusal.
TEST_F(RefusedTest, ARequestThatIsRefusedAndThenRunsLateIsNotReportedAsNotRun)
{
    std::atomic<int> arrived{0};
    Handler handler = [&](Socket &socket) {
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            if (arrived++ == 0) {
                socket.Write(WithId("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
                                    "Content-Length: 0\r\nRequest-Id: ID\r\n"
                                    "\r\n",
                                    got));
                continue;
            }
            Run(got);
            WaitGo();
            Answers(socket, got);
        }
    };
    StartServers({handler});
    int status = StatusOf(gateway_->Ask(Call("/book/1", "a")));
    go_ = true;
    EXPECT_EQ(status, 504);
    EXPECT_EQ(Runs("a"), 1);
}

// How often an upstream refuses a request before it runs it.
class RefusedCopyTest : public RefusedTest,
                        public testing::WithParamInterface<int> {};

// Guards against a late copy of a refusal that costs one more repeat or, when
// no more are allowed, ends as a false "not run", while the request runs.
TEST_P(RefusedCopyTest, IsNotBelievedWhileTheRequestRuns)
{
    std::atomic<int> arrived{0};
    const std::string refusal =
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
        "Request-Id: ID\r\n\r\n";
    Handler handler = [&](Socket &socket) {
        bool refused = false;
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            if (arrived++ < GetParam()) {
                refused = true;
                socket.Write(WithId(refusal, got));
                continue;
            }
            Run(got);
            if (refused) {
                refused = false;
                socket.Write(WithId(refusal, got));
            }
            WaitGo();
            Answers(socket, got);
        }
    };
    StartServers({handler});
    int status = StatusOf(gateway_->Ask(Call("/book/1", "a")));
    EXPECT_EQ(status, 504);
    go_ = true;
    gateway_.reset();
    servers_.clear(); /* waits for what was sent */
    EXPECT_EQ(arrived, GetParam() + 1) << "sent again while it ran";
    EXPECT_EQ(Runs("a"), 1);
}

INSTANTIATE_TEST_SUITE_P(Refusals, RefusedCopyTest, testing::Values(1, 3));

// Guards against a false "not run" of a process that was suspended, and finds
// a refusal, the end of its connection and the end of the request's time at
// once.
TEST_F(RefusedTest, ASuspendedGatewayDoesNotSendARequestItReportsAsNotRun)
{
    std::atomic<int> arrived{0};
    Handler handler = [&](Socket &socket) {
        ReceivedRequest got = Read(socket);
        if (got.id.empty()) {
            return;
        }
        if (arrived++ > 0) {
            Run(got);
            socket.WaitClosed();
            return;
        }
        Eventually([&] { return kept_ == 1; }); /* suspended */
        socket.Write(WithId("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
                            "Content-Length: 0\r\nRequest-Id: ID\r\n\r\n",
                            got));
        kept_ = 2;
    };
    StartServers({handler});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/brief/1", "a"));
    ASSERT_TRUE(Eventually([&] { return arrived == 1; }));
    gateway_->Signal(SIGSTOP);
    kept_ = 1;
    ASSERT_TRUE(Eventually([&] { return kept_ == 2; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    gateway_->Signal(SIGCONT);
    int status = StatusOf(caller->ReadMessage());
    EXPECT_NE(status, 0);
    gateway_->Signal(SIGTERM);
    EXPECT_EQ(gateway_->Wait(), 0);
    servers_.clear(); /* waits for what was sent */
    EXPECT_LE(Runs("a"), PromisesNotRun(status) ? 0 : 1) << status;
}

// Guards against a request that is sent on a connection which has ended while
// the gateway was suspended, and is reported as not run or lost.
TEST_F(RefusedTest, AConnectionThatEndsBesideASuspensionIsNotUsed)
{
    Handler handler = [this](Socket &socket) {
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            if (got.id.compare(0, 4, "warm") != 0) {
                Run(got);
            }
            Answers(socket, got);
            if (got.id == "warm-a" || got.id == "warm-b") {
                Eventually([this] { return kept_ == 1; }); /* suspended */
                got.id == "warm-a" ? socket.Reset() : socket.CloseWrite();
                kept_ = 2;
                return;
            }
        }
    };
    StartServers({handler});
    for (const std::string &id : {std::string("a"), std::string("b")}) {
        kept_ = 0;
        std::unique_ptr<Socket> caller = gateway_->Open();
        EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "warm-" + id)),
                              "warm-" + id));
        gateway_->Signal(SIGSTOP);
        kept_ = 1;
        EXPECT_TRUE(Eventually([this] { return kept_ == 2; }));
        caller->Write(Call("/book/1", id));
        gateway_->Signal(SIGCONT);
        EXPECT_TRUE(IsHealthy(caller->ReadMessage(), id));
        EXPECT_EQ(Runs(id), 1);
    }
}

// Guards against a false "not run" at the end of a stop.
TEST_F(RefusedTest, ARequestAtItsUpstreamAtTheEndOfAStopIsNotReportedAsNotRun)
{
    Handler handler = [this](Socket &socket) {
        ReceivedRequest got = Read(socket);
        if (!got.id.empty()) {
            Run(got);
            socket.WaitClosed();
        }
    };
    StartServers({handler});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(Eventually([this] { return Runs("a") == 1; }));
    gateway_->Signal(SIGTERM);
    int status = StatusOf(caller->ReadMessage());
    EXPECT_TRUE(status == 502 || status == 504) << status;
    EXPECT_EQ(Runs("a"), 1);
}

// Guards against a queued request that is sent after its caller was told that
// it has not run.
TEST_F(RefusedTest, ARequestWithoutASlotIsNotSentAfterItsRefusal)
{
    Handler handler = [this](Socket &socket) {
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            Run(got);
            WaitGo();
            Answers(socket, got);
        }
    };
    StartServers({handler});
    std::vector<std::unique_ptr<Socket>> callers;
    for (int i = 0; i < 6; i++) { /* all slots */
        callers.push_back(gateway_->Open());
        callers.back()->Write(Call("/book/1", "b" + std::to_string(i)));
    }
    ASSERT_TRUE(Eventually([this] {
        std::lock_guard<std::mutex> lock(mutex_);
        return runs_.size() == 6;
    }));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/brief/1", "a"))), 503);
    go_ = true;
    for (auto &caller : callers) {
        EXPECT_NE(StatusOf(caller->ReadMessage()), 0);
    }
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "c")), "c"));
    EXPECT_EQ(Runs("a"), 0);
}

// Guards against a part of a request that is sent although its caller gets
// 408, beside one before it on the connection that runs.
TEST_F(RefusedTest, ARequestThatStopsMidwayIsNotSent)
{
    Handler handler = [this](Socket &socket) {
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            Run(got);
            Answers(socket, got);
        }
    };
    StartServers({handler});
    std::unique_ptr<Socket> caller = gateway_->Open();
    std::string second = Call("/book/1", "b");
    caller->Write(Call("/book/1", "a") + second.substr(0, second.size() - 2));
    EXPECT_TRUE(IsHealthy(caller->ReadMessage(), "a"));
    EXPECT_EQ(StatusOf(caller->ReadAll()), 408);
    caller->Write(second.substr(second.size() - 2));
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "c")), "c"));
    EXPECT_EQ(Runs("a"), 1);
    EXPECT_EQ(Runs("b"), 0);
}

// Guards against a request over an account's limit that is sent all the same.
TEST_F(RefusedTest, ARequestOverItsLimitIsNotSent)
{
    Handler handler = [this](Socket &socket) {
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            Run(got);
            Answers(socket, got);
        }
    };
    StartServers({handler});
    int refused = 0;
    for (int i = 0; i < 8; i++) {
        std::string id = "a" + std::to_string(i);
        std::string call = Call("/book/1", id, "Token-Usage: 60000,60000\r\n");
        call.replace(call.find("Api-Key: key"), 12, "Api-Key: small-key");
        int status = StatusOf(gateway_->Ask(call));
        refused += status == 429;
        EXPECT_EQ(Runs(id), PromisesNotRun(status) ? 0 : 1) << status;
    }
    EXPECT_GT(refused, 0);
}

// Guards against a false "not run" of a request whose first upstream is silent
// and may still run it, while the second one refuses it.
TEST_F(RefusedTest, ARefusalBesideASilentUpstreamIsNotReportedAsNotRun)
{
    std::atomic<int> arrived{0};
    Handler handler = [&](Socket &socket) {
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            if (arrived++ == 0) {
                Run(got);
                socket.WaitClosed();
                return;
            }
            socket.Write(WithId("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
                                "Content-Length: 0\r\nRequest-Id: ID\r\n\r\n",
                                got));
        }
    };
    StartServers({handler, handler});
    int status = StatusOf(gateway_->Ask(Call("/look/1", "a")));
    EXPECT_TRUE(status == 502 || status == 504) << status;
    EXPECT_GE(arrived, 2);
}

// Guards against a copy of a refusal that is taken for a second one, as the
// upstream's entry names another start in between.
class RefusedRestartTest : public RefusedTest {};

TEST_F(RefusedRestartTest, ACopyOfARefusalIsNotBelievedAfterANewEntry)
{
    std::atomic<int> arrived{0};
    std::atomic<int> runs{0};
    const std::string refusal =
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 1\r\n"
        "Content-Length: 0\r\nRequest-Id: ID\r\n\r\n";
    Handler handler = [&](Socket &socket) {
        bool refused = false;
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            if (arrived++ == 0) {
                refused = true;
                socket.Write(WithId(refusal, got));
                continue;
            }
            runs++;
            if (refused) {
                socket.Write(WithId(refusal, got));
            }
            Answers(socket, got);
        }
    };
    StartServers({handler});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(Eventually([&] { return arrived > 0; }));
    List(0, ",\"born\":1700000000000");
    int status = StatusOf(caller->ReadMessage());
    EXPECT_LE(runs, PromisesNotRun(status) ? 0 : 1) << status;
}

// Guards against a copy of a refusal that is taken for the answer to a request
// that its caller has sent again under the same id.
class RefusedSameIdTest : public RefusedTest {};

TEST_F(RefusedSameIdTest, ACopyOfARefusalIsNotBelieved)
{
    std::atomic<bool> runs_now{false};
    const std::string refusal =
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
        "Request-Id: ID\r\n\r\n";
    Handler handler = [&](Socket &socket) {
        bool refused = false;
        for (ReceivedRequest got; !(got = Read(socket)).id.empty();) {
            if (!runs_now) {
                refused = true;
                socket.Write(WithId(refusal, got));
                continue;
            }
            Run(got);
            if (refused) {
                socket.Write(WithId(refusal, got));
            }
            Answers(socket, got);
        }
    };
    StartServers({handler});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/book/1", "a"))), 503);
    runs_now = true;
    int status = StatusOf(gateway_->Ask(Call("/book/1", "a")));
    EXPECT_LE(Runs("a"), PromisesNotRun(status) ? 0 : 1) << status;
}

// Guards against a request that runs at more upstreams than its route allows,
// as a refusal that is none gives an attempt back.
class RefusedAttemptsTest : public RefusedTest {};

TEST_F(RefusedAttemptsTest, AStrayRefusalGivesNoAttemptBack)
{
    std::atomic<int> kept_runs{0};
    Handler handler = [&](Socket &socket) {
        bool kept;
        ReceivedRequest got = ReadAfterWarm(socket, &kept);
        if (got.id.empty()) {
            return;
        }
        kept_runs += kept;
        Run(got);
        if (kept) {
            socket.Write("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
        }
    };
    StartServers({handler, handler, handler, handler});
    for (int i = 0; i < 5 && kept_runs == 0; i++) {
        std::vector<std::unique_ptr<Socket>> callers;
        for (int j = 0; j < 12; j++) {
            callers.push_back(gateway_->Open());
            callers.back()->Write(
                Call("/look/1", "warm" + std::to_string(i * 12 + j)));
        }
        for (auto &caller : callers) {
            EXPECT_NE(StatusOf(caller->ReadMessage()), 0);
        }
        std::string id = "a" + std::to_string(i);
        gateway_->Ask(Call("/look/1", id));
        EXPECT_LE(Runs(id), 2);
    }
    EXPECT_GT(kept_runs, 0);
}

} // namespace
