// Real sockets around a real gateway: a stand-in of the platform's store,
// scripted upstreams, and raw callers.  Waits end with an event or fail after
// a generous bound.
#ifndef GATE_HARNESS_H
#define GATE_HARNESS_H

#include "harness.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

// What the store does with calls.
enum class StoreMode {
    kServe,
    kRefuse, // 503
    kBusy,   // 429
    kReset,
    kSilent,  // takes calls and says nothing
    kLoseOne, // drops the next answer, once
};

// Stand-in of the platform's store: range and watch, as published.
class Store {
  public:
    Store();
    ~Store();
    int port() const
    {
        return server_->port();
    }
    void Put(const std::string &key, const std::string &value);
    void Remove(const std::string &key);
    void SetMode(StoreMode mode);
    // Forgets the history: watches from before get 410.
    void Compact();
    // The revision of the last change.
    uint64_t revision();
    int calls() const
    {
        return calls_;
    }
    int ranges() const
    {
        return ranges_;
    }
    // Calls on connections that were idle for a second: a firewall between
    // has forgotten these, so nobody answers.
    int stale_calls() const
    {
        return stale_calls_;
    }

  private:
    struct Item {
        std::string value;
        bool removed;
        long revision;
    };
    void Serve(Socket &socket);
    std::string Range(const std::string &prefix, const std::string &after);
    // "" when the call ends without an answer.
    std::string Watch(const std::string &prefix, long after, long wait_ms);
    std::string Items(const std::string &prefix, long after, bool removed);
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    long revision_ = 10;
    long oldest_ = 0;
    StoreMode mode_ = StoreMode::kServe;
    bool stopping_ = false;
    std::atomic<int> calls_{0};
    std::atomic<int> ranges_{0};
    std::atomic<int> stale_calls_{0};
    std::unique_ptr<Server> server_;
};

// A request as a scripted upstream got it.
struct Got {
    std::string text;
    std::string id;
    // Returns the value of a header, or "".
    std::string Header(const std::string &name) const;
    std::string body() const;
};

// A scripted upstream.  The script answers one request; returning false closes
// the connection.
class Runner {
  public:
    using Script = std::function<bool(Socket &, const Got &)>;
    explicit Runner(Script script);
    int port() const
    {
        return server_->port();
    }
    int count();
    Got request(size_t index);
    bool WaitCount(int count);
    int connections() const
    {
        return connections_;
    }

  private:
    void Serve(Socket &socket);
    Script script_;
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<Got> requests_;
    std::atomic<int> connections_{0};
    std::unique_ptr<Server> server_;
};

// A whole signed answer to GOT.
std::string SignedAnswer(const Got &got, const std::string &body,
                         int status = 200);

// Head of a signed event stream in chunks, and one event of it.
std::string StreamHead(const Got &got);
std::string Event(int id);
std::string Chunk(const std::string &text);
std::string LastChunk();

// The routes, services and accounts of the tests, as the operator writes them.
// EXTRA goes into the list of routes.
std::string Config(int version, const std::string &extra = "");

// An entry of an upstream.
std::string Listed(const std::string &service, int port,
                   const std::string &zone = "z1",
                   const std::string &state = "ready",
                   const std::string &extra = "");

// A caller's request with the usual headers.
std::string Call(const std::string &path, const std::string &id,
                 const std::string &extra = "", const std::string &body = "",
                 const std::string &method = "POST");

// Where a gateway's log goes.
enum class LogTo {
    kFile,
    kUnreadPipe, // one that holds a page, and that nobody reads
};

// A gateway on the address IP with the given store and seeds.
class Gateway {
  public:
    explicit Gateway(int store_port, const std::string &ip = "127.0.0.1",
                     int peers_port = 0,
                     const std::vector<std::string> &seeds = {},
                     LogTo log_to = LogTo::kFile);
    ~Gateway();
    // Connects to the callers' address.
    std::unique_ptr<Socket> Open();
    // Sends one request on a connection of its own; the whole answer.
    std::string Ask(const std::string &request);
    // Asks whether it is ready.
    bool Ready();
    bool WaitReady(bool ready = true);
    std::string Metrics();
    // The address of the metrics, as operators name it.
    std::string admin() const
    {
        return ip_ + ":" + std::to_string(admin_);
    }
    // Waits until the metrics hold LINE.
    bool WaitMetric(const std::string &line);
    void Signal(int number);
    // Waits for the end; returns the exit code, -1 when it was killed.
    int Wait();
    // Closes the reading end of its log's pipe.
    void CloseLog();
    // What it has written to its log.
    std::string Log();
    pid_t pid() const
    {
        return pid_;
    }
    int peers_port() const
    {
        return peers_port_;
    }
    const std::string &settings() const
    {
        return settings_;
    }
    // Replaces FROM by TO in the settings file.
    void ReplaceSettings(const std::string &from, const std::string &to);
    const std::string &LogFile() const
    {
        return log_;
    }

  private:
    int ConnectTo(int port);
    std::string ip_;
    int callers_;
    int ready_;
    int admin_;
    int peers_port_;
    std::string directory_;
    std::string settings_;
    std::string log_;
    int log_reader_ = -1;
    pid_t pid_ = -1;
};

// Polls until CHECK holds; returns whether it did within a generous bound.
bool Eventually(const std::function<bool()> &check);

// The status of an answer, 0 when there is none.
int StatusOf(const std::string &answer);

#endif // GATE_HARNESS_H
