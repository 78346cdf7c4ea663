/*
 * heldattempt.c - silent attempts, held beside the current one until a piece
 * of one of them arrives.
 *
 * Rules: a held attempt keeps its number, owner and pieces; the caller gets
 * nothing while one is held, so each of them may give the next piece.
 */
#include "entrystate.h"

static void
S_clear(BsEntryAttempt *attempt)
{
    BsReorder_Destroy(attempt->reorder);
    g_free(attempt->owner);
    *attempt = (BsEntryAttempt){0};
}

static void
S_destroy(void *data)
{
    S_clear(data);
    g_free(data);
}

GPtrArray *
BsEntry_CreateHeld(void)
{
    return g_ptr_array_new_with_free_func(S_destroy);
}

void
BsEntry_HoldAttempt(BsEntryRequest *request)
{
    BsEntryAttempt *held = g_new(BsEntryAttempt, 1);
    *held = request->current;
    g_ptr_array_add(request->held, held);
    request->current = (BsEntryAttempt){0};
}

void
BsEntry_ResumeHeld(BsEntryRequest *request, guint index)
{
    BsEntryAttempt *held = g_ptr_array_steal_index(request->held, index);
    S_clear(&request->current);
    request->current = *held;
    g_free(held);
    request->retry_ms = 0;
}

void
BsEntry_RemoveHeld(BsEntryRequest *request, guint index)
{
    g_ptr_array_remove_index(request->held, index);
}

void
BsEntry_DropHeld(BsEntry *entry, BsEntryRequest *request, BsErrorKind reason)
{
    while (request->held->len > 0) {
        guint last = request->held->len - 1;
        BsEntry_SendCancel(entry, request, request->held->pdata[last], reason);
        BsEntry_RemoveHeld(request, last);
        request->maybe_ran = true;
    }
}

/* Returns whether NUMBER at FROM is held, and sets INDEX. */
static bool
S_find(const BsEntryRequest *request, uint32_t number, const char *from,
       guint *index)
{
    for (guint i = 0; i < request->held->len; i++) {
        const BsEntryAttempt *held = request->held->pdata[i];
        if (held->number == number && g_strcmp0(held->owner, from) == 0) {
            *index = i;
            return true;
        }
    }
    return false;
}

/* Notes on HELD that a message of its owner has arrived. */
static void
S_note_message(BsEntryAttempt *held, const BsMessage *message, int64_t now_ms)
{
    held->accepted = true;
    held->last_received_ms = now_ms;
    held->owner_incarnation = message->from_incarnation;
}

void
BsEntry_OnHeldAccept(BsEntry *entry, BsEntryRequest *request,
                     const BsMessage *message)
{
    guint index = 0;
    if (!S_find(request, message->u.accept.attempt, message->from, &index)) {
        return;
    }
    if (message->u.accept.gone) {
        BsEntry_RemoveHeld(request, index);
        request->maybe_ran = true;
        return;
    }
    S_note_message(request->held->pdata[index], message,
                   BsCore_NowMs(entry->core));
}

bool
BsEntry_TakeHeldPiece(BsEntry *entry, BsEntryRequest *request,
                      const BsMessage *message)
{
    const BsAnswer *answer = &message->u.answer;
    guint index = 0;
    if (!S_find(request, answer->attempt, message->from, &index)) {
        return false;
    }
    if (answer->error != BS_ERR_NONE) {
        BsEntry_RemoveHeld(request, index);
        request->maybe_ran =
            request->maybe_ran || answer->outcome != BS_OUTCOME_NOT_RUN;
        return false;
    }
    BsEntryAttempt *held = request->held->pdata[index];
    int64_t now_ms = BsCore_NowMs(entry->core);
    S_note_message(held, message, now_ms);
    if (!BsReorder_Push(held->reorder, message)) {
        return false;
    }
    if (!BsReorder_HasNext(held->reorder)) {
        held->gap_since_ms =
            held->gap_since_ms != 0 ? held->gap_since_ms : now_ms;
        return false;
    }
    if (request->current.owner != NULL && request->retry_ms == 0) {
        BsEntry_HoldAttempt(request);
    }
    BsEntry_ResumeHeld(request, index);
    return true;
}
