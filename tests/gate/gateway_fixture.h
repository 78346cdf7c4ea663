// Fixture with a store, one gateway process and scripted upstreams.
#ifndef GATEWAY_FIXTURE_H
#define GATEWAY_FIXTURE_H

#include "gate_harness.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>

// Reads from SOCKET until the text contains MARK or the connection ends.
inline std::string
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

// Age from which a gateway allows a test's repeats: with Config() and the
// harness's settings its retry budget grows by 1.45 a millisecond and allows
// none in the first one.
constexpr std::chrono::milliseconds kRepeatsFrom(20);

// Waits until a gateway, which is ready now, is old enough to repeat requests.
inline void
WaitForRepeats()
{
    std::this_thread::sleep_for(kRepeatsFrom);
}

// Upstream I runs script I and is listed in the store as Name(I).
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
        WaitForRepeats();
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

    // Scripts wait for these; declared first, so that they outlive the
    // upstreams.
    std::atomic<bool> go_{false};
    std::atomic<int> kept_{0};
    Store store_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::unique_ptr<Gateway> gateway_;
};

// Three gateways that know each other: gateway_ and two more.
class ThreeGatewaysTest : public GatewayTest {
  protected:
    // Starts COUNT upstreams with SCRIPT and the gateways.
    void StartThree(size_t count, const Runner::Script &script)
    {
        Start(std::vector<Runner::Script>(count, script));
        instances_.push_back(gateway_.get());
        second_ = Join("127.0.0.2");
        third_ = Join("127.0.0.3");
        for (Gateway *instance : instances_) {
            ASSERT_TRUE(instance->WaitMetric("boragespur_instances 3"));
        }
    }
    // Starts one more gateway on IP.
    std::unique_ptr<Gateway> Join(const std::string &ip)
    {
        auto joined = std::make_unique<Gateway>(
            store_.port(), ip, gateway_->peers_port(),
            std::vector<std::string>{"127.0.0.1", "127.0.0.2"});
        EXPECT_TRUE(joined->WaitReady());
        EXPECT_TRUE(joined->WaitMetric("boragespur_upstreams " +
                                       std::to_string(runners_.size())));
        instances_.push_back(joined.get());
        return joined;
    }

    std::vector<Gateway *> instances_;
    std::unique_ptr<Gateway> second_;
    std::unique_ptr<Gateway> third_;
};

// Returns TEXT with the request's id instead of "ID" at the end of a line.
inline std::string
WithId(std::string text, const ReceivedRequest &got)
{
    size_t at = text.find("ID\r\n");
    return at == std::string::npos ? text : text.replace(at, 2, got.id);
}

// Returns the body of a chunked answer as far as it was received, and in
// COMPLETE whether its end was.
inline std::string
Dechunk(const std::string &answer, bool *complete)
{
    std::string body;
    size_t at = answer.find("\r\n\r\n") + 4;
    *complete = false;
    for (size_t end; (end = answer.find("\r\n", at)) != std::string::npos;) {
        size_t size = strtoul(&answer[at], nullptr, 16);
        if (size == 0) {
            *complete = answer.substr(end) == "\r\n\r\n";
            break;
        }
        body += answer.substr(end + 2, size);
        at = std::min(answer.size(), end + 2 + size + 2);
    }
    return body;
}

// Sends a valid, signed answer.
inline bool
Answers(Socket &socket, const ReceivedRequest &got)
{
    return socket.Write(SignedAnswer(got, "body of " + got.id));
}

// Refuses the request as a full upstream does.
inline bool
Refuses(Socket &socket, const ReceivedRequest &)
{
    return socket.Write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
}

// Returns whether ANSWER is the complete answer of Answers() to request ID.
inline bool
IsHealthy(const std::string &answer, const std::string &id)
{
    return StatusOf(answer) == 200 &&
           answer.find("Response-Signature: sig-" + id) != std::string::npos &&
           answer.find("\r\n\r\nbody of " + id) != std::string::npos;
}

#endif // GATEWAY_FIXTURE_H
