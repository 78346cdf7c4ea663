/*
 * gatesettings.h - the settings file of a gateway.
 *
 * Rules: a file is accepted as a whole or rejected with one line that names
 * the file, the key, the allowed values and the remedy.  Unknown keys are
 * ignored, since newer platforms may add some.
 */
#ifndef BS_GATESETTINGS_H
#define BS_GATESETTINGS_H

#include "boragespur.h"
#include "hedge.h"
#include "spill.h"

#include <netinet/in.h>

#define BS_KIBIBYTE 1024U

/* A data centre and its region. */
typedef struct {
    char *name;
    char *region;
} BsGateDataCentre;

/* Resources of the machine that the process may use. */
typedef struct {
    uint32_t memory_mb;
    uint32_t descriptors; /* open files */
} BsGateMachine;

/* Limits agreed with the platform. */
typedef struct {
    uint32_t drain_ms;       /* time until a leaving upstream gets no new
                                requests */
    uint32_t grace_s;        /* time from SIGTERM to SIGKILL */
    double retry_ratio;      /* retries per request, whole fleet */
    uint32_t retry_slack;    /* retries allowed in addition, whole fleet */
    uint32_t retry_window_s; /* window in which both are counted */
    double quota_over;       /* fraction of its limit by which an account may
                                exceed the limit */
    uint32_t quota_slack;    /* excess allowed in addition, in the limit's
                                unit */
} BsGateBounds;

/* Upstreams that fail most of their requests. */
typedef struct {
    double probe_per_s; /* requests a second that an ejected upstream gets from
                           the whole fleet; 0: none is ejected */
} BsGateEjection;

/* Accounts over their limits. */
typedef struct {
    uint32_t urgent_percent; /* part of its limit that each rank leaves to an
                                account's more urgent requests; 0: none */
} BsGateAccountOrder;

/* Requests that go to other data centres although a slot of the own one is
   free; NULL: the default. */
typedef struct {
    uint32_t *gain_ms;      /* 0: none */
    uint32_t *pause_min_ms; /* pause that the routes of these allow */
} BsGateSpill;

/* Early repeats of slow requests; NULL: the default. */
typedef struct {
    uint32_t *percent;           /* of the requests of a service */
    uint32_t *occupancy_percent; /* of a service's slots; none above it */
    uint32_t *percentile;        /* of the times of a route's answers */
} BsGateEarlyRepeats;

/* Limits on the connections of callers, balancers, operators and peers. */
typedef struct {
    uint32_t memory_percent; /* of the machine's memory, for what all of them
                                buffer */
    uint32_t reserved_descriptors; /* not used for them, at most half of the
                                      machine's */
    uint32_t unsent_kib; /* unread answers of a connection, above which its
                            next request is not read */
} BsGateInbound;

/* The same as the file gives them; NULL: the default. */
typedef struct {
    uint32_t *memory_percent;
    uint32_t *reserved_descriptors;
    uint32_t *unsent_kib;
} BsGateInboundGiven;

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
    char *peers;   /* IP:port, TCP and UDP; same port on all instances */
    char **seeds;  /* IP:port of machines that run gateways */
    unsigned seeds_count;
    char *store; /* IP:port of the platform's store */
    BsGateMachine machine;
    BsGateBounds bounds;
    BsGateEjection ejection;
    BsGateEarlyRepeats early_repeats;
    BsGateAccountOrder account_order;
    BsGateSpill spill;
    BsGateInboundGiven inbound_given;
    BsGateInbound inbound; /* with the defaults */
} BsGateSettings;

/* Reads and checks FILE; NULL with BS_ERR_SETTINGS set when it is missing or
   invalid. */
BsGateSettings *BsGateSettings_Load(const char *file, GError **error);

/* Frees SETTINGS; NULL is allowed. */
void BsGateSettings_Destroy(BsGateSettings *settings);

/* Returns the region of DATA_CENTRE, or NULL. */
const char *BsGateSettings_Region(const BsGateSettings *settings,
                                  const char *data_centre);

/* Returns when requests leave the data centre, with the defaults of what is
   not set. */
BsSpillLimits BsGateSettings_Spill(const BsGateSettings *settings);

/* Returns the limits on early repeats, with the defaults of those that are not
   set. */
BsHedgeLimits BsGateSettings_EarlyRepeats(const BsGateSettings *settings);

/* Parses IPv4:port into ADDRESS; returns whether TEXT is valid. */
bool BsGateSettings_ParseAddress(const char *text,
                                 struct sockaddr_in *address);

#endif /* BS_GATESETTINGS_H */
