// Streams beside a change of the sheet's model version.
#include "harness.h"

#include <chrono>
#include <gtest/gtest.h>

namespace {

const char kChat[] = "{\"model\":\"m\",\"stream\":true,"
                     "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
const char kHead[] = "HTTP/1.1 200 OK\r\nContent-Type: "
                     "text/event-stream\r\nConnection: close\r\n\r\n";

// An engine that loads what it is ordered to, one version at a time.  Its
// first stream breaks off after two events once it has loaded the version "2",
// or when Break() is called; all others are whole.  Each event names the
// version that wrote it.
class VersionEngine {
  public:
    VersionEngine() : server_([this](Socket &socket) { Serve(socket); })
    {
    }
    int port() const
    {
        return server_.port();
    }
    // Waits until the first stream has begun.
    bool WaitBegun()
    {
        return Wait([this] { return begun_.load(); });
    }
    // Waits until it was asked for a report since the first stream began.
    bool WaitReported()
    {
        return Wait([this] { return reported_; });
    }
    void Break()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        broken_ = true;
        changed_.notify_all();
    }

  private:
    bool Wait(const std::function<bool()> &ready)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(30), ready);
    }
    void Serve(Socket &socket)
    {
        std::string request;
        while (!(request = socket.ReadMessage()).empty()) {
            if (request.compare(0, 12, "GET /health ") == 0) {
                Reply(socket, Report());
            }
            else if (request.compare(0, 16, "POST /v1/orders ") == 0) {
                Reply(socket, Execute(request));
            }
            else {
                Stream(socket, request);
                return;
            }
        }
    }
    void Reply(Socket &socket, const std::string &body)
    {
        socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    std::string Report()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        reported_ = begun_;
        changed_.notify_all();
        return "{\"boot_id\":\"b\",\"checks_fencing\":true,\"loaded\":[{"
               "\"model\":\"m\",\"version\":\"" +
               version_ + "\"}]}";
    }
    std::string Execute(const std::string &request)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (request.find("\"load\"") != std::string::npos) {
            version_ = "2";
            changed_.notify_all();
        }
        return "{\"fencing\":1}";
    }
    std::string Event(int number)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return "data: {\"n\":" + std::to_string(number) + ",\"by\":\"" +
               version_ + "\"}\n\n";
    }
    void Stream(Socket &socket, const std::string &request)
    {
        size_t at = request.find("X-Resume-Events: ");
        int first = at == std::string::npos ? 0 : atoi(&request[at + 17]);
        socket.Write(kHead);
        if (first == 0 && !begun_) {
            socket.Write(Event(0) + Event(1));
            {
                std::lock_guard<std::mutex> lock(mutex_);
                begun_ = true;
                changed_.notify_all();
            }
            Wait([this] { return version_ == "2" || broken_; });
            return;
        }
        std::string events;
        for (int i = first; i < 4; i++) {
            events += Event(i);
        }
        socket.Write(events + "data: [DONE]\n\n");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::string version_ = "1";
    bool reported_ = false;
    bool broken_ = false;
    std::atomic<bool> begun_{false};
    Server server_;
};

// Guards against a stream that begins at one version of a model and goes on at
// another one after the sheet has changed the version.
TEST(StreamVersionTest, AStreamDoesNotGoOnAtAnotherModelVersion)
{
    VersionEngine engine;
    Daemon daemon(engine.port(), FreePort());
    Answer answer;
    std::thread caller(
        [&] { answer = daemon.Send("POST", "/v1/chat/completions", kChat); });
    EXPECT_TRUE(engine.WaitBegun());
    daemon.PublishVersion("2");
    caller.join();
    EXPECT_NE(answer.body.find("\"by\":\"1\""), std::string::npos);
    EXPECT_EQ(answer.body.find("\"by\":\"2\""), std::string::npos)
        << answer.body;
    EXPECT_EQ(answer.body.find("[DONE]"), std::string::npos) << answer.body;
    EXPECT_NE(answer.body.find("event: error"), std::string::npos)
        << answer.body;
}

// Guards against a stream that ends although its engine still has the version
// that began it.
TEST(StreamVersionTest, AStreamGoesOnAtItsModelVersion)
{
    VersionEngine engine;
    Daemon daemon(engine.port(), FreePort());
    Answer answer;
    std::thread caller(
        [&] { answer = daemon.Send("POST", "/v1/chat/completions", kChat); });
    EXPECT_TRUE(engine.WaitBegun());
    EXPECT_TRUE(engine.WaitReported());
    engine.Break();
    caller.join();
    EXPECT_EQ(answer.body, "data: {\"n\":0,\"by\":\"1\"}\n\n"
                           "data: {\"n\":1,\"by\":\"1\"}\n\n"
                           "data: {\"n\":2,\"by\":\"1\"}\n\n"
                           "data: {\"n\":3,\"by\":\"1\"}\n\n"
                           "data: [DONE]\n\n");
}

} // namespace
