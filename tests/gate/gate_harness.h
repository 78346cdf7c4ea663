// Runs a gateway process with a stand-in for the platform's store, scripted
// upstreams and callers, over real sockets.  Each wait ends with an event or
// fails after a long timeout.
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

// How the store answers calls.
enum class StoreMode {
    kServe,
    kRefuse, // 503
    kBusy,   // 429
    kReset,
    kSilent,     // accepts calls and never answers
    kLoseOne,    // does not answer the next call, then serves
    kFlood,      // 200, with a body that does not end
    kFloodError, // 500, the same
};

// Writes HEAD and a body without an end to SOCKET, until the other side closes
// or kFloodBytes are written; returns the bytes written.
constexpr size_t kFloodBytes = 256u << 20;
size_t Flood(Socket &socket, const std::string &head);

// Stand-in for the platform's store: range and watch calls, as specified.
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
    // Drops the history: watches from an earlier revision get 410.
    void Compact();
    // Keeps a copy of the present state.
    void Copy();
    // Restores the copy: later changes are lost, their revisions are given
    // out again, and the era rises.  Open calls are cut.
    void Restore();
    // Names ERA in all answers instead of its own.
    void NameEra(const std::string &era);
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
    // Floods that have ended, and the most bytes of one of them.
    int floods() const
    {
        return floods_;
    }
    size_t flood_bytes() const
    {
        return flood_bytes_;
    }
    // Calls on connections that were idle for more than a second.  They are
    // not answered, as if a firewall had dropped the connection.
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
    std::map<std::string, Item> copy_;
    long copy_revision_ = 0;
    long era_ = 1;
    std::string named_era_ = "1";
    long revision_ = 10;
    long oldest_ = 0;
    StoreMode mode_ = StoreMode::kServe;
    bool stopping_ = false;
    std::atomic<int> calls_{0};
    std::atomic<int> ranges_{0};
    std::atomic<int> floods_{0};
    std::atomic<size_t> flood_bytes_{0};
    std::atomic<int> stale_calls_{0};
    std::unique_ptr<Server> server_;
};

// A request that a scripted upstream received.
struct ReceivedRequest {
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
    using Script = std::function<bool(Socket &, const ReceivedRequest &)>;
    explicit Runner(Script script);
    int port() const
    {
        return server_->port();
    }
    int count();
    ReceivedRequest request(size_t index);
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
    std::vector<ReceivedRequest> requests_;
    std::atomic<int> connections_{0};
    std::unique_ptr<Server> server_;
};

// Returns a complete signed answer to GOT.
std::string SignedAnswer(const ReceivedRequest &got, const std::string &body,
                         int status = 200);

// Head of a signed event stream in chunked encoding, and one event of it.
std::string StreamHead(const ReceivedRequest &got);
std::string Event(int id);
std::string Chunk(const std::string &text);
std::string LastChunk();

// The configuration with the tests' routes, services and accounts.  EXTRA is
// added to the list of routes.
std::string Config(int version, const std::string &extra = "");

// An upstream's entry in the store.
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
    kUnreadPipe, // with a buffer of one page, which nobody reads
};

// A gateway process on the address IP with the given store and seeds.
class Gateway {
  public:
    explicit Gateway(int store_port, const std::string &ip = "127.0.0.1",
                     int peers_port = 0,
                     const std::vector<std::string> &seeds = {},
                     LogTo log_to = LogTo::kFile,
                     const std::string &machine = "memory_mb: 110, "
                                                  "descriptors: 1000");
    ~Gateway();
    // Connects to the callers' address.
    std::unique_ptr<Socket> Open();
    // Connects to the admin address.
    std::unique_ptr<Socket> OpenAdmin();
    // Sends one request on a new connection; returns the complete answer.
    std::string Ask(const std::string &request);
    // Returns the result of the readiness check.
    bool Ready();
    bool WaitReady(bool ready = true);
    std::string Metrics();
    // The address of the metrics, as IP:PORT.
    std::string admin() const
    {
        return ip_ + ":" + std::to_string(admin_);
    }
    // Waits until the metrics hold LINE.
    bool WaitMetric(const std::string &line);
    void Signal(int number);
    // Returns the most memory that the process has used so far.
    long PeakKib();
    // Returns the number of descriptors that the process has open.
    size_t Descriptors();
    // Returns whether the process runs.
    bool IsAlive();
    // Waits for the exit; returns the exit code, -1 when it was killed.
    int Wait();
    // Closes the reading end of its log's pipe.
    void CloseLog();
    // Returns what the gateway has logged so far.
    std::string Log();
    pid_t pid() const
    {
        return pid_;
    }
    int peers_port() const
    {
        return peers_port_;
    }
    int callers_port() const
    {
        return callers_;
    }
    int ready_port() const
    {
        return ready_;
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

// Polls until CHECK holds; returns whether it did within 20 s.
bool Eventually(const std::function<bool()> &check);

// The status of an answer, 0 when there is none.
int StatusOf(const std::string &answer);

#endif // GATE_HARNESS_H
