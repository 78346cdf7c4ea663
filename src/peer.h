/*
 * peer.h - the last seen incarnation of each peer, and which of the forwards
 * from each incarnation were handled.
 *
 * Rules: a forward is handled at most once, even when the network repeats or
 * delays it; a forward that is older than the window is never handled.
 */
#ifndef BS_PEER_H
#define BS_PEER_H

#include "boragespur.h"

/* Time after its last message for which a peer is assumed to be running. After
   that, only the header of a forward is sent first, since the outcome of a
   request sent to a crashed instance is unknown. */
#define BS_PEER_FRESH_MS 250

typedef struct BsPeers BsPeers;

/* Creates an empty table; peers are removed when no message from them was
   received for KEEP_MS. */
BsPeers *BsPeers_Create(int64_t keep_ms);

/* Frees PEERS; NULL is allowed. */
void BsPeers_Destroy(BsPeers *peers);

/* Records the sender of MESSAGE and its incarnation as seen. */
void BsPeers_OnMessage(BsPeers *peers, const BsMessage *message,
                       int64_t now_ms);

/* Returns the last seen incarnation of NAME, or 0 when no message was received
   from it within MAX_AGE_MS. */
uint64_t BsPeers_Incarnation(const BsPeers *peers, const char *name,
                             int64_t max_age_ms, int64_t now_ms);

/* Returns whether forward SEQ of the sender INCARNATION is new and within the
   window, and marks it as handled. */
bool BsPeers_Admit(BsPeers *peers, uint64_t incarnation, uint64_t seq,
                   int64_t now_ms);

/* Removes peers from which no message was received for KEEP_MS. */
void BsPeers_Expire(BsPeers *peers, int64_t now_ms);

#endif /* BS_PEER_H */
