/* position.c - a point in the history of the platform's store. */
#include "position.h"

#include <glib.h>

#define REVISION_BITS 44
#define SETTLED_BIT (UINT64_C(1) << REVISION_BITS)
#define ERA_SHIFT (REVISION_BITS + 1)

uint64_t
BsPosition_Make(uint64_t era, bool settled, uint64_t revision)
{
    uint64_t eras_before = MIN(MAX(era, 1), BS_POSITION_ERA_MAX) - 1;
    return (eras_before << ERA_SHIFT) | (settled ? SETTLED_BIT : 0) |
           MIN(revision, BS_POSITION_REVISION_MAX);
}

uint64_t
BsPosition_Era(uint64_t position)
{
    return (position >> ERA_SHIFT) + 1;
}

bool
BsPosition_IsSettled(uint64_t position)
{
    return (position & SETTLED_BIT) != 0;
}

uint64_t
BsPosition_Revision(uint64_t position)
{
    return position & BS_POSITION_REVISION_MAX;
}

uint64_t
BsPosition_WithRevision(uint64_t position, uint64_t revision)
{
    return BsPosition_Make(BsPosition_Era(position),
                           BsPosition_IsSettled(position), revision);
}
