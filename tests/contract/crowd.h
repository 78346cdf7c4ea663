// A crowd of clients that exceed limits, on one thread.
#ifndef BS_CONTRACT_CROWD_H
#define BS_CONTRACT_CROWD_H

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

inline std::string
Repeat(const std::string &text, size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (size_t i = 0; i < count; i++) {
        all += text;
    }
    return all;
}

// Clients that send what they are told and read nothing.
class Crowd {
  public:
    // DESCRIPTORS returns how many the process at PORT has open.
    Crowd(int port, std::function<size_t()> descriptors)
        : port_(port), descriptors_(std::move(descriptors))
    {
    }
    ~Crowd()
    {
        for (Member &member : members_) {
            close(member.fd);
        }
    }
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    // Adds COUNT members that send HEAD and after it, in pieces of
    // PIECE_BYTES, REST.
    void Add(int count, const std::string &head, const std::string &rest = "",
             size_t piece_bytes = 1 << 20)
    {
        auto text = std::make_shared<std::string>(head + rest);
        for (int i = 0; i < count; i++) {
            members_.push_back({Open(), text, 0, head.size(), piece_bytes});
        }
    }

    // Sends until all members have sent everything, or were closed, or none
    // of them could send for a while.  Returns the most descriptors that the
    // process had open.
    size_t Run()
    {
        size_t most = 0;
        auto progress = std::chrono::steady_clock::now();
        bool more = true;
        while (more &&
               std::chrono::steady_clock::now() - progress < kStalled) {
            bool sent = false;
            more = false;
            for (Member &member : members_) {
                sent = Step(member) || sent;
                more = more || !member.Done();
            }
            most = std::max(most, descriptors_());
            if (sent) {
                progress = std::chrono::steady_clock::now();
            }
            else {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        }
        // The process may still have to accept and read what was sent.
        for (int i = 0; i < 50; i++) {
            most = std::max(most, descriptors_());
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return most;
    }

  private:
    // A crowd has done its worst when no member could send for this long.
    static constexpr std::chrono::milliseconds kStalled{1000};
    // A small receive buffer, so that unread answers stay with the process.
    static constexpr int kReceiveBytes = 4096;

    struct Member {
        int fd;
        std::shared_ptr<std::string> text;
        size_t sent;
        size_t head_bytes;
        size_t piece_bytes;
        bool Done() const
        {
            return sent == text->size();
        }
    };

    int Open()
    {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
                   sizeof(kReceiveBytes));
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons((uint16_t)port_);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(fd, (sockaddr *)&address, sizeof(address)), 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        return fd;
    }

    // Returns whether MEMBER could send.
    static bool Step(Member &member)
    {
        if (member.Done()) {
            return false;
        }
        size_t end = member.sent < member.head_bytes
                         ? member.head_bytes
                         : member.sent + member.piece_bytes;
        end = std::min(end, member.text->size());
        ssize_t size = send(member.fd, &(*member.text)[member.sent],
                            end - member.sent, MSG_NOSIGNAL);
        if (size < 0 && errno != EAGAIN) {
            member.sent = member.text->size(); // closed by the process
        }
        member.sent += size > 0 ? (size_t)size : 0;
        return size > 0;
    }

    int port_;
    std::function<size_t()> descriptors_;
    std::vector<Member> members_;
};

#endif // BS_CONTRACT_CROWD_H
