/* summary.c - a hub's summary of many instances, and its encoding. */
#include "summary.h"

#include "codecguard.h"
#include "reportcodec.h"

#include <string.h>

#define SUMMARY_VERSION 4
#define SUMMARY_ITEMS 16

/* Indices of the items that were added later; older instances neither send nor
   read them. */
#define PART_RECORDS_ITEM 16
#define LIMIT_RECORDS_ITEM 17
#define STORE_AGE_ITEM 18
#define SILENT_CENTRES_ITEM 19
#define ADDED_ITEMS 4

/* The first item holds the version and these flags. */
#define VERSION_BITS 255
#define STOPPING_BIT 256
#define REMOTE_BIT 512

/* Largest encoded size of the fixed part and the list headers. */
#define FIXED_BYTES 133

void
BsSummary_Init(BsSummary *summary)
{
    memset(summary, 0, sizeof(*summary));
    summary->store_age_ms = -1;
    summary->store_failed_ms = -1;
    summary->loads = g_array_new(FALSE, FALSE, sizeof(BsTargetLoad));
    summary->uses = g_array_new(FALSE, FALSE, sizeof(BsQuotaUse));
    summary->members = g_array_new(FALSE, FALSE, sizeof(BsGossipMemberInfo));
    summary->crash_records = g_array_new(FALSE, FALSE, sizeof(BsCrashRecord));
    summary->part_records = g_array_new(FALSE, FALSE, sizeof(BsPartRecord));
    summary->limit_records = g_array_new(FALSE, FALSE, sizeof(BsLimitRecord));
    summary->silent_centres =
        g_array_new(FALSE, FALSE, sizeof(BsSilentCentre));
}

void
BsSummary_Clear(BsSummary *summary)
{
    g_array_unref(summary->loads);
    g_array_unref(summary->uses);
    g_array_unref(summary->members);
    g_array_unref(summary->crash_records);
    g_array_unref(summary->part_records);
    g_array_unref(summary->limit_records);
    g_array_unref(summary->silent_centres);
}

void
BsSummary_Encode(const BsSummary *summary, GString *out)
{
    msgpack_packer packer;
    size_t space_bytes =
        BS_GOSSIP_MAX_BYTES - FIXED_BYTES -
        BsReportCodec_SilentCentresBytes(summary->silent_centres);
    msgpack_packer_init(&packer, out, BsReportCodec_Write);
    msgpack_pack_array(&packer, SUMMARY_ITEMS + ADDED_ITEMS);
    msgpack_pack_uint32(&packer, SUMMARY_VERSION |
                                     (summary->stopping ? STOPPING_BIT : 0) |
                                     (summary->remote ? REMOTE_BIT : 0));
    msgpack_pack_uint64(&packer, summary->incarnation);
    msgpack_pack_uint64(&packer, summary->sequence);
    msgpack_pack_uint32(&packer, summary->data_centre);
    msgpack_pack_uint32(&packer, (uint32_t)summary->reading);
    msgpack_pack_uint64(&packer, summary->revision);
    msgpack_pack_uint64(&packer, summary->newest);
    msgpack_pack_uint64(&packer, (uint64_t)(summary->store_failed_ms + 1));
    msgpack_pack_uint32(&packer, summary->reachable);
    msgpack_pack_uint32(&packer, summary->known);
    msgpack_pack_uint32(&packer, summary->weight);
    msgpack_pack_uint32(&packer, summary->age_ms);
    BsReportCodec_PackCrashRecords(&packer, summary->crash_records,
                                   &space_bytes);
    guint part_records =
        BsReportCodec_FitPartRecords(summary->part_records, &space_bytes);
    guint limit_records =
        BsReportCodec_FitLimitRecords(summary->limit_records, &space_bytes);
    BsReportCodec_PackMembers(&packer, summary->members, &space_bytes);
    BsReportCodec_PackLoads(&packer, summary->loads, &space_bytes);
    BsReportCodec_PackUses(&packer, summary->uses, &space_bytes);
    BsReportCodec_PackPartRecords(&packer, summary->part_records,
                                  part_records);
    BsReportCodec_PackLimitRecords(&packer, summary->limit_records,
                                   limit_records);
    BsReportCodec_PackAge(&packer, summary->store_age_ms);
    BsReportCodec_PackSilentCentres(&packer, summary->silent_centres);
}

static bool
S_read(const msgpack_object *root, BsSummary *summary)
{
    uint64_t fixed[SUMMARY_ITEMS];
    const size_t lists = 4;
    const size_t numbers_count = SUMMARY_ITEMS - lists;
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < SUMMARY_ITEMS) {
        return false;
    }
    const msgpack_object *items = root->via.array.ptr;
    for (size_t i = 0; i < numbers_count; i++) {
        if (!BsReportCodec_U64(&items[i], &fixed[i])) {
            return false;
        }
    }
    if ((fixed[0] & VERSION_BITS) != SUMMARY_VERSION ||
        fixed[4] > BS_GOSSIP_FAILS) {
        return false;
    }
    summary->stopping = (fixed[0] & STOPPING_BIT) != 0;
    summary->remote = (fixed[0] & REMOTE_BIT) != 0;
    summary->incarnation = fixed[1];
    summary->sequence = fixed[2];
    summary->data_centre = (uint32_t)fixed[3];
    summary->reading = (BsGossipReading)fixed[4];
    summary->revision = fixed[5];
    summary->newest = fixed[6];
    summary->store_failed_ms = (int64_t)MIN(fixed[7], INT32_MAX) - 1;
    summary->reachable = (uint32_t)fixed[8];
    summary->known = (uint32_t)fixed[9];
    summary->weight = (uint32_t)fixed[10];
    summary->age_ms = (uint32_t)MIN(fixed[11], BS_GOSSIP_AGE_MAX_MS);
    /* Older instances tell only whether the store answers. */
    summary->store_age_ms = summary->reading == BS_GOSSIP_READS ? 0 : -1;
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    bool valid =
        BsReportCodec_ReadCrashRecords(&items[12], numbers,
                                       summary->crash_records) &&
        BsReportCodec_ReadMembers(&items[13], numbers, summary->members) &&
        BsReportCodec_ReadLoads(&items[14], numbers, summary->loads) &&
        BsReportCodec_ReadUses(&items[15], numbers, summary->uses) &&
        (root->via.array.size <= PART_RECORDS_ITEM ||
         BsReportCodec_ReadPartRecords(&items[PART_RECORDS_ITEM], numbers,
                                       summary->part_records)) &&
        (root->via.array.size <= LIMIT_RECORDS_ITEM ||
         BsReportCodec_ReadLimitRecords(&items[LIMIT_RECORDS_ITEM], numbers,
                                        summary->limit_records)) &&
        (root->via.array.size <= STORE_AGE_ITEM ||
         BsReportCodec_ReadAge(&items[STORE_AGE_ITEM],
                               &summary->store_age_ms)) &&
        (root->via.array.size <= SILENT_CENTRES_ITEM ||
         BsReportCodec_ReadSilentCentres(&items[SILENT_CENTRES_ITEM], numbers,
                                         summary->silent_centres));
    g_array_unref(numbers);
    return valid;
}

bool
BsSummary_Decode(const char *data, size_t size_bytes, BsSummary *summary)
{
    msgpack_unpacked unpacked;
    bool valid = BsCodecGuard_Unpack(data, size_bytes, &unpacked) &&
                 S_read(&unpacked.data, summary);
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}
