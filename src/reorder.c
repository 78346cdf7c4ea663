/* reorder.c - puts the pieces of an answer back into sequence. */
#include "reorder.h"

struct BsReorder {
    uint64_t next_seq;
    GHashTable *held; /* sequence number to BsMessage */
};

BsReorder *
BsReorder_Create(void)
{
    BsReorder *reorder = g_new0(BsReorder, 1);
    reorder->held = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                          (GDestroyNotify)BsMessage_Destroy);
    return reorder;
}

void
BsReorder_Destroy(BsReorder *reorder)
{
    if (reorder == NULL) {
        return;
    }
    g_hash_table_destroy(reorder->held);
    g_free(reorder);
}

bool
BsReorder_Push(BsReorder *reorder, const BsMessage *message)
{
    uint64_t seq = message->u.answer.seq;
    if (seq < reorder->next_seq ||
        seq - reorder->next_seq >= BS_REORDER_MAX_PIECES ||
        g_hash_table_contains(reorder->held, &seq)) {
        return false;
    }
    BsMessage *copy = BsMessage_Copy(message);
    g_hash_table_insert(reorder->held, &copy->u.answer.seq, copy);
    return true;
}

BsMessage *
BsReorder_Pop(BsReorder *reorder)
{
    gpointer message = NULL;
    if (!g_hash_table_steal_extended(reorder->held, &reorder->next_seq, NULL,
                                     &message)) {
        return NULL;
    }
    reorder->next_seq++;
    return message;
}

bool
BsReorder_HasHeld(const BsReorder *reorder)
{
    return g_hash_table_size(reorder->held) > 0;
}

bool
BsReorder_HasNext(const BsReorder *reorder)
{
    return g_hash_table_contains(reorder->held, &reorder->next_seq);
}
