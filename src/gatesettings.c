/* gatesettings.c - the settings file of a gateway. */
#include "gatesettings.h"

#include "quota.h"
#include "settings_keys.h"
#include "yamlreport.h"

#include <string.h>

#define STRING_MAX 1024
#define DATA_CENTRES_MAX 64
#define SEEDS_MAX 16

/* Upper limit of ejection.probe_per_s. */
#define PROBE_PER_S_MAX 100

/* Defaults and ranges of the limits on inbound connections.  One caller uses
   at most its body (4,194,304 bytes), its head and the pipelined bytes of one
   connection (65,536): less than a fifth of 88 MB. */
#define INBOUND_MEMORY_PERCENT 20
#define INBOUND_MEMORY_PERCENT_MIN 1
#define INBOUND_MEMORY_PERCENT_MAX 60
#define INBOUND_RESERVED 600
#define INBOUND_RESERVED_MIN 16
#define INBOUND_RESERVED_MAX 1000000
#define INBOUND_UNSENT_KIB 64
#define INBOUND_UNSENT_KIB_MIN 1
#define INBOUND_UNSENT_KIB_MAX 65536

#define REQUIRED CYAML_FLAG_DEFAULT
#define STRING(key, owner, member)                                            \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, owner, member, 1,         \
                           STRING_MAX)

static const cyaml_schema_field_t S_data_centre_fields[] = {
    STRING("name", BsGateDataCentre, name),
    STRING("region", BsGateDataCentre, region), CYAML_FIELD_END};

static const cyaml_schema_value_t S_data_centre_schema = {CYAML_VALUE_MAPPING(
    CYAML_FLAG_DEFAULT, BsGateDataCentre, S_data_centre_fields)};

static const cyaml_schema_value_t S_string_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, STRING_MAX)};

static const cyaml_schema_field_t S_machine_fields[] = {
    CYAML_FIELD_UINT("memory_mb", REQUIRED, BsGateMachine, memory_mb),
    CYAML_FIELD_UINT("descriptors", REQUIRED, BsGateMachine, descriptors),
    CYAML_FIELD_END};

static const cyaml_schema_field_t S_bounds_fields[] = {
    CYAML_FIELD_UINT("drain_ms", REQUIRED, BsGateBounds, drain_ms),
    CYAML_FIELD_UINT("grace_s", REQUIRED, BsGateBounds, grace_s),
    CYAML_FIELD_FLOAT("retry_ratio", REQUIRED, BsGateBounds, retry_ratio),
    CYAML_FIELD_UINT("retry_slack", REQUIRED, BsGateBounds, retry_slack),
    CYAML_FIELD_UINT("retry_window_s", REQUIRED, BsGateBounds, retry_window_s),
    CYAML_FIELD_FLOAT("quota_over", REQUIRED, BsGateBounds, quota_over),
    CYAML_FIELD_UINT("quota_slack", REQUIRED, BsGateBounds, quota_slack),
    CYAML_FIELD_END};

static const cyaml_schema_field_t S_ejection_fields[] = {
    CYAML_FIELD_FLOAT("probe_per_s", CYAML_FLAG_OPTIONAL, BsGateEjection,
                      probe_per_s),
    CYAML_FIELD_END};

#define OPTIONAL_UINT(key, owner, member)                                     \
    CYAML_FIELD_UINT_PTR(key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,       \
                         owner, member)

static const cyaml_schema_field_t S_early_repeats_fields[] = {
    OPTIONAL_UINT("percent", BsGateEarlyRepeats, percent),
    OPTIONAL_UINT("occupancy_percent", BsGateEarlyRepeats, occupancy_percent),
    OPTIONAL_UINT("percentile", BsGateEarlyRepeats, percentile),
    CYAML_FIELD_END};

static const cyaml_schema_field_t S_account_order_fields[] = {
    CYAML_FIELD_UINT("urgent_percent", CYAML_FLAG_OPTIONAL, BsGateAccountOrder,
                     urgent_percent),
    CYAML_FIELD_END};

static const cyaml_schema_field_t S_spill_fields[] = {
    OPTIONAL_UINT("gain_ms", BsGateSpill, gain_ms),
    OPTIONAL_UINT("pause_min_ms", BsGateSpill, pause_min_ms), CYAML_FIELD_END};

static const cyaml_schema_field_t S_inbound_fields[] = {
    OPTIONAL_UINT("memory_percent", BsGateInboundGiven, memory_percent),
    OPTIONAL_UINT("reserved_descriptors", BsGateInboundGiven,
                  reserved_descriptors),
    OPTIONAL_UINT("unsent_kib", BsGateInboundGiven, unsent_kib),
    CYAML_FIELD_END};

static const cyaml_schema_field_t S_fields[] = {
    STRING("name", BsGateSettings, name),
    STRING("data_centre", BsGateSettings, data_centre),
    STRING("region", BsGateSettings, region),
    CYAML_FIELD_SEQUENCE("data_centres", CYAML_FLAG_POINTER, BsGateSettings,
                         data_centres, &S_data_centre_schema, 1,
                         DATA_CENTRES_MAX),
    STRING("callers", BsGateSettings, callers),
    STRING("ready", BsGateSettings, ready),
    STRING("admin", BsGateSettings, admin),
    STRING("peers", BsGateSettings, peers),
    CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         BsGateSettings, seeds, &S_string_schema, 0,
                         SEEDS_MAX),
    STRING("store", BsGateSettings, store),
    CYAML_FIELD_MAPPING("machine", REQUIRED, BsGateSettings, machine,
                        S_machine_fields),
    CYAML_FIELD_MAPPING("bounds", REQUIRED, BsGateSettings, bounds,
                        S_bounds_fields),
    CYAML_FIELD_MAPPING("ejection", CYAML_FLAG_OPTIONAL, BsGateSettings,
                        ejection, S_ejection_fields),
    CYAML_FIELD_MAPPING("early_repeats", CYAML_FLAG_OPTIONAL, BsGateSettings,
                        early_repeats, S_early_repeats_fields),
    CYAML_FIELD_MAPPING("account_order", CYAML_FLAG_OPTIONAL, BsGateSettings,
                        account_order, S_account_order_fields),
    CYAML_FIELD_MAPPING("spill", CYAML_FLAG_OPTIONAL, BsGateSettings, spill,
                        S_spill_fields),
    CYAML_FIELD_MAPPING("inbound", CYAML_FLAG_OPTIONAL, BsGateSettings,
                        inbound_given, S_inbound_fields),
    CYAML_FIELD_END};

static const cyaml_schema_value_t S_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, BsGateSettings, S_fields)};

#define TEXT(name, text)                                                      \
    {                                                                         \
        name, text, 0, 0, 0, 0, 0                                             \
    }
#define NAME_TEXT "1 to 1024 characters"
#define ADDRESS_TEXT "IPv4:port"
#define WHOLE_TEXT "a whole number of 0 or more"
#define WHOLE_RANGE_TEXT(min, max)                                            \
    "a whole number from " G_STRINGIFY(min) " to " G_STRINGIFY(max)

static const BsSettingsKey S_rows[] = {
    TEXT("name", NAME_TEXT),
    TEXT("data_centre", "one of data_centres"),
    TEXT("region", "the region of data_centre"),
    TEXT("data_centres", "a list of 1 to 64 items with name and region"),
    TEXT("data_centres.name", NAME_TEXT),
    TEXT("data_centres.region", NAME_TEXT),
    TEXT("callers", ADDRESS_TEXT),
    TEXT("ready", ADDRESS_TEXT),
    TEXT("admin", ADDRESS_TEXT),
    TEXT("peers", ADDRESS_TEXT),
    TEXT("seeds", "a list of up to 16 " ADDRESS_TEXT),
    TEXT("store", ADDRESS_TEXT),
    TEXT("machine", "the keys memory_mb and descriptors"),
    TEXT("machine.memory_mb", "16 or more"),
    TEXT("machine.descriptors", "64 or more"),
    TEXT("bounds", "the keys drain_ms, grace_s, retry_ratio, retry_slack, "
                   "retry_window_s, quota_over and quota_slack"),
    TEXT("bounds.drain_ms", WHOLE_TEXT),
    TEXT("bounds.grace_s", "a whole number of 1 or more"),
    TEXT("bounds.retry_ratio", "a number from 0 to 1"),
    TEXT("bounds.retry_slack", WHOLE_TEXT),
    TEXT("bounds.retry_window_s", "a whole number of 1 or more"),
    TEXT("bounds.quota_over", "a number from 0 to 10"),
    TEXT("bounds.quota_slack", WHOLE_TEXT),
    TEXT("ejection", "the key probe_per_s"),
    TEXT("ejection.probe_per_s", "0 (off) or a number up to 100"),
    TEXT("early_repeats",
         "the keys percent, occupancy_percent and percentile"),
    TEXT("early_repeats.percent", WHOLE_RANGE_TEXT(0, BS_HEDGE_PERCENT_MAX)),
    TEXT("early_repeats.occupancy_percent",
         WHOLE_RANGE_TEXT(BS_HEDGE_OCCUPANCY_PERCENT_MIN,
                          BS_HEDGE_OCCUPANCY_PERCENT_MAX)),
    TEXT("early_repeats.percentile",
         WHOLE_RANGE_TEXT(BS_HEDGE_PERCENTILE_MIN, BS_HEDGE_PERCENTILE_MAX)),
    TEXT("account_order", "the key urgent_percent"),
    TEXT("account_order.urgent_percent",
         WHOLE_RANGE_TEXT(0, BS_QUOTA_URGENT_PERCENT_MAX)),
    TEXT("spill", "the keys gain_ms and pause_min_ms"),
    TEXT("spill.gain_ms", WHOLE_RANGE_TEXT(0, BS_SPILL_GAIN_MAX_MS)),
    TEXT("spill.pause_min_ms", WHOLE_RANGE_TEXT(1, BS_SPILL_PAUSE_MAX_MS)),
    TEXT("inbound", "the optional keys memory_percent, reserved_descriptors "
                    "and unsent_kib"),
    TEXT("inbound.memory_percent", "a whole number from 1 to 60"),
    TEXT("inbound.reserved_descriptors", "a whole number from 16 to 1000000"),
    TEXT("inbound.unsent_kib", "a whole number from 1 to 65536"),
};

static const BsSettingsKeys S_keys = {S_rows, G_N_ELEMENTS(S_rows)};

static bool
S_fail(GError **error, const char *file, const char *key, const char *value)
{
    char *allowed = BsSettingsKey_Allowed(&S_keys, key);
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s: %s: '%s' is not valid; allowed: %s; correct it", file,
                key, value, allowed);
    g_free(allowed);
    return false;
}

static bool
S_check_address(const char *file, const char *key, const char *value,
                GError **error)
{
    struct sockaddr_in address;
    return BsGateSettings_ParseAddress(value, &address) ||
           S_fail(error, file, key, value);
}

static bool
S_check_number(const char *file, const char *key, double value, double min,
               double max, GError **error)
{
    if (value >= min && value <= max) {
        return true;
    }
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    return S_fail(error, file, key, g_ascii_dtostr(text, sizeof(text), value));
}

static bool
S_check_addresses(const BsGateSettings *settings, const char *file,
                  GError **error)
{
    for (unsigned i = 0; i < settings->seeds_count; i++) {
        if (!S_check_address(file, "seeds", settings->seeds[i], error)) {
            return false;
        }
    }
    return S_check_address(file, "callers", settings->callers, error) &&
           S_check_address(file, "ready", settings->ready, error) &&
           S_check_address(file, "admin", settings->admin, error) &&
           S_check_address(file, "peers", settings->peers, error) &&
           S_check_address(file, "store", settings->store, error);
}

/* Checks the limits on early repeats, or the defaults, which are valid. */
static bool
S_check_early_repeats(const BsGateSettings *settings, const char *file,
                      GError **error)
{
    BsHedgeLimits limits = BsGateSettings_EarlyRepeats(settings);
    return S_check_number(file, "early_repeats.percent", limits.percent, 0,
                          BS_HEDGE_PERCENT_MAX, error) &&
           S_check_number(file, "early_repeats.occupancy_percent",
                          limits.occupancy_percent,
                          BS_HEDGE_OCCUPANCY_PERCENT_MIN,
                          BS_HEDGE_OCCUPANCY_PERCENT_MAX, error) &&
           S_check_number(file, "early_repeats.percentile", limits.percentile,
                          BS_HEDGE_PERCENTILE_MIN, BS_HEDGE_PERCENTILE_MAX,
                          error);
}

static bool
S_check_spill(const BsGateSettings *settings, const char *file, GError **error)
{
    BsSpillLimits limits = BsGateSettings_Spill(settings);
    return S_check_number(file, "spill.gain_ms", limits.gain_ms, 0,
                          BS_SPILL_GAIN_MAX_MS, error) &&
           S_check_number(file, "spill.pause_min_ms", limits.pause_min_ms, 1,
                          BS_SPILL_PAUSE_MAX_MS, error);
}

static uint32_t
S_or_default(const uint32_t *given, uint32_t value)
{
    return given == NULL ? value : *given;
}

static void
S_set_inbound(BsGateSettings *settings)
{
    const BsGateInboundGiven *given = &settings->inbound_given;
    settings->inbound = (BsGateInbound){
        .memory_percent =
            S_or_default(given->memory_percent, INBOUND_MEMORY_PERCENT),
        .reserved_descriptors =
            S_or_default(given->reserved_descriptors, INBOUND_RESERVED),
        .unsent_kib = S_or_default(given->unsent_kib, INBOUND_UNSENT_KIB),
    };
}

static bool
S_check_inbound(const BsGateInbound *inbound, const char *file, GError **error)
{
    return S_check_number(file, "inbound.memory_percent",
                          inbound->memory_percent, INBOUND_MEMORY_PERCENT_MIN,
                          INBOUND_MEMORY_PERCENT_MAX, error) &&
           S_check_number(file, "inbound.reserved_descriptors",
                          inbound->reserved_descriptors, INBOUND_RESERVED_MIN,
                          INBOUND_RESERVED_MAX, error) &&
           S_check_number(file, "inbound.unsent_kib", inbound->unsent_kib,
                          INBOUND_UNSENT_KIB_MIN, INBOUND_UNSENT_KIB_MAX,
                          error);
}

static bool
S_check(const BsGateSettings *settings, const char *file, GError **error)
{
    const BsGateBounds *bounds = &settings->bounds;
    const char *region =
        BsGateSettings_Region(settings, settings->data_centre);
    if (region == NULL) {
        return S_fail(error, file, "data_centre", settings->data_centre);
    }
    if (strcmp(region, settings->region) != 0) {
        return S_fail(error, file, "region", settings->region);
    }
    return S_check_addresses(settings, file, error) &&
           S_check_inbound(&settings->inbound, file, error) &&
           S_check_number(file, "machine.memory_mb",
                          settings->machine.memory_mb, 16, UINT32_MAX,
                          error) &&
           S_check_number(file, "machine.descriptors",
                          settings->machine.descriptors, 64, UINT32_MAX,
                          error) &&
           S_check_number(file, "bounds.grace_s", bounds->grace_s, 1,
                          UINT32_MAX, error) &&
           S_check_number(file, "bounds.retry_ratio", bounds->retry_ratio, 0,
                          1, error) &&
           S_check_number(file, "bounds.retry_window_s",
                          bounds->retry_window_s, 1, UINT32_MAX, error) &&
           S_check_number(file, "bounds.quota_over", bounds->quota_over, 0, 10,
                          error) &&
           S_check_number(file, "ejection.probe_per_s",
                          settings->ejection.probe_per_s, 0, PROBE_PER_S_MAX,
                          error) &&
           S_check_early_repeats(settings, file, error) &&
           S_check_number(file, "account_order.urgent_percent",
                          settings->account_order.urgent_percent, 0,
                          BS_QUOTA_URGENT_PERCENT_MAX, error) &&
           S_check_spill(settings, file, error);
}

BsGateSettings *
BsGateSettings_Load(const char *file, GError **error)
{
    GString *report = g_string_new(NULL);
    cyaml_config_t config =
        BsYamlReport_Config(report, CYAML_CFG_IGNORE_UNKNOWN_KEYS);
    BsGateSettings *settings = NULL;
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
        BsSettingsKey_SetError(&S_keys, error, file,
                               result == CYAML_OK ? "the file is empty"
                               : report->len > 0  ? report->str
                                                  : cyaml_strerror(result));
    }
    else {
        S_set_inbound(settings);
        if (!S_check(settings, file, error)) {
            g_clear_pointer(&settings, BsGateSettings_Destroy);
        }
    }
    g_string_free(report, TRUE);
    return settings;
}

void
BsGateSettings_Destroy(BsGateSettings *settings)
{
    GString *report = g_string_new(NULL);
    cyaml_config_t config =
        BsYamlReport_Config(report, CYAML_CFG_IGNORE_UNKNOWN_KEYS);
    if (settings != NULL) {
        cyaml_free(&config, &S_schema, settings, 0);
    }
    g_string_free(report, TRUE);
}

const char *
BsGateSettings_Region(const BsGateSettings *settings, const char *data_centre)
{
    for (unsigned i = 0; i < settings->data_centres_count; i++) {
        if (strcmp(settings->data_centres[i].name, data_centre) == 0) {
            return settings->data_centres[i].region;
        }
    }
    return NULL;
}

static uint32_t
S_value_or(const uint32_t *value, uint32_t otherwise)
{
    return value == NULL ? otherwise : *value;
}

BsSpillLimits
BsGateSettings_Spill(const BsGateSettings *settings)
{
    BsSpillLimits limits = {
        .gain_ms = S_value_or(settings->spill.gain_ms, 0),
        .pause_min_ms =
            S_value_or(settings->spill.pause_min_ms, BS_SPILL_PAUSE_MIN_MS),
    };
    return limits;
}

BsHedgeLimits
BsGateSettings_EarlyRepeats(const BsGateSettings *settings)
{
    const BsGateEarlyRepeats *set = &settings->early_repeats;
    BsHedgeLimits limits = {
        .percent = S_value_or(set->percent, 0),
        .occupancy_percent =
            S_value_or(set->occupancy_percent, BS_HEDGE_OCCUPANCY_PERCENT),
        .percentile = S_value_or(set->percentile, BS_HEDGE_PERCENTILE),
    };
    return limits;
}

bool
BsGateSettings_ParseAddress(const char *text, struct sockaddr_in *address)
{
    struct sockaddr_storage storage;
    socklen_t length;
    if (!BsSettings_ParseAddress(text, &storage, &length) ||
        storage.ss_family != AF_INET) {
        return false;
    }
    memcpy(address, &storage, sizeof(*address));
    return true;
}
