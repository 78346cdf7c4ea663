/*
 * soak.h - the fault soak: stand-ins around real gateways, and their checks.
 *
 * Everything but the gateways runs in one process and one loop.  A soak ends
 * only processes that it started, by their ids.
 */
#ifndef SOAK_H
#define SOAK_H

#include "gw_inbound.h"
#include "gw_outbound.h"

#include <ev.h>
#include <netinet/in.h>
#include <sys/types.h>

#define SOAK_GATEWAYS_MAX 64
#define SOAK_UPSTREAMS_MAX 128

typedef struct Soak Soak;
typedef struct SoakStore SoakStore;
typedef struct SoakUpstream SoakUpstream;
typedef struct SoakProxy SoakProxy;

/* What a proxy does with the bytes of its connections. */
typedef enum {
    SOAK_PASS,
    SOAK_DELAY,     /* passes them on late */
    SOAK_RESET,     /* resets connections, old and new */
    SOAK_BLACKHOLE, /* keeps connections and passes nothing */
    SOAK_ONE_WAY    /* passes only what comes from the gateway */
} SoakProxyMode;

/* Kinds of request. */
typedef enum { SOAK_SAFE, SOAK_UNSAFE, SOAK_STREAM, SOAK_ONCE } SoakKind;

#define SOAK_KINDS 4

/* A request of a caller, and what became of it. */
typedef struct {
    char id[24];
    SoakKind kind;
    bool deadly;   /* crashes each upstream that begins it */
    unsigned key;  /* number of the API key */
    unsigned runs; /* upstreams that began it */
    int status;    /* of the answer; 0: none */
    bool answered;
    bool refused; /* answered 429 or 503 */
    int64_t sent_ms;
    int64_t answered_ms; /* end of the whole answer; 0: none */
    unsigned gateway;
} SoakRequest;

/* The whole run. */
struct Soak {
    struct ev_loop *loop;
    const BsClock *clock;
    GRand *random;
    uint32_t base; /* address of the first gateway, host order */
    unsigned number;
    unsigned gateway_count;
    unsigned upstream_count;
    SoakStore *store;
    SoakUpstream *upstreams[SOAK_UPSTREAMS_MAX];
    GHashTable *requests; /* id to SoakRequest */
    unsigned config_version;
    unsigned first_valid_key; /* keys below this number were taken down */
    int64_t keys_revoked_ms;
    int64_t closed_ms;      /* since when data centre d1 is closed; 0: open */
    int64_t store_fault_ms; /* last change of the store's mode */
    bool store_faulty;
    GRand *deadly_random;    /* of its own, so that other draws stay */
    int64_t deadly_ms;       /* between two deadly requests; 0: none */
    unsigned deadly_crashes; /* since a gateway was last there to know */
    int64_t deadly_third_ms; /* of the third of them */
    unsigned deadly_late;    /* deadly requests that arrived long after it */
    unsigned deadly_runs;
    unsigned violations;
    unsigned answered_good;
    unsigned answered_after_faults[SOAK_KINDS]; /* since all faults ended */
    bool faults_ended;
    bool verbose;
};

int64_t Soak_NowMs(const Soak *soak);

/* Notes that a promise was broken. */
void Soak_Violation(Soak *soak, const char *promise, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Writes a line about a fault when the run is verbose. */
void Soak_Log(Soak *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Returns the request ID, or NULL. */
SoakRequest *Soak_FindRequest(Soak *soak, const char *id);

/* Returns whether the store, and the gateway NUMBER, had no fault lately. */
bool Soak_IsSettled(const Soak *soak, unsigned gateway);

/* Returns a random number from LOW to HIGH. */
int Soak_RandomInt(Soak *soak, int low, int high);

/* ----------------------------------------------------------------- store --
 */

/* What the store does with calls. */
typedef enum {
    SOAK_SERVES,
    SOAK_REFUSES,
    SOAK_BUSY,
    SOAK_NO_ANSWER
} SoakStoreMode;

SoakStore *SoakStore_Create(Soak *soak, const struct sockaddr_in *address);
void SoakStore_Destroy(SoakStore *store);
void SoakStore_SetMode(SoakStore *store, SoakStoreMode mode);

/* Writes an item; VALUE is NULL to remove it. */
void SoakStore_Put(SoakStore *store, const char *key, const char *value);

/* Forgets the history. */
void SoakStore_Compact(SoakStore *store);

/* ---------------------------------------------------------------- upstream --
 */

SoakUpstream *SoakUpstream_Create(Soak *soak, unsigned number);
void SoakUpstream_Destroy(SoakUpstream *upstream);

/* Lists it in the store as ready, draining or (NULL) not at all. */
void SoakUpstream_List(SoakUpstream *upstream, const char *state, int cold_ms);

/* Loses all connections and what runs, and is down for AWAY_MS. */
void SoakUpstream_Crash(SoakUpstream *upstream, int down_ms);

/* Fails PERCENT of its requests. */
void SoakUpstream_SetErrors(SoakUpstream *upstream, int percent);

SoakProxy *SoakUpstream_Proxy(SoakUpstream *upstream);

/* ----------------------------------------------------------------- proxy --
 */

/* Passes connections at LISTEN on to TARGET. */
SoakProxy *SoakProxy_Create(Soak *soak, const struct sockaddr_in *listen,
                            const struct sockaddr_in *target);
void SoakProxy_Destroy(SoakProxy *proxy);

/* Refuses connections, as an upstream that is down does, or takes them. */
void SoakProxy_SetListening(SoakProxy *proxy, bool listening);
void SoakProxy_SetMode(SoakProxy *proxy, SoakProxyMode mode);

/* --------------------------------------------------------------- gateway --
 */

/* Starts the gateways, and their callers. */
void SoakFleet_Start(Soak *soak, const char *program, const char *directory);

/* Kills and waits for all that still run. */
void SoakFleet_Stop(Soak *soak);

/* Returns how long the gateway has run since its start or its last pause; 0
   while it is down, paused or stopping. */
int64_t SoakFleet_UptimeMs(unsigned gateway);

/* Returns whether a gateway has run long enough to know what the others
   know. */
bool SoakFleet_HasSyncedGateway(const Soak *soak);

/* Returns when the gateway last had a fault; now, while one lasts. */
int64_t SoakFleet_FaultMs(unsigned gateway);

/* Sends NUMBER a signal: SIGKILL and SIGTERM are followed by a restart after
   DOWN_MS, SIGSTOP by SIGCONT. */
void SoakFleet_Signal(Soak *soak, unsigned gateway, int number, int down_ms);

/* Sets the mode of the gateway's direction to the store. */
void SoakFleet_SetStorePath(Soak *soak, unsigned gateway, SoakProxyMode mode);

/* Returns whether the gateway is in a planned stop without another fault. */
bool SoakFleet_IsStopping(unsigned gateway);

/* --------------------------------------------------------------- callers --
 */

/* Starts COUNT callers that send RATE requests a second together. */
void SoakCallers_Start(Soak *soak, unsigned count, double rate);

/* Sends a request that crashes upstreams every so often: the same account,
   path and body with another id, to any gateway. */
void SoakCallers_StartDeadly(Soak *soak);

/* Sends no more, and waits on for answers. */
void SoakCallers_StopSending(Soak *soak);

/* Ends all calls and frees what callers hold. */
void SoakCallers_Stop(Soak *soak);

/* ------------------------------------------------------------------ load --
 */

/* Returns the name of a kind of request, which is that of its route. */
const char *SoakLoad_Name(SoakKind kind);

/* Prints what callers saw, by route: counts, and times of whole answers. */
void SoakLoad_Print(const Soak *soak);

/* Fills ADDRESS with 127.0.0.0/8 at offset HOST of the run, and PORT. */
void Soak_Address(const Soak *soak, unsigned host, uint16_t port,
                  struct sockaddr_in *address);

#endif /* SOAK_H */
