/*
 * gw_platform.h - what the gateway asks of a platform's adapter.
 *
 * Rules: an adapter translates and decides nothing.  It keeps a replica of
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

/* What a decoded item means. */
typedef struct {
    /* A routing configuration; the reference is given to the receiver. */
    void (*on_catalog)(BsCatalog *catalog, void *context);
    /* The region of ENTRY is left for the receiver to fill in. */
    void (*on_upstream)(const BsTargetEntry *entry, void *context);
    /* The store had come as far as REVISION when the entry was removed. */
    void (*on_upstream_gone)(const char *id, uint64_t revision, void *context);
    void (*on_closed)(const char *data_centre, bool closed, void *context);
    /* An item, or COUNT parts of it, cannot be read. */
    void (*on_invalid)(const char *key, const char *reason, unsigned count,
                       void *context);
} BsPlatformEvents;

/* Whether the platform's store can be reached. */
typedef void (*BsPlatformLinkFunc)(bool up, const char *reason, void *context);

/* What a link to the platform has done. */
typedef struct {
    uint64_t calls;
    uint64_t failures;
    uint64_t relists;
    int64_t failed_ms; /* last failure; INT64_MIN / 2 when none */
    bool up;
} BsPlatformStatus;

/* An adapter; every member is set. */
typedef struct {
    const BsWire *wire;
    /* Starts to fill REPLICA from the platform named in SETTINGS. */
    void *(*connect)(struct ev_loop *loop, const BsClock *clock,
                     const BsGateSettings *settings, BsReplica *replica,
                     uint32_t seed, BsPlatformLinkFunc on_link, void *context);
    void (*disconnect)(void *link);
    /* Pauses or resumes reading; while it is paused, others fill REPLICA. */
    void (*set_reading)(void *link, bool reading);
    BsPlatformStatus (*status)(const void *link);
    /* Tells EVENTS what ITEM means; what it does not know is passed over. */
    void (*decode)(const BsItem *item, const BsPlatformEvents *events,
                   void *context);
} BsPlatformAdapter;

#endif /* BS_GW_PLATFORM_H */
