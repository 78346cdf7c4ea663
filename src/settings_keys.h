/*
 * settings_keys.h - every key of the settings file with its allowed values.
 */
#ifndef BS_SETTINGS_KEYS_H
#define BS_SETTINGS_KEYS_H

#include "settings.h"

/* A key.  A number has a range and a default, which is used when the key is
   absent or 0. */
typedef struct {
    const char *key;     /* path from the top, joined by dots */
    const char *allowed; /* allowed values as text; NULL for a number */
    size_t offset;       /* of a number in BsSettings */
    size_t size_bytes;   /* of a number, 4 or 8; else 0 */
    uint64_t min;
    uint64_t max;
    uint64_t fallback; /* default */
} BsSettingsKey;

/* All keys of an instance's or a gateway's settings file. */
typedef struct {
    const BsSettingsKey *rows;
    size_t count;
} BsSettingsKeys;

/* The keys of an instance's settings. */
extern const BsSettingsKeys bs_settings_keys;

/* Returns the row of KEY, or NULL. */
const BsSettingsKey *BsSettingsKey_Find(const BsSettingsKeys *keys,
                                        const char *key);

/* Returns the allowed values of KEY as text; g_free() it. */
char *BsSettingsKey_Allowed(const BsSettingsKeys *keys, const char *key);

/* Returns the names directly below PARENT ("" for the top); g_free() it. */
char *BsSettingsKey_Names(const BsSettingsKeys *keys, const char *parent);

/* Sets ERROR from REPORT, the error text of libcyaml about FILE. */
void BsSettingsKey_SetError(const BsSettingsKeys *keys, GError **error,
                            const char *file, const char *report);

/* Checks ranges and dependencies between keys, sets defaults and reads the
   secret file.  Returns false with ERROR set when a value is invalid. */
bool BsSettings_Check(BsSettings *settings, const char *file, GError **error);

#endif /* BS_SETTINGS_KEYS_H */
