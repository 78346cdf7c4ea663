/* streamshare.c - the periodic part of the exchange of stream records. */
#include "streamshare.h"

#include "streamcodec.h"

/* Sends the records that are due.  Without a listener they are dropped: the
   next one gets all. */
static void
S_send_records(BsFleetAgent *agent, BsStreamVersions *versions, int64_t now_ms)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(BsStreamRecord));
    if (BsFleetAgent_HasNewListener(agent, now_ms)) {
        BsStreamVersions_SendAgain(versions, now_ms);
    }
    BsStreamVersions_TakeUnsent(versions, BS_STREAM_RECORDS_MAX, now_ms,
                                records);
    if (records->len > 0) {
        BsFleetAgent_SendStreamRecords(agent, records, now_ms);
    }
    g_array_unref(records);
}

/* Records which part of the fleet is in touch.  The count of instances notices
   one that is out of touch for up to a minute, the data centres a longer
   partition. */
static void
S_note_fleet(const BsGossip *gossip, BsStreamVersions *versions,
             int64_t now_ms)
{
    BsCentreWatchState centres = BsGossip_Centres(gossip, now_ms);
    if (centres != BS_CENTREWATCH_COMPLETE ||
        BsGossip_Reachable(gossip, now_ms) < BsGossip_Known(gossip, now_ms)) {
        BsStreamVersions_NoteUnreachable(versions, now_ms);
    }
    BsStreamVersions_NoteUnheard(versions, centres == BS_CENTREWATCH_UNHEARD,
                                 now_ms);
}

void
BsStreamShare_Tick(BsFleetAgent *agent, BsStreamVersions *versions,
                   int64_t current_ms, GArray *questions, int64_t now_ms)
{
    BsStreamVersions_NoteCurrent(versions, current_ms);
    S_note_fleet(BsFleetAgent_Gossip(agent), versions, now_ms);
    S_send_records(agent, versions, now_ms);
    if (questions->len > 0) {
        BsFleetAgent_AskStreams(agent, questions, now_ms);
        g_array_set_size(questions, 0);
    }
}
