/*
 * fence.h - ids of work that must not start again here.
 *
 * Rules: an id stays fenced for its whole time; ids leave in the order of
 * their addition.
 */
#ifndef BS_FENCE_H
#define BS_FENCE_H

#include "boragespur.h"

typedef struct BsFences BsFences;

/* Creates an empty set. */
BsFences *BsFences_Create(void);

/* Frees FENCES; NULL is allowed. */
void BsFences_Destroy(BsFences *fences);

/* Fences ID for DURATION_MS; drops ids whose time has passed. */
void BsFences_Add(BsFences *fences, const char *id, int64_t now_ms,
                  int64_t duration_ms);

/* Returns whether ID is fenced. */
bool BsFences_Has(const BsFences *fences, const char *id);

#endif /* BS_FENCE_H */
