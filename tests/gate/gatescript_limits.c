/* gatescript_limits.c - commands for quotas, retries, the queue and peers. */
#include "gatescript.h"

#include <string.h>

/* account per-s=N burst=N plain=N */
static bool
S_account(GateScript *script, char **arguments)
{
    script->account->per_s = (double)GateScript_Number(arguments, "per-s", 0);
    script->account->burst = (double)GateScript_Number(arguments, "burst", 0);
    script->account->plain_tokens =
        (uint32_t)GateScript_Number(arguments, "plain", 1);
    return true;
}

/* take COST [times=N] [tolerant]: prints how many requests were admitted and
   the wait of the first one that was not */
static bool
S_take(GateScript *script, char **arguments)
{
    if (arguments[0] == NULL) {
        return false;
    }
    uint64_t cost = g_ascii_strtoull(arguments[0], NULL, 10);
    int64_t times = GateScript_Number(arguments, "times", 1);
    int64_t admitted = 0;
    int64_t wait_ms = 0;
    for (int64_t i = 0; i < times; i++) {
        int64_t wait = BsQuotas_Take(script->quotas, script->account, cost,
                                     GateScript_Flag(arguments, "tolerant"),
                                     script->now_ms);
        admitted += wait == 0;
        wait_ms = wait_ms == 0 ? wait : wait_ms;
    }
    GateScript_Print(script,
                     "take %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
                     ", wait %" G_GINT64_FORMAT " ms",
                     admitted, times, wait_ms);
    return true;
}

/* give-back COST: refunds a request that did not run */
static bool
S_give_back(GateScript *script, char **arguments)
{
    BsQuotas_GiveBack(script->quotas, script->account,
                      g_ascii_strtoull(arguments[0], NULL, 10));
    return true;
}

/* used PEER TOTAL incarnation=N: the total that a peer reports */
static bool
S_used(GateScript *script, char **arguments)
{
    if (arguments[0] == NULL || arguments[1] == NULL) {
        return false;
    }
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    BsQuotaUse use = {BsTargets_Hash(script->account->name),
                      g_ascii_strtoull(arguments[1], NULL, 10)};
    g_array_append_val(uses, use);
    BsQuotas_SetPeer(
        script->quotas, (uint32_t)g_ascii_strtoull(arguments[0], NULL, 10),
        (uint64_t)GateScript_Number(arguments, "incarnation", 1), uses);
    g_array_unref(uses);
    return true;
}

/* fleet-used TOTAL incarnation=N: the sum of a hub */
static bool
S_fleet_used(GateScript *script, char **arguments)
{
    if (arguments[0] == NULL) {
        return false;
    }
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    BsQuotaUse use = {BsTargets_Hash(script->account->name),
                      g_ascii_strtoull(arguments[0], NULL, 10)};
    g_array_append_val(uses, use);
    BsQuotas_SetFleet(script->quotas,
                      (uint64_t)GateScript_Number(arguments, "incarnation", 1),
                      uses);
    g_array_unref(uses);
    return true;
}

/* requests N: new requests for the service */
static bool
S_requests(GateScript *script, char **arguments)
{
    int64_t count = g_ascii_strtoll(arguments[0], NULL, 10);
    for (int64_t i = 0; i < count; i++) {
        BsRetryBudget_AddRequest(script->retries, "desk", script->now_ms);
    }
    return true;
}

/* repeats N instances=N: prints how many of N retries may be sent */
static bool
S_repeats(GateScript *script, char **arguments)
{
    int64_t count = g_ascii_strtoll(arguments[0], NULL, 10);
    int64_t allowed = 0;
    for (int64_t i = 0; i < count; i++) {
        bool granted = BsRetryBudget_Take(
            script->retries, "desk",
            (unsigned)GateScript_Number(arguments, "instances", 1),
            script->now_ms);
        BsRetryBudget_Settle(script->retries, "desk", granted, script->now_ms);
        allowed += granted;
    }
    GateScript_Print(script, "repeats %" G_GINT64_FORMAT, allowed);
    return true;
}

/* wait NAME account=RANK route=RANK since=MS in-time=MS: queues a request */
static bool
S_wait(GateScript *script, char **arguments)
{
    if (arguments[0] == NULL) {
        return false;
    }
    char *name = g_strdup(arguments[0]);
    BsWaitQueueKey key = {
        (uint32_t)GateScript_Number(arguments, "account", 0),
        (uint32_t)GateScript_Number(arguments, "route", 0),
        GateScript_Number(arguments, "since", script->now_ms),
        GateScript_Number(arguments, "in-time", INT64_MAX),
        false,
    };
    g_hash_table_insert(script->waiting, name,
                        BsWaitQueue_Add(script->queue, &key, name));
    return true;
}

/* leave NAME: removes a request from the queue */
static bool
S_leave(GateScript *script, char **arguments)
{
    BsWaitQueueEntry *entry =
        g_hash_table_lookup(script->waiting, arguments[0]);
    BsWaitQueue_Remove(script->queue, entry);
    return g_hash_table_remove(script->waiting, arguments[0]);
}

/* order: prints the queued requests in the order to serve them */
static bool
S_order(GateScript *script, char **arguments)
{
    (void)arguments;
    GPtrArray *order = BsWaitQueue_Order(script->queue, script->now_ms);
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < order->len; i++) {
        g_string_append_printf(text, " %s", (char *)order->pdata[i]);
    }
    GateScript_Print(script, "order%s", text->str);
    g_string_free(text, TRUE);
    g_ptr_array_free(order, TRUE);
    return true;
}

static bool
S_seed(GateScript *script, char **arguments)
{
    BsGossip_AddSeed(script->gossip,
                     (uint32_t)g_ascii_strtoull(arguments[0], NULL, 10),
                     script->now_ms);
    return true;
}

/* hear ADDRESS dc=D incarnation=N sequence=N revision=N reading=N age=MS
   weight=N knows=A,A: receives a report from a peer, which the store answered
   MS ago */
static bool
S_hear(GateScript *script, char **arguments)
{
    const char *data_centre = GateScript_Option(arguments, "dc");
    const char *knows = GateScript_Option(arguments, "knows");
    uint32_t address = (uint32_t)g_ascii_strtoull(arguments[0], NULL, 10);
    BsGossipReport report;
    BsGossipReport_Init(&report);
    report.incarnation =
        (uint64_t)GateScript_Number(arguments, "incarnation", 1);
    report.sequence =
        (uint64_t)GateScript_Number(arguments, "sequence", script->now_ms);
    report.revision = (uint64_t)GateScript_Number(arguments, "revision", 0);
    report.newest = report.revision;
    report.reading =
        (BsGossipReading)GateScript_Number(arguments, "reading", 0);
    report.store_age_ms = GateScript_Number(
        arguments, "age", report.reading == BS_GOSSIP_READS ? 0 : -1);
    report.weight = (uint32_t)GateScript_Number(arguments, "weight", 0);
    report.stopping = GateScript_Flag(arguments, "stopping");
    report.data_centre =
        (uint32_t)BsTargets_Hash(data_centre == NULL ? "n1" : data_centre);
    char **names = g_strsplit(knows == NULL ? "" : knows, ",", -1);
    for (char **name = names; *name != NULL; name++) {
        BsGossipMemberInfo named = {
            .address = (uint32_t)g_ascii_strtoull(*name, NULL, 10)};
        g_array_append_val(report.members, named);
    }
    g_strfreev(names);
    const BsGossipMember *member =
        BsGossip_ApplyReport(script->gossip, address, &report,
                             BS_GOSSIP_REQUEST_NONE, script->now_ms);
    if (member == NULL) {
        GateScript_Print(script, "hear %u is old", address);
    }
    BsGossipReport_Clear(&report);
    return true;
}

static gint
S_compare_addresses(gconstpointer a, gconstpointer b)
{
    uint32_t left = ((const BsGossipReceiver *)a)->address;
    uint32_t right = ((const BsGossipReceiver *)b)->address;
    return (left > right) - (left < right);
}

/* due [news]: prints the peers to which a report is sent now */
static bool
S_due(GateScript *script, char **arguments)
{
    GArray *due = BsGossip_Due(
        script->gossip, GateScript_Flag(arguments, "news"), script->now_ms);
    GString *text = g_string_new(NULL);
    g_array_sort(due, S_compare_addresses);
    for (guint i = 0; i < due->len; i++) {
        g_string_append_printf(
            text, " %u", g_array_index(due, BsGossipReceiver, i).address);
    }
    GateScript_Print(script, "due%s", text->str);
    g_string_free(text, TRUE);
    g_array_unref(due);
    return true;
}

/* fleet revision=N: prints the counts of known and reachable instances, the
   share, a peer with a newer revision than N, and whether this instance is a
   reader, or a backup of readers that get no answers */
static bool
S_fleet(GateScript *script, char **arguments)
{
    static const char *const roles[] = {"no", "yes", "backup"};
    uint64_t revision = (uint64_t)GateScript_Number(arguments, "revision", 0);
    const BsGossipMember *newer =
        BsGossip_Newer(script->gossip, revision, revision, script->now_ms);
    GateScript_Print(
        script, "fleet known=%u heard=%u share=%d%% newer=%u reader=%s",
        BsGossip_Known(script->gossip, script->now_ms),
        BsGossip_Reachable(script->gossip, script->now_ms),
        (int)(BsGossip_Share(script->gossip, script->now_ms) * 100),
        newer == NULL ? 0 : newer->address,
        roles[BsGossip_ReaderRole(script->gossip, script->now_ms)]);
    return true;
}

static void
S_print_unresponsive(const BsGossipMember *member, void *context)
{
    GateScript_Print(context, "%u fell silent", member->address);
}

/* silence: prints the peers that have become unresponsive */
static bool
S_silence(GateScript *script, char **arguments)
{
    (void)arguments;
    BsGossip_EachNewlyUnresponsive(script->gossip, script->now_ms,
                                   S_print_unresponsive, script);
    return true;
}

const GateScriptCommand gate_script_limit_commands[] = {
    {"account", S_account},
    {"take", S_take},
    {"give-back", S_give_back},
    {"used", S_used},
    {"fleet-used", S_fleet_used},
    {"requests", S_requests},
    {"repeats", S_repeats},
    {"wait", S_wait},
    {"leave", S_leave},
    {"order", S_order},
    {"seed", S_seed},
    {"hear", S_hear},
    {"due", S_due},
    {"fleet", S_fleet},
    {"silence", S_silence},
    {NULL, NULL},
};
