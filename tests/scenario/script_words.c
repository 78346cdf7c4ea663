/* script_words.c - reads the words of a scenario line. */
#include "script_private.h"

#include <string.h>

bool
Script_Fail(GError **error, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_set_error(error, BS_ERROR, BS_ERR_BAD_REQUEST, "%s", text);
    g_free(text);
    return false;
}

const char *
Script_Option(const Script *script, const char *key, const char *fallback)
{
    size_t length = strlen(key);
    for (int i = 1; i < script->count; i++) {
        if (strncmp(script->words[i], key, length) == 0 &&
            script->words[i][length] == '=') {
            return script->words[i] + length + 1;
        }
    }
    return fallback;
}

uint32_t
Script_Number(const Script *script, const char *key, uint32_t fallback)
{
    const char *text = Script_Option(script, key, NULL);
    return text == NULL ? fallback
                        : (uint32_t)g_ascii_strtoull(text, NULL, 10);
}

int64_t
Script_WordNumber(const Script *script, int index, int64_t fallback)
{
    if (index >= script->count) {
        return fallback;
    }
    return g_ascii_strtoll(script->words[index], NULL, 10);
}

void
Script_Check(Script *script, bool holds, const char *seen)
{
    if (holds) {
        return;
    }
    script->failed = true;
    g_string_append(script->out, "FAILED:");
    for (int i = 0; i < script->count; i++) {
        g_string_append_printf(script->out, " %s", script->words[i]);
    }
    g_string_append_printf(script->out, " (seen: %s)\n", seen);
}
