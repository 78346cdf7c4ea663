/* logtimeline.c - timeline of one request, from the logs of gateways. */
#include "logtimeline.h"

#include <jansson.h>
#include <string.h>

/* The oldest lines with state events are dropped in batches of this size once
   more than 100 times as many are held. */
#define CONTEXT_DROP_LINES 400

/* How long before the end of the request a state event may explain it. */
#define CONTEXT_MS 8000

const BsLogCause bs_log_causes[] = {
    {"no_place", "no upstream had a free slot within the time it could wait",
     "metrics: waiting, request_wait_seconds; lines upstream_paused and "
     "upstream_gone before it"},
    {"no_upstream", "no upstream of its service was listed, open and allowed",
     "lines upstream_gone, data_centre_closed; the route's allowed regions"},
    {"version_gone",
     "its stream began at a software version of which no upstream was listed, "
     "open and allowed",
     "'software' in the lines upstream_listed; lines upstream_gone"},
    {"version_unknown",
     "it takes a stream up, and no instance knows the software version at "
     "which that began",
     "line taken_up of the same request; lines sent of the stream, of any "
     "instance; lines started, versions_mixed and store_lost before it"},
    {"account_limit", "its account had used up its limit",
     "line over_limit of the same request: left, per_s, burst and the share "
     "that the instance could use"},
    {"unknown_key", "its key was in no account of the version in force",
     "the version in 'catalog' against the newest one; lines "
     "catalog_in_force, store_lost and changes_heard_from before it"},
    {"no_route", "no route of the version in force matched host and path",
     "the version in 'catalog' against the newest one; lines "
     "catalog_in_force, store_lost and changes_heard_from before it"},
    {"no_catalog", "the instance had no configuration yet",
     "lines started, store_lost and changes_heard_from"},
    {"no_service", "the route's service was not in the configuration",
     "the configuration itself"},
    {"inbound_memory",
     "the connections of callers buffered too much; some "
     "were refused or closed",
     "metrics: inbound_bytes_held, inbound_closed_total; settings: "
     "inbound.memory_percent"},
    {"inbound_connections",
     "callers had too many connections open; some were "
     "closed",
     "metrics: inbound_connections, inbound_closed_total; settings: "
     "inbound.reserved_descriptors"},
    {"stopping", "the instance stops before the request could be answered",
     "line stopping; callers retry at another instance"},
    {"stopped", "the instance stopped before the request was answered",
     "line stopping: how long before; the grace period"},
    {"expired", "its deadline passed",
     "line sent: whether, where and when; "
     "metrics: request_duration_seconds"},
    {"limited",
     "all upstreams of its service have named how many requests a second they "
     "take, and this instance may send no more for now",
     "lines upstream_limit; metric upstream_limits"},
    {"not_connected", "the upstream did not accept a connection",
     "line upstream_paused; other requests to the same upstream"},
    {"upstream_full", "the upstream was full and did not run it",
     "'own' and 'others' in its sent line: how many requests were counted "
     "there, and how old the counts were"},
    {"misdirected", "the address belonged to another upstream",
     "lines upstream_gone and upstream_listed"},
    {"broke_before_answer",
     "the upstream closed the connection before it answered",
     "line upstream_paused; other requests to the same upstream"},
    {"answer_cut_off",
     "the connection to the upstream closed before the answer was complete",
     "line upstream_paused; other requests to the same upstream"},
    {"breaks_upstreams",
     "several upstreams crashed while they ran it; it is no longer sent",
     "lines attempt_failed with the same content, of any id and instance"},
    {"part_breaks_upstreams",
     "several upstreams crashed when they began to answer requests with parts "
     "of its prompt; such requests are not sent",
     "lines attempt_failed with the same parts and progress head, of any id "
     "and instance"},
    {"answer_garbled", "the upstream sent an invalid answer",
     "other requests to the same upstream"},
    {"answer_of_another_request",
     "the upstream's answer did not belong to this request",
     "other requests to the same upstream"},
    {"false_promise",
     "the upstream sent a status that callers read as 'not run', but did not "
     "declare that it had not run it",
     "other requests to the same upstream"},
    {"refusal_not_proven",
     "the upstream declared that it had not run the request, but its status "
     "says otherwise, or the answer may be a stray one: it names no request, "
     "and its connection has had others",
     "other requests to the same upstream"},
    {"resume_failed", "no upstream could resume the interrupted stream",
     "the attempts before it"},
    {"silent", "the upstream sent nothing for too long; the attempt goes on",
     "lines attempt_resumed and retry; other requests to the same upstream"},
    {"answer_rejected",
     "an upstream that had been silent sent an answer that cannot be used",
     "other requests to the same upstream"},
    {"early_repeat_won",
     "the answer of its upstream took longer than usual, and another upstream "
     "gave it",
     "lines sent and early_repeat_sent: the upstreams"},
    {"early_repeat_lost",
     "it was also sent to another upstream, but the first one gave the answer "
     "or was kept",
     "lines sent and early_repeat_sent: the upstreams"},
    {"early_repeat_failed",
     "it was also sent to another upstream, which failed or refused it; the "
     "first one goes on",
     "other requests to the second upstream"},
    {"upstream_error", "the upstream ran it and failed",
     "the upstream's own log"},
    {"caller_gone", "its caller disconnected",
     "age_ms: how long it had waited"},
    {NULL, NULL, NULL},
};

/* Events that change what an instance knows of its configuration, peers and
   upstreams; shown when they precede the end of the request. */
static const char *const S_state_events[] = {
    "catalog_in_force", "upstream_gone",      "upstream_listed",
    "upstream_paused",  "data_centre_closed", "data_centre_open",
    "store_lost",       "store_regained",     "changes_heard_from",
    "peer_silent",      "inbound_limit",      "stopping",
    "started"};

struct BsLogTimeline {
    char *id;
    GPtrArray *lines;   /* json_t; lines that contain the id */
    GPtrArray *context; /* json_t; lines with state events, the newest */
    unsigned unreadable;
};

static void
S_unref(gpointer data)
{
    json_decref(data);
}

BsLogTimeline *
BsLogTimeline_Create(const char *id)
{
    BsLogTimeline *timeline = g_new0(BsLogTimeline, 1);
    timeline->id = g_strdup(id);
    timeline->lines = g_ptr_array_new_with_free_func(S_unref);
    timeline->context = g_ptr_array_new_with_free_func(S_unref);
    return timeline;
}

void
BsLogTimeline_Destroy(BsLogTimeline *timeline)
{
    if (timeline == NULL) {
        return;
    }
    g_ptr_array_free(timeline->lines, TRUE);
    g_ptr_array_free(timeline->context, TRUE);
    g_free(timeline->id);
    g_free(timeline);
}

static const char *
S_text(const json_t *line, const char *name)
{
    const char *text = json_string_value(json_object_get(line, name));
    return text == NULL ? "" : text;
}

static int64_t
S_ms(const json_t *line)
{
    return json_integer_value(json_object_get(line, "ms"));
}

static bool
S_is_state_event(const json_t *line)
{
    for (size_t i = 0; i < G_N_ELEMENTS(S_state_events); i++) {
        if (strcmp(S_text(line, "event"), S_state_events[i]) == 0) {
            return true;
        }
    }
    return false;
}

void
BsLogTimeline_AddLine(BsLogTimeline *timeline, const char *text)
{
    /* Log tools may prefix the object with a time or a name. */
    const char *start = strchr(text, '{');
    json_t *line = start == NULL ? NULL : json_loads(start, 0, NULL);
    if (!json_is_object(line)) {
        timeline->unreadable += text[0] != '\0';
        json_decref(line);
        return;
    }
    if (strcmp(S_text(line, "request"), timeline->id) == 0 ||
        strcmp(S_text(line, "content"), timeline->id) == 0) {
        g_ptr_array_add(timeline->lines, line);
    }
    else if (S_is_state_event(line)) {
        g_ptr_array_add(timeline->context, line);
        if (timeline->context->len > CONTEXT_DROP_LINES * 100) {
            g_ptr_array_remove_range(timeline->context, 0, CONTEXT_DROP_LINES);
        }
    }
    else {
        json_decref(line);
    }
}

/* Appends the fields of LINE except those printed elsewhere; the id of the
   timeline is in its title. */
static void
S_append_fields(const BsLogTimeline *timeline, const json_t *line,
                GString *out)
{
    static const char *const printed_elsewhere[] = {"ms", "event", "instance",
                                                    "wall_ms", NULL};
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)line, name, value)
    {
        if (g_strv_contains(printed_elsewhere, name) ||
            g_strcmp0(json_string_value(value), timeline->id) == 0) {
            continue;
        }
        char *text = json_dumps(value, JSON_ENCODE_ANY);
        g_string_append_printf(out, " %s=%s", name,
                               json_is_string(value) ? json_string_value(value)
                                                     : text);
        free(text);
    }
}

static void
S_append_line(const BsLogTimeline *timeline, const json_t *line,
              const char *mark, GString *out)
{
    int64_t start_ms = S_ms(timeline->lines->pdata[0]);
    g_string_append_printf(out, "%s%+7" G_GINT64_FORMAT " ms  %s  %s", mark,
                           S_ms(line) - start_ms, S_text(line, "instance"),
                           S_text(line, "event"));
    S_append_fields(timeline, line, out);
    g_string_append_c(out, '\n');
}

/* Returns whether the state event CHANGE may explain the end of the request:
   same instance, at most CONTEXT_MS before, and the same upstream where both
   name one. */
static bool
S_may_explain(const BsLogTimeline *timeline, const json_t *change)
{
    const json_t *last = timeline->lines->pdata[timeline->lines->len - 1];
    if (strcmp(S_text(change, "instance"), S_text(last, "instance")) != 0 ||
        S_ms(change) > S_ms(last) || S_ms(change) < S_ms(last) - CONTEXT_MS) {
        return false;
    }
    const char *upstream = S_text(change, "upstream");
    if (upstream[0] == '\0') {
        return true;
    }
    bool named = false;
    for (guint i = 0; i < timeline->lines->len; i++) {
        const char *own = S_text(timeline->lines->pdata[i], "upstream");
        named |= own[0] != '\0';
        if (strcmp(own, upstream) == 0) {
            return true;
        }
    }
    return !named;
}

/* Returns the last cause logged, which decided the end of the request, or
   "". */
static const char *
S_last_cause(const BsLogTimeline *timeline)
{
    for (guint i = timeline->lines->len; i > 0; i--) {
        const char *cause = S_text(timeline->lines->pdata[i - 1], "cause");
        if (cause[0] != '\0') {
            return cause;
        }
    }
    return "";
}

static void
S_append_meaning(const BsLogTimeline *timeline, GString *out)
{
    const char *cause = S_last_cause(timeline);
    const json_t *last = timeline->lines->pdata[timeline->lines->len - 1];
    if (cause[0] == '\0') {
        g_string_append_printf(out, "It ended as: %s.\n",
                               S_text(last, "event"));
        return;
    }
    for (const BsLogCause *row = bs_log_causes; row->cause != NULL; row++) {
        if (strcmp(row->cause, cause) == 0) {
            g_string_append_printf(out, "Cause %s: %s.\nLook at: %s.\n", cause,
                                   row->meaning, row->look_at);
            return;
        }
    }
    g_string_append_printf(out, "Cause %s.\n", cause);
}

bool
BsLogTimeline_Format(BsLogTimeline *timeline, GString *out)
{
    if (timeline->unreadable > 0) {
        g_string_append_printf(out, "%u lines were not JSON objects.\n",
                               timeline->unreadable);
    }
    if (timeline->lines->len == 0) {
        g_string_append_printf(
            out,
            "No line contains %s.  Its lines may have been dropped (see "
            "log_lines_dropped), or its caller reached another instance.\n",
            timeline->id);
        return false;
    }
    g_string_append_printf(out, "Request %s\n", timeline->id);
    for (guint i = 0; i < timeline->context->len; i++) {
        if (S_may_explain(timeline, timeline->context->pdata[i])) {
            S_append_line(timeline, timeline->context->pdata[i], "  . ", out);
        }
    }
    for (guint i = 0; i < timeline->lines->len; i++) {
        S_append_line(timeline, timeline->lines->pdata[i], "    ", out);
    }
    S_append_meaning(timeline, out);
    return true;
}
