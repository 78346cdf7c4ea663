/* targetpeers.c - the loads reported by peers and those of this instance, and
   the instances that are reachable. */
#include "targets_private.h"

#include <string.h>

/* How long the count of a cold period is still reported to peers after its
   end. */
#define COLD_REPORTED_MS 2000

void
BsTargets_AddPeerLoads(const BsTargets *targets, BsTarget *target)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GArray *loads = ((BsTargetPeer *)value)->loads;
        for (guint i = 0; i < loads->len; i++) {
            const BsTargetLoad *reported =
                &g_array_index(loads, BsTargetLoad, i);
            target->others +=
                reported->hash == target->hash ? reported->in_flight : 0;
        }
    }
    const BsTargetLoad *fleet = g_hash_table_lookup(
        targets->fleet, GUINT_TO_POINTER((uint32_t)target->hash));
    target->others += fleet == NULL ? 0 : fleet->in_flight;
}

BsTarget *
BsTargets_FindHash(const BsTargets *targets, uint64_t hash)
{
    return g_hash_table_lookup(targets->by_hash,
                               GUINT_TO_POINTER((uint32_t)hash));
}

static void
S_subtract(BsTargets *targets, const BsTargetPeer *peer)
{
    for (guint i = 0; i < peer->loads->len; i++) {
        const BsTargetLoad *load =
            &g_array_index(peer->loads, BsTargetLoad, i);
        BsTarget *target = BsTargets_FindHash(targets, load->hash);
        if (target != NULL) {
            target->others -= MIN(target->others, load->in_flight);
        }
    }
}

static uint32_t
S_cold_sent(const GArray *loads, uint64_t hash)
{
    for (guint i = 0; i < loads->len; i++) {
        const BsTargetLoad *load = &g_array_index(loads, BsTargetLoad, i);
        if (load->hash == hash) {
            return load->cold_sent;
        }
    }
    return 0;
}

static void
S_add_load(BsTargets *targets, const BsTargetPeer *before,
           const BsTargetLoad *load, int64_t now_ms)
{
    BsTarget *target = BsTargets_FindHash(targets, load->hash);
    if (target == NULL) {
        return;
    }
    target->others += load->in_flight;
    uint32_t known = S_cold_sent(before->loads, load->hash);
    if (load->cold_sent > known) {
        BsTargets_NotePeersColdSent(target, load->cold_sent - known, now_ms);
    }
}

void
BsTargets_SetPeer(BsTargets *targets, uint32_t peer, const GArray *loads,
                  int64_t now_ms)
{
    targets->summed = false;
    BsTargetPeer *held =
        g_hash_table_lookup(targets->peers, GUINT_TO_POINTER(peer));
    if (held == NULL) {
        held = g_new0(BsTargetPeer, 1);
        held->loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
        g_hash_table_insert(targets->peers, GUINT_TO_POINTER(peer), held);
    }
    S_subtract(targets, held);
    for (guint i = 0; i < loads->len; i++) {
        S_add_load(targets, held, &g_array_index(loads, BsTargetLoad, i),
                   now_ms);
    }
    g_array_set_size(held->loads, 0);
    g_array_append_vals(held->loads, loads->data, loads->len);
}

void
BsTargets_DropPeer(BsTargets *targets, uint32_t peer)
{
    BsTargetPeer *held =
        g_hash_table_lookup(targets->peers, GUINT_TO_POINTER(peer));
    if (held != NULL) {
        S_subtract(targets, held);
        g_hash_table_remove(targets->peers, GUINT_TO_POINTER(peer));
    }
}

void
BsTargets_DropPeers(BsTargets *targets)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        S_subtract(targets, value);
        g_hash_table_iter_remove(&iter);
    }
}

static void
S_set_fleet(BsTargets *targets, const BsTargetLoad *load, int64_t now_ms)
{
    gpointer key = GUINT_TO_POINTER((uint32_t)load->hash);
    BsTargetLoad *held = g_hash_table_lookup(targets->fleet, key);
    if (held == NULL) {
        held = g_new0(BsTargetLoad, 1);
        /* Earlier requests don't count: only an increase reduces the limit. */
        held->cold_sent = load->cold_sent;
        g_hash_table_insert(targets->fleet, key, held);
    }
    BsTarget *target = BsTargets_FindHash(targets, load->hash);
    if (target != NULL) {
        target->others -= MIN(target->others, held->in_flight);
        target->others += load->in_flight;
        if (load->cold_sent > held->cold_sent) {
            /* Senders of a fleet with hubs have separate parts. */
            target->peer_cold_ms = now_ms;
        }
    }
    *held = *load;
}

void
BsTargets_SetFleet(BsTargets *targets, const GArray *loads, int64_t now_ms)
{
    targets->summed = true;
    for (guint i = 0; i < loads->len; i++) {
        S_set_fleet(targets, &g_array_index(loads, BsTargetLoad, i), now_ms);
    }
}

uint32_t
BsTargets_PeerLoad(const BsTargets *targets)
{
    uint32_t load = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        load += ((BsTarget *)value)->others;
    }
    return load;
}

/* Resets the count of requests of a past cold period, once peers have had time
   to receive it. */
static void
S_end_cold_period(BsTarget *target, int64_t now_ms)
{
    if (target->cold_sent > 0 &&
        now_ms - target->cold_until_ms > COLD_REPORTED_MS) {
        target->cold_sent = 0;
    }
}

void
BsTargets_AppendLoads(BsTargets *targets, int64_t now_ms, GArray *loads)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        BsTarget *target = value;
        S_end_cold_period(target, now_ms);
        if (target->own > 0 || target->cold_sent > 0) {
            BsTargetLoad load = {target->hash, target->own, target->cold_sent};
            g_array_append_val(loads, load);
        }
    }
}

static bool
S_are_equal(const GArray *first, const GArray *second)
{
    return first->len == second->len &&
           (first->len == 0 || memcmp(first->data, second->data,
                                      first->len * sizeof(BsRateSender)) == 0);
}

void
BsTargets_SetSenders(BsTargets *targets, uint32_t address,
                     const GArray *senders)
{
    if (targets->address == address &&
        S_are_equal(targets->senders, senders)) {
        return;
    }
    targets->address = address;
    targets->senders_version++;
    g_array_set_size(targets->senders, 0);
    g_array_append_vals(targets->senders, senders->data, senders->len);
}

BsRateRank
BsTargets_SenderRank(const BsTargets *targets, BsTarget *target)
{
    BsRateSender instance = {
        .address = targets->address,
        .data_centre = (uint32_t)BsTargets_Hash(targets->data_centre),
    };
    if (target->sender_rank_version != targets->senders_version) {
        target->sender_rank_version = targets->senders_version;
        target->sender_rank =
            BsSharedRate_Rank(targets->senders, &instance, target->hash,
                              (uint32_t)BsTargets_Hash(target->data_centre));
    }
    return target->sender_rank;
}
