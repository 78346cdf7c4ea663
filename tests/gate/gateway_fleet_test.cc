// Contracts of a gateway with the platform, its peers and its operators, on
// real sockets.
#include "gateway_fixture.h"
#include "peer_standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sys/socket.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace {

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

TEST_F(GatewayTest, RequestsStayInTheirAllowedRegions)
{
    Start({Answers});
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/north/1", "a"))), 200);
    store_.Put("servers/i-0", Listed("desk", runners_[0]->port(), "s1"));
    ASSERT_TRUE(Eventually([&] {
        return StatusOf(gateway_->Ask(Call("/north/1", "b"))) == 503;
    }));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "c"))), 200);
}

TEST_F(GatewayTest, MalformedItemsAreSkippedIndividually)
{
    Start({Answers});
    store_.Put("servers/broken", "\xff\xfe");
    store_.Put("servers/odd", "{\"service\":5}");
    store_.Put("op/other", "?");
    store_.Put("op/config", "not a configuration");
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_broken_items_total 3"));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "a"))), 200);
}

TEST_F(GatewayTest, TheCatalogVersionNeverDecreases)
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

TEST_F(GatewayTest, APlannedStopFinishesRunningRequests)
{
    Start({[this](Socket &socket, const ReceivedRequest &got) {
        Eventually([&] { return go_.load(); });
        return Answers(socket, got);
    }});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(runners_[0]->WaitCount(1));
    gateway_->Signal(SIGTERM);
    EXPECT_TRUE(gateway_->WaitReady(false));
    // Requests are served until the load balancer stops sending them.
    std::unique_ptr<Socket> late = gateway_->Open();
    late->Write(Call("/book/1", "b"));
    ASSERT_TRUE(runners_[0]->WaitCount(2));
    go_ = true;
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

// Sends the gateway at PORT a report, as from a peer in another data centre,
// that the store has reached REVISION.
void
ReportRevision(int port, uint64_t revision)
{
    BsGossipReport report;
    BsGossipReport_Init(&report);
    report.incarnation = 1;
    report.sequence = 1;
    report.newest = revision;
    report.reading = BS_GOSSIP_READS;
    SendReport(port, report);
    BsGossipReport_Clear(&report);
}

// Guards against a removed upstream that is kept too long: the store fails for
// this instance only, which learns of the removal late.  The time must count
// from when a peer reported that revision.
TEST_F(GatewayTest, TheGraceOfARemovedUpstreamStartsWhenAPeerSawIt)
{
    Start({Answers});
    store_.SetMode(StoreMode::kRefuse);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_store_up 0"));
    store_.Remove("servers/i-0");
    ReportRevision(gateway_->peers_port(), store_.revision());
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_instances 2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    store_.SetMode(StoreMode::kServe);
    const std::string mark = "\"kept_ms\":";
    size_t at = std::string::npos;
    ASSERT_TRUE(Eventually([&] {
        at = gateway_->Log().find(mark);
        return at != std::string::npos;
    }));
    EXPECT_LE(std::stoi(gateway_->Log().substr(at + mark.size())), 500);
}

// Guards against a call on a dead connection.  One gateway reads the store for
// both; when it is lost, the other must connect again, as the store may have
// dropped the idle connection from its start.
TEST_F(GatewayTest, ANewReaderReusesNoIdleConnectionToTheStore)
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

// Guards against a crash-inducing request whose caller retries it through
// another gateway.
TEST_F(GatewayTest, ARequestThatBreaksUpstreamsIsStoppedInTheWholeFleet)
{
    auto script = [](Socket &socket, const ReceivedRequest &got) {
        return got.body() == "fine" && Answers(socket, got);
    };
    Start({script, script, script, script, script});
    Gateway second(store_.port(), "127.0.0.2", gateway_->peers_port(),
                   {"127.0.0.1"});
    ASSERT_TRUE(second.WaitReady());
    ASSERT_TRUE(second.WaitMetric("boragespur_upstreams 5"));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_instances 2"));
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "bad"))), 502);
    EXPECT_EQ(Arrivals(), 2);
    ASSERT_TRUE(second.WaitMetric("boragespur_crasher_breaks 2"));
    // These upstreams are back at once; a request sent to one within the clock
    // tick of its crash would count as hit by that crash.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    EXPECT_EQ(StatusOf(second.Ask(Call("/look/1", "bad"))), 502);
    EXPECT_EQ(Arrivals(), 3);
    EXPECT_EQ(StatusOf(second.Ask(Call("/look/1", "bad"))), 502);
    EXPECT_EQ(Arrivals(), 3);
    EXPECT_NE(second.Log().find("breaks_upstreams"), std::string::npos);
    EXPECT_TRUE(
        IsHealthy(second.Ask(Call("/look/1", "fine", "", "fine")), "fine"));
}

TEST_F(GatewayTest, SlotsUsedByAPeerCount)
{
    Start({[this](Socket &socket, const ReceivedRequest &got) {
        Eventually([&] { return go_.load(); });
        return Answers(socket, got);
    }});
    Gateway second(store_.port(), "127.0.0.2", gateway_->peers_port(),
                   {"127.0.0.1"});
    ASSERT_TRUE(second.WaitReady());
    ASSERT_TRUE(second.WaitMetric("boragespur_instances 2"));
    std::vector<std::unique_ptr<Socket>> callers;
    for (int i = 0; i < 6; i++) {
        // Not retried at another upstream, so they hold their slots until the
        // test lets the runner answer.
        callers.push_back(gateway_->Open());
        callers.back()->Write(Call("/book/1", "n" + std::to_string(i)));
    }
    ASSERT_TRUE(runners_[0]->WaitCount(6));
    ASSERT_TRUE(second.WaitMetric("boragespur_places_taken_by_peers 6"));
    EXPECT_EQ(StatusOf(second.Ask(Call("/look/1", "late"))), 503);
    EXPECT_EQ(runners_[0]->count(), 6);
    go_ = true;
}

TEST_F(GatewayTest, SettingsAreReloadedWithAndWithoutASignal)
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

// Guards against a changed settings file that is not read again because it was
// written within the same step of the file system's clock as the one before.
TEST_F(GatewayTest, ASettingsFileOfTheSameTimeIsReloaded)
{
    Start({Answers});
    struct stat before;
    ASSERT_EQ(stat(gateway_->settings().c_str(), &before), 0);
    std::string changed = gateway_->settings() + ".new";
    {
        std::ifstream file(gateway_->settings());
        std::ofstream(changed) << file.rdbuf();
    }
    struct timespec times[] = {before.st_atim, before.st_mtim};
    ASSERT_EQ(utimensat(AT_FDCWD, changed.c_str(), times, 0), 0);
    ASSERT_EQ(rename(changed.c_str(), gateway_->settings().c_str()), 0);
    EXPECT_TRUE(Eventually([&] {
        return gateway_->Log().find("\"outcome\":\"in force\"") !=
               std::string::npos;
    }));
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
