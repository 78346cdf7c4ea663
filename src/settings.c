/* settings.c - reading and checking the settings file. */
#include "settings_keys.h"
#include "yamlreport.h"

#include <arpa/inet.h>
#include <string.h>

#define STRING_MAX 1024
#define PLATFORM_MAX 16
#define ALLOWED_MAX 1000

#define OPTIONAL CYAML_FLAG_OPTIONAL
#define STRING(key, flags, owner, member)                                     \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), owner, member,  \
                           1, STRING_MAX)
#define UINT(key, owner, member) CYAML_FIELD_UINT(key, OPTIONAL, owner, member)
#define BOOL(key, owner, member)                                              \
    CYAML_FIELD_ENUM(key, OPTIONAL | CYAML_FLAG_STRICT, owner, member,        \
                     S_booleans, CYAML_ARRAY_LEN(S_booleans))
#define MAPPING(key, flags, owner, member, fields)                            \
    CYAML_FIELD_MAPPING_PTR(key, flags, owner, member, fields)

/* Used instead of libcyaml's boolean, which reads any unknown word as true. */
static const cyaml_strval_t S_booleans[] = {{"false", 0}, {"true", 1}};

static const cyaml_schema_value_t S_string_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, STRING_MAX)};

static const cyaml_schema_field_t S_curve_fields[] = {
    STRING("public", CYAML_FLAG_DEFAULT, BsCurveSettings, public_key),
    STRING("secret", CYAML_FLAG_DEFAULT, BsCurveSettings, secret_key),
    CYAML_FIELD_SEQUENCE("allowed", CYAML_FLAG_POINTER | OPTIONAL,
                         BsCurveSettings, allowed, &S_string_schema, 0,
                         ALLOWED_MAX),
    CYAML_FIELD_END};

static const cyaml_schema_field_t S_tls_fields[] = {
    STRING("certificate", CYAML_FLAG_DEFAULT, BsTlsSettings, certificate),
    STRING("key", CYAML_FLAG_DEFAULT, BsTlsSettings, key), CYAML_FIELD_END};

static const cyaml_schema_field_t S_limit_fields[] = {
    UINT("header_bytes", BsLimitSettings, header_bytes),
    UINT("body_bytes", BsLimitSettings, body_bytes),
    UINT("connections", BsLimitSettings, connections),
    UINT("requests", BsLimitSettings, requests),
    UINT("queue_bytes", BsLimitSettings, queue_bytes),
    UINT("records", BsLimitSettings, records),
    CYAML_FIELD_END};

static const cyaml_schema_field_t S_tracing_fields[] = {
    STRING("url", CYAML_FLAG_DEFAULT, BsTracingSettings, url),
    UINT("sample_percent", BsTracingSettings, sample_percent),
    CYAML_FIELD_END};

static const cyaml_schema_field_t S_fields[] = {
    STRING("name", CYAML_FLAG_DEFAULT, BsSettings, name),
    STRING("data_centre", CYAML_FLAG_DEFAULT, BsSettings, data_centre),
    STRING("region", CYAML_FLAG_DEFAULT, BsSettings, region),
    STRING("callers", CYAML_FLAG_DEFAULT, BsSettings, callers),
    STRING("admin", CYAML_FLAG_DEFAULT, BsSettings, admin),
    STRING("peers", CYAML_FLAG_DEFAULT, BsSettings, peers),
    CYAML_FIELD_SEQUENCE("platform", CYAML_FLAG_POINTER, BsSettings, platform,
                         &S_string_schema, 1, PLATFORM_MAX),
    STRING("secret", OPTIONAL, BsSettings, secret),
    STRING("secret_file", OPTIONAL, BsSettings, secret_file),
    MAPPING("curve", OPTIONAL, BsSettings, curve, S_curve_fields),
    MAPPING("tls", OPTIONAL, BsSettings, tls, S_tls_fields),
    CYAML_FIELD_MAPPING("limits", OPTIONAL, BsSettings, limits,
                        S_limit_fields),
    MAPPING("tracing", OPTIONAL, BsSettings, tracing, S_tracing_fields),
    STRING("policy", OPTIONAL, BsSettings, policy),
    UINT("lease_ms", BsSettings, lease_ms),
    UINT("list_lag_ms", BsSettings, list_lag_ms),
    UINT("resend_window_ms", BsSettings, resend_window_ms),
    UINT("digest_ms", BsSettings, digest_ms),
    UINT("drain_limit_ms", BsSettings, drain_limit_ms),
    BOOL("insecure", BsSettings, insecure),
    BOOL("fresh_fleet", BsSettings, fresh_fleet),
    CYAML_FIELD_END};

static const cyaml_schema_value_t S_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, BsSettings, S_fields)};

BsSettings *
BsSettings_Load(const char *file, GError **error)
{
    GString *report = g_string_new(NULL);
    cyaml_config_t config = BsYamlReport_Config(report, CYAML_CFG_DEFAULT);
    BsSettings *settings = NULL;
    if (!g_file_test(file, G_FILE_TEST_IS_REGULAR)) {
        g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                    "%s: no such file; allowed: a readable settings file; "
                    "name one",
                    file);
        g_string_free(report, TRUE);
        return NULL;
    }
    cyaml_err_t result = cyaml_load_file(
        file, &config, &S_schema, (cyaml_data_t **)(void *)&settings, NULL);
    if (result != CYAML_OK || settings == NULL) {
        BsSettingsKey_SetError(&bs_settings_keys, error, file,
                               result == CYAML_OK ? "the file is empty"
                               : report->len > 0  ? report->str
                                                  : cyaml_strerror(result));
        g_string_free(report, TRUE);
        return NULL;
    }
    g_string_free(report, TRUE);
    if (!BsSettings_Check(settings, file, error)) {
        g_clear_pointer(&settings, BsSettings_Destroy);
    }
    return settings;
}

void
BsSettings_Destroy(BsSettings *settings)
{
    cyaml_config_t config = BsYamlReport_Config(NULL, CYAML_CFG_DEFAULT);
    if (settings != NULL) {
        cyaml_free(&config, &S_schema, settings, 0);
    }
}

void
BsSettings_FillConfig(const BsSettings *settings, BsCoreConfig *config)
{
    BsCoreConfig_Init(config);
    config->name = settings->name;
    config->data_centre = settings->data_centre;
    config->region = settings->region;
    config->secret = settings->secret;
    config->lease_ms = settings->lease_ms;
    config->list_lag_ms = settings->list_lag_ms;
    config->resend_window_ms = settings->resend_window_ms;
    config->digest_ms = settings->digest_ms;
    config->record_limit = settings->limits.records;
    config->request_limit = settings->limits.requests;
    config->queue_bytes = settings->limits.queue_bytes;
    config->fresh_fleet = settings->fresh_fleet;
    config->policy = (uint32_t)BsSettings_Policy(settings);
}

/* Splits IP:port and strips brackets from the IP; g_free() HOST.  Returns
   whether TEXT is valid; HOST is not set when it is not. */
static bool
S_split(const char *text, char **host, uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    guint64 number;
    if (colon == NULL || colon == text ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &number,
                                    NULL)) {
        return false;
    }
    size_t length = (size_t)(colon - text);
    bool bracketed = text[0] == '[' && colon[-1] == ']';
    *host =
        bracketed ? g_strndup(text + 1, length - 2) : g_strndup(text, length);
    *port = (uint16_t)number;
    return true;
}

bool
BsSettings_ParseAddress(const char *text, struct sockaddr_storage *address,
                        socklen_t *length)
{
    struct sockaddr_in *ip4 = (struct sockaddr_in *)address;
    struct sockaddr_in6 *ip6 = (struct sockaddr_in6 *)address;
    char *host;
    uint16_t port;
    bool valid = true;
    memset(address, 0, sizeof(*address));
    if (!S_split(text, &host, &port)) {
        return false;
    }
    if (inet_pton(AF_INET, host, &ip4->sin_addr) == 1) {
        ip4->sin_family = AF_INET;
        ip4->sin_port = htons(port);
        *length = sizeof(*ip4);
    }
    else if (inet_pton(AF_INET6, host, &ip6->sin6_addr) == 1) {
        ip6->sin6_family = AF_INET6;
        ip6->sin6_port = htons(port);
        *length = sizeof(*ip6);
    }
    else {
        valid = false;
    }
    g_free(host);
    return valid;
}
