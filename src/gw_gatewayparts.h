/*
 * gw_gatewayparts.h - the state of the process, shared by its parts:
 * gw_gateway.c (start, turns, signals, end), gw_published.c (what the platform
 * publishes) and gw_pages.c (pages for balancers and operators).
 */
#ifndef BS_GW_GATEWAYPARTS_H
#define BS_GW_GATEWAYPARTS_H

#include "gw_gate.h"
#include "gw_gossip.h"
#include "gw_platform.h"

typedef struct {
    BsGate gate;
    BsGateSettings *settings;
    const char *settings_file;
    const BsPlatformAdapter *adapter;
    void *link;
    BsReplica *replica;
    BsGossipTask *gossip;
    BsInboundServer *ready;
    BsInboundServer *admin;
    ev_prepare prepare;
    ev_timer tick;
    ev_signal terminate;
    ev_signal interrupt;
    ev_signal hangup;
    struct timespec read_at; /* change of the settings file that was read */
    int64_t started_ms;
    int64_t stop_ms;
    int64_t pruned_ms;
} BsGateway;

/* -------------------------------------------------------- gw_published.c --
 */

/* Returns what callers may use, by the machine and by LIMITS. */
BsInboundLimits BsGateway_InboundLimits(const BsGateway *gateway,
                                        const BsCatalogLimits *limits);

/* Takes a changed ITEM into use; CONTEXT is the gateway. */
void BsGateway_OnItem(const BsItem *item, void *context);

/* Notes that the store began (UP) or ceased to answer, and why. */
void BsGateway_OnLink(bool up, const char *reason, void *context);

/* ------------------------------------------------------------ gw_pages.c --
 */

/* Tells balancers whether new requests may come; its context is the gateway.
 */
extern const BsInboundApp bs_ready_app;

/* Metrics, and who answers; its context is the gateway. */
extern const BsInboundApp bs_admin_app;

#endif /* BS_GW_GATEWAYPARTS_H */
