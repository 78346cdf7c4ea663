/*
 * d_peers.h - messages between instances over ZeroMQ.
 *
 * Rules: each instance binds one socket to receive and connects one socket
 * per peer to send.  Sending never blocks: a message that cannot be sent or
 * queued at once is dropped and counted.  Received messages that are
 * malformed or not allowed between peers are dropped and counted.
 */
#ifndef BS_D_PEERS_H
#define BS_D_PEERS_H

#include "d_loop.h"

typedef struct BsPeerSockets BsPeerSockets;

/* Listens on the peer address of the settings and connects to the instances
   of each list.  Returns NULL with ERROR set when it cannot listen. */
BsPeerSockets *BsPeerSockets_Create(BsLoop *loop, GError **error);

/* Closes every socket, and drops what is queued; NULL is allowed. */
void BsPeerSockets_Destroy(BsPeerSockets *peers);

#endif /* BS_D_PEERS_H */
