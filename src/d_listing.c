/* d_listing.c - parser of the platform's instance list, a JSON document. */
#include "d_listing.h"

#include "schema.h"

#include <jansson.h>
#include <string.h>

static char *
S_copy_string(const json_t *row, const char *key)
{
    return g_strdup(json_string_value(json_object_get(row, key)));
}

static uint32_t
S_read_u32(const json_t *row, const char *key)
{
    json_int_t number = json_integer_value(json_object_get(row, key));
    return number < 0 || number > UINT32_MAX ? 0 : (uint32_t)number;
}

static uint32_t
S_read_kind(const json_t *row)
{
    const char *text = json_string_value(json_object_get(row, "kind"));
    if (g_strcmp0(text, "instance") == 0) {
        return BS_NODE_INSTANCE;
    }
    if (g_strcmp0(text, "engine") == 0) {
        return BS_NODE_ENGINE;
    }
    return g_strcmp0(text, "service") == 0 ? BS_NODE_SERVICE : 0;
}

/* Reads "serves", a string or a list of strings, as comma-separated names. */
static char *
S_read_serves(const json_t *row)
{
    const json_t *serves = json_object_get(row, "serves");
    size_t index;
    json_t *name;
    if (!json_is_array(serves)) {
        return g_strdup(json_string_value(serves));
    }
    GString *text = g_string_new(NULL);
    json_array_foreach(serves, index, name)
    {
        if (json_is_string(name)) {
            g_string_append_printf(text, "%s%s", text->len > 0 ? "," : "",
                                   json_string_value(name));
        }
    }
    return g_string_free(text, FALSE);
}

static BsListEntry *
S_read_entry(const json_t *row)
{
    const char *state = json_string_value(json_object_get(row, "state"));
    BsListEntry *entry = BsListEntry_Create();
    entry->name = S_copy_string(row, "name");
    entry->address = S_copy_string(row, "address");
    entry->data_centre = S_copy_string(row, "data_centre");
    entry->region = S_copy_string(row, "region");
    entry->generation = S_copy_string(row, "generation");
    entry->serves = S_read_serves(row);
    entry->kind = S_read_kind(row);
    entry->state =
        g_strcmp0(state, "live") == 0 ? BS_NODE_LIVE : BS_NODE_LEAVING;
    entry->slots = S_read_u32(row, "slots");
    entry->tokens = S_read_u32(row, "tokens");
    return entry;
}

static bool
S_read_entries(const json_t *rows, BsList *list, GError **error)
{
    size_t index;
    json_t *row;
    list->entries = BsSchema_NewList(&bs_schema_list_entry);
    json_array_foreach(rows, index, row)
    {
        BsListEntry *entry = S_read_entry(row);
        g_ptr_array_add(list->entries, entry);
        if (entry->name == NULL || entry->address == NULL ||
            entry->data_centre == NULL || entry->region == NULL ||
            entry->kind == 0) {
            g_set_error(error, BS_ERROR, BS_ERR_MESSAGE,
                        "entry %zu lacks a name, address, data_centre, "
                        "region or known kind",
                        index);
            return false;
        }
    }
    return true;
}

BsMessage *
BsListing_Parse(const void *data, size_t size_bytes, GError **error)
{
    json_error_t problem;
    json_t *root = json_loadb(data, size_bytes, 0, &problem);
    json_t *rows = json_object_get(root, "entries");
    json_t *revision = json_object_get(root, "revision");
    if (!json_is_array(rows) || !json_is_integer(revision)) {
        g_set_error(
            error, BS_ERROR, BS_ERR_MESSAGE, "invalid instance list: %s",
            root == NULL ? problem.text : "revision or entries is missing");
        json_decref(root);
        return NULL;
    }
    BsMessage *message = BsMessage_Create(BS_PLATFORM_LIST);
    message->u.list.revision = (uint64_t)json_integer_value(revision);
    if (!S_read_entries(rows, &message->u.list, error)) {
        g_clear_pointer(&message, BsMessage_Destroy);
    }
    json_decref(root);
    return message;
}
