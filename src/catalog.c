/* catalog.c - the routing configuration: routes, services and accounts. */
#include "catalog.h"

#include <string.h>

struct BsCatalog {
    unsigned references;
    uint64_t version;
    BsCatalogLimits limits;
    GHashTable *hosts;    /* host to GPtrArray of BsCatalogRoute */
    GHashTable *services; /* name to BsCatalogService */
    GHashTable *accounts; /* name to BsCatalogAccount */
    GHashTable *keys;     /* key to BsCatalogAccount, not owned */
};

static void
S_destroy_routes(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

BsCatalog *
BsCatalog_Create(uint64_t version, const BsCatalogLimits *limits)
{
    BsCatalog *catalog = g_new0(BsCatalog, 1);
    catalog->references = 1;
    catalog->version = version;
    catalog->limits = *limits;
    catalog->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           S_destroy_routes);
    catalog->services = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL,
        (GDestroyNotify)(void (*)(void))BsCatalogService_Destroy);
    catalog->accounts = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL,
        (GDestroyNotify)(void (*)(void))BsCatalogAccount_Destroy);
    catalog->keys = g_hash_table_new(g_str_hash, g_str_equal);
    return catalog;
}

BsCatalog *
BsCatalog_Ref(BsCatalog *catalog)
{
    catalog->references++;
    return catalog;
}

void
BsCatalog_Unref(BsCatalog *catalog)
{
    if (catalog == NULL || --catalog->references > 0) {
        return;
    }
    g_hash_table_destroy(catalog->keys);
    g_hash_table_destroy(catalog->hosts);
    g_hash_table_destroy(catalog->services);
    g_hash_table_destroy(catalog->accounts);
    g_free(catalog);
}

static void
S_clear_share(gpointer data)
{
    g_free(((BsCatalogShare *)data)->service);
}

BsCatalogRoute *
BsCatalogRoute_Create(void)
{
    BsCatalogRoute *route = g_new0(BsCatalogRoute, 1);
    route->shares = g_array_new(FALSE, FALSE, sizeof(BsCatalogShare));
    g_array_set_clear_func(route->shares, S_clear_share);
    route->regions = g_ptr_array_new_with_free_func(g_free);
    return route;
}

void
BsCatalogRoute_Destroy(BsCatalogRoute *route)
{
    g_array_free(route->shares, TRUE);
    g_ptr_array_free(route->regions, TRUE);
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_free(route);
}

BsCatalogService *
BsCatalogService_Create(void)
{
    return g_new0(BsCatalogService, 1);
}

void
BsCatalogService_Destroy(BsCatalogService *service)
{
    g_free(service->name);
    g_free(service->health_path);
    g_free(service);
}

BsCatalogAccount *
BsCatalogAccount_Create(void)
{
    BsCatalogAccount *account = g_new0(BsCatalogAccount, 1);
    account->keys = g_ptr_array_new_with_free_func(g_free);
    account->regions = g_ptr_array_new_with_free_func(g_free);
    return account;
}

void
BsCatalogAccount_Destroy(BsCatalogAccount *account)
{
    g_ptr_array_free(account->keys, TRUE);
    g_ptr_array_free(account->regions, TRUE);
    g_free(account->name);
    g_free(account);
}

static void
S_destroy_route(gpointer data)
{
    BsCatalogRoute_Destroy(data);
}

void
BsCatalog_AddRoute(BsCatalog *catalog, BsCatalogRoute *route)
{
    GPtrArray *routes = g_hash_table_lookup(catalog->hosts, route->host);
    if (routes == NULL) {
        routes = g_ptr_array_new_with_free_func(S_destroy_route);
        g_hash_table_insert(catalog->hosts, g_strdup(route->host), routes);
    }
    g_ptr_array_add(routes, route);
}

void
BsCatalog_AddService(BsCatalog *catalog, BsCatalogService *service)
{
    g_hash_table_replace(catalog->services, service->name, service);
}

void
BsCatalog_AddAccount(BsCatalog *catalog, BsCatalogAccount *account)
{
    g_hash_table_replace(catalog->accounts, account->name, account);
    for (guint i = 0; i < account->keys->len; i++) {
        g_hash_table_replace(catalog->keys, account->keys->pdata[i], account);
    }
}

uint64_t
BsCatalog_Version(const BsCatalog *catalog)
{
    return catalog->version;
}

const BsCatalogLimits *
BsCatalog_Limits(const BsCatalog *catalog)
{
    return &catalog->limits;
}

const BsCatalogRoute *
BsCatalog_FindRoute(const BsCatalog *catalog, const char *host,
                    const char *target)
{
    const GPtrArray *routes = g_hash_table_lookup(catalog->hosts, host);
    const BsCatalogRoute *best = NULL;
    size_t best_bytes = 0;
    for (guint i = 0; routes != NULL && i < routes->len; i++) {
        const BsCatalogRoute *route = routes->pdata[i];
        size_t bytes = strlen(route->prefix);
        if (bytes > best_bytes && g_str_has_prefix(target, route->prefix)) {
            best = route;
            best_bytes = bytes;
        }
    }
    return best;
}

const BsCatalogService *
BsCatalog_FindService(const BsCatalog *catalog, const char *name)
{
    return g_hash_table_lookup(catalog->services, name);
}

const BsCatalogAccount *
BsCatalog_FindAccount(const BsCatalog *catalog, const char *name)
{
    return g_hash_table_lookup(catalog->accounts, name);
}

const BsCatalogAccount *
BsCatalog_FindKey(const BsCatalog *catalog, const char *key)
{
    return g_hash_table_lookup(catalog->keys, key);
}

void
BsCatalog_EachAccount(const BsCatalog *catalog,
                      void (*func)(const BsCatalogAccount *account,
                                   void *context),
                      void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, catalog->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        func(value, context);
    }
}

uint32_t
BsCatalog_LongestStreamMs(const BsCatalog *catalog)
{
    uint32_t longest_ms = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, catalog->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GPtrArray *routes = value;
        for (guint i = 0; i < routes->len; i++) {
            const BsCatalogRoute *route = routes->pdata[i];
            if (route->kind == BS_ROUTE_STREAM && route->resumable) {
                longest_ms = MAX(longest_ms, route->timeout_ms);
            }
        }
    }
    return longest_ms;
}

const char *
BsCatalogRoute_PickService(const BsCatalogRoute *route, uint64_t seed)
{
    uint64_t total = 0;
    for (guint i = 0; i < route->shares->len; i++) {
        total += g_array_index(route->shares, BsCatalogShare, i).weight;
    }
    uint64_t at = total == 0 ? 0 : seed % total;
    for (guint i = 0; i < route->shares->len; i++) {
        const BsCatalogShare *share =
            &g_array_index(route->shares, BsCatalogShare, i);
        if (at < share->weight) {
            return share->service;
        }
        at -= share->weight;
    }
    return g_array_index(route->shares, BsCatalogShare, 0).service;
}

bool
BsCatalogRoute_MayRepeat(const BsCatalogRoute *route)
{
    return route->kind == BS_ROUTE_SAFE ||
           (route->kind == BS_ROUTE_STREAM && route->resumable);
}

static bool
S_allows_region(const GPtrArray *regions, const char *region)
{
    for (guint i = 0; i < regions->len; i++) {
        if (strcmp(regions->pdata[i], region) == 0) {
            return true;
        }
    }
    return regions->len == 0;
}

bool
BsCatalog_AllowsRegion(const BsCatalogRoute *route,
                       const BsCatalogAccount *account, const char *region)
{
    return S_allows_region(route->regions, region) &&
           (account == NULL || S_allows_region(account->regions, region));
}
