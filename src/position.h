/*
 * position.h - a point in the history of the platform's store.
 *
 * The store numbers its changes with one revision, which goes back when it is
 * restored from an older copy; its era then rises by one.  A position orders
 * both: a later era is after all revisions of the ones before.  What an
 * instance first reads in an era may lack what was lost, until it is written
 * again; a full read after that time is *settled* and after all of the era
 * that is not.
 *
 * Positions are compared as numbers.  Those of the first era are its
 * revisions.
 */
#ifndef BS_POSITION_H
#define BS_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/* Largest revision, and largest era, of a position. */
#define BS_POSITION_REVISION_MAX ((UINT64_C(1) << 44) - 1)
#define BS_POSITION_ERA_MAX (UINT64_C(1) << 18)

/* Returns the position of REVISION in ERA (0 or 1: the first one); larger
   values are cut to the maxima. */
uint64_t BsPosition_Make(uint64_t era, bool settled, uint64_t revision);

/* Return the parts of POSITION; the first era is 1. */
uint64_t BsPosition_Era(uint64_t position);
bool BsPosition_IsSettled(uint64_t position);
uint64_t BsPosition_Revision(uint64_t position);

/* Returns the position of REVISION in the era of POSITION, settled as it is.
 */
uint64_t BsPosition_WithRevision(uint64_t position, uint64_t revision);

#endif /* BS_POSITION_H */
