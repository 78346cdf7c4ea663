/* contact.c - probes between instances, and which incarnations are valid. */
#include "contact.h"

#include "sheetstore.h"

#include <string.h>

/* Number of the latest rounds of probes whose sending times are kept; replies
   to older ones grant and deny nothing. */
#define ROUNDS_MAX 16

struct BsContact {
    BsCore *core;
    GHashTable *peers;  /* name to BsContactPeer */
    GHashTable *denied; /* set of uint64_t incarnations */
    BsReplacedFunc replaced;
    void *context;
    int64_t started_ms;
    uint64_t seq;                /* of the last round of probes */
    int64_t sent_ms[ROUNDS_MAX]; /* of each round, by SEQ modulo ROUNDS_MAX */
};

static void
S_destroy_peer(void *data)
{
    BsContactPeer *peer = data;
    g_free(peer->name);
    g_free(peer);
}

BsContact *
BsContact_Create(BsCore *core, BsReplacedFunc replaced, void *context)
{
    BsContact *contact = g_new0(BsContact, 1);
    contact->core = core;
    contact->replaced = replaced;
    contact->context = context;
    contact->started_ms = BsCore_NowMs(core);
    contact->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_peer);
    contact->denied =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return contact;
}

void
BsContact_Destroy(BsContact *contact)
{
    if (contact == NULL) {
        return;
    }
    g_hash_table_destroy(contact->peers);
    g_hash_table_destroy(contact->denied);
    g_free(contact);
}

BsContactPeer *
BsContact_Peer(BsContact *contact, const char *name)
{
    BsContactPeer *peer = g_hash_table_lookup(contact->peers, name);
    if (peer == NULL) {
        peer = g_new0(BsContactPeer, 1);
        peer->name = g_strdup(name);
        g_hash_table_insert(contact->peers, peer->name, peer);
    }
    return peer;
}

void
BsContact_Deny(BsContact *contact, uint64_t incarnation)
{
    uint64_t *key = g_new(uint64_t, 1);
    *key = incarnation;
    g_hash_table_replace(contact->denied, key, key);
}

static bool
S_is_denied(const BsContact *contact, uint64_t incarnation)
{
    return g_hash_table_contains(contact->denied, &incarnation);
}

static void
S_replace(BsContact *contact, BsContactPeer *peer, uint64_t incarnation,
          int64_t started_ms)
{
    uint64_t old = peer->incarnation;
    peer->incarnation = incarnation;
    peer->started_ms = started_ms;
    peer->settled_ms = 0;
    BsCore_Count(contact->core, "instances_replaced", 1);
    BsContact_Deny(contact, old);
    contact->replaced(peer->name, old, contact->context);
}

bool
BsContact_NoteSender(BsContact *contact, const BsMessage *message,
                     int64_t age_ms)
{
    uint64_t incarnation = message->from_incarnation;
    if (message->from == NULL || incarnation == 0 ||
        S_is_denied(contact, incarnation)) {
        return false;
    }
    BsContactPeer *peer = BsContact_Peer(contact, message->from);
    int64_t started_ms = BsCore_NowMs(contact->core) - age_ms;
    if (peer->incarnation == 0) {
        peer->incarnation = incarnation;
        peer->started_ms = started_ms;
    }
    else if (peer->incarnation == incarnation) {
        peer->started_ms = MIN(peer->started_ms, started_ms);
    }
    else if (started_ms > peer->started_ms) {
        S_replace(contact, peer, incarnation, started_ms);
    }
    return peer->incarnation == incarnation;
}

void
BsContact_OnView(BsContact *contact, const BsView *older, const BsView *newer)
{
    const GPtrArray *entries = BsView_List(older)->entries;
    for (guint i = 0; i < entries->len; i++) {
        const BsListEntry *entry = entries->pdata[i];
        if (!BsView_IsLive(newer, entry->name)) {
            BsContact_Peer(contact, entry->name)->absent_revision =
                BsView_Revision(newer);
        }
    }
}

/* Fills in the state of this instance that probes and replies have in common.
 */
static void
S_fill(BsContact *contact, BsProbe *probe)
{
    BsCore *core = contact->core;
    probe->list_revision = BsMembers_Revision(core->members);
    probe->sheet_revision = BsSheetStore_Revision(core->sheets);
    probe->sheet_hash = BsSheetStore_Hash(core->sheets);
    probe->age_ms = BsCore_NowMs(core) - contact->started_ms;
}

void
BsContact_Probe(BsContact *contact, GHashTable *targets,
                uint64_t settled_revision)
{
    GHashTableIter iter;
    gpointer name;
    contact->seq++;
    contact->sent_ms[contact->seq % ROUNDS_MAX] = BsCore_NowMs(contact->core);
    g_hash_table_iter_init(&iter, targets);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        BsMessage *message = BsMessage_Create(BS_PROBE);
        S_fill(contact, &message->u.probe);
        message->u.probe.seq = contact->seq;
        message->u.probe.settled_revision = settled_revision;
        BsCore_Send(contact->core, name, 0, message);
    }
}

/* Returns whether contact is denied to the sender of the probe MESSAGE. */
static bool
S_denies(BsContact *contact, const BsMessage *message)
{
    const BsProbe *probe = &message->u.probe;
    if (!BsContact_NoteSender(contact, message, probe->age_ms)) {
        return true;
    }
    const BsMembers *members = contact->core->members;
    const BsListEntry *entry = BsMembers_Find(members, message->from);
    if (entry == NULL || entry->kind != BS_NODE_INSTANCE) {
        return true;
    }
    return probe->settled_revision > 0 &&
           BsContact_Peer(contact, message->from)->absent_revision >
               probe->settled_revision;
}

void
BsContact_OnProbe(BsContact *contact, const BsMessage *message)
{
    if (message->from == NULL) {
        BsCore_Count(contact->core, "peer_messages_dropped", 1);
        return;
    }
    BsMessage *reply = BsMessage_Create(BS_PROBE_REPLY);
    S_fill(contact, &reply->u.probe);
    reply->u.probe.seq = message->u.probe.seq;
    reply->u.probe.denied = S_denies(contact, message);
    BsCore_Send(contact->core, message->from, message->from_incarnation,
                reply);
}

bool
BsContact_OnReply(BsContact *contact, const BsMessage *message)
{
    const BsProbe *probe = &message->u.probe;
    if (!BsContact_NoteSender(contact, message, probe->age_ms) ||
        probe->seq > contact->seq || probe->seq + ROUNDS_MAX <= contact->seq) {
        return false;
    }
    if (probe->denied) {
        BsCore_Count(contact->core, "contacts_denied", 1);
        return true;
    }
    if (probe->list_revision > BsMembers_Revision(contact->core->members)) {
        return false; /* no grant until this instance has that list */
    }
    BsContactPeer *peer = BsContact_Peer(contact, message->from);
    int64_t sent_ms = contact->sent_ms[probe->seq % ROUNDS_MAX];
    if (peer->grant_incarnation != message->from_incarnation ||
        sent_ms > peer->grant_ms) {
        peer->grant_ms = sent_ms;
        peer->grant_incarnation = message->from_incarnation;
    }
    return false;
}

static bool
S_is_granted(BsContact *contact, const char *name, bool counted)
{
    if (strcmp(name, contact->core->config.name) == 0) {
        return true;
    }
    const BsContactPeer *peer = g_hash_table_lookup(contact->peers, name);
    if (peer == NULL || peer->grant_incarnation == 0 ||
        peer->grant_incarnation != peer->incarnation ||
        (counted && peer->grant_incarnation != peer->settled_incarnation)) {
        return false;
    }
    return BsCore_NowMs(contact->core) <
           peer->grant_ms + contact->core->config.lease_ms;
}

bool
BsContact_HasQuorum(BsContact *contact, const BsView *view, bool counted)
{
    guint needed;
    guint granted = 0;
    GPtrArray *lessors =
        BsView_Lessors(view, contact->core->config.name, &needed);
    for (guint i = 0; i < lessors->len; i++) {
        granted += S_is_granted(contact, lessors->pdata[i], counted) ? 1 : 0;
    }
    g_ptr_array_unref(lessors);
    return granted >= needed;
}
