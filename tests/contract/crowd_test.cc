// Crowds of clients that exceed or exhaust the limits of the daemon.  Each
// test checks three things: the process is alive, its peak memory and its
// descriptors stay under the bounds, and an ordinary request is answered while
// the crowd is still connected.
#include "crowd.h"
#include "harness.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace {

// What the settings of the tests allow.
const char kLimits[] = "limits: {body_bytes: 300000, queue_bytes: 2097152, "
                       "connections: 300}\n";
constexpr int kConnections = 300;

// Growth of the peak memory: bodies of queue_bytes, a head of 16 KiB for each
// connection on either side of the screen, and as much again.
constexpr long kGrowthMaxKib = 24 << 10;

// Each connection has a socket, and the two ends of the pair that links it to
// the server library.  The daemon itself, and connections beyond the limit,
// which are refused with an answer, are the rest.
constexpr size_t kDescriptorsMax = 3 * (kConnections + 64) + 64;

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false; // the sanitizer keeps freed memory
#else
constexpr bool kMeasuresMemory = true;
#endif

long
PeakKib(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    long kib = 0;
    while (file >> word && word != "VmHWM:") {
    }
    file >> kib;
    return kib;
}

size_t
Descriptors(pid_t pid)
{
    std::error_code error;
    size_t count = 0;
    for (std::filesystem::directory_iterator
             at("/proc/" + std::to_string(pid) + "/fd", error),
         end;
         !error && at != end; at.increment(error)) {
        count++;
    }
    return count;
}

struct Place {
    const char *name;
    const char *path;
    bool admin;
};

class DaemonCrowdTest : public testing::TestWithParam<Place> {
  protected:
    static std::string Head(const std::string &method)
    {
        return method + " " + GetParam().path +
               " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + kToken +
               "\r\n";
    }
    void RunCrowd(const std::function<void(Crowd &)> &add)
    {
        Daemon daemon(FreePort(), FreePort(), kLimits);
        pid_t pid = daemon.pid();
        long before_kib = PeakKib(pid);
        Crowd crowd(GetParam().admin ? daemon.admin() : daemon.callers(),
                    [pid] { return Descriptors(pid); });
        add(crowd);
        size_t most = crowd.Run();
        EXPECT_LE(most, kDescriptorsMax);
        EXPECT_TRUE(IsServed(daemon));
        EXPECT_EQ(kill(pid, 0), 0);
        long growth_kib = PeakKib(pid) - before_kib;
        printf("growth %ld KiB, %zu descriptors\n", growth_kib, most);
        if (kMeasuresMemory) {
            EXPECT_LE(growth_kib, kGrowthMaxKib);
        }
    }

  private:
    // Polls, as a full instance may refuse the request at first.
    static bool IsServed(Daemon &daemon)
    {
        for (int i = 0; i < 400; i++) {
            if (daemon.Send("GET", "/v1/models", "").status == 200) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }
};

constexpr int kMany = 250;
constexpr size_t kBodyBytes = 290000;

// Guards against bodies that are kept without a limit on all of them until
// each is complete.
TEST_P(DaemonCrowdTest, BodiesThatStopShort)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kMany,
                  Head("POST") + "Content-Length: " +
                      std::to_string(kBodyBytes) + "\r\n\r\n",
                  std::string(kBodyBytes - 1, 'x'));
    });
}

// Guards against the same bodies in chunks, which declare no length.
TEST_P(DaemonCrowdTest, BodiesInChunks)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kMany, Head("POST") + "Transfer-Encoding: chunked\r\n\r\n",
                  Repeat("3e8\r\n" + std::string(1000, 'x') + "\r\n",
                         kBodyBytes / 1000),
                  16000);
    });
}

// Guards against bodies far over the limit, declared or not.
TEST_P(DaemonCrowdTest, BodiesOverTheLimit)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(20, Head("POST") + "Content-Length: 1000000000\r\n\r\n",
                  std::string(2 << 20, 'x'));
        crowd.Add(20, Head("POST") + "Transfer-Encoding: chunked\r\n\r\n",
                  Repeat("3e8\r\n" + std::string(1000, 'x') + "\r\n", 2000));
    });
}

// Guards against heads of permitted size with very many fields.
TEST_P(DaemonCrowdTest, ManyShortHeaderFields)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kMany, Head("POST") + "Content-Length: 2\r\n" +
                             Repeat("a:\r\n", 3900) + "\r\nx");
    });
}

// Guards against answers that are collected because nobody reads them.
TEST_P(DaemonCrowdTest, PipelinedRequestsWithoutReading)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(4, "", Repeat(Head("GET") + "\r\n", 20000), 64 << 10);
    });
}

// Guards against clients that stop half-way or never close, and keep
// descriptors beyond the limit on connections.
TEST_P(DaemonCrowdTest, ManyThatStopHalfWay)
{
    RunCrowd([](Crowd &crowd) {
        crowd.Add(kConnections / 2, "GET /v1/mod");
        crowd.Add(kConnections / 2,
                  Head("POST") + "Content-Length: 9\r\n\r\n");
        crowd.Add(2 * kConnections, Head("GET") + "Connection: close\r\n\r\n");
    });
}

INSTANTIATE_TEST_SUITE_P(
    Places, DaemonCrowdTest,
    testing::Values(Place{"Served", "/v1/chat/completions", false},
                    Place{"NoPath", "/none", false},
                    Place{"Ready", "/readyz", true}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
