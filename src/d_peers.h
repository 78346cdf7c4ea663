/*
 * d_peers.h - messages between instances over ZeroMQ.
 *
 * Rules: each instance binds one socket to receive and connects one socket
 * per peer to send; sending never blocks, and what a peer cannot take is
 * dropped and counted; bad messages are counted and dropped.
 */
#ifndef BS_D_PEERS_H
#define BS_D_PEERS_H

#include "d_loop.h"

typedef struct BsPeerSockets BsPeerSockets;

/* Binds the peers' address; NULL with ERROR set when that fails. */
BsPeerSockets *BsPeerSockets_Create(BsLoop *loop, GError **error);

/* Closes every socket; NULL is allowed. */
void BsPeerSockets_Destroy(BsPeerSockets *peers);

#endif /* BS_D_PEERS_H */
