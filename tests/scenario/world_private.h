/* world_private.h - types and functions shared by the files of a world. */
#ifndef WORLD_PRIVATE_H
#define WORLD_PRIVATE_H

#include "member.h"
#include "world.h"

#define KINDS_MAX 128

/* A published list and the upstreams that each instance owns under it. */
typedef struct {
    BsMessage *message;
    GHashTable *owned; /* instance name to GPtrArray of upstream names */
} WorldList;

typedef struct {
    char *name;
    char *data_centre;
    char *region;
    BsCore *core; /* NULL while killed */
    World *world;
    GQueue waiting; /* BsMessage, while paused */
    uint64_t incarnation;
    uint64_t sheet_seen; /* revision last read from the platform */
    uint64_t list_seen;  /* revision last read from the platform */
    bool paused;
    bool drained;
    bool watch_sheet;
    bool watch_list;
    WorldList *list; /* last list received, or NULL */
} WorldNode;

/* A message to deliver or a function to call at a given time. */
typedef struct {
    int64_t at_ms;
    uint64_t order;       /* breaks ties between equal times */
    WorldNode *node;      /* receiver of MESSAGE */
    uint64_t incarnation; /* of the receiver, 0 for any */
    BsMessage *message;
    void (*call)(World *, void *);
    void *context;
    GDestroyNotify destroy;
} WorldEvent;

typedef struct {
    char *from;
    char *to;
} WorldCut;

typedef struct WorldUpstream WorldUpstream;

struct World {
    GRand *random;
    int64_t now_ms;
    uint64_t next_order;
    uint64_t next_incarnation;
    BsCoreConfig config;
    GPtrArray *nodes; /* WorldNode */
    GHashTable *nodes_by_name;
    GPtrArray *upstreams; /* WorldUpstream */
    GPtrArray *calls;     /* WorldCall */
    GHashTable *calls_by_id;
    GHashTable *replies; /* query id to body */
    GSequence *events;   /* WorldEvent by time */
    GPtrArray *cuts;     /* WorldCut */
    GPtrArray *held;     /* WorldEvent */
    GHashTable *listed;  /* name to state in the next list */
    WorldList *platform_list;
    BsMessage *platform_sheet;
    int64_t list_at_ms;  /* when platform_list can be read */
    int64_t sheet_at_ms; /* when platform_sheet can be read */
    uint64_t next_query;
    double loss;
    double repeat;
    int64_t extra_ms;
    uint32_t hold_kind;
    char *hold_to;
    bool holding;
    bool platform_down;
    bool trace;
    uint64_t peer_messages;
    uint64_t peer_bytes;
    uint64_t kind_bytes[KINDS_MAX];
    void (*after)(World *, void *);
    void *after_context;
};

/* Returns the instance NAME; aborts the test if there is none. */
WorldNode *World_Node(World *world, const char *name);

/* Delivers MESSAGE to NODE after DELAY_MS; takes MESSAGE. */
void World_Schedule(World *world, WorldNode *node, BsMessage *message,
                    int64_t delay_ms);

/* Calls CALL with CONTEXT after DELAY_MS, then DESTROY (or NULL) with
   CONTEXT. */
void World_ScheduleCall(World *world, void (*call)(World *, void *),
                        void *context, GDestroyNotify destroy,
                        int64_t delay_ms);

/* Passes MESSAGE (not taken) to the core of NODE, or queues a copy while NODE
   is paused.  A paused NODE gets no ticks, a killed one nothing. */
void World_Step(World *world, WorldNode *node, const BsMessage *message);

/* Returns whether messages from FROM to TO are cut. */
bool World_IsCut(const World *world, const char *from, const char *to);

/* Handle the messages that a core emits for an upstream. */
void WorldUpstream_OnDispatch(World *world, WorldNode *node,
                              const BsMessage *message);
void WorldUpstream_OnCancel(World *world, WorldNode *node,
                            const BsMessage *message);
void WorldUpstream_OnOrder(World *world, WorldNode *node,
                           const BsMessage *message);
void WorldUpstream_OnPoll(World *world, WorldNode *node,
                          const BsMessage *message);

/* Removes the transfers dispatched by a killed instance. */
void WorldUpstream_OnKill(World *world, WorldNode *node);

/* Sends a load report of each upstream to the instances that own it. */
void WorldUpstream_Report(World *world);

/* Returns the names of the upstreams that each instance owns under LIST, by
   instance name; g_hash_table_unref() it. */
GHashTable *WorldUpstream_Own(World *world, const BsList *list);

/* Appends the entries of the listed upstreams to ENTRIES. */
void WorldUpstream_AppendEntries(World *world, GPtrArray *entries);

void WorldUpstream_Destroy(void *upstream);

/* Handle answers to callers and the loss of an instance. */
void WorldCall_OnAnswer(World *world, const BsMessage *message);
void WorldCall_OnKill(World *world, WorldNode *node);
void WorldCall_Destroy(void *call);

/* Releases a reference to LIST; NULL is allowed. */
void WorldList_Unref(WorldList *list);

/* Records the list that an instance received from a peer. */
void WorldPlatform_OnList(World *world, WorldNode *node,
                          const BsMessage *message);

/* Delivers new lists and sheets to the instances that watch the platform, or
   reports that it is unreachable. */
void WorldPlatform_Poll(World *world);

#endif /* WORLD_PRIVATE_H */
