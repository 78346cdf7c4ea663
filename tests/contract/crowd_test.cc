// Crowds of clients that exceed or exhaust the limits of the daemon.  Each
// test checks three things: the process is alive, its peak memory and its
// descriptors stay under the bounds, and an ordinary request is answered while
// the crowd is still connected.
#include "certificate.h"
#include "crowd.h"
#include "harness.h"
#include "lastingcrowd.h"

#include <csignal>
#include <curl/curl.h>
#include <filesystem>
#include <fstream>
#include <gnutls/gnutls.h>
#include <sys/resource.h>

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

// Starts the processes of its scope with at most COUNT descriptors each.
class DescriptorLimit {
  public:
    explicit DescriptorLimit(rlim_t count)
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        rlimit lower = {count, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lower);
    }
    ~DescriptorLimit()
    {
        setrlimit(RLIMIT_NOFILE, &before_);
    }

  private:
    rlimit before_;
};

// An upstream that answers the path /services/s/long with LONG_BYTES.
constexpr size_t kLongBytes = 400000;

void
ServeBody(Socket &socket)
{
    std::string request;
    while (!(request = socket.ReadMessage()).empty()) {
        std::string body(
            request.find("long") == std::string::npos ? 1 : kLongBytes, 'x');
        socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

std::string
HeadOf(const std::string &method, const std::string &path)
{
    return method + " " + path + " HTTP/1.1\r\nHost: a\r\n" +
           "Authorization: Bearer " + kToken + "\r\n";
}

// How a crowd occupies connections.
struct Way {
    const char *name;
    std::string text;
    std::string drip;
};

void
PrintTo(const Way &way, std::ostream *out)
{
    *out << way.name;
}

const Way kWays[] = {
    {"Idle", "", ""},
    {"HalfHead", "GET /v1/mod", ""},
    {"SlowHead", "GET /v1/models HTTP/1.1\r\n", "a:\r\n"},
    {"SlowBody",
     HeadOf("POST", "/v1/chat/completions") + "Content-Length: 200000\r\n\r\n",
     "x"},
    {"SlowBodyNowhere",
     HeadOf("POST", "/none") + "Content-Length: 200000\r\n\r\n", "x"},
    {"SlowChunks",
     HeadOf("POST", "/v1/chat/completions") +
         "Transfer-Encoding: chunked\r\n\r\n",
     "1\r\nx\r\n"},
    {"NotRead", HeadOf("GET", "/services/s/long") + "\r\n", ""},
};

// How long an ordinary request is tried: longer than any time-out that would
// end a crowd whose members do not come back.
constexpr std::chrono::seconds kServedWithin{45};

class OccupiedTest : public testing::Test {
  protected:
    // Runs SERVED, which makes an ordinary request, until it returns true.
    // Returns whether it did, and in MOST the descriptors of PID meanwhile.
    static bool TryServed(pid_t pid, size_t *most,
                          const std::function<bool()> &served)
    {
        auto end = std::chrono::steady_clock::now() + kServedWithin;
        while (std::chrono::steady_clock::now() < end) {
            *most = std::max(*most, Descriptors(pid));
            if (served()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }
    // Lets a crowd fill what it can before the ordinary request is made.
    static size_t Settle(pid_t pid)
    {
        size_t most = 0;
        for (int i = 0; i < 200; i++) {
            most = std::max(most, Descriptors(pid));
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return most;
    }
    static void ExpectBounds(pid_t pid, long before_kib, size_t most,
                             size_t descriptors_max,
                             long growth_max_kib = kGrowthMaxKib)
    {
        EXPECT_EQ(kill(pid, 0), 0);
        EXPECT_LE(most, descriptors_max);
        long growth_kib = PeakKib(pid) - before_kib;
        printf("growth %ld KiB, %zu descriptors\n", growth_kib, most);
        if (kMeasuresMemory) {
            EXPECT_LE(growth_kib, growth_max_kib);
        }
    }
    static bool IsServedByUpstream(Daemon &daemon)
    {
        return daemon.Send("GET", "/services/s/x", "").body == "x";
    }
};

class OccupiedWayTest : public OccupiedTest,
                        public testing::WithParamInterface<Way> {};

// Guards against a crowd that occupies all connections and returns as soon as
// it is closed, so that nobody else is served.
TEST_P(OccupiedWayTest, AllConnections)
{
    Server service(ServeBody);
    Daemon daemon(FreePort(), service.port(), kLimits);
    long before_kib = PeakKib(daemon.pid());
    LastingCrowd crowd(daemon.callers(), 2 * kConnections, GetParam().text,
                       GetParam().drip);
    size_t most = Settle(daemon.pid());
    EXPECT_TRUE(TryServed(daemon.pid(), &most,
                          [&] { return IsServedByUpstream(daemon); }));
    ExpectBounds(daemon.pid(), before_kib, most, kDescriptorsMax);
}

// Guards against a crowd that takes all descriptors of a process whose limit
// is lower than its connections need: nothing is left for its upstreams.
TEST_P(OccupiedWayTest, AllDescriptors)
{
    constexpr size_t kDescriptors = 400;
    constexpr size_t kKept = 40; // for upstreams, peers, platform and files
    Server service(ServeBody);
    std::unique_ptr<Daemon> daemon;
    {
        DescriptorLimit limit(kDescriptors);
        daemon = std::make_unique<Daemon>(FreePort(), service.port(), kLimits);
    }
    long before_kib = PeakKib(daemon->pid());
    LastingCrowd crowd(daemon->callers(), 2 * kConnections, GetParam().text,
                       GetParam().drip);
    size_t most = Settle(daemon->pid());
    EXPECT_TRUE(TryServed(daemon->pid(), &most,
                          [&] { return IsServedByUpstream(*daemon); }));
    ExpectBounds(daemon->pid(), before_kib, most, kDescriptors - kKept);
}

// Guards against a crowd that occupies the admin address, so that the ready
// check and the operator get no answer.
TEST_P(OccupiedWayTest, AdminAddress)
{
    Daemon daemon(FreePort(), FreePort(), kLimits);
    long before_kib = PeakKib(daemon.pid());
    LastingCrowd crowd(daemon.admin(), kConnections, GetParam().text,
                       GetParam().drip);
    size_t most = Settle(daemon.pid());
    EXPECT_TRUE(TryServed(daemon.pid(), &most, [&] {
        return daemon.Metric("list_revision") == 1;
    }));
    EXPECT_TRUE(TryServed(daemon.pid(), &most, [&] {
        return daemon.Send("GET", "/v1/models", "").status == 200;
    }));
    ExpectBounds(daemon.pid(), before_kib, most, kDescriptorsMax);
}

// Guards against a crowd in whose favour the connections of ordinary callers
// are closed while they are idle.
TEST_P(OccupiedWayTest, OpenConnection)
{
    Server service(ServeBody);
    Daemon daemon(FreePort(), service.port(), kLimits);
    pid_t pid = daemon.pid();
    long before_kib = PeakKib(pid);
    Socket caller(Connect(daemon.callers()));
    const std::string request = HeadOf("GET", "/services/s/x") + "\r\n";
    caller.Write(request);
    EXPECT_EQ(caller.ReadMessage().compare(0, 12, "HTTP/1.1 200"), 0);
    LastingCrowd crowd(daemon.callers(), 2 * kConnections, GetParam().text,
                       GetParam().drip);
    size_t most = Settle(pid);
    caller.Write(request);
    std::string answer = caller.ReadMessage();
    EXPECT_EQ(answer.compare(0, 12, "HTTP/1.1 200"), 0) << answer;
    ExpectBounds(pid, before_kib, most, kDescriptorsMax);
}

// Guards against a crowd at the peers' address that takes what callers need.
TEST_P(OccupiedWayTest, PeersAddress)
{
    Server service(ServeBody);
    Daemon daemon(FreePort(), service.port(), kLimits);
    pid_t pid = daemon.pid();
    long before_kib = PeakKib(pid);
    LastingCrowd crowd(daemon.peers(), kConnections, GetParam().text,
                       GetParam().drip);
    size_t most = Settle(pid);
    EXPECT_TRUE(
        TryServed(pid, &most, [&] { return IsServedByUpstream(daemon); }));
    ExpectBounds(pid, before_kib, most, kDescriptorsMax);
}

INSTANTIATE_TEST_SUITE_P(Ways, OccupiedWayTest, testing::ValuesIn(kWays),
                         [](const auto &info) { return info.param.name; });

// Guards against connections that the daemon has closed, but whose clients
// have not, and that count against no limit.
TEST_F(OccupiedTest, ClosedByTheDaemonOnly)
{
    Server service(ServeBody);
    Daemon daemon(FreePort(), service.port(), kLimits);
    pid_t pid = daemon.pid();
    long before_kib = PeakKib(pid);
    std::vector<std::unique_ptr<Crowd>> waves;
    size_t most = 0;
    for (int i = 0; i < 10; i++) {
        waves.push_back(std::make_unique<Crowd>(
            daemon.callers(), [pid] { return Descriptors(pid); }));
        waves.back()->Add(kMany, HeadOf("GET", "/none") +
                                     "Connection: close\r\n\r\n");
        most = std::max(most, waves.back()->Run());
    }
    EXPECT_TRUE(
        TryServed(pid, &most, [&] { return IsServedByUpstream(daemon); }));
    ExpectBounds(pid, before_kib, most, kDescriptorsMax);
}

// Guards against answers that are kept for many callers who do not read them,
// each within the limit of one answer.
TEST_F(OccupiedTest, AnswersThatNobodyReads)
{
    Server service(ServeBody);
    Daemon daemon(FreePort(), service.port(), kLimits);
    pid_t pid = daemon.pid();
    long before_kib = PeakKib(pid);
    Crowd crowd(daemon.callers(), [pid] { return Descriptors(pid); });
    crowd.Add(kMany, HeadOf("GET", "/services/s/long") + "\r\n");
    size_t most = crowd.Run();
    most = std::max(most, Settle(pid));
    EXPECT_TRUE(
        TryServed(pid, &most, [&] { return IsServedByUpstream(daemon); }));
    ExpectBounds(pid, before_kib, most, kDescriptorsMax);
}

// Guards against a crowd that takes the last descriptor of the process, after
// which the daemon neither accepts nor serves: the limit is lowered while it
// runs, so that its own limit on connections does not help.
TEST_F(OccupiedTest, NoDescriptorLeft)
{
    Server service(ServeBody);
    Daemon daemon(FreePort(), service.port(), kLimits);
    pid_t pid = daemon.pid();
    long before_kib = PeakKib(pid);
    rlimit before = {};
    rlimit lower = {};
    ASSERT_EQ(prlimit(pid, RLIMIT_NOFILE, nullptr, &before), 0);
    lower = {Descriptors(pid) + 30, before.rlim_max};
    ASSERT_EQ(prlimit(pid, RLIMIT_NOFILE, &lower, nullptr), 0);
    size_t most = 0;
    {
        LastingCrowd crowd(daemon.callers(), kConnections, "", "");
        most = Settle(pid);
    }
    EXPECT_TRUE(
        TryServed(pid, &most, [&] { return IsServedByUpstream(daemon); }));
    ExpectBounds(pid, before_kib, most, kDescriptorsMax);
}

// A daemon whose callers use TLS.
class TlsDaemon {
  public:
    explicit TlsDaemon(int service_port)
    {
        char path[] = "/tmp/boragespur-tls-XXXXXX";
        directory_ = mkdtemp(path);
        WritePair(directory_ + "/c.pem", directory_ + "/c.key");
        daemon_ = std::make_unique<Daemon>(
            FreePort(), service_port,
            kLimits + ("tls: {certificate: " + directory_ +
                       "/c.pem, key: " + directory_ + "/c.key}\n"));
    }
    ~TlsDaemon()
    {
        daemon_.reset();
        std::filesystem::remove_all(directory_);
    }
    pid_t pid() const
    {
        return daemon_->pid();
    }
    int callers() const
    {
        return daemon_->callers();
    }
    bool IsServedByUpstream() const
    {
        std::string url =
            "https://127.0.0.1:" + std::to_string(callers()) + "/services/s/x";
        std::string account = std::string("Authorization: Bearer ") + kToken;
        std::string body;
        CURL *easy = curl_easy_init();
        curl_slist *list = curl_slist_append(nullptr, account.c_str());
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT, 30L);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
        curl_easy_setopt(easy, CURLOPT_CAINFO,
                         (directory_ + "/c.pem").c_str());
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, Append);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &body);
        curl_easy_perform(easy);
        curl_easy_cleanup(easy);
        curl_slist_free_all(list);
        return body == "x";
    }

  private:
    static size_t Append(char *data, size_t unit, size_t count, void *body)
    {
        static_cast<std::string *>(body)->append(data, unit * count);
        return unit * count;
    }
    std::string directory_;
    std::unique_ptr<Daemon> daemon_;
};

// A caller that completes its handshake, sends TEXT and reads nothing.
class TlsMember {
  public:
    TlsMember(int port, const std::string &text)
        : socket_(ConnectWithSmallBuffer(port))
    {
        gnutls_certificate_allocate_credentials(&credentials_);
        gnutls_init(&session_, GNUTLS_CLIENT);
        gnutls_set_default_priority(session_);
        gnutls_credentials_set(session_, GNUTLS_CRD_CERTIFICATE, credentials_);
        gnutls_transport_set_int(session_, socket_.fd());
        gnutls_handshake_set_timeout(session_, 10000);
        if (gnutls_handshake(session_) == GNUTLS_E_SUCCESS) {
            gnutls_record_send(session_, text.data(), text.size());
        }
    }
    ~TlsMember()
    {
        gnutls_deinit(session_);
        gnutls_certificate_free_credentials(credentials_);
    }

  private:
    Socket socket_;
    gnutls_session_t session_;
    gnutls_certificate_credentials_t credentials_;
};

// Growth of the peak memory with TLS: 64 KiB more for each connection, for its
// session and the records that are being read and written.
constexpr long kTlsGrowthMaxKib = kGrowthMaxKib + 64L * (kConnections + 64);

const Way kTlsWays[] = {
    {"Idle", "", ""},
    {"HalfHandshake", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc", 9),
     std::string(1, '\0')},
    {"NotTls", "GET /v1/models HTTP/1.1\r\n", ""},
};

class TlsCrowdTest : public OccupiedTest,
                     public testing::WithParamInterface<Way> {};

// Guards against a crowd that occupies all connections before or within the
// TLS handshake, where the HTTP server does not see it.
TEST_P(TlsCrowdTest, BeforeTheHandshake)
{
    Server service(ServeBody);
    TlsDaemon daemon(service.port());
    pid_t pid = daemon.pid();
    long before_kib = PeakKib(pid);
    LastingCrowd crowd(daemon.callers(), 2 * kConnections, GetParam().text,
                       GetParam().drip);
    size_t most = Settle(pid);
    EXPECT_TRUE(
        TryServed(pid, &most, [&] { return daemon.IsServedByUpstream(); }));
    ExpectBounds(pid, before_kib, most, kDescriptorsMax, kTlsGrowthMaxKib);
}

INSTANTIATE_TEST_SUITE_P(Ways, TlsCrowdTest, testing::ValuesIn(kTlsWays),
                         [](const auto &info) { return info.param.name; });

// What callers with TLS send after the handshake.
const Way kTlsTexts[] = {
    {"HalfHead", "GET /v1/mod", ""},
    {"HalfBody", HeadOf("POST", "/none") + "Content-Length: 9\r\n\r\n", ""},
    {"NotRead", HeadOf("GET", "/services/s/long") + "\r\n", ""},
};

class TlsStoppedTest : public TlsCrowdTest {};

// Guards against callers with TLS that stop after the handshake, and against
// answers that they do not read.
TEST_P(TlsStoppedTest, AfterTheHandshake)
{
    Server service(ServeBody);
    TlsDaemon daemon(service.port());
    pid_t pid = daemon.pid();
    long before_kib = PeakKib(pid);
    std::vector<std::unique_ptr<TlsMember>> members;
    for (int i = 0; i < kMany; i++) {
        members.push_back(
            std::make_unique<TlsMember>(daemon.callers(), GetParam().text));
    }
    size_t most = Settle(pid);
    EXPECT_TRUE(
        TryServed(pid, &most, [&] { return daemon.IsServedByUpstream(); }));
    ExpectBounds(pid, before_kib, most, kDescriptorsMax, kTlsGrowthMaxKib);
}

INSTANTIATE_TEST_SUITE_P(Ways, TlsStoppedTest, testing::ValuesIn(kTlsTexts),
                         [](const auto &info) { return info.param.name; });

} // namespace
