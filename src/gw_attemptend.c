/* gw_attemptend.c - how an attempt ended: crashes, and streams that are not
   whole. */
#include "gw_attemptparts.h"
#include "streamend.h"

static void
S_note_part_crash(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    if (BsAttempt_SuspectsParts(relay, attempt)) {
        BsSharedParts shared = BsRelay_SharedParts(relay);
        BsCrashParts_NoteCrash(relay->gate->crash_parts,
                               BsAttempt_Id(relay, attempt), &shared,
                               BsClock_NowMs(relay->gate->clock));
    }
}

void
BsAttempt_NoteCrash(const BsRelay *relay, const BsRelayAttempt *attempt,
                    BsOutboundEnd end)
{
    BsGate *gate = relay->gate;
    if (end == BS_OUTBOUND_BROKEN || end == BS_OUTBOUND_TRUNCATED) {
        BsCrashList_NoteCrash(gate->crash_list, relay->content,
                              BsAttempt_HashUpstream(attempt),
                              attempt->sent_ms, BsClock_NowMs(gate->clock));
        S_note_part_crash(relay, attempt);
    }
}

const char *
BsAttempt_CauseOf(BsOutboundEnd end)
{
    switch (end) {
    case BS_OUTBOUND_BROKEN:
        return "broke_before_answer";
    case BS_OUTBOUND_TRUNCATED:
        return "answer_cut_off";
    default:
        return "answer_garbled";
    }
}

static const BsSseSplitter *
S_get_events(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    return attempt == &relay->attempt ? relay->answer.events
                                      : attempt->splitter;
}

size_t
BsAttempt_RestBytes(const BsRelay *relay, const BsRelayAttempt *attempt)
{
    const BsSseSplitter *events = S_get_events(relay, attempt);
    return events == NULL ? 0 : BsSseSplitter_PartialBytes(events);
}

/* Returns whether the answer of ATTEMPT, whose end by the rules of HTTP is
   END, is no event stream or a complete one. */
static bool
S_is_whole(const BsRelay *relay, const BsRelayAttempt *attempt,
           BsOutboundEnd end)
{
    const BsSseSplitter *events = S_get_events(relay, attempt);
    if (events == NULL) {
        return true;
    }
    bool pending = attempt->pending != NULL && attempt->pending->len > 0;
    BsStreamEnd stream_end = {
        .rest = BsSseSplitter_Partial(events),
        .rest_bytes = BsSseSplitter_PartialBytes(events),
        .has_events = attempt->events > 0 || pending,
        .by_close = end == BS_OUTBOUND_CLOSED,
    };
    return BsStreamEnd_IsComplete(&stream_end);
}

static void
S_count_stream_end(const BsRelay *relay, const BsRelayAttempt *attempt,
                   bool whole)
{
    char *name = g_strdup_printf("stream_ends_total{by=\"%s\",whole=\"%s\"}",
                                 attempt->ended_by, whole ? "yes" : "no");
    BsCounters_Add(relay->gate->counters, name, 1);
    g_free(name);
}

BsOutboundEnd
BsAttempt_JudgeEnd(const BsRelay *relay, BsRelayAttempt *attempt,
                   BsOutboundEnd end)
{
    if (!BsOutboundEnd_IsComplete(end) || attempt->refused) {
        return end;
    }
    bool whole = S_is_whole(relay, attempt, end);
    attempt->ended_by = end == BS_OUTBOUND_CLOSED ? "close" : "framing";
    if (S_get_events(relay, attempt) != NULL) {
        S_count_stream_end(relay, attempt, whole);
    }
    return whole ? end : BS_OUTBOUND_TRUNCATED;
}
