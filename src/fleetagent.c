/* fleetagent.c - exchange of state between an instance and the rest of the
   fleet. */
#include "fleetagent.h"

#include "fleetview.h"
#include "hub.h"
#include "streamcodec.h"

#include <string.h>

/* Interval between local summaries and between remote ones: minimum while
   there are changes, and maximum without. */
#define LOCAL_MIN_INTERVAL_MS 25
#define LOCAL_MAX_INTERVAL_MS 150
#define REMOTE_MIN_INTERVAL_MS 30
#define REMOTE_MAX_INTERVAL_MS 200

/* The same for summaries with account use. */
#define USES_MIN_INTERVAL_MS 100
#define USES_MAX_INTERVAL_MS 500

/* Interval between rosters, and maximum number of members in a datagram of
   one. */
#define ROSTER_INTERVAL_MS 400
#define ROSTER_MEMBERS 24

/* A hub applies its own report to its totals at least this often. */
#define OWN_REPORT_MAX_INTERVAL_MS 250

/* Number of members named in a report, hubs included; with more hubs than
   that, all hubs and no other members are named. */
#define MEMBERS_PER_REPORT 12

/* Interval between checks for unresponsive members while hubs are used. */
#define TIMEOUT_CHECK_INTERVAL_MS 100

/* Time between two ticks: of every instance in a small fleet, of a hub, and of
   other instances with and without changes to report. */
#define MESH_TICK_MS 5
#define HUB_TICK_MS 10
#define PENDING_TICK_MS 10
#define IDLE_TICK_MS 50

/* Each datagram starts with this many bytes, least significant first.  The
   lowest bits are its kind: KIND_SUMMARY, or the BsGossipRequest of a report.
   In a summary, the rest is the sequence number of the last report received
   from the addressee.  The prefixes of datagrams about streams are those of a
   report whose other bits are not all 0. */
#define PREFIX_BYTES 8
#define KIND_BITS 2
#define KIND_MASK 3
#define KIND_SUMMARY 3
#define PREFIX_STREAM_NOTES (1 << KIND_BITS)       /* to be passed on */
#define PREFIX_STREAM_RECORDS (2 << KIND_BITS)     /* passed on, or answers */
#define PREFIX_STREAM_QUESTIONS (3 << KIND_BITS)   /* of the sender */
#define PREFIX_STREAM_PASSED (4 << KIND_BITS)      /* passed on to hubs */
#define PREFIX_STREAM_LAST_PASSED (5 << KIND_BITS) /* passed on by those */

/* Interval between checks for new receivers of records. */
#define LISTENERS_CHECK_INTERVAL_MS 50

/* Most records, and questions, that an instance keeps until it passes them on
   at its next tick. */
#define PASSED_RECORDS_MAX 4096
#define PASSED_QUESTIONS_MAX 4096

#define NEVER_MS (INT64_MIN / 2)

struct BsFleetAgent {
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
    uint64_t summary_sequence; /* of our last local summary */
    uint64_t remote_sequence;  /* of our last remote summary */
    int64_t started_ms;
    bool uses_hubs;
    bool view_empty;
    bool own_changed; /* our own state changed since own_applied_ms */
    int64_t own_applied_ms;
    int64_t local_sent_ms;
    int64_t remote_sent_ms;
    int64_t uses_sent_ms;
    int64_t roster_sent_ms;
    int64_t timeouts_checked_ms;
    int64_t listeners_checked_ms;
    GArray *passing;          /* BsStreamRecord, to pass on to other hubs */
    GArray *local_questions;  /* BsStreamQuestion, to pass on to the hubs of
                                 the own data centre */
    GArray *remote_questions; /* the same, of the others */
    GHashTable *listeners;    /* address to incarnation (uint64_t) of the last
                                 receivers of records */
};

BsFleetAgent *
BsFleetAgent_Create(uint32_t address, uint32_t data_centre, uint32_t weight,
                    uint64_t incarnation, uint32_t seed,
                    const BsFleetEvents *events, void *context, int64_t now_ms)
{
    BsFleetAgent *agent = g_new0(BsFleetAgent, 1);
    agent->gossip = BsGossip_Create(address, data_centre, weight, now_ms);
    agent->hub = BsHub_Create();
    agent->view = BsFleetView_Create();
    agent->events = events;
    agent->context = context;
    agent->random = g_rand_new_with_seed(seed);
    agent->address = address;
    agent->data_centre = data_centre;
    agent->weight = weight;
    agent->incarnation = incarnation;
    agent->started_ms = now_ms;
    agent->view_empty = true;
    agent->own_applied_ms = NEVER_MS;
    agent->local_sent_ms = NEVER_MS;
    agent->remote_sent_ms = NEVER_MS;
    agent->uses_sent_ms = NEVER_MS;
    agent->roster_sent_ms = NEVER_MS;
    agent->timeouts_checked_ms = NEVER_MS;
    agent->listeners_checked_ms = NEVER_MS;
    agent->passing = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    agent->local_questions =
        g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    agent->remote_questions =
        g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    agent->listeners = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return agent;
}

void
BsFleetAgent_Destroy(BsFleetAgent *agent)
{
    if (agent == NULL) {
        return;
    }
    BsGossip_Destroy(agent->gossip);
    BsHub_Destroy(agent->hub);
    BsFleetView_Destroy(agent->view);
    g_rand_free(agent->random);
    g_array_unref(agent->passing);
    g_array_unref(agent->local_questions);
    g_array_unref(agent->remote_questions);
    g_hash_table_unref(agent->listeners);
    g_free(agent);
}

BsGossip *
BsFleetAgent_Gossip(const BsFleetAgent *agent)
{
    return agent->gossip;
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
S_send(BsFleetAgent *agent, uint32_t address, GString *data, uint64_t prefix)
{
    S_set_prefix(data, prefix);
    agent->events->send(address, data->str, data->len, agent->context);
}

/* ----------------------------------------------------------- reports -- */

static uint32_t
S_age_ms(const BsFleetAgent *agent, int64_t now_ms)
{
    return (uint32_t)MIN(now_ms - agent->started_ms, BS_GOSSIP_AGE_MAX_MS);
}

static void
S_fill_report(BsFleetAgent *agent, BsGossipReport *report, int64_t now_ms)
{
    report->incarnation = agent->incarnation;
    report->sequence = ++agent->sequence;
    report->data_centre = agent->data_centre;
    report->weight = agent->weight;
    report->age_ms = S_age_ms(agent, now_ms);
    report->fleet = BsGossip_Counted(agent->gossip, now_ms);
    report->largest = BsGossip_LargestToReport(agent->gossip, now_ms,
                                               &report->largest_age_ms);
    agent->events->fill(report, true, now_ms, agent->context);
    agent->events->fill_crash_records(report->crash_records, now_ms,
                                      agent->context);
    agent->events->fill_part_records(report->part_records, now_ms,
                                     agent->context);
    agent->events->fill_limit_records(report->limit_records, now_ms,
                                      agent->context);
    if (report->stopping) {
        BsGossip_SetStopping(agent->gossip);
    }
    BsGossip_AppendMembers(agent->gossip, agent->random, MEMBERS_PER_REPORT,
                           now_ms, report->members);
    BsGossip_AppendSilentCentres(agent->gossip, now_ms,
                                 report->silent_centres);
}

static void
S_send_report(BsFleetAgent *agent, const BsGossipReport *report,
              const GArray *due)
{
    GString *data = S_begin_datagram();
    BsGossipReport_Encode(report, data);
    for (guint i = 0; i < due->len; i++) {
        const BsGossipReceiver *receiver =
            &g_array_index(due, BsGossipReceiver, i);
        S_send(agent, receiver->address, data, (uint64_t)receiver->request);
    }
    g_string_free(data, TRUE);
}

/* Returns whether this instance, as a hub, is to apply its own report. */
static bool
S_is_own_report_due(const BsFleetAgent *agent, int64_t now_ms)
{
    return agent->own_changed ||
           now_ms - agent->own_applied_ms >= OWN_REPORT_MAX_INTERVAL_MS;
}

void
BsFleetAgent_SendReports(BsFleetAgent *agent, bool changed, int64_t now_ms)
{
    GArray *due = BsGossip_Due(agent->gossip, changed, now_ms);
    agent->own_changed |= changed;
    bool sends_summaries =
        agent->uses_hubs && BsGossip_SendsSummaries(agent->gossip, now_ms);
    if (due->len > 0 ||
        (sends_summaries && S_is_own_report_due(agent, now_ms))) {
        BsGossipReport report;
        BsGossipReport_Init(&report);
        S_fill_report(agent, &report, now_ms);
        if (agent->uses_hubs) {
            BsFleetView_NoteOwn(agent->view, &report);
        }
        if (sends_summaries) {
            BsHub_ApplyReport(agent->hub, agent->address, &report, now_ms);
            agent->own_changed = false;
            agent->own_applied_ms = now_ms;
        }
        S_send_report(agent, &report, due);
        BsGossipReport_Clear(&report);
    }
    g_array_unref(due);
}

/* ------------------------------------------------ received summaries -- */

static void
S_notify_changes(BsFleetAgent *agent, const BsSummary *summary, GArray *loads,
                 GArray *uses, int64_t now_ms)
{
    BsFleetChanges changes = {
        .loads = loads,
        .uses = uses,
        .incarnation = summary == NULL ? 0 : summary->incarnation,
    };
    agent->events->on_changes(&changes, now_ms, agent->context);
}

/* Applies a local summary whose hub had received our report number ACK. */
static void
S_apply_local_summary(BsFleetAgent *agent, const BsSummary *summary,
                      uint64_t ack, int64_t now_ms)
{
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    BsGossip_SetFleet(agent->gossip, summary->reachable, summary->known,
                      now_ms);
    BsFleetView_ApplySummary(agent->view, summary, ack, now_ms, loads, uses);
    BsFleetView_Expire(agent->view, now_ms, loads);
    agent->view_empty = false;
    S_notify_changes(agent, summary, loads, uses, now_ms);
    g_array_unref(loads);
    g_array_unref(uses);
}

/* Removes the counts of the other instances when no hub reports new ones. */
static void
S_reset_view(BsFleetAgent *agent, int64_t now_ms)
{
    if (agent->view_empty) {
        return;
    }
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    BsFleetView_Reset(agent->view, loads);
    agent->view_empty = true;
    S_notify_changes(agent, NULL, loads, uses, now_ms);
    g_array_unref(loads);
    g_array_unref(uses);
}

static bool
S_receive_summary(BsFleetAgent *agent, uint32_t address, const char *data,
                  size_t size_bytes, uint64_t ack, int64_t now_ms)
{
    BsSummary summary;
    BsSummary_Init(&summary);
    bool valid = BsSummary_Decode(data, size_bytes, &summary);
    if (valid && address != agent->address) {
        bool used =
            BsGossip_ApplySummary(agent->gossip, address, &summary, now_ms);
        agent->events->on_newest(summary.newest, now_ms, agent->context);
        agent->events->on_crash_records(summary.crash_records, now_ms,
                                        agent->context);
        agent->events->on_part_records(summary.part_records, now_ms,
                                       agent->context);
        agent->events->on_limit_records(summary.limit_records, now_ms,
                                        agent->context);
        if (summary.remote && summary.data_centre != agent->data_centre) {
            BsHub_ApplyRemoteSummary(agent->hub, address, &summary, now_ms);
        }
        else if (used) {
            S_apply_local_summary(agent, &summary, ack, now_ms);
        }
    }
    BsSummary_Clear(&summary);
    return valid;
}

static void
S_apply_report(BsFleetAgent *agent, uint32_t address,
               const BsGossipReport *report, BsGossipRequest request,
               int64_t now_ms)
{
    const BsGossipMember *member =
        BsGossip_ApplyReport(agent->gossip, address, report, request, now_ms);
    if (member == NULL) {
        return;
    }
    agent->events->on_newest(report->newest, now_ms, agent->context);
    agent->events->on_crash_records(report->crash_records, now_ms,
                                    agent->context);
    agent->events->on_part_records(report->part_records, now_ms,
                                   agent->context);
    agent->events->on_limit_records(report->limit_records, now_ms,
                                    agent->context);
    if (!agent->uses_hubs) {
        agent->events->on_peer_report(address, report, now_ms, agent->context);
    }
    else if (BsGossip_IsLocal(agent->gossip, member)) {
        BsHub_ApplyReport(agent->hub, address, report, now_ms);
    }
}

/* ----------------------------------------------------------- streams -- */

static void
S_send_to_all(BsFleetAgent *agent, const GArray *receivers, GString *data,
              uint64_t prefix)
{
    for (guint i = 0; i < receivers->len; i++) {
        uint32_t address =
            g_array_index(receivers, BsGossipReceiver, i).address;
        if (address != agent->address) {
            S_send(agent, address, data, prefix);
        }
    }
}

static void
S_send_records(BsFleetAgent *agent, const GArray *receivers,
               const GArray *records, uint64_t prefix)
{
    for (guint first = 0; first < records->len;
         first += BS_STREAM_RECORDS_MAX) {
        GString *data = S_begin_datagram();
        BsStreamCodec_EncodeRecords(
            records, first, MIN(records->len - first, BS_STREAM_RECORDS_MAX),
            data);
        S_send_to_all(agent, receivers, data, prefix);
        g_string_free(data, TRUE);
    }
}

static void
S_send_questions(BsFleetAgent *agent, const GArray *receivers,
                 const GArray *questions, uint64_t prefix)
{
    for (guint first = 0; first < questions->len;
         first += BS_STREAM_QUESTIONS_MAX) {
        GString *data = S_begin_datagram();
        BsStreamCodec_EncodeQuestions(
            questions, first,
            MIN(questions->len - first, BS_STREAM_QUESTIONS_MAX), data);
        S_send_to_all(agent, receivers, data, prefix);
        g_string_free(data, TRUE);
    }
}

/* Sends the records of the own data centre, as its hub, to the hubs of the
   others. */
static void
S_pass_records(BsFleetAgent *agent, int64_t now_ms)
{
    if (agent->passing->len == 0) {
        return;
    }
    GArray *receivers = BsGossip_StreamReceivers(
        agent->gossip, BS_GOSSIP_STREAMS_REMOTE, now_ms);
    S_send_records(agent, receivers, agent->passing, PREFIX_STREAM_RECORDS);
    g_array_unref(receivers);
    g_array_set_size(agent->passing, 0);
}

/* Keeps RECORDS until they are passed on, if this instance is the hub. */
static void
S_keep_to_pass(BsFleetAgent *agent, const GArray *records, int64_t now_ms)
{
    if (BsGossip_Hub(agent->gossip) != agent->address) {
        return;
    }
    g_array_append_vals(agent->passing, records->data, records->len);
    if (agent->passing->len >= PASSED_RECORDS_MAX) {
        S_pass_records(agent, now_ms);
    }
}

/* Tells the members of the data centre, as its hub, of the versions that
   RECORDS announce. */
static void
S_announce(BsFleetAgent *agent, const GArray *records, int64_t now_ms)
{
    GArray *announced = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    for (guint i = 0; i < records->len; i++) {
        BsStreamRecord record = g_array_index(records, BsStreamRecord, i);
        if (record.key == 0) {
            g_array_append_val(announced, record);
        }
    }
    if (announced->len > 0 && BsGossip_Hub(agent->gossip) == agent->address) {
        GArray *members = BsGossip_StreamReceivers(
            agent->gossip, BS_GOSSIP_STREAMS_MEMBERS, now_ms);
        S_send_records(agent, members, announced, PREFIX_STREAM_RECORDS);
        g_array_unref(members);
    }
    g_array_unref(announced);
}

void
BsFleetAgent_SendStreamRecords(BsFleetAgent *agent, const GArray *records,
                               int64_t now_ms)
{
    GArray *receivers = BsGossip_StreamReceivers(
        agent->gossip, BS_GOSSIP_STREAMS_LOCAL, now_ms);
    S_send_records(agent, receivers, records, PREFIX_STREAM_NOTES);
    S_keep_to_pass(agent, records, now_ms);
    S_announce(agent, records, now_ms);
    g_array_unref(receivers);
}

/* Sends the questions that are to be passed on, and removes them. */
static void
S_pass_questions(BsFleetAgent *agent, GArray *questions,
                 BsGossipStreamReceivers to, uint64_t prefix, int64_t now_ms)
{
    if (questions->len == 0) {
        return;
    }
    GArray *receivers = BsGossip_StreamReceivers(agent->gossip, to, now_ms);
    S_send_questions(agent, receivers, questions, prefix);
    g_array_unref(receivers);
    g_array_set_size(questions, 0);
}

static void
S_pass_all_questions(BsFleetAgent *agent, int64_t now_ms)
{
    bool is_hub = BsGossip_Hub(agent->gossip) == agent->address;
    S_pass_questions(agent, agent->remote_questions, BS_GOSSIP_STREAMS_REMOTE,
                     PREFIX_STREAM_PASSED, now_ms);
    S_pass_questions(agent, agent->local_questions, BS_GOSSIP_STREAMS_LOCAL,
                     is_hub ? PREFIX_STREAM_LAST_PASSED : PREFIX_STREAM_PASSED,
                     now_ms);
}

/* Appends QUESTIONS, which came from ORIGIN, to TO. */
static void
S_keep_questions(GArray *to, const GArray *questions, uint32_t origin)
{
    for (guint i = 0; i < questions->len && to->len < PASSED_QUESTIONS_MAX;
         i++) {
        BsStreamQuestion question =
            g_array_index(questions, BsStreamQuestion, i);
        question.origin = question.origin == 0 ? origin : question.origin;
        g_array_append_val(to, question);
    }
}

/* Passes questions that cannot be answered here on where hubs are used.  A hub
   passes those of a sender on to the other data centres, and those from
   another hub to the ones that stand by; an instance that is not the hub
   leaves that to the hub while there is one. */
static void
S_pass_unanswered(BsFleetAgent *agent, uint32_t address,
                  const GArray *questions, uint64_t prefix, int64_t now_ms)
{
    bool is_hub = BsGossip_Hub(agent->gossip) == agent->address;
    bool from_sender = prefix == PREFIX_STREAM_QUESTIONS;
    if (!BsGossip_UsesHubs(agent->gossip, now_ms)) {
        return;
    }
    if (from_sender &&
        (is_hub || !BsGossip_IsHubReachable(agent->gossip, now_ms))) {
        S_keep_questions(agent->remote_questions, questions, address);
    }
    else if (from_sender || (prefix == PREFIX_STREAM_PASSED && is_hub)) {
        S_keep_questions(agent->local_questions, questions, address);
    }
}

void
BsFleetAgent_AskStreams(BsFleetAgent *agent, const GArray *questions,
                        int64_t now_ms)
{
    GArray *receivers = BsGossip_StreamReceivers(
        agent->gossip, BS_GOSSIP_STREAMS_LOCAL, now_ms);
    S_send_questions(agent, receivers, questions, PREFIX_STREAM_QUESTIONS);
    g_array_unref(receivers);
    if (BsGossip_Hub(agent->gossip) == agent->address) {
        S_keep_questions(agent->remote_questions, questions, agent->address);
    }
}

bool
BsFleetAgent_HasNewListener(BsFleetAgent *agent, int64_t now_ms)
{
    bool found = false;
    if (now_ms - agent->listeners_checked_ms < LISTENERS_CHECK_INTERVAL_MS) {
        return false;
    }
    agent->listeners_checked_ms = now_ms;
    GArray *receivers = BsGossip_StreamReceivers(
        agent->gossip, BS_GOSSIP_STREAMS_LOCAL, now_ms);
    GHashTable *listeners = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    for (guint i = 0; i < receivers->len; i++) {
        const BsGossipReceiver *receiver =
            &g_array_index(receivers, BsGossipReceiver, i);
        gpointer address = GUINT_TO_POINTER(receiver->address);
        const uint64_t *before =
            g_hash_table_lookup(agent->listeners, address);
        found |= before == NULL || *before != receiver->incarnation;
        uint64_t *incarnation = g_new(uint64_t, 1);
        *incarnation = receiver->incarnation;
        g_hash_table_insert(listeners, address, incarnation);
    }
    g_hash_table_unref(agent->listeners);
    agent->listeners = listeners;
    g_array_unref(receivers);
    return found;
}

static bool
S_receive_records(BsFleetAgent *agent, const char *data, size_t size_bytes,
                  bool pass_on, int64_t now_ms)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    bool valid = BsStreamCodec_DecodeRecords(data, size_bytes, records);
    if (valid) {
        agent->events->on_stream_records(records, now_ms, agent->context);
    }
    if (valid && pass_on) {
        S_keep_to_pass(agent, records, now_ms);
    }
    g_array_unref(records);
    return valid;
}

/* Sends RECORD, an answer, to the instance at ADDRESS. */
static void
S_answer(BsFleetAgent *agent, uint32_t address, const GArray *records)
{
    GString *data = S_begin_datagram();
    BsStreamCodec_EncodeRecords(records, 0, records->len, data);
    S_send(agent, address, data, PREFIX_STREAM_RECORDS);
    g_string_free(data, TRUE);
}

/* Answers those of QUESTIONS that it can, and removes them. */
static void
S_answer_known(BsFleetAgent *agent, uint32_t address, GArray *questions,
               int64_t now_ms)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    GArray *one = g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    guint kept = 0;
    for (guint i = 0; i < questions->len; i++) {
        BsStreamQuestion question =
            g_array_index(questions, BsStreamQuestion, i);
        g_array_set_size(records, 0);
        g_array_set_size(one, 0);
        g_array_append_val(one, question);
        agent->events->answer_questions(one, records, now_ms, agent->context);
        if (records->len > 0) {
            S_answer(agent, question.origin == 0 ? address : question.origin,
                     records);
        }
        else {
            g_array_index(questions, BsStreamQuestion, kept++) = question;
        }
    }
    g_array_set_size(questions, kept);
    g_array_unref(one);
    g_array_unref(records);
}

static bool
S_receive_questions(BsFleetAgent *agent, uint32_t address, const char *data,
                    size_t size_bytes, uint64_t prefix, int64_t now_ms)
{
    GArray *questions = g_array_new(FALSE, FALSE, sizeof(BsStreamQuestion));
    bool valid = BsStreamCodec_DecodeQuestions(data, size_bytes, questions);
    if (valid) {
        S_answer_known(agent, address, questions, now_ms);
        S_pass_unanswered(agent, address, questions, prefix, now_ms);
    }
    g_array_unref(questions);
    return valid;
}

static bool
S_receive_streams(BsFleetAgent *agent, uint32_t address, uint64_t prefix,
                  const char *data, size_t size_bytes, int64_t now_ms)
{
    switch (prefix) {
    case PREFIX_STREAM_NOTES:
    case PREFIX_STREAM_RECORDS:
        return S_receive_records(agent, data, size_bytes,
                                 prefix == PREFIX_STREAM_NOTES, now_ms);
    case PREFIX_STREAM_QUESTIONS:
    case PREFIX_STREAM_PASSED:
    case PREFIX_STREAM_LAST_PASSED:
        return S_receive_questions(agent, address, data, size_bytes, prefix,
                                   now_ms);
    default:
        return false;
    }
}

bool
BsFleetAgent_Receive(BsFleetAgent *agent, uint32_t address, const char *data,
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
        return S_receive_summary(agent, address, data, size_bytes,
                                 prefix >> KIND_BITS, now_ms);
    }
    if (prefix >> KIND_BITS != 0) {
        return S_receive_streams(agent, address, prefix, data, size_bytes,
                                 now_ms);
    }
    BsGossipReport report;
    BsGossipReport_Init(&report);
    bool valid = BsGossipReport_Decode(data, size_bytes, &report);
    if (valid) {
        S_apply_report(agent, address, &report,
                       (BsGossipRequest)(prefix & KIND_MASK), now_ms);
    }
    BsGossipReport_Clear(&report);
    return valid;
}

/* ---------------------------------------------------- sent summaries -- */

/* Fills in the fields of a summary about its sender, and how many instances
   are reachable and known. */
static void
S_fill_header(BsFleetAgent *agent, BsSummary *summary, bool remote,
              int64_t now_ms)
{
    BsGossipReport own;
    int64_t failed_ms = now_ms - BsGossip_StoreFailedMs(agent->gossip);
    int64_t answer_age_ms = now_ms - BsGossip_DirectAnsweredMs(agent->gossip);
    BsGossipReport_Init(&own);
    agent->events->fill(&own, false, now_ms, agent->context);
    summary->incarnation = agent->incarnation;
    summary->data_centre = agent->data_centre;
    summary->weight = agent->weight;
    summary->age_ms = S_age_ms(agent, now_ms);
    summary->remote = remote;
    summary->stopping = own.stopping;
    summary->reading = own.reading;
    summary->revision = own.revision;
    summary->newest = own.newest;
    summary->store_age_ms = answer_age_ms > INT32_MAX ? -1 : answer_age_ms;
    summary->store_failed_ms = failed_ms > INT32_MAX ? -1 : failed_ms;
    summary->reachable = BsGossip_LocalReachable(agent->gossip, now_ms);
    summary->known = BsGossip_LocalKnown(agent->gossip, now_ms);
    BsGossip_AppendSilentCentres(agent->gossip, now_ms,
                                 summary->silent_centres);
    if (!remote) {
        summary->reachable += BsHub_RemoteReachable(agent->hub);
        summary->known += BsHub_RemoteKnown(agent->hub);
    }
    BsGossipReport_Clear(&own);
}

static void
S_send_summary(BsFleetAgent *agent, const BsSummary *summary,
               const GArray *receivers)
{
    GString *data = S_begin_datagram();
    BsSummary_Encode(summary, data);
    for (guint i = 0; i < receivers->len; i++) {
        const BsGossipReceiver *receiver =
            &g_array_index(receivers, BsGossipReceiver, i);
        S_send(agent, receiver->address, data,
               (receiver->taken << KIND_BITS) | KIND_SUMMARY);
    }
    g_string_free(data, TRUE);
}

static void
S_send_local_summary(BsFleetAgent *agent, int64_t now_ms)
{
    BsSummary summary;
    BsSummary_Init(&summary);
    S_fill_header(agent, &summary, false, now_ms);
    summary.sequence = ++agent->summary_sequence;
    BsHub_FillLocal(agent->hub, summary.sequence, &summary, now_ms);
    agent->events->fill_limit_records(summary.limit_records, now_ms,
                                      agent->context);
    GArray *receivers =
        BsGossip_SummaryReceivers(agent->gossip, false, now_ms);
    S_send_summary(agent, &summary, receivers);
    if (BsGossip_Hub(agent->gossip) == agent->address) {
        S_apply_local_summary(agent, &summary, agent->sequence, now_ms);
    }
    g_array_unref(receivers);
    BsSummary_Clear(&summary);
    agent->local_sent_ms = now_ms;
}

static void
S_send_remote_summary(BsFleetAgent *agent, int64_t now_ms)
{
    GArray *receivers = BsGossip_SummaryReceivers(agent->gossip, true, now_ms);
    if (receivers->len > 0) {
        BsSummary summary;
        BsSummary_Init(&summary);
        S_fill_header(agent, &summary, true, now_ms);
        summary.sequence = ++agent->remote_sequence;
        BsHub_FillRemote(agent->hub, &summary);
        agent->events->fill_limit_records(summary.limit_records, now_ms,
                                          agent->context);
        S_send_summary(agent, &summary, receivers);
        BsSummary_Clear(&summary);
    }
    g_array_unref(receivers);
    agent->remote_sent_ms = now_ms;
}

/* Sends account use and the requests that crash upstreams. */
static void
S_send_uses(BsFleetAgent *agent, bool remote, int64_t now_ms)
{
    BsSummary summary;
    GArray *receivers =
        BsGossip_SummaryReceivers(agent->gossip, remote, now_ms);
    BsSummary_Init(&summary);
    S_fill_header(agent, &summary, remote, now_ms);
    summary.sequence =
        remote ? ++agent->remote_sequence : agent->summary_sequence;
    BsHub_FillUses(agent->hub, remote, &summary);
    agent->events->fill_crash_records(summary.crash_records, now_ms,
                                      agent->context);
    agent->events->fill_part_records(summary.part_records, now_ms,
                                     agent->context);
    S_send_summary(agent, &summary, receivers);
    if (!remote && BsGossip_Hub(agent->gossip) == agent->address) {
        S_apply_local_summary(agent, &summary, agent->sequence, now_ms);
    }
    BsSummary_Clear(&summary);
    g_array_unref(receivers);
}

/* Sends the members of the own data centre, split over several datagrams; the
   first one also names the hubs and some other members. */
static void
S_send_roster(BsFleetAgent *agent, int64_t now_ms)
{
    GArray *receivers =
        BsGossip_SummaryReceivers(agent->gossip, false, now_ms);
    unsigned next = 0;
    do {
        BsSummary summary;
        BsSummary_Init(&summary);
        S_fill_header(agent, &summary, false, now_ms);
        summary.sequence = agent->summary_sequence;
        if (next == 0) {
            BsGossip_AppendMembers(agent->gossip, agent->random,
                                   MEMBERS_PER_REPORT, now_ms,
                                   summary.members);
        }
        next = BsGossip_AppendRoster(agent->gossip, next, ROSTER_MEMBERS,
                                     now_ms, summary.members);
        S_send_summary(agent, &summary, receivers);
        BsSummary_Clear(&summary);
    } while (next != 0);
    g_array_unref(receivers);
    agent->roster_sent_ms = now_ms;
}

static bool
S_is_due(bool changes, int64_t passed_ms, int64_t min_interval_ms,
         int64_t max_interval_ms)
{
    return passed_ms >= (changes ? min_interval_ms : max_interval_ms);
}

static void
S_send_due_summaries(BsFleetAgent *agent, int64_t now_ms)
{
    if (!BsGossip_SendsSummaries(agent->gossip, now_ms)) {
        return;
    }
    if (S_is_due(BsHub_HasChanges(agent->hub), now_ms - agent->local_sent_ms,
                 LOCAL_MIN_INTERVAL_MS, LOCAL_MAX_INTERVAL_MS)) {
        S_send_local_summary(agent, now_ms);
    }
    if (S_is_due(BsHub_HasLocalChanges(agent->hub),
                 now_ms - agent->remote_sent_ms, REMOTE_MIN_INTERVAL_MS,
                 REMOTE_MAX_INTERVAL_MS)) {
        S_send_remote_summary(agent, now_ms);
    }
    if (S_is_due(BsHub_HasUsageChanges(agent->hub),
                 now_ms - agent->uses_sent_ms, USES_MIN_INTERVAL_MS,
                 USES_MAX_INTERVAL_MS)) {
        S_send_uses(agent, false, now_ms);
        S_send_uses(agent, true, now_ms);
        agent->uses_sent_ms = now_ms;
    }
    if (now_ms - agent->roster_sent_ms >= ROSTER_INTERVAL_MS) {
        S_send_roster(agent, now_ms);
    }
}

/* -------------------------------------------------------------- tick -- */

/* Switches between reports to all instances and reports to hubs, by the size
   of the fleet, and chooses the hub. */
static void
S_update_hub_use(BsFleetAgent *agent, int64_t now_ms)
{
    bool uses_hubs = BsGossip_UsesHubs(agent->gossip, now_ms);
    if (uses_hubs != agent->uses_hubs) {
        agent->uses_hubs = uses_hubs;
        S_reset_view(agent, now_ms);
        if (uses_hubs) {
            agent->events->on_hubs_used(agent->context);
        }
    }
    if (BsGossip_ChooseHub(agent->gossip, now_ms)) {
        agent->events->on_hub_changed(BsGossip_Hub(agent->gossip),
                                      agent->context);
    }
    if (!BsGossip_IsHubReachable(agent->gossip, now_ms)) {
        S_reset_view(agent, now_ms);
    }
}

void
BsFleetAgent_Tick(BsFleetAgent *agent, int64_t now_ms)
{
    if (!agent->uses_hubs ||
        now_ms - agent->timeouts_checked_ms >= TIMEOUT_CHECK_INTERVAL_MS) {
        agent->timeouts_checked_ms = now_ms;
        BsGossip_EachNewlyUnresponsive(agent->gossip, now_ms,
                                       agent->events->on_unresponsive,
                                       agent->context);
    }
    S_update_hub_use(agent, now_ms);
    BsFleetAgent_SendReports(agent, false, now_ms);
    if (agent->uses_hubs) {
        S_send_due_summaries(agent, now_ms);
    }
    S_pass_records(agent, now_ms);
    S_pass_all_questions(agent, now_ms);
}

int64_t
BsFleetAgent_PauseMs(const BsFleetAgent *agent, int64_t now_ms)
{
    if (!agent->uses_hubs) {
        return MESH_TICK_MS;
    }
    if (BsGossip_SendsSummaries(agent->gossip, now_ms)) {
        return HUB_TICK_MS;
    }
    return BsGossip_HasPending(agent->gossip) ? PENDING_TICK_MS : IDLE_TICK_MS;
}
