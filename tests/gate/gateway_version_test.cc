// Streams and the software versions of upstreams: one goes on only at the
// version that began it, in one answer and over a caller's requests.
#include "gateway_fixture.h"

#include <atomic>

namespace {

const int kEvents = 5;

// The events a caller has when the upstream breaks off or the gateway ends.
const int kFirstPart = 2;

std::string
VersionEvent(const std::string &version, int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + version + " wrote " +
           std::to_string(id) + "\n\n";
}

// Events FIRST up to END.
std::string
VersionEvents(const std::string &version, int first, int end)
{
    std::string text;
    for (int id = first; id < end; id++) {
        text += VersionEvent(version, id);
    }
    return text;
}

// What an upstream does after the first part of a stream.
enum class After {
    kGoOn,
    kWait,  // until go_, then the connection breaks off
    kPause, // until go_, then it goes on
};

class VersionTest : public ThreeGatewaysTest {
  protected:
    // An upstream that runs streams from the start with AFTER, and those that
    // are resumed to their end.  It is not listed.
    size_t Add(const std::string &version, After after = After::kGoOn)
    {
        runners_.push_back(std::make_unique<Runner>(
            [this, version, after](Socket &socket,
                                   const ReceivedRequest &got) {
                std::string last = got.Header("Last-Event-Id");
                int first = last.empty() ? 0 : atoi(last.c_str()) + 1;
                socket.Write(StreamHead(got));
                if (last.empty() && after != After::kGoOn) {
                    socket.Write(Chunk(VersionEvents(version, 0, kFirstPart)));
                    first = kFirstPart;
                    Eventually([&] { return go_.load(); });
                    if (after == After::kWait) {
                        return false;
                    }
                }
                return socket.Write(
                    Chunk(VersionEvents(version, first, kEvents)) +
                    LastChunk());
            }));
        return runners_.size() - 1;
    }
    // An upstream that sends nothing until go_.
    size_t AddSilent(const std::string &version)
    {
        runners_.push_back(std::make_unique<Runner>(
            [this, version](Socket &socket, const ReceivedRequest &got) {
                Eventually([&] { return go_.load(); });
                return socket.Write(StreamHead(got) +
                                    Chunk(VersionEvents(version, 0, kEvents)) +
                                    LastChunk());
            }));
        return runners_.size() - 1;
    }
    void List(size_t index, const std::string &version,
              const std::string &extra = "",
              const std::string &state = "ready")
    {
        store_.Put("servers/" + Name(index),
                   Listed("desk", runners_[index]->port(), "z1", state,
                          ",\"version\":\"" + version + "\"" + extra));
    }
    void Unlist(size_t index)
    {
        store_.Remove("servers/" + Name(index));
    }
    // The configuration, with no account limited and streams that last
    // TIMEOUT_MS at most.
    static std::string VersionConfig(int timeout_ms = 8000)
    {
        std::string config = Config(1);
        auto replace = [&](const std::string &from, const std::string &to) {
            config.replace(config.find(from), from.size(), to);
        };
        replace("\"timeout-ms\":8000,\"resumable\"",
                "\"timeout-ms\":" + std::to_string(timeout_ms) +
                    ",\"resumable\"");
        replace("\"rate-per-s\":1,\"burst\":5",
                "\"rate-per-s\":0,\"burst\":0");
        return config;
    }
    void StartOne()
    {
        store_.Put("op/config", VersionConfig());
        gateway_ = std::make_unique<Gateway>(store_.port());
        instances_ = {gateway_.get()};
        ASSERT_TRUE(gateway_->WaitReady());
    }
    void StartFleet(const std::string &config = VersionConfig())
    {
        store_.Put("op/config", config);
        gateway_ = std::make_unique<Gateway>(
            store_.port(), "127.0.0.1", FreePort(),
            std::vector<std::string>{"127.0.0.1", "127.0.0.2"});
        second_ = std::make_unique<Gateway>(
            store_.port(), "127.0.0.2", gateway_->peers_port(),
            std::vector<std::string>{"127.0.0.1", "127.0.0.2"});
        third_ = std::make_unique<Gateway>(
            store_.port(), "127.0.0.3", gateway_->peers_port(),
            std::vector<std::string>{"127.0.0.1", "127.0.0.2"});
        instances_ = {gateway_.get(), second_.get(), third_.get()};
        for (Gateway *instance : instances_) {
            ASSERT_TRUE(instance->WaitReady());
            ASSERT_TRUE(instance->WaitMetric("boragespur_instances 3"));
        }
    }
    // Kills all gateways at once and starts others on their addresses.
    void StartFleetAgain(const std::string &config = VersionConfig())
    {
        for (Gateway *instance : instances_) {
            instance->Signal(SIGKILL);
        }
        for (Gateway *instance : instances_) {
            instance->Wait();
        }
        StartFleet(config);
    }
    void WaitListed(size_t count)
    {
        for (Gateway *instance : instances_) {
            ASSERT_TRUE(instance->WaitMetric("boragespur_upstreams " +
                                             std::to_string(count)));
        }
    }
    // Waits until an instance has LISTED as a part of its log.
    static bool WaitLogged(Gateway &gateway, const std::string &text)
    {
        return Eventually(
            [&] { return gateway.Log().find(text) != std::string::npos; });
    }
    // Sends a request that begins the stream ID at GATEWAY, and waits for the
    // first part of it from VERSION.
    std::unique_ptr<Socket> Begin(Gateway &gateway, const std::string &id,
                                  const std::string &version)
    {
        std::unique_ptr<Socket> caller = gateway.Open();
        caller->Write(Call("/chat/1", id, "Connection: close\r\n"));
        std::string first = VersionEvent(version, kFirstPart - 1);
        read_ = ReadUntil(*caller, first);
        EXPECT_NE(read_.find(first), std::string::npos) << read_;
        return caller;
    }
    // Takes the stream STREAM up at GATEWAY, as the request ID.
    static std::string TakeUp(Gateway &gateway, const std::string &id,
                              const std::string &stream,
                              const std::string &key = "key")
    {
        std::string call =
            Call("/chat/1", id,
                 "Connection: close\r\nLast-Event-Id: " +
                     std::to_string(kFirstPart - 1) + "\r\n" +
                     (stream.empty() ? "" : "Resumes: " + stream + "\r\n"));
        call.replace(call.find("Api-Key: key"), 12, "Api-Key: " + key);
        std::unique_ptr<Socket> caller = gateway.Open();
        caller->Write(call);
        return caller->ReadAll();
    }
    static void ExpectRest(const std::string &answer,
                           const std::string &version)
    {
        bool complete;
        EXPECT_EQ(StatusOf(answer), 200) << answer;
        EXPECT_EQ(Dechunk(answer, &complete),
                  VersionEvents(version, kFirstPart, kEvents))
            << answer;
        EXPECT_TRUE(complete) << answer;
    }
    // Expects that ANSWER says truthfully that the request was not sent.
    void ExpectNotSent(const std::string &answer, int arrivals_before)
    {
        EXPECT_EQ(StatusOf(answer), 503) << answer;
        EXPECT_EQ(Arrivals(), arrivals_before);
    }
    void TearDown() override
    {
        go_ = true;
        instances_.clear();
        third_.reset();
        second_.reset();
        gateway_.reset();
        runners_.clear();
    }

    std::string read_;
};

// ------------------------------------------------------- within an answer --

class VersionAnswerTest : public VersionTest {};

// Guards against an answer that goes on at another version when its upstream
// breaks off, while an upstream of its version is listed, too.
TEST_F(VersionAnswerTest, GoesOnAtTheVersionThatBeganIt)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2");
    size_t same = Add("v1");
    List(began, "v1");
    StartOne();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2");
    List(same, "v1");
    WaitListed(3);
    go_ = true;
    std::string answer = read_ + caller->ReadAll();
    bool complete;
    EXPECT_EQ(Dechunk(answer, &complete), VersionEvents("v1", 0, kEvents));
    EXPECT_TRUE(complete) << answer;
    EXPECT_EQ(runners_[other]->count(), 0);
    EXPECT_EQ(runners_[same]->count(), 1);
}

// Guards against an answer that goes on at another version when no upstream of
// its own is left: it must be cut.
TEST_F(VersionAnswerTest, IsCutWhenNoUpstreamOfItsVersionIsLeft)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2");
    List(began, "v1");
    StartOne();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2");
    WaitListed(2);
    go_ = true;
    std::string answer = read_ + caller->ReadAll();
    bool complete;
    EXPECT_EQ(Dechunk(answer, &complete), VersionEvents("v1", 0, kFirstPart));
    EXPECT_FALSE(complete) << answer;
    EXPECT_EQ(runners_[other]->count(), 0);
}

// Guards against an answer that goes by the version that an entry has now
// instead of the one it had when the request was sent.
TEST_F(VersionAnswerTest, GoesByTheVersionAtItsSend)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2");
    size_t same = Add("v1");
    List(began, "v1");
    StartOne();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(began, "v2", ",\"born\":1700000000000");
    List(other, "v2");
    List(same, "v1");
    WaitListed(3);
    go_ = true;
    std::string answer = read_ + caller->ReadAll();
    bool complete;
    EXPECT_EQ(Dechunk(answer, &complete), VersionEvents("v1", 0, kEvents));
    EXPECT_TRUE(complete) << answer;
    EXPECT_EQ(runners_[other]->count(), 0);
}

// Guards against an answer that goes on at the version its upstream had before
// it started again under its id: it began between that start and the moment at
// which the gateway read the new entry, so either version may have begun it
// (review/7).  Another answer of that time, whose upstream did not start
// again, goes on.
TEST_F(VersionAnswerTest, IsCutWhenItsUpstreamStartedAgainBeforeItWasSent)
{
    size_t again = Add("v2", After::kWait);
    size_t same = Add("v1", After::kWait);
    size_t last = Add("v1");
    List(same, "v1", ",\"born\":1000");
    StartOne();
    WaitListed(1);
    std::unique_ptr<Socket> other = Begin(*gateway_, "b", "v1");
    std::string read = read_;
    List(same, "v1", ",\"born\":1000", "draining");
    List(again, "v1", ",\"born\":1000");
    WaitListed(2);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v2");
    List(again, "v2", ",\"born\":2000");
    List(last, "v1", ",\"born\":1000");
    WaitListed(3);
    go_ = true;
    std::string answer = read_ + caller->ReadAll();
    bool complete;
    EXPECT_EQ(Dechunk(answer, &complete), VersionEvents("v2", 0, kFirstPart));
    EXPECT_FALSE(complete) << answer;
    answer = read + other->ReadAll();
    EXPECT_EQ(Dechunk(answer, &complete), VersionEvents("v1", 0, kEvents));
    EXPECT_TRUE(complete) << answer;
}

// Guards against entries without a version that are taken for upstreams of any
// version.
TEST_F(VersionAnswerTest, AnEntryWithoutAVersionIsOfAnotherOne)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("none");
    List(began, "v1");
    StartOne();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    store_.Put("servers/" + Name(other),
               Listed("desk", runners_[other]->port()));
    WaitListed(2);
    go_ = true;
    std::string answer = read_ + caller->ReadAll();
    bool complete;
    EXPECT_EQ(Dechunk(answer, &complete), VersionEvents("v1", 0, kFirstPart));
    EXPECT_EQ(runners_[other]->count(), 0);
}

// ---------------------------------------------------------- held attempts --

class VersionHeldTest : public VersionTest {};

// Guards against a silent upstream in mid-stream that is replaced by one of
// another version.
TEST_F(VersionHeldTest, TheReplacementInMidStreamIsOfTheSameVersion)
{
    size_t began = Add("v1", After::kPause);
    size_t other = Add("v2");
    size_t same = Add("v1");
    List(began, "v1");
    StartOne();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2");
    List(same, "v1");
    WaitListed(3);
    std::string answer = read_ + caller->ReadAll();
    bool complete;
    EXPECT_EQ(Dechunk(answer, &complete), VersionEvents("v1", 0, kEvents));
    EXPECT_TRUE(complete) << answer;
    EXPECT_EQ(runners_[other]->count(), 0);
    EXPECT_EQ(runners_[same]->count(), 1);
}

// Guards against a request without an event yet that is kept to the version
// of its silent upstream.
TEST_F(VersionHeldTest, BeforeTheFirstEventAnyVersionReplacesIt)
{
    size_t silent = AddSilent("v1");
    size_t other = Add("v2");
    List(silent, "v1");
    StartOne();
    WaitListed(1);
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/chat/1", "a", "Connection: close\r\n"));
    ASSERT_TRUE(runners_[silent]->WaitCount(1));
    List(other, "v2");
    std::string answer = caller->ReadAll();
    bool complete;
    EXPECT_EQ(Dechunk(answer, &complete), VersionEvents("v2", 0, kEvents));
    EXPECT_TRUE(complete) << answer;
}

// ------------------------------------------------- over a caller's requests
// --

class VersionTriesTest : public VersionTest {};

// Guards against a stream that the next instance resumes at another version
// after the instance that began it has been killed.
TEST_F(VersionTriesTest, AnotherInstanceGoesOnAtTheVersionThatBeganIt)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2");
    size_t same = Add("v1");
    List(began, "v1");
    StartFleet();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2");
    List(same, "v1");
    WaitListed(3);
    Unlist(began);
    WaitListed(2);
    gateway_->Signal(SIGKILL);
    gateway_->Wait();
    ExpectRest(TakeUp(*second_, "b", "a"), "v1");
    EXPECT_EQ(runners_[other]->count(), 0);
    ExpectRest(TakeUp(*third_, "c", "a"), "v1");
    EXPECT_EQ(runners_[other]->count(), 0);
}

// Guards against a stream that is resumed at the version its upstream had
// before it started again under its id, as in VersionAnswerTest, at the
// instance where it began or at another one.
TEST_F(VersionTriesTest, IsRefusedWhenItsUpstreamStartedAgainBeforeItWasSent)
{
    size_t again = Add("v2", After::kWait);
    size_t same = Add("v1");
    List(again, "v1", ",\"born\":1000");
    StartFleet();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v2");
    List(again, "v2", ",\"born\":2000");
    List(same, "v1", ",\"born\":1000");
    WaitListed(2);
    caller.reset();
    int arrivals = Arrivals();
    ExpectNotSent(TakeUp(*second_, "b", "a"), arrivals);
    ExpectNotSent(TakeUp(*gateway_, "c", "a"), arrivals);
    EXPECT_EQ(runners_[same]->count(), 0);
}

// Guards against a stream that began while two versions served, and of which
// the others do not hear.
TEST_F(VersionTriesTest, OneThatBeganBesideAnotherVersionIsKnownToAll)
{
    size_t other = Add("v2");
    size_t began = Add("v1", After::kWait);
    size_t same = Add("v1");
    List(other, "v2", ",\"sequence\":5", "draining");
    List(began, "v1");
    StartFleet();
    WaitListed(2);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2", ",\"sequence\":6");
    List(same, "v1");
    WaitListed(3);
    Unlist(began);
    WaitListed(2);
    gateway_->Signal(SIGKILL);
    gateway_->Wait();
    ExpectRest(TakeUp(*third_, "b", "a"), "v1");
    EXPECT_EQ(runners_[other]->count(), 0);
}

// Guards against a stream whose version is known, but of which no upstream is
// listed any more, that is resumed at another one.
TEST_F(VersionTriesTest, IsRefusedWhenNoUpstreamOfItsVersionIsLeft)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2");
    List(began, "v1", ",\"sequence\":5");
    StartFleet();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2");
    List(began, "v1", ",\"sequence\":6", "draining");
    WaitListed(2);
    go_ = true;
    caller->ReadAll();
    int before = Arrivals();
    for (Gateway *instance : instances_) {
        ASSERT_TRUE(Eventually([&] {
            return instance->Log().find("draining") != std::string::npos;
        }));
        ExpectNotSent(TakeUp(*instance, "b", "a"), before);
    }
}

// Guards against a version that is forgotten after a stream has been taken up
// more than once, each time at another instance.
TEST_F(VersionTriesTest, AChainOfTakeUpsStaysAtTheVersion)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2");
    size_t same = Add("v1");
    List(began, "v1");
    StartFleet();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2");
    List(same, "v1");
    WaitListed(3);
    Unlist(began);
    WaitListed(2);
    gateway_->Signal(SIGKILL);
    gateway_->Wait();
    ExpectRest(TakeUp(*second_, "b", "a"), "v1");
    ExpectRest(TakeUp(*third_, "d", "b"), "v1");
    second_->Signal(SIGKILL);
    second_->Wait();
    ExpectRest(TakeUp(*third_, "c", "a"), "v1");
    EXPECT_EQ(runners_[other]->count(), 0);
}

// ----------------------------------------------- all instances killed at once
// --

class VersionRestartTest : public VersionTest {};

// Guards against a stream that is joined from two versions after all instances
// were killed at once and the upstreams of its version have left.
TEST_F(VersionRestartTest, IsNotJoinedWhenItsVersionHasLeft)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2");
    List(began, "v1");
    StartFleet();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    Unlist(began);
    List(other, "v2");
    StartFleetAgain();
    WaitListed(1);
    int before = Arrivals();
    for (Gateway *instance : instances_) {
        ExpectNotSent(TakeUp(*instance, "b", "a"), before);
    }
}

// Guards against a stream that is joined from two versions after all instances
// were killed at once while both versions serve.
TEST_F(VersionRestartTest, IsNotJoinedWhileTwoVersionsServe)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2");
    size_t same = Add("v1");
    List(began, "v1");
    StartFleet();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2");
    List(same, "v1");
    StartFleetAgain();
    WaitListed(3);
    int before = Arrivals();
    for (Gateway *instance : instances_) {
        ExpectNotSent(TakeUp(*instance, "b", "a"), before);
    }
}

// Guards against take-ups that stay refused when one version alone has served
// for the whole life of a stream since the loss of all instances.
TEST_F(VersionRestartTest, GoesOnWhenOneVersionAloneCanHaveBegunIt)
{
    size_t began = Add("v1", After::kWait);
    size_t same = Add("v1");
    List(began, "v1");
    List(same, "v1");
    StartFleet(VersionConfig(1000));
    WaitListed(2);
    StartFleetAgain(VersionConfig(1000));
    WaitListed(2);
    EXPECT_TRUE(Eventually([&] {
        return second_->Log().find("versions_single") != std::string::npos;
    }));
    ExpectRest(TakeUp(*second_, "b", "a"), "v1");
}

// Guards against a stream that began soon after the start of all instances and
// that no other of them can resume, although one version alone has served.
TEST_F(VersionRestartTest, OneThatBeganSoonAfterTheStartGoesOn)
{
    size_t began = Add("v1", After::kWait);
    size_t same = Add("v1");
    List(began, "v1");
    List(same, "v1");
    StartFleet();
    WaitListed(2);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    go_ = true;
    caller->ReadAll();
    ExpectRest(TakeUp(*second_, "b", "a"), "v1");
}

// ------------------------------------------------------------------- names --

class VersionNamesTest : public VersionTest {
  protected:
    // A stream "a" of v1 has broken off beside v2; its callers have a part.
    void BreakOff()
    {
        size_t began = Add("v1", After::kWait);
        size_t other = Add("v2");
        List(began, "v1");
        StartFleet();
        WaitListed(1);
        std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
        List(other, "v2");
        WaitListed(2);
        gateway_->Signal(SIGKILL);
        gateway_->Wait();
        go_ = true;
        before_ = Arrivals();
    }
    int before_ = 0;
};

// Guards against a stream that is resumed at any version because its request
// names no earlier one.
TEST_F(VersionNamesTest, AStreamThatIsNotNamedIsNotResumedAtAnyVersion)
{
    BreakOff();
    ExpectNotSent(TakeUp(*second_, "b", ""), before_);
}

// Guards against a stream that no instance knows and that is resumed at any
// version.
TEST_F(VersionNamesTest, AnUnknownNameIsNotResumedAtAnyVersion)
{
    BreakOff();
    ExpectNotSent(TakeUp(*second_, "b", "zz"), before_);
}

// Guards against a name of one account that tells another account's stream the
// version.
TEST_F(VersionNamesTest, ANameOfAnotherAccountIsUnknown)
{
    BreakOff();
    ExpectNotSent(TakeUp(*second_, "b", "a", "small-key"), before_);
}

// Guards against the name of a stream of one account that gets lost because
// another account has used the same id.
TEST_F(VersionNamesTest, TheSameIdOfAnotherAccountDoesNotChangeAStream)
{
    size_t began = Add("v1", After::kWait);
    size_t other = Add("v2", After::kWait);
    size_t same = Add("v1");
    List(began, "v1");
    StartFleet();
    WaitListed(1);
    std::unique_ptr<Socket> caller = Begin(*gateway_, "a", "v1");
    List(other, "v2");
    WaitListed(2);
    Unlist(began);
    WaitListed(1);
    std::string call = Call("/chat/1", "a", "Connection: close\r\n");
    call.replace(call.find("Api-Key: key"), 12, "Api-Key: small-key");
    std::unique_ptr<Socket> second_caller = second_->Open();
    second_caller->Write(call);
    ReadUntil(*second_caller, VersionEvent("v2", kFirstPart - 1));
    List(same, "v1");
    WaitListed(2);
    ExpectRest(TakeUp(*third_, "b", "a"), "v1");
}

// Guards against a stream of a route with two services that is resumed at the
// other service than the one that began it.
TEST_F(VersionNamesTest, AStreamOfASplitRouteStaysAtItsService)
{
    const std::vector<std::string> streams = {"a", "b", "c", "d", "e", "f"};
    size_t desk = Add("desk", After::kWait);
    size_t annex = Add("annex", After::kWait);
    std::string config = VersionConfig();
    auto replace = [&](const std::string &from, const std::string &to) {
        config.replace(config.find(from), from.size(), to);
    };
    replace("\"service\":\"desk\",\"max-attempts\":2,\"timeout-ms\":8000,"
            "\"resumable\"",
            "\"backends\":[{\"service\":\"desk\",\"weight\":1},"
            "{\"service\":\"annex\",\"weight\":1}],"
            "\"max-attempts\":1,\"timeout-ms\":8000,\"resumable\"");
    replace("\"services\":[", "\"services\":[{\"name\":\"annex\","
                              "\"health-path\":\"/h\",\"max-connections\":"
                              "100},");
    store_.Put("servers/" + Name(desk),
               Listed("desk", runners_[desk]->port()));
    store_.Put("servers/" + Name(annex),
               Listed("annex", runners_[annex]->port()));
    StartFleet(config);
    WaitListed(2);
    std::vector<std::unique_ptr<Socket>> callers;
    std::vector<std::string> began;
    for (const std::string &stream : streams) {
        callers.push_back(gateway_->Open());
        callers.back()->Write(
            Call("/chat/1", stream, "Connection: close\r\n"));
        std::string first = ReadUntil(*callers.back(), "wrote 1\n\n");
        bool at_desk = first.find("desk wrote") != std::string::npos;
        began.push_back(at_desk ? "desk" : "annex");
    }
    go_ = true;
    for (size_t i = 0; i < streams.size(); i++) {
        callers[i]->ReadAll();
        ExpectRest(TakeUp(*gateway_, "again-" + streams[i], streams[i]),
                   began[i]);
    }
}

} // namespace
