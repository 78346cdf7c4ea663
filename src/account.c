/* account.c - rate limits of accounts. */
#include "account.h"

#include "choice.h"

/* Time between two searches for buckets to drop. */
#define CLEANUP_INTERVAL_MS 10000

#define MS_PER_S 1000.0

typedef struct {
    double requests; /* left */
    double tokens;   /* left; may be below 0 */
    int64_t refilled_ms;
} BsBucket;

struct BsAccounts {
    BsCore *core;
    GHashTable *buckets; /* account to BsBucket */
    int64_t searched_ms;
};

BsAccounts *
BsAccounts_Create(BsCore *core)
{
    BsAccounts *accounts = g_new0(BsAccounts, 1);
    accounts->core = core;
    accounts->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return accounts;
}

void
BsAccounts_Destroy(BsAccounts *accounts)
{
    if (accounts == NULL) {
        return;
    }
    g_hash_table_destroy(accounts->buckets);
    g_free(accounts);
}

/* Returns this entry's share of a limit, per second. */
static double
S_share(const BsAccounts *accounts, uint32_t limit)
{
    uint32_t instances = BsChoice_CountInstances(accounts->core);
    return (double)limit / MAX(instances, 1);
}

static double
S_burst(double share)
{
    return MAX(share * BS_ACCOUNT_BURST_S, 1.0);
}

static BsBucket *
S_refill(BsAccounts *accounts, const BsAccount *account, const char *name)
{
    int64_t now_ms = BsCore_NowMs(accounts->core);
    double requests = S_share(accounts, account->requests_per_s);
    double tokens = S_share(accounts, account->tokens_per_s);
    BsBucket *bucket = g_hash_table_lookup(accounts->buckets, name);
    if (bucket == NULL) {
        bucket = g_new0(BsBucket, 1);
        bucket->requests = S_burst(requests);
        bucket->tokens = S_burst(tokens);
        bucket->refilled_ms = now_ms;
        g_hash_table_insert(accounts->buckets, g_strdup(name), bucket);
    }
    double elapsed_s = (double)(now_ms - bucket->refilled_ms) / MS_PER_S;
    bucket->requests =
        MIN(bucket->requests + requests * elapsed_s, S_burst(requests));
    bucket->tokens = MIN(bucket->tokens + tokens * elapsed_s, S_burst(tokens));
    bucket->refilled_ms = now_ms;
    return bucket;
}

bool
BsAccounts_Admit(BsAccounts *accounts, const BsAccount *account,
                 const BsRequest *request)
{
    if (account->requests_per_s == 0 && account->tokens_per_s == 0) {
        return true;
    }
    BsBucket *bucket = S_refill(accounts, account, request->account);
    if ((account->requests_per_s > 0 && bucket->requests < 1.0) ||
        (account->tokens_per_s > 0 && bucket->tokens <= 0.0)) {
        BsCore_Count(accounts->core, "account_limited", 1);
        return false;
    }
    bucket->requests -= 1.0;
    bucket->tokens -= request->prompt_tokens;
    bucket->tokens -= request->output_tokens;
    return true;
}

void
BsAccounts_OnTick(BsAccounts *accounts)
{
    int64_t now_ms = BsCore_NowMs(accounts->core);
    if (now_ms - accounts->searched_ms < CLEANUP_INTERVAL_MS) {
        return;
    }
    accounts->searched_ms = now_ms;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, accounts->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BsBucket *bucket = value;
        int64_t idle_ms = now_ms - bucket->refilled_ms;
        if (bucket->tokens >= 0.0 &&
            idle_ms > (int64_t)(BS_ACCOUNT_BURST_S * MS_PER_S)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
