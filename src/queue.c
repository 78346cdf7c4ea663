/* queue.c - the queue of work for one model or service. */
#include "queue.h"

/* Tokens that a round adds to the deficit of an account of weight 1. */
#define QUANTUM_TOKENS 2048

/* Accounts, and requests of each, that BsQueue_PeekAhead examines. */
#define LOOKAHEAD_ACCOUNTS 8
#define LOOKAHEAD_WORKS 4

/* The queued work of one account in one tier. */
typedef struct {
    char *account;
    GSequence *works; /* BsWork by deadline */
    int64_t deficit_tokens;
    uint32_t weight;
} BsShare;

typedef struct {
    GHashTable *shares; /* account to BsShare; none is empty */
    GQueue round;       /* of BsShare, next in turn first */
    uint64_t tokens;
    uint32_t count;
} BsTierQueue;

struct BsQueue {
    BsTierQueue tiers[BS_RANK_MAX + 1]; /* by rank; 0 is unused */
};

static void
S_destroy_share(void *data)
{
    BsShare *share = data;
    g_sequence_free(share->works);
    g_free(share->account);
    g_free(share);
}

BsQueue *
BsQueue_Create(void)
{
    BsQueue *queue = g_new0(BsQueue, 1);
    for (uint32_t rank = 0; rank <= BS_RANK_MAX; rank++) {
        queue->tiers[rank].shares = g_hash_table_new_full(
            g_str_hash, g_str_equal, NULL, S_destroy_share);
        g_queue_init(&queue->tiers[rank].round);
    }
    return queue;
}

void
BsQueue_Destroy(BsQueue *queue)
{
    if (queue == NULL) {
        return;
    }
    for (uint32_t rank = 0; rank <= BS_RANK_MAX; rank++) {
        g_queue_clear(&queue->tiers[rank].round);
        g_hash_table_destroy(queue->tiers[rank].shares);
    }
    g_free(queue);
}

static int
S_compare_deadlines(gconstpointer a, gconstpointer b, gpointer context)
{
    (void)context;
    const BsWork *left = a;
    const BsWork *right = b;
    return (left->deadline_ms > right->deadline_ms) -
           (left->deadline_ms < right->deadline_ms);
}

static const char *
S_account(const BsWork *work)
{
    const char *account = BsWork_Request(work)->account;
    return account == NULL ? "" : account;
}

void
BsQueue_Push(BsQueue *queue, BsWork *work, uint32_t weight)
{
    BsTierQueue *tier = &queue->tiers[work->rank];
    BsShare *share = g_hash_table_lookup(tier->shares, S_account(work));
    if (share == NULL) {
        share = g_new0(BsShare, 1);
        share->account = g_strdup(S_account(work));
        share->works = g_sequence_new(NULL);
        g_hash_table_insert(tier->shares, share->account, share);
        g_queue_push_tail(&tier->round, share);
    }
    share->weight = MAX(weight, 1);
    work->queued = g_sequence_insert_sorted(share->works, work,
                                            S_compare_deadlines, NULL);
    tier->tokens += work->cost_tokens;
    tier->count++;
}

BsWork *
BsQueue_Peek(BsQueue *queue, uint32_t rank)
{
    BsTierQueue *tier = &queue->tiers[rank];
    BsShare *share;
    while ((share = g_queue_peek_head(&tier->round)) != NULL) {
        BsWork *work = g_sequence_get(g_sequence_get_begin_iter(share->works));
        if (tier->round.length == 1 ||
            share->deficit_tokens >= work->cost_tokens) {
            return work;
        }
        share->deficit_tokens += (int64_t)QUANTUM_TOKENS * share->weight;
        g_queue_push_tail(&tier->round, g_queue_pop_head(&tier->round));
    }
    return NULL;
}

void
BsQueue_Remove(BsQueue *queue, BsWork *work, bool dispatched)
{
    BsTierQueue *tier = &queue->tiers[work->rank];
    BsShare *share = g_hash_table_lookup(tier->shares, S_account(work));
    g_sequence_remove(work->queued);
    work->queued = NULL;
    tier->tokens -= work->cost_tokens;
    tier->count--;
    if (dispatched) {
        bool alone = tier->round.length == 1;
        share->deficit_tokens -= work->cost_tokens;
        share->deficit_tokens =
            alone ? MAX(share->deficit_tokens, 0) : share->deficit_tokens;
    }
    if (g_sequence_is_empty(share->works)) {
        g_queue_remove(&tier->round, share);
        g_hash_table_remove(tier->shares, share->account);
    }
}

BsWork *
BsQueue_Last(const BsQueue *queue)
{
    for (uint32_t rank = BS_RANK_MAX; rank > 0; rank--) {
        const BsTierQueue *tier = &queue->tiers[rank];
        const BsShare *share = g_queue_peek_tail((GQueue *)&tier->round);
        if (share != NULL) {
            GSequenceIter *end = g_sequence_get_end_iter(share->works);
            return g_sequence_get(g_sequence_iter_prev(end));
        }
    }
    return NULL;
}

uint32_t
BsQueue_Count(const BsQueue *queue, uint32_t rank)
{
    return queue->tiers[rank].count;
}

uint64_t
BsQueue_TokensUpTo(const BsQueue *queue, uint32_t rank)
{
    uint64_t tokens = 0;
    for (uint32_t i = 1; i <= rank; i++) {
        tokens += queue->tiers[i].tokens;
    }
    return tokens;
}

void
BsQueue_ForEach(const BsQueue *queue, void (*visit)(BsWork *, void *),
                void *context)
{
    for (uint32_t rank = 1; rank <= BS_RANK_MAX; rank++) {
        GList *node = queue->tiers[rank].round.head;
        for (; node != NULL; node = node->next) {
            BsShare *share = node->data;
            GSequenceIter *at = g_sequence_get_begin_iter(share->works);
            for (; !g_sequence_iter_is_end(at);
                 at = g_sequence_iter_next(at)) {
                visit(g_sequence_get(at), context);
            }
        }
    }
}

BsWork *
BsQueue_PeekAhead(const BsQueue *queue, uint32_t rank,
                  bool (*match)(const BsWork *, const void *),
                  const void *context)
{
    GList *node = queue->tiers[rank].round.head;
    for (int i = 0; i < LOOKAHEAD_ACCOUNTS && node != NULL;
         i++, node = node->next) {
        const BsShare *share = node->data;
        GSequenceIter *at = g_sequence_get_begin_iter(share->works);
        for (int k = 0; k < LOOKAHEAD_WORKS && !g_sequence_iter_is_end(at);
             k++, at = g_sequence_iter_next(at)) {
            BsWork *work = g_sequence_get(at);
            if (match(work, context)) {
                return work;
            }
        }
    }
    return NULL;
}
