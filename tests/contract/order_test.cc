// Orders that the daemon sends to an engine when the sheet changes a model's
// version.
#include "harness.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>

namespace {

// The sheet's revision is in the upper 32 bits of a fencing number.
constexpr int kSheetShift = 32;

// Returns the member KEY of a flat JSON object, without quotes; "" if absent.
std::string
Member(const std::string &json, const std::string &key)
{
    size_t at = json.find("\"" + key + "\":");
    if (at == std::string::npos) {
        return "";
    }
    at += key.size() + 3;
    std::string value = json.substr(at, json.find_first_of(",}", at) - at);
    value.erase(std::remove(value.begin(), value.end(), '"'), value.end());
    return value;
}

// An engine that refuses the first REFUSED orders and executes the others. Its
// load report lists its loaded models only with REPORTS_MODELS.
class OrderEngine {
  public:
    explicit OrderEngine(int refused, bool reports_models = true)
        : refused_(refused), reports_models_(reports_models),
          server_([this](Socket &socket) { Serve(socket); })
    {
    }
    int port() const
    {
        return server_.port();
    }
    std::vector<std::string> orders()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return orders_;
    }

  private:
    void Serve(Socket &socket)
    {
        std::string request;
        while (!(request = socket.ReadMessage()).empty()) {
            std::unique_lock<std::mutex> lock(mutex_);
            bool order = request.compare(0, 16, "POST /v1/orders ") == 0;
            std::string status = order ? Execute(request) : "200 OK";
            std::string body = order ? "{\"fencing\":1}" : Report();
            lock.unlock();
            socket.Write("HTTP/1.1 " + status + "\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }
    std::string Execute(const std::string &request)
    {
        std::string order = request.substr(request.find("\r\n\r\n") + 4);
        orders_.push_back(order);
        if (refused_ > 0) {
            refused_--;
            return "409 Conflict";
        }
        if (Member(order, "verb") == "load") {
            version_ = Member(order, "version");
        }
        return "200 OK";
    }
    std::string Report() const
    {
        std::string loaded =
            version_.empty()
                ? ""
                : "{\"model\":\"m\",\"version\":\"" + version_ + "\"}";
        return "{\"boot_id\":\"b\",\"checks_fencing\":true" +
               (reports_models_ ? ",\"loaded\":[" + loaded + "]"
                                : std::string()) +
               "}";
    }

    std::mutex mutex_;
    int refused_;
    bool reports_models_;
    std::string version_;
    std::vector<std::string> orders_;
    Server server_;
};

void
ExpectLoad(const std::string &order, const char *version, long revision)
{
    EXPECT_EQ(Member(order, "verb"), "load") << order;
    EXPECT_EQ(Member(order, "model"), "m") << order;
    EXPECT_EQ(Member(order, "version"), version) << order;
    EXPECT_EQ(atol(Member(order, "fencing").c_str()) >> kSheetShift, revision)
        << order;
}

// The engine has no model loaded at first; then the sheet changes from version
// 1 to 2.
TEST(Orders, BringAnEngineToTheVersionOfTheSheet)
{
    OrderEngine engine(0);
    Daemon daemon(engine.port(), FreePort());
    EXPECT_TRUE(daemon.WaitMetric("orders_taken", 1));
    daemon.PublishVersion("2");
    EXPECT_TRUE(daemon.WaitMetric("orders_taken", 2));
    std::vector<std::string> orders = engine.orders();
    ASSERT_EQ(orders.size(), 2u);
    ExpectLoad(orders[0], "1", 1);
    ExpectLoad(orders[1], "2", 2);
    EXPECT_EQ(daemon.Metric("orders_sent"), 2);
}

TEST(Orders, RefusedOneIsCountedAndSentAgain)
{
    OrderEngine engine(1);
    Daemon daemon(engine.port(), FreePort());
    EXPECT_TRUE(daemon.WaitMetric("orders_taken", 1));
    EXPECT_EQ(daemon.Metric("orders_refused"), 1);
    EXPECT_EQ(daemon.Metric("orders_failed"), 0);
    EXPECT_EQ(daemon.Metric("orders_sent"), 2);
    EXPECT_EQ(daemon.Metric("orders_repeated"), 1);
    std::vector<std::string> orders = engine.orders();
    ASSERT_EQ(orders.size(), 2u);
    ExpectLoad(orders[1], "1", 1);
}

TEST(Orders, AreNotSentToAnEngineThatDoesNotReportItsModels)
{
    OrderEngine engine(0, false);
    Daemon daemon(engine.port(), FreePort());
    EXPECT_TRUE(daemon.WaitCount("health_reports", 2));
    daemon.PublishVersion("2");
    EXPECT_TRUE(daemon.WaitCount("health_reports", 4));
    EXPECT_EQ(daemon.Metric("orders_sent"), 0);
}

} // namespace
