/* d_connguard.c - limits on the connections of one listening address. */
#include "d_connguard.h"

#include <sys/resource.h>
#include <syslog.h>

/* Descriptors kept for upstreams, peers, the platform, the admin address and
   files, but at most a third of those of the process: callers need three for
   each connection, and as a rule one to an upstream. */
#define RESERVED_DESCRIPTORS 700

/* Time in a phase after which a connection may be displaced by a request
   although places are left: longer than callers pause within a request, and
   shorter than the idle timeout of the server library. */
#define DISPLACED_AFTER_MS 10000

/* Time for which an idle connection is not displaced by a crowd: longer than
   callers in use pause between requests. */
#define IDLE_SPARED_MS 5000

/* A kind of connections is a crowd when it has at least one of this many
   places.  There are four kinds, so that one is a crowd when all places are
   taken; if only those are that are being answered, nobody is displaced. */
#define CROWD_FRACTION 4

struct BsConnGuard {
    BsLoop *loop;
    const char *key;
    BsConnBudget *budget;
    uint32_t settle_ms;
    uint32_t places;
    uint32_t taken[BS_CONN_PHASES];    /* places by phase */
    uint64_t reported[BS_CONN_LIMITS]; /* closed connections, as counted */
    int64_t full_ms;                   /* when no place was left, or -1 */
};

static const char *const S_counters[BS_CONN_LIMITS] = {
    [BS_CONN_LIMIT_MEMORY] = "connections_closed_unread",
    [BS_CONN_LIMIT_NUMBER] = "connections_displaced",
};

static const char *const S_limits[BS_CONN_LIMITS] = {
    [BS_CONN_LIMIT_MEMORY] = "limits.queue_bytes for answers that callers "
                             "have not read",
    [BS_CONN_LIMIT_NUMBER] = "the limit on connections",
};

uint32_t
BsConnGuard_Affordable(uint32_t descriptors_each)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY) {
        return UINT32_MAX;
    }
    uint64_t descriptors = limit.rlim_cur;
    uint64_t reserved = MIN(RESERVED_DESCRIPTORS, descriptors / 3);
    uint64_t connections = (descriptors - reserved) / descriptors_each;
    return (uint32_t)CLAMP(connections, 1, UINT32_MAX);
}

BsConnGuard *
BsConnGuard_Create(BsLoop *loop, const char *key, uint32_t places,
                   uint64_t unsent_bytes, uint32_t settle_ms)
{
    BsConnGuard *guard = g_new0(BsConnGuard, 1);
    guard->loop = loop;
    guard->key = key;
    guard->places = places;
    guard->settle_ms = settle_ms;
    guard->budget = BsConnBudget_Create(unsent_bytes, places);
    guard->full_ms = -1;
    return guard;
}

void
BsConnGuard_Destroy(BsConnGuard *guard)
{
    if (guard != NULL) {
        BsConnBudget_Destroy(guard->budget);
        g_free(guard);
    }
}

/* Counts the connections that LIMIT has closed since the last call, and logs
   when it is reached and when it is over. */
static void
S_report(BsConnGuard *guard, BsConnLimit limit)
{
    uint64_t closed = BsConnBudget_Closed(guard->budget, limit);
    bool reached;
    if (closed > guard->reported[limit]) {
        BsLoop_Count(guard->loop, S_counters[limit],
                     closed - guard->reported[limit]);
        guard->reported[limit] = closed;
    }
    if (BsConnBudget_TakeChange(guard->budget, limit,
                                BsLoop_NowMs(guard->loop), &reached)) {
        BsLoop_Log(guard->loop, LOG_WARNING,
                   "%s: %s is %s; %" G_GUINT64_FORMAT
                   " connections closed so far",
                   guard->key, S_limits[limit],
                   reached ? "reached" : "no longer reached", (guint64)closed);
    }
}

void
BsConnGuard_Add(BsConnGuard *guard, BsConnPlace *place, BsConnPhase phase)
{
    place->since_ms = BsLoop_NowMs(guard->loop);
    guard->taken[phase]++;
    BsConnBudget_Add(guard->budget, &place->entry, phase, place->since_ms);
}

void
BsConnGuard_Remove(BsConnGuard *guard, BsConnPlace *place)
{
    guard->taken[place->entry.phase]--;
    BsConnBudget_Remove(guard->budget, &place->entry);
}

/* Sets the phase and the bytes of PLACE without enforcing a limit. */
static void
S_set(BsConnGuard *guard, BsConnPlace *place, BsConnPhase phase,
      uint64_t bytes, int64_t now_ms)
{
    if (place->entry.phase != phase) {
        guard->taken[place->entry.phase]--;
        guard->taken[phase]++;
        place->since_ms = now_ms;
    }
    BsConnBudget_Update(guard->budget, &place->entry, phase, bytes, now_ms);
}

void
BsConnGuard_Move(BsConnGuard *guard, BsConnPlace *from, BsConnPlace *to,
                 uint64_t bytes)
{
    int64_t now_ms = BsLoop_NowMs(guard->loop);
    S_set(guard, from, BS_CONN_CLOSING, 0, now_ms);
    BsConnGuard_Add(guard, to, BS_CONN_CLOSING);
    S_set(guard, to, BS_CONN_CLOSING, bytes, now_ms);
}

void
BsConnGuard_Update(BsConnGuard *guard, BsConnPlace *place, BsConnPhase phase,
                   uint64_t bytes)
{
    int64_t now_ms = BsLoop_NowMs(guard->loop);
    S_set(guard, place, phase, bytes, now_ms);
    BsConnBudget_EnforceMemory(guard->budget, &place->entry, now_ms);
    S_report(guard, BS_CONN_LIMIT_MEMORY);
}

/* Returns whether a connection is left that may be closed for another one: the
   next one of the budget has waited for CROWD_MS in a crowd, or for so long
   that it is not missed. */
static bool
S_may_displace(const BsConnGuard *guard, int64_t crowd_ms, int64_t now_ms)
{
    const BsConnEntry *entry = BsConnBudget_PickForNumber(guard->budget);
    if (entry == NULL) {
        return false;
    }
    /* The entry is the first member of its place. */
    const BsConnPlace *place = (const BsConnPlace *)entry;
    bool crowd =
        (uint64_t)guard->taken[entry->phase] * CROWD_FRACTION >= guard->places;
    /* A crowd whose requests are refused is idle like ordinary callers, which
       may be idle for longer than it is there. */
    if (entry->phase == BS_CONN_IDLE && guard->settle_ms > 0) {
        crowd_ms = MAX(crowd_ms, IDLE_SPARED_MS);
    }
    return now_ms - place->since_ms >= (crowd ? crowd_ms : DISPLACED_AFTER_MS);
}

bool
BsConnGuard_MakeRoom(BsConnGuard *guard)
{
    int64_t now_ms = BsLoop_NowMs(guard->loop);
    if (!BsConnBudget_HasRoom(guard->budget)) {
        guard->full_ms = now_ms;
        if (!S_may_displace(guard, guard->settle_ms, now_ms)) {
            return false;
        }
    }
    bool room = BsConnBudget_MakeRoom(guard->budget, now_ms);
    S_report(guard, BS_CONN_LIMIT_NUMBER);
    return room;
}

void
BsConnGuard_Shrink(BsConnGuard *guard)
{
    if (BsConnBudget_Connections(guard->budget) > guard->places) {
        BsConnGuard_MakeRoom(guard);
    }
}

bool
BsConnGuard_Displace(BsConnGuard *guard)
{
    int64_t now_ms = BsLoop_NowMs(guard->loop);
    bool crowded =
        guard->full_ms >= 0 && now_ms - guard->full_ms < DISPLACED_AFTER_MS;
    /* Half of the time, as those that have had the whole of it have been
       displaced by new connections. */
    int64_t crowd_ms = crowded ? guard->settle_ms / 2 : DISPLACED_AFTER_MS;
    if (!S_may_displace(guard, crowd_ms, now_ms)) {
        return false;
    }
    BsConnEntry *entry = BsConnBudget_PickForNumber(guard->budget);
    BsLoop_Count(guard->loop, S_counters[BS_CONN_LIMIT_NUMBER], 1);
    entry->close(entry->owner, BS_CONN_LIMIT_NUMBER);
    return true;
}
