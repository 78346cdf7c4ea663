// Crowds of clients that exceed or exhaust limits.  Each test starts a gateway
// whose settings give it little memory and few descriptors, and checks three
// things: the process is alive, its peak memory and its descriptors stay under
// the bounds, and an ordinary request is answered while the crowd is still
// connected.
#include "crowd.h"
#include "gateway_fixture.h"

#include <chrono>
#include <thread>

namespace {

using std::chrono::milliseconds;

// The machine of the tests.  The gateway's peak memory, in MiB, and its
// descriptors must stay under these.
constexpr long kMemoryMb = 32;
constexpr size_t kDescriptors = 1400;
constexpr size_t kFewDescriptors = 200;

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false; // the sanitizer keeps freed memory
#else
constexpr bool kMeasuresMemory = true;
#endif

// Where a crowd sends its requests.
enum class Place { kServed, kNoRoute, kReady };

const char *
PathOf(Place place)
{
    return place == Place::kServed    ? "/look/1"
           : place == Place::kNoRoute ? "/none/1"
                                      : "/-/ready";
}

// A request's head without the empty line at its end.
std::string
Head(const std::string &method, Place place)
{
    return method + " " + PathOf(place) +
           " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: c\r\n"
           "Api-Key: key\r\n";
}

// A head of PLACE that declares a body of SIZE_BYTES.
std::string
Sized(Place place, size_t size_bytes)
{
    return Head("POST", place) +
           "Content-Length: " + std::to_string(size_bytes) + "\r\n\r\n";
}

class CrowdTest : public GatewayTest {
  protected:
    void StartSmall(const Runner::Script &script, size_t descriptors)
    {
        std::string config = Config(1);
        const std::string header_limit = "\"max-header-bytes\":4096";
        config.replace(config.find(header_limit), header_limit.size(),
                       "\"max-header-bytes\":16384");
        store_.Put("op/config", config);
        runners_.push_back(std::make_unique<Runner>(script));
        store_.Put("servers/" + Name(0), Listed("desk", runners_[0]->port()));
        gateway_ = std::make_unique<Gateway>(
            store_.port(), "127.0.0.1", 0, std::vector<std::string>{},
            LogTo::kFile,
            "memory_mb: " + std::to_string(kMemoryMb) +
                ", descriptors: " + std::to_string(descriptors));
        ASSERT_TRUE(gateway_->WaitReady());
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_upstreams 1"));
        ASSERT_TRUE(gateway_->WaitMetric("boragespur_catalog_version 1"));
    }
    std::function<size_t()> Descriptors()
    {
        return [this] { return gateway_->Descriptors(); };
    }
    int PortOf(Place place)
    {
        return place == Place::kReady ? gateway_->ready_port()
                                      : gateway_->callers_port();
    }
    void ExpectServing(size_t most_descriptors, size_t bound)
    {
        ASSERT_TRUE(gateway_->IsAlive());
        EXPECT_LE(most_descriptors, bound);
        EXPECT_TRUE(Eventually([&] {
            return IsHealthy(gateway_->Ask(Call("/look/1", "a")), "a");
        }));
        EXPECT_TRUE(gateway_->WaitReady());
        EXPECT_TRUE(gateway_->IsAlive());
        long peak_kib = gateway_->PeakKib();
        RecordProperty("peak_kib", (int)peak_kib);
        printf("peak %ld KiB, %zu descriptors\n", peak_kib, most_descriptors);
        if (kMeasuresMemory) {
            EXPECT_LE(peak_kib, kMemoryMb * 1024);
        }
    }
};

class PlaceCrowdTest : public CrowdTest,
                       public testing::WithParamInterface<Place> {
  protected:
    // Lets ADD add the members of a crowd at the place, and runs it.
    void RunCrowd(const std::function<void(Crowd &)> &add,
                  const Runner::Script &script = Answers)
    {
        StartSmall(script, kDescriptors);
        Crowd crowd(PortOf(GetParam()), Descriptors());
        add(crowd);
        ExpectServing(crowd.Run(), kDescriptors);
    }
};

// Members of a crowd that together need more than the memory while each of
// them holds little.
constexpr int kMany = 700;
constexpr size_t kSmallBodyBytes = 65000;
constexpr int kSome = 40;
constexpr size_t kLargeBodyBytes = 1900000;

// Guards against many small bodies that stop short of their end: each was
// exempt from the limit on all bodies together.
TEST_P(PlaceCrowdTest, SmallBodiesThatStopShort)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kMany, Sized(GetParam(), kSmallBodyBytes),
                  std::string(kSmallBodyBytes - 1, 'x'));
    });
}

// Guards against the same bodies in small pieces, between which the limit
// could be checked against the wrong size.
TEST_P(PlaceCrowdTest, SmallBodiesInPieces)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kMany, Sized(GetParam(), kSmallBodyBytes),
                  std::string(kSmallBodyBytes - 1, 'x'), 4000);
    });
}

// Guards against the same bodies in chunks, which declare no length.
TEST_P(PlaceCrowdTest, SmallBodiesInChunks)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kMany,
                  Head("POST", GetParam()) +
                      "Transfer-Encoding: chunked\r\n\r\n",
                  Repeat(Chunk(std::string(1000, 'x')), 65), 2000);
    });
}

// Guards against bodies of nearly the permitted size, many at once.
TEST_P(PlaceCrowdTest, LargeBodiesThatStopShort)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kSome, Sized(GetParam(), kLargeBodyBytes),
                  std::string(kLargeBodyBytes - 1, 'x'));
    });
}

// Guards against bodies far over the limit, declared or not.
TEST_P(PlaceCrowdTest, BodiesOverTheLimit)
{
    RunCrowd([](Crowd &crowd) {
        std::string body(6 << 20, 'x');
        crowd.Add(kSome, Sized(GetParam(), 1u << 30), body);
        crowd.Add(kSome,
                  Head("POST", GetParam()) +
                      "Transfer-Encoding: chunked\r\n\r\n",
                  Repeat(Chunk(std::string(1 << 20, 'x')), 6));
    });
}

// Guards against heads of permitted size with as many fields as they can
// hold, kept while the body does not come.
TEST_P(PlaceCrowdTest, ManyShortHeaderFields)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kMany, Head("POST", GetParam()) + "Content-Length: 2\r\n" +
                             Repeat("a:\r\n", 4000) + "\r\nx");
    });
}

// Guards against whole requests of that kind, each of which stops the process
// for as long as it compares all fields with each other.
TEST_P(PlaceCrowdTest, WholeRequestsWithManyHeaderFields)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kSome,
                  Head("GET", GetParam()) + Repeat("a:\r\n", 4000) + "\r\n");
        crowd.Add(kSome, Head("GET", GetParam()) +
                             Repeat("Connection:b\r\n", 1100) + "\r\n");
    });
}

// Guards against answers to pipelined requests that are collected without a
// limit because the caller does not read them.
TEST_P(PlaceCrowdTest, PipelinedRequestsWithoutReading)
{
    static const std::string body(50000, 'y');
    auto script = [](Socket &socket, const ReceivedRequest &got) {
        return socket.Write(
            SignedAnswer(got, got.id == "a" ? "body of a" : body));
    };
    RunCrowd(
        [](Crowd &crowd) {
            bool served = GetParam() == Place::kServed;
            std::string request =
                served ? Head("GET", GetParam()) + "Deadline-Ms: 5000\r\n\r\n"
                       : std::string("GET ") + PathOf(GetParam()) +
                             " HTTP/1.1\r\nHost: a\r\n\r\n";
            crowd.Add(served ? 24 : 2, "",
                      Repeat(request, served ? 200 : 250000), 64 << 10);
        },
        script);
}

INSTANTIATE_TEST_SUITE_P(Places, PlaceCrowdTest,
                         testing::Values(Place::kServed, Place::kNoRoute,
                                         Place::kReady),
                         [](const auto &info) {
                             return std::string(
                                 info.param == Place::kServed    ? "Served"
                                 : info.param == Place::kNoRoute ? "NoRoute"
                                                                 : "Ready");
                         });

// Guards against answers that nest: each of the requests sent ahead was read
// while its predecessor's answer was still on the stack, with a copy of all
// bytes that followed it.
TEST_F(CrowdTest, ShortRequestsBehindARunningOne)
{
    auto script = [&](Socket &socket, const ReceivedRequest &got) {
        if (got.id == "first") {
            Eventually([&] { return go_.load(); });
        }
        return Answers(socket, got);
    };
    StartSmall(script, kDescriptors);
    std::unique_ptr<Socket> caller = gateway_->Open();
    caller->Write(Call("/look/1", "first"));
    ASSERT_TRUE(runners_[0]->WaitCount(1));
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n";
    std::thread sender([&] {
        caller->Write(Repeat(request + "\r\n", 5999) + request +
                      "Connection: close\r\n\r\n");
    });
    std::this_thread::sleep_for(milliseconds(200)); // until they are buffered
    go_ = true;
    std::string answers = caller->ReadAll();
    sender.join();
    size_t count = 0;
    for (size_t at = 0;
         (at = answers.find("HTTP/1.1 404", at)) != std::string::npos; at++) {
        count++;
    }
    EXPECT_EQ(count, 6000u);
    ExpectServing(gateway_->Descriptors(), kDescriptors);
}

// Guards against many connections each of which keeps the bytes of pipelined
// requests up to the limit of a connection.
TEST_F(CrowdTest, PipelinedBytesOfManyConnections)
{
    auto script = [&](Socket &socket, const ReceivedRequest &got) {
        if (got.id != "a") {
            Eventually([&] { return go_.load(); });
        }
        return Answers(socket, got);
    };
    StartSmall(script, kDescriptors);
    Crowd crowd(gateway_->callers_port(), Descriptors());
    crowd.Add(kMany, Head("GET", Place::kServed) + "\r\n",
              Sized(Place::kServed, kLargeBodyBytes) +
                  std::string(kLargeBodyBytes / 4, 'x'));
    size_t most = crowd.Run();
    go_ = true;
    ExpectServing(most, kDescriptors);
}

// Guards against answers that are collected for many callers who do not read
// them, each within the limit of one answer.
TEST_F(CrowdTest, AnswersThatNobodyReads)
{
    static const std::string body(200000, 'y');
    auto script = [](Socket &socket, const ReceivedRequest &got) {
        return socket.Write(
            SignedAnswer(got, got.id == "a" ? "body of a" : body));
    };
    StartSmall(script, kDescriptors);
    Crowd crowd(gateway_->callers_port(), Descriptors());
    crowd.Add(kMany, Head("GET", Place::kServed) + "\r\n");
    size_t most = crowd.Run();
    EXPECT_TRUE(gateway_->WaitMetric("boragespur_waiting 0"));
    ExpectServing(most, kDescriptors);
}

// Sends a part of a request and stops, at all places at once.
class StopCrowdTest : public CrowdTest,
                      public testing::WithParamInterface<const char *> {};

// Guards against limits on connections that hold for each listening address
// alone, so that together they need more descriptors than there are.
TEST_P(StopCrowdTest, ConnectionsToAllAddresses)
{
    StartSmall(Answers, kFewDescriptors);
    Crowd callers(gateway_->callers_port(), Descriptors());
    Crowd ready(gateway_->ready_port(), Descriptors());
    Crowd admin(
        std::stoi(gateway_->admin().substr(gateway_->admin().find(':') + 1)),
        Descriptors());
    callers.Add(kFewDescriptors, GetParam());
    ready.Add(kFewDescriptors, GetParam());
    admin.Add(kFewDescriptors, GetParam());
    size_t most = callers.Run();
    most = std::max(most, ready.Run());
    most = std::max(most, admin.Run());
    for (int i = 0; i < 100; i++) {
        most = std::max(most, gateway_->Descriptors());
        std::this_thread::sleep_for(milliseconds(10));
    }
    ExpectServing(most, kFewDescriptors);
}

INSTANTIATE_TEST_SUITE_P(
    Parts, StopCrowdTest,
    testing::Values("G", "GET /none/1 HTTP/1.1\r\nHost: a\r\n",
                    "POST /look/1 HTTP/1.1\r\nHost: a\r\n"
                    "Content-Length: 9\r\n\r\nx",
                    // Answered, but never closed by the client.
                    "GET /none/1 HTTP/1.1\r\nHost: a\r\n"
                    "Connection: close\r\n\r\n"),
    [](const auto &info) { return std::to_string(info.index); });

} // namespace
