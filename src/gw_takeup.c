/* gw_takeup.c - the software version at which a stream began and goes on. */
#include "gw_relay.h"
#include "gw_relayparts.h"

#include <string.h>

/* Longest wait for what other instances know of a stream, and interval of the
   questions, which may get lost. */
#define ASK_MS 300
#define ASK_AGAIN_MS 100

/* Retry-After of a request whose stream no instance knows. */
#define UNKNOWN_RETRY_MS 1000

bool
BsTakeUp_IsOne(const BsRelay *relay)
{
    return relay->route->kind == BS_ROUTE_STREAM &&
           (relay->info.resumes != NULL || relay->info.last_event >= 0);
}

bool
BsTakeUp_HasPart(const BsRelay *relay)
{
    return relay->answer.started || BsTakeUp_IsOne(relay);
}

static bool
S_names_stream(const BsRelay *relay)
{
    return relay->info.resumes != NULL && relay->info.resumes[0] != '\0';
}

uint64_t
BsTakeUp_ServiceSeed(const BsRelay *relay)
{
    return BsTargets_Hash(S_names_stream(relay) ? relay->info.resumes
                                                : relay->id);
}

static void
S_log_taken_up(const BsRelay *relay)
{
    BsGate *gate = relay->gate;
    if (!BsEventLog_Begin(gate->log, BS_EVENT_DETAIL, "taken_up")) {
        return;
    }
    BsEventLog_Text(gate->log, "request", relay->id);
    BsEventLog_Text(gate->log, "stream", relay->info.resumes);
    BsEventLog_Number(gate->log, "last_event", relay->info.last_event);
    BsEventLog_Text(gate->log, "route", relay->route->name);
    BsEventLog_Text(gate->log, "service", relay->service->name);
    BsEventLog_End(gate->log);
}

/* ------------------------------------------------- finding the version -- */

static uint64_t
S_key(const BsRelay *relay, const char *request_id)
{
    return BsStreamVersions_Key(
        relay->service->name,
        relay->account == NULL ? NULL : relay->account->name, request_id);
}

/* Sets the keys.  A request without an id has a key that none can name.  So
   has a stream that the request does not name. */
static void
S_set_keys(BsRelay *relay)
{
    BsRelayStream *stream = &relay->stream;
    stream->own_key = relay->id[0] == '\0'
                          ? (uint64_t)g_rand_int(relay->gate->random)
                          : S_key(relay, relay->id);
    if (BsTakeUp_IsOne(relay)) {
        stream->named_key = S_names_stream(relay)
                                ? S_key(relay, relay->info.resumes)
                                : stream->own_key;
    }
}

/* Returns whether the version is known at which the stream to be taken up
   began, and keeps the request to it. */
static bool
S_find_version(BsRelay *relay)
{
    const BsGate *gate = relay->gate;
    return BsStreamVersions_Find(
               gate->stream_versions, relay->stream.named_key,
               BsStreamVersions_HashService(relay->service->name),
               BsClock_NowMs(gate->clock),
               &relay->began.hash) == BS_STREAM_VERSION_KNOWN;
}

static void
S_ask(BsRelay *relay)
{
    const BsGate *gate = relay->gate;
    BsStreamQuestion question = {
        .key = relay->stream.named_key,
        .service = BsStreamVersions_HashService(relay->service->name),
    };
    relay->stream.asked_ms = BsClock_NowMs(gate->clock);
    g_array_append_val(gate->stream_questions, question);
}

void
BsTakeUp_Dispatch(BsRelay *relay)
{
    S_set_keys(relay);
    if (BsTakeUp_IsOne(relay)) {
        S_log_taken_up(relay);
    }
    if (relay->stream.named_key == 0 || S_find_version(relay)) {
        BsRelay_Dispatch(relay);
        return;
    }
    S_ask(relay);
    relay->stream.ask_until_ms = relay->stream.asked_ms + ASK_MS;
    BsRelay_Log(relay, BS_EVENT_DETAIL, "waits", "version_unknown");
    BsRelay_Schedule(relay);
}

int64_t
BsTakeUp_DueMs(const BsRelay *relay)
{
    const BsRelayStream *stream = &relay->stream;
    return stream->ask_until_ms == 0
               ? INT64_MAX
               : MIN(stream->ask_until_ms, stream->asked_ms + ASK_AGAIN_MS);
}

void
BsTakeUp_OnTimeout(BsRelay *relay)
{
    if (BsClock_NowMs(relay->gate->clock) >= relay->stream.ask_until_ms) {
        BsRelay_Refuse(relay, 503, "version_unknown", UNKNOWN_RETRY_MS);
        return;
    }
    S_ask(relay);
    BsRelay_Schedule(relay);
}

void
BsRelay_ServeTakeUps(BsGate *gate)
{
    GList *relays = g_hash_table_get_keys(gate->relays);
    for (GList *node = relays; node != NULL; node = node->next) {
        BsRelay *relay = node->data;
        if (relay->stream.ask_until_ms != 0 && S_find_version(relay)) {
            relay->stream.ask_until_ms = 0;
            BsRelay_Dispatch(relay);
        }
    }
    g_list_free(relays);
}

/* --------------------------------------------------------- remembering -- */

static void
S_note(const BsRelay *relay, uint64_t key, uint64_t version,
       uint32_t generation)
{
    BsStreamRecord record = {
        .key = key, .version = version, .generation = generation};
    BsStreamVersions_Note(relay->gate->stream_versions, &record,
                          BsClock_NowMs(relay->gate->clock));
}

static void
S_note_upstream(const BsRelay *relay, uint64_t key, uint32_t upstream)
{
    BsStreamVersions_NoteUpstream(relay->gate->stream_versions, key, upstream,
                                  BsClock_NowMs(relay->gate->clock));
}

static uint32_t
S_upstream(const BsTarget *target)
{
    return (uint32_t)BsTargets_Hash(target->id);
}

/* Records VERSION under the request's own key, if it is another than
   before. */
static void
S_note_own(BsRelay *relay, uint64_t version)
{
    BsRelayStream *stream = &relay->stream;
    if (stream->noted_version != version) {
        stream->noted_version = version;
        stream->generation++;
        S_note(relay, stream->own_key, version, stream->generation);
    }
}

void
BsTakeUp_NoteSend(BsRelay *relay)
{
    if (relay->route->kind != BS_ROUTE_STREAM || !relay->route->resumable) {
        return;
    }
    if (relay->stream.named_key != 0) {
        S_note(relay, relay->stream.named_key, relay->began.hash, 0);
        S_note_upstream(relay, relay->stream.named_key, 0);
    }
    S_note_own(relay, relay->attempt.software.hash);
    if (relay->began.hash == 0) {
        S_note_upstream(relay, relay->stream.own_key,
                        S_upstream(relay->attempt.target));
    }
}

void
BsTakeUp_SetSoftware(BsRelay *relay)
{
    BsRelayAttempt *attempt = &relay->attempt;
    attempt->software.hash = attempt->target->version_hash;
    g_strlcpy(attempt->software.name, attempt->target->version,
              sizeof(attempt->software.name));
}

const char *
BsTakeUp_CauseWithoutUpstream(const BsRelay *relay)
{
    BsTargetQuery query;
    BsTargetVerdict verdict;
    BsAttempt_FillQuery(relay, &query);
    query.version = 0;
    BsTargets_Choose(relay->gate->targets, &query,
                     BsClock_NowMs(relay->gate->clock), &verdict);
    return relay->began.hash != 0 && verdict != BS_TARGET_NONE ? "version_gone"
                                                               : "no_upstream";
}

/* Logs that the answer goes on at another version than that at which it
   began. */
static void
S_log_change(const BsRelay *relay)
{
    BsGate *gate = relay->gate;
    BsCounters_Add(gate->counters, "streams_joined_total", 1);
    if (!BsEventLog_Begin(gate->log, BS_EVENT_FAILURE, "stream_joined")) {
        return;
    }
    BsEventLog_Text(gate->log, "request", relay->id);
    BsEventLog_Text(gate->log, "upstream", relay->attempt.target->id);
    BsEventLog_Text(gate->log, "software", relay->attempt.software.name);
    BsEventLog_Text(gate->log, "began_software", relay->began.name);
    BsEventLog_Number(gate->log, "attempts", relay->attempts);
    BsEventLog_End(gate->log);
}

void
BsTakeUp_NoteFirstEvent(BsRelay *relay)
{
    const BsRelaySoftware *software = &relay->attempt.software;
    if (relay->began.hash == 0) {
        relay->began = *software;
        if (relay->stream.noted_version != 0 &&
            software->hash != BS_STREAM_VERSION_UNSURE) {
            S_note_own(relay, software->hash);
            S_note_upstream(relay, relay->stream.own_key,
                            S_upstream(relay->attempt.target));
        }
    }
    else if (relay->began.hash != software->hash &&
             software->hash != BS_STREAM_VERSION_UNSURE) {
        S_log_change(relay);
    }
}

/* ----------------------------------------- upstreams that start again -- */

/* Makes the version of ATTEMPT at TARGET unknown if it was sent at SINCE_MS or
   later, and so that of the stream of which it has brought events. */
static void
S_doubt(BsRelay *relay, BsRelayAttempt *attempt, const BsTarget *target,
        int64_t since_ms)
{
    bool sent_before = attempt->sent_ms != 0 && attempt->sent_ms < since_ms;
    if (attempt->target != target || sent_before ||
        attempt->software.hash == target->version_hash) {
        return;
    }
    attempt->software.hash = BS_STREAM_VERSION_UNSURE;
    if (attempt->first_event_ms != 0) {
        relay->began.hash = BS_STREAM_VERSION_UNSURE;
    }
}

void
BsRelay_NoteRestart(BsGate *gate, const BsTarget *target)
{
    GHashTableIter iter;
    gpointer value;
    int64_t since_ms = BsStreamVersions_NoteRestart(
        gate->stream_versions, S_upstream(target), target->version_hash,
        BsClock_NowMs(gate->clock));
    g_hash_table_iter_init(&iter, gate->relays);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        BsRelay *relay = value;
        S_doubt(relay, &relay->attempt, target, since_ms);
        for (size_t i = 0; i < BS_RELAY_HELD_MAX; i++) {
            S_doubt(relay, &relay->held[i], target, since_ms);
        }
    }
}
