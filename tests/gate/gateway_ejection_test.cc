// An upstream that fails every request, beside sound ones.
#include "gateway_fixture.h"

#include <csignal>

namespace {

class EjectionTest : public GatewayTest {
  protected:
    // Answers with an error while failing_ is set.
    Runner::Script Fails()
    {
        return [this](Socket &socket, const ReceivedRequest &got) {
            if (!failing_) {
                return Answers(socket, got);
            }
            failed_++;
            return socket.Write(
                WithId("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n"
                       "Response-Signature: sig\r\nRequest-Id: ID\r\n\r\n",
                       got));
        };
    }
    void StartWith(const std::string &settings)
    {
        Start({Fails(), Answers, Answers, Answers});
        for (size_t i = 1; i < runners_.size(); i++) {
            store_.Put("servers/" + Name(i),
                       Listed("desk", runners_[i]->port(), "z1", "draining"));
        }
        // Until then it may send to the others after the first failures.
        ASSERT_TRUE(Eventually([&] { return Draining() == 3; }));
        gateway_->ReplaceSettings("bounds:", settings + "bounds:");
        gateway_->Signal(SIGHUP);
        ASSERT_TRUE(Eventually([&] {
            return gateway_->Log().find("in force") != std::string::npos;
        }));
    }
    // Upstreams that the gateway knows as draining.
    int Draining()
    {
        const std::string log = gateway_->Log();
        const std::string state = "\"state\":\"draining\"";
        int found = 0;
        for (size_t at = log.find(state); at != std::string::npos;
             at = log.find(state, at + 1)) {
            found++;
        }
        return found;
    }
    void Send(int count)
    {
        for (int i = 0; i < count; i++) {
            gateway_->Ask(Call("/look/1", "q" + std::to_string(sent_++)));
        }
    }

    std::atomic<bool> failing_{true};
    std::atomic<int> failed_{0};
    int sent_ = 0;
};

// Guards against an upstream that fails at once and so gets the most requests
// while no other has a free slot, and against one that stays ejected after it
// has recovered.
TEST_F(EjectionTest, AnUpstreamThatFailsGetsProbesOnlyUntilItRecovers)
{
    StartWith("ejection: { probe_per_s: 5 }\n");
    Send(20);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstream_ejections_total 1"));
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstream_limits 1"));
    failing_ = false;
    EXPECT_TRUE(Eventually([&] {
        Send(1);
        return gateway_->Metrics().find("boragespur_upstream_limits 0") !=
               std::string::npos;
    }));
}

// Guards against a deployment that does not ask for ejection and gets it.
TEST_F(EjectionTest, NoneIsEjectedWithoutTheSetting)
{
    StartWith("");
    Send(20);
    EXPECT_EQ(failed_, 20);
    EXPECT_EQ(gateway_->Metrics().find("upstream_ejections_total"),
              std::string::npos);
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_upstream_limits 0"));
}

} // namespace
