// Test harness that runs the real daemon process on loopback sockets: scripted
// upstream servers, a platform that serves one sheet and one instance list,
// and HTTP and raw clients.  Each wait ends with the awaited event or fails
// after 30 s.
#ifndef BS_CONTRACT_HARNESS_H
#define BS_CONTRACT_HARNESS_H

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// A connection of a scripted server or of a raw client; the destructor closes
// it.
class Socket {
  public:
    explicit Socket(int fd) : fd_(fd)
    {
    }
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    int fd() const
    {
        return fd_;
    }
    // Reads one HTTP request or response with its body; returns "" when the
    // connection ends first.
    std::string ReadMessage();
    // Reads until the other side closes; returns all bytes.
    std::string ReadAll();
    bool Write(const std::string &text);
    // Discards data until the other side closes or resets the connection.
    bool WaitClosed();
    // Closes the connection with a reset.
    void Reset();
    void CloseWrite();

  private:
    int fd_;
};

// Listens on a loopback port and runs HANDLER in a thread per connection.
class Server {
  public:
    using Handler = std::function<void(Socket &)>;
    explicit Server(Handler handler);
    ~Server();
    int port() const
    {
        return port_;
    }

  private:
    void Run();
    Handler handler_;
    int fd_;
    int port_;
    std::atomic<bool> stopping_{false};
    std::thread acceptor_;
    std::mutex mutex_;
    std::vector<std::thread> workers_;
    std::vector<int> open_;
};

// A response received by a caller.
struct Answer {
    long status = 0;    // 0 when the connection closed before a head
    bool whole = false; // the response was received completely
    std::string outcome;
    std::string request_id;
    std::string body;
};

// Returns a port on which nothing listens, and that is used neither by another
// test nor by an outgoing connection.
int FreePort();

// Connects to a loopback port.
int Connect(int port);

// Connects to a loopback port with a receive buffer of a few KiB.
int ConnectWithSmallBuffer(int port);

// A daemon with one model engine and one service at the given ports as its
// upstreams.
class Daemon {
  public:
    // EXTRA is appended to the settings file.
    Daemon(int engine_port, int service_port, const std::string &extra = "");
    ~Daemon();

    int callers() const
    {
        return callers_;
    }
    int admin() const
    {
        return admin_;
    }
    int peers() const
    {
        return peers_;
    }
    pid_t pid() const
    {
        return pid_;
    }
    const std::string &settings() const
    {
        return settings_;
    }
    Answer Send(const std::string &method, const std::string &path,
                const std::string &body,
                const std::vector<std::string> &headers = {});
    // Waits until the counter or gauge NAME has VALUE.
    bool WaitMetric(const std::string &name, long value);
    // Waits until the counter NAME has at least VALUE.
    bool WaitCount(const std::string &name, long value);
    long Metric(const std::string &name);
    // Publishes the next revision of the sheet, with VERSION of model m.
    void PublishVersion(const std::string &version);
    void Signal(int number);
    // Waits for the process to end; returns its exit code, or -1 when a signal
    // killed it.
    int Wait();

  private:
    void ServeKey(Socket &socket, const std::string &list);
    // Waits for a revision of the sheet after REVISION, or for the destructor.
    void WaitRevision(int revision);
    std::mutex mutex_;
    std::condition_variable published_;
    std::string version_ = "1";
    int revision_ = 1;
    bool stopping_ = false;
    Server platform_;
    int callers_;
    int admin_;
    int peers_;
    std::string directory_;
    std::string settings_;
    pid_t pid_ = -1;
};

// Runs a program to its end and stores its output in OUTPUT; returns its exit
// code.
int RunProgram(const std::vector<std::string> &arguments, std::string *output);

// Bearer token of the only account.
extern const char kToken[];

#endif // BS_CONTRACT_HARNESS_H
