/* streamversions.c - which software version began a stream. */
#include "streamversions.h"

#include <string.h>
#include <xxhash.h>

/* Longest life of a stream until BsStreamVersions_SetLife() is called. */
#define DEFAULT_LIFE_MS (120 * 1000)

/* Most records, versions of a service and services that are remembered. */
#define RECORDS_MAX (1U << 18)
#define VERSIONS_MAX 16
#define SERVICES_MAX 1024

/* A record is sent again after this time, as the first datagram may be lost
   and the instance may not live to be asked. */
#define REPEAT_MS 200

/* How often others are told that the version of a stream is not sure. */
#define DOUBT_SENDS 2

/* How often, and at which interval, a new version is announced. */
#define ANNOUNCEMENTS 3
#define ANNOUNCE_INTERVAL_MS 50

/* A version noted within this time is in service now. */
#define IN_SERVICE_MS 1000

/* The list of upstreams is known while it is at most this old. */
#define CURRENT_MS 2000

/* A fleet that starts as a whole needs this long at most until all hear each
   other. */
#define START_MS 5000

#define SERVICE_SHIFT 32

/* Bits of an upstream's hash in a record; they keep the record at 40 bytes. */
#define UPSTREAM_BITS 30
#define UPSTREAM_MASK ((1U << UPSTREAM_BITS) - 1)

/* The version of a stream for which two records of the same generation name
   different ones. */
#define AMBIGUOUS 0

/* A record; in the list of all, the ones noted earlier come first. */
typedef struct BsStreamEntry BsStreamEntry;
struct BsStreamEntry {
    uint64_t key; /* the first member: the table's key */
    uint64_t version;
    int64_t noted_ms;
    BsStreamEntry *next;
    uint32_t generation;
    uint32_t upstream : UPSTREAM_BITS; /* where it was sent; 0: any */
    uint32_t own : 1;                  /* noted by this instance */
    uint32_t unsent : 1;               /* in the queue */
};

/* A record that is to be sent again. */
typedef struct {
    uint64_t key;
    int64_t due_ms;
} BsStreamRepeat;

/* A stream that may have begun at either version.  Two records of the same
   generation tell others so. */
typedef struct {
    BsStreamRecord records[2];
    int64_t due_ms;
    uint32_t sends; /* that are left */
} BsStreamDoubt;

typedef struct {
    uint64_t version;
    int64_t noted_ms;       /* when it was last listed or named */
    int64_t announce_ms;    /* when it is announced next */
    uint32_t announcements; /* that are left */
} BsServedVersion;

typedef struct {
    uint32_t service;
    uint32_t count; /* elements used in VERSIONS */
    BsServedVersion versions[VERSIONS_MAX];
    bool shared;   /* own records of it are sent to others */
    bool reported; /* BsStreamVersions_EachChange() told that it is mixed */
} BsServedService;

struct BsStreamVersions {
    GHashTable *entries;  /* set of BsStreamEntry, which it owns */
    GHashTable *services; /* service to BsServedService, which it owns */
    BsStreamEntry *first;
    BsStreamEntry *last;
    GArray *unsent;  /* keys of own records, uint64_t */
    GArray *repeats; /* BsStreamRepeat, by due_ms */
    GArray *doubts;  /* BsStreamDoubt */
    int64_t life_ms;
    bool life_set;                 /* false: LIFE_MS is the default */
    int64_t earlier_life_ms;       /* a longer one, valid until ... */
    int64_t earlier_life_until_ms; /* ... this time */
    int64_t current_ms; /* the list is known to be that of this time */
    int64_t gap_ms;     /* end of the last gap */
    int64_t started_ms;
    bool unheard; /* a part of the fleet was never heard */
    uint64_t dropped;
};

BsStreamVersions *
BsStreamVersions_Create(int64_t now_ms)
{
    BsStreamVersions *versions = g_new0(BsStreamVersions, 1);
    versions->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    versions->services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    versions->unsent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    versions->repeats = g_array_new(FALSE, FALSE, sizeof(BsStreamRepeat));
    versions->doubts = g_array_new(FALSE, FALSE, sizeof(BsStreamDoubt));
    versions->life_ms = DEFAULT_LIFE_MS;
    versions->earlier_life_until_ms = now_ms;
    versions->current_ms = now_ms;
    versions->gap_ms = now_ms;
    versions->started_ms = now_ms;
    return versions;
}

void
BsStreamVersions_Destroy(BsStreamVersions *versions)
{
    if (versions == NULL) {
        return;
    }
    g_hash_table_destroy(versions->entries);
    g_hash_table_destroy(versions->services);
    g_array_unref(versions->unsent);
    g_array_unref(versions->repeats);
    g_array_unref(versions->doubts);
    g_free(versions);
}

/* ------------------------------------------------------------ hashes -- */

uint64_t
BsStreamVersions_Key(const char *service, const char *account,
                     const char *request_id)
{
    uint64_t key = XXH3_64bits(service, strlen(service));
    if (account != NULL) {
        key = XXH3_64bits_withSeed(account, strlen(account), key + 1);
    }
    return XXH3_64bits_withSeed(request_id, strlen(request_id), key);
}

uint32_t
BsStreamVersions_HashService(const char *service)
{
    return MAX((uint32_t)XXH3_64bits(service, strlen(service)), 1);
}

uint64_t
BsStreamVersions_Hash(const char *service, const char *version)
{
    const char *text = version == NULL ? "" : version;
    return (uint64_t)BsStreamVersions_HashService(service) << SERVICE_SHIFT |
           (uint32_t)XXH3_64bits(text, strlen(text));
}

uint32_t
BsStreamVersions_Service(uint64_t version)
{
    return (uint32_t)(version >> SERVICE_SHIFT);
}

/* ------------------------------------------------- versions in service -- */

void
BsStreamVersions_SetLife(BsStreamVersions *versions, int64_t life_ms,
                         int64_t now_ms)
{
    if (life_ms == versions->life_ms && versions->life_set) {
        return;
    }
    if (!versions->life_set) {
        versions->life_set = true;
        versions->life_ms = life_ms;
        return;
    }
    bool longer = versions->life_ms >= versions->earlier_life_ms ||
                  now_ms >= versions->earlier_life_until_ms;
    if (longer) {
        versions->earlier_life_ms = versions->life_ms;
    }
    versions->earlier_life_until_ms = now_ms + versions->earlier_life_ms;
    versions->life_ms = life_ms;
}

static int64_t
S_life_ms(const BsStreamVersions *versions, int64_t now_ms)
{
    return now_ms < versions->earlier_life_until_ms
               ? MAX(versions->life_ms, versions->earlier_life_ms)
               : versions->life_ms;
}

static bool
S_had_gap(const BsStreamVersions *versions, int64_t now_ms)
{
    return versions->unheard || now_ms - versions->current_ms > CURRENT_MS ||
           now_ms - versions->gap_ms <= S_life_ms(versions, now_ms);
}

static BsServedService *
S_find_service(const BsStreamVersions *versions, uint32_t service)
{
    return g_hash_table_lookup(versions->services, GUINT_TO_POINTER(service));
}

/* Returns how many versions of SERVED count, and one of them. */
static uint32_t
S_count_versions(const BsStreamVersions *versions,
                 const BsServedService *served, int64_t now_ms,
                 uint64_t *version)
{
    int64_t life_ms = S_life_ms(versions, now_ms);
    uint32_t count = 0;
    for (uint32_t i = 0; i < served->count; i++) {
        if (now_ms - served->versions[i].noted_ms <= life_ms) {
            *version = served->versions[i].version;
            count++;
        }
    }
    return count;
}

static bool
S_is_mixed(const BsStreamVersions *versions, const BsServedService *served,
           int64_t now_ms)
{
    uint64_t version;
    return S_had_gap(versions, now_ms) ||
           S_count_versions(versions, served, now_ms, &version) > 1;
}

bool
BsStreamVersions_IsMixed(const BsStreamVersions *versions, uint32_t service,
                         int64_t now_ms)
{
    const BsServedService *served = S_find_service(versions, service);
    return served == NULL ? S_had_gap(versions, now_ms)
                          : S_is_mixed(versions, served, now_ms);
}

/* Removes the versions of SERVED that no longer count.  While the list is old,
   also because the process was paused, none was noted, so none expires. */
static void
S_expire_versions(const BsStreamVersions *versions, BsServedService *served,
                  int64_t now_ms)
{
    if (now_ms - versions->current_ms > CURRENT_MS) {
        return;
    }
    int64_t life_ms = S_life_ms(versions, now_ms);
    uint32_t kept = 0;
    for (uint32_t i = 0; i < served->count; i++) {
        if (now_ms - served->versions[i].noted_ms <= life_ms) {
            served->versions[kept++] = served->versions[i];
        }
    }
    served->count = kept;
}

/* Returns SERVICE, which is created when there is none; NULL when there are
   too many. */
static BsServedService *
S_find_or_add(BsStreamVersions *versions, uint32_t service)
{
    BsServedService *served = S_find_service(versions, service);
    if (served == NULL &&
        g_hash_table_size(versions->services) < SERVICES_MAX) {
        served = g_new0(BsServedService, 1);
        served->service = service;
        g_hash_table_insert(versions->services, GUINT_TO_POINTER(service),
                            served);
    }
    return served;
}

void
BsStreamVersions_NoteServing(BsStreamVersions *versions, uint64_t version,
                             int64_t now_ms)
{
    BsServedService *served =
        S_find_or_add(versions, BsStreamVersions_Service(version));
    if (served == NULL) {
        BsStreamVersions_NoteGap(versions, now_ms);
        return;
    }
    for (uint32_t i = 0; i < served->count; i++) {
        if (served->versions[i].version == version) {
            served->versions[i].noted_ms = now_ms;
            return;
        }
    }
    S_expire_versions(versions, served, now_ms);
    if (served->count == VERSIONS_MAX) {
        BsStreamVersions_NoteGap(versions, now_ms);
        return;
    }
    served->versions[served->count] = (BsServedVersion){
        .version = version,
        .noted_ms = now_ms,
        .announce_ms = now_ms,
        .announcements = served->count > 0 ? ANNOUNCEMENTS : 0,
    };
    served->count++;
}

void
BsStreamVersions_NoteGap(BsStreamVersions *versions, int64_t now_ms)
{
    versions->gap_ms = MAX(versions->gap_ms, now_ms);
}

void
BsStreamVersions_NoteUnreachable(BsStreamVersions *versions, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, versions->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsServedService *served = value;
        S_expire_versions(versions, served, now_ms);
        for (uint32_t i = 0; i < served->count; i++) {
            served->versions[i].noted_ms =
                MAX(served->versions[i].noted_ms, now_ms);
        }
    }
}

void
BsStreamVersions_NoteCurrent(BsStreamVersions *versions, int64_t current_ms)
{
    if (current_ms - versions->current_ms > CURRENT_MS) {
        BsStreamVersions_NoteGap(versions, current_ms);
        BsStreamVersions_NoteUnreachable(versions, current_ms);
    }
    versions->current_ms = MAX(versions->current_ms, current_ms);
}

void
BsStreamVersions_NoteUnheard(BsStreamVersions *versions, bool unheard,
                             int64_t now_ms)
{
    versions->unheard = unheard;
    if (unheard && now_ms - versions->started_ms > START_MS) {
        BsStreamVersions_NoteGap(versions, now_ms);
    }
}

void
BsStreamVersions_EachChange(BsStreamVersions *versions, int64_t now_ms,
                            void (*func)(uint32_t service, bool mixed,
                                         uint32_t versions_count,
                                         void *context),
                            void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, versions->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsServedService *served = value;
        uint64_t version;
        bool mixed = S_is_mixed(versions, served, now_ms);
        if (mixed != served->reported) {
            served->reported = mixed;
            func(served->service, mixed,
                 S_count_versions(versions, served, now_ms, &version),
                 context);
        }
    }
}

/* ----------------------------------------------------------- records -- */

static bool
S_is_expired(const BsStreamVersions *versions, const BsStreamEntry *entry,
             int64_t now_ms)
{
    return now_ms - entry->noted_ms > S_life_ms(versions, now_ms);
}

static void
S_append(BsStreamVersions *versions, BsStreamEntry *entry)
{
    entry->next = NULL;
    if (versions->last == NULL) {
        versions->first = entry;
    }
    else {
        versions->last->next = entry;
    }
    versions->last = entry;
}

static BsStreamEntry *
S_take_first(BsStreamVersions *versions)
{
    BsStreamEntry *entry = versions->first;
    versions->first = entry->next;
    if (versions->first == NULL) {
        versions->last = NULL;
    }
    return entry;
}

/* Drops the first records that have expired.  One that was noted again since
   it was appended moves to the end. */
static void
S_drop_expired(BsStreamVersions *versions, int64_t now_ms)
{
    int64_t previous_ms = INT64_MIN;
    while (versions->first != NULL) {
        BsStreamEntry *entry = versions->first;
        if (S_is_expired(versions, entry, now_ms)) {
            g_hash_table_remove(versions->entries, S_take_first(versions));
        }
        else if (entry->next != NULL &&
                 entry->noted_ms > entry->next->noted_ms &&
                 entry->noted_ms > previous_ms) {
            previous_ms = entry->noted_ms;
            S_append(versions, S_take_first(versions));
        }
        else {
            return;
        }
    }
}

static void
S_make_room(BsStreamVersions *versions, int64_t now_ms)
{
    S_drop_expired(versions, now_ms);
    if (g_hash_table_size(versions->entries) >= RECORDS_MAX) {
        g_hash_table_remove(versions->entries, S_take_first(versions));
        versions->dropped++;
    }
}

static void
S_queue(BsStreamVersions *versions, BsStreamEntry *entry)
{
    if (!entry->unsent) {
        entry->unsent = true;
        g_array_append_val(versions->unsent, entry->key);
    }
}

static BsStreamEntry *
S_add(BsStreamVersions *versions, const BsStreamRecord *record, int64_t now_ms)
{
    S_make_room(versions, now_ms);
    BsStreamEntry *entry = g_new0(BsStreamEntry, 1);
    entry->key = record->key;
    entry->version = record->version;
    entry->generation = record->generation;
    g_hash_table_add(versions->entries, entry);
    S_append(versions, entry);
    return entry;
}

/* Applies RECORD to ENTRY.  Returns whether that changed it. */
static bool
S_update(BsStreamEntry *entry, const BsStreamRecord *record)
{
    if (record->generation < entry->generation ||
        record->version == entry->version) {
        bool newer = record->generation > entry->generation;
        entry->generation = MAX(entry->generation, record->generation);
        return newer;
    }
    if (record->generation > entry->generation) {
        entry->version = record->version;
        entry->generation = record->generation;
        return true;
    }
    bool changed = entry->version != AMBIGUOUS;
    entry->version = AMBIGUOUS;
    return changed;
}

/* Applies RECORD, and sets *CHANGED if it says something new.  Returns its
   entry. */
static BsStreamEntry *
S_apply(BsStreamVersions *versions, const BsStreamRecord *record,
        int64_t now_ms, bool *changed)
{
    BsStreamEntry *entry =
        g_hash_table_lookup(versions->entries, &record->key);
    if (entry == NULL) {
        entry = S_add(versions, record, now_ms);
        *changed = true;
    }
    else if (S_is_expired(versions, entry, now_ms)) {
        entry->version = record->version;
        entry->generation = record->generation;
        entry->own = false;
        *changed = true;
    }
    else {
        *changed |= S_update(entry, record);
    }
    entry->noted_ms = now_ms;
    return entry;
}

void
BsStreamVersions_Note(BsStreamVersions *versions, const BsStreamRecord *record,
                      int64_t now_ms)
{
    bool changed = false;
    uint32_t service = BsStreamVersions_Service(record->version);
    BsStreamVersions_NoteServing(versions, record->version, now_ms);
    BsStreamEntry *entry = S_apply(versions, record, now_ms, &changed);
    entry->own = true;
    if (BsStreamVersions_IsMixed(versions, service, now_ms)) {
        S_queue(versions, entry);
    }
}

void
BsStreamVersions_NoteUpstream(BsStreamVersions *versions, uint64_t key,
                              uint32_t upstream, int64_t now_ms)
{
    BsStreamEntry *entry = g_hash_table_lookup(versions->entries, &key);
    if (entry != NULL && entry->own) {
        entry->upstream = upstream & UPSTREAM_MASK;
        entry->noted_ms = now_ms;
    }
}

/* Makes the version of ENTRY unknown: it may also be VERSION. */
static void
S_doubt(BsStreamVersions *versions, BsStreamEntry *entry, uint64_t version,
        int64_t now_ms)
{
    BsStreamDoubt doubt = {
        .records = {{entry->key, entry->version, entry->generation},
                    {entry->key, version, entry->generation}},
        .due_ms = now_ms,
        .sends = DOUBT_SENDS};
    const BsServedService *served =
        S_find_service(versions, BsStreamVersions_Service(version));
    entry->version = AMBIGUOUS;
    if (served != NULL && served->shared) {
        g_array_append_val(versions->doubts, doubt);
    }
}

int64_t
BsStreamVersions_NoteRestart(BsStreamVersions *versions, uint32_t upstream,
                             uint64_t version, int64_t now_ms)
{
    /* The list is that of CURRENT_MS, but for what others are behind. */
    int64_t since_ms = MIN(versions->current_ms, now_ms) - CURRENT_MS;
    for (BsStreamEntry *entry = versions->first; entry != NULL;
         entry = entry->next) {
        if (entry->own && entry->upstream == (upstream & UPSTREAM_MASK) &&
            entry->noted_ms >= since_ms && entry->version != AMBIGUOUS &&
            entry->version != version) {
            S_doubt(versions, entry, version, now_ms);
        }
    }
    return since_ms;
}

bool
BsStreamVersions_Merge(BsStreamVersions *versions, const GArray *records,
                       int64_t now_ms)
{
    bool changed = false;
    for (guint i = 0; i < records->len; i++) {
        const BsStreamRecord *record =
            &g_array_index(records, BsStreamRecord, i);
        if (BsStreamVersions_Service(record->version) == 0) {
            continue;
        }
        BsStreamVersions_NoteServing(versions, record->version, now_ms);
        if (record->key != 0) {
            S_apply(versions, record, now_ms, &changed);
        }
    }
    return changed;
}

BsStreamVersionState
BsStreamVersions_Find(const BsStreamVersions *versions, uint64_t key,
                      uint32_t service, int64_t now_ms, uint64_t *version)
{
    const BsStreamEntry *entry = g_hash_table_lookup(versions->entries, &key);
    if (entry != NULL && !S_is_expired(versions, entry, now_ms)) {
        *version = entry->version;
        return entry->version == AMBIGUOUS ? BS_STREAM_VERSION_UNKNOWN
                                           : BS_STREAM_VERSION_KNOWN;
    }
    const BsServedService *served = S_find_service(versions, service);
    if (served != NULL && !S_had_gap(versions, now_ms) &&
        S_count_versions(versions, served, now_ms, version) == 1) {
        return BS_STREAM_VERSION_KNOWN;
    }
    *version = 0;
    return BS_STREAM_VERSION_UNKNOWN;
}

void
BsStreamVersions_Answer(const BsStreamVersions *versions, GArray *questions,
                        int64_t now_ms, GArray *records)
{
    guint kept = 0;
    for (guint i = 0; i < questions->len; i++) {
        BsStreamQuestion question =
            g_array_index(questions, BsStreamQuestion, i);
        BsStreamRecord record = {.key = question.key};
        if (BsStreamVersions_Find(versions, question.key, question.service,
                                  now_ms, &record.version) ==
            BS_STREAM_VERSION_KNOWN) {
            const BsStreamEntry *entry =
                g_hash_table_lookup(versions->entries, &question.key);
            record.generation = entry == NULL ? 0 : entry->generation;
            g_array_append_val(records, record);
        }
        else {
            g_array_index(questions, BsStreamQuestion, kept++) = question;
        }
    }
    g_array_set_size(questions, kept);
}

/* ----------------------------------------------------------- sending -- */

/* Queues the own records of all services that are shared; with NEWLY, only of
   those that were not before. */
static void
S_queue_own(BsStreamVersions *versions, GHashTable *newly)
{
    for (BsStreamEntry *entry = versions->first; entry != NULL;
         entry = entry->next) {
        uint32_t service = BsStreamVersions_Service(entry->version);
        const BsServedService *served = S_find_service(versions, service);
        bool queued =
            newly != NULL
                ? g_hash_table_contains(newly, GUINT_TO_POINTER(service))
                : served != NULL && served->shared;
        if (entry->own && queued) {
            S_queue(versions, entry);
        }
    }
}

/* Queues the own records of the services that have become mixed. */
static void
S_update_shared(BsStreamVersions *versions, int64_t now_ms)
{
    GHashTable *newly = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, versions->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsServedService *served = value;
        bool mixed = S_is_mixed(versions, served, now_ms);
        if (mixed && !served->shared) {
            newly = newly == NULL ? g_hash_table_new(NULL, NULL) : newly;
            g_hash_table_add(newly, GUINT_TO_POINTER(served->service));
        }
        served->shared = mixed;
    }
    if (newly != NULL) {
        S_queue_own(versions, newly);
        g_hash_table_unref(newly);
    }
}

/* Appends the record of KEY, if it still is one, to RECORDS.  Returns its
   entry, or NULL. */
static BsStreamEntry *
S_append_record(const BsStreamVersions *versions, uint64_t key,
                GArray *records)
{
    BsStreamEntry *entry = g_hash_table_lookup(versions->entries, &key);
    if (entry != NULL && entry->version != AMBIGUOUS) {
        BsStreamRecord record = {key, entry->version, entry->generation};
        g_array_append_val(records, record);
    }
    return entry;
}

/* Takes the records that were not sent yet, which will be repeated. */
static void
S_take_first_sends(BsStreamVersions *versions, guint max, int64_t now_ms,
                   GArray *records)
{
    guint taken = 0;
    while (taken < versions->unsent->len && records->len < max) {
        BsStreamRepeat repeat = {
            .key = g_array_index(versions->unsent, uint64_t, taken++),
            .due_ms = now_ms + REPEAT_MS};
        BsStreamEntry *entry = S_append_record(versions, repeat.key, records);
        if (entry != NULL) {
            entry->unsent = false;
            g_array_append_val(versions->repeats, repeat);
        }
    }
    if (taken > 0) {
        g_array_remove_range(versions->unsent, 0, taken);
    }
}

static void
S_take_repeats(BsStreamVersions *versions, guint max, int64_t now_ms,
               GArray *records)
{
    guint taken = 0;
    while (taken < versions->repeats->len && records->len < max) {
        const BsStreamRepeat *repeat =
            &g_array_index(versions->repeats, BsStreamRepeat, taken);
        if (repeat->due_ms > now_ms) {
            break;
        }
        S_append_record(versions, repeat->key, records);
        taken++;
    }
    if (taken > 0) {
        g_array_remove_range(versions->repeats, 0, taken);
    }
}

/* Takes what others are told of streams whose version is not sure. */
static void
S_take_doubts(BsStreamVersions *versions, guint max, int64_t now_ms,
              GArray *records)
{
    guint kept = 0;
    for (guint i = 0; i < versions->doubts->len; i++) {
        BsStreamDoubt doubt =
            g_array_index(versions->doubts, BsStreamDoubt, i);
        if (doubt.due_ms <= now_ms &&
            records->len + G_N_ELEMENTS(doubt.records) <= max) {
            g_array_append_vals(records, doubt.records,
                                G_N_ELEMENTS(doubt.records));
            doubt.due_ms = now_ms + REPEAT_MS;
            doubt.sends--;
        }
        if (doubt.sends > 0) {
            g_array_index(versions->doubts, BsStreamDoubt, kept++) = doubt;
        }
    }
    g_array_set_size(versions->doubts, kept);
}

/* Appends the versions of SERVED that are to be announced. */
static void
S_announce(BsServedService *served, guint max, int64_t now_ms, GArray *records)
{
    for (uint32_t i = 0; i < served->count && records->len < max; i++) {
        BsServedVersion *version = &served->versions[i];
        if (version->announcements > 0 && now_ms >= version->announce_ms) {
            BsStreamRecord record = {.version = version->version};
            g_array_append_val(records, record);
            version->announcements--;
            version->announce_ms = now_ms + ANNOUNCE_INTERVAL_MS;
        }
    }
}

static void
S_announce_all(BsStreamVersions *versions, guint max, int64_t now_ms,
               GArray *records)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, versions->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        S_announce(value, max, now_ms, records);
    }
}

void
BsStreamVersions_TakeUnsent(BsStreamVersions *versions, guint max,
                            int64_t now_ms, GArray *records)
{
    S_drop_expired(versions, now_ms);
    S_update_shared(versions, now_ms);
    S_announce_all(versions, max, now_ms, records);
    S_take_doubts(versions, max, now_ms, records);
    S_take_first_sends(versions, max, now_ms, records);
    S_take_repeats(versions, max, now_ms, records);
}

/* Announces the versions of SERVED that are in service, if there are
   several. */
static void
S_announce_again(const BsStreamVersions *versions, BsServedService *served,
                 int64_t now_ms)
{
    uint64_t any;
    bool several = S_count_versions(versions, served, now_ms, &any) > 1;
    for (uint32_t i = 0; several && i < served->count; i++) {
        if (now_ms - served->versions[i].noted_ms <= IN_SERVICE_MS) {
            served->versions[i].announcements = ANNOUNCEMENTS;
            served->versions[i].announce_ms = now_ms;
        }
    }
}

void
BsStreamVersions_SendAgain(BsStreamVersions *versions, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    S_queue_own(versions, NULL);
    g_hash_table_iter_init(&iter, versions->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        S_announce_again(versions, value, now_ms);
    }
}

uint32_t
BsStreamVersions_Count(const BsStreamVersions *versions)
{
    return g_hash_table_size(versions->entries);
}

uint64_t
BsStreamVersions_Dropped(const BsStreamVersions *versions)
{
    return versions->dropped;
}
