/*
 * peer.h - which incarnation of each instance was heard last, and which of
 * its forwards were handled.
 *
 * Rules: a forward of a sender is handled at most once, whatever the network
 * repeats or delays; one that is older than the window is never handled.
 */
#ifndef BS_PEER_H
#define BS_PEER_H

#include "boragespur.h"

/* Time for which a peer is taken to run after it was heard.  Beyond it, the
   header of a forward goes out first, since work sent to an instance that has
   died ends in doubt. */
#define BS_PEER_FRESH_MS 250

typedef struct BsPeers BsPeers;

/* Creates a table without peers; senders silent for KEEP_MS are dropped. */
BsPeers *BsPeers_Create(int64_t keep_ms);

/* Frees PEERS; NULL is allowed. */
void BsPeers_Destroy(BsPeers *peers);

/* Records that MESSAGE of a peer arrived. */
void BsPeers_OnMessage(BsPeers *peers, const BsMessage *message,
                       int64_t now_ms);

/* Returns the incarnation of NAME heard last, 0 when none was heard within
   MAX_AGE_MS. */
uint64_t BsPeers_Incarnation(const BsPeers *peers, const char *name,
                             int64_t max_age_ms, int64_t now_ms);

/* Returns whether forward SEQ of the sender INCARNATION is new, and marks it
   as handled. */
bool BsPeers_Admit(BsPeers *peers, uint64_t incarnation, uint64_t seq,
                   int64_t now_ms);

/* Drops senders that have been silent. */
void BsPeers_Expire(BsPeers *peers, int64_t now_ms);

#endif /* BS_PEER_H */
