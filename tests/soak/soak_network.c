/* soak_network.c - addresses and ports of a run, reserved until it ends. */
#include "soak.h"

#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

/* Runs use 127.10.0.0/16 to 127.209.0.0/16, one each. */
#define RANGE_FIRST 10U
#define RANGE_COUNT 200U

/* Returns a socket that reserves range NUMBER, or -1 if another run has it.
   The name is free again when the process ends, and is seen where the
   addresses are seen: in one network namespace. */
static int
S_lock_range(unsigned number)
{
    struct sockaddr_un name = {.sun_family = AF_UNIX};
    int length = snprintf(&name.sun_path[1], sizeof(name.sun_path) - 1,
                          "boragespur-soak-%u", number);
    int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd >= 0 && bind(fd, (struct sockaddr *)&name,
                        (socklen_t)(offsetof(struct sockaddr_un, sun_path) +
                                    1 + (size_t)length)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Binds PORT of HOST without listening and adds the socket to HELD.  A server
   that sets SO_REUSEADDR can listen there beside it, and connections are
   refused while it does not.  Returns false if the port is taken. */
static bool
S_hold(const Soak *soak, unsigned host, uint16_t port, GArray *held)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Soak_Address(soak, host, port, &address);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (fd < 0 ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        if (fd >= 0) {
            close(fd);
        }
        return false;
    }
    g_array_append_val(held, fd);
    return true;
}

/* Returns whether the datagrams' PORT of HOST is free.  It cannot be held, as
   the gateway does not share it. */
static bool
S_is_udp_free(const Soak *soak, unsigned host, uint16_t port)
{
    struct sockaddr_in address;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    Soak_Address(soak, host, port, &address);
    bool is_free =
        fd >= 0 && bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    if (fd >= 0) {
        close(fd);
    }
    return is_free;
}

/* Holds all ports of the run at SOAK->base. */
static bool
S_hold_all(const Soak *soak, GArray *held)
{
    bool is_free = S_hold(soak, SOAK_TARGETS_HOST, SOAK_STORE_PORT, held);
    for (unsigned i = 0; i < soak->upstream_count && is_free; i++) {
        uint16_t port = SoakNetwork_UpstreamPort(i);
        is_free = S_hold(soak, SOAK_TARGETS_HOST, port, held) &&
                  S_hold(soak, SOAK_PROXIES_HOST, port, held);
    }
    for (unsigned i = 0; i < soak->gateway_count && is_free; i++) {
        is_free = S_hold(soak, SOAK_STORE_PATHS_HOST,
                         SoakNetwork_StorePathPort(i), held) &&
                  S_hold(soak, i, SOAK_CALLERS_PORT, held) &&
                  S_hold(soak, i, SOAK_READY_PORT, held) &&
                  S_hold(soak, i, SOAK_ADMIN_PORT, held) &&
                  S_hold(soak, i, SOAK_PEERS_PORT, held) &&
                  S_is_udp_free(soak, i, SOAK_PEERS_PORT);
    }
    return is_free;
}

static void
S_release(GArray *held)
{
    for (guint i = 0; i < held->len; i++) {
        close(g_array_index(held, int, i));
    }
    g_array_set_size(held, 0);
}

uint16_t
SoakNetwork_UpstreamPort(unsigned upstream)
{
    return (uint16_t)(20000 + upstream);
}

uint16_t
SoakNetwork_StorePathPort(unsigned gateway)
{
    return (uint16_t)(30000 + gateway);
}

GArray *
SoakNetwork_Reserve(Soak *soak, unsigned seed)
{
    GArray *held = g_array_new(FALSE, FALSE, sizeof(int));
    for (unsigned i = 0; i < RANGE_COUNT; i++) {
        unsigned number = RANGE_FIRST + (seed + i) % RANGE_COUNT;
        int lock = S_lock_range(number);
        if (lock < 0) {
            continue;
        }
        g_array_append_val(held, lock);
        soak->base = (127U << 24) + (number << 16);
        if (S_hold_all(soak, held)) {
            return held;
        }
        S_release(held);
    }
    g_error("no free range of loopback addresses: %s; end other soaks, or "
            "programs that listen on the ports %d to %d, %d, or from %u or %u "
            "on, of all addresses",
            g_strerror(errno), SOAK_CALLERS_PORT, SOAK_PEERS_PORT,
            SOAK_STORE_PORT, SoakNetwork_UpstreamPort(0),
            SoakNetwork_StorePathPort(0));
}

void
SoakNetwork_Release(GArray *held)
{
    S_release(held);
    g_array_unref(held);
}
