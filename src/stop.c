/* stop.c - planned stop of this instance. */
#include "stop.h"

#include "entry.h"
#include "keeper.h"
#include "once.h"
#include "owner.h"
#include "schema.h"

#include <string.h>
#include <syslog.h>

/* Time after which an unacknowledged handover is resent. */
#define RESEND_MS 500

/* Time limit of the handover. */
#define HANDOVER_MAX_MS 5000

/* A handover message is closed once its notes reach this size, in
   bytes. */
#define HANDOVER_BYTES (4 * 1024 * 1024)

typedef enum {
    STOP_NONE,
    STOP_FINISHING,
    STOP_HANDING_OVER,
    STOP_DONE
} BsStopState;

/* A handover of notes that its receiver has not acknowledged. */
typedef struct {
    uint64_t seq;
    BsMessage *handover;
    char *to;
} BsBatch;

struct BsStop {
    BsCore *core;
    GPtrArray *batches; /* BsBatch */
    BsStopState state;
    uint64_t next_seq;
    int64_t until_ms;
    int64_t sent_ms;
};

static void
S_destroy_batch(void *data)
{
    BsBatch *batch = data;
    BsMessage_Destroy(batch->handover);
    g_free(batch->to);
    g_free(batch);
}

BsStop *
BsStop_Create(BsCore *core)
{
    BsStop *stop = g_new0(BsStop, 1);
    stop->core = core;
    stop->batches = g_ptr_array_new_with_free_func(S_destroy_batch);
    return stop;
}

void
BsStop_Destroy(BsStop *stop)
{
    if (stop == NULL) {
        return;
    }
    g_ptr_array_unref(stop->batches);
    g_free(stop);
}

bool
BsStop_IsActive(const BsStop *stop)
{
    return stop->state != STOP_NONE;
}

void
BsStop_OnDrain(BsStop *stop, const BsMessage *message)
{
    int64_t until_ms = BsCore_NowMs(stop->core) + message->u.drain.limit_ms;
    if (stop->state == STOP_NONE) {
        stop->state = STOP_FINISHING;
        stop->until_ms = until_ms;
        BsCore_Log(stop->core, LOG_NOTICE, "stopping: no new work accepted");
        BsOwner_Drain(stop->core->owner);
        return;
    }
    stop->until_ms = MIN(stop->until_ms, until_ms);
}

static bool
S_is_idle(const BsStop *stop)
{
    const BsCore *core = stop->core;
    return BsEntry_Count(core->entry) == 0 && BsOnce_Count(core->once) == 0 &&
           BsOwner_Count(core->owner) == 0 &&
           BsKeeper_CountOpen(core->keeper) == 0;
}

/* Returns a copy of the current instance list without this instance, or
   NULL. */
static BsMessage *
S_list_without_self(const BsStop *stop)
{
    const BsList *list = BsMembers_List(stop->core->members);
    if (list == NULL) {
        return NULL;
    }
    BsMessage *copy = BsMessage_Create(BS_PLATFORM_LIST);
    BsSchema_Copy(BsSchema_OfKind(BS_PLATFORM_LIST), &copy->u, list);
    GPtrArray *entries = copy->u.list.entries;
    for (guint i = entries->len; i > 0; i--) {
        const BsListEntry *entry = entries->pdata[i - 1];
        if (strcmp(entry->name, stop->core->config.name) == 0) {
            g_ptr_array_remove_index(entries, i - 1);
        }
    }
    return copy;
}

static void
S_add_batch(BsStop *stop, const char *to, GPtrArray *notes)
{
    BsBatch *batch = g_new0(BsBatch, 1);
    batch->seq = ++stop->next_seq;
    batch->to = g_strdup(to);
    batch->handover = BsMessage_Create(BS_HANDOVER);
    batch->handover->u.collected.list_revision = batch->seq;
    batch->handover->u.collected.notes = notes;
    g_ptr_array_add(stop->batches, batch);
}

static uint64_t
S_note_bytes(const BsNote *note)
{
    return sizeof(*note) +
           (note->answer == NULL ? 0 : g_bytes_get_size(note->answer));
}

/* Splits NOTES, which it destroys, into handovers of bounded size. */
static void
S_add_batches(BsStop *stop, const char *to, GPtrArray *notes)
{
    GPtrArray *batch_notes = BsSchema_NewList(&bs_schema_note);
    uint64_t bytes = 0;
    while (notes->len > 0) {
        BsNote *note = g_ptr_array_steal_index_fast(notes, notes->len - 1);
        bytes += S_note_bytes(note);
        g_ptr_array_add(batch_notes, note);
        if (bytes >= HANDOVER_BYTES) {
            S_add_batch(stop, to, batch_notes);
            batch_notes = BsSchema_NewList(&bs_schema_note);
            bytes = 0;
        }
    }
    if (batch_notes->len > 0) {
        S_add_batch(stop, to, batch_notes);
    }
    else {
        g_ptr_array_unref(batch_notes);
    }
    g_ptr_array_unref(notes);
}

static void
S_send_batches(BsStop *stop)
{
    stop->sent_ms = BsCore_NowMs(stop->core);
    for (guint i = 0; i < stop->batches->len; i++) {
        const BsBatch *batch = stop->batches->pdata[i];
        BsCore_Count(stop->core, "handovers_sent", 1);
        BsCore_Send(stop->core, batch->to, 0, BsMessage_Copy(batch->handover));
    }
}

static void
S_hand_over(BsStop *stop)
{
    BsMessage *message = S_list_without_self(stop);
    int64_t until_ms = BsCore_NowMs(stop->core) + HANDOVER_MAX_MS;
    stop->state = STOP_HANDING_OVER;
    stop->until_ms = until_ms;
    if (message == NULL) {
        return;
    }
    const BsList *list = &message->u.list;
    for (guint i = 0; i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        if (entry->kind == BS_NODE_INSTANCE && entry->state == BS_NODE_LIVE) {
            S_add_batches(stop, entry->name,
                          BsKeeper_CreateNotesFor(stop->core->keeper, list,
                                                  entry->name));
        }
    }
    BsMessage_Destroy(message);
    S_send_batches(stop);
}

/* Ends the remaining requests with the outcome known for each. */
static void
S_give_up(BsStop *stop)
{
    BsCore_Log(stop->core, LOG_WARNING,
               "stop limit reached: giving up running work");
    BsEntry_GiveUp(stop->core->entry);
    BsKeeper_GiveUp(stop->core->keeper);
    BsOnce_GiveUp(stop->core->once);
}

void
BsStop_OnHandover(BsStop *stop, const BsMessage *message)
{
    BsKeeper_OnNotes(stop->core->keeper, message);
    BsMessage *ack = BsMessage_Create(BS_HANDOVER_ACK);
    ack->u.probe.seq = message->u.collected.list_revision;
    BsCore_Send(stop->core, message->from, message->from_incarnation, ack);
}

void
BsStop_OnAck(BsStop *stop, const BsMessage *message)
{
    for (guint i = 0; i < stop->batches->len; i++) {
        const BsBatch *batch = stop->batches->pdata[i];
        if (batch->seq == message->u.probe.seq) {
            g_ptr_array_remove_index_fast(stop->batches, i);
            return;
        }
    }
}

void
BsStop_OnTick(BsStop *stop)
{
    int64_t now_ms = BsCore_NowMs(stop->core);
    if (stop->state == STOP_FINISHING) {
        if (!S_is_idle(stop) && now_ms >= stop->until_ms) {
            S_give_up(stop);
        }
        if (S_is_idle(stop) || now_ms >= stop->until_ms) {
            S_hand_over(stop);
        }
    }
    if (stop->state != STOP_HANDING_OVER) {
        return;
    }
    if (stop->batches->len == 0 || now_ms >= stop->until_ms) {
        stop->state = STOP_DONE;
        BsCore_Emit(stop->core, BsMessage_Create(BS_DRAINED));
    }
    else if (now_ms - stop->sent_ms >= RESEND_MS) {
        S_send_batches(stop);
    }
}
