/* sheet.c - parsing and validation of the sheet. */
#include "sheet.h"

#include <cyaml/cyaml.h>
#include <string.h>

#define SHEET_FORMAT 1
#define NAME_MIN_BYTES 1
#define SHA256_HEX_BYTES 64
#define LIST_MAX 100000
#define TIERS_MAX 16
#define DEADLINE_MAX_MS (24 * 3600 * 1000)
#define DEFAULT_COLD_REQUESTS 2
#define DEFAULT_COLD_TOKENS 4096
#define DEFAULT_RAMP_MS 30000
#define DEFAULT_LINK_BYTES_PER_S 3750000
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_SERVICE_TIMEOUT_MS 10000
#define DEFAULT_SERVICE_CONCURRENCY 8
#define DEFAULT_OUTPUT_TOKENS 256

struct BsSheet {
    BsSheetData *data;
    GHashTable *accounts; /* name to BsAccount */
    GHashTable *tokens;   /* token hash to BsAccount */
};

#define STRING_FIELD(key, flags, owner, member)                               \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), owner, member,  \
                           NAME_MIN_BYTES, 255)
#define UINT_FIELD(key, flags, owner, member)                                 \
    CYAML_FIELD_UINT(key, flags, owner, member)
#define OPTIONAL CYAML_FLAG_OPTIONAL

static const cyaml_schema_value_t S_string_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, NAME_MIN_BYTES, 255)};

static const cyaml_schema_field_t S_tier_fields[] = {
    STRING_FIELD("name", CYAML_FLAG_DEFAULT, BsTier, name),
    UINT_FIELD("rank", CYAML_FLAG_DEFAULT, BsTier, rank),
    UINT_FIELD("deadline_ms", CYAML_FLAG_DEFAULT, BsTier, deadline_ms),
    UINT_FIELD("guaranteed_percent", OPTIONAL, BsTier, guaranteed_percent),
    CYAML_FIELD_SEQUENCE("yields_to", CYAML_FLAG_POINTER | OPTIONAL, BsTier,
                         yields_to, &S_string_schema, 0, TIERS_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_tier_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, BsTier, S_tier_fields)};

static const cyaml_schema_field_t S_model_fields[] = {
    STRING_FIELD("name", CYAML_FLAG_DEFAULT, BsModel, name),
    STRING_FIELD("version", CYAML_FLAG_DEFAULT, BsModel, version),
    UINT_FIELD("output_tokens", OPTIONAL, BsModel, output_tokens),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_model_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, BsModel, S_model_fields)};

static const cyaml_schema_field_t S_route_fields[] = {
    STRING_FIELD("method", CYAML_FLAG_DEFAULT, BsRoute, method),
    STRING_FIELD("prefix", CYAML_FLAG_DEFAULT, BsRoute, prefix),
    STRING_FIELD("tier", OPTIONAL, BsRoute, tier),
    CYAML_FIELD_BOOL("idempotent", OPTIONAL, BsRoute, idempotent),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_route_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, BsRoute, S_route_fields)};

static const cyaml_schema_field_t S_service_fields[] = {
    STRING_FIELD("name", CYAML_FLAG_DEFAULT, BsService, name),
    STRING_FIELD("tier", CYAML_FLAG_DEFAULT, BsService, tier),
    UINT_FIELD("timeout_ms", OPTIONAL, BsService, timeout_ms),
    UINT_FIELD("concurrency", OPTIONAL, BsService, concurrency),
    CYAML_FIELD_SEQUENCE("routes", CYAML_FLAG_POINTER | OPTIONAL, BsService,
                         routes, &S_route_schema, 0, LIST_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_service_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, BsService, S_service_fields)};

static const cyaml_schema_field_t S_account_fields[] = {
    STRING_FIELD("name", CYAML_FLAG_DEFAULT, BsAccount, name),
    CYAML_FIELD_SEQUENCE("token_sha256", CYAML_FLAG_POINTER, BsAccount,
                         token_sha256, &S_string_schema, 1, 16),
    STRING_FIELD("tier", OPTIONAL, BsAccount, tier),
    UINT_FIELD("weight", OPTIONAL, BsAccount, weight),
    UINT_FIELD("requests_per_s", OPTIONAL, BsAccount, requests_per_s),
    UINT_FIELD("tokens_per_s", OPTIONAL, BsAccount, tokens_per_s),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_account_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, BsAccount, S_account_fields)};

static const cyaml_schema_field_t S_data_centre_fields[] = {
    STRING_FIELD("name", CYAML_FLAG_DEFAULT, BsDataCentre, name),
    CYAML_FIELD_BOOL("open", CYAML_FLAG_DEFAULT, BsDataCentre, open),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_data_centre_schema = {CYAML_VALUE_MAPPING(
    CYAML_FLAG_DEFAULT, BsDataCentre, S_data_centre_fields)};

static const cyaml_schema_field_t S_cold_start_fields[] = {
    UINT_FIELD("requests", OPTIONAL, BsColdStart, requests),
    UINT_FIELD("tokens", OPTIONAL, BsColdStart, tokens),
    UINT_FIELD("ramp_ms", OPTIONAL, BsColdStart, ramp_ms), CYAML_FIELD_END};

static const cyaml_schema_field_t S_sheet_fields[] = {
    UINT_FIELD("format", CYAML_FLAG_DEFAULT, BsSheetData, format),
    CYAML_FIELD_SEQUENCE("tiers", CYAML_FLAG_POINTER, BsSheetData, tiers,
                         &S_tier_schema, 1, TIERS_MAX),
    CYAML_FIELD_SEQUENCE("models", CYAML_FLAG_POINTER | OPTIONAL, BsSheetData,
                         models, &S_model_schema, 0, LIST_MAX),
    CYAML_FIELD_SEQUENCE("services", CYAML_FLAG_POINTER | OPTIONAL,
                         BsSheetData, services, &S_service_schema, 0,
                         LIST_MAX),
    CYAML_FIELD_SEQUENCE("accounts", CYAML_FLAG_POINTER, BsSheetData, accounts,
                         &S_account_schema, 1, LIST_MAX),
    CYAML_FIELD_SEQUENCE("data_centres", CYAML_FLAG_POINTER, BsSheetData,
                         data_centres, &S_data_centre_schema, 1, LIST_MAX),
    CYAML_FIELD_MAPPING("cold_start", OPTIONAL, BsSheetData, cold_start,
                        S_cold_start_fields),
    UINT_FIELD("link_bytes_per_s", OPTIONAL, BsSheetData, link_bytes_per_s),
    UINT_FIELD("retry_percent", OPTIONAL, BsSheetData, retry_percent),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_sheet_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, BsSheetData, S_sheet_fields)};

/* Collects the first two lines of libcyaml's report: error and place. */
static void
S_collect_log(cyaml_log_t level, void *context, const char *format,
              va_list args)
{
    GString *report = context;
    if (level < CYAML_LOG_ERROR || report->len > 400) {
        return;
    }
    char *line = g_strdup_vprintf(format, args);
    g_strstrip(line);
    if (!g_str_has_prefix(line, "Load: Backtrace")) {
        g_string_append_printf(report, "%s%s", report->len > 0 ? "; " : "",
                               line);
    }
    g_free(line);
}

static cyaml_config_t
S_make_config(GString *report)
{
    cyaml_config_t config = {
        .log_fn = S_collect_log,
        .log_ctx = report,
        .mem_fn = cyaml_mem,
        .log_level = CYAML_LOG_ERROR,
        .flags = CYAML_CFG_DEFAULT,
    };
    return config;
}

static bool S_fail(GError **error, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static bool
S_fail(GError **error, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_set_error(error, BS_ERROR, BS_ERR_SHEET, "sheet: %s", text);
    g_free(text);
    return false;
}

static void
S_default_u32(uint32_t *value, uint32_t fallback)
{
    if (*value == 0) {
        *value = fallback;
    }
}

static void
S_apply_defaults(BsSheetData *data)
{
    S_default_u32(&data->cold_start.requests, DEFAULT_COLD_REQUESTS);
    S_default_u32(&data->cold_start.tokens, DEFAULT_COLD_TOKENS);
    S_default_u32(&data->cold_start.ramp_ms, DEFAULT_RAMP_MS);
    S_default_u32(&data->link_bytes_per_s, DEFAULT_LINK_BYTES_PER_S);
    S_default_u32(&data->retry_percent, DEFAULT_RETRY_PERCENT);
    for (unsigned i = 0; i < data->services_count; i++) {
        S_default_u32(&data->services[i].timeout_ms,
                      DEFAULT_SERVICE_TIMEOUT_MS);
        S_default_u32(&data->services[i].concurrency,
                      DEFAULT_SERVICE_CONCURRENCY);
    }
    for (unsigned i = 0; i < data->models_count; i++) {
        S_default_u32(&data->models[i].output_tokens, DEFAULT_OUTPUT_TOKENS);
    }
    for (unsigned i = 0; i < data->accounts_count; i++) {
        S_default_u32(&data->accounts[i].weight, 1);
    }
}

static bool
S_check_name(const char *kind, const char *name, GError **error)
{
    if (strlen(name) > BS_NAME_MAX_BYTES) {
        return S_fail(error,
                      "%s name '%s' is longer than %d bytes; shorten "
                      "it",
                      kind, name, BS_NAME_MAX_BYTES);
    }
    for (const char *c = name; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("-_.", *c) == NULL) {
            return S_fail(error,
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
            valid = S_fail(error, "%s '%s' is listed twice; remove one", kind,
                           name);
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
    return S_fail(error,
                  "%s names tier '%s', which is not listed; add it to "
                  "tiers or correct the name",
                  user, name);
}

static bool
S_check_tier(const BsSheetData *data, const BsTier *tier, GError **error)
{
    if (tier->rank < 1 || tier->rank > TIERS_MAX) {
        return S_fail(error, "tier '%s' has rank %u; use 1 to %d", tier->name,
                      tier->rank, TIERS_MAX);
    }
    if (tier->deadline_ms < 1 || tier->deadline_ms > DEADLINE_MAX_MS) {
        return S_fail(error, "tier '%s' has deadline_ms %u; use 1 to %d",
                      tier->name, tier->deadline_ms, DEADLINE_MAX_MS);
    }
    if (tier->guaranteed_percent > 100) {
        return S_fail(error,
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
            return S_fail(error,
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
                return S_fail(error,
                              "tiers '%s' and '%s' share rank %u; give "
                              "each its own",
                              data->tiers[k].name, data->tiers[i].name,
                              data->tiers[i].rank);
            }
        }
    }
    if (guaranteed > 100) {
        return S_fail(error,
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
                return S_fail(error,
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
        return S_fail(error,
                      "account '%s' has an invalid token_sha256; use "
                      "the 64 lower-case hexadecimal digits of the "
                      "token's SHA-256",
                      account->name);
    }
    return true;
}

static bool
S_index_account(BsSheet *sheet, BsAccount *account, GError **error)
{
    g_hash_table_insert(sheet->accounts, account->name, account);
    if (!S_check_tier_name(sheet->data, account->name, account->tier, error)) {
        return false;
    }
    for (unsigned i = 0; i < account->token_sha256_count; i++) {
        char *hash = account->token_sha256[i];
        if (!S_check_hash(account, hash, error)) {
            return false;
        }
        if (!g_hash_table_insert(sheet->tokens, hash, account)) {
            return S_fail(error,
                          "account '%s' shares a token with another "
                          "account; give each its own",
                          account->name);
        }
    }
    return true;
}

static bool
S_index_accounts(BsSheet *sheet, GError **error)
{
    for (unsigned i = 0; i < sheet->data->accounts_count; i++) {
        if (!S_index_account(sheet, &sheet->data->accounts[i], error)) {
            return false;
        }
    }
    return true;
}

static bool
S_validate(BsSheet *sheet, GError **error)
{
    const BsSheetData *data = sheet->data;
    if (data->format != SHEET_FORMAT) {
        return S_fail(error, "format is %u; use %d", data->format,
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
           S_index_accounts(sheet, error);
}

static BsSheetData *
S_load(const char *text, size_t size_bytes, GError **error)
{
    GString *report = g_string_new(NULL);
    cyaml_config_t config = S_make_config(report);
    cyaml_data_t *data = NULL;
    cyaml_err_t result =
        cyaml_load_data((const uint8_t *)text, size_bytes, &config,
                        &S_sheet_schema, &data, NULL);
    if (result != CYAML_OK) {
        S_fail(error, "%s; correct it and publish a new revision",
               report->len > 0 ? report->str : cyaml_strerror(result));
    }
    g_string_free(report, TRUE);
    return data;
}

BsSheet *
BsSheet_Parse(const char *text, size_t size_bytes, GError **error)
{
    if (size_bytes > BS_SHEET_MAX_BYTES) {
        S_fail(error, "%zu bytes; shorten it to %d bytes", size_bytes,
               BS_SHEET_MAX_BYTES);
        return NULL;
    }
    BsSheetData *data = S_load(text, size_bytes, error);
    if (data == NULL) {
        return NULL;
    }
    BsSheet *sheet = g_new0(BsSheet, 1);
    sheet->data = data;
    sheet->accounts = g_hash_table_new(g_str_hash, g_str_equal);
    sheet->tokens = g_hash_table_new(g_str_hash, g_str_equal);
    S_apply_defaults(data);
    if (!S_validate(sheet, error)) {
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
    cyaml_config_t config = S_make_config(NULL);
    cyaml_free(&config, &S_sheet_schema, sheet->data, 0);
    g_hash_table_destroy(sheet->accounts);
    g_hash_table_destroy(sheet->tokens);
    g_free(sheet);
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
    return name == NULL ? NULL : g_hash_table_lookup(sheet->accounts, name);
}

const BsAccount *
BsSheet_FindToken(const BsSheet *sheet, const char *token)
{
    if (token == NULL) {
        return NULL;
    }
    char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
    const BsAccount *account = g_hash_table_lookup(sheet->tokens, hash);
    g_free(hash);
    return account;
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
