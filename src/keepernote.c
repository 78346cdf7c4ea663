/* keepernote.c - exchanges notes of keys with other keepers. */
#include "keeperstate.h"
#include "run.h"
#include "schema.h"
#include "witness.h"

#include <string.h>

/* Returns whether the next keeper of its key has to know of RECORD. */
static bool
S_needs_note(const BsRecord *record)
{
    return record->outcome != BS_OUTCOME_NOT_RUN &&
           record->state != BS_RECORD_PARKED;
}

/* Returns a note of RECORD; that of a fenced one names the keeper that may
   have run it. */
static BsNote *
S_create_note(const BsKeeper *keeper, const BsRecord *record, bool with_answer)
{
    const BsCoreConfig *config = &keeper->core->config;
    if (record->fenced) {
        return BsRecord_CreateNote(record, record->keeper,
                                   record->keeper_incarnation, false);
    }
    return BsRecord_CreateNote(record, config->name, config->incarnation,
                               with_answer);
}

void
BsKeeper_AppendNotes(BsKeeper *keeper, const char *instance, GPtrArray *notes)
{
    GList *records = BsRecords_List(keeper->records);
    for (GList *node = records; node != NULL; node = node->next) {
        const BsRecord *record = node->data;
        const char *next = BsMembers_KeeperOf(keeper->core->members,
                                              record->account, record->key);
        if (S_needs_note(record) && g_strcmp0(next, instance) == 0) {
            g_ptr_array_add(notes, S_create_note(keeper, record, false));
        }
    }
    g_list_free(records);
    BsWitness_AppendNotes(keeper->core->witness, instance, notes);
    BsRuns_AppendNotes(keeper->core->runs, instance, notes);
}

GPtrArray *
BsKeeper_CreateNotesFor(BsKeeper *keeper, const BsList *list,
                        const char *instance)
{
    GPtrArray *notes = BsSchema_NewList(&bs_schema_note);
    GList *records = BsRecords_List(keeper->records);
    for (GList *node = records; node != NULL; node = node->next) {
        const BsRecord *record = node->data;
        const char *next = BsList_Rank(list, record->scope, NULL, NULL);
        if (S_needs_note(record) && g_strcmp0(next, instance) == 0) {
            g_ptr_array_add(notes, S_create_note(keeper, record, true));
        }
    }
    g_list_free(records);
    return notes;
}

/* Adds the answer of NOTE to RECORD as its only piece. */
static void
S_add_answer(BsKeeper *keeper, BsRecord *record, const BsNote *note)
{
    BsMessage *piece = BsMessage_Create(BS_ANSWER);
    BsAnswer *answer = &piece->u.answer;
    answer->status = note->status;
    answer->content_type = g_strdup(note->content_type);
    answer->data = g_bytes_ref(note->answer);
    answer->outcome = note->outcome;
    answer->final = true;
    record->complete = true;
    record->fenced = false;
    BsRecords_AddPiece(keeper->records, record, piece);
}

/* Merges NOTE, sent by the instance FROM, into the fenced RECORD. */
static void
S_merge_note(BsKeeper *keeper, BsRecord *record, const BsNote *note,
             const char *from)
{
    if (g_strcmp0(record->body_hash, note->body_hash) != 0) {
        g_clear_pointer(&record->body_hash, g_free);
    }
    if (note->outcome == BS_OUTCOME_RAN) {
        record->outcome = BS_OUTCOME_RAN;
    }
    if (record->keeper == NULL || g_strcmp0(from, note->keeper) == 0) {
        BsMessage_SetString(&record->keeper, note->keeper);
        record->keeper_incarnation = note->keeper_incarnation;
    }
    if (note->answer != NULL && !record->complete) {
        S_add_answer(keeper, record, note);
    }
}

/* Adds a fenced record for the key of NOTE. */
static BsRecord *
S_add_fenced(BsKeeper *keeper, const BsNote *note)
{
    BsRecord *record =
        BsRecords_Add(keeper->records, note->account, note->key);
    record->state = BS_RECORD_FENCED;
    record->body_hash = g_strdup(note->body_hash);
    BsKeeper_Fence(keeper, record);
    return record;
}

/* Fences the parked RECORD and answers the requests held in it according to
   NOTE. */
static void
S_fence_parked(BsKeeper *keeper, BsRecord *record, const BsNote *note,
               const char *from)
{
    BsMessage *forward = BsMessage_Copy(record->request);
    GPtrArray *waiters = BsRecord_TakeWaiters(record);
    BsKeeper_Fence(keeper, record);
    S_merge_note(keeper, record, note, from);
    BsKeeper_Redeliver(keeper, forward, waiters);
}

/* Adds NOTE, sent by the instance FROM, to the records.  If the table is full,
   the note is dropped, and for the resend window no key without a ticket
   counts as new. */
static void
S_apply_note(BsKeeper *keeper, const BsNote *note, const char *from)
{
    const BsCoreConfig *config = &keeper->core->config;
    if (note->account == NULL || note->key == NULL ||
        note->outcome == BS_OUTCOME_NOT_RUN ||
        (g_strcmp0(note->keeper, config->name) == 0 &&
         note->keeper_incarnation == config->incarnation)) {
        return;
    }
    BsRecord *record =
        BsRecords_Find(keeper->records, note->account, note->key);
    if (record == NULL && !BsRecords_HasRoom(keeper->records)) {
        BsCore_Count(keeper->core, "notes_without_room", 1);
        keeper->uncertain_until_ms =
            BsCore_NowMs(keeper->core) + config->resend_window_ms;
        return;
    }
    if (record == NULL) {
        record = S_add_fenced(keeper, note);
    }
    else if (record->state == BS_RECORD_PARKED) {
        S_fence_parked(keeper, record, note, from);
        return;
    }
    if (record->fenced) {
        S_merge_note(keeper, record, note, from);
    }
    else {
        BsCore_Count(keeper->core, "notes_of_own_keys", 1);
    }
}

void
BsKeeper_OnNotes(BsKeeper *keeper, const BsMessage *message)
{
    const GPtrArray *notes = message->u.collected.notes;
    for (guint i = 0; notes != NULL && i < notes->len; i++) {
        S_apply_note(keeper, notes->pdata[i], message->from);
    }
    BsCore_Count(keeper->core, "notes_taken", notes == NULL ? 0 : notes->len);
}
