/* once.c - non-idempotent requests of callers connected to this instance. */
#include "once.h"

#include "explain.h"
#include "peer.h"
#include "sent.h"
#include "tally.h"
#include "ticket.h"
#include "witness.h"

#include <string.h>

/* Time after the deadline for which the keeper's own answer is awaited. */
#define DEADLINE_GRACE_MS 250

/* Largest number of forwards of one request that may start a run. */
#define ATTEMPTS_MAX 32

/* Pause before the next keeper is tried when this instance and the keeper hold
   different instance lists. */
#define RETRY_MS 200

/* Time since the request was submitted after which it is no longer retried
   because of different lists or an unknown incarnation of the keeper. */
#define RETRY_MAX_MS 5000

/* Polls of an unresponsive keeper per lease time. */
#define POLLS_PER_LEASE 4

struct BsOnce {
    BsCore *core;
    GHashTable *requests; /* request id to BsSent */
};

BsOnce *
BsOnce_Create(BsCore *core)
{
    BsOnce *once = g_new0(BsOnce, 1);
    once->core = core;
    once->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, BsSent_Destroy);
    return once;
}

void
BsOnce_Destroy(BsOnce *once)
{
    if (once == NULL) {
        return;
    }
    g_hash_table_destroy(once->requests);
    g_free(once);
}

uint32_t
BsOnce_Count(const BsOnce *once)
{
    return g_hash_table_size(once->requests);
}

static BsSent *
S_find(const BsOnce *once, const char *request_id)
{
    return request_id == NULL
               ? NULL
               : g_hash_table_lookup(once->requests, request_id);
}

static bool
S_has_note(const BsSent *sent)
{
    return sent->incarnation != 0 && !sent->moved &&
           BsSent_Request(sent)->ticket == NULL;
}

static void
S_finish_note(BsOnce *once, const BsSent *sent, BsOutcome outcome)
{
    if (S_has_note(sent)) {
        BsNote note;
        BsSent_FillNote(sent, &note);
        BsWitness_Finish(once->core->witness, &note, outcome);
    }
}

/* Sends PIECE to the caller, takes ownership of it, and removes SENT if PIECE
   is final. */
static void
S_emit(BsOnce *once, BsSent *sent, BsMessage *piece)
{
    BsAnswer *answer = &piece->u.answer;
    bool final = answer->final;
    piece->kind = BS_CALLER_ANSWER;
    BsMessage_SetString(&answer->request_id, BsSent_Request(sent)->request_id);
    answer->attempt = sent->attempt;
    if (sent->next_seq == 0) {
        g_free(answer->ticket);
        answer->ticket =
            BsTicket_Issue(once->core, BsSent_Request(sent)->account);
    }
    answer->seq = sent->next_seq++;
    if (final) {
        S_finish_note(once, sent, answer->outcome);
        BsExplain_OnEnd(once->core->explain, BsSent_Request(sent)->request_id,
                        answer, sent->keeper);
        BsCore_Count(once->core, "answers_final", 1);
        BsTally_Answer(once->core, BsSent_Request(sent), answer->outcome,
                       BsCore_NowMs(once->core) <= sent->deadline_ms);
    }
    if (sent->disconnected) {
        BsMessage_Destroy(piece);
    }
    else {
        BsCore_Emit(once->core, piece);
    }
    if (final) {
        g_hash_table_remove(once->requests, BsSent_Request(sent)->request_id);
    }
}

static void
S_fail(BsOnce *once, BsSent *sent, BsErrorKind error, BsOutcome outcome)
{
    BsCore_Count(once->core, "answers_error", 1);
    S_emit(once, sent,
           BsCore_CreateError(BS_CALLER_ANSWER,
                              BsSent_Request(sent)->request_id, sent->attempt,
                              error, outcome));
}

/* Ends SENT, whose keeper cannot be asked: with not-run only if no keeper can
   have received it under its key, otherwise with ran or unknown. */
static void
S_fail_unresolved(BsOnce *once, BsSent *sent, BsErrorKind error)
{
    if (sent->incarnation == 0 && !sent->moved && !BsSent_MayBeResend(sent)) {
        S_fail(once, sent, error, BS_OUTCOME_NOT_RUN);
    }
    else if (sent->hint == BS_OUTCOME_RAN) {
        S_fail(once, sent, BS_ERR_ANSWER_LOST, BS_OUTCOME_RAN);
    }
    else {
        S_fail(once, sent, error, BS_OUTCOME_UNKNOWN);
    }
}

/* Forwards SENT to its keeper with the sequence number SEQ, 0 for a new one.
   The body is left out when the incarnation is not known yet, as the keeper
   refuses that forward and thereby reports its incarnation, and when the
   forward only asks for an existing record. */
static void
S_send_forward(BsOnce *once, BsSent *sent, uint64_t seq)
{
    BsMessage *forward = BsMessage_Copy(sent->request);
    BsRequest *request = &forward->u.request;
    int64_t now_ms = BsCore_NowMs(once->core);
    request->attempt = sent->attempt;
    request->deadline_ms = sent->deadline_ms - now_ms;
    request->seq = seq == 0 ? BsCore_NextForward(once->core) : seq;
    request->resume = sent->moved || (sent->accepted && seq == 0);
    request->from_piece = request->resume ? sent->next_seq : 0;
    if (sent->incarnation == 0 || request->resume) {
        g_clear_pointer(&request->body, g_bytes_unref);
    }
    const BsNote *prior =
        BsWitness_FindOther(once->core->witness, request->account,
                            request->key, sent->keeper, sent->incarnation);
    if (prior != NULL && !sent->moved) {
        BsMessage_SetString(&request->prior_keeper, prior->keeper);
        request->prior_incarnation = prior->keeper_incarnation;
    }
    if (!request->resume) {
        sent->forward_seq = request->seq;
    }
    sent->polled_ms = now_ms;
    BsCore_Count(once->core, "forwards", 1);
    BsCore_Send(once->core, sent->keeper, sent->incarnation, forward);
}

/* Starts an attempt at INCARNATION of KEEPER, 0 when it is not known yet. */
static void
S_start_attempt(BsOnce *once, BsSent *sent, const char *keeper,
                uint64_t incarnation)
{
    BsMessage_SetString(&sent->keeper, keeper);
    sent->incarnation = incarnation;
    sent->attempt++;
    sent->accepted = false;
    sent->retry_ms = 0;
    sent->last_received_ms = BsCore_NowMs(once->core);
    BsReorder_Destroy(sent->reorder);
    sent->reorder = BsReorder_Create();
    if (S_has_note(sent)) {
        BsNote note;
        BsSent_FillNote(sent, &note);
        if (!BsWitness_Add(once->core->witness, &note)) {
            sent->moved = true; /* no note: may only ask for a record */
        }
    }
    S_send_forward(once, sent, 0);
}

/* Forwards SENT to the instance that keeps its key. */
static void
S_send_to_keeper(BsOnce *once, BsSent *sent)
{
    const BsCore *core = once->core;
    const BsRequest *request = BsSent_Request(sent);
    const char *keeper =
        BsMembers_KeeperOf(core->members, request->account, request->key);
    if (keeper == NULL) {
        S_fail_unresolved(once, sent, BS_ERR_NO_UPSTREAM);
        return;
    }
    uint64_t incarnation =
        strcmp(keeper, core->config.name) == 0
            ? core->config.incarnation
            : BsPeers_Incarnation(core->peers, keeper, BS_PEER_FRESH_MS,
                                  BsCore_NowMs(core));
    S_start_attempt(once, sent, keeper, incarnation);
}

/* Forwards SENT to the incarnation that its ticket names.  If that instance is
   no longer on the list, it may have handed its record over to the instance
   that keeps the key now, which is asked for it. */
static void
S_send_by_ticket(BsOnce *once, BsSent *sent)
{
    const BsRequest *request = BsSent_Request(sent);
    const BsMembers *members = once->core->members;
    BsTicketParts parts;
    BsTicket_Read(once->core, request->ticket, request->account, &parts);
    if (BsMembers_Find(members, parts.keeper) != NULL) {
        S_start_attempt(once, sent, parts.keeper, parts.incarnation);
    }
    else {
        sent->moved = true;
        S_send_to_keeper(once, sent);
    }
    BsTicketParts_Clear(&parts);
}

void
BsOnce_Submit(BsOnce *once, BsMessage *forward)
{
    BsSent *sent = g_new0(BsSent, 1);
    int64_t now_ms = BsCore_NowMs(once->core);
    sent->request = forward;
    sent->started_ms = now_ms;
    sent->deadline_ms = now_ms + forward->u.request.deadline_ms;
    g_hash_table_insert(once->requests, forward->u.request.request_id, sent);
    BsExplain_OnStart(once->core->explain, &forward->u.request);
    if (forward->u.request.ticket != NULL) {
        S_send_by_ticket(once, sent);
    }
    else {
        S_send_to_keeper(once, sent);
    }
}

/* Asks the earlier keeper, which ANSWER names and which may have run the key,
   for its record. */
static void
S_ask_prior_keeper(BsOnce *once, BsSent *sent, const BsAnswer *answer)
{
    if (sent->moved || answer->keeper == NULL) {
        S_fail_unresolved(once, sent, BS_ERR_KEY_UNCERTAIN);
        return;
    }
    S_finish_note(once, sent,
                  answer->outcome == BS_OUTCOME_RAN ? BS_OUTCOME_RAN
                                                    : BS_OUTCOME_UNKNOWN);
    sent->moved = true;
    sent->hint = answer->outcome;
    S_start_attempt(once, sent, answer->keeper, answer->keeper_incarnation);
}

/* Returns whether SENT may be forwarded again, to the same or another keeper,
   after ANSWER said that it was not run. */
static bool
S_may_retry(const BsOnce *once, const BsSent *sent, const BsAnswer *answer)
{
    const BsCore *core = once->core;
    const BsRequest *request = BsSent_Request(sent);
    int64_t now_ms = BsCore_NowMs(core);
    if (answer->outcome != BS_OUTCOME_NOT_RUN || sent->next_seq > 0 ||
        sent->moved || request->ticket != NULL ||
        sent->attempt >= ATTEMPTS_MAX || now_ms >= sent->deadline_ms ||
        now_ms >= sent->started_ms + RETRY_MAX_MS) {
        return false;
    }
    if (answer->error == BS_ERR_NOT_KEEPER) {
        return true;
    }
    const char *keeper =
        BsMembers_KeeperOf(core->members, request->account, request->key);
    return answer->error == BS_ERR_DRAINING &&
           g_strcmp0(keeper, sent->keeper) != 0;
}

/* Handles PIECE, the last one of the keeper's answer, and takes ownership of
   it. */
static void
S_on_final(BsOnce *once, BsSent *sent, BsMessage *piece)
{
    const BsAnswer *answer = &piece->u.answer;
    if (answer->error == BS_ERR_KEY_MOVED) {
        S_ask_prior_keeper(once, sent, answer);
    }
    else if (S_may_retry(once, sent, answer)) {
        S_finish_note(once, sent, BS_OUTCOME_NOT_RUN);
        sent->incarnation = 0;
        sent->accepted = false;
        sent->retry_ms = BsCore_NowMs(once->core) + RETRY_MS;
        BsCore_Count(once->core, "keeper_retries", 1);
    }
    else if (answer->error == BS_ERR_NOT_KEEPER) {
        S_finish_note(once, sent, BS_OUTCOME_NOT_RUN);
        sent->incarnation = 0;
        S_fail_unresolved(once, sent, BS_ERR_NOT_KEEPER);
    }
    else if (sent->moved && answer->error == BS_ERR_KEY_UNCERTAIN) {
        S_fail_unresolved(once, sent,
                          BsSent_Request(sent)->ticket != NULL
                              ? BS_ERR_TICKET
                              : BS_ERR_KEY_UNCERTAIN);
    }
    else {
        S_emit(once, sent, piece);
        return;
    }
    BsMessage_Destroy(piece);
}

/* Handles an instance that refused a forward meant for another incarnation. */
static void
S_on_incarnation(BsOnce *once, BsSent *sent, const BsMessage *message)
{
    if (sent->incarnation != 0 || sent->retry_ms != 0) {
        S_fail_unresolved(once, sent,
                          BsSent_Request(sent)->ticket != NULL
                              ? BS_ERR_TICKET
                              : BS_ERR_PEER_LOST);
    }
    else if (sent->attempt >= ATTEMPTS_MAX) {
        S_fail_unresolved(once, sent, BS_ERR_INCARNATION);
    }
    else {
        S_start_attempt(once, sent, message->from, message->from_incarnation);
    }
}

bool
BsOnce_OnAnswer(BsOnce *once, const BsMessage *message)
{
    BsSent *sent = S_find(once, message->u.answer.request_id);
    if (sent == NULL) {
        BsExplain_OnLateOutcome(once->core->explain, message);
        return false;
    }
    uint32_t attempt = message->u.answer.attempt;
    bool expected = sent->attempt == attempt && sent->retry_ms == 0 &&
                    g_strcmp0(sent->keeper, message->from) == 0;
    if (expected && message->u.answer.error == BS_ERR_INCARNATION) {
        S_on_incarnation(once, sent, message);
        return true;
    }
    if (!expected || sent->incarnation != message->from_incarnation ||
        !BsReorder_Push(sent->reorder, message)) {
        BsCore_Count(once->core, "answers_dropped", 1);
        return true;
    }
    sent->accepted = true;
    sent->last_received_ms = BsCore_NowMs(once->core);
    char *id = g_strdup(message->u.answer.request_id);
    BsMessage *piece;
    while ((sent = S_find(once, id)) != NULL && sent->attempt == attempt &&
           (piece = BsReorder_Pop(sent->reorder)) != NULL) {
        if (piece->u.answer.final) {
            S_on_final(once, sent, piece);
        }
        else {
            S_emit(once, sent, piece);
        }
    }
    g_free(id);
    return true;
}

void
BsOnce_OnAccept(BsOnce *once, const BsMessage *message)
{
    BsSent *sent = S_find(once, message->u.accept.request_id);
    if (sent != NULL && sent->attempt == message->u.accept.attempt &&
        sent->incarnation == message->from_incarnation) {
        sent->accepted = true;
        sent->last_received_ms = BsCore_NowMs(once->core);
    }
}

void
BsOnce_OnCancel(BsOnce *once, const BsMessage *message)
{
    BsSent *sent = S_find(once, message->u.cancel.request_id);
    if (sent != NULL) {
        BsCore_Count(once->core, "callers_gone", 1);
        sent->disconnected = true;
    }
}

void
BsOnce_GiveUp(BsOnce *once)
{
    GList *all = g_hash_table_get_values(once->requests);
    for (GList *node = all; node != NULL; node = node->next) {
        S_fail_unresolved(once, node->data, BS_ERR_DRAINING);
    }
    g_list_free(all);
}

/* Polls the keeper of SENT, and gives up when nothing was received from it
   for a lease time. */
static void
S_check_contact(BsOnce *once, BsSent *sent, int64_t now_ms)
{
    int64_t lease_ms = once->core->config.lease_ms;
    if (strcmp(sent->keeper, once->core->config.name) == 0) {
        return;
    }
    if (sent->incarnation == 0 && !sent->moved &&
        now_ms - sent->started_ms < RETRY_MAX_MS) {
        if (now_ms - sent->polled_ms >= lease_ms / POLLS_PER_LEASE) {
            S_send_to_keeper(once, sent);
        }
        return;
    }
    if (now_ms - sent->last_received_ms >= lease_ms) {
        S_fail_unresolved(once, sent,
                          BsSent_Request(sent)->ticket != NULL
                              ? BS_ERR_TICKET
                              : BS_ERR_PEER_LOST);
        return;
    }
    if (now_ms - MAX(sent->last_received_ms, sent->polled_ms) >=
        lease_ms / POLLS_PER_LEASE) {
        S_send_forward(once, sent, sent->accepted ? 0 : sent->forward_seq);
    }
}

static void
S_check(BsOnce *once, BsSent *sent, int64_t now_ms)
{
    if (now_ms > sent->deadline_ms + DEADLINE_GRACE_MS) {
        S_fail_unresolved(once, sent, BS_ERR_DEADLINE);
    }
    else if (sent->retry_ms == 0) {
        S_check_contact(once, sent, now_ms);
    }
    else if (now_ms >= sent->retry_ms) {
        S_send_to_keeper(once, sent);
    }
}

void
BsOnce_OnTick(BsOnce *once)
{
    int64_t now_ms = BsCore_NowMs(once->core);
    GList *all = g_hash_table_get_values(once->requests);
    for (GList *node = all; node != NULL; node = node->next) {
        S_check(once, node->data, now_ms);
    }
    g_list_free(all);
}
