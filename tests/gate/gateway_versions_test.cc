// The software versions in service, as a fleet of gateways knows them.
#include "gateway_fixture.h"

#include <sstream>

namespace {

class VersionServiceTest : public ThreeGatewaysTest {
  protected:
    // A configuration whose streams last one second at most.
    static std::string ShortStreams()
    {
        std::string config = Config(1);
        std::string from = "\"timeout-ms\":8000,\"resumable\"";
        config.replace(config.find(from), from.size(),
                       "\"timeout-ms\":1000,\"resumable\"");
        return config;
    }
    void List(size_t index, const std::string &version)
    {
        store_.Put("servers/" + Name(index),
                   Listed("desk", runners_[index]->port(), "z1", "ready",
                          ",\"version\":\"" + version + "\""));
    }
    // Starts the gateways, and one upstream of v1.
    void StartFleet()
    {
        const std::vector<std::string> seeds = {"127.0.0.1", "127.0.0.2"};
        for (int i = 0; i < 2; i++) {
            runners_.push_back(std::make_unique<Runner>(
                [](Socket &, const ReceivedRequest &) { return false; }));
        }
        store_.Put("op/config", ShortStreams());
        List(0, "v1");
        gateway_ = std::make_unique<Gateway>(store_.port(), "127.0.0.1",
                                             FreePort(), seeds);
        second_ = std::make_unique<Gateway>(store_.port(), "127.0.0.2",
                                            gateway_->peers_port(), seeds);
        third_ = std::make_unique<Gateway>(store_.port(), "127.0.0.3",
                                           gateway_->peers_port(), seeds);
        instances_ = {gateway_.get(), second_.get(), third_.get()};
        for (Gateway *instance : instances_) {
            ASSERT_TRUE(instance->WaitReady());
        }
    }
    // How many lines of EVENT with COUNT the log has; -1: any count.
    static int CountLogged(Gateway &gateway, const std::string &event,
                           int count = -1)
    {
        std::istringstream log(gateway.Log());
        std::string line;
        int found = 0;
        while (std::getline(log, line)) {
            bool counts =
                count < 0 || line.find("\"count\":" + std::to_string(count) +
                                       "}") != std::string::npos;
            found += counts && line.find("\"event\":\"" + event + "\"") !=
                                   std::string::npos;
        }
        return found;
    }
};

// Guards against a service that never counts as one of a single version, or
// that changes to and fro, while the store answers; and against datagrams that
// other gateways cannot read.
TEST_F(VersionServiceTest, IsSingleAfterALifeAndMixedWhenAnotherStarts)
{
    StartFleet();
    for (Gateway *instance : instances_) {
        EXPECT_TRUE(Eventually([&] {
            return CountLogged(*instance, "versions_single", 1) == 1;
        })) << instance->Log();
    }
    List(1, "v2");
    for (Gateway *instance : instances_) {
        EXPECT_TRUE(Eventually([&] {
            return CountLogged(*instance, "versions_mixed", 2) == 1;
        })) << instance->Log();
        // The other one is from the start.
        EXPECT_EQ(CountLogged(*instance, "versions_mixed"), 2)
            << instance->Log();
        EXPECT_EQ(CountLogged(*instance, "versions_single"), 1);
        EXPECT_EQ(instance->Metrics().find("boragespur_gossip_broken_total"),
                  std::string::npos);
    }
}

} // namespace
