/*
 * d_screen.h - callers' connections, read strictly before the HTTP server
 * library sees them.
 *
 * The library hides some malformed heads: it unfolds folded lines and ends a
 * value at a NUL.  The screen stands between the caller's socket and the
 * library, ends TLS, and hands on a head only once it could be read in one way
 * only.  In place of a malformed one the library gets a short head that the
 * callers' address refuses, so that answers keep their order.
 *
 * Rules: nothing is held back but an unfinished head; bytes that wait are
 * bounded by pausing the reading side; an end of one side is passed on to the
 * other, behind the bytes before it.
 */
#ifndef BS_D_SCREEN_H
#define BS_D_SCREEN_H

#include "d_loop.h"

/* Name of the header that marks the head sent in place of a malformed one. */
#define BS_SCREEN_MARK "Boragespur-Malformed-Head"

typedef struct BsScreen BsScreen;

/* Gives the library's end FD of a caller's connection to the server; returns
   false when it takes no more.  FD is the server's in either case. */
typedef bool (*BsScreenTakeFunc)(void *context, int fd,
                                 const struct sockaddr *address,
                                 socklen_t address_bytes);

/* How to create a screen. */
typedef struct {
    int listen_fd; /* closed by the screen */
    size_t header_bytes;
    void *certificate_callback; /* gnutls_certificate_retrieve_function2, or
                                   NULL for connections without TLS */
    BsScreenTakeFunc take;
    void *context;
} BsScreenConfig;

/* Starts accepting connections. */
BsScreen *BsScreen_Create(BsLoop *loop, const BsScreenConfig *config);

/* Stops accepting, sends what the server has written, within a second for each
   connection, then closes them all and frees SCREEN.  Call it once the server
   has closed its ends; NULL is allowed. */
void BsScreen_Destroy(BsScreen *screen);

#endif /* BS_D_SCREEN_H */
