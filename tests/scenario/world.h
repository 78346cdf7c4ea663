/*
 * world.h - several real cores in one process on a fake clock.
 *
 * A world delivers the messages of its cores under the control of a test:
 * with delay, loss, repetition, reordering and cuts.  Upstreams, callers and
 * the platform are small fakes.  The same seed and calls give the same run.
 * Peer messages pass through the wire codec, so their bytes are counted.
 */
#ifndef WORLD_H
#define WORLD_H

#include "boragespur.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Name of the platform in World_Cut(). */
#define WORLD_PLATFORM "platform"

/* Time between ticks of a core. */
#define WORLD_TICK_MS 10

typedef struct World World;

/* What an upstream does with a request. */
typedef enum {
    WORLD_OK = 0,  /* runs it and answers in pieces */
    WORLD_REFUSE,  /* refuses before running */
    WORLD_CONNECT, /* cannot be reached */
    WORLD_CRASH,   /* dies after the first piece, with all it runs */
    WORLD_HANG,    /* runs it and never answers */
    WORLD_HALF,    /* runs it and breaks off after the first piece */
    WORLD_ERROR    /* runs it and answers status 500 */
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
    uint32_t step_ms;  /* between pieces */
    uint32_t pieces;
    bool fencing; /* checks fencing numbers */
} WorldUpstreamSpec;

/* One run of a request at an upstream. */
typedef struct {
    char *key;
    char *request_id;
    char *body;
    char *instance; /* that dispatched it */
    int64_t at_ms;
} WorldRun;

/* What a caller has received so far. */
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
    uint32_t finals;    /* final answers received; never more than 1 */
    uint32_t disorders; /* pieces out of sequence; never more than 0 */
    bool lost;          /* its instance died before the final answer */
    char *ticket;       /* spare ticket, or NULL */
} WorldCall;

/* Creates an empty world at time 1,000,000 ms. */
World *World_Create(uint32_t seed);

/* Frees WORLD and all in it. */
void World_Destroy(World *world);

/* Returns the settings given to instances started later. */
BsCoreConfig *World_Config(World *world);

/* Returns the random numbers of the world. */
GRand *World_Random(World *world);

/* Returns the time in milliseconds. */
int64_t World_NowMs(const World *world);

/* Calls AFTER after every step of a core. */
void World_OnStep(World *world, void (*after)(World *, void *), void *context);

/* Prints every message handled, when TRACE. */
void World_SetTrace(World *world, bool trace);

/* --- instances --- */

/* Starts an instance and adds it to the next published list. */
void World_AddInstance(World *world, const char *name, const char *data_centre,
                       const char *region);

/* Ends an instance without notice; what it had in memory is gone. */
void World_Kill(World *world, const char *name);

/* Starts a killed instance anew, under the same name and address. */
void World_Restart(World *world, const char *name);

/* Freezes an instance: messages to it wait. */
void World_Pause(World *world, const char *name);

/* Continues a frozen instance. */
void World_Wake(World *world, const char *name);

/* Starts a planned stop. */
void World_Drain(World *world, const char *name, int64_t limit_ms);

/* Returns the core of a running instance, or NULL. */
BsCore *World_Core(World *world, const char *name);

/* Returns whether the instance told that its planned stop is complete. */
bool World_IsDrained(World *world, const char *name);

/* Hands MESSAGE to the core of NAME now, and destroys it. */
void World_Inject(World *world, const char *name, BsMessage *message);

/* --- network --- */

/* Drops all messages from FROM to TO; "*" matches every instance. */
void World_Cut(World *world, const char *from, const char *to);

/* Ends all cuts. */
void World_Heal(World *world);

/* Sets the share of peer messages lost and repeated (0 to 1), and extra
   random delay, which also reorders them. */
void World_SetNetwork(World *world, double loss, double repeat,
                      int64_t extra_ms);

/* Holds back peer messages of KIND to instance TO ("*" any) until
   World_Release(); 0 matches every kind. */
void World_Hold(World *world, uint32_t kind, const char *to);

/* Delivers the messages held back and ends the holding. */
void World_Release(World *world);

/* --- platform --- */

/* Publishes the list as it stands; watchers read it after LAG_MS. */
void World_PublishList(World *world, int64_t lag_ms);

/* Publishes the list as it stands to instance NAME alone. */
void World_PublishListTo(World *world, const char *name);

/* Sets the state of a list entry (BsNodeState), or 0 to take it out. */
void World_SetListed(World *world, const char *name, uint32_t state);

/* Publishes a sheet; watchers read it after LAG_MS. */
void World_PublishSheet(World *world, uint64_t revision, const char *text,
                        int64_t lag_ms);

/* Makes the configuration service unreachable, or reachable again. */
void World_SetPlatformDown(World *world, bool down);

/* --- upstreams --- */

/* Adds an upstream, to be listed by the next published list. */
void World_AddUpstream(World *world, const WorldUpstreamSpec *spec);

/* Sets what an upstream does with requests dispatched from now on. */
void World_SetMode(World *world, const char *name, WorldMode mode);

/* Sets the speed of an upstream. */
void World_SetSpeed(World *world, const char *name, uint32_t first_ms,
                    uint32_t step_ms);

/* Restarts an upstream: what it runs is lost, it is cold. */
void World_RestartUpstream(World *world, const char *name);

/* Sets what an engine reports as loaded (comma-separated model@version). */
void World_SetLoaded(World *world, const char *name, const char *loaded);

/* Returns what an engine has loaded. */
const char *World_Loaded(World *world, const char *name);

/* Returns all runs (WorldRun) of an upstream, oldest first. */
const GPtrArray *World_Runs(World *world, const char *name);

/* Returns how many requests an upstream runs now. */
uint32_t World_Running(World *world, const char *name);

/* Returns the most requests an upstream ran at once since the last call. */
uint32_t World_TakePeak(World *world, const char *name);

/* Returns the text that an upstream answers to BODY, in PIECES pieces. */
char *World_ExpectedText(const char *body, uint32_t pieces);

/* --- callers --- */

/* Sends a request as a caller of INSTANCE; takes REQUEST, of kind
   BS_CALLER_REQUEST, whose request_id names the call. */
void World_Send(World *world, const char *instance, BsMessage *request);

/* Ends a call as a caller that goes away. */
void World_Leave(World *world, const char *id);

/* Returns the call ID, or NULL. */
const WorldCall *World_Call(World *world, const char *id);

/* Returns all calls (WorldCall), in the order sent. */
const GPtrArray *World_Calls(World *world);

/* Asks a query of an instance; g_free() the body, or NULL if none came
   within WAIT_MS. */
char *World_Query(World *world, const char *instance, const char *what,
                  const char *argument, const char *token, int64_t wait_ms);

/* --- time and measures --- */

/* Runs for DURATION_MS. */
void World_Run(World *world, int64_t duration_ms);

/* Returns peer messages and bytes sent by all instances so far. */
uint64_t World_PeerMessages(const World *world);
uint64_t World_PeerBytes(const World *world);

/* Returns peer bytes of one kind sent so far. */
uint64_t World_PeerBytesOfKind(const World *world, uint32_t kind);

#ifdef __cplusplus
}
#endif

#endif /* WORLD_H */
