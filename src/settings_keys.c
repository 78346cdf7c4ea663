/* settings_keys.c - the table of settings keys, and errors about them. */
#include "settings_keys.h"

#include <string.h>

#define TEXT(name, text)                                                      \
    {                                                                         \
        name, text, 0, 0, 0, 0, 0                                             \
    }
#define NUMBER(name, member, min, max, fallback)                              \
    {                                                                         \
        name, NULL, offsetof(BsSettings, member),                             \
            sizeof(((BsSettings *)NULL)->member), min, max, fallback          \
    }

#define NAME_TEXT "1 to 63 letters, digits, '-', '_' or '.'"
#define ADDRESS_TEXT "IP:port"
#define BOOL_TEXT "true or false"
#define CURVE_TEXT "a Z85 key of 40 characters"
#define MEBIBYTE (UINT64_C(1024) * 1024)
#define DAY_MS UINT64_C(86400000)

static const BsSettingsKey S_rows[] = {
    TEXT("name", NAME_TEXT),
    TEXT("data_centre", NAME_TEXT),
    TEXT("region", NAME_TEXT),
    TEXT("callers", ADDRESS_TEXT),
    TEXT("admin", ADDRESS_TEXT),
    TEXT("peers", ADDRESS_TEXT),
    TEXT("platform", "a list of 1 to 16 http:// or https:// URLs"),
    TEXT("secret", "16 to 1024 characters"),
    TEXT("secret_file", "a readable file of 16 to 1024 characters"),
    TEXT("curve", "the keys public, secret and allowed"),
    TEXT("curve.public", CURVE_TEXT),
    TEXT("curve.secret", CURVE_TEXT),
    TEXT("curve.allowed", "a list of up to 1000 Z85 keys"),
    TEXT("insecure", BOOL_TEXT),
    TEXT("tls", "the keys certificate and key"),
    TEXT("tls.certificate", "a readable PEM file"),
    TEXT("tls.key", "a readable PEM file"),
    TEXT("limits", "the keys header_bytes, body_bytes, connections, "
                   "requests, queue_bytes and records"),
    NUMBER("limits.header_bytes", limits.header_bytes, 4096, MEBIBYTE, 16384),
    NUMBER("limits.body_bytes", limits.body_bytes, 1024, 16 * MEBIBYTE,
           4 * MEBIBYTE),
    NUMBER("limits.connections", limits.connections, 1, 100000, 4096),
    NUMBER("limits.requests", limits.requests, 1, 1000000, 20000),
    NUMBER("limits.queue_bytes", limits.queue_bytes, MEBIBYTE,
           16384 * MEBIBYTE, 64 * MEBIBYTE),
    NUMBER("limits.records", limits.records, 1, 10000000, 100000),
    NUMBER("lease_ms", lease_ms, 100, 60000, 2000),
    NUMBER("list_lag_ms", list_lag_ms, 100, 600000, 10000),
    NUMBER("resend_window_ms", resend_window_ms, 1000, DAY_MS, 600000),
    NUMBER("digest_ms", digest_ms, 100, 60000, 1000),
    NUMBER("drain_limit_ms", drain_limit_ms, 100, DAY_MS, 30000),
    TEXT("fresh_fleet", BOOL_TEXT),
    TEXT("policy", "affinity, random, round_robin or least_outstanding"),
    TEXT("tracing", "the keys url and sample_percent"),
    TEXT("tracing.url", "an http:// or https:// URL"),
    TEXT("tracing.sample_percent", "1 to 100"),
};
const BsSettingsKeys bs_settings_keys = {S_rows, G_N_ELEMENTS(S_rows)};

const BsSettingsKey *
BsSettingsKey_Find(const BsSettingsKeys *keys, const char *key)
{
    for (size_t i = 0; i < keys->count; i++) {
        if (strcmp(keys->rows[i].key, key) == 0) {
            return &keys->rows[i];
        }
    }
    return NULL;
}

char *
BsSettingsKey_Allowed(const BsSettingsKeys *keys, const char *key)
{
    const BsSettingsKey *row = BsSettingsKey_Find(keys, key);
    if (row == NULL) {
        return g_strdup("see the manual");
    }
    if (row->allowed != NULL) {
        return g_strdup(row->allowed);
    }
    return g_strdup_printf("%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
                           ", default %" G_GUINT64_FORMAT,
                           (guint64)row->min, (guint64)row->max,
                           (guint64)row->fallback);
}

char *
BsSettingsKey_Names(const BsSettingsKeys *keys, const char *parent)
{
    GString *names = g_string_new(NULL);
    size_t length = strlen(parent);
    for (size_t i = 0; i < keys->count; i++) {
        const char *key = keys->rows[i].key;
        if (length > 0 &&
            (strncmp(key, parent, length) != 0 || key[length] != '.')) {
            continue;
        }
        const char *name = length > 0 ? key + length + 1 : key;
        if (strchr(name, '.') == NULL) {
            g_string_append_printf(names, "%s%s", names->len > 0 ? ", " : "",
                                   name);
        }
    }
    return g_string_free(names, FALSE);
}

/* Returns the path of the key that REPORT is about, from its backtrace, which
   lists the innermost mapping first; g_free() it.  OUTER skips the innermost
   mapping. */
static char *
S_find_path(const char *report, bool outer)
{
    static const char mark[] = "in mapping field '";
    GString *path = g_string_new(NULL);
    const char *at = report;
    bool first = true;
    while ((at = strstr(at, mark)) != NULL) {
        at += strlen(mark);
        size_t length = strcspn(at, "'");
        bool skipped = first && outer;
        first = false;
        if (skipped) {
            continue;
        }
        if (path->len > 0) {
            g_string_prepend(path, ".");
        }
        g_string_prepend_len(path, at, (gssize)length);
    }
    return g_string_free(path, FALSE);
}

/* Returns the text after MARK in REPORT up to ';', or NULL; g_free() it. */
static char *
S_extract_text(const char *report, const char *mark)
{
    const char *at = strstr(report, mark);
    if (at == NULL) {
        return NULL;
    }
    at += strlen(mark);
    return g_strndup(at, strcspn(at, ";"));
}

static char *
S_join(const char *parent, const char *name)
{
    return parent[0] == '\0' ? g_strdup(name)
                             : g_strconcat(parent, ".", name, (char *)NULL);
}

/* Returns the path of the mapping with a missing or unknown key; g_free() it.
   The backtrace may start with the last key that was read in this mapping,
   which is not part of the path. */
static char *
S_find_parent(const char *report)
{
    const char *field = strstr(report, "in mapping field '");
    const char *bare = strstr(report, "in mapping (");
    return S_find_path(report,
                       bare == NULL || (field != NULL && field < bare));
}

static void
S_set_unknown(const BsSettingsKeys *keys, GError **error, const char *file,
              const char *report, const char *name)
{
    char *parent = S_find_parent(report);
    char *names = BsSettingsKey_Names(keys, parent);
    char *key = S_join(parent, name);
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s: %s: unknown key; allowed here: %s; correct or remove it",
                file, key, names);
    g_free(key);
    g_free(names);
    g_free(parent);
}

static void
S_set_missing(const BsSettingsKeys *keys, GError **error, const char *file,
              const char *report, const char *name)
{
    char *parent = S_find_parent(report);
    char *key = S_join(parent, name);
    char *allowed = BsSettingsKey_Allowed(keys, key);
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s: %s: missing; allowed: %s; add it", file, key, allowed);
    g_free(allowed);
    g_free(key);
    g_free(parent);
}

static void
S_set_invalid(const BsSettingsKeys *keys, GError **error, const char *file,
              const char *report)
{
    const char *text = g_str_has_prefix(report, "Load: ")
                           ? report + strlen("Load: ")
                           : report;
    char *what = g_strndup(text, strcspn(text, ";"));
    char *key = S_find_path(report, false);
    char *line = S_extract_text(report, "(line: ");
    char *number =
        line == NULL ? g_strdup("1") : g_strndup(line, strcspn(line, ",)"));
    char *allowed = BsSettingsKey_Allowed(keys, key);
    g_set_error(error, BS_ERROR, BS_ERR_SETTINGS,
                "%s: %s: near line %s: %s; allowed: %s; correct it", file,
                key[0] == '\0' ? "the file" : key, number, what, allowed);
    g_free(allowed);
    g_free(number);
    g_free(line);
    g_free(key);
    g_free(what);
}

void
BsSettingsKey_SetError(const BsSettingsKeys *keys, GError **error,
                       const char *file, const char *report)
{
    char *unknown = S_extract_text(report, "Unexpected key: ");
    char *missing = S_extract_text(report, "Missing required mapping field: ");
    if (unknown != NULL) {
        S_set_unknown(keys, error, file, report, unknown);
    }
    else if (missing != NULL) {
        S_set_missing(keys, error, file, report, missing);
    }
    else {
        S_set_invalid(keys, error, file, report);
    }
    g_free(unknown);
    g_free(missing);
}
