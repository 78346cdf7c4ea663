/* d_usage.c - reads the token counts that engines report in their answers. */
#include "d_usage.h"

#include <jansson.h>
#include <string.h>

#define USAGE_KEY "\"usage\""

static void
S_read_count(const json_t *value, uint32_t *count)
{
    json_int_t number = json_integer_value(value);
    if (json_is_integer(value) && number >= 0 && number <= UINT32_MAX) {
        *count = (uint32_t)number;
    }
}

void
BsUsage_Scan(GBytes *data, uint32_t *cached_tokens,
             uint32_t *completion_tokens)
{
    gsize size;
    const char *text = g_bytes_get_data(data, &size);
    const char *key =
        size == 0 ? NULL : memmem(text, size, USAGE_KEY, strlen(USAGE_KEY));
    if (key == NULL) {
        return;
    }
    const char *end = text + size;
    const char *value = key + strlen(USAGE_KEY);
    while (value < end && (g_ascii_isspace(*value) || *value == ':')) {
        value++;
    }
    json_t *usage =
        json_loadb(value, (size_t)(end - value), JSON_DISABLE_EOF_CHECK, NULL);
    const json_t *details = json_object_get(usage, "prompt_tokens_details");
    S_read_count(json_object_get(details, "cached_tokens"), cached_tokens);
    S_read_count(json_object_get(usage, "completion_tokens"),
                 completion_tokens);
    json_decref(usage);
}
