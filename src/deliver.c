/* deliver.c - delivers each message to the role that handles it. */
#include "deliver.h"

#include "account.h"
#include "digest.h"
#include "entry.h"
#include "explain.h"
#include "keeper.h"
#include "lists.h"
#include "once.h"
#include "order.h"
#include "owner.h"
#include "peer.h"
#include "poison.h"
#include "query.h"
#include "run.h"
#include "sheetstore.h"
#include "stop.h"
#include "tenure.h"
#include "watch.h"
#include "witness.h"

static void
S_deliver_answer(BsCore *core, const BsMessage *message)
{
    switch (message->u.answer.to_stage) {
    case BS_STAGE_ENTRY:
        if (!BsOnce_OnAnswer(core->once, message)) {
            BsEntry_OnAnswer(core->entry, message);
        }
        break;
    case BS_STAGE_KEEPER:
        BsKeeper_OnAnswer(core->keeper, message);
        break;
    default:
        BsCore_Count(core, "peer_messages_dropped", 1);
        break;
    }
}

/* Refuses a forward that is addressed to another incarnation or to none; the
   answer shows the sender the incarnation of this instance. */
static void
S_refuse_incarnation(BsCore *core, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    BsMessage *answer =
        BsCore_CreateError(BS_ANSWER, request->request_id, request->attempt,
                           BS_ERR_INCARNATION, BS_OUTCOME_NOT_RUN);
    answer->u.answer.to_stage = request->from_stage;
    BsCore_Count(core, "forwards_for_another_incarnation", 1);
    BsCore_Send(core, message->from, message->from_incarnation, answer);
}

/* Handles a non-idempotent forward at most once; the keeper or the table of
   runs answers repeats of it. */
static void
S_deliver_at_most_once(BsCore *core, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (message->from == NULL || request->seq == 0) {
        BsCore_Count(core, "peer_messages_dropped", 1);
        return;
    }
    if (message->to_incarnation != core->config.incarnation) {
        S_refuse_incarnation(core, message);
        return;
    }
    bool fresh = BsPeers_Admit(core->peers, message->from_incarnation,
                               request->seq, BsCore_NowMs(core));
    BsCore_Count(core, "forwards_repeated", fresh ? 0 : 1);
    if (request->stage == BS_STAGE_KEEPER) {
        if (fresh) {
            BsKeeper_OnForward(core->keeper, message);
        }
        else {
            BsKeeper_OnRepeat(core->keeper, message);
        }
    }
    else if (fresh && BsRuns_Admit(core->runs, message)) {
        BsOwner_OnForward(core->owner, message);
    }
    else if (!fresh) {
        BsRuns_OnRepeat(core->runs, message);
    }
}

static void
S_deliver_forward(BsCore *core, const BsMessage *message)
{
    const BsRequest *request = &message->u.request;
    if (!request->idempotent && (request->stage == BS_STAGE_KEEPER ||
                                 request->stage == BS_STAGE_OWNER)) {
        S_deliver_at_most_once(core, message);
    }
    else if (request->stage == BS_STAGE_OWNER) {
        BsOwner_OnForward(core->owner, message);
    }
    else {
        BsCore_Count(core, "peer_messages_dropped", 1);
    }
}

static void
S_deliver_cancel(BsCore *core, const BsMessage *message)
{
    switch (message->u.cancel.to_stage) {
    case BS_STAGE_KEEPER:
        BsKeeper_OnCancel(core->keeper, message);
        break;
    case BS_STAGE_OWNER:
        if (message->u.cancel.from_stage != BS_STAGE_KEEPER ||
            BsRuns_OnCancel(core->runs, message)) {
            BsOwner_OnCancel(core->owner, message);
        }
        break;
    default:
        BsCore_Count(core, "peer_messages_dropped", 1);
        break;
    }
}

static void
S_deliver_flow(BsCore *core, const BsMessage *message)
{
    switch (message->u.flow.to_stage) {
    case BS_STAGE_KEEPER:
        BsKeeper_OnFlow(core->keeper, message);
        break;
    case BS_STAGE_OWNER:
        BsOwner_OnFlow(core->owner, message);
        break;
    default:
        BsCore_Count(core, "peer_messages_dropped", 1);
        break;
    }
}

static void
S_deliver_accept(BsCore *core, const BsMessage *message)
{
    switch (message->u.accept.to_stage) {
    case BS_STAGE_ENTRY:
        BsEntry_OnAccept(core->entry, message);
        BsOnce_OnAccept(core->once, message);
        break;
    case BS_STAGE_KEEPER:
        BsKeeper_OnAccept(core->keeper, message);
        break;
    default:
        BsCore_Count(core, "peer_messages_dropped", 1);
        break;
    }
}

static void
S_deliver_check(BsCore *core, const BsMessage *message)
{
    if (message->u.accept.to_stage == BS_STAGE_OWNER) {
        BsOwner_OnCheck(core->owner, message);
    }
    else {
        BsCore_Count(core, "peer_messages_dropped", 1);
    }
}

static void
S_tick(BsCore *core)
{
    BsWatchers_OnTick(core->watchers);
    BsSheetStore_OnTick(core->sheets);
    BsTenure_OnTick(core->tenure);
    BsDigests_OnTick(core->digests);
    BsPoison_OnTick(core->poison);
    BsPeers_Expire(core->peers, BsCore_NowMs(core));
    BsWitness_OnTick(core->witness);
    BsAccounts_OnTick(core->accounts);
    BsEntry_OnTick(core->entry);
    BsOnce_OnTick(core->once);
    BsKeeper_OnTick(core->keeper);
    BsRuns_OnTick(core->runs);
    BsOwner_OnTick(core->owner);
    BsExplain_OnTick(core->explain);
    BsStop_OnTick(core->stop);
    BsOrders_OnTick(core->orders);
}

void
BsDeliver_Message(BsCore *core, const BsMessage *message)
{
    switch (message->kind) {
    case BS_TICK:
        S_tick(core);
        break;
    case BS_CALLER_REQUEST:
        BsEntry_OnRequest(core->entry, message);
        break;
    case BS_CALLER_CANCEL:
        BsEntry_OnCancel(core->entry, message);
        BsOnce_OnCancel(core->once, message);
        break;
    case BS_CALLER_FLOW:
        BsEntry_OnFlow(core->entry, message);
        break;
    case BS_UPSTREAM_ANSWER:
        BsOwner_OnUpstreamAnswer(core->owner, message);
        break;
    case BS_UPSTREAM_REPORT:
        BsOwner_OnReport(core->owner, message);
        BsOrders_OnReport(core->orders, message);
        break;
    case BS_PLATFORM_LIST:
    case BS_LIST_PUSH:
        BsLists_OnList(core, message);
        break;
    case BS_PLATFORM_DOWN:
        BsWatchers_OnDown(core->watchers);
        break;
    case BS_WATCH_HANDOVER:
        BsWatchers_OnHandover(core->watchers);
        break;
    case BS_LIST_PULL:
        BsLists_OnPull(core, message);
        break;
    case BS_PLATFORM_SHEET:
    case BS_SHEET_PULL:
    case BS_SHEET_PUSH:
        BsSheetStore_OnMessage(core->sheets, message);
        break;
    case BS_QUERY:
        BsQuery_Handle(core, message);
        break;
    case BS_FORWARD:
        S_deliver_forward(core, message);
        break;
    case BS_ACCEPT:
        S_deliver_accept(core, message);
        break;
    case BS_CHECK:
        S_deliver_check(core, message);
        break;
    case BS_ANSWER:
        S_deliver_answer(core, message);
        break;
    case BS_CANCEL:
        S_deliver_cancel(core, message);
        break;
    case BS_FLOW:
        S_deliver_flow(core, message);
        break;
    case BS_PROBE:
    case BS_PROBE_REPLY:
    case BS_COLLECT:
    case BS_COLLECT_REPLY:
        BsTenure_OnMessage(core->tenure, message);
        break;
    case BS_DIGEST:
        BsDigests_OnMessage(core->digests, message);
        BsTenure_OnRevisions(core->tenure, message,
                             message->u.digest.list_revision,
                             message->u.digest.sheet_revision, 0);
        BsPoison_OnDigest(core->poison, message);
        break;
    case BS_SUSPECT:
        BsPoison_OnMessage(core->poison, message);
        break;
    case BS_WITNESS:
        BsWitness_OnMessage(core->witness, message);
        break;
    case BS_WITNESS_ACK:
        BsKeeper_OnWitnessAck(core->keeper, message);
        break;
    case BS_PEER_QUERY:
    case BS_PEER_REPLY:
        BsExplain_OnMessage(core->explain, message);
        break;
    case BS_DRAIN:
        BsStop_OnDrain(core->stop, message);
        break;
    case BS_HANDOVER:
        BsStop_OnHandover(core->stop, message);
        break;
    case BS_HANDOVER_ACK:
        BsStop_OnAck(core->stop, message);
        break;
    default:
        BsCore_Count(core, "messages_ignored", 1);
        break;
    }
}
