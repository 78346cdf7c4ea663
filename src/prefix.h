/*
 * prefix.h - which prompt prefixes an upstream probably has in its cache.
 *
 * Rules: derived from dispatches and answers alone, since cache events arrive
 * late and with gaps; the table is bounded and evicts the least recently used
 * prefix.
 */
#ifndef BS_PREFIX_H
#define BS_PREFIX_H

#include "boragespur.h"

typedef struct BsPrefixes BsPrefixes;

/* Creates an empty table. */
BsPrefixes *BsPrefixes_Create(void);

/* Frees PREFIXES; NULL is allowed. */
void BsPrefixes_Destroy(BsPrefixes *prefixes);

/* Records that TOKENS tokens of prefix HASH are in the cache; does nothing for
   HASH 0. */
void BsPrefixes_Note(BsPrefixes *prefixes, uint64_t hash, uint32_t tokens);

/* Returns the tokens expected in the cache for prefix HASH, 0 when unknown. */
uint32_t BsPrefixes_Find(const BsPrefixes *prefixes, uint64_t hash);

/* Removes all prefixes. */
void BsPrefixes_Clear(BsPrefixes *prefixes);

#endif /* BS_PREFIX_H */
