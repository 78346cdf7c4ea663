/*
 * soak.h - fault soak test: real gateways between simulated callers and
 * upstreams.
 *
 * The gateways are separate processes; callers, upstreams, store and proxies
 * run in this process on one event loop.  A soak only kills processes that it
 * started, by their process ids.
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

/* Bounds of retries in the gateways' settings. */
#define SOAK_RETRY_RATIO 0.2
#define SOAK_RETRY_WINDOW_MS 10000

typedef struct Soak Soak;
typedef struct SoakStore SoakStore;
typedef struct SoakUpstream SoakUpstream;
typedef struct SoakProxy SoakProxy;
typedef struct SoakLimit SoakLimit;
typedef struct SoakRepeats SoakRepeats;
typedef struct SoakVersions SoakVersions;

/* How an upstream fails. */
typedef enum {
    SOAK_SOUND,
    SOAK_REFUSING, /* runs no request */
    SOAK_CLOSING,  /* runs requests, but resets their connections */
    SOAK_LATE      /* answers after callers have given up */
} SoakFailure;

/* How a proxy treats the bytes of its connections. */
typedef enum {
    SOAK_PASS,
    SOAK_DELAY,     /* forwards them after a delay */
    SOAK_RESET,     /* resets open and new connections */
    SOAK_BLACKHOLE, /* keeps connections, forwards nothing */
    SOAK_ONE_WAY    /* forwards only bytes from the gateway */
} SoakProxyMode;

/* Where in an answer an upstream fell silent. */
typedef enum {
    SOAK_CUT_BEFORE_HEAD,
    SOAK_CUT_IN_HEAD,
    SOAK_CUT_BETWEEN_EVENTS, /* or after the head */
    SOAK_CUT_IN_EVENT        /* or in another body */
} SoakCut;

#define SOAK_CUTS 4

/* Kind of a request; each has a route of its own. */
typedef enum { SOAK_SAFE, SOAK_UNSAFE, SOAK_STREAM, SOAK_ONCE } SoakKind;

#define SOAK_KINDS 4

/* What a caller has of a stream, over its tries. */
typedef struct {
    char first_id[24];   /* id of the request that brought the first event */
    unsigned version;    /* of the upstream's software; 0: no event came */
    unsigned next_event; /* first one that is missing */
    unsigned tries;      /* number of take-ups so far */
} SoakStream;

/* A caller's request and its outcome. */
typedef struct {
    char id[24];
    SoakKind kind;
    bool deadly;  /* crashes each upstream that starts it */
    unsigned key; /* number of the API key */
    SoakStream stream;
    unsigned first_event;   /* that it asks for */
    bool counts;            /* in the shares of streams that are served */
    bool joined;            /* got events of two versions */
    unsigned arrivals;      /* number of times an upstream read it */
    unsigned runs;          /* number of times an upstream started it */
    SoakUpstream *upstream; /* that started it last; NULL: none */
    int status;             /* HTTP status of the answer; 0: none */
    bool answered;
    bool refused; /* answered 429, 503, 408 or 421: must not run */
    bool cut;     /* ended without a complete answer */
    int64_t sent_ms;
    int64_t answered_ms; /* when the answer was complete; 0: not */
    unsigned gateway;
} SoakRequest;

/* State of one soak run. */
struct Soak {
    struct ev_loop *loop;
    const BsClock *clock;
    BsConnBudget *conn_budget; /* of all servers; never used up */
    GRand *random;
    uint32_t base; /* address of the first gateway, host order */
    unsigned number;
    unsigned gateway_count;
    unsigned upstream_count;
    SoakStore *store;
    SoakRepeats *repeats;
    SoakVersions *versions;
    SoakUpstream *upstreams[SOAK_UPSTREAMS_MAX];
    GHashTable *requests; /* request id to SoakRequest */
    unsigned config_version;
    unsigned first_valid_key; /* keys below this number are revoked */
    int64_t keys_revoked_ms;
    int64_t closed_ms;      /* when data centre d1 was closed; 0: open */
    int64_t store_fault_ms; /* last change of the store's mode */
    bool store_faulty;
    GRand *deadly_random;    /* separate, so that deadly requests don't
                                change the draws of RANDOM */
    int64_t deadly_ms;       /* pause between deadly requests; 0: none */
    bool unframed;           /* streams end with their connections, without
                                chunks, and crashes end them inside an event */
    bool deadly_part;        /* deadly requests share a part of their prompts
                                and nothing else */
    unsigned deadly_crashes; /* since the gateways last lost the record */
    int64_t deadly_last_ms;  /* time of the last crash that is allowed */
    unsigned deadly_late;    /* arrivals over DEADLY_MS after it */
    unsigned deadly_runs;    /* crashes in the whole run */

    GRand *limit_random;    /* separate for the same reason */
    int64_t limit_pause_ms; /* pause between limits of upstreams; 0: none */

    GRand *failure_random;    /* separate for the same reason */
    int64_t failure_pause_ms; /* pause between failures of upstreams in series;
                                 0: none */
    bool copies;              /* upstreams send late copies of answers */
    int64_t restart_pause_ms; /* pause between restarts of all gateways; 0:
                                 none */

    int64_t long_pause_ms;    /* pause between long pauses of all upstreams; 0:
                                 none */
    int64_t release_pause_ms; /* pause between releases of upstreams' software;
                                 0: none */
    bool sending_ended;

    GRand *silent_random;          /* separate for the same reason */
    int64_t silent_pause_ms;       /* pause between silences; 0: none */
    unsigned silent_count;         /* upstreams that are silent now */
    int64_t silent_ms;             /* end of the last silence */
    unsigned silences;             /* in the whole run */
    unsigned cuts[SOAK_CUTS];      /* answers that silences held */
    unsigned cut_in_silence;       /* requests that ended without a complete
                                      answer, excused or not */
    unsigned failed_in_silence[3]; /* requests answered 502, 503 or 504 */
    int64_t trouble_ms;            /* last fault that is neither planned work
                                      nor a silence; INT64_MAX while some may
                                      last */

    unsigned events;         /* of a stream */
    int deadline_ms;         /* of requests, and time-out of routes */
    unsigned retry_slack;    /* bound in the gateways' settings */
    unsigned early_repeats;  /* percentage in the gateways' settings; 0: off */
    unsigned ejection_per_s; /* probe rate in the gateways' settings; 0: off */
    unsigned violations;
    unsigned answered_good;
    unsigned answered_after_faults[SOAK_KINDS];
    bool faults_ended;
    bool verbose;
};

int64_t Soak_NowMs(const Soak *soak);

/* Counts and prints the violation of a promise. */
void Soak_Violation(Soak *soak, const char *promise, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Prints a line about a fault if the run is verbose. */
void Soak_Log(Soak *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Returns the request with this id, or NULL. */
SoakRequest *Soak_FindRequest(Soak *soak, const char *id);

/* Returns whether neither the store nor GATEWAY had a fault in the last
   SETTLED_MS (see main_soak.c). */
bool Soak_IsSettled(const Soak *soak, unsigned gateway);

/* Returns a random number from LOW to HIGH, both included. */
int Soak_RandomInt(Soak *soak, int low, int high);

/* ----------------------------------------------------------------- store --
 */

/* How the store answers calls: normally, with 503, with 429, or never. */
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

/* Drops the history: watches from an older revision are answered 410. */
void SoakStore_Compact(SoakStore *store);

/* ---------------------------------------------------------------- upstream --
 */

SoakUpstream *SoakUpstream_Create(Soak *soak, unsigned number);
void SoakUpstream_Destroy(SoakUpstream *upstream);

/* Lists the upstream in the store with STATE "ready" or "draining", COLD_MS of
   its cold start remaining; NULL removes its entry. */
void SoakUpstream_List(SoakUpstream *upstream, const char *state, int cold_ms);

/* Drops all connections and runs; restarts after DOWN_MS. */
void SoakUpstream_Crash(SoakUpstream *upstream, int down_ms);

/* Answers PERCENT of the requests with status 500. */
void SoakUpstream_SetErrors(SoakUpstream *upstream, int percent);

/* Starts an upstream that was stopped, with a new id and VERSION. */
void SoakUpstream_Start(SoakUpstream *upstream, unsigned version);

/* Ends the upstream and removes its entry. */
void SoakUpstream_Stop(SoakUpstream *upstream);

bool SoakUpstream_IsStopped(const SoakUpstream *upstream);

/* Returns the version of the upstream's software while it runs and is listed
   as ready, else 0. */
unsigned SoakUpstream_Version(const SoakUpstream *upstream);

/* Lets the upstream fail, or work again. */
void SoakUpstream_SetFailure(SoakUpstream *upstream, SoakFailure failure);

SoakProxy *SoakUpstream_Proxy(SoakUpstream *upstream);

/* Returns the limits that the upstream names. */
SoakLimit *SoakUpstream_Limit(SoakUpstream *upstream);

/* ----------------------------------------------------------------- limit --
 */

SoakLimit *SoakLimit_Create(Soak *soak);
void SoakLimit_Destroy(SoakLimit *limit);

/* Starts to name a random limit for some seconds; returns it (requests a
   second), or 0 if one lasts. */
double SoakLimit_Start(SoakLimit *limit);

void SoakLimit_End(SoakLimit *limit);

/* Appends the limit, if one lasts, to the HEAD of an answer to GATEWAY. */
void SoakLimit_AppendHead(SoakLimit *limit, unsigned gateway, GString *head);

/* Checks a request of GATEWAY that arrives at UPSTREAM. */
void SoakLimit_Check(SoakLimit *limit, const char *upstream, unsigned gateway);

/* --------------------------------------------------------------- repeats --
 */

SoakRepeats *SoakRepeats_Create(Soak *soak);
void SoakRepeats_Destroy(SoakRepeats *repeats);

/* Notes that a caller sends a request. */
void SoakRepeats_NoteSent(SoakRepeats *repeats);

/* Notes that an upstream has read REQUEST, and checks the number of repeats
   in the window that ends now. */
void SoakRepeats_NoteArrival(SoakRepeats *repeats, SoakRequest *request);

/* Prints how many repeats there were. */
void SoakRepeats_Print(const SoakRepeats *repeats);

/* -------------------------------------------------------------- versions --
 */

SoakVersions *SoakVersions_Create(Soak *soak);
void SoakVersions_Destroy(SoakVersions *versions);

/* Starts releases, if their pause is set. */
void SoakVersions_Start(SoakVersions *versions);

/* Notes that a caller sends a stream's REQUEST. */
void SoakVersions_NoteSent(SoakVersions *versions, SoakRequest *request);

/* Checks the events of BODY, and has the caller take the stream up later if
   some are missing. */
void SoakVersions_NoteEnd(SoakVersions *versions, SoakRequest *request,
                          const char *body);

/* Checks that enough take-ups went on. */
void SoakVersions_CheckShare(SoakVersions *versions);

/* Prints counts of take-ups, in runs with releases. */
void SoakVersions_Print(const SoakVersions *versions);

/* ----------------------------------------------------------------- proxy --
 */

/* Forwards connections accepted at LISTEN to TARGET. */
SoakProxy *SoakProxy_Create(Soak *soak, const struct sockaddr_in *listen,
                            const struct sockaddr_in *target);
void SoakProxy_Destroy(SoakProxy *proxy);

/* Starts to accept connections, or closes the socket and all connections, as
   when the upstream is down. */
void SoakProxy_SetListening(SoakProxy *proxy, bool listening);
void SoakProxy_SetMode(SoakProxy *proxy, SoakProxyMode mode);

/* Sends late copies of answers, or no longer does. */
void SoakProxy_SetCopies(SoakProxy *proxy, bool copies);

/* Withholds for SILENCE_MS what the target sends, from an arbitrary byte on,
   and what it gets if HOLDS_REQUESTS; then goes on with nothing lost.  Returns
   false, without effect, while the target is down, silent or was so just
   before. */
bool SoakProxy_FallSilent(SoakProxy *proxy, int silence_ms,
                          bool holds_requests);

/* Returns when the last silence ended; now while one lasts. */
int64_t SoakProxy_SilentMs(const SoakProxy *proxy);

/* --------------------------------------------------------------- gateway --
 */

/* Starts the gateway processes, with settings and logs in DIRECTORY. */
void SoakFleet_Start(Soak *soak, const char *program, const char *directory);

/* Kills the gateways that still run and waits for their end. */
void SoakFleet_Stop(Soak *soak);

/* Returns the time since the gateway started or last resumed; 0 while it is
   down, paused or stopping. */
int64_t SoakFleet_UptimeMs(unsigned gateway);

/* Returns whether some gateway has run long enough to have received the state
   of the others. */
bool SoakFleet_HasSyncedGateway(const Soak *soak);

/* Returns the time of the last fault of the gateway; now while one lasts. */
int64_t SoakFleet_FaultMs(unsigned gateway);

/* Sends GATEWAY the signal NUMBER.  SIGKILL is followed by a restart after
   DOWN_MS, SIGSTOP by SIGCONT after DOWN_MS, SIGTERM by a restart soon after
   the process ends.  Does nothing while the gateway is down, paused or
   stopping. */
void SoakFleet_Signal(Soak *soak, unsigned gateway, int number, int down_ms);

/* Returns the mode of the gateway's proxy to the store. */
SoakProxyMode SoakFleet_StorePath(unsigned number);

/* Sets the mode of the gateway's proxy to the store. */
void SoakFleet_SetStorePath(Soak *soak, unsigned gateway, SoakProxyMode mode);

/* Returns whether the gateway's grace period is nearly over. */
bool SoakFleet_IsGraceOver(unsigned gateway);

/* Returns whether the gateway is in a planned stop and has had no fault since
   it began. */
bool SoakFleet_IsStopping(unsigned gateway);

/* -------------------------------------------------------------- failures --
 */

/* Starts the failures of upstreams and the restarts of gateways whose pauses
   are set. */
void SoakFailures_Start(Soak *soak);

/* Stops both; upstreams that answer wrongly work again. */
void SoakFailures_Stop(Soak *soak);

/* --------------------------------------------------------------- callers --
 */

/* Starts sending RATE requests a second; COUNT is unused. */
void SoakCallers_Start(Soak *soak, unsigned count, double rate);

/* Starts sending deadly requests, to a random gateway: the same account, path
   and body with a new id each time, or the same part of a prompt. */
void SoakCallers_StartDeadly(Soak *soak);

/* Takes STREAM up at a random gateway. */
void SoakCallers_TakeUp(Soak *soak, const SoakStream *stream);

/* Stops sending; calls in progress continue. */
void SoakCallers_StopSending(Soak *soak);

/* Cancels all calls and frees the state of the callers. */
void SoakCallers_Stop(Soak *soak);

/* ------------------------------------------------------------------ load --
 */

/* Returns the name of the route for KIND. */
const char *SoakLoad_Name(SoakKind kind);

/* Prints where silences cut answers and how requests ended meanwhile. */
void SoakLoad_PrintSilences(const Soak *soak);

/* Prints a table by route: counts, and response times of complete answers. */
void SoakLoad_Print(const Soak *soak);

/* --------------------------------------------------------------- network --
 */

/* Hosts of a run beside those of its gateways, which are numbered from 0. */
#define SOAK_TARGETS_HOST 100     /* store and upstreams */
#define SOAK_PROXIES_HOST 101     /* proxies of the upstreams */
#define SOAK_STORE_PATHS_HOST 102 /* proxies of the store */

#define SOAK_STORE_PORT 19999

/* Ports of each gateway. */
#define SOAK_CALLERS_PORT 8000
#define SOAK_READY_PORT 8001
#define SOAK_ADMIN_PORT 8002
#define SOAK_PEERS_PORT 8003

/* Return the port of an upstream and its proxy, and of a gateway's proxy of
   the store. */
uint16_t SoakNetwork_UpstreamPort(unsigned upstream);
uint16_t SoakNetwork_StorePathPort(unsigned gateway);

/* Sets the addresses of the run and reserves its ports.  The range of
   addresses is chosen by SEED; if another run has it or a port is taken, it is
   the next free one.  Returns the sockets that hold them; ends the process if
   none is free. */
GArray *SoakNetwork_Reserve(Soak *soak, unsigned seed);

void SoakNetwork_Release(GArray *held);

/* Sets ADDRESS to PORT of the loopback address number HOST of this run. */
void Soak_Address(const Soak *soak, unsigned host, uint16_t port,
                  struct sockaddr_in *address);

#endif /* SOAK_H */
