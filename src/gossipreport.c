/* gossipreport.c - what an instance tells the others, and its encoding. */
#include "gossipreport.h"

#include "codecguard.h"

#include <msgpack.h>
#include <string.h>

#define GOSSIP_VERSION 1
#define REPORT_ITEMS 12

/* The first item holds the version and, in this bit, whether the instance
   stops. */
#define VERSION_BITS 255
#define STOPPING_BIT 256

/* Bytes that the fixed part and the list heads of a report take at most. */
#define FIXED_BYTES 96

/* Encoded size of a load, a use and a member at most. */
#define LOAD_BYTES 19
#define USE_BYTES 18
#define MEMBER_BYTES 5
#define CRASHER_BYTES 14

void
BsGossipReport_Init(BsGossipReport *report)
{
    memset(report, 0, sizeof(*report));
    report->loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    report->uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    report->members = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    report->crashers = g_array_new(FALSE, FALSE, sizeof(BsCrasher));
}

void
BsGossipReport_Clear(BsGossipReport *report)
{
    g_array_unref(report->loads);
    g_array_unref(report->uses);
    g_array_unref(report->members);
    g_array_unref(report->crashers);
}

/* Returns how many items of SIZE_BYTES fit into ROOM, and takes them off. */
static guint
S_fit(const GArray *items, size_t size_bytes, size_t *room)
{
    guint count = (guint)MIN(items->len, *room / size_bytes);
    *room -= count * size_bytes;
    return count;
}

static void
S_pack_lists(msgpack_packer *packer, const BsGossipReport *report)
{
    size_t room = BS_GOSSIP_MAX_BYTES - FIXED_BYTES;
    guint crashers = S_fit(report->crashers, CRASHER_BYTES, &room);
    guint uses = S_fit(report->uses, USE_BYTES, &room);
    guint loads = S_fit(report->loads, LOAD_BYTES, &room);
    guint members = S_fit(report->members, MEMBER_BYTES, &room);
    msgpack_pack_array(packer, (size_t)loads * 3);
    for (guint i = 0; i < loads; i++) {
        const BsTargetLoad *load =
            &g_array_index(report->loads, BsTargetLoad, i);
        msgpack_pack_uint64(packer, load->hash);
        msgpack_pack_uint32(packer, load->in_flight);
        msgpack_pack_uint32(packer, load->cold_sent);
    }
    msgpack_pack_array(packer, (size_t)uses * 2);
    for (guint i = 0; i < uses; i++) {
        const BsQuotaUse *use = &g_array_index(report->uses, BsQuotaUse, i);
        msgpack_pack_uint64(packer, use->hash);
        msgpack_pack_uint64(packer, use->used);
    }
    msgpack_pack_array(packer, members);
    for (guint i = 0; i < members; i++) {
        msgpack_pack_uint32(packer,
                            g_array_index(report->members, uint32_t, i));
    }
    msgpack_pack_array(packer, (size_t)crashers * 2);
    for (guint i = 0; i < crashers; i++) {
        const BsCrasher *crasher =
            &g_array_index(report->crashers, BsCrasher, i);
        msgpack_pack_uint64(packer, crasher->hash);
        msgpack_pack_uint32(packer, crasher->breaks);
    }
}

static int
S_write(void *data, const char *bytes, size_t size_bytes)
{
    g_string_append_len(data, bytes, (gssize)size_bytes);
    return 0;
}

void
BsGossipReport_Encode(const BsGossipReport *report, GString *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, S_write);
    msgpack_pack_array(&packer, REPORT_ITEMS);
    msgpack_pack_uint32(&packer, GOSSIP_VERSION |
                                     (report->stopping ? STOPPING_BIT : 0));
    msgpack_pack_uint64(&packer, report->incarnation);
    msgpack_pack_uint64(&packer, report->sequence);
    msgpack_pack_uint64(&packer, report->revision);
    msgpack_pack_uint64(&packer, report->newest);
    msgpack_pack_uint64(&packer, report->catalog);
    msgpack_pack_uint32(&packer, report->data_centre);
    msgpack_pack_uint32(&packer, (uint32_t)report->reading);
    S_pack_lists(&packer, report);
}

static bool
S_u64(const msgpack_object *object, uint64_t *value)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *value = object->via.u64;
    return true;
}

/* Reads all items of the list OBJECT as numbers. */
static bool
S_numbers(const msgpack_object *object, GArray *numbers)
{
    g_array_set_size(numbers, 0);
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0; i < object->via.array.size; i++) {
        uint64_t value;
        if (!S_u64(&object->via.array.ptr[i], &value)) {
            return false;
        }
        g_array_append_val(numbers, value);
    }
    return true;
}

#define NUMBER(numbers, index) g_array_index(numbers, uint64_t, index)

static bool
S_read_lists(const msgpack_object *items, GArray *numbers,
             BsGossipReport *report)
{
    if (!S_numbers(&items[0], numbers)) {
        return false;
    }
    for (guint i = 0; i + 2 < numbers->len; i += 3) {
        BsTargetLoad load = {NUMBER(numbers, i),
                             (uint32_t)NUMBER(numbers, i + 1),
                             (uint32_t)NUMBER(numbers, i + 2)};
        g_array_append_val(report->loads, load);
    }
    if (!S_numbers(&items[1], numbers)) {
        return false;
    }
    for (guint i = 0; i + 1 < numbers->len; i += 2) {
        BsQuotaUse use = {NUMBER(numbers, i), NUMBER(numbers, i + 1)};
        g_array_append_val(report->uses, use);
    }
    if (!S_numbers(&items[2], numbers)) {
        return false;
    }
    for (guint i = 0; i < numbers->len; i++) {
        uint32_t address = (uint32_t)NUMBER(numbers, i);
        g_array_append_val(report->members, address);
    }
    if (!S_numbers(&items[3], numbers)) {
        return false;
    }
    for (guint i = 0; i + 1 < numbers->len; i += 2) {
        BsCrasher crasher = {NUMBER(numbers, i),
                             (uint32_t)NUMBER(numbers, i + 1)};
        g_array_append_val(report->crashers, crasher);
    }
    return true;
}

static bool
S_read(const msgpack_object *root, BsGossipReport *report)
{
    uint64_t version;
    uint64_t data_centre;
    uint64_t reading;
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < REPORT_ITEMS) {
        return false;
    }
    const msgpack_object *items = root->via.array.ptr;
    if (!S_u64(&items[0], &version) ||
        (version & VERSION_BITS) != GOSSIP_VERSION ||
        !S_u64(&items[1], &report->incarnation) ||
        !S_u64(&items[2], &report->sequence) ||
        !S_u64(&items[3], &report->revision) ||
        !S_u64(&items[4], &report->newest) ||
        !S_u64(&items[5], &report->catalog) ||
        !S_u64(&items[6], &data_centre) || !S_u64(&items[7], &reading) ||
        reading > BS_GOSSIP_FAILS) {
        return false;
    }
    report->reading = (BsGossipReading)reading;
    report->stopping = (version & STOPPING_BIT) != 0;
    report->data_centre = (uint32_t)data_centre;
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    bool valid = S_read_lists(&items[8], numbers, report);
    g_array_unref(numbers);
    return valid;
}

bool
BsGossipReport_Decode(const char *data, size_t size_bytes,
                      BsGossipReport *report)
{
    msgpack_unpacked unpacked;
    bool valid = BsCodecGuard_Unpack(data, size_bytes, &unpacked) &&
                 S_read(&unpacked.data, report);
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}
