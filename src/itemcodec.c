/* itemcodec.c - encoding of published items for exchange between instances. */
#include "itemcodec.h"

#include "codecguard.h"

#include <msgpack.h>
#include <string.h>
#include <zlib.h>

/* An item is a key, a value (nil when removed), a revision, and the value's
   uncompressed size in bytes (0 when the value is not compressed). */
#define ITEM_FIELDS 4

/* A message is the revision up to which the sender is complete, the items, and
   whether they are the full set (1) or only the newer ones (0). */
#define MESSAGE_FIELDS 3

/* Smallest value that is compressed.  An uncompressed configuration of 1000
   routes takes a third of a second on the slowest links, and an instance that
   reads it sends it to all instances of its data centre. */
#define COMPRESS_MIN_BYTES 4096

/* Largest uncompressed value accepted; the store's limit is far lower. */
#define VALUE_MAX_BYTES (16U * 1024 * 1024)

static int
S_append(void *data, const char *bytes, size_t size_bytes)
{
    g_string_append_len(data, bytes, (gssize)size_bytes);
    return 0;
}

static void
S_collect(const BsItem *item, void *context)
{
    g_ptr_array_add(context, (gpointer)item);
}

/* Returns the compressed value of ITEM, which caches and owns it. */
static GBytes *
S_compress(BsItem *item)
{
    if (item->packed == NULL) {
        gsize size = 0;
        const void *value = g_bytes_get_data(item->value, &size);
        uLongf packed_bytes = compressBound(size);
        guchar *packed = g_malloc(packed_bytes);
        compress2(packed, &packed_bytes, value, size, Z_BEST_SPEED);
        item->packed = g_bytes_new_take(packed, packed_bytes);
    }
    return item->packed;
}

static void
S_pack_value(msgpack_packer *packer, BsItem *item)
{
    gsize size = 0;
    GBytes *bytes = g_bytes_get_size(item->value) >= COMPRESS_MIN_BYTES
                        ? S_compress(item)
                        : item->value;
    const void *data = g_bytes_get_data(bytes, &size);
    msgpack_pack_bin(packer, size);
    msgpack_pack_bin_body(packer, data, size);
}

static void
S_pack_item(msgpack_packer *packer, BsItem *item)
{
    size_t key_bytes = strlen(item->key);
    msgpack_pack_array(packer, ITEM_FIELDS);
    msgpack_pack_str(packer, key_bytes);
    msgpack_pack_str_body(packer, item->key, key_bytes);
    if (item->value == NULL) {
        msgpack_pack_nil(packer);
    }
    else {
        S_pack_value(packer, item);
    }
    msgpack_pack_uint64(packer, item->revision);
    msgpack_pack_uint64(
        packer, item->packed == NULL ? 0 : g_bytes_get_size(item->value));
}

void
BsItemCodec_Encode(const BsReplica *replica, uint64_t after, GString *out)
{
    msgpack_packer packer;
    GPtrArray *items = g_ptr_array_new();
    bool all = after < BsReplica_RemovalsSince(replica);
    BsReplica_EachSince(replica, all ? 0 : after, S_collect, items);
    msgpack_packer_init(&packer, out, S_append);
    msgpack_pack_array(&packer, MESSAGE_FIELDS);
    msgpack_pack_uint64(&packer, BsReplica_CompleteRevision(replica));
    msgpack_pack_array(&packer, items->len);
    for (guint i = 0; i < items->len; i++) {
        S_pack_item(&packer, items->pdata[i]);
    }
    msgpack_pack_uint64(&packer, all);
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
           fields[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           fields[3].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           fields[3].via.u64 <= VALUE_MAX_BYTES;
}

static bool
S_is_valid(const msgpack_object *root)
{
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size != MESSAGE_FIELDS ||
        root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        root->via.array.ptr[1].type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.ptr[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
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

/* Returns the value in FIELDS, or NULL when it cannot be decompressed. */
static GBytes *
S_unpack_value(const msgpack_object *fields)
{
    const msgpack_object_bin *data = &fields[1].via.bin;
    uLongf size = fields[3].via.u64;
    if (size == 0) {
        return g_bytes_new(data->ptr, data->size);
    }
    guchar *value = g_malloc(size);
    if (uncompress(value, &size, (const Bytef *)data->ptr, data->size) !=
            Z_OK ||
        size != fields[3].via.u64) {
        g_free(value);
        return NULL;
    }
    return g_bytes_new_take(value, size);
}

/* Applies an item from a sender that was complete up to revision AS_OF;
   returns whether its value could be decompressed. */
static bool
S_apply_item(const msgpack_object *fields, uint64_t as_of, BsReplica *replica)
{
    GBytes *value = NULL;
    if (fields[1].type == MSGPACK_OBJECT_BIN) {
        value = S_unpack_value(fields);
        if (value == NULL) {
            return false;
        }
    }
    char *key = g_strndup(fields[0].via.str.ptr, fields[0].via.str.size);
    BsReplica_Apply(replica, key, value, fields[2].via.u64, as_of);
    if (value != NULL) {
        g_bytes_unref(value);
    }
    g_free(key);
    return true;
}

/* Removes the items up to REVISION whose key is not among ITEMS. */
static void
S_remove_others(const msgpack_object_array *items, uint64_t revision,
                BsReplica *replica)
{
    GHashTable *keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (uint32_t i = 0; i < items->size; i++) {
        const msgpack_object_str *key =
            &items->ptr[i].via.array.ptr[0].via.str;
        g_hash_table_add(keys, g_strndup(key->ptr, key->size));
    }
    BsReplica_Retain(replica, "", keys, revision);
    g_hash_table_destroy(keys);
}

/* Applies the valid message ROOT; returns whether every value could be
   decompressed. */
static bool
S_apply(const msgpack_object *root, BsReplica *replica)
{
    const msgpack_object *fields = root->via.array.ptr;
    const msgpack_object_array *items = &fields[1].via.array;
    uint64_t as_of = fields[0].via.u64;
    for (uint32_t i = 0; i < items->size; i++) {
        if (!S_apply_item(items->ptr[i].via.array.ptr, as_of, replica)) {
            return false;
        }
    }
    if (fields[2].via.u64 != 0) {
        S_remove_others(items, as_of, replica);
    }
    BsReplica_SetAllComplete(replica, as_of);
    return true;
}

bool
BsItemCodec_Apply(const char *data, size_t size_bytes, BsReplica *replica)
{
    msgpack_unpacked unpacked;
    bool valid = BsCodecGuard_Unpack(data, size_bytes, &unpacked) &&
                 S_is_valid(&unpacked.data) &&
                 S_apply(&unpacked.data, replica);
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}
