/* gossipreport.c - the report of an instance's state, and its encoding. */
#include "gossipreport.h"

#include "codecguard.h"
#include "reportcodec.h"

#include <string.h>

#define GOSSIP_VERSION 3
#define REPORT_ITEMS 15

/* Indices of the items that were added later; older instances neither send nor
   read them. */
#define PART_RECORDS_ITEM 15
#define LIMIT_RECORDS_ITEM 16
#define STORE_AGE_ITEM 17
#define LARGEST_ITEM 18
#define LARGEST_AGE_ITEM 19
#define SILENT_CENTRES_ITEM 20
#define ADDED_ITEMS 6

/* The first item holds the version and, in STOPPING_BIT, whether the instance
   is stopping. */
#define VERSION_BITS 255
#define STOPPING_BIT 256

/* Largest encoded size of the fixed part and the list headers of a report. */
#define FIXED_BYTES 135

void
BsGossipReport_Init(BsGossipReport *report)
{
    memset(report, 0, sizeof(*report));
    report->store_age_ms = -1;
    report->largest_age_ms = -1;
    report->loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    report->uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    report->members = g_array_new(FALSE, FALSE, sizeof(BsGossipMemberInfo));
    report->crash_records = g_array_new(FALSE, FALSE, sizeof(BsCrashRecord));
    report->part_records = g_array_new(FALSE, FALSE, sizeof(BsPartRecord));
    report->limit_records = g_array_new(FALSE, FALSE, sizeof(BsLimitRecord));
    report->silent_centres = g_array_new(FALSE, FALSE, sizeof(BsSilentCentre));
}

void
BsGossipReport_Clear(BsGossipReport *report)
{
    g_array_unref(report->loads);
    g_array_unref(report->uses);
    g_array_unref(report->members);
    g_array_unref(report->crash_records);
    g_array_unref(report->part_records);
    g_array_unref(report->limit_records);
    g_array_unref(report->silent_centres);
}

static void
S_pack_lists(msgpack_packer *packer, const BsGossipReport *report)
{
    size_t space_bytes =
        BS_GOSSIP_MAX_BYTES - FIXED_BYTES -
        BsReportCodec_SilentCentresBytes(report->silent_centres);
    BsReportCodec_PackCrashRecords(packer, report->crash_records,
                                   &space_bytes);
    guint part_records =
        BsReportCodec_FitPartRecords(report->part_records, &space_bytes);
    guint limit_records =
        BsReportCodec_FitLimitRecords(report->limit_records, &space_bytes);
    BsReportCodec_PackUses(packer, report->uses, &space_bytes);
    BsReportCodec_PackLoads(packer, report->loads, &space_bytes);
    BsReportCodec_PackMembers(packer, report->members, &space_bytes);
    BsReportCodec_PackPartRecords(packer, report->part_records, part_records);
    BsReportCodec_PackLimitRecords(packer, report->limit_records,
                                   limit_records);
}

void
BsGossipReport_Encode(const BsGossipReport *report, GString *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, BsReportCodec_Write);
    msgpack_pack_array(&packer, REPORT_ITEMS + ADDED_ITEMS);
    msgpack_pack_uint32(&packer, GOSSIP_VERSION |
                                     (report->stopping ? STOPPING_BIT : 0));
    msgpack_pack_uint64(&packer, report->incarnation);
    msgpack_pack_uint64(&packer, report->sequence);
    msgpack_pack_uint64(&packer, report->revision);
    msgpack_pack_uint64(&packer, report->newest);
    msgpack_pack_uint64(&packer, report->catalog);
    msgpack_pack_uint32(&packer, report->data_centre);
    msgpack_pack_uint32(&packer, (uint32_t)report->reading);
    msgpack_pack_uint32(&packer, report->weight);
    msgpack_pack_uint32(&packer, report->fleet);
    msgpack_pack_uint32(&packer, report->age_ms);
    S_pack_lists(&packer, report);
    BsReportCodec_PackAge(&packer, report->store_age_ms);
    msgpack_pack_uint32(&packer, report->largest);
    BsReportCodec_PackAge(&packer, report->largest_age_ms);
    BsReportCodec_PackSilentCentres(&packer, report->silent_centres);
}

static bool
S_read_lists(const msgpack_object *items, GArray *numbers,
             BsGossipReport *report)
{
    return BsReportCodec_ReadCrashRecords(&items[0], numbers,
                                          report->crash_records) &&
           BsReportCodec_ReadUses(&items[1], numbers, report->uses) &&
           BsReportCodec_ReadLoads(&items[2], numbers, report->loads) &&
           BsReportCodec_ReadMembers(&items[3], numbers, report->members);
}

/* Reads the largest size of the fleet, which older instances do not send. */
static bool
S_read_largest(const msgpack_object_array *array, BsGossipReport *report)
{
    uint64_t largest;
    if (array->size <= LARGEST_AGE_ITEM) {
        return true;
    }
    if (!BsReportCodec_U64(&array->ptr[LARGEST_ITEM], &largest) ||
        largest > UINT32_MAX) {
        return false;
    }
    report->largest = (uint32_t)largest;
    return BsReportCodec_ReadAge(&array->ptr[LARGEST_AGE_ITEM],
                                 &report->largest_age_ms);
}

static bool
S_read(const msgpack_object *root, BsGossipReport *report)
{
    uint64_t version;
    uint64_t data_centre;
    uint64_t reading;
    uint64_t weight;
    uint64_t fleet;
    uint64_t age_ms;
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < REPORT_ITEMS) {
        return false;
    }
    const msgpack_object *items = root->via.array.ptr;
    if (!BsReportCodec_U64(&items[0], &version) ||
        (version & VERSION_BITS) != GOSSIP_VERSION ||
        !BsReportCodec_U64(&items[1], &report->incarnation) ||
        !BsReportCodec_U64(&items[2], &report->sequence) ||
        !BsReportCodec_U64(&items[3], &report->revision) ||
        !BsReportCodec_U64(&items[4], &report->newest) ||
        !BsReportCodec_U64(&items[5], &report->catalog) ||
        !BsReportCodec_U64(&items[6], &data_centre) ||
        !BsReportCodec_U64(&items[7], &reading) ||
        !BsReportCodec_U64(&items[8], &weight) ||
        !BsReportCodec_U64(&items[9], &fleet) ||
        !BsReportCodec_U64(&items[10], &age_ms) || reading > BS_GOSSIP_FAILS) {
        return false;
    }
    report->reading = (BsGossipReading)reading;
    report->stopping = (version & STOPPING_BIT) != 0;
    report->data_centre = (uint32_t)data_centre;
    report->weight = (uint32_t)weight;
    report->fleet = (uint32_t)fleet;
    report->age_ms = (uint32_t)MIN(age_ms, BS_GOSSIP_AGE_MAX_MS);
    /* Older instances tell only whether the store answers. */
    report->store_age_ms = reading == BS_GOSSIP_READS ? 0 : -1;
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    bool valid =
        S_read_lists(&items[11], numbers, report) &&
        (root->via.array.size <= PART_RECORDS_ITEM ||
         BsReportCodec_ReadPartRecords(&items[PART_RECORDS_ITEM], numbers,
                                       report->part_records)) &&
        (root->via.array.size <= LIMIT_RECORDS_ITEM ||
         BsReportCodec_ReadLimitRecords(&items[LIMIT_RECORDS_ITEM], numbers,
                                        report->limit_records)) &&
        (root->via.array.size <= STORE_AGE_ITEM ||
         BsReportCodec_ReadAge(&items[STORE_AGE_ITEM],
                               &report->store_age_ms)) &&
        S_read_largest(&root->via.array, report) &&
        (root->via.array.size <= SILENT_CENTRES_ITEM ||
         BsReportCodec_ReadSilentCentres(&items[SILENT_CENTRES_ITEM], numbers,
                                         report->silent_centres));
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
