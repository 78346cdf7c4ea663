/*
 * fleet.h - real daemons on loopback addresses, with stand-ins as upstreams.
 *
 * Rules: only the fleet publishes the instance list; a change of an instance
 * is published when BsFleet_Publish() is called, so that a test controls how
 * far the list lags.
 */
#ifndef BS_FLEET_H
#define BS_FLEET_H

#include "process.h"

/* Bearer token of the account "cafe", known to the fleet's sheet. */
#define BS_FLEET_TOKEN "t-cafe"

/* The model that every engine of a fleet serves. */
#define BS_FLEET_MODEL "blade"

/* State of an instance in the instance list. */
typedef enum { BS_LISTED_NOT = 0, BS_LISTED_LIVE, BS_LISTED_LEAVING } BsListed;

/* One daemon; each start creates a new process. */
typedef struct {
    BsProcess process;
    char *name;
    const char *data_centre;
    const char *region;
    int caller_port;
    int peer_port;
    int admin_port;
    BsListed listed;
    bool stopping; /* a planned stop has begun */
} BsFleetInstance;

/* A stand-in engine or service. */
typedef struct {
    BsProcess process;
    char *name;
    const char *kind; /* "engine" or "service" */
    const char *data_centre;
    const char *region;
    int slots;
} BsFleetUpstream;

/* All processes of a test. */
typedef struct {
    char *directory; /* settings and logs */
    char *bin;       /* directory of the programs */
    BsProcess platform;
    GPtrArray *instances; /* BsFleetInstance */
    GPtrArray *upstreams; /* BsFleetUpstream */
    unsigned list_revision;
} BsFleet;

/* Creates a fleet and starts its configuration service.  BIN is the directory
   of the programs. */
BsFleet *BsFleet_Create(const char *bin);

/* Kills all processes and, unless KEEP_LOGS, removes the directory. */
void BsFleet_Destroy(BsFleet *fleet, bool keep_logs);

/* Starts an engine with SLOTS slots that generates RATE tokens a second for
   each request. */
BsFleetUpstream *BsFleet_AddEngine(BsFleet *fleet, const char *name,
                                   const char *data_centre, int slots,
                                   int rate);

/* Starts the service "bookings", whose runs take SLOW_MS each. */
BsFleetUpstream *BsFleet_AddService(BsFleet *fleet, const char *name,
                                    const char *data_centre, int slow_ms);

/* Adds an instance without starting it. */
BsFleetInstance *BsFleet_AddInstance(BsFleet *fleet, const char *name,
                                     const char *data_centre);

/* Starts the daemon of INSTANCE.  FRESH declares that no caller has sent
   idempotency keys before this start of the fleet. */
void BsFleet_Start(BsFleet *fleet, BsFleetInstance *instance, bool fresh);

/* Publishes SHEET, a YAML text. */
void BsFleet_PublishSheet(BsFleet *fleet, const char *sheet);

/* Publishes the list of instances and upstreams in their current state. */
void BsFleet_Publish(BsFleet *fleet);

/* Waits up to LIMIT_MS until INSTANCE is ready; returns whether it is. */
bool BsFleet_WaitReady(const BsFleetInstance *instance, int limit_ms);

/* Returns a sheet that matches the stand-ins of the fleet. */
const char *BsFleet_DefaultSheet(void);

#endif /* BS_FLEET_H */
