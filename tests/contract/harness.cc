// Scripted servers, clients and the daemon under test.
#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <curl/curl.h>
#include <fcntl.h>
#include <fstream>
#include <glib.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

const char kToken[] = "contract-token";

namespace {

constexpr int kWaitMaxMs = 30000;
constexpr int kPollStepUs = 5000;

bool
WaitReadable(int fd)
{
    pollfd entry = {fd, POLLIN, 0};
    return poll(&entry, 1, kWaitMaxMs) == 1;
}

sockaddr_in
Loopback(int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}

int
Listen(int *port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t length = sizeof(address);
    bind(fd, reinterpret_cast<sockaddr *>(&address), length);
    listen(fd, 64);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    *port = ntohs(address.sin_port);
    return fd;
}

size_t
BodyBytes(const std::string &head)
{
    size_t at = head.find("ontent-Length: ");
    return at == std::string::npos ? 0 : strtoul(&head[at + 15], nullptr, 10);
}

std::string
Sha256(const std::string &text)
{
    char *hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.c_str(), -1);
    std::string result(hash);
    g_free(hash);
    return result;
}

std::string
Sheet(const std::string &version)
{
    return "format: 1\n"
           "tiers: [{name: urgent, rank: 1, deadline_ms: 20000}]\n"
           "orders: {loads_at_once: 1, load_ms: 1000}\n"
           "models: [{name: m, version: \"" +
           version +
           "\"}]\n"
           "services:\n"
           "  - name: s\n"
           "    tier: urgent\n"
           "    routes: [{method: GET, prefix: /, idempotent: true}]\n"
           "accounts: [{name: a, tier: urgent, token_sha256: [" +
           Sha256(kToken) +
           "]}]\n"
           "data_centres: [{name: d, open: true}]\n"
           "cold_start: {requests: 8, tokens: 100000, ramp_ms: 1000}\n";
}

std::string
Entry(const std::string &name, const std::string &kind, int port,
      const std::string &serves)
{
    return "{\"name\":\"" + name + "\",\"kind\":\"" + kind +
           "\",\"state\":\"live\",\"address\":\"127.0.0.1:" +
           std::to_string(port) +
           "\",\"data_centre\":\"d\",\"region\":\"r\",\"serves\":[\"" +
           serves + "\"],\"slots\":8,\"tokens\":100000}";
}

size_t
OnBody(char *data, size_t unit, size_t count, void *context)
{
    static_cast<Answer *>(context)->body.append(data, unit * count);
    return unit * count;
}

void
Match(const std::string &line, const char *name, std::string *value)
{
    if (line.compare(0, strlen(name), name) == 0) {
        *value = line.substr(strlen(name));
        value->erase(value->find_last_not_of("\r\n") + 1);
    }
}

size_t
OnHeader(char *data, size_t unit, size_t count, void *context)
{
    auto *answer = static_cast<Answer *>(context);
    std::string line(data, unit * count);
    Match(line, "Boragespur-Outcome: ", &answer->outcome);
    Match(line, "Boragespur-Request-Id: ", &answer->request_id);
    return unit * count;
}

Answer
Exchange(int port, const std::string &method, const std::string &path,
         const std::string &body, const std::vector<std::string> &headers)
{
    Answer answer;
    std::string url = "http://127.0.0.1:" + std::to_string(port) + path;
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : headers) {
        list = curl_slist_append(list, header.c_str());
    }
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(kWaitMaxMs));
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer);
    if (method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
    }
    answer.whole = curl_easy_perform(easy) == CURLE_OK;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.status);
    curl_easy_cleanup(easy);
    curl_slist_free_all(list);
    return answer;
}

pid_t
Spawn(const std::vector<std::string> &arguments, int output)
{
    std::vector<char *> argv;
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (output >= 0) {
        posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
        posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    }
    pid_t pid = -1;
    posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

} // namespace

Socket::~Socket()
{
    if (fd_ >= 0) {
        close(fd_);
    }
}

std::string
Socket::ReadMessage()
{
    std::string text;
    char buffer[65536];
    for (;;) {
        size_t end = text.find("\r\n\r\n");
        if (end != std::string::npos &&
            text.size() >= end + 4 + BodyBytes(text.substr(0, end))) {
            return text;
        }
        ssize_t size =
            WaitReadable(fd_) ? recv(fd_, buffer, sizeof(buffer), 0) : -1;
        if (size <= 0) {
            return "";
        }
        text.append(buffer, static_cast<size_t>(size));
    }
}

std::string
Socket::ReadAll()
{
    std::string text;
    char buffer[65536];
    while (WaitReadable(fd_)) {
        ssize_t size = read(fd_, buffer, sizeof(buffer));
        if (size <= 0) {
            break;
        }
        text.append(buffer, static_cast<size_t>(size));
    }
    return text;
}

bool
Socket::Write(const std::string &text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        ssize_t size =
            send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<size_t>(size);
    }
    return true;
}

bool
Socket::WaitClosed()
{
    char buffer[4096];
    while (WaitReadable(fd_)) {
        if (recv(fd_, buffer, sizeof(buffer), 0) <= 0) {
            return true;
        }
    }
    return false;
}

void
Socket::Reset()
{
    linger now = {1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd_);
    fd_ = -1;
}

void
Socket::CloseWrite()
{
    shutdown(fd_, SHUT_WR);
}

Server::Server(Handler handler)
    : handler_(std::move(handler)), fd_(Listen(&port_)),
      acceptor_(&Server::Run, this)
{
}

Server::~Server()
{
    stopping_ = true;
    shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (int fd : open_) {
            shutdown(fd, SHUT_RDWR);
        }
    }
    for (std::thread &worker : workers_) {
        worker.join();
    }
    close(fd_);
}

void
Server::Run()
{
    int fd;
    while ((fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
        std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_) {
            close(fd);
            return;
        }
        open_.push_back(fd);
        workers_.emplace_back([this, fd] {
            Socket socket(fd);
            handler_(socket);
            std::lock_guard<std::mutex> inner(mutex_);
            open_.erase(std::find(open_.begin(), open_.end(), fd));
        });
    }
}

int
Connect(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    return fd;
}

int
ConnectWithSmallBuffer(int port)
{
    const int buffer_bytes = 4096;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    sockaddr_in address = Loopback(port);
    connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    return fd;
}

Daemon::Daemon(int engine_port, int service_port, const std::string &extra)
    : platform_([=, this](Socket &socket) {
          ServeKey(socket, "{\"revision\":1,\"entries\":[" +
                               Entry("i", "instance", peers_, "") + "," +
                               Entry("e", "engine", engine_port, "m") + "," +
                               Entry("x", "service", service_port, "s") +
                               "]}");
      }),
      callers_(FreePort()), admin_(FreePort()), peers_(FreePort())
{
    char directory[] = "/tmp/boragespur-contract-XXXXXX";
    directory_ = mkdtemp(directory);
    settings_ = directory_ + "/settings.yaml";
    std::string address = "127.0.0.1:";
    std::ofstream(settings_)
        << "name: i\ndata_centre: d\nregion: r\ncallers: " << address
        << callers_ << "\nadmin: " << address << admin_
        << "\npeers: " << address << peers_ << "\nplatform: [http://"
        << address << platform_.port()
        << "]\nsecret: 0123456789abcdef\nfresh_fleet: true\n"
        << extra;
    pid_ = Spawn({BORAGESPURD, settings_}, -1);
    for (int i = 0; i < kWaitMaxMs * 1000 / kPollStepUs; i++) {
        if (Exchange(admin_, "GET", "/readyz", "", {}).status == 200) {
            return;
        }
        usleep(kPollStepUs);
    }
    ADD_FAILURE() << "the daemon is not ready";
}

void
Daemon::WaitRevision(int revision)
{
    std::unique_lock<std::mutex> lock(mutex_);
    published_.wait(lock, [&] { return revision_ > revision || stopping_; });
}

void
Daemon::PublishVersion(const std::string &version)
{
    std::lock_guard<std::mutex> lock(mutex_);
    version_ = version;
    revision_++;
    published_.notify_all();
}

void
Daemon::ServeKey(Socket &socket, const std::string &list)
{
    std::string request;
    while (!(request = socket.ReadMessage()).empty()) {
        bool sheet = request.find("/v1/keys/sheet") != std::string::npos;
        size_t after = request.find("after=");
        if (after != std::string::npos && !sheet) {
            socket.WaitClosed();
            return;
        }
        if (after != std::string::npos) {
            WaitRevision(atoi(&request[after + strlen("after=")]));
        }
        std::unique_lock<std::mutex> lock(mutex_);
        std::string value = sheet ? Sheet(version_) : list;
        int revision = sheet ? revision_ : 1;
        lock.unlock();
        socket.Write(
            "HTTP/1.1 200 OK\r\nX-Revision: " + std::to_string(revision) +
            "\r\nContent-Length: " + std::to_string(value.size()) +
            "\r\n\r\n" + value);
    }
}

Daemon::~Daemon()
{
    if (pid_ > 0) {
        Signal(SIGTERM);
        EXPECT_EQ(Wait(), 0);
    }
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        published_.notify_all();
    }
    unlink(settings_.c_str());
    rmdir(directory_.c_str());
}

Answer
Daemon::Send(const std::string &method, const std::string &path,
             const std::string &body, const std::vector<std::string> &headers)
{
    std::vector<std::string> all = headers;
    all.push_back(std::string("Authorization: Bearer ") + kToken);
    return Exchange(callers_, method, path, body, all);
}

long
Daemon::Metric(const std::string &name)
{
    std::string text = "\n" + Exchange(admin_, "GET", "/metrics", "", {}).body;
    std::string key = "\nboragespur_" + name + " ";
    size_t at = text.find(key);
    return at == std::string::npos ? 0 : atol(&text[at + key.size()]);
}

bool
Daemon::WaitMetric(const std::string &name, long value)
{
    for (int i = 0; i < kWaitMaxMs * 1000 / kPollStepUs; i++) {
        if (Metric(name) == value) {
            return true;
        }
        usleep(kPollStepUs);
    }
    return false;
}

bool
Daemon::WaitCount(const std::string &name, long value)
{
    for (int i = 0; i < kWaitMaxMs * 1000 / kPollStepUs; i++) {
        if (Metric(name) >= value) {
            return true;
        }
        usleep(kPollStepUs);
    }
    return false;
}

void
Daemon::Signal(int number)
{
    kill(pid_, number);
}

int
Daemon::Wait()
{
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int
RunProgram(const std::vector<std::string> &arguments, std::string *output)
{
    int pipe_fds[2];
    EXPECT_EQ(pipe2(pipe_fds, O_CLOEXEC), 0);
    pid_t pid = Spawn(arguments, pipe_fds[1]);
    close(pipe_fds[1]);
    *output = Socket(pipe_fds[0]).ReadAll();
    int status = 0;
    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
