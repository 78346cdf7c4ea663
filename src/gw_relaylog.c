/* gw_relaylog.c - log lines and metrics of relayed requests. */
#include "daycount.h"
#include "gw_limitlog.h"
#include "gw_relayparts.h"

#include <math.h>

/* Hexadecimal digits of a content hash in the log. */
#define CONTENT_DIGITS 16

/* Most prompt parts in a log line. */
#define PARTS_MAX 8

/* Logs how long the request waited until it was sent and for its first event,
   and the longest pause between two events. */
static void
S_log_times(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    BsEventLog *log = relay->gate->log;
    if (attempt->sent_ms > 0) {
        BsEventLog_Number(log, "wait_ms",
                          attempt->sent_ms - relay->arrived_ms);
    }
    if (attempt->events > 0) {
        BsEventLog_Number(log, "first_ms",
                          attempt->first_event_ms - attempt->sent_ms);
    }
    if (attempt->events > 1) {
        BsEventLog_Number(log, "gap_ms", attempt->gap_ms);
    }
}

/* Logs what ended a complete answer, and of a stream how many bytes follow the
   last whole event. */
static void
S_log_end(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    BsEventLog *log = relay->gate->log;
    size_t rest_bytes = BsAttempt_RestBytes(relay, attempt);
    BsEventLog_Text(log, "ended_by", attempt->ended_by);
    if (rest_bytes > 0) {
        BsEventLog_Number(log, "rest_bytes", (int64_t)rest_bytes);
    }
}

/* Logs the prompt parts that other requests may share, all but the last, and
   how far the answer of ATTEMPT has come. */
static void
S_log_parts(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    BsEventLog *log = relay->gate->log;
    GString *parts = g_string_new(NULL);
    for (guint i = 0; i + 1 < relay->info.parts->len && i < PARTS_MAX; i++) {
        g_string_append_printf(
            parts, "%s%" G_GINT64_MODIFIER "x", i == 0 ? "" : ",",
            g_array_index(relay->info.parts, BsPromptPart, i).hash);
    }
    if (parts->len > 0) {
        BsEventLog_Text(log, "parts", parts->str);
    }
    g_string_free(parts, TRUE);
    if (attempt->target != NULL) {
        BsEventLog_Text(log, "progress",
                        attempt->events > 0 ? "events"
                        : attempt->begun    ? "head"
                                            : "none");
    }
}

/* Logs the content hash, by which other failures of the same content are
   found, and the number of upstreams it has crashed. */
static void
S_log_content(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    BsEventLog *log = relay->gate->log;
    char content[CONTENT_DIGITS + 1];
    g_snprintf(content, sizeof(content), "%016" G_GINT64_MODIFIER "x",
               relay->content);
    BsEventLog_Text(log, "content", content);
    BsEventLog_Number(
        log, "breaks",
        BsCrashList_CountCrashes(relay->gate->crash_list, relay->content));
    if (attempt->target != NULL) {
        BsEventLog_Number(log, "born_ms", attempt->target->born_ms);
    }
}

/* Logs for how long no byte of an answer has arrived, why the attempt before
   ended, and how long ago the configuration came into force. */
static void
S_log_silence(const BsRelay *relay, const BsRelayAttempt *attempt,
              int64_t now_ms)
{
    BsEventLog *log = relay->gate->log;
    if (attempt->last_received_ms > 0) {
        BsEventLog_Number(log, "silent_ms",
                          now_ms - attempt->last_received_ms);
    }
    BsEventLog_Text(log, "given_up", relay->given_up);
    if (relay->gate->catalog != NULL) {
        BsEventLog_Number(log, "catalog_age_ms",
                          now_ms - relay->gate->catalog_ms);
    }
}

void
BsRelay_LogAttempt(BsRelay *relay, const BsRelayAttempt *attempt,
                   BsEventClass event_class, const char *event,
                   const char *cause)
{
    BsGate *gate = relay->gate;
    if (!BsEventLog_Begin(gate->log, event_class, event)) {
        return;
    }
    int64_t now_ms = BsClock_NowMs(gate->clock);
    BsEventLog_Text(gate->log, "request", relay->id);
    BsEventLog_Text(gate->log, "cause", cause);
    if (relay->info.has_tokens) {
        BsEventLog_Number(gate->log, "prompt_tokens",
                          relay->info.prompt_tokens);
    }
    if (relay->route != NULL) {
        BsEventLog_Text(gate->log, "route", relay->route->name);
        BsEventLog_Number(gate->log, "catalog",
                          (int64_t)BsCatalog_Version(relay->catalog));
    }
    if (relay->account != NULL) {
        BsEventLog_Text(gate->log, "account", relay->account->name);
    }
    if (attempt->target != NULL) {
        BsEventLog_Text(gate->log, "upstream", attempt->target->id);
        BsEventLog_Text(gate->log, "software", attempt->software.name);
        BsEventLog_Number(gate->log, "own", attempt->target->own);
        BsEventLog_Number(gate->log, "others", attempt->target->others);
        BsLimitLog_Add(gate, &attempt->target->limit);
        S_log_times(relay, attempt);
        S_log_end(relay, attempt);
    }
    if (event_class == BS_EVENT_FAILURE && relay->service != NULL) {
        S_log_content(relay, attempt);
        S_log_parts(relay, attempt);
        S_log_silence(relay, attempt, now_ms);
    }
    BsEventLog_Number(gate->log, "age_ms", now_ms - relay->arrived_ms);
    BsEventLog_Number(gate->log, "attempts", relay->attempts);
    BsEventLog_End(gate->log);
}

void
BsRelay_Log(BsRelay *relay, BsEventClass event_class, const char *event,
            const char *cause)
{
    BsRelay_LogAttempt(relay, &relay->attempt, event_class, event, cause);
}

void
BsRelay_LogBudget(BsRelay *relay, bool granted)
{
    BsGate *gate = relay->gate;
    bool is_known = !granted && relay->send_denied;
    relay->send_denied = !granted;
    if (is_known) {
        return; /* a silent upstream's request asks again and again */
    }
    if (!granted) {
        BsCounters_Add(gate->counters, "retries_denied_total", 1);
    }
    if (!BsEventLog_Begin(gate->log,
                          granted ? BS_EVENT_DETAIL : BS_EVENT_FAILURE,
                          granted ? "retry_granted" : "retry_denied")) {
        return;
    }
    BsRetryBudgetState state =
        BsRetryBudget_Read(gate->retries, relay->service->name,
                           gate->retry_instances, BsClock_NowMs(gate->clock));
    double left = state.allowed - (double)state.retries;
    BsEventLog_Text(gate->log, "request", relay->id);
    BsEventLog_Text(gate->log, "service", relay->service->name);
    BsEventLog_Number(gate->log, "budget_left", (int64_t)floor(left));
    BsEventLog_Number(gate->log, "budget_allowed", (int64_t)state.allowed);
    BsEventLog_Number(gate->log, "budget_requests", (int64_t)state.requests);
    BsEventLog_Number(gate->log, "budget_retries", (int64_t)state.retries);
    BsEventLog_Number(gate->log, "instances", gate->retry_instances);
    BsEventLog_End(gate->log);
}

static void
S_count_outcome(const BsRelay *relay, const char *outcome)
{
    char *name = g_strdup_printf(
        "requests_total{route=\"%s\",outcome=\"%s\"}",
        relay->route == NULL ? "" : relay->route->name, outcome);
    BsCounters_Add(relay->gate->counters, name, 1);
    g_free(name);
    if (relay->route != NULL) {
        BsHistogram_Observe(relay->gate->durations, relay->route->name,
                            BsClock_NowMs(relay->gate->clock) -
                                relay->arrived_ms);
    }
}

static bool
S_is_in_time(const BsRelay *relay)
{
    int64_t answered_ms = relay->route->kind == BS_ROUTE_STREAM
                              ? relay->attempt.first_event_ms
                              : BsClock_NowMs(relay->gate->clock);
    return answered_ms - relay->arrived_ms <= relay->route->target_ms;
}

/* Counts for the daily report whether the request ran, as far as its caller
   knows. */
static void
S_count_day(const BsRelay *relay)
{
    if (relay->service == NULL ||
        (relay->inbound == NULL && !relay->answered)) {
        return; /* no service, or the caller disconnected before an answer */
    }
    BsDayOutcome outcome = relay->answered       ? BS_DAY_RAN
                           : relay->may_have_run ? BS_DAY_UNKNOWN
                                                 : BS_DAY_NOT_RUN;
    BsDayCount_Answer(relay->gate->counters, relay->route->rank,
                      relay->route->kind == BS_ROUTE_UNSAFE, outcome,
                      relay->answered && S_is_in_time(relay));
}

void
BsRelay_Count(const BsRelay *relay, const char *outcome)
{
    S_count_outcome(relay, outcome);
    S_count_day(relay);
}
