/* fleetpart.c - an instance's part in the fleet, as datagrams. */
#include "fleetpart.h"

#include "fleetview.h"
#include "hub.h"

#include <string.h>

/* Pause between two near summaries and between two far ones, with news and
   without. */
#define NEAR_PAUSE_MS 25
#define NEAR_BEAT_MS 150
#define FAR_PAUSE_MS 30
#define FAR_BEAT_MS 200

/* Pause between two summaries of what accounts used, with news and without. */
#define USES_PAUSE_MS 100
#define USES_BEAT_MS 500

/* Pause between two rosters, and members named in one. */
#define ROSTER_PAUSE_MS 400
#define ROSTER_MEMBERS 24

/* A hub takes its own state in after this long at the latest. */
#define OWN_BEAT_MS 250

/* Members named in a report. */
#define MEMBERS_TOLD 12

/* Pause between two looks at silent members where hubs are used. */
#define SILENCE_PAUSE_MS 100

/* Pause between two ticks: of everyone in a small fleet, of a hub, and of
   others while they have something to tell and while not. */
#define MESH_TICK_MS 5
#define HUB_TICK_MS 10
#define PENDING_TICK_MS 10
#define IDLE_TICK_MS 50

/* A datagram begins with this many bytes, the low ones first: its kind in the
   lowest bits, and above them the last report taken, in a summary. */
#define PREFIX_BYTES 8
#define KIND_BITS 2
#define KIND_MASK 3
#define KIND_SUMMARY 3 /* others: BsGossipWish of a report */

#define NEVER_MS (INT64_MIN / 2)

struct BsFleetPart {
    BsGossip *gossip;
    BsHub *hub;
    BsFleetView *view;
    const BsFleetEvents *events;
    void *context;
    GRand *random;
    uint32_t address;
    uint32_t data_centre;
    uint32_t weight;
    uint64_t incarnation;
    uint64_t sequence;         /* of our last report */
    uint64_t summary_sequence; /* of our last near summary */
    uint64_t far_sequence;     /* of our last far summary */
    int64_t started_ms;
    bool uses_hubs;
    bool view_empty;
    bool own_dirty; /* our own state is news to the sums we keep */
    int64_t own_ms;
    int64_t near_ms;
    int64_t far_ms;
    int64_t uses_ms;
    int64_t roster_ms;
    int64_t silence_ms;
};

BsFleetPart *
BsFleetPart_Create(uint32_t address, uint32_t data_centre, uint32_t weight,
                   uint64_t incarnation, uint32_t seed,
                   const BsFleetEvents *events, void *context, int64_t now_ms)
{
    BsFleetPart *fleet = g_new0(BsFleetPart, 1);
    fleet->gossip = BsGossip_Create(address, data_centre, weight, now_ms);
    fleet->hub = BsHub_Create();
    fleet->view = BsFleetView_Create();
    fleet->events = events;
    fleet->context = context;
    fleet->random = g_rand_new_with_seed(seed);
    fleet->address = address;
    fleet->data_centre = data_centre;
    fleet->weight = weight;
    fleet->incarnation = incarnation;
    fleet->started_ms = now_ms;
    fleet->view_empty = true;
    fleet->own_ms = NEVER_MS;
    fleet->near_ms = NEVER_MS;
    fleet->far_ms = NEVER_MS;
    fleet->uses_ms = NEVER_MS;
    fleet->roster_ms = NEVER_MS;
    fleet->silence_ms = NEVER_MS;
    return fleet;
}

void
BsFleetPart_Destroy(BsFleetPart *fleet)
{
    if (fleet == NULL) {
        return;
    }
    BsGossip_Destroy(fleet->gossip);
    BsHub_Destroy(fleet->hub);
    BsFleetView_Destroy(fleet->view);
    g_rand_free(fleet->random);
    g_free(fleet);
}

BsGossip *
BsFleetPart_Gossip(const BsFleetPart *fleet)
{
    return fleet->gossip;
}

/* --------------------------------------------------------- datagrams -- */

static void
S_set_prefix(GString *data, uint64_t prefix)
{
    uint64_t bytes = GUINT64_TO_LE(prefix);
    memcpy(data->str, &bytes, PREFIX_BYTES);
}

static GString *
S_begin_datagram(void)
{
    GString *data = g_string_sized_new(BS_FLEET_MAX_BYTES);
    g_string_set_size(data, PREFIX_BYTES);
    return data;
}

static void
S_send(BsFleetPart *fleet, uint32_t address, GString *data, uint64_t prefix)
{
    S_set_prefix(data, prefix);
    fleet->events->send(address, data->str, data->len, fleet->context);
}

/* ----------------------------------------------------------- reports -- */

static uint32_t
S_age_ms(const BsFleetPart *fleet, int64_t now_ms)
{
    return (uint32_t)MIN(now_ms - fleet->started_ms, BS_GOSSIP_AGE_MAX_MS);
}

static void
S_fill_report(BsFleetPart *fleet, BsGossipReport *report, int64_t now_ms)
{
    report->incarnation = fleet->incarnation;
    report->sequence = ++fleet->sequence;
    report->data_centre = fleet->data_centre;
    report->weight = fleet->weight;
    report->age_ms = S_age_ms(fleet, now_ms);
    report->fleet = BsGossip_Counted(fleet->gossip, now_ms);
    fleet->events->fill(report, true, now_ms, fleet->context);
    fleet->events->fill_crashers(report->crashers, now_ms, fleet->context);
    if (report->stopping) {
        BsGossip_SetStopping(fleet->gossip);
    }
    BsGossip_AppendMembers(fleet->gossip, fleet->random, MEMBERS_TOLD, now_ms,
                           report->members);
}

static void
S_send_report(BsFleetPart *fleet, const BsGossipReport *report,
              const GArray *due)
{
    GString *data = S_begin_datagram();
    BsGossipReport_Encode(report, data);
    for (guint i = 0; i < due->len; i++) {
        const BsGossipReceiver *receiver =
            &g_array_index(due, BsGossipReceiver, i);
        S_send(fleet, receiver->address, data, (uint64_t)receiver->wish);
    }
    g_string_free(data, TRUE);
}

/* Returns whether the sums that this instance keeps lack its own state. */
static bool
S_is_own_due(const BsFleetPart *fleet, int64_t now_ms)
{
    return fleet->own_dirty || now_ms - fleet->own_ms >= OWN_BEAT_MS;
}

void
BsFleetPart_Tell(BsFleetPart *fleet, bool changed, int64_t now_ms)
{
    GArray *due = BsGossip_Due(fleet->gossip, changed, now_ms);
    fleet->own_dirty |= changed;
    bool serves = fleet->uses_hubs && BsGossip_Serves(fleet->gossip, now_ms);
    if (due->len > 0 || (serves && S_is_own_due(fleet, now_ms))) {
        BsGossipReport report;
        BsGossipReport_Init(&report);
        S_fill_report(fleet, &report, now_ms);
        if (fleet->uses_hubs) {
            BsFleetView_NoteOwn(fleet->view, &report);
        }
        if (serves) {
            BsHub_TakeMember(fleet->hub, fleet->address, &report, now_ms);
            fleet->own_dirty = false;
            fleet->own_ms = now_ms;
        }
        S_send_report(fleet, &report, due);
        BsGossipReport_Clear(&report);
    }
    g_array_unref(due);
}

/* ----------------------------------------------------- what hubs tell -- */

static void
S_tell_news(BsFleetPart *fleet, const BsSummary *summary, GArray *loads,
            GArray *uses, int64_t now_ms)
{
    BsFleetNews news = {
        .loads = loads,
        .uses = uses,
        .incarnation = summary == NULL ? 0 : summary->incarnation,
    };
    fleet->events->on_news(&news, now_ms, fleet->context);
}

/* Takes into use the sums of a near summary that knows our report ACK. */
static void
S_use_summary(BsFleetPart *fleet, const BsSummary *summary, uint64_t ack,
              int64_t now_ms)
{
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    BsGossip_SetFleet(fleet->gossip, summary->heard, summary->known, now_ms);
    BsFleetView_Take(fleet->view, summary, ack, now_ms, loads, uses);
    BsFleetView_Expire(fleet->view, now_ms, loads);
    fleet->view_empty = false;
    S_tell_news(fleet, summary, loads, uses, now_ms);
    g_array_unref(loads);
    g_array_unref(uses);
}

/* Forgets the sums: nobody tells new ones. */
static void
S_reset_view(BsFleetPart *fleet, int64_t now_ms)
{
    if (fleet->view_empty) {
        return;
    }
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    BsFleetView_Reset(fleet->view, loads);
    fleet->view_empty = true;
    S_tell_news(fleet, NULL, loads, uses, now_ms);
    g_array_unref(loads);
    g_array_unref(uses);
}

static bool
S_receive_summary(BsFleetPart *fleet, uint32_t address, const char *data,
                  size_t size_bytes, uint64_t ack, int64_t now_ms)
{
    BsSummary summary;
    BsSummary_Init(&summary);
    bool valid = BsSummary_Decode(data, size_bytes, &summary);
    if (valid && address != fleet->address) {
        bool used =
            BsGossip_TakeSummary(fleet->gossip, address, &summary, now_ms);
        fleet->events->on_newest(summary.newest, now_ms, fleet->context);
        fleet->events->on_crashers(summary.crashers, now_ms, fleet->context);
        if (summary.far && summary.data_centre != fleet->data_centre) {
            BsHub_TakeFar(fleet->hub, address, &summary, now_ms);
        }
        else if (used) {
            S_use_summary(fleet, &summary, ack, now_ms);
        }
    }
    BsSummary_Clear(&summary);
    return valid;
}

static void
S_take_report(BsFleetPart *fleet, uint32_t address,
              const BsGossipReport *report, BsGossipWish wish, int64_t now_ms)
{
    const BsGossipMember *member =
        BsGossip_Take(fleet->gossip, address, report, wish, now_ms);
    if (member == NULL) {
        return;
    }
    fleet->events->on_newest(report->newest, now_ms, fleet->context);
    fleet->events->on_crashers(report->crashers, now_ms, fleet->context);
    if (!fleet->uses_hubs) {
        fleet->events->on_peer(address, report, now_ms, fleet->context);
    }
    else if (BsGossip_IsNear(fleet->gossip, member)) {
        BsHub_TakeMember(fleet->hub, address, report, now_ms);
    }
}

bool
BsFleetPart_Receive(BsFleetPart *fleet, uint32_t address, const char *data,
                    size_t size_bytes, int64_t now_ms)
{
    uint64_t prefix;
    if (size_bytes < PREFIX_BYTES) {
        return false;
    }
    memcpy(&prefix, data, PREFIX_BYTES);
    prefix = GUINT64_FROM_LE(prefix);
    data += PREFIX_BYTES;
    size_bytes -= PREFIX_BYTES;
    if ((prefix & KIND_MASK) == KIND_SUMMARY) {
        return S_receive_summary(fleet, address, data, size_bytes,
                                 prefix >> KIND_BITS, now_ms);
    }
    BsGossipReport report;
    BsGossipReport_Init(&report);
    bool valid = BsGossipReport_Decode(data, size_bytes, &report);
    if (valid) {
        S_take_report(fleet, address, &report,
                      (BsGossipWish)(prefix & KIND_MASK), now_ms);
    }
    BsGossipReport_Clear(&report);
    return valid;
}

/* --------------------------------------------------------- summaries -- */

/* Fills in what a summary says of its hub. */
static void
S_fill_head(BsFleetPart *fleet, BsSummary *summary, bool far, int64_t now_ms)
{
    BsGossipReport own;
    int64_t failed_ms = now_ms - BsGossip_StoreFailedMs(fleet->gossip);
    BsGossipReport_Init(&own);
    fleet->events->fill(&own, false, now_ms, fleet->context);
    summary->incarnation = fleet->incarnation;
    summary->data_centre = fleet->data_centre;
    summary->weight = fleet->weight;
    summary->age_ms = S_age_ms(fleet, now_ms);
    summary->far = far;
    summary->stopping = own.stopping;
    summary->reading = own.reading;
    summary->revision = own.revision;
    summary->newest = own.newest;
    summary->store_failed_ms = failed_ms > INT32_MAX ? -1 : failed_ms;
    summary->heard = BsGossip_NearHeard(fleet->gossip, now_ms);
    summary->known = BsGossip_NearKnown(fleet->gossip, now_ms);
    if (!far) {
        summary->heard += BsHub_FarHeard(fleet->hub);
        summary->known += BsHub_FarKnown(fleet->hub);
    }
    BsGossipReport_Clear(&own);
}

static void
S_send_summary(BsFleetPart *fleet, const BsSummary *summary,
               const GArray *receivers)
{
    GString *data = S_begin_datagram();
    BsSummary_Encode(summary, data);
    for (guint i = 0; i < receivers->len; i++) {
        const BsGossipReceiver *receiver =
            &g_array_index(receivers, BsGossipReceiver, i);
        S_send(fleet, receiver->address, data,
               (receiver->taken << KIND_BITS) | KIND_SUMMARY);
    }
    g_string_free(data, TRUE);
}

static void
S_sum_near(BsFleetPart *fleet, int64_t now_ms)
{
    BsSummary summary;
    BsSummary_Init(&summary);
    S_fill_head(fleet, &summary, false, now_ms);
    summary.sequence = ++fleet->summary_sequence;
    BsHub_FillNear(fleet->hub, summary.sequence, &summary, now_ms);
    GArray *receivers =
        BsGossip_SummaryReceivers(fleet->gossip, false, now_ms);
    S_send_summary(fleet, &summary, receivers);
    if (BsGossip_Hub(fleet->gossip) == fleet->address) {
        S_use_summary(fleet, &summary, fleet->sequence, now_ms);
    }
    g_array_unref(receivers);
    BsSummary_Clear(&summary);
    fleet->near_ms = now_ms;
}

static void
S_sum_far(BsFleetPart *fleet, int64_t now_ms)
{
    GArray *receivers = BsGossip_SummaryReceivers(fleet->gossip, true, now_ms);
    if (receivers->len > 0) {
        BsSummary summary;
        BsSummary_Init(&summary);
        S_fill_head(fleet, &summary, true, now_ms);
        summary.sequence = ++fleet->far_sequence;
        BsHub_FillFar(fleet->hub, &summary);
        S_send_summary(fleet, &summary, receivers);
        BsSummary_Clear(&summary);
    }
    g_array_unref(receivers);
    fleet->far_ms = now_ms;
}

/* Tells what accounts used, and which requests break upstreams. */
static void
S_send_uses(BsFleetPart *fleet, bool far, int64_t now_ms)
{
    BsSummary summary;
    GArray *receivers = BsGossip_SummaryReceivers(fleet->gossip, far, now_ms);
    BsSummary_Init(&summary);
    S_fill_head(fleet, &summary, far, now_ms);
    summary.sequence = far ? ++fleet->far_sequence : fleet->summary_sequence;
    BsHub_FillUses(fleet->hub, far, &summary);
    fleet->events->fill_crashers(summary.crashers, now_ms, fleet->context);
    S_send_summary(fleet, &summary, receivers);
    if (!far && BsGossip_Hub(fleet->gossip) == fleet->address) {
        S_use_summary(fleet, &summary, fleet->sequence, now_ms);
    }
    BsSummary_Clear(&summary);
    g_array_unref(receivers);
}

/* Names the members of the data centre, some at a time, and the hubs. */
static void
S_send_roster(BsFleetPart *fleet, int64_t now_ms)
{
    GArray *receivers =
        BsGossip_SummaryReceivers(fleet->gossip, false, now_ms);
    unsigned next = 0;
    do {
        BsSummary summary;
        BsSummary_Init(&summary);
        S_fill_head(fleet, &summary, false, now_ms);
        summary.sequence = fleet->summary_sequence;
        if (next == 0) {
            BsGossip_AppendMembers(fleet->gossip, fleet->random, MEMBERS_TOLD,
                                   now_ms, summary.members);
        }
        next = BsGossip_AppendRoster(fleet->gossip, next, ROSTER_MEMBERS,
                                     now_ms, summary.members);
        S_send_summary(fleet, &summary, receivers);
        BsSummary_Clear(&summary);
    } while (next != 0);
    g_array_unref(receivers);
    fleet->roster_ms = now_ms;
}

static bool
S_is_time(bool news, int64_t passed_ms, int64_t pause_ms, int64_t beat_ms)
{
    return passed_ms >= (news ? pause_ms : beat_ms);
}

static void
S_serve(BsFleetPart *fleet, int64_t now_ms)
{
    if (!BsGossip_Serves(fleet->gossip, now_ms)) {
        return;
    }
    if (S_is_time(BsHub_HasNews(fleet->hub), now_ms - fleet->near_ms,
                  NEAR_PAUSE_MS, NEAR_BEAT_MS)) {
        S_sum_near(fleet, now_ms);
    }
    if (S_is_time(BsHub_HasNearNews(fleet->hub), now_ms - fleet->far_ms,
                  FAR_PAUSE_MS, FAR_BEAT_MS)) {
        S_sum_far(fleet, now_ms);
    }
    if (S_is_time(BsHub_HasNewUses(fleet->hub), now_ms - fleet->uses_ms,
                  USES_PAUSE_MS, USES_BEAT_MS)) {
        S_send_uses(fleet, false, now_ms);
        S_send_uses(fleet, true, now_ms);
        fleet->uses_ms = now_ms;
    }
    if (now_ms - fleet->roster_ms >= ROSTER_PAUSE_MS) {
        S_send_roster(fleet, now_ms);
    }
}

/* -------------------------------------------------------------- tick -- */

static void
S_check_mode(BsFleetPart *fleet, int64_t now_ms)
{
    bool uses_hubs = BsGossip_UsesHubs(fleet->gossip, now_ms);
    if (uses_hubs != fleet->uses_hubs) {
        fleet->uses_hubs = uses_hubs;
        S_reset_view(fleet, now_ms);
        if (uses_hubs) {
            fleet->events->on_hubs_used(fleet->context);
        }
    }
    if (BsGossip_ChooseHub(fleet->gossip, now_ms)) {
        fleet->events->on_hub(BsGossip_Hub(fleet->gossip), fleet->context);
    }
    if (!BsGossip_HearsHub(fleet->gossip, now_ms)) {
        S_reset_view(fleet, now_ms);
    }
}

void
BsFleetPart_Tick(BsFleetPart *fleet, int64_t now_ms)
{
    if (!fleet->uses_hubs || now_ms - fleet->silence_ms >= SILENCE_PAUSE_MS) {
        fleet->silence_ms = now_ms;
        BsGossip_EachSilent(fleet->gossip, now_ms, fleet->events->on_silent,
                            fleet->context);
    }
    S_check_mode(fleet, now_ms);
    BsFleetPart_Tell(fleet, false, now_ms);
    if (fleet->uses_hubs) {
        S_serve(fleet, now_ms);
    }
}

int64_t
BsFleetPart_PauseMs(const BsFleetPart *fleet, int64_t now_ms)
{
    if (!fleet->uses_hubs) {
        return MESH_TICK_MS;
    }
    if (BsGossip_Serves(fleet->gossip, now_ms)) {
        return HUB_TICK_MS;
    }
    return BsGossip_HasPending(fleet->gossip) ? PENDING_TICK_MS : IDLE_TICK_MS;
}
