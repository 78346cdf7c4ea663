/*
 * d_screen.h - a filter that checks request heads strictly before the HTTP
 * server library reads them.
 *
 * The library hides some malformed heads: it unfolds folded lines and ends a
 * value at a NUL.  The screen is a proxy between the caller's socket and the
 * library.  It terminates TLS and forwards a head only when it is complete and
 * unambiguous.  A malformed head is replaced by a short marked one, which the
 * server for callers refuses, so that responses keep their order.
 *
 * Rules: only an unfinished head is held back; buffered bytes are bounded by
 * pausing the side that is read; the end of one side's data is forwarded after
 * the bytes before it.  A connection counts against the limits until its
 * socket is closed.  While no descriptor or place is left, connections wait to
 * be accepted.
 */
#ifndef BS_D_SCREEN_H
#define BS_D_SCREEN_H

#include "connbudget.h"
#include "d_loop.h"

/* Descriptors of a connection: its socket, and the two ends of the pair that
   links it to the server. */
#define BS_SCREEN_DESCRIPTORS 3

/* Name of the header that marks the replacement of a malformed head. */
#define BS_SCREEN_MALFORMED_HEADER "Boragespur-Malformed-Head"

typedef struct BsScreen BsScreen;

/* Passes FD, the server library's end of a caller's connection, to the server;
   returns false when the server accepts no more connections.  The server owns
   FD in either case. */
typedef bool (*BsScreenAddFunc)(void *context, int fd,
                                const struct sockaddr *address,
                                socklen_t address_bytes);

/* Parameters of a screen. */
typedef struct {
    int listen_fd; /* closed by the screen */
    size_t header_bytes;
    uint32_t places;       /* connections, also ones that are being closed */
    uint64_t unsent_bytes; /* of answers that callers have not read */
    const char *key;       /* settings key of the address, for messages */
    void *certificate_callback; /* gnutls_certificate_retrieve_function2, or
                                   NULL for connections without TLS */
    BsScreenAddFunc add;
    void *context;
} BsScreenConfig;

/* Starts accepting connections. */
BsScreen *BsScreen_Create(BsLoop *loop, const BsScreenConfig *config);

/* Sets what the server does for the connection whose end FD it was given, and
   how many bytes of answers it holds for it.  May close connections that hold
   too much; the server then finds its end closed. */
void BsScreen_SetState(BsScreen *screen, int fd, BsConnPhase phase,
                       uint64_t held_bytes);

/* Closes a connection that waits in favour of a request on FD; returns whether
   there was one that may be closed. */
bool BsScreen_Displace(BsScreen *screen, int fd);

/* Returns whether a part of a response that the server has written is not yet
   given to the kernel for its caller. */
bool BsScreen_HasUnsent(const BsScreen *screen);

/* Stops accepting, sends what the server has written, blocking for at most a
   second per send(), closes all connections and frees SCREEN.  Must be called
   after the server has closed its ends; NULL is allowed. */
void BsScreen_Destroy(BsScreen *screen);

#endif /* BS_D_SCREEN_H */
