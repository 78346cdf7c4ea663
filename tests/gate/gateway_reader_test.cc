// Instances that read the store for others and get no answers from it, on real
// sockets.
#include "gateway_fixture.h"
#include "peer_standin.h"

#include <chrono>
#include <thread>

namespace {

// Longer than the time for which an upstream is kept after the store is back.
const std::chrono::milliseconds kPastGraceMs(2500);

// More than the shortest time without an answer that counts as an outage.
const std::chrono::milliseconds kOutageMs(2500);

// Longer than the last watch of an instance that stops reading.
const std::chrono::milliseconds kPastWatchMs(1000);

class ReaderTest : public GatewayTest {
  protected:
    void Join(BsGossipReading reading)
    {
        peer_ = std::make_unique<PeerStandin>(gateway_->peers_port(), reading);
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_instances 2"));
    }
    bool WaitLog(const std::string &text)
    {
        return Eventually(
            [&] { return gateway_->Log().find(text) != std::string::npos; });
    }
    // Returns the kept_ms of the first removed upstream, -1 when there is
    // none.
    int KeptMs()
    {
        const std::string mark = "\"kept_ms\":";
        std::string log;
        size_t at = std::string::npos;
        Eventually([&] {
            log = gateway_->Log();
            at = log.find(mark);
            return at != std::string::npos;
        });
        return at == std::string::npos
                   ? -1
                   : std::stoi(log.substr(at + mark.size()));
    }

    int AskWithKey(const std::string &key)
    {
        std::string call = Call("/look/1", "with-" + key);
        return StatusOf(gateway_->Ask(
            call.replace(call.find("Api-Key: key"), 12, "Api-Key: " + key)));
    }

    std::unique_ptr<PeerStandin> peer_;
};

// Guards against requests to upstreams that have left (drain), and with keys
// that were removed (configuration), as an instance waits for one that reads
// the store and gets no answers, but has not noticed it yet.
TEST_F(ReaderTest, AReaderWithoutAnswersIsNotReliedOn)
{
    Start({Answers, Answers});
    Join(BS_GOSSIP_READS);
    ASSERT_TRUE(WaitLog("\"source\":\"others\""));
    std::this_thread::sleep_for(kPastWatchMs);
    EXPECT_EQ(AskWithKey("key-1"), 200);
    peer_->CutOff();
    store_.Remove("servers/i-1");
    store_.Put("op/config", Config(5));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 5"));
    EXPECT_EQ(AskWithKey("key-1"), 401);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
    EXPECT_NE(gateway_->Log().find("backup_read"), std::string::npos);
    // It goes on reading for as long as the peer gets no answers.
    store_.Put("op/config", Config(6));
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 6"));
}

// Guards against an upstream that is used for 2 s after its planned stop, as
// after an outage of the store, because the store does not answer a peer.
TEST_F(ReaderTest, AFailureOfAPeerAloneIsNoOutage)
{
    Start({Answers, Answers});
    Join(BS_GOSSIP_FAILS);
    std::this_thread::sleep_for(kPastGraceMs);
    store_.Remove("servers/i-1");
    EXPECT_EQ(KeptMs(), 0);
    int before = runners_[1]->count();
    for (int i = 0; i < 5; i++) {
        EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", std::to_string(i)))),
                  200);
    }
    EXPECT_EQ(runners_[1]->count(), before);
}

// Guards against a healthy upstream that is dropped because its entry expired
// in an outage of the store, before it can have written it again.
TEST_F(ReaderTest, AfterAnOutageARemovedUpstreamIsKept)
{
    Start({Answers});
    store_.SetMode(StoreMode::kRefuse);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_store_up 0"));
    std::this_thread::sleep_for(kOutageMs);
    store_.Remove("servers/i-0");
    store_.SetMode(StoreMode::kServe);
    EXPECT_GT(KeptMs(), 0);
}

} // namespace
