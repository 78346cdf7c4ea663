// Which requests of callers a gateway accepts or refuses, on real sockets.
#include "gateway_fixture.h"

namespace {

TEST_F(GatewayTest, AnAccountOverItsLimitGetsRetryAfter)
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

// A fifth of the configured 110 MB of memory may hold bodies: twelve of these.
TEST_F(GatewayTest, BodiesBeyondTheMemoryAreRefusedAndTheOthersServed)
{
    const size_t length = 1900000;
    const int fitting = 12;
    const std::string most(length - 1, 'x');
    Start({Answers});
    std::vector<std::unique_ptr<Socket>> callers;
    auto send = [&](int number) {
        std::string call = Call("/look/1", "body" + std::to_string(number), "",
                                std::string(length, 'x'));
        callers.push_back(gateway_->Open());
        callers.back()->Write(call.substr(0, call.size() - 1));
    };
    for (int i = 0; i < fitting; i++) {
        send(i);
    }
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_body_bytes_held " +
                                     std::to_string(fitting * (length - 1))));
    send(fitting);
    std::string refused = callers.back()->ReadAll();
    EXPECT_EQ(StatusOf(refused), 503);
    EXPECT_NE(refused.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(IsHealthy(gateway_->Ask(Call("/look/1", "small")), "small"));
    EXPECT_EQ(runners_[0]->count(), 1);
    for (int i = 0; i < fitting; i++) {
        callers[(size_t)i]->Write("x");
        EXPECT_TRUE(IsHealthy(callers[(size_t)i]->ReadMessage(),
                              "body" + std::to_string(i)));
    }
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_body_bytes_held 0"));
}

TEST_F(GatewayTest, ASlowHeadIsGivenUp)
{
    Start({Answers});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write("GET /look/1 HTTP/1.1\r\nHost: sh");
    EXPECT_EQ(StatusOf(caller->ReadAll()), 408);
}

TEST_F(GatewayTest, CallersCannotSetInternalHeaders)
{
    Start({Answers});
    gateway_->Ask(Call("/look/1", "a",
                       "Tenant: forged\r\nExpect-Instance: forged\r\n"
                       "Kv-Hold: 7\r\nPin-Ms: 9\r\nKv-From: 1.1.1.1:1/1\r\n"
                       "Kv-Backup: 1.1.1.1:1\r\n"));
    ReceivedRequest got = runners_[0]->request(0);
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

} // namespace
