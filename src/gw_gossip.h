/*
 * gw_gossip.h - the sockets of a gateway for messages between instances.
 *
 * State is sent in UDP datagrams: the next one makes up for a lost one, and
 * none waits in a queue until it is out of date.  Published items may be large
 * and are fetched over TCP from the same port number.
 */
#ifndef BS_GW_GOSSIP_H
#define BS_GW_GOSSIP_H

#include "gossip.h"
#include "gw_gate.h"
#include "gw_platform.h"
#include "replica.h"

typedef struct BsGossipTask BsGossipTask;

/* Opens the sockets at the address in the setting "peers".  Items are served
   from REPLICA and fetched into it.  Returns NULL with ERROR set on
   failure. */
BsGossipTask *BsGossipTask_Create(BsGate *gate, BsReplica *replica,
                                  GError **error);

/* Frees TASK; NULL is allowed. */
void BsGossipTask_Destroy(BsGossipTask *task);

/* Adds the seeds in the gate's settings; call it again when these change. */
void BsGossipTask_AddSeeds(BsGossipTask *task);

/* Sends the reports that are due.  CHANGED says that this instance's state
   changed since the last call. */
void BsGossipTask_SendReports(BsGossipTask *task, bool changed);

/* Sends the gate's questions about streams now, and removes them. */
void BsGossipTask_AskStreams(BsGossipTask *task);

/* Runs the periodic work: detects unresponsive members, updates the usable
   fraction of common limits and fetches newer items from peers.  STORE tells
   how the store answers this instance.  Returns whether this instance is to
   read the store.  Call it after each BsGossipTask_PauseMs(). */
bool BsGossipTask_Tick(BsGossipTask *task, const BsPlatformStatus *store);

/* Returns the time from a tick until the next one is due, in milliseconds. */
int64_t BsGossipTask_PauseMs(const BsGossipTask *task);

/* Returns when another instance last reported that the store does not answer
   it; INT64_MIN / 2 if none did. */
int64_t BsGossipTask_StoreFailedMs(const BsGossipTask *task);

/* Returns when the store last answered an instance, this one included, as far
   as is known here; INT64_MIN / 2 if it answered none. */
int64_t BsGossipTask_StoreAnsweredMs(const BsGossipTask *task);

#endif /* BS_GW_GOSSIP_H */
