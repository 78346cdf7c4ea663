/* reportcodec.c - encoding of the lists in both reports and summaries. */
#include "reportcodec.h"

#define NUMBER(numbers, index) g_array_index(numbers, uint64_t, index)

/* Numbers in an encoded member, and its largest size. */
#define MEMBER_NUMBERS 7
#define MEMBER_BYTES 37

/* Numbers in an encoded crash-inducing request before its upstreams, and its
   largest size with them. */
#define CRASH_NUMBERS 4
#define CRASH_RECORD_BYTES (20 + 5 * BS_CRASHES_TO_BLOCK)

/* Numbers in an encoded crash or progress of prompt parts before the parts. */
#define PART_NUMBERS 3

/* Numbers in an encoded limit of an upstream. */
#define LIMIT_NUMBERS 4

/* Numbers of a silent data centre, and the most bytes that they take. */
#define SILENT_CENTRE_NUMBERS 2
#define SILENT_CENTRE_BYTES 10

/* Bits of a member's flags. */
#define FLAG_REACHABLE 1
#define FLAG_STOPPING 2
#define FLAG_READING_SHIFT 2
#define FLAG_READING_BITS 3

int
BsReportCodec_Write(void *data, const char *bytes, size_t size_bytes)
{
    g_string_append_len(data, bytes, (gssize)size_bytes);
    return 0;
}

guint
BsReportCodec_Fit(const GArray *items, size_t size_bytes, size_t *space_bytes)
{
    guint count = (guint)MIN(items->len, *space_bytes / size_bytes);
    *space_bytes -= count * size_bytes;
    return count;
}

/* Returns the encoded size of VALUE. */
static size_t
S_size(uint64_t value)
{
    return value < 128           ? 1
           : value <= UINT8_MAX  ? 2
           : value <= UINT16_MAX ? 3
           : value <= UINT32_MAX ? 5
                                 : 9;
}

/* Subtracts SIZE_BYTES from SPACE_BYTES; returns false if that has less. */
static bool
S_reserve(size_t size_bytes, size_t *space_bytes)
{
    if (size_bytes > *space_bytes) {
        return false;
    }
    *space_bytes -= size_bytes;
    return true;
}

void
BsReportCodec_PackLoads(msgpack_packer *packer, const GArray *loads,
                        size_t *space_bytes)
{
    guint count = 0;
    for (; count < loads->len; count++) {
        const BsTargetLoad *load = &g_array_index(loads, BsTargetLoad, count);
        if (!S_reserve(S_size(load->hash) + S_size(load->in_flight) +
                           S_size(load->cold_sent),
                       space_bytes)) {
            break;
        }
    }
    msgpack_pack_array(packer, (size_t)count * 3);
    for (guint i = 0; i < count; i++) {
        const BsTargetLoad *load = &g_array_index(loads, BsTargetLoad, i);
        msgpack_pack_uint64(packer, load->hash);
        msgpack_pack_uint32(packer, load->in_flight);
        msgpack_pack_uint32(packer, load->cold_sent);
    }
}

void
BsReportCodec_PackUses(msgpack_packer *packer, const GArray *uses,
                       size_t *space_bytes)
{
    guint count = 0;
    for (; count < uses->len; count++) {
        const BsQuotaUse *use = &g_array_index(uses, BsQuotaUse, count);
        if (!S_reserve(S_size(use->hash) + S_size(use->used), space_bytes)) {
            break;
        }
    }
    msgpack_pack_array(packer, (size_t)count * 2);
    for (guint i = 0; i < count; i++) {
        const BsQuotaUse *use = &g_array_index(uses, BsQuotaUse, i);
        msgpack_pack_uint64(packer, use->hash);
        msgpack_pack_uint64(packer, use->used);
    }
}

/* Returns how many numbers encode the first COUNT of CRASH_RECORDS. */
static size_t
S_crash_numbers(const GArray *crash_records, guint count)
{
    size_t numbers = (size_t)count * CRASH_NUMBERS;
    for (guint i = 0; i < count; i++) {
        numbers += g_array_index(crash_records, BsCrashRecord, i).crashes;
    }
    return numbers;
}

void
BsReportCodec_PackCrashRecords(msgpack_packer *packer,
                               const GArray *crash_records,
                               size_t *space_bytes)
{
    guint count =
        BsReportCodec_Fit(crash_records, CRASH_RECORD_BYTES, space_bytes);
    msgpack_pack_array(packer, S_crash_numbers(crash_records, count));
    for (guint i = 0; i < count; i++) {
        const BsCrashRecord *record =
            &g_array_index(crash_records, BsCrashRecord, i);
        msgpack_pack_uint64(packer, record->content);
        msgpack_pack_uint32(packer, record->generation);
        msgpack_pack_uint32(packer, record->age_ms);
        msgpack_pack_uint32(packer, record->crashes);
        for (uint32_t j = 0; j < record->crashes; j++) {
            msgpack_pack_uint32(packer, record->upstreams[j]);
        }
    }
}

guint
BsReportCodec_FitPartRecords(const GArray *part_records, size_t *space_bytes)
{
    guint count = 0;
    for (; count < part_records->len; count++) {
        const BsPartRecord *record =
            &g_array_index(part_records, BsPartRecord, count);
        size_t size_bytes = S_size(record->id) + S_size(record->age_ms) +
                            S_size(record->count);
        for (uint32_t i = 0; i < record->count; i++) {
            size_bytes += S_size(record->parts[i]);
        }
        if (!S_reserve(size_bytes, space_bytes)) {
            break;
        }
    }
    return count;
}

void
BsReportCodec_PackPartRecords(msgpack_packer *packer,
                              const GArray *part_records, guint count)
{
    size_t numbers = (size_t)count * PART_NUMBERS;
    for (guint i = 0; i < count; i++) {
        numbers += g_array_index(part_records, BsPartRecord, i).count;
    }
    msgpack_pack_array(packer, numbers);
    for (guint i = 0; i < count; i++) {
        const BsPartRecord *record =
            &g_array_index(part_records, BsPartRecord, i);
        msgpack_pack_uint64(packer, record->id);
        msgpack_pack_uint32(packer, record->age_ms);
        msgpack_pack_uint32(packer, record->count);
        for (uint32_t j = 0; j < record->count; j++) {
            msgpack_pack_uint64(packer, record->parts[j]);
        }
    }
}

guint
BsReportCodec_FitLimitRecords(const GArray *limit_records, size_t *space_bytes)
{
    guint count = 0;
    for (; count < limit_records->len; count++) {
        const BsLimitRecord *record =
            &g_array_index(limit_records, BsLimitRecord, count);
        if (!S_reserve(S_size(record->hash) + S_size(record->born_ms) +
                           S_size(record->version) +
                           S_size(record->per_s_milli),
                       space_bytes)) {
            break;
        }
    }
    return count;
}

void
BsReportCodec_PackLimitRecords(msgpack_packer *packer,
                               const GArray *limit_records, guint count)
{
    msgpack_pack_array(packer, (size_t)count * LIMIT_NUMBERS);
    for (guint i = 0; i < count; i++) {
        const BsLimitRecord *record =
            &g_array_index(limit_records, BsLimitRecord, i);
        msgpack_pack_uint64(packer, record->hash);
        msgpack_pack_uint64(packer, record->born_ms);
        msgpack_pack_uint32(packer, record->version);
        msgpack_pack_uint32(packer, record->per_s_milli);
    }
}

static uint32_t
S_flags(const BsGossipMemberInfo *member)
{
    return (member->reachable ? FLAG_REACHABLE : 0U) |
           (member->stopping ? FLAG_STOPPING : 0U) |
           ((uint32_t)member->reading << FLAG_READING_SHIFT);
}

void
BsReportCodec_PackMembers(msgpack_packer *packer, const GArray *members,
                          size_t *space_bytes)
{
    guint count = BsReportCodec_Fit(members, MEMBER_BYTES, space_bytes);
    msgpack_pack_array(packer, (size_t)count * MEMBER_NUMBERS);
    for (guint i = 0; i < count; i++) {
        const BsGossipMemberInfo *member =
            &g_array_index(members, BsGossipMemberInfo, i);
        msgpack_pack_uint32(packer, member->address);
        msgpack_pack_uint32(packer, member->data_centre);
        msgpack_pack_uint32(packer, member->weight);
        msgpack_pack_uint32(packer, S_flags(member));
        msgpack_pack_uint64(packer, member->revision);
        msgpack_pack_uint64(packer, member->newest);
        msgpack_pack_uint32(packer, member->age_ms);
    }
}

void
BsReportCodec_PackAge(msgpack_packer *packer, int64_t age_ms)
{
    bool known = age_ms >= 0 && age_ms < INT32_MAX;
    msgpack_pack_uint32(packer, known ? (uint32_t)age_ms + 1 : 0);
}

size_t
BsReportCodec_SilentCentresBytes(const GArray *silent_centres)
{
    return MIN(silent_centres->len, BS_CENTREWATCH_TOLD_MAX) *
           SILENT_CENTRE_BYTES;
}

void
BsReportCodec_PackSilentCentres(msgpack_packer *packer,
                                const GArray *silent_centres)
{
    guint count = MIN(silent_centres->len, BS_CENTREWATCH_TOLD_MAX);
    msgpack_pack_array(packer, (size_t)count * SILENT_CENTRE_NUMBERS);
    for (guint i = 0; i < count; i++) {
        const BsSilentCentre *silent =
            &g_array_index(silent_centres, BsSilentCentre, i);
        msgpack_pack_uint32(packer, silent->data_centre);
        msgpack_pack_uint32(packer, silent->age_ms);
    }
}

bool
BsReportCodec_ReadAge(const msgpack_object *object, int64_t *age_ms)
{
    uint64_t value;
    if (!BsReportCodec_U64(object, &value) || value > INT32_MAX) {
        return false;
    }
    *age_ms = (int64_t)value - 1;
    return true;
}

bool
BsReportCodec_U64(const msgpack_object *object, uint64_t *value)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *value = object->via.u64;
    return true;
}

bool
BsReportCodec_Numbers(const msgpack_object *object, GArray *numbers)
{
    g_array_set_size(numbers, 0);
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0; i < object->via.array.size; i++) {
        uint64_t value;
        if (!BsReportCodec_U64(&object->via.array.ptr[i], &value)) {
            return false;
        }
        g_array_append_val(numbers, value);
    }
    return true;
}

bool
BsReportCodec_ReadLoads(const msgpack_object *object, GArray *numbers,
                        GArray *loads)
{
    if (!BsReportCodec_Numbers(object, numbers)) {
        return false;
    }
    for (guint i = 0; i + 2 < numbers->len; i += 3) {
        BsTargetLoad load = {NUMBER(numbers, i),
                             (uint32_t)NUMBER(numbers, i + 1),
                             (uint32_t)NUMBER(numbers, i + 2)};
        g_array_append_val(loads, load);
    }
    return true;
}

bool
BsReportCodec_ReadUses(const msgpack_object *object, GArray *numbers,
                       GArray *uses)
{
    if (!BsReportCodec_Numbers(object, numbers)) {
        return false;
    }
    for (guint i = 0; i + 1 < numbers->len; i += 2) {
        BsQuotaUse use = {NUMBER(numbers, i), NUMBER(numbers, i + 1)};
        g_array_append_val(uses, use);
    }
    return true;
}

/* Reads the upstreams of RECORD from index AT; returns whether they are
   complete, no more than allowed and in ascending order. */
static bool
S_read_upstreams(const GArray *numbers, guint at, BsCrashRecord *record)
{
    if (record->crashes > BS_CRASHES_TO_BLOCK ||
        record->crashes > numbers->len - at) {
        return false;
    }
    for (uint32_t i = 0; i < record->crashes; i++) {
        record->upstreams[i] = (uint32_t)NUMBER(numbers, at + i);
        if (i > 0 && record->upstreams[i] <= record->upstreams[i - 1]) {
            return false;
        }
    }
    return true;
}

bool
BsReportCodec_ReadCrashRecords(const msgpack_object *object, GArray *numbers,
                               GArray *crash_records)
{
    if (!BsReportCodec_Numbers(object, numbers)) {
        return false;
    }
    guint at = 0;
    while (at < numbers->len) {
        if (numbers->len - at < CRASH_NUMBERS) {
            return false;
        }
        BsCrashRecord record = {
            .content = NUMBER(numbers, at),
            .generation = (uint32_t)NUMBER(numbers, at + 1),
            .age_ms = (uint32_t)NUMBER(numbers, at + 2),
            .crashes = (uint32_t)MIN(NUMBER(numbers, at + 3), UINT32_MAX),
        };
        if (!S_read_upstreams(numbers, at + CRASH_NUMBERS, &record)) {
            return false;
        }
        g_array_append_val(crash_records, record);
        at += CRASH_NUMBERS + record.crashes;
    }
    return true;
}

bool
BsReportCodec_ReadPartRecords(const msgpack_object *object, GArray *numbers,
                              GArray *part_records)
{
    if (!BsReportCodec_Numbers(object, numbers)) {
        return false;
    }
    guint at = 0;
    while (at < numbers->len) {
        uint64_t left = numbers->len - at;
        if (left < PART_NUMBERS ||
            NUMBER(numbers, at + 2) > BS_CRASH_PARTS_MAX ||
            NUMBER(numbers, at + 2) > left - PART_NUMBERS) {
            return false;
        }
        BsPartRecord record = {
            .id = NUMBER(numbers, at),
            .age_ms = (uint32_t)MIN(NUMBER(numbers, at + 1), UINT32_MAX),
            .count = (uint32_t)NUMBER(numbers, at + 2),
        };
        for (uint32_t i = 0; i < record.count; i++) {
            record.parts[i] = NUMBER(numbers, at + PART_NUMBERS + i);
        }
        g_array_append_val(part_records, record);
        at += PART_NUMBERS + record.count;
    }
    return true;
}

bool
BsReportCodec_ReadLimitRecords(const msgpack_object *object, GArray *numbers,
                               GArray *limit_records)
{
    if (!BsReportCodec_Numbers(object, numbers) ||
        numbers->len % LIMIT_NUMBERS != 0) {
        return false;
    }
    for (guint i = 0; i < numbers->len; i += LIMIT_NUMBERS) {
        uint64_t version = NUMBER(numbers, i + 2);
        uint64_t per_s_milli = NUMBER(numbers, i + 3);
        if (version > UINT32_MAX || per_s_milli > UINT32_MAX) {
            return false;
        }
        BsLimitRecord record = {
            .hash = NUMBER(numbers, i),
            .born_ms = NUMBER(numbers, i + 1),
            .version = (uint32_t)version,
            .per_s_milli = (uint32_t)per_s_milli,
        };
        g_array_append_val(limit_records, record);
    }
    return true;
}

bool
BsReportCodec_ReadMembers(const msgpack_object *object, GArray *numbers,
                          GArray *members)
{
    if (!BsReportCodec_Numbers(object, numbers)) {
        return false;
    }
    for (guint i = 0; i + MEMBER_NUMBERS <= numbers->len;
         i += MEMBER_NUMBERS) {
        uint64_t flags = NUMBER(numbers, i + 3);
        uint64_t reading = (flags >> FLAG_READING_SHIFT) & FLAG_READING_BITS;
        BsGossipMemberInfo member = {
            .address = (uint32_t)NUMBER(numbers, i),
            .data_centre = (uint32_t)NUMBER(numbers, i + 1),
            .weight = (uint32_t)NUMBER(numbers, i + 2),
            .reachable = (flags & FLAG_REACHABLE) != 0,
            .stopping = (flags & FLAG_STOPPING) != 0,
            .reading = (BsGossipReading)MIN(reading, BS_GOSSIP_FAILS),
            .revision = NUMBER(numbers, i + 4),
            .newest = NUMBER(numbers, i + 5),
            .age_ms =
                (uint32_t)MIN(NUMBER(numbers, i + 6), BS_GOSSIP_AGE_MAX_MS),
        };
        g_array_append_val(members, member);
    }
    return true;
}

bool
BsReportCodec_ReadSilentCentres(const msgpack_object *object, GArray *numbers,
                                GArray *silent_centres)
{
    if (!BsReportCodec_Numbers(object, numbers) ||
        numbers->len % SILENT_CENTRE_NUMBERS != 0 ||
        numbers->len > SILENT_CENTRE_NUMBERS * BS_CENTREWATCH_TOLD_MAX) {
        return false;
    }
    for (guint i = 0; i < numbers->len; i += SILENT_CENTRE_NUMBERS) {
        uint64_t data_centre = NUMBER(numbers, i);
        uint64_t age_ms = NUMBER(numbers, i + 1);
        if (data_centre > UINT32_MAX || age_ms > UINT32_MAX) {
            return false;
        }
        BsSilentCentre silent = {.data_centre = (uint32_t)data_centre,
                                 .age_ms = (uint32_t)age_ms};
        g_array_append_val(silent_centres, silent);
    }
    return true;
}
