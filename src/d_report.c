/* d_report.c - parser for the load report of an engine, in JSON. */
#include "d_report.h"

#include <jansson.h>

static uint32_t
S_read_u32(const json_t *root, const char *key)
{
    json_int_t number = json_integer_value(json_object_get(root, key));
    return (uint32_t)CLAMP(number, 0, (json_int_t)UINT32_MAX);
}

/* Returns the loaded models as "model@version,...", "" for none, or NULL when
   the report does not list them; g_free() it. */
static char *
S_read_loaded(const json_t *root)
{
    const json_t *rows = json_object_get(root, "loaded");
    if (!json_is_array(rows)) {
        return NULL;
    }
    GString *text = g_string_new(NULL);
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        const char *model = json_string_value(json_object_get(row, "model"));
        const char *version =
            json_string_value(json_object_get(row, "version"));
        if (model != NULL && version != NULL) {
            g_string_append_printf(text, "%s%s@%s", text->len > 0 ? "," : "",
                                   model, version);
        }
    }
    return g_string_free(text, FALSE);
}

bool
BsReport_Parse(const void *data, size_t size_bytes, BsReport *report)
{
    json_t *root = json_loadb(data, size_bytes, 0, NULL);
    if (!json_is_object(root)) {
        json_decref(root);
        return false;
    }
    json_int_t fencing = json_integer_value(json_object_get(root, "fencing"));
    report->boot_id =
        g_strdup(json_string_value(json_object_get(root, "boot_id")));
    report->loaded = S_read_loaded(root);
    report->running = S_read_u32(root, "running");
    report->waiting = S_read_u32(root, "waiting");
    report->tokens = S_read_u32(root, "tokens");
    report->age_ms = S_read_u32(root, "age_ms");
    report->fencing = (uint64_t)MAX(fencing, 0);
    report->checks_fencing =
        json_is_true(json_object_get(root, "checks_fencing"));
    json_decref(root);
    return true;
}
