// Real sockets around a real daemon: scripted servers, a platform that serves
// one sheet and one list, and HTTP and raw clients.  Waits end with an event
// or fail after a generous bound.
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

// A connection of a scripted server or of a raw client; closes itself.
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
    // Reads one HTTP request or answer with its body; "" when cut short.
    std::string ReadMessage();
    // Reads until the other side closes.
    std::string ReadAll();
    bool Write(const std::string &text);
    // Waits for the other side to close or reset.
    bool WaitClosed();
    // Closes with a reset.
    void Reset();
    void CloseWrite();

  private:
    int fd_;
};

// Listens on a loopback port and runs HANDLER for each connection.
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

// An answer received by a caller.
struct Answer {
    long status = 0; // 0 when the connection broke before a head
    bool whole = false;
    std::string outcome;
    std::string request_id;
    std::string body;
};

// Returns a port on which nothing listens, and that no other test gets and no
// outgoing connection takes.
int FreePort();

// Connects to a loopback port.
int Connect(int port);

// Connects to a loopback port with a receive buffer of a few KiB.
int ConnectWithLittleRoom(int port);

// A daemon in front of one model engine and one service at the given ports.
class Daemon {
  public:
    // EXTRA is added to the settings.
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
    // Publishes the next revision of the sheet, with this version of m.
    void PublishVersion(const std::string &version);
    void Signal(int number);
    // Waits for the end; returns the exit code, -1 when it was killed.
    int Wait();

  private:
    void ServeKey(Socket &socket, const std::string &list);
    // Waits for a revision of the sheet after this one, or for the end.
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

// Runs a program to its end with its output in OUTPUT; returns its code.
int RunProgram(const std::vector<std::string> &arguments, std::string *output);

// Bearer token of the only account.
extern const char kToken[];

#endif // BS_CONTRACT_HARNESS_H
