// TLS for callers, CURVE between instances, and the export of traces.
#include "certificate.h"
#include "harness.h"

#include <csignal>
#include <cstring>
#include <curl/curl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <mutex>
#include <unistd.h>
#include <zmq.h>

namespace {

// Returns whether a caller that trusts only the certificate in FILE can
// connect and gets a response.
bool
IsServed(int port, const std::string &file)
{
    std::string url = "https://127.0.0.1:" + std::to_string(port) + "/none";
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CAINFO, file.c_str());
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    CURLcode result = curl_easy_perform(easy);
    curl_easy_cleanup(easy);
    return result == CURLE_OK;
}

void
Copy(const std::string &from, const std::string &to)
{
    std::ofstream(to, std::ios::trunc) << std::ifstream(from).rdbuf();
}

TEST(Tls, CertificateIsReplacedWithoutARestart)
{
    char path[] = "/tmp/boragespur-tls-XXXXXX";
    std::string directory = mkdtemp(path);
    auto file = [&](const char *name) { return directory + "/" + name; };
    WritePair(file("old.pem"), file("old.key"));
    WritePair(file("new.pem"), file("new.key"));
    Copy(file("old.pem"), file("c.pem"));
    Copy(file("old.key"), file("c.key"));
    {
        Daemon daemon(FreePort(), FreePort(),
                      "tls: {certificate: " + file("c.pem") +
                          ", key: " + file("c.key") + "}\n");
        EXPECT_TRUE(IsServed(daemon.callers(), file("old.pem")));
        EXPECT_FALSE(IsServed(daemon.callers(), file("new.pem")));
        Copy(file("new.pem"), file("c.pem"));
        Copy(file("new.key"), file("c.key"));
        daemon.Signal(SIGHUP);
        EXPECT_TRUE(daemon.WaitCount("tls_reloads", 1));
        EXPECT_TRUE(IsServed(daemon.callers(), file("new.pem")));
        Copy(file("old.key"), file("c.key"));
        daemon.Signal(SIGHUP);
        EXPECT_TRUE(daemon.WaitCount("tls_reloads_failed", 1));
        EXPECT_TRUE(IsServed(daemon.callers(), file("new.pem")));
    }
    for (const char *name :
         {"old.pem", "old.key", "new.pem", "new.key", "c.pem", "c.key"}) {
        unlink(file(name).c_str());
    }
    rmdir(directory.c_str());
}

struct KeyPair {
    char public_key[41];
    char secret_key[41];
    KeyPair()
    {
        zmq_curve_keypair(public_key, secret_key);
    }
};

// Sends invalid messages to PORT with the keys CLIENT until DONE returns true
// or 3000 were sent; returns whether DONE did.
template <typename Done>
bool
SendJunk(int port, const char *server, const KeyPair &client, Done done)
{
    std::string endpoint = "tcp://127.0.0.1:" + std::to_string(port);
    void *context = zmq_ctx_new();
    void *socket = zmq_socket(context, ZMQ_DEALER);
    int linger = 0;
    zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server, 41);
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, client.public_key, 41);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, client.secret_key, 41);
    zmq_connect(socket, endpoint.c_str());
    bool ended = false;
    for (int i = 0; i < 3000 && !ended; i++) {
        zmq_send(socket, "junk", 4, ZMQ_DONTWAIT);
        usleep(10000);
        ended = done();
    }
    zmq_close(socket);
    zmq_ctx_term(context);
    return ended;
}

TEST(Curve, OnlyMembersGetMessagesIn)
{
    KeyPair fleet;
    KeyPair stranger;
    Daemon daemon(FreePort(), FreePort(),
                  std::string("curve: {public: '") + fleet.public_key +
                      "', secret: '" + fleet.secret_key + "'}\n");
    EXPECT_TRUE(SendJunk(daemon.peers(), fleet.public_key, stranger, [&] {
        return daemon.Metric("peer_keys_refused") > 0;
    }));
    EXPECT_EQ(daemon.Metric("peer_bytes_received"), 0);
    EXPECT_TRUE(SendJunk(daemon.peers(), fleet.public_key, fleet, [&] {
        return daemon.Metric("peer_messages_bad") > 0;
    }));
}

TEST(Trace, SpansOfACallersTraceReachTheCollector)
{
    const std::string trace(32, 'a');
    std::mutex mutex;
    std::string spans;
    std::string request;
    Server collector([&](Socket &socket) {
        std::string body;
        while (!(body = socket.ReadMessage()).empty()) {
            {
                // Stored before the response is sent, because the response
                // ends the test's wait.
                std::lock_guard<std::mutex> lock(mutex);
                spans += body;
            }
            socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    Server service([&](Socket &socket) {
        std::lock_guard<std::mutex> lock(mutex);
        request = socket.ReadMessage();
        socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    Daemon daemon(FreePort(), service.port(),
                  "tracing: {url: \"http://127.0.0.1:" +
                      std::to_string(collector.port()) + "/v1/traces\"}\n");
    daemon.Send("POST", "/services/s/x", "{}",
                {"traceparent: 00-" + trace + "-bbbbbbbbbbbbbbbb-01"});
    EXPECT_TRUE(daemon.WaitCount("trace_spans_sent", 4));
    std::lock_guard<std::mutex> lock(mutex);
    EXPECT_NE(request.find("traceparent: 00-" + trace), std::string::npos);
    for (const std::string &part :
         {"\"traceId\":\"" + trace, std::string("\"name\":\"entry\""),
          std::string("\"name\":\"keeper\""),
          std::string("\"name\":\"owner\""),
          std::string("\"name\":\"upstream\""),
          std::string("\"parentSpanId\":\"bbbbbbbbbbbbbbbb\"")}) {
        EXPECT_NE(spans.find(part), std::string::npos) << part;
    }
}

TEST(Trace, SpansAreDroppedAndCountedWithoutACollector)
{
    Daemon daemon(
        FreePort(), FreePort(),
        "tracing: {url: \"http://127.0.0.1:" + std::to_string(FreePort()) +
            "/v1/traces\", sample_percent: 100}\n");
    daemon.Send("GET", "/services/s/x", "", {"Boragespur-Deadline-Ms: 200"});
    EXPECT_TRUE(daemon.WaitCount("trace_spans_dropped", 1));
}

} // namespace
