/* world_private.h - what the parts of a world share. */
#ifndef WORLD_PRIVATE_H
#define WORLD_PRIVATE_H

#include "member.h"
#include "world.h"

#define KINDS_MAX 128

/* A published list and the upstreams each instance owns by it. */
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
    uint64_t sheet_seen; /* last platform revision read */
    uint64_t list_seen;
    bool paused;
    bool drained;
    bool watch_sheet;
    bool watch_list;
    WorldList *list; /* last list handed over, or NULL */
} WorldNode;

/* Something that happens at a time. */
typedef struct {
    int64_t at_ms;
    uint64_t order;
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
    GHashTable *listed;  /* name to state */
    WorldList *platform_list;
    BsMessage *platform_sheet;
    int64_t list_at_ms; /* when it can be read */
    int64_t sheet_at_ms;
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

/* Returns the instance NAME; aborts the test when there is none. */
WorldNode *World_Node(World *world, const char *name);

/* Schedules MESSAGE (taken) for NODE after DELAY_MS. */
void World_Schedule(World *world, WorldNode *node, BsMessage *message,
                    int64_t delay_ms);

/* Schedules a call after DELAY_MS. */
void World_ScheduleCall(World *world, void (*call)(World *, void *),
                        void *context, GDestroyNotify destroy,
                        int64_t delay_ms);

/* Steps the core of NODE with MESSAGE, which is not taken. */
void World_Step(World *world, WorldNode *node, const BsMessage *message);

/* Returns whether messages from FROM to TO are cut. */
bool World_IsCut(const World *world, const char *from, const char *to);

/* Upstream side of the messages a core emits. */
void WorldUpstream_OnDispatch(World *world, WorldNode *node,
                              const BsMessage *message);
void WorldUpstream_OnCancel(World *world, WorldNode *node,
                            const BsMessage *message);
void WorldUpstream_OnOrder(World *world, WorldNode *node,
                           const BsMessage *message);

/* Drops the transfers of a killed instance. */
void WorldUpstream_OnKill(World *world, WorldNode *node);

/* Sends load reports to the owners. */
void WorldUpstream_Report(World *world);

/* Returns who owns which upstream by LIST. */
GHashTable *WorldUpstream_Own(World *world, const BsList *list);

/* Appends the upstreams' entries to a list. */
void WorldUpstream_AppendEntries(World *world, GPtrArray *entries);

void WorldUpstream_Destroy(void *upstream);

/* Caller side of the messages a core emits. */
void WorldCall_OnAnswer(World *world, const BsMessage *message);
void WorldCall_OnKill(World *world, WorldNode *node);
void WorldCall_Destroy(void *call);

/* Drops a reference to LIST; NULL is allowed. */
void WorldList_Unref(WorldList *list);

/* Notes a list that an instance got from a peer. */
void WorldPlatform_OnList(World *world, WorldNode *node,
                          const BsMessage *message);

/* Reads of the platform by the watchers. */
void WorldPlatform_Poll(World *world);

#endif /* WORLD_PRIVATE_H */
