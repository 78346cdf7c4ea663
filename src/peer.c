/* peer.c - incarnations of peers, and which of their forwards were handled. */
#include "peer.h"

#include <string.h>

/* Number of consecutive forwards of one incarnation that may arrive out of
   order. */
#define WINDOW_FORWARDS 4096
#define WORD_BITS 64

/* Time between searches for expired peers. */
#define EXPIRE_INTERVAL_MS 1000

#define WINDOW_WORDS (WINDOW_FORWARDS / WORD_BITS)

typedef struct {
    uint64_t incarnation;
    int64_t last_seen_ms;
} BsPeer;

/* Handled forwards of one incarnation; SEQ has the bit SEQ modulo
   WINDOW_FORWARDS. */
typedef struct {
    uint64_t highest;
    int64_t used_ms;
    uint64_t bits[WINDOW_WORDS];
} BsWindow;

struct BsPeers {
    GHashTable *peers;   /* name to BsPeer */
    GHashTable *windows; /* incarnation to BsWindow */
    int64_t keep_ms;
    int64_t expired_ms; /* last search for expired peers */
};

BsPeers *
BsPeers_Create(int64_t keep_ms)
{
    BsPeers *peers = g_new0(BsPeers, 1);
    peers->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    peers->windows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    peers->keep_ms = keep_ms;
    return peers;
}

void
BsPeers_Destroy(BsPeers *peers)
{
    if (peers == NULL) {
        return;
    }
    g_hash_table_destroy(peers->peers);
    g_hash_table_destroy(peers->windows);
    g_free(peers);
}

void
BsPeers_OnMessage(BsPeers *peers, const BsMessage *message, int64_t now_ms)
{
    if (message->from == NULL || message->from_incarnation == 0) {
        return;
    }
    BsPeer *peer = g_hash_table_lookup(peers->peers, message->from);
    if (peer == NULL) {
        peer = g_new0(BsPeer, 1);
        g_hash_table_insert(peers->peers, g_strdup(message->from), peer);
    }
    peer->incarnation = message->from_incarnation;
    peer->last_seen_ms = now_ms;
}

uint64_t
BsPeers_Incarnation(const BsPeers *peers, const char *name, int64_t max_age_ms,
                    int64_t now_ms)
{
    const BsPeer *peer = g_hash_table_lookup(peers->peers, name);
    if (peer == NULL || now_ms - peer->last_seen_ms > max_age_ms) {
        return 0;
    }
    return peer->incarnation;
}

static BsWindow *
S_window(BsPeers *peers, uint64_t incarnation)
{
    BsWindow *window = g_hash_table_lookup(peers->windows, &incarnation);
    if (window == NULL) {
        window = g_new0(BsWindow, 1);
        g_hash_table_insert(peers->windows,
                            g_memdup2(&incarnation, sizeof(incarnation)),
                            window);
    }
    return window;
}

static void
S_clear(BsWindow *window, uint64_t seq)
{
    uint64_t slot = seq % WINDOW_FORWARDS;
    window->bits[slot / WORD_BITS] &= ~(UINT64_C(1) << slot % WORD_BITS);
}

static void
S_advance(BsWindow *window, uint64_t seq)
{
    if (seq - window->highest >= WINDOW_FORWARDS) {
        memset(window->bits, 0, sizeof(window->bits));
    }
    else {
        for (uint64_t next = window->highest + 1; next <= seq; next++) {
            S_clear(window, next);
        }
    }
    window->highest = seq;
}

bool
BsPeers_Admit(BsPeers *peers, uint64_t incarnation, uint64_t seq,
              int64_t now_ms)
{
    BsWindow *window = S_window(peers, incarnation);
    window->used_ms = now_ms;
    if (seq > window->highest) {
        S_advance(window, seq);
    }
    else if (window->highest - seq >= WINDOW_FORWARDS) {
        return false;
    }
    uint64_t slot = seq % WINDOW_FORWARDS;
    uint64_t mask = UINT64_C(1) << slot % WORD_BITS;
    bool fresh = (window->bits[slot / WORD_BITS] & mask) == 0;
    window->bits[slot / WORD_BITS] |= mask;
    return fresh;
}

void
BsPeers_Expire(BsPeers *peers, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    if (now_ms - peers->expired_ms < EXPIRE_INTERVAL_MS) {
        return;
    }
    peers->expired_ms = now_ms;
    g_hash_table_iter_init(&iter, peers->windows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsWindow *window = value;
        if (now_ms - window->used_ms > peers->keep_ms) {
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_iter_init(&iter, peers->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsPeer *peer = value;
        if (now_ms - peer->last_seen_ms > peers->keep_ms) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
