// A store that comes back from an older copy: later changes are lost, and
// their revisions are given out again.
#include "gateway_fixture.h"

#include <chrono>
#include <thread>

namespace {

// Less than the time for which what a copy lacks is kept.
const std::chrono::milliseconds kWhileMs(2000);

class RestoreTest : public GatewayTest {
  protected:
    // Puts COUNT items that nobody uses, so that the revision rises.
    void Advance(int count)
    {
        for (int i = 0; i < count; i++) {
            store_.Put("op/other", std::to_string(i));
        }
    }
    // Returns whether CHECK holds for kWhileMs.
    bool Stays(const std::function<bool()> &check)
    {
        auto end = std::chrono::steady_clock::now() + kWhileMs;
        bool holds = true;
        while (holds && std::chrono::steady_clock::now() < end) {
            holds = check();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return holds;
    }
    int Ask(Gateway &gateway, const std::string &path = "/look/1")
    {
        return StatusOf(
            gateway.Ask(Call(path, "r" + std::to_string(asked_++))));
    }
    bool WaitSeen(Gateway &gateway)
    {
        return gateway.WaitMetric("boragespur_store_era 2");
    }
    // Waits until the gateway has seen the store's revision.
    void WaitVersion(int version)
    {
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version " +
                                         std::to_string(version)));
    }

    int asked_ = 0;
};

// Guards against changes that are ignored, as their revisions are lower than
// those known from before the restore.
TEST_F(RestoreTest, ChangesAfterARestoreComeIntoForce)
{
    Start({Answers, Answers});
    store_.Copy();
    Advance(20);
    store_.Put("op/config", Config(5));
    WaitVersion(5);
    store_.Restore();
    store_.Put("op/config", Config(9));
    store_.Put("servers/i-0", Listed("desk", runners_[0]->port(), "z1",
                                     "draining", ",\"sequence\":5"));
    WaitVersion(9);
    EXPECT_TRUE(Eventually([&] {
        return gateway_->Log().find("\"state\":\"draining\"") !=
               std::string::npos;
    }));
}

// Guards against changes that are skipped, as the revision from which the
// gateway watches exists again when it asks.
TEST_F(RestoreTest, ChangesBelowAPositionThatExistsAgainAreSeen)
{
    Start({Answers, Answers});
    store_.Copy();
    Advance(10);
    store_.Put("op/config", Config(5));
    WaitVersion(5);
    store_.SetMode(StoreMode::kRefuse);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_store_up 0"));
    store_.Restore();
    store_.Put("op/config", Config(9));
    store_.Remove("servers/i-1");
    Advance(40);
    store_.SetMode(StoreMode::kServe);
    WaitVersion(9);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
}

// Guards against an older configuration that comes into force again until the
// operators write the lost one anew.
TEST_F(RestoreTest, AnOlderConfigurationDoesNotComeIntoForce)
{
    Start({Answers});
    store_.Copy();
    Advance(3);
    store_.Put("op/config",
               Config(5, ",{\"name\":\"new\",\"host\":\"shop.example\","
                         "\"prefix\":\"/new/\",\"route-type\":\"safe\","
                         "\"timeout-ms\":4000,\"service\":\"desk\"}"));
    WaitVersion(5);
    store_.Restore();
    ASSERT_TRUE(WaitSeen(*gateway_));
    EXPECT_TRUE(Stays([&] { return Ask(*gateway_, "/new/1") == 200; }));
    store_.Put("op/config", Config(7));
    WaitVersion(7);
    EXPECT_EQ(Ask(*gateway_, "/new/1"), 404);
}

// Guards against a closed data centre that opens as the copy lacks its
// closing.
TEST_F(RestoreTest, AClosedDataCentreStaysClosed)
{
    Start({Answers});
    store_.Copy();
    Advance(3);
    store_.Put("op/evacuate/z1", "{}");
    ASSERT_TRUE(Eventually([&] { return Ask(*gateway_) == 503; }));
    store_.Restore();
    ASSERT_TRUE(WaitSeen(*gateway_));
    int before = Arrivals();
    EXPECT_TRUE(Stays([&] { return Ask(*gateway_) == 503; }));
    store_.Put("op/evacuate/z1", "{}");
    EXPECT_TRUE(Stays([&] { return Ask(*gateway_) == 503; }));
    EXPECT_EQ(Arrivals(), before);
    store_.Remove("op/evacuate/z1");
    EXPECT_TRUE(Eventually([&] { return Ask(*gateway_) == 200; }));
}

// Guards against requests to an upstream that has left, as the copy still
// lists it, or lists it as ready.
TEST_F(RestoreTest, UpstreamsThatLeftGetNothing)
{
    Start({Answers, Answers, Answers});
    store_.Copy();
    Advance(3);
    store_.Remove("servers/i-1");
    store_.Put("servers/i-2", Listed("desk", runners_[2]->port(), "z1",
                                     "draining", ",\"sequence\":5"));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 2"));
    ASSERT_TRUE(Eventually([&] {
        return gateway_->Log().find("\"state\":\"draining\"") !=
               std::string::npos;
    }));
    int before = runners_[1]->count() + runners_[2]->count();
    store_.Restore();
    ASSERT_TRUE(WaitSeen(*gateway_));
    EXPECT_TRUE(Stays([&] { return Ask(*gateway_) == 200; }));
    EXPECT_EQ(runners_[1]->count() + runners_[2]->count(), before);
}

// Guards against upstreams that are dropped as the copy lacks them, before
// they could write their entries anew, and against some that stay for good.
TEST_F(RestoreTest, UpstreamsThatTheCopyLacksAreKeptForAWhile)
{
    Runner late_runner(Answers);
    Start({Answers});
    store_.Copy();
    Advance(3);
    store_.Put("servers/late", Listed("desk", late_runner.port()));
    store_.Remove("servers/i-0");
    ASSERT_TRUE(Eventually([&] {
        return gateway_->Log().find("upstream_gone") != std::string::npos;
    }));
    store_.Restore();
    ASSERT_TRUE(WaitSeen(*gateway_));
    EXPECT_TRUE(Stays([&] { return Ask(*gateway_) == 200; }));
    EXPECT_GT(late_runner.count(), 0);
    // It writes nothing, so the store's word counts after a while.
    EXPECT_TRUE(Eventually(
        [&] { return runners_[0]->count() > 0 || Ask(*gateway_) != 200; }));
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
    int before = late_runner.count();
    EXPECT_EQ(Ask(*gateway_), 200);
    EXPECT_EQ(late_runner.count(), before);
}

// Guards against an era that no store names and that all later ones precede.
TEST_F(RestoreTest, ErasThatCannotBeReadAreIgnored)
{
    Start({Answers});
    int version = 1;
    for (const char *era : {"-1", "99999999999999999999", "9999999999", "soon",
                            "", "2 3", "0"}) {
        store_.NameEra(era);
        store_.Put("op/config", Config(++version));
        WaitVersion(version);
    }
    store_.NameEra("1");
    store_.Put("op/config", Config(++version));
    WaitVersion(version);
}

// Guards against a second restore that is taken for the first one.
TEST_F(RestoreTest, ASecondRestoreIsSeen)
{
    Start({Answers, Answers});
    store_.Copy();
    Advance(20);
    store_.Put("op/config", Config(5));
    WaitVersion(5);
    store_.Restore();
    store_.Put("op/config", Config(6));
    WaitVersion(6);
    Advance(5);
    store_.Restore();
    store_.Put("op/config", Config(8));
    WaitVersion(8);
    store_.Remove("servers/i-1");
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
}

// Guards against an instance that does not reach the store and takes what its
// peers send for old, and against one that starts between the eras.
TEST_F(RestoreTest, InstancesLearnTheNewEraFromTheirPeers)
{
    Start({Answers, Answers});
    Store dead;
    dead.SetMode(StoreMode::kSilent);
    Gateway cut(dead.port(), "127.0.0.2", gateway_->peers_port(),
                {"127.0.0.1"});
    ASSERT_TRUE(cut.WaitReady());
    store_.Copy();
    Advance(20);
    store_.Put("op/config", Config(5));
    ASSERT_TRUE(cut.WaitMetric("boragespur_catalog_version 5"));
    store_.Restore();
    store_.Put("op/config", Config(9));
    store_.Remove("servers/i-1");
    EXPECT_TRUE(cut.WaitMetric("boragespur_catalog_version 9"));
    EXPECT_TRUE(cut.WaitMetric("boragespur_upstreams 1"));
    Gateway late(store_.port(), "127.0.0.3", gateway_->peers_port(),
                 {"127.0.0.1", "127.0.0.2"});
    EXPECT_TRUE(late.WaitReady());
    EXPECT_TRUE(late.WaitMetric("boragespur_catalog_version 9"));
    EXPECT_TRUE(late.WaitMetric("boragespur_upstreams 1"));
}

} // namespace
