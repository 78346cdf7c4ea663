/*
 * fence.h - the ids of attempts that must not start, or start again, here.
 *
 * Rules: an id stays fenced for its whole duration; ids expire in the order in
 * which they were added.
 */
#ifndef BS_FENCE_H
#define BS_FENCE_H

#include "boragespur.h"

typedef struct BsFences BsFences;

/* Creates an empty set. */
BsFences *BsFences_Create(void);

/* Frees FENCES; NULL is allowed. */
void BsFences_Destroy(BsFences *fences);

/* Fences ID for DURATION_MS and removes expired ids.  An id that is fenced
   already keeps its end time. */
void BsFences_Add(BsFences *fences, const char *id, int64_t now_ms,
                  int64_t duration_ms);

/* Returns whether ID is fenced. */
bool BsFences_Has(const BsFences *fences, const char *id);

#endif /* BS_FENCE_H */
