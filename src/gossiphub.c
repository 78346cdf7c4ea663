/* gossiphub.c - choice of hubs in a large fleet, and schedule of reports and
   summaries. */
#include "gossip_private.h"

/* Interval between reports to a hub: minimum while there are changes, and
   maximum without. */
#define REPORT_MIN_INTERVAL_MS 10
#define REPORT_MAX_INTERVAL_MS 300

/* A hub that sent no summary for HUB_TIMEOUT_MS is replaced and not chosen
   again for HUB_AVOID_MS. */
#define HUB_TIMEOUT_MS 400
#define HUB_AVOID_MS 2000

/* An instance that started less than this ago ranks behind the others: it has
   not yet received enough reports to be a hub. */
#define MIN_HUB_AGE_MS 2000

/* Start times that differ by at most this much count as the same. */
#define SAME_START_MS 1500

/* Hubs that an instance reports to: one sends it summaries, the others can
   take over. */
#define HUBS_PER_DATA_CENTRE 2

/* Interval between summaries to hubs and members that are unreachable or did
   not request any. */
#define UNREACHABLE_RETRY_MS 500

/* A report that requests summaries is answered with them for this long. */
#define SERVE_MS 1000

/* The best hubs of a data centre by rank; unused elements are NULL. */
typedef struct {
    uint32_t data_centre;
    const BsGossipEntry *hubs[HUBS_PER_DATA_CENTRE];
} BsGossipHubs;

/* Returns whether an instance that started at SINCE_MS did so recently and
   well after this one.  When the whole fleet starts, none counts as late. */
static bool
S_started_late(const BsGossip *gossip, int64_t since_ms, int64_t now_ms)
{
    return now_ms - since_ms < MIN_HUB_AGE_MS &&
           since_ms - gossip->started_ms > SAME_START_MS;
}

/* Returns whether A is preferred to B as a hub. */
static bool
S_ranks_before(const BsGossip *gossip, const BsGossipEntry *a,
               const BsGossipEntry *b, int64_t now_ms)
{
    bool late_a = S_started_late(gossip, a->since_ms, now_ms);
    bool late_b = S_started_late(gossip, b->since_ms, now_ms);
    if (late_a != late_b) {
        return late_b;
    }
    return BsGossip_IsHeavier(a->member.address, a->member.weight,
                              b->member.address, b->member.weight);
}

/* Inserts ENTRY by rank if it is among the best; drops the last if full. */
static void
S_insert_ranked(const BsGossip *gossip, BsGossipHubs *hubs,
                const BsGossipEntry *entry, int64_t now_ms)
{
    for (size_t i = 0; i < HUBS_PER_DATA_CENTRE; i++) {
        if (hubs->hubs[i] == NULL ||
            S_ranks_before(gossip, entry, hubs->hubs[i], now_ms)) {
            const BsGossipEntry *next = hubs->hubs[i];
            hubs->hubs[i] = entry;
            entry = next;
            if (entry == NULL) {
                return;
            }
        }
    }
}

/* Returns whether the entry's instance can be chosen as a hub now. */
static bool
S_may_be_hub(const BsGossip *gossip, const BsGossipEntry *entry,
             int64_t now_ms)
{
    const BsGossipMember *member = &entry->member;
    return member->data_centre != 0 && !member->stopping &&
           now_ms >= entry->avoid_until_ms &&
           BsGossip_IsReachable(gossip, member, now_ms);
}

/* Returns the best hubs of each data centre (BsGossipHubs), without this
   instance.  Free with g_array_unref(). */
static GArray *
S_rank_hubs(const BsGossip *gossip, int64_t now_ms)
{
    GArray *all = g_array_new(FALSE, TRUE, sizeof(BsGossipHubs));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipEntry *entry = value;
        if (!S_may_be_hub(gossip, entry, now_ms)) {
            continue;
        }
        guint at = 0;
        while (at < all->len &&
               g_array_index(all, BsGossipHubs, at).data_centre !=
                   entry->member.data_centre) {
            at++;
        }
        if (at == all->len) {
            BsGossipHubs hubs = {.data_centre = entry->member.data_centre};
            g_array_append_val(all, hubs);
        }
        S_insert_ranked(gossip, &g_array_index(all, BsGossipHubs, at), entry,
                        now_ms);
    }
    return all;
}

/* Fills HUBS with the best hubs of the own data centre, without this
   instance. */
static void
S_rank_local_hubs(const BsGossip *gossip, BsGossipHubs *hubs, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    *hubs = (BsGossipHubs){.data_centre = gossip->data_centre};
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipEntry *entry = value;
        if (BsGossip_IsLocal(gossip, &entry->member) &&
            S_may_be_hub(gossip, entry, now_ms)) {
            S_insert_ranked(gossip, hubs, entry, now_ms);
        }
    }
}

/* ------------------------------------------------------------ choice -- */

/* Excludes the current hub from the choice if it sends no summaries. */
static void
S_avoid_lost_hub(BsGossip *gossip, int64_t now_ms)
{
    BsGossipEntry *hub = BsGossip_Find(gossip, gossip->hub);
    if (hub != NULL && now_ms - gossip->hub_since_ms > HUB_TIMEOUT_MS &&
        now_ms - hub->summary_ms > HUB_TIMEOUT_MS) {
        hub->avoid_until_ms = now_ms + HUB_AVOID_MS;
    }
}

/* Returns the address of the hub to use: this instance if it is preferred to
   all others. */
static uint32_t
S_best_hub(const BsGossip *gossip, int64_t now_ms)
{
    BsGossipHubs candidates;
    S_rank_local_hubs(gossip, &candidates, now_ms);
    const BsGossipEntry *first = candidates.hubs[0];
    if (first == NULL) {
        return gossip->address;
    }
    if (gossip->stopping) {
        return first->member.address;
    }
    BsGossipEntry self = {
        .member = {.address = gossip->address, .weight = gossip->weight},
        .since_ms = gossip->started_ms};
    bool started_late = now_ms - gossip->started_ms < MIN_HUB_AGE_MS &&
                        gossip->started_ms - first->since_ms > SAME_START_MS;
    return !started_late && S_ranks_before(gossip, &self, first, now_ms)
               ? gossip->address
               : first->member.address;
}

bool
BsGossip_ChooseHub(BsGossip *gossip, int64_t now_ms)
{
    if (!BsGossip_UsesHubs(gossip, now_ms)) {
        gossip->hub = 0;
        return false;
    }
    S_avoid_lost_hub(gossip, now_ms);
    uint32_t best = S_best_hub(gossip, now_ms);
    if (best == gossip->hub) {
        return false;
    }
    gossip->hub = best;
    gossip->hub_since_ms = now_ms;
    BsGossipEntry *entry = BsGossip_Find(gossip, best);
    if (entry != NULL) {
        entry->member.sent_ms = BS_GOSSIP_NEVER_MS; /* send a report at once */
    }
    return true;
}

void
BsGossip_SetStopping(BsGossip *gossip)
{
    gossip->stopping = true;
}

uint32_t
BsGossip_Hub(const BsGossip *gossip)
{
    return gossip->hub;
}

bool
BsGossip_IsHubReachable(const BsGossip *gossip, int64_t now_ms)
{
    const BsGossipEntry *hub = BsGossip_Find(gossip, gossip->hub);
    return hub == NULL
               ? gossip->hub == gossip->address
               : now_ms - hub->summary_ms < BS_GOSSIP_HUB_UNRESPONSIVE_MS;
}

bool
BsGossip_SendsSummaries(const BsGossip *gossip, int64_t now_ms)
{
    return gossip->hub == gossip->address ||
           now_ms - gossip->served_ms < SERVE_MS;
}

/* ----------------------------------------------------------- reports -- */

static void
S_append(GArray *due, BsGossipEntry *entry, BsGossipRequest request,
         int64_t now_ms)
{
    BsGossipReceiver receiver = {.address = entry->member.address,
                                 .request = request};
    g_array_append_val(due, receiver);
    entry->member.sent_ms = now_ms;
    entry->dirty = false;
}

/* Appends the hubs of the own data centre to which a report is due. */
static void
S_append_hubs_due(BsGossip *gossip, bool changed, GArray *due, int64_t now_ms)
{
    BsGossipHubs candidates;
    S_rank_local_hubs(gossip, &candidates, now_ms);
    for (size_t i = 0; i < HUBS_PER_DATA_CENTRE && candidates.hubs[i] != NULL;
         i++) {
        BsGossipEntry *entry =
            BsGossip_Find(gossip, candidates.hubs[i]->member.address);
        int64_t passed_ms = now_ms - entry->member.sent_ms;
        entry->dirty |= changed;
        if ((entry->dirty && passed_ms >= REPORT_MIN_INTERVAL_MS) ||
            passed_ms >= REPORT_MAX_INTERVAL_MS) {
            bool is_current = entry->member.address == gossip->hub;
            S_append(due, entry,
                     is_current ? BS_GOSSIP_REQUEST_SUMMARIES
                                : BS_GOSSIP_REQUEST_NONE,
                     now_ms);
        }
    }
}

/* Appends the unreachable seeds to ask for hubs, and the instances whose
   request for hubs is to be answered. */
static void
S_append_hub_requests(BsGossip *gossip, GArray *due, int64_t now_ms)
{
    bool is_hub = gossip->hub == gossip->address;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsGossipEntry *entry = value;
        int64_t passed_ms = now_ms - entry->member.sent_ms;
        if (passed_ms < BS_GOSSIP_RETRY_PAUSE_MS) {
            continue;
        }
        bool lost_seed = entry->member.seed &&
                         !BsGossip_IsReachable(gossip, &entry->member, now_ms);
        if (entry->asks) {
            entry->asks = false;
            S_append(due, entry, BS_GOSSIP_REQUEST_NONE, now_ms);
        }
        else if (lost_seed && is_hub) {
            S_append(due, entry, BS_GOSSIP_REQUEST_HUBS, now_ms);
        }
    }
}

GArray *
BsGossip_DueWithHubs(BsGossip *gossip, bool changed, int64_t now_ms)
{
    GArray *due = g_array_new(FALSE, FALSE, sizeof(BsGossipReceiver));
    S_append_hubs_due(gossip, changed, due, now_ms);
    S_append_hub_requests(gossip, due, now_ms);
    return due;
}

bool
BsGossip_HasPending(const BsGossip *gossip)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const BsGossipEntry *)value)->dirty) {
            return true;
        }
    }
    return false;
}

/* --------------------------------------------------------- summaries -- */

static void
S_append_summary_receiver(GArray *out, BsGossipEntry *entry, int64_t now_ms)
{
    BsGossipReceiver receiver = {.address = entry->member.address,
                                 .taken = entry->member.sequence};
    g_array_append_val(out, receiver);
    entry->summary_sent_ms = now_ms;
}

/* Appends the instances that requested summaries.  A hub also sends one to the
   others of its data centre from time to time: an unresponsive instance may
   have removed the hub from its table. */
static void
S_append_local(BsGossip *gossip, GArray *out, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsGossipEntry *entry = value;
        bool requested = now_ms - entry->served_ms < SERVE_MS;
        bool retry = gossip->hub == gossip->address &&
                     BsGossip_IsLocal(gossip, &entry->member) &&
                     now_ms - entry->summary_sent_ms >= UNREACHABLE_RETRY_MS;
        if (requested || retry) {
            S_append_summary_receiver(out, entry, now_ms);
        }
    }
}

static bool
S_sends_summaries(const BsGossipEntry *entry, int64_t now_ms)
{
    return now_ms - entry->summary_ms < BS_GOSSIP_HUB_UNRESPONSIVE_MS;
}

/* Appends the hubs of a data centre that send summaries, or all that can be
   hubs if none sends any. */
static void
S_append_remote_hubs(BsGossip *gossip, const BsGossipHubs *hubs, GArray *out,
                     int64_t now_ms)
{
    bool any_sends = false;
    for (size_t n = 0; n < HUBS_PER_DATA_CENTRE && hubs->hubs[n] != NULL;
         n++) {
        any_sends |= S_sends_summaries(hubs->hubs[n], now_ms);
    }
    for (size_t n = 0; n < HUBS_PER_DATA_CENTRE && hubs->hubs[n] != NULL;
         n++) {
        if (!any_sends || S_sends_summaries(hubs->hubs[n], now_ms)) {
            S_append_summary_receiver(
                out, BsGossip_Find(gossip, hubs->hubs[n]->member.address),
                now_ms);
        }
    }
}

/* Appends, from time to time, unreachable seeds and former hubs of other data
   centres. */
static void
S_append_lost_hubs(BsGossip *gossip, GArray *out, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsGossipEntry *entry = value;
        bool was_hub =
            entry->member.seed || entry->summary_ms != BS_GOSSIP_NEVER_MS;
        if (was_hub && !BsGossip_IsLocal(gossip, &entry->member) &&
            !BsGossip_IsReachable(gossip, &entry->member, now_ms) &&
            now_ms - entry->summary_sent_ms >= UNREACHABLE_RETRY_MS) {
            S_append_summary_receiver(out, entry, now_ms);
        }
    }
}

static void
S_append_remote(BsGossip *gossip, GArray *out, int64_t now_ms)
{
    GArray *all = S_rank_hubs(gossip, now_ms);
    for (guint i = 0; i < all->len; i++) {
        const BsGossipHubs *hubs = &g_array_index(all, BsGossipHubs, i);
        if (hubs->data_centre != gossip->data_centre) {
            S_append_remote_hubs(gossip, hubs, out, now_ms);
        }
    }
    g_array_unref(all);
    S_append_lost_hubs(gossip, out, now_ms);
}

GArray *
BsGossip_SummaryReceivers(BsGossip *gossip, bool remote, int64_t now_ms)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(BsGossipReceiver));
    if (!remote) {
        S_append_local(gossip, out, now_ms);
    }
    else if (gossip->hub == gossip->address &&
             (now_ms - gossip->served_ms < SERVE_MS ||
              now_ms - gossip->started_ms > MIN_HUB_AGE_MS)) {
        S_append_remote(gossip, out, now_ms);
    }
    return out;
}

/* ----------------------------------------------------------- streams -- */

static void
S_append_stream_hubs(const BsGossipHubs *hubs, GArray *out)
{
    for (size_t n = 0; n < HUBS_PER_DATA_CENTRE && hubs->hubs[n] != NULL;
         n++) {
        BsGossipReceiver receiver = {.address = hubs->hubs[n]->member.address,
                                     .incarnation =
                                         hubs->hubs[n]->member.incarnation};
        g_array_append_val(out, receiver);
    }
}

void
BsGossip_AppendStreamHubs(const BsGossip *gossip, bool remote, int64_t now_ms,
                          GArray *out)
{
    if (!remote) {
        BsGossipHubs local;
        S_rank_local_hubs(gossip, &local, now_ms);
        S_append_stream_hubs(&local, out);
        return;
    }
    GArray *all = S_rank_hubs(gossip, now_ms);
    for (guint i = 0; i < all->len; i++) {
        const BsGossipHubs *hubs = &g_array_index(all, BsGossipHubs, i);
        if (hubs->data_centre != gossip->data_centre) {
            S_append_stream_hubs(hubs, out);
        }
    }
    g_array_unref(all);
}

/* ----------------------------------------------------------- members -- */

void
BsGossip_AppendHubs(const BsGossip *gossip, int64_t now_ms, GArray *out)
{
    GArray *all = S_rank_hubs(gossip, now_ms);
    for (guint i = 0; i < all->len; i++) {
        const BsGossipHubs *hubs = &g_array_index(all, BsGossipHubs, i);
        for (size_t n = 0; n < HUBS_PER_DATA_CENTRE && hubs->hubs[n] != NULL;
             n++) {
            BsGossipMemberInfo named =
                BsGossip_DescribeMember(hubs->hubs[n], now_ms);
            g_array_append_val(out, named);
        }
    }
    g_array_unref(all);
}

unsigned
BsGossip_AppendRoster(const BsGossip *gossip, unsigned first, unsigned count,
                      int64_t now_ms, GArray *out)
{
    unsigned at = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipEntry *entry = value;
        if (!BsGossip_IsLocal(gossip, &entry->member) ||
            now_ms - entry->member.last_received_ms >
                BS_GOSSIP_REMOVE_AFTER_MS) {
            continue;
        }
        if (at >= first && at < first + count) {
            BsGossipMemberInfo named = BsGossip_DescribeMember(entry, now_ms);
            g_array_append_val(out, named);
        }
        at++;
    }
    return at > first + count ? first + count : 0;
}
