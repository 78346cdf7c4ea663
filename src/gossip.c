/* gossip.c - what instances tell each other, and who they are. */
#include "gossip.h"

#include "codecguard.h"

#include <msgpack.h>
#include <string.h>

#define GOSSIP_VERSION 1
#define REPORT_ITEMS 11

/* Bytes that the fixed part and the list heads of a report take at most. */
#define FIXED_BYTES 96

/* Encoded size of a load, a use and a member at most. */
#define LOAD_BYTES 19
#define USE_BYTES 18
#define MEMBER_BYTES 5

/* Pause between two reports to a member while there is news.  A request runs
   for 50 ms and more, so counts of this age are as good as fresh; the pause
   grows with the number of members, which bounds the reports a second. */
#define NEAR_PAUSE_MS 4
#define FAR_PAUSE_MS 8
#define NEAR_PAUSE_PER_MEMBER_MS 1

/* Members of other data centres that cost no more pause than one. */
#define FAR_FREE_MEMBERS 16
#define FAR_PAUSE_PER_MEMBER_MS 8

/* Members of the own data centre up to which that holds.  Beyond, the pause
   grows with them, too: what a data centre sends to others together stays
   under 2 MB/s, a quarter of the narrowest link between regions. */
#define NEAR_FREE_MEMBERS 20

/* Longest pause while there is no news. */
#define NEAR_BEAT_MS 150
#define FAR_BEAT_MS 200
#define FAR_BEAT_PER_MEMBER_MS 8

/* A member is silent after this many of its longest pauses. */
#define SILENT_BEATS 4
#define SILENT_MIN_MS 800

/* Pause between tries to reach a member that does not answer. */
#define TRY_MS 400

/* A member that was silent this long is gone; seeds are always tried. */
#define FORGET_MS 60000

/* While nobody was heard yet, for this long the fleet is taken for larger than
   it may be, as a restarted instance knows nothing of its peers' use. */
#define ALONE_MS 10000
#define ALONE_INSTANCES 8

/* Instances of a data centre that read the store for all of it.  A lost one is
   replaced once it is silent, far sooner than a change must be in force. */
#define READERS 1

#define NEVER_MS (INT64_MIN / 2)

typedef struct {
    BsGossipMember member;
    bool dirty;  /* news waits for it */
    bool silent; /* told to the owner */
} BsGossipEntry;

struct BsGossip {
    uint32_t address;
    uint32_t data_centre;
    int64_t started_ms;
    int64_t store_failed_ms;
    GHashTable *entries; /* address to BsGossipEntry */
};

/* ----------------------------------------------------------- reports -- */

void
BsGossipReport_Init(BsGossipReport *report)
{
    memset(report, 0, sizeof(*report));
    report->loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    report->uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    report->members = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void
BsGossipReport_Clear(BsGossipReport *report)
{
    g_array_unref(report->loads);
    g_array_unref(report->uses);
    g_array_unref(report->members);
}

/* Returns how many items of SIZE_BYTES fit into ROOM, and takes them off. */
static guint
S_fit(const GArray *items, size_t size_bytes, size_t *room)
{
    guint count = (guint)MIN(items->len, *room / size_bytes);
    *room -= count * size_bytes;
    return count;
}

static void
S_pack_lists(msgpack_packer *packer, const BsGossipReport *report)
{
    size_t room = BS_GOSSIP_MAX_BYTES - FIXED_BYTES;
    guint uses = S_fit(report->uses, USE_BYTES, &room);
    guint loads = S_fit(report->loads, LOAD_BYTES, &room);
    guint members = S_fit(report->members, MEMBER_BYTES, &room);
    msgpack_pack_array(packer, (size_t)loads * 3);
    for (guint i = 0; i < loads; i++) {
        const BsTargetLoad *load =
            &g_array_index(report->loads, BsTargetLoad, i);
        msgpack_pack_uint64(packer, load->hash);
        msgpack_pack_uint32(packer, load->in_flight);
        msgpack_pack_uint32(packer, load->cold_sent);
    }
    msgpack_pack_array(packer, (size_t)uses * 2);
    for (guint i = 0; i < uses; i++) {
        const BsQuotaUse *use = &g_array_index(report->uses, BsQuotaUse, i);
        msgpack_pack_uint64(packer, use->hash);
        msgpack_pack_uint64(packer, use->used);
    }
    msgpack_pack_array(packer, members);
    for (guint i = 0; i < members; i++) {
        msgpack_pack_uint32(packer,
                            g_array_index(report->members, uint32_t, i));
    }
}

static int
S_write(void *data, const char *bytes, size_t size_bytes)
{
    g_string_append_len(data, bytes, (gssize)size_bytes);
    return 0;
}

void
BsGossipReport_Encode(const BsGossipReport *report, GString *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, S_write);
    msgpack_pack_array(&packer, REPORT_ITEMS);
    msgpack_pack_uint32(&packer,
                        GOSSIP_VERSION | (report->stopping ? 256 : 0));
    msgpack_pack_uint64(&packer, report->incarnation);
    msgpack_pack_uint64(&packer, report->sequence);
    msgpack_pack_uint64(&packer, report->revision);
    msgpack_pack_uint64(&packer, report->newest);
    msgpack_pack_uint64(&packer, report->catalog);
    msgpack_pack_uint32(&packer, report->data_centre);
    msgpack_pack_uint32(&packer, (uint32_t)report->reading);
    S_pack_lists(&packer, report);
}

static bool
S_u64(const msgpack_object *object, uint64_t *value)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *value = object->via.u64;
    return true;
}

/* Reads all items of the list OBJECT as numbers. */
static bool
S_numbers(const msgpack_object *object, GArray *numbers)
{
    g_array_set_size(numbers, 0);
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0; i < object->via.array.size; i++) {
        uint64_t value;
        if (!S_u64(&object->via.array.ptr[i], &value)) {
            return false;
        }
        g_array_append_val(numbers, value);
    }
    return true;
}

#define NUMBER(numbers, index) g_array_index(numbers, uint64_t, index)

static bool
S_read_lists(const msgpack_object *items, GArray *numbers,
             BsGossipReport *report)
{
    if (!S_numbers(&items[0], numbers)) {
        return false;
    }
    for (guint i = 0; i + 2 < numbers->len; i += 3) {
        BsTargetLoad load = {NUMBER(numbers, i),
                             (uint32_t)NUMBER(numbers, i + 1),
                             (uint32_t)NUMBER(numbers, i + 2)};
        g_array_append_val(report->loads, load);
    }
    if (!S_numbers(&items[1], numbers)) {
        return false;
    }
    for (guint i = 0; i + 1 < numbers->len; i += 2) {
        BsQuotaUse use = {NUMBER(numbers, i), NUMBER(numbers, i + 1)};
        g_array_append_val(report->uses, use);
    }
    if (!S_numbers(&items[2], numbers)) {
        return false;
    }
    for (guint i = 0; i < numbers->len; i++) {
        uint32_t address = (uint32_t)NUMBER(numbers, i);
        g_array_append_val(report->members, address);
    }
    return true;
}

static bool
S_read(const msgpack_object *root, BsGossipReport *report)
{
    uint64_t version;
    uint64_t data_centre;
    uint64_t reading;
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < REPORT_ITEMS) {
        return false;
    }
    const msgpack_object *items = root->via.array.ptr;
    if (!S_u64(&items[0], &version) || (version & 255) != GOSSIP_VERSION ||
        !S_u64(&items[1], &report->incarnation) ||
        !S_u64(&items[2], &report->sequence) ||
        !S_u64(&items[3], &report->revision) ||
        !S_u64(&items[4], &report->newest) ||
        !S_u64(&items[5], &report->catalog) ||
        !S_u64(&items[6], &data_centre) || !S_u64(&items[7], &reading) ||
        reading > BS_GOSSIP_FAILS) {
        return false;
    }
    report->reading = (BsGossipReading)reading;
    report->stopping = (version & 256) != 0;
    report->data_centre = (uint32_t)data_centre;
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    bool valid = S_read_lists(&items[8], numbers, report);
    g_array_unref(numbers);
    return valid;
}

bool
BsGossipReport_Decode(const char *data, size_t size_bytes,
                      BsGossipReport *report)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    if (!BsCodecGuard_IsBounded(data, size_bytes)) {
        return false;
    }
    msgpack_unpacked_init(&unpacked);
    bool valid = msgpack_unpack_next(&unpacked, data, size_bytes, &offset) ==
                     MSGPACK_UNPACK_SUCCESS &&
                 S_read(&unpacked.data, report);
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}

/* ----------------------------------------------------------- members -- */

BsGossip *
BsGossip_Create(uint32_t address, uint32_t data_centre, int64_t now_ms)
{
    BsGossip *gossip = g_new0(BsGossip, 1);
    gossip->address = address;
    gossip->data_centre = data_centre;
    gossip->started_ms = now_ms;
    gossip->store_failed_ms = NEVER_MS;
    gossip->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return gossip;
}

void
BsGossip_Destroy(BsGossip *gossip)
{
    if (gossip != NULL) {
        g_hash_table_destroy(gossip->entries);
        g_free(gossip);
    }
}

static BsGossipEntry *
S_find(const BsGossip *gossip, uint32_t address)
{
    return g_hash_table_lookup(gossip->entries, GUINT_TO_POINTER(address));
}

/* Returns the entry of ADDRESS, a new one when it was never named. */
static BsGossipEntry *
S_learn(BsGossip *gossip, uint32_t address, int64_t now_ms)
{
    BsGossipEntry *entry = S_find(gossip, address);
    if (entry == NULL) {
        entry = g_new0(BsGossipEntry, 1);
        entry->member.address = address;
        entry->member.heard_ms = NEVER_MS;
        entry->member.sent_ms = NEVER_MS;
        entry->member.learned_ms = now_ms;
        entry->silent = true;
        g_hash_table_insert(gossip->entries, GUINT_TO_POINTER(address), entry);
    }
    return entry;
}

void
BsGossip_AddSeed(BsGossip *gossip, uint32_t address, int64_t now_ms)
{
    if (address != gossip->address) {
        S_learn(gossip, address, now_ms)->member.seed = true;
    }
}

bool
BsGossip_IsNear(const BsGossip *gossip, const BsGossipMember *member)
{
    return member->data_centre == gossip->data_centre;
}

static unsigned
S_count_far(const BsGossip *gossip, int64_t now_ms)
{
    unsigned count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        count += !BsGossip_IsNear(gossip, member) &&
                 now_ms - member->heard_ms < FORGET_MS;
    }
    return count;
}

/* Returns PAUSE_MS between reports to other data centres, made longer in a
   large data centre. */
static int64_t
S_scale_far_ms(const BsGossip *gossip, unsigned far, int64_t pause_ms)
{
    unsigned near = g_hash_table_size(gossip->entries) - far;
    return pause_ms * MAX(near, NEAR_FREE_MEMBERS) / NEAR_FREE_MEMBERS;
}

static int64_t
S_beat_ms(const BsGossip *gossip, const BsGossipMember *member, unsigned far)
{
    return BsGossip_IsNear(gossip, member)
               ? NEAR_BEAT_MS
               : MAX(FAR_BEAT_MS,
                     S_scale_far_ms(gossip, far,
                                    (int64_t)far * FAR_BEAT_PER_MEMBER_MS));
}

static bool
S_is_heard(const BsGossip *gossip, const BsGossipMember *member, unsigned far,
           int64_t now_ms)
{
    int64_t limit_ms =
        MAX(SILENT_MIN_MS, SILENT_BEATS * S_beat_ms(gossip, member, far));
    return now_ms - member->heard_ms < limit_ms;
}

const BsGossipMember *
BsGossip_Take(BsGossip *gossip, uint32_t address, const BsGossipReport *report,
              int64_t now_ms)
{
    if (address == gossip->address) {
        return NULL;
    }
    BsGossipEntry *entry = S_learn(gossip, address, now_ms);
    BsGossipMember *member = &entry->member;
    bool same = report->incarnation == member->incarnation;
    /* An earlier start is heard again only when a clock was set back between
       the two; late datagrams do not come after that long. */
    bool older = same ? report->sequence <= member->sequence
                      : report->incarnation < member->incarnation &&
                            now_ms - member->heard_ms < SILENT_MIN_MS;
    if (older) {
        return NULL;
    }
    member->incarnation = report->incarnation;
    member->sequence = report->sequence;
    member->revision = report->revision;
    member->newest = report->newest;
    member->reading = report->reading;
    if (report->reading == BS_GOSSIP_FAILS) {
        gossip->store_failed_ms = now_ms;
    }
    member->data_centre = report->data_centre;
    member->stopping = report->stopping;
    member->heard_ms = now_ms;
    entry->silent = false;
    for (guint i = 0; i < report->members->len; i++) {
        uint32_t named = g_array_index(report->members, uint32_t, i);
        if (named != gossip->address) {
            S_learn(gossip, named, now_ms);
        }
    }
    return member;
}

static int64_t
S_far_pause_ms(const BsGossip *gossip, unsigned far)
{
    int64_t over = far > FAR_FREE_MEMBERS ? far - FAR_FREE_MEMBERS : 0;
    return S_scale_far_ms(gossip, far,
                          FAR_PAUSE_MS + over * FAR_PAUSE_PER_MEMBER_MS);
}

int64_t
BsGossip_FarAgeMs(const BsGossip *gossip, int64_t now_ms)
{
    return S_far_pause_ms(gossip, S_count_far(gossip, now_ms));
}

/* Returns the pause between reports to a member that is not heard: never less
   than if all were heard, as reports that are lost on a full link must not
   fill it further. */
static int64_t
S_try_ms(const BsGossip *gossip, unsigned far)
{
    int64_t members = g_hash_table_size(gossip->entries);
    return MAX(TRY_MS,
               S_scale_far_ms(gossip, far, members * FAR_BEAT_PER_MEMBER_MS));
}

/* Returns whether a report to the entry is due. */
static bool
S_is_due(const BsGossip *gossip, const BsGossipEntry *entry, unsigned near,
         unsigned far, int64_t now_ms)
{
    const BsGossipMember *member = &entry->member;
    int64_t passed_ms = now_ms - member->sent_ms;
    if (!S_is_heard(gossip, member, far, now_ms)) {
        return passed_ms >= S_try_ms(gossip, far);
    }
    bool is_near = BsGossip_IsNear(gossip, member);
    int64_t pause_ms =
        is_near ? MAX(NEAR_PAUSE_MS, (int64_t)near * NEAR_PAUSE_PER_MEMBER_MS)
                : S_far_pause_ms(gossip, far);
    return (entry->dirty && passed_ms >= pause_ms) ||
           passed_ms >= S_beat_ms(gossip, member, far);
}

/* Returns whether the entry's member is gone for good. */
static bool
S_is_forgotten(const BsGossipEntry *entry, int64_t now_ms)
{
    const BsGossipMember *member = &entry->member;
    return !member->seed && now_ms - member->heard_ms > FORGET_MS &&
           now_ms - member->learned_ms > FORGET_MS;
}

GArray *
BsGossip_Due(BsGossip *gossip, bool changed, int64_t now_ms)
{
    GArray *due = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    unsigned far = S_count_far(gossip, now_ms);
    unsigned near = g_hash_table_size(gossip->entries) - far;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsGossipEntry *entry = value;
        if (S_is_forgotten(entry, now_ms)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        entry->dirty |= changed;
        if (S_is_due(gossip, entry, near, far, now_ms)) {
            g_array_append_val(due, entry->member.address);
            entry->member.sent_ms = now_ms;
            entry->dirty = false;
        }
    }
    return due;
}

void
BsGossip_AppendMembers(const BsGossip *gossip, GRand *random, unsigned count,
                       int64_t now_ms, GArray *out)
{
    GArray *heard = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    unsigned far = S_count_far(gossip, now_ms);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        if (S_is_heard(gossip, member, far, now_ms)) {
            g_array_append_val(heard, member->address);
        }
    }
    guint start =
        heard->len == 0 ? 0 : g_rand_int_range(random, 0, (gint32)heard->len);
    for (guint i = 0; i < MIN(count, heard->len); i++) {
        guint at = (start + i) % heard->len;
        g_array_append_val(out, g_array_index(heard, uint32_t, at));
    }
    g_array_unref(heard);
}

void
BsGossip_AppendSenders(const BsGossip *gossip, int64_t now_ms, GArray *senders)
{
    BsTargetSender self = {gossip->address, gossip->data_centre};
    unsigned far = S_count_far(gossip, now_ms);
    GHashTableIter iter;
    gpointer value;
    g_array_append_val(senders, self);
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        BsTargetSender sender = {member->address, member->data_centre};
        if (!member->stopping && S_is_heard(gossip, member, far, now_ms)) {
            g_array_append_val(senders, sender);
        }
    }
}

void
BsGossip_EachSilent(BsGossip *gossip, int64_t now_ms,
                    void (*func)(const BsGossipMember *, void *),
                    void *context)
{
    unsigned far = S_count_far(gossip, now_ms);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsGossipEntry *entry = value;
        if (!entry->silent &&
            !S_is_heard(gossip, &entry->member, far, now_ms)) {
            entry->silent = true;
            func(&entry->member, context);
        }
    }
}

/* Returns a number that orders the members differently for each instance. */
static uint32_t
S_pair_rank(const BsGossip *gossip, const BsGossipMember *member)
{
    /* Multiplicative hashing, so that neighbours do not rank in a row. */
    return (member->address ^ (gossip->address << 16)) * UINT32_C(2654435761);
}

/* Returns whether A is a better source of items than B. */
static bool
S_is_better_source(const BsGossip *gossip, const BsGossipMember *a,
                   const BsGossipMember *b)
{
    if (b == NULL) {
        return true;
    }
    bool near_a = BsGossip_IsNear(gossip, a);
    bool near_b = BsGossip_IsNear(gossip, b);
    if (near_a != near_b) {
        return near_a;
    }
    /* Holders of the same items share the work of handing them on. */
    return a->newest != b->newest
               ? a->newest > b->newest
               : S_pair_rank(gossip, a) < S_pair_rank(gossip, b);
}

const BsGossipMember *
BsGossip_Newer(const BsGossip *gossip, uint64_t revision, uint64_t newest,
               int64_t now_ms)
{
    const BsGossipMember *best = NULL;
    unsigned far = S_count_far(gossip, now_ms);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        if ((member->revision > revision || member->newest > newest) &&
            S_is_heard(gossip, member, far, now_ms) &&
            S_is_better_source(gossip, member, best)) {
            best = member;
        }
    }
    return best;
}

/* Returns the rank of an instance among the possible readers. */
static uint32_t
S_reader_rank(uint32_t address)
{
    /* Multiplicative hashing, so that neighbours do not rank in a row. */
    return address * UINT32_C(2654435761);
}

bool
BsGossip_IsReader(const BsGossip *gossip, int64_t now_ms)
{
    unsigned before = 0;
    unsigned reading = 0;
    uint32_t rank = S_reader_rank(gossip->address);
    unsigned far = S_count_far(gossip, now_ms);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        if (!S_is_heard(gossip, member, far, now_ms)) {
            continue;
        }
        reading += member->reading == BS_GOSSIP_READS;
        if (!BsGossip_IsNear(gossip, member)) {
            continue;
        }
        before += member->reading != BS_GOSSIP_FAILS && !member->stopping &&
                  S_reader_rank(member->address) < rank;
    }
    if (reading == 0) {
        return true; /* nobody has an answer: everyone tries */
    }
    return before < READERS;
}

int64_t
BsGossip_StoreFailedMs(const BsGossip *gossip)
{
    return gossip->store_failed_ms;
}

static unsigned
S_count(const BsGossip *gossip, int64_t now_ms, bool heard_now)
{
    unsigned count = 1;
    unsigned far = S_count_far(gossip, now_ms);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gossip->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsGossipMember *member = &((BsGossipEntry *)value)->member;
        count += heard_now ? S_is_heard(gossip, member, far, now_ms)
                           : now_ms - member->heard_ms < FORGET_MS;
    }
    return count;
}

unsigned
BsGossip_Known(const BsGossip *gossip, int64_t now_ms)
{
    unsigned known = S_count(gossip, now_ms, false);
    bool alone = known == 1 && g_hash_table_size(gossip->entries) > 0 &&
                 now_ms - gossip->started_ms < ALONE_MS;
    return alone ? ALONE_INSTANCES : known;
}

unsigned
BsGossip_Heard(const BsGossip *gossip, int64_t now_ms)
{
    return S_count(gossip, now_ms, true);
}

double
BsGossip_Share(const BsGossip *gossip, int64_t now_ms)
{
    return (double)BsGossip_Heard(gossip, now_ms) /
           BsGossip_Known(gossip, now_ms);
}
