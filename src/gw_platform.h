/*
 * gw_platform.h - the interface between the gateway and a platform's adapter.
 *
 * Rules: an adapter translates and makes no decisions.  It keeps a replica of
 * the published items up to date and decodes single items on request.
 */
#ifndef BS_GW_PLATFORM_H
#define BS_GW_PLATFORM_H

#include "catalog.h"
#include "gatesettings.h"
#include "replica.h"
#include "targets.h"
#include "wire.h"

#include <ev.h>

/* Callbacks for a decoded item, one per kind. */
typedef struct {
    /* A routing configuration; the receiver owns the reference. */
    void (*on_catalog)(BsCatalog *catalog, void *context);
    /* An upstream.  ENTRY has no region; the receiver fills it in. */
    void (*on_upstream)(const BsTargetEntry *entry, void *context);
    /* The entry of the upstream ID was removed at the store's REVISION. */
    void (*on_upstream_removed)(const char *id, uint64_t revision,
                                void *context);
    /* A data centre was closed or opened for new requests. */
    void (*on_closed)(const char *data_centre, bool closed, void *context);
    /* An item, or COUNT parts of it, cannot be decoded. */
    void (*on_invalid)(const char *key, const char *reason, unsigned count,
                       void *context);
} BsPlatformEvents;

/* Called when the platform's store has become reachable (UP) or
   unreachable. */
typedef void (*BsPlatformLinkFunc)(bool up, const char *reason, void *context);

/* Counts and state of a link to the platform's store. */
typedef struct {
    uint64_t calls;
    uint64_t failures;
    uint64_t relists;    /* full reads after the store dropped its history */
    uint64_t era;        /* increases each time the store is restored from an
                            older copy; 0: unknown */
    int64_t failed_ms;   /* last failure; INT64_MIN / 2 when none */
    int64_t answered_ms; /* last answer; INT64_MIN / 2 when none */
    bool up;             /* the last call succeeded */
} BsPlatformStatus;

/* An adapter; every member is set. */
typedef struct {
    const BsWire *wire;
    /* Starts to fill REPLICA from the store named in SETTINGS.  SEED varies
       the pauses between retries. */
    void *(*connect)(struct ev_loop *loop, const BsClock *clock,
                     const BsGateSettings *settings, BsReplica *replica,
                     uint32_t seed, BsPlatformLinkFunc on_link, void *context);
    void (*disconnect)(void *link);
    /* Pauses or resumes reading; while it is paused, peers fill the replica.
     */
    void (*set_reading)(void *link, bool reading);
    BsPlatformStatus (*status)(const void *link);
    /* Decodes ITEM and calls the matching member of EVENTS; items of unknown
       kinds are ignored. */
    void (*decode)(const BsItem *item, const BsPlatformEvents *events,
                   void *context);
} BsPlatformAdapter;

#endif /* BS_GW_PLATFORM_H */
