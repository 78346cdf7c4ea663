/* connbudget.c - limits on the memory and the number of callers' connections.
 */
#include "connbudget.h"

/* Size classes: class I holds 2^I to 2^(I+1) - 1 bytes. */
#define CLASSES 40

/* Groups: all classes of connections whose request is being answered, and of
   the others. */
#define GROUPS (2 * CLASSES)

/* Group of a connection that buffers nothing; it is in no queue. */
#define NO_GROUP GROUPS

typedef struct {
    GQueue entries; /* the one without progress for the longest time first */
    uint64_t bytes;
} BsConnGroup;

typedef struct {
    uint64_t closed;
    int64_t closed_ms; /* when it closed a connection last */
    bool reached;      /* as last reported */
} BsConnLimitState;

struct BsConnBudget {
    uint64_t bytes_max;
    uint64_t bytes;
    uint32_t connections_set; /* the limit that was set */
    uint32_t connections_max; /* the limit in force, above it for a while after
                                 it was lowered */
    uint32_t connections;
    BsConnGroup groups[GROUPS];
    GQueue phases[BS_CONN_PHASES];
    BsConnLimitState limits[BS_CONN_LIMITS];
};

BsConnBudget *
BsConnBudget_Create(uint64_t bytes, uint32_t connections)
{
    BsConnBudget *budget = g_new0(BsConnBudget, 1);
    BsConnBudget_SetLimits(budget, bytes, connections);
    return budget;
}

void
BsConnBudget_Destroy(BsConnBudget *budget)
{
    g_free(budget);
}

/* Lowers the limit in force to the one that was set, but leaves half of that
   as room for new connections, so that open ones need not be closed. */
static void
S_lower_limit(BsConnBudget *budget)
{
    uint64_t needed =
        (uint64_t)budget->connections + budget->connections_set / 2;
    budget->connections_max = (uint32_t)MAX(
        budget->connections_set, MIN(budget->connections_max, needed));
}

void
BsConnBudget_SetLimits(BsConnBudget *budget, uint64_t bytes,
                       uint32_t connections)
{
    budget->bytes_max = bytes;
    budget->connections_set = connections;
    S_lower_limit(budget);
}

static unsigned
S_group(BsConnPhase phase, uint64_t bytes)
{
    if (bytes == 0) {
        return NO_GROUP;
    }
    unsigned class = MIN(g_bit_storage(bytes) - 1, CLASSES - 1);
    return phase == BS_CONN_ANSWERING ? CLASSES + class : class;
}

static void
S_link(BsConnBudget *budget, BsConnEntry *entry)
{
    budget->bytes += entry->bytes;
    g_queue_push_tail_link(&budget->phases[entry->phase], &entry->phase_link);
    if (entry->group != NO_GROUP) {
        BsConnGroup *group = &budget->groups[entry->group];
        group->bytes += entry->bytes;
        g_queue_push_tail_link(&group->entries, &entry->size_link);
    }
}

static void
S_unlink(BsConnBudget *budget, BsConnEntry *entry)
{
    budget->bytes -= entry->bytes;
    g_queue_unlink(&budget->phases[entry->phase], &entry->phase_link);
    if (entry->group != NO_GROUP) {
        BsConnGroup *group = &budget->groups[entry->group];
        group->bytes -= entry->bytes;
        g_queue_unlink(&group->entries, &entry->size_link);
    }
}

void
BsConnBudget_Add(BsConnBudget *budget, BsConnEntry *entry, BsConnPhase phase,
                 int64_t now_ms)
{
    entry->budget = budget;
    entry->size_link = (GList){.data = entry};
    entry->phase_link = (GList){.data = entry};
    entry->bytes = 0;
    entry->phase = phase;
    entry->group = NO_GROUP;
    entry->changed_ms = now_ms;
    budget->connections++;
    S_link(budget, entry);
}

void
BsConnBudget_Update(BsConnBudget *budget, BsConnEntry *entry,
                    BsConnPhase phase, uint64_t bytes, int64_t now_ms)
{
    if (entry->phase == phase && entry->bytes == bytes) {
        return;
    }
    S_unlink(budget, entry);
    entry->phase = phase;
    entry->bytes = bytes;
    entry->group = S_group(phase, bytes);
    entry->changed_ms = now_ms;
    S_link(budget, entry);
}

void
BsConnBudget_Remove(BsConnBudget *budget, BsConnEntry *entry)
{
    S_unlink(budget, entry);
    budget->connections--;
    S_lower_limit(budget);
}

/* Returns the group that holds the most bytes. */
static const BsConnGroup *
S_heaviest(const BsConnBudget *budget)
{
    const BsConnGroup *heaviest = &budget->groups[0];
    for (unsigned i = 1; i < GROUPS; i++) {
        if (budget->groups[i].bytes > heaviest->bytes) {
            heaviest = &budget->groups[i];
        }
    }
    return heaviest;
}

BsConnEntry *
BsConnBudget_PickForMemory(const BsConnBudget *budget, BsConnEntry *grown,
                           int64_t now_ms)
{
    if (budget->bytes <= budget->bytes_max) {
        return NULL;
    }
    const BsConnGroup *group = S_heaviest(budget);
    BsConnEntry *oldest = group->entries.head->data;
    if (now_ms - oldest->changed_ms >= BS_CONN_STALLED_MS) {
        return oldest;
    }
    if (grown != NULL && grown->phase != BS_CONN_ANSWERING &&
        grown->bytes > BS_CONN_EXEMPT_BYTES) {
        return grown;
    }
    return group->entries.tail->data;
}

bool
BsConnBudget_HasRoom(const BsConnBudget *budget)
{
    return budget->connections < budget->connections_max;
}

BsConnEntry *
BsConnBudget_PickForNumber(const BsConnBudget *budget)
{
    static const BsConnPhase phases[] = {BS_CONN_CLOSING, BS_CONN_READING,
                                         BS_CONN_IDLE};
    const GQueue *longest = &budget->phases[phases[0]];
    for (size_t i = 1; i < G_N_ELEMENTS(phases); i++) {
        if (budget->phases[phases[i]].length > longest->length) {
            longest = &budget->phases[phases[i]];
        }
    }
    return longest->head == NULL ? NULL : longest->head->data;
}

static void
S_close(BsConnBudget *budget, BsConnEntry *entry, BsConnLimit limit,
        int64_t now_ms)
{
    budget->limits[limit].closed++;
    budget->limits[limit].closed_ms = now_ms;
    entry->close(entry->owner, limit);
}

void
BsConnBudget_EnforceMemory(BsConnBudget *budget, BsConnEntry *grown,
                           int64_t now_ms)
{
    BsConnEntry *entry;
    while ((entry = BsConnBudget_PickForMemory(budget, grown, now_ms)) !=
           NULL) {
        if (entry == grown) {
            grown = NULL; /* may be freed by the close */
        }
        S_close(budget, entry, BS_CONN_LIMIT_MEMORY, now_ms);
    }
}

bool
BsConnBudget_MakeRoom(BsConnBudget *budget, int64_t now_ms)
{
    if (!BsConnBudget_HasRoom(budget)) {
        BsConnEntry *entry = BsConnBudget_PickForNumber(budget);
        if (entry != NULL) {
            S_close(budget, entry, BS_CONN_LIMIT_NUMBER, now_ms);
        }
    }
    return BsConnBudget_HasRoom(budget);
}

uint64_t
BsConnBudget_Bytes(const BsConnBudget *budget)
{
    return budget->bytes;
}

uint32_t
BsConnBudget_Connections(const BsConnBudget *budget)
{
    return budget->connections;
}

uint64_t
BsConnBudget_Closed(const BsConnBudget *budget, BsConnLimit limit)
{
    return budget->limits[limit].closed;
}

bool
BsConnBudget_TakeChange(BsConnBudget *budget, BsConnLimit limit,
                        int64_t now_ms, bool *reached)
{
    BsConnLimitState *state = &budget->limits[limit];
    *reached =
        state->closed > 0 && now_ms - state->closed_ms < BS_CONN_CALM_MS;
    bool changed = *reached != state->reached;
    state->reached = *reached;
    return changed;
}
