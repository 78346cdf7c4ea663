/*
 * gw_gatewayparts.h - the state of the gateway process, shared by
 * gw_gateway.c (start, event loop, signals, end), gw_published.c (items that
 * the platform publishes), gw_pages.c (readiness check, status, metrics) and
 * gw_explain.c (explanations).
 */
#ifndef BS_GW_GATEWAYPARTS_H
#define BS_GW_GATEWAYPARTS_H

#include "gw_gate.h"
#include "gw_gossip.h"
#include "gw_platform.h"

#include <sys/stat.h>

typedef struct {
    BsGate gate;
    BsGateSettings *settings;
    const char *settings_file;
    const BsPlatformAdapter *adapter;
    void *link; /* of the adapter to the platform's store */
    BsReplica *replica;
    BsGossipTask *gossip;
    BsInboundServer *ready;
    BsInboundServer *admin;
    ev_prepare prepare;
    ev_timer tick;
    ev_signal terminate;
    ev_signal interrupt;
    ev_signal hangup;
    struct stat settings_status; /* of the settings file that was read */
    int64_t started_ms;
    int64_t stop_ms;       /* when the stop signal came */
    int64_t stop_limit_ms; /* longest time from then to the exit */
    int64_t pruned_ms;
    int64_t explained_ms;   /* when the last explanation was made */
    uint64_t unread_closes; /* BsStream_UnreadCloses() as last logged */
    uint64_t inbound_closed[BS_CONN_LIMITS]; /* BsConnBudget_Closed(), the
                                                same */
} BsGateway;

/* ------------------------------------------------------- gw_published.c -- */

/* Returns the limits on callers' connections and requests that follow from
   the settings of the machine and from LIMITS. */
BsInboundLimits BsGateway_InboundLimits(const BsGateway *gateway,
                                        const BsCatalogLimits *limits);

/* Applies the settings of the machine and of inbound connections to the budget
   that all servers share. */
void BsGateway_ApplyInbound(const BsGateway *gateway);

/* Decodes and applies a changed ITEM; CONTEXT is the gateway. */
void BsGateway_OnItem(const BsItem *item, void *context);

/* Logs that the store has become reachable (UP) or unreachable, and why, and
   sets the metric store_up; CONTEXT is the gateway. */
void BsGateway_OnLink(bool up, const char *reason, void *context);

/* ----------------------------------------------------------- gw_pages.c -- */

/* Readiness check for balancers: 200 when new requests are accepted, else 503;
   its context is the gateway. */
extern const BsInboundApp bs_ready_app;

/* Metrics, the instance's name and explanations; its context is the
   gateway. */
extern const BsInboundApp bs_admin_app;

/* --------------------------------------------------------- gw_explain.c -- */

/* Returns whether a request for TARGET asks for an explanation. */
bool BsExplainPage_IsFor(const char *target);

/* Answers what would become of a request that TARGET describes, if it arrived
   now. */
void BsExplainPage_Answer(BsGateway *gateway, BsInbound *inbound,
                          const char *target);

#endif /* BS_GW_GATEWAYPARTS_H */
