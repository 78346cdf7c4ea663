/*
 * fleet.h - real daemons over loopback before stand-ins.
 *
 * Rules: the fleet is the only one that publishes the instance list; a change
 * of an instance reaches the list when BsFleet_Publish() is called, so that a
 * test chooses how far the list lags.
 */
#ifndef BS_FLEET_H
#define BS_FLEET_H

#include "process.h"

/* Bearer token of the account "cafe", known to the fleet's sheet. */
#define BS_FLEET_TOKEN "t-cafe"

/* The model that every engine of a fleet serves. */
#define BS_FLEET_MODEL "blade"

/* What the instance list says of an instance. */
typedef enum { BS_LISTED_NOT = 0, BS_LISTED_LIVE, BS_LISTED_LEAVING } BsListed;

/* One daemon; each start after the first is another process. */
typedef struct {
    BsProcess process;
    char *name;
    const char *data_centre;
    const char *region;
    int caller_port;
    int peer_port;
    int admin_port;
    BsListed listed;
    bool stopping; /* a planned stop was asked for */
} BsFleetInstance;

/* An engine or a service. */
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

/* Starts the configuration service; programs are taken from BIN. */
BsFleet *BsFleet_Create(const char *bin);

/* Kills every process and removes the directory, unless KEEP_LOGS. */
void BsFleet_Destroy(BsFleet *fleet, bool keep_logs);

/* Starts an engine with SLOTS and RATE tokens a second for each request. */
BsFleetUpstream *BsFleet_AddEngine(BsFleet *fleet, const char *name,
                                   const char *data_centre, int slots,
                                   int rate);

/* Starts the service "bookings", whose runs take SLOW_MS. */
BsFleetUpstream *BsFleet_AddService(BsFleet *fleet, const char *name,
                                    const char *data_centre, int slow_ms);

/* Adds an instance without starting it. */
BsFleetInstance *BsFleet_AddInstance(BsFleet *fleet, const char *name,
                                     const char *data_centre);

/* Starts the daemon of INSTANCE; FRESH says that no caller holds keys sent
   before this start of the fleet. */
void BsFleet_Start(BsFleet *fleet, BsFleetInstance *instance, bool fresh);

/* Publishes SHEET text. */
void BsFleet_PublishSheet(BsFleet *fleet, const char *sheet);

/* Publishes the instance list as it now is. */
void BsFleet_Publish(BsFleet *fleet);

/* Waits up to LIMIT_MS until INSTANCE is ready; returns whether it is. */
bool BsFleet_WaitReady(const BsFleetInstance *instance, int limit_ms);

/* Returns the sheet that suits the fleet's stand-ins. */
const char *BsFleet_DefaultSheet(void);

#endif /* BS_FLEET_H */
