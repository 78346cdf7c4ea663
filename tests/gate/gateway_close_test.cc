// When a gateway closes its connections with callers, on real sockets.
#include "gateway_fixture.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <future>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace {

// The configuration VERSION with other limits for callers.
std::string
ConfigWithLimits(int version, int header_timeout_ms, int idle_timeout_ms)
{
    std::string config = Config(version);
    auto replace = [&](const std::string &name, const std::string &from,
                       int value) {
        std::string key = "\"" + name + "\":";
        config.replace(config.find(key + from), key.size() + from.size(),
                       key + std::to_string(value));
    };
    replace("header-timeout-ms", "1000", header_timeout_ms);
    replace("idle-timeout-ms", "15000", idle_timeout_ms);
    return config;
}

class CloseTest : public GatewayTest {
  protected:
    void PutLimits(int version, int header_timeout_ms, int idle_timeout_ms)
    {
        store_.Put("op/config", ConfigWithLimits(version, header_timeout_ms,
                                                 idle_timeout_ms));
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version " +
                                         std::to_string(version)));
    }
    // Waits until the gateway has accepted COUNT connections, and read what
    // was sent on them before.
    void WaitConnections(int count)
    {
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_connections " +
                                         std::to_string(count)));
        gateway_->Metrics();
    }
};

// Guards against a request cut by a shorter idle time than its connection was
// told.
TEST_F(CloseTest, AShorterIdleTimeBindsOnlyConnectionsThatWereToldIt)
{
    Start({Answers});
    std::unique_ptr<Socket> told = gateway_->Open();
    told->Write(Call("/look/1", "a"));
    ASSERT_NE(told->ReadMessage().find("Keep-Alive: timeout=15\r\n"),
              std::string::npos);
    std::unique_ptr<Socket> untold = gateway_->Open();
    WaitConnections(2);
    PutLimits(2, 1000, 1000);
    std::unique_ptr<Socket> later = gateway_->Open();
    later->Write(Call("/look/1", "b"));
    ASSERT_NE(later->ReadMessage().find("Keep-Alive: timeout=1\r\n"),
              std::string::npos);
    ASSERT_TRUE(later->WaitClosed()); /* the others were idle for longer */
    told->Write(Call("/book/1", "c"));
    EXPECT_TRUE(IsHealthy(told->ReadMessage(), "c"));
    untold->Write(Call("/book/1", "d"));
    EXPECT_TRUE(IsHealthy(untold->ReadMessage(), "d"));
}

// Guards against a request refused by a shorter idle time that came into force
// while its body was read.
TEST_F(CloseTest, ABodyIsReadByTheIdleTimeAtItsStart)
{
    Start({Answers});
    const std::string call = Call("/look/1", "a", "", "body");
    std::unique_ptr<Socket> before = gateway_->Open();
    before->Write(call.substr(0, call.size() - 1));
    ASSERT_TRUE(gateway_->WaitMetric("boragespur_body_bytes_held 3"));
    PutLimits(2, 1000, 500);
    std::unique_ptr<Socket> after = gateway_->Open();
    after->Write(call.substr(0, call.size() - 1));
    ASSERT_EQ(StatusOf(after->ReadAll()), 408);
    before->Write(call.substr(call.size() - 1));
    EXPECT_TRUE(IsHealthy(before->ReadMessage(), "a"));
}

// Guards against a request refused by a shorter header time-out that came into
// force while its head was read.
TEST_F(CloseTest, AHeadIsReadByTheTimeoutAtItsStart)
{
    Start({Answers});
    PutLimits(2, 15000, 15000);
    const std::string call = Call("/look/1", "a");
    std::unique_ptr<Socket> before = gateway_->Open();
    before->Write(call.substr(0, call.size() - 1));
    WaitConnections(1);
    PutLimits(3, 500, 15000);
    std::unique_ptr<Socket> after = gateway_->Open();
    after->Write(call.substr(0, call.size() - 1));
    ASSERT_EQ(StatusOf(after->ReadAll()), 408);
    before->Write(call.substr(call.size() - 1));
    EXPECT_TRUE(IsHealthy(before->ReadMessage(), "a"));
}

// Guards against a request dropped unanswered because its connection's idle
// time was over before the gateway came to read it, as after a suspension.
TEST_F(CloseTest, ARequestThatWaitsToBeReadKeepsItsConnection)
{
    Start({Answers});
    PutLimits(2, 1000, 2000);
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(IsHealthy(caller->ReadMessage(), "a"));
    gateway_->Signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(2100));
    caller->Write(Call("/book/1", "b"));
    gateway_->Signal(SIGCONT);
    EXPECT_TRUE(IsHealthy(caller->ReadMessage(), "b"));
}

// The same with the closes of a stop.
TEST_F(CloseTest, ARequestThatWaitsToBeReadIsAnsweredDuringAStop)
{
    Start({Answers});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(IsHealthy(caller->ReadMessage(), "a"));
    gateway_->Signal(SIGTERM);
    ASSERT_TRUE(gateway_->WaitReady(false));
    gateway_->Signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    caller->Write(Call("/book/1", "b"));
    gateway_->Signal(SIGCONT);
    EXPECT_NE(StatusOf(caller->ReadMessage()), 0);
}

// Waits for EVENTS on SOCKET without reading.
bool
WaitPoll(const Socket &socket, short events)
{
    const int bound_ms = 20000;
    pollfd entry = {socket.fd(), events, 0};
    return poll(&entry, 1, bound_ms) == 1;
}

// Guards against a request that crosses the close of its idle connection and
// is read and dropped: a caller may repeat it only when it was not read.
TEST_F(CloseTest, ARequestThatCrossesAnIdleCloseIsLeftUnread)
{
    Start({Answers});
    PutLimits(2, 1000, 500);
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(WaitPoll(*caller, POLLRDHUP));
    caller->Write(Call("/book/1", "b"));
    ASSERT_TRUE(WaitPoll(*caller, 0)) << "no reset";
    EXPECT_TRUE(IsHealthy(caller->ReadMessage(), "a")) << "lost by the reset";
    EXPECT_TRUE(
        gateway_->WaitMetric("boragespur_requests_left_unread_total 1"));
    EXPECT_TRUE(Eventually([&] {
        return gateway_->Log().find("\"requests_left_unread\"") !=
               std::string::npos;
    }));
    EXPECT_EQ(runners_[0]->count(), 1);
}

// The same with the closes of a stop.
TEST_F(CloseTest, ARequestThatCrossesTheCloseOfAStopIsLeftUnread)
{
    Start({Answers});
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/book/1", "a"));
    ASSERT_TRUE(IsHealthy(caller->ReadMessage(), "a"));
    gateway_->Signal(SIGTERM);
    ASSERT_TRUE(WaitPoll(*caller, POLLRDHUP));
    caller->Write(Call("/book/1", "b"));
    ASSERT_TRUE(WaitPoll(*caller, 0)) << "no reset";
    EXPECT_EQ(gateway_->Wait(), 0);
    EXPECT_NE(gateway_->Log().find("\"requests_left_unread\""),
              std::string::npos);
    EXPECT_EQ(runners_[0]->count(), 1);
}

// Guards against a request that was read and then dropped, because the answer
// before it closed its connection during a stop.
TEST_F(CloseTest, RequestsSentAheadAreAnsweredDuringAStop)
{
    Start({Answers});
    std::unique_ptr<Socket> caller = gateway_->Open();
    gateway_->Signal(SIGTERM);
    ASSERT_TRUE(gateway_->WaitReady(false));
    caller->Write(Call("/look/1", "a") + Call("/look/2", "b"));
    std::string answers = caller->ReadAll();
    size_t second = answers.find("HTTP/1.1 200", 1);
    ASSERT_NE(second, std::string::npos);
    EXPECT_TRUE(IsHealthy(answers.substr(second), "b"));
    EXPECT_NE(answers.find("Connection: close", second), std::string::npos);
}

// Connects to GATEWAY with a receive buffer of a few KiB.
std::unique_ptr<Socket>
OpenSmall(Gateway &gateway)
{
    std::unique_ptr<Socket> other = gateway.Open();
    sockaddr_in address = {};
    socklen_t length = sizeof(address);
    getpeername(other->fd(), reinterpret_cast<sockaddr *>(&address), &length);
    return std::make_unique<Socket>(
        ConnectWithSmallBuffer(ntohs(address.sin_port)));
}

// Returns how many bytes the kernel takes for a caller that does not read.
size_t
KernelBytes()
{
    std::promise<size_t> taken;
    std::promise<void> done;
    Server server([&](Socket &socket) {
        const std::string block(65536, 'x');
        size_t bytes = 0;
        ssize_t size = 0;
        while ((size = send(socket.fd(), block.data(), block.size(),
                            MSG_DONTWAIT)) > 0) {
            bytes += static_cast<size_t>(size);
        }
        taken.set_value(bytes);
        done.get_future().wait();
    });
    Socket caller(ConnectWithSmallBuffer(server.port()));
    size_t bytes = taken.get_future().get();
    done.set_value();
    return bytes;
}

// Reads BYTES from SOCKET every PAUSE_MS for TIME_MS, then nothing for
// REST_MS, then the rest at once.
std::string
ReadSlowly(Socket &socket, size_t bytes, int pause_ms, int time_ms,
           int rest_ms = 0)
{
    std::string text;
    std::string block(bytes, '\0');
    for (int at_ms = 0; at_ms < time_ms && WaitPoll(socket, POLLIN);
         at_ms += pause_ms) {
        ssize_t size = read(socket.fd(), block.data(), block.size());
        if (size <= 0) {
            return text;
        }
        text.append(block, 0, static_cast<size_t>(size));
        std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(rest_ms));
    return text + socket.ReadAll();
}

// A long answer, of which the gateway itself still holds a part when it has
// ended.
class SlowCallerTest : public CloseTest {
  protected:
    // Less than the gateway reads ahead of a slow caller.
    static constexpr size_t kHeldBytes = 160 * 1024;
    void StartLong()
    {
        body_ = std::string(KernelBytes() + kHeldBytes, 'x');
        Start({[this](Socket &socket, const ReceivedRequest &got) {
            return socket.Write(SignedAnswer(got, body_));
        }});
    }
    void WaitAnswered()
    {
        ASSERT_TRUE(gateway_->WaitMetric(
            "boragespur_requests_total{route=\"look\",outcome=\"answered\"} "
            "1"));
    }
    bool IsWhole(const std::string &answer)
    {
        return StatusOf(answer) == 200 && answer.size() > body_.size() &&
               answer.ends_with(body_);
    }
    std::string body_;
};

// Guards against the end of an answer dropped some seconds after it was
// written, though the caller reads it steadily.
TEST_F(SlowCallerTest, GetsTheWholeAnswerBeforeTheClose)
{
    StartLong();
    std::unique_ptr<Socket> caller = OpenSmall(*gateway_);
    caller->Write(Call("/look/1", "a", "Connection: close\r\n"));
    WaitAnswered();
    EXPECT_TRUE(IsWhole(ReadSlowly(*caller, 4096, 40, 9000)));
}

// The same during a stop.
TEST_F(SlowCallerTest, GetsTheWholeAnswerDuringAStop)
{
    StartLong();
    std::unique_ptr<Socket> caller = OpenSmall(*gateway_);
    gateway_->Signal(SIGTERM);
    ASSERT_TRUE(gateway_->WaitReady(false));
    caller->Write(Call("/look/1", "a"));
    WaitAnswered();
    EXPECT_TRUE(IsWhole(ReadSlowly(*caller, 8192, 25, 3500)));
    EXPECT_EQ(gateway_->Wait(), 0);
}

// The same with an answer that began before the stop, so that its connection
// was to be kept.
TEST_F(SlowCallerTest, GetsTheWholeAnswerThatBeganBeforeAStop)
{
    body_ = std::string(KernelBytes() + kHeldBytes, 'x');
    Start({[this](Socket &socket, const ReceivedRequest &got) {
        std::string answer = SignedAnswer(got, body_);
        size_t half = answer.size() / 2;
        bool open = socket.Write(answer.substr(0, half));
        return Eventually([&] { return go_.load(); }) && open &&
               socket.Write(answer.substr(half));
    }});
    std::unique_ptr<Socket> caller = OpenSmall(*gateway_);
    caller->Write(Call("/look/1", "a"));
    ASSERT_TRUE(WaitPoll(*caller, POLLIN));
    gateway_->Signal(SIGTERM);
    ASSERT_TRUE(gateway_->WaitReady(false));
    go_ = true;
    WaitAnswered();
    EXPECT_TRUE(IsWhole(ReadSlowly(*caller, 8192, 50, 6000)));
    EXPECT_EQ(gateway_->Wait(), 0);
}

// Guards against the end of an answer dropped because its caller paused for
// less than a connection may be silent.
TEST_F(SlowCallerTest, GetsTheWholeAnswerAfterAPause)
{
    StartLong();
    std::unique_ptr<Socket> caller = OpenSmall(*gateway_);
    caller->Write(Call("/look/1", "a", "Connection: close\r\n"));
    WaitAnswered();
    EXPECT_TRUE(IsWhole(ReadSlowly(*caller, 8192, 25, 1500, 3500)));
}

// Reads 2 KiB every PAUSE_MS; returns whether the connection ends with a
// reset.
bool
EndsWithReset(Socket &socket, int pause_ms)
{
    char buffer[2048];
    ssize_t size = 1;
    while (size > 0 && WaitPoll(socket, POLLIN)) {
        size = read(socket.fd(), buffer, sizeof(buffer));
        if (size < 0) {
            return errno == ECONNRESET;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
    }
    return false;
}

// Guards against an answer that is cut off by the end of the grace period and
// ends with an orderly close.
TEST_F(CloseTest, AnAnswerCutAtTheEndOfAStopIsReset)
{
    Start({[this](Socket &socket, const ReceivedRequest &got) {
        bool open = socket.Write(StreamHead(got));
        for (int i = 1; open && !go_; i++) {
            open = socket.Write(Chunk(Event(i)));
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return false;
    }});
    std::string call = Call("/once/1", "a");
    const std::string deadline = "Deadline-Ms: 5000";
    call.replace(call.find(deadline), deadline.size(), "Deadline-Ms: 20000");
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(call);
    ASSERT_TRUE(WaitPoll(*caller, POLLIN));
    gateway_->Signal(SIGTERM);
    EXPECT_TRUE(EndsWithReset(*caller, 0));
    go_ = true;
    EXPECT_EQ(gateway_->Wait(), 0);
}

// Guards against a request that ends with a closed connection, without an
// answer, because it is still at its upstream at the end of the grace period.
TEST_F(CloseTest, ARequestWithoutAnAnswerAtTheEndOfAStopIsToldSo)
{
    Start({[](Socket &socket, const ReceivedRequest &) {
        socket.WaitClosed();
        return false;
    }});
    std::string call = Call("/calm/1", "a");
    const std::string deadline = "Deadline-Ms: 5000";
    call.replace(call.find(deadline), deadline.size(), "Deadline-Ms: 20000");
    std::unique_ptr<Socket> caller = gateway_->Open();
    gateway_->Signal(SIGTERM);
    ASSERT_TRUE(gateway_->WaitReady(false));
    caller->Write(call);
    EXPECT_EQ(StatusOf(caller->ReadMessage()), 502);
    EXPECT_EQ(gateway_->Wait(), 0);
    EXPECT_NE(gateway_->Log().find("\"cause\":\"stopped\""),
              std::string::npos);
}

// The same with an answer that has ended, and whose caller reads too slowly.
TEST_F(SlowCallerTest, GetsAResetWhenTheAnswerIsCutAtTheEndOfAStop)
{
    StartLong();
    std::unique_ptr<Socket> caller = OpenSmall(*gateway_);
    gateway_->Signal(SIGTERM);
    ASSERT_TRUE(gateway_->WaitReady(false));
    caller->Write(Call("/look/1", "a"));
    WaitAnswered();
    EXPECT_TRUE(EndsWithReset(*caller, 25));
    EXPECT_EQ(gateway_->Wait(), 0);
}

} // namespace
