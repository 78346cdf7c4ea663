/* targets.c - the table of upstreams: listing and health. */
#include "streamversions.h"
#include "targets_private.h"

#include <string.h>
#include <xxhash.h>

/* Pause after the first of several consecutive failures; each further one
   doubles it.  A restart takes some seconds, so later tries may be rarer. */
#define RETRY_FIRST_MS 300
#define RETRY_MAX_MS 2400

/* Pause after a refusal: about the time that one request runs. */
#define REFUSED_PAUSE_MS 60

/* Weight of the newest sample in the recent error ratio and pace. */
#define ERROR_WEIGHT 0.08
#define PACE_WEIGHT 0.15

/* Number of upstreams remembered as leaving at which the unlisted ones among
   them are dropped. */
#define LEAVING_MAX 4096

uint64_t
BsTargets_Hash(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

static void
S_destroy_target(gpointer data)
{
    BsTarget *target = data;
    g_free(target->id);
    g_free(target->service);
    g_free(target->data_centre);
    g_free(target->region);
    g_free(target->version);
    g_free(target);
}

static void
S_destroy_list(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

static void
S_destroy_peer(gpointer data)
{
    BsTargetPeer *peer = data;
    g_array_free(peer->loads, TRUE);
    g_free(peer);
}

BsTargets *
BsTargets_Create(const char *data_centre, const char *region)
{
    BsTargets *targets = g_new0(BsTargets, 1);
    targets->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, S_destroy_target);
    targets->by_hash = g_hash_table_new(NULL, NULL);
    targets->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, S_destroy_list);
    targets->closed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    targets->peers = g_hash_table_new_full(NULL, NULL, NULL, S_destroy_peer);
    targets->fleet = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    targets->leaving_starts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    targets->data_centre = g_strdup(data_centre);
    targets->region = g_strdup(region);
    targets->share = 1.0;
    targets->allowances =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    targets->usual_failures =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    targets->senders = g_array_new(FALSE, FALSE, sizeof(BsRateSender));
    targets->senders_version = 1;
    return targets;
}

void
BsTargets_Destroy(BsTargets *targets)
{
    if (targets == NULL) {
        return;
    }
    g_array_unref(targets->senders);
    g_hash_table_destroy(targets->usual_failures);
    g_hash_table_destroy(targets->allowances);
    g_hash_table_destroy(targets->leaving_starts);
    g_hash_table_destroy(targets->fleet);
    g_hash_table_destroy(targets->peers);
    g_hash_table_destroy(targets->closed);
    g_hash_table_destroy(targets->services);
    g_hash_table_destroy(targets->by_hash);
    g_hash_table_destroy(targets->by_id);
    g_free(targets->data_centre);
    g_free(targets->region);
    g_free(targets);
}

/* ----------------------------------------------------------- listing -- */

static GPtrArray *
S_service_list(BsTargets *targets, const char *service)
{
    GPtrArray *list = g_hash_table_lookup(targets->services, service);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(targets->services, g_strdup(service), list);
    }
    return list;
}

static void
S_set_text(char **field, const char *text)
{
    if (g_strcmp0(*field, text) != 0) {
        g_free(*field);
        *field = g_strdup(text);
    }
}

/* Returns whether the upstream of ENTRY has reported since its start that it
   is leaving. */
static bool
S_reported_leaving(const BsTargets *targets, const BsTargetEntry *entry)
{
    const int64_t *born_ms =
        g_hash_table_lookup(targets->leaving_starts, entry->id);
    return born_ms != NULL && entry->born_ms <= *born_ms;
}

static BsTarget *
S_add(BsTargets *targets, const BsTargetEntry *entry)
{
    BsTarget *target = g_new0(BsTarget, 1);
    target->id = g_strdup(entry->id);
    target->service = g_strdup(entry->service);
    target->hash = BsTargets_Hash(entry->id);
    target->usable_until_ms = INT64_MAX;
    target->leaving = S_reported_leaving(targets, entry);
    BsTargets_AddPeerLoads(targets, target);
    g_hash_table_insert(targets->by_id, target->id, target);
    g_hash_table_insert(targets->by_hash,
                        GUINT_TO_POINTER((uint32_t)target->hash), target);
    g_ptr_array_add(S_service_list(targets, entry->service), target);
    return target;
}

static void
S_move_service(BsTargets *targets, BsTarget *target, const char *service)
{
    if (strcmp(target->service, service) == 0) {
        return;
    }
    g_ptr_array_remove(S_service_list(targets, target->service), target);
    S_set_text(&target->service, service);
    g_ptr_array_add(S_service_list(targets, service), target);
}

static void
S_set_version(BsTarget *target, const char *version)
{
    S_set_text(&target->version, version == NULL ? "" : version);
    target->version_hash =
        BsStreamVersions_Hash(target->service, target->version);
}

/* Resets what was learned about TARGET before its present start. */
static void
S_reset_health(BsTarget *target)
{
    target->failures = 0;
    target->retry_at_ms = 0;
    target->error_ratio = 0;
    target->pace_ms = 0;
    target->ejection.evidence = 0;
    target->cold_bucket.level = 0;
    BsTargets_ForgetFailures(target);
    target->requested_pause_until_ms = 0;
    memset(&target->limit, 0, sizeof(target->limit));
}

/* Returns whether ENTRY is older than the known state of TARGET. */
static bool
S_is_outdated(const BsTarget *target, const BsTargetEntry *entry)
{
    return entry->born_ms < target->born_ms ||
           (entry->born_ms == target->born_ms &&
            entry->sequence < target->sequence);
}

bool
BsTargets_Put(BsTargets *targets, const BsTargetEntry *entry, int64_t now_ms)
{
    BsTarget *target = BsTargets_Find(targets, entry->id);
    bool is_new = target == NULL;
    if (is_new) {
        target = S_add(targets, entry);
    }
    else if (S_is_outdated(target, entry)) {
        return false;
    }
    if (target->born_ms != entry->born_ms ||
        target->usable_until_ms < now_ms) {
        S_reset_health(target);
    }
    S_move_service(targets, target, entry->service);
    S_set_text(&target->data_centre, entry->data_centre);
    S_set_text(&target->region, entry->region);
    S_set_version(target, entry->version);
    target->local = strcmp(target->data_centre, targets->data_centre) == 0;
    target->sender_rank_version = 0;
    target->same_region = g_strcmp0(target->region, targets->region) == 0;
    target->closed =
        g_hash_table_contains(targets->closed, target->data_centre);
    target->address = entry->address;
    target->slots = entry->slots;
    target->born_ms = entry->born_ms;
    target->sequence = entry->sequence;
    target->draining = entry->draining;
    target->leaving = S_reported_leaving(targets, entry);
    target->usable_until_ms = INT64_MAX;
    BsTargets_SetCold(target, entry->cold_ms, now_ms);
    return is_new;
}

bool
BsTargets_Remove(BsTargets *targets, const char *id, int64_t keep_ms,
                 int64_t now_ms)
{
    BsTarget *target = BsTargets_Find(targets, id);
    if (target == NULL || target->usable_until_ms != INT64_MAX) {
        return false;
    }
    target->usable_until_ms = now_ms + keep_ms;
    return true;
}

static gboolean
S_is_unlisted(gpointer id, gpointer born_ms, gpointer targets)
{
    (void)born_ms;
    return BsTargets_Find(targets, id) == NULL;
}

void
BsTargets_SetLeaving(BsTargets *targets, BsTarget *target)
{
    if (target->leaving) {
        return;
    }
    if (g_hash_table_size(targets->leaving_starts) >= LEAVING_MAX) {
        g_hash_table_foreach_remove(targets->leaving_starts, S_is_unlisted,
                                    targets);
    }
    int64_t *born_ms = g_new(int64_t, 1);
    *born_ms = target->born_ms;
    g_hash_table_replace(targets->leaving_starts, g_strdup(target->id),
                         born_ms);
    target->leaving = true;
}

void
BsTargets_SetRequestedPause(BsTarget *target, int64_t pause_ms, int64_t now_ms)
{
    int64_t until_ms =
        now_ms + MIN(pause_ms, BS_TARGET_REQUESTED_PAUSE_MAX_MS);
    target->requested_pause_until_ms =
        MAX(target->requested_pause_until_ms, until_ms);
}

void
BsTargets_SetClosed(BsTargets *targets, const char *data_centre, bool closed)
{
    GHashTableIter iter;
    gpointer value;
    if (closed) {
        g_hash_table_add(targets->closed, g_strdup(data_centre));
    }
    else {
        g_hash_table_remove(targets->closed, data_centre);
    }
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsTarget *target = value;
        if (strcmp(target->data_centre, data_centre) == 0) {
            target->closed = closed;
        }
    }
}

BsTarget *
BsTargets_Find(const BsTargets *targets, const char *id)
{
    return g_hash_table_lookup(targets->by_id, id);
}

unsigned
BsTargets_Listed(const BsTargets *targets)
{
    unsigned listed = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        listed += ((BsTarget *)value)->usable_until_ms == INT64_MAX;
    }
    return listed;
}

void
BsTargets_Each(const BsTargets *targets,
               void (*func)(const BsTarget *target, void *context),
               void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        func(value, context);
    }
}

void
BsTargets_SetShare(BsTargets *targets, double share)
{
    targets->share = share;
}

/* ------------------------------------------------------------ health -- */

void
BsTargets_Sent(BsTargets *targets, BsTarget *target,
               const BsTargetQuery *query, int64_t now_ms)
{
    BsTargets_UseAllowance(targets, target);
    target->own++;
    target->cold_ms = query->service->cold_ms;
    target->own_waiting_tokens += query->prompt_tokens;
    target->sent_since_failure++;
    if (BsTarget_IsCold(target, now_ms)) {
        target->cold_sent++;
        target->cold_bucket.level -= 1;
    }
    if (target->limit.per_s > 0) {
        target->limit.bucket.level -= 1;
    }
}

void
BsTargets_NoteReceived(BsTarget *target, int64_t now_ms)
{
    target->last_received_ms = now_ms;
}

void
BsTargets_Started(BsTarget *target, uint32_t prompt_tokens)
{
    target->own_waiting_tokens -=
        MIN(target->own_waiting_tokens, prompt_tokens);
}

/* Returns whether requests in progress at the same time have failed already;
   they count as one failure. */
static bool
S_is_paused(const BsTarget *target, int64_t now_ms)
{
    return target->failures > 0 && target->retry_at_ms > now_ms;
}

/* Returns the length of the pause that begins; 0 when TARGET is already
   paused. */
static int64_t
S_pause(BsTarget *target, int64_t now_ms)
{
    uint32_t doublings = MIN(target->failures, 8);
    int64_t pause_ms = MIN((int64_t)RETRY_FIRST_MS << doublings, RETRY_MAX_MS);
    if (S_is_paused(target, now_ms)) {
        return 0;
    }
    target->failures++;
    target->paused_ms = now_ms;
    target->retry_at_ms = now_ms + pause_ms;
    return pause_ms;
}

/* As S_pause(), after a connection that failed. */
static int64_t
S_note_failure(BsTarget *target, int64_t now_ms)
{
    if (S_is_paused(target, now_ms)) {
        /* More than one failed request: the target crashed.  It may restart
           before it has refused a connection. */
        BsTargets_NoteDown(target, now_ms);
    }
    return S_pause(target, now_ms);
}

/* Marks a target that was down as cold when it answers again, as it has
   restarted.  The platform may report the restart late, or not at all while
   its store is unavailable. */
static void
S_note_recovery(BsTarget *target, int64_t now_ms)
{
    if (target->was_down) {
        BsTargets_NoteBack(target, now_ms);
    }
    else if (target->sent_since_failure == 0) {
        BsTargets_NoteNotRestarted(target, now_ms);
    }
}

static void
S_note_error(BsTarget *target, double error)
{
    target->error_ratio += ERROR_WEIGHT * (error - target->error_ratio);
}

static void
S_note_pace(BsTarget *target, double pace_ms)
{
    if (pace_ms <= 0) {
        return;
    }
    target->pace_ms =
        target->pace_ms <= 0
            ? pace_ms
            : target->pace_ms + PACE_WEIGHT * (pace_ms - target->pace_ms);
}

/* Frees a target that was removed from the list, is no longer usable and has
   no request of ours. */
static void
S_drop_if_unused(BsTargets *targets, BsTarget *target, int64_t now_ms)
{
    if (target->usable_until_ms > now_ms || target->own > 0) {
        return;
    }
    g_ptr_array_remove(S_service_list(targets, target->service), target);
    g_hash_table_remove(targets->by_hash,
                        GUINT_TO_POINTER((uint32_t)target->hash));
    g_hash_table_remove(targets->by_id, target->id);
}

int64_t
BsTargets_NoteSilent(BsTarget *target, int64_t sent_ms, bool reachable,
                     int64_t now_ms)
{
    bool known = target->failures > 0 && sent_ms <= target->paused_ms;
    S_note_error(target, 1);
    if (!reachable) {
        target->silent = true;
        int64_t pause_ms = known ? 0 : S_pause(target, now_ms);
        if (!known) {
            BsTargets_NoteMaybeDown(target, now_ms);
        }
        return pause_ms;
    }
    S_note_recovery(target, now_ms);
    target->failures = 0;
    return 0;
}

void
BsTargets_NoteResumed(BsTarget *target, int64_t sent_ms, int64_t now_ms)
{
    bool has_run_on = sent_ms <= target->paused_ms;
    target->silent = false;
    target->failures = 0;
    target->retry_at_ms = 0;
    if (has_run_on) {
        BsTargets_NoteNotRestarted(target, now_ms);
    }
    else if (target->was_down) {
        BsTargets_NoteBack(target, now_ms);
    }
}

int64_t
BsTargets_Ended(BsTargets *targets, BsTarget *target, BsTargetEnd end,
                double pace_ms, uint32_t prompt_tokens, int64_t now_ms)
{
    int64_t pause_ms = 0;
    target->own -= target->own > 0;
    target->silent = target->silent && end == BS_TARGET_ABANDONED;
    BsTargets_Started(target, prompt_tokens);
    switch (end) {
    case BS_TARGET_GOOD:
        S_note_recovery(target, now_ms);
        target->failures = 0;
        S_note_error(target, 0);
        S_note_pace(target, pace_ms);
        break;
    case BS_TARGET_ERROR:
        S_note_recovery(target, now_ms);
        target->failures = 0;
        S_note_error(target, 1);
        break;
    case BS_TARGET_REFUSED:
        target->retry_at_ms =
            MAX(target->retry_at_ms, now_ms + REFUSED_PAUSE_MS);
        break;
    case BS_TARGET_UNREACHED:
        BsTargets_NoteDown(target, now_ms);
        S_note_error(target, 1);
        pause_ms = S_note_failure(target, now_ms);
        break;
    case BS_TARGET_MISDIRECTED:
        /* The target is no longer at its address; unless it is still listed,
           it is not used any more. */
        target->usable_until_ms =
            target->usable_until_ms == INT64_MAX ? INT64_MAX : now_ms;
        S_note_error(target, 1);
        pause_ms = S_note_failure(target, now_ms);
        break;
    case BS_TARGET_INCOMPLETE:
        S_note_error(target, 1);
        pause_ms = S_note_failure(target, now_ms);
        break;
    case BS_TARGET_ABANDONED:
        break;
    }
    S_drop_if_unused(targets, target, now_ms);
    return pause_ms;
}

void
BsTargets_Prune(BsTargets *targets, int64_t now_ms)
{
    GList *all = g_hash_table_get_values(targets->by_id);
    for (GList *node = all; node != NULL; node = node->next) {
        S_drop_if_unused(targets, node->data, now_ms);
    }
    g_list_free(all);
}
