// A crowd of clients that stays while other requests are made.
#ifndef BS_CONTRACT_LASTINGCROWD_H
#define BS_CONTRACT_LASTINGCROWD_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Clients that send a text, then a piece from time to time, read nothing, and
// connect again when they are closed.
class LastingCrowd {
  public:
    LastingCrowd(int port, int count, std::string text, std::string drip)
        : port_(port), text_(std::move(text)), drip_(std::move(drip)),
          members_((size_t)count), thread_(&LastingCrowd::Run, this)
    {
    }
    ~LastingCrowd()
    {
        stopping_ = true;
        thread_.join();
        for (Member &member : members_) {
            close(member.fd);
        }
    }
    LastingCrowd(const LastingCrowd &) = delete;
    LastingCrowd &operator=(const LastingCrowd &) = delete;

  private:
    static constexpr std::chrono::milliseconds kRound{50};

    struct Member {
        int fd = -1;
        size_t sent = 0;
    };

    void Open(Member &member) const
    {
        const int receive_bytes = 4096;
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons((uint16_t)port_);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        member.sent = 0;
        member.fd =
            socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        setsockopt(member.fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
        // Completes later, or fails as a closed connection.
        (void)!connect(member.fd, (sockaddr *)&address, sizeof(address));
    }

    void Step(Member &member) const
    {
        pollfd state = {member.fd, POLLRDHUP, 0};
        if (member.fd < 0 || poll(&state, 1, 0) != 0) {
            close(member.fd);
            Open(member);
            return;
        }
        const std::string &text = member.sent < text_.size() ? text_ : drip_;
        size_t at = member.sent < text_.size() ? member.sent : 0;
        ssize_t size =
            send(member.fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        member.sent += size > 0 ? (size_t)size : 0;
    }

    void Run()
    {
        while (!stopping_) {
            for (Member &member : members_) {
                Step(member);
            }
            std::this_thread::sleep_for(kRound);
        }
    }

    int port_;
    std::string text_;
    std::string drip_;
    std::vector<Member> members_;
    std::atomic<bool> stopping_{false};
    std::thread thread_; // the last member, as it uses the others
};

#endif // BS_CONTRACT_LASTINGCROWD_H
