// Answers without an end, from the store and from upstreams.
#include "gateway_fixture.h"
#include "peer_standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

// The limit of an answer of the store, and room for what the sockets buffer.
const size_t kReadMaxBytes = 32u << 20;

// The same for the items of a peer.
const size_t kItemsMaxBytes = 64u << 20;

// Far below a flood, far above what the gateway needs for one request.
const long kGrowthMaxKib = 64 << 10;

struct FloodCase {
    const char *name;
    StoreMode mode;
};

class StoreFloodTest : public GatewayTest,
                       public testing::WithParamInterface<FloodCase> {};

// Guards against an answer of the store that is collected until the process
// has no memory left.
TEST_P(StoreFloodTest, AnAnswerWithoutAnEndIsGivenUp)
{
    Start({Answers});
    store_.SetMode(GetParam().mode);
    ASSERT_TRUE(Eventually([&] { return store_.floods() >= 2; }));
    EXPECT_LE(store_.flood_bytes(), kReadMaxBytes);
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "a"))), 200);
    store_.Put("op/config", Config(5));
    store_.SetMode(StoreMode::kServe);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 5"));
    EXPECT_NE(gateway_->Log().find("answer larger than"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, StoreFloodTest,
    testing::Values(FloodCase{"Success", StoreMode::kFlood},
                    FloodCase{"Error", StoreMode::kFloodError}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a limit that stops an instance from following the store after
// it missed many large changes.
TEST_F(GatewayTest, ChangesAboveTheLimitOfAnAnswerAreReadInPages)
{
    Start({Answers});
    store_.SetMode(StoreMode::kRefuse);
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_store_up 0"));
    for (int i = 0; i < 12; i++) {
        store_.Put("op/large-" + std::to_string(i), std::string(1 << 20, 'x'));
    }
    store_.Put("op/config", Config(5));
    store_.SetMode(StoreMode::kServe);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 5"));
    store_.Put("op/config", Config(6));
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 6"));
}

// Answers each call to the peer stand-in's address with a flood.
class FloodingPeer {
  public:
    explicit FloodingPeer(int port)
        : listener_(socket(AF_INET, SOCK_STREAM, 0)),
          thread_([this] { Run(); })
    {
        sockaddr_in at = {};
        at.sin_family = AF_INET;
        at.sin_port = htons((uint16_t)port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 8);
        EXPECT_EQ(bind(listener_, (sockaddr *)&at, sizeof(at)), 0);
        EXPECT_EQ(listen(listener_, 4), 0);
        listening_ = true;
    }
    ~FloodingPeer()
    {
        stopping_ = true;
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    int floods() const
    {
        return floods_;
    }
    size_t bytes() const
    {
        return bytes_;
    }

  private:
    void Run()
    {
        Eventually([this] { return listening_.load(); });
        for (int fd;
             !stopping_ && (fd = accept(listener_, nullptr, nullptr)) >= 0;) {
            Socket socket(fd);
            socket.ReadMessage();
            size_t bytes = Flood(socket, "HTTP/1.1 200 x\r\n\r\n");
            bytes_ = std::max(bytes_.load(), bytes);
            floods_++;
        }
    }
    int listener_;
    std::atomic<bool> listening_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<int> floods_{0};
    std::atomic<size_t> bytes_{0};
    std::thread thread_;
};

// Guards against items from a peer that are collected until the process has no
// memory left.
TEST_F(GatewayTest, ItemsOfAPeerWithoutAnEndAreGivenUp)
{
    Start({Answers});
    FloodingPeer flood(gateway_->peers_port());
    PeerStandin peer(gateway_->peers_port(), BS_GOSSIP_READS);
    peer.SetNewest(1000);
    ASSERT_TRUE(Eventually([&] { return flood.floods() >= 2; }));
    EXPECT_LE(flood.bytes(), kItemsMaxBytes);
    EXPECT_EQ(StatusOf(gateway_->Ask(Call("/look/1", "a"))), 200);
    EXPECT_NE(gateway_->Log().find("peer_items_too_large"), std::string::npos);
}

// Guards against an answer that is kept for a caller who has left: the request
// may not run twice, so its outcome is awaited.
TEST_F(GatewayTest, AnAnswerWithoutACallerIsNotKept)
{
    std::atomic<bool> left{false};
    std::atomic<bool> over{false};
    Start({[&](Socket &socket, const ReceivedRequest &got) {
        Eventually([&] { return left.load(); });
        std::string head = SignedAnswer(got, "");
        head.replace(head.find("Content-Length: 0"), 17, "X-Length: none");
        Flood(socket, head);
        over = true;
        return false;
    }});
    long before = gateway_->PeakKib();
    {
        std::unique_ptr<Socket> caller = gateway_->Open();
        caller->Write(Call("/book/1", "a"));
        ASSERT_TRUE(runners_[0]->WaitCount(1));
    }
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_connections 0"));
    left = true;
    ASSERT_TRUE(Eventually([&] { return over.load(); }));
    EXPECT_LE(gateway_->PeakKib() - before, kGrowthMaxKib);
}

// Guards against the body of an error that is kept while another upstream is
// tried, because its upstream was silent in the middle of it.
TEST_F(GatewayTest, TheErrorOfAHeldAttemptIsNotKept)
{
    std::atomic<int> arrived{0};
    std::atomic<bool> over{false};
    auto script = [&](Socket &socket, const ReceivedRequest &got) {
        if (arrived++ > 0) {
            Eventually([&] { return over.load(); });
            return Answers(socket, got);
        }
        std::string head = SignedAnswer(got, "", 500);
        head.replace(head.find("Content-Length: 0"), 17, "X-Length: none");
        socket.Write(head);
        Eventually([&] { return arrived > 1; });
        Flood(socket, "");
        over = true;
        return false;
    };
    Start({script, script});
    long before = gateway_->PeakKib();
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "a")), "a"));
    EXPECT_EQ(arrived, 2);
    EXPECT_LE(gateway_->PeakKib() - before, kGrowthMaxKib);
}

} // namespace
