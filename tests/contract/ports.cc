// Allocation of ports that no other test uses.
#include "harness.h"

#include <arpa/inet.h>
#include <cstddef>
#include <cstring>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

namespace {

// Below the ephemeral port range, which the kernel uses for outgoing
// connections.
constexpr int kPortFirst = 30000;
constexpr int kPortCount = 2700;

// Reserves PORT by binding an abstract socket name until the process ends, so
// that no two test processes use the same port.
bool
Claim(int port)
{
    std::string name = "boragespur-port-" + std::to_string(port);
    sockaddr_un address = {};
    address.sun_family = AF_UNIX;
    memcpy(&address.sun_path[1], name.data(), name.size());
    socklen_t length = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) +
                                              1 + name.size());
    int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), length) == 0) {
        return true;
    }
    close(fd);
    return false;
}

bool
CanBind(int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int result =
        bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    close(fd);
    return result == 0;
}

} // namespace

int
FreePort()
{
    static int next = static_cast<int>(getpid()) % kPortCount;
    for (int i = 0; i < kPortCount; i++) {
        int port = kPortFirst + next;
        next = (next + 1) % kPortCount;
        if (Claim(port) && CanBind(port)) {
            return port;
        }
    }
    ADD_FAILURE() << "no free port";
    return 0;
}
