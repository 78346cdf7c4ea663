/*
 * attempt.c - forwards an idempotent request to owners and retries it.
 *
 * Rules: only idempotent requests are retried here; a request that an owner
 * returned unstarted goes to another owner at once, and one whose tier others
 * yield to may try every owner that serves it; a failed attempt is retried
 * within the retry budget after a random wait; a lost attempt (a piece missing
 * for too long, or an owner that was replaced) is cancelled and retried; one
 * that is silent (not accepted in time, or an owner that is unresponsive) is
 * held while another owner that can take over tries the request: the attempt
 * that sends the first piece is kept and the others are cancelled, and if all
 * later ones fail, the held one is current again and goes on until its
 * deadline; a resumed stream skips the events already sent to the caller, and
 * names the model version that began it; it ends with an error once every
 * owner lacks that version.
 */
#include "entrystate.h"

#include "choice.h"
#include "digest.h"
#include "link.h"
#include "retry.h"
#include "work.h"

#include <string.h>

/* Retries of one request after failed or lost attempts. */
#define RETRIES_MAX 3

/* Redirects away from full owners, for a tier that no other tier yields to;
   unlimited for the rest. */
#define REDIRECTS_MAX 2

/* Longest wait until an owner can serve a request without a part of its
   answer, and time between two tries. */
#define OWNER_WAIT_MAX_MS 5000
#define OWNER_WAIT_STEP_MS 250

/* An attempt not accepted within this time is silent. */
#define ACCEPT_TIMEOUT_MS 300

/* Time between the first two tries to replace or repeat a silent attempt,
   doubled for each further try. */
#define REPLACE_INTERVAL_MS 500
#define REPLACE_DOUBLINGS_MAX 4

/* Time between two forwards of a held attempt that is not accepted. */
#define HELD_INTERVAL_MS 2000

/* Time without a message from an owner after which it is checked, and between
   two checks of it. */
#define OWNER_CHECK_AFTER_MS 500

/* Time without a piece after which the owner is checked for the request, after
   and before the start of its answer. */
#define STARTED_CHECK_AFTER_MS 5000
#define WAITING_CHECK_AFTER_MS 20000

/* An attempt with a piece missing for longer than this is lost. */
#define GAP_TIMEOUT_MS 1000

static const BsRequest *
S_request_data(const BsEntryRequest *request)
{
    return &request->request->u.request;
}

static BsOutcome
S_final_outcome(const BsEntryRequest *request)
{
    return request->maybe_ran || request->next_seq > 0 ? BS_OUTCOME_UNKNOWN
                                                       : BS_OUTCOME_NOT_RUN;
}

static bool
S_is_restartable(const BsEntryRequest *request)
{
    return S_request_data(request)->stream || request->next_seq == 0;
}

static bool
S_is_privileged(const BsEntry *entry, const BsEntryRequest *request)
{
    return BsSheet_IsYieldedTo(BsCore_Sheet(entry->core),
                               S_request_data(request)->tier);
}

void
BsEntry_SendCancel(BsEntry *entry, const BsEntryRequest *request,
                   const BsEntryAttempt *attempt, BsErrorKind reason)
{
    BsMessage *cancel = BsMessage_Create(BS_CANCEL);
    cancel->u.cancel.request_id =
        g_strdup(S_request_data(request)->request_id);
    cancel->u.cancel.attempt = attempt->number;
    cancel->u.cancel.to_stage = S_request_data(request)->stage;
    cancel->u.cancel.reason = reason;
    BsCore_Send(entry->core, attempt->owner, attempt->owner_incarnation,
                cancel);
}

static void
S_cancel_current(BsEntry *entry, const BsEntryRequest *request,
                 BsErrorKind reason)
{
    if (request->current.owner != NULL && request->retry_ms == 0) {
        BsEntry_SendCancel(entry, request, &request->current, reason);
    }
}

void
BsEntry_CancelAttempts(BsEntry *entry, BsEntryRequest *request,
                       BsErrorKind reason)
{
    S_cancel_current(entry, request, reason);
    BsEntry_DropHeld(entry, request, reason);
}

static const char *
S_pick_owner(BsEntry *entry, BsEntryRequest *request)
{
    const BsRequest *wanted = S_request_data(request);
    const char *owner =
        BsChoice_PickOwner(entry->core, wanted, request->tried);
    if (owner == NULL && request->retries > 0) {
        BsEntry_ForgetTried(request);
        owner = BsChoice_PickOwner(entry->core, wanted, request->tried);
    }
    return owner;
}

/* Charges the forward to the link budget and to the load of the owner. */
static void
S_charge_forward(BsEntry *entry, const BsEntryRequest *request,
                 BsEntryAttempt *attempt)
{
    const BsRequest *wanted = S_request_data(request);
    attempt->remote = BsChoice_IsRemote(entry->core, attempt->owner);
    if (attempt->remote) {
        BsLink_Charge(entry->core->link, wanted->tier, request->body_bytes);
    }
    BsDigests_OnForward(entry->core->digests, attempt->owner,
                        BsRequest_Serves(wanted),
                        wanted->prompt_tokens + wanted->output_tokens);
}

/* Resumes the held attempt that was forwarded last, if there is one; returns
   whether there was. */
static bool
S_resume_held(BsEntry *entry, BsEntryRequest *request)
{
    if (request->held->len == 0) {
        return false;
    }
    BsEntry_ResumeHeld(request, request->held->len - 1);
    BsEntry_ForgetTried(request);
    request->replace_tries = 0;
    request->replace_ms = BsCore_NowMs(entry->core) + REPLACE_INTERVAL_MS;
    return true;
}

/* Fails a request, unless a held attempt may still answer it. */
static void
S_fail(BsEntry *entry, BsEntryRequest *request, BsErrorKind error,
       BsOutcome outcome)
{
    if (!S_resume_held(entry, request)) {
        BsEntry_Fail(entry, request, error, outcome);
    }
}

/* Returns whether a request that has no owner left to try may wait for one
   until NEXT_MS: until its deadline if its caller has a part of the answer,
   otherwise for OWNER_WAIT_MAX_MS if the last owner had no upstream. */
static bool
S_may_wait_for_owner(const BsEntryRequest *request, int64_t next_ms)
{
    if (next_ms >= request->deadline_ms) {
        return false;
    }
    return request->next_seq > 0 ||
           (request->last_error == BS_ERR_NO_UPSTREAM &&
            next_ms < request->no_owner_since_ms + OWNER_WAIT_MAX_MS);
}

/* Handles a request that has no owner left to try.  If it may wait, all owners
   are tried again later, since they may be waiting for their tenure, an
   upstream or capacity.  The request fails if it may not, or if no owner was
   ever found. */
static void
S_handle_no_owner(BsEntry *entry, BsEntryRequest *request)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    int64_t next_ms = now_ms + OWNER_WAIT_STEP_MS;
    if (BsEntry_IsVersionGone(entry, request)) {
        BsCore_Count(entry->core, "streams_ended_version_gone", 1);
        S_fail(entry, request, BS_ERR_VERSION_GONE, S_final_outcome(request));
        return;
    }
    if (request->last_error == BS_ERR_NONE) {
        request->last_error = BS_ERR_NO_UPSTREAM;
        request->no_owner_since_ms = INT64_MIN;
    }
    if (request->no_owner_since_ms == 0) {
        request->no_owner_since_ms = now_ms;
    }
    if (S_may_wait_for_owner(request, next_ms)) {
        BsCore_Count(entry->core, "owner_waits", 1);
        BsEntry_ForgetTried(request);
        request->retry_ms = next_ms;
        return;
    }
    S_fail(entry, request, (BsErrorKind)request->last_error,
           S_final_outcome(request));
}

/* Sends the forward of ATTEMPT; an owner that has it already only accepts it
   again. */
static void
S_send_forward(BsEntry *entry, const BsEntryRequest *request,
               BsEntryAttempt *attempt)
{
    S_charge_forward(entry, request, attempt);
    BsMessage *forward = BsMessage_Copy(request->request);
    forward->u.request.attempt = attempt->number;
    forward->u.request.deadline_ms =
        request->deadline_ms - BsCore_NowMs(entry->core);
    forward->u.request.skip_events += request->events;
    BsCore_Count(entry->core, "forwards", 1);
    BsCore_Send(entry->core, attempt->owner, 0, forward);
}

static void
S_reset_replacing(BsEntryRequest *request)
{
    request->replace_ms = 0;
    request->replace_tries = 0;
}

void
BsEntry_Forward(BsEntry *entry, BsEntryRequest *request)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    const char *owner = S_pick_owner(entry, request);
    request->retry_ms = 0;
    if (owner == NULL) {
        S_handle_no_owner(entry, request);
        return;
    }
    request->current.number = ++request->attempts;
    request->current.accepted = false;
    request->current.owner_incarnation = 0;
    request->current.forwarded_ms = now_ms;
    request->current.last_received_ms = now_ms;
    request->current.gap_since_ms = 0;
    BsMessage_SetString(&request->current.owner, owner);
    BsReorder_Destroy(request->current.reorder);
    request->current.reorder = BsReorder_Create();
    S_reset_replacing(request);
    S_send_forward(entry, request, &request->current);
}

/* Returns whether the owner returned the request because it cannot serve it,
   as opposed to a failed attempt. */
static bool
S_is_returned(const BsEntry *entry, const BsEntryRequest *request,
              const BsAnswer *answer)
{
    switch (answer->error) {
    case BS_ERR_OVERLOADED:
    case BS_ERR_NO_UPSTREAM:
    case BS_ERR_DRAINING:
    case BS_ERR_MEMORY_FULL:
    case BS_ERR_NOT_READY:
    case BS_ERR_VERSION_GONE:
        return true;
    case BS_ERR_DEADLINE:
        return S_is_privileged(entry, request) &&
               answer->outcome == BS_OUTCOME_NOT_RUN;
    default:
        return false;
    }
}

static bool
S_is_transient(BsErrorKind error)
{
    return error == BS_ERR_CONNECT || error == BS_ERR_UPSTREAM_REFUSED ||
           error == BS_ERR_UPSTREAM_FAILED || error == BS_ERR_PEER_LOST;
}

/* Schedules another attempt after a random wait; returns false when the retry
   limit, the deadline or the retry budget does not allow one. */
static bool
S_schedule_retry(BsEntry *entry, BsEntryRequest *request)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    int64_t wait_ms = BsRetries_WaitMs(entry->core->retries, request->retries);
    if (request->retries >= RETRIES_MAX ||
        now_ms + wait_ms >= request->deadline_ms ||
        !BsRetries_Take(entry->core->retries, S_request_data(request)->tier)) {
        return false;
    }
    request->retries++;
    request->retry_ms = now_ms + MAX(wait_ms, 1);
    return true;
}

/* Starts or schedules another attempt after a final error, if one is
   allowed. */
static bool
S_try_other(BsEntry *entry, BsEntryRequest *request, const BsAnswer *answer)
{
    request->maybe_ran =
        request->maybe_ran || answer->outcome != BS_OUTCOME_NOT_RUN;
    request->request->u.request.crashes += answer->crashed ? 1 : 0;
    request->last_error = answer->error;
    request->retry_after_s = answer->retry_after_s;
    g_hash_table_add(request->tried, g_strdup(request->current.owner));
    if (answer->error == BS_ERR_VERSION_GONE) {
        BsEntry_AddGone(request, request->current.owner);
    }
    if (S_is_returned(entry, request, answer)) {
        bool full = answer->error == BS_ERR_OVERLOADED ||
                    answer->error == BS_ERR_MEMORY_FULL;
        if (full && !S_is_privileged(entry, request) &&
            request->redirects >= REDIRECTS_MAX) {
            return false;
        }
        request->redirects += full;
        BsCore_Count(entry->core, "redirects", 1);
        BsEntry_Forward(entry, request);
        return true;
    }
    return S_is_transient(answer->error) && S_schedule_retry(entry, request);
}

bool
BsEntry_TryAgain(BsEntry *entry, BsEntryRequest *request,
                 const BsAnswer *answer)
{
    if (!S_is_restartable(request) ||
        BsCore_NowMs(entry->core) >= request->deadline_ms) {
        return false;
    }
    return S_try_other(entry, request, answer) ||
           S_resume_held(entry, request);
}

/* Notes that the attempt's owner failed it, and that it may have run. */
static void
S_note_lost(BsEntry *entry, BsEntryRequest *request)
{
    BsCore_Count(entry->core, "attempts_lost", 1);
    g_hash_table_add(request->tried, g_strdup(request->current.owner));
    request->maybe_ran = true;
    request->last_error = BS_ERR_PEER_LOST;
}

void
BsEntry_OnAttemptLost(BsEntry *entry, BsEntryRequest *request)
{
    S_cancel_current(entry, request, BS_ERR_PEER_LOST);
    S_note_lost(entry, request);
    if (!S_is_restartable(request) || !S_schedule_retry(entry, request)) {
        S_fail(entry, request, BS_ERR_PEER_LOST, BS_OUTCOME_UNKNOWN);
    }
}

/* Returns whether an owner that was not tried yet and is responsive serves
   REQUEST. */
static bool
S_has_other_owner(BsEntry *entry, BsEntryRequest *request)
{
    bool known =
        !g_hash_table_add(request->tried, g_strdup(request->current.owner));
    const char *other = BsChoice_PickOwner(
        entry->core, S_request_data(request), request->tried);
    if (!known) {
        g_hash_table_remove(request->tried, request->current.owner);
    }
    return other != NULL &&
           !BsDigests_IsUnavailable(entry->core->digests, other);
}

/* Holds the current attempt, which is silent, and lets another owner try the
   request if one can; otherwise repeats its forward until it is accepted. */
static void
S_replace_silent(BsEntry *entry, BsEntryRequest *request)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    if (now_ms < request->replace_ms) {
        return;
    }
    request->replace_ms =
        now_ms + (REPLACE_INTERVAL_MS
                  << MIN(request->replace_tries, REPLACE_DOUBLINGS_MAX));
    request->replace_tries++;
    BsDigests_OnUnanswered(entry->core->digests, request->current.owner);
    if (S_is_restartable(request) && S_has_other_owner(entry, request) &&
        S_schedule_retry(entry, request)) {
        BsCore_Count(entry->core, "attempts_held", 1);
        g_hash_table_add(request->tried, g_strdup(request->current.owner));
        request->last_error = BS_ERR_PEER_LOST;
        BsEntry_HoldAttempt(request);
    }
    else if (!request->current.accepted) {
        S_send_forward(entry, request, &request->current);
    }
}

/* Returns the time of the owner's last message, but not before the forward or
   the end of a pause of this instance, in which nothing was received. */
static int64_t
S_last_owner_message_ms(const BsEntry *entry, const BsEntryAttempt *attempt)
{
    int64_t last_received_ms =
        BsDigests_LastSeenMs(entry->core->digests, attempt->owner);
    last_received_ms = MAX(last_received_ms, attempt->forwarded_ms);
    return MAX(last_received_ms, entry->running_since_ms);
}

/* Returns whether the owner was removed from the list or has restarted. */
static bool
S_is_owner_replaced(const BsEntry *entry, const BsEntryAttempt *attempt)
{
    uint64_t known =
        BsDigests_Incarnation(entry->core->digests, attempt->owner);
    if (BsMembers_Find(entry->core->members, attempt->owner) == NULL) {
        return true;
    }
    return known != 0 && attempt->owner_incarnation != 0 &&
           known != attempt->owner_incarnation;
}

/* Returns whether a piece of the answer is missing for too long. */
static bool
S_has_lost_piece(const BsEntry *entry, const BsEntryRequest *request)
{
    int64_t since_ms =
        MAX(request->current.gap_since_ms, entry->running_since_ms);
    return request->current.gap_since_ms != 0 &&
           BsCore_NowMs(entry->core) - since_ms > GAP_TIMEOUT_MS;
}

/* Returns whether the owner has been silent for too long. */
static bool
S_is_attempt_silent(const BsEntry *entry, const BsEntryRequest *request)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    int64_t start_ms =
        MAX(request->current.forwarded_ms, entry->running_since_ms);
    return request->current.accepted
               ? now_ms - S_last_owner_message_ms(entry, &request->current) >
                     entry->core->config.lease_ms
               : now_ms - start_ms > ACCEPT_TIMEOUT_MS;
}

/* Asks the owner whether it still holds the request, if no message of the
   owner or no piece of this answer has arrived for too long. */
static void
S_check_owner(BsEntry *entry, const BsEntryRequest *request,
              BsEntryAttempt *attempt)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    bool owner_overdue = now_ms - S_last_owner_message_ms(entry, attempt) >
                         OWNER_CHECK_AFTER_MS;
    int64_t check_ms = request->next_seq > 0 ? STARTED_CHECK_AFTER_MS
                                             : WAITING_CHECK_AFTER_MS;
    bool piece_overdue = now_ms - attempt->last_received_ms > check_ms;
    int64_t *last_ms = g_hash_table_lookup(entry->checks, attempt->owner);
    if (last_ms == NULL) {
        last_ms = g_new0(int64_t, 1);
        g_hash_table_insert(entry->checks, g_strdup(attempt->owner), last_ms);
    }
    if (!piece_overdue &&
        (!owner_overdue || now_ms - *last_ms < OWNER_CHECK_AFTER_MS)) {
        return;
    }
    *last_ms = now_ms;
    attempt->last_received_ms =
        piece_overdue ? now_ms : attempt->last_received_ms;
    BsMessage *check = BsMessage_Create(BS_CHECK);
    check->u.accept.request_id = g_strdup(S_request_data(request)->request_id);
    check->u.accept.attempt = attempt->number;
    check->u.accept.to_stage = S_request_data(request)->stage;
    BsCore_Count(entry->core, "checks", 1);
    BsCore_Send(entry->core, attempt->owner, attempt->owner_incarnation,
                check);
}

/* Cancels held attempts whose owner was replaced; repeats the forward of the
   others until it is accepted, then checks their owner. */
static void
S_monitor_held(BsEntry *entry, BsEntryRequest *request)
{
    int64_t now_ms = BsCore_NowMs(entry->core);
    for (guint i = request->held->len; i > 0; i--) {
        BsEntryAttempt *held = request->held->pdata[i - 1];
        if (S_is_owner_replaced(entry, held)) {
            BsEntry_SendCancel(entry, request, held, BS_ERR_PEER_LOST);
            BsCore_Count(entry->core, "attempts_lost", 1);
            BsEntry_RemoveHeld(request, i - 1);
            request->maybe_ran = true;
        }
        else if (held->accepted) {
            S_check_owner(entry, request, held);
        }
        else if (now_ms - held->last_received_ms > HELD_INTERVAL_MS) {
            held->last_received_ms = now_ms;
            S_send_forward(entry, request, held);
        }
    }
}

void
BsEntry_MonitorAttempt(BsEntry *entry, BsEntryRequest *request)
{
    S_monitor_held(entry, request);
    if (request->retry_ms != 0) {
        if (BsCore_NowMs(entry->core) >= request->retry_ms) {
            BsEntry_Forward(entry, request);
        }
        return;
    }
    if (g_strcmp0(request->current.owner, entry->core->config.name) == 0) {
        return;
    }
    if (S_has_lost_piece(entry, request)) {
        BsEntry_OnAttemptLost(entry, request);
        return;
    }
    if (S_is_owner_replaced(entry, &request->current)) {
        BsDigests_OnUnanswered(entry->core->digests, request->current.owner);
        BsEntry_OnAttemptLost(entry, request);
        return;
    }
    if (S_is_attempt_silent(entry, request)) {
        S_replace_silent(entry, request);
    }
    else {
        S_reset_replacing(request);
    }
    if (request->current.accepted && request->retry_ms == 0) {
        S_check_owner(entry, request, &request->current);
    }
}
