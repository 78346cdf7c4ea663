/* gossip.c - membership and state exchange between instances. */
#include "gossip_private.h"

/* Pause between two reports to a member of a small fleet while the state
   changes.  A request runs for 50 ms or more, so counts of this age are as
   good as current ones. */
#define LOCAL_PAUSE_MS 4
#define REMOTE_PAUSE_MS 8
#define LOCAL_PAUSE_PER_MEMBER_MS 1

/* Longest pause while the state does not change. */
#define LOCAL_IDLE_PAUSE_MS 150
#define REMOTE_IDLE_PAUSE_MS 200

/* Pause between two removals of expired members. */
#define PURGE_PAUSE_MS 1000

/* A member not seen for this long is unresponsive: four times
   REMOTE_IDLE_PAUSE_MS. */
#define UNRESPONSIVE_MS 800

/* The fleet size that the hub reported is valid for this long; after that only
   this instance counts as reachable. */
#define FLEET_SIZE_VALID_MS 1500

/* Usual age of the sums of other data centres that a hub sends. */
#define HUB_AGE_MS 60

/* Largest fleet, in instances, without hubs: all report to each other. */
#define MESH_MEMBERS 24

/* For ALONE_MS after the start, while no other instance was seen, the fleet is
   assumed to have ALONE_INSTANCES: a restarted instance does not know what its
   peers use of the common limits. */
#define ALONE_MS 10000
#define ALONE_INSTANCES 8

BsGossip *
BsGossip_Create(uint32_t address, uint32_t data_centre, uint32_t weight,
                int64_t now_ms)
{
    BsGossip *gossip = g_new0(BsGossip, 1);
    gossip->address = address;
    gossip->data_centre = data_centre;
    gossip->weight = weight;
    gossip->started_ms = now_ms;
    gossip->store_failed_ms = BS_GOSSIP_NEVER_MS;
    gossip->fleet_answered_ms = BS_GOSSIP_NEVER_MS;
    gossip->local_answered_ms = BS_GOSSIP_NEVER_MS;
    gossip->direct_answered_ms = BS_GOSSIP_NEVER_MS;
    gossip->fleet_reported_ms = BS_GOSSIP_NEVER_MS;
    gossip->served_ms = BS_GOSSIP_NEVER_MS;
    gossip->fleet_ms = BS_GOSSIP_NEVER_MS;
    gossip->share = BsFleetShare_Create();
    gossip->centres = BsCentreWatch_Create(data_centre, now_ms);
    gossip->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return gossip;
}

void
BsGossip_Destroy(BsGossip *gossip)
{
    if (gossip != NULL) {
        g_hash_table_destroy(gossip->entries);
        BsFleetShare_Destroy(gossip->share);
        BsCentreWatch_Destroy(gossip->centres);
        g_free(gossip);
    }
}

BsGossipEntry *
BsGossip_Find(const BsGossip *gossip, uint32_t address)
{
    return g_hash_table_lookup(gossip->entries, GUINT_TO_POINTER(address));
}

BsGossipEntry *
BsGossip_FindOrAdd(BsGossip *gossip, uint32_t address, int64_t now_ms)
{
    BsGossipEntry *entry = BsGossip_Find(gossip, address);
    if (entry == NULL) {
        entry = g_new0(BsGossipEntry, 1);
        entry->member.address = address;
        entry->member.last_received_ms = BS_GOSSIP_NEVER_MS;
        entry->member.sent_ms = BS_GOSSIP_NEVER_MS;
        entry->member.learned_ms = now_ms;
        entry->direct_ms = BS_GOSSIP_NEVER_MS;
        entry->since_ms = now_ms;
        entry->summary_ms = BS_GOSSIP_NEVER_MS;
        entry->served_ms = BS_GOSSIP_NEVER_MS;
        entry->summary_sent_ms = BS_GOSSIP_NEVER_MS;
        entry->unresponsive = true;
        g_hash_table_insert(gossip->entries, GUINT_TO_POINTER(address), entry);
    }
    return entry;
}

void
BsGossip_AddSeed(BsGossip *gossip, uint32_t address, int64_t now_ms)
{
    if (address == gossip->address) {
        gossip->is_seed = true;
        return;
    }
    BsGossip_FindOrAdd(gossip, address, now_ms)->member.seed = true;
    BsCentreWatch_ExpectOthers(gossip->centres);
}

bool
BsGossip_IsLocal(const BsGossip *gossip, const BsGossipMember *member)
{
    return member->data_centre == gossip->data_centre;
}

bool
BsGossip_IsReachable(const BsGossip *gossip, const BsGossipMember *member,
                     int64_t now_ms)
{
    int64_t limit_ms = BsGossip_UsesHubs(gossip, now_ms)
                           ? BS_GOSSIP_HUB_UNRESPONSIVE_MS
                           : UNRESPONSIVE_MS;
    return now_ms - member->last_received_ms < limit_ms;
}

bool
BsGossip_UsesHubs(const BsGossip *gossip, int64_t now_ms)
{
    uint32_t reported =
        now_ms - gossip->fleet_reported_ms < BS_GOSSIP_REMOVE_AFTER_MS
            ? gossip->fleet_reported
            : 0;
    return MAX(reported, g_hash_table_size(gossip->entries) + 1) >
           MESH_MEMBERS;
}

BsGossipWalk
BsGossip_Walk(const BsGossip *gossip, int64_t now_ms)
{
    BsGossipWalk walk = {.gossip = gossip, .now_ms = now_ms};
    g_hash_table_iter_init(&walk.iter, gossip->entries);
    return walk;
}

const BsGossipMember *
BsGossip_Next(BsGossipWalk *walk)
{
    gpointer value;
    while (g_hash_table_iter_next(&walk->iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        if (BsGossip_IsReachable(walk->gossip, member, walk->now_ms)) {
            return member;
        }
    }
    return NULL;
}

/* Records that a report or summary arrived from the member itself. */
static void
S_note_state(BsGossipEntry *entry, uint64_t incarnation, uint32_t age_ms,
             int64_t now_ms)
{
    BsGossipMember *member = &entry->member;
    member->incarnation = incarnation;
    entry->since_ms = now_ms - age_ms;
    member->last_received_ms = now_ms;
    entry->direct_ms = now_ms;
    entry->unresponsive = false;
}

/* Records the fleet size that another instance reported; the largest one holds
   until it expires. */
static void
S_note_fleet(BsGossip *gossip, uint32_t fleet, int64_t now_ms)
{
    bool old = now_ms - gossip->fleet_reported_ms >= BS_GOSSIP_REMOVE_AFTER_MS;
    if (old || fleet >= gossip->fleet_reported) {
        gossip->fleet_reported = fleet;
        gossip->fleet_reported_ms = now_ms;
    }
}

/* Records that the store answered an instance AGE_MS ago (-1: unknown), which
   is in DATA_CENTRE. */
static void
S_note_answer(BsGossip *gossip, uint32_t data_centre, int64_t age_ms,
              int64_t now_ms)
{
    if (age_ms < 0) {
        return;
    }
    int64_t answered_ms = now_ms - age_ms;
    gossip->fleet_answered_ms = MAX(gossip->fleet_answered_ms, answered_ms);
    if (data_centre == gossip->data_centre) {
        gossip->local_answered_ms =
            MAX(gossip->local_answered_ms, answered_ms);
    }
}

/* Records that an instance of DATA_CENTRE is heard, which tells of the data
   centres that it does not hear. */
static void
S_note_centres(BsGossip *gossip, uint32_t data_centre,
               const GArray *silent_centres, int64_t now_ms)
{
    BsCentreWatch_NoteHeard(gossip->centres, data_centre, now_ms);
    for (guint i = 0; i < silent_centres->len; i++) {
        const BsSilentCentre *silent =
            &g_array_index(silent_centres, BsSilentCentre, i);
        BsCentreWatch_Learn(gossip->centres, silent->data_centre,
                            silent->age_ms, now_ms);
    }
}

void
BsGossip_NoteStoreAnswer(BsGossip *gossip, uint32_t data_centre,
                         int64_t age_ms, int64_t now_ms)
{
    S_note_answer(gossip, data_centre, age_ms, now_ms);
    if (age_ms >= 0 && data_centre == gossip->data_centre) {
        gossip->direct_answered_ms =
            MAX(gossip->direct_answered_ms, now_ms - age_ms);
    }
}

const BsGossipMember *
BsGossip_ApplyReport(BsGossip *gossip, uint32_t address,
                     const BsGossipReport *report, BsGossipRequest request,
                     int64_t now_ms)
{
    if (address == gossip->address) {
        return NULL;
    }
    BsGossipEntry *entry = BsGossip_FindOrAdd(gossip, address, now_ms);
    BsGossipMember *member = &entry->member;
    bool same = report->incarnation == member->incarnation;
    /* An older incarnation is accepted once the member was not seen for a
       while: its clock was set back between the two starts.  Datagrams are
       not delayed for that long. */
    bool older = same
                     ? report->sequence <= member->sequence
                     : report->incarnation < member->incarnation &&
                           now_ms - member->last_received_ms < UNRESPONSIVE_MS;
    if (older) {
        return NULL;
    }
    S_note_state(entry, report->incarnation, report->age_ms, now_ms);
    member->sequence = report->sequence;
    member->revision = report->revision;
    member->newest = report->newest;
    member->reading = report->reading;
    BsGossip_NoteStoreAnswer(gossip, report->data_centre, report->store_age_ms,
                             now_ms);
    if (report->reading == BS_GOSSIP_FAILS) {
        gossip->store_failed_ms = now_ms;
    }
    member->data_centre = report->data_centre;
    S_note_centres(gossip, report->data_centre, report->silent_centres,
                   now_ms);
    member->weight = report->weight;
    member->stopping = report->stopping;
    if (request == BS_GOSSIP_REQUEST_SUMMARIES) {
        entry->served_ms = now_ms;
        gossip->served_ms = now_ms;
    }
    entry->asks |= request == BS_GOSSIP_REQUEST_HUBS;
    S_note_fleet(gossip, report->fleet, now_ms);
    BsFleetShare_Learn(gossip->share, report->largest, report->largest_age_ms,
                       now_ms);
    for (guint i = 0; i < report->members->len; i++) {
        BsGossip_ApplyMemberInfo(
            gossip, &g_array_index(report->members, BsGossipMemberInfo, i),
            now_ms);
    }
    return member;
}

void
BsGossip_ApplyMemberInfo(BsGossip *gossip, const BsGossipMemberInfo *named,
                         int64_t now_ms)
{
    if (named->address == gossip->address) {
        return;
    }
    BsGossipEntry *entry = BsGossip_FindOrAdd(gossip, named->address, now_ms);
    BsGossipMember *member = &entry->member;
    member->data_centre = named->data_centre;
    member->weight = named->weight;
    if (!named->reachable) {
        return;
    }
    BsCentreWatch_Learn(gossip->centres, named->data_centre, 0, now_ms);
    if (!BsGossip_UsesHubs(gossip, now_ms)) {
        return;
    }
    BsCentreWatch_NoteHeard(gossip->centres, named->data_centre, now_ms);
    member->last_received_ms = now_ms;
    entry->unresponsive = false;
    if (BsGossip_IsDirect(entry, now_ms)) {
        return; /* its own report is newer */
    }
    entry->since_ms = now_ms - named->age_ms;
    member->reading = named->reading;
    member->stopping = named->stopping;
    member->revision = MAX(member->revision, named->revision);
    member->newest = MAX(member->newest, named->newest);
}

bool
BsGossip_IsDirect(const BsGossipEntry *entry, int64_t now_ms)
{
    return now_ms - entry->direct_ms < BS_GOSSIP_HUB_UNRESPONSIVE_MS;
}

BsGossipMemberInfo
BsGossip_DescribeMember(const BsGossipEntry *entry, int64_t now_ms)
{
    const BsGossipMember *member = &entry->member;
    BsGossipMemberInfo named = {
        .address = member->address,
        .data_centre = member->data_centre,
        .weight = member->weight,
        .reachable = BsGossip_IsDirect(entry, now_ms),
        .age_ms =
            (uint32_t)CLAMP(now_ms - entry->since_ms, 0, BS_GOSSIP_AGE_MAX_MS),
        .stopping = member->stopping,
        .reading = member->reading,
        .revision = member->revision,
        .newest = member->newest,
    };
    return named;
}

bool
BsGossip_ApplySummary(BsGossip *gossip, uint32_t address,
                      const BsSummary *summary, int64_t now_ms)
{
    if (address == gossip->address) {
        return false;
    }
    BsGossipEntry *entry = BsGossip_FindOrAdd(gossip, address, now_ms);
    BsGossipMember *member = &entry->member;
    bool is_new = member->incarnation != summary->incarnation ||
                  now_ms - entry->summary_ms > BS_GOSSIP_HUB_UNRESPONSIVE_MS;
    if (!is_new && summary->sequence < entry->summary_sequence) {
        return false; /* arrived out of order */
    }
    entry->summary_sequence = summary->sequence;
    S_note_state(entry, summary->incarnation, summary->age_ms, now_ms);
    if (is_new || summary->newest >= member->newest) {
        member->revision = summary->revision;
        member->newest = summary->newest;
        member->reading = summary->reading;
    }
    member->data_centre = summary->data_centre;
    S_note_centres(gossip, summary->data_centre, summary->silent_centres,
                   now_ms);
    member->weight = summary->weight;
    member->stopping = summary->stopping;
    entry->summary_ms = now_ms;
    S_note_answer(gossip, summary->data_centre, summary->store_age_ms, now_ms);
    if (summary->store_failed_ms >= 0) {
        gossip->store_failed_ms =
            MAX(gossip->store_failed_ms, now_ms - summary->store_failed_ms);
    }
    S_note_fleet(gossip, summary->known, now_ms);
    for (guint i = 0; i < summary->members->len; i++) {
        BsGossip_ApplyMemberInfo(
            gossip, &g_array_index(summary->members, BsGossipMemberInfo, i),
            now_ms);
    }
    return !summary->remote && address == gossip->hub;
}

int64_t
BsGossip_RemoteAgeMs(const BsGossip *gossip, int64_t now_ms)
{
    return BsGossip_UsesHubs(gossip, now_ms) ? HUB_AGE_MS : REMOTE_PAUSE_MS;
}

static unsigned
S_count_local(const BsGossip *gossip)
{
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += BsGossip_IsLocal(gossip, &((BsGossipEntry *)value)->member);
    }
    return count;
}

/* Returns whether a report to the entry is due; LOCAL_MEMBERS is the
   number of members of the same data centre. */
static bool
S_is_due(const BsGossip *gossip, const BsGossipEntry *entry,
         unsigned local_members, int64_t now_ms)
{
    const BsGossipMember *member = &entry->member;
    int64_t passed_ms = now_ms - member->sent_ms;
    if (!BsGossip_IsReachable(gossip, member, now_ms)) {
        return passed_ms >= BS_GOSSIP_RETRY_PAUSE_MS;
    }
    if (!BsGossip_IsLocal(gossip, member)) {
        return passed_ms >=
               (entry->dirty ? REMOTE_PAUSE_MS : REMOTE_IDLE_PAUSE_MS);
    }
    int64_t pause_ms = MAX(LOCAL_PAUSE_MS,
                           (int64_t)local_members * LOCAL_PAUSE_PER_MEMBER_MS);
    return passed_ms >= (entry->dirty ? pause_ms : LOCAL_IDLE_PAUSE_MS);
}

/* Returns whether the entry's member is to be removed from the table. */
static bool
S_is_expired(const BsGossipEntry *entry, int64_t now_ms)
{
    const BsGossipMember *member = &entry->member;
    return !member->seed &&
           now_ms - member->last_received_ms > BS_GOSSIP_REMOVE_AFTER_MS &&
           now_ms - member->learned_ms > BS_GOSSIP_REMOVE_AFTER_MS;
}

static void
S_remove_expired(BsGossip *gossip, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (S_is_expired(value, now_ms)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static GArray *
S_due_to_all(BsGossip *gossip, bool changed, int64_t now_ms)
{
    GArray *due = g_array_new(FALSE, FALSE, sizeof(BsGossipReceiver));
    unsigned local_members = S_count_local(gossip);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsGossipEntry *entry = value;
        entry->dirty |= changed;
        if (S_is_due(gossip, entry, local_members, now_ms)) {
            bool reachable =
                BsGossip_IsReachable(gossip, &entry->member, now_ms);
            BsGossipReceiver receiver = {
                .address = entry->member.address,
                .request = reachable ? BS_GOSSIP_REQUEST_NONE
                                     : BS_GOSSIP_REQUEST_HUBS};
            g_array_append_val(due, receiver);
            entry->member.sent_ms = now_ms;
            entry->dirty = false;
        }
    }
    return due;
}

/* Returns what this instance counts of the fleet now. */
static BsFleetCounts
S_counts(const BsGossip *gossip, int64_t now_ms)
{
    BsFleetCounts counts = {
        .reachable = BsGossip_Reachable(gossip, now_ms),
        .counted = BsGossip_Counted(gossip, now_ms),
        .known = BsGossip_Known(gossip, now_ms),
        .seeds = gossip->is_seed,
        .seeds_seen = gossip->is_seed,
        .is_seed = gossip->is_seed,
        .is_single = g_hash_table_size(gossip->entries) == 0,
    };
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        counts.seeds += member->seed;
        counts.seeds_seen +=
            member->seed && member->last_received_ms != BS_GOSSIP_NEVER_MS;
    }
    return counts;
}

GArray *
BsGossip_Due(BsGossip *gossip, bool changed, int64_t now_ms)
{
    BsFleetCounts counts = S_counts(gossip, now_ms);
    BsFleetShare_Note(gossip->share, &counts, now_ms);
    BsCentreWatch_Tick(gossip->centres, now_ms);
    if (now_ms - gossip->purged_ms >= PURGE_PAUSE_MS) {
        gossip->purged_ms = now_ms;
        S_remove_expired(gossip, now_ms);
    }
    return BsGossip_UsesHubs(gossip, now_ms)
               ? BsGossip_DueWithHubs(gossip, changed, now_ms)
               : S_due_to_all(gossip, changed, now_ms);
}

void
BsGossip_AppendMembers(const BsGossip *gossip, GRand *random, unsigned count,
                       int64_t now_ms, GArray *out)
{
    GArray *reachable = g_array_new(FALSE, FALSE, sizeof(BsGossipMemberInfo));
    BsGossipWalk walk = BsGossip_Walk(gossip, now_ms);
    const BsGossipMember *member;
    if (BsGossip_UsesHubs(gossip, now_ms)) {
        BsGossip_AppendHubs(gossip, now_ms, out);
        count -= MIN(count, out->len);
    }
    while ((member = BsGossip_Next(&walk)) != NULL) {
        BsGossipMemberInfo named = BsGossip_DescribeMember(
            BsGossip_Find(gossip, member->address), now_ms);
        g_array_append_val(reachable, named);
    }
    guint start = reachable->len == 0
                      ? 0
                      : g_rand_int_range(random, 0, (gint32)reachable->len);
    for (guint i = 0; i < MIN(count, reachable->len); i++) {
        guint at = (start + i) % reachable->len;
        g_array_append_val(out,
                           g_array_index(reachable, BsGossipMemberInfo, at));
    }
    g_array_unref(reachable);
}

void
BsGossip_AppendSenders(const BsGossip *gossip, int64_t now_ms, GArray *senders)
{
    BsRateSender self = {gossip->address, gossip->data_centre};
    BsGossipWalk walk = BsGossip_Walk(gossip, now_ms);
    const BsGossipMember *member;
    g_array_append_val(senders, self);
    while ((member = BsGossip_Next(&walk)) != NULL) {
        BsRateSender sender = {member->address, member->data_centre};
        if (!member->stopping) {
            g_array_append_val(senders, sender);
        }
    }
}

void
BsGossip_EachNewlyUnresponsive(BsGossip *gossip, int64_t now_ms,
                               void (*func)(const BsGossipMember *, void *),
                               void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsGossipEntry *entry = value;
        if (!entry->unresponsive &&
            !BsGossip_IsReachable(gossip, &entry->member, now_ms)) {
            entry->unresponsive = true;
            func(&entry->member, context);
        }
    }
}

int64_t
BsGossip_StoreFailedMs(const BsGossip *gossip)
{
    return gossip->store_failed_ms;
}

int64_t
BsGossip_StoreAnsweredMs(const BsGossip *gossip)
{
    return gossip->fleet_answered_ms;
}

int64_t
BsGossip_LocalAnsweredMs(const BsGossip *gossip)
{
    return gossip->local_answered_ms;
}

int64_t
BsGossip_DirectAnsweredMs(const BsGossip *gossip)
{
    return gossip->direct_answered_ms;
}

static void
S_append_reachable(const BsGossip *gossip, bool local, int64_t now_ms,
                   GArray *out)
{
    BsGossipWalk walk = BsGossip_Walk(gossip, now_ms);
    const BsGossipMember *member;
    while ((member = BsGossip_Next(&walk)) != NULL) {
        BsGossipReceiver receiver = {.address = member->address,
                                     .incarnation = member->incarnation};
        if (!local || BsGossip_IsLocal(gossip, member)) {
            g_array_append_val(out, receiver);
        }
    }
}

GArray *
BsGossip_StreamReceivers(const BsGossip *gossip,
                         BsGossipStreamReceivers receivers, int64_t now_ms)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(BsGossipReceiver));
    bool uses_hubs = BsGossip_UsesHubs(gossip, now_ms);
    if (uses_hubs && receivers == BS_GOSSIP_STREAMS_MEMBERS) {
        S_append_reachable(gossip, true, now_ms, out);
    }
    else if (uses_hubs) {
        BsGossip_AppendStreamHubs(
            gossip, receivers == BS_GOSSIP_STREAMS_REMOTE, now_ms, out);
    }
    else if (receivers == BS_GOSSIP_STREAMS_LOCAL) {
        S_append_reachable(gossip, false, now_ms, out);
    }
    return out;
}

/* Counts the instances last seen within LIMIT_MS, including this one; with
   LOCAL, only those of the same data centre. */
static unsigned
S_count_seen(const BsGossip *gossip, bool local, int64_t limit_ms,
             int64_t now_ms)
{
    unsigned count = 1;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        count += now_ms - member->last_received_ms < limit_ms &&
                 (!local || BsGossip_IsLocal(gossip, member));
    }
    return count;
}

void
BsGossip_SetFleet(BsGossip *gossip, uint32_t reachable, uint32_t known,
                  int64_t now_ms)
{
    gossip->fleet_reachable = reachable;
    gossip->fleet_known = known;
    gossip->fleet_ms = now_ms;
}

unsigned
BsGossip_LocalReachable(const BsGossip *gossip, int64_t now_ms)
{
    return S_count_seen(gossip, true, BS_GOSSIP_HUB_UNRESPONSIVE_MS, now_ms);
}

unsigned
BsGossip_LocalKnown(const BsGossip *gossip, int64_t now_ms)
{
    return S_count_seen(gossip, true, BS_GOSSIP_REMOVE_AFTER_MS, now_ms);
}

unsigned
BsGossip_Reachable(const BsGossip *gossip, int64_t now_ms)
{
    if (BsGossip_UsesHubs(gossip, now_ms)) {
        bool reported = now_ms - gossip->fleet_ms < FLEET_SIZE_VALID_MS;
        return reported ? MAX(gossip->fleet_reachable, 1) : 1;
    }
    BsGossipWalk walk = BsGossip_Walk(gossip, now_ms);
    unsigned count = 1;
    while (BsGossip_Next(&walk) != NULL) {
        count++;
    }
    return count;
}

unsigned
BsGossip_Counted(const BsGossip *gossip, int64_t now_ms)
{
    bool reported = BsGossip_UsesHubs(gossip, now_ms) &&
                    now_ms - gossip->fleet_ms < BS_GOSSIP_REMOVE_AFTER_MS;
    return reported ? gossip->fleet_known
                    : S_count_seen(gossip, false, BS_GOSSIP_REMOVE_AFTER_MS,
                                   now_ms);
}

unsigned
BsGossip_Known(const BsGossip *gossip, int64_t now_ms)
{
    unsigned known = BsGossip_Counted(gossip, now_ms);
    if (BsGossip_UsesHubs(gossip, now_ms)) {
        bool reported =
            now_ms - gossip->fleet_reported_ms < BS_GOSSIP_REMOVE_AFTER_MS;
        return MAX(known, reported ? gossip->fleet_reported : MESH_MEMBERS);
    }
    bool alone = known == 1 && g_hash_table_size(gossip->entries) > 0 &&
                 now_ms - gossip->started_ms < ALONE_MS;
    return alone ? ALONE_INSTANCES : known;
}

BsCentreWatchState
BsGossip_Centres(const BsGossip *gossip, int64_t now_ms)
{
    return BsCentreWatch_State(gossip->centres, now_ms);
}

void
BsGossip_AppendSilentCentres(const BsGossip *gossip, int64_t now_ms,
                             GArray *out)
{
    BsCentreWatch_AppendSilent(gossip->centres, now_ms, out);
}

double
BsGossip_Share(const BsGossip *gossip, int64_t now_ms)
{
    BsFleetCounts counts = S_counts(gossip, now_ms);
    return BsFleetShare_Fraction(gossip->share, &counts, now_ms);
}

unsigned
BsGossip_KnownAtMost(const BsGossip *gossip, int64_t now_ms)
{
    BsFleetCounts counts = S_counts(gossip, now_ms);
    return BsFleetShare_AtMost(gossip->share, &counts, now_ms);
}

uint32_t
BsGossip_LargestToReport(const BsGossip *gossip, int64_t now_ms,
                         int64_t *age_ms)
{
    BsFleetCounts counts = S_counts(gossip, now_ms);
    return BsFleetShare_Tell(gossip->share, &counts, now_ms, age_ms);
}
