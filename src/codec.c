/*
 * codec.c - wire format of peer messages.
 *
 * A message is a MessagePack array of version, kind, sender, sender's
 * incarnation, receiver's incarnation and a map from field tag to value.
 * Fields that are zero or NULL are omitted; unknown tags are ignored.
 */
#include "boragespur.h"
#include "codecguard.h"
#include "schema.h"

#include <msgpack.h>
#include <string.h>

#define ENVELOPE_ITEMS 6

static bool
S_is_empty(const BsField *field, const void *slot)
{
    switch (field->type) {
    case BS_FIELD_STRING:
    case BS_FIELD_BYTES:
    case BS_FIELD_LIST:
        return *(void *const *)slot == NULL;
    case BS_FIELD_U64:
    case BS_FIELD_I64:
        return *(const uint64_t *)slot == 0;
    case BS_FIELD_U32:
        return *(const uint32_t *)slot == 0;
    case BS_FIELD_BOOL:
        return !*(const bool *)slot;
    }
    return true;
}

static void
S_pack_string(msgpack_packer *packer, const char *text)
{
    size_t size = text == NULL ? 0 : strlen(text);
    msgpack_pack_str(packer, size);
    msgpack_pack_str_body(packer, text == NULL ? "" : text, size);
}

static void S_pack_object(msgpack_packer *packer, const BsSchema *schema,
                          const void *object);

static void
S_pack_list(msgpack_packer *packer, const BsField *field, GPtrArray *list)
{
    msgpack_pack_array(packer, list->len);
    for (guint i = 0; i < list->len; i++) {
        S_pack_object(packer, field->element, list->pdata[i]);
    }
}

static void
S_pack_field(msgpack_packer *packer, const BsField *field, const void *slot)
{
    gsize size;
    const void *data;
    switch (field->type) {
    case BS_FIELD_STRING:
        S_pack_string(packer, *(char *const *)slot);
        break;
    case BS_FIELD_BYTES:
        data = g_bytes_get_data(*(GBytes *const *)slot, &size);
        msgpack_pack_bin(packer, size);
        msgpack_pack_bin_body(packer, data, size);
        break;
    case BS_FIELD_LIST:
        S_pack_list(packer, field, *(GPtrArray *const *)slot);
        break;
    case BS_FIELD_U64:
        msgpack_pack_uint64(packer, *(const uint64_t *)slot);
        break;
    case BS_FIELD_I64:
        msgpack_pack_int64(packer, *(const int64_t *)slot);
        break;
    case BS_FIELD_U32:
        msgpack_pack_uint32(packer, *(const uint32_t *)slot);
        break;
    case BS_FIELD_BOOL:
        msgpack_pack_true(packer);
        break;
    }
}

static bool
S_is_encoded(const BsField *field, const void *object)
{
    const void *slot = (const char *)object + field->offset;
    return !field->local && !S_is_empty(field, slot);
}

static void
S_pack_object(msgpack_packer *packer, const BsSchema *schema,
              const void *object)
{
    size_t count = 0;
    for (size_t i = 0; i < schema->field_count; i++) {
        count += S_is_encoded(&schema->fields[i], object) ? 1 : 0;
    }
    msgpack_pack_map(packer, count);
    for (size_t i = 0; i < schema->field_count; i++) {
        const BsField *field = &schema->fields[i];
        if (S_is_encoded(field, object)) {
            msgpack_pack_uint32(packer, field->tag);
            S_pack_field(packer, field, (const char *)object + field->offset);
        }
    }
}

static void
S_free_buffer(void *buffer)
{
    msgpack_sbuffer_free(buffer);
}

GBytes *
BsMessage_Encode(const BsMessage *message)
{
    msgpack_sbuffer *buffer = msgpack_sbuffer_new();
    msgpack_packer packer;
    const BsSchema *schema = BsSchema_OfKind(message->kind);
    msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, ENVELOPE_ITEMS);
    msgpack_pack_uint32(&packer, BS_PROTOCOL_VERSION);
    msgpack_pack_uint32(&packer, message->kind);
    S_pack_string(&packer, message->from);
    msgpack_pack_uint64(&packer, message->from_incarnation);
    msgpack_pack_uint64(&packer, message->to_incarnation);
    if (schema == NULL) {
        msgpack_pack_map(&packer, 0);
    }
    else {
        S_pack_object(&packer, schema, &message->u);
    }
    return g_bytes_new_with_free_func(buffer->data, buffer->size,
                                      S_free_buffer, buffer);
}

static bool S_unpack_object(const BsSchema *schema, void *object,
                            const msgpack_object *map);

static bool
S_unpack_list(const BsField *field, GPtrArray **slot,
              const msgpack_object *value)
{
    if (value->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    GPtrArray *list = BsSchema_NewList(field->element);
    *slot = list;
    for (uint32_t i = 0; i < value->via.array.size; i++) {
        void *element = g_malloc0(field->element->size_bytes);
        g_ptr_array_add(list, element);
        if (!S_unpack_object(field->element, element,
                             &value->via.array.ptr[i])) {
            return false;
        }
    }
    return true;
}

static bool
S_unpack_number(const BsField *field, void *slot, const msgpack_object *value)
{
    bool negative = value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
    if (field->type == BS_FIELD_I64 && negative) {
        *(int64_t *)slot = value->via.i64;
        return true;
    }
    if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    uint64_t number = value->via.u64;
    if (field->type == BS_FIELD_U32) {
        *(uint32_t *)slot = (uint32_t)number;
        return number <= UINT32_MAX;
    }
    if (field->type == BS_FIELD_I64) {
        *(int64_t *)slot = (int64_t)number;
        return number <= INT64_MAX;
    }
    *(uint64_t *)slot = number;
    return true;
}

static bool
S_unpack_string(char **slot, const msgpack_object *value)
{
    if (value->type != MSGPACK_OBJECT_STR) {
        return false;
    }
    const char *text = value->via.str.ptr;
    size_t size = value->via.str.size;
    if (!g_utf8_validate_len(text, size, NULL)) {
        return false;
    }
    g_free(*slot);
    *slot = g_strndup(text, size);
    return true;
}

static bool
S_unpack_field(const BsField *field, void *slot, const msgpack_object *value)
{
    switch (field->type) {
    case BS_FIELD_STRING:
        return S_unpack_string(slot, value);
    case BS_FIELD_BYTES:
        if (value->type != MSGPACK_OBJECT_BIN || *(void **)slot != NULL) {
            return false;
        }
        *(GBytes **)slot =
            g_bytes_new(value->via.bin.ptr, value->via.bin.size);
        return true;
    case BS_FIELD_LIST:
        return *(void **)slot == NULL && S_unpack_list(field, slot, value);
    case BS_FIELD_BOOL:
        if (value->type != MSGPACK_OBJECT_BOOLEAN) {
            return false;
        }
        *(bool *)slot = value->via.boolean;
        return true;
    default:
        return S_unpack_number(field, slot, value);
    }
}

static const BsField *
S_find_field(const BsSchema *schema, uint64_t tag)
{
    for (size_t i = 0; i < schema->field_count; i++) {
        if (schema->fields[i].tag == tag && !schema->fields[i].local) {
            return &schema->fields[i];
        }
    }
    return NULL;
}

static bool
S_unpack_object(const BsSchema *schema, void *object,
                const msgpack_object *map)
{
    if (map->type != MSGPACK_OBJECT_MAP) {
        return false;
    }
    for (uint32_t i = 0; i < map->via.map.size; i++) {
        const msgpack_object_kv *pair = &map->via.map.ptr[i];
        if (pair->key.type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
        const BsField *field = S_find_field(schema, pair->key.via.u64);
        if (field == NULL) {
            continue;
        }
        if (!S_unpack_field(field, (char *)object + field->offset,
                            &pair->val)) {
            return false;
        }
    }
    return true;
}

static bool
S_is_number(const msgpack_object *value)
{
    return value->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool
S_is_envelope(const msgpack_object *root)
{
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < ENVELOPE_ITEMS) {
        return false;
    }
    const msgpack_object *item = root->via.array.ptr;
    return S_is_number(&item[0]) && item[0].via.u64 == BS_PROTOCOL_VERSION &&
           S_is_number(&item[1]) && item[1].via.u64 <= UINT32_MAX &&
           item[2].type == MSGPACK_OBJECT_STR && S_is_number(&item[3]) &&
           S_is_number(&item[4]);
}

static BsMessage *
S_unpack_message(const msgpack_object *root)
{
    if (!S_is_envelope(root)) {
        return NULL;
    }
    const msgpack_object *item = root->via.array.ptr;
    uint32_t kind = (uint32_t)item[1].via.u64;
    if (!BsSchema_IsPeerKind(kind)) {
        return NULL;
    }
    BsMessage *message = BsMessage_Create((BsMessageKind)kind);
    const BsSchema *schema = BsSchema_OfKind(kind);
    message->from_incarnation = item[3].via.u64;
    message->to_incarnation = item[4].via.u64;
    if (!S_unpack_string(&message->from, &item[2]) ||
        (schema != NULL && !S_unpack_object(schema, &message->u, &item[5]))) {
        BsMessage_Destroy(message);
        return NULL;
    }
    return message;
}

BsMessage *
BsMessage_Decode(const void *data, size_t size_bytes, GError **error)
{
    msgpack_unpacked unpacked;
    BsMessage *message = NULL;
    if (BsCodecGuard_Unpack(data, size_bytes, &unpacked)) {
        message = S_unpack_message(&unpacked.data);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (message == NULL) {
        g_set_error(error, BS_ERROR, BS_ERR_MESSAGE,
                    "not a version %d peer message; run the same release "
                    "of boragespurd on every instance",
                    BS_PROTOCOL_VERSION);
    }
    return message;
}
