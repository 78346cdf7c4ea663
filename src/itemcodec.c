/* itemcodec.c - published items as instances hand them to each other. */
#include "itemcodec.h"

#include "codecguard.h"

#include <msgpack.h>
#include <string.h>

/* An item is a key, a value or nil, and a revision. */
#define ITEM_FIELDS 3

static int
S_write(void *data, const char *bytes, size_t size_bytes)
{
    g_string_append_len(data, bytes, (gssize)size_bytes);
    return 0;
}

static void
S_collect(const BsItem *item, void *context)
{
    g_ptr_array_add(context, (gpointer)item);
}

static void
S_pack_item(msgpack_packer *packer, const BsItem *item)
{
    size_t key_bytes = strlen(item->key);
    gsize value_bytes = 0;
    msgpack_pack_array(packer, ITEM_FIELDS);
    msgpack_pack_str(packer, key_bytes);
    msgpack_pack_str_body(packer, item->key, key_bytes);
    if (item->value == NULL) {
        msgpack_pack_nil(packer);
    }
    else {
        const void *value = g_bytes_get_data(item->value, &value_bytes);
        msgpack_pack_bin(packer, value_bytes);
        msgpack_pack_bin_body(packer, value, value_bytes);
    }
    msgpack_pack_uint64(packer, item->revision);
}

void
BsItemCodec_Encode(const BsReplica *replica, uint64_t after, GString *out)
{
    msgpack_packer packer;
    GPtrArray *items = g_ptr_array_new();
    BsReplica_EachSince(replica, after, S_collect, items);
    msgpack_packer_init(&packer, out, S_write);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_uint64(&packer, BsReplica_Complete(replica));
    msgpack_pack_array(&packer, items->len);
    for (guint i = 0; i < items->len; i++) {
        S_pack_item(&packer, items->pdata[i]);
    }
    g_ptr_array_free(items, TRUE);
}

static bool
S_is_item(const msgpack_object *object)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != ITEM_FIELDS) {
        return false;
    }
    const msgpack_object *fields = object->via.array.ptr;
    return fields[0].type == MSGPACK_OBJECT_STR &&
           (fields[1].type == MSGPACK_OBJECT_BIN ||
            fields[1].type == MSGPACK_OBJECT_NIL) &&
           fields[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool
S_is_valid(const msgpack_object *root)
{
    if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != 2 ||
        root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        root->via.array.ptr[1].type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    const msgpack_object_array *items = &root->via.array.ptr[1].via.array;
    for (uint32_t i = 0; i < items->size; i++) {
        if (!S_is_item(&items->ptr[i])) {
            return false;
        }
    }
    return true;
}

static void
S_apply_item(const msgpack_object *fields, BsReplica *replica)
{
    char *key = g_strndup(fields[0].via.str.ptr, fields[0].via.str.size);
    GBytes *value = NULL;
    if (fields[1].type == MSGPACK_OBJECT_BIN) {
        value = g_bytes_new(fields[1].via.bin.ptr, fields[1].via.bin.size);
    }
    BsReplica_Apply(replica, key, value, fields[2].via.u64);
    if (value != NULL) {
        g_bytes_unref(value);
    }
    g_free(key);
}

bool
BsItemCodec_Apply(const char *data, size_t size_bytes, BsReplica *replica)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    if (!BsCodecGuard_IsBounded(data, size_bytes)) {
        return false;
    }
    msgpack_unpacked_init(&unpacked);
    bool valid = msgpack_unpack_next(&unpacked, data, size_bytes, &offset) ==
                     MSGPACK_UNPACK_SUCCESS &&
                 S_is_valid(&unpacked.data);
    if (valid) {
        const msgpack_object *root = unpacked.data.via.array.ptr;
        for (uint32_t i = 0; i < root[1].via.array.size; i++) {
            S_apply_item(root[1].via.array.ptr[i].via.array.ptr, replica);
        }
        BsReplica_SetAllComplete(replica, root[0].via.u64);
    }
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}
