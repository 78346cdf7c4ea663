/*
 * gw_gossip.h - the sockets on which instances talk to each other.
 *
 * Rules: state travels in datagrams, as a lost one is mended by the next and
 * none can wait in a queue until it is old; published items, which may be
 * large, are fetched over TCP from the same port number.
 */
#ifndef BS_GW_GOSSIP_H
#define BS_GW_GOSSIP_H

#include "gossip.h"
#include "gw_gate.h"
#include "replica.h"

typedef struct BsGossipTask BsGossipTask;

/* Opens the sockets on the settings' address of peers; NULL with ERROR set on
   failure.  Items come from and go into REPLICA. */
BsGossipTask *BsGossipTask_Create(BsGate *gate, BsReplica *replica,
                                  GError **error);

/* Frees TASK; NULL is allowed. */
void BsGossipTask_Destroy(BsGossipTask *task);

/* Adds the seeds of the gate's settings, which may be new. */
void BsGossipTask_AddSeeds(BsGossipTask *task);

/* Sends what is due; CHANGED says that there is news. */
void BsGossipTask_Tell(BsGossipTask *task, bool changed);

/* Looks after silent members, shares of limits, and items that others know;
   STORE_UP says whether the store answers.  Returns whether this instance is
   to read the store.  Call it often. */
bool BsGossipTask_Tick(BsGossipTask *task, bool store_up);

/* Returns how long after a tick the next one is due. */
int64_t BsGossipTask_PauseMs(const BsGossipTask *task);

/* Returns when another instance last said that the store does not answer. */
int64_t BsGossipTask_StoreFailedMs(const BsGossipTask *task);

#endif /* BS_GW_GOSSIP_H */
