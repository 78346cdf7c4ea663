/* keeperwitness.c - has a second instance record a run before it starts. */
#include "keeperstate.h"

#include <string.h>

/* Times that an instance is asked to witness a record before the record is
   refused. */
#define WITNESSES_MAX 3

/* Instances asked to witness per lease time. */
#define WITNESSES_PER_LEASE 4

typedef struct {
    const char *name;
    uint64_t weight;
} BsCandidate;

static gint
S_compare_candidates(gconstpointer left, gconstpointer right)
{
    const BsCandidate *a = left;
    const BsCandidate *b = right;
    return a->weight == b->weight ? 0 : a->weight < b->weight ? 1 : -1;
}

/* Returns the instance that ranks INDEX-th, counted from 0 and modulo their
   number, among the other live instances for the key of RECORD; NULL if there
   is none. */
static const char *
S_pick_witness(BsKeeper *keeper, const BsRecord *record, uint32_t index)
{
    const BsList *list = BsMembers_List(keeper->core->members);
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(BsCandidate));
    for (guint i = 0; list != NULL && i < list->entries->len; i++) {
        const BsListEntry *entry = list->entries->pdata[i];
        if (entry->kind == BS_NODE_INSTANCE && entry->state == BS_NODE_LIVE &&
            strcmp(entry->name, keeper->core->config.name) != 0) {
            BsCandidate candidate = {
                entry->name, BsMembers_Weight(entry->name, record->scope)};
            g_array_append_val(candidates, candidate);
        }
    }
    g_array_sort(candidates, S_compare_candidates);
    const char *name =
        candidates->len == 0
            ? NULL
            : g_array_index(candidates, BsCandidate, index % candidates->len)
                  .name;
    g_array_unref(candidates);
    return name;
}

void
BsKeeper_AskWitness(BsKeeper *keeper, BsRecord *record)
{
    const char *name = S_pick_witness(keeper, record, record->witnesses_asked);
    if (name == NULL) {
        BsKeeper_Dispatch(keeper, record);
        return;
    }
    if (record->witnesses_asked++ >= WITNESSES_MAX) {
        BsKeeper_Refuse(keeper, record, BS_ERR_PEER_LOST);
        return;
    }
    const BsCoreConfig *config = &keeper->core->config;
    BsMessage *ask = BsMessage_Create(BS_WITNESS);
    BsNote *note =
        BsRecord_CreateNote(record, config->name, config->incarnation, false);
    note->state = BS_RECORD_SENT;
    ask->u.note = *note;
    g_free(note);
    record->polled_ms = BsCore_NowMs(keeper->core);
    BsMessage_SetString(&record->witness, name);
    BsCore_Send(keeper->core, name, 0, ask);
}

void
BsKeeper_OnWitnessAck(BsKeeper *keeper, const BsMessage *message)
{
    const BsNote *note = &message->u.note;
    BsRecord *record = BsRecords_FindRun(keeper->records, note->request_id);
    if (record == NULL || record->state != BS_RECORD_WITNESSING ||
        record->witness == NULL ||
        note->keeper_incarnation != keeper->core->config.incarnation) {
        return;
    }
    if (BsKeeper_Tenure(keeper, &record->request->u.request) !=
        BS_TENURE_HELD) {
        BsKeeper_Refuse(keeper, record, BS_ERR_NOT_KEEPER);
        return;
    }
    BsMessage_SetString(&record->witness, message->from);
    BsKeeper_Dispatch(keeper, record);
}

void
BsKeeper_CheckWitness(BsKeeper *keeper, BsRecord *record)
{
    const BsCore *core = keeper->core;
    int64_t now_ms = BsCore_NowMs(core);
    if (now_ms >= record->deadline_ms) {
        BsKeeper_Refuse(keeper, record, BS_ERR_DEADLINE);
        return;
    }
    if (now_ms - record->polled_ms >=
        core->config.lease_ms / WITNESSES_PER_LEASE) {
        BsKeeper_AskWitness(keeper, record);
    }
}
