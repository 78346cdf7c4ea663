/* sheet.c - lookups in a parsed sheet. */
#include "sheet.h"

#include "sheetdata.h"

#include <string.h>

struct BsSheet {
    BsSheetData *data;
    GHashTable *accounts;      /* name to BsAccount */
    GHashTable *tokens;        /* token hash to BsAccount */
    GHashTable *classes;       /* class name to BsAccount */
    GHashTable *revoked;       /* set of account names */
    BsAccount *class_accounts; /* one for each class */
};

static bool
S_index_account(BsSheet *sheet, BsAccount *account, GError **error)
{
    g_hash_table_insert(sheet->accounts, account->name, account);
    for (unsigned i = 0; i < account->token_sha256_count; i++) {
        if (!g_hash_table_insert(sheet->tokens, account->token_sha256[i],
                                 account)) {
            return BsSheetData_Fail(error,
                                    "account '%s' shares a token with another "
                                    "account; give each its own",
                                    account->name);
        }
    }
    return true;
}

/* Indexes the class at INDEX, with its rules copied to a BsAccount. */
static void
S_index_class(BsSheet *sheet, unsigned index)
{
    const BsAccountClass *row = &sheet->data->account_classes[index];
    BsAccount *account = &sheet->class_accounts[index];
    account->name = row->name;
    account->tier = row->tier;
    account->weight = row->weight;
    account->requests_per_s = row->requests_per_s;
    account->tokens_per_s = row->tokens_per_s;
    g_hash_table_insert(sheet->classes, account->name, account);
}

static bool
S_index(BsSheet *sheet, GError **error)
{
    const BsSheetData *data = sheet->data;
    sheet->class_accounts = g_new0(BsAccount, data->account_classes_count);
    for (unsigned i = 0; i < data->account_classes_count; i++) {
        S_index_class(sheet, i);
    }
    for (unsigned i = 0; i < data->revoked_count; i++) {
        g_hash_table_add(sheet->revoked, data->revoked[i]);
    }
    for (unsigned i = 0; i < data->accounts_count; i++) {
        if (!S_index_account(sheet, &data->accounts[i], error)) {
            return false;
        }
    }
    return true;
}

BsSheet *
BsSheet_Parse(const char *text, size_t size_bytes, GError **error)
{
    if (size_bytes > BS_SHEET_MAX_BYTES) {
        BsSheetData_Fail(error, "%zu bytes; shorten it to %d bytes",
                         size_bytes, BS_SHEET_MAX_BYTES);
        return NULL;
    }
    BsSheetData *data = BsSheetData_Load(text, size_bytes, error);
    if (data == NULL) {
        return NULL;
    }
    BsSheet *sheet = g_new0(BsSheet, 1);
    sheet->data = data;
    sheet->accounts = g_hash_table_new(g_str_hash, g_str_equal);
    sheet->tokens = g_hash_table_new(g_str_hash, g_str_equal);
    sheet->classes = g_hash_table_new(g_str_hash, g_str_equal);
    sheet->revoked = g_hash_table_new(g_str_hash, g_str_equal);
    if (!BsSheetData_Check(data, error) || !S_index(sheet, error)) {
        BsSheet_Destroy(sheet);
        return NULL;
    }
    return sheet;
}

void
BsSheet_Destroy(BsSheet *sheet)
{
    if (sheet == NULL) {
        return;
    }
    BsSheetData_Free(sheet->data);
    g_hash_table_destroy(sheet->accounts);
    g_hash_table_destroy(sheet->tokens);
    g_hash_table_destroy(sheet->classes);
    g_hash_table_destroy(sheet->revoked);
    g_free(sheet->class_accounts);
    g_free(sheet);
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

const BsSheetData *
BsSheet_Data(const BsSheet *sheet)
{
    return sheet->data;
}

const BsTier *
BsSheet_FindTier(const BsSheet *sheet, const char *name)
{
    return name == NULL ? NULL : S_find_tier(sheet->data, name);
}

const BsModel *
BsSheet_FindModel(const BsSheet *sheet, const char *name)
{
    for (unsigned i = 0; name != NULL && i < sheet->data->models_count; i++) {
        if (strcmp(sheet->data->models[i].name, name) == 0) {
            return &sheet->data->models[i];
        }
    }
    return NULL;
}

const BsService *
BsSheet_FindService(const BsSheet *sheet, const char *name)
{
    const BsSheetData *data = sheet->data;
    for (unsigned i = 0; name != NULL && i < data->services_count; i++) {
        if (strcmp(data->services[i].name, name) == 0) {
            return &data->services[i];
        }
    }
    return NULL;
}

const BsAccount *
BsSheet_FindAccount(const BsSheet *sheet, const char *name)
{
    const char *colon = name == NULL ? NULL : strchr(name, ':');
    if (name == NULL) {
        return NULL;
    }
    if (colon == NULL) {
        return g_hash_table_lookup(sheet->accounts, name);
    }
    char *class_name = g_strndup(name, (gsize)(colon - name));
    const BsAccount *account = g_hash_table_lookup(sheet->classes, class_name);
    g_free(class_name);
    return account;
}

const BsAccount *
BsSheet_FindTokenHash(const BsSheet *sheet, const char *token_sha256)
{
    return g_hash_table_lookup(sheet->tokens, token_sha256);
}

bool
BsSheet_IsRevoked(const BsSheet *sheet, const char *name)
{
    return g_hash_table_contains(sheet->revoked, name);
}

bool
BsSheet_IsOpen(const BsSheet *sheet, const char *name)
{
    const BsSheetData *data = sheet->data;
    for (unsigned i = 0; name != NULL && i < data->data_centres_count; i++) {
        if (strcmp(data->data_centres[i].name, name) == 0) {
            return data->data_centres[i].open;
        }
    }
    return false;
}

static bool
S_matches_prefix(const char *path, const char *prefix)
{
    size_t length = strlen(prefix);
    if (strncmp(path, prefix, length) != 0) {
        return false;
    }
    char next = path[length];
    return prefix[length - 1] == '/' || next == '\0' || next == '/' ||
           next == '?';
}

const BsRoute *
BsSheet_FindRoute(const BsService *service, const char *method,
                  const char *path)
{
    const BsRoute *best = NULL;
    for (unsigned i = 0; i < service->routes_count; i++) {
        const BsRoute *route = &service->routes[i];
        bool method_matches = strcmp(route->method, "*") == 0 ||
                              strcmp(route->method, method) == 0;
        if (method_matches && S_matches_prefix(path, route->prefix) &&
            (best == NULL || strlen(route->prefix) > strlen(best->prefix))) {
            best = route;
        }
    }
    return best;
}

bool
BsSheet_Yields(const BsSheet *sheet, const char *lower, const char *higher)
{
    const BsTier *tier = BsSheet_FindTier(sheet, lower);
    for (unsigned i = 0; tier != NULL && i < tier->yields_to_count; i++) {
        if (strcmp(tier->yields_to[i], higher) == 0) {
            return true;
        }
    }
    return false;
}

bool
BsSheet_IsYieldedTo(const BsSheet *sheet, const char *name)
{
    const BsSheetData *data = sheet->data;
    for (unsigned i = 0; name != NULL && i < data->tiers_count; i++) {
        if (BsSheet_Yields(sheet, data->tiers[i].name, name)) {
            return true;
        }
    }
    return false;
}
