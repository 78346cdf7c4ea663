/*
 * world.h - simulates a fleet: several real cores in one process on a fake
 * clock.
 *
 * A test controls how messages between the cores are delayed, lost, repeated,
 * reordered or cut off.  Upstreams, callers and the platform (the
 * configuration service) are fakes.  The same seed and calls give the same
 * run.  Peer messages pass through the wire codec, so that their encoded bytes
 * can be counted.
 */
#ifndef WORLD_H
#define WORLD_H

#include "boragespur.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Name of the platform as the FROM of World_Cut(). */
#define WORLD_PLATFORM "platform"

/* Time between two ticks of a core. */
#define WORLD_TICK_MS 10

typedef struct World World;

/* How an upstream handles a request. */
typedef enum {
    WORLD_OK = 0,  /* runs it and answers in pieces */
    WORLD_REFUSE,  /* refuses it with status 503 before running it */
    WORLD_CONNECT, /* accepts no connection */
    WORLD_CRASH,   /* crashes after the first piece; all its requests fail */
    WORLD_HANG,    /* runs it and never answers */
    WORLD_HALF,    /* runs it, but closes the connection after the
                      first piece */
    WORLD_ERROR    /* runs it and answers with status 500 */
} WorldMode;

/* Properties of a fake upstream. */
typedef struct {
    const char *name;
    uint32_t kind; /* BsNodeKind */
    const char *data_centre;
    const char *region;
    const char *serves;
    const char *generation;
    uint32_t slots;
    uint32_t tokens;
    uint32_t first_ms; /* from dispatch to the first piece */
    uint32_t step_ms;  /* between two pieces */
    uint32_t pieces;   /* of a complete answer */
    bool fencing;      /* ignores orders with an older fencing number */
} WorldUpstreamSpec;

/* A request that an upstream started to run. */
typedef struct {
    char *key;
    char *request_id;
    char *body;
    char *instance; /* instance that dispatched it */
    int64_t at_ms;
} WorldRun;

/* A caller's request and what has been received for it so far. */
typedef struct {
    char *id;
    char *instance;
    char *key;
    char *body;
    GString *text; /* data received */
    int64_t sent_ms;
    int64_t first_ms; /* of the first piece, 0 before */
    int64_t done_ms;
    uint64_t next_seq;
    uint32_t status;
    uint32_t outcome;
    uint32_t error;
    uint32_t retry_after_s;
    uint32_t finals;    /* final answers received; at most 1 */
    uint32_t disorders; /* pieces out of sequence; must stay 0 */
    bool lost;          /* its instance was killed before the final answer */
    char *ticket;       /* spare ticket in the answer, or NULL */
} WorldCall;

/* Creates an empty world at time 1,000,000 ms. */
World *World_Create(uint32_t seed);

/* Frees WORLD and everything in it. */
void World_Destroy(World *world);

/* Returns the settings used by instances started from now on. */
BsCoreConfig *World_Config(World *world);

/* Returns the random number generator of the world. */
GRand *World_Random(World *world);

/* Returns the fake time in milliseconds. */
int64_t World_NowMs(const World *world);

/* Calls AFTER after every step of a core. */
void World_OnStep(World *world, void (*after)(World *, void *), void *context);

/* Prints every message to and from the cores except ticks, if TRACE. */
void World_SetTrace(World *world, bool trace);

/* --- instances --- */

/* Starts an instance and adds it to the next published list. */
void World_AddInstance(World *world, const char *name, const char *data_centre,
                       const char *region);

/* Kills an instance without notice; its memory and its waiting messages are
   lost. */
void World_Kill(World *world, const char *name);

/* Starts an instance again with the same name and address and a new
   incarnation; kills it first if it runs. */
void World_Restart(World *world, const char *name);

/* Pauses an instance: it handles no ticks, and messages to it are queued. */
void World_Pause(World *world, const char *name);

/* Resumes a paused instance, which first handles the queued messages. */
void World_Wake(World *world, const char *name);

/* Starts a planned stop that may take LIMIT_MS. */
void World_Drain(World *world, const char *name, int64_t limit_ms);

/* Returns the core of a running instance, or NULL. */
BsCore *World_Core(World *world, const char *name);

/* Returns whether the instance reported that its planned stop is complete. */
bool World_IsDrained(World *world, const char *name);

/* Passes MESSAGE to the core of instance NAME now; takes MESSAGE. */
void World_Inject(World *world, const char *name, BsMessage *message);

/* --- network --- */

/* Drops all messages that FROM sends to TO from now on; "*" matches every
   instance. */
void World_Cut(World *world, const char *from, const char *to);

/* Removes all cuts. */
void World_Heal(World *world);

/* Sets the shares of peer messages that are lost and delivered twice (0 to
   1), and the upper bound of a random extra delay, which also reorders
   them. */
void World_SetNetwork(World *world, double loss, double repeat,
                      int64_t extra_ms);

/* Holds back peer messages of KIND (0 for every kind) to instance TO ("*" for
   every instance) until World_Release(). */
void World_Hold(World *world, uint32_t kind, const char *to);

/* Delivers the messages held back, and holds back no more. */
void World_Release(World *world);

/* --- platform --- */

/* Publishes the current list of instances and upstreams; watching instances
   read it after LAG_MS. */
void World_PublishList(World *world, int64_t lag_ms);

/* Delivers the current list to instance NAME alone; other instances cannot
   read it from the platform. */
void World_PublishListTo(World *world, const char *name);

/* Sets the state of an entry (BsNodeState) in the lists published from now
   on; 0 leaves the entry out. */
void World_SetListed(World *world, const char *name, uint32_t state);

/* Publishes a sheet; watching instances read it after LAG_MS. */
void World_PublishSheet(World *world, uint64_t revision, const char *text,
                        int64_t lag_ms);

/* Makes the configuration service unreachable, or reachable again. */
void World_SetPlatformDown(World *world, bool down);

/* --- upstreams --- */

/* Adds an upstream and its entry in the next published list. */
void World_AddUpstream(World *world, const WorldUpstreamSpec *spec);

/* Sets how an upstream handles requests dispatched from now on. */
void World_SetMode(World *world, const char *name, WorldMode mode);

/* Sets the delays of the first and of each later piece. */
void World_SetSpeed(World *world, const char *name, uint32_t first_ms,
                    uint32_t step_ms);

/* Restarts an upstream: the requests it runs fail, and its new boot id shows
   that it is cold. */
void World_RestartUpstream(World *world, const char *name);

/* Sets the models that an engine reports as loaded (comma-separated
   model@version, NULL for none). */
void World_SetLoaded(World *world, const char *name, const char *loaded);

/* Returns the models that an engine has loaded, or NULL. */
const char *World_Loaded(World *world, const char *name);

/* Returns all runs (WorldRun) of an upstream, oldest first. */
const GPtrArray *World_Runs(World *world, const char *name);

/* Returns how many requests an upstream runs now. */
uint32_t World_Running(World *world, const char *name);

/* Returns the largest number of requests that an upstream ran at once since
   the last call, and restarts the measurement. */
uint32_t World_TakePeak(World *world, const char *name);

/* Returns the complete text that an upstream answers to BODY in PIECES
   pieces; g_free() it. */
char *World_ExpectedText(const char *body, uint32_t pieces);

/* --- callers --- */

/* Sends a request to INSTANCE as a caller; takes REQUEST, which is of kind
   BS_CALLER_REQUEST and whose request_id becomes the ID of the call. */
void World_Send(World *world, const char *instance, BsMessage *request);

/* Cancels the call ID, as when its caller disconnects. */
void World_Leave(World *world, const char *id);

/* Returns the call ID, or NULL. */
const WorldCall *World_Call(World *world, const char *id);

/* Returns all calls (WorldCall), in the order sent. */
const GPtrArray *World_Calls(World *world);

/* Sends a query to an instance and runs until the reply arrives; returns its
   body, which the caller frees with g_free(), or NULL after WAIT_MS. */
char *World_Query(World *world, const char *instance, const char *what,
                  const char *argument, const char *token, int64_t wait_ms);

/* --- time and traffic --- */

/* Advances the clock by DURATION_MS and handles what becomes due. */
void World_Run(World *world, int64_t duration_ms);

/* Return the number and the encoded bytes of the peer messages that all
   instances have sent so far. */
uint64_t World_PeerMessages(const World *world);
uint64_t World_PeerBytes(const World *world);

/* Returns the encoded bytes of the peer messages of KIND sent so far. */
uint64_t World_PeerBytesOfKind(const World *world, uint32_t kind);

#ifdef __cplusplus
}
#endif

#endif /* WORLD_H */
