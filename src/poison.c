/* poison.c - requests that crash the upstreams running them. */
#include "poison.h"

#include <string.h>

/* Number of crashes at which a request is quarantined. */
#define CRASHES_MAX 2

/* Time after its last crash for which a request stays suspect or
   quarantined. */
#define SUSPICION_MS (600 * 1000)

/* Size limit of the table of suspects. */
#define SUSPECTS_MAX 4096

/* Number of peers that a change is sent to.  A peer to which it is new sends
   it on to as many. */
#define FANOUT 8

/* Suspects sent in reply to one digest that shows fewer. */
#define CATCH_UP_MAX 32

/* Hexadecimal digits of a fingerprint. */
#define FINGERPRINT_DIGITS 32

typedef struct {
    char *fingerprint;
    GHashTable *crashes; /* instance to the number of crashes it counted */
    int64_t changed_ms;
} BsSuspicion;

struct BsPoison {
    BsCore *core;
    GHashTable *suspicions; /* fingerprint to BsSuspicion */
};

static void
S_destroy_suspicion(void *data)
{
    BsSuspicion *suspicion = data;
    g_free(suspicion->fingerprint);
    g_hash_table_destroy(suspicion->crashes);
    g_free(suspicion);
}

BsPoison *
BsPoison_Create(BsCore *core)
{
    BsPoison *poison = g_new0(BsPoison, 1);
    poison->core = core;
    poison->suspicions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                               S_destroy_suspicion);
    return poison;
}

void
BsPoison_Destroy(BsPoison *poison)
{
    if (poison == NULL) {
        return;
    }
    g_hash_table_destroy(poison->suspicions);
    g_free(poison);
}

uint32_t
BsPoison_Count(const BsPoison *poison)
{
    return g_hash_table_size(poison->suspicions);
}

static void
S_update(GChecksum *checksum, const char *text)
{
    const char *part = text == NULL ? "" : text;
    g_checksum_update(checksum, (const guchar *)part,
                      (gssize)strlen(part) + 1);
}

static char *
S_fingerprint(const BsRequest *request)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    S_update(checksum, request->account);
    S_update(checksum, request->service);
    S_update(checksum, request->model);
    S_update(checksum, request->path);
    if (request->body != NULL) {
        gsize size;
        const void *data = g_bytes_get_data(request->body, &size);
        g_checksum_update(checksum, data, (gssize)size);
    }
    char *fingerprint =
        g_strndup(g_checksum_get_string(checksum), FINGERPRINT_DIGITS);
    g_checksum_free(checksum);
    return fingerprint;
}

static uint32_t
S_total(const BsSuspicion *suspicion)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t total = 0;
    g_hash_table_iter_init(&iter, suspicion->crashes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        total += GPOINTER_TO_UINT(value);
    }
    return total;
}

static BsPoisonVerdict
S_verdict(uint32_t crashes)
{
    return crashes >= CRASHES_MAX ? BS_POISON_QUARANTINED
           : crashes > 0          ? BS_POISON_SUSPECT
                                  : BS_POISON_CLEAN;
}

BsPoisonVerdict
BsPoison_Judge(BsPoison *poison, const BsRequest *request)
{
    uint32_t crashes = request->crashes;
    if (BsPoison_Count(poison) > 0) {
        char *fingerprint = S_fingerprint(request);
        const BsSuspicion *suspicion =
            g_hash_table_lookup(poison->suspicions, fingerprint);
        if (suspicion != NULL) {
            crashes = MAX(crashes, S_total(suspicion));
        }
        g_free(fingerprint);
    }
    return S_verdict(crashes);
}

static BsMessage *
S_create_message(const char *fingerprint, const char *instance,
                 uint32_t crashes, bool cleared)
{
    BsMessage *message = BsMessage_Create(BS_SUSPECT);
    message->u.suspect.fingerprint = g_strdup(fingerprint);
    message->u.suspect.instance = g_strdup(instance);
    message->u.suspect.crashes = crashes;
    message->u.suspect.cleared = cleared;
    return message;
}

/* Sends MESSAGE to FANOUT random instances and destroys it. */
static void
S_gossip(BsPoison *poison, BsMessage *message)
{
    BsCore *core = poison->core;
    const BsList *list = BsMembers_List(core->members);
    GPtrArray *peers = g_ptr_array_new();
    for (guint i = 0; list != NULL && i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        if (entry->kind == BS_NODE_INSTANCE &&
            strcmp(entry->name, core->config.name) != 0) {
            g_ptr_array_add(peers, entry->name);
        }
    }
    for (guint sent = 0; sent < FANOUT && peers->len > 0; sent++) {
        guint pick =
            (guint)g_rand_int_range(core->random, 0, (gint32)peers->len);
        const char *peer = g_ptr_array_steal_index_fast(peers, pick);
        BsCore_Send(core, peer, 0, BsMessage_Copy(message));
    }
    g_ptr_array_unref(peers);
    BsMessage_Destroy(message);
}

static BsSuspicion *
S_find_or_add(BsPoison *poison, const char *fingerprint)
{
    BsSuspicion *suspicion =
        g_hash_table_lookup(poison->suspicions, fingerprint);
    if (suspicion != NULL) {
        return suspicion;
    }
    if (BsPoison_Count(poison) >= SUSPECTS_MAX) {
        BsCore_Count(poison->core, "suspects_without_room", 1);
        return NULL;
    }
    suspicion = g_new0(BsSuspicion, 1);
    suspicion->fingerprint = g_strdup(fingerprint);
    suspicion->crashes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(poison->suspicions, suspicion->fingerprint, suspicion);
    return suspicion;
}

/* Records that INSTANCE counted CRASHES; returns whether its count rose. */
static bool
S_record_crashes(BsPoison *poison, const char *fingerprint,
                 const char *instance, uint32_t crashes)
{
    BsSuspicion *suspicion = S_find_or_add(poison, fingerprint);
    if (suspicion == NULL) {
        return false;
    }
    uint32_t known =
        GPOINTER_TO_UINT(g_hash_table_lookup(suspicion->crashes, instance));
    if (crashes <= known) {
        return false;
    }
    bool quarantined = S_total(suspicion) >= CRASHES_MAX;
    g_hash_table_insert(suspicion->crashes, g_strdup(instance),
                        GUINT_TO_POINTER(crashes));
    suspicion->changed_ms = BsCore_NowMs(poison->core);
    if (!quarantined && S_total(suspicion) >= CRASHES_MAX) {
        BsCore_Count(poison->core, "requests_quarantined", 1);
    }
    return true;
}

void
BsPoison_OnCrash(BsPoison *poison, const BsRequest *request)
{
    const char *self = poison->core->config.name;
    char *fingerprint = S_fingerprint(request);
    const BsSuspicion *suspicion =
        g_hash_table_lookup(poison->suspicions, fingerprint);
    uint32_t counted =
        suspicion == NULL
            ? 0
            : GPOINTER_TO_UINT(g_hash_table_lookup(suspicion->crashes, self));
    if (S_record_crashes(poison, fingerprint, self, counted + 1)) {
        S_gossip(poison,
                 S_create_message(fingerprint, self, counted + 1, false));
    }
    g_free(fingerprint);
}

/* Removes a suspicion below quarantine; returns whether there was one. */
static bool
S_clear(BsPoison *poison, const char *fingerprint)
{
    const BsSuspicion *suspicion =
        g_hash_table_lookup(poison->suspicions, fingerprint);
    if (suspicion == NULL || S_total(suspicion) >= CRASHES_MAX) {
        return false;
    }
    BsCore_Count(poison->core, "suspects_cleared", 1);
    g_hash_table_remove(poison->suspicions, fingerprint);
    return true;
}

void
BsPoison_OnFinish(BsPoison *poison, const BsRequest *request)
{
    if (BsPoison_Count(poison) == 0) {
        return;
    }
    char *fingerprint = S_fingerprint(request);
    if (S_clear(poison, fingerprint)) {
        S_gossip(poison, S_create_message(fingerprint,
                                          poison->core->config.name, 0, true));
    }
    g_free(fingerprint);
}

void
BsPoison_OnMessage(BsPoison *poison, const BsMessage *message)
{
    const BsSuspect *suspect = &message->u.suspect;
    if (suspect->fingerprint == NULL || suspect->instance == NULL) {
        BsCore_Count(poison->core, "peer_messages_dropped", 1);
        return;
    }
    bool changed = suspect->cleared
                       ? S_clear(poison, suspect->fingerprint)
                       : S_record_crashes(poison, suspect->fingerprint,
                                          suspect->instance, suspect->crashes);
    if (changed) {
        S_gossip(poison,
                 S_create_message(suspect->fingerprint, suspect->instance,
                                  suspect->crashes, suspect->cleared));
    }
}

/* Sends the crash counts of SUSPICION to PEER, one message per instance. */
static void
S_send_suspicion(BsPoison *poison, const BsSuspicion *suspicion,
                 const char *peer)
{
    GHashTableIter iter;
    gpointer instance;
    gpointer crashes;
    g_hash_table_iter_init(&iter, suspicion->crashes);
    while (g_hash_table_iter_next(&iter, &instance, &crashes)) {
        BsCore_Send(poison->core, peer, 0,
                    S_create_message(suspicion->fingerprint, instance,
                                     GPOINTER_TO_UINT(crashes), false));
    }
}

void
BsPoison_OnDigest(BsPoison *poison, const BsMessage *message)
{
    if (message->u.digest.suspects >= BsPoison_Count(poison)) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    uint32_t sent = 0;
    g_hash_table_iter_init(&iter, poison->suspicions);
    while (sent++ < CATCH_UP_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        S_send_suspicion(poison, value, message->from);
    }
}

void
BsPoison_OnTick(BsPoison *poison)
{
    int64_t oldest_ms = BsCore_NowMs(poison->core) - SUSPICION_MS;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, poison->suspicions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsSuspicion *suspicion = value;
        if (suspicion->changed_ms < oldest_ms) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
