/* gw_takeup.c - the software version at which a stream began and goes on. */
#include "gw_relayparts.h"

#include <string.h>

bool
BsTakeUp_IsOne(const BsRelay *relay)
{
    return relay->route->kind == BS_ROUTE_STREAM &&
           (relay->info.resumes != NULL || relay->info.last_event >= 0);
}

void
BsTakeUp_Log(BsRelay *relay)
{
    BsGate *gate = relay->gate;
    if (!BsTakeUp_IsOne(relay) ||
        !BsEventLog_Begin(gate->log, BS_EVENT_DETAIL, "taken_up")) {
        return;
    }
    BsEventLog_Text(gate->log, "request", relay->id);
    BsEventLog_Text(gate->log, "stream", relay->info.resumes);
    BsEventLog_Number(gate->log, "last_event", relay->info.last_event);
    BsEventLog_Text(gate->log, "route", relay->route->name);
    BsEventLog_Text(gate->log, "service", relay->service->name);
    BsEventLog_End(gate->log);
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
    }
    else if (relay->began.hash != software->hash) {
        S_log_change(relay);
    }
}
