// Upstreams that answer a long request before they have received all of it,
// and end the connection meanwhile.
#include "gateway_fixture.h"

#include <chrono>
#include <sys/socket.h>
#include <thread>

namespace {

// Close to the most that the configuration allows, and more than an upstream
// takes that reads the head only.
const size_t kUploadBytes = 1900000;

// Receive buffer of the upstreams' connections.
const int kReceiveBytes = 4096;

const char kPart[] = "the first part of the body";

// How the upstream ends its connection after it has written kPart.
enum class CutKind {
    kReset,          // with a reset
    kCloseUnread,    // close() beside unread bytes, which resets, too
    kHalfClose,      // shutdown() for writing
    kHalfCloseReset, // the same, and a reset at once
    kClose,          // close() after all bytes that had arrived were read
};

struct CutCase {
    const char *name;
    const char *version;
    CutKind kind;
    const char *path;
    const char *headers = "";
};

const char kEvents[] = "Content-Type: text/event-stream\r\n";

const CutCase kCuts[] = {
    {"Reset", "HTTP/1.1", CutKind::kReset, "/book/1"},
    {"ResetOfASafeOne", "HTTP/1.1", CutKind::kReset, "/look/1"},
    {"ResetOfAnOldVersion", "HTTP/1.0", CutKind::kReset, "/book/1"},
    {"ResetOfEvents", "HTTP/1.1", CutKind::kReset, "/once/1", kEvents},
    {"CloseUnread", "HTTP/1.1", CutKind::kCloseUnread, "/book/1"},
    {"HalfClose", "HTTP/1.1", CutKind::kHalfClose, "/book/1"},
    {"HalfCloseOfASafeOne", "HTTP/1.1", CutKind::kHalfClose, "/look/1"},
    {"HalfCloseOfAnOldVersion", "HTTP/1.0", CutKind::kHalfClose, "/book/1"},
    {"HalfCloseOfEvents", "HTTP/1.1", CutKind::kHalfClose, "/once/1", kEvents},
    {"HalfCloseAndReset", "HTTP/1.1", CutKind::kHalfCloseReset, "/book/1"},
    {"Close", "HTTP/1.1", CutKind::kClose, "/book/1"},
};

class UploadEndTest : public GatewayTest {
  protected:
    ~UploadEndTest() override
    {
        go_ = true;
        gateway_.reset();
        servers_.clear();
    }
    void StartServers(size_t count, const Server::Handler &handler)
    {
        store_.Put("op/config", Config(1));
        for (size_t i = 0; i < count; i++) {
            servers_.push_back(std::make_unique<Server>(handler));
            store_.Put("servers/" + Name(i),
                       Listed("desk", servers_[i]->port()));
        }
        gateway_ = std::make_unique<Gateway>(store_.port());
        ASSERT_TRUE(gateway_->WaitReady());
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams " +
                                         std::to_string(count)));
    }
    // Reads the head of a request only; its id is "" when there is none.
    static ReceivedRequest ReadHead(Socket &socket)
    {
        setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
                   sizeof(kReceiveBytes));
        ReceivedRequest got;
        got.text = ReadUntil(socket, "\r\n\r\n");
        got.id = got.Header("Request-Id");
        return got;
    }
    static std::string Head(const std::string &version, int status,
                            const ReceivedRequest &got,
                            const std::string &headers)
    {
        return version + " " + std::to_string(status) +
               " X\r\nRequest-Id: " + got.id + "\r\nResponse-Signature: sig-" +
               got.id + "\r\n" + headers + "\r\n";
    }
    // Sends a long request; returns what its caller gets until the connection
    // ends.
    std::string Upload(const std::string &path)
    {
        std::unique_ptr<Socket> caller = gateway_->Open();
        caller->Write(Call(path, "a", "Connection: close\r\n",
                           std::string(kUploadBytes, 'x')));
        return caller->ReadAll();
    }
    // Returns whether ANSWER is a success that looks complete.
    static bool IsCompleteSuccess(const std::string &answer)
    {
        bool complete = false;
        if (answer.find("chunked\r\n") != std::string::npos) {
            Dechunk(answer, &complete);
            return complete && StatusOf(answer) == 200;
        }
        return StatusOf(answer) == 200;
    }

    std::vector<std::unique_ptr<Server>> servers_;
};

class UploadCutTest : public UploadEndTest,
                      public testing::WithParamInterface<CutCase> {
  protected:
    // Reads what arrives until nothing does for a while.
    static void ReadArrived(Socket &socket)
    {
        char buffer[65536];
        timeval limit = {0, 50000};
        setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                   sizeof(limit));
        ASSERT_GT(recv(socket.fd(), buffer, sizeof(buffer), 0), 0);
    }
    void Cut(Socket &socket)
    {
        switch (GetParam().kind) {
        case CutKind::kReset:
            socket.Reset();
            break;
        case CutKind::kHalfClose:
            socket.CloseWrite();
            Eventually([this] { return go_.load(); });
            break;
        case CutKind::kHalfCloseReset:
            socket.CloseWrite();
            socket.Reset();
            break;
        case CutKind::kClose:
            ReadArrived(socket);
            break;
        default:
            break;
        }
    }
};

// Guards against a part of an answer that reaches its caller as complete, as
// the upstream's connection ended while the request was still being written.
TEST_P(UploadCutTest, APartIsNoCompleteAnswer)
{
    StartServers(2, [this](Socket &socket) {
        ReceivedRequest got = ReadHead(socket);
        if (!got.id.empty()) {
            socket.Write(
                Head(GetParam().version, 200, got, GetParam().headers) +
                (GetParam().headers[0] == '\0' ? kPart : Event(0)));
            /* The gateway reads it before the end of the connection. */
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            Cut(socket);
        }
    });
    std::string answer = Upload(GetParam().path);
    EXPECT_FALSE(IsCompleteSuccess(answer)) << answer;
    EXPECT_TRUE(Eventually([this] {
        return gateway_->Log().find("answer_cut_off") != std::string::npos;
    }));
}

INSTANTIATE_TEST_SUITE_P(Cuts, UploadCutTest, testing::ValuesIn(kCuts),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// Guards against a complete early answer that is taken for a part of one.
TEST_F(UploadEndTest, AnEarlyAnswerWithALengthIsComplete)
{
    StartServers(1, [this](Socket &socket) {
        ReceivedRequest got = ReadHead(socket);
        if (!got.id.empty()) {
            socket.Write(Head("HTTP/1.1", 200, got, "Content-Length: 4\r\n") +
                         "done");
            Eventually([this] { return go_.load(); });
        }
    });
    std::string answer = Upload("/book/1");
    EXPECT_EQ(StatusOf(answer), 200) << answer;
    EXPECT_NE(answer.find("\r\n\r\ndone"), std::string::npos) << answer;
}

// Guards against an answer that ends with its connection, after the upstream
// has received the whole request, and is taken for a part of one.
TEST_F(UploadEndTest, AnAnswerAfterTheWholeRequestIsComplete)
{
    StartServers(1, [](Socket &socket) {
        ReceivedRequest got;
        got.text = socket.ReadMessage();
        got.id = got.Header("Request-Id");
        if (!got.id.empty()) {
            socket.Write(Head("HTTP/1.1", 200, got, "") + kPart);
        }
    });
    std::string answer = Upload("/book/1");
    EXPECT_TRUE(IsCompleteSuccess(answer)) << answer;
    EXPECT_NE(answer.find(kPart), std::string::npos) << answer;
}

} // namespace
