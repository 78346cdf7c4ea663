/* sheetcheck.c - validation of the values of a sheet. */
#include "sheetdata.h"

#include <string.h>

#define SHEET_FORMAT 1
#define SHA256_HEX_BYTES 64
#define RANK_MAX 16
#define DEADLINE_MAX_MS (24 * 3600 * 1000)

static bool
S_check_name(const char *kind, const char *name, GError **error)
{
    if (strlen(name) > BS_NAME_MAX_BYTES) {
        return BsSheetData_Fail(
            error,
            "%s name '%s' is longer than %d bytes; shorten "
            "it",
            kind, name, BS_NAME_MAX_BYTES);
    }
    for (const char *c = name; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("-_.", *c) == NULL) {
            return BsSheetData_Fail(error,
                                    "%s name '%s' may hold letters, digits, "
                                    "'-', '_' and '.' only; rename it",
                                    kind, name);
        }
    }
    return true;
}

/* Checks the names of an array of structs whose first member is the name. */
static bool
S_check_names(const char *kind, const void *rows, size_t row_bytes,
              unsigned count, GError **error)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    bool valid = true;
    for (unsigned i = 0; i < count && valid; i++) {
        const void *row = (const char *)rows + i * row_bytes;
        char *name = *(char *const *)row;
        valid = S_check_name(kind, name, error);
        if (valid && !g_hash_table_add(seen, name)) {
            valid = BsSheetData_Fail(
                error, "%s '%s' is listed twice; remove one", kind, name);
        }
    }
    g_hash_table_destroy(seen);
    return valid;
}

static const BsTier *
S_find_tier(const BsSheetData *data, const char *name)
{
    for (unsigned i = 0; i < data->tiers_count; i++) {
        if (strcmp(data->tiers[i].name, name) == 0) {
            return &data->tiers[i];
        }
    }
    return NULL;
}

static bool
S_check_tier_name(const BsSheetData *data, const char *user, const char *name,
                  GError **error)
{
    if (name == NULL || S_find_tier(data, name) != NULL) {
        return true;
    }
    return BsSheetData_Fail(
        error,
        "%s names tier '%s', which is not listed; add it to "
        "tiers or correct the name",
        user, name);
}

static bool
S_check_tier(const BsSheetData *data, const BsTier *tier, GError **error)
{
    if (tier->rank < 1 || tier->rank > RANK_MAX) {
        return BsSheetData_Fail(error, "tier '%s' has rank %u; use 1 to %d",
                                tier->name, tier->rank, RANK_MAX);
    }
    if (tier->deadline_ms < 1 || tier->deadline_ms > DEADLINE_MAX_MS) {
        return BsSheetData_Fail(
            error, "tier '%s' has deadline_ms %u; use 1 to %d", tier->name,
            tier->deadline_ms, DEADLINE_MAX_MS);
    }
    if (tier->guaranteed_percent > 100) {
        return BsSheetData_Fail(
            error,
            "tier '%s' has guaranteed_percent %u; use 0 to "
            "100",
            tier->name, tier->guaranteed_percent);
    }
    for (unsigned i = 0; i < tier->yields_to_count; i++) {
        const BsTier *other = S_find_tier(data, tier->yields_to[i]);
        if (other == NULL) {
            return S_check_tier_name(data, tier->name, tier->yields_to[i],
                                     error);
        }
        if (other->rank >= tier->rank) {
            return BsSheetData_Fail(
                error,
                "tier '%s' yields to '%s', which is not more "
                "urgent; give '%s' a smaller rank",
                tier->name, other->name, other->name);
        }
    }
    return true;
}

static bool
S_check_tiers(const BsSheetData *data, GError **error)
{
    uint32_t guaranteed = 0;
    for (unsigned i = 0; i < data->tiers_count; i++) {
        if (!S_check_tier(data, &data->tiers[i], error)) {
            return false;
        }
        guaranteed += data->tiers[i].guaranteed_percent;
        for (unsigned k = 0; k < i; k++) {
            if (data->tiers[k].rank == data->tiers[i].rank) {
                return BsSheetData_Fail(
                    error,
                    "tiers '%s' and '%s' share rank %u; give "
                    "each its own",
                    data->tiers[k].name, data->tiers[i].name,
                    data->tiers[i].rank);
            }
        }
    }
    if (guaranteed > 100) {
        return BsSheetData_Fail(
            error,
            "guaranteed_percent adds up to %u; lower it to "
            "100 or less",
            guaranteed);
    }
    return true;
}

static bool
S_check_services(const BsSheetData *data, GError **error)
{
    for (unsigned i = 0; i < data->services_count; i++) {
        const BsService *service = &data->services[i];
        if (!S_check_tier_name(data, service->name, service->tier, error)) {
            return false;
        }
        for (unsigned k = 0; k < service->routes_count; k++) {
            const BsRoute *route = &service->routes[k];
            if (!S_check_tier_name(data, service->name, route->tier, error)) {
                return false;
            }
            if (route->prefix[0] != '/') {
                return BsSheetData_Fail(
                    error,
                    "service '%s' has prefix '%s'; begin it "
                    "with '/'",
                    service->name, route->prefix);
            }
        }
    }
    return true;
}

static bool
S_check_hash(const BsAccount *account, const char *hash, GError **error)
{
    bool valid = strlen(hash) == SHA256_HEX_BYTES;
    for (const char *c = hash; *c != '\0'; c++) {
        valid = valid && g_ascii_isxdigit(*c) && !g_ascii_isupper(*c);
    }
    if (!valid) {
        return BsSheetData_Fail(
            error,
            "account '%s' has an invalid token_sha256; use "
            "the 64 lower-case hexadecimal digits of the "
            "token's SHA-256",
            account->name);
    }
    return true;
}

static bool
S_check_account(const BsSheetData *data, const BsAccount *account,
                GError **error)
{
    if (!S_check_tier_name(data, account->name, account->tier, error)) {
        return false;
    }
    for (unsigned i = 0; i < account->token_sha256_count; i++) {
        if (!S_check_hash(account, account->token_sha256[i], error)) {
            return false;
        }
    }
    return true;
}

static bool
S_check_accounts(const BsSheetData *data, GError **error)
{
    for (unsigned i = 0; i < data->accounts_count; i++) {
        if (!S_check_account(data, &data->accounts[i], error)) {
            return false;
        }
    }
    for (unsigned i = 0; i < data->account_classes_count; i++) {
        const BsAccountClass *row = &data->account_classes[i];
        if (!S_check_tier_name(data, row->name, row->tier, error)) {
            return false;
        }
    }
    if (data->accounts_count + data->account_classes_count == 0) {
        return BsSheetData_Fail(error, "no account can use this sheet; list "
                                       "accounts or account_classes");
    }
    return true;
}

bool
BsSheetData_Check(const BsSheetData *data, GError **error)
{
    if (data->format != SHEET_FORMAT) {
        return BsSheetData_Fail(error, "format is %u; use %d", data->format,
                                SHEET_FORMAT);
    }
    return S_check_names("tier", data->tiers, sizeof(BsTier),
                         data->tiers_count, error) &&
           S_check_names("model", data->models, sizeof(BsModel),
                         data->models_count, error) &&
           S_check_names("service", data->services, sizeof(BsService),
                         data->services_count, error) &&
           S_check_names("account", data->accounts, sizeof(BsAccount),
                         data->accounts_count, error) &&
           S_check_names("data centre", data->data_centres,
                         sizeof(BsDataCentre), data->data_centres_count,
                         error) &&
           S_check_tiers(data, error) && S_check_services(data, error) &&
           S_check_names("account class", data->account_classes,
                         sizeof(BsAccountClass), data->account_classes_count,
                         error) &&
           S_check_accounts(data, error);
}
