/* codecguard.c - size checks of MessagePack bytes before they are unpacked. */
#include "codecguard.h"

#include <stdint.h>

#define FIXMAP 0x80
#define FIXARRAY 0x90
#define FIXSTR 0xa0
#define TABLE_FIRST_TYPE 0xc0
#define NEGATIVE_FIXINT 0xe0

/* Layout of an object whose type byte is 0xc0 to 0xdf. */
typedef struct {
    uint8_t count_bytes; /* size of the count after the type, or 0 */
    uint8_t fixed_bytes; /* further bytes, not included in the count */
    uint8_t elements;    /* objects per count; 0 when it counts bytes */
} BsTypeRow;

static const BsTypeRow S_rows[] = {
    {0, 0, 0},  {0, 0, 0},                       /* nil, unused */
    {0, 0, 0},  {0, 0, 0},                       /* false, true */
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            /* bin */
    {1, 1, 0},  {2, 1, 0}, {4, 1, 0},            /* ext */
    {0, 4, 0},  {0, 8, 0},                       /* float */
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, /* uint */
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, /* int */
    {0, 2, 0},  {0, 3, 0}, {0, 5, 0}, {0, 9, 0}, /* fixext */
    {0, 17, 0},                                  /* fixext 16 */
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            /* str */
    {2, 0, 1},  {4, 0, 1},                       /* array */
    {2, 0, 2},  {4, 0, 2},                       /* map */
};

/* What follows the type byte of an object. */
typedef struct {
    uint64_t skip_bytes; /* count and content */
    uint64_t elements;   /* objects nested in it */
} BsObjectSize;

static BsObjectSize
S_read_short(uint8_t type)
{
    BsObjectSize size = {0, 0};
    if (type >= FIXSTR && type < TABLE_FIRST_TYPE) {
        size.skip_bytes = type - FIXSTR;
    }
    else if (type >= FIXARRAY && type < FIXSTR) {
        size.elements = type - FIXARRAY;
    }
    else if (type >= FIXMAP && type < FIXARRAY) {
        size.elements = 2U * (type - FIXMAP);
    }
    return size;
}

static BsObjectSize
S_read_long(const BsTypeRow *row, const uint8_t *bytes, size_t left)
{
    BsObjectSize size = {(uint64_t)row->count_bytes + row->fixed_bytes, 0};
    uint64_t count = 0;
    for (size_t i = 0; i < row->count_bytes && i < left; i++) {
        count = count << 8 | bytes[i];
    }
    if (row->elements > 0) {
        size.elements = count * row->elements;
    }
    else {
        size.skip_bytes += count;
    }
    return size;
}

bool
BsCodecGuard_IsBounded(const void *data, size_t size_bytes)
{
    const uint8_t *bytes = data;
    size_t left = size_bytes;
    uint64_t pending = 1;
    while (pending > 0) {
        if (pending > left) {
            return false;
        }
        uint8_t type = *bytes++;
        left--;
        pending--;
        BsObjectSize size =
            type >= TABLE_FIRST_TYPE && type < NEGATIVE_FIXINT
                ? S_read_long(&S_rows[type - TABLE_FIRST_TYPE], bytes, left)
                : S_read_short(type);
        if (size.skip_bytes > left) {
            return false;
        }
        bytes += size.skip_bytes;
        left -= size.skip_bytes;
        pending += size.elements;
    }
    return left == 0;
}

bool
BsCodecGuard_Unpack(const void *data, size_t size_bytes,
                    msgpack_unpacked *unpacked)
{
    size_t offset = 0;
    msgpack_unpacked_init(unpacked);
    return BsCodecGuard_IsBounded(data, size_bytes) &&
           msgpack_unpack_next(unpacked, data, size_bytes, &offset) ==
               MSGPACK_UNPACK_SUCCESS &&
           offset == size_bytes;
}
