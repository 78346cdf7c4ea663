/*
 * gatesettings.h - the settings file of a gateway.
 *
 * Rules: a file is accepted whole or refused with one line that names the
 * file, the key, the allowed values and the remedy.  Keys that this release
 * does not know are ignored, as newer platforms may add some.
 */
#ifndef BS_GATESETTINGS_H
#define BS_GATESETTINGS_H

#include "boragespur.h"

#include <netinet/in.h>

/* A data centre and its region. */
typedef struct {
    char *name;
    char *region;
} BsGateDataCentre;

/* What the machine allows the process. */
typedef struct {
    uint32_t memory_mb;
    uint32_t descriptors;
} BsGateMachine;

/* Figures agreed with the platform. */
typedef struct {
    uint32_t drain_ms;       /* until a leaving upstream gets nothing new */
    uint32_t grace_s;        /* from SIGTERM to SIGKILL */
    double retry_ratio;      /* repeats to requests, all instances */
    uint32_t retry_slack;    /* repeats allowed besides, all instances */
    uint32_t retry_window_s; /* span over which both are counted */
    double quota_over;       /* part of its limit an account may go over it */
    uint32_t quota_slack;    /* and what besides, in units of the limit */
} BsGateBounds;

/* Settings of a gateway. */
typedef struct {
    char *name;
    char *data_centre;
    char *region;
    BsGateDataCentre *data_centres;
    unsigned data_centres_count;
    char *callers; /* IP:port */
    char *ready;   /* IP:port */
    char *admin;   /* IP:port */
    char *peers;   /* IP:port, TCP and UDP; the same port everywhere */
    char **seeds;  /* IP:port of machines that run gateways */
    unsigned seeds_count;
    char *store; /* IP:port of the platform's store */
    BsGateMachine machine;
    BsGateBounds bounds;
} BsGateSettings;

/* Reads FILE; NULL with BS_ERR_SETTINGS set when it is invalid. */
BsGateSettings *BsGateSettings_Load(const char *file, GError **error);

/* Frees SETTINGS; NULL is allowed. */
void BsGateSettings_Destroy(BsGateSettings *settings);

/* Returns the region of DATA_CENTRE, or NULL. */
const char *BsGateSettings_Region(const BsGateSettings *settings,
                                  const char *data_centre);

/* Parses IP:port of IPv4; returns whether it is valid. */
bool BsGateSettings_ParseAddress(const char *text,
                                 struct sockaddr_in *address);

#endif /* BS_GATESETTINGS_H */
