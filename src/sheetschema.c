/* sheetschema.c - the YAML schema of a sheet. */
#include "sheetdata.h"
#include "yamlreport.h"

#include <string.h>

#define NAME_MIN_BYTES 1
#define LIST_MAX 100000
#define TIERS_MAX 16
#define DEFAULT_COLD_REQUESTS 2
#define DEFAULT_COLD_TOKENS 4096
#define DEFAULT_RAMP_MS 30000
#define DEFAULT_LOADS_AT_ONCE 8
#define DEFAULT_LOAD_MS 20000
#define DEFAULT_LINK_BYTES_PER_S 3750000
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_SERVICE_TIMEOUT_MS 10000
#define DEFAULT_SERVICE_CONCURRENCY 8
#define DEFAULT_OUTPUT_TOKENS 256

#define STRING_FIELD(key, flags, owner, member)                               \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), owner, member,  \
                           NAME_MIN_BYTES, 255)
#define UINT_FIELD(key, flags, owner, member)                                 \
    CYAML_FIELD_UINT(key, flags, owner, member)
#define OPTIONAL CYAML_FLAG_OPTIONAL

/* Used instead of libcyaml's boolean, which reads any unknown word as true. */
static const cyaml_strval_t S_booleans[] = {{"false", 0}, {"true", 1}};
#define BOOL_FIELD(key, flags, owner, member)                                 \
    CYAML_FIELD_ENUM(key, CYAML_FLAG_STRICT | (flags), owner, member,         \
                     S_booleans, CYAML_ARRAY_LEN(S_booleans))

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
    STRING_FIELD("next_version", OPTIONAL, BsModel, next_version),
    UINT_FIELD("output_tokens", OPTIONAL, BsModel, output_tokens),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_model_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, BsModel, S_model_fields)};

static const cyaml_schema_field_t S_route_fields[] = {
    STRING_FIELD("method", CYAML_FLAG_DEFAULT, BsRoute, method),
    STRING_FIELD("prefix", CYAML_FLAG_DEFAULT, BsRoute, prefix),
    STRING_FIELD("tier", OPTIONAL, BsRoute, tier),
    BOOL_FIELD("idempotent", OPTIONAL, BsRoute, idempotent), CYAML_FIELD_END};
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

static const cyaml_schema_field_t S_class_fields[] = {
    STRING_FIELD("name", CYAML_FLAG_DEFAULT, BsAccountClass, name),
    STRING_FIELD("tier", OPTIONAL, BsAccountClass, tier),
    UINT_FIELD("weight", OPTIONAL, BsAccountClass, weight),
    UINT_FIELD("requests_per_s", OPTIONAL, BsAccountClass, requests_per_s),
    UINT_FIELD("tokens_per_s", OPTIONAL, BsAccountClass, tokens_per_s),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_class_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, BsAccountClass, S_class_fields)};

static const cyaml_schema_field_t S_data_centre_fields[] = {
    STRING_FIELD("name", CYAML_FLAG_DEFAULT, BsDataCentre, name),
    BOOL_FIELD("open", CYAML_FLAG_DEFAULT, BsDataCentre, open),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_data_centre_schema = {CYAML_VALUE_MAPPING(
    CYAML_FLAG_DEFAULT, BsDataCentre, S_data_centre_fields)};

static const cyaml_schema_field_t S_cold_start_fields[] = {
    UINT_FIELD("requests", OPTIONAL, BsColdStart, requests),
    UINT_FIELD("tokens", OPTIONAL, BsColdStart, tokens),
    UINT_FIELD("ramp_ms", OPTIONAL, BsColdStart, ramp_ms), CYAML_FIELD_END};

static const cyaml_schema_field_t S_order_fields[] = {
    UINT_FIELD("loads_at_once", OPTIONAL, BsOrderLimits, loads_at_once),
    UINT_FIELD("load_ms", OPTIONAL, BsOrderLimits, load_ms), CYAML_FIELD_END};

static const cyaml_schema_field_t S_sheet_fields[] = {
    UINT_FIELD("format", CYAML_FLAG_DEFAULT, BsSheetData, format),
    CYAML_FIELD_SEQUENCE("tiers", CYAML_FLAG_POINTER, BsSheetData, tiers,
                         &S_tier_schema, 1, TIERS_MAX),
    CYAML_FIELD_SEQUENCE("models", CYAML_FLAG_POINTER | OPTIONAL, BsSheetData,
                         models, &S_model_schema, 0, LIST_MAX),
    CYAML_FIELD_SEQUENCE("services", CYAML_FLAG_POINTER | OPTIONAL,
                         BsSheetData, services, &S_service_schema, 0,
                         LIST_MAX),
    CYAML_FIELD_SEQUENCE("accounts", CYAML_FLAG_POINTER | OPTIONAL,
                         BsSheetData, accounts, &S_account_schema, 0,
                         LIST_MAX),
    CYAML_FIELD_SEQUENCE("account_classes", CYAML_FLAG_POINTER | OPTIONAL,
                         BsSheetData, account_classes, &S_class_schema, 0,
                         LIST_MAX),
    CYAML_FIELD_SEQUENCE("revoked", CYAML_FLAG_POINTER | OPTIONAL, BsSheetData,
                         revoked, &S_string_schema, 0, LIST_MAX),
    CYAML_FIELD_SEQUENCE("data_centres", CYAML_FLAG_POINTER, BsSheetData,
                         data_centres, &S_data_centre_schema, 1, LIST_MAX),
    CYAML_FIELD_MAPPING("cold_start", OPTIONAL, BsSheetData, cold_start,
                        S_cold_start_fields),
    CYAML_FIELD_MAPPING("orders", OPTIONAL, BsSheetData, orders,
                        S_order_fields),
    UINT_FIELD("link_bytes_per_s", OPTIONAL, BsSheetData, link_bytes_per_s),
    UINT_FIELD("retry_percent", OPTIONAL, BsSheetData, retry_percent),
    CYAML_FIELD_END};
static const cyaml_schema_value_t S_sheet_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, BsSheetData, S_sheet_fields)};

bool
BsSheetData_Fail(GError **error, const char *format, ...)
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
    S_default_u32(&data->orders.loads_at_once, DEFAULT_LOADS_AT_ONCE);
    S_default_u32(&data->orders.load_ms, DEFAULT_LOAD_MS);
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
    for (unsigned i = 0; i < data->account_classes_count; i++) {
        S_default_u32(&data->account_classes[i].weight, 1);
    }
}

BsSheetData *
BsSheetData_Load(const char *text, size_t size_bytes, GError **error)
{
    GString *report = g_string_new(NULL);
    cyaml_config_t config = BsYamlReport_Config(report, CYAML_CFG_DEFAULT);
    cyaml_data_t *data = NULL;
    cyaml_err_t result =
        cyaml_load_data((const uint8_t *)text, size_bytes, &config,
                        &S_sheet_schema, &data, NULL);
    if (result != CYAML_OK) {
        BsSheetData_Fail(error, "%s; correct it and publish a new revision",
                         report->len > 0 ? report->str
                                         : cyaml_strerror(result));
    }
    else if (data == NULL) {
        BsSheetData_Fail(error, "empty; write one and publish a new revision");
    }
    else {
        S_apply_defaults(data);
    }
    g_string_free(report, TRUE);
    return data;
}

void
BsSheetData_Free(BsSheetData *data)
{
    cyaml_config_t config = BsYamlReport_Config(NULL, CYAML_CFG_DEFAULT);
    cyaml_free(&config, &S_sheet_schema, data, 0);
}
