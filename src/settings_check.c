/* settings_check.c - ranges and dependencies of the settings. */
#include "settings_keys.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#define SECRET_MIN_BYTES 16
#define SECRET_MAX_BYTES 1024
#define CURVE_KEY_BYTES 40
#define DEFAULT_SAMPLE_PERCENT 10

static const char *const S_policies[] = {
    [BS_POLICY_AFFINITY] = "affinity",
    [BS_POLICY_RANDOM] = "random",
    [BS_POLICY_ROUND_ROBIN] = "round_robin",
    [BS_POLICY_LEAST_OUTSTANDING] = "least_outstanding",
};

int
BsSettings_Policy(const BsSettings *settings)
{
    if (settings->policy == NULL) {
        return BS_POLICY_AFFINITY;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(S_policies); i++) {
        if (strcmp(settings->policy, S_policies[i]) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Sets ERROR to a line that names KEY, VALUE and the allowed values; returns
   false. */
static bool
S_refuse(GError **error, const char *file, const char *key, const char *value)
{
    char *allowed = BsSettingsKey_Allowed(&bs_settings_keys, key);
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s: %s: '%s' is not allowed; allowed: %s; correct it", file,
                key, value, allowed);
    g_free(allowed);
    return false;
}

static bool
S_check_number(BsSettings *settings, const BsSettingsKey *row,
               const char *file, GError **error)
{
    char *at = (char *)settings + row->offset;
    uint64_t value = row->size_bytes == sizeof(uint64_t) ? *(uint64_t *)at
                                                         : *(uint32_t *)at;
    char text[24];
    if (value == 0) {
        value = row->fallback;
    }
    if (value < row->min || value > row->max) {
        g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, (guint64)value);
        return S_refuse(error, file, row->key, text);
    }
    if (row->size_bytes == sizeof(uint64_t)) {
        *(uint64_t *)at = value;
    }
    else {
        *(uint32_t *)at = (uint32_t)value;
    }
    return true;
}

static bool
S_check_numbers(BsSettings *settings, const char *file, GError **error)
{
    for (size_t i = 0; i < bs_settings_keys.count; i++) {
        const BsSettingsKey *row = &bs_settings_keys.rows[i];
        if (row->size_bytes > 0 &&
            !S_check_number(settings, row, file, error)) {
            return false;
        }
    }
    return true;
}

static bool
S_check_name(const char *key, const char *value, const char *file,
             GError **error)
{
    bool valid = strlen(value) <= BS_NAME_MAX_BYTES;
    for (const char *c = value; *c != '\0'; c++) {
        valid = valid && (g_ascii_isalnum(*c) || strchr("-_.", *c) != NULL);
    }
    return valid || S_refuse(error, file, key, value);
}

static bool
S_check_address(const char *key, const char *value, const char *file,
                GError **error)
{
    struct sockaddr_storage address;
    socklen_t length;
    return BsSettings_ParseAddress(value, &address, &length) ||
           S_refuse(error, file, key, value);
}

static bool
S_check_url(const char *key, const char *value, const char *file,
            GError **error)
{
    return g_str_has_prefix(value, "http://") ||
           g_str_has_prefix(value, "https://") ||
           S_refuse(error, file, key, value);
}

static bool
S_check_platform(const BsSettings *settings, const char *file, GError **error)
{
    for (unsigned i = 0; i < settings->platform_count; i++) {
        if (!S_check_url("platform", settings->platform[i], file, error)) {
            return false;
        }
    }
    return true;
}

static bool
S_check_readable(const char *key, const char *path, const char *file,
                 GError **error)
{
    return access(path, R_OK) == 0 || S_refuse(error, file, key, path);
}

static bool
S_read_secret(BsSettings *settings, const char *file, GError **error)
{
    char *text = NULL;
    if ((settings->secret == NULL) == (settings->secret_file == NULL)) {
        g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                    "%s: secret: set either secret or secret_file; allowed: "
                    "%d to %d characters, the same on every instance",
                    file, SECRET_MIN_BYTES, SECRET_MAX_BYTES);
        return false;
    }
    if (settings->secret_file != NULL) {
        if (!g_file_get_contents(settings->secret_file, &text, NULL, NULL)) {
            return S_refuse(error, file, "secret_file", settings->secret_file);
        }
        settings->secret = g_strstrip(text);
    }
    size_t length = strlen(settings->secret);
    return (length >= SECRET_MIN_BYTES && length <= SECRET_MAX_BYTES) ||
           S_refuse(error, file,
                    settings->secret_file != NULL ? "secret_file" : "secret",
                    "(hidden)");
}

/* Returns whether KEY is 40 characters of the Z85 alphabet. */
static bool
S_is_curve_key(const char *key)
{
    static const char marks[] = ".-:+=^!/*?&<>()[]{}@%$#";
    bool valid = strlen(key) == CURVE_KEY_BYTES;
    for (const char *c = key; *c != '\0'; c++) {
        valid = valid && (g_ascii_isalnum(*c) || strchr(marks, *c) != NULL);
    }
    return valid;
}

static bool
S_check_curve(const BsCurveSettings *curve, const char *file, GError **error)
{
    if (!S_is_curve_key(curve->public_key)) {
        return S_refuse(error, file, "curve.public", curve->public_key);
    }
    if (!S_is_curve_key(curve->secret_key)) {
        return S_refuse(error, file, "curve.secret", "(hidden)");
    }
    for (unsigned i = 0; i < curve->allowed_count; i++) {
        if (!S_is_curve_key(curve->allowed[i])) {
            return S_refuse(error, file, "curve.allowed", curve->allowed[i]);
        }
    }
    return true;
}

static bool
S_is_loopback(const char *text)
{
    struct sockaddr_storage address;
    socklen_t length;
    BsSettings_ParseAddress(text, &address, &length);
    if (address.ss_family == AF_INET6) {
        return IN6_IS_ADDR_LOOPBACK(
            &((struct sockaddr_in6 *)&address)->sin6_addr);
    }
    uint32_t ip = ntohl(((struct sockaddr_in *)&address)->sin_addr.s_addr);
    return ip >> 24 == IN_LOOPBACKNET;
}

static bool
S_check_peers(const BsSettings *settings, const char *file, GError **error)
{
    if (settings->curve != NULL) {
        return S_check_curve(settings->curve, file, error);
    }
    if (settings->insecure || S_is_loopback(settings->peers)) {
        return true;
    }
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s: peers: %s is reachable from other machines without "
                "encryption; allowed: a loopback address, or any with curve "
                "keys; set curve, or insecure: true on a trusted network",
                file, settings->peers);
    return false;
}

static bool
S_check_options(BsSettings *settings, const char *file, GError **error)
{
    BsTracingSettings *tracing = settings->tracing;
    const BsTlsSettings *tls = settings->tls;
    char text[16];
    if (BsSettings_Policy(settings) < 0) {
        return S_refuse(error, file, "policy", settings->policy);
    }
    if (tls != NULL &&
        !(S_check_readable("tls.certificate", tls->certificate, file, error) &&
          S_check_readable("tls.key", tls->key, file, error))) {
        return false;
    }
    if (tracing == NULL) {
        return true;
    }
    if (tracing->sample_percent == 0) {
        tracing->sample_percent = DEFAULT_SAMPLE_PERCENT;
    }
    if (tracing->sample_percent > 100) {
        g_snprintf(text, sizeof(text), "%u", tracing->sample_percent);
        return S_refuse(error, file, "tracing.sample_percent", text);
    }
    return S_check_url("tracing.url", tracing->url, file, error);
}

bool
BsSettings_Check(BsSettings *settings, const char *file, GError **error)
{
    return S_check_name("name", settings->name, file, error) &&
           S_check_name("data_centre", settings->data_centre, file, error) &&
           S_check_name("region", settings->region, file, error) &&
           S_check_address("callers", settings->callers, file, error) &&
           S_check_address("admin", settings->admin, file, error) &&
           S_check_address("peers", settings->peers, file, error) &&
           S_check_platform(settings, file, error) &&
           S_check_numbers(settings, file, error) &&
           S_check_peers(settings, file, error) &&
           S_check_options(settings, file, error) &&
           S_read_secret(settings, file, error);
}
