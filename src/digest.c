/* digest.c - periodic summaries exchanged between instances. */
#include "digest.h"

#include "owner.h"
#include "schema.h"
#include "sheetstore.h"

#include <string.h>

/* Number of peers that each digest is sent to. */
#define FANOUT 4

/* Age above which a digest is ignored. */
#define DIGEST_MAX_AGE_MS 15000

/* Time after which an unresponsive peer is tried again. */
#define UNRESPONSIVE_MS 3000

/* Age at which this instance's own load is recomputed. */
#define OWN_LOAD_MS 50

#define US_PER_MS 1000.0

/* Last known state of an instance. */
typedef struct {
    GPtrArray *loads; /* of BsLoad, less what was forwarded since the digest */
    GPtrArray *paces; /* of BsPace */
    uint64_t incarnation;
    int64_t digest_ms; /* arrival of the newest digest, or last update of this
                          instance's own load; 0 for none */
    int64_t last_received_ms; /* arrival of the last message */
    int64_t unanswered_ms; /* last unanswered request; 0 after any message */
    bool draining;
} BsPeer;

struct BsDigests {
    BsCore *core;
    GHashTable *peers; /* name to BsPeer */
    int64_t sent_ms;
    uint64_t list_revision; /* list that PEERS was last checked against */
};

static void
S_destroy_peer(void *data)
{
    BsPeer *peer = data;
    g_ptr_array_unref(peer->loads);
    g_ptr_array_unref(peer->paces);
    g_free(peer);
}

BsDigests *
BsDigests_Create(BsCore *core)
{
    BsDigests *digests = g_new0(BsDigests, 1);
    digests->core = core;
    digests->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_destroy_peer);
    return digests;
}

void
BsDigests_Destroy(BsDigests *digests)
{
    if (digests == NULL) {
        return;
    }
    g_hash_table_destroy(digests->peers);
    g_free(digests);
}

GPtrArray *
BsDigests_CreatePaces(void)
{
    return BsSchema_NewList(&bs_schema_pace);
}

static BsPeer *
S_find(const BsDigests *digests, const char *instance)
{
    return instance == NULL ? NULL
                            : g_hash_table_lookup(digests->peers, instance);
}

static BsPeer *
S_find_or_add(BsDigests *digests, const char *instance)
{
    BsPeer *peer = S_find(digests, instance);
    if (peer == NULL) {
        peer = g_new0(BsPeer, 1);
        peer->loads = BsSchema_NewList(&bs_schema_load);
        peer->paces = BsDigests_CreatePaces();
        g_hash_table_insert(digests->peers, g_strdup(instance), peer);
    }
    return peer;
}

/* Replaces the elements of TARGET by copies of those of SOURCE. */
static void
S_copy_list(GPtrArray *target, const GPtrArray *source, const BsSchema *schema)
{
    g_ptr_array_set_size(target, 0);
    for (guint i = 0; source != NULL && i < source->len; i++) {
        void *element = g_malloc0(schema->size_bytes);
        BsSchema_Copy(schema, element, source->pdata[i]);
        g_ptr_array_add(target, element);
    }
}

void
BsDigests_OnMessage(BsDigests *digests, const BsMessage *message)
{
    const BsDigest *digest = &message->u.digest;
    BsCore_Count(digests->core, "digests_received", 1);
    if (message->from == NULL ||
        BsMembers_Find(digests->core->members, message->from) == NULL) {
        return;
    }
    BsPeer *peer = S_find_or_add(digests, message->from);
    S_copy_list(peer->loads, digest->loads, &bs_schema_load);
    S_copy_list(peer->paces, digest->paces, &bs_schema_pace);
    peer->draining = digest->draining;
    peer->digest_ms = BsCore_NowMs(digests->core);
}

void
BsDigests_OnAnyMessage(BsDigests *digests, const BsMessage *message)
{
    if (message->from == NULL ||
        BsMembers_Find(digests->core->members, message->from) == NULL) {
        return;
    }
    BsPeer *peer = S_find_or_add(digests, message->from);
    peer->last_received_ms = BsCore_NowMs(digests->core);
    peer->unanswered_ms = 0;
    if (peer->incarnation != message->from_incarnation) {
        peer->incarnation = message->from_incarnation;
        peer->draining = false;
        g_ptr_array_set_size(peer->loads, 0);
    }
}

void
BsDigests_OnUnanswered(BsDigests *digests, const char *instance)
{
    BsPeer *peer = S_find_or_add(digests, instance);
    if (peer->unanswered_ms == 0) {
        BsCore_Count(digests->core, "peers_silent", 1);
    }
    peer->unanswered_ms = BsCore_NowMs(digests->core);
}

static BsLoad *
S_find_load(const BsPeer *peer, const char *serves)
{
    for (guint i = 0; i < peer->loads->len; i++) {
        BsLoad *load = peer->loads->pdata[i];
        if (g_strcmp0(load->serves, serves) == 0) {
            return load;
        }
    }
    return NULL;
}

void
BsDigests_OnForward(BsDigests *digests, const char *instance,
                    const char *serves, uint32_t tokens)
{
    const BsPeer *peer = S_find(digests, instance);
    BsLoad *load = peer == NULL ? NULL : S_find_load(peer, serves);
    if (load == NULL) {
        return;
    }
    load->free_tokens -= tokens;
    if (load->free_slots > 0) {
        load->free_slots--;
    }
    else {
        load->waiting++;
    }
}

int64_t
BsDigests_LastSeenMs(const BsDigests *digests, const char *instance)
{
    const BsPeer *peer = S_find(digests, instance);
    return peer == NULL ? 0 : peer->last_received_ms;
}

uint64_t
BsDigests_Incarnation(const BsDigests *digests, const char *instance)
{
    const BsPeer *peer = S_find(digests, instance);
    return peer == NULL ? 0 : peer->incarnation;
}

bool
BsDigests_IsUnavailable(const BsDigests *digests, const char *instance)
{
    const BsPeer *peer = S_find(digests, instance);
    if (peer == NULL) {
        return false;
    }
    int64_t now_ms = BsCore_NowMs(digests->core);
    bool unresponsive = peer->unanswered_ms != 0 &&
                        now_ms - peer->unanswered_ms < UNRESPONSIVE_MS;
    return unresponsive || peer->draining;
}

/* Recomputes this instance's own load: it sends itself no digests. */
static void
S_refresh_own(const BsDigests *digests)
{
    BsCore *core = digests->core;
    BsPeer *self = S_find_or_add((BsDigests *)digests, core->config.name);
    int64_t now_ms = BsCore_NowMs(core);
    if (self->digest_ms != 0 && now_ms - self->digest_ms < OWN_LOAD_MS) {
        return;
    }
    g_ptr_array_set_size(self->loads, 0);
    BsOwner_AppendLoads(core->owner, self->loads);
    self->digest_ms = now_ms;
}

const BsLoad *
BsDigests_FindLoad(const BsDigests *digests, const char *instance,
                   const char *serves, int64_t *age_ms)
{
    if (g_strcmp0(instance, digests->core->config.name) == 0) {
        S_refresh_own(digests);
    }
    const BsPeer *peer = S_find(digests, instance);
    if (peer == NULL || peer->digest_ms == 0) {
        return NULL;
    }
    int64_t age = BsCore_NowMs(digests->core) - peer->digest_ms;
    if (age_ms != NULL) {
        *age_ms = age;
    }
    return age > DIGEST_MAX_AGE_MS ? NULL : S_find_load(peer, serves);
}

static int
S_compare_u32(gconstpointer a, gconstpointer b)
{
    guint32 left = *(const guint32 *)a;
    guint32 right = *(const guint32 *)b;
    return (left > right) - (left < right);
}

static void
S_add_paces(GArray *values, const GPtrArray *paces, const char *generation)
{
    for (guint i = 0; i < paces->len; i++) {
        const BsPace *pace = paces->pdata[i];
        if (g_strcmp0(pace->generation, generation) == 0) {
            g_array_append_val(values, pace->inter_token_us);
        }
    }
}

double
BsDigests_GenerationMs(const BsDigests *digests, const char *generation,
                       const GPtrArray *own)
{
    if (generation == NULL) {
        return 0.0;
    }
    GArray *values = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer value;
    int64_t now_ms = BsCore_NowMs(digests->core);
    g_hash_table_iter_init(&iter, digests->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsPeer *peer = value;
        if (now_ms - peer->digest_ms <= DIGEST_MAX_AGE_MS) {
            S_add_paces(values, peer->paces, generation);
        }
    }
    S_add_paces(values, own, generation);
    g_array_sort(values, S_compare_u32);
    double median_ms = 0.0;
    if (values->len > 0) {
        guint middle = (values->len - 1) / 2;
        median_ms = g_array_index(values, uint32_t, middle) / US_PER_MS;
    }
    g_array_free(values, TRUE);
    return median_ms;
}

/* Removes the peers that are no longer on the instance list. */
static void
S_drop_unlisted(BsDigests *digests)
{
    uint64_t revision = BsMembers_Revision(digests->core->members);
    GHashTableIter iter;
    gpointer key;
    if (revision == digests->list_revision) {
        return;
    }
    digests->list_revision = revision;
    g_hash_table_iter_init(&iter, digests->peers);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (BsMembers_Find(digests->core->members, key) == NULL) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static BsMessage *
S_create_digest(const BsDigests *digests)
{
    BsCore *core = digests->core;
    BsMessage *message = BsMessage_Create(BS_DIGEST);
    BsDigest *digest = &message->u.digest;
    digest->sheet_revision = BsSheetStore_Revision(core->sheets);
    digest->list_revision = BsMembers_Revision(core->members);
    digest->loads = BsSchema_NewList(&bs_schema_load);
    digest->paces = BsDigests_CreatePaces();
    BsOwner_AppendLoads(core->owner, digest->loads);
    BsOwner_AppendPaces(core->owner, NULL, digest->paces);
    return message;
}

/* Returns a random sample of up to COUNT other instances of the list. */
static GPtrArray *
S_sample_peers(const BsDigests *digests, guint count)
{
    const BsCore *core = digests->core;
    const BsList *list = BsMembers_List(core->members);
    GPtrArray *peers = g_ptr_array_new();
    for (guint i = 0; list != NULL && i < list->entries->len; i++) {
        BsListEntry *entry = list->entries->pdata[i];
        if (entry->kind == BS_NODE_INSTANCE &&
            strcmp(entry->name, core->config.name) != 0) {
            g_ptr_array_add(peers, entry->name);
        }
    }
    for (guint i = 0; i < MIN(count, peers->len); i++) {
        guint other = (guint)g_rand_int_range(core->random, (gint32)i,
                                              (gint32)peers->len);
        gpointer name = peers->pdata[other];
        peers->pdata[other] = peers->pdata[i];
        peers->pdata[i] = name;
    }
    g_ptr_array_set_size(peers, (gint)MIN(count, peers->len));
    return peers;
}

void
BsDigests_OnTick(BsDigests *digests)
{
    BsCore *core = digests->core;
    int64_t now_ms = BsCore_NowMs(core);
    if (now_ms - digests->sent_ms < core->config.digest_ms) {
        return;
    }
    digests->sent_ms = now_ms;
    S_drop_unlisted(digests);
    GPtrArray *peers = S_sample_peers(digests, FANOUT);
    for (guint i = 0; i < peers->len; i++) {
        BsCore_Send(core, peers->pdata[i], 0, S_create_digest(digests));
    }
    BsCore_Count(core, "digests_sent", peers->len);
    g_ptr_array_unref(peers);
}
