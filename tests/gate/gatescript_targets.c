/* gatescript_targets.c - script commands for upstreams and the choice of
 * one.
 */
#include "gatescript.h"

#include <arpa/inet.h>
#include <string.h>

#define EXCLUDED_MAX 8

/* list ID dc=D region=R slots=N cold=MS born=N seq=N [draining] */
static bool
S_list(GateScript *script, char **arguments)
{
    const char *data_centre = GateScript_Option(arguments, "dc");
    const char *region = GateScript_Option(arguments, "region");
    if (arguments[0] == NULL) {
        return false;
    }
    BsTargetEntry entry = {
        .id = arguments[0],
        .service = "desk",
        .data_centre = data_centre == NULL ? "n1" : data_centre,
        .region = region == NULL ? "north" : region,
        .slots = (uint32_t)GateScript_Number(arguments, "slots", 6),
        .born_ms = GateScript_Number(arguments, "born", 0),
        .sequence = GateScript_Number(arguments, "seq", 0),
        .cold_ms = GateScript_Number(arguments, "cold", 0),
        .draining = GateScript_Flag(arguments, "draining"),
    };
    BsTargets_Put(script->targets, &entry, script->now_ms);
    return true;
}

/* unlist ID keep=MS */
static bool
S_unlist(GateScript *script, char **arguments)
{
    return arguments[0] != NULL &&
           BsTargets_Remove(script->targets, arguments[0],
                            GateScript_Number(arguments, "keep", 0),
                            script->now_ms);
}

/* close DC: closes a data centre for new work */
static bool
S_close(GateScript *script, char **arguments)
{
    BsTargets_SetClosed(script->targets, arguments[0], true);
    return true;
}

/* open DC: opens it again */
static bool
S_open(GateScript *script, char **arguments)
{
    BsTargets_SetClosed(script->targets, arguments[0], false);
    return true;
}

/* service engine cold-per-s=N cold-ms=MS */
static bool
S_service(GateScript *script, char **arguments)
{
    script->service->engine = GateScript_Flag(arguments, "engine");
    script->service->cold_ms =
        (uint32_t)GateScript_Number(arguments, "cold-ms", 0);
    script->service->cold_per_s =
        (double)GateScript_Number(arguments, "cold-per-s", 0);
    return true;
}

/* regions R ...: the regions that the route allows */
static bool
S_regions(GateScript *script, char **arguments)
{
    g_ptr_array_set_size(script->route->regions, 0);
    for (; *arguments != NULL; arguments++) {
        g_ptr_array_add(script->route->regions, g_strdup(*arguments));
    }
    return true;
}

static void
S_fill_query(GateScript *script, char **arguments, BsTargetQuery *query,
             char **excluded)
{
    const char *session = GateScript_Option(arguments, "session");
    memset(query, 0, sizeof(*query));
    query->service = script->service;
    query->route = script->route;
    query->session = session == NULL ? 0 : BsTargets_Hash(session);
    query->prompt_tokens = (uint32_t)GateScript_Number(arguments, "prompt", 0);
    query->output_tokens = (uint32_t)GateScript_Number(arguments, "out", 0);
    query->reserved_slots = (uint32_t)GateScript_Number(arguments, "left", 0);
    query->excluded = (const char *const *)excluded;
    query->excluded_count = excluded == NULL ? 0 : g_strv_length(excluded);
}

static const char *
S_verdict(BsTargetVerdict verdict)
{
    static const char *const names[] = {"chosen", "busy", "cold", "none"};
    return names[verdict];
}

/* Chooses a target for a request and, if SEND, notes it as sent there. */
static BsTarget *
S_choose_one(GateScript *script, char **arguments, bool send,
             BsTargetVerdict *verdict)
{
    const char *not = GateScript_Option(arguments, "not");
    char **excluded = not == NULL ? NULL : g_strsplit(not, ",", EXCLUDED_MAX);
    BsTargetQuery query;
    S_fill_query(script, arguments, &query, excluded);
    BsTarget *target =
        BsTargets_Choose(script->targets, &query, script->now_ms, verdict);
    if (send && target != NULL) {
        BsTargets_Sent(script->targets, target, &query, script->now_ms);
    }
    g_strfreev(excluded);
    return target;
}

/* choose prompt=N out=N session=S left=SLOTS not=ID,ID: prints the target for
   a request, or why there is none */
static bool
S_choose(GateScript *script, char **arguments)
{
    BsTargetVerdict verdict;
    const BsTarget *target = S_choose_one(script, arguments, false, &verdict);
    GateScript_Print(script, "choose %s",
                     target == NULL ? S_verdict(verdict) : target->id);
    return true;
}

/* send N ...: sends N requests, with the options of choose, and prints where
   they went */
static bool
S_send(GateScript *script, char **arguments)
{
    int64_t count =
        arguments[0] == NULL ? 0 : g_ascii_strtoll(arguments[0], NULL, 10);
    GString *where = g_string_new(NULL);
    for (int64_t i = 0; i < count; i++) {
        BsTargetVerdict verdict;
        const BsTarget *target =
            S_choose_one(script, arguments, true, &verdict);
        g_string_append_printf(
            where, " %s", target == NULL ? S_verdict(verdict) : target->id);
    }
    GateScript_Print(script, "send%s", where->str);
    g_string_free(where, TRUE);
    return count > 0;
}

/* end ID HOW pace=MS count=N prompt=N: ends COUNT requests at ID */
static bool
S_end(GateScript *script, char **arguments)
{
    static const char *const names[] = {"good",        "error",     "refused",
                                        "misdirected", "unreached", "broke",
                                        "abandoned"};
    if (arguments[0] == NULL || arguments[1] == NULL) {
        return false;
    }
    int64_t count = GateScript_Number(arguments, "count", 1);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], arguments[1]) != 0) {
            continue;
        }
        for (int64_t n = 0; n < count; n++) {
            BsTarget *target = BsTargets_Find(script->targets, arguments[0]);
            if (target == NULL) {
                return false;
            }
            BsTargets_Ended(
                script->targets, target, (BsTargetEnd)i,
                (double)GateScript_Number(arguments, "pace", 0),
                (uint32_t)GateScript_Number(arguments, "prompt", 0),
                script->now_ms);
        }
        return true;
    }
    return false;
}

/* peer NUMBER ID:INFLIGHT[:COLDSENT] ...: a peer's report of its loads */
static bool
S_peer(GateScript *script, char **arguments)
{
    if (arguments[0] == NULL) {
        return false;
    }
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    for (char **argument = arguments + 1; *argument != NULL; argument++) {
        char **parts = g_strsplit(*argument, ":", 3);
        BsTargetLoad load = {BsTargets_Hash(parts[0]), 0, 0};
        if (parts[1] != NULL) {
            load.in_flight = (uint32_t)g_ascii_strtoull(parts[1], NULL, 10);
            load.cold_sent =
                parts[2] == NULL
                    ? 0
                    : (uint32_t)g_ascii_strtoull(parts[2], NULL, 10);
        }
        g_array_append_val(loads, load);
        g_strfreev(parts);
    }
    BsTargets_SetPeer(script->targets,
                      (uint32_t)g_ascii_strtoull(arguments[0], NULL, 10),
                      loads, script->now_ms);
    g_array_unref(loads);
    return true;
}

/* silent NUMBER: drops the loads of an unresponsive peer */
static bool
S_silent(GateScript *script, char **arguments)
{
    BsTargets_DropPeer(script->targets,
                       (uint32_t)g_ascii_strtoull(arguments[0], NULL, 10));
    return true;
}

/* share PERCENT: the share of fleet-wide limits that this instance may use */
static bool
S_share(GateScript *script, char **arguments)
{
    double share = (double)g_ascii_strtoll(arguments[0], NULL, 10) / 100;
    BsTargets_SetShare(script->targets, share);
    BsQuotas_SetShare(script->quotas, share);
    return true;
}

/* show ID ...: prints the requests in progress there, ours and the peers' */
static bool
S_show(GateScript *script, char **arguments)
{
    for (; *arguments != NULL; arguments++) {
        const BsTarget *target = BsTargets_Find(script->targets, *arguments);
        if (target == NULL) {
            GateScript_Print(script, "%s is unknown", *arguments);
        }
        else {
            GateScript_Print(script, "%s own=%u others=%u", target->id,
                             target->own, target->others);
        }
    }
    return true;
}

/* senders OWN ADDRESS:DC ...: the address of this instance and the reachable
   instances */
static bool
S_senders(GateScript *script, char **arguments)
{
    if (arguments[0] == NULL) {
        return false;
    }
    GArray *senders = g_array_new(FALSE, FALSE, sizeof(BsRateSender));
    for (char **argument = arguments + 1; *argument != NULL; argument++) {
        char **parts = g_strsplit(*argument, ":", 2);
        BsRateSender sender = {
            (uint32_t)g_ascii_strtoull(parts[0], NULL, 10),
            (uint32_t)BsTargets_Hash(parts[1] == NULL ? "n1" : parts[1])};
        g_array_append_val(senders, sender);
        g_strfreev(parts);
    }
    BsTargets_SetSenders(script->targets,
                         (uint32_t)g_ascii_strtoull(arguments[0], NULL, 10),
                         senders);
    g_array_unref(senders);
    return true;
}

/* far-age MS: age of the counts received from other data centres */
static bool
S_far_age(GateScript *script, char **arguments)
{
    BsTargets_SetRemoteAge(script->targets,
                           g_ascii_strtoll(arguments[0], NULL, 10));
    return true;
}

/* leaving ID: the upstream reports in an answer that it is leaving */
static bool
S_leaving(GateScript *script, char **arguments)
{
    BsTarget *target = BsTargets_Find(script->targets, arguments[0]);
    if (target == NULL) {
        return false;
    }
    BsTargets_SetLeaving(script->targets, target);
    return true;
}

/* quiet ID MS: the upstream requests a pause of MS in an answer */
static bool
S_quiet(GateScript *script, char **arguments)
{
    BsTarget *target = BsTargets_Find(script->targets, arguments[0]);
    if (target == NULL || arguments[1] == NULL) {
        return false;
    }
    BsTargets_SetRequestedPause(
        target, g_ascii_strtoll(arguments[1], NULL, 10), script->now_ms);
    return true;
}

/* quiet-for: prints for how long all upstreams have requested a pause */
static bool
S_quiet_for(GateScript *script, char **arguments)
{
    BsTargetQuery query;
    S_fill_query(script, arguments, &query, NULL);
    GateScript_Print(
        script, "quiet for %" G_GINT64_FORMAT " ms",
        BsTargets_RequestedPauseMs(script->targets, &query, script->now_ms));
    return true;
}

/* prune: frees the targets that are off the list and unused */
static bool
S_prune(GateScript *script, char **arguments)
{
    (void)arguments;
    BsTargets_Prune(script->targets, script->now_ms);
    return true;
}

/* probe-rate N: requests a second that an ejected upstream gets; 0: none is
   ejected */
static bool
S_probe_rate(GateScript *script, char **arguments)
{
    if (arguments[0] == NULL) {
        return false;
    }
    BsTargets_SetProbeRate(script->targets,
                           g_ascii_strtod(arguments[0], NULL));
    return true;
}

/* answer ID sound|failed count=N: the upstream answers COUNT requests; a sound
   answer names no limit.  Prints after which of them it is ejected, or that
   its limit has ended. */
static bool
S_answer(GateScript *script, char **arguments)
{
    BsTarget *target = arguments[0] == NULL
                           ? NULL
                           : BsTargets_Find(script->targets, arguments[0]);
    if (target == NULL || arguments[1] == NULL) {
        return false;
    }
    bool failed = strcmp(arguments[1], "failed") == 0;
    int64_t count = GateScript_Number(arguments, "count", 1);
    for (int64_t i = 1; i <= count; i++) {
        if (!failed &&
            BsTargets_NoteLimit(target, 0, script->now_ms, script->now_ms)) {
            GateScript_Print(script, "%s has no limit", target->id);
        }
        if (BsTargets_NoteAnswer(script->targets, target, failed,
                                 script->now_ms)) {
            GateScript_Print(script, "%s ejected at answer %" G_GINT64_FORMAT,
                             target->id, i);
        }
    }
    return true;
}

static void
S_on_limit_change(const BsTarget *target, const BsTargetLimit *before,
                  void *context)
{
    GateScript_Print(context, "%s limit %.3f, before %.3f", target->id,
                     target->limit.per_s, before->per_s);
}

/* report-limit ID version=N milli=N born=N: another instance reports a limit
   of MILLI thousandths of a request a second; prints what changes */
static bool
S_report_limit(GateScript *script, char **arguments)
{
    if (arguments[0] == NULL) {
        return false;
    }
    GArray *records = g_array_new(FALSE, FALSE, sizeof(BsLimitRecord));
    BsLimitRecord record = {
        .hash = BsTargets_Hash(arguments[0]),
        .born_ms = (uint64_t)GateScript_Number(arguments, "born", 0),
        .version = (uint32_t)GateScript_Number(arguments, "version", 1),
        .per_s_milli = (uint32_t)GateScript_Number(arguments, "milli", 0),
    };
    g_array_append_val(records, record);
    BsTargets_MergeLimits(script->targets, records, script->now_ms,
                          S_on_limit_change, script);
    g_array_unref(records);
    return true;
}

const GateScriptCommand gate_script_target_commands[] = {
    {"list", S_list},
    {"unlist", S_unlist},
    {"close", S_close},
    {"open", S_open},
    {"service", S_service},
    {"regions", S_regions},
    {"choose", S_choose},
    {"send", S_send},
    {"end", S_end},
    {"peer", S_peer},
    {"silent", S_silent},
    {"share", S_share},
    {"show", S_show},
    {"prune", S_prune},
    {"senders", S_senders},
    {"far-age", S_far_age},
    {"leaving", S_leaving},
    {"quiet", S_quiet},
    {"quiet-for", S_quiet_for},
    {"probe-rate", S_probe_rate},
    {"answer", S_answer},
    {"report-limit", S_report_limit},
    {NULL, NULL},
};
